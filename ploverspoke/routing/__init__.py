"""The host of the decisions: submissions and hand-offs in flight, and what ends them."""

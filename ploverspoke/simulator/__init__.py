"""Adapter to the simulator: its messages become dispatcher events, and dispatcher actions become replies."""

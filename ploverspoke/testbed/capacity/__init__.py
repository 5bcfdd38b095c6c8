"""What each role costs, measured as slopes, and what a fleet of a given size costs by them."""

"""The capacity model: costs per unit of load, and what a fleet of a given size costs by them."""

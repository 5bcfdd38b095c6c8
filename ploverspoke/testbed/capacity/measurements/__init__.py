"""Measurements of what each role costs per unit of load."""

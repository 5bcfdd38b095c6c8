"""Measurements of the cost of each role per unit of load."""

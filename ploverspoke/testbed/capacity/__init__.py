"""The capacity model: measured costs per unit of load, and the estimated costs of a fleet of a given size."""

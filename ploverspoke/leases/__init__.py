"""Leases for tasks of the whole fleet: lease servers that grant them, holders that act under them."""

"""Leases for tasks that belong to the whole fleet: keepers that give them, holders that act under them."""

"""Processes of one run on loopback: start and end, addresses, and faults on them and their links."""

"""Processes of one run on loopback: their start, end and addresses, and faults on them and their links."""

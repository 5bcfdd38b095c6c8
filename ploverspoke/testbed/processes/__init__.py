"""Processes of the program on loopback: start and end, addresses, TCP proxies with link faults."""

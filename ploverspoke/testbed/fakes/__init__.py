"""Fake workers, discovery, clients and a protected resource, run with the real program on loopback."""

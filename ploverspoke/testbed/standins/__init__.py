"""Stand-ins on loopback sockets: workers, discovery and clients, each in a process of its own.

What they know of the protocol is their own code: sharing the program's parsers they would share their faults.
"""

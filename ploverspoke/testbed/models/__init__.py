"""Models of workers, discovery, clients and faults, without I/O.

Two drivers run them: `virtual_run` on virtual time, and the fake servers of `testbed.fakes` on real sockets.
"""

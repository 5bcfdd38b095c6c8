"""Models of workers, discovery, clients and faults on virtual time, without I/O."""

"""A model of a fleet, on virtual time and on sockets, to test the dispatcher in; no product code."""

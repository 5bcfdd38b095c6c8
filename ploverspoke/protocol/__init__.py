"""HTTP as clients, workers and discovery speak it: bytes to calls and back. Opens no sockets."""

"""Connections, buffers, timers and limits, without knowledge of any protocol."""

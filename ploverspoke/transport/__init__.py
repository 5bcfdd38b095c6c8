"""Connections, buffers, timers and limits, independent of any protocol."""

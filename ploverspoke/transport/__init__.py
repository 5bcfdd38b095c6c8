"""Bytes and time: connections, buffers, numbered slots, deadlines, pools. Knows no HTTP."""

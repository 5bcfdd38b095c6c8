"""The dispatcher as a process: configuration, start, signals, handover and shutdown."""

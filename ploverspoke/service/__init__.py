"""The program around it all: what is read at start, start itself, signals."""

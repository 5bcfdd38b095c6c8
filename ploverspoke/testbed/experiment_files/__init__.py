"""Experiment files: TOML read into checked types."""

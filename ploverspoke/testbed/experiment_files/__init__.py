"""Experiment files: TOML that is read into validated types."""

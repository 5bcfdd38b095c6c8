"""Configuration distribution: config servers replicate versions; each dispatcher watches one server."""

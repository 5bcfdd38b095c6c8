"""The simulator's wire: codec and adapter, without decisions."""

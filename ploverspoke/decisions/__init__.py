"""The decisions and the host interface they act through."""

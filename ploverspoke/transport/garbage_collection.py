"""Excludes the objects created at startup from Python's garbage collector."""

import gc


def freeze_startup_objects() -> None:
    """Exempt all existing objects: they are never freed, and each collection would traverse them."""
    gc.collect()
    gc.freeze()

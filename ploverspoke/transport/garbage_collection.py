"""Keeps what a process has built at its start out of Python's garbage collector."""

import gc


def freeze_startup_objects() -> None:
    """Exempt all objects that live now: they stay until the end, and each collection would walk them."""
    gc.collect()
    gc.freeze()

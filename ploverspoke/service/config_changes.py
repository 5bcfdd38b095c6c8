"""Tells which parts of a changed configuration wait for the next start."""

from ploverspoke.transport.rate_limited_log import log_line

from .config import Config


def log_unapplied_keys(old: Config, new: Config, settings_unapplied: bool) -> None:
    """Log the changed keys that take effect only at the next start."""
    for key, is_unapplied in (
        ("name", new.name != old.name),
        ("listen", new.listen != old.listen),
        ("admin_addr", new.admin_address != old.admin_address),
        ("peers", new.peers != old.peers),
        (
            "limits",
            (new.descriptor_limit, new.memory_limit) != (old.descriptor_limit, old.memory_limit),
        ),
        ("settings", settings_unapplied),
    ):
        if is_unapplied:
            log_line(f"new configuration: {key} stays as it was until the next start")

"""The system's limit on open file descriptors, and a configured limit bounded by it."""

import resource


def system_descriptor_limit() -> int | None:
    """Return how many file descriptors this process may open; None if there is no limit."""
    soft_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return None if soft_limit == resource.RLIM_INFINITY else soft_limit


def usable_descriptors(configured: int) -> int:
    """Return the configured limit, or the system's limit if that is lower."""
    limit = system_descriptor_limit()
    return configured if limit is None else min(configured, limit)

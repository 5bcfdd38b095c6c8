"""The system's limit of open descriptors, and what is left of a configured one."""

import resource


def descriptor_limit() -> int | None:
    """Return how many descriptors this process may hold, None where there is no limit."""
    soft_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return None if soft_limit == resource.RLIM_INFINITY else soft_limit


def usable_descriptors(configured: int) -> int:
    """Return the configured limit, or the system's where that is lower."""
    limit = descriptor_limit()
    return configured if limit is None else min(configured, limit)

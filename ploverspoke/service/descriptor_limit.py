"""The system's limit of open descriptors."""

import resource


def descriptor_limit() -> int | None:
    """Return how many descriptors this process may hold, None where there is no limit."""
    soft_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return None if soft_limit == resource.RLIM_INFINITY else soft_limit

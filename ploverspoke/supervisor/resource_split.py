"""What each of N dispatchers on one machine is told: its share of the limits, and that there are N
times as many.
"""

from dataclasses import replace

from ploverspoke.service.config import FEWEST_SOCKETS, LEAST_MEMORY_MB, Config
from ploverspoke.service.config_reader import ConfigError
from ploverspoke.transport.units import MEBIBYTE

KEPT_SOCKETS, KEPT_MEMORY = 16, 12 * MEBIBYTE  # for the supervisor
SEEDS_APART = 0x9E3779B97F4A7C15


def child_config(whole: Config, place: int, count: int, descriptors: int | None = None) -> Config:
    """Raises ConfigError where a share would be too small. `descriptors`: what one process may hold at
    all."""
    sockets = (whole.sockets - KEPT_SOCKETS) // count
    if descriptors is not None:
        sockets = min(sockets, descriptors)
    memory = (whole.memory - KEPT_MEMORY) // count
    if sockets < FEWEST_SOCKETS:
        raise ConfigError(f"limits.sockets: {whole.sockets} are too few for {count} processes")
    if memory < LEAST_MEMORY_MB * MEBIBYTE:
        raise ConfigError(f"limits.memory_mb: {whole.memory // MEBIBYTE} are too few for {count} processes")
    settings = replace(
        whole.settings,
        dispatcher_count=whole.settings.dispatcher_count * count,
        dispatcher_index=whole.settings.dispatcher_index * count + place,
    )
    # Operators call each process at a port of its own: one address for all would answer for any of them.
    admin = None if whole.admin is None else (whole.admin[0], whole.admin[1] + place)
    seed = whole.seed + place * SEEDS_APART
    return whole._replace(
        name=f"{whole.name}.{place}",
        admin=admin,
        seed=seed,
        sockets=sockets,
        memory=memory,
        settings=settings,
    )

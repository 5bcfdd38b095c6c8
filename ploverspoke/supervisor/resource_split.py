"""The configuration of one of N dispatchers on a machine: its share of the limits, its number among all."""

from dataclasses import replace

from ploverspoke.service.config import MIN_MEMORY_MB, MIN_SOCKETS, Config
from ploverspoke.service.config_reader import Address, ConfigError
from ploverspoke.transport.units import MEBIBYTE

SUPERVISOR_DESCRIPTORS = 16  # descriptors that stay with the supervisor
SUPERVISOR_MEMORY = 12 * MEBIBYTE
SEED_STEP = 0x9E3779B97F4A7C15  # between the seeds of two children: far apart in 64 bits


def child_config(whole: Config, index: int, count: int, descriptor_limit: int | None = None) -> Config:
    """Return the configuration of the child `index` of `count`, with its part of the limits of `whole`.

    `descriptor_limit` is what the system allows one process, None for no limit. Raises ConfigError where the
    share would be too small for a dispatcher.
    """
    descriptors = (whole.descriptor_limit - SUPERVISOR_DESCRIPTORS) // count
    if descriptor_limit is not None:
        descriptors = min(descriptors, descriptor_limit)
    memory = (whole.memory_limit - SUPERVISOR_MEMORY) // count
    if descriptors < MIN_SOCKETS:
        raise ConfigError(
            key="limits.sockets", problem=f"{whole.descriptor_limit} are too few for {count} processes"
        )
    if memory < MIN_MEMORY_MB * MEBIBYTE:
        raise ConfigError(
            key="limits.memory_mb",
            problem=f"{whole.memory_limit // MEBIBYTE} are too few for {count} processes",
        )
    settings = replace(
        whole.settings,
        dispatcher_count=whole.settings.dispatcher_count * count,
        dispatcher_index=whole.settings.dispatcher_index * count + index,
    )
    # Each process answers its operators at a port of its own: at a shared one any of them would answer.
    admin = whole.admin_address
    return whole._replace(
        name=f"{whole.name}.{index}",
        admin_address=None if admin is None else Address(admin.host, admin.port + index),
        seed=whole.seed + index * SEED_STEP,
        descriptor_limit=descriptors,
        memory_limit=memory,
        settings=settings,
    )

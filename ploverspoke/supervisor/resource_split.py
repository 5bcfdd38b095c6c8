"""Derives the configuration of one of N dispatchers on a machine: its share of the limits and its index."""

from dataclasses import replace

from ploverspoke.service.config import MIN_MEMORY_MB, MIN_SOCKETS, Config
from ploverspoke.service.config_reader import Address, ConfigError
from ploverspoke.transport.units import MEBIBYTE

SUPERVISOR_DESCRIPTORS = 16  # file descriptors reserved for the supervisor
SUPERVISOR_MEMORY_BYTES = 12 * MEBIBYTE
SEED_STEP = 0x9E3779B97F4A7C15  # between the seeds of two children, which are then far apart in 64 bits


def child_config(config: Config, index: int, count: int, descriptor_limit: int | None = None) -> Config:
    """Return the configuration of the child `index` of `count`, with its share of the limits of `config`.

    `descriptor_limit` is the system's limit for one process; None if there is none. Raises ConfigError if the
    share would be too small for a dispatcher.
    """
    descriptors = (config.descriptor_limit - SUPERVISOR_DESCRIPTORS) // count
    if descriptor_limit is not None:
        descriptors = min(descriptors, descriptor_limit)
    memory = (config.memory_limit - SUPERVISOR_MEMORY_BYTES) // count
    if descriptors < MIN_SOCKETS:
        raise ConfigError(
            key="limits.sockets", problem=f"{config.descriptor_limit} is too low for {count} processes"
        )
    if memory < MIN_MEMORY_MB * MEBIBYTE:
        raise ConfigError(
            key="limits.memory_mb",
            problem=f"{config.memory_limit // MEBIBYTE} is too low for {count} processes",
        )
    settings = replace(
        config.settings,
        dispatcher_count=config.settings.dispatcher_count * count,
        dispatcher_index=config.settings.dispatcher_index * count + index,
    )
    # Each process has its own admin port: on a shared port, any of the processes could answer.
    admin = config.admin_address
    return config._replace(
        name=f"{config.name}.{index}",
        admin_address=None if admin is None else Address(admin.host, admin.port + index),
        seed=config.seed + index * SEED_STEP,
        descriptor_limit=descriptors,
        memory_limit=memory,
        settings=settings,
    )

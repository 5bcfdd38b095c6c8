"""Errors of the configuration distribution: one hierarchy, each error with the values it is about."""


class ConfigDistributionError(Exception):
    """Base of all errors that this package defines."""


class MessageRejectedError(ConfigDistributionError):
    """A message of the other side breaks the protocol, or its content failed a check."""

    def __init__(self, reason: str) -> None:
        """`reason` may be sent to the other side and logged."""
        super().__init__(reason)
        self.reason = reason


class VersionRejectedError(ConfigDistributionError):
    """A version passed all checks of its message, but not those of the dispatcher that should apply it."""

    def __init__(self, version: int, reason: str) -> None:
        """`reason` names the key at fault; the config servers show it to operators."""
        super().__init__(f"version {version}: {reason}")
        self.version = version
        self.reason = reason


class NoServerAvailableError(ConfigDistributionError):
    """No config server leads, or none answers."""

    def __init__(self, failures: dict[str, str], reason: str = "") -> None:
        """`failures`: why each server is of no use, by its name; `reason` is for where there are none."""
        super().__init__("; ".join(f"{name}: {why}" for name, why in failures.items()) or reason)
        self.failures = failures

"""Exceptions of the configuration distribution, in one hierarchy."""


class ConfigDistributionError(Exception):
    """Base class of all errors defined by this package."""


class MessageRejectedError(ConfigDistributionError):
    """A message of the peer violates the protocol, or its content failed a check."""

    def __init__(self, reason: str) -> None:
        """`reason` may be sent to the peer and logged."""
        super().__init__(reason)
        self.reason = reason


class VersionRejectedError(ConfigDistributionError):
    """A version arrived intact but failed the checks of the dispatcher that should apply it."""

    def __init__(self, version: int, reason: str) -> None:
        """`reason` names the invalid key; config servers show it to operators."""
        super().__init__(f"version {version}: {reason}")
        self.version = version
        self.reason = reason


class NoServerAvailableError(ConfigDistributionError):
    """No config server leads, or none answers."""

    def __init__(self, failures: dict[str, str], reason: str = "") -> None:
        """`failures`: why each server is not usable, by server name; `reason` is used if there are none."""
        super().__init__("; ".join(f"{name}: {why}" for name, why in failures.items()) or reason)
        self.failures = failures

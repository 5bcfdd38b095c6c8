"""Tracks the versions that a watcher has received, applied and rejected, without I/O."""

from dataclasses import dataclass
from typing import Protocol

from .errors import MessageRejectedError, VersionRejectedError
from .messages import UnverifiedVersion, VerifiedVersion, WatchStatus, escape_untrusted_text
from .state_machine import short_digest


class VersionEnvironment(Protocol):
    """The functions that a receiver needs from its driver."""

    def apply_version(self, version: VerifiedVersion) -> None:
        """Check a version and make it active. Raises VersionRejectedError or any other error of a check."""

    def log(self, line: str) -> None:
        """Write a line to the log."""


@dataclass
class WatcherCounters:
    """Counters of a watcher since its start."""

    versions_applied: int = 0
    versions_rejected: int = 0
    messages_rejected: int = 0
    server_changes: int = 0  # changes to a better server while the old one still answered


class VersionReceiver:
    """Verifies and applies the versions that one watcher is sent."""

    def __init__(
        self,
        environment: VersionEnvironment,
        cluster: str,
        applied: VerifiedVersion,
        counters: WatcherCounters,
    ) -> None:
        """`applied` is the version that is active at the start."""
        self.environment = environment
        self.cluster = cluster
        self.received = applied  # the latest version that arrived intact
        self.applied_version = applied.number
        self.rejection = ""  # why the received version was not applied
        # The lowest version rejected since the last applied one; the server sends the versions between them.
        self.lowest_rejected = 0
        self.wants_full_body = False
        self.counters = counters

    def status(self) -> WatchStatus:
        """Return the status that the watcher reports to its server."""
        return WatchStatus(
            self.received.number,
            self.received.digest,
            self.applied_version,
            self.rejection,
            self.lowest_rejected,
            self.wants_full_body,
        )

    def on_version(self, message: UnverifiedVersion) -> None:
        """Handle a version from a server. Raises MessageRejectedError if the message fails a check."""
        number = message.claimed_number()
        if number is not None and self._was_handled(number):
            if number < self.applied_version:
                self.counters.messages_rejected += 1
                reason = f"version {number} is older than {self.applied_version}"
                self.environment.log(f"config: message rejected: {reason}")
            return
        try:
            version = message.verify(self.cluster, self.received.body)
        except MessageRejectedError:
            self.wants_full_body = True
            raise
        self.wants_full_body = False
        self._record(version, self._apply(version))

    def _was_handled(self, number: int) -> bool:
        """Whether a version is not newer than the received one and was not skipped for a rejected one."""
        was_skipped = self.applied_version < number < self.lowest_rejected
        return 0 < number <= self.received.number and not was_skipped

    def _record(self, version: VerifiedVersion, rejection: str | None) -> None:
        follows_received = version.number == self.received.number + 1
        if version.number > self.received.number:
            self.received, self.rejection = version, rejection or ""
        if rejection is None:
            self.lowest_rejected = 0
        elif not self.lowest_rejected or not follows_received:
            # Otherwise the version only extends a sequence of consecutive rejected versions.
            self.lowest_rejected = version.number

    def _apply(self, version: VerifiedVersion) -> str | None:
        """Apply a version; return the reason for a rejection, or None if the version is active now."""
        try:
            self.environment.apply_version(version)
        except VersionRejectedError as error:
            reason = error.reason
        except ValueError as error:
            reason = str(error)
        except Exception as error:  # a bug in a check: report it and keep the active version
            reason = f"{type(error).__name__}: {error}"
        else:
            self.counters.versions_applied += 1
            self.applied_version = version.number
            digest = short_digest(version.digest)
            self.environment.log(f"config: version {version.number} applied ({digest})")
            return None
        reason = escape_untrusted_text(reason)
        self.counters.versions_rejected += 1
        self.environment.log(f"config: version {version.number} rejected: {reason}")
        return reason

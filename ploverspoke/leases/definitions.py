"""The leases that the lease servers' file declares, by name or, with `*` at the end, by a prefix of names."""

import re
from typing import NamedTuple

from ploverspoke.service.config_reader import ConfigError, ConfigSection
from ploverspoke.transport.units import MILLISECOND

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._/-]{0,63}\*?")
WILDCARD = "*"
# A holder stops using a lease before its end, by this fraction of the duration: the clocks of the holder and
# the lease server may drift apart by a tenth of the duration.
DRIFT = 0.1
# The shortest lease outlasts the loss of a leader, which takes elections, round trips and some retries.
MIN_DURATION_ELECTION_TIMEOUTS = 5
DEFAULT_MAX_DURATION_MS = 60_000
MAX_DURATION_MS = 3600 * 1000


class LeaseDefinition(NamedTuple):
    """The declaration of one lease, or of all leases whose names share a prefix."""

    max_holders: int  # at once
    max_duration: int  # ns


class LeaseDefinitions:
    """All declared leases."""

    def __init__(self, definitions: dict[str, LeaseDefinition], min_duration: int) -> None:
        """`min_duration` (ns) applies to all of them."""
        self.exact = {
            name: definition for name, definition in definitions.items() if not name.endswith(WILDCARD)
        }
        prefixes = [
            (name.removesuffix(WILDCARD), definition)
            for name, definition in definitions.items()
            if name.endswith(WILDCARD)
        ]
        # If several prefixes match a name, the longest one applies.
        self.prefixes = sorted(prefixes, key=lambda prefix: -len(prefix[0]))
        self.min_duration = min_duration
        self.max_duration = max((definition.max_duration for definition in definitions.values()), default=0)

    def find(self, name: str) -> LeaseDefinition | None:
        """Return the definition that applies to a lease; None if the lease is not declared."""
        definition = self.exact.get(name)
        if definition is not None:
            return definition
        for prefix, prefix_definition in self.prefixes:
            if name.startswith(prefix):
                return prefix_definition
        return None

    def rejection_reason(self, name: str, duration: int) -> str | None:
        """Return why the lease can never be granted for `duration` ns; None if it can be."""
        definition = self.find(name)
        if definition is None:
            return f"no lease is called {name!r}"
        if duration < self.min_duration:
            return (
                f"{name}: a duration of {duration // MILLISECOND} ms is under "
                f"{self.min_duration // MILLISECOND}, which elections and round trips take"
            )
        if duration > definition.max_duration:
            return (
                f"{name}: a duration of {duration // MILLISECOND} ms is over "
                f"{definition.max_duration // MILLISECOND}"
            )
        return None

    def by_declared_name(self) -> dict[str, LeaseDefinition]:
        """Return all definitions by the names in the file, wildcards included."""
        return {**self.exact, **{f"{prefix}{WILDCARD}": definition for prefix, definition in self.prefixes}}


def read_definitions(config: ConfigSection, election_timeout: int) -> LeaseDefinitions:
    """Read the key `leases`; `election_timeout` in ns. Raises ConfigError, which names the key."""
    leases = config.section("leases")
    min_duration = MIN_DURATION_ELECTION_TIMEOUTS * election_timeout
    definitions = {name: _read_definition(leases, name, min_duration) for name in leases.value}
    if not definitions:
        raise config.invalid("leases", "at least one lease")
    return LeaseDefinitions(definitions, min_duration)


def _read_definition(leases: ConfigSection, name: str, min_duration: int) -> LeaseDefinition:
    if not NAME_PATTERN.fullmatch(name):
        message = (
            f"leases.{name}: expected lowercase letters, digits and . _ / -, and an optional * at the end"
        )
        raise ConfigError(message)
    section = leases.section(name)
    max_holders = section.integer("places", 1, minimum=1)
    max_duration_ms = section.integer(
        "longest_ms", DEFAULT_MAX_DURATION_MS, minimum=min_duration // MILLISECOND
    )
    if max_duration_ms > MAX_DURATION_MS:
        raise section.invalid("longest_ms", f"at most {MAX_DURATION_MS}")
    return LeaseDefinition(max_holders, max_duration_ms * MILLISECOND)

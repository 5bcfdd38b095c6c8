"""Which leases there are, as the lease servers' file declares them; a name with `*` at the end is many."""

import re
from typing import NamedTuple

from ploverspoke.service.config_reader import ConfigError, ConfigSection
from ploverspoke.transport.units import MILLISECOND

NAME = re.compile(r"[a-z0-9][a-z0-9._/-]{0,63}\*?")
WILDCARD = "*"
DRIFT = 0.1  # of a duration: a holder stops that much earlier, so two clocks may differ by a tenth of a span
MIN_ELECTIONS = 5  # a duration outlasts a lost leader: elections, round trips and some retries
DEFAULT_MAX_DURATION_MS = 60_000
MAX_DURATION_MS = 3600 * 1000


class LeaseDefinition(NamedTuple):
    """What is declared of one lease, or of all whose names begin alike."""

    max_holders: int  # at once
    max_duration: int  # ns


class LeaseDefinitions:
    """All declared leases."""

    def __init__(self, definitions: dict[str, LeaseDefinition], min_duration: int) -> None:
        """`min_duration` in ns holds for all of them."""
        self.exact = {name: found for name, found in definitions.items() if not name.endswith(WILDCARD)}
        prefixes = [
            (name.removesuffix(WILDCARD), found)
            for name, found in definitions.items()
            if name.endswith(WILDCARD)
        ]
        # Of several prefixes that fit, the longest counts.
        self.prefixes = sorted(prefixes, key=lambda prefix: -len(prefix[0]))
        self.min_duration = min_duration
        self.max_duration = max((found.max_duration for found in definitions.values()), default=0)

    def find(self, name: str) -> LeaseDefinition | None:
        """Return the definition that holds for a lease; None where it is not declared."""
        found = self.exact.get(name)
        if found is None:
            found = next((found for prefix, found in self.prefixes if name.startswith(prefix)), None)
        return found

    def rejection_reason(self, name: str, duration: int) -> str | None:
        """Return why the lease is never granted for `duration` ns; None where it can be."""
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
        """Return all definitions under the names of the file, wildcards included."""
        return {**self.exact, **{f"{prefix}{WILDCARD}": found for prefix, found in self.prefixes}}


def read_definitions(top: ConfigSection, election_timeout: int) -> LeaseDefinitions:
    """Read the key `leases`; `election_timeout` in ns. Raises ConfigError, naming the key."""
    leases = top.section("leases")
    min_duration = MIN_ELECTIONS * election_timeout
    definitions = {name: _read_definition(leases, name, min_duration) for name in leases.value}
    if not definitions:
        raise top.invalid("leases", "at least one lease")
    return LeaseDefinitions(definitions, min_duration)


def _read_definition(leases: ConfigSection, name: str, min_duration: int) -> LeaseDefinition:
    if not NAME.fullmatch(name):
        message = f"leases.{name}: expected small letters, digits and . _ / -, and * at the end at most"
        raise ConfigError(message)
    section = leases.section(name)
    max_holders = section.integer("places", 1, least=1)
    max_duration_ms = section.integer(
        "longest_ms", DEFAULT_MAX_DURATION_MS, least=min_duration // MILLISECOND
    )
    if max_duration_ms > MAX_DURATION_MS:
        raise section.invalid("longest_ms", f"at most {MAX_DURATION_MS}")
    return LeaseDefinition(max_holders, max_duration_ms * MILLISECOND)

"""Which leases there are, as the keepers' file declares them; a name may end with `*` and stand for many."""

import re
from typing import Any, NamedTuple

from ploverspoke.service.config_reader import ConfigError, ConfigSection

MILLISECOND = 1_000_000
NAME = re.compile(r"[a-z0-9][a-z0-9._/-]{0,63}\*?")
DRIFT = 0.1  # of a duration: a holder stops so much earlier, so two clocks may differ by a tenth of a span
LEAST_ELECTIONS = 5  # a duration bears a lost leader: elections, round trips and some asking again
LONGEST = 3600 * 1000  # ms


class LeaseDefinition(NamedTuple):
    places: int  # how many may hold it at once
    longest: int  # ns, of a duration


class LeaseDefinitions:
    def __init__(self, rules: dict[str, LeaseDefinition], least: int) -> None:
        """`least` is the shortest duration, ns."""
        self.exact = {name: rule for name, rule in rules.items() if not name.endswith("*")}
        starts = [(name[:-1], rule) for name, rule in rules.items() if name.endswith("*")]
        self.starts = sorted(starts, key=lambda row: -len(row[0]))  # the longest that fits counts
        self.least = least
        self.longest = max((rule.longest for rule in rules.values()), default=0)

    def of(self, name: str) -> LeaseDefinition | None:
        found = self.exact.get(name)
        if found is None:
            found = next((rule for start, rule in self.starts if name.startswith(start)), None)
        return found

    def refusal(self, name: str, duration: int) -> str:
        """Why it is not given at all; "" where it may be."""
        rule = self.of(name)
        if rule is None:
            return f"no lease is called {name!r}"
        if duration < self.least:
            return (
                f"{name}: a duration of {duration // MILLISECOND} ms is under {self.least // MILLISECOND}, "
                + ("which elections and round trips take")
            )
        if duration > rule.longest:
            return f"{name}: a duration of {duration // MILLISECOND} ms is over {rule.longest // MILLISECOND}"
        return ""


def read_definitions(top: ConfigSection, election: int) -> LeaseDefinitions:
    """From the key `leases`. Raises ConfigError, naming the key."""
    leases = top.part("leases")
    least = LEAST_ELECTIONS * election
    found = {}
    for name in leases.value:
        if not NAME.fullmatch(name):
            raise ConfigError(
                f"leases.{name}: expected small letters, digits and . _ / -, and * at the end at most"
            )
        one = leases.part(name)
        places = one.whole("places", 1, least=1)
        found[name] = LeaseDefinition(
            places, one.whole("longest_ms", 60_000, least=least // MILLISECOND) * MILLISECOND
        )
        if found[name].longest > LONGEST * MILLISECOND:
            raise one.bad("longest_ms", f"at most {LONGEST}")
    if not found:
        raise top.bad("leases", "at least one lease")
    return LeaseDefinitions(found, least)


def told(rules: LeaseDefinitions) -> dict[str, Any]:
    rows = {**rules.exact, **{f"{start}*": rule for start, rule in rules.starts}}
    return {
        name: {"places": rule.places, "longest_ms": rule.longest // MILLISECOND}
        for name, rule in rows.items()
    }

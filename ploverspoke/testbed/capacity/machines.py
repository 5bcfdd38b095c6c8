"""The machines set aside for control: which roles on which, and what is left of them after each loss."""

from collections import Counter
from itertools import combinations
from typing import NamedTuple

from .fleet_size import FleetSize
from .workload import larger_region

KEEPER, REPLICA, SERVER = "keeper", "store replica", "config server"
PUBLISHER, SUMMARY = "configuration publisher", "fleet summary"
VOTERS = 5


class Machine(NamedTuple):
    name: str
    region: str
    zone: str
    roles: tuple[str, ...]


class Loss(NamedTuple):
    what: str
    voters: int  # that are left, of VOTERS
    majority: bool
    tasks: int  # machines left that can take the publisher's and the summary's lease
    note: str


def zones_of(fleet: FleetSize) -> list[tuple[str, str]]:
    """Region and zone; the first region has as many as the larger one."""
    larger = larger_region(fleet)
    return [
        (f"r{min(zone // larger, fleet.size.regions - 1) + 1}", f"z{zone + 1}")
        for zone in range(fleet.size.zones)
    ]


def layout(fleet: FleetSize) -> list[Machine]:
    """Voters in zones of their own, a majority of them in the larger region; the rest bear single tasks."""
    zones = zones_of(fleet)
    first = [zone for zone in zones if zone[0] == "r1"]
    others = [zone for zone in zones if zone[0] != "r1"]
    order = [zone for pair in zip(first, others, strict=False) for zone in pair]  # by turns over the regions
    order += [zone for zone in zones if zone not in order]
    machines = []
    for number in range(fleet.budget.control_machines):
        region, zone = order[number % len(order)]
        roles = (KEEPER, REPLICA, SERVER) if number < VOTERS else (PUBLISHER, SUMMARY)
        machines.append(Machine(f"c{number + 1}", region, zone, roles))
    return machines


def has_majority(left: int, voters: int = VOTERS) -> bool:
    return left > voters // 2


def after(machines: list[Machine], lost: set[str], what: str, note: str = "") -> Loss:
    left = [one for one in machines if one.name not in lost]
    count = Counter(role for one in left for role in one.roles)
    return Loss(what, count[KEEPER], has_majority(count[KEEPER]), count[SUMMARY], note)


def losses(machines: list[Machine]) -> list[Loss]:
    """The worst of any one and any two machines, then each zone and each region."""
    found = []
    for many, what in ((1, "any one machine"), (2, "any two machines")):
        tried = [after(machines, {one.name for one in some}, what) for some in combinations(machines, many)]
        kept = sum(one.majority for one in tried)
        fewest, least = min(one.voters for one in tried), min(one.tasks for one in tried)
        worst = Loss(what, fewest, kept == len(tried), least, "")
        found.append(worst._replace(note=f"{kept} of {len(tried)} keep a majority"))
    for zone in sorted({one.zone for one in machines}):
        there = {one.name for one in machines if one.zone == zone}
        found.append(after(machines, there, f"zone {zone}", f"takes {', '.join(sorted(there))}"))
    for region in sorted({one.region for one in machines}):
        there = {one.name for one in machines if one.region == region}
        found.append(after(machines, there, f"region {region}", f"takes {', '.join(sorted(there))}"))
    return found


def splits(voters: int = VOTERS) -> list[tuple[int, int, bool, bool]]:
    """Each way to put the voters into two regions, and whether a majority is left without either."""
    return [
        (one, voters - one, has_majority(voters - one, voters), has_majority(one, voters))
        for one in range(voters, voters // 2, -1)
    ]


def third_site(voters: int = VOTERS) -> bool:
    """Whether a voter at a third site bears the loss of any one site."""
    sites = (voters // 2, voters // 2, voters - 2 * (voters // 2))
    return all(has_majority(voters - one, voters) for one in sites)

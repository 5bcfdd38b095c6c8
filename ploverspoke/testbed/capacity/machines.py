"""The machines set aside for control: their roles, and what is left of these after each loss."""

from collections import Counter
from itertools import combinations
from typing import NamedTuple

from .fleet_size import FleetSize
from .workload import larger_region

LEASE_SERVER, REPLICA, CONFIG_SERVER = (
    "keeper",
    "store replica",
    "config server",
)  # as measured costs name them
PUBLISHER, SUMMARY = "configuration publisher", "fleet summary"
VOTERS = 5  # of each kind


class Machine(NamedTuple):
    """One machine with its place and its roles."""

    name: str
    region: str
    zone: str
    roles: tuple[str, ...]


class Loss(NamedTuple):
    """What is left after a loss of machines."""

    what: str
    voters: int  # that are left, of VOTERS
    majority: bool
    tasks: int  # machines left that can hold the publisher's and the summary's lease
    note: str


class RegionSplit(NamedTuple):
    """A split of the voters over two regions."""

    first: int
    second: int
    survives_first: bool  # whether a majority is left without the first region
    survives_second: bool


def zones_of(fleet: FleetSize) -> list[tuple[str, str]]:
    """Return region and zone of each zone; the first region has as many as the larger one."""
    larger = larger_region(fleet)
    return [
        (f"r{min(zone // larger, fleet.size.regions - 1) + 1}", f"z{zone + 1}")
        for zone in range(fleet.size.zones)
    ]


def layout(fleet: FleetSize) -> list[Machine]:
    """Place voters in zones of their own, a majority in the larger region; the rest hold single tasks."""
    zones = zones_of(fleet)
    first = [zone for zone in zones if zone[0] == "r1"]
    others = [zone for zone in zones if zone[0] != "r1"]
    order = [zone for pair in zip(first, others, strict=False) for zone in pair]  # by turns over the regions
    order += [zone for zone in zones if zone not in order]
    machines = []
    for number in range(fleet.budget.control_machines):
        region, zone = order[number % len(order)]
        roles = (LEASE_SERVER, REPLICA, CONFIG_SERVER) if number < VOTERS else (PUBLISHER, SUMMARY)
        machines.append(Machine(f"c{number + 1}", region, zone, roles))
    return machines


def has_majority(left: int, voters: int = VOTERS) -> bool:
    """Whether the voters that are left are a majority."""
    return left > voters // 2


def after_loss(machines: list[Machine], lost: set[str], what: str, note: str = "") -> Loss:
    """Count what is left without the named machines."""
    left = [machine for machine in machines if machine.name not in lost]
    count = Counter(role for machine in left for role in machine.roles)
    return Loss(what, count[LEASE_SERVER], has_majority(count[LEASE_SERVER]), count[SUMMARY], note)


def losses(machines: list[Machine]) -> list[Loss]:
    """Return the worst loss of any one and any two machines, then of each zone and each region."""
    found = [
        _worst_loss(machines, 1, "any one machine"),
        _worst_loss(machines, 2, "any two machines"),
    ]
    for zone in sorted({machine.zone for machine in machines}):
        names = {machine.name for machine in machines if machine.zone == zone}
        found.append(after_loss(machines, names, f"zone {zone}", f"takes {', '.join(sorted(names))}"))
    for region in sorted({machine.region for machine in machines}):
        names = {machine.name for machine in machines if machine.region == region}
        found.append(after_loss(machines, names, f"region {region}", f"takes {', '.join(sorted(names))}"))
    return found


def _worst_loss(machines: list[Machine], count: int, what: str) -> Loss:
    """Return the fewest of everything that any loss of so many machines leaves."""
    tried = [
        after_loss(machines, {machine.name for machine in some}, what)
        for some in combinations(machines, count)
    ]
    kept = sum(loss.majority for loss in tried)
    voters, tasks = min(loss.voters for loss in tried), min(loss.tasks for loss in tried)
    return Loss(what, voters, kept == len(tried), tasks, f"{kept} of {len(tried)} keep a majority")


def region_splits(voters: int = VOTERS) -> list[RegionSplit]:
    """Return each split of the voters over two regions, the larger part first."""
    return [
        RegionSplit(
            first=first,
            second=voters - first,
            survives_first=has_majority(voters - first, voters),
            survives_second=has_majority(first, voters),
        )
        for first in range(voters, voters // 2, -1)
    ]


def survives_with_third_site(voters: int = VOTERS) -> bool:
    """Whether voters with one at a third site survive the loss of any one site."""
    sites = (voters // 2, voters // 2, voters - 2 * (voters // 2))
    return all(has_majority(voters - site, voters) for site in sites)

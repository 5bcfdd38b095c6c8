"""The machines reserved for control: their roles, and the voters that remain after each loss."""

from collections import Counter
from itertools import combinations
from typing import NamedTuple

from .fleet_size import FleetSize
from .workload import zones_in_larger_region

# Roles, by their names in the file of measured costs.
LEASE_SERVER, REPLICA, CONFIG_SERVER = "keeper", "store replica", "config server"
PUBLISHER, SUMMARY = "configuration publisher", "fleet summary"
VOTER_COUNT = 5  # lease servers, store replicas and config servers each


class Machine(NamedTuple):
    """One machine with its place and its roles."""

    name: str
    region: str
    zone: str
    roles: tuple[str, ...]


class Loss(NamedTuple):
    """The voters and machines that remain after a loss of machines."""

    lost: str  # which machines
    voters: int  # remaining voters of each kind, out of VOTER_COUNT
    has_majority: bool  # whether the remaining voters are a majority
    # Remaining machines that can hold the leases of the publisher and the fleet summary.
    single_task_machines: int
    note: str


class RegionSplit(NamedTuple):
    """A split of the voters over two regions."""

    first: int
    second: int
    survives_first: bool  # whether a majority remains without the first region
    survives_second: bool  # the same without the second region


def list_zones(fleet: FleetSize) -> list[tuple[str, str]]:
    """Return the region and name of each zone; the first region has the most zones."""
    zones_per_region = zones_in_larger_region(fleet)
    return [
        (f"r{min(zone // zones_per_region, fleet.size.regions - 1) + 1}", f"z{zone + 1}")
        for zone in range(fleet.size.zones)
    ]


def place_machines(fleet: FleetSize) -> list[Machine]:
    """Place each voter in a separate zone, a majority of them in the larger region.

    The remaining machines run the configuration publisher and the fleet summary.
    """
    zones = list_zones(fleet)
    first_region = [zone for zone in zones if zone[0] == "r1"]
    other_regions = [zone for zone in zones if zone[0] != "r1"]
    # Alternate between the first region and the others.
    order = [zone for pair in zip(first_region, other_regions, strict=False) for zone in pair]
    order += [zone for zone in zones if zone not in order]
    machines = []
    for number in range(fleet.budget.control_machines):
        region, zone = order[number % len(order)]
        roles = (LEASE_SERVER, REPLICA, CONFIG_SERVER) if number < VOTER_COUNT else (PUBLISHER, SUMMARY)
        machines.append(Machine(f"c{number + 1}", region, zone, roles))
    return machines


def has_majority(remaining: int, voters: int = VOTER_COUNT) -> bool:
    """Whether the remaining voters are a majority."""
    return remaining > voters // 2


def compute_loss(machines: list[Machine], lost: set[str], what: str, note: str = "") -> Loss:
    """Count the voters and machines that remain without the lost ones."""
    remaining = [machine for machine in machines if machine.name not in lost]
    count = Counter(role for machine in remaining for role in machine.roles)
    return Loss(what, count[LEASE_SERVER], has_majority(count[LEASE_SERVER]), count[SUMMARY], note)


def assess_losses(machines: list[Machine]) -> list[Loss]:
    """Return the worst loss of any one and any two machines, then the loss of each zone and region."""
    results = [
        _worst_loss(machines, 1, "any one machine"),
        _worst_loss(machines, 2, "any two machines"),
    ]
    for zone in sorted({machine.zone for machine in machines}):
        names = {machine.name for machine in machines if machine.zone == zone}
        results.append(compute_loss(machines, names, f"zone {zone}", f"takes {', '.join(sorted(names))}"))
    for region in sorted({machine.region for machine in machines}):
        names = {machine.name for machine in machines if machine.region == region}
        results.append(compute_loss(machines, names, f"region {region}", f"takes {', '.join(sorted(names))}"))
    return results


def _worst_loss(machines: list[Machine], count: int, what: str) -> Loss:
    """Return the lowest numbers of voters and machines that remain after losing any `count` machines."""
    outcomes = [
        compute_loss(machines, {machine.name for machine in lost}, what)
        for lost in combinations(machines, count)
    ]
    with_majority = sum(loss.has_majority for loss in outcomes)
    voters, tasks = min(loss.voters for loss in outcomes), min(loss.single_task_machines for loss in outcomes)
    note = f"{with_majority} of {len(outcomes)} keep a majority"
    return Loss(what, voters, with_majority == len(outcomes), tasks, note)


def region_splits(voters: int = VOTER_COUNT) -> list[RegionSplit]:
    """Return each split of the voters over two regions, with the larger share in the first region."""
    return [
        RegionSplit(
            first=first,
            second=voters - first,
            survives_first=has_majority(voters - first, voters),
            survives_second=has_majority(first, voters),
        )
        for first in range(voters, voters // 2, -1)
    ]


def survives_with_third_site(voters: int = VOTER_COUNT) -> bool:
    """Whether a majority survives the loss of any one site, if the odd voter is at a third site."""
    sites = (voters // 2, voters // 2, voters - 2 * (voters // 2))
    return all(has_majority(voters - site, voters) for site in sites)

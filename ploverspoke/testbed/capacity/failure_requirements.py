"""Requirements in failures: machines, racks, zones, regions apart, a region lost."""

from typing import NamedTuple

from ..experiment_files.durations import SECOND
from .budgets import PROGRESS, STARTS, estimate_spending
from .machines import VOTERS, layout, losses, survives_with_third_site
from .requirement import (
    CALCULATED,
    FAILURE,
    FROM_RUNS,
    Facts,
    Need,
    Requirement,
    assess_runs,
    number,
    run_limit,
    scaled,
)
from .verdicts import HOLDS, MISSING
from .workload import APART, MACHINE, RACK, RESTART, ZONE, larger_region, lost_workers

SECONDS_PER_MINUTE = 60


class _Failure(NamedTuple):
    """A kind of failure that comes again and again."""

    key: str
    line: str
    design: str
    mechanism: str
    scenario: str  # a word in the names of the scenarios that show it
    situation: str


def repeated_failures(facts: Facts) -> list[Requirement]:
    """Return a requirement for each kind of failure that comes again and again."""
    return [_failure_requirement(facts, failure) for failure in _failures(facts)]


def _failures(facts: Facts) -> list[_Failure]:
    failures = facts.fleet.failures
    rack, zone = (lost_workers(facts.fleet, situation).value for situation in (RACK, ZONE))
    return [
        _Failure(
            key="machine",
            line=f"{failures.machines_a_day:g} machines fail a day",
            design="ejected by its errors, then gone from discovery's list; by the play of a rack",
            mechanism="`decisions/outlier_ejection.py`, `docs/on-call.md`",
            scenario="rack",  # as much as one machine, and more
            situation=MACHINE,
        ),
        _Failure(
            key="restarts",
            line=f"{failures.restarts_a_day:g} are restarted or replaced a day",
            design="workers drain by the list; dispatchers a few at a time under a lease, or replaced "
            "over an inherited socket",
            mechanism="`leases/commands.py` (`restart`), `service/inherited_socket.py`, "
            "`docs/operating-leases.md`",
            scenario="restart",
            situation=RESTART,
        ),
        _Failure(
            key="rack",
            line=f"a rack or switch every {failures.rack_every_days:g} days",
            design=f"as so many machines at once, {rack:g} assumed; repeats may be bound to a rack, "
            "nothing else goes by it",
            mechanism="`decisions/outlier_ejection.py`, `docs/on-call.md`",
            scenario="rack",
            situation=RACK,
        ),
        _Failure(
            key="zone",
            line=f"a zone every {failures.zone_every_days:g} days",
            design=f"{zone:g} workers go and their dispatchers with them; other zones are drawn",
            mechanism="`decisions/worker_choice.py` (`tiers`), `docs/on-call.md`",
            scenario="zone",
            situation=ZONE,
        ),
    ]


def _failure_requirement(facts: Facts, failure: _Failure) -> Requirement:
    runs = assess_runs(facts, facts.runs(failure.scenario))
    spending = _describe_worst_minute(facts, failure.situation)
    return Requirement(
        key=failure.key,
        line=failure.line,
        demand="rules kept, urgent work in time, budgets kept, back by itself",
        design=f"{failure.design}; {runs.text}; {spending}",
        mechanism=failure.mechanism,
        verdict=runs.verdict,
        basis=FROM_RUNS,
        priority=FAILURE,
        limit=run_limit(runs.verdict),
    )


def _describe_worst_minute(facts: Facts, situation: str) -> str:
    """Describe the core share by measured costs, with the fewest dispatchers."""
    fewest = facts.fewest_dispatchers
    without, with_progress = (
        number(scaled(estimate_spending(facts.fleet, facts.costs, fewest, situation, scope).core, 100), "%")
        for scope in (STARTS, PROGRESS)
    )
    return f"by slopes {without} of a core with {fewest} dispatchers, {with_progress} with progress reports"


def regions_apart(facts: Facts) -> Requirement:
    """Regions that cannot reach each other for a while."""
    runs = facts.runs("region", "absence")
    assessment = assess_runs(facts, runs)
    text = assessment.text
    if names := sorted({run.scenario for run in runs if not run.void}):
        text += f" ({'; '.join(names)})"
    by_version = "a version can name another for the zones of a region"
    change = by_version if facts.with_config_distribution else "all go by hand"
    minutes = facts.fleet.failures.regions_apart / SECOND / SECONDS_PER_MINUTE
    return Requirement(
        key="apart",
        line=f"regions apart for {minutes:g} minutes",
        demand="each goes on with its own workers; nothing grows without bound; one fleet again afterwards",
        design="dispatchers keep the last list and eject what they cannot reach; a configuration names "
        f"one discovery, and {change}; the side with fewer voters gets no lease and commits nothing; "
        "what config servers hold for one that is silent: `docs/distribution.md`; "
        f"{text}; {_describe_worst_minute(facts, APART)}",
        mechanism="`routing/endpoint_watch.py`, `leases/manager.py`, `docs/leases.md`",
        verdict=assessment.verdict,
        basis=FROM_RUNS,
        priority=FAILURE,
        limit=run_limit(assessment.verdict),
        needs=[
            Need(
                "changes",
                "discovery, limits and request classes of one region change at all its dispatchers",
            )
        ],
    )


def region_lost(facts: Facts) -> Requirement:
    """A region that is gone."""
    fleet = facts.fleet
    region_losses = [loss for loss in losses(layout(fleet)) if loss.what.startswith("region ")]
    without_majority = " and ".join(loss.what for loss in region_losses if not loss.majority)
    left = fleet.size.zones - larger_region(fleet)
    third_site = "" if survives_with_third_site() else " not"
    return Requirement(
        key="region lost",
        line="a region gone (asked of the machines; not in the list of failures)",
        demand=f"the other goes on: {left} of {fleet.size.zones} zones may be all that is left",
        design=f"without {without_majority} the {VOTERS} voters have no majority, and no split over two "
        f"regions bears the loss of either; one voter at a third site would{third_site}",
        mechanism="members are changed by hand (`consensus/membership.py`, `docs/operating-the-store.md`)",
        verdict=MISSING if without_majority else HOLDS,
        basis=CALCULATED,
        priority=FAILURE,
        limit=f"{fleet.size.regions} regions without a third site",
    )

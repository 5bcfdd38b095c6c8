"""Assesses the requirements in failures of machines, racks, zones and regions, and between regions."""

from typing import NamedTuple

from ..experiment_files.durations import SECOND
from .budgets import SCOPE_PROGRESS, SCOPE_STARTS, estimate_spending
from .machines import VOTER_COUNT, assess_losses, place_machines, survives_with_third_site
from .requirement import (
    CALCULATED,
    FROM_RUNS,
    PRIORITY_FAILURE,
    AssessmentContext,
    Need,
    Requirement,
    assess_runs,
    describe_run_limit,
    format_number,
    scale_estimate,
)
from .time_units import SECONDS_PER_MINUTE
from .verdicts import HOLDS, MISSING
from .workload import MACHINE, RACK, REGIONS_APART, RESTART, ZONE, lost_workers, zones_in_larger_region


class _Failure(NamedTuple):
    """A kind of failure that recurs."""

    key: str
    line: str
    design: str
    mechanism: str
    scenario: str  # a word in the names of the scenarios that test it
    situation: str


def assess_repeated_failures(context: AssessmentContext) -> list[Requirement]:
    """Assess the requirement for each kind of failure that recurs."""
    return [_assess_failure(context, failure) for failure in _recurring_failures(context)]


def _recurring_failures(context: AssessmentContext) -> list[_Failure]:
    failures = context.fleet.failures
    rack, zone = (lost_workers(context.fleet, situation).value for situation in (RACK, ZONE))
    return [
        _Failure(
            key="machine",
            line=f"{failures.machines_a_day:g} machines fail a day",
            design="ejected by its errors, then gone from discovery's list; by the play of a rack",
            mechanism="`decisions/outlier_ejection.py`, `docs/on-call.md`",
            scenario="rack",  # the loss of a rack includes that of a machine
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


def _assess_failure(context: AssessmentContext, failure: _Failure) -> Requirement:
    runs = assess_runs(context, context.find_runs(failure.scenario))
    spending = _describe_worst_minute(context, failure.situation)
    return Requirement(
        key=failure.key,
        statement=failure.line,
        demand="rules kept, urgent work in time, budgets kept, back by itself",
        design=f"{failure.design}; {runs.text}; {spending}",
        mechanism=failure.mechanism,
        verdict=runs.verdict,
        basis=FROM_RUNS,
        priority=PRIORITY_FAILURE,
        limit=describe_run_limit(runs.verdict),
    )


def _describe_worst_minute(context: AssessmentContext, situation: str) -> str:
    """Describe the core share in the worst minute by measured costs, with the fewest dispatchers."""
    fewest = context.fewest_dispatchers
    without, with_progress = (
        format_number(
            scale_estimate(
                estimate_spending(context.fleet, context.costs, fewest, situation, scope).core, 100
            ),
            "%",
        )
        for scope in (SCOPE_STARTS, SCOPE_PROGRESS)
    )
    return f"by slopes {without} of a core with {fewest} dispatchers, {with_progress} with progress reports"


def assess_regions_apart(context: AssessmentContext) -> Requirement:
    """Assess the behaviour while the regions cannot reach each other."""
    runs = context.find_runs("region", "absence")
    assessment = assess_runs(context, runs)
    text = assessment.text
    if names := sorted({run.scenario for run in runs if not run.void}):
        text += f" ({'; '.join(names)})"
    per_region_version = "a version can name another for the zones of a region"
    config_change = per_region_version if context.with_config_distribution else "all go by hand"
    minutes = context.fleet.failures.regions_apart / SECOND / SECONDS_PER_MINUTE
    return Requirement(
        key="apart",
        statement=f"regions apart for {minutes:g} minutes",
        demand="each goes on with its own workers; nothing grows without bound; one fleet again afterwards",
        design="dispatchers keep the last list and eject what they cannot reach; a configuration names "
        f"one discovery, and {config_change}; the side with fewer voters gets no lease and commits nothing; "
        "what config servers hold for one that is silent: `docs/distribution.md`; "
        f"{text}; {_describe_worst_minute(context, REGIONS_APART)}",
        mechanism="`routing/endpoint_watch.py`, `leases/manager.py`, `docs/leases.md`",
        verdict=assessment.verdict,
        basis=FROM_RUNS,
        priority=PRIORITY_FAILURE,
        limit=describe_run_limit(assessment.verdict),
        needs=[
            Need(
                "changes",
                "discovery, limits and request classes of one region change at all its dispatchers",
            )
        ],
    )


def assess_region_loss(context: AssessmentContext) -> Requirement:
    """Assess the loss of a region."""
    fleet = context.fleet
    region_losses = [loss for loss in assess_losses(place_machines(fleet)) if loss.lost.startswith("region ")]
    without_majority = " and ".join(loss.lost for loss in region_losses if not loss.has_majority)
    remaining_zones = fleet.size.zones - zones_in_larger_region(fleet)
    third_site = "" if survives_with_third_site() else " not"
    return Requirement(
        key="region lost",
        statement="a region gone (asked of the machines; not in the list of failures)",
        demand=f"the other goes on: {remaining_zones} of {fleet.size.zones} zones may be all that is left",
        design=f"without {without_majority} the {VOTER_COUNT} voters have no majority, and no split over two "
        f"regions bears the loss of either; one voter at a third site would{third_site}",
        mechanism="members are changed by hand (`consensus/membership.py`, `docs/operating-the-store.md`)",
        verdict=MISSING if without_majority else HOLDS,
        basis=CALCULATED,
        priority=PRIORITY_FAILURE,
        limit=f"{fleet.size.regions} regions without a third site",
    )

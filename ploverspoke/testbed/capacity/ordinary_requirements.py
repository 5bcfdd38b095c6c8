"""Requirements on an ordinary day and at its peak.

What they say of the code is written by hand, from the modules that they name; their figures come from
measured costs, results of scenarios and the fleet file alone.
"""

import msgspec

from ..experiment_files.durations import SECOND
from .budgets import PROGRESS, STARTS, WATCHED, budget_verdict, core_share_with_tasks, estimate_spending
from .requirement import (
    FROM_CODE,
    FROM_CONFIG_SERVERS,
    FROM_RUNS,
    KILOBYTE,
    NO_MECHANISM,
    ORDINARY_DAY,
    PEAK_SCENARIO,
    Facts,
    Need,
    Requirement,
    assess_metric,
    assess_runs,
    limit_text,
    measured_or_run,
    number,
    run_limit,
    scaled,
)
from .verdicts import FAILS, MISSING, OVER
from .workload import DAY, PEAK, configuration_changes, largest_zone_part, running_time


def workers(facts: Facts) -> Requirement:
    """All workers are known to each dispatcher."""
    count = facts.fleet.size.workers
    max_measured = facts.max_measured("workers_listed")
    limit = facts.load_at_limit("core_share", "workers_listed", facts.fleet.budget.core_share, STARTS)
    runs = assess_runs(facts, facts.runs(PEAK_SCENARIO), ("rule",))
    verdict, basis = measured_or_run(runs.verdict, max_measured, count)
    return Requirement(
        key="workers",
        line=f"{count} workers",
        demand=f"each dispatcher knows and may use all {count}",
        design=f"the whole list at each; one dispatcher measured to {max_measured:.3g} listed; {runs.text}",
        mechanism="`routing/endpoint_watch.py`, `docs/architecture.md`",
        verdict=verdict,
        basis=basis,
        priority=ORDINARY_DAY,
        limit=limit_text(limit, "listed workers") + ", by the share of a core",
    )


def starts(facts: Facts) -> Requirement:
    """The day's jobs, and the starts of tasks at the peak."""
    size = facts.fleet.size
    each = size.task_starts_a_second / facts.fewest_dispatchers
    max_measured = facts.max_measured("starts_a_second")
    limit = facts.load_at_limit("core_share", "starts_a_second", facts.fleet.budget.core_share, STARTS)
    runs = assess_metric(facts, "starts_a_second", size.task_starts_a_second, "starts a second")
    verdict, basis = measured_or_run(runs.verdict, max_measured, each)
    return Requirement(
        key="starts",
        line=f"{size.jobs_a_day:,} jobs a day, {size.task_starts_a_second:g} starts a second at the peak",
        demand=f"{size.jobs_a_day / DAY:.2g} jobs a second; {each:.2g} starts a second at one of "
        f"{facts.fewest_dispatchers} dispatchers",
        design=f"each hands out its own; one dispatcher measured to {max_measured:.3g} a second; {runs.text}",
        mechanism="`decisions/queues.py`, `docs/design.md`",
        verdict=verdict,
        basis=basis,
        priority=ORDINARY_DAY,
        limit=limit_text(limit, "starts a second at one dispatcher") + ", by its share of a core",
    )


def tasks(facts: Facts) -> Requirement:
    """The tasks that run at once."""
    size = facts.fleet.size
    each = size.tasks_running / facts.fewest_dispatchers
    at_worker = size.tasks_running / size.workers
    max_measured = facts.max_measured("tasks_running")
    runs = assess_metric(facts, "tasks_running", size.tasks_running, "tasks running")
    verdict, basis = measured_or_run(runs.verdict, max_measured, each)
    return Requirement(
        key="tasks",
        line=f"{size.tasks_running:,} tasks running",
        demand=f"{each:.3g} at one of {facts.fewest_dispatchers} dispatchers, {at_worker:.2g} at a worker; "
        f"each runs for {running_time(facts.fleet):.3g} s, where the peak lasts",
        design="one worker call and one connection for each; one dispatcher measured to "
        f"{max_measured:.3g}; {runs.text}",
        mechanism="`routing/worker_calls.py`, `docs/architecture.md`",
        verdict=verdict,
        basis=basis,
        priority=ORDINARY_DAY,
        limit="the connections to workers that `limits.sockets` leaves; its share of a core is a row below",
    )


def gangs(facts: Facts) -> Requirement:
    """Tasks that start together or not at all."""
    gang = facts.fleet.size.largest_gang
    core = core_share_with_tasks(facts.fleet, facts.costs, gang, PROGRESS)
    share = number(None if core is None else 100 * core, "% of a core")
    return Requirement(
        key="gangs",
        line=f"gangs of up to {gang}",
        demand="all tasks of a gang begin together, or none does",
        design="each task is a request of its own: a part of a gang may run and hold workers while the "
        f"rest waits. {gang} tasks at one dispatcher, with progress reports: {share}",
        mechanism=NO_MECHANISM,
        verdict=MISSING,
        basis=FROM_CODE,
        priority=ORDINARY_DAY,
        limit="2 tasks in a gang",
        needs=[Need("quotas", f"one start takes up to {gang} of a team's places at once")],
    )


def quotas(facts: Facts) -> Requirement:
    """Quotas of teams over all dispatchers."""
    teams = facts.fleet.size.teams
    return Requirement(
        key="quotas",
        line=f"{teams} teams with quotas",
        demand="over all dispatchers a team has no more than its quota, and its quota when it asks",
        design="a request may name its tenant, and settings may list their shares; the dispatcher reads "
        "neither. `MaxOpen` bounds one dispatcher, whoever asks; nothing is counted over two of them",
        mechanism=NO_MECHANISM,
        verdict=MISSING,
        basis=FROM_CODE,
        priority=ORDINARY_DAY,
        limit="1 team with a quota",
        needs=[Need("changes", f"the table of {teams} quotas changes, and is the same at all dispatchers")],
    )


def urgent_work(facts: Facts) -> Requirement:
    """Urgent work starts in time."""
    size = facts.fleet.size
    runs = assess_runs(facts, facts.runs(PEAK_SCENARIO), ("urgent",))
    return Requirement(
        key="urgent",
        line=f"urgent work starts within {size.urgent_starts_within / SECOND:g} s",
        demand="at the peak, and in a failure",
        design="request classes with latency objectives of their own; a queue is first come, first "
        "served within a slot count and machine kind, but for those that are too late; nothing that runs is "
        f"preempted; {runs.text}",
        mechanism="`decisions/admission_policy.py` (queueing budgets, weights), `docs/design.md`",
        verdict=runs.verdict,
        basis=FROM_RUNS,
        priority=ORDINARY_DAY,
        limit=f"where all slots are busy: how many a worker has is not stated, "
        f"{size.tasks_running / size.workers:.2g} of them run",
        needs=[
            Need("quotas", "what is over its quota has to wait when workers are full"),
            Need("changes", "limits of other request classes are tightened everywhere at once in a failure"),
        ],
    )


def configuration_updates(facts: Facts) -> Requirement:
    """Changes of the configuration, and the time until they are applied."""
    size = facts.fleet.size
    seconds = size.config_applied_within / SECOND
    busiest = configuration_changes(facts.fleet, PEAK).value
    requirement = Requirement(
        key="changes",
        line=f"{size.configuration_changes_a_day} changes of configuration a day, "
        f"applied within {seconds:g} s",
        demand=f"{busiest:.2g} a minute in the busiest hour (assumed), at every dispatcher",
        design="each reads a file of its own at SIGHUP (`service/service.py`); `lease publish` commits "
        "to a store, which its own replicas alone take; nothing notifies dispatchers, or says what is "
        "applied where",
        mechanism=NO_MECHANISM,
        verdict=MISSING,
        basis=FROM_CODE,
        priority=ORDINARY_DAY,
        limit="2 machines with a dispatcher",
    )
    if not facts.with_config_distribution:
        return requirement
    runs = assess_runs(facts, facts.runs(FROM_CONFIG_SERVERS), ("in force", "rule"))
    verdict, watch_costs = _with_watch_costs(facts, runs.verdict)
    return msgspec.structs.replace(
        requirement,
        design="config servers agree on versions and notify every dispatcher that watches; with fewer "
        f"of them it was measured (`docs/distribution.md`); {runs.text}; {watch_costs}",
        mechanism="`config_distribution/`, `docs/distribution.md`",
        verdict=verdict,
        basis=FROM_RUNS,
        limit=run_limit(verdict),
    )


def _with_watch_costs(facts: Facts, verdict: str) -> tuple[str, str]:
    """Return the verdict with the costs of the watch, and these: over the budget it does not hold."""
    largest = max(facts.fleet.size.dispatchers)
    spending = estimate_spending(facts.fleet, facts.costs, largest, PEAK, WATCHED)
    share, kilobytes = scaled(spending.core, 100), scaled(spending.bytes, 1 / KILOBYTE)
    text = f"control with a watch {number(share, '% of a core')}, {number(kilobytes, ' KB/s')}"
    is_over = budget_verdict(facts.fleet.budget, spending) == OVER
    return (OVER if is_over and verdict != FAILS else verdict), text


def zones(facts: Facts) -> Requirement:
    """Work stays in its zone."""
    size = facts.fleet.size
    runs = assess_runs(facts, facts.runs(PEAK_SCENARIO), ("rule",))
    return Requirement(
        key="zones",
        line=f"{size.regions} regions with {size.zones} zones",
        demand=f"work stays near; {largest_zone_part(facts.fleet, size.workers)} workers in a zone",
        design="own zone first, others where it has no capacity; a region is not known: zones of the "
        f"other are no further away; {runs.text}",
        mechanism="`decisions/worker_choice.py` (`tiers`), `docs/design.md`",
        verdict=runs.verdict,
        basis=FROM_RUNS,
        priority=ORDINARY_DAY,
        limit="2 regions, where the way between them is dearer than between zones",
    )

"""Assesses the requirements on an ordinary day and at its peak.

The descriptions of the design are written by hand, based on the modules that they name. All figures come only
from measured costs, results of scenarios and the fleet file.
"""

import msgspec

from ..experiment_files.durations import SECOND
from .budgets import (
    SCOPE_PROGRESS,
    SCOPE_STARTS,
    SCOPE_WATCHED,
    budget_verdict,
    core_share_with_tasks,
    estimate_spending,
)
from .requirement import (
    FROM_CODE,
    FROM_CONFIG_SERVERS,
    FROM_RUNS,
    KILOBYTE,
    NO_MECHANISM,
    PEAK_SCENARIO,
    PRIORITY_ORDINARY_DAY,
    AssessmentContext,
    Need,
    Requirement,
    assess_metric,
    assess_runs,
    choose_verdict,
    describe_limit,
    describe_run_limit,
    format_number,
    scale_estimate,
)
from .time_units import SECONDS_PER_DAY
from .verdicts import FAILS, MISSING, OVER_BUDGET
from .workload import PEAK, config_change_rate, largest_zone_share, mean_running_time_s


def assess_workers(context: AssessmentContext) -> Requirement:
    """Assess whether each dispatcher knows all workers."""
    count = context.fleet.size.workers
    max_measured = context.max_measured_load("workers_listed")
    limit = context.load_at_limit(
        "core_share", "workers_listed", context.fleet.budget.core_share, SCOPE_STARTS
    )
    runs = assess_runs(context, context.find_runs(PEAK_SCENARIO), ("rule",))
    verdict, basis = choose_verdict(runs.verdict, max_measured, count)
    return Requirement(
        key="workers",
        statement=f"{count} workers",
        demand=f"each dispatcher knows and may use all {count}",
        design=f"the whole list at each; one dispatcher measured to {max_measured:.3g} listed; {runs.text}",
        mechanism="`routing/endpoint_watch.py`, `docs/architecture.md`",
        verdict=verdict,
        basis=basis,
        priority=PRIORITY_ORDINARY_DAY,
        limit=describe_limit(limit, "listed workers") + ", by the share of a core",
    )


def assess_starts(context: AssessmentContext) -> Requirement:
    """Assess the number of jobs a day and the starts of tasks at the peak."""
    size = context.fleet.size
    rate_per_dispatcher = size.task_starts_a_second / context.fewest_dispatchers
    max_measured = context.max_measured_load("starts_a_second")
    limit = context.load_at_limit(
        "core_share", "starts_a_second", context.fleet.budget.core_share, SCOPE_STARTS
    )
    runs = assess_metric(context, "starts_a_second", size.task_starts_a_second, "starts a second")
    verdict, basis = choose_verdict(runs.verdict, max_measured, rate_per_dispatcher)
    return Requirement(
        key="starts",
        statement=f"{size.jobs_a_day:,} jobs a day, "
        f"{size.task_starts_a_second:g} starts a second at the peak",
        demand=f"{size.jobs_a_day / SECONDS_PER_DAY:.2g} jobs a second; "
        f"{rate_per_dispatcher:.2g} starts a second at one of {context.fewest_dispatchers} dispatchers",
        design=f"each hands out its own; one dispatcher measured to {max_measured:.3g} a second; {runs.text}",
        mechanism="`decisions/queues.py`, `docs/design.md`",
        verdict=verdict,
        basis=basis,
        priority=PRIORITY_ORDINARY_DAY,
        limit=describe_limit(limit, "starts a second at one dispatcher") + ", by its share of a core",
    )


def assess_running_tasks(context: AssessmentContext) -> Requirement:
    """Assess the number of tasks that run at the same time."""
    size = context.fleet.size
    tasks_per_dispatcher = size.tasks_running / context.fewest_dispatchers
    tasks_per_worker = size.tasks_running / size.workers
    max_measured = context.max_measured_load("tasks_running")
    runs = assess_metric(context, "tasks_running", size.tasks_running, "tasks running")
    verdict, basis = choose_verdict(runs.verdict, max_measured, tasks_per_dispatcher)
    return Requirement(
        key="tasks",
        statement=f"{size.tasks_running:,} tasks running",
        demand=f"{tasks_per_dispatcher:.3g} at one of {context.fewest_dispatchers} dispatchers, "
        f"{tasks_per_worker:.2g} at a worker; each runs for "
        f"{mean_running_time_s(context.fleet):.3g} s, where the peak lasts",
        design="one worker call and one connection for each; one dispatcher measured to "
        f"{max_measured:.3g}; {runs.text}",
        mechanism="`routing/worker_calls.py`, `docs/architecture.md`",
        verdict=verdict,
        basis=basis,
        priority=PRIORITY_ORDINARY_DAY,
        limit="the connections to workers that `limits.sockets` leaves; its share of a core is a row below",
    )


def assess_gangs(context: AssessmentContext) -> Requirement:
    """Assess gangs: tasks that start either all together or not at all."""
    gang = context.fleet.size.largest_gang
    core_share = core_share_with_tasks(context.fleet, context.costs, gang, SCOPE_PROGRESS)
    core_text = format_number(None if core_share is None else 100 * core_share, "% of a core")
    return Requirement(
        key="gangs",
        statement=f"gangs of up to {gang}",
        demand="all tasks of a gang begin together, or none does",
        design="each task is a request of its own: a part of a gang may run and hold workers while the "
        f"rest waits. {gang} tasks at one dispatcher, with progress reports: {core_text}",
        mechanism=NO_MECHANISM,
        verdict=MISSING,
        basis=FROM_CODE,
        priority=PRIORITY_ORDINARY_DAY,
        limit="2 tasks in a gang",
        needs=[Need("quotas", f"one start takes up to {gang} of a team's places at once")],
    )


def assess_quotas(context: AssessmentContext) -> Requirement:
    """Assess the quotas of teams over all dispatchers."""
    teams = context.fleet.size.teams
    return Requirement(
        key="quotas",
        statement=f"{teams} teams with quotas",
        demand="over all dispatchers a team has no more than its quota, and its quota when it asks",
        design="a request may name its tenant, and settings may list their shares; the dispatcher reads "
        "neither. `MaxOpen` bounds one dispatcher, whoever asks; nothing is counted over two of them",
        mechanism=NO_MECHANISM,
        verdict=MISSING,
        basis=FROM_CODE,
        priority=PRIORITY_ORDINARY_DAY,
        limit="1 team with a quota",
        needs=[Need("changes", f"the table of {teams} quotas changes, and is the same at all dispatchers")],
    )


def assess_urgent_work(context: AssessmentContext) -> Requirement:
    """Assess whether urgent work starts in time."""
    size = context.fleet.size
    runs = assess_runs(context, context.find_runs(PEAK_SCENARIO), ("urgent",))
    return Requirement(
        key="urgent",
        statement=f"urgent work starts within {size.urgent_starts_within / SECOND:g} s",
        demand="at the peak, and in a failure",
        design="request classes with latency objectives of their own; a queue is first come, first "
        "served within a slot count and machine kind, but for those that are too late; nothing that runs is "
        f"preempted; {runs.text}",
        mechanism="`decisions/admission_policy.py` (queueing budgets, weights), `docs/design.md`",
        verdict=runs.verdict,
        basis=FROM_RUNS,
        priority=PRIORITY_ORDINARY_DAY,
        limit=f"where all slots are busy: how many a worker has is not stated, "
        f"{size.tasks_running / size.workers:.2g} of them run",
        needs=[
            Need("quotas", "what is over its quota has to wait when workers are full"),
            Need("changes", "limits of other request classes are tightened everywhere at once in a failure"),
        ],
    )


def assess_config_changes(context: AssessmentContext) -> Requirement:
    """Assess the rate of configuration changes and the time until they are applied."""
    size = context.fleet.size
    seconds = size.config_applied_within / SECOND
    peak_rate = config_change_rate(context.fleet, PEAK).value
    requirement = Requirement(
        key="changes",
        statement=f"{size.configuration_changes_a_day} changes of configuration a day, "
        f"applied within {seconds:g} s",
        demand=f"{peak_rate:.2g} a minute in the busiest hour (assumed), at every dispatcher",
        design="each reads a file of its own at SIGHUP (`service/service.py`); `lease publish` commits "
        "to a store, which its own replicas alone take; nothing notifies dispatchers, or says what is "
        "applied where",
        mechanism=NO_MECHANISM,
        verdict=MISSING,
        basis=FROM_CODE,
        priority=PRIORITY_ORDINARY_DAY,
        limit="2 machines with a dispatcher",
    )
    if not context.with_config_distribution:
        return requirement
    runs = assess_runs(context, context.find_runs(FROM_CONFIG_SERVERS), ("in force", "rule"))
    verdict, watch_costs = _with_watch_costs(context, runs.verdict)
    return msgspec.structs.replace(
        requirement,
        design="config servers agree on versions and notify every dispatcher that watches; with fewer "
        f"of them it was measured (`docs/distribution.md`); {runs.text}; {watch_costs}",
        mechanism="`config_distribution/`, `docs/distribution.md`",
        verdict=verdict,
        basis=FROM_RUNS,
        limit=describe_run_limit(verdict),
    )


def _with_watch_costs(context: AssessmentContext, verdict: str) -> tuple[str, str]:
    """Return the verdict, with the cost of the watch included, and a description of that cost.

    If the cost exceeds the budget, every verdict but FAILS becomes OVER_BUDGET.
    """
    largest = max(context.fleet.size.dispatchers)
    spending = estimate_spending(context.fleet, context.costs, largest, PEAK, SCOPE_WATCHED)
    share, kilobytes = scale_estimate(spending.core, 100), scale_estimate(spending.bytes, 1 / KILOBYTE)
    text = f"control with a watch {format_number(share, '% of a core')}, {format_number(kilobytes, ' KB/s')}"
    exceeds_budget = budget_verdict(context.fleet.budget, spending) == OVER_BUDGET
    return (OVER_BUDGET if exceeds_budget and verdict != FAILS else verdict), text


def assess_zones(context: AssessmentContext) -> Requirement:
    """Assess whether work stays in its zone."""
    size = context.fleet.size
    runs = assess_runs(context, context.find_runs(PEAK_SCENARIO), ("rule",))
    return Requirement(
        key="zones",
        statement=f"{size.regions} regions with {size.zones} zones",
        demand=f"work stays near; {largest_zone_share(context.fleet, size.workers)} workers in a zone",
        design="own zone first, others where it has no capacity; a region is not known: zones of the "
        f"other are no further away; {runs.text}",
        mechanism="`decisions/worker_choice.py` (`tiers`), `docs/design.md`",
        verdict=runs.verdict,
        basis=FROM_RUNS,
        priority=PRIORITY_ORDINARY_DAY,
        limit="2 regions, where the way between them is dearer than between zones",
    )

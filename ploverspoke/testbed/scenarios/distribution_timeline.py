"""The faults of a config distribution run: faults drawn from its seed, and faults between its regions."""

from ..experiment_files.durations import MILLISECOND, SECOND, Duration
from ..experiment_files.fault_timeline import FaultStep
from ..processes.drawn_timeline import FaultWeight, draw_timeline
from .distribution_experiment import REGIONS, DistributionScenario

# When dispatchers' folders are copied, so that dispatchers can later start with an older folder.
COPY_AT = Duration(1500 * MILLISECOND)
FIRST_FAULT_AT = 2 * SECOND  # the earliest fault of a dispatcher, once the folders are copied
JITTER_DIVISOR = 4  # the delay between regions varies by the delay divided by this
SHORT_FAULT = [Duration(100 * MILLISECOND), Duration(3 * SECOND)]  # shortest and longest duration
LONG_FAULT = [Duration(100 * MILLISECOND), Duration(6 * SECOND)]
INSTANT = [Duration(0), Duration(0)]


def draw_distribution_timeline(scenario: DistributionScenario, seed: int) -> list[FaultStep]:
    """Draw the faults of a run, which are determined by its seed."""
    servers, dispatchers = scenario.server_names(), scenario.dispatcher_names()
    processes = [*servers, *dispatchers]
    kills, pauses = scenario.kill_interval, scenario.pause_interval
    cuts, rough_links = scenario.cut_interval, scenario.rough_link_interval
    weights = [
        ("kill", dispatchers, kills, SHORT_FAULT),
        ("kill", servers, kills * 2, SHORT_FAULT),
        ("restart", processes, kills * 3, INSTANT),
        ("empty", dispatchers, kills * 3, SHORT_FAULT),
        ("older", dispatchers, kills * 3, SHORT_FAULT),
        ("pause", dispatchers, pauses, LONG_FAULT),
        ("pause", servers, pauses * 2, SHORT_FAULT),
        ("cut", processes, cuts, LONG_FAULT),
        ("cut", servers, cuts * 3, SHORT_FAULT),
        ("silent", dispatchers, cuts * 3, SHORT_FAULT),
        ("rough", processes, rough_links, LONG_FAULT),
        ("reset", dispatchers, rough_links * 2, INSTANT),
    ]
    steps = draw_timeline(
        [
            FaultWeight(kind=kind, processes=targets, interval=Duration(interval), durations=durations)
            for kind, targets, interval, durations in weights
            if interval
        ],
        scenario.run_duration,
        seed,
        calm=scenario.calm_end_duration(),
    )
    if any(step.kind == "older" for step in steps):
        steps = _with_copied_folders(steps, dispatchers)
    return [*steps, *region_steps(scenario)]


def _with_copied_folders(steps: list[FaultStep], dispatchers: list[str]) -> list[FaultStep]:
    """Add steps that copy the folders of all dispatchers, and drop earlier faults of dispatchers."""
    kept_steps = [
        step for step in steps if step.start >= FIRST_FAULT_AT or not set(step.processes) & set(dispatchers)
    ]
    return [*kept_steps, *(FaultStep(start=COPY_AT, kind="copy", processes=[name]) for name in dispatchers)]


def region_steps(scenario: DistributionScenario) -> list[FaultStep]:
    """Return the delay between the regions, and their partition."""
    names = [*scenario.server_names(), *scenario.dispatcher_names()]
    first, second = ([name for name in names if name.startswith(region)] for region in REGIONS)
    steps = []
    if scenario.region_delay:
        delay = FaultStep(
            start=Duration(0),
            kind="delay",
            processes=first,
            peers=second,
            both_directions=True,
            delay=scenario.region_delay,
            jitter=Duration(scenario.region_delay // JITTER_DIVISOR),
        )
        steps.append(delay)
    if scenario.partition_duration:
        partition = FaultStep(
            start=scenario.partition_start,
            kind="cut",
            processes=first,
            peers=second,
            both_directions=True,
            duration=scenario.partition_duration,
        )
        steps.append(partition)
    return steps

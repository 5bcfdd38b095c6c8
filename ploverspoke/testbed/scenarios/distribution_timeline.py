"""The faults of a config distribution run: those drawn from its seed, and those between its regions."""

from ..experiment_files.durations import MILLISECOND, SECOND, Duration
from ..experiment_files.fault_timeline import FaultStep
from ..processes.drawn_timeline import FaultWeight, draw_timeline
from .distribution_experiment import REGIONS, DistributionScenario

COPY_AT = Duration(1500 * MILLISECOND)  # of dispatchers' folders, for later starts with an older one
FIRST_FAULT_AT = 2 * SECOND  # of dispatchers, once their folders are copied
JITTER_SHARE = 4  # the delay between regions varies by a part in so many
SHORT_FAULT = [Duration(100 * MILLISECOND), Duration(3 * SECOND)]  # least and longest duration
LONG_FAULT = [Duration(100 * MILLISECOND), Duration(6 * SECOND)]
INSTANT = [Duration(0), Duration(0)]


def draw_distribution_timeline(scenario: DistributionScenario, seed: int) -> list[FaultStep]:
    """Return the faults of a run, which follow from its seed."""
    servers, dispatchers = scenario.server_names(), scenario.dispatcher_names()
    everyone = [*servers, *dispatchers]
    kills, pauses = scenario.kill_interval, scenario.pause_interval
    cuts, rough = scenario.cut_interval, scenario.rough_link_interval
    weights = [
        ("kill", dispatchers, kills, SHORT_FAULT),
        ("kill", servers, kills * 2, SHORT_FAULT),
        ("restart", everyone, kills * 3, INSTANT),
        ("empty", dispatchers, kills * 3, SHORT_FAULT),
        ("older", dispatchers, kills * 3, SHORT_FAULT),
        ("pause", dispatchers, pauses, LONG_FAULT),
        ("pause", servers, pauses * 2, SHORT_FAULT),
        ("cut", everyone, cuts, LONG_FAULT),
        ("cut", servers, cuts * 3, SHORT_FAULT),
        ("silent", dispatchers, cuts * 3, SHORT_FAULT),
        ("rough", everyone, rough, LONG_FAULT),
        ("reset", dispatchers, rough * 2, INSTANT),
    ]
    steps = draw_timeline(
        [
            FaultWeight(kind=kind, processes=processes, interval=Duration(interval), durations=durations)
            for kind, processes, interval, durations in weights
            if interval
        ],
        scenario.run_duration,
        seed,
        calm=scenario.calm_end(),
    )
    if any(step.kind == "older" for step in steps):
        steps = _with_copied_folders(steps, dispatchers)
    return [*steps, *region_steps(scenario)]


def _with_copied_folders(steps: list[FaultStep], dispatchers: list[str]) -> list[FaultStep]:
    """Copy the folders of all dispatchers before anything else is done to them."""
    later = [
        step for step in steps if step.start >= FIRST_FAULT_AT or not set(step.processes) & set(dispatchers)
    ]
    return [*later, *(FaultStep(start=COPY_AT, kind="copy", processes=[name]) for name in dispatchers)]


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
            jitter=Duration(scenario.region_delay // JITTER_SHARE),
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

"""Experiment files of config distribution (`kind = "distribution"`): scenario, demands, and their checks."""

from typing import Any

import msgspec

from ..checkers.distribution_checker import MIN_FAULTS, MIN_VERSIONS
from ..experiment_files.durations import MILLISECOND, SECOND, Duration, format_duration
from ..experiment_files.fault_timeline import TimelineError
from ..experiment_files.timeline_experiment import TimelineExperiment, convert_timeline_experiment

REGIONS = ("a", "b")
QUIET_END = 2 * SECOND  # ns without faults and publications, in addition to the limit of the checks
SERVER_COUNTS = (3, 5)
MAX_DISPATCHERS = 64
MAX_PUBLISHERS = 16

# The key in an experiment file of each field of the scenario whose name differs.
SCENARIO_KEYS = {
    "run_duration": "lasts",
    "publish_interval": "every",
    "retry_share": "stubborn",
    "prefers_one_server": "near_one",
    "probe_interval": "probe",
    "election_timeout": "election",
    "snapshot_interval": "snapshot_every",
    "region_delay": "far",
    "kill_interval": "kills",
    "pause_interval": "pauses",
    "cut_interval": "cuts",
    "rough_link_interval": "rough",
    "empty_folder_interval": "emptied",
    "leader_cut_interval": "leader_cut",
    "publish_pause_interval": "hushes",
    "partition_start": "apart_at",
    "partition_duration": "apart",
    "sample_interval": "seen_every",
}
POSITIVE_FIELDS = ("publish_interval", "probe_interval", "election_timeout", "within")


class DistributionScenario(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, rename=SCENARIO_KEYS
):
    """Config servers, dispatchers that watch them, publishers, and the frequency of faults.

    Intervals between faults are means; with 0 there are no faults of that kind.
    """

    servers: int = 3
    dispatchers: int = 6
    run_duration: Duration = Duration(25 * SECOND)
    within: Duration = Duration(10 * SECOND)  # the limit that is checked, from acknowledged to active
    publishers: int = 3
    publish_interval: Duration = Duration(600 * MILLISECOND)  # mean, between publications of one publisher
    retry_share: float = 0.75  # share of publications that are retried if no answer comes
    # Whether each dispatcher prefers one server, assigned in turn, instead of the servers of its region.
    prefers_one_server: bool = False
    probe_interval: Duration = Duration(150 * MILLISECOND)  # between two rounds at one dispatcher
    election_timeout: Duration = Duration(200 * MILLISECOND)
    snapshot_interval: int = 100  # log entries
    region_delay: Duration = Duration(20 * MILLISECOND)  # from one region to the other
    kill_interval: Duration = Duration(3 * SECOND)
    pause_interval: Duration = Duration(3 * SECOND)
    cut_interval: Duration = Duration(2 * SECOND)
    rough_link_interval: Duration = Duration(3 * SECOND)
    empty_folder_interval: Duration = Duration(8 * SECOND)  # between starts of a server without its folder
    # The leader is cut off from the other servers for most of the interval.
    leader_cut_interval: Duration = Duration(0)
    # In a pause, nothing is published after a refused version for `within` and one more second.
    publish_pause_interval: Duration = Duration(0)
    partition_start: Duration = Duration(0)  # of the partition between the regions
    partition_duration: Duration = Duration(0)
    sample_interval: Duration = Duration(0)  # between samples of memory, disk and traffic

    def region(self, number: int) -> str:
        """Return the region of a server or dispatcher."""
        return REGIONS[number % len(REGIONS)]

    def server_names(self) -> list[str]:
        """Return the names of the servers; each begins with its region."""
        return [f"{self.region(n)}-s{n}" for n in range(self.servers)]

    def dispatcher_names(self) -> list[str]:
        """Return the names of the dispatchers; each begins with its region."""
        return [f"{self.region(n)}-d{n}" for n in range(self.dispatchers)]

    def calm_end_duration(self) -> int:
        """Return the length of the period at the end without faults and publications, in ns."""
        return self.within + QUIET_END


class DistributionDemands(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    rename={"faults": "troubles", "max_calm_delay": "calm"},
):
    """The demands on a run."""

    versions: int = MIN_VERSIONS  # seen active; with fewer the run is void
    faults: int = MIN_FAULTS  # with fewer the run is void
    max_calm_delay: Duration = Duration(0)  # from acknowledged to active, without faults; 0: no limit


class DistributionExperiment(
    TimelineExperiment,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    rename={"scenario": "plan", "demands": "must_hold"},
):
    """A whole experiment file; if it is calm, the only fault is the partition of the regions."""

    scenario: DistributionScenario = DistributionScenario()
    demands: DistributionDemands = DistributionDemands()


def read_distribution_experiment(document: dict[str, Any]) -> DistributionExperiment:
    """Read and check a file that was parsed as TOML.

    Raises:
        TimelineError: the file is invalid; the error names the key.
    """
    experiment = convert_timeline_experiment(document, DistributionExperiment)
    _check_counts(experiment.scenario)
    _check_times(experiment.scenario)
    return experiment


def _check_counts(scenario: DistributionScenario) -> None:
    if scenario.servers not in SERVER_COUNTS:
        raise TimelineError(key="plan.servers", problem="expected 3 or 5")
    has_valid_counts = (
        1 <= scenario.dispatchers <= MAX_DISPATCHERS and 1 <= scenario.publishers <= MAX_PUBLISHERS
    )
    if not has_valid_counts:
        problem = f"expected 1 to {MAX_DISPATCHERS}, and plan.publishers 1 to {MAX_PUBLISHERS}"
        raise TimelineError(key="plan.dispatchers", problem=problem)


def _check_times(scenario: DistributionScenario) -> None:
    for name in POSITIVE_FIELDS:
        if getattr(scenario, name) <= 0:
            key = SCENARIO_KEYS.get(name, name)
            raise TimelineError(key=f"plan.{key}", problem="expected more than 0")
    calm_end = scenario.calm_end_duration()
    if scenario.run_duration < 2 * calm_end:
        problem = f"expected at least {format_duration(2 * calm_end)}, twice plan.within and more"
        raise TimelineError(key="plan.lasts", problem=problem)
    partition_end = scenario.partition_start + scenario.partition_duration
    if scenario.partition_duration and partition_end + calm_end > scenario.run_duration:
        problem = f"expected to end {format_duration(calm_end)} before plan.lasts or earlier"
        raise TimelineError(key="plan.apart", problem=problem)

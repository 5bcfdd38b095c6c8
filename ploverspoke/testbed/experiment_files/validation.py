"""Checks of an experiment that its types cannot express; errors name the keys of the file."""

import math

from .errors import ExperimentError
from .experiment import Experiment
from .fault_tables import Fault, NamedDispatcherFault, RegionPartition, SettingsChange, ZonePartition
from .fault_timeline import TimelineError, check_timeline


def check_experiment(experiment: Experiment) -> None:
    """Check the ranges of values, and that everything that the experiment refers to exists.

    Raises:
        ExperimentError: The first check that fails.
    """
    _check_run(experiment)
    _check_workers(experiment)
    _check_request_classes(experiment)
    _check_traffic(experiment)
    _check_regions(experiment)
    for number, fault in enumerate(experiment.faults):
        _check_fault(experiment, fault, f"troubles[{number}]")
    _check_timeline(experiment)
    _check_acceptance(experiment)


def _require(is_valid: bool, key: str, reason: str) -> None:
    if not is_valid:
        raise ExperimentError(reason, key)


def _check_run(experiment: Experiment) -> None:
    _require(experiment.duration > 0, "lasts", "must be more than 0")
    _require(
        experiment.measured_from < experiment.duration, "counted_from", "is not before the end of the run"
    )
    _require(len(experiment.seeds) > 0, "seeds", "expected at least one")
    _require(len(experiment.policies) > 0, "policies", "expected at least one")
    _require(len(experiment.request_classes) > 0, "grades", "expected at least one")
    _require(bool(experiment.workers), "workers", "expected at least one")
    _require(bool(experiment.traffic), "traffic", "expected at least one")
    names = {request_class.name for request_class in experiment.request_classes}
    _require(len(names) == len(experiment.request_classes), "grades", "two have the same name")
    _require(experiment.dispatchers.count > 0, "dispatchers.count", "must be 1 or more")


def _check_workers(experiment: Experiment) -> None:
    for number, group in enumerate(experiment.workers):
        is_positive = group.count > 0 and group.slots > 0 and group.speed > 0
        _require(is_positive, f"workers[{number}]", "count, slots and speed must be more than 0")


def _check_request_classes(experiment: Experiment) -> None:
    max_slots = max(group.slots for group in experiment.workers)
    kinds = experiment.machine_kinds()
    for number, request_class in enumerate(experiment.request_classes):
        key, kind = f"grades[{number}]", request_class.machine_kind
        _require(not kind or kind in kinds, f"{key}.kind", f"no worker is of kind {kind!r}")
        is_not_negative = request_class.share >= 0 and request_class.weight >= 0
        _require(is_not_negative, key, "share and benefit must not be below 0")
        is_ordered = request_class.latency_objective <= request_class.deadline
        _require(is_ordered, f"{key}.expected_time", "is longer than abandon_time")
        for slots in request_class.slot_shares:
            fits = _is_number(slots) and 0 < float(slots) <= max_slots
            _require(fits, f"{key}.slots", f"no worker has {slots!r} slots")


def _check_traffic(experiment: Experiment) -> None:
    for number, phase in enumerate(experiment.traffic):
        key = f"traffic[{number}]"
        end = experiment.duration if phase.end is None else phase.end
        is_within_run = phase.start < end <= experiment.duration
        _require(is_within_run, key, "its period is empty or ends after the run")
        is_in_range = phase.rate >= 0 and 0 <= phase.wave_amplitude <= 1 and phase.burst_size > 0
        _require(is_in_range, key, "rate, wave or burst is out of range")


def _check_regions(experiment: Experiment) -> None:
    network = experiment.network
    zones = [zone for region in network.regions for zone in region]
    if not zones:
        return
    _require(
        sorted(zones) == sorted(experiment.zones()),
        "network.regions",
        "each zone must be in exactly one region",
    )
    _require(network.other_region >= network.other_zone, "network.farther", "must not be less than far")


def _check_fault(experiment: Experiment, fault: Fault, key: str) -> None:
    ends_in_time = fault.start + fault.duration <= experiment.duration
    _require(ends_in_time, key, f"{fault.name!r} ends after the run")
    unknown = set(fault.workers) - set(experiment.worker_names())
    _require(not unknown, f"{key}.workers", f"unknown workers: {sorted(unknown)}")
    zone_exists = not fault.zone or fault.zone in experiment.zones()
    _require(zone_exists, f"{key}.zone", f"no worker is in zone {fault.zone!r}")
    kind_exists = not fault.machine_kind or fault.machine_kind in experiment.machine_kinds()
    _require(kind_exists, f"{key}.kind", f"no worker is of kind {fault.machine_kind!r}")
    _require(0 <= fault.share <= 1, f"{key}.share", "must be between 0 and 1")
    if isinstance(fault, ZonePartition):
        _require(bool(fault.zone), f"{key}.zone", "expected the zone to cut off")
    elif isinstance(fault, RegionPartition):
        region_exists = 0 <= fault.region < len(experiment.network.regions)
        _require(region_exists, f"{key}.region", "network.regions has no region with that index")
    elif isinstance(fault, SettingsChange):
        _check_settings_change(experiment, fault, key)
    elif isinstance(fault, NamedDispatcherFault):
        all_exist = all(0 <= dispatcher < experiment.dispatchers.count for dispatcher in fault.dispatchers)
        names_dispatchers = all_exist and bool(fault.dispatchers)
        _require(names_dispatchers, f"{key}.dispatchers", "must list existing dispatchers, numbered from 0")


def _check_settings_change(experiment: Experiment, change: SettingsChange, key: str) -> None:
    names = {request_class.name for request_class in experiment.request_classes}
    _require(set(change.idempotency) <= names, f"{key}.repeat", "names an unknown grade")
    is_in_range = change.max_attempts is None or change.max_attempts > 0
    _require(is_in_range, f"{key}.most_hand_offs", "must be more than 0")


def _check_timeline(experiment: Experiment) -> None:
    try:
        check_timeline(experiment.timeline, [f"d{number}" for number in range(experiment.dispatchers.count)])
    except TimelineError as error:
        raise ExperimentError(str(error)) from None


def _check_acceptance(experiment: Experiment) -> None:
    names = {request_class.name for request_class in experiment.request_classes}
    for name in experiment.acceptance.min_service_by_class:
        _require(name in names, f"must_hold.service_of_grade.{name}", "names an unknown grade")
    for policy in experiment.acceptance.min_margin_over:
        _require(policy in experiment.policies, f"must_hold.over.{policy}", "is not among the policies")


def _is_number(text: str) -> bool:
    try:
        return math.isfinite(float(text))
    except ValueError:
        return False

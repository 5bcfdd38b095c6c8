"""Builds the settings of a dispatcher from an experiment, in the format of its configuration."""

from typing import Any

from ..experiment_files.durations import MICROSECOND
from ..experiment_files.experiment import Experiment
from ..experiment_files.tables import Idempotency, RequestClass

IDEMPOTENCY_SETTINGS = {
    Idempotency.IDEMPOTENT: "free",
    Idempotency.IDEMPOTENT_WITH_KEY: "guarded",
    Idempotency.NON_IDEMPOTENT: "single_shot",
}
RETRY_SCOPE_SETTINGS = {"all": "all", "zone": "zone", "rack": "cell"}
IDLE_TIMEOUT_US = 30_000_000
LIST_VALIDITY_US = 10_000_000
BATCH_INTERVAL_US = 2000
CROSS_ZONE_COST = 0.01
ANY_MACHINE_KIND = -1


def dispatcher_settings(experiment: Experiment, dispatcher: int, at: int = 0) -> dict[str, Any]:
    """Return the settings of a dispatcher, by its number, `at` ns after the start of the run."""
    zones = experiment.zones()
    return {
        "Discovery": "ask" if experiment.rules.discovery_polling else "push",
        "Localities": zones,
        "HostTypes": experiment.machine_kinds(),
        "Zone": dispatcher % len(zones),
        "PeersTotal": experiment.dispatchers.count,
        "SlotNo": dispatcher,
        "RoundUs": BATCH_INTERVAL_US,
        "ServiceGrades": _request_classes(experiment, at),
        "Tenants": [{"Name": tenant.name, "Portion": tenant.share} for tenant in experiment.tenants],
        "Domain": _workers(experiment),
        "Report": {"Via": "on_probe", "Fields": ["backlog", "x0"]},
        "Limits": _limits(experiment, at),
        "Invariants": _invariants(experiment),
        "Tariffs": {"CrossZone": CROSS_ZONE_COST if len(zones) > 1 else 0.0},
    }


def _microseconds(nanoseconds: int) -> int:
    return nanoseconds // MICROSECOND


def _request_classes(experiment: Experiment, at: int) -> list[dict[str, Any]]:
    rules = experiment.rules_at(at)
    return [
        _request_class(request_class, idempotency)
        for request_class, idempotency in zip(experiment.request_classes, rules.idempotency, strict=True)
    ]


def _request_class(request_class: RequestClass, idempotency: Idempotency) -> dict[str, Any]:
    return {
        "Name": request_class.name,
        "Repeat": IDEMPOTENCY_SETTINGS[idempotency],
        "Group": RETRY_SCOPE_SETTINGS[request_class.retry_scope],
        "RepeatWindowUs": _microseconds(request_class.retry_window),
        "ExpectedTimeUs": _microseconds(request_class.latency_objective),
        "AbandonTimeUs": _microseconds(request_class.deadline),
        "Benefit": request_class.weight,
        "OverdueBenefit": request_class.overdue_weight,
    }


def _workers(experiment: Experiment) -> dict[str, Any]:
    kinds = experiment.machine_kinds()
    required_kinds = [request_class.machine_kind for request_class in experiment.request_classes]
    return {
        "TellsStart": experiment.worker_rules.reports_start,
        "ProgressUs": _microseconds(experiment.worker_rules.progress_interval),
        "ReportX0": "free slots",
        "ClassKind": [kinds.index(kind) if kind else ANY_MACHINE_KIND for kind in required_kinds],
    }


def _limits(experiment: Experiment, at: int) -> dict[str, Any]:
    rules = experiment.rules
    return {
        "MaxHandOffs": experiment.rules_at(at).max_attempts,
        "Cancel": rules.cancel,
        "Probing": rules.probing,
        "RetryAfter": rules.retry_after,
        "MaxRetryAfterUs": _microseconds(rules.max_retry_after),
        "ConnectTimeoutUs": _microseconds(experiment.network.connect_timeout),
        "IdleCloseUs": IDLE_TIMEOUT_US,
        "Peers": experiment.dispatchers.gossip,
    }


def _invariants(experiment: Experiment) -> dict[str, Any]:
    workers = experiment.worker_rules
    return {
        "StopSendingWithinUs": _microseconds(experiment.rules.drain_grace),
        "MustAskInUs": LIST_VALIDITY_US,
        "ColdShare": workers.warmup_share,
        "WarmWithinUs": _microseconds(workers.warmup_period),
        "TipMultiple": workers.overload_multiple,
        "FallUs": _microseconds(workers.overload_window),
    }

"""The settings that a dispatcher is given in an experiment, in the form that its configuration has."""

from typing import Any

from ..experiment_files.durations import MICROSECOND
from ..experiment_files.experiment import Experiment

REPEATS = {"redoable": "free", "labelled": "guarded", "irreversible": "single_shot"}
GROUPS = {"all": "all", "zone": "zone", "rack": "cell"}


def dispatcher_settings(e: Experiment, dispatcher: int, at: int = 0) -> dict[str, Any]:
    """As they are at that time of the run."""

    def us(span: int) -> int:
        return span // MICROSECOND

    kinds, rules, workers = e.kinds(), e.rules, e.worker_rules
    repeat, most_hand_offs = e.rules_at(at)
    return {
        "Discovery": "ask" if rules.discovery_polling else "push",
        "Localities": e.zones(),
        "HostTypes": kinds,
        "Zone": dispatcher % len(e.zones()),
        "PeersTotal": e.dispatchers.count,
        "SlotNo": dispatcher,
        "RoundUs": 2000,
        "ServiceGrades": [
            {
                "Name": g.name,
                "Repeat": REPEATS[r],
                "Group": GROUPS[g.retry_scope],
                "RepeatWindowUs": us(g.retry_window),
                "ExpectedTimeUs": us(g.latency_objective),
                "AbandonTimeUs": us(g.deadline),
                "Benefit": g.weight,
                "OverdueBenefit": g.overdue_weight,
            }
            for g, r in zip(e.request_classes, repeat, strict=True)
        ],
        "Tenants": [{"Name": c.name, "Portion": c.share} for c in e.tenants],
        "Domain": {
            "TellsStart": workers.reports_start,
            "ProgressUs": us(workers.progress_interval),
            "ReportX0": "free slots",
            "ClassKind": [kinds.index(g.machine_kind) if g.machine_kind else -1 for g in e.request_classes],
        },
        "Report": {"Via": "on_probe", "Fields": ["backlog", "x0"]},
        "Limits": {
            "MaxHandOffs": most_hand_offs,
            "Cancel": rules.cancel,
            "Probing": rules.probing,
            "RetryAfter": rules.retry_after,
            "MaxRetryAfterUs": us(rules.max_retry_after),
            "ConnectTimeoutUs": us(e.network.connect_timeout),
            "IdleCloseUs": 30_000_000,
            "Peers": e.dispatchers.gossip,
        },
        "Invariants": {
            "StopSendingWithinUs": us(rules.drain_grace),
            "MustAskInUs": 10_000_000,
            "ColdShare": workers.warmup_share,
            "WarmWithinUs": us(workers.warmup_period),
            "TipMultiple": workers.overload_multiple,
            "FallUs": us(workers.overload_window),
        },
        "Tariffs": {"CrossZone": 0.01 if len(e.zones()) > 1 else 0.0},
    }

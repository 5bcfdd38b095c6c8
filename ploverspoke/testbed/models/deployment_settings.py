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
        "Discovery": "ask" if rules.asks_first else "push",
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
                "Group": GROUPS[g.group],
                "RepeatWindowUs": us(g.window),
                "ExpectedTimeUs": us(g.latency_objective),
                "AbandonTimeUs": us(g.deadline),
                "Benefit": g.weight,
                "OverdueBenefit": g.overdue_weight,
            }
            for g, r in zip(e.request_classes, repeat, strict=True)
        ],
        "Tenants": [{"Name": c.name, "Portion": c.share} for c in e.tenants],
        "Domain": {
            "TellsStart": workers.tells_start,
            "ProgressUs": us(workers.progress_every),
            "ReportX0": "free slots",
            "ClassKind": [kinds.index(g.kind) if g.kind else -1 for g in e.request_classes],
        },
        "Report": {"Via": "on_probe", "Fields": ["backlog", "x0"]},
        "Limits": {
            "MaxHandOffs": most_hand_offs,
            "Cancel": rules.recall,
            "Probing": rules.probing,
            "RetryAfter": rules.come_back_advice,
            "MaxRetryAfterUs": us(rules.longest_come_back),
            "ConnectTimeoutUs": us(e.network.connect_time_out),
            "IdleCloseUs": 30_000_000,
            "Peers": e.dispatchers.talk,
        },
        "Invariants": {
            "StopSendingWithinUs": us(rules.stop_sending_within),
            "MustAskInUs": 10_000_000,
            "ColdShare": workers.cold_share,
            "WarmWithinUs": us(workers.warm_within),
            "TipMultiple": workers.tip_multiple,
            "FallUs": us(workers.fall_within),
        },
        "Tariffs": {"CrossZone": 0.01 if len(e.zones()) > 1 else 0.0},
    }

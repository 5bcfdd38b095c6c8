"""The standing orders: what a deployment's settings tell the decisions, in our words and in nanoseconds."""

from collections.abc import Mapping
from typing import Any

from ploverspoke.protocol.wire_names import GROUPS, LOAD_NAMES, REPEATS
from ploverspoke.transport.units import MILLISECOND, SECOND

from .config_reader import ConfigSection

ROSTER_ASK_WITHIN = 10 * SECOND  # where no rule says it: retries of a lost watch are no rarer
LEAST_ASK_WITHIN = 200 * MILLISECOND  # waits follow from it: without any, calls would follow on one another
REPORTS = {"inline": "answers", "on_probe": "probes", "off": "none"}


def standing_orders(settings: Mapping[str, Any], path: str = "") -> dict[str, Any]:
    """One plain map of the settings, checked. Raises ConfigError."""
    profile = ConfigSection(settings, path)
    grades = profile.parts("ServiceGrades", least=1)
    limits, rules, domain = profile.part("Limits"), profile.part("Invariants"), profile.part("Domain")
    report, prices = profile.part("Report"), profile.part("Tariffs")
    for name in domain.value:
        if name.startswith("Class"):
            domain.row_for_each(name, 0, len(grades))
    most_hand_offs = limits.whole("MaxHandOffs", 1, least=1)
    free_slots = domain.text("ReportX0", "") == "free slots"
    return {
        "round": profile.time("RoundUs", 0),
        "dispatchers": profile.whole("PeersTotal", 1, least=1),
        "dispatcher_number": profile.whole("SlotNo", 0),
        "zone": profile.whole("Zone", 0),
        "roster_must_be_asked": profile.text("Discovery", "push") == "ask",
        "roster_ask_within": max(rules.time("MustAskInUs", 0) or ROSTER_ASK_WITHIN, LEAST_ASK_WITHIN),
        "grades": list(range(len(grades))),  # the numbers of those in force
        # One value for each service grade.
        "most_hand_offs": [most_hand_offs] * len(grades),
        "expected_time": [g.time("ExpectedTimeUs", least=1) for g in grades],
        "abandon_time": [g.time("AbandonTimeUs", least=1) for g in grades],
        "benefit": [g.number("Benefit", 1.0) for g in grades],
        "overdue_benefit": [g.number("OverdueBenefit", 0.0) for g in grades],
        "repeat": [g.word("Repeat", REPEATS) for g in grades],
        "repeat_group": [g.word("Group", GROUPS, "all") for g in grades],
        "repeat_window": [g.time("RepeatWindowUs", 0) for g in grades],
        "machine_kind_needed": [int(k) for k in domain.row_for_each("ClassKind", -1, len(grades))],
        "running_time_stretch": domain.row_for_each("ClassStretch", 0.0, len(grades)),
        # What workers tell.
        "tells_start": domain.flag("TellsStart"),
        "progress_every": domain.time("ProgressUs", 0),
        "load_reports": report.word("Via", REPORTS, "off"),
        "load_fields": [
            "free_slots" if f == "x0" and free_slots else LOAD_NAMES.get(f, f)
            for f in report.row("Fields", [], str)
        ],
        # What is permitted.
        "recall_permitted": limits.flag("Cancel"),
        "probing_permitted": limits.flag("Probing"),
        "telling_permitted": limits.flag("Peers"),
        "come_back_advice": limits.flag("RetryAfter"),
        "longest_come_back": limits.time("MaxRetryAfterUs", 0),
        "connect_time_out": limits.time("ConnectTimeoutUs", 0) or SECOND,
        "idle_limit": limits.time("IdleCloseUs", 30_000_000),
        "most_open": limits.whole("MaxOpen", 10_000, least=1),
        # The figures of the rules.
        "full_may_have_run": rules.flag("FullMayHaveRun"),
        "only_draining_binds": rules.flag("SoftRemoval"),
        "cold_share": rules.number("ColdShare"),
        "warm_within": rules.time("WarmWithinUs"),
        "tip_multiple": rules.number("TipMultiple"),
        "fall_within": rules.time("FallUs"),
        # Prices.
        "zone_crossing_price": prices.number("CrossZone", 0.0),
        "probe_price": prices.number("Probe", 0.0),
        "waste_price": prices.number("Waste", 0.0),
        "telling_price": prices.number("Peer", 0.0),
    }


def names(settings: Mapping[str, Any], path: str = "") -> dict[str, list[str]]:
    """What clients and discovery call things, in the order in which the standing orders number them."""
    profile = ConfigSection(settings, path)
    grades: list[str] = []
    for grade in profile.parts("ServiceGrades", least=1):
        name = grade.text("Name")
        if not name or name in grades:
            raise grade.bad("Name", "a name of its own")
        grades.append(name)
    return {
        "grades": grades,
        "zones": profile.row("Localities", [], str),
        "machine_kinds": profile.row("HostTypes", [], str),
    }

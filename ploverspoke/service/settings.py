"""Builds the typed settings of the decisions from the operators' names; times become nanoseconds."""

from collections.abc import Mapping
from typing import Any

from ploverspoke.decisions.settings import (
    DeploymentNames,
    Idempotency,
    LoadReporting,
    RequestClass,
    RetryScope,
    Settings,
)
from ploverspoke.protocol.wire_names import LOAD_NAMES
from ploverspoke.transport.units import MILLISECOND, SECOND

from .config_reader import ConfigSection

DEFAULT_POLL_INTERVAL = 10 * SECOND  # where no rule gives one; retries of a lost watch are no rarer
SHORTEST_POLL_INTERVAL = 200 * MILLISECOND  # pauses follow from it; none would make a busy loop

# The operators' words and what they mean.
IDEMPOTENCY = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.IDEMPOTENT_WITH_KEY,
    "single_shot": Idempotency.NON_IDEMPOTENT,
}
RETRY_SCOPES = {"all": RetryScope.ALL, "zone": RetryScope.ZONE, "cell": RetryScope.RACK}
LOAD_REPORTING = {
    "inline": LoadReporting.ANSWERS,
    "on_probe": LoadReporting.PROBES,
    "off": LoadReporting.NONE,
}


def parse_settings(document: Mapping[str, Any], path: str = "") -> Settings:
    """Check the `settings` of a configuration and return them typed.

    `path` is prefixed to the keys that errors name. Raises ConfigError.
    """
    top = ConfigSection(document, path)
    limits, rules, domain = top.part("Limits"), top.part("Invariants"), top.part("Domain")
    report, prices = top.part("Report"), top.part("Tariffs")
    count = len(top.parts("ServiceGrades", least=1))
    return Settings(
        batch_interval=top.time("RoundUs", 0),
        dispatcher_count=top.whole("PeersTotal", 1, least=1),
        dispatcher_index=top.whole("SlotNo", 0),
        zone=top.whole("Zone", 0),
        discovery_polling=top.text("Discovery", "push") == "ask",
        discovery_poll_interval=max(
            rules.time("MustAskInUs", 0) or DEFAULT_POLL_INTERVAL, SHORTEST_POLL_INTERVAL
        ),
        classes=_parse_classes(top, limits, domain),
        active_classes=tuple(range(count)),
        workers_report_start=domain.flag("TellsStart"),
        progress_interval=domain.time("ProgressUs", 0),
        load_reporting=report.word("Via", LOAD_REPORTING, "off"),
        load_fields=_parse_load_fields(report, domain),
        cancel_allowed=limits.flag("Cancel"),
        probing_allowed=limits.flag("Probing"),
        gossip_allowed=limits.flag("Peers"),
        send_retry_after=limits.flag("RetryAfter"),
        max_retry_after=limits.time("MaxRetryAfterUs", 0),
        connect_timeout=limits.time("ConnectTimeoutUs", 0) or SECOND,
        idle_timeout=limits.time("IdleCloseUs", 30_000_000),
        max_open_requests=limits.whole("MaxOpen", 10_000, least=1),
        full_may_have_run=rules.flag("FullMayHaveRun"),
        only_draining_is_binding=rules.flag("SoftRemoval"),
        warmup_share=rules.number("ColdShare"),
        warmup_period=rules.time("WarmWithinUs"),
        overload_multiple=rules.number("TipMultiple"),
        overload_window=rules.time("FallUs"),
        cross_zone_cost=prices.number("CrossZone", 0.0),
        probe_cost=prices.number("Probe", 0.0),
        waste_cost=prices.number("Waste", 0.0),
        gossip_cost=prices.number("Peer", 0.0),
    )


def parse_names(document: Mapping[str, Any], path: str = "") -> DeploymentNames:
    """Read what clients and discovery call things. Raises ConfigError."""
    top = ConfigSection(document, path)
    names: list[str] = []
    for section in top.parts("ServiceGrades", least=1):
        name = section.text("Name")
        if not name or name in names:
            raise section.bad("Name", "a name of its own")
        names.append(name)
    zones, machine_kinds = top.row("Localities", [], str), top.row("HostTypes", [], str)
    return DeploymentNames(tuple(names), tuple(zones), tuple(machine_kinds))


def _parse_classes(
    top: ConfigSection, limits: ConfigSection, domain: ConfigSection
) -> tuple[RequestClass, ...]:
    sections = top.parts("ServiceGrades", least=1)
    count = len(sections)
    for name in domain.value:
        if name.startswith("Class"):
            domain.row_for_each(name, 0, count)
    max_attempts = limits.whole("MaxHandOffs", 1, least=1)
    # By key and not by class: where several are wrong, the error names the first key.
    columns = (
        [section.time("ExpectedTimeUs", least=1) for section in sections],
        [section.time("AbandonTimeUs", least=1) for section in sections],
        [section.number("Benefit", 1.0) for section in sections],
        [section.number("OverdueBenefit", 0.0) for section in sections],
        [section.word("Repeat", IDEMPOTENCY) for section in sections],
        [section.word("Group", RETRY_SCOPES, "all") for section in sections],
        [section.time("RepeatWindowUs", 0) for section in sections],
        [int(kind) for kind in domain.row_for_each("ClassKind", -1, count)],
        domain.row_for_each("ClassStretch", 0.0, count),
        [max_attempts] * count,
    )
    return tuple(RequestClass(*values) for values in zip(*columns, strict=True))


def _parse_load_fields(report: ConfigSection, domain: ConfigSection) -> tuple[str, ...]:
    free_slots = domain.text("ReportX0", "") == "free slots"
    return tuple(
        "free_slots" if field == "x0" and free_slots else LOAD_NAMES.get(field, field)
        for field in report.row("Fields", [], str)
    )

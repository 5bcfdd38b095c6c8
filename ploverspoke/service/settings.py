"""Converts the operators' settings to the typed settings of the decisions, with times in nanoseconds."""

from ploverspoke.decisions.settings import (
    ANY_MACHINE_KIND,
    DeploymentNames,
    Idempotency,
    LoadReporting,
    RequestClass,
    RetryScope,
    Settings,
)
from ploverspoke.protocol.wire_names import LOAD_NAMES
from ploverspoke.transport.units import MILLISECOND, SECOND

from .config_reader import ConfigSection, JsonDocument

# If MustAskInUs is missing or 0. A failed watch is retried at least this often.
DEFAULT_POLL_INTERVAL = 10 * SECOND
DEFAULT_DRAIN_GRACE_US = 500_000  # if StopSendingWithinUs is missing
DEFAULT_IDLE_TIMEOUT_US = 30_000_000
DEFAULT_MAX_OPEN_REQUESTS = 10_000
MIN_POLL_INTERVAL = 200 * MILLISECOND  # backoffs are derived from the interval and must not be 0

# The values in the operators' settings, mapped to the values in the code.
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


def parse_settings(document: JsonDocument, path: str = "") -> Settings:
    """Validate and return a configuration's `settings`; errors name keys below `path`. Raises ConfigError."""
    top = ConfigSection(document, path)
    limits, rules, domain = top.section("Limits"), top.section("Invariants"), top.section("Domain")
    report, prices = top.section("Report"), top.section("Tariffs")
    count = len(top.sections("ServiceGrades", minimum=1))
    return Settings(
        batch_interval=top.duration("RoundUs", 0),
        dispatcher_count=top.integer("PeersTotal", 1, minimum=1),
        dispatcher_index=top.integer("SlotNo", 0),
        zone=top.integer("Zone", 0),
        discovery_polling=top.text("Discovery", "push") == "ask",
        discovery_poll_interval=_parse_poll_interval(rules),
        classes=_parse_classes(top, limits, domain),
        active_classes=tuple(range(count)),
        drain_grace=rules.duration("StopSendingWithinUs", DEFAULT_DRAIN_GRACE_US),
        workers_report_start=domain.boolean("TellsStart"),
        progress_interval=domain.duration("ProgressUs", 0),
        load_reporting=report.choice("Via", LOAD_REPORTING, "off"),
        load_fields=_parse_load_fields(report, domain),
        cancel_allowed=limits.boolean("Cancel"),
        probing_allowed=limits.boolean("Probing"),
        gossip_allowed=limits.boolean("Peers"),
        send_retry_after=limits.boolean("RetryAfter"),
        max_retry_after=limits.duration("MaxRetryAfterUs", 0),
        connect_timeout=limits.duration("ConnectTimeoutUs", 0) or SECOND,
        idle_timeout=limits.duration("IdleCloseUs", DEFAULT_IDLE_TIMEOUT_US),
        max_open_requests=limits.integer("MaxOpen", DEFAULT_MAX_OPEN_REQUESTS, minimum=1),
        full_may_have_run=rules.boolean("FullMayHaveRun"),
        only_draining_is_binding=rules.boolean("SoftRemoval"),
        warmup_share=rules.number("ColdShare"),
        warmup_period=rules.duration("WarmWithinUs"),
        overload_multiple=rules.number("TipMultiple"),
        overload_window=rules.duration("FallUs"),
        cross_zone_cost=prices.number("CrossZone", 0.0),
        probe_cost=prices.number("Probe", 0.0),
        waste_cost=prices.number("Waste", 0.0),
        gossip_cost=prices.number("Peer", 0.0),
    )


def parse_names(document: JsonDocument, path: str = "") -> DeploymentNames:
    """Read the names that clients and discovery use. Raises ConfigError."""
    top = ConfigSection(document, path)
    names: list[str] = []
    for section in top.sections("ServiceGrades", minimum=1):
        name = section.text("Name")
        if not name or name in names:
            raise section.invalid("Name", "a unique name that is not empty")
        names.append(name)
    zones, machine_kinds = top.values("Localities", [], str), top.values("HostTypes", [], str)
    return DeploymentNames(tuple(names), tuple(zones), tuple(machine_kinds))


def _parse_poll_interval(rules: ConfigSection) -> int:
    return max(rules.duration("MustAskInUs", 0) or DEFAULT_POLL_INTERVAL, MIN_POLL_INTERVAL)


def _parse_classes(
    top: ConfigSection, limits: ConfigSection, domain: ConfigSection
) -> tuple[RequestClass, ...]:
    sections = top.sections("ServiceGrades", minimum=1)
    count = len(sections)
    for name in domain.value:
        if name.startswith("Class"):
            domain.values_per_class(name, 0, count)
    max_attempts = limits.integer("MaxHandOffs", 1, minimum=1)
    # Read key by key, not class by class: if several keys are invalid, the error names the first one.
    columns = (
        [section.duration("ExpectedTimeUs", minimum=1) for section in sections],
        [section.duration("AbandonTimeUs", minimum=1) for section in sections],
        [section.number("Benefit", 1.0) for section in sections],
        [section.number("OverdueBenefit", 0.0) for section in sections],
        [section.choice("Repeat", IDEMPOTENCY) for section in sections],
        [section.choice("Group", RETRY_SCOPES, "all") for section in sections],
        [section.duration("RepeatWindowUs", 0) for section in sections],
        [int(kind) for kind in domain.values_per_class("ClassKind", ANY_MACHINE_KIND, count)],
        domain.values_per_class("ClassStretch", 0.0, count),
        [max_attempts] * count,
    )
    return tuple(RequestClass(*values) for values in zip(*columns, strict=True))


def _parse_load_fields(report: ConfigSection, domain: ConfigSection) -> tuple[str, ...]:
    free_slots = domain.text("ReportX0", "") == "free slots"
    return tuple(
        "free_slots" if field == "x0" and free_slots else LOAD_NAMES.get(field, field)
        for field in report.values("Fields", [], str)
    )

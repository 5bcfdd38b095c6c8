"""Settings of a dispatcher with three request classes, and variants of them."""

from dataclasses import fields, replace
from typing import Any

from ploverspoke.decisions.settings import (
    ANY_MACHINE_KIND,
    Idempotency,
    LoadReporting,
    RequestClass,
    RetryScope,
    Settings,
)
from ploverspoke.decisions.state import MILLISECOND, SECOND

MS = MILLISECOND
IDEMPOTENT_CLASS = RequestClass(
    latency_objective=100 * MS,
    deadline=3 * SECOND,
    priority_weight=1.0,
    overdue_weight=0.25,
    idempotency=Idempotency.IDEMPOTENT,
    retry_scope=RetryScope.ALL,
    retry_window=SECOND,
    machine_kind=ANY_MACHINE_KIND,
    latency_stretch=2.0,
    max_attempts=4,
)
DECISION_SETTINGS = Settings(
    classes=(
        IDEMPOTENT_CLASS,
        replace(
            IDEMPOTENT_CLASS,
            latency_objective=300 * MS,
            priority_weight=2.0,
            overdue_weight=0.0,
            idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
            retry_scope=RetryScope.RACK,
        ),
        replace(
            IDEMPOTENT_CLASS,
            latency_objective=300 * MS,
            priority_weight=3.0,
            overdue_weight=0.5,
            idempotency=Idempotency.NON_IDEMPOTENT,
            machine_kind=1,
        ),
    ),
    active_classes=(0, 1, 2),
    batch_interval=2 * MS,
    dispatcher_count=2,
    dispatcher_index=0,
    zone=0,
    discovery_polling=True,
    discovery_poll_interval=10 * SECOND,
    drain_grace=500 * MS,
    workers_report_start=True,
    progress_interval=SECOND,
    load_reporting=LoadReporting.NONE,
    load_fields=(),
    cancel_allowed=True,
    probing_allowed=True,
    gossip_allowed=False,
    send_retry_after=True,
    max_retry_after=SECOND,
    connect_timeout=SECOND,
    idle_timeout=30 * SECOND,
    max_open_requests=10_000,
    full_may_have_run=False,
    only_draining_is_binding=False,
    warmup_share=0.3,
    warmup_period=5 * SECOND,
    overload_multiple=3.0,
    overload_window=2 * SECOND,
    cross_zone_cost=0.0,
    probe_cost=1.0,
    waste_cost=0.0,
    gossip_cost=0.0,
)
PROBING_SETTINGS: dict[str, Any] = {"probe_cost": 0.001, "machine_kind": [ANY_MACHINE_KIND] * 3}
CLASS_FIELDS = {field.name for field in fields(RequestClass)}


def settings_with(**overrides: Any) -> Settings:
    """Return DECISION_SETTINGS with other values; a field of the classes takes one value for each class."""
    classes = DECISION_SETTINGS.classes
    for name in CLASS_FIELDS & set(overrides):
        values = overrides.pop(name)
        classes = tuple(replace(each, **{name: value}) for each, value in zip(classes, values, strict=True))
    return replace(DECISION_SETTINGS, classes=classes, **overrides)

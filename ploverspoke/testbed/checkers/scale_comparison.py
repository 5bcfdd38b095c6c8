"""Compares simulated with real dispatchers, and marks the metrics in which they differ too much as void."""

from collections.abc import Sequence
from typing import NamedTuple

from .scale_metrics import Metrics

# Totals over the network in each direction. Calls to discovery are not compared on their own: they are so few
# that their number depends on when a measured interval begins.
METRIC_KINDS: dict[str, Sequence[str]] = {
    "bytes": ("network_bytes_in", "network_bytes_out", "clients_bytes_in", "clients_bytes_out"),
    "messages": (
        "network_messages_in",
        "network_messages_out",
        "clients_messages_in",
        "clients_messages_out",
    ),
    "processor time": ("core_share",),
}
ALWAYS_VOID = "memory"  # simulated dispatchers share one interpreter with its modules
MEMORY_METRIC = "resident_mb_a_dispatcher"
# Substrings by which metrics of each kind are recognized.
NAME_PARTS = {
    "bytes": ("bytes_",),
    "messages": ("messages_",),
    "processor time": ("core_share",),
    "memory": ("resident_",),
}
VOID_MARK = "(void)"


class ScaleComparison(NamedTuple):
    """Simulated metrics as shares of the real ones, and the kinds that differ too much."""

    ratios: Metrics
    void_kinds: list[str]


def compare_metrics(simulated: Metrics, real: Metrics, max_difference: float) -> ScaleComparison:
    """Compare metric by metric; `max_difference` is a share of the real metric."""
    ratios: Metrics = {}
    if real.get(MEMORY_METRIC):
        ratios[MEMORY_METRIC] = simulated.get(MEMORY_METRIC, 0.0) / real[MEMORY_METRIC]
    void_kinds = []
    for kind, keys in METRIC_KINDS.items():
        kind_ratios = {key: simulated.get(key, 0.0) / real[key] for key in keys if real.get(key)}
        if any(abs(ratio - 1) > max_difference for ratio in kind_ratios.values()):
            void_kinds.append(kind)
        ratios |= kind_ratios
    return ScaleComparison(ratios, void_kinds)


def mark_void_metrics(metrics: Metrics, void_kinds: Sequence[str]) -> Metrics:
    """Mark the names of metrics of a void kind; they keep their values."""
    parts = [part for kind in void_kinds for part in NAME_PARTS[kind]]
    return {_mark_if_void(name, parts): value for name, value in metrics.items()}


def _mark_if_void(name: str, parts: Sequence[str]) -> str:
    is_void = VOID_MARK not in name and any(part in name for part in parts)
    return f"{name} {VOID_MARK}" if is_void else name

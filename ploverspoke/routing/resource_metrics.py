"""The metric lines of memory held, and of how long connections and timers held up the event loop."""

from collections.abc import Iterator

from ploverspoke.protocol import admin
from ploverspoke.transport.connections import ConnectionMonitor
from ploverspoke.transport.loop_meter import ConnectionKind
from ploverspoke.transport.memory_account import UNLIMITED, MemoryKind
from ploverspoke.transport.process_memory import resident_bytes
from ploverspoke.transport.units import MICROSECOND


def resource_metric_lines(monitor: ConnectionMonitor) -> Iterator[str]:
    """Yield the lines of the gauges that operators fetch."""
    memory, meter = monitor.memory, monitor.loop_meter
    for kind in MemoryKind:
        yield admin.labeled_counter_line("memory_held_bytes", {"kind": kind.value}, memory.held[kind])
    yield admin.counter_line("memory_held_peak_bytes", memory.peak)
    if memory.limit != UNLIMITED:
        yield admin.counter_line("memory_held_limit_bytes", memory.limit)
    yield admin.counter_line("memory_resident_bytes", resident_bytes())
    for connection_kind in ConnectionKind:
        labels = {"connection": connection_kind.value}
        longest = meter.longest_step_us(connection_kind)
        yield admin.labeled_counter_line("longest_step_us", labels, longest)
        yield admin.labeled_counter_line("slow_steps", labels, meter.slow_steps[connection_kind])
    yield admin.counter_line("longest_timer_delay_us", meter.longest_timer_delay // MICROSECOND)

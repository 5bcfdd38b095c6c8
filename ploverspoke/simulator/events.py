"""Handlers that report the simulator's events to a dispatcher."""

from binascii import a2b_base64
from collections.abc import Callable, Mapping

from ploverspoke.decisions.interface import AttemptOutcome, AttemptResult, LoadGossip
from ploverspoke.protocol.errors import GossipSyntaxError
from ploverspoke.protocol.workers import LoadReport
from ploverspoke.transport.units import MICROSECOND

from . import wire_names as wire
from .codec import Message
from .dispatcher_instance import DispatcherInstance
from .errors import FieldValueError, UnknownTableError

EventHandler = Callable[[DispatcherInstance, Message], None]


def handle_request_arrived(instance: DispatcherInstance, message: Message) -> None:
    """A client sent a request."""
    instance.dispatcher.request_arrived(
        message.whole_number(wire.REQUEST),
        message.whole_number(wire.REQUEST_CLASS),
        message.number(wire.REQUESTED_SLOTS, 1.0),
        message.whole_number(wire.DEADLINE) * MICROSECOND,
        message.whole_number(wire.WORK_HINT, 0) * MICROSECOND,
        message.text(wire.AFFINITY_KEY, ""),
    )


def handle_attempt_report(instance: DispatcherInstance, message: Message) -> None:
    """A worker reported the start or the progress of an attempt; other reports are ignored."""
    kind = message.whole_number(wire.REPORT_KIND)
    if kind == wire.REPORT_STARTED:
        handle_attempt_started(instance, message)
    elif kind == wire.REPORT_PROGRESS:
        instance.dispatcher.attempt_progressed(
            message.whole_number(wire.REQUEST),
            message.whole_number(wire.ATTEMPT),
            message.number(wire.FRACTION_DONE, 0.0),
        )


def handle_attempt_started(instance: DispatcherInstance, message: Message) -> None:
    """An attempt started to run."""
    request, attempt = message.whole_number(wire.REQUEST), message.whole_number(wire.ATTEMPT)
    instance.dispatcher.attempt_started(request, attempt)


def handle_attempt_ended(instance: DispatcherInstance, message: Message) -> None:
    """An attempt ended."""
    instance.dispatcher.attempt_ended(
        message.whole_number(wire.REQUEST),
        message.whole_number(wire.ATTEMPT),
        AttemptResult(
            message.text(wire.WORKER),
            _outcome(message),
            message.whole_number(wire.ELAPSED) * MICROSECOND,
            message.flag(wire.IS_FINAL),
            _load_report(instance, message),
        ),
    )


def handle_client_disconnected(instance: DispatcherInstance, message: Message) -> None:
    """A client is no longer waiting for the answer to its request."""
    instance.dispatcher.client_disconnected(message.whole_number(wire.REQUEST))


def handle_timer_fired(instance: DispatcherInstance, message: Message) -> None:
    """A timer is due."""
    instance.dispatcher.timer_fired(message.whole_number(wire.TIMER_TOKEN))


def handle_probe_completed(instance: DispatcherInstance, message: Message) -> None:
    """A probe ended."""
    instance.dispatcher.probe_completed(
        message.text(wire.WORKER),
        _outcome(message),
        message.whole_number(wire.ELAPSED) * MICROSECOND,
        _load_report(instance, message),
    )


def handle_gossip_received(instance: DispatcherInstance, message: Message) -> None:
    """Another dispatcher sent gossip."""
    try:
        data = a2b_base64(message.text(wire.GOSSIP_BYTES))
        gossip = instance.gossip_reader.read(data, instance.dispatcher.workers)
    except (GossipSyntaxError, ValueError):
        return  # gossip is only a hint, so a message that is damaged or of another version is dropped
    instance.dispatcher.gossip_received(
        message.whole_number(wire.GOSSIP_SENDER),
        LoadGossip(gossip.zone, gossip.sequence, gossip.lateness, gossip.workers),
    )


def handle_endpoints_received(instance: DispatcherInstance, message: Message) -> None:
    """Discovery sent endpoints, or the watch of the endpoint list failed."""
    scope = message.text(wire.LIST_SCOPE)
    if scope == wire.SCOPE_WATCH_FAILED:
        instance.dispatcher.endpoint_watch_failed()
        return
    number = message.whole_number(wire.TABLE_NUMBER)
    endpoints = instance.shared.endpoint_tables.get(number)
    if endpoints is None:
        raise UnknownTableError(number)
    if scope == wire.SCOPE_CHANGES:
        instance.dispatcher.endpoints_changed(endpoints)
    elif scope in wire.SCOPES_COMPLETE:
        instance.dispatcher.endpoint_list_received(endpoints)
    else:
        raise FieldValueError(wire.LIST_SCOPE, f"unknown scope {scope!r}")


def _outcome(message: Message) -> AttemptOutcome:
    reason = message.text(wire.OUTCOME)
    outcome = wire.OUTCOMES.get(reason)
    if outcome is None:
        raise FieldValueError(wire.OUTCOME, f"unknown outcome {reason!r}")
    return outcome


def _load_report(instance: DispatcherInstance, message: Message) -> LoadReport | None:
    values = message.numbers(wire.LOAD)
    return None if values is None else dict(zip(instance.load_fields, values, strict=False))


EVENT_HANDLERS: Mapping[str, EventHandler] = {
    wire.REQUEST_ARRIVED: handle_request_arrived,
    wire.ATTEMPT_STARTED: handle_attempt_started,
    wire.ATTEMPT_REPORT: handle_attempt_report,
    wire.ATTEMPT_ENDED: handle_attempt_ended,
    wire.CLIENT_DISCONNECTED: handle_client_disconnected,
    wire.TIMER_FIRED: handle_timer_fired,
    wire.PROBE_COMPLETED: handle_probe_completed,
    wire.GOSSIP_RECEIVED: handle_gossip_received,
    wire.ENDPOINTS_RECEIVED: handle_endpoints_received,
}

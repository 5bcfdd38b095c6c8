"""Decides when the phases of a shutdown end; performs no I/O."""

from dataclasses import dataclass

from ploverspoke.decisions.settings import Settings
from ploverspoke.transport.units import MILLISECOND, SECOND

ACCEPT_TIME = 700 * MILLISECOND  # the listening socket stays open, as clients may still connect
MAX_FINISH_TIME = 3 * SECOND  # for admitted requests, if the longest deadline is later
HANDOVER_SERVE_TIME = 600 * MILLISECOND  # for connected clients, if another process has the listening socket
# After ACCEPT_TIME, open requests are answered and the process exits at these twentieths of the finish time.
TWENTIETHS = 20
ANSWER_AFTER_TWENTIETHS = 18
EXIT_AFTER_TWENTIETHS = 19
CHECKS_PER_FINISH_TIME = 100
MAX_CHECK_INTERVAL = 20 * MILLISECOND


@dataclass(frozen=True)
class ShutdownSchedule:
    """The phases of a shutdown, in nanoseconds from the signal."""

    accept_until: int  # the listening socket stays open, even with no client connected
    serve_until: int  # connected clients are served: there may be no other process yet
    answer_at: int  # all open requests are answered
    exit_at: int  # the process exits, even with connected clients or open requests
    check_interval: int  # between two checks for remaining clients


def longest_deadline(settings: Settings) -> int:
    """Return the longest deadline of the active classes, in ns."""
    return max(settings.classes[number].deadline for number in settings.active_classes)


def shutdown_schedule(settings: Settings, shares_socket: bool) -> ShutdownSchedule:
    """Return the schedule for these settings.

    The process may be killed once the longest deadline of the active classes has passed for the last
    request, so the shutdown ends before that. `shares_socket`: another process has the same listening socket,
    and each answer makes its client reconnect to that process.
    """
    finish_time = min(MAX_FINISH_TIME, longest_deadline(settings))
    return ShutdownSchedule(
        accept_until=0 if shares_socket else ACCEPT_TIME,
        serve_until=HANDOVER_SERVE_TIME if shares_socket else ACCEPT_TIME + finish_time // 2,
        answer_at=ACCEPT_TIME + finish_time * ANSWER_AFTER_TWENTIETHS // TWENTIETHS,
        exit_at=ACCEPT_TIME + finish_time * EXIT_AFTER_TWENTIETHS // TWENTIETHS,
        check_interval=max(MILLISECOND, min(MAX_CHECK_INTERVAL, finish_time // CHECKS_PER_FINISH_TIME)),
    )

"""When the phases of a shutdown end, as a decision without I/O."""

from dataclasses import dataclass

from ploverspoke.decisions.settings import Settings
from ploverspoke.transport.units import MILLISECOND, SECOND

ACCEPT_TIME = 700 * MILLISECOND  # so long the listening socket stays open; connections may still come
LONGEST_FINISH_TIME = 3 * SECOND  # for admitted requests: the longest deadline, but no more than this
HANDOVER_SERVE_TIME = 600 * MILLISECOND  # clients are served so long where another process has the socket
LONGEST_CHECK_INTERVAL = 20 * MILLISECOND


@dataclass(frozen=True)
class ShutdownSchedule:
    """The phases of a shutdown, in nanoseconds from the signal."""

    accept_until: int  # the listening socket stays open, even with no client connected
    serve_until: int  # connected clients may send further requests: nobody else may serve them yet
    answer_at: int  # whoever still waits is answered
    exit_at: int  # nobody is waited for any more
    check_interval: int  # between two looks at what is left


def shutdown_schedule(settings: Settings, shares_socket: bool) -> ShutdownSchedule:
    """Return the schedule under these settings.

    The process may be killed once the request that came last has had the longest deadline of the active
    classes: all is over before. `shares_socket`: another process has the listening socket too, and each
    answer sends its client over to it.
    """
    longest_deadline = max(settings.classes[number].deadline for number in settings.active_classes)
    finish_time = min(LONGEST_FINISH_TIME, longest_deadline)
    return ShutdownSchedule(
        accept_until=0 if shares_socket else ACCEPT_TIME,
        serve_until=HANDOVER_SERVE_TIME if shares_socket else ACCEPT_TIME + finish_time // 2,
        answer_at=ACCEPT_TIME + finish_time * 18 // 20,
        exit_at=ACCEPT_TIME + finish_time * 19 // 20,
        check_interval=max(MILLISECOND, min(LONGEST_CHECK_INTERVAL, finish_time // 100)),
    )

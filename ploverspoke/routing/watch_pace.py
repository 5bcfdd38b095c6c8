"""How long watch requests wait at discovery: so that the list stays valid, and longer while it is crowded."""

from ploverspoke.transport.units import MILLISECOND, SECOND

SHORTEST_WAIT = 2 * SECOND
SHORTEST_WAIT_OF_LARGE_FLEET = 3 * SECOND
LONGEST_WAIT = 4 * SECOND  # the list has to be confirmed before it expires
# Discovery is crowded where it answers so late. A wait is so many times as long as that: the calls of a fleet
# then take a small part of its time, whatever its size.
CROWDED_LATENESS = 250 * MILLISECOND
WAIT_PER_LATENESS = 20
WEIGHT_OF_LATER = 0.25  # of a response that is later than those before it
WEIGHT_OF_EARLIER = 0.8
LATENESS_LIMIT = 500 * MILLISECOND  # of a sound response, while none was seen to be late
LATENESS_MARGIN = 4
LONGEST_LATENESS_LIMIT = 2250 * MILLISECOND
# Kept of the list's validity for a call and a backoff after a watch that fell silent.
RESERVE = 1250 * MILLISECOND
LEAST_SHARE_OF_TIME_LEFT = 0.25  # a wait is no shorter: what is left may be short by the settings


class WatchPace:
    """Measures how late discovery answers, and sets waits and time limits by it."""

    def __init__(self, time_for_all_calls: int, longest_wait: int) -> None:
        """`time_for_all_calls` (ns): for one call from each dispatcher; no wait is over `longest_wait`."""
        self.lateness = 0.0  # ns, smoothed
        self.configure(time_for_all_calls, longest_wait)

    def configure(self, time_for_all_calls: int, longest_wait: int) -> None:
        """Go by other settings from now on."""
        self.longest = min(longest_wait, LONGEST_WAIT)
        self.shortest = min(
            self.longest, max(SHORTEST_WAIT, min(time_for_all_calls, SHORTEST_WAIT_OF_LARGE_FLEET))
        )

    def record(self, wait: int, elapsed: int) -> None:
        """A response has come; one before its wait was over says nothing."""
        if elapsed >= wait:
            difference = elapsed - wait - self.lateness
            self.lateness += difference * (WEIGHT_OF_LATER if difference > 0 else WEIGHT_OF_EARLIER)

    def wait(self, time_left: int | None, is_continued: bool) -> int:
        """The next wait, where the list stays valid for `time_left` ns (None: for good).

        `is_continued`: the last call was answered. After one that was not, an answer is wanted at once: it
        tells that discovery is well and the list complete.
        """
        comfortable = min(self.longest, max(self.shortest, int(WAIT_PER_LATENESS * self.lateness)))
        if not is_continued:
            return 0
        if time_left is None:
            return comfortable
        if self.lateness >= CROWDED_LATENESS:
            return comfortable
        affordable = max(
            time_left - RESERVE - self.lateness_limit(), int(time_left * LEAST_SHARE_OF_TIME_LEFT)
        )
        return max(0, min(comfortable, affordable))

    def lateness_limit(self) -> int:
        """How late (ns) a response may be before its watch counts as silent."""
        return min(LONGEST_LATENESS_LIMIT, max(LATENESS_LIMIT, int(LATENESS_MARGIN * self.lateness)))

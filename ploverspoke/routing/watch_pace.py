"""How long watch requests wait at discovery (long polling): short of the list's expiry, longer under load."""

from typing import NamedTuple

from ploverspoke.transport.units import MILLISECOND, SECOND

MIN_WAIT = 2 * SECOND
MIN_WAIT_OF_LARGE_FLEET = 3 * SECOND
MAX_WAIT = 4 * SECOND  # the list has to be confirmed before it expires
# Discovery is overloaded where it answers so late. A wait is so many times as long as that: the calls of a
# fleet then take a small part of its time, whatever the size of the fleet.
OVERLOAD_LATENESS = 250 * MILLISECOND
WAIT_PER_LATENESS = 20
# Weights of a response in the smoothed lateness, by whether it is later or earlier than that.
LATER_WEIGHT = 0.25
EARLIER_WEIGHT = 0.8
MIN_LATENESS_LIMIT = 500 * MILLISECOND
LATENESS_LIMIT_FACTOR = 4  # of the smoothed lateness
MAX_LATENESS_LIMIT = 2250 * MILLISECOND
# Kept of the list's validity for a call and a backoff after a watch without a response.
VALIDITY_RESERVE = 1250 * MILLISECOND
MIN_TIME_LEFT_SHARE = 0.25  # a wait is no shorter: the settings may leave little time


class PaceLimits(NamedTuple):
    """What the settings give for the waits, in ns."""

    time_for_all_calls: int  # of discovery, for one call from each dispatcher
    longest_wait: int


class WatchPace:
    """Measures how late discovery answers, and derives waits and time limits from it."""

    def __init__(self, time_for_all_calls: int, longest_wait: int) -> None:
        """Begin without a measurement; the arguments are those of `PaceLimits`."""
        self.lateness = 0.0  # ns, smoothed
        self.configure(time_for_all_calls, longest_wait)

    def configure(self, time_for_all_calls: int, longest_wait: int) -> None:
        """Use the limits of other settings from now on."""
        self.longest = min(longest_wait, MAX_WAIT)
        shortest = max(MIN_WAIT, min(time_for_all_calls, MIN_WAIT_OF_LARGE_FLEET))
        self.shortest = min(self.longest, shortest)

    def record(self, wait: int, elapsed: int) -> None:
        """Record a response after `elapsed` ns; one before its wait was over shows no lateness."""
        if elapsed < wait:
            return
        difference = elapsed - wait - self.lateness
        weight = LATER_WEIGHT if difference > 0 else EARLIER_WEIGHT
        self.lateness += difference * weight

    def wait(self, time_left: int | None, is_continued: bool) -> int:
        """The next wait, where the list stays valid for `time_left` ns (None: it does not expire).

        `is_continued`: the last call was answered. After one that was not, discovery is to answer at once,
        which confirms that it works and that the list is complete.
        """
        if not is_continued:
            return 0
        paced = min(self.longest, max(self.shortest, int(WAIT_PER_LATENESS * self.lateness)))
        if time_left is None or self.lateness >= OVERLOAD_LATENESS:
            return paced
        before_expiry = time_left - VALIDITY_RESERVE - self.lateness_limit()
        shortest = int(time_left * MIN_TIME_LEFT_SHARE)
        return max(0, min(paced, max(before_expiry, shortest)))

    def lateness_limit(self) -> int:
        """How late (ns) a response may be before its watch counts as silent."""
        scaled = int(LATENESS_LIMIT_FACTOR * self.lateness)
        return min(MAX_LATENESS_LIMIT, max(MIN_LATENESS_LIMIT, scaled))

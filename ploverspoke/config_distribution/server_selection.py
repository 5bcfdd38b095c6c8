"""Which config server a watcher tries next, and when: rounds, backoff and jitter. Without I/O; times in ns.

Local servers come first, in random order, then the others. Delays are random, so that the watchers of a
server that died, or of servers that all start anew, do not arrive at the others in one moment.
"""

from collections.abc import Callable, Iterable

from ploverspoke.transport.units import MILLISECOND, SECOND

# The first server of a round after a stable connection: at most this delay, drawn at random.
FIRST_DELAY = 250 * MILLISECOND
NEXT_DELAY = 100 * MILLISECOND  # at most, to the next server of the first round
LATER_DELAY = 400 * MILLISECOND  # at most, in a later round: all servers were away, and all watchers retry
ROUND_BACKOFF = SECOND  # at most, after a round that failed whole; doubled after each
MAX_ROUND_BACKOFF = 3 * SECOND
TRIAL_BACKOFF = 500 * MILLISECOND  # doubled with each trial of another server beside an unhealthy one
MAX_TRIAL_BACKOFF = 16 * SECOND
LOCAL_TRIAL_INTERVAL = 30 * SECOND  # a watcher of a healthy remote server tries a local one
MAX_DOUBLINGS = 10


class ServerSelector:
    """The order in which one watcher tries its servers, and the delays between its attempts."""

    def __init__(
        self, servers: list[str], local_servers: Iterable[str], random_fraction: Callable[[], float]
    ) -> None:
        """`local_servers` are those of `servers` that are preferred; `random_fraction`: 0 <= x < 1."""
        self.servers = servers
        self.local_servers = set(local_servers)
        self.random_fraction = random_fraction
        self.untried: list[str] = []  # in this round
        self.failed_rounds = 0  # since the last stable connection
        self.untried_alternatives: list[str] = []
        self.trials = 0  # of alternatives in a row that brought nothing better

    def is_remote(self, address: str) -> bool:
        """Whether local servers are known and this is none of them."""
        return bool(self.local_servers) and address not in self.local_servers

    # ---- The server to watch ----

    def next_server(self) -> str:
        """The next server of the round; a new round begins where none is left."""
        self.untried = self.untried or self._new_round()
        return self.untried.pop(0)

    def first_delay(self) -> int:
        """Before the first attempt."""
        return self._up_to(FIRST_DELAY)

    def delay_after_stable(self, address: str) -> int:
        """Begin a new round in which the server that was just lost is the last one; the delay before it."""
        self.failed_rounds = 0
        self.untried = [server for server in self._new_round() if server != address] + [address]
        return self._up_to(FIRST_DELAY)

    def delay_after_failure(self) -> int:
        """The delay before the next attempt, where the last one failed or was soon lost."""
        if self.untried:
            return self._up_to(LATER_DELAY if self.failed_rounds else NEXT_DELAY)
        self.failed_rounds += 1
        backoff = ROUND_BACKOFF << min(self.failed_rounds - 1, MAX_DOUBLINGS)
        return self._jittered(min(MAX_ROUND_BACKOFF, backoff))

    # ---- Alternatives to the server that is watched ----

    def next_alternative(self, current: str, is_current_healthy: bool) -> str:
        """Another server to try beside the current one; a local one where the current one is healthy."""
        candidates = [
            server
            for server in self.servers
            if server != current and (not is_current_healthy or server in self.local_servers)
        ]
        still_untried = [server for server in self.untried_alternatives if server in candidates]
        self.untried_alternatives = still_untried or self._shuffled(candidates)
        self.trials += 1
        return self.untried_alternatives.pop(0)

    def alternative_delay(self, is_current_healthy: bool) -> int:
        """From this trial of an alternative to the next."""
        if is_current_healthy:
            return self._jittered(LOCAL_TRIAL_INTERVAL)
        return self._jittered(min(MAX_TRIAL_BACKOFF, TRIAL_BACKOFF << min(self.trials, MAX_DOUBLINGS)))

    # ---- Random order and delays ----

    def _new_round(self) -> list[str]:
        local = [server for server in self.servers if server in self.local_servers]
        others = [server for server in self.servers if server not in self.local_servers]
        return self._shuffled(local) + self._shuffled(others)

    def _up_to(self, duration: int) -> int:
        return int(self.random_fraction() * duration)

    def _jittered(self, duration: int) -> int:
        """From a quarter of the duration to the whole."""
        return duration // 4 + self._up_to(duration * 3 // 4)

    def _shuffled(self, servers: list[str]) -> list[str]:
        shuffled = list(servers)
        for index in range(len(shuffled) - 1, 0, -1):
            other = int(self.random_fraction() * (index + 1))
            shuffled[index], shuffled[other] = shuffled[other], shuffled[index]
        return shuffled

"""Selects the config server that a watcher tries next, and when. Without I/O; times in ns.

A round tries every server once: first the local servers in random order, then the others. Delays are random,
so that after the crash of a server, or a restart of all servers, the watchers do not reconnect all at once.
"""

from collections.abc import Callable, Iterable

from ploverspoke.transport.units import MILLISECOND, SECOND

# Before the first server at the start, or after a stable connection; drawn at random up to this maximum.
MAX_FIRST_DELAY_NS = 250 * MILLISECOND
MAX_NEXT_SERVER_DELAY_NS = 100 * MILLISECOND  # before each further server of the first round
# Before each further server of a later round, when no server was available and all watchers retry.
MAX_LATER_ROUND_DELAY_NS = 400 * MILLISECOND
# Maximum delay after the first round in which all servers failed; doubled after each further one.
INITIAL_ROUND_BACKOFF_NS = SECOND
MAX_ROUND_BACKOFF_NS = 3 * SECOND
# Between trials of other servers while the current one is unhealthy: doubled with each trial, so the maximum
# is twice this value after the first one.
TRIAL_BACKOFF_BASE_NS = 500 * MILLISECOND
MAX_TRIAL_BACKOFF_NS = 16 * SECOND
LOCAL_TRIAL_INTERVAL_NS = 30 * SECOND  # between trials of local servers while a healthy remote one is used
MAX_DOUBLINGS = 10


class ServerSelector:
    """Determines the order in which one watcher tries its servers, and the delays between attempts."""

    def __init__(
        self, servers: list[str], local_servers: Iterable[str], random_fraction: Callable[[], float]
    ) -> None:
        """`local_servers` are the preferred ones of `servers`; `random_fraction` returns 0 <= x < 1."""
        self.servers = servers
        self.local_servers = set(local_servers)
        self.random_fraction = random_fraction
        self.untried_servers: list[str] = []  # in the current round
        self.failed_rounds = 0  # since the last stable connection
        self.untried_alternatives: list[str] = []
        self.consecutive_trials = 0  # trials of alternatives in a row without a better server

    def is_remote(self, address: str) -> bool:
        """Whether local servers are configured and this is not one of them."""
        return bool(self.local_servers) and address not in self.local_servers

    # ---- The server to watch ----

    def next_server(self) -> str:
        """Return the next server of the round; starts a new round if all have been tried."""
        self.untried_servers = self.untried_servers or self._shuffled_round()
        return self.untried_servers.pop(0)

    def first_delay(self) -> int:
        """Return the delay before the first attempt."""
        return self._random_up_to(MAX_FIRST_DELAY_NS)

    def delay_after_stable(self, address: str) -> int:
        """Start a new round in which the server just lost comes last; return the delay before the round."""
        self.failed_rounds = 0
        self.untried_servers = [server for server in self._shuffled_round() if server != address] + [address]
        return self._random_up_to(MAX_FIRST_DELAY_NS)

    def delay_after_failure(self) -> int:
        """Return the delay before the next attempt, after one that failed or was lost soon."""
        if self.untried_servers:
            return self._random_up_to(
                MAX_LATER_ROUND_DELAY_NS if self.failed_rounds else MAX_NEXT_SERVER_DELAY_NS
            )
        self.failed_rounds += 1
        backoff = INITIAL_ROUND_BACKOFF_NS << min(self.failed_rounds - 1, MAX_DOUBLINGS)
        return self._jittered(min(MAX_ROUND_BACKOFF_NS, backoff))

    # ---- Alternatives to the server that is watched ----

    def next_alternative(self, current: str, is_current_healthy: bool) -> str:
        """Return another server to try beside the current one; a local one if the current one is healthy."""
        candidates = [
            server
            for server in self.servers
            if server != current and (not is_current_healthy or server in self.local_servers)
        ]
        still_untried = [server for server in self.untried_alternatives if server in candidates]
        self.untried_alternatives = still_untried or self._shuffled(candidates)
        self.consecutive_trials += 1
        return self.untried_alternatives.pop(0)

    def alternative_delay(self, is_current_healthy: bool) -> int:
        """Return the delay between this trial of an alternative and the next one."""
        if is_current_healthy:
            return self._jittered(LOCAL_TRIAL_INTERVAL_NS)
        return self._jittered(
            min(MAX_TRIAL_BACKOFF_NS, TRIAL_BACKOFF_BASE_NS << min(self.consecutive_trials, MAX_DOUBLINGS))
        )

    # ---- Random order and delays ----

    def _shuffled_round(self) -> list[str]:
        local = [server for server in self.servers if server in self.local_servers]
        others = [server for server in self.servers if server not in self.local_servers]
        return self._shuffled(local) + self._shuffled(others)

    def _random_up_to(self, duration: int) -> int:
        return int(self.random_fraction() * duration)

    def _jittered(self, duration: int) -> int:
        """Return a random duration between a quarter of `duration` and all of it."""
        return duration // 4 + self._random_up_to(duration * 3 // 4)

    def _shuffled(self, servers: list[str]) -> list[str]:
        shuffled = list(servers)
        for index in range(len(shuffled) - 1, 0, -1):
            swap_index = int(self.random_fraction() * (index + 1))
            shuffled[index], shuffled[swap_index] = shuffled[swap_index], shuffled[index]
        return shuffled

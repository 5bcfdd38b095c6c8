"""A watcher of config servers, without I/O: which server it hears, and which versions it takes.

It has one server. Where that one is silent it goes to the next; where that one lives and is cut off from
whoever leads, or is a far one, it keeps it and tries another beside it, and changes only to one that is
better. So a region that is cut off keeps its watches and nobody goes to and fro.
"""

from typing import Any, NamedTuple, Protocol

from .messages import Message, VersionRejectedError, WatchStatus, printable, read_heartbeat, unpack

MILLISECOND = 1_000_000
SECOND = 1000 * MILLISECOND
DIAL_WITHIN = SECOND  # until the server has greeted
SILENCE = 2500 * MILLISECOND  # two heartbeats are lost, and half of one
SAY_EVERY = 4 * SECOND
STALE_FOR = 2 * SECOND  # a server without a leader is borne for an election
FIRST_DELAY = 250 * MILLISECOND  # the most, by chance: where a server dies all that watched it go elsewhere
NEXT_DELAY = 100 * MILLISECOND  # the most, to the next one of the first round
LATER_DELAY = 400 * MILLISECOND  # and of a later one: all servers were away, and all watchers look for them
ROUND_DELAY = SECOND  # the most, when all were tried; twice as much after each round
LONGEST_DELAY = 3 * SECOND
LIVED = 5 * SECOND  # a connection that lasted so long was none of the failures
TRIAL_DELAY = 500 * MILLISECOND  # between two trials of another server; twice as much after each
LONGEST_TRIAL_DELAY = 16 * SECOND
NEARER_EVERY = 30 * SECOND  # a watcher of a far one tries a near one
NEVER = 1 << 62


class ConfigWatcherEnvironment(Protocol):
    def now(self) -> int:
        """ns of a monotonic clock."""

    def fraction(self) -> float:
        """By chance, from 0 and under 1."""

    def dial(self, link: int, where: str) -> None:
        """`greeted` or `lost` is to be told of it later, not from in here."""

    def hang_up(self, link: int) -> None:
        """Nothing is told of that one any more."""

    def send(self, link: int, message: Message) -> None: ...

    def take(self, number: int, digest: bytes, body: str) -> str:
        """Check a version and put it in force; why not, or "" where it is. A ValueError is a reason, too."""

    def log(self, line: str) -> None:
        """For whoever reads the log."""


class AppliedVersion(NamedTuple):
    """A version that came unharmed."""

    number: int
    digest: bytes
    body: str


NOTHING = AppliedVersion(0, b"", "")


class Link:
    """A connection to one server."""

    def __init__(self, number: int, where: str, now: int) -> None:
        self.number = number
        self.where = where
        self.dialled_at = now
        self.greeted_at = 0  # 0: not yet
        self.heard_at = now
        self.server_has = -1  # version; -1: no heartbeat yet
        self.good = True  # it hears a leader, and is not behind what we have
        self.good_at = now

    def is_late(self, now: int) -> bool:
        if not self.greeted_at:
            return now - self.dialled_at > DIAL_WITHIN
        return now - self.heard_at > SILENCE

    def late_at(self) -> int:
        return self.heard_at + SILENCE + 1 if self.greeted_at else self.dialled_at + DIAL_WITHIN + 1


class ConfigWatcher:
    def __init__(
        self,
        host: ConfigWatcherEnvironment,
        cluster: str,
        servers: list[str],
        near: list[str],
        taken: AppliedVersion = NOTHING,
    ) -> None:
        """`taken` is what is in force at the start, from a cache."""
        self.host = host
        self.cluster = cluster
        self.servers = servers
        self.near = set(near)
        self.came = taken  # the latest that came unharmed
        self.in_force = taken.number
        self.reason = ""  # why what came is not in force
        self.refused = 0  # the lowest that was refused since; the server gives what is between, if any
        self.wants_whole = False
        self.link: Link | None = None
        self.trial: Link | None = None
        self.links = 0
        self.round: list[str] = []  # servers still to be tried in this one
        self.rounds = 0  # that failed whole
        self.next_dial = NEVER
        self.next_say = NEVER
        self.next_trial = 0
        self.trials = 0  # in a row that changed nothing
        self.trial_round: list[str] = []  # servers still to be tried beside the one that we have
        self.taken_versions = self.refused_versions = self.refused_messages = self.changes = 0

    # ---- What can happen ----

    def begin(self) -> None:
        self.next_dial = self.host.now() + self._part_of(FIRST_DELAY)

    def greeted(self, number: int) -> None:
        """A server has answered in the shared secret."""
        now, link = self.host.now(), self._link(number)
        if link is None:
            return
        link.greeted_at = link.heard_at = link.good_at = now
        if link is self.link:
            self._say(now)

    def lost(self, number: int) -> None:
        """A connection could not be had, or is over."""
        link = self._link(number)
        if link is not None:
            self._drop(link, self.host.now())

    def told(self, number: int, message: Any) -> None:
        """What a server says. One that breaks the rules is left, and changes nothing."""
        now, link = self.host.now(), self._link(number)
        if link is None:
            return
        link.heard_at = now
        try:
            kind = message.get("k") if isinstance(message, dict) else None
            if kind == "beat":
                self._beat(link, message, now)
            elif kind == "push" and link is self.link:
                self._push(message, now)
            elif kind == "elsewhere":
                self._leave(link, now)
            elif kind == "refused":
                raise VersionRejectedError(printable(f"the server refuses us: {message.get('w')}"))
            else:
                raise VersionRejectedError("not what a server says")
        except VersionRejectedError as error:
            self.refused_messages += 1
            self.host.log(f"config: a message is refused: {error} (from {link.where})")
            self._leave(link, now)

    def tick(self) -> None:
        """Time has passed. `wake` says when it is wanted."""
        now = self.host.now()
        for link in (self.link, self.trial):
            if link is not None and link.is_late(now):
                if link is self.link and link.greeted_at:
                    self.host.log(f"config: {link.where} is silent, another server is asked")
                self._leave(link, now)
        if self.link is None:
            if now >= self.next_dial:
                self.link = self._dial(self._next_server())
                self.next_dial = NEVER
        elif self.link.greeted_at:
            if now >= self.next_say:
                self._say(now)
            if self.trial is None and now >= self._trial_at(self.link):
                self._try_another(self.link, now)

    def wake(self) -> int:
        at = NEVER
        for link in (self.link, self.trial):
            if link is not None:
                at = min(at, link.late_at())
        if self.link is None:
            return min(at, self.next_dial)
        if self.link.greeted_at:
            at = min(at, self.next_say)
            if self.trial is None:
                at = min(at, self._trial_at(self.link))
        return at

    def connected(self) -> bool:
        return self.link is not None and self.link.server_has >= 0

    # ---- ConfigStateMachine ----

    def _push(self, message: Message, now: int) -> None:
        came, number = self.came, message.get("n")
        skipped = isinstance(number, int) and self.in_force < number < self.refused
        if isinstance(number, int) and message.get("v") and 0 < number <= came.number and not skipped:
            if number < self.in_force:
                self.refused_messages += 1
                self.host.log(f"config: a message is refused: version {number} is older than {self.in_force}")
            self._say(now)
            return
        try:
            found = AppliedVersion(*unpack(message, self.cluster, came.body))
        except VersionRejectedError:
            self.wants_whole = True
            raise
        self.wants_whole = False
        reason = self._take(found)
        if found.number > came.number:
            self.came, self.reason = found, reason
        if not reason:
            self.refused = 0
        elif not self.refused or found.number != came.number + 1:
            self.refused = found.number  # else it goes on with a row of refused ones
        self._say(now)

    def _take(self, found: AppliedVersion) -> str:
        """Why it is not in force, or "" """
        try:
            reason = self.host.take(*found)
        except ValueError as error:
            reason = str(error)
        except Exception as error:
            # Whatever a check stumbles over: the one in force goes on, and it is said.
            reason = f"{type(error).__name__}: {error}"
        reason = printable(reason)
        if reason:
            self.refused_versions += 1
            self.host.log(f"config: version {found.number} refused: {reason}")
        else:
            self.taken_versions += 1
            self.in_force = found.number
            self.host.log(f"config: version {found.number} in force ({found.digest.hex()[:16]})")
        return reason

    def _say(self, now: int) -> None:
        assert self.link is not None
        self.next_say = now + SAY_EVERY
        came = self.came
        have = WatchStatus(
            came.number, came.digest, self.in_force, self.reason, self.wants_whole, self.refused
        )
        self.host.send(self.link.number, have.message())

    # ---- Servers ----

    def _beat(self, link: Link, message: Message, now: int) -> None:
        link.server_has, fresh = read_heartbeat(message)
        link.good = fresh and link.server_has >= self.came.number
        if link.good:
            link.good_at = now
        if link is self.trial:
            self._judge_trial(link, now)
        elif link.good and not self._is_far(link):
            self.trials = 0

    def _is_far(self, link: Link) -> bool:
        return bool(self.near) and link.where not in self.near

    def _judge_trial(self, trial: Link, now: int) -> None:
        link = self.link
        assert link is not None  # a trial takes its place when it is lost
        better = trial.server_has > max(self.came.number, link.server_has)
        if trial.good:
            better = better or not link.good or (self._is_far(link) and not self._is_far(trial))
        if not better:
            self._leave(trial, now)
            return
        self.host.hang_up(link.number)
        self.link, self.trial = trial, None
        self.trials = 0
        self.changes += 1
        self._say(now)

    def _trial_at(self, link: Link) -> int:
        """When another server is tried beside this one."""
        if len(self.servers) == 1 or link.server_has < 0:
            return NEVER
        if not link.good:
            return max(self.next_trial, link.good_at + STALE_FOR)
        return max(self.next_trial, link.greeted_at + NEARER_EVERY) if self._is_far(link) else NEVER

    def _try_another(self, link: Link, now: int) -> None:
        wanted = [w for w in self.servers if w != link.where and (not link.good or w in self.near)]
        self.trial_round = [where for where in self.trial_round if where in wanted] or self._shuffled(wanted)
        self.trial = self._dial(self.trial_round.pop(0))
        self.trials += 1
        stale_delay = min(LONGEST_TRIAL_DELAY, TRIAL_DELAY << min(self.trials, 10))
        delay = NEARER_EVERY if link.good else stale_delay
        self.next_trial = now + self._jittered(delay)

    def _dial(self, where: str) -> Link:
        self.links += 1
        link = Link(self.links, where, self.host.now())
        self.host.dial(link.number, where)
        return link

    def _next_server(self) -> str:
        self.round = self.round or self._new_round()
        return self.round.pop(0)

    def _new_round(self) -> list[str]:
        near = [where for where in self.servers if where in self.near]
        return self._shuffled(near) + self._shuffled([w for w in self.servers if w not in self.near])

    def _leave(self, link: Link, now: int) -> None:
        self.host.hang_up(link.number)
        self._drop(link, now)

    def _drop(self, link: Link, now: int) -> None:
        if link is self.trial:
            self.trial = None
            return
        self.link = None
        if self.trial is not None:
            # It was dialled for being better, and is there already.
            self.link, self.trial = self.trial, None
            if self.link.greeted_at:
                self._say(now)
            return
        if link.greeted_at and now - link.greeted_at >= LIVED:
            self.rounds = 0
            self.round = [where for where in self._new_round() if where != link.where] + [link.where]
            delay = self._part_of(FIRST_DELAY)
        elif self.round:
            delay = self._part_of(LATER_DELAY if self.rounds else NEXT_DELAY)
        else:
            self.rounds += 1
            delay = self._jittered(min(LONGEST_DELAY, ROUND_DELAY << min(self.rounds - 1, 10)))
        self.next_dial = now + delay

    def _link(self, number: int) -> Link | None:
        return next((x for x in (self.link, self.trial) if x is not None and x.number == number), None)

    # ---- RandomNumbers ----

    def _part_of(self, span: int) -> int:
        return int(self.host.fraction() * span)

    def _jittered(self, span: int) -> int:
        """From a quarter of it to the whole."""
        return span // 4 + self._part_of(span * 3 // 4)

    def _shuffled(self, servers: list[str]) -> list[str]:
        found = list(servers)
        for at in range(len(found) - 1, 0, -1):
            other = int(self.host.fraction() * (at + 1))
            found[at], found[other] = found[other], found[at]
        return found

"""Judges histories of a run of configuration servers and dispatchers that watch them. It shares no code with
what it checks: what is in force at a dispatcher is what its clients see, and who could reach whom follows
from what the rig did.

A *tag* is one publication's own: its body brings the service grades gTAGa and gTAGb, and no others. Tag 0 is
a dispatcher's own file. A dispatcher *can reach* the configuration while it lives and nothing is cut between
it and a server that lives and, with others that live, is a majority with nothing cut among them.

1. What is in force never goes back while a process lives, and after its restart is not behind what it had
   once it could reach the configuration for `within`.
2. In force is what was committed, whole: one grade of two for no longer than a round of probes, and nothing
   ever of a publication that was refused or not committed.
3. What was acknowledged is in force `within` later wherever the configuration could be reached all that time.
4. After a pause, a cut or a restart the same time counts from its end: a window begins there.
5. What was acknowledged is never lost; numbers are one publication's each and grow; of two with one `expect`
   one wins; one that is tried again under its id counts once.
6. A body that dispatchers' checks refuse changes nothing and is reported with its key; one that a server's
   checks refuse is not taken.

Events that it reads: the rig's; `roles` {servers, dispatchers}; `wants` [id, tag, kind, key, expect]; `sends`
[id, server]; `answer` [id, server, done, version, why, sure]; `probe` [dispatcher, asked at, there, not
there]; `door` [dispatcher, asked at, line]; `versions` [server, rows, final]; `watchers` [server, rows];
`serves empty` name; and what processes said.
"""

import re
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable
from itertools import combinations
from typing import Any, NamedTuple

from ..experiment_files.durations import SECOND, format_duration
from ..processes.history import HistoryEvent

MIN_VERSIONS = 20  # seen in force: with fewer a run proves nothing
MIN_FAULTS = 10
ANSWERS_WITHIN = 5 * SECOND  # a dispatcher that lives, some probe of many
GOOD, REFUSABLE, UNACCEPTABLE = "good", "refusable", "unacceptable"
ENDS_LIFE = ("kill", "restart", "empty", "older")
OUT = (*ENDS_LIFE, "pause", "starve", "disk full", "disk fails")
GRADE = re.compile(r"g(\d+)([ab])")
CLAIM = re.compile(r"\+OK version (\d+) applied")
REFUSAL = re.compile(r"config: version (\d+) rejected: (.*)")

Span = tuple[int, int]  # from, until, ns


class Wanted(NamedTuple):
    id: str
    tag: int
    kind: str
    key: str  # that a refusal has to name
    expect: int  # -1: none


class Seen(NamedTuple):
    """One round of probes at a dispatcher."""

    asked: int  # ns
    answered: int
    there: dict[int, str]  # by tag: "a", "b" or "ab"
    missed: dict[int, str]  # the same of those that were not there
    life: int  # -1: on its way out or in


class DistributionVerdict(NamedTuple):
    findings: list[tuple[str, int]]  # what, and when
    versions: int  # seen in force somewhere
    troubles: int
    judged: int  # probes of which rule 3 said what they must show
    acknowledged: int
    refusals: int  # that had to be reported, and were
    final: bool  # whether a majority was read at the end
    calm: list[float]  # s from the acknowledgement until in force, where nothing had been wrong
    troubled: list[float]  # the same, from the end of what was wrong

    def void(self, versions: int = MIN_VERSIONS, troubles: int = MIN_FAULTS) -> str:
        if not self.final:
            return "the versions were not read from a majority at the end: nothing can be judged"
        if self.versions < versions:
            return f"only {self.versions} versions were seen in force: that proves nothing"
        if self.troubles < troubles:
            return f"only {self.troubles} troubles: that proves nothing"
        return "" if self.judged else "nobody could reach the configuration for long enough to be judged"


def joined(spans: Iterable[Span]) -> list[Span]:
    found: list[Span] = []
    for begin, end in sorted(spans):
        if found and begin <= found[-1][1]:
            found[-1] = (found[-1][0], max(found[-1][1], end))
        else:
            found.append((begin, end))
    return found


def gaps(whole: Span, spans: Iterable[Span]) -> list[Span]:
    """What of `whole` no span covers."""
    found, at = [], whole[0]
    for begin, end in joined(spans):
        if begin > at:
            found.append((at, min(begin, whole[1])))
        at = max(at, end)
    if at < whole[1]:
        found.append((at, whole[1]))
    return [(begin, end) for begin, end in found if begin < end]


def inside(spans: list[Span], at: int) -> Span | None:
    return next((span for span in spans if span[0] <= at <= span[1]), None)


class World:
    """Who lived and could reach whom, from what the rig did."""

    def __init__(self, events: list[HistoryEvent]) -> None:
        rig = [e for e in events if e.who == "rig"]
        nobody: dict[str, list[str]] = {"servers": [], "dispatchers": []}
        roles = next((e.detail for e in events if e.what == "roles"), nobody)
        self.servers: list[str] = roles["servers"]
        self.dispatchers: list[str] = roles["dispatchers"]
        begin = next((e.at for e in rig if e.what == "begin"), events[0].at if events else 0)
        self.whole: Span = (begin, events[-1].at if events else 0)
        self.out: dict[str, list[Span]] = defaultdict(list)  # by process
        self.ends: dict[str, list[Span]] = defaultdict(list)  # the same, where a life ends by it
        self.faults: list[tuple[Span, set[str], set[str]]] = []
        self.troubles = sum(e.what in ("add fault", "reset", *OUT) for e in rig)
        began: dict[Any, HistoryEvent] = {}
        for event in rig:
            if event.what in OUT:
                began[event.what, event.detail] = event
            elif event.what.endswith(" is over"):
                self._over(began.pop((event.what.removesuffix(" is over"), event.detail), None), event.at)
            elif event.what == "add fault":
                began[event.detail[0]] = event
            elif event.what == "remove fault":
                self._over(began.pop(event.detail, None), event.at)
        for event in began.values():
            self._over(event, self.whole[1])

    def _over(self, event: HistoryEvent | None, until: int) -> None:
        if event is None:
            return
        span = (event.at, until)
        if event.what == "add fault":
            fault = event.detail[1]
            if fault.get("cut") or fault.get("silent"):
                self.faults.append((span, set(fault.get("origin", ())), set(fault.get("target", ()))))
            return
        self.out[event.detail].append(span)
        if event.what in ENDS_LIFE:
            self.ends[event.detail].append(span)

    def apart(self, one: str, other: str) -> list[Span]:
        """When something was cut between them, either way."""
        return [
            span
            for span, origin, target in self.faults
            for a, b in ((one, other), (other, one))
            if (not origin or a in origin) and (not target or b in target)
        ]

    def reaches(self, least: int) -> dict[str, list[Span]]:
        """By dispatcher, all spans of at least that length in which it can reach the configuration."""
        majority = len(self.servers) // 2 + 1
        groups = list(combinations(self.servers, majority))
        wrong = {
            group: joined(
                [span for name in group for span in self.out[name]]
                + [span for one, other in combinations(group, 2) for span in self.apart(one, other)]
            )
            for group in groups
        }
        found = {}
        for dispatcher in self.dispatchers:
            apart = {server: self.apart(dispatcher, server) for server in self.servers}
            spans = {
                span
                for group in groups
                for server in group
                for span in gaps(self.whole, [*wrong[group], *self.out[dispatcher], *apart[server]])
                if span[1] - span[0] >= least
            }
            found[dispatcher] = sorted(spans)
        return found

    def life(self, name: str, at: int) -> int:
        """Which life of that process: the first is 0; -1 while it ends or begins."""
        spans = self.ends[name]
        return -1 if inside(spans, at) else sum(end < at for _, end in spans)


class Judge:
    def __init__(self, events: list[HistoryEvent], within: int) -> None:
        self.events, self.within = events, within
        self.world = World(events)
        self.found: dict[tuple[str, str], tuple[str, int]] = {}  # the first of each kind at each place
        self.wanted: dict[str, Wanted] = {}
        self.sent: dict[str, int] = {}  # first, by id
        self.acknowledged: dict[str, tuple[int, int]] = {}  # when and which version, by id
        self.committed: dict[int, tuple[str, str]] = {}  # digest and id, by version
        self.final: dict[str, dict[int, str]] = {}  # ids by version, by server
        self.seen: dict[str, list[Seen]] = defaultdict(list)
        self.judged = self.refusals = 0
        self.calm: list[float] = []
        self.troubled: list[float] = []

    def finding(self, kind: str, where: str, text: str, at: int) -> None:
        self.found.setdefault((kind, where), (text, at))

    def judge(self) -> DistributionVerdict:
        for event in self.events:
            self._read(event)
        self._numbers()
        # What was acknowledged is committed, also where nobody lists it: that it is missing is told apart.
        self.version = {self.wanted[one].tag: version for one, (_, version) in self.acknowledged.items()}
        of_id = {one: version for version, (_, one) in self.committed.items()}
        self.version |= {w.tag: of_id[w.id] for w in self.wanted.values() if w.id in of_id}
        self.version[0] = 0
        self.by_tag = {w.tag: w for w in self.wanted.values()}
        reaches, shorter = self.world.reaches(self.within), self.world.reaches(SECOND)
        in_force: set[int] = set()
        for dispatcher in self.world.dispatchers:
            rounds = sorted(self.seen[dispatcher])
            self._whole(dispatcher, rounds)
            shown = [(one, self._shown(one)) for one in rounds]
            in_force |= {version for _, version in shown if version > 0}
            self._forward(dispatcher, shown, reaches[dispatcher])
            self._in_time(dispatcher, shown, reaches[dispatcher], shorter[dispatcher])
            self._reported(dispatcher, reaches[dispatcher])
            self._answers(dispatcher, rounds)
            self._doors(dispatcher, shown)
        findings = sorted(self.found.values(), key=lambda row: row[1])
        return DistributionVerdict(
            findings,
            len(in_force),
            self.world.troubles,
            self.judged,
            len(self.acknowledged),
            self.refusals,
            len(self.final) > len(self.world.servers) // 2,
            sorted(self.calm),
            sorted(self.troubled),
        )

    # ---- What happened ----

    def _read(self, event: HistoryEvent) -> None:
        detail = event.detail
        if event.what == "wants":
            wanted = Wanted(*detail)
            self.wanted[wanted.id] = wanted
        elif event.what == "sends":
            self.sent.setdefault(detail[0], event.at)
        elif event.what == "answer":
            self._answer(event)
        elif event.what == "versions":
            self._versions(event)
        elif event.what == "probe":
            dispatcher, asked, there, missed = detail
            life = self.world.life(dispatcher, asked)
            self.seen[dispatcher].append(Seen(asked, event.at, by_tag(there), by_tag(missed), life))
        elif event.what == "serves empty":
            self.finding(
                "empty",
                detail,
                f"{detail} serves with an empty folder and was told of no new start",
                event.at,
            )

    def _answer(self, event: HistoryEvent) -> None:
        one, server, done, version, why, sure = event.detail
        wanted = self.wanted[one]
        if done:
            known = self.acknowledged.get(one)
            if known is None:
                self.acknowledged[one] = (event.at, version)
            elif known[1] != version:
                self.finding(
                    "twice", one, f"{one} was acknowledged as version {known[1]} and as {version}", event.at
                )
            if wanted.kind == UNACCEPTABLE:
                self.finding(
                    "taken", one, f"{server} took {one}, whose {wanted.key} no server may take", event.at
                )
        elif wanted.kind == UNACCEPTABLE and sure and wanted.key not in why:
            self.finding(
                "unnamed", one, f"{server} refuses {one} and does not name {wanted.key}: {why!r}", event.at
            )

    def _versions(self, event: HistoryEvent) -> None:
        server, rows, final = event.detail
        ids: dict[int, str] = {}
        last = 0
        for version, digest, _, one in rows:
            if version <= last:
                self.finding("order", server, f"{server} lists version {version} behind {last}", event.at)
            last = version
            ids[version] = one
            known = self.committed.setdefault(version, (digest, one))
            if known != (digest, one):
                text = f"{server} lists version {version} as {one} ({digest[:8]}), and it was {known[1]}"
                self.finding("unlike", server, f"{text} ({known[0][:8]})", event.at)
        if final:
            self.final[server] = ids

    # ---- 5: what is committed ----

    def _numbers(self) -> None:
        rows: dict[str, list[int]] = defaultdict(list)
        for version, (_, one) in sorted(self.committed.items()):
            rows[one].append(version)
        for one, versions in rows.items():
            if len(versions) > 1:
                self.finding("twice", one, f"{one} counts twice: versions {versions}", self.sent.get(one, 0))
        for one, (at, version) in self.acknowledged.items():
            for server, ids in self.final.items():
                if ids and min(ids) <= version and ids.get(version) != one:
                    told = f"{server} has {ids.get(version, 'nothing')} there"
                    self.finding(
                        "lost", one, f"{one} was acknowledged as version {version} and is lost: {told}", at
                    )
        self._growing()
        winners: dict[int, list[str]] = defaultdict(list)
        numbers = sorted(self.committed)
        for place, version in enumerate(numbers):
            wanted = self.wanted.get(self.committed[version][1])
            if wanted is None or wanted.expect < 0:
                continue
            winners[wanted.expect].append(wanted.id)
            before = numbers[place - 1] if place else 0
            if before != wanted.expect and (place or version == 1):
                text = f"{wanted.id} expected version {wanted.expect} and came behind {before}"
                self.finding("expect", wanted.id, f"{text} as {version}", self.sent.get(wanted.id, 0))
        for expect, won in winners.items():
            if len(won) > 1:
                text = f"{' and '.join(won)} expected version {expect}, and all won"
                self.finding("both", str(expect), text, self.sent.get(won[1], 0))
        listed = {one: version for version, (_, one) in self.committed.items()}
        for event in self.events:
            if event.what == "answer" and event.detail[5] and not event.detail[2]:
                one = event.detail[0]
                if one in listed:
                    text = f"{one} was refused ({event.detail[4]}) and is version {listed[one]}"
                    self.finding("refused", one, text, event.at)

    def _growing(self) -> None:
        """One that began when another had been acknowledged has a higher number."""
        by_time = sorted((at, version, one) for one, (at, version) in self.acknowledged.items())
        highest: list[tuple[int, str]] = []
        for _, version, one in by_time:
            highest.append(max((version, one), highest[-1] if highest else (0, "")))
        times = [at for at, _, _ in by_time]
        for one, (at, version) in self.acknowledged.items():
            before = bisect_right(times, self.sent.get(one, at) - 1)
            if before and highest[before - 1][0] >= version and highest[before - 1][1] != one:
                other = highest[before - 1]
                text = f"{one} is version {version} and began when {other[1]} was acknowledged as {other[0]}"
                self.finding("number", one, text, at)

    # ---- 2: what is in force was committed, whole ----

    def _whole(self, dispatcher: str, rounds: list[Seen]) -> None:
        halves: dict[int, str] = {}
        nothing = False
        for one in rounds:
            for tag in one.there:
                wanted = self.by_tag.get(tag)
                if tag and (wanted is None or wanted.kind != GOOD or tag not in self.version):
                    how = (
                        "was not committed" if wanted is None or wanted.kind == GOOD else "has to be refused"
                    )
                    name = wanted.id if wanted is not None else f"tag {tag}"
                    self.finding(
                        "strange", dispatcher, f"{dispatcher} has {name} in force, which {how}", one.asked
                    )
            half = {tag: part for tag, part in one.there.items() if part != "ab" and tag in one.missed}
            for tag, part in half.items():
                if halves.get(tag) == part:
                    text = f"{dispatcher} has half of tag {tag} in force: {part} alone"
                    self.finding("half", dispatcher, text, one.asked)
            # A change between two requests of a round shows no grade, and none of two rounds.
            if nothing and not one.there:
                self.finding(
                    "nothing", dispatcher, f"{dispatcher} has nothing in force that is known", one.asked
                )
            halves, nothing = half, not one.there

    def _shown(self, one: Seen) -> int:
        """The highest version that is there whole; -1 where none is."""
        return max((self.version.get(tag, -1) for tag, part in one.there.items() if part == "ab"), default=-1)

    # ---- 1: never back ----

    def _forward(self, dispatcher: str, shown: list[tuple[Seen, int]], reaches: list[Span]) -> None:
        had: dict[int, int] = {}  # by life
        for one, version in shown:
            if version < 0 or one.life < 0:
                continue
            if version < had.get(one.life, -1):
                text = f"{dispatcher} went back from version {had[one.life]} to {version}"
                self.finding("back", dispatcher, text, one.asked)
            before = max((v for life, v in had.items() if life < one.life), default=0)
            if version < before and self._due(reaches, one.asked) is not None:
                text = f"{dispatcher} is at version {version} after its restart, and had {before}"
                self.finding("behind", dispatcher, text, one.asked)
            had[one.life] = max(had.get(one.life, -1), version)

    def _due(self, reaches: list[Span], at: int) -> Span | None:
        """The span that began long enough ago and lasts still."""
        return next((span for span in reaches if span[0] + self.within <= at <= span[1]), None)

    # ---- 3 and 4: in time ----

    def _in_time(
        self, dispatcher: str, shown: list[tuple[Seen, int]], reaches: list[Span], shorter: list[Span]
    ) -> None:
        good = sorted(
            (at, version) for one, (at, version) in self.acknowledged.items() if self.wanted[one].kind == GOOD
        )
        times = [at for at, _ in good]
        newest = [0]
        for _, version in good:
            newest.append(max(newest[-1], version))
        for one, version in shown:
            if version < 0 or self._due(reaches, one.asked) is None:
                continue
            self.judged += 1
            must = newest[bisect_right(times, one.asked - self.within)]
            if version < must:
                acknowledged = next(at for at, v in good if v == must)
                late = format_duration(one.asked - acknowledged)
                text = f"{dispatcher} is at version {version} {late} after {must} was acknowledged"
                self.finding("late", dispatcher, f"{text}, and could reach it", one.asked)
        self._delays(good, shown, shorter)

    def _delays(self, good: list[Span], shown: list[tuple[Seen, int]], reaches: list[Span]) -> None:
        """How long it took where it could be reached then, from the end of what was wrong before."""
        for at, version in good:
            first = next((one for one, v in shown if v >= version and one.answered >= at), None)
            span = next((s for s in reaches if first is not None and s[0] <= first.asked <= s[1]), None)
            if first is None or span is None:
                continue
            took = max(0, first.answered - max(at, span[0])) / SECOND
            is_calm = span[0] + self.within <= at or span[0] == self.world.whole[0]
            (self.calm if is_calm else self.troubled).append(took)

    # ---- 6: what is refused is told ----

    def _reported(self, dispatcher: str, reaches: list[Span]) -> None:
        by_time = sorted((at, version, one) for one, (at, version) in self.acknowledged.items())
        said = [
            (event.at, found)
            for event in self.events
            if event.who == dispatcher and event.what == "log"
            if (found := REFUSAL.search(str(event.detail))) is not None
        ]
        for at, version, one in by_time:
            wanted = self.wanted[one]
            if wanted.kind != REFUSABLE:
                continue
            # Another version may have come before anybody looked at this one.
            later = [self.sent[i] for v, (_, i) in self.committed.items() if v > version and i in self.sent]
            until = min(later, default=self.world.whole[1])
            due = next(
                (s for s in reaches if max(s[0], at) + self.within <= min(s[1], until)),
                None,
            )
            if due is None:
                continue
            by = max(due[0], at) + self.within
            lines = [
                found
                for when, found in said
                if int(found[1]) == version and when <= by and wanted.key in found[2]
            ]
            if lines:
                self.refusals += 1
            else:
                text = f"{dispatcher} did not say in time that version {version} is refused for {wanted.key}"
                self.finding("unreported", dispatcher, text, by)
            self._watched(dispatcher, version, wanted, by)

    def _watched(self, dispatcher: str, version: int, wanted: Wanted, since: int) -> None:
        """Whether a server that was asked afterwards names it, too."""
        rows = [
            row
            for event in self.events
            if event.what == "watchers" and event.at >= since
            for row in event.detail[1]
            if row[0] == dispatcher and row[2] == version
        ]
        if rows and not any(wanted.key in str(row[3]) for row in rows):
            text = f"the servers do not tell that {dispatcher} refused version {version} for {wanted.key}"
            self.finding("untold", dispatcher, f"{text}: {rows[0]}", since)

    # ---- What clients and operators hear ----

    def _answers(self, dispatcher: str, rounds: list[Seen]) -> None:
        times = [one.answered for one in rounds]
        for begin, end in gaps(self.world.whole, self.world.out[dispatcher]):
            ends = [begin, *(at for at in times if begin <= at <= end), end]
            for one, other in zip(ends, ends[1:], strict=False):
                if other - one > ANSWERS_WITHIN:
                    text = f"{dispatcher} lives and answers nobody for {format_duration(other - one)}"
                    self.finding("mute", dispatcher, text, one)

    def _doors(self, dispatcher: str, shown: list[tuple[Seen, int]]) -> None:
        """The operators' door says what clients see, as far as rounds before and after tell."""
        sure = [(one, version) for one, version in shown if version >= 0 and one.life >= 0]
        for event in self.events:
            if event.what != "door" or event.detail[0] != dispatcher:
                continue
            _, asked, line = event.detail
            found, life = CLAIM.match(line), self.world.life(dispatcher, asked)
            if found is None or life < 0 or life != self.world.life(dispatcher, event.at):
                continue
            claimed = int(found[1])
            before = [v for one, v in sure if one.life == life and one.answered < asked]
            after = [v for one, v in sure if one.life == life and one.asked > event.at]
            if (before and claimed < before[-1]) or (after and claimed > after[0]):
                seen = f"{before[-1:]} before and {after[:1]} after"
                self.finding(
                    "claim",
                    dispatcher,
                    f"{dispatcher} claims version {claimed}, clients saw {seen}",
                    event.at,
                )


def by_tag(names: list[str]) -> dict[int, str]:
    found: dict[int, str] = {}
    for name in sorted(names):
        part = GRADE.fullmatch(name)
        if part is not None:
            found[int(part[1])] = found.get(int(part[1]), "") + part[2]
    return found


def check_distribution_history(events: list[HistoryEvent], within: int = 10 * SECOND) -> DistributionVerdict:
    """`events` in order of time; `within` is ns."""
    return Judge(events, within).judge()

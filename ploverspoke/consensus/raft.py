"""Consensus: Raft as published (Ongaro and Ousterhout 2014; Ongaro's thesis), without I/O.

A host builds one `Raft`, calls one method for each thing that happens, and writes down and sends what the
machine
asks for through it. Times are nanoseconds of a monotonic clock; chance comes from the generator that is
given.

What must be on disk before something is said: a message given to `send` goes out only when all that was
asked to be
written before it is synced; one given to `send_now` claims nothing about this replica's disk and may go at
once. The host says `synced` when entries are durable, and only then a leader counts itself among those that
have them.

In it: pre-vote, votes refused while a leader is heard, batches with flow control, commits by the current
term only,
snapshots in pieces, reads by read index, single-server membership change with learners, transfer of
leadership, and a leader that steps down when it hears no majority.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import Any, Protocol

import msgspec

from .log import Entry, EntryKind, Log, Snapshot, with_typed_members
from .membership import Members, differ_by_one, majority, members_from_plain, voters

MILLISECOND = 1_000_000


class Role(StrEnum):
    """What a replica is in its term. The values are shown by tools."""

    FOLLOWER = "follower"
    PRECANDIDATE = "precandidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    STOPPED = "stopped"  # its storage cannot be written: it takes no part


Message = dict[str, Any]  # "k" is its kind, "t" its sender's term

MOST_ENTRIES = 512  # in one message
MOST_BYTES = 256 * 1024
MOST_UNACKED = 16  # messages with entries to one follower
PIECE = 64 * 1024  # of a snapshot
LEASE_PART = 0.9  # of the shortest election time-out: how far clocks may drift apart within one


def received_entry(index: int, term: int, kind: str, data: Any) -> Entry:
    return with_typed_members(Entry(index, term, EntryKind(kind), data))


class RaftEnvironment(Protocol):
    def now(self) -> int: ...

    def send(self, to: str, message: Message) -> None:
        """When all that was asked to be written is synced."""

    def send_now(self, to: str, message: Message) -> None: ...

    def keep_vote(self, term: int, vote: str) -> None: ...

    def keep_entries(self, entries: list[Entry]) -> None: ...

    def drop_entries_from(self, index: int) -> None: ...

    def keep_snapshot(self, snapshot: Snapshot) -> None:
        """Another's snapshot: in place of all that is kept, in one step."""

    def snapshot(self) -> Snapshot | None:
        """The latest that is durable."""

    def committed(self, entry: Entry) -> None: ...

    def restored(self, data: bytes) -> None:
        """The state is now that of a snapshot."""

    def role_changed(self, role: Role, leader: str) -> None: ...

    def read_is_safe(self, token: int, index: int) -> None:
        """Once that index is applied here, the read sees all that was committed before it was asked for."""

    def read_failed(self, token: int) -> None: ...


class Follower:
    """What a leader knows of one other replica."""

    def __init__(self, next_index: int, now: int) -> None:
        self.next = next_index
        self.match = 0
        self.probing = True  # where its log agrees with ours is not known yet: one message at a time
        self.unacked = 0
        self.heard_at = now
        self.asked_at = now  # when the latest heartbeat round that it answered was sent
        self.round = 0  # the latest round that it answered
        self.piece: tuple[int, int] | None = None  # of a snapshot on its way: its index, bytes that arrived
        self.waits_since = 0  # for the answer to a probe or a piece


class Raft:
    def __init__(
        self,
        host: RaftEnvironment,
        me: str,
        members: Members,
        fraction: Callable[[], float],
        election: int = 200 * MILLISECOND,
        heartbeat: int = 50 * MILLISECOND,
        term: int = 0,
        vote: str = "",
        log: Log | None = None,
        disk: str = "",
    ) -> None:
        """`members` are those of the latest snapshot; later ones are in the log. `disk` names what it is kept
        on.
        """
        self.host = host
        self.me = me
        self.disk = disk
        self.disks: dict[str, str] = {}  # on which the others keep what they say they have
        self.fraction = fraction
        self.election = election
        self.heartbeat = heartbeat
        self.term = term
        self.vote = vote
        self.log = log or Log()
        self.base_members = members
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit = self.log.snapshot_index
        self.synced_to = self.log.last_index()
        self.votes: dict[str, bool] = {}
        self.followers: dict[str, Follower] = {}
        # One that restarts may have told a leader that it hears it: until that is over it votes for no other.
        self.heard_leader_at = host.now() if term else -(1 << 62)
        self.round = 0
        self.rounds: dict[int, int] = {}  # when each was sent
        self.reads: list[tuple[int, int, int]] = []  # token, commit index, round
        self.early_reads: list[int] = []  # tokens that wait for the first commit of this term
        self.transfer_to = ""
        self.transfer_until = 0
        self.incoming = bytearray()  # of a snapshot, in pieces
        self.incoming_index = 0
        self.next_heartbeat = 0
        self.quorum_until = 0
        self.next_election = 0
        self._put_off_election()

    # ---- What can happen ----

    def tick(self) -> None:
        """Time has passed. `next_tick` says when it is wanted."""
        now = self.host.now()
        if self.role is Role.LEADER:
            if self.transfer_to and now >= self.transfer_until:
                self.transfer_to = ""
            if now >= self.quorum_until and not self._hears_majority(now):
                # A partitioned leader must not go on believing that it is one.
                self._become_follower(self.term, "")
            elif now >= self.next_heartbeat:
                self._heartbeat()
        elif now >= self.next_election:
            self._put_off_election()
            if self._may_stand():
                self._ask_for_votes(pre=True)

    def next_tick(self) -> int:
        return min(self.next_heartbeat, self.quorum_until) if self.role is Role.LEADER else self.next_election

    def message(self, sender: str, m: Message) -> None:
        kind, term = m["k"], m["t"]
        if self.disks.setdefault(sender, m["disk"]) != m["disk"]:
            # Its disk was exchanged under it: what it had said that it holds is gone. Its word is not taken.
            return
        if kind in ("vote", "prevote") and self._hears_leader() and not m.get("transfer"):
            # One that was cut off must not depose a leader that the others hear.
            return
        if term > self.term and kind not in ("prevote", "prevote-granted"):
            self._become_follower(term, sender if kind in ("append", "piece") else "")
        if term < self.term:
            if kind in ("append", "piece", "vote", "prevote"):
                # Told our term, an old leader steps down, and one that stands by old news learns better.
                self._send(sender, {"k": "behind", "t": self.term})
            return
        getattr(self, HANDLERS[kind])(sender, m)

    def propose(self, data: list[Any], kind: EntryKind = EntryKind.DATA) -> int:
        """Append entries of the leader's; gives the index of the last, or 0 where we may not."""
        if self.role is not Role.LEADER or self.transfer_to:
            return 0
        first = self.log.last_index() + 1
        entries = [Entry(first + n, self.term, kind, value) for n, value in enumerate(data)]
        self.log.append(entries)
        self.host.keep_entries(entries)
        for who in self.followers:
            self._feed(who)
        return self.log.last_index()

    def synced(self, index: int, term: int) -> None:
        """Entries up to that one are durable here; one that was replaced meanwhile says nothing."""
        if self.log.term_at(index) != term:
            return
        self.synced_to = max(self.synced_to, index)
        if self.role is Role.LEADER:
            self._commit_what_a_majority_has()

    def read(self, token: int) -> None:
        """Ask whether we still lead; answered by read_is_safe or read_failed."""
        if self.role is not Role.LEADER:
            self.host.read_failed(token)
        elif self.log.term_at(self.commit) != self.term:
            # Until an entry of this term is committed, what is committed is not known for certain.
            self.early_reads.append(token)
        else:
            self._begin_read(token)

    def change_members(self, members: Members) -> int:
        """One voter more or less, or learners; gives the entry's index, or 0 where that may not be now."""
        unfinished = any(entry.index > self.commit for entry in self.log.membership_changes)
        # Before its first commit a leader may not know of a change that another had begun.
        fresh = self.log.term_at(self.commit) != self.term
        if self.role is not Role.LEADER or unfinished or fresh or not differ_by_one(self.members(), members):
            return 0
        if not voters(members):
            return 0
        index = self.propose([members], EntryKind.MEMBERS)
        if index:
            self._members_changed()
        return index

    def transfer(self, to: str) -> bool:
        """Hand leadership to a voter: it is brought up to date, then told to stand at once."""
        if self.role is not Role.LEADER or to not in voters(self.members()) or to == self.me:
            return False
        self.transfer_to = to
        self.transfer_until = self.host.now() + self.election
        self._maybe_hand_over(to)
        return True

    def compacted(self, index: int) -> None:
        """A snapshot up to that index, which is applied, is durable: the log before it is not needed."""
        if index > self.log.snapshot_index:
            self.base_members = self.members_at(index)
            self.log.compact(index)

    # ---- What others ask ----

    def members(self) -> Members:
        """The latest in the log, committed or not: a change counts from when it is appended."""
        return self.members_at(self.log.last_index())

    def members_at(self, index: int) -> Members:
        for entry in reversed(self.log.membership_changes):
            if entry.index <= index:
                found: Members = entry.data
                return found
        return self.base_members

    def lease_until(self) -> int:
        """Until then no other can have been elected, if clocks drift by less than a tenth in that time."""
        if self.role is not Role.LEADER or self.transfer_to:
            return 0
        return self._majority_of(lambda f: f.asked_at, self.host.now()) + int(self.election * LEASE_PART)

    # ---- Elections ----

    def _send(self, to: str, message: Message) -> None:
        self.host.send(to, {**message, "disk": self.disk})

    def _send_now(self, to: str, message: Message) -> None:
        self.host.send_now(to, {**message, "disk": self.disk})

    def _may_stand(self) -> bool:
        told = self.members().get(self.me)
        return told is not None and told.votes

    def _hears_leader(self) -> bool:
        now = self.host.now()
        if self.role is Role.LEADER:
            return self._hears_majority(now)
        return now - self.heard_leader_at < self.election

    def _put_off_election(self) -> None:
        self.next_election = self.host.now() + int(self.election * (1 + self.fraction()))

    def _ask_for_votes(self, pre: bool, transfer: bool = False) -> None:
        if not pre:
            self.term += 1
            self.vote = self.me
            self.host.keep_vote(self.term, self.vote)
        self._set_role(Role.PRECANDIDATE if pre else Role.CANDIDATE, "")
        self.votes = {self.me: True}
        last = {"li": self.log.last_index(), "lt": self.log.last_term()}
        message = {"k": "prevote" if pre else "vote", "t": self.term + pre, "transfer": transfer, **last}
        for who in voters(self.members()):
            if who != self.me:
                self._send(who, message)
        self._count_votes()

    def _on_vote(self, sender: str, m: Message) -> None:
        granted = self.vote in ("", sender) and self._is_up_to_date(m) and self.role is not Role.LEADER
        if granted:
            self.vote = sender
            self.host.keep_vote(self.term, self.vote)
            self._put_off_election()
        self._send(sender, {"k": "vote-granted", "t": self.term, "yes": granted})

    def _on_prevote(self, sender: str, m: Message) -> None:
        granted = self.role is not Role.LEADER and self._is_up_to_date(m)
        self._send(sender, {"k": "prevote-granted", "t": m["t"], "yes": granted})

    def _is_up_to_date(self, m: Message) -> bool:
        return (m["lt"], m["li"]) >= (self.log.last_term(), self.log.last_index())

    def _on_vote_granted(self, sender: str, m: Message) -> None:
        if self.role is Role.CANDIDATE:
            self.votes[sender] = m["yes"]
            self._count_votes()

    def _on_prevote_granted(self, sender: str, m: Message) -> None:
        if self.role is Role.PRECANDIDATE and m["t"] == self.term + 1:
            self.votes[sender] = m["yes"]
            self._count_votes()

    def _count_votes(self) -> None:
        members = self.members()
        if sum(self.votes.get(who, False) for who in voters(members)) < majority(members):
            return
        if self.role is Role.PRECANDIDATE:
            self._ask_for_votes(pre=False)
        else:
            self._become_leader()

    def _become_follower(self, term: int, leader: str) -> None:
        if term > self.term:
            self.term = term
            self.vote = ""
            self.host.keep_vote(term, "")
        failed = [token for token, _, _ in self.reads] + self.early_reads
        self.reads.clear()
        self.early_reads.clear()
        self.followers.clear()
        self.transfer_to = ""
        self._put_off_election()
        self._set_role(Role.FOLLOWER, leader)
        for token in failed:
            self.host.read_failed(token)

    def _become_leader(self) -> None:
        now = self.host.now()
        self.followers = {}
        self.rounds.clear()
        self.quorum_until = now + self.election
        self._set_role(Role.LEADER, self.me)
        self._members_changed()
        # Earlier entries are committed only along with one of this term.
        self.propose([None], EntryKind.NOOP)
        self._heartbeat()

    def _set_role(self, role: Role, leader: str) -> None:
        if (role, leader) != (self.role, self.leader):
            self.role, self.leader = role, leader
            self.host.role_changed(role, leader)

    def _on_behind(self, sender: str, m: Message) -> None:
        """Somebody's term is ours by now; nothing else is to be done."""

    # ---- Leading ----

    def _members_changed(self) -> None:
        members, now = self.members(), self.host.now()
        for who in members:
            if who != self.me and who not in self.followers:
                self.followers[who] = Follower(self.log.last_index() + 1, now)
        for who in [w for w in self.followers if w not in members]:
            # It hears of its going only while the entry is on its way; that is enough, since it may not
            # stand.
            self._feed(who)
            del self.followers[who]

    def _heartbeat(self) -> None:
        """One round: who answers it tells that we still lead."""
        now = self.host.now()
        self.next_heartbeat = now + self.heartbeat
        self.round += 1
        self.rounds[self.round] = now
        for old in [r for r in self.rounds if r < self.round - 64]:
            del self.rounds[old]
        for who, f in self.followers.items():
            if f.waits_since and now - f.waits_since > self.election:
                f.waits_since = 0  # a probe or a piece was lost on the way
                f.unacked = 0
            if now - f.heard_at > self.election:
                f.unacked = 0
                f.probing = True
            self._send_append(who, f, [])
            self._feed(who)
        if not self.followers:
            self._answer_reads()

    def _feed(self, who: str) -> None:
        """Send what it lacks, as far as the window goes."""
        f = self.followers[who]
        while f.next <= self.log.last_index() or f.next <= self.log.snapshot_index:
            if f.next <= self.log.snapshot_index:
                self._send_piece(who, f)
                return
            if f.unacked >= (1 if f.probing else MOST_UNACKED):
                return
            entries = self.log.after(f.next - 1, MOST_ENTRIES, MOST_BYTES)
            self._send_append(who, f, entries)
            f.unacked += 1
            if f.probing:
                f.waits_since = f.waits_since or self.host.now()
                return
            f.next = entries[-1].index + 1

    def _send_append(self, who: str, f: Follower, entries: list[Entry]) -> None:
        before = f.next - 1
        term = self.log.term_at(before)
        if term is None:
            # It stands before our snapshot: a heartbeat that claims nothing of its log.
            before, term, entries = 0, 0, []
        self._send_now(
            who,
            {
                "k": "append",
                "t": self.term,
                "li": before,
                "lt": term,
                "e": [msgspec.structs.astuple(entry) for entry in entries],
                "c": min(self.commit, before + len(entries)),
                "r": self.round,
            },
        )

    def _send_piece(self, who: str, f: Follower) -> None:
        if f.waits_since:
            return
        found = self.host.snapshot()
        if found is None:
            return
        index, term, members, data = found.index, found.term, found.members, found.data
        if f.piece is None or f.piece[0] != index:
            f.piece = (index, 0)
        at = f.piece[1]
        part = data[at : at + PIECE]
        f.waits_since = self.host.now()
        done = at + len(part) >= len(data)
        told = {"si": index, "st": term, "m": members, "o": at, "d": part, "done": done, "r": self.round}
        self._send_now(who, {"k": "piece", "t": self.term, **told})

    def _on_appended(self, sender: str, m: Message) -> None:
        f = self.followers.get(sender)
        if self.role is not Role.LEADER or f is None:
            return
        self._heard(f, m)
        if m["e"]:
            f.unacked = max(0, f.unacked - 1)
            f.waits_since = 0
        if not m["ok"]:
            self._back_off(f, m)
        elif m["li"]:
            f.match = max(f.match, m["li"])
            f.next = max(f.next, f.match + 1)
            if f.match + 1 == f.next:
                f.unacked = 0  # answers that were lost on the way are not waited for
            f.probing = False
            self._commit_what_a_majority_has()
        if self.role is Role.LEADER and sender in self.followers:
            self._feed(sender)
            self._maybe_hand_over(sender)

    def _back_off(self, f: Follower, m: Message) -> None:
        """Its log does not hold what we built on: go back to where it may agree."""
        f.probing = True
        f.unacked = 0
        f.waits_since = 0
        f.next = max(1, min(f.next, m["hint"]))

    def _on_piece_taken(self, sender: str, m: Message) -> None:
        f = self.followers.get(sender)
        if self.role is not Role.LEADER or f is None:
            return
        self._heard(f, m)
        f.waits_since = 0
        if m["li"] >= 0:
            f.piece = None
            f.match = max(f.match, m["li"])
            f.next = f.match + 1
            f.probing = True
            f.unacked = 0
            self._commit_what_a_majority_has()
        elif f.piece is not None and f.piece[0] == m["si"]:
            f.piece = (m["si"], m["o"])
        if self.role is Role.LEADER:
            self._feed(sender)

    def _heard(self, f: Follower, m: Message) -> None:
        f.heard_at = self.host.now()
        if m["r"] > f.round:
            f.round = m["r"]
            f.asked_at = max(f.asked_at, self.rounds.get(m["r"], f.asked_at))
            self._answer_reads()

    def _commit_what_a_majority_has(self) -> None:
        index = self._majority_of(lambda f: f.match, self.synced_to)
        # Only entries of this term are counted: an older one may still be replaced though a majority has it.
        if index > self.commit and self.log.term_at(index) == self.term:
            self._commit_to(index)
            early, self.early_reads = self.early_reads, []
            for token in early:
                self._begin_read(token)
            if self.me not in voters(self.members_at(self.commit)) and self.role is Role.LEADER:
                self._become_follower(self.term, "")  # our own going is committed

    def _majority_of(self, value: Callable[[Follower], int], mine: int) -> int:
        """The highest value that a majority of voters has reached."""
        members = self.members()
        values = []
        for who in voters(members):
            f = self.followers.get(who)
            values.append(mine if who == self.me else value(f) if f is not None else 0)
        return sorted(values, reverse=True)[majority(members) - 1]

    def _hears_majority(self, now: int) -> bool:
        """Within an election time-out; looked at anew after another part of it."""
        self.quorum_until = now + self.election // 4
        return now - self._majority_of(lambda f: f.heard_at, now) < self.election

    # ---- Reads and transfer ----

    def _begin_read(self, token: int) -> None:
        self.reads.append((token, self.commit, self.round + 1))
        self._heartbeat()

    def _answer_reads(self) -> None:
        if not self.reads:
            return
        reached = self._majority_of(lambda f: f.round, self.round)
        ready = [read for read in self.reads if read[2] <= reached]
        self.reads = [read for read in self.reads if read[2] > reached]
        for token, index, _ in ready:
            self.host.read_is_safe(token, index)

    def _maybe_hand_over(self, who: str) -> None:
        f = self.followers.get(who)
        if self.transfer_to == who and f is not None and f.match == self.log.last_index():
            self._send(who, {"k": "stand", "t": self.term})

    def _on_stand(self, sender: str, m: Message) -> None:
        if self._may_stand() and self.role is not Role.LEADER:
            self._ask_for_votes(pre=False, transfer=True)

    # ---- Following ----

    def _follow(self, sender: str) -> None:
        self.heard_leader_at = self.host.now()
        self._put_off_election()
        if self.role is not Role.FOLLOWER:
            self._become_follower(self.term, sender)
        else:
            self._set_role(Role.FOLLOWER, sender)

    def _on_append(self, sender: str, m: Message) -> None:
        if self.role is Role.LEADER:
            return  # two leaders of one term cannot be: what comes is not from a peer of this store
        self._follow(sender)
        entries = [received_entry(*row) for row in m["e"]]
        answer: Message = {"k": "appended", "t": self.term, "r": m["r"], "e": bool(entries)}
        before, last = m["li"], self.log.last_index()
        # What is in our snapshot is committed, so it agrees.
        while entries and entries[0].index <= self.log.snapshot_index:
            before, entries = entries[0].index, entries[1:]
        if before > self.log.snapshot_index and self.log.term_at(before) != m["lt"] and before == m["li"]:
            hint = last + 1 if before > last else self.log.first_of_term(before)
            self._send(sender, {**answer, "ok": False, "li": 0, "hint": hint})
            return
        new = [entry for entry in entries if self.log.term_at(entry.index) != entry.term]
        if new:
            first = new[0].index
            if first <= last:
                self._cut(first)
            new = [entry for entry in entries if entry.index >= first]
            self.log.append(new)
            self.host.keep_entries(new)
        reaches = max(m["li"], entries[-1].index if entries else before)
        if m["c"] > self.commit:
            self._commit_to(min(m["c"], reaches))
        self._send(sender, {**answer, "ok": True, "li": reaches, "hint": 0})

    def _cut(self, index: int) -> None:
        assert index > self.commit, "a committed entry is never replaced"
        self.log.truncate_from(index)
        self.synced_to = min(self.synced_to, index - 1)
        self.host.drop_entries_from(index)

    def _on_piece(self, sender: str, m: Message) -> None:
        self._follow(sender)
        index = m["si"]
        answer: Message = {"k": "piece-taken", "t": self.term, "r": m["r"], "si": index}
        if index <= self.commit:
            # Entries came faster than the snapshot: what we have is newer.
            self._send(sender, {**answer, "o": 0, "li": self.commit})
            return
        if m["o"] == 0 or index != self.incoming_index:
            self.incoming = bytearray()
            self.incoming_index = index
        if m["o"] == len(self.incoming):
            self.incoming += m["d"]
            if m["done"]:
                self._take_snapshot(m)
                self._send(sender, {**answer, "o": 0, "li": index})
                return
        self._send(sender, {**answer, "o": len(self.incoming), "li": -1})

    def _take_snapshot(self, m: Message) -> None:
        index, term, data = m["si"], m["st"], bytes(self.incoming)
        self.incoming = bytearray()
        self.incoming_index = 0
        if self.log.term_at(index) == term:
            # Our log goes on past it and agrees: what is behind it stays.
            kept = list(self.log.entries[index - self.log.snapshot_index :])
        else:
            kept = []
        members = members_from_plain(m["m"])
        self.host.keep_snapshot(Snapshot(index, term, members, data))
        self.base_members = members
        self.log.restart_at(index, term)
        if kept:
            self.log.append(kept)
            self.host.keep_entries(kept)
        self.synced_to = min(self.synced_to, self.log.last_index())
        self.commit = index
        self.host.restored(data)

    def _commit_to(self, index: int) -> None:
        while self.commit < min(index, self.log.last_index()):
            self.commit += 1
            self.host.committed(self.log.get(self.commit))


HANDLERS: dict[str, str] = {
    "vote": "_on_vote",
    "vote-granted": "_on_vote_granted",
    "prevote": "_on_prevote",
    "prevote-granted": "_on_prevote_granted",
    "append": "_on_append",
    "appended": "_on_appended",
    "piece": "_on_piece",
    "piece-taken": "_on_piece_taken",
    "stand": "_on_stand",
    "behind": "_on_behind",
}

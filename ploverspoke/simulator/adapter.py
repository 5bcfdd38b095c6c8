"""Plays dispatchers on the simulator's wire: events in, actions out, no decisions of its own."""

import gc
import sys
import traceback
from base64 import b64encode
from binascii import a2b_base64
from collections.abc import Callable, Iterable
from typing import TextIO

from ploverspoke.decisions.dispatcher import Dispatcher
from ploverspoke.decisions.interface import Endpoint
from ploverspoke.protocol.errors import GossipSyntaxError
from ploverspoke.protocol.gossip_messages import GossipMessage, GossipReader, encode_gossip
from ploverspoke.protocol.wire_names import ENDPOINT_STATES
from ploverspoke.service.config_reader import ConfigError
from ploverspoke.service.settings import parse_settings
from ploverspoke.transport.units import MICROSECOND

from .codec import CodecError, Fields, read_line, write_line

OUTCOMES = {
    "delivered": "satisfied",
    "app_error": "worker_error",
    "shed": "full",
    "expired": "timed_out",
    "dial_failed": "unreachable",
    "dropped": "broken_off",
    "revoked": "recalled",
    "unused": "not_sent",
}


class Instance:
    """The host of one dispatcher."""

    def __init__(self, number: int, adapter: "Adapter", start: Fields) -> None:
        self.number = number
        self.adapter = adapter
        try:
            settings = parse_settings(start.mapping("ProfileData"))
        except ConfigError as error:
            raise CodecError(str(error)) from None
        self.load_fields = settings.load_fields
        self.reader = GossipReader()
        self.dispatcher = Dispatcher(self, start.whole("RandomSeed"), settings)
        self.dispatcher.started()

    def now(self) -> int:
        return self.adapter.now

    def _act(self, name: str, **fields: int | str) -> None:
        self.adapter.reply.append(write_line(name, Who=self.number, **fields))

    def start_attempt(self, submission_id: int, worker: str, time_out: int) -> None:
        self._act("FORWARD", RequestId=submission_id, Worker=worker, AllowForUs=time_out // MICROSECOND)

    def cancel_attempt(self, submission_id: int, hand_off: int) -> None:
        self._act("REVOKE", RequestId=submission_id, Go=hand_off)

    def reject(self, submission_id: int, come_back_after: int) -> None:
        self._act("BUSY", RequestId=submission_id, StayAwayUs=come_back_after // MICROSECOND)

    def fail(self, submission_id: int) -> None:
        self._act("GIVE_UP", RequestId=submission_id)

    def wake_at(self, token: int, when: int) -> None:
        self._act("SLEEP", Token=token, WhenUs=-(-when // MICROSECOND))

    def probe(self, worker: str) -> None:
        self._act("SOUND_OUT", Worker=worker)

    def send_gossip(
        self, to: Iterable[int] | None, zone: int, number: int, lateness: float, held: Iterable[str]
    ) -> None:
        octets = b64encode(encode_gossip(GossipMessage(zone, number, lateness, list(held)))).decode()
        for target in ["all"] if to is None else to:
            self._act("BROADCAST_TO", Target=target, Octets=octets)

    def watch_endpoints(self) -> None:
        self._act("KEEP_INFORMED", Active=1)

    def log(self, line: str) -> None:
        self._act("REMARK", Line=line)

    # ---- Events ----

    def request(self, f: Fields) -> None:
        self.dispatcher.request_arrived(
            f.whole("RequestId"),
            f.whole("Kind"),
            f.number("Slots", 1.0),
            f.whole("DropDeadUs") * MICROSECOND,
            f.whole("PredictedUs", 0) * MICROSECOND,
            f.get("PathKey", ""),
        )

    def note(self, f: Fields) -> None:
        what = f.whole("What")
        if what == 1:
            self.dispatcher.attempt_started(f.whole("RequestId"), f.whole("Go"))
        elif what == 2:
            self.dispatcher.attempt_progressed(f.whole("RequestId"), f.whole("Go"), f.number("Level", 0.0))

    def outcome(self, f: Fields) -> None:
        self.dispatcher.attempt_ended(
            f.whole("RequestId"),
            f.whole("Go"),
            f["Worker"],
            self._outcome_word(f),
            f.whole("DelaySeenUs") * MICROSECOND,
            f.flag("Finished"),
            self._load(f),
        )

    def client_disconnected(self, f: Fields) -> None:
        self.dispatcher.client_disconnected(f.whole("RequestId"))

    def reminder(self, f: Fields) -> None:
        self.dispatcher.timer_fired(f.whole("Token"))

    def probed(self, f: Fields) -> None:
        self.dispatcher.probe_completed(
            f["Worker"], self._outcome_word(f), f.whole("DelaySeenUs") * MICROSECOND, self._load(f)
        )

    def under_way(self, f: Fields) -> None:
        """A streamed answer; the wire itself takes none of those back."""
        self.dispatcher.attempt_started(f.whole("RequestId"), f.whole("Go"))

    def heard(self, f: Fields) -> None:
        """What another dispatcher tells; what cannot be read is no word of it."""
        try:
            told = self.reader.read(a2b_base64(f["Octets"]), self.dispatcher.workers)
        except (GossipSyntaxError, ValueError):
            return
        self.dispatcher.gossip_received(f.whole("Author"), *told)

    def peers(self, f: Fields) -> None:
        scope = f["Scope"]
        if scope == "lost":
            self.dispatcher.endpoint_watch_failed()
            return
        number = f.whole("SetId")
        if number not in self.adapter.tables:
            raise CodecError(f"list {number} was not sent")
        listings = self.adapter.tables[number]
        if scope == "incr":
            self.dispatcher.endpoints_changed(listings)
        elif scope in ("total", "warm_copy"):
            self.dispatcher.endpoint_list_received(listings)
        else:
            raise CodecError(f"unknown scope {scope!r}")

    def _outcome_word(self, f: Fields) -> str:
        reason = f["Reason"]
        if reason not in OUTCOMES:
            raise CodecError(f"unknown outcome {reason!r}")
        return OUTCOMES[reason]

    def _load(self, f: Fields) -> dict[str, float] | None:
        values = f.numbers("Gauge")
        return None if values is None else dict(zip(self.load_fields, values, strict=False))


EVENTS: dict[str, Callable[[Instance, Fields], None]] = {
    "NEW_REQUEST": Instance.request,
    "NOTE": Instance.note,
    "CLOSED_ATTEMPT": Instance.outcome,
    "REMINDER": Instance.reminder,
    "CLIENT_LEFT": Instance.client_disconnected,
    "CHECKED": Instance.probed,
    "PEERS_KNOWN": Instance.peers,
    "UNDER_WAY": Instance.under_way,
    "HEARD": Instance.heard,
}


class Adapter:
    """The instances of one process and the batch in hand."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source = source
        self.sink = sink
        self.now = 0
        self.reply: list[str] = []
        self.instances: dict[int, Instance] = {}
        self.tables: dict[int, list[Endpoint]] = {}
        self.line_number = 0

    def run(self) -> None:
        """Answer batches until the input ends."""
        serial: str | None = None
        while line := self._next_line():
            name, fields = read_line(line)
            if serial is None:
                if name != "MARK":
                    raise CodecError(f"expected MARK, got {name}")
                self.now = fields.whole("AtTimeUs") * MICROSECOND
                serial = str(fields.whole("serial"))
            elif name == "GO":
                self.reply.append(write_line("OK", serial=serial))
                self.sink.write("\n".join(self.reply) + "\n")
                self.sink.flush()
                self.reply.clear()
                serial = None
            elif name == "TABLE":
                self._read_table(fields)
            else:
                self._event(name, fields)
        if serial is not None:
            raise CodecError("the input ends inside a batch")

    def _next_line(self) -> str:
        line = self.source.readline()
        if line:
            self.line_number += 1
            return line.rstrip("\r\n") or " "
        return ""

    def _read_table(self, fields: Fields) -> None:
        listings = []
        for _ in range(fields.whole("Members")):
            name, entry = read_line(self._next_line() or " ")
            if name != "ENTRY":
                raise CodecError(f"expected ENTRY, got {name}")
            if entry["Condition"] not in ENDPOINT_STATES:
                raise CodecError(f"unknown condition {entry['Condition']!r}")
            listings.append(
                Endpoint(
                    entry["Worker"],
                    entry.whole("Dc", 0),
                    entry.whole("Model", 0),
                    entry.whole("Block", 0),
                    ENDPOINT_STATES[entry["Condition"]],
                    entry.number("Heft", 1.0),
                    entry.whole("UpSinceUs", 0) * MICROSECOND,
                )
            )
        self.tables[fields.whole("SetId")] = listings

    def _event(self, name: str, fields: Fields) -> None:
        who = fields.whole("Who")
        if name == "RETIRE":
            self.instances.pop(who, None)
            return
        handle = EVENTS.get(name)
        if handle is None and name != "UP":
            raise CodecError(f"unknown message {name}")
        try:
            if handle is None:
                self.instances[who] = Instance(who, self, fields)
            elif who in self.instances:
                handle(self.instances[who], fields)
            else:
                raise CodecError(f"{name} for dispatcher {who}, which is not up")
        except CodecError:
            raise
        except Exception as error:
            traceback.print_exc(file=sys.stderr)
            place = traceback.extract_tb(error.__traceback__)[-1]
            cause = f"{type(error).__name__}: {error} in {place.name}, line {place.lineno}"
            self.reply.append(write_line("PANIC", Who=who, Line=cause.replace("\n", " ")))


def main() -> int:
    gc.freeze()
    adapter = Adapter(sys.stdin, sys.stdout)
    try:
        adapter.run()
    except CodecError as error:
        print(f"ploverspoke: input line {adapter.line_number}: {error}", file=sys.stderr)
        return 2
    return 0

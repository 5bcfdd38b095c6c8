"""The adapter between the simulator and dispatchers: reads batches of messages and writes the replies."""

import gc
import sys
import traceback
from typing import TextIO

from ploverspoke.decisions.interface import Endpoint, EndpointCondition
from ploverspoke.protocol.wire_names import ENDPOINT_STATES
from ploverspoke.transport.units import MICROSECOND

from . import wire_names as wire
from .codec import Message, decode_message, encode_message
from .dispatcher_instance import DispatcherInstance, SharedState
from .errors import (
    CodecError,
    FieldValueError,
    UnexpectedEndError,
    UnexpectedMessageError,
    UnknownDispatcherError,
    UnknownMessageError,
)
from .events import EVENT_HANDLERS

EXIT_INVALID_INPUT = 2


class Adapter:
    """Reads batches from one stream and writes the replies of its dispatchers to another."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        """Read from `source` and write to `sink`; neither stream is closed by the adapter."""
        self.source = source
        self.sink = sink
        self.shared = SharedState()
        self.instances: dict[int, DispatcherInstance] = {}
        self.line_number = 0  # of the latest line, for error messages

    def run(self) -> None:
        """Process batches until the input ends. Raises CodecError."""
        serial: int | None = None  # serial number of the current batch; None: between batches
        while line := self._next_line():
            message = decode_message(line)
            if serial is None:
                serial = self._begin_batch(message)
            elif message.name == wire.BATCH_END:
                self._end_batch(serial)
                serial = None
            elif message.name == wire.ENDPOINT_TABLE:
                self._read_table(message)
            else:
                self._handle_event(message)
        if serial is not None:
            raise UnexpectedEndError

    def _next_line(self) -> str:
        """Return the next line without its line end; an empty line as " ", and the end of the input as ""."""
        line = self.source.readline()
        if not line:
            return ""
        self.line_number += 1
        return line.rstrip("\r\n") or " "

    def _begin_batch(self, message: Message) -> int:
        if message.name != wire.BATCH_BEGIN:
            raise UnexpectedMessageError(wire.BATCH_BEGIN, message.name)
        self.shared.now = message.whole_number(wire.BATCH_TIME) * MICROSECOND
        return message.whole_number(wire.BATCH_SERIAL)

    def _end_batch(self, serial: int) -> None:
        replies = self.shared.replies
        replies.append(encode_message(wire.BATCH_DONE, {wire.BATCH_SERIAL: serial}))
        self.sink.write("\n".join(replies) + "\n")
        self.sink.flush()
        replies.clear()

    def _read_table(self, message: Message) -> None:
        size = message.whole_number(wire.TABLE_SIZE)
        endpoints = [read_endpoint(decode_message(self._next_line() or " ")) for _ in range(size)]
        self.shared.endpoint_tables[message.whole_number(wire.TABLE_NUMBER)] = endpoints

    def _handle_event(self, message: Message) -> None:
        number = message.whole_number(wire.DISPATCHER)
        if message.name == wire.DISPATCHER_STOPPED:
            self.instances.pop(number, None)
            return
        if message.name != wire.DISPATCHER_STARTED and message.name not in EVENT_HANDLERS:
            raise UnknownMessageError(message.name)
        try:
            self._dispatch(number, message)
        except CodecError:
            raise
        except Exception as error:  # a fault in one dispatcher is reported, and the others continue
            traceback.print_exc(file=sys.stderr)
            self.shared.replies.append(encode_fault(number, error))

    def _dispatch(self, number: int, message: Message) -> None:
        if message.name == wire.DISPATCHER_STARTED:
            self.instances[number] = DispatcherInstance(number, self.shared, message)
            return
        instance = self.instances.get(number)
        if instance is None:
            raise UnknownDispatcherError(message.name, number)
        EVENT_HANDLERS[message.name](instance, message)


def read_endpoint(message: Message) -> Endpoint:
    """Return the endpoint in one row of an endpoint table. Raises CodecError."""
    if message.name != wire.ENDPOINT_ROW:
        raise UnexpectedMessageError(wire.ENDPOINT_ROW, message.name)
    state = message.text(wire.ENDPOINT_STATE)
    if state not in ENDPOINT_STATES:
        raise FieldValueError(wire.ENDPOINT_STATE, f"unknown condition {state!r}")
    return Endpoint(
        message.text(wire.WORKER),
        message.whole_number(wire.ENDPOINT_ZONE, 0),
        message.whole_number(wire.ENDPOINT_MACHINE_KIND, 0),
        message.whole_number(wire.ENDPOINT_RACK, 0),
        EndpointCondition(ENDPOINT_STATES[state]),
        message.number(wire.ENDPOINT_WEIGHT, 1.0),
        message.whole_number(wire.ENDPOINT_STARTED, 0) * MICROSECOND,
    )


def encode_fault(dispatcher: int, error: Exception) -> str:
    """Return the report of a fault in a dispatcher: the error, and where it was raised."""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    cause = f"{type(error).__name__}: {error} in {frame.name}, line {frame.lineno}"
    return encode_message(wire.FAULT, {wire.DISPATCHER: dispatcher, wire.TEXT: cause.replace("\n", " ")})


def main() -> int:
    """Run the adapter on standard input and output; return the exit code."""
    gc.freeze()  # the loaded modules are never freed, so the garbage collector need not traverse them
    adapter = Adapter(sys.stdin, sys.stdout)
    try:
        adapter.run()
    except CodecError as error:
        print(f"ploverspoke: input line {adapter.line_number}: {error}", file=sys.stderr)
        return EXIT_INVALID_INPUT
    return 0

"""A simulated dispatcher, whose actions are sent to the simulator as messages."""

from base64 import b64encode
from collections.abc import Iterable

from ploverspoke.decisions.dispatcher import Dispatcher
from ploverspoke.decisions.interface import Endpoint, EndReason, LoadGossip
from ploverspoke.protocol.gossip_messages import GossipMessage, GossipReader, encode_gossip
from ploverspoke.service.config_reader import ConfigError
from ploverspoke.service.settings import parse_settings
from ploverspoke.transport.units import MICROSECOND

from . import wire_names as wire
from .codec import Message, encode_message
from .errors import SettingsError


class SharedState:
    """State shared by the dispatchers of an adapter: time, replies to the current batch, endpoint tables."""

    def __init__(self) -> None:
        """Start at time 0, without replies."""
        self.now = 0  # simulated time in ns
        self.replies: list[str] = []
        self.endpoint_tables: dict[int, list[Endpoint]] = {}


class DispatcherInstance:
    """One dispatcher, with its actions (`decisions.interface.DispatchActions`); times are in nanoseconds."""

    def __init__(self, number: int, shared: SharedState, start: Message) -> None:
        """Start a dispatcher with the settings in the message `start`. Raises CodecError."""
        self.number = number
        self.shared = shared
        try:
            settings = parse_settings(start.json_object(wire.SETTINGS))
        except ConfigError as error:
            raise SettingsError(str(error)) from error
        self.load_fields = settings.load_fields
        self.gossip_reader = GossipReader()
        self.dispatcher = Dispatcher(self, start.whole_number(wire.SEED), settings)
        self.dispatcher.started()

    def _reply(self, name: str, fields: dict[str, int | str]) -> None:
        self.shared.replies.append(encode_message(name, {wire.DISPATCHER: self.number, **fields}))

    def now(self) -> int:
        """Return the simulated time."""
        return self.shared.now

    def start_attempt(self, request_id: int, worker: str, timeout: int) -> None:
        """Send a request to a worker."""
        self._reply(
            wire.START_ATTEMPT,
            {wire.REQUEST: request_id, wire.WORKER: worker, wire.ATTEMPT_TIMEOUT: timeout // MICROSECOND},
        )

    def cancel_attempt(self, request_id: int, attempt: int) -> None:
        """Stop waiting for an attempt."""
        self._reply(wire.CANCEL_ATTEMPT, {wire.REQUEST: request_id, wire.ATTEMPT: attempt})

    def reject(self, request_id: int, retry_after: int, reason: EndReason = EndReason.NOT_STATED) -> None:
        """Send the final answer that a request did not run."""
        self._reply(wire.REJECT, {wire.REQUEST: request_id, wire.RETRY_AFTER: retry_after // MICROSECOND})

    def fail(self, request_id: int, reason: EndReason = EndReason.NOT_STATED) -> None:
        """Send the final answer that a request failed."""
        self._reply(wire.FAIL, {wire.REQUEST: request_id})

    def wake_at(self, token: int, when: int) -> None:
        """Set a timer, rounded up to whole microseconds."""
        self._reply(wire.SET_TIMER, {wire.TIMER_TOKEN: token, wire.TIMER_TIME: -(-when // MICROSECOND)})

    def probe(self, worker: str) -> None:
        """Request a load report from a worker."""
        self._reply(wire.PROBE, {wire.WORKER: worker})

    def send_gossip(self, peers: Iterable[int] | None, gossip: LoadGossip) -> None:
        """Send gossip to the dispatchers `peers`, or to all if it is None."""
        message = GossipMessage(gossip.zone, gossip.sequence, gossip.lateness, list(gossip.workers))
        data = b64encode(encode_gossip(message)).decode()
        targets: Iterable[int | str] = [wire.GOSSIP_TO_ALL] if peers is None else peers
        for target in targets:
            self._reply(wire.SEND_GOSSIP, {wire.GOSSIP_TARGET: target, wire.GOSSIP_BYTES: data})

    def watch_endpoints(self) -> None:
        """Subscribe to the endpoint list."""
        self._reply(wire.WATCH_ENDPOINTS, {wire.IS_ACTIVE: 1})

    def log(self, line: str) -> None:
        """Send a line to the simulator's log."""
        self._reply(wire.LOG, {wire.TEXT: line})

"""The connection of one client: reads its requests one after the other and responds to each."""

import traceback

from ploverspoke.protocol import clients
from ploverspoke.protocol.clients import HttpRequest
from ploverspoke.protocol.errors import HttpSyntaxError, MessageTooLongError
from ploverspoke.transport.connections import Connection
from ploverspoke.transport.rate_limited_log import log_line

from .answers import FinalAnswer
from .client_input import ClientInput
from .client_session_owner import ClientSessionOwner
from .client_timeouts import ClientTimeout, ClientTimeouts, InputState
from .close_reasons import CloseReason, reason_after_response
from .request_admission import NotAdmitted
from .request_journal import CapacityLimit
from .requests import Request
from .responses import OWN_TARGET_PREFIX, UNSUCCESSFUL_RESPONSES, redirect_response, status_response


class ClientSession:
    """Owner of one client's connection; implements `Client` and `TurnUser`."""

    def __init__(self, server: "ClientSessionOwner[ClientSession]", connection: Connection) -> None:
        """Start reading; the server is notified when the connection has ended."""
        self.server = server
        self.connection = connection
        self.input = ClientInput(connection, server.router.admission.check_head)
        self.request: Request | None = None  # admitted but not answered yet
        self.is_answering = False  # a request is being handled
        self.is_draining = False  # a request waits until all that was sent behind it is read
        self.keep_alive = True
        self.is_closing = False
        self.close_reason = CloseReason.CLIENT_LEFT  # unless this side closes it first
        self.was_served = False  # a request of this session was admitted
        self.is_excess = False  # beyond the limit on sessions: its request is rejected
        self.idle_since = server.deadlines.now()
        self.timeouts = ClientTimeouts(server.deadlines, self._input_state, self._on_timeout)
        connection.user = self
        self._update_timeouts()

    def is_idle(self) -> bool:
        """Whether the client has received all its responses and has sent nothing since."""
        is_busy = self.is_answering or self.is_closing or self.input.is_holding()
        return not is_busy and not self.connection.has_unsent_data

    def close_if_idle(self) -> None:
        """Close the connection if it is between two requests; one still in the kernel is answered first."""
        if self.is_idle() and not self.connection.has_unread_data():
            self.close_when_sent(CloseReason.SHUTDOWN)

    def close_when_sent(self, reason: CloseReason) -> None:
        """Close the connection once all written bytes are sent."""
        self.close_reason = reason
        self.is_closing = True
        self.connection.close()

    # ---- Events of the connection ----

    def on_data_available(self) -> None:
        """Keep the data for this session's next turn, or as sent ahead of the response."""
        if self.is_closing:
            return  # the input is dropped
        if self.is_answering or self.is_draining or self.connection.has_unsent_data:
            self._read_ahead()
        else:
            self.input.limit_reading()
            self.server.turns.add(self)
        self._note_memory()

    def on_disconnected(self) -> None:
        """End the session, and the request that the client is waiting for."""
        self.is_closing = True
        self.server.remove_session(self)
        self.input.close()
        self.timeouts.close()
        request, self.request = self.request, None
        self.server.router.request_journal.client_closed(self.close_reason, request)
        if request is not None:
            self.server.router.completion.on_client_disconnected(request, self)

    def on_write_drained(self) -> None:
        """Continue reading, as the response has been sent."""
        if not self.is_answering and not self.is_closing:
            self.server.note_answered(self)
            self._continue()

    def _read_ahead(self) -> None:
        self.input.read_ahead()
        if self.is_draining and self.input.is_dropping():
            self.reject_input(CapacityLimit.MEMORY)
        elif self.is_draining:
            self.server.turns.add(self)
        elif self.input.has_sent_far_too_much() and self.request is not None:
            # The client's end could not be noticed behind its data: the request is not waited for any longer.
            self.server.router.completion.give_up(self.request)

    # ---- Turns ----

    def take_turn(self) -> bool:
        """Handle one request, or parse a short piece of what was received."""
        if self.is_closing or self.is_answering or self.connection.has_unsent_data:
            return False
        if not self.connection.is_reading and self.has_disconnected():
            return False
        if self.input.queue:
            self._take_request()
        elif self.input.is_dropping():
            self._close(CloseReason.SENT_TOO_MUCH)  # the data after that response was dropped
        elif self.input.failure is not None:
            self._refuse(self.input.failure)
        elif len(self.connection.buffer):
            self.input.parse_some()
        self._update_timeouts()
        self._note_memory()
        return self.input.has_work() and not (self.is_answering or self.is_closing or self.is_draining)

    def on_turn_failed(self) -> None:
        """Answer, and close; a request that was admitted before the failure gets its answer as usual."""
        if not self.is_closing and self.request is None:
            self.keep_alive = False
            self._respond(500, b"a fault of ours")

    def _continue(self) -> None:
        """Read and handle what the client sends next."""
        if self.input.has_work() or self.input.is_dropping():
            self.server.turns.add(self)
        else:
            self.connection.set_reading_paused(False)
        self._update_timeouts()

    def _take_request(self) -> None:
        """Handle the next request once all that the client has sent is read.

        Behind unread data the end of the connection would not be noticed, and the request would be sent for a
        client that has left.
        """
        self.connection.set_reading_paused(False)
        is_read = not self.connection.has_unread_data()
        if not is_read and not self.input.queue[0].target.startswith(OWN_TARGET_PREFIX):
            self.is_draining = True  # data, or the end, is about to be reported
            return
        self.is_draining = False
        self.is_answering = True
        self._handle(self.input.next_request())

    # ---- Memory ----

    def _note_memory(self) -> None:
        """Tell the server whether this session holds memory that it may be asked to give up."""
        has_input = self.input.is_holding() and not self.is_closing
        is_holding = self.connection.is_open and (has_input or self.connection.has_unsent_data)
        self.server.note_memory(self, is_holding)

    def give_up_memory(self) -> None:
        """Give back what this session holds, since the limit is reached; its client gets an answer."""
        if self.is_answering:
            self.input.drop_ahead()
        elif self.is_closing or self.connection.has_unsent_data:
            self._abort(CloseReason.RESPONSE_NOT_READ)
        else:
            self.reject_input(CapacityLimit.MEMORY)

    def reject_input(self, limit: CapacityLimit) -> None:
        """Reject the requests that were read, and close."""
        for target in self.input.known_targets():
            self.server.router.admission.count_rejected(target, limit)
        self.input.drop_ahead()
        self.is_draining = False
        self.keep_alive = False
        self.answer(FinalAnswer.REJECTED)
        self.close_reason = CloseReason.NO_CAPACITY

    # ---- Requests ----

    def _handle(self, message: HttpRequest) -> None:
        self.keep_alive = message.keep_alive and not self.is_excess
        if message.target.startswith(OWN_TARGET_PREFIX):
            self._respond(*status_response(message, self.server.is_marked_not_ready))
            return
        leader = self.server.router.leader_redirect()
        if leader is not None:
            self._respond(*redirect_response(leader, message.target))
            return
        try:
            self._admit(message)
        except HttpSyntaxError as error:
            self._refuse(error)
        except Exception:  # any fault of the router: the client must still get a response
            log_line(f"a request could not be admitted: {traceback.format_exc()}")
            self._respond(500, b"a fault of ours")

    def _admit(self, message: HttpRequest) -> None:
        """Admit the request, or reject it for lack of capacity. Raises HttpSyntaxError."""
        admission = self.server.router.admission
        if self.is_excess:
            admission.count_rejected(message.target, CapacityLimit.CONNECTIONS)
            self.answer(FinalAnswer.REJECTED)
            return
        self.server.note_memory(self, is_holding=False)  # others give up theirs first
        admitted = admission.admit(self, message)
        if admitted is NotAdmitted.NO_CAPACITY:
            self.answer(FinalAnswer.REJECTED)
            return
        # A client that only checks whether this process is ready does not count as served and may be evicted.
        self.was_served = True
        self.server.unserved.pop(self.connection.number, None)
        if self.is_answering and isinstance(admitted, Request):
            self.request = admitted

    # ---- Responses ----

    def answer(self, answer: FinalAnswer, result: str = "", retry_after: int = 0) -> None:
        """Write the final answer of the current request; `retry_after` (ns) is advice, 0 gives none."""
        if answer is FinalAnswer.SUCCEEDED:
            self._respond(200, result.encode("utf-8", "surrogatepass"))
        else:
            response = UNSUCCESSFUL_RESPONSES[answer]
            self._respond(response.status, response.body, retry_after)

    def _refuse(self, error: HttpSyntaxError) -> None:
        """Answer an invalid request."""
        self.server.router.request_journal.refused(error.status, error.reason)
        self._respond(error.status, str(error).encode())

    def has_disconnected(self) -> bool:
        """Whether the client has closed its connection; if so, this side closes it as well."""
        if not self.connection.is_closed_by_peer():
            return False
        # While reading is paused, or before the loop runs again, the disconnect would be seen too late.
        self.connection.abort()
        return True

    def disconnect(self) -> None:
        """Close the connection without an answer."""
        self.is_answering = False
        self.request = None
        self.close_when_sent(CloseReason.OTHER_LEADER)

    def _respond(self, status: int, body: bytes, retry_after: int = 0, location: str = "") -> None:
        self.is_answering = False
        self.request = None
        # After an invalid request the connection is closed, as the client might repeat it as fast as it can.
        is_client_error = 400 <= status < 500
        has_dropped = self.input.is_dropping()
        is_ending = self.server.is_accepting_stopped or self.server.is_handing_over
        keep_alive = self.keep_alive and not (is_client_error or has_dropped or is_ending)
        self.connection.write(clients.encode_response(status, body, keep_alive, retry_after, location))
        self.idle_since = self.server.deadlines.now()
        if not keep_alive:
            self._close(reason_after_response(status, has_dropped, is_ending, not self.is_excess))
        else:
            self.server.note_answered(self)
            self._continue()
        self._note_memory()

    def _close(self, reason: CloseReason) -> None:
        """Close the connection so that the response arrives even if the client has sent unread data."""
        self.close_reason = reason
        self.is_closing = True
        self.input.clear()
        self.connection.discard_input()
        if isinstance(self.input.failure, MessageTooLongError):
            self.connection.set_reading_paused(True)  # the client may have much more to send
        self.connection.shut_down_writing()
        self.timeouts.abort_later(self.connection.abort)

    # ---- Slow clients ----

    def _update_timeouts(self) -> None:
        if not self.is_closing:
            self.timeouts.update(self._has_to_send(), self.connection.has_unsent_data)

    def _has_to_send(self) -> bool:
        """Whether the client has begun a request, or has sent none at all."""
        return (self.input.reader.in_message or not self.was_served) and not self.is_answering

    def _input_state(self) -> InputState:
        has_input = self.input.has_work() or self.connection.has_unread_data()
        is_behind = has_input and not self.is_answering
        return InputState(self._has_to_send(), self.connection.has_unsent_data, is_behind)

    def _on_timeout(self, timeout: ClientTimeout) -> None:
        if self.is_closing:
            return
        if timeout is ClientTimeout.RESPONSE_NOT_READ:
            self._abort(CloseReason.RESPONSE_NOT_READ)
        elif timeout is ClientTimeout.REQUEST_NOT_PARSED:
            self.reject_input(CapacityLimit.PROCESSOR)
        elif self.input.reader.in_message:
            self._respond(408, b"the request did not come whole")
        else:
            self._abort(CloseReason.NOTHING_SENT)

    def _abort(self, reason: CloseReason) -> None:
        """Close the connection at once."""
        self.close_reason = reason
        self.connection.abort()

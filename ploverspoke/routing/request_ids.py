"""Which request ids may not be used again: those of the latest requests, and of all that may have run."""

from collections import deque
from hashlib import blake2b

from ploverspoke.decisions.settings import Idempotency
from ploverspoke.transport.deadlines import Deadlines
from ploverspoke.transport.units import MEBIBYTE, MINUTE

from .request_id_table import IdClaim, RequestIdTable

RECENT_IDS = 4096  # of the latest requests, whatever their class
DIGEST_BYTES = 16
DEFAULT_TABLE_BYTES = MEBIBYTE
MIN_AGE = MINUTE  # for which an id is kept at least


class RequestIds:
    """The ids that were used.

    Attributes:
        table: The ids of requests that must not run twice; other processes of this dispatcher may share it.
        unknown_until: Until this time (monotonic ns) another process may have used ids that are not in the
            table: requests that must not run twice are rejected.
    """

    def __init__(self, deadlines: Deadlines, table: RequestIdTable | None = None) -> None:
        """Use a table of this process alone unless one is given."""
        self.deadlines = deadlines
        self.table = table or RequestIdTable.in_memory(DEFAULT_TABLE_BYTES, MIN_AGE)
        self.unknown_until = 0
        self.recent: set[bytes] = set()
        self.recent_order: deque[bytes] = deque()

    def is_used(self, request_id: str, idempotency: Idempotency) -> bool:
        """Whether a request of this kind has to be refused, as far as is known."""
        if _digest(request_id) in self.recent:
            return True
        if idempotency is Idempotency.IDEMPOTENT:
            return False
        try:
            return self.table.knows(request_id)
        except OSError:
            return False  # `claim` decides

    def claim(self, request_id: str, idempotency: Idempotency) -> IdClaim:
        """Remember the id of a request that is about to be admitted, if it may run."""
        digest = _digest(request_id)
        if digest in self.recent:
            return IdClaim.KNOWN
        if idempotency is not Idempotency.IDEMPOTENT:
            if self.deadlines.now() < self.unknown_until:
                return IdClaim.NOT_KNOWABLE
            claim = self.table.claim(request_id)
            if claim is not IdClaim.NEW:
                return claim
        self._remember(digest)
        return IdClaim.NEW

    def _remember(self, digest: bytes) -> None:
        self.recent.add(digest)
        self.recent_order.append(digest)
        if len(self.recent_order) > RECENT_IDS:
            self.recent.discard(self.recent_order.popleft())


def _digest(request_id: str) -> bytes:
    return blake2b(request_id.encode("latin-1", "replace"), digest_size=DIGEST_BYTES).digest()

"""Drives one `Replica` on an event loop: writes its batches, runs its timer and takes snapshots.

A driver is used from the start of a replica until its storage fails; then the node creates a new replica and
driver.
"""

import asyncio
import traceback
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from ploverspoke.transport.loop_timer import LoopTimer
from ploverspoke.transport.rate_limited_log import log_line

from .log import EntryKind, encoded_entry_bytes
from .persisted_state import WriteBatch
from .replica import Replica
from .storage import ReplicaStorage
from .storage_thread import StorageThread

MAX_LOG_BYTES = 8 * 1024 * 1024  # of encoded entries that are kept in memory; then a snapshot is taken early


@dataclass
class WriteCounters:
    """The numbers of batches and entries written since the process started."""

    batches: int = 0
    entries: int = 0


class DriverCallbacks(NamedTuple):
    """The events that a driver reports to its node."""

    on_members_written: Callable[[], None]  # the members may have changed
    on_failure: Callable[[Exception], None]  # the storage cannot be written, or consensus has failed


class ReplicaDriver:
    """The driver of one replica. Call `schedule_step` after each event."""

    def __init__(
        self,
        replica: Replica,
        storage: ReplicaStorage,
        storage_thread: StorageThread,
        snapshot_every: int,
        counters: WriteCounters,
        callbacks: DriverCallbacks,
    ) -> None:
        """Drive `replica`. `snapshot_every` is the number of applied entries between snapshots."""
        self.replica = replica
        self.storage = storage
        self.storage_thread = storage_thread
        self.snapshot_every = snapshot_every
        self._log_bytes = 0  # written since the last snapshot
        self.counters = counters
        self.callbacks = callbacks
        self._loop = asyncio.get_running_loop()
        self._is_stopped = False
        self._is_step_scheduled = False
        self._is_writing = False
        self._is_taking_snapshot = False
        self._timer = LoopTimer(self._on_timer)

    def run(self, call: Callable[[], None]) -> None:
        """Run a call that changes the replica's state; an error ends the replica.

        After an error halfway, what the replica holds in memory may contradict its storage.
        """
        if self._is_stopped:
            return
        try:
            call()
        except Exception as error:
            log_line(f"store: consensus failed: {traceback.format_exc()}")
            self.callbacks.on_failure(error)

    def schedule_step(self) -> None:
        """Write the current batch and set the timer, after the callbacks that the loop has queued already."""
        if not self._is_step_scheduled:
            self._is_step_scheduled = True
            self._loop.call_soon(self.run, self._step)

    def stop(self) -> None:
        """Stop driving the replica; a write in progress is still completed."""
        self._is_stopped = True
        self._timer.cancel()

    def _step(self) -> None:
        self._is_step_scheduled = False
        self._timer.set(self.replica.raft.next_tick())
        if self._is_writing or self.replica.batch.is_empty():
            return
        batch = self.replica.take_batch()
        if not batch.has_writes():
            self.replica.on_batch_written(batch)
            return
        self._is_writing = True

        def on_done(error: Exception | None) -> None:
            """Handle the result of the write, unless the replica was stopped meanwhile."""
            self.run(lambda: self._on_batch_written(batch, error))

        self.storage_thread.submit(on_done, self.storage.write, batch)

    def _on_batch_written(self, batch: WriteBatch, error: Exception | None) -> None:
        self._is_writing = False
        if error is not None:
            self.callbacks.on_failure(error)
            return
        self.counters.batches += 1
        self.counters.entries += len(batch.entries)
        self._log_bytes += sum(map(encoded_entry_bytes, batch.entries))
        if batch.snapshot is not None or any(entry.kind is EntryKind.MEMBERS for entry in batch.entries):
            self.callbacks.on_members_written()
        self.replica.on_batch_written(batch)
        self._take_snapshot_if_due()
        self.schedule_step()

    def _take_snapshot_if_due(self) -> None:
        entries_since_snapshot = self.replica.applied_index - self.replica.raft.log.snapshot_index
        is_due = entries_since_snapshot >= self.snapshot_every or self._log_bytes > MAX_LOG_BYTES
        if self._is_taking_snapshot or not is_due or not entries_since_snapshot:
            return
        self._log_bytes = 0
        snapshot = self.replica.take_snapshot()
        self._is_taking_snapshot = True

        def on_done(error: Exception | None) -> None:
            """Compact the log up to the snapshot that was written, or report the failure."""
            self._is_taking_snapshot = False
            if self._is_stopped:
                return
            if error is not None:
                self.callbacks.on_failure(error)
            else:
                self.run(lambda: self.replica.on_snapshot_written(snapshot))

        self.storage_thread.submit(on_done, self.storage.save_snapshot, snapshot)

    def _on_timer(self) -> None:
        self.run(self.replica.raft.tick)
        self.schedule_step()

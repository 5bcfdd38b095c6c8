"""The dispatcher processes of a virtual run, with outages, restarts, replacements and settings changes."""

from ..experiment_files.durations import MILLISECOND
from ..experiment_files.fault_tables import SettingsChange
from . import event_records
from .dispatcher_outages import DispatcherOutage, OutageKind, dispatcher_outages
from .event_records import Event
from .virtual_dispatcher import VirtualDispatcher
from .virtual_environment import VirtualEnvironment, settings_by_zone

STARTUP_TIME = 500 * MILLISECOND  # until a successor serves requests
RESTART_POLL_INTERVAL = 100 * MILLISECOND  # until a terminating process has no open requests
REPLACEMENT_POLL_INTERVAL = 20 * MILLISECOND  # until a replaced process has no open requests


def schedule_settings_changes(environment: VirtualEnvironment, dispatchers: "VirtualDispatchers") -> None:
    """Schedule an update of the settings when each change starts and ends."""
    for fault in environment.experiment.faults:
        if isinstance(fault, SettingsChange):
            environment.clock.call_at(fault.start, dispatchers.update_settings)
            environment.clock.call_at(fault.start + fault.duration, dispatchers.update_settings)


class VirtualDispatchers:
    """All dispatcher processes; `current` has the process of each dispatcher that gets new connections."""

    def __init__(self, environment: VirtualEnvironment, policy: str) -> None:
        """Create no processes; `start` does."""
        self.environment = environment
        self.clock = environment.clock
        self.policy = policy
        self.current: list[VirtualDispatcher] = []
        self._predecessors: list[VirtualDispatcher] = []  # replaced processes that have not ended
        self._incarnations = [0] * environment.experiment.dispatchers.count

    def start(self) -> None:
        """Start all dispatchers."""
        count = self.environment.experiment.dispatchers.count
        self.current = [
            VirtualDispatcher(self.environment, number, self.policy, 0) for number in range(count)
        ]

    def schedule_outages(self) -> None:
        """Schedule the outages of the experiment."""
        context = self.environment.context
        for outage in dispatcher_outages(context.experiment, context.seed):
            self._schedule(outage)

    def processes(self) -> list[VirtualDispatcher]:
        """Return all processes, predecessors last."""
        return self.current + self._predecessors

    def worker_died(self, worker: str) -> None:
        """Drop all idle connections to a worker."""
        for process in self.processes():
            process.connections.drop_idle(worker)

    def update_settings(self) -> None:
        """Apply the settings that are valid at the current time."""
        self.environment.settings = settings_by_zone(self.environment.experiment, self.clock.time)
        for process in self.processes():
            if process.is_alive:
                process.settings_changed(self.environment.settings[process.zone])

    def _schedule(self, outage: DispatcherOutage) -> None:
        number = outage.dispatcher
        match outage.kind:
            case OutageKind.PAUSED:
                self.clock.call_at(outage.start, self._pause, number, outage.end)
            case OutageKind.REPLACED:
                self.clock.call_at(outage.start, self._start_successor, number, outage.end)
            case OutageKind.RESTARTED:
                self.clock.call_at(outage.start, self._terminate, number)
                self.clock.call_at(outage.end, self._restart, number)
            case OutageKind.KILLED:
                self.clock.call_at(outage.start, self._kill, number)
                self.clock.call_at(outage.end, self._restart, number)

    def _pause(self, number: int, end: int) -> None:
        """Send SIGSTOP; SIGCONT goes to the same process, even if it was killed or replaced meanwhile."""
        dispatcher = self.current[number]
        dispatcher.pause()
        self.clock.call_at(end, dispatcher.resume)

    def _kill(self, number: int) -> None:
        if self.current[number].is_alive:
            self._record(event_records.DISPATCHER_KILLED, number)
            self.current[number].die()

    def _terminate(self, number: int) -> None:
        """Send SIGTERM: the process gets no new connections and finishes its open requests."""
        dispatcher = self.current[number]
        if dispatcher.is_alive and not dispatcher.is_terminating:
            self._record(event_records.DISPATCHER_TERMINATING, number)
            dispatcher.is_terminating = True

    def _restart(self, number: int) -> None:
        previous = self.current[number]
        if previous.is_alive and previous.is_terminating:
            if previous.has_open_requests():
                self.clock.call_at(self.clock.time + RESTART_POLL_INTERVAL, self._restart, number)
                return
            previous.is_alive = False
        elif previous.is_alive:
            return
        self._incarnations[number] += 1
        self._record(event_records.DISPATCHER_STARTED, number)
        self.current[number] = self._new_process(number)

    def _start_successor(self, number: int, end: int) -> None:
        """Start a process beside the current one; it gets new connections once it serves."""
        if self.current[number].is_alive:
            self._incarnations[number] += 1
            successor = self._new_process(number)
            self.clock.call_at(self.clock.time + STARTUP_TIME, self._replace, number, successor, end)

    def _new_process(self, number: int) -> VirtualDispatcher:
        return VirtualDispatcher(self.environment, number, self.policy, self._incarnations[number])

    def _replace(self, number: int, successor: VirtualDispatcher, end: int) -> None:
        predecessor = self.current[number]
        self.current[number] = successor
        self._predecessors.append(predecessor)
        self._end_predecessor(predecessor, end)

    def _end_predecessor(self, predecessor: VirtualDispatcher, end: int) -> None:
        if predecessor.has_open_requests() and self.clock.time < end:
            next_at = self.clock.time + REPLACEMENT_POLL_INTERVAL
            self.clock.call_at(next_at, self._end_predecessor, predecessor, end)
            return
        self._predecessors.remove(predecessor)
        predecessor.die()

    def _record(self, kind: str, number: int) -> None:
        self.environment.context.event_log.add(Event(self.clock.time, kind, dispatcher=number))

"""An experiment: a whole validated file, and values that are derived from its tables."""

from typing import NamedTuple

import msgspec

from .durations import Duration
from .experiment_table import ExperimentTable
from .fault_tables import AnyFault, SettingsChange
from .fault_timeline import FaultStep
from .tables import (
    AcceptanceCriteria,
    ClientOptions,
    DiscoveryOptions,
    DispatcherOptions,
    DispatchRules,
    Idempotency,
    NetworkOptions,
    RequestClass,
    StoreOptions,
    Tenant,
    TrafficPhase,
    WorkerGroup,
    WorkerOptions,
)


class AppliedRules(NamedTuple):
    """The rules that apply to a request from its arrival until it ends."""

    idempotency: list[Idempotency]  # of each request class, by its number
    max_attempts: int


class Experiment(
    ExperimentTable,
    frozen=True,
    kw_only=True,
    rename={
        "description": "about",
        "duration": "lasts",
        "measured_from": "counted_from",
        "acceptance": "must_hold",
        "request_classes": "grades",
        "tenants": "customers",
        "faults": "troubles",
    },
):
    """One experiment file. Zones and machine kinds are numbered in the order in which workers name them."""

    name: str
    description: str = ""
    duration: Duration
    measured_from: Duration = Duration(0)  # the service score excludes earlier requests
    seeds: list[int] = msgspec.field(default_factory=lambda: [1, 2, 3])
    policies: list[str] = msgspec.field(default_factory=lambda: ["ours"])
    request_classes: list[RequestClass]
    tenants: list[Tenant] = msgspec.field(default_factory=lambda: [Tenant(name="all")])
    workers: list[WorkerGroup]
    worker_rules: WorkerOptions = WorkerOptions()
    store: StoreOptions | None = None
    dispatchers: DispatcherOptions = DispatcherOptions()
    discovery: DiscoveryOptions = DiscoveryOptions()
    network: NetworkOptions = NetworkOptions()
    rules: DispatchRules = DispatchRules()
    clients: ClientOptions = ClientOptions()
    traffic: list[TrafficPhase]
    faults: list[AnyFault] = msgspec.field(default_factory=list)
    # faults of processes d0, d1... and the links between them (sockets only)
    timeline: list[FaultStep] = msgspec.field(default_factory=list)
    acceptance: AcceptanceCriteria = AcceptanceCriteria()

    def rules_at(self, at: int) -> AppliedRules:
        """Return the rules for a request that arrives at the given time (ns from the start)."""
        idempotency = [request_class.idempotency for request_class in self.request_classes]
        max_attempts = self.rules.max_attempts
        for fault in self.faults:
            if not isinstance(fault, SettingsChange):
                continue
            if not fault.start <= at < fault.start + fault.duration:
                continue
            for number, request_class in enumerate(self.request_classes):
                if request_class.name in fault.idempotency:
                    idempotency[number] = Idempotency(fault.idempotency[request_class.name])
            if fault.max_attempts is not None:
                max_attempts = fault.max_attempts
        return AppliedRules(idempotency, max_attempts)

    def zones(self) -> list[str]:
        """Return the names of all zones in the order of their numbers."""
        return list(dict.fromkeys(group.zone for group in self.workers))

    def region(self, zone: int) -> int:
        """Return the number of the zone's region; 0 where there are no regions."""
        name = self.zones()[zone]
        return next((number for number, zones in enumerate(self.network.regions) if name in zones), 0)

    def one_way_latency(self, zone: int, other: int) -> int:
        """Return the one-way latency between two zones, in ns."""
        if zone == other:
            return self.network.same_zone
        if self.region(zone) != self.region(other):
            return self.network.other_region
        return self.network.other_zone

    def machine_kinds(self) -> list[str]:
        """Return the names of all machine kinds in the order of their numbers."""
        return list(dict.fromkeys(group.machine_kind for group in self.workers))

    def worker_names(self) -> list[str]:
        """Return the names of all workers, in the order of their groups."""
        return [f"w{number}" for number in range(sum(group.count for group in self.workers))]

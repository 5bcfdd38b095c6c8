"""The current settings of the router, and the numbers that stand for names of the deployment."""

from collections.abc import Collection, Sequence
from dataclasses import replace

from ploverspoke.decisions.context import fleet_call_duration
from ploverspoke.decisions.settings import DeploymentNames, Idempotency, Settings

from .request_classes import RequestClassTable
from .watch_pace import PaceLimits

MAX_NAMES = 1024  # of zones and of machine kinds; discovery may name ever new ones


class ActiveSettings:
    """The current settings; the numbers of classes, zones and machine kinds never change their meaning."""

    def __init__(self, settings: Settings, names: DeploymentNames) -> None:
        """`settings` are numbered in the order of `names`."""
        self.current = settings
        self.classes = RequestClassTable(names.request_classes)
        self.zones = {name: number for number, name in enumerate(names.zones)}
        self.machine_kinds = {name: number for number, name in enumerate(names.machine_kinds)}
        self.x0_name = _x0_name(settings)  # name for the field "x0" of load reports

    def change(
        self, settings: Settings, names: DeploymentNames, numbers_in_use: Collection[int]
    ) -> dict[int, int]:
        """Activate other settings, numbered in the order of `names`; open requests keep their rules.

        `numbers_in_use` are the class numbers of open requests. Returns, by new class number, the old number
        whose running times the class takes over.
        """
        zone = settings.zone
        if zone < len(names.zones):
            zone = self.zone_number(names.zones[zone])
        classes = tuple(
            replace(
                request_class,
                machine_kind=self._translate_kind(request_class.machine_kind, names.machine_kinds),
            )
            for request_class in settings.classes
        )
        translated = replace(settings, zone=zone, classes=classes)
        numbered = self.classes.apply(self.current, translated, names.request_classes, numbers_in_use)
        self.current = numbered.settings
        self.x0_name = _x0_name(numbered.settings)
        return numbered.predecessors

    def zone_number(self, name: str) -> int:
        """The number of a zone; a new name gets the next one."""
        return _number_of(name, self.zones)

    def zone_name(self, number: int) -> str:
        """The name of a zone; "" if the number has none."""
        return next((name for name, known in self.zones.items() if known == number), "")

    def machine_kind_number(self, name: str) -> int:
        """The number of a machine kind; a new name gets the next one."""
        return _number_of(name, self.machine_kinds)

    def class_name(self, class_number: int) -> str:
        """The name of a request class, including a class that only open requests still use."""
        return self.classes.names[class_number]

    def idempotency(self, class_number: int) -> Idempotency:
        """Whether requests of the class may run more than once."""
        return self.current.classes[class_number].idempotency

    def watch_pace(self) -> PaceLimits:
        """The limits of the watch on discovery."""
        return PaceLimits(fleet_call_duration(self.current), int(self.current.discovery_poll_interval))

    def is_pushed(self) -> bool:
        """Whether endpoint list changes are pushed, and binding even if they have not been requested."""
        return not self.current.discovery_polling

    def _translate_kind(self, index: int, names: Sequence[str]) -> int:
        """The number of the machine kind at `index` in `names`; an index out of range is kept as it is."""
        return self.machine_kind_number(names[index]) if 0 <= index < len(names) else index


def _number_of(name: str, numbers: dict[str, int]) -> int:
    """The number of a name; a new one gets the next number, or the last one if there are very many."""
    return (
        numbers.get(name, MAX_NAMES) if len(numbers) >= MAX_NAMES else numbers.setdefault(name, len(numbers))
    )


def _x0_name(settings: Settings) -> str:
    return "free_slots" if "free_slots" in settings.load_fields else "x0"

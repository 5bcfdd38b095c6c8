"""A configuration of the old shape, where workers report load and can be probed, becomes one of the new."""

import copy
import json
import os
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

from .config import parse_config, read_config_document
from .config_reader import ConfigError

Notes = list[dict[str, str]]


class Seen(Mapping[str, Any]):
    """A part of a configuration that remembers which of its keys were asked for."""

    def __init__(self, value: Mapping[str, Any], path: str = "") -> None:
        # The list of workers is discovery's, and read elsewhere.
        self.value = {k: v if f"{path}{k}" == "known" else _seen(v, f"{path}{k}") for k, v in value.items()}
        self.path = path
        self.asked: set[str] = set()

    def __getitem__(self, key: str) -> Any:
        self.asked.add(key)
        return self.value[key]

    def __contains__(self, key: object) -> bool:
        return key in self.value

    def __iter__(self) -> Iterator[str]:
        return iter(self.value)

    def __len__(self) -> int:
        return len(self.value)

    def unknown(self) -> list[str]:
        """What nobody asked for, here and below."""
        found = [f"{self.path}{key}" for key in self.value if key not in self.asked]
        for key in self.asked & set(self.value):
            value = self.value[key]
            for part in value if isinstance(value, list) else [value]:
                found += part.unknown() if isinstance(part, Seen) else []
        return found


def _seen(value: Any, path: str) -> Any:
    if isinstance(value, Mapping):
        return Seen(value, f"{path}.")
    if isinstance(value, list):
        return [_seen(each, f"{path}[{at}]") for at, each in enumerate(value)]
    return value


def migrate(old: Mapping[str, Any], peers: list[str]) -> tuple[dict[str, Any], Notes]:
    """The new configuration and what is to be said of it; no notes of a change where it is new already."""
    new = copy.deepcopy(dict(old))
    settings = new["settings"]
    notes: Notes = []

    def note(what: str, key: str, why: str) -> None:
        notes.append({"what": what, "key": key, "why": why})

    limits, report = settings.setdefault("Limits", {}), settings.get("Report", {})
    if limits.get("Probing"):
        limits["Probing"] = False
        note("changed", "settings.Limits.Probing", "workers may not be probed: false")
    if report.get("Via", "off") != "off":
        settings["Report"] = {"Via": "off", "Fields": []}
        note("changed", "settings.Report", f"workers report no load: was {json.dumps(report)}")
    for at, key in (("Domain", "ReportX0"), ("Domain", "ReportX1"), ("Tariffs", "Probe")):
        if key in settings.get(at, {}):
            was = settings[at].pop(key)
            note("dropped", f"settings.{at}.{key}", f"nothing is reported or probed: was {json.dumps(was)}")
    if settings.get("WeightKind") == "live":
        settings["WeightKind"] = "off"
        note("changed", "settings.WeightKind", "live weights tell of load, which nobody reports: off")
    if peers and (new.get("peers") != peers or not limits.get("Peers")):
        new["peers"], limits["Peers"] = peers, True
        note("changed", "settings.Limits.Peers", f"dispatchers tell one another, at {len(peers)} addresses")
    return new, notes


def to_supply(new: Mapping[str, Any]) -> Notes:
    """What the new shape needs and no file of the old one says."""
    domain, limits = new["settings"].get("Domain", {}), new["settings"]["Limits"]
    found = []
    if not domain.get("TellsStart"):
        found.append(("Domain.TellsStart", "workers must tell of starts: nothing else shows a queue"))
    if not domain.get("ProgressUs"):
        found.append(("Domain.ProgressUs", "workers must tell of progress: nothing else shows a silent one"))
    if not limits.get("Cancel"):
        found.append(("Limits.Cancel", "what waits too long cannot be taken back"))
    if limits.get("Peers") and not new.get("peers"):
        found.append(("Limits.Peers", "no addresses to tell others at: give them with --peer"))
    if limits.get("Peers") and "Peer" not in new["settings"].get("Tariffs", {}):
        found.append(("Tariffs.Peer", "the price of a message: without it all of the zone are told"))
    return [{"what": "to supply", "key": f"settings.{key}", "why": why} for key, why in found]


def migrate_file(old: Path, new: Path, peers: list[str], dry_run: bool, force: bool) -> dict[str, Any]:
    """Raises ConfigError, with nothing written, where `old` cannot be used or `new` is in the way."""
    told = read_config_document({"RELAY_CONFIG": str(old)})
    seen = Seen(told) if isinstance(told, Mapping) else told
    parse_config(seen, {})
    made, notes = migrate(told, peers)
    changed = bool(notes)
    notes += [
        {"what": "unknown", "key": key, "why": "not read by this program; left as it stands"}
        for key in seen.unknown()
    ]
    notes += to_supply(made)
    if not changed:
        return {"notes": notes, "result": f"{old} has the new shape already: nothing to do", "written": None}
    parse_config(made, {})
    if not dry_run:
        _write(new, json.dumps(made, indent=2) + "\n", force)
    result = f"{new} would be written" if dry_run else f"{new} is written"
    return {"notes": notes, "result": result, "written": None if dry_run else str(new)}


def _write(path: Path, text: str, force: bool) -> None:
    """Whole or not at all, and over nothing that is there unless told to."""
    unfinished = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        unfinished.write_text(text, encoding="utf-8")
        if force:
            os.replace(unfinished, path)
        else:
            os.link(unfinished, path)
    except FileExistsError:
        raise ConfigError(f"{path} exists already: --force replaces it") from None
    except OSError as error:
        raise ConfigError(f"{path} cannot be written: {error.strerror}") from None
    finally:
        unfinished.unlink(missing_ok=True)

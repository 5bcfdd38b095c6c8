"""Rewrites a configuration of the old shape into one of the new shape (docs/migration.md).

Old shape: workers report their load and can be probed. New shape: they only announce starts and progress.
"""

import copy
import json
import os
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import TypeAlias, cast

from .config import parse_config, read_config_document
from .config_reader import ConfigError, ConfigSection, JsonObject
from .key_tracking import TrackedObject

MutableJsonObject: TypeAlias = dict[str, object]

# Keys without effect where workers are neither probed nor report load: section, key.
UNUSED_KEYS = (("Domain", "ReportX0"), ("Domain", "ReportX1"), ("Tariffs", "Probe"))


class NoteKind(StrEnum):
    """What a note says of its key; the value is the word that the command prints."""

    CHANGED = "changed"
    DROPPED = "dropped"
    UNKNOWN = "unknown"  # not read by the program and left as it stands
    TO_SUPPLY = "to supply"  # needed by the new shape, and no file of the old shape has it


@dataclass(frozen=True)
class MigrationNote:
    """One line of the report: a key, what happened to it and why."""

    kind: NoteKind
    key: str  # its path, as `settings.Limits.Probing`
    reason: str

    def to_json(self) -> dict[str, str]:
        """Return the note under the keys of `migrate --json`."""
        return {"what": self.kind.value, "key": self.key, "why": self.reason}


@dataclass(frozen=True)
class MigrationReport:
    """What a migration found and did."""

    notes: Sequence[MigrationNote]
    summary: str
    written: Path | None  # None: nothing was written

    def to_json(self) -> JsonObject:
        """Return the report under the keys of `migrate --json`."""
        return {
            "notes": [note.to_json() for note in self.notes],
            "result": self.summary,
            "written": None if self.written is None else str(self.written),
        }


class Migration:
    """Rewrites one configuration document step by step.

    Attributes:
        document: A copy of the old document, which `run` turns into the new one.
        notes: What was changed and dropped; empty where the document has the new shape already.
    """

    def __init__(self, old: JsonObject, peers: Sequence[str]) -> None:
        """Prepare the migration of `old`, a valid configuration.

        `peers` are the addresses of all dispatchers in the order of `SlotNo`; empty: load gossip stays as
        it is.
        """
        self.document: MutableJsonObject = copy.deepcopy(dict(old))
        self.settings = cast(MutableJsonObject, self.document["settings"])
        self.limits = cast(MutableJsonObject, self.settings.setdefault("Limits", {}))
        self.peers = list(peers)
        self.notes: list[MigrationNote] = []

    def run(self) -> None:
        """Take all steps."""
        self._turn_off_probes()
        self._turn_off_reports()
        self._drop_unused_keys()
        self._turn_off_live_weights()
        self._turn_on_gossip()

    def _changed(self, key: str, reason: str) -> None:
        self.notes.append(MigrationNote(NoteKind.CHANGED, key, reason))

    def _turn_off_probes(self) -> None:
        if self.limits.get("Probing"):
            self.limits["Probing"] = False
            self._changed("settings.Limits.Probing", "workers may not be probed: false")

    def _turn_off_reports(self) -> None:
        report = _object(self.settings, "Report")
        if report.get("Via", "off") != "off":
            self.settings["Report"] = {"Via": "off", "Fields": []}
            self._changed("settings.Report", f"workers report no load: was {json.dumps(report)}")

    def _drop_unused_keys(self) -> None:
        for section, key in UNUSED_KEYS:
            values = _object(self.settings, section)
            if key in values:
                old_value = json.dumps(values.pop(key))
                reason = f"nothing is reported or probed: was {old_value}"
                self.notes.append(MigrationNote(NoteKind.DROPPED, f"settings.{section}.{key}", reason))

    def _turn_off_live_weights(self) -> None:
        if self.settings.get("WeightKind") == "live":
            self.settings["WeightKind"] = "off"
            self._changed("settings.WeightKind", "live weights come from load reports, which are off: off")

    def _turn_on_gossip(self) -> None:
        is_on = self.limits.get("Peers") and self.document.get("peers") == self.peers
        if self.peers and not is_on:
            self.document["peers"], self.limits["Peers"] = self.peers, True
            self._changed(
                "settings.Limits.Peers", f"dispatchers exchange load gossip, at {len(self.peers)} addresses"
            )


def _object(parent: JsonObject, key: str) -> MutableJsonObject:
    """The object under a key of a checked document; an empty one where the key is missing."""
    return cast(MutableJsonObject, parent.get(key, {}))


def missing_settings(document: JsonObject) -> list[MigrationNote]:
    """Return a note for each setting that the new shape needs and the document lacks."""
    settings = _object(document, "settings")
    domain, limits = _object(settings, "Domain"), _object(settings, "Limits")
    missing = []
    if not domain.get("TellsStart"):
        missing.append(("Domain.TellsStart", "workers must announce starts: nothing else shows a queue"))
    if not domain.get("ProgressUs"):
        missing.append(
            ("Domain.ProgressUs", "workers must announce progress: nothing else shows a silent one")
        )
    if not limits.get("Cancel"):
        missing.append(("Limits.Cancel", "an attempt that waits too long cannot be cancelled"))
    if limits.get("Peers") and not document.get("peers"):
        missing.append(("Limits.Peers", "no addresses for load gossip: give them with --peer"))
    if limits.get("Peers") and "Peer" not in _object(settings, "Tariffs"):
        missing.append(("Tariffs.Peer", "the price of a message: without it all peers of the zone get each"))
    return [MigrationNote(NoteKind.TO_SUPPLY, f"settings.{key}", reason) for key, reason in missing]


def migrate_file(old: Path, new: Path, peers: Sequence[str], dry_run: bool, force: bool) -> MigrationReport:
    """Write `new`, the counterpart of the configuration `old` in the new shape.

    Nothing is written with `dry_run` or where `old` has the new shape already; an existing `new` is replaced
    only with `force`. Raises ConfigError, with nothing written, where `old` cannot be used, the result would
    be no valid configuration, or `new` exists or cannot be written.
    """
    document = read_config_document({"RELAY_CONFIG": str(old)})
    old_settings = ConfigSection(document).value
    tracked = TrackedObject(old_settings)
    parse_config(tracked, {})
    migration = Migration(old_settings, peers)
    migration.run()
    notes = [
        *migration.notes,
        *(
            MigrationNote(NoteKind.UNKNOWN, key, "not read by this program; left as it stands")
            for key in tracked.unread_keys()
        ),
        *missing_settings(migration.document),
    ]
    if not migration.notes:
        return MigrationReport(notes, f"{old} has the new shape already: nothing to do", None)
    parse_config(migration.document, {})
    if dry_run:
        return MigrationReport(notes, f"{new} would be written", None)
    _write_atomically(new, json.dumps(migration.document, indent=2) + "\n", force)
    return MigrationReport(notes, f"{new} is written", new)


def _write_atomically(path: Path, text: str, force: bool) -> None:
    """Raises ConfigError, with `path` unchanged, where it exists without `force` or cannot be written."""
    unfinished = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        unfinished.write_text(text, encoding="utf-8")
        if force:
            unfinished.replace(path)
        else:
            path.hardlink_to(unfinished)  # unlike a rename it fails where the path exists
    except FileExistsError as error:
        raise ConfigError(problem=f"{path} exists already: --force replaces it") from error
    except OSError as error:
        raise ConfigError(problem=f"{path} cannot be written: {error.strerror}") from error
    finally:
        unfinished.unlink(missing_ok=True)

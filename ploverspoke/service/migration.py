"""Converts a configuration of the old shape into one of the new shape (docs/migration.md).

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

# Section and key of settings without effect if workers are neither probed nor report load.
UNUSED_KEYS = (("Domain", "ReportX0"), ("Domain", "ReportX1"), ("Tariffs", "Probe"))


class NoteKind(StrEnum):
    """What a note says about its key; the value is the word that the command prints."""

    CHANGED = "changed"
    DROPPED = "dropped"
    UNKNOWN = "unknown"  # not read by the program, and left unchanged
    TO_SUPPLY = "to supply"  # required by the new shape and not part of the old one


@dataclass(frozen=True)
class MigrationNote:
    """One line of the report: a key, what happened to it and why."""

    kind: NoteKind
    key: str  # its path, such as `settings.Limits.Probing`
    reason: str

    def to_json(self) -> dict[str, str]:
        """Return the note under the keys of `migrate --json`."""
        return {"what": self.kind.value, "key": self.key, "why": self.reason}


@dataclass(frozen=True)
class MigrationReport:
    """The result of a migration."""

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
    """Converts one configuration document step by step.

    Attributes:
        document: A copy of the old document, which `run` turns into the new one.
        notes: The changed and dropped keys; empty if the document already has the new shape.
    """

    def __init__(self, old: JsonObject, peers: Sequence[str]) -> None:
        """Prepare the migration of `old`, a valid configuration.

        `peers` are the addresses of all dispatchers in the order of `SlotNo`; if empty, the settings of load
        gossip are left unchanged.
        """
        self.document: MutableJsonObject = copy.deepcopy(dict(old))
        self.settings = cast(MutableJsonObject, self.document["settings"])
        self.limits = cast(MutableJsonObject, self.settings.setdefault("Limits", {}))
        self.peers = list(peers)
        self.notes: list[MigrationNote] = []

    def run(self) -> None:
        """Run all steps."""
        self._turn_off_probes()
        self._turn_off_reports()
        self._drop_unused_keys()
        self._turn_off_live_weights()
        self._turn_on_gossip()

    def _note_change(self, key: str, reason: str) -> None:
        self.notes.append(MigrationNote(NoteKind.CHANGED, key, reason))

    def _turn_off_probes(self) -> None:
        if self.limits.get("Probing"):
            self.limits["Probing"] = False
            self._note_change("settings.Limits.Probing", "workers may not be probed: set to false")

    def _turn_off_reports(self) -> None:
        report = _get_object(self.settings, "Report")
        if report.get("Via", "off") != "off":
            self.settings["Report"] = {"Via": "off", "Fields": []}
            self._note_change("settings.Report", f"workers report no load: was {json.dumps(report)}")

    def _drop_unused_keys(self) -> None:
        for section, key in UNUSED_KEYS:
            values = _get_object(self.settings, section)
            if key in values:
                old_value = json.dumps(values.pop(key))
                reason = f"nothing is reported or probed: was {old_value}"
                self.notes.append(MigrationNote(NoteKind.DROPPED, f"settings.{section}.{key}", reason))

    def _turn_off_live_weights(self) -> None:
        if self.settings.get("WeightKind") == "live":
            self.settings["WeightKind"] = "off"
            self._note_change(
                "settings.WeightKind", "live weights come from load reports, which are off: set to off"
            )

    def _turn_on_gossip(self) -> None:
        is_on = self.limits.get("Peers") and self.document.get("peers") == self.peers
        if self.peers and not is_on:
            self.document["peers"], self.limits["Peers"] = self.peers, True
            self._note_change(
                "settings.Limits.Peers", f"dispatchers exchange load gossip, at {len(self.peers)} addresses"
            )


def _get_object(parent: JsonObject, key: str) -> MutableJsonObject:
    """Return the object under a key of a valid document; an empty one if the key is missing."""
    return cast(MutableJsonObject, parent.get(key, {}))


def missing_settings(document: JsonObject) -> list[MigrationNote]:
    """Return a note for each setting that the new shape requires and the document lacks."""
    settings = _get_object(document, "settings")
    domain, limits = _get_object(settings, "Domain"), _get_object(settings, "Limits")
    missing = []
    if not domain.get("TellsStart"):
        missing.append(("Domain.TellsStart", "workers must announce starts: nothing else reveals a queue"))
    if not domain.get("ProgressUs"):
        missing.append(
            ("Domain.ProgressUs", "workers must announce progress: nothing else reveals a worker that hangs")
        )
    if not limits.get("Cancel"):
        missing.append(("Limits.Cancel", "an attempt that waits too long cannot be cancelled"))
    if limits.get("Peers") and not document.get("peers"):
        missing.append(("Limits.Peers", "no addresses for load gossip: give them with --peer"))
    if limits.get("Peers") and "Peer" not in _get_object(settings, "Tariffs"):
        missing.append(
            ("Tariffs.Peer", "the price of a message: without it each message goes to all peers of the zone")
        )
    return [MigrationNote(NoteKind.TO_SUPPLY, f"settings.{key}", reason) for key, reason in missing]


def migrate_file(old: Path, new: Path, peers: Sequence[str], dry_run: bool, force: bool) -> MigrationReport:
    """Convert the configuration `old` to the new shape and write it to `new`.

    Nothing is written with `dry_run` or if `old` already has the new shape; an existing `new` is replaced
    only with `force`. Raises ConfigError, with nothing written, if `old` is invalid, the result would be
    invalid, or `new` exists or cannot be written.
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
            MigrationNote(NoteKind.UNKNOWN, key, "not read by this program; left unchanged")
            for key in tracked.unread_keys()
        ),
        *missing_settings(migration.document),
    ]
    if not migration.notes:
        return MigrationReport(notes, f"{old} already has the new shape: nothing to do", None)
    parse_config(migration.document, {})
    if dry_run:
        return MigrationReport(notes, f"{new} would be written", None)
    _write_atomically(new, json.dumps(migration.document, indent=2) + "\n", force)
    return MigrationReport(notes, f"{new} is written", new)


def _write_atomically(path: Path, text: str, force: bool) -> None:
    """Raises ConfigError, with `path` unchanged, if it exists without `force` or cannot be written."""
    temporary_path = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        temporary_path.write_text(text, encoding="utf-8")
        if force:
            temporary_path.replace(path)
        else:
            path.hardlink_to(temporary_path)  # unlike a rename it fails if the path exists
    except FileExistsError as error:
        raise ConfigError(problem=f"{path} already exists: use --force to replace it") from error
    except OSError as error:
        raise ConfigError(problem=f"{path} cannot be written: {error.strerror}") from error
    finally:
        temporary_path.unlink(missing_ok=True)

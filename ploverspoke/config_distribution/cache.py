"""The file with the last version that a dispatcher applied: it begins with it where no server answers."""

import asyncio
import json
import os
from pathlib import Path
from typing import NamedTuple

from ploverspoke.transport.rate_limited_log import log_line

from .cluster_config import WatchConfig
from .messages import NO_VERSION, VerifiedVersion, is_version_number
from .overlay import MAX_BODY_BYTES
from .state_machine import digest_of

CACHE_FORMAT = 1
MAX_FILE_BYTES = 8 * MAX_BODY_BYTES  # escapes in JSON make a body longer
WRITE_INTERVAL = 1.0  # seconds at the least between two writes


class CachedVersion(NamedTuple):
    """What a cache holds."""

    version: VerifiedVersion  # NO_VERSION where there is none, or an unusable one
    problem: str  # why the file is unusable; empty where it is usable or does not exist


def read_cache(config: WatchConfig) -> CachedVersion:
    """The last version that was applied, where the cache holds it for the same cluster."""
    path: Path = config.cache_file
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            return CachedVersion(NO_VERSION, "it is too long")
        document = json.loads(path.read_text(encoding="utf-8"))
        version = VerifiedVersion(document["version"], bytes.fromhex(document["digest"]), document["body"])
        problem = _problem(document["format"], document["cluster"], version, config.cluster)
    except FileNotFoundError:
        return CachedVersion(NO_VERSION, "")
    except (OSError, ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        return CachedVersion(NO_VERSION, f"{type(error).__name__}: {error}")
    return CachedVersion(NO_VERSION, problem) if problem else CachedVersion(version, "")


def _problem(file_format: object, file_cluster: object, version: VerifiedVersion, cluster: str) -> str:
    if file_format != CACHE_FORMAT:
        return f"format {file_format!r}, this release reads {CACHE_FORMAT}"
    if file_cluster != cluster:
        return f"it is of cluster {file_cluster!r}"
    if not is_version_number(version.number) or not version.number:
        return f"version {version.number!r:.20} is none"
    if digest_of(version.body) != version.digest:
        return "its digest is wrong"
    return ""


def write_cache(config: WatchConfig, version: VerifiedVersion) -> None:
    """Replace the file in one step. Raises OSError."""
    document = {
        "format": CACHE_FORMAT,
        "cluster": config.cluster,
        "version": version.number,
        "digest": version.digest.hex(),
        "body": version.body,
    }
    path: Path = config.cache_file
    new = path.with_name(f".{path.name}.{os.getpid()}.new")
    path.parent.mkdir(parents=True, exist_ok=True)
    new.write_text(json.dumps(document), encoding="utf-8")
    new.replace(path)


class CacheWriter:
    """Writes applied versions by a thread: at once, but in a burst the latest alone each second."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: WatchConfig) -> None:
        """The file is `config.cache_file`."""
        self.loop = loop
        self.config = config
        self.pending: VerifiedVersion | None = None
        self.write_timer: asyncio.TimerHandle | None = None  # until its write has ended
        self.next_write_at = 0.0  # by the loop's clock
        self.is_closed = False

    def schedule(self, version: VerifiedVersion) -> None:
        """Write this version, or a later one that comes before it is written."""
        self.pending = version
        if self.write_timer is None and not self.is_closed:
            at = max(self.loop.time(), self.next_write_at)
            self.write_timer = self.loop.call_at(at, self._write)

    def close(self) -> None:
        """Write what is pending, in this thread."""
        self.is_closed = True
        if self.write_timer is not None:
            self.write_timer.cancel()
        if self.pending is not None:
            try:
                write_cache(self.config, self.pending)
            except OSError as error:
                self._log_failure(error)

    def _write(self) -> None:
        # By a thread: a slow disk holds up nothing.
        assert self.pending is not None
        version, self.pending = self.pending, None
        self.next_write_at = self.loop.time() + WRITE_INTERVAL
        written = self.loop.run_in_executor(None, write_cache, self.config, version)
        written.add_done_callback(lambda future: self._on_written(future.exception()))

    def _on_written(self, error: BaseException | None) -> None:
        self.write_timer = None
        if error is not None:
            self._log_failure(error)
        if self.pending is not None:
            self.schedule(self.pending)

    def _log_failure(self, error: BaseException) -> None:
        log_line(f"config: the cache cannot be written: {error}")

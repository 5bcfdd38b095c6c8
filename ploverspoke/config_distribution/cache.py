"""The cache file with the last applied version, which a dispatcher starts with if no server answers."""

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
MAX_FILE_BYTES = 8 * MAX_BODY_BYTES  # JSON escapes make the body longer
MIN_WRITE_INTERVAL_S = 1.0


class CachedVersion(NamedTuple):
    """The result of reading a cache file."""

    version: VerifiedVersion  # NO_VERSION if the file does not exist or is unusable
    problem: str  # why the file is unusable; empty if it is usable or does not exist


def read_cache(config: WatchConfig) -> CachedVersion:
    """Read the last applied version from the cache file, which must be for the same cluster."""
    path: Path = config.cache_file
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            return CachedVersion(NO_VERSION, "it is too long")
        document = json.loads(path.read_text(encoding="utf-8"))
        version = VerifiedVersion(document["version"], bytes.fromhex(document["digest"]), document["body"])
        problem = _find_problem(document["format"], document["cluster"], version, config.cluster)
    except FileNotFoundError:
        return CachedVersion(NO_VERSION, "")
    except (OSError, ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        return CachedVersion(NO_VERSION, f"{type(error).__name__}: {error}")
    return CachedVersion(NO_VERSION, problem) if problem else CachedVersion(version, "")


def _find_problem(file_format: object, file_cluster: object, version: VerifiedVersion, cluster: str) -> str:
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
    """Replace the file atomically. Raises OSError."""
    document = {
        "format": CACHE_FORMAT,
        "cluster": config.cluster,
        "version": version.number,
        "digest": version.digest.hex(),
        "body": version.body,
    }
    path: Path = config.cache_file
    temporary_path = path.with_name(f".{path.name}.{os.getpid()}.new")
    path.parent.mkdir(parents=True, exist_ok=True)
    temporary_path.write_text(json.dumps(document), encoding="utf-8")
    temporary_path.replace(path)


class CacheWriter:
    """Writes applied versions in a thread: at once, but at most one version a second, the latest."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: WatchConfig) -> None:
        """The file is `config.cache_file`."""
        self.loop = loop
        self.config = config
        self.pending: VerifiedVersion | None = None
        self.write_timer: asyncio.TimerHandle | None = None  # set until the write has finished
        self.next_write_at = 0.0  # time of the loop's clock
        self.is_closed = False

    def schedule(self, version: VerifiedVersion) -> None:
        """Write this version, or a later one if it is scheduled before the write starts."""
        self.pending = version
        if self.write_timer is None and not self.is_closed:
            at = max(self.loop.time(), self.next_write_at)
            self.write_timer = self.loop.call_at(at, self._write)

    def close(self) -> None:
        """Write the pending version, if any, in the calling thread."""
        self.is_closed = True
        if self.write_timer is not None:
            self.write_timer.cancel()
        if self.pending is not None:
            try:
                write_cache(self.config, self.pending)
            except OSError as error:
                self._log_failure(error)

    def _write(self) -> None:
        # In a thread, so that a slow disk does not block the event loop.
        assert self.pending is not None
        version, self.pending = self.pending, None
        self.next_write_at = self.loop.time() + MIN_WRITE_INTERVAL_S
        write_future = self.loop.run_in_executor(None, write_cache, self.config, version)
        write_future.add_done_callback(lambda future: self._on_written(future.exception()))

    def _on_written(self, error: BaseException | None) -> None:
        self.write_timer = None
        if error is not None:
            self._log_failure(error)
        if self.pending is not None:
            self.schedule(self.pending)

    def _log_failure(self, error: BaseException) -> None:
        log_line(f"config: the cache cannot be written: {error}")

"""Opens the table of request ids that the processes of one dispatcher share, in a common directory."""

from hashlib import blake2b
from pathlib import Path
from typing import NamedTuple

from ploverspoke.routing.request_id_table import RequestIdTable, buckets_for, empty_header, table_size
from ploverspoke.transport.block_storage import FileStorage, create_file
from ploverspoke.transport.rate_limited_log import log_line

FILE_PREFIX = "request-ids-"  # unlike that of lock files, which are removed with their processes
NAME_BYTES = 8  # of the hash of the dispatcher's address


class OpenedTable(NamedTuple):
    """A table, and what it may contain."""

    table: RequestIdTable
    is_shared: bool  # other processes can use it, too
    is_new: bool  # earlier processes used none, or another one


def open_request_ids(directory: str | None, address: str, size: int, min_age: int) -> OpenedTable:
    """Open the table of the dispatcher that listens at `address`, of about `size` bytes if it is new.

    Without a directory, or if its file cannot be used, which is logged, the table is that of this process.
    """
    if not directory:
        return OpenedTable(RequestIdTable.in_memory(size, min_age), is_shared=False, is_new=True)
    name = FILE_PREFIX + blake2b(address.encode(), digest_size=NAME_BYTES).hexdigest()
    path = Path(directory) / name
    buckets = buckets_for(size)
    try:
        is_new = create_file(path, table_size(buckets), empty_header(buckets))
        return OpenedTable(RequestIdTable(FileStorage(path), min_age), is_shared=True, is_new=is_new)
    except OSError as error:
        log_line(f"request ids: {path} cannot be used, other processes' ids are not known: {error}")
        return OpenedTable(RequestIdTable.in_memory(size, min_age), is_shared=False, is_new=True)

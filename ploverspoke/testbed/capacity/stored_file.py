"""Files that the capacity model keeps: JSON of a known format."""

from pathlib import Path
from typing import Protocol, TypeVar

import msgspec


class StoredFileError(ValueError):
    """The file holds nothing of the expected kind and format."""

    def __init__(self, path: Path, reason: str) -> None:
        """`reason` says what is wrong with the file."""
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class StoredDocument(Protocol):
    """What each file has, whatever it holds."""

    @property
    def format(self) -> int:
        """The version of the file's form."""


Document = TypeVar("Document", bound=StoredDocument)


def read_stored_file(path: Path, kind: type[Document], name: str, expected_format: int) -> Document:
    """Read a file of that kind; `name` is what messages call its content.

    Raises:
        StoredFileError: it cannot be read, is no such file, or has another format.
    """
    try:
        document: Document = msgspec.json.decode(path.read_bytes(), type=kind)
    except OSError as error:
        raise StoredFileError(path, error.strerror or str(error)) from error
    except msgspec.DecodeError as error:
        raise StoredFileError(path, f"no {name}: {error}") from error
    if document.format != expected_format:
        reason = f"format {document.format}, this version reads {expected_format}"
        raise StoredFileError(path, reason)
    return document

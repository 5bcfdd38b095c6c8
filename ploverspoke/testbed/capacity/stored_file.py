"""Reads the files of the capacity model: JSON with a format number."""

from pathlib import Path
from typing import Protocol, TypeVar

import msgspec


class StoredFileError(ValueError):
    """The file cannot be read, or its content is not of the expected kind and format."""

    def __init__(self, path: Path, reason: str) -> None:
        """`reason` says what is wrong with the file."""
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class StoredDocument(Protocol):
    """The fields that all stored files have."""

    @property
    def format(self) -> int:
        """The version of the file format."""


Document = TypeVar("Document", bound=StoredDocument)


def read_stored_file(path: Path, kind: type[Document], name: str, expected_format: int) -> Document:
    """Read a file of that kind; error messages call its content `name`.

    Raises:
        StoredFileError: The file cannot be read, is not of that kind, or has another format.
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

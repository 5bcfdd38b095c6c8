"""Texts that may hold half of a surrogate pair, which JSON can carry and the store's encoding cannot."""

from typing import NamedTuple


class StorableText(NamedTuple):
    """A text in the two forms in which it is stored."""

    text: str  # with `?` for each half of a surrogate pair; all that older versions know
    encoded: bytes  # the whole text as `encode_text` returns it; b"" if `text` is the whole text


def encode_text(text: str) -> bytes:
    """Return the text in UTF-8, in which halves of surrogate pairs are encoded, too."""
    return text.encode("utf-8", "surrogatepass")


def to_storable(text: str) -> StorableText:
    """Return the stored forms of a text."""
    replaced = text.encode("utf-8", "replace").decode("utf-8")
    return StorableText(replaced, b"" if replaced == text else encode_text(text))


def from_storable(stored: StorableText) -> str:
    """Return the text whose stored forms these are."""
    return stored.encoded.decode("utf-8", "surrogatepass") if stored.encoded else stored.text


def escape_name(name: str) -> str:
    """Return a name that can be stored; halves of surrogate pairs become escape sequences."""
    return name.encode("utf-8", "backslashreplace").decode("utf-8")

"""Reads the data that commit c0e5f5c wrote; bytes stand in its JSON files as hexadecimal text."""

import json
from pathlib import Path
from typing import Any

import msgspec

DATA = Path(__file__).parent / "data"
SECOND = 1_000_000_000


def read_json(name: str) -> Any:
    return json.loads((DATA / name).read_text(encoding="utf-8"))


def decoded(text: str) -> Any:
    return msgspec.msgpack.decode(bytes.fromhex(text))


def encoded(value: Any) -> str:
    return msgspec.msgpack.encode(value).hex()

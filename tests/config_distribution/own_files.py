"""A dispatcher's configuration file and version bodies for the tests of this folder."""

import json
from pathlib import Path

from tests.example_config import EXAMPLE

SECRET = b"0123456789abcdef0123"
REQUEST_CLASS = EXAMPLE["settings"]["ServiceGrades"][0]


def write_own_config(folder: Path, ports: list[int]) -> Path:
    """Write the file of a dispatcher; `ports` are its client and admin port."""
    document = {
        **EXAMPLE,
        "listen": f"127.0.0.1:{ports[0]}",
        "admin_addr": f"127.0.0.1:{ports[1]}",
        "settings": {**EXAMPLE["settings"], "ServiceGrades": [REQUEST_CLASS]},
    }
    path = folder / "n0.json"
    path.write_text(json.dumps(document))
    return path


def body_with_classes(*names: str) -> str:
    """Return a version body that adds request classes with these names."""
    classes = [REQUEST_CLASS, *({**REQUEST_CLASS, "Name": name} for name in names)]
    return json.dumps({"settings": {"ServiceGrades": classes}})

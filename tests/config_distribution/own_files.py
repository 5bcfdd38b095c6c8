"""Files of a dispatcher as the tests of this folder use them."""

import json
from pathlib import Path

from tests.example_config import EXAMPLE

SECRET = b"0123456789abcdef0123"
REQUEST_CLASS = EXAMPLE["settings"]["ServiceGrades"][0]


def write_own_config(folder: Path, ports: list[int]) -> Path:
    """The file of a dispatcher that serves clients and operators at these ports."""
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
    """The body of a version with more request classes."""
    classes = [REQUEST_CLASS, *({**REQUEST_CLASS, "Name": name} for name in names)]
    return json.dumps({"settings": {"ServiceGrades": classes}})

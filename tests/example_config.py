"""The dispatcher's configuration of `deploy/example.json`, which tests change to their needs."""

import json
from pathlib import Path
from typing import Any

EXAMPLE_PATH = Path(__file__).parents[1] / "deploy" / "example.json"
EXAMPLE: dict[str, Any] = json.loads(EXAMPLE_PATH.read_text())

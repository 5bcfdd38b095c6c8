"""The dispatcher configuration in `deploy/example.json`, which tests modify as needed."""

import json
from pathlib import Path
from typing import Any

EXAMPLE_PATH = Path(__file__).parents[1] / "deploy" / "example.json"
EXAMPLE: dict[str, Any] = json.loads(EXAMPLE_PATH.read_text())

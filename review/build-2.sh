#!/bin/sh
# Builds what the cases 6 to 10 start, after the build of the deploy file: the project's stores and lease servers need
# what its extra `daemon` names. The stand-ins are Python files that need the standard library alone.
set -e
cd "$(dirname "$0")/.."
extra=$(.venv/bin/python -c 'import tomllib
print(*tomllib.load(open("pyproject.toml", "rb"))["project"]["optional-dependencies"]["daemon"])')
.venv/bin/python -c 'import msgspec' 2>/dev/null || .venv/bin/python -m pip install -q $extra
.venv/bin/python -m compileall -q review/common_2 review/6 review/7 review/8 review/9 review/10

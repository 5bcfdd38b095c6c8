#!/bin/sh
# To be run after the build of the deploy file. It installs what the project's own stores and lease servers need
# (the extra `daemon` of pyproject.toml, at its pinned version), and compiles the stand-ins.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -c 'import msgspec' 2>/dev/null || .venv/bin/python -m pip install -q $(.venv/bin/python -c '
import tomllib
print(*tomllib.load(open("pyproject.toml", "rb"))["project"]["optional-dependencies"]["daemon"])')
.venv/bin/python -m compileall -q review

"""Files, types and functions that docs/architecture.md names are there.

The page writes files and folders with their path, types as `Type` or `Type.member`, functions as `name()`.
"""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parents[1]
PACKAGE = ROOT / "ploverspoke"
PAGE = ROOT / "docs" / "architecture.md"
CODE = re.compile(r"`([^`\n]+)`")
PATH = re.compile(r"[\w./-]+(\.(py|md|toml|json)|/)")
TYPE = re.compile(r"[A-Z]\w*[a-z]\w*(\.\w+)?")
FUNCTION = re.compile(r"(\w+)\(\)")
# Words of the operators that look like types.
NOT_OURS = {"Limits.MaxOpen"}


def defined_names() -> set[str]:
    """Types, `Type.member` and functions of the package, by their definitions and annotations."""
    names: set[str] = set()
    for path in PACKAGE.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
                names.add(node.name)
            if isinstance(node, ast.ClassDef):
                names.add(node.name)
                names |= {f"{node.name}.{member}" for member in members_of(node)}
    return names


def members_of(node: ast.ClassDef) -> set[str]:
    """Methods, fields and attributes set on `self`."""
    members: set[str] = set()
    for part in ast.walk(node):
        if isinstance(part, ast.FunctionDef | ast.AsyncFunctionDef):
            members.add(part.name)
        target = part.targets[0] if isinstance(part, ast.Assign) else None
        target = part.target if isinstance(part, ast.AnnAssign) else target
        if isinstance(target, ast.Name):
            members.add(target.id)
        if isinstance(target, ast.Attribute):
            members.add(target.attr)
    return members


def test_the_architecture_names_only_what_there_is() -> None:
    text = re.sub(r"^( {4}.*|```.*?```)$", "", PAGE.read_text(), flags=re.MULTILINE)
    tokens = set(CODE.findall(text)) - NOT_OURS
    names = defined_names()
    paths = {token for token in tokens if PATH.fullmatch(token)}
    missing = {path for path in paths if not (ROOT / path).exists() and not (PACKAGE / path).exists()}
    types = {token for token in tokens - paths if TYPE.fullmatch(token)}
    functions = {found[1] for token in tokens if (found := FUNCTION.fullmatch(token))}
    assert missing | (types - names) | (functions - names) == set()
    assert len(paths) > 20 and len(types) > 20, "the page names files and types"

"""The files, types and functions that docs/architecture.md mentions exist.

The page writes files and folders with their path, types as `Type` or `Type.member`, functions as `name()`.
"""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parents[1]
PACKAGE = ROOT / "ploverspoke"
PAGE = ROOT / "docs" / "architecture.md"
CODE_SPAN = re.compile(r"`([^`\n]+)`")
PATH = re.compile(r"[\w./-]+(\.(py|md|toml|json)|/)")
TYPE = re.compile(r"[A-Z]\w*[a-z]\w*(\.\w+)?")
FUNCTION = re.compile(r"(\w+)\(\)")
# Names of settings that look like types.
SETTING_NAMES = {"Limits.MaxOpen"}


def defined_names() -> set[str]:
    """Types, members as `Type.member`, and functions that the package defines or annotates."""
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
    """Methods, fields, and attributes that are set on `self`."""
    members: set[str] = set()
    for descendant in ast.walk(node):
        if isinstance(descendant, ast.FunctionDef | ast.AsyncFunctionDef):
            members.add(descendant.name)
        target = descendant.targets[0] if isinstance(descendant, ast.Assign) else None
        target = descendant.target if isinstance(descendant, ast.AnnAssign) else target
        if isinstance(target, ast.Name):
            members.add(target.id)
        if isinstance(target, ast.Attribute):
            members.add(target.attr)
    return members


def test_the_architecture_names_only_what_there_is() -> None:
    text = re.sub(r"^( {4}.*|```.*?```)$", "", PAGE.read_text(), flags=re.MULTILINE)
    tokens = set(CODE_SPAN.findall(text)) - SETTING_NAMES
    names = defined_names()
    paths = {token for token in tokens if PATH.fullmatch(token)}
    missing = {path for path in paths if not (ROOT / path).exists() and not (PACKAGE / path).exists()}
    types = {token for token in tokens - paths if TYPE.fullmatch(token)}
    functions = {match[1] for token in tokens if (match := FUNCTION.fullmatch(token))}
    assert missing | (types - names) | (functions - names) == set()
    assert len(paths) > 20 and len(types) > 20, "the page names files and types"

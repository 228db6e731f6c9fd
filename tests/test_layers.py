"""The layout's promise: imports go down only, without circles, and no file grows past its size."""

from __future__ import annotations

import ast
import pathlib
from graphlib import TopologicalSorter

ROOT = pathlib.Path(__file__).parent.parent / "winglift"

# From the bottom up; the README's layout names the same.
LAYERS = [
    {"constants", "wire", "config", "net"},
    {"model"},
    {"policy"},
    {"api", "cloud", "store", "workers", "cluster", "duties"},
    {"node", "controller", "flows", "cwl"},
    {"cli", "__main__"},
]
LEVEL = {name: level for level, names in enumerate(LAYERS) for name in names}


def imports() -> dict[str, set[str]]:
    """Module: the modules of winglift that it imports, wherever in the file and for whatever reason."""
    modules = {".".join(p.relative_to(ROOT).with_suffix("").parts): p for p in ROOT.rglob("*.py")}
    found: dict[str, set[str]] = {}
    for name, path in modules.items():
        package = name.split(".")[:-1]
        found[name] = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.level:
                base = package[: len(package) - node.level + 1] + (node.module.split(".") if node.module else [])
                for alias in node.names:
                    longer = ".".join([*base, alias.name])
                    found[name].add(longer if longer in modules else ".".join(base) or "__init__")
    return found


def test_imports_go_down_only_and_without_circles():
    graph = imports()
    assert len(graph) > 50
    # Raises CycleError with the circle's names. Packages hold nothing that their modules import.
    list(
        TopologicalSorter(
            {name: {i for i in found if not i.endswith("__init__")} for name, found in graph.items()}
        ).static_order()
    )
    up = [
        (name, found)
        for name, all_found in graph.items()
        for found in all_found
        if name.split(".")[0] in LEVEL
        and found.split(".")[0] in LEVEL
        and LEVEL[found.split(".")[0]] > LEVEL[name.split(".")[0]]
    ]
    assert up == []
    unplaced = {name.split(".")[0] for name in graph} - set(LEVEL) - {"__init__"}
    assert unplaced == set()


def test_files_stay_short_enough_to_read():
    assert [p.name for p in ROOT.rglob("*.py") if len(p.read_text().splitlines()) > 400] == []

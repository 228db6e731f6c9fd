"""The layers of the package: imports go to lower layers only, without cycles, and no file is longer than 400 lines."""

from __future__ import annotations

import ast
import pathlib
from graphlib import TopologicalSorter

ROOT = pathlib.Path(__file__).parent.parent / "winglift"

# From the bottom up, as in the layout section of the README.
LAYERS = [
    {"constants", "wire", "config", "net"},
    {"model"},
    {"policy"},
    {"api", "cloud", "store", "workers", "cluster", "duties"},
    {"node", "controller", "flows", "cwl"},
    {"cli", "__main__"},
]
LAYER_OF = {name: layer for layer, names in enumerate(LAYERS) for name in names}


def imports() -> dict[str, set[str]]:
    """The modules of winglift that each module imports, at any place in the file."""
    modules = {".".join(p.relative_to(ROOT).with_suffix("").parts): p for p in ROOT.rglob("*.py")}
    imported: dict[str, set[str]] = {}
    for name, path in modules.items():
        package = name.split(".")[:-1]
        imported[name] = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.level:
                base = package[: len(package) - node.level + 1] + (node.module.split(".") if node.module else [])
                for alias in node.names:
                    full_name = ".".join([*base, alias.name])
                    imported[name].add(full_name if full_name in modules else ".".join(base) or "__init__")
    return imported


def test_imports_go_to_lower_layers_only_and_without_cycles():
    graph = imports()
    assert len(graph) > 50
    # Raises CycleError, which names the cycle. No module imports something that an `__init__` file defines.
    list(
        TopologicalSorter(
            {name: {i for i in imported if not i.endswith("__init__")} for name, imported in graph.items()}
        ).static_order()
    )
    upward = [
        (name, imported)
        for name, all_imported in graph.items()
        for imported in all_imported
        if name.split(".")[0] in LAYER_OF
        and imported.split(".")[0] in LAYER_OF
        and LAYER_OF[imported.split(".")[0]] > LAYER_OF[name.split(".")[0]]
    ]
    assert upward == []
    unplaced = {name.split(".")[0] for name in graph} - set(LAYER_OF) - {"__init__"}
    assert unplaced == set()


def test_files_stay_short_enough_to_read():
    assert [p.name for p in ROOT.rglob("*.py") if len(p.read_text().splitlines()) > 400] == []

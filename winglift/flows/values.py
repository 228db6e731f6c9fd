"""Values of CWL: types, what flows along the links between steps, scatter."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from itertools import product
from typing import Any

import msgspec


class FlowError(Exception):
    """A workflow that can't go on; the text names the place."""


def matches_type(value: Any, kind: Any) -> bool:
    """Is a value of a normalised type?"""
    if isinstance(kind, list):
        return any(matches_type(value, k) for k in kind)
    if isinstance(kind, dict):
        if "array" in kind:
            return isinstance(value, list) and all(matches_type(v, kind["array"]) for v in value)
        if "enum" in kind:
            return value in kind["enum"]
        fields = kind["record"]
        return (
            isinstance(value, dict)
            and "class" not in value
            and all(matches_type(value.get(f), t) for f, t in fields.items())
        )
    match kind:
        case "null":
            return value is None
        case "Any":
            return value is not None
        case "boolean":
            return isinstance(value, bool)
        case "int" | "long":
            return isinstance(value, int) and not isinstance(value, bool)
        case "float" | "double":
            return isinstance(value, int | float) and not isinstance(value, bool)
        case "string":
            return isinstance(value, str)
        case _:
            return isinstance(value, dict) and value.get("class") == kind


def describe_type(kind: Any) -> str:
    if isinstance(kind, list):
        return " or ".join(map(describe_type, kind))
    if isinstance(kind, dict):
        if "array" in kind:
            return f"array of {describe_type(kind['array'])}"
        return "one of " + ", ".join(kind["enum"]) if "enum" in kind else "record"
    return kind


def pick(values: Any, how: str | None, where: str) -> Any:
    """CWL's pickValue."""
    if how is None:
        return values
    if not isinstance(values, list):
        raise FlowError(f"{where}: pickValue needs a list")
    there = [v for v in values if v is not None]
    if how == "all_non_null":
        return there
    if not there:
        raise FlowError(f"{where}: pickValue {how}: all values are null")
    if how == "the_only_non_null" and len(there) > 1:
        raise FlowError(f"{where}: pickValue the_only_non_null: {len(there)} values are not null")
    return there[0]


def gather(
    sources: Sequence[str], found: dict[str, Any], several: bool, merge: str, how: str | None, where: str
) -> Any:
    """What arrives over the links of one sink."""
    if not sources:
        return None
    if not several and len(sources) == 1:
        return pick(found[sources[0]], how, where)
    values = [found[s] for s in sources]
    if merge == "merge_flattened":
        values = [v for value in values for v in (value if isinstance(value, list) else [value])]
    return pick(values, how, where)


def scatter(
    names: Sequence[str], method: str, inputs: dict[str, Any], where: str
) -> tuple[list[dict[str, Any]], list[int]]:
    """The inputs of each element, and the shape of the result: one size, or one per input of a nested product."""
    lists = []
    for name in names:
        if not isinstance(inputs.get(name), list):
            raise FlowError(f"{where}: scatter over {name}, which is no list")
        lists.append(inputs[name])
    if method == "dotproduct" or len(names) == 1:
        if len({len(values) for values in lists}) > 1:
            raise FlowError(f"{where}: dotproduct of lists of different lengths")
        return [inputs | dict(zip(names, row, strict=True)) for row in zip(*lists, strict=True)], [len(lists[0])]
    rows = [inputs | dict(zip(names, row, strict=True)) for row in product(*lists)]
    return rows, [len(rows)] if method == "flat_crossproduct" else [len(values) for values in lists]


def nest(values: list[Any], shape: Sequence[int]) -> list[Any]:
    """The values in the given shape."""
    if len(shape) <= 1:
        return values
    size = len(values) // shape[0] if shape[0] else 0
    return [nest(values[i * size : (i + 1) * size], shape[1:]) for i in range(shape[0])]


def bare(value: Any) -> Any:
    """A value without what only one run knows (paths, locations other than the content): for comparing."""
    if isinstance(value, dict):
        return {k: bare(v) for k, v in value.items() if k not in ("path", "dirname", "nameroot", "nameext")}
    if isinstance(value, list):
        return [bare(v) for v in value]
    return value


def digest(*things: Any) -> str:
    return hashlib.sha256(msgspec.json.encode(things, order="deterministic")).hexdigest()


def job_ref(*things: Any) -> str:
    """The id of a job that is part of a workflow. It follows from the workflow, the step and the part alone, so a step
    that is submitted again, by whichever node, has the same id."""
    return f"wk-{int(digest(*things), 16) % 10**20:020d}"


def files_of(value: Any) -> list[dict[str, Any]]:
    """All files in a value."""
    if isinstance(value, dict):
        if value.get("class") == "File":
            return [value]
        return [f for v in value.values() for f in files_of(v)]
    return [f for v in value for f in files_of(v)] if isinstance(value, list) else []

"""CWL values: types, the merge of several sources, scatter, digests."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from itertools import product
from typing import Any

import msgspec


class FlowError(Exception):
    """A workflow can't continue; the message names the place in it."""


def matches_type(value: Any, type_: Any) -> bool:
    """Whether a value has a type (in the normalised form of `wire/flows.py`)."""
    if isinstance(type_, list):
        return any(matches_type(value, member) for member in type_)
    if isinstance(type_, dict):
        if "array" in type_:
            return isinstance(value, list) and all(matches_type(v, type_["array"]) for v in value)
        if "enum" in type_:
            return value in type_["enum"]
        fields = type_["record"]
        return (
            isinstance(value, dict)
            and "class" not in value
            and all(matches_type(value.get(name), field_type) for name, field_type in fields.items())
        )
    match type_:
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
            return isinstance(value, dict) and value.get("class") == type_


def describe_type(type_: Any) -> str:
    """A type in words, for error messages."""
    if isinstance(type_, list):
        return " or ".join(map(describe_type, type_))
    if isinstance(type_, dict):
        if "array" in type_:
            return f"array of {describe_type(type_['array'])}"
        return "one of " + ", ".join(type_["enum"]) if "enum" in type_ else "record"
    return type_


def apply_pick_value(values: Any, method: str | None, where: str) -> Any:
    """Apply pickValue of CWL; `method` None leaves the values as they are."""
    if method is None:
        return values
    if not isinstance(values, list):
        raise FlowError(f"{where}: pickValue needs a list")
    present = [v for v in values if v is not None]
    if method == "all_non_null":
        return present
    if not present:
        raise FlowError(f"{where}: pickValue {method}: all values are null")
    if method == "the_only_non_null" and len(present) > 1:
        raise FlowError(f"{where}: pickValue the_only_non_null: {len(present)} values are not null")
    return present[0]


def merge_sources(
    sources: Sequence[str], values: dict[str, Any], is_list: bool, merge: str, pick_method: str | None, where: str
) -> Any:
    """The value of a step input or workflow output, merged from its sources."""
    if not sources:
        return None
    if not is_list and len(sources) == 1:
        return apply_pick_value(values[sources[0]], pick_method, where)
    merged = [values[s] for s in sources]
    if merge == "merge_flattened":
        merged = [v for value in merged for v in (value if isinstance(value, list) else [value])]
    return apply_pick_value(merged, pick_method, where)


def scatter_inputs(
    names: Sequence[str], method: str, inputs: dict[str, Any], where: str
) -> tuple[list[dict[str, Any]], list[int]]:
    """The inputs of each element, and the shape of the result: one length, or one per input of a nested product."""
    lists = []
    for name in names:
        if not isinstance(inputs.get(name), list):
            raise FlowError(f"{where}: scatter over {name}, which is no list")
        lists.append(inputs[name])
    if method == "dotproduct" or len(names) == 1:
        if len({len(values) for values in lists}) > 1:
            raise FlowError(f"{where}: dotproduct of lists of different lengths")
        return [inputs | dict(zip(names, combination, strict=True)) for combination in zip(*lists, strict=True)], [
            len(lists[0])
        ]
    elements = [inputs | dict(zip(names, combination, strict=True)) for combination in product(*lists)]
    return elements, [len(elements)] if method == "flat_crossproduct" else [len(values) for values in lists]


def nest_values(values: list[Any], shape: Sequence[int]) -> list[Any]:
    """Nest a flat list of values into lists of the given shape."""
    if len(shape) <= 1:
        return values
    length = len(values) // shape[0] if shape[0] else 0
    return [nest_values(values[i * length : (i + 1) * length], shape[1:]) for i in range(shape[0])]


def strip_run_details(value: Any) -> Any:
    """A value without the path fields of files, which differ from run to run; for comparisons."""
    if isinstance(value, dict):
        return {
            k: strip_run_details(v) for k, v in value.items() if k not in ("path", "dirname", "nameroot", "nameext")
        }
    if isinstance(value, list):
        return [strip_run_details(v) for v in value]
    return value


def digest(*values: Any) -> str:
    """SHA-256 of the values in JSON, with sorted keys."""
    return hashlib.sha256(msgspec.json.encode(values, order="deterministic")).hexdigest()


def job_ref(*parts: Any) -> str:
    """The id of a job of a workflow, derived from the workflow, the step and the job's index alone.

    A step that is submitted again, by whichever node, therefore has the same ids.
    """
    return f"wk-{int(digest(*parts), 16) % 10**20:020d}"


def find_files(value: Any) -> list[dict[str, Any]]:
    """All files within a value."""
    if isinstance(value, dict):
        if value.get("class") == "File":
            return [value]
        return [f for v in value.values() for f in find_files(v)]
    return [f for v in value for f in find_files(v)] if isinstance(value, list) else []

"""Checks the types along a plan's links: a link whose values can never be of the sink's type is an error."""

from __future__ import annotations

from typing import Any

from ..flows.values import describe_type
from ..wire.flows import FlowOutput, Plan, Step, StepInput, Workflow
from .errors import CwlError, SourceLocator

WIDENING_CONVERSIONS = {"int": {"long", "float", "double"}, "long": {"float", "double"}, "float": {"double"}}


def union_members(type_: Any) -> list[Any]:
    """The members of a union, nested ones included; any other type is its only member."""
    return [m for t in type_ for m in union_members(t)] if isinstance(type_, list) else [type_]


def is_assignable(source: Any, sink: Any) -> bool:
    """Whether some value of the source's type is also of the sink's type. Each value is checked at run time."""
    return any(_is_assignable_member(s, t) for s in union_members(source) for t in union_members(sink))


def _is_assignable_member(source: Any, sink: Any) -> bool:
    if "Any" in (source, sink):
        return source != "null"
    if isinstance(source, dict) and isinstance(sink, dict):
        if "array" in source and "array" in sink:
            return is_assignable(source["array"], sink["array"])
        if "enum" in source and "enum" in sink:
            return bool(set(source["enum"]) & set(sink["enum"]))
        if "record" in source and "record" in sink:
            return all(
                is_assignable(source["record"].get(f, "null"), field_type) for f, field_type in sink["record"].items()
            )
        return False
    if isinstance(source, dict) or isinstance(sink, dict):
        # A string may be one of an enum's symbols, and every symbol is a string.
        return "string" in (source, sink) and any(isinstance(t, dict) and "enum" in t for t in (source, sink))
    return source == sink or sink in WIDENING_CONVERSIONS.get(source, ())


def combined_source_type(sink: StepInput | FlowOutput, types: dict[str, Any]) -> Any:
    """The type of the value that a sink's sources yield after linkMerge and pickValue."""
    source_types = [types[s] for s in sink.source]
    if len(source_types) == 1 and not sink.several:
        merged = source_types[0]
    else:
        if sink.merge == "merge_flattened":
            source_types = [
                m["array"] if isinstance(m, dict) and "array" in m else m
                for t in source_types
                for m in union_members(t)
            ]
        merged = {"array": source_types}
    if sink.pick is None:
        return merged
    non_null = [
        m
        for t in union_members(merged)
        if isinstance(t, dict) and "array" in t
        for m in union_members(t["array"])
        if m != "null"
    ]
    return {"array": non_null} if sink.pick == "all_non_null" else non_null


def step_output_types(step: Step, plan: Plan) -> dict[str, Any]:
    """The types of a step's outputs as the links see them: with `when` and scatter applied."""
    output_types = {}
    array_depth = len(step.scatter) if step.method == "nested_crossproduct" else min(1, len(step.scatter))
    for out in plan.processes[step.run].outputs:
        output_type: Any = [*union_members(out.type), "null"] if step.when is not None else out.type
        for _ in range(array_depth):
            output_type = {"array": output_type}
        output_types[f"{step.name}/{out.name}"] = output_type
    return output_types


def check_types(plan: Plan, source_files: dict[str, str], locator: SourceLocator) -> None:
    """Raises CwlError with file, line, both ends of the link and their types."""
    for key, flow in plan.processes.items():
        if not isinstance(flow, Workflow):
            continue
        file = source_files[key]
        types: dict[str, Any] = {p.name: p.type for p in flow.inputs}
        for step in flow.steps:
            types.update(step_output_types(step, plan))
        for step in flow.steps:
            params = {p.name: p for p in plan.processes[step.run].inputs}
            for sink in step.inputs:
                if not sink.source or sink.value_from is not None or sink.name not in params:
                    continue
                sink_type = params[sink.name].type
                if sink.default is not None or params[sink.name].default is not None:
                    sink_type = [*union_members(sink_type), "null"]
                if sink.name in step.scatter:
                    sink_type = {"array": sink_type}
                _check_link(
                    sink,
                    types,
                    sink_type,
                    f"{step.name}/{sink.name}",
                    locator.locate(file, "steps", step.name, sink.name),
                )
        for out in flow.outputs:
            if out.source:
                _check_link(out, types, out.type, out.name, locator.locate(file, "outputs", out.name))


def _check_link(
    sink: StepInput | FlowOutput, types: dict[str, Any], sink_type: Any, name: str, source_line: str
) -> None:
    source_type = combined_source_type(sink, types)
    if not is_assignable(source_type, sink_type):
        raise CwlError(
            f"{source_line}: {name} takes {', '.join(sink.source)}: "
            f"{describe_type(source_type)} is not {describe_type(sink_type)}"
        )

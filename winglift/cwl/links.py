"""Types along the links of a plan: a value that could never be of its sink's type is refused before anything runs."""

from __future__ import annotations

from typing import Any

from ..flows.values import describe_type
from ..wire.flows import FlowOutput, Plan, Step, StepInput, Workflow
from .errors import CwlError, Place

WIDER = {"int": {"long", "float", "double"}, "long": {"float", "double"}, "float": {"double"}}


def options(kind: Any) -> list[Any]:
    return [o for k in kind for o in options(k)] if isinstance(kind, list) else [kind]


def assignable(source: Any, sink: Any) -> bool:
    """Could some value of one type be of the other? What depends on the value shows when it is there."""
    return any(_fits(s, k) for s in options(source) for k in options(sink))


def _fits(source: Any, sink: Any) -> bool:
    if "Any" in (source, sink):
        return source != "null"
    if isinstance(source, dict) and isinstance(sink, dict):
        if "array" in source and "array" in sink:
            return assignable(source["array"], sink["array"])
        if "enum" in source and "enum" in sink:
            return bool(set(source["enum"]) & set(sink["enum"]))
        if "record" in source and "record" in sink:
            return all(assignable(source["record"].get(f, "null"), kind) for f, kind in sink["record"].items())
        return False
    if isinstance(source, dict) or isinstance(sink, dict):
        # A text may be one of an enumeration's names, and they are texts.
        return "string" in (source, sink) and any(isinstance(k, dict) and "enum" in k for k in (source, sink))
    return source == sink or sink in WIDER.get(source, ())


def arriving(sink: StepInput | FlowOutput, types: dict[str, Any]) -> Any:
    """The type of what a sink's sources give together."""
    found = [types[s] for s in sink.source]
    if len(found) == 1 and not sink.several:
        made = found[0]
    else:
        if sink.merge == "merge_flattened":
            found = [o["array"] if isinstance(o, dict) and "array" in o else o for k in found for o in options(k)]
        made = {"array": found}
    if sink.pick is None:
        return made
    inner = [
        o for k in options(made) if isinstance(k, dict) and "array" in k for o in options(k["array"]) if o != "null"
    ]
    return {"array": inner} if sink.pick == "all_non_null" else inner


def produced(step: Step, plan: Plan) -> dict[str, Any]:
    """The types of a step's outputs, as others see them."""
    made = {}
    depth = len(step.scatter) if step.method == "nested_crossproduct" else min(1, len(step.scatter))
    for out in plan.processes[step.run].outputs:
        kind: Any = [*options(out.type), "null"] if step.when is not None else out.type
        for _ in range(depth):
            kind = {"array": kind}
        made[f"{step.name}/{out.name}"] = kind
    return made


def check_types(plan: Plan, sources: dict[str, str], place: Place) -> None:
    """Raises CwlError naming file, line, both ends of the link and their types."""
    for key, flow in plan.processes.items():
        if not isinstance(flow, Workflow):
            continue
        file = sources[key]
        types: dict[str, Any] = {p.name: p.type for p in flow.inputs}
        for step in flow.steps:
            types.update(produced(step, plan))
        for step in flow.steps:
            wanted = {p.name: p for p in plan.processes[step.run].inputs}
            for sink in step.inputs:
                if not sink.source or sink.value_from is not None or sink.name not in wanted:
                    continue
                kind = wanted[sink.name].type
                if sink.default is not None or wanted[sink.name].default is not None:
                    kind = [*options(kind), "null"]
                if sink.name in step.scatter:
                    kind = {"array": kind}
                _check(sink, types, kind, f"{step.name}/{sink.name}", place.at(file, "steps", step.name, sink.name))
        for out in flow.outputs:
            if out.source:
                _check(out, types, out.type, out.name, place.at(file, "outputs", out.name))


def _check(sink: StepInput | FlowOutput, types: dict[str, Any], kind: Any, name: str, where: str) -> None:
    given = arriving(sink, types)
    if not assignable(given, kind):
        raise CwlError(
            f"{where}: {name} takes {', '.join(sink.source)}: {describe_type(given)} is not {describe_type(kind)}"
        )

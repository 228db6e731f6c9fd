"""Read, check and convert: nothing is submitted that could be known to be wrong, and nothing is fetched."""

from __future__ import annotations

import pathlib
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from cwl_utils.parser import load_document_by_uri
from ruamel.yaml.error import YAMLError
from schema_salad.exceptions import SchemaSaladException
from schema_salad.utils import yaml_no_ts

from ..flows.command import TaskBuilder
from ..flows.engine import ContentNeeded, Engine
from ..flows.expressions import Evaluator, ExpressionError, ExpressionTimeout, JavaScriptEngine, needs_evaluation
from ..flows.graph import Node, graph
from ..flows.values import FlowError
from ..wire.flows import Expression, Plan, Tool, Workflow, parse_plan
from .convert import Converter
from .errors import CwlError, Place, Unsupported, said
from .links import check_types
from .order import Resolver, read_order
from .types import plain

CHECK_S = 0.5  # s of processor time for one expression when files are checked


@dataclass(slots=True)
class CheckedWorkflow:
    plan: Plan
    order: dict[str, Any]
    nodes: dict[str, Node]
    blobs: dict[str, bytes]


def read_yaml(file: str) -> Any:
    try:
        return plain(yaml_no_ts().load(pathlib.Path(file).read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError) as err:
        raise CwlError(f"{file}: can't be read: {getattr(err, 'strerror', None) or err}") from None
    except YAMLError as err:
        mark = getattr(err, "problem_mark", None)
        where = f"{file}:{mark.line + 1}" if mark is not None else file
        raise CwlError(f"{where}: not YAML: {getattr(err, 'problem', None) or err}") from None


def _inside(value: Any, file: str, place: Place, seen: set[str], outer: tuple[str, ...]) -> None:
    """Refuse by name whatever a document would have fetched from elsewhere, before anything reads it."""
    if isinstance(value, list):
        for one in value:
            _inside(one, file, place, seen, outer)
    if not isinstance(value, dict):
        return
    for key, found in value.items():
        if key == "$schemas":
            raise Unsupported(f"{place.at(file, '$schemas')}: $schemas: {found}")
        if key in ("run", "$import", "$include", "$mixin") and isinstance(found, str):
            if "://" in found and not found.startswith("file://"):
                raise Unsupported(f"{place.at(file, found)}: {key}: {found} points outside")
            if key != "run":
                raise Unsupported(f"{place.at(file, key)}: {key}")
            path = found.removeprefix("file://").partition("#")[0]
            if path:
                other = str((pathlib.Path(file).parent / path).resolve())
                if not pathlib.Path(other).is_file():
                    raise CwlError(f"{place.at(file, found)}: run: no file {found}")
                _scan(other, place, seen, outer)
        else:
            _inside(found, file, place, seen, outer)


def _scan(file: str, place: Place, seen: set[str], outer: tuple[str, ...] = ()) -> None:
    """Look a document through, and those that it runs. Ones that run one another for ever would be read for ever."""
    if file in outer:
        raise CwlError(f"{file}: the workflow runs itself")
    if file in seen:
        return
    seen.add(file)
    found = read_yaml(file)
    if not isinstance(found, dict):
        raise CwlError(f"{file}: no CWL document")
    version = found.get("cwlVersion")
    if version is not None and version != "v1.2":
        raise Unsupported(f"{place.at(file, 'cwlVersion')}: cwlVersion {version}; v1.2 is supported")
    if "$graph" in found:
        raise Unsupported(f"{place.at(file, '$graph')}: $graph")
    _inside(found, file, place, seen, (*outer, file))


def sample(kind: Any) -> Any:
    """A value of a type, for trying an expression."""
    if isinstance(kind, list):
        return sample(next((k for k in kind if k != "null"), "null"))
    if isinstance(kind, dict):
        if "array" in kind:
            return [sample(kind["array"])]
        return kind["enum"][0] if "enum" in kind else {f: sample(k) for f, k in kind["record"].items()}
    known = {"null": None, "boolean": True, "int": 1, "long": 1, "float": 1.0, "double": 1.0, "string": "a", "Any": "a"}
    if kind in known:
        return known[kind]
    return {
        "class": kind,
        "basename": "a.txt",
        "nameroot": "a",
        "nameext": ".txt",
        "path": "/a.txt",
        "size": 1,
        "contents": "1",
        "location": "sha256:0",
        "checksum": "sha1$0",
        "listing": [],
        "dirname": "/",
    }


def _texts(value: Any) -> list[str]:
    """All texts with expressions in a process."""
    if isinstance(value, str):
        return [value] if needs_evaluation(value) else []
    if isinstance(value, dict):
        return [t for v in value.values() for t in _texts(v)]
    if isinstance(value, list | tuple):
        return [t for v in value for t in _texts(v)]
    if hasattr(value, "__struct_fields__"):
        return [t for f in value.__struct_fields__ if f != "library" for t in _texts(getattr(value, f))]
    return []


def _try_expressions(plan: Plan, sources: dict[str, str], place: Place) -> None:
    """Try every expression on made-up values: what does not end or can't be read is refused, what fails is not."""
    javascript_engine = JavaScriptEngine(CHECK_S)
    for key, process in plan.processes.items():
        file = sources[key]
        known = {p.name for p in process.inputs}
        inputs = {p.name: sample(p.type) for p in process.inputs}
        if isinstance(process, Workflow):
            for step in process.steps:
                known |= {s.name for s in step.inputs}
                target = {p.name: p.type for p in plan.processes[step.run].inputs}
                inputs |= {s.name: sample(target.get(s.name, "Any")) for s in step.inputs}
        evaluate = Evaluator(javascript_engine, process.javascript, process.library)
        for text in _texts(process):
            first = text.splitlines()[0][:60]
            where = place.holding(file, first) or place.at(
                file, next((w for w in re.findall(r"\w{3,}", text) if w != "inputs"), "$(")
            )
            for name in re.findall(r"\binputs\.(\w+)", text):
                if name not in known and name != "length":
                    raise CwlError(f"{where}: {first}: no input {name}")
            for self_value in (sample("File"), [sample("File")]):
                try:
                    evaluate(
                        text,
                        {
                            "inputs": inputs,
                            "self": self_value,
                            "runtime": {
                                "outdir": "/out",
                                "tmpdir": "/tmp",
                                "cores": 1,
                                "ram": 256,
                                "exitCode": 0,
                                "outdirSize": 1024,
                                "tmpdirSize": 1024,
                            },
                        },
                    )
                except ExpressionTimeout as err:
                    raise CwlError(f"{where}: {err}") from None
                except ExpressionError as err:
                    if any(sign in str(err) for sign in ("SyntaxError", "JavaScript", "not closed", "no such name")):
                        raise CwlError(f"{where}: {err}") from None


def _try_start(checked: CheckedWorkflow) -> None:
    """Begin the workflow as the leader would: what can be known of its first steps is known now."""
    engine = Engine(checked.plan, checked.order, JavaScriptEngine(CHECK_S))
    call: Callable[[], object] = engine.start
    while True:
        try:
            call()
            call = engine.advance
            call()
            break
        except ContentNeeded as need:
            engine.contents[need.digest] = checked.blobs[need.digest].decode(errors="replace")
    for leaf in engine.take_ready():
        process = checked.plan.processes[leaf.process]
        if isinstance(process, Tool):
            for inputs in leaf.elements[:10]:
                TaskBuilder(process, inputs, engine.evaluator(leaf.process), leaf.path).build()
        elif isinstance(process, Expression):
            engine.evaluate(leaf)


def check(file: str, order_file: str | None) -> CheckedWorkflow:
    """Read a document and an order (None: no inputs are looked at). Raises CwlError and Unsupported with file, line
    and reason."""
    place, resolver = Place(), Resolver()
    path = str(pathlib.Path(file).resolve())
    if not pathlib.Path(path).is_file():
        raise CwlError(f"{file}: no such file")
    _scan(path, place, set())
    try:
        document = load_document_by_uri(path, load_all=False)
    except SchemaSaladException as err:
        raise CwlError(said(err, path)) from None
    except (ValueError, AttributeError, KeyError, TypeError) as err:
        raise CwlError(f"{path}: {err}") from None
    converter = Converter(path, place, resolver)
    # Through the form in which it travels: what the YAML reader adds to texts and numbers stays behind.
    plan = parse_plan(msgspec.json.encode(converter.plan(document), enc_hook=plain))
    try:
        nodes = graph(plan)
    except FlowError as err:
        step = re.search(r"steps (\w+)", str(err))
        raise CwlError(f"{place.at(path, 'steps', *(step.groups() if step else ()))}: {err}") from None
    check_types(plan, converter.sources, place)
    _try_expressions(plan, converter.sources, place)
    order: dict[str, Any] = {}
    main = plan.processes[plan.main]
    if order_file is not None:
        order = read_order(read_yaml(order_file), order_file, main.inputs, resolver, place)
    checked = CheckedWorkflow(plan, order, nodes, resolver.blobs)
    if order_file is not None:
        try:
            _try_start(checked)
        except FlowError as err:
            raise CwlError(f"{path}: {err}") from None
    return checked

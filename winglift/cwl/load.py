"""Reads, checks and converts documents and orders, so that errors show before submission. Accesses no network."""

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
from .errors import CwlError, SourceLocator, Unsupported, validation_message
from .links import check_types
from .order import FileResolver, read_order
from .types import to_plain_data

EXPRESSION_CPU_LIMIT_S = 0.5  # CPU time for one expression while files are checked


@dataclass(slots=True)
class CheckedWorkflow:
    """A plan and an order that passed all checks, the graph's nodes by step path, and the contents to be uploaded."""

    plan: Plan
    order: dict[str, Any]
    nodes: dict[str, Node]
    blobs: dict[str, bytes]


def read_yaml(file: str) -> Any:
    """Reads a YAML file as built-in types. Raises CwlError with file and line."""
    try:
        return to_plain_data(yaml_no_ts().load(pathlib.Path(file).read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError) as err:
        raise CwlError(f"{file}: can't be read: {getattr(err, 'strerror', None) or err}") from None
    except YAMLError as err:
        mark = getattr(err, "problem_mark", None)
        source_line = f"{file}:{mark.line + 1}" if mark is not None else file
        raise CwlError(f"{source_line}: not YAML: {getattr(err, 'problem', None) or err}") from None


def _reject_external_references(
    value: Any, file: str, locator: SourceLocator, scanned_files: set[str], callers: tuple[str, ...]
) -> None:
    """Raises Unsupported for a reference that the parser would fetch; scans the local files that steps run."""
    if isinstance(value, list):
        for element in value:
            _reject_external_references(element, file, locator, scanned_files, callers)
    if not isinstance(value, dict):
        return
    for key, child in value.items():
        if key == "$schemas":
            raise Unsupported(f"{locator.locate(file, '$schemas')}: $schemas: {child}")
        if key in ("run", "$import", "$include", "$mixin") and isinstance(child, str):
            if "://" in child and not child.startswith("file://"):
                raise Unsupported(f"{locator.locate(file, child)}: {key}: {child} is not a local file")
            if key != "run":
                raise Unsupported(f"{locator.locate(file, key)}: {key}")
            path = child.removeprefix("file://").partition("#")[0]
            if path:
                target = str((pathlib.Path(file).parent / path).resolve())
                if not pathlib.Path(target).is_file():
                    raise CwlError(f"{locator.locate(file, child)}: run: no file {child}")
                _scan_document(target, locator, scanned_files, callers)
        else:
            _reject_external_references(child, file, locator, scanned_files, callers)


def _scan_document(file: str, locator: SourceLocator, scanned_files: set[str], callers: tuple[str, ...] = ()) -> None:
    """Scans a document and those that its steps run. `callers` are the documents that led to it: a document among its
    own callers is an error, since the parser would load it without end."""
    if file in callers:
        raise CwlError(f"{file}: the workflow runs itself")
    if file in scanned_files:
        return
    scanned_files.add(file)
    content = read_yaml(file)
    if not isinstance(content, dict):
        raise CwlError(f"{file}: not a CWL document")
    version = content.get("cwlVersion")
    if version is not None and version != "v1.2":
        raise Unsupported(f"{locator.locate(file, 'cwlVersion')}: cwlVersion {version}; v1.2 is supported")
    if "$graph" in content:
        raise Unsupported(f"{locator.locate(file, '$graph')}: $graph")
    _reject_external_references(content, file, locator, scanned_files, (*callers, file))


def sample_value(type_: Any) -> Any:
    """A value of a type, on which expressions are tried."""
    if isinstance(type_, list):
        return sample_value(next((t for t in type_ if t != "null"), "null"))
    if isinstance(type_, dict):
        if "array" in type_:
            return [sample_value(type_["array"])]
        return type_["enum"][0] if "enum" in type_ else {f: sample_value(t) for f, t in type_["record"].items()}
    samples = {
        "null": None,
        "boolean": True,
        "int": 1,
        "long": 1,
        "float": 1.0,
        "double": 1.0,
        "string": "a",
        "Any": "a",
    }
    if type_ in samples:
        return samples[type_]
    return {
        "class": type_,
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


def _expression_texts(value: Any) -> list[str]:
    """All strings in a process that contain expressions."""
    if isinstance(value, str):
        return [value] if needs_evaluation(value) else []
    if isinstance(value, dict):
        return [t for v in value.values() for t in _expression_texts(v)]
    if isinstance(value, list | tuple):
        return [t for v in value for t in _expression_texts(v)]
    if hasattr(value, "__struct_fields__"):
        return [t for f in value.__struct_fields__ if f != "library" for t in _expression_texts(getattr(value, f))]
    return []


def _try_expressions(plan: Plan, source_files: dict[str, str], locator: SourceLocator) -> None:
    """Tries every expression on sample values. Timeouts and syntax errors are errors of the document; other failures
    may be due to the sample values and are ignored."""
    javascript_engine = JavaScriptEngine(EXPRESSION_CPU_LIMIT_S)
    for key, process in plan.processes.items():
        file = source_files[key]
        known_inputs = {p.name for p in process.inputs}
        inputs = {p.name: sample_value(p.type) for p in process.inputs}
        if isinstance(process, Workflow):
            for step in process.steps:
                known_inputs |= {s.name for s in step.inputs}
                param_types = {p.name: p.type for p in plan.processes[step.run].inputs}
                inputs |= {s.name: sample_value(param_types.get(s.name, "Any")) for s in step.inputs}
        evaluate = Evaluator(javascript_engine, process.javascript, process.library)
        for text in _expression_texts(process):
            excerpt = text.splitlines()[0][:60]
            source_line = locator.locate_text(file, excerpt) or locator.locate(
                file, next((w for w in re.findall(r"\w{3,}", text) if w != "inputs"), "$(")
            )
            for name in re.findall(r"\binputs\.(\w+)", text):
                if name not in known_inputs and name != "length":
                    raise CwlError(f"{source_line}: {excerpt}: no input {name}")
            for self_value in (sample_value("File"), [sample_value("File")]):
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
                    raise CwlError(f"{source_line}: {err}") from None
                except ExpressionError as err:
                    if any(
                        marker in str(err) for marker in ("SyntaxError", "JavaScript", "not closed", "no such name")
                    ):
                        raise CwlError(f"{source_line}: {err}") from None


def _try_start(checked: CheckedWorkflow) -> None:
    """Starts the workflow as the leader does, and builds the commands of its first steps, so that their errors show."""
    engine = Engine(checked.plan, checked.order, JavaScriptEngine(EXPRESSION_CPU_LIMIT_S))
    advance_engine: Callable[[], object] = engine.start
    while True:
        try:
            advance_engine()
            advance_engine = engine.advance
            advance_engine()
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
    """Reads and checks a document and an order (None: inputs are not checked). Raises CwlError and Unsupported
    with file, line and reason."""
    locator, resolver = SourceLocator(), FileResolver()
    path = str(pathlib.Path(file).resolve())
    if not pathlib.Path(path).is_file():
        raise CwlError(f"{file}: no such file")
    _scan_document(path, locator, set())
    try:
        document = load_document_by_uri(path, load_all=False)
    except SchemaSaladException as err:
        raise CwlError(validation_message(err, path)) from None
    except (ValueError, AttributeError, KeyError, TypeError) as err:
        raise CwlError(f"{path}: {err}") from None
    converter = Converter(path, locator, resolver)
    # Encoding and decoding the plan replaces the YAML reader's subclasses of str, int and float by the built-in types.
    plan = parse_plan(msgspec.json.encode(converter.convert(document), enc_hook=to_plain_data))
    try:
        nodes = graph(plan)
    except FlowError as err:
        step_match = re.search(r"steps (\w+)", str(err))
        raise CwlError(
            f"{locator.locate(path, 'steps', *(step_match.groups() if step_match else ()))}: {err}"
        ) from None
    check_types(plan, converter.source_files, locator)
    _try_expressions(plan, converter.source_files, locator)
    order: dict[str, Any] = {}
    main = plan.processes[plan.main]
    if order_file is not None:
        order = read_order(read_yaml(order_file), order_file, main.inputs, resolver, locator)
    checked = CheckedWorkflow(plan, order, nodes, resolver.blobs)
    if order_file is not None:
        try:
            _try_start(checked)
        except FlowError as err:
            raise CwlError(f"{path}: {err}") from None
    return checked

"""Builds the command of a task from a tool and its inputs, and the tool's outputs from the result of the task."""

from __future__ import annotations

import hashlib
import math
import posixpath
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ..wire.flows import TASK_DIR, UPLOAD_PREFIX, Binding, InputFile, Output, Param, TaskDescription, TaskResult, Tool
from .expressions import Evaluator, ExpressionError
from .values import FlowError, describe_type, matches_type

OUTPUT_DIR = f"{TASK_DIR}/out"
TEMP_DIR = f"{TASK_DIR}/tmp"


@dataclass(frozen=True, slots=True)
class TaskResources:
    """The resources that a task demands; equal for all tasks of one job."""

    cpus: float
    gpus: float
    memory_gb: float


@dataclass(slots=True)
class BuiltTask:
    """A task that is ready to be uploaded."""

    description: TaskDescription
    resources: TaskResources
    blobs: dict[str, bytes] = field(default_factory=dict)  # contents to be uploaded, by digest


def add_name_fields(value: Any) -> Any:
    """A value, with the CWL fields nameroot, nameext and dirname of its files."""
    if isinstance(value, dict):
        fields = {k: add_name_fields(v) for k, v in value.items()}
        if fields.get("class") == "File" and "basename" in fields:
            root, extension = posixpath.splitext(fields["basename"])
            fields["nameroot"], fields["nameext"] = root, extension
            if "path" in fields:
                fields["dirname"] = posixpath.dirname(fields["path"])
        return fields
    return [add_name_fields(v) for v in value] if isinstance(value, list) else value


class TaskBuilder:
    """Builds the task of one element, and later its outputs."""

    def __init__(self, tool: Tool, inputs: dict[str, Any], evaluate: Evaluator, where: str) -> None:
        self.tool = tool
        self.where = where
        self._evaluator = evaluate
        self._files: dict[str, InputFile] = {}
        self._blobs: dict[str, bytes] = {}
        self._staged_count = 0
        self.inputs = add_name_fields({name: self._stage_inputs(value) for name, value in inputs.items()})
        self.runtime: dict[str, Any] = {
            "outdir": OUTPUT_DIR,
            "tmpdir": TEMP_DIR,
            "outdirSize": 1024,
            "tmpdirSize": 1024,
        }

    def evaluate_text(self, text: Any, self_value: Any = None) -> Any:
        """Evaluate an expression with this task's inputs; other values are returned as they are."""
        try:
            return self._evaluator(text, {"inputs": self.inputs, "self": self_value, "runtime": self.runtime})
        except ExpressionError as err:
            raise FlowError(f"{self.where}: {err}") from None

    def _evaluate_string(self, text: str, name: str) -> str:
        value = self.evaluate_text(text)
        if not isinstance(value, str):
            raise FlowError(f"{self.where}: {name}: expected a text, got {value!r}")
        return value

    # -- files ---------------------------------------------------------------------------------

    def _add_blob(self, content: bytes) -> str:
        digest = hashlib.sha256(content).hexdigest()
        self._blobs[digest] = content
        return digest

    def _stage(self, value: dict[str, Any], directory: str) -> dict[str, Any]:
        """Stage a file or directory of the task in `directory`; return it with its path."""
        name = value.get("basename") or ""
        if not name or "/" in name or name in (".", ".."):
            raise FlowError(f"{self.where}: no name for a file: {name!r}")
        path = f"{directory}/{name}"
        if value["class"] == "Directory":
            self._files[path] = InputFile(path)
            return value | {"path": path, "listing": [self._stage(v, path) for v in value.get("listing") or []]}
        location = value.get("location", "")
        if location.startswith(UPLOAD_PREFIX):
            self._files[path] = InputFile(path, location.removeprefix(UPLOAD_PREFIX))
        elif isinstance(value.get("contents"), str):
            self._files[path] = InputFile(path, self._add_blob(value["contents"].encode()))
        else:
            raise FlowError(f"{self.where}: {name}: neither content nor upload")
        return value | {"path": path}

    def _stage_inputs(self, value: Any) -> Any:
        """Stage the files of an input, each in a directory of its own because their names may be equal."""
        if isinstance(value, dict):
            if value.get("class") in ("File", "Directory"):
                self._staged_count += 1
                return self._stage(value, f"{TASK_DIR}/in/{self._staged_count}")
            return {k: self._stage_inputs(v) for k, v in value.items()}
        return [self._stage_inputs(v) for v in value] if isinstance(value, list) else value

    def _stage_work_dir(self) -> None:
        """Stage the entries of InitialWorkDirRequirement in the output directory."""
        for item in self.tool.staged:
            value = self.evaluate_text(item.entry)
            name = self._evaluate_string(item.name, "entryname") if item.name is not None else None
            if value is None:
                continue
            for entry in value if isinstance(value, list) else [value]:
                if isinstance(entry, dict) and entry.get("class") in ("File", "Directory"):
                    old_path = entry.get("path")
                    staged = self._stage(entry | ({"basename": name} if name else {}), OUTPUT_DIR)
                    if old_path:
                        self.inputs = self._replace_path(self.inputs, old_path, staged)
                elif name is None:
                    raise FlowError(f"{self.where}: a text in the work folder needs an entryname")
                else:
                    text = entry if isinstance(entry, str) else msgspec.json.encode(entry).decode()
                    self._stage({"class": "File", "basename": name, "contents": text}, OUTPUT_DIR)

    def _replace_path(self, value: Any, old_path: str, staged: dict[str, Any]) -> Any:
        """Replace the input file at `old_path` by the staged one."""
        if isinstance(value, dict):
            if value.get("path") == old_path:
                self._files.pop(old_path, None)
                return add_name_fields(staged)
            return {k: self._replace_path(v, old_path, staged) for k, v in value.items()}
        return [self._replace_path(v, old_path, staged) for v in value] if isinstance(value, list) else value

    # -- the command line ----------------------------------------------------------------------

    def _position(self, binding: Binding, value: Any) -> int:
        position = self.evaluate_text(binding.position, value)
        if position is None:
            return 0
        if not isinstance(position, int):
            raise FlowError(f"{self.where}: position: expected a whole number, got {position!r}")
        return position

    def _to_argument(self, value: Any) -> str:
        if isinstance(value, dict):
            if "path" not in value:
                raise FlowError(f"{self.where}: a record without bindings can't stand on a command line")
            return value["path"]
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, float) and value.is_integer() and abs(value) < 1e15:
            return f"{value:.1f}"
        return str(value)

    def _bind(self, binding: Binding, value: Any, param: Param | None = None) -> list[str]:
        """The command-line arguments of a value."""
        if binding.value_from is not None and (value is not None or param is None):
            value = self.evaluate_text(binding.value_from, value)
        prefix = binding.prefix
        if value is None or value is False:
            return []
        if value is True:
            return [prefix] if prefix else []
        if isinstance(value, list):
            if not value:
                return []
            if binding.item_separator is not None:
                value = binding.item_separator.join(self._to_argument(v) for v in value)
            else:
                item_binding = param.items if param is not None else None
                arguments = [
                    a for v in value for a in (self._bind(item_binding, v) if item_binding else [self._to_argument(v)])
                ]
                return ([prefix] if prefix else []) + arguments
        if isinstance(value, dict) and "path" not in value:
            fields = param.fields if param is not None else {}
            ordered = sorted(
                (self._position(field_binding, value.get(field)), field) for field, field_binding in fields.items()
            )
            arguments = [a for _, field in ordered for a in self._bind(fields[field], value.get(field))]
            return ([prefix] if prefix else []) + arguments
        argument = self._to_argument(value)
        if prefix is None:
            return [argument]
        return [prefix, argument] if binding.separate else [prefix + argument]

    def _build_command(self) -> list[str]:
        arguments: list[tuple[tuple[int, int, int, str], list[str]]] = []
        for number, binding in enumerate(self.tool.arguments):
            arguments.append(((self._position(binding, None), 0, number, ""), self._bind(binding, None)))
        for param in self.tool.inputs:
            value = self.inputs.get(param.name)
            param_binding = param.binding
            if param_binding is None and (param.items or param.fields):
                param_binding = Binding()
            if param_binding is not None and value is not None:
                arguments.append(
                    ((self._position(param_binding, value), 1, 0, param.name), self._bind(param_binding, value, param))
                )
        command = [
            *self.tool.base,
            *(a for _, bound in sorted(arguments, key=lambda item: item[0]) for a in bound),
        ]
        if not command:
            raise FlowError(f"{self.where}: an empty command")
        return command

    def _evaluate_amount(self, text: float | str, name: str) -> float:
        value = self.evaluate_text(text) if isinstance(text, str) else text
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value) or value < 0:
            raise FlowError(f"{self.where}: {name}: expected an amount, got {value!r}")
        return float(value)

    def build(self) -> BuiltTask:
        """Build the task. Raises FlowError if an expression fails or has a wrong type."""
        tool = self.tool
        resources = TaskResources(
            self._evaluate_amount(tool.cpus, "cores"),
            self._evaluate_amount(tool.gpus, "GPUs"),
            self._evaluate_amount(tool.memory_gb, "memory"),
        )
        self.runtime |= {"cores": math.ceil(resources.cpus), "ram": math.ceil(resources.memory_gb * 1024)}
        self._stage_work_dir()
        description = TaskDescription(
            command=self._build_command(),
            env={name: self._evaluate_string(text, f"variable {name}") for name, text in tool.env.items()},
            files=list(self._files.values()),
            stdin=self._evaluate_string(tool.stdin, "stdin") if tool.stdin else None,
            stdout=self._evaluate_string(tool.stdout, "stdout") if tool.stdout else None,
            stderr=self._evaluate_string(tool.stderr, "stderr") if tool.stderr else None,
            success=tool.success,
            time_s=self._evaluate_amount(tool.time_s, "time limit"),
            outputs=[Output(o.name, None, self._evaluate_globs(o), o.load) for o in tool.outputs],
        )
        return BuiltTask(description, resources, self._blobs)

    def _evaluate_globs(self, output: Output) -> list[str]:
        patterns: list[str] = []
        for text in output.glob:
            value = self.evaluate_text(text)
            for pattern in value if isinstance(value, list) else [value]:
                if not isinstance(pattern, str):
                    raise FlowError(f"{self.where}/{output.name}: glob: expected a text, got {pattern!r}")
                patterns.append(pattern.removeprefix(f"{OUTPUT_DIR}/"))
        return patterns

    def collect(self, result: TaskResult) -> dict[str, Any]:
        """The tool's outputs. Raises FlowError if one has a wrong type."""
        self.runtime |= {"exitCode": result.code}
        outputs = {}
        for output in self.tool.outputs:
            if result.whole is not None:
                value = result.whole.get(output.name)
            else:
                files = add_name_fields(result.outputs.get(output.name, []))
                if output.evaluate is not None:
                    value = self.evaluate_text(output.evaluate, files)
                elif matches_type(files, output.type) and isinstance(output.type, dict):
                    value = files
                else:
                    value = files if matches_type(files, output.type) else files[0] if len(files) == 1 else None
                    if value is None and files:
                        raise FlowError(f"{self.where}/{output.name}: {len(files)} files, where one is expected")
            if not matches_type(value, output.type):
                raise FlowError(
                    f"{self.where}/{output.name}: expected {describe_type(output.type)}"
                    + ("" if value is not None else ", found nothing")
                )
            outputs[output.name] = value
        return outputs

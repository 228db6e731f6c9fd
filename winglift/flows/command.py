"""From a tool and its inputs to one task's command, and from what the command left to the tool's outputs."""

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

OUT = f"{TASK_DIR}/out"
TMP = f"{TASK_DIR}/tmp"


@dataclass(frozen=True, slots=True)
class Size:
    """What a task takes of its machine; tasks of one job are alike in it."""

    cpus: float
    gpus: float
    memory_gb: float


@dataclass(slots=True)
class Made:
    work: TaskDescription
    size: Size
    blobs: dict[str, bytes] = field(default_factory=dict)  # contents to be uploaded, by digest


def dress(value: Any) -> Any:
    """Files with what expressions ask of their names."""
    if isinstance(value, dict):
        made = {k: dress(v) for k, v in value.items()}
        if made.get("class") == "File" and "basename" in made:
            root, ext = posixpath.splitext(made["basename"])
            made["nameroot"], made["nameext"] = root, ext
            if "path" in made:
                made["dirname"] = posixpath.dirname(made["path"])
        return made
    return [dress(v) for v in value] if isinstance(value, list) else value


class TaskBuilder:
    """Builds the command of one element."""

    def __init__(self, tool: Tool, inputs: dict[str, Any], evaluate: Evaluator, where: str) -> None:
        self.tool = tool
        self.where = where
        self._evaluate = evaluate
        self._files: dict[str, InputFile] = {}
        self._blobs: dict[str, bytes] = {}
        self._count = 0
        self.inputs = dress({name: self._place(value) for name, value in inputs.items()})
        self.runtime: dict[str, Any] = {"outdir": OUT, "tmpdir": TMP, "outdirSize": 1024, "tmpdirSize": 1024}

    def ask(self, text: Any, self_value: Any = None) -> Any:
        try:
            return self._evaluate(text, {"inputs": self.inputs, "self": self_value, "runtime": self.runtime})
        except ExpressionError as err:
            raise FlowError(f"{self.where}: {err}") from None

    def _text(self, text: str, what: str) -> str:
        value = self.ask(text)
        if not isinstance(value, str):
            raise FlowError(f"{self.where}: {what}: expected a text, got {value!r}")
        return value

    # -- files ---------------------------------------------------------------------------------

    def _blob(self, content: bytes) -> str:
        digest = hashlib.sha256(content).hexdigest()
        self._blobs[digest] = content
        return digest

    def _stage(self, value: dict[str, Any], folder: str) -> dict[str, Any]:
        """A file or folder, to lie in a folder."""
        name = value.get("basename") or ""
        if not name or "/" in name or name in (".", ".."):
            raise FlowError(f"{self.where}: no name for a file: {name!r}")
        path = f"{folder}/{name}"
        if value["class"] == "Directory":
            self._files[path] = InputFile(path)
            return value | {"path": path, "listing": [self._stage(v, path) for v in value.get("listing") or []]}
        location = value.get("location", "")
        if location.startswith(UPLOAD_PREFIX):
            self._files[path] = InputFile(path, location.removeprefix(UPLOAD_PREFIX))
        elif isinstance(value.get("contents"), str):
            self._files[path] = InputFile(path, self._blob(value["contents"].encode()))
        else:
            raise FlowError(f"{self.where}: {name}: neither content nor upload")
        return value | {"path": path}

    def _place(self, value: Any) -> Any:
        """Each input file gets a folder of its own: names may be equal."""
        if isinstance(value, dict):
            if value.get("class") in ("File", "Directory"):
                self._count += 1
                return self._stage(value, f"{TASK_DIR}/in/{self._count}")
            return {k: self._place(v) for k, v in value.items()}
        return [self._place(v) for v in value] if isinstance(value, list) else value

    def _initial(self) -> None:
        """InitialWorkDirRequirement: what lies in the output folder before the command starts."""
        for item in self.tool.staged:
            value = self.ask(item.entry)
            name = self._text(item.name, "entryname") if item.name is not None else None
            if value is None:
                continue
            for entry in value if isinstance(value, list) else [value]:
                if isinstance(entry, dict) and entry.get("class") in ("File", "Directory"):
                    old = entry.get("path")
                    staged = self._stage(entry | ({"basename": name} if name else {}), OUT)
                    if old:
                        self.inputs = self._moved(self.inputs, old, staged)
                elif name is None:
                    raise FlowError(f"{self.where}: a text in the work folder needs an entryname")
                else:
                    text = entry if isinstance(entry, str) else msgspec.json.encode(entry).decode()
                    self._stage({"class": "File", "basename": name, "contents": text}, OUT)

    def _moved(self, value: Any, old: str, new: dict[str, Any]) -> Any:
        if isinstance(value, dict):
            if value.get("path") == old:
                self._files.pop(old, None)
                return dress(new)
            return {k: self._moved(v, old, new) for k, v in value.items()}
        return [self._moved(v, old, new) for v in value] if isinstance(value, list) else value

    # -- the command line ----------------------------------------------------------------------

    def _position(self, binding: Binding, value: Any) -> int:
        position = self.ask(binding.position, value)
        if position is None:
            return 0
        if not isinstance(position, int):
            raise FlowError(f"{self.where}: position: expected a whole number, got {position!r}")
        return position

    def _plain(self, value: Any) -> str:
        if isinstance(value, dict):
            if "path" not in value:
                raise FlowError(f"{self.where}: a record without bindings can't stand on a command line")
            return value["path"]
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, float) and value.is_integer() and abs(value) < 1e15:
            return f"{value:.1f}"
        return str(value)

    def _bound(self, binding: Binding, value: Any, param: Param | None = None) -> list[str]:
        """The words that a value gives."""
        if binding.value_from is not None and (value is not None or param is None):
            value = self.ask(binding.value_from, value)
        prefix = binding.prefix
        if value is None or value is False:
            return []
        if value is True:
            return [prefix] if prefix else []
        if isinstance(value, list):
            if not value:
                return []
            if binding.item_separator is not None:
                value = binding.item_separator.join(self._plain(v) for v in value)
            else:
                each = param.items if param is not None else None
                words = [w for v in value for w in (self._bound(each, v) if each else [self._plain(v)])]
                return ([prefix] if prefix else []) + words
        if isinstance(value, dict) and "path" not in value:
            fields = param.fields if param is not None else {}
            keyed = sorted((self._position(b, value.get(f)), f) for f, b in fields.items())
            words = [w for _, f in keyed for w in self._bound(fields[f], value.get(f))]
            return ([prefix] if prefix else []) + words
        word = self._plain(value)
        if prefix is None:
            return [word]
        return [prefix, word] if binding.separate else [prefix + word]

    def _command(self) -> list[str]:
        words: list[tuple[tuple[int, int, int, str], list[str]]] = []
        for number, binding in enumerate(self.tool.arguments):
            words.append(((self._position(binding, None), 0, number, ""), self._bound(binding, None)))
        for param in self.tool.inputs:
            value = self.inputs.get(param.name)
            shown = param.binding
            if shown is None and (param.items or param.fields):
                shown = Binding()
            if shown is not None and value is not None:
                words.append(((self._position(shown, value), 1, 0, param.name), self._bound(shown, value, param)))
        command = [*self.tool.base, *(w for _, found in sorted(words, key=lambda x: x[0]) for w in found)]
        if not command:
            raise FlowError(f"{self.where}: an empty command")
        return command

    def _amount(self, text: float | str, what: str) -> float:
        value = self.ask(text) if isinstance(text, str) else text
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value) or value < 0:
            raise FlowError(f"{self.where}: {what}: expected an amount, got {value!r}")
        return float(value)

    def build(self) -> Made:
        tool = self.tool
        size = Size(
            self._amount(tool.cpus, "cores"), self._amount(tool.gpus, "GPUs"), self._amount(tool.memory_gb, "memory")
        )
        self.runtime |= {"cores": math.ceil(size.cpus), "ram": math.ceil(size.memory_gb * 1024)}
        self._initial()
        work = TaskDescription(
            command=self._command(),
            env={name: self._text(text, f"variable {name}") for name, text in tool.env.items()},
            files=list(self._files.values()),
            stdin=self._text(tool.stdin, "stdin") if tool.stdin else None,
            stdout=self._text(tool.stdout, "stdout") if tool.stdout else None,
            stderr=self._text(tool.stderr, "stderr") if tool.stderr else None,
            success=tool.success,
            time_s=self._amount(tool.time_s, "time limit"),
            outputs=[Output(o.name, None, self._globs(o), o.load) for o in tool.outputs],
        )
        return Made(work, size, self._blobs)

    def _globs(self, output: Output) -> list[str]:
        found: list[str] = []
        for text in output.glob:
            value = self.ask(text)
            for pattern in value if isinstance(value, list) else [value]:
                if not isinstance(pattern, str):
                    raise FlowError(f"{self.where}/{output.name}: glob: expected a text, got {pattern!r}")
                found.append(pattern.removeprefix(f"{OUT}/"))
        return found

    def collect(self, found: TaskResult) -> dict[str, Any]:
        """The tool's outputs. Raises FlowError where they are not of their types."""
        self.runtime |= {"exitCode": found.code}
        made = {}
        for output in self.tool.outputs:
            if found.whole is not None:
                value = found.whole.get(output.name)
            else:
                files = dress(found.outputs.get(output.name, []))
                if output.evaluate is not None:
                    value = self.ask(output.evaluate, files)
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
            made[output.name] = value
        return made

"""CWL's parameter references and expressions.

References are evaluated here. Where a process asks for JavaScript, an embedded engine does it, in a context of its own
for each process, with bounds on time, memory and stack, and without clock and random numbers: an expression gives the
same value on every node that continues a workflow.
"""

from __future__ import annotations

import re
from collections import OrderedDict
from typing import Any

import msgspec

from .. import constants

_SEGMENT = re.compile(r"\.(\w+)|\['((?:[^'\\]|\\.)*)'\]|\[\"((?:[^\"\\]|\\.)*)\"\]|\[(\d+)\]")
_REFERENCE = re.compile(r"(\w+)((?:\.\w+|\['(?:[^'\\]|\\.)*'\]|\[\"(?:[^\"\\]|\\.)*\"\]|\[\d+\])*)\Z")
_ESCAPE = re.compile(r"\\(.)")


class ExpressionError(Exception):
    """An expression that can't be evaluated; its text names it."""


class ExpressionTimeout(ExpressionError):
    """It went on past its bound of time."""


def needs_evaluation(text: Any) -> bool:
    return isinstance(text, str) and ("$(" in text or "${" in text)


def _close(text: str, at: int) -> int:
    """Index after the bracket that closes the one at `at`, minding strings."""
    opening, closing = text[at], {"(": ")", "{": "}"}[text[at]]
    depth, quote, i = 0, "", at
    while i < len(text):
        char = text[i]
        if quote:
            if char == "\\":
                i += 1
            elif char == quote:
                quote = ""
        elif char in "\"'":
            quote = char
        elif char == opening:
            depth += 1
        elif char == closing:
            depth -= 1
            if depth == 0:
                return i + 1
        i += 1
    raise ExpressionError(f"{text}: a bracket is not closed")


def parts(text: str) -> list[tuple[bool, str]]:
    """(is an expression, text) in order; expressions keep their leading $."""
    found: list[tuple[bool, str]] = []
    plain, i = "", 0
    while i < len(text):
        if text[i] == "\\" and text[i + 1 : i + 3] in ("$(", "${"):
            plain += text[i + 1 : i + 3]
            i += 3
        elif text[i] == "\\" and text[i + 1 : i + 2] == "\\":
            plain += "\\"
            i += 2
        elif text[i : i + 2] in ("$(", "${"):
            if plain:
                found.append((False, plain))
                plain = ""
            end = _close(text, i + 1)
            found.append((True, text[i:end]))
            i = end
        else:
            plain += text[i]
            i += 1
    if plain:
        found.append((False, plain))
    return found


def _refer(path: str, names: dict[str, Any], whole: str) -> Any:
    match = _REFERENCE.match(path)
    if match is None:
        raise ExpressionError(f"{whole}: not a parameter reference, and the process does not ask for JavaScript")
    if match[1] not in names:
        if match[1] == "null" and not match[2]:
            return None
        raise ExpressionError(f"{whole}: no such name {match[1]}")
    value = names[match[1]]
    rest = match[2]
    for segment in _SEGMENT.finditer(rest):
        name = segment[1] or segment[2] or segment[3]
        if segment[4] is not None:
            if not isinstance(value, list) or int(segment[4]) >= len(value):
                raise ExpressionError(f"{whole}: no element {segment[4]}")
            value = value[int(segment[4])]
            continue
        name = _ESCAPE.sub(r"\1", name or "")
        if name == "length" and isinstance(value, list) and segment.end() == len(rest):
            value = len(value)
        elif isinstance(value, dict) and name in value:
            value = value[name]
        else:
            raise ExpressionError(f"{whole}: no field {name}")
    return value


_LOCKED = "delete globalThis.Date; Math.random = undefined;"


class JavaScriptEngine:
    """JavaScript contexts, a few, by their library."""

    def __init__(
        self, time_s: float = constants.EXPRESSION_CPU_TIMEOUT_S, memory_mb: float = constants.EXPRESSION_MEMORY_MAX_MB
    ) -> None:
        self.time_s = time_s
        self.memory_mb = memory_mb
        self._contexts: OrderedDict[tuple[str, ...], Any] = OrderedDict()

    def _context(self, library: tuple[str, ...]) -> Any:
        import quickjs

        found = self._contexts.get(library)
        if found is None:
            found = quickjs.Context()
            found.set_memory_limit(int(self.memory_mb * 2**20))
            found.set_time_limit(self.time_s)
            found.eval(_LOCKED)
            for text in library:
                found.eval(text)
            self._contexts[library] = found
            while len(self._contexts) > constants.EXPRESSION_CONTEXTS_MAX:
                self._contexts.popitem(last=False)
        return found

    def run(self, code: str, names: dict[str, Any], library: tuple[str, ...], whole: str) -> Any:
        import quickjs

        given = "".join(f"var {n} = {msgspec.json.encode(v).decode()};" for n, v in names.items())
        # A function of its own: what an expression declares is gone when it ends.
        text = f'(function() {{ "use strict"; {given} return JSON.stringify((function() {{ {code} }})()); }})()'
        try:
            result = self._context(library).eval(text)
        except quickjs.JSException as err:
            # After an error of any kind the context may hold what was left half done.
            self._contexts.pop(library, None)
            why = str(err).splitlines()[0]
            if "interrupted" in why:
                raise ExpressionTimeout(f"{whole}: did not end within {self.time_s:g} s") from None
            raise ExpressionError(f"{whole}: {why}") from None
        return None if result is None else msgspec.json.decode(result)


class Evaluator:
    """Evaluates the texts of one process."""

    def __init__(
        self, javascript_engine: JavaScriptEngine, javascript: bool, library: list[str] | tuple[str, ...] = ()
    ) -> None:
        self._engines = javascript_engine
        self._javascript = javascript
        self._library = tuple(library)

    def _one(self, text: str, names: dict[str, Any]) -> Any:
        if text.startswith("${"):
            if not self._javascript:
                raise ExpressionError(f"{text}: the process does not ask for JavaScript")
            return self._engines.run(text[2:-1], names, self._library, text)
        inner = text[2:-1].strip()
        if not self._javascript or (_REFERENCE.match(inner) and inner.split(".")[0].split("[")[0] in names):
            try:
                return _refer(inner, names, text)
            except ExpressionError:
                if not self._javascript:
                    raise
        return self._engines.run(f"return ({inner});", names, self._library, text)

    def __call__(self, text: Any, names: dict[str, Any]) -> Any:
        """The value of a text that may hold expressions; alone, an expression keeps its type."""
        if not isinstance(text, str):
            return text
        if not needs_evaluation(text):
            return text.replace("\\\\", "\\") if "\\\\" in text else text
        found = parts(text.strip() if text.strip().startswith(("$(", "${")) else text)
        if len(found) == 1 and found[0][0]:
            return self._one(found[0][1], names)
        made = ""
        for is_expression, part in found:
            value = self._one(part, names) if is_expression else part
            made += value if isinstance(value, str) else msgspec.json.encode(value).decode()
        return made

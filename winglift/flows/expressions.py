"""CWL parameter references and expressions.

Parameter references are resolved here. If a process requires JavaScript, an embedded interpreter evaluates its
expressions, with one context for each expression library and limits on time, memory and stack. There is no clock and no
random number generator, so that an expression has the same value on every node that continues the workflow.
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
    """An expression can't be evaluated; the message contains it."""


class ExpressionTimeout(ExpressionError):
    """An expression exceeded its time limit."""


def needs_evaluation(text: Any) -> bool:
    """Whether the value is a text with parameter references or expressions."""
    return isinstance(text, str) and ("$(" in text or "${" in text)


def _bracket_end(text: str, start: int) -> int:
    """Index after the bracket that closes the one at `start`; brackets in quotes don't count."""
    opening, closing = text[start], {"(": ")", "{": "}"}[text[start]]
    depth, quote, i = 0, "", start
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


def split_expressions(text: str) -> list[tuple[bool, str]]:
    """Split a text into pairs (is an expression, text), in order; expressions keep their leading $."""
    parts: list[tuple[bool, str]] = []
    literal, i = "", 0
    while i < len(text):
        if text[i] == "\\" and text[i + 1 : i + 3] in ("$(", "${"):
            literal += text[i + 1 : i + 3]
            i += 3
        elif text[i] == "\\" and text[i + 1 : i + 2] == "\\":
            literal += "\\"
            i += 2
        elif text[i : i + 2] in ("$(", "${"):
            if literal:
                parts.append((False, literal))
                literal = ""
            end = _bracket_end(text, i + 1)
            parts.append((True, text[i:end]))
            i = end
        else:
            literal += text[i]
            i += 1
    if literal:
        parts.append((False, literal))
    return parts


def _resolve_reference(reference: str, names: dict[str, Any], expression: str) -> Any:
    match = _REFERENCE.match(reference)
    if match is None:
        raise ExpressionError(f"{expression}: not a parameter reference, and the process does not ask for JavaScript")
    if match[1] not in names:
        if match[1] == "null" and not match[2]:
            return None
        raise ExpressionError(f"{expression}: no such name {match[1]}")
    value = names[match[1]]
    rest = match[2]
    for segment in _SEGMENT.finditer(rest):
        name = segment[1] or segment[2] or segment[3]
        if segment[4] is not None:
            if not isinstance(value, list) or int(segment[4]) >= len(value):
                raise ExpressionError(f"{expression}: no element {segment[4]}")
            value = value[int(segment[4])]
            continue
        name = _ESCAPE.sub(r"\1", name or "")
        if name == "length" and isinstance(value, list) and segment.end() == len(rest):
            value = len(value)
        elif isinstance(value, dict) and name in value:
            value = value[name]
        else:
            raise ExpressionError(f"{expression}: no field {name}")
    return value


_REMOVE_CLOCK_AND_RANDOM = "delete globalThis.Date; Math.random = undefined;"


class JavaScriptEngine:
    """The JavaScript interpreter: a few contexts, each kept for one expression library."""

    def __init__(
        self, time_s: float = constants.EXPRESSION_CPU_TIMEOUT_S, memory_mb: float = constants.EXPRESSION_MEMORY_MAX_MB
    ) -> None:
        self.time_s = time_s
        self.memory_mb = memory_mb
        self._contexts: OrderedDict[tuple[str, ...], Any] = OrderedDict()

    def _context(self, library: tuple[str, ...]) -> Any:
        import quickjs

        context = self._contexts.get(library)
        if context is None:
            context = quickjs.Context()
            context.set_memory_limit(int(self.memory_mb * 2**20))
            context.set_time_limit(self.time_s)
            context.eval(_REMOVE_CLOCK_AND_RANDOM)
            for text in library:
                context.eval(text)
            self._contexts[library] = context
            while len(self._contexts) > constants.EXPRESSION_CONTEXTS_MAX:
                self._contexts.popitem(last=False)
        return context

    def run(self, code: str, names: dict[str, Any], library: tuple[str, ...], expression: str) -> Any:
        """Run the body of a function with these variables; `expression` is named in errors."""
        import quickjs

        declarations = "".join(f"var {n} = {msgspec.json.encode(v).decode()};" for n, v in names.items())
        # Wrapped in a function, so that the expression's declarations end with it.
        script = (
            f'(function() {{ "use strict"; {declarations} return JSON.stringify((function() {{ {code} }})()); }})()'
        )
        try:
            result = self._context(library).eval(script)
        except quickjs.JSException as err:
            # An error may have left the context in an inconsistent state.
            self._contexts.pop(library, None)
            reason = str(err).splitlines()[0]
            if "interrupted" in reason:
                raise ExpressionTimeout(f"{expression}: did not end within {self.time_s:g} s") from None
            raise ExpressionError(f"{expression}: {reason}") from None
        return None if result is None else msgspec.json.decode(result)


class Evaluator:
    """Evaluates the parameter references and expressions of one process."""

    def __init__(
        self, javascript_engine: JavaScriptEngine, javascript: bool, library: list[str] | tuple[str, ...] = ()
    ) -> None:
        self._engines = javascript_engine
        self._javascript = javascript
        self._library = tuple(library)

    def _evaluate_expression(self, text: str, names: dict[str, Any]) -> Any:
        if text.startswith("${"):
            if not self._javascript:
                raise ExpressionError(f"{text}: the process does not ask for JavaScript")
            return self._engines.run(text[2:-1], names, self._library, text)
        code = text[2:-1].strip()
        if not self._javascript or (_REFERENCE.match(code) and code.split(".")[0].split("[")[0] in names):
            try:
                return _resolve_reference(code, names, text)
            except ExpressionError:
                if not self._javascript:
                    raise
        return self._engines.run(f"return ({code});", names, self._library, text)

    def __call__(self, text: Any, names: dict[str, Any]) -> Any:
        """The value of a text with expressions. A single expression keeps its type; else it becomes a string."""
        if not isinstance(text, str):
            return text
        if not needs_evaluation(text):
            return text.replace("\\\\", "\\") if "\\\\" in text else text
        parts = split_expressions(text.strip() if text.strip().startswith(("$(", "${")) else text)
        if len(parts) == 1 and parts[0][0]:
            return self._evaluate_expression(parts[0][1], names)
        result = ""
        for is_expression, part in parts:
            value = self._evaluate_expression(part, names) if is_expression else part
            result += value if isinstance(value, str) else msgspec.json.encode(value).decode()
        return result

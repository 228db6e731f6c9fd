"""What stands against a document or an order, with file and line."""

from __future__ import annotations

import pathlib
import re


class Place:
    """Lines of the files that were read, found by what stands there."""

    def __init__(self) -> None:
        self._lines: dict[str, list[str]] = {}

    def at(self, file: str, *tokens: str) -> str:
        """ "file:line" of the last of the tokens, each looked for below the one before; the file alone if none is."""
        lines = self._read(file)
        found = None
        for token in tokens:
            pattern = re.compile(rf"(?<![\w.]){re.escape(token)}(?!\w)")
            for number in range(found or 0, len(lines)):
                if pattern.search(lines[number].split(" #")[0]):
                    found = number
                    break
        return file if found is None else f"{file}:{found + 1}"

    def holding(self, file: str, text: str) -> str | None:
        """ "file:line" of the first line that holds a text as it stands."""
        return next((f"{file}:{n}" for n, line in enumerate(self._read(file), 1) if text in line), None)

    def _read(self, file: str) -> list[str]:
        if file not in self._lines:
            try:
                self._lines[file] = pathlib.Path(file).read_text(encoding="utf-8").splitlines()
            except (OSError, UnicodeDecodeError):
                self._lines[file] = []
        return self._lines[file]


class CwlError(Exception):
    """A document or an order that is wrong: exit code 1."""


class Unsupported(CwlError):
    """A feature that is not supported: exit code 33."""


def said(err: Exception, file: str) -> str:
    """One line of a validator's report: its innermost finding with the place."""
    lines = [line.strip() for line in str(err).splitlines() if line.strip()]
    placed = [line for line in lines if re.match(r".*\.(cwl|yml|yaml|json):\d+", line)]
    text = (placed or lines or [repr(err)])[-1]
    rest = lines[lines.index(text) + 1 : lines.index(text) + 2]
    shown = " ".join([text, *rest]).replace("file://", "")
    return shown if file in shown else f"{file}: {shown}"

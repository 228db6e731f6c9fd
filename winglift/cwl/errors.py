"""Errors in documents and orders, and the file and line that they name."""

from __future__ import annotations

import pathlib
import re


class SourceLocator:
    """Finds the line of a text in the files that were read."""

    def __init__(self) -> None:
        self._lines: dict[str, list[str]] = {}

    def locate(self, file: str, *tokens: str) -> str:
        """Returns "file:line" of the last token that is found; the search for each token begins at the line of the one
        before. Returns the file alone if no token is found."""
        lines = self._read(file)
        last = None
        for token in tokens:
            pattern = re.compile(rf"(?<![\w.]){re.escape(token)}(?!\w)")
            for index in range(last or 0, len(lines)):
                if pattern.search(lines[index].split(" #")[0]):
                    last = index
                    break
        return file if last is None else f"{file}:{last + 1}"

    def locate_text(self, file: str, text: str) -> str | None:
        """Returns "file:line" of the first line that contains a text literally; None if there is none."""
        return next((f"{file}:{n}" for n, line in enumerate(self._read(file), 1) if text in line), None)

    def _read(self, file: str) -> list[str]:
        if file not in self._lines:
            try:
                self._lines[file] = pathlib.Path(file).read_text(encoding="utf-8").splitlines()
            except (OSError, UnicodeDecodeError):
                self._lines[file] = []
        return self._lines[file]


class CwlError(Exception):
    """A document or an order is invalid: exit code 1."""


class Unsupported(CwlError):
    """A document or an order uses an unsupported feature: exit code 33."""


def validation_message(err: Exception, file: str) -> str:
    """The most specific message of a validation error, with its file, as one line."""
    lines = [line.strip() for line in str(err).splitlines() if line.strip()]
    with_position = [line for line in lines if re.match(r".*\.(cwl|yml|yaml|json):\d+", line)]
    text = (with_position or lines or [repr(err)])[-1]
    continuation = lines[lines.index(text) + 1 : lines.index(text) + 2]
    message = " ".join([text, *continuation]).replace("file://", "")
    return message if file in message else f"{file}: {message}"

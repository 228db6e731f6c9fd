"""Reads orders: users' input values, in which files are replaced by references to their content."""

from __future__ import annotations

import hashlib
import pathlib
from typing import Any
from urllib.parse import unquote, urlparse

from ..flows.values import describe_type, matches_type
from ..wire.flows import UPLOAD_PREFIX, Param
from .errors import CwlError, SourceLocator, Unsupported
from .types import UNSUPPORTED_FIELDS


class FileResolver:
    """Replaces paths in File and Directory objects by SHA-256 digests. `blobs` holds the contents to be uploaded."""

    def __init__(self) -> None:
        self.blobs: dict[str, bytes] = {}

    def add_blob(self, content: bytes) -> str:
        """Adds a content to `blobs`; returns its digest."""
        digest = hashlib.sha256(content).hexdigest()
        self.blobs[digest] = content
        return digest

    def resolve(self, value: Any, file: str, source_line: str) -> Any:
        """Resolves all files in a value. Paths are relative to `file`; errors name `source_line`."""
        if isinstance(value, list):
            return [self.resolve(v, file, source_line) for v in value]
        if not isinstance(value, dict):
            return value
        if value.get("class") == "File":
            return self._resolve_file(value, file, source_line)
        if value.get("class") == "Directory":
            return self._resolve_directory(value, file, source_line)
        return {str(k): self.resolve(v, file, source_line) for k, v in value.items()}

    def _local_path(self, value: dict[str, Any], file: str, source_line: str) -> pathlib.Path:
        location = value.get("path") or value.get("location")
        if not isinstance(location, str):
            raise CwlError(f"{source_line}: a {value['class']} without path, location, contents or listing")
        url = urlparse(location)
        if url.scheme not in ("", "file"):
            raise Unsupported(f"{source_line}: {location}: not a local file")
        return pathlib.Path(file).parent / unquote(url.path if url.scheme else location)

    def _resolve_file(self, value: dict[str, Any], file: str, source_line: str) -> dict[str, Any]:
        for feature in UNSUPPORTED_FIELDS:
            if value.get(feature):
                raise Unsupported(f"{source_line}: {feature}")
        if isinstance(value.get("contents"), str):
            content, name = value["contents"].encode(), value.get("basename") or "contents"
        else:
            path = self._local_path(value, file, source_line)
            try:
                content = path.read_bytes()
            except OSError as err:
                raise CwlError(f"{source_line}: {path}: {err.strerror or err}") from None
            name = value.get("basename") or path.name
        return self._file_object(content, name)

    def _file_object(self, content: bytes, name: str) -> dict[str, Any]:
        return {
            "class": "File",
            "basename": name,
            "location": f"{UPLOAD_PREFIX}{self.add_blob(content)}",
            "size": len(content),
            "checksum": f"sha1${hashlib.sha1(content).hexdigest()}",
        }

    def _resolve_directory(self, value: dict[str, Any], file: str, source_line: str) -> dict[str, Any]:
        if value.get("listing") is not None:
            return {
                "class": "Directory",
                "basename": value.get("basename") or "folder",
                "listing": [self.resolve(v, file, source_line) for v in value["listing"]],
            }
        path = self._local_path(value, file, source_line)
        if not path.is_dir():
            raise CwlError(f"{source_line}: {path}: no such folder")
        return self._read_directory(path, value.get("basename") or path.name)

    def _read_directory(self, path: pathlib.Path, name: str) -> dict[str, Any]:
        listing = [
            self._read_directory(p, p.name) if p.is_dir() else self._file_object(p.read_bytes(), p.name)
            for p in sorted(path.iterdir())
        ]
        return {"class": "Directory", "basename": name, "listing": listing}


def read_order(
    content: Any, file: str, params: list[Param], resolver: FileResolver, locator: SourceLocator
) -> dict[str, Any]:
    """Checks an order's content against a workflow's inputs and resolves its files. Errors name file and line."""
    if content is None:
        content = {}
    if not isinstance(content, dict):
        raise CwlError(f"{file}: expected an object of inputs")
    for name in content:
        if str(name).startswith("cwl:"):
            raise Unsupported(f"{locator.locate(file, str(name))}: {name}")
    order: dict[str, Any] = {}
    for param in params:
        source_line = locator.locate(file, param.name)
        value = resolver.resolve(content.get(param.name), file, source_line)
        if value is None and param.default is not None:
            continue
        if value is None and not matches_type(None, param.type):
            raise CwlError(f"{file}: no value for {param.name}, {describe_type(param.type)}")
        if not matches_type(value, param.type):
            raise CwlError(f"{source_line}: {param.name}: expected {describe_type(param.type)}, got {value!r:.80}")
        order[param.name] = value
    unknown = [str(n) for n in content if n not in {p.name for p in params}]
    if unknown:
        raise CwlError(
            f"{locator.locate(file, unknown[0])}: no such input {unknown[0]}; "
            f"known are {', '.join(p.name for p in params)}"
        )
    return order

"""Values that users give: files are read once, and travel by their content."""

from __future__ import annotations

import hashlib
import pathlib
from typing import Any
from urllib.parse import unquote, urlparse

from ..flows.values import describe_type, matches_type
from ..wire.flows import UPLOAD_PREFIX, Param
from .errors import CwlError, Place, Unsupported
from .types import LEFT


class Resolver:
    """Turns File and Directory objects into ones by content; `blobs` is what is to be uploaded."""

    def __init__(self) -> None:
        self.blobs: dict[str, bytes] = {}

    def blob(self, content: bytes) -> str:
        digest = hashlib.sha256(content).hexdigest()
        self.blobs[digest] = content
        return digest

    def value(self, value: Any, file: str, where: str) -> Any:
        if isinstance(value, list):
            return [self.value(v, file, where) for v in value]
        if not isinstance(value, dict):
            return value
        if value.get("class") == "File":
            return self._file(value, file, where)
        if value.get("class") == "Directory":
            return self._folder(value, file, where)
        return {str(k): self.value(v, file, where) for k, v in value.items()}

    def _path(self, value: dict[str, Any], file: str, where: str) -> pathlib.Path:
        text = value.get("path") or value.get("location")
        if not isinstance(text, str):
            raise CwlError(f"{where}: a {value['class']} without path, location, contents or listing")
        url = urlparse(text)
        if url.scheme not in ("", "file"):
            raise Unsupported(f"{where}: {text}: a file that lies elsewhere")
        return pathlib.Path(file).parent / unquote(url.path if url.scheme else text)

    def _file(self, value: dict[str, Any], file: str, where: str) -> dict[str, Any]:
        for feature in LEFT:
            if value.get(feature):
                raise Unsupported(f"{where}: {feature}")
        if isinstance(value.get("contents"), str):
            content, name = value["contents"].encode(), value.get("basename") or "contents"
        else:
            path = self._path(value, file, where)
            try:
                content = path.read_bytes()
            except OSError as err:
                raise CwlError(f"{where}: {path}: {err.strerror or err}") from None
            name = value.get("basename") or path.name
        return self._made(content, name)

    def _made(self, content: bytes, name: str) -> dict[str, Any]:
        return {
            "class": "File",
            "basename": name,
            "location": f"{UPLOAD_PREFIX}{self.blob(content)}",
            "size": len(content),
            "checksum": f"sha1${hashlib.sha1(content).hexdigest()}",
        }

    def _folder(self, value: dict[str, Any], file: str, where: str) -> dict[str, Any]:
        if value.get("listing") is not None:
            return {
                "class": "Directory",
                "basename": value.get("basename") or "folder",
                "listing": [self.value(v, file, where) for v in value["listing"]],
            }
        path = self._path(value, file, where)
        if not path.is_dir():
            raise CwlError(f"{where}: {path}: no such folder")
        return self._tree(path, value.get("basename") or path.name)

    def _tree(self, path: pathlib.Path, name: str) -> dict[str, Any]:
        listing = [
            self._tree(p, p.name) if p.is_dir() else self._made(p.read_bytes(), p.name) for p in sorted(path.iterdir())
        ]
        return {"class": "Directory", "basename": name, "listing": listing}


def read_order(found: Any, file: str, params: list[Param], resolver: Resolver, place: Place) -> dict[str, Any]:
    """An order checked against a workflow's inputs. Raises CwlError naming file and line."""
    if found is None:
        found = {}
    if not isinstance(found, dict):
        raise CwlError(f"{file}: expected an object of inputs")
    for name in found:
        if str(name).startswith("cwl:"):
            raise Unsupported(f"{place.at(file, str(name))}: {name}")
    order: dict[str, Any] = {}
    for param in params:
        where = place.at(file, param.name)
        value = resolver.value(found.get(param.name), file, where)
        if value is None and param.default is not None:
            continue
        if value is None and not matches_type(None, param.type):
            raise CwlError(f"{file}: no value for {param.name}, {describe_type(param.type)}")
        if not matches_type(value, param.type):
            raise CwlError(f"{where}: {param.name}: expected {describe_type(param.type)}, got {value!r:.80}")
        order[param.name] = value
    unknown = [str(n) for n in found if n not in {p.name for p in params}]
    if unknown:
        raise CwlError(
            f"{place.at(file, unknown[0])}: no such input {unknown[0]}; known are {', '.join(p.name for p in params)}"
        )
    return order

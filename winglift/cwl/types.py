"""Types and bindings of parsed documents, normalised as plans hold them."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from cwl_utils.parser import cwl_v1_2 as cwl

from ..wire.flows import Binding
from .errors import CwlError, Unsupported

PLAIN = {"null", "boolean", "int", "long", "float", "double", "string", "File", "Directory", "Any"}
LEFT = ("secondaryFiles", "format")


def plain(value: Any) -> Any:
    """A value of the parsers, whose parts remember where and how they were written, as plain data."""
    if hasattr(value, "save"):
        return plain(value.save())
    if isinstance(value, dict):
        return {str(k): plain(v) for k, v in value.items()}
    if isinstance(value, list):
        return [plain(v) for v in value]
    for kind in (str, bool, int, float):
        if isinstance(value, kind):
            return kind(value)
    return value


def refuse(found: Any, features: Iterable[str], place: Callable[..., str], *tokens: str) -> None:
    """Raise Unsupported, naming the place, where one of these features is asked for."""
    for feature in features:
        asked = getattr(found, feature, None)
        if asked and (feature, asked) != ("loadListing", "no_listing"):
            raise Unsupported(f"{place(*tokens, feature)}: {feature}")


def short(identifier: str) -> str:
    """The last part of an id, which parsing has made a URI."""
    return identifier.rpartition("#")[2].rpartition("/")[2]


def kind(found: Any, where: str) -> Any:
    """A type as plans hold it. `where` names its place for errors."""
    if isinstance(found, list):
        made = [kind(f, where) for f in found]
        return made[0] if len(made) == 1 else made
    if isinstance(found, str):
        if found in PLAIN:
            return found
        if short(found) in PLAIN:
            return short(found)
        raise Unsupported(f"{where}: type {found} (SchemaDefRequirement)")
    name = getattr(found, "type_", None)
    if name == "array":
        return {"array": kind(found.items, where)}
    if name == "enum":
        return {"enum": [short(s) for s in found.symbols]}
    if name == "record":
        for field in found.fields or []:
            refuse(field, LEFT, lambda *_: where)
            if getattr(field, "outputBinding", None):
                raise Unsupported(f"{where}: outputBinding of a record's field")
        return {"record": {short(f.name): kind(f.type_, where) for f in found.fields or []}}
    raise CwlError(f"{where}: no type: {found!r}")


def schemas(found: Any) -> list[Any]:
    """The type's own schemas, seen through options."""
    return [f for f in (found if isinstance(found, list) else [found]) if not isinstance(f, str)]


def binding(found: Any, where: str) -> Binding | None:
    if found is None:
        return None
    if getattr(found, "shellQuote", None) is False:
        raise Unsupported(f"{where}: shellQuote: false (ShellCommandRequirement)")
    position = getattr(found, "position", None)
    return Binding(
        0 if position is None else position,
        found.prefix,
        found.separate is not False,
        found.itemSeparator,
        found.valueFrom,
    )


def inner_bindings(found: Any, where: str) -> tuple[Binding | None, dict[str, Binding]]:
    """Bindings of an array's elements and of a record's fields."""
    items, fields = None, {}
    for schema in schemas(found):
        if schema.type_ == "array":
            items = binding(getattr(schema, "inputBinding", None), where) or items
            for deeper in schemas(schema.items):
                if getattr(deeper, "inputBinding", None) or any(
                    getattr(f, "inputBinding", None) for f in getattr(deeper, "fields", None) or []
                ):
                    raise Unsupported(f"{where}: inputBinding inside of an array's elements")
        elif schema.type_ == "record":
            for field in schema.fields or []:
                made = binding(field.inputBinding, where)
                if made is not None:
                    fields[short(field.name)] = made
                if any(getattr(d, "inputBinding", None) for d in schemas(field.type_)):
                    raise Unsupported(f"{where}: inputBinding inside of a record's field")
    return items, fields


def is_cwl(document: Any) -> bool:
    return isinstance(document, cwl.CommandLineTool | cwl.ExpressionTool | cwl.Workflow)

"""Converts types and bindings of parsed documents to the normalised form that plans have."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from cwl_utils.parser import cwl_v1_2 as cwl

from ..wire.flows import Binding
from .errors import CwlError, Unsupported

BASIC_TYPES = {"null", "boolean", "int", "long", "float", "double", "string", "File", "Directory", "Any"}
UNSUPPORTED_FIELDS = ("secondaryFiles", "format")


def to_plain_data(value: Any) -> Any:
    """Converts a value of the parsers, whose parts keep their source position and format, to built-in types."""
    if hasattr(value, "save"):
        return to_plain_data(value.save())
    if isinstance(value, dict):
        return {str(k): to_plain_data(v) for k, v in value.items()}
    if isinstance(value, list):
        return [to_plain_data(v) for v in value]
    for builtin in (str, bool, int, float):
        if isinstance(value, builtin):
            return builtin(value)
    return value


def reject_features(part: Any, features: Iterable[str], locate: Callable[..., str], *tokens: str) -> None:
    """Raises Unsupported with the source line if a part of a document uses one of these features."""
    for feature in features:
        value = getattr(part, feature, None)
        if value and (feature, value) != ("loadListing", "no_listing"):
            raise Unsupported(f"{locate(*tokens, feature)}: {feature}")


def short_name(identifier: str) -> str:
    """The last part of an identifier, which the parser has expanded to a URI."""
    return identifier.rpartition("#")[2].rpartition("/")[2]


def convert_type(cwl_type: Any, source_line: str) -> Any:
    """Converts a type to the form that plans have. Errors name `source_line`."""
    if isinstance(cwl_type, list):
        members = [convert_type(member, source_line) for member in cwl_type]
        return members[0] if len(members) == 1 else members
    if isinstance(cwl_type, str):
        if cwl_type in BASIC_TYPES:
            return cwl_type
        if short_name(cwl_type) in BASIC_TYPES:
            return short_name(cwl_type)
        raise Unsupported(f"{source_line}: type {cwl_type} (SchemaDefRequirement)")
    name = getattr(cwl_type, "type_", None)
    if name == "array":
        return {"array": convert_type(cwl_type.items, source_line)}
    if name == "enum":
        return {"enum": [short_name(s) for s in cwl_type.symbols]}
    if name == "record":
        for field in cwl_type.fields or []:
            reject_features(field, UNSUPPORTED_FIELDS, lambda *_: source_line)
            if getattr(field, "outputBinding", None):
                raise Unsupported(f"{source_line}: outputBinding of a record's field")
        return {
            "record": {
                short_name(member.name): convert_type(member.type_, source_line) for member in cwl_type.fields or []
            }
        }
    raise CwlError(f"{source_line}: no type: {cwl_type!r}")


def inline_schemas(cwl_type: Any) -> list[Any]:
    """The array, enum and record schemas of a type; of a union, those of its members."""
    return [m for m in (cwl_type if isinstance(cwl_type, list) else [cwl_type]) if not isinstance(m, str)]


def convert_binding(input_binding: Any, source_line: str) -> Binding | None:
    """Converts an inputBinding to the form that plans have."""
    if input_binding is None:
        return None
    if getattr(input_binding, "shellQuote", None) is False:
        raise Unsupported(f"{source_line}: shellQuote: false (ShellCommandRequirement)")
    position = getattr(input_binding, "position", None)
    return Binding(
        0 if position is None else position,
        input_binding.prefix,
        input_binding.separate is not False,
        input_binding.itemSeparator,
        input_binding.valueFrom,
    )


def convert_inner_bindings(cwl_type: Any, source_line: str) -> tuple[Binding | None, dict[str, Binding]]:
    """The bindings of an array's elements and of a record's fields, by the fields' names."""
    items, fields = None, {}
    for schema in inline_schemas(cwl_type):
        if schema.type_ == "array":
            items = convert_binding(getattr(schema, "inputBinding", None), source_line) or items
            for item_schema in inline_schemas(schema.items):
                if getattr(item_schema, "inputBinding", None) or any(
                    getattr(f, "inputBinding", None) for f in getattr(item_schema, "fields", None) or []
                ):
                    raise Unsupported(f"{source_line}: inputBinding inside of an array's elements")
        elif schema.type_ == "record":
            for field in schema.fields or []:
                binding = convert_binding(field.inputBinding, source_line)
                if binding is not None:
                    fields[short_name(field.name)] = binding
                if any(getattr(s, "inputBinding", None) for s in inline_schemas(field.type_)):
                    raise Unsupported(f"{source_line}: inputBinding inside of a record's field")
    return items, fields


def is_process(document: Any) -> bool:
    """Whether a parsed document is a process of a class that is supported."""
    return isinstance(document, cwl.CommandLineTool | cwl.ExpressionTool | cwl.Workflow)

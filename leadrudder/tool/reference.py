"""Generates the reference of all fields from the model.

Usage: python -m leadrudder.tool.reference > docs/operators/fields.md
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from typing import Any

from leadrudder.tool.model import File

_BOUND_PHRASES = {
    "exclusiveMinimum": "more than",
    "minimum": "at least",
    "maximum": "at most",
    "maxLength": "characters at most",
    "pattern": "of the form",
}


def fields_page() -> str:
    """The reference as a Markdown page."""
    schema = File.model_json_schema()
    lines = [
        "# Fields of the operator's file",
        "",
        "Made from the model by `python -m leadrudder.tool.reference`; do not edit. Times are milliseconds.",
    ]
    for name, field in schema["properties"].items():
        lines += ["", *_section_lines(name, field, schema)]
    return "\n".join(lines) + "\n"


def _section_lines(name: str, field: dict[str, Any], schema: dict[str, Any]) -> Iterator[str]:
    target = field.get("items", field).get("$ref")
    if target is None:
        yield f"## `{name}`"
        yield ""
        yield f"{_type_text(field)}; {field.get('description', '')}. Required."
        return
    model = schema["$defs"][target.rpartition("/")[2]]
    required = name in schema["required"]
    yield f"## `[[{name}]]`" if "items" in field else f"## `[{name}]`"
    yield ""
    yield str(model["description"]) + (" At least one." if "items" in field and required else "")
    yield ""
    yield "| field | type | default | |"
    yield "| --- | --- | --- | --- |"
    for key, item in model["properties"].items():
        default = "required" if key in model.get("required", ()) else _default_text(item)
        yield f"| `{key}` | {_type_text(item)} | {default} | {item.get('description', '')} |"


def _default_text(item: dict[str, Any]) -> str:
    value = item.get("default")
    if value is None or value == [] or value == "":
        return "none"
    return f"`{str(value).lower() if isinstance(value, bool) else value}`"


def _type_text(item: dict[str, Any]) -> str:
    options = [option for option in item.get("anyOf", [item]) if option.get("type") != "null"]
    item = {**item, **options[0]}
    if "enum" in item:
        return " or ".join(f"`{value}`" for value in item["enum"])
    if "const" in item:
        return f"`{item['const']}`"
    if item["type"] == "array":
        return f"list of {_type_text(item['items'])}"
    bounds = [
        f"{phrase} `{item[key]}`".replace("|", "\\|") for key, phrase in _BOUND_PHRASES.items() if key in item
    ]
    return ", ".join([item["type"], *bounds])


if __name__ == "__main__":
    sys.stdout.write(fields_page())

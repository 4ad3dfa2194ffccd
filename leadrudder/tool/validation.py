"""Converts pydantic's validation errors to problems with a position, a reason and a correction."""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from typing import Any

from pydantic import BaseModel, ValidationError

from leadrudder.tool.problems import Problem
from leadrudder.tool.source import FieldPath, SourceFile

# By pydantic's error type: what the mistake means in service.
_WHY = {
    "missing": "There is no safe value for it.",
    "extra_forbidden": "What it was meant to set silently keeps its default.",
}
_DEFAULT_WHY = "A node that started with it would not do what the file says."


def field_name(path: FieldPath) -> str:
    """A path as text, such as route[2].repeat, with indices from 1."""
    text = ""
    for part in path:
        text += f"[{part + 1}]" if isinstance(part, int) else f".{part}" if text else part
    return text or "file"


def type_problems(
    source: SourceFile, error: ValidationError, model: type[BaseModel], default_why: str = _DEFAULT_WHY
) -> Iterable[Problem]:
    """One problem for each field that the model rejects; default_why is for error types not in _WHY."""
    reported = set()
    for item in error.errors(include_url=False):
        path = _path_in_file(source, tuple(item["loc"]))
        error_type = item["type"]
        what, right = item["msg"] + ".", "a value of that type and range"
        rule = "type"
        if error_type == "missing":
            rule, what, right = "missing", "is required but missing.", "a value"
        elif error_type == "extra_forbidden":
            rule, what = "unknown-key", "is not a known key here."
            known = _known_keys(model, path)
            close_matches = difflib.get_close_matches(str(path[-1]), known, 1)
            right = f"{close_matches[0]}?" if close_matches else f"one of {', '.join(known)}"
        elif error_type == "literal_error" and path == ("version",):
            rule, right = "version", "version = 1"
        if (path, rule) in reported:
            continue  # pydantic reports each alternative of a union; the first error is enough
        reported.add((path, rule))
        line, column = source.position(path)
        why = _WHY.get(error_type, default_why)
        yield Problem(source.name, line, column, field_name(path), rule, what, why, right)


def _path_in_file(source: SourceFile, path: FieldPath) -> FieldPath:
    """The path without the names of union alternatives, which pydantic appends to the field's path."""
    values: Any = source.values
    kept: list[str | int] = []
    for part in path:
        if isinstance(values, dict):
            kept.append(part)
            values = values.get(part)
        elif isinstance(values, list) and isinstance(part, int):
            kept.append(part)
            values = values[part] if part < len(values) else None
        else:
            break
    return tuple(kept)


def _known_keys(model: Any, path: FieldPath) -> list[str]:
    """The keys of the table that contains the path's last field."""
    for part in path[:-1]:
        if isinstance(part, int) or not (isinstance(model, type) and issubclass(model, BaseModel)):
            continue
        fields = {(info.alias or name): info.annotation for name, info in model.model_fields.items()}
        model = _model_of(fields.get(str(part)))
    if not (isinstance(model, type) and issubclass(model, BaseModel)):
        return []
    return [info.alias or name for name, info in model.model_fields.items()]


def _model_of(annotation: Any) -> Any:
    """The model in an annotation: its first type argument, or the annotation itself."""
    return next((a for a in getattr(annotation, "__args__", ()) if isinstance(a, type)), annotation)

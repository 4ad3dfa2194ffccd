"""Files of any typed model: what pydantic finds in them, as problems with a place, a cause and a cure."""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from typing import Any

from pydantic import BaseModel, ValidationError

from leadrudder.tool.problems import Problem
from leadrudder.tool.source import FieldPath, SourceFile

# What pydantic calls a mistake, and what it means in service.
_WHY = {
    "missing": "There is no safe value for it.",
    "extra_forbidden": "What it was meant to set keeps its default, and nobody notices.",
}
_ELSE = "A node that started with it would not do what the file says."


def field_name(path: FieldPath) -> str:
    """A path as it is written down: route[2].repeat, counted from 1."""
    text = ""
    for part in path:
        text += f"[{part + 1}]" if isinstance(part, int) else f".{part}" if text else part
    return text or "file"


def type_problems(
    source: SourceFile, error: ValidationError, model: type[BaseModel], otherwise: str = _ELSE
) -> Iterable[Problem]:
    """One problem for each thing that the model rejects; otherwise: why it matters, by default."""
    told = set()
    for item in error.errors(include_url=False):
        path = _in_file(source, tuple(item["loc"]))
        kind = item["type"]
        what, right = item["msg"] + ".", "a value of that form"
        rule = "type"
        if kind == "missing":
            rule, what, right = "missing", "is required and not there.", "a value"
        elif kind == "extra_forbidden":
            rule, what = "unknown-key", "is no key that is known here."
            known = _known(model, path)
            near = difflib.get_close_matches(str(path[-1]), known, 1)
            right = f"{near[0]}?" if near else f"one of {', '.join(known)}"
        elif kind == "literal_error" and path == ("version",):
            rule, right = "version", "version = 1"
        if (path, rule) in told:
            continue  # each form that a field may have finds its own fault with it; the first says enough
        told.add((path, rule))
        line, column = source.position(path)
        why = _WHY.get(kind, otherwise)
        yield Problem(source.name, line, column, field_name(path), rule, what, why, right)


def _in_file(source: SourceFile, path: FieldPath) -> FieldPath:
    """Without the names of alternatives, which pydantic puts behind the field that has them."""
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


def _known(model: Any, path: FieldPath) -> list[str]:
    """The keys of the table in which a path ends."""
    for part in path[:-1]:
        if isinstance(part, int) or not (isinstance(model, type) and issubclass(model, BaseModel)):
            continue
        fields = {(info.alias or name): info.annotation for name, info in model.model_fields.items()}
        model = _section(fields.get(str(part)))
    if not (isinstance(model, type) and issubclass(model, BaseModel)):
        return []
    return [info.alias or name for name, info in model.model_fields.items()]


def _section(annotation: Any) -> Any:
    """The model that an annotation holds: itself, or what its tuple is of."""
    return next((a for a in getattr(annotation, "__args__", ()) if isinstance(a, type)), annotation)

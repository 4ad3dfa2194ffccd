"""What a check finds in an operator's file."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from leadrudder.tool.model import File
from leadrudder.tool.source import FieldPath


@dataclass(frozen=True, slots=True)
class Finding:
    """A mistake and the path of its field."""

    path: FieldPath
    rule: str
    what: str
    why: str
    right: str


Check = Callable[[File], Iterator[Finding]]


def first_indices(names: list[str]) -> dict[str, int]:
    """The first index of each name."""
    index: dict[str, int] = {}
    for i, name in enumerate(names):
        index.setdefault(name, i)
    return index

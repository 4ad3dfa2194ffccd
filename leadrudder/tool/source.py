"""Reads an operator's file: bounded, whole, and with the line and column of every field.

Values come from tomllib, positions from the syntax tree of tree-sitter's TOML grammar: tomllib keeps none.
"""

from __future__ import annotations

import os
import re
import stat
import tomllib
from dataclasses import dataclass
from typing import Any

import tree_sitter_toml
from tree_sitter import Language, Node, Parser

MOST_BYTES = 1024 * 1024
MOST_DEPTH = 32  # of brackets: tomllib calls itself for each
TRIES = 3  # to read a file that is replaced meanwhile

FieldPath = tuple[str | int, ...]
Position = tuple[int, int]

_TOML = Language(tree_sitter_toml.language())
_AT = re.compile(r"\(at line (\d+), column (\d+)\)")


class UnreadableFileError(Exception):
    """A file that cannot be read, or is no TOML; place is where, if that is known."""

    def __init__(self, text: str, position: Position = (1, 1)) -> None:
        super().__init__(text)
        self.position = position


@dataclass(frozen=True)
class SourceFile:
    """A file's values, and where they stand."""

    name: str
    values: dict[str, Any]
    positions: dict[FieldPath, Position]

    def position(self, path: FieldPath) -> Position:
        """Line and column of a field, or of the nearest thing around it that is there."""
        for length in range(len(path), -1, -1):
            found = self.positions.get(path[:length])
            if found is not None:
                return found
        return (1, 1)


def read_source(name: str) -> SourceFile:
    """The file of this name; Unreadable with what is wrong."""
    data = _bytes(name)
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        raise UnreadableFileError(
            f"is not UTF-8: byte {error.start}", _position_of(data, error.start)
        ) from None
    return parse_source(name, text)


def parse_source(name: str, text: str) -> SourceFile:
    """The same for a text; Unreadable if it is no TOML."""
    depth = _depth(text)
    if depth > MOST_DEPTH:
        raise UnreadableFileError(f"is nested {depth} deep; at most {MOST_DEPTH} are read")
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        found = _AT.search(str(error))
        position = (int(found[1]), int(found[2])) if found else (text.count("\n") + 1, 1)
        raise UnreadableFileError(f"is no TOML: {_AT.sub('', str(error)).strip()}", position) from None
    except (RecursionError, ValueError) as error:
        raise UnreadableFileError(f"is no TOML: {error}") from None
    return SourceFile(name, values, _field_positions(text))


def _bytes(name: str) -> bytes:
    """The whole of one version of a file: one that is replaced or written to meanwhile is read again."""
    try:
        for _ in range(TRIES):
            with open(name, "rb", opener=_open) as file:
                before = os.fstat(file.fileno())
                if not stat.S_ISREG(before.st_mode):
                    raise UnreadableFileError("is not a regular file")
                if before.st_size > MOST_BYTES:
                    raise UnreadableFileError(f"holds {before.st_size} bytes; at most {MOST_BYTES} are read")
                data = file.read(MOST_BYTES + 1)
                after = os.fstat(file.fileno())
            if _same(before, after) and _same(before, os.stat(name)) and len(data) == before.st_size:
                return data
    except OSError as error:
        raise UnreadableFileError(f"cannot be read: {error.strerror}") from None
    raise UnreadableFileError(f"was changed each of {TRIES} times that it was read")


def _open(name: str, flags: int) -> int:
    # Without this a pipe of that name would hold the tool for good.
    return os.open(name, flags | os.O_NONBLOCK)


def _same(one: os.stat_result, other: os.stat_result) -> bool:
    return (one.st_dev, one.st_ino, one.st_size, one.st_mtime_ns) == (
        other.st_dev,
        other.st_ino,
        other.st_size,
        other.st_mtime_ns,
    )


def _position_of(data: bytes, offset: int) -> Position:
    before = data[:offset]
    return before.count(b"\n") + 1, offset - (before.rfind(b"\n") + 1) + 1


def _depth(text: str) -> int:
    """The deepest nesting of brackets, strings and comments counted in: it may only be too much."""
    depth = most = 0
    for character in text:
        if character in "[{":
            depth += 1
            most = max(most, depth)
        elif character in "]}" and depth:
            depth -= 1
    return most


# ---------------------------------------------------------------- positions


def _field_positions(text: str) -> dict[FieldPath, Position]:
    """Where each key and each element of an array stands."""
    positions: dict[FieldPath, Position] = {(): (1, 1)}
    counts: dict[FieldPath, int] = {}
    for node in Parser(_TOML).parse(text.encode()).root_node.children:
        if node.type == "pair":
            _pair(node, (), positions, counts)
        elif node.type in ("table", "table_array_element"):
            _table(node, positions, counts)
    return positions


def _put(positions: dict[FieldPath, Position], path: FieldPath, node: Node) -> None:
    row, column = node.start_point
    positions.setdefault(path, (row + 1, column + 1))


def _table(node: Node, positions: dict[FieldPath, Position], counts: dict[FieldPath, int]) -> None:
    keys = next((c for c in node.children if c.type.endswith("key")), None)
    if keys is None:
        return
    path: FieldPath = ()
    names = _names(keys)
    for i, name in enumerate(names):
        path = (*path, name)
        if node.type == "table_array_element" and i == len(names) - 1:
            counts[path] = counts.get(path, 0) + 1
        if path in counts:
            _put(positions, path, keys)
            path = (*path, counts[path] - 1)
        _put(positions, path, keys)
    for child in node.children:
        if child.type == "pair":
            _pair(child, path, positions, counts)


def _pair(
    node: Node, path: FieldPath, positions: dict[FieldPath, Position], counts: dict[FieldPath, int]
) -> None:
    keys, value = node.children[0], node.children[-1]
    for name in _names(keys):
        path = (*path, name)
        _put(positions, path, keys)
    _value(value, path, positions, counts)


def _value(
    node: Node, path: FieldPath, positions: dict[FieldPath, Position], counts: dict[FieldPath, int]
) -> None:
    if node.type == "inline_table":
        for child in node.children:
            if child.type == "pair":
                _pair(child, path, positions, counts)
    elif node.type == "array":
        elements = [c for c in node.children if c.type not in ("[", "]", ",", "comment")]
        for i, element in enumerate(elements):
            _put(positions, (*path, i), element)
            _value(element, (*path, i), positions, counts)


def _names(node: Node) -> list[str]:
    """The parts of a key."""
    if node.type == "dotted_key":
        return [name for child in node.children for name in _names(child)]
    text = (node.text or b"").decode()
    if node.type == "bare_key":
        return [text]
    if node.type == "quoted_key":
        try:
            return list(tomllib.loads(f"{text} = 0"))
        except tomllib.TOMLDecodeError:
            return [text]
    return []

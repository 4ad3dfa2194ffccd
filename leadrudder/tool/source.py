"""Reads an operator's file, with limits on its size and nesting, and records each field's line and column.

Values come from tomllib, positions from the syntax tree of tree-sitter's TOML grammar: tomllib records none.
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

MAX_FILE_BYTES = 1024 * 1024
MAX_NESTING_DEPTH = 32  # of brackets: tomllib recurses for each
MAX_READ_ATTEMPTS = 3  # of a file that is replaced or written to during the read

FieldPath = tuple[str | int, ...]
Position = tuple[int, int]

_TOML_LANGUAGE = Language(tree_sitter_toml.language())
_ERROR_POSITION = re.compile(r"\(at line (\d+), column (\d+)\)")


class UnreadableFileError(Exception):
    """A file that cannot be read or is not valid TOML; position is (1, 1) if it is not known."""

    def __init__(self, text: str, position: Position = (1, 1)) -> None:
        super().__init__(text)
        self.position = position


@dataclass(frozen=True)
class SourceFile:
    """A file's values and the positions of its fields."""

    name: str
    values: dict[str, Any]
    positions: dict[FieldPath, Position]

    def position(self, path: FieldPath) -> Position:
        """Line and column of a field, or of the closest enclosing element in the file."""
        for length in range(len(path), -1, -1):
            match = self.positions.get(path[:length])
            if match is not None:
                return match
        return (1, 1)


def read_source(name: str) -> SourceFile:
    """Read and parse the file of this name; raises UnreadableFileError."""
    data = _read_stable(name)
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        raise UnreadableFileError(
            f"is not UTF-8: byte {error.start}", _position_of(data, error.start)
        ) from None
    return parse_source(name, text)


def parse_source(name: str, text: str) -> SourceFile:
    """Parse a text; raises UnreadableFileError if it is not valid TOML."""
    depth = _max_nesting(text)
    if depth > MAX_NESTING_DEPTH:
        raise UnreadableFileError(f"is nested {depth} deep; at most {MAX_NESTING_DEPTH} are read")
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        match = _ERROR_POSITION.search(str(error))
        position = (int(match[1]), int(match[2])) if match else (text.count("\n") + 1, 1)
        raise UnreadableFileError(
            f"is not valid TOML: {_ERROR_POSITION.sub('', str(error)).strip()}", position
        ) from None
    except (RecursionError, ValueError) as error:
        raise UnreadableFileError(f"is not valid TOML: {error}") from None
    return SourceFile(name, values, _field_positions(text))


def _read_stable(name: str) -> bytes:
    """One consistent version of a file: it is read again if it was replaced or written to meanwhile."""
    try:
        for _ in range(MAX_READ_ATTEMPTS):
            with open(name, "rb", opener=_open_nonblocking) as file:
                before = os.fstat(file.fileno())
                if not stat.S_ISREG(before.st_mode):
                    raise UnreadableFileError("is not a regular file")
                if before.st_size > MAX_FILE_BYTES:
                    raise UnreadableFileError(
                        f"holds {before.st_size} bytes; at most {MAX_FILE_BYTES} are read"
                    )
                data = file.read(MAX_FILE_BYTES + 1)
                after = os.fstat(file.fileno())
            if (
                _same_version(before, after)
                and _same_version(before, os.stat(name))
                and len(data) == before.st_size
            ):
                return data
    except OSError as error:
        raise UnreadableFileError(f"cannot be read: {error.strerror}") from None
    raise UnreadableFileError(f"changed during each of {MAX_READ_ATTEMPTS} reads")


def _open_nonblocking(name: str, flags: int) -> int:
    # Without O_NONBLOCK, opening a pipe of that name would block forever.
    return os.open(name, flags | os.O_NONBLOCK)


def _same_version(first: os.stat_result, second: os.stat_result) -> bool:
    return (first.st_dev, first.st_ino, first.st_size, first.st_mtime_ns) == (
        second.st_dev,
        second.st_ino,
        second.st_size,
        second.st_mtime_ns,
    )


def _position_of(data: bytes, offset: int) -> Position:
    before = data[:offset]
    return before.count(b"\n") + 1, offset - (before.rfind(b"\n") + 1) + 1


def _max_nesting(text: str) -> int:
    """An upper bound on the nesting depth: brackets in strings and comments count, too."""
    depth = deepest = 0
    for character in text:
        if character in "[{":
            depth += 1
            deepest = max(deepest, depth)
        elif character in "]}" and depth:
            depth -= 1
    return deepest


# ---------------------------------------------------------------- positions


def _field_positions(text: str) -> dict[FieldPath, Position]:
    """The position of each key and each array element."""
    positions: dict[FieldPath, Position] = {(): (1, 1)}
    counts: dict[FieldPath, int] = {}
    for node in Parser(_TOML_LANGUAGE).parse(text.encode()).root_node.children:
        if node.type == "pair":
            _record_pair(node, (), positions, counts)
        elif node.type in ("table", "table_array_element"):
            _record_table(node, positions, counts)
    return positions


def _record(positions: dict[FieldPath, Position], path: FieldPath, node: Node) -> None:
    row, column = node.start_point
    positions.setdefault(path, (row + 1, column + 1))


def _record_table(node: Node, positions: dict[FieldPath, Position], counts: dict[FieldPath, int]) -> None:
    keys = next((c for c in node.children if c.type.endswith("key")), None)
    if keys is None:
        return
    path: FieldPath = ()
    names = _key_parts(keys)
    for i, name in enumerate(names):
        path = (*path, name)
        if node.type == "table_array_element" and i == len(names) - 1:
            counts[path] = counts.get(path, 0) + 1
        if path in counts:
            _record(positions, path, keys)
            path = (*path, counts[path] - 1)
        _record(positions, path, keys)
    for child in node.children:
        if child.type == "pair":
            _record_pair(child, path, positions, counts)


def _record_pair(
    node: Node, path: FieldPath, positions: dict[FieldPath, Position], counts: dict[FieldPath, int]
) -> None:
    keys, value = node.children[0], node.children[-1]
    for name in _key_parts(keys):
        path = (*path, name)
        _record(positions, path, keys)
    _record_value(value, path, positions, counts)


def _record_value(
    node: Node, path: FieldPath, positions: dict[FieldPath, Position], counts: dict[FieldPath, int]
) -> None:
    if node.type == "inline_table":
        for child in node.children:
            if child.type == "pair":
                _record_pair(child, path, positions, counts)
    elif node.type == "array":
        elements = [c for c in node.children if c.type not in ("[", "]", ",", "comment")]
        for i, element in enumerate(elements):
            _record(positions, (*path, i), element)
            _record_value(element, (*path, i), positions, counts)


def _key_parts(node: Node) -> list[str]:
    """The parts of a possibly dotted key."""
    if node.type == "dotted_key":
        return [name for child in node.children for name in _key_parts(child)]
    text = (node.text or b"").decode()
    if node.type == "bare_key":
        return [text]
    if node.type == "quoted_key":
        try:
            return list(tomllib.loads(f"{text} = 0"))
        except tomllib.TOMLDecodeError:
            return [text]
    return []

"""What the machines of the interlocking return: what to send, write and answer.  Times are seconds."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from enum import IntEnum

from leadrudder.protocol.mesh_pb2 import Frame, Item

SECTIONS = 8  # parts of the keys, each with an owner of its own


def section_of(key: str, sections: int = SECTIONS) -> int:
    """The section that a key belongs to: the same in every process and release."""
    return zlib.crc32(key.encode()) % sections


class ResultCode(IntEnum):
    """What became of a change."""

    DONE = 0  # it stands
    CONFLICT = 1  # its version has another value already
    BUSY = 2  # not now: no majority, or the owner is changing
    RESERVED = 3  # a check: it would be taken, and its versions are kept for it for a moment
    PARTLY_TAKEN = 4  # a withdrawal: a part of the call has its place, so the call must not be refused


@dataclass(frozen=True, slots=True)
class Send:
    to: str  # a signalbox's link address
    frame: Frame


@dataclass(frozen=True, slots=True)
class Write:
    """Put records on disk, then send what may only be said when they are there."""

    records: dict[str, bytes]
    then: tuple[Send, ...] = ()


@dataclass(frozen=True, slots=True)
class Answer:
    """The end of a change or a read that this process was asked for."""

    number: int
    code: ResultCode
    items: tuple[Item, ...] = ()


@dataclass(frozen=True, slots=True)
class Committed:
    """Items that stand from now on: for the stations."""

    items: tuple[Item, ...]


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line for the ring."""

    text: str


Output = Send | Write | Answer | Committed | LogLine


@dataclass(slots=True)
class Step:
    """The input at hand: its time, and what is returned."""

    now: float = 0.0
    out: list[Output] = field(default_factory=list)
    inbox: list[Frame] = field(default_factory=list)  # from this process to itself

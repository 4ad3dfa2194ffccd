"""Outputs of the control state machine: what to send, write and answer.  Times are seconds."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from enum import IntEnum

from leadrudder.protocol.mesh_pb2 import Frame, Item

SECTIONS = 8  # partitions of the keys, each with its own owner


def section_of(key: str, sections: int = SECTIONS) -> int:
    """The section of a key; the same in every process and release."""
    return zlib.crc32(key.encode()) % sections


class ResultCode(IntEnum):
    """The result of a change or a read."""

    DONE = 0  # committed
    CONFLICT = 1  # the version has another value already
    BUSY = 2  # retry: no majority, or the owner is changing
    RESERVED = 3  # a check: it would be accepted, and its versions are reserved for a short time
    PARTLY_TAKEN = 4  # a withdrawal: a part was accepted already, so the call must not be refused
    LATE = 5  # the call was superseded in part, and may have been refused before that


@dataclass(frozen=True, slots=True)
class Send:
    to: str  # the link address of a control node
    frame: Frame


@dataclass(frozen=True, slots=True)
class Write:
    """Put records on disk, then send messages that depend on them."""

    records: dict[str, bytes]
    then: tuple[Send, ...] = ()


@dataclass(frozen=True, slots=True)
class Answer:
    """The result of a change or a read requested from this process."""

    number: int
    code: ResultCode
    items: tuple[Item, ...] = ()


@dataclass(frozen=True, slots=True)
class Committed:
    """Newly committed items, for the proxies."""

    items: tuple[Item, ...]


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line for the log buffer."""

    text: str


Output = Send | Write | Answer | Committed | LogLine


@dataclass(slots=True)
class Step:
    """The input being processed: its time and its outputs."""

    now: float = 0.0
    out: list[Output] = field(default_factory=list)
    inbox: list[Frame] = field(default_factory=list)  # messages of this process to itself

"""What a small world is made of, as values: machines, links, calls, scenes.  Times are tenths of a second."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from leadrudder.model_checker.machine_states import Fact, ToWrite

STEP = 5  # tenths of a second that pass at once, where the scene says nothing else
READS = 3  # of an operator's in calm, one of which must be answered
SYNC = 40  # a machine that is back counts as lost for so long
CALM_STEP = 3  # the same in calm
FREE = ("arrives", "late", "synced", "start", "notice", "link")  # moves that come by themselves
REST: Action = ("rest",)
UNBOUNDED_DELAYS = 1_000_000  # delays: every order

Action = tuple[str | int, ...]  # what happens next: its kind, then machines or calls by number


class InvariantViolation(AssertionError):  # noqa: N818 - it says what is the matter with a rule
    """A rule does not hold."""


class Box(NamedTuple):
    """A machine: its process (0: none), its disk, and what waits to be written."""

    local: int = 0
    disk: int = 0
    queue: tuple[ToWrite, ...] = ()
    life: int = 0
    first_run: bool = True
    gone: bool = False
    calls: int = 0  # that operators have sent here
    since: int = 0  # when its process started


class Wire(NamedTuple):
    """Between two machines, the lower number first: frames on their way up and down the numbers."""

    up: bool = False
    ahead: tuple[bytes, ...] = ()
    back: tuple[bytes, ...] = ()
    left_ahead: tuple[bytes, ...] = ()  # of a link before, whose sender is gone
    left_back: tuple[bytes, ...] = ()
    low_thinks: bool = False  # that a link stands
    high_thinks: bool = False


class Asked(NamedTuple):
    """A call, and what became of it: tries left, where it is open, whether it has a clear answer, what a read
    owes."""

    items: tuple[Fact, ...]
    tries: int
    at: int = -1
    number: int = 0
    done: bool = False
    owed: frozenset[Fact] = frozenset()


class Left(NamedTuple):
    """How often each kind of trouble may still come."""

    steps: int = 0  # of time
    kills: int = 0
    powers: int = 0  # kills after which a part of what was not synced is there
    wipes: int = 0
    breaks: int = 0  # of a link, with all that is on it
    doubles: int = 0  # of a frame
    replaced: int = 0
    resigns: int = 0
    joins: int = 0  # of an empty machine
    holds: int = 0  # of a link's direction or a disk, for as long as one likes
    delays: int = UNBOUNDED_DELAYS  # of what is next in turn, behind one that is ready too


class State(NamedTuple):
    clock: int
    boxes: tuple[Box, ...]
    wires: tuple[Wire, ...]
    asked: tuple[Asked, ...]
    budget: Left
    acknowledged: frozenset[Fact] = frozenset()
    stood: frozenset[Fact] = frozenset()
    refused: frozenset[Fact] = frozenset()
    owners: frozenset[tuple[int, int, int]] = frozenset()  # section, epoch, machine
    turn: int = 0  # the source that is served next
    held: frozenset[Action] = frozenset()  # sources that give nothing


@dataclass(frozen=True, slots=True)
class Call:
    """An operator's change, or a read where there are no items; tries: how often it may be sent."""

    items: tuple[Fact, ...] = ()
    tries: int = 1


@dataclass(slots=True)
class Scene:
    """What a small world is made of.

    machines: that start; spare: addresses of those that may replace one; rates: of their clocks; losses:
    disks that may go at once.
    """

    name: str
    says: str
    budget: Left
    calls: tuple[Call, ...] = ()
    machines: int = 3
    spare: int = 0
    sections: int = 2
    losses: int = 1
    rates: tuple[float, ...] = ()
    step: int = STEP
    first: tuple[
        Action, ...
    ] = ()  # what has happened when the search begins; REST: all that is ready arrives
    settled: int = 60  # tenths of a second before the first trouble
    swapped: tuple[bytes, bytes] | None = None  # values that may change places: states alike are folded
    counted: bool = False  # time passes only while no more are lost than is borne
    recovery_check_every: int = 0  # every how many states calm is played out, to see that all is found again

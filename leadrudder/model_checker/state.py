"""Value types of the model: hosts, links, calls, states and scenarios.  Times are tenths of a second."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from leadrudder.model_checker.machine_states import EncodedWrite, ItemTuple

STEP_TENTHS = 5  # default duration of one time step
READ_ATTEMPTS = 3  # without faults one of these consecutive reads must be answered
RECOVERY_TENTHS = 40  # a restarted host counts as lost for this long
FAULT_FREE_STEP_TENTHS = 3  # duration of one time step without faults
# Kinds of actions that the system takes by itself: a frame of the current connection is delivered, one of an
# earlier connection is, a write completes, a process starts, a host notices that a link went down, a link
# connects. All other kinds are faults, operator calls and the passage of time.
INTERNAL_KINDS = ("arrives", "late", "synced", "start", "notice", "link")
QUIESCE: Action = ("rest",)  # in a prefix: apply internal actions until none is enabled
UNBOUNDED_DELAYS = 1_000_000  # every order of internal actions is explored

Action = tuple[str | int, ...]  # kind, then the indexes of hosts or calls


class InvariantViolation(AssertionError):  # noqa: N818 - named by what it reports
    """An invariant does not hold."""


class Host(NamedTuple):
    """A machine: its process (0: none) and disk, by their ids in MachineStates, and its pending writes."""

    process: int = 0
    disk: int = 0
    write_queue: tuple[EncodedWrite, ...] = ()
    start_count: int = 0
    first_run: bool = True
    removed: bool = False
    call_count: int = 0  # calls that operators have sent to this host
    started_tenths: int = 0  # when the current process started


class Link(NamedTuple):
    """The link of two hosts, with the frames in transit from the lower index to the higher and back."""

    up: bool = False
    forward: tuple[bytes, ...] = ()
    backward: tuple[bytes, ...] = ()
    stale_forward: tuple[bytes, ...] = ()  # of an earlier connection, whose sender has died
    stale_backward: tuple[bytes, ...] = ()
    low_sees_link: bool = False  # the lower host considers the link up
    high_sees_link: bool = False


class CallState(NamedTuple):
    """The progress of a call.

    host_index: where it is pending, -1: nowhere; answered: with a definite result; required: the acknowledged
    items that a read has to return.
    """

    items: tuple[ItemTuple, ...]
    attempts_left: int
    host_index: int = -1
    number: int = 0
    answered: bool = False
    required: frozenset[ItemTuple] = frozenset()


class FaultBudget(NamedTuple):
    """How often each kind of fault, and of time step, may still occur."""

    time_steps: int = 0
    kills: int = 0
    power_losses: int = 0  # kills after which a prefix of the unsynced writes is on disk
    disk_wipes: int = 0
    link_breaks: int = 0  # with all frames in transit
    duplicates: int = 0  # of a frame in transit
    replacements: int = 0
    resignations: int = 0
    joins: int = 0  # of an empty host
    holds: int = 0  # of one source of internal actions (such as a link direction or a disk), until released
    delays: int = UNBOUNDED_DELAYS  # of the next source in round-robin order, behind another enabled one


class State(NamedTuple):
    """A global state."""

    clock_tenths: int
    hosts: tuple[Host, ...]
    links: tuple[Link, ...]
    calls: tuple[CallState, ...]
    budget: FaultBudget
    acknowledged: frozenset[ItemTuple] = frozenset()
    committed: frozenset[ItemTuple] = frozenset()
    refused: frozenset[ItemTuple] = frozenset()
    owners: frozenset[tuple[int, int, int]] = frozenset()  # section, epoch, host index
    next_source: int = 0  # round-robin position of the next internal action
    held: frozenset[Action] = frozenset()  # internal actions that are held back


@dataclass(frozen=True, slots=True)
class Call:
    """An operator's change, or a read if there are no items.  attempts: how often it may be sent."""

    items: tuple[ItemTuple, ...] = ()
    attempts: int = 1


@dataclass(slots=True)
class Scenario:
    """The configuration and the bounds of one search.

    machines: hosts at the start; spares: further addresses for replacements; tolerated_losses: disks that may
    be lost at the same time; clock_rates: of the hosts, default 1.
    """

    name: str
    description: str
    budget: FaultBudget
    calls: tuple[Call, ...] = ()
    machines: int = 3
    spares: int = 0
    sections: int = 2
    tolerated_losses: int = 1
    clock_rates: tuple[float, ...] = ()
    step_tenths: int = STEP_TENTHS
    prefix: tuple[Action, ...] = ()  # actions before the search begins
    warm_up_tenths: int = 60  # before the first fault
    symmetric_values: tuple[bytes, bytes] | None = None  # states that differ by swapping them count as one
    limit_losses: bool = False  # time passes only while the losses are tolerated
    recovery_check_every: int = 0  # states between checks of fault-free recovery; 0: none

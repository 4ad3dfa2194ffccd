"""The interface of the decision module: settings, events and actions.

All times are milliseconds on the caller's clock, which must be monotonic.  Server ids are opaque bytes and
request ids opaque numbers; the module returns both unchanged.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

ServerId = bytes
RequestId = int


class UnexpectedEvent(ValueError):  # noqa: N818 - named for the event
    """An impossible event, such as one for a request, attempt or class that does not exist."""


class ImpossibleSettings(ValueError):  # noqa: N818 - named for the settings
    """Invalid settings; the message names the field."""


def _check(values: object, names: tuple[str, ...], least: float) -> None:
    for name in names:
        value = getattr(values, name)
        if not least <= value < float("inf"):
            raise ImpossibleSettings(f"{name} is out of range: {value}")


class Effect(Enum):
    """Whether a request may be executed twice: always, with deduplication by its key, or never."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class RepeatGroup(Enum):
    """The group of servers that deduplicate repeats of a keyed request among them."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Readiness(Enum):
    """State of a server on the server list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(Enum):
    """How a server list relates to the previous one."""

    FAILED = 0
    CHANGES = 1
    CACHED = 2
    FULL = 3


class Outcome(Enum):
    """Outcome of an attempt or a probe."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"
    SPOILT = "spoilt"  # malformed answer: the request may have run; weak evidence against the server
    REJECTED = "rejected"  # the server refused the request as invalid, so a retry is useless


# Outcomes that prove that the attempt was not executed.
NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT})


# ---------------------------------------------------------------- settings


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests, with its latency target, deadline, worth and effect."""

    name: str
    aim_ms: float
    deadline_ms: float
    worth: float = 1.0
    late_share: float = 0.0
    effect: Effect = Effect.SAFE
    group: RepeatGroup = RepeatGroup.ALL
    window_ms: float = 0.0
    stream: bool = False
    aim_stretch: float = 0.0
    repeat: bool = True  # False: a request that may have run is not sent again, even if that would be safe

    def __post_init__(self) -> None:
        _check(self, ("aim_ms", "deadline_ms"), 1e-6)
        _check(self, ("worth", "late_share", "window_ms", "aim_stretch"), 0.0)


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant of the service.  The quota applies to the sum over all balancers of the first tier."""

    name: str
    fraction: float
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of an instance, fixed at its start."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    balancers: int = 1
    ordinal: int = 0
    stage: int = 0
    stages: int = 1
    zone: int = 0
    zones: int = 1
    max_attempts: int = 3
    may_duplicate: bool = True
    may_cancel: bool = True
    may_probe: bool = False
    retry_after: bool = True
    max_retry_after_ms: float = 1000.0
    worth_by_work: bool = False
    over_share_worth: float = 1.0
    ask_for_list: bool = False
    must_ask_ms: float = 10_000.0
    capacity_hints: bool = False
    passes_deadline: bool = True
    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    cold_start_share: float = 0.3
    cold_ms: float = 10_000.0
    fall_multiple: float = 3.0
    fall_window_ms: float = 1000.0
    connect_timeout_ms: float = 250.0
    tick_ms: float = 1.0
    cross_zone_price: float = 0.0
    load_columns: tuple[str, ...] = ()
    floor_share: float = 0.4  # p_min = this / r
    even_spread: bool = True  # draw among servers with the fewest calls; False if gates report full servers

    def __post_init__(self) -> None:
        if not self.classes:
            raise ImpossibleSettings("classes is empty")
        _check(self, ("balancers", "stages", "max_attempts"), 1)
        _check(self, ("stage", "cold_ms", "cold_start_share", "fall_window_ms", "tick_ms"), 0.0)
        _check(self, ("max_retry_after_ms", "over_share_worth", "cross_zone_price", "answer_slack_ms"), 0.0)
        _check(self, ("must_ask_ms", "floor_share"), 1e-6)


# ---------------------------------------------------------------- events


UNTOLD = -1  # zone or cell of a server for which the list names none


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """A row of the server list.  started_ms 0: started long ago."""

    server: ServerId
    readiness: Readiness = Readiness.READY
    capacity_hint: float = 1.0
    kind: int = 0
    zone: int = 0
    cell: int = 0
    started_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ServerList:
    """An update of the server list; a server that is absent from a whole list is removed.

    more: further parts of the same update follow immediately.
    """

    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()
    version: int = 0
    more: bool = False


@dataclass(frozen=True, slots=True)
class Arrival:
    """A client's request, which must get exactly one final answer within budget_ms."""

    request: RequestId
    class_index: int
    budget_ms: float
    tenant: int = 0
    key: int = 0
    cost_hint_ms: float | None = None
    is_repeat: bool = False
    is_write: bool = False


@dataclass(frozen=True, slots=True)
class AnswerStarted:
    """A streamed answer has started; from here on the request is bound to this attempt."""

    request: RequestId
    attempt: int
    server: ServerId
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The outcome of an attempt.  finished: the request needs no further answer.

    rest_ms: for an attempt that was refused before it reached its server, the expected time to a free slot
    there.
    """

    request: RequestId
    attempt: int
    server: ServerId
    outcome: Outcome
    elapsed_ms: float
    finished: bool
    load: tuple[float, ...] = ()
    rest_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class RequestGone:
    """The client disconnected or its deadline passed; no answer is needed."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The result of a probe."""

    server: ServerId
    outcome: Outcome
    elapsed_ms: float
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by SetTimer has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another balancer of the tier; ignored by the module."""

    sender: int
    body: bytes


Event = (
    ServerList | Arrival | AnswerStarted | AttemptEnded | RequestGone | ProbeEnded | TimerFired | PeerMessage
)


# ---------------------------------------------------------------- actions


@dataclass(frozen=True, slots=True)
class Send:
    """Start the request's next attempt.  timeout_ms 0: no timeout other than the client's."""

    request: RequestId
    server: ServerId
    timeout_ms: float = 0.0


class Refusal(Enum):
    """Why a request is refused; for diagnosis only."""

    LIMIT = "limit"  # the admission limit leaves no room for a request of its worth
    NOBODY = "nobody"  # admitted, but no server is available: ejected, resting, full, cold or crowded
    TRIED = "tried"  # attempted; no time, retry budget or permission for another attempt


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not served, and a retry is safe."""

    request: RequestId
    retry_after_ms: float = 0.0
    why: Refusal = Refusal.TRIED


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: not served, and possibly executed."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt."""

    request: RequestId
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a TimerFired at or after at_ms."""

    token: int
    at_ms: float


@dataclass(frozen=True, slots=True)
class Probe:
    """Send a health probe to a server."""

    server: ServerId


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: ServerId


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to changes of the server list; answered by a ServerList."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operator's log."""

    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | CloseIdle | Subscribe | Log

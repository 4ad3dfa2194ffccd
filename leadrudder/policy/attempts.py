"""Requests and their attempts: which may have been executed, and where another is allowed (rules 2 and 3)."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from leadrudder import interface as api
from leadrudder.state.records import Server
from leadrudder.state.request_value import RequestValue


@dataclass(slots=True)
class Attempt:
    """One attempt: its server, when it was sent, and its outcome (None while in flight)."""

    entry: api.ServerEntry
    sent_at: float
    work_units: float = 1.0
    class_index: int = 0
    outcome: api.Outcome | None = None

    def may_have_run(self) -> bool:
        return self.outcome is None or self.outcome not in api.NEVER_RAN


@dataclass(slots=True)
class Request:
    """A request that this node has not answered yet."""

    id: api.RequestId
    request_class: api.RequestClass
    class_index: int
    arrived_at: float
    deadline: float
    appraisal: RequestValue
    sequence: int
    admission_draw: float  # in [0, 1); decides admission at a fractional limit
    attempts: list[Attempt] = field(default_factory=list)
    outstanding: int = 0
    wait_until: float = 0.0
    queued: bool = False
    answer_started: bool = False

    def first_possible_run(self) -> Attempt | None:
        """The first attempt that may have been executed."""
        return next((a for a in self.attempts if a.may_have_run()), None)

    def client_may_retry(self) -> bool:
        """Whether a refused client may safely retry although an attempt may have been executed."""
        if self.request_class.effect is api.Effect.KEYED:
            return self.request_class.group is api.RepeatGroup.ALL
        return self.request_class.effect is api.Effect.SAFE

    def may_repeat(self) -> bool:
        return self.request_class.repeat and self.request_class.effect is not api.Effect.UNSAFE


def permitted(request: Request, entry: api.ServerEntry, settings: api.Settings, now: float) -> bool:
    """Rules 2 and 3: whether another attempt of this request may be sent to this listed server."""
    earlier = request.first_possible_run()
    if earlier is None:
        return True
    kind = request.request_class
    if not kind.repeat or (request.outstanding and not settings.may_duplicate):
        return False
    if kind.effect is api.Effect.SAFE:
        return True
    if kind.effect is api.Effect.UNSAFE or now - earlier.sent_at >= kind.window_ms - settings.tick_ms:
        return False
    first = earlier.entry
    # A server without a listed zone or cell may be anywhere: no group is known to deduplicate its repeats.
    if kind.group is api.RepeatGroup.ZONE:
        return entry.zone == first.zone != api.UNTOLD
    return kind.group is api.RepeatGroup.ALL or entry.cell == first.cell != api.UNTOLD


def any_server_permitted(
    request: Request, servers: Sequence[Server], settings: api.Settings, now: float
) -> bool:
    """Whether the rules allow another attempt at any of these servers.

    Where no repeat group separates the servers, the first one stands for all.
    """
    kind = request.request_class
    grouped = kind.effect is api.Effect.KEYED and kind.group is not api.RepeatGroup.ALL
    return any(permitted(request, s.entry, settings, now) for s in (servers if grouped else servers[:1]))

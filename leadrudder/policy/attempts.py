"""Requests and their attempts: what may have run, and where there may be another (rules 2 and 3)."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from leadrudder import interface as api
from leadrudder.state.records import Server
from leadrudder.state.request_value import RequestValue


@dataclass(slots=True)
class Attempt:
    """One send: where, when, and how it ended (None while out)."""

    entry: api.ServerEntry
    sent: float
    units: float = 1.0
    class_index: int = 0
    ended: api.Outcome | None = None

    def may_have_run(self) -> bool:
        return self.ended is None or self.ended not in api.NEVER_RAN


@dataclass(slots=True)
class Request:
    """A request that this node owes an answer."""

    id: api.RequestId
    kind: api.RequestClass
    class_index: int
    arrived: float
    deadline: float
    value: RequestValue
    seq: int
    chance: float  # in [0, 1): takes the fraction of the limit of calls out
    attempts: list[Attempt] = field(default_factory=list)
    out: int = 0
    hold_until: float = 0.0
    waiting: bool = False
    started: bool = False

    def risky(self) -> Attempt | None:
        """The first attempt that may have run."""
        return next((a for a in self.attempts if a.may_have_run()), None)

    def harmless(self) -> bool:
        """Whether a caller who is refused may try again, though an attempt may have run."""
        if self.kind.effect is api.Effect.KEYED:
            return self.kind.group is api.RepeatGroup.ALL
        return self.kind.effect is api.Effect.SAFE

    def repeatable(self) -> bool:
        return self.kind.repeat and self.kind.effect is not api.Effect.UNSAFE


def permitted(request: Request, entry: api.ServerEntry, settings: api.Settings, now: float) -> bool:
    """Rules 2 and 3: whether a further attempt of this request may go to this listed server at all."""
    risky = request.risky()
    if risky is None:
        return True
    kind = request.kind
    if not kind.repeat or (request.out and not settings.may_duplicate):
        return False
    if kind.effect is api.Effect.SAFE:
        return True
    if kind.effect is api.Effect.UNSAFE or now - risky.sent >= kind.window_ms - settings.tick_ms:
        return False
    first = risky.entry
    # Servers whose place no list tells may lie anywhere: no group is known to drop their repeats.
    if kind.group is api.RepeatGroup.ZONE:
        return entry.zone == first.zone != api.UNTOLD
    return kind.group is api.RepeatGroup.ALL or entry.cell == first.cell != api.UNTOLD


def may_go_on(request: Request, servers: Sequence[Server], settings: api.Settings, now: float) -> bool:
    """Whether the rules leave any of these servers for a further attempt.

    All are alike where no group parts them, and then one tells for all.
    """
    kind = request.kind
    parted = kind.effect is api.Effect.KEYED and kind.group is not api.RepeatGroup.ALL
    return any(permitted(request, s.entry, settings, now) for s in (servers if parted else servers[:1]))

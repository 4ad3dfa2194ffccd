"""A window: machines that are out of some tenants' traffic for a time, and how far each has come.

A window is one item of the control state; each step of it is the next count of that item, so a step that two
would take is taken once. What stations need of it is the loan: a machine is lent out of the traffic of these
tenants until a stated time, and given back by itself then, whoever can be reached. Times are seconds since
1970; spans are seconds.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import Any

from leadrudder.configuration.items import WINDOW_PREFIX
from leadrudder.maintenance.ledger import Counts
from leadrudder.protocol.mesh_pb2 import Item

MAX_CLOCK_SKEW_S = 2.0  # that machines' clocks are apart at most; both edges of all hours are narrowed by it


class Stage(StrEnum):
    """How far a machine of a window has come."""

    WAITING = "waiting"
    DRAINING = "draining"  # new requests of the tenants go elsewhere, what is under way ends
    OUT = "out"  # nothing of theirs can be under way: the works may begin
    RETURNING = "returning"  # given back; the vectors find it again
    BACK = "back"
    SKIPPED = "skipped"  # it was never taken


AWAY_STAGES = (Stage.DRAINING, Stage.OUT)
FINAL_STAGES = (Stage.BACK, Stage.SKIPPED)


@dataclass(frozen=True, slots=True)
class Step:
    """One machine.  leave, back: when its loan is to begin and end; since: when the stage began.

    latest: when it must be back at the latest, if it is taken later than planned; whole: slots of its service
    when it was planned.
    """

    machine: str
    tenants: tuple[str, ...]
    routes: tuple[str, ...]  # theirs, when it was planned
    leave: float
    back: float
    latest: float
    whole: int = 0
    stage: Stage = Stage.WAITING
    since: float = 0.0
    why: str = ""


@dataclass(frozen=True, slots=True)
class Window:
    """drain_s: after which nothing of the tenants' is under way; return_s: for traffic to be even again.

    works_s: how long each machine is out; 0: as long as can be; at_once: machines that are away at a time.
    """

    name: str
    begin: float
    end: float
    drain_s: float
    return_s: float
    steps: tuple[Step, ...]
    works_s: float = 0.0
    at_once: int = 1
    stop_reason: str = ""  # why it was told to stop; empty: it was not
    counts_at_plan: Counts = field(default_factory=dict)  # of the ledger, when it was planned
    counts_at_start: Counts | None = None  # when the first machine was lent
    counts_at_end: Counts | None = None  # when the last was back, and all of that time was told

    def state(self) -> str:
        """Its state as operators are told it."""
        stages = {step.stage for step in self.steps}
        if stages <= set(FINAL_STAGES):
            if self.stop_reason:
                return "stopped"
            return "expired" if stages == {Stage.SKIPPED} else "done"
        for stage in (Stage.OUT, Stage.DRAINING, Stage.RETURNING):
            if stage in stages:
                return stage.value
        return Stage.WAITING.value

    def is_over(self) -> bool:
        return all(step.stage in FINAL_STAGES for step in self.steps)

    def step_of(self, machine: str) -> Step | None:
        return next((step for step in self.steps if step.machine == machine), None)

    def with_stage(self, machine: str, stage: Stage, now: float, why: str = "") -> Window:
        """The window with one machine at another stage."""
        steps = tuple(
            replace(s, stage=stage, since=now, why=why or s.why) if s.machine == machine else s
            for s in self.steps
        )
        return replace(self, steps=steps)

    def with_drain_started(self, machine: str, now: float) -> Window:
        """The window with one machine lent from now on, for as long as its works take."""
        step = self.step_of(machine)
        assert step is not None
        back = min(step.latest, now + self.drain_s + self.works_s) if self.works_s else step.latest
        moved = self.with_stage(machine, Stage.DRAINING, now)
        return replace(
            moved, steps=tuple(replace(s, back=back) if s.machine == machine else s for s in moved.steps)
        )

    def encode(self) -> bytes:
        """As it is kept."""
        told = {
            "begin": self.begin,
            "end": self.end,
            "drain": self.drain_s,
            "return": self.return_s,
            "works": self.works_s,
            "at_once": self.at_once,
            "stopped": self.stop_reason,
            "planned": self.counts_at_plan,
            "begun": self.counts_at_start,
            "ended": self.counts_at_end,
            "steps": [
                {
                    "machine": s.machine,
                    "tenants": list(s.tenants),
                    "routes": list(s.routes),
                    "leave": s.leave,
                    "back": s.back,
                    "latest": s.latest,
                    "whole": s.whole,
                    "stage": s.stage.value,
                    "since": s.since,
                    "why": s.why,
                }
                for s in self.steps
            ],
        }
        return json.dumps(told, sort_keys=True, separators=(",", ":")).encode()


def decode_window(name: str, value: bytes) -> Window:
    """ValueError or KeyError where it is none."""
    told: dict[str, Any] = json.loads(value)
    steps = tuple(
        Step(
            s["machine"],
            tuple(s["tenants"]),
            tuple(s["routes"]),
            float(s["leave"]),
            float(s["back"]),
            float(s["latest"]),
            int(s["whole"]),
            Stage(s["stage"]),
            float(s["since"]),
            str(s["why"]),
        )
        for s in told["steps"]
    )
    return Window(
        name,
        float(told["begin"]),
        float(told["end"]),
        float(told["drain"]),
        float(told["return"]),
        steps,
        float(told["works"]),
        int(told["at_once"]),
        str(told["stopped"]),
        dict(told["planned"]),
        told["begun"],
        told["ended"],
    )


def read_windows(found: Iterable[tuple[str, Item]]) -> dict[str, Window]:
    """The windows among items, by name; what cannot be read is left out."""
    out = {}
    for name, item in found:
        try:
            out[name] = decode_window(name, item.value)
        except (ValueError, KeyError, TypeError):
            continue
    return out


TenantTraffic = tuple[frozenset[str], frozenset[str]]  # a tenant's hosts and routes


def read_tenant_traffic(found: Iterable[tuple[str, Item]]) -> dict[str, TenantTraffic]:
    """Hosts and routes of the contracts among items: all that a station needs of them."""
    out = {}
    for name, item in found:
        try:
            told = json.loads(item.value)
            hosts = frozenset(str(host).lower() for host in told.get("hosts", ()))
            out[name] = (hosts, frozenset(map(str, told.get("routes", ()))))
        except (ValueError, TypeError, AttributeError):
            continue
    return out


__all__ = [
    "MAX_CLOCK_SKEW_S",
    "AWAY_STAGES",
    "FINAL_STAGES",
    "WINDOW_PREFIX",
    "DrainSchedule",
    "Stage",
    "Step",
    "Window",
    "read_windows",
]


@dataclass(frozen=True, slots=True)
class Drain:
    """A machine is out of the traffic of these routes, and of all others to these hosts, until then."""

    until: float
    routes: frozenset[str]
    hosts: frozenset[str]


@dataclass(slots=True)
class DrainSchedule:
    """What a station makes of the windows: which machines are lent out of whose traffic, until when.

    Whose a route is follows from the contracts as they stand, beside the routes that there were when the
    window was planned: one that is added or moved while a machine is out finds it out.
    """

    by_machine: dict[str, list[Drain]] = field(default_factory=dict)

    @classmethod
    def from_windows(
        cls, windows: Mapping[str, Window], owns: Mapping[str, TenantTraffic] | None = None
    ) -> DrainSchedule:
        loans = cls()
        for window in windows.values():
            for step in window.steps:
                if step.stage not in AWAY_STAGES or window.stop_reason:
                    continue
                held = [owns[name] for name in step.tenants if owns is not None and name in owns]
                routes = frozenset(step.routes).union(*(routes for _, routes in held))
                hosts = frozenset[str]().union(*(hosts for hosts, _ in held))
                loans.by_machine.setdefault(step.machine, []).append(Drain(step.back, routes, hosts))
        return loans

    def active_drains(self, machine: str, route: str, host: str, now: float) -> list[Drain]:
        """The loans by which a machine gets nothing of a route just now, by this process's clock."""
        return [
            loan
            for loan in self.by_machine.get(machine, ())
            if now < loan.until and (route in loan.routes or host in loan.hosts)
        ]

    def is_drained(self, machine: str, route: str, host: str, now: float) -> bool:
        return bool(self.active_drains(machine, route, host, now))

    def end_times(self) -> set[float]:
        """When loans end by themselves."""
        return {loan.until for loans in self.by_machine.values() for loan in loans}

    def next_end(self, now: float) -> float | None:
        """When the next loan ends by itself; None: none does."""
        return min((end for end in self.end_times() if end > now), default=None)

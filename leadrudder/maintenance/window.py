"""Maintenance windows: machines that are out of some tenants' traffic for a time, and their progress.

A window is one item of the control state. Each step is the next version of that item, so that a step which
two processes attempt is taken once. Proxies need only the drains of a window: a machine gets no traffic of
certain tenants until a stated time and then returns by itself, even if the control plane is unreachable.
Times are seconds since 1970, durations are in seconds.
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

MAX_CLOCK_SKEW_S = 2.0  # between any two machines; approved hours are shortened by it at both ends


class Stage(StrEnum):
    """The stage of a machine in a window."""

    WAITING = "waiting"
    DRAINING = "draining"  # new requests of the tenants go elsewhere, those in flight end
    OUT = "out"  # no request of the tenants can be in flight: works may begin
    RETURNING = "returning"  # the machine gets traffic again, which evens out
    BACK = "back"
    SKIPPED = "skipped"  # the machine was never taken out


AWAY_STAGES = (Stage.DRAINING, Stage.OUT)
FINAL_STAGES = (Stage.BACK, Stage.SKIPPED)


@dataclass(frozen=True, slots=True)
class Step:
    """The step of one machine.  leave, back: begin and end of its drain; since: when the stage began.

    latest: when the machine must be back if it is taken out later than planned; whole: the slots of its
    service when the window was planned. The field names appear in answers of the operator API.
    """

    machine: str
    tenants: tuple[str, ...]
    routes: tuple[str, ...]  # of the tenants, when the window was planned
    leave: float
    back: float
    latest: float
    whole: int = 0
    stage: Stage = Stage.WAITING
    since: float = 0.0
    why: str = ""


@dataclass(frozen=True, slots=True)
class Window:
    """A window.  drain_s: after it no request of the tenants is in flight; return_s: for traffic to even out.

    works_s: time out per machine; 0: as long as possible; at_once: the most machines that are away together.
    """

    name: str
    begin: float
    end: float
    drain_s: float
    return_s: float
    steps: tuple[Step, ...]
    works_s: float = 0.0
    at_once: int = 1
    stop_reason: str = ""  # why it was stopped; empty: it was not
    counts_at_plan: Counts = field(default_factory=dict)  # of the ledger, when the window was planned
    counts_at_start: Counts | None = None  # when the first machine was taken out
    counts_at_end: Counts | None = None  # when the last machine was back and all nodes had reported

    def state(self) -> str:
        """The state that is reported to operators."""
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
        """The window with one machine moved to another stage."""
        steps = tuple(
            replace(s, stage=stage, since=now, why=why or s.why) if s.machine == machine else s
            for s in self.steps
        )
        return replace(self, steps=steps)

    def with_drain_started(self, machine: str, now: float) -> Window:
        """The window with one machine draining from now on, until its works are over."""
        step = self.step_of(machine)
        assert step is not None
        back = min(step.latest, now + self.drain_s + self.works_s) if self.works_s else step.latest
        moved = self.with_stage(machine, Stage.DRAINING, now)
        return replace(
            moved, steps=tuple(replace(s, back=back) if s.machine == machine else s for s in moved.steps)
        )

    def encode(self) -> bytes:
        """The stored form of the window."""
        record = {
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
        return json.dumps(record, sort_keys=True, separators=(",", ":")).encode()


def decode_window(name: str, value: bytes) -> Window:
    """Decode a stored window; raises ValueError or KeyError for other data."""
    record: dict[str, Any] = json.loads(value)
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
        for s in record["steps"]
    )
    return Window(
        name,
        float(record["begin"]),
        float(record["end"]),
        float(record["drain"]),
        float(record["return"]),
        steps,
        float(record["works"]),
        int(record["at_once"]),
        str(record["stopped"]),
        dict(record["planned"]),
        record["begun"],
        record["ended"],
    )


def read_windows(window_items: Iterable[tuple[str, Item]]) -> dict[str, Window]:
    """Decode the window items, by name; undecodable ones are left out."""
    windows = {}
    for name, item in window_items:
        try:
            windows[name] = decode_window(name, item.value)
        except (ValueError, KeyError, TypeError):
            continue
    return windows


TenantTraffic = tuple[frozenset[str], frozenset[str]]  # a tenant's hosts and routes


def read_tenant_traffic(contract_items: Iterable[tuple[str, Item]]) -> dict[str, TenantTraffic]:
    """The hosts and routes of each contract: the only part of contracts that proxies need."""
    traffic = {}
    for name, item in contract_items:
        try:
            contract = json.loads(item.value)
            hosts = frozenset(str(host).lower() for host in contract.get("hosts", ()))
            traffic[name] = (hosts, frozenset(map(str, contract.get("routes", ()))))
        except (ValueError, TypeError, AttributeError):
            continue
    return traffic


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
    """A machine gets no requests of these routes, nor of any route to these hosts, until a stated time."""

    until: float
    routes: frozenset[str]
    hosts: frozenset[str]


@dataclass(slots=True)
class DrainSchedule:
    """The drains that a proxy derives from the windows, by machine.

    The routes of a tenant are those known when the window was planned and those of its current contract, so
    that a drain also covers routes that are added or moved while a machine is out.
    """

    by_machine: dict[str, list[Drain]] = field(default_factory=dict)

    @classmethod
    def from_windows(
        cls, windows: Mapping[str, Window], traffic: Mapping[str, TenantTraffic] | None = None
    ) -> DrainSchedule:
        schedule = cls()
        for window in windows.values():
            for step in window.steps:
                if step.stage not in AWAY_STAGES or window.stop_reason:
                    continue
                current = [traffic[name] for name in step.tenants if traffic is not None and name in traffic]
                routes = frozenset(step.routes).union(*(routes for _, routes in current))
                hosts = frozenset[str]().union(*(hosts for hosts, _ in current))
                schedule.by_machine.setdefault(step.machine, []).append(Drain(step.back, routes, hosts))
        return schedule

    def active_drains(self, machine: str, route: str, host: str, now: float) -> list[Drain]:
        """The drains that keep requests of a route from a machine now, by the clock of this process."""
        return [
            drain
            for drain in self.by_machine.get(machine, ())
            if now < drain.until and (route in drain.routes or host in drain.hosts)
        ]

    def is_drained(self, machine: str, route: str, host: str, now: float) -> bool:
        return bool(self.active_drains(machine, route, host, now))

    def end_times(self) -> set[float]:
        """The times at which drains expire."""
        return {drain.until for drains in self.by_machine.values() for drain in drains}

    def next_end(self, now: float) -> float | None:
        """When the next drain expires; None: there is none."""
        return min((end for end in self.end_times() if end > now), default=None)

"""The planner: decides when each machine of a maintenance window is out of its tenants' traffic.

A machine is away for one interval: it drains, is out for as long as the works take, and is returned early
enough for the traffic to even out again. The interval, widened by MAX_CLOCK_SKEW_S at both ends, must lie in
the window and in the approved hours of every tenant that the machine serves. During it no tenant may have
more machines out than its contract allows, and the slots left of a service must be neither fewer than the
share that a contract demands nor too few for the load seen at that hour before. Where a machine cannot be
taken out, the findings say why. Times are seconds since 1970.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import datetime
from zoneinfo import ZoneInfo

from leadrudder.configuration.items import Route
from leadrudder.configuration.validation import Finding
from leadrudder.maintenance.contract import Contract
from leadrudder.maintenance.hours import Interval, intersect, merge_intervals, shrink
from leadrudder.maintenance.window import FINAL_STAGES, MAX_CLOCK_SKEW_S, Step, Window

LOOKAHEAD_S = 14 * 86400.0  # for a time at which a refused window would be possible
MAX_LOAD_FRACTION = (
    0.8  # of the slots that are left may be in use at the busiest of that hour, as it was before
)
START_STEP_S = 60.0  # between beginnings that are tried


@dataclass(frozen=True, slots=True)
class Machine:
    """One beside which a server runs.  slots: how many calls it takes at once; ready: it serves now."""

    name: str
    zone: str
    service: str
    slots: int
    ready: bool = True


@dataclass(frozen=True, slots=True)
class WindowRequest:
    """What an operator asks for.  works_s: how long each machine is to be out; 0: as long as can be."""

    name: str
    begin: float
    end: float
    machines: tuple[str, ...]
    at_once: int = 1
    works_s: float = 0.0
    tenants: frozenset[str] = frozenset()  # empty: all that the machines serve
    return_s: float = 10.0


@dataclass(slots=True)
class FleetState:
    """What is known when a plan is made, or a step is taken.  used: slots of a service in use at the busiest
    of an hour of the week (0 is Monday's first, universal time) on earlier days.
    """

    contracts: Mapping[str, Contract] = field(default_factory=dict)
    routes: Mapping[str, Route] = field(default_factory=dict)
    machines: Mapping[str, Machine] = field(default_factory=dict)
    windows: Mapping[str, Window] = field(default_factory=dict)
    used: Mapping[str, Mapping[int, float]] = field(default_factory=dict)

    def tenants(self, machine: str) -> dict[str, Contract]:
        """Whose traffic a machine serves."""
        there = self.machines.get(machine)
        if there is None:
            return {}
        mine = [r for r in self.routes.values() if any(name == there.service for name, _ in r.service_shares)]
        return {n: c for n, c in self.contracts.items() if any(c.covers(r) for r in mine)}

    def uncovered_routes(self, machine: str) -> list[str]:
        """Routes that a machine serves and that are no tenant's: nobody can approve anything for them."""
        there = self.machines.get(machine)
        if there is None:
            return []
        return sorted(
            r.name
            for r in self.routes.values()
            if any(name == there.service for name, _ in r.service_shares)
            and not any(c.covers(r) for c in self.contracts.values())
        )


def hour_of_week(at: float) -> int:
    return int(at // 3600 + 3 * 24) % 168  # 1970 began on a Thursday


def plan(order: WindowRequest, now: float, at: FleetState) -> Window | list[Finding]:
    """The window as it will be carried out, or all that keeps it from being so."""
    findings = _request_findings(order, now, at)
    if findings:
        return findings
    drain_s = _drain_s(order, at)
    steps: list[Step] = []
    for machine in order.machines:
        tenants = _tenants(order, machine, at)
        found = _find_slot(order, machine, tenants, drain_s, now, at, steps)
        if isinstance(found, Finding):
            findings.append(found)
            continue
        routes = sorted(r.name for r in at.routes.values() if any(c.covers(r) for c in tenants.values()))
        whole = sum(m.slots for m in at.machines.values() if m.service == at.machines[machine].service)
        lent, latest = found
        steps.append(
            Step(machine, tuple(sorted(tenants)), tuple(routes), lent.begin, lent.end, latest, whole)
        )
    if findings:
        return findings
    return Window(
        order.name,
        order.begin,
        order.end,
        drain_s,
        order.return_s,
        tuple(steps),
        order.works_s,
        order.at_once,
    )


def _request_findings(order: WindowRequest, now: float, at: FleetState) -> list[Finding]:
    where = f"windows.{order.name}"
    found = []
    if order.end <= order.begin:
        found.append(Finding("backwards", where, "ends before it begins"))
    elif order.end <= now:
        found.append(Finding("past", where, "is over"))
    if not order.machines or len(set(order.machines)) != len(order.machines):
        found.append(Finding("machines", where, "names no machine, or one twice"))
    known = at.windows.get(order.name)
    if known is not None and not known.is_over():
        found.append(Finding("running", where, f"there is one of this name, {known.state()}"))
    for machine in order.machines:
        spot = f"{where}.{machine}"
        if machine not in at.machines:
            found.append(Finding("unknown_machine", spot, "no machine of this name has a server"))
            continue
        if nobodys := at.uncovered_routes(machine):
            found.append(
                Finding("no_contract", spot, f"serves {', '.join(nobodys[:3])}, which no contract covers")
            )
        for other in at.windows.values():
            step = other.step_of(machine)
            if step is not None and step.stage not in FINAL_STAGES and other.name != order.name:
                found.append(Finding("taken", spot, f"window {other.name} has it, {step.stage}"))
    for tenant in sorted(order.tenants - set(at.contracts)):
        found.append(Finding("unknown_tenant", where, f"there is no contract {tenant}"))
    return found


def _tenants(order: WindowRequest, machine: str, at: FleetState) -> dict[str, Contract]:
    there = at.tenants(machine)
    return {name: c for name, c in there.items() if not order.tenants or name in order.tenants}


def _drain_s(order: WindowRequest, at: FleetState) -> float:
    """After the longest time that one of the tenants' requests is held, nothing of theirs is under way."""
    held = [
        route.timeout_ms / 1000.0
        for machine in order.machines
        for contract in _tenants(order, machine, at).values()
        for route in at.routes.values()
        if contract.covers(route)
    ]
    return max(held, default=0.0) + 1.0


def _find_slot(
    order: WindowRequest,
    machine: str,
    tenants: Mapping[str, Contract],
    drain_s: float,
    now: float,
    at: FleetState,
    steps: list[Step],
) -> tuple[Interval, float] | Finding:
    """The first time at which a machine may be lent, for as long as works take, and when it must be back."""
    where = f"windows.{order.name}.{machine}"
    if not tenants:
        return Finding("no_tenant", where, "serves none of these tenants")
    least = drain_s + max(order.works_s, 1.0) + order.return_s
    free = approved_intervals(tenants.values(), order.begin, order.end)
    long_enough = [s for s in free if s.end - s.begin >= least]
    if not long_enough:
        return _outside_hours(where, tenants, least, order, now)
    late = ""
    for span in long_enough:
        for begin in _candidate_starts(span, least, order, tenants, now, at, steps):
            end = begin + least if order.works_s else span.end
            # The loan ends early enough for what follows it to be over when the stretch is.
            lent = Interval(begin, end - order.return_s)
            if (why := _slot_objection(order, machine, tenants, lent, now, at, steps)) is None:
                return lent, span.end - order.return_s
            late = why
    return Finding("not_possible", where, late)


def _candidate_starts(
    span: Interval,
    least: float,
    order: WindowRequest,
    tenants: Mapping[str, Contract],
    now: float,
    at: FleetState,
    steps: list[Step],
) -> list[float]:
    """Moments of a span at which a loan could begin: its own, others' ends, notice, and each minute."""
    begins = {span.begin, now + max(c.notice_s for c in tenants.values())}
    begins |= {step.back + order.return_s for step in steps}
    for window in at.windows.values():
        begins |= {step.back + window.return_s for step in window.steps if step.stage not in FINAL_STAGES}
    last = span.end - least
    begins |= {span.begin + START_STEP_S * i for i in range(1, int((last - span.begin) / START_STEP_S) + 1)}
    return sorted(begin for begin in begins if span.begin <= begin <= last)


def _outside_hours(
    where: str, tenants: Mapping[str, Contract], least: float, order: WindowRequest, now: float
) -> Finding:
    """Why no time in the window is approved, and when one is."""
    begin = max(now, order.begin)
    ahead = [
        s
        for s in approved_intervals(tenants.values(), begin, begin + LOOKAHEAD_S)
        if s.end - s.begin >= least
    ]
    zone = next(iter(tenants.values())).hours.zone
    if ahead:
        text = f"not approved for {_join_names(tenants)} within the window, which needs {least:.0f} s: "
        return Finding("outside_hours", where, text + f"possible {_format_interval(ahead[0], zone)}")
    never = [n for n, c in tenants.items() if not approved_intervals([c], begin, begin + LOOKAHEAD_S)]
    if never:
        return Finding(
            "never", where, f"nothing is approved for {', '.join(sorted(never))} in the coming days"
        )
    return Finding(
        "never",
        where,
        f"the hours of {_join_names(tenants)} do not meet for {least:.0f} s in the coming days",
    )


def _join_names(tenants: Mapping[str, Contract]) -> str:
    return " and ".join(sorted(tenants))


def _format_interval(span: Interval, zone: ZoneInfo) -> str:
    begin, end = (datetime.fromtimestamp(at, zone) for at in (span.begin, span.end))
    return f"{begin:%Y-%m-%d %H:%M} to {end:%Y-%m-%d %H:%M} ({zone.key})"


def approved_intervals(contracts: Iterable[Contract], begin: float, end: float) -> list[Interval]:
    """Times that every contract approves, with room for clocks at both edges."""
    free = [Interval(begin, end)]
    for contract in contracts:
        free = intersect(free, contract.hours.intervals_between(begin - 60.0, end + 60.0))
    return shrink(merge_intervals(free), MAX_CLOCK_SKEW_S)


def _slot_objection(
    order: WindowRequest,
    machine: str,
    tenants: Mapping[str, Contract],
    lent: Interval,
    now: float,
    at: FleetState,
    steps: list[Step],
) -> str | None:
    """Why a machine may not be lent for just this time; None: it may."""
    for contract in tenants.values():
        if lent.begin < now + contract.notice_s:
            return f"{contract.name} is to be told {contract.notice_s:.0f} s before"
    others = [s for s in steps if _overlaps(s, lent, order.return_s)]
    if len(others) >= order.at_once:
        hint = (
            "" if order.works_s else "; say how long the works take, else the first machine has all the time"
        )
        return f"{order.at_once} at once are all that the order allows{hint}"
    others += [
        step
        for window in at.windows.values()
        for step in window.steps
        if step.stage not in FINAL_STAGES
        and window.name != order.name
        and _overlaps(step, lent, window.return_s)
    ]
    return capacity_objection(machine, tenants.values(), others, lent, at)


def _overlaps(step: Step, lent: Interval, return_s: float) -> bool:
    return step.leave < lent.end + return_s and lent.begin < step.back + return_s


def capacity_objection(
    machine: str,
    tenants: Iterable[Contract],
    others: Iterable[Step],
    lent: Interval,
    at: FleetState,
    planned: int = 0,
) -> str | None:
    """Whether lending a machine beside others would take more than contracts leave; None: it would not.

    planned: slots of its service when the plan was made, which may since have been lost.
    """
    there = at.machines[machine]
    away = {step.machine for step in others} | {machine}
    same = [m for m in at.machines.values() if m.service == there.service]
    whole = max(planned, sum(m.slots for m in same))
    left = sum(m.slots for m in same if m.ready and m.name not in away)
    for contract in tenants:
        out = sum(contract.name in step.tenants for step in others if step.machine != machine) + 1
        if out > contract.max_machines_out:
            return f"{contract.name} has {out - 1} out already, {contract.max_machines_out} is the most"
        if not left:
            return f"nobody else serves {there.service} for {contract.name}"
        if left < contract.min_capacity_left * whole:
            stay = f"{left} of {whole} slots of {there.service} would stay"
            return f"{stay}, {contract.name} wants {contract.min_capacity_left:.0%}"
    hours = range(int(lent.begin // 3600), int(math.ceil(lent.end / 3600)))
    used = max(
        (at.used.get(there.service, {}).get(hour_of_week(3600.0 * h), 0.0) for h in hours), default=0.0
    )
    if used > MAX_LOAD_FRACTION * left:
        return f"{used:.0f} slots of {there.service} were in use at that hour, {left} would stay"
    return None

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

LOOKAHEAD_S = 14 * 86400.0  # searched for a time at which a refused window would be possible
MAX_LOAD_FRACTION = 0.8  # of the remaining slots, at the highest load seen at that hour of the week
START_STEP_S = 60.0  # between candidate starts


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine with a server.  slots: its concurrent requests; ready: it is serving now."""

    name: str
    zone: str
    service: str
    slots: int
    ready: bool = True


@dataclass(frozen=True, slots=True)
class WindowRequest:
    """The window that an operator requests.  works_s: time out per machine; 0: as long as possible."""

    name: str
    begin: float
    end: float
    machines: tuple[str, ...]
    at_once: int = 1
    works_s: float = 0.0
    tenants: frozenset[str] = frozenset()  # empty: all tenants of the machines
    return_s: float = 10.0


@dataclass(slots=True)
class FleetState:
    """The known state of the fleet when a plan is made or a step is taken.

    used: by service and hour of the week (0 is Monday 00:00 UTC), the highest number of slots in use before.
    """

    contracts: Mapping[str, Contract] = field(default_factory=dict)
    routes: Mapping[str, Route] = field(default_factory=dict)
    machines: Mapping[str, Machine] = field(default_factory=dict)
    windows: Mapping[str, Window] = field(default_factory=dict)
    used: Mapping[str, Mapping[int, float]] = field(default_factory=dict)

    def tenants(self, machine: str) -> dict[str, Contract]:
        """The tenants whose traffic a machine serves."""
        known_machine = self.machines.get(machine)
        if known_machine is None:
            return {}
        routes = [
            r
            for r in self.routes.values()
            if any(name == known_machine.service for name, _ in r.service_shares)
        ]
        return {n: c for n, c in self.contracts.items() if any(c.covers(r) for r in routes)}

    def uncovered_routes(self, machine: str) -> list[str]:
        """Routes on a machine that belong to no tenant, so that nobody can approve maintenance for them."""
        known_machine = self.machines.get(machine)
        if known_machine is None:
            return []
        return sorted(
            r.name
            for r in self.routes.values()
            if any(name == known_machine.service for name, _ in r.service_shares)
            and not any(c.covers(r) for c in self.contracts.values())
        )


def hour_of_week(time_s: float) -> int:
    return int(time_s // 3600 + 3 * 24) % 168  # 1970-01-01 was a Thursday


def plan(request: WindowRequest, now: float, state: FleetState) -> Window | list[Finding]:
    """Plan a window; returns findings if it cannot be carried out."""
    findings = _request_findings(request, now, state)
    if findings:
        return findings
    drain_s = _drain_s(request, state)
    steps: list[Step] = []
    for machine in request.machines:
        tenants = _tenants(request, machine, state)
        found = _find_slot(request, machine, tenants, drain_s, now, state, steps)
        if isinstance(found, Finding):
            findings.append(found)
            continue
        routes = sorted(r.name for r in state.routes.values() if any(c.covers(r) for c in tenants.values()))
        whole = sum(m.slots for m in state.machines.values() if m.service == state.machines[machine].service)
        outage, latest = found
        steps.append(
            Step(machine, tuple(sorted(tenants)), tuple(routes), outage.begin, outage.end, latest, whole)
        )
    if findings:
        return findings
    return Window(
        request.name,
        request.begin,
        request.end,
        drain_s,
        request.return_s,
        tuple(steps),
        request.works_s,
        request.at_once,
    )


def _request_findings(request: WindowRequest, now: float, state: FleetState) -> list[Finding]:
    where = f"windows.{request.name}"
    found = []
    if request.end <= request.begin:
        found.append(Finding("backwards", where, "ends before it begins"))
    elif request.end <= now:
        found.append(Finding("past", where, "is over"))
    if not request.machines or len(set(request.machines)) != len(request.machines):
        found.append(Finding("machines", where, "names no machine, or one twice"))
    known = state.windows.get(request.name)
    if known is not None and not known.is_over():
        found.append(Finding("running", where, f"there is one of this name, {known.state()}"))
    for machine in request.machines:
        location = f"{where}.{machine}"
        if machine not in state.machines:
            found.append(Finding("unknown_machine", location, "no machine of this name has a server"))
            continue
        if uncovered := state.uncovered_routes(machine):
            found.append(
                Finding(
                    "no_contract", location, f"serves {', '.join(uncovered[:3])}, which no contract covers"
                )
            )
        for other in state.windows.values():
            step = other.step_of(machine)
            if step is not None and step.stage not in FINAL_STAGES and other.name != request.name:
                found.append(Finding("taken", location, f"window {other.name} has it, {step.stage}"))
    for tenant in sorted(request.tenants - set(state.contracts)):
        found.append(Finding("unknown_tenant", where, f"there is no contract {tenant}"))
    return found


def _tenants(request: WindowRequest, machine: str, state: FleetState) -> dict[str, Contract]:
    tenants = state.tenants(machine)
    return {name: c for name, c in tenants.items() if not request.tenants or name in request.tenants}


def _drain_s(request: WindowRequest, state: FleetState) -> float:
    """The drain time: one second more than the longest timeout of the tenants' routes."""
    timeouts_s = [
        route.timeout_ms / 1000.0
        for machine in request.machines
        for contract in _tenants(request, machine, state).values()
        for route in state.routes.values()
        if contract.covers(route)
    ]
    return max(timeouts_s, default=0.0) + 1.0


def _find_slot(
    request: WindowRequest,
    machine: str,
    tenants: Mapping[str, Contract],
    drain_s: float,
    now: float,
    state: FleetState,
    steps: list[Step],
) -> tuple[Interval, float] | Finding:
    """The first interval in which a machine may be out, and the latest time at which it must be back."""
    where = f"windows.{request.name}.{machine}"
    if not tenants:
        return Finding("no_tenant", where, "serves none of these tenants")
    min_length_s = drain_s + max(request.works_s, 1.0) + request.return_s
    free = approved_intervals(tenants.values(), request.begin, request.end)
    long_enough = [s for s in free if s.end - s.begin >= min_length_s]
    if not long_enough:
        return _outside_hours(where, tenants, min_length_s, request, now)
    last_objection = ""
    for interval in long_enough:
        for begin in _candidate_starts(interval, min_length_s, request, tenants, now, state, steps):
            end = begin + min_length_s if request.works_s else interval.end
            # The machine returns early enough for its return phase to end within the interval.
            outage = Interval(begin, end - request.return_s)
            if (objection := _slot_objection(request, machine, tenants, outage, now, state, steps)) is None:
                return outage, interval.end - request.return_s
            last_objection = objection
    return Finding("not_possible", where, last_objection)


def _candidate_starts(
    interval: Interval,
    min_length_s: float,
    request: WindowRequest,
    tenants: Mapping[str, Contract],
    now: float,
    state: FleetState,
    steps: list[Step],
) -> list[float]:
    """Candidate starts within an interval: its begin, the end of notice, returns of machines, each minute."""
    candidates = {interval.begin, now + max(c.notice_s for c in tenants.values())}
    candidates |= {step.back + request.return_s for step in steps}
    for window in state.windows.values():
        candidates |= {step.back + window.return_s for step in window.steps if step.stage not in FINAL_STAGES}
    last = interval.end - min_length_s
    candidates |= {
        interval.begin + START_STEP_S * i for i in range(1, int((last - interval.begin) / START_STEP_S) + 1)
    }
    return sorted(begin for begin in candidates if interval.begin <= begin <= last)


def _outside_hours(
    where: str, tenants: Mapping[str, Contract], min_length_s: float, request: WindowRequest, now: float
) -> Finding:
    """The finding that no time in the window is approved, with the next time that is."""
    begin = max(now, request.begin)
    ahead = [
        s
        for s in approved_intervals(tenants.values(), begin, begin + LOOKAHEAD_S)
        if s.end - s.begin >= min_length_s
    ]
    zone = next(iter(tenants.values())).hours.zone
    if ahead:
        text = (
            f"not approved for {_join_names(tenants)} within the window, which needs {min_length_s:.0f} s: "
        )
        return Finding("outside_hours", where, text + f"possible {_format_interval(ahead[0], zone)}")
    never = [n for n, c in tenants.items() if not approved_intervals([c], begin, begin + LOOKAHEAD_S)]
    if never:
        return Finding(
            "never", where, f"nothing is approved for {', '.join(sorted(never))} in the coming days"
        )
    return Finding(
        "never",
        where,
        f"the hours of {_join_names(tenants)} do not meet for {min_length_s:.0f} s in the coming days",
    )


def _join_names(tenants: Mapping[str, Contract]) -> str:
    return " and ".join(sorted(tenants))


def _format_interval(interval: Interval, zone: ZoneInfo) -> str:
    begin, end = (datetime.fromtimestamp(at, zone) for at in (interval.begin, interval.end))
    return f"{begin:%Y-%m-%d %H:%M} to {end:%Y-%m-%d %H:%M} ({zone.key})"


def approved_intervals(contracts: Iterable[Contract], begin: float, end: float) -> list[Interval]:
    """The times that every contract approves, reduced by the allowed clock skew at both ends."""
    free = [Interval(begin, end)]
    for contract in contracts:
        free = intersect(free, contract.hours.intervals_between(begin - 60.0, end + 60.0))
    return shrink(merge_intervals(free), MAX_CLOCK_SKEW_S)


def _slot_objection(
    request: WindowRequest,
    machine: str,
    tenants: Mapping[str, Contract],
    outage: Interval,
    now: float,
    state: FleetState,
    steps: list[Step],
) -> str | None:
    """Why a machine must not be out for this interval; None: it may be."""
    for contract in tenants.values():
        if outage.begin < now + contract.notice_s:
            return f"{contract.name} is to be told {contract.notice_s:.0f} s before"
    others = [s for s in steps if _overlaps(s, outage, request.return_s)]
    if len(others) >= request.at_once:
        hint = (
            ""
            if request.works_s
            else "; say how long the works take, else the first machine has all the time"
        )
        return f"{request.at_once} at once are all that the order allows{hint}"
    others += [
        step
        for window in state.windows.values()
        for step in window.steps
        if step.stage not in FINAL_STAGES
        and window.name != request.name
        and _overlaps(step, outage, window.return_s)
    ]
    return capacity_objection(machine, tenants.values(), others, outage, state)


def _overlaps(step: Step, outage: Interval, return_s: float) -> bool:
    return step.leave < outage.end + return_s and outage.begin < step.back + return_s


def capacity_objection(
    machine: str,
    tenants: Iterable[Contract],
    others: Iterable[Step],
    outage: Interval,
    state: FleetState,
    planned: int = 0,
) -> str | None:
    """Why taking out a machine besides others would exceed what contracts allow; None: it would not.

    planned: the slots of its service when the plan was made, as some may have been lost since.
    """
    known_machine = state.machines[machine]
    away = {step.machine for step in others} | {machine}
    same = [m for m in state.machines.values() if m.service == known_machine.service]
    whole = max(planned, sum(m.slots for m in same))
    left = sum(m.slots for m in same if m.ready and m.name not in away)
    for contract in tenants:
        out = sum(contract.name in step.tenants for step in others if step.machine != machine) + 1
        if out > contract.max_machines_out:
            return f"{contract.name} has {out - 1} out already, {contract.max_machines_out} is the most"
        if not left:
            return f"nobody else serves {known_machine.service} for {contract.name}"
        if left < contract.min_capacity_left * whole:
            stay = f"{left} of {whole} slots of {known_machine.service} would stay"
            return f"{stay}, {contract.name} wants {contract.min_capacity_left:.0%}"
    hours = range(int(outage.begin // 3600), int(math.ceil(outage.end / 3600)))
    used = max(
        (state.used.get(known_machine.service, {}).get(hour_of_week(3600.0 * h), 0.0) for h in hours),
        default=0.0,
    )
    if used > MAX_LOAD_FRACTION * left:
        return f"{used:.0f} slots of {known_machine.service} were in use at that hour, {left} would stay"
    return None

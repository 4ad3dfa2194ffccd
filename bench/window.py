"""A maintenance window under traffic, measured: python -m bench.window [--pairs N] [--jobs N].

Each pair runs one seed twice on the whole mesh in virtual time, at 70% of its servers' capacity: without a
window, and with one that drains a machine of the busiest service of its tenants' traffic for about 12 s. In
every second pair the control machine that holds the maintenance lease is killed while the machine is drained.
Further runs request a window outside the hours that the contracts approve.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Any

from leadrudder.configuration.items import read_route
from leadrudder.consensus.lease import MAINTENANCE
from leadrudder.emulation.fleet import BookingOutcomes, Fleet, FleetPlan, Machine
from leadrudder.emulation.standins import RequestKind
from leadrudder.simulation.world import START_UNIX_TIME_S

SLOTS, WORK_S, LOAD = 6, 0.1, 0.7
SERVICES = {"kal": 8, "var": 4}
TRAFFIC_START_S, WINDOW_START_S, TRAFFIC_END_S, RUN_END_S = 8.0, 14.0, 52.0, 56.0  # virtual times
ROUTE_TIMEOUT_S = 1.5  # giveUp of all routes
WORKS_DURATION_S, RETURN_DURATION_S = 12.0, 8.0
COMPARED_PERIOD_S = (
    WINDOW_START_S - 1.0,
    WINDOW_START_S + ROUTE_TIMEOUT_S + WORKS_DURATION_S + RETURN_DURATION_S,
)  # look-ups sent in this period are compared


def route(host: str, service: str, *, once: bool) -> dict[str, Any]:
    return {
        "host": host,
        "pathStart": "/",
        "kind": "unsafe" if once else "safe",
        "giveUp": f"{ROUTE_TIMEOUT_S}s",
        "target": "300ms",
        "priority": 1,
        "service": service,
        "tries": 2,
        "version": "00000001",
    }


def plan() -> FleetPlan:
    """Two tenants: one with look-ups and bookings of one service, one with bookings of the other."""
    machines = sum(SERVICES.values())
    rates = {s: LOAD * n * SLOTS / WORK_S / machines for s, n in SERVICES.items()}
    wishes = (
        RequestKind("luku.example", once=False, per_s=0.8 * rates["kal"], deadline_s=ROUTE_TIMEOUT_S),
        RequestKind("ajat.example", once=True, per_s=0.2 * rates["kal"], deadline_s=ROUTE_TIMEOUT_S),
        RequestKind("varaus.example", once=True, per_s=rates["var"], deadline_s=ROUTE_TIMEOUT_S),
    )
    routes = {
        "luku": route("luku.example", "kal", once=False),
        "ajat": route("ajat.example", "kal", once=True),
        "varaus": route("varaus.example", "var", once=True),
    }
    return FleetPlan(
        SERVICES,
        wishes,
        routes,
        slots=SLOTS,
        work_s=WORK_S,
        traffic_period_s=(TRAFFIC_START_S, TRAFFIC_END_S),
    )


LOOKUP_ROUTE = read_route("luku", route("luku.example", "kal", once=False))


def contracts(*, approved: bool) -> dict[str, Any]:
    """One contract for each tenant; not approved: the approved hours are twelve hours away."""
    hour = int(START_UNIX_TIME_S // 3600) % 24
    other_hours = f"{(hour + 12) % 24:02d}:00", f"{(hour + 13) % 24:02d}:00"
    begin, end = ("00:00", "24:00") if approved else other_hours
    days = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"]

    def contract(*hosts: str) -> dict[str, Any]:
        return {
            "hosts": list(hosts),
            "timeZone": "UTC",
            "approved": [{"days": days, "from": begin, "to": end}],
            "mostOut": 1,
            "capacityLeft": 0.8,
            "version": "00000001",
        }

    contracts_by_tenant = {
        "kampaamo": contract("luku.example", "ajat.example"),
        "korjaamo": contract("varaus.example"),
    }
    return {"addOrReplace": {"contracts": contracts_by_tenant}}


@dataclass(frozen=True, slots=True)
class DayResult:
    """The result of one run.

    lookups: durations in seconds during the window of the pair; out: requests of the tenants that ran at the
    machine while it was drained; stages: of the window, with their times.
    """

    bookings: BookingOutcomes
    lookups: list[float]
    faults: list[str]
    answer: int = 0
    out: int = 0
    stages: tuple[tuple[float, str], ...] = ()
    late: int = 0  # checks after the window's end at which a node still had the machine drained
    touched: int = 0  # checks at which any node had the machine drained
    back_share: float = 0.0  # requests it ran after its return, relative to the mean of the other servers


def run_ordinary_day(seed: int) -> DayResult:
    fleet = Fleet(seed, plan(), maintenance=True)
    fleet.run_until(RUN_END_S)
    return _day_result(fleet)


def _day_result(fleet: Fleet, **more: Any) -> DayResult:
    durations_s = [
        a.duration_s
        for a in fleet.sent_requests()
        if a.served_attempt and not a.once and COMPARED_PERIOD_S[0] <= a.sent_at_s <= COMPARED_PERIOD_S[1]
    ]
    return DayResult(BookingOutcomes.of(fleet), durations_s, fleet.errors, **more)


def count_draining_nodes(fleet: Fleet, machine: Machine) -> int:
    """How many nodes have the machine drained of look-ups at present."""
    return sum(
        m.node.state.machine_drains.is_drained(machine.name, LOOKUP_ROUTE)
        for m in fleet.node_machines
        if m.node is not None
    )


def run_window_day(seed: int, *, approved: bool = True, kill_lease_holder: bool = False) -> DayResult:
    fleet = Fleet(seed, plan(), maintenance=True)
    machine = fleet.node_machines[seed % SERVICES["kal"]]
    window_request = {
        "from": START_UNIX_TIME_S + WINDOW_START_S - 3.0,
        "to": START_UNIX_TIME_S
        + WINDOW_START_S
        + ROUTE_TIMEOUT_S
        + WORKS_DURATION_S
        + RETURN_DURATION_S
        + 8.0,
        "machines": [machine.name],
        "works": f"{WORKS_DURATION_S}s",
        "return": f"{RETURN_DURATION_S}s",
    }
    responses: list[tuple[int, bytes]] = []
    stages: list[tuple[float, str]] = []
    touched: set[float] = set()
    runs_at_return: dict[str, int] = {}  # runs of the service's servers when the machine was back
    late = out = 0

    async def operate() -> None:
        responses.append(await fleet.call_operator_api("PATCH", "/contracts", contracts(approved=approved)))
        responses.append(await fleet.call_operator_api("POST", "/maintenance/huolto", window_request))

    fleet.call_at(TRAFFIC_START_S + 1.0, lambda: fleet.run_operator(operate))
    killed: Machine | None = None
    assert machine.server is not None
    while fleet.now < RUN_END_S:
        fleet.run_until(fleet.now + 0.25)
        control_node = next(
            (m.control_node for m in fleet.control_machines if m.control_node is not None), None
        )
        windows = (
            control_node._maintenance.situation().windows
            if control_node is not None and control_node._maintenance
            else {}
        )
        step = windows["huolto"].steps[0] if "huolto" in windows else None
        stage = str(step.stage) if step is not None else ""
        if stage and (not stages or stages[-1][1] != stage):
            stages.append((fleet.now, stage))
        if stage == "back" and not runs_at_return:
            runs_at_return = _runs_by_server(fleet)
        if count_draining_nodes(fleet, machine):
            touched.add(fleet.now)
            late += step is not None and fleet.unix_time > step.back + 0.25
        if stage == "out" and stages[-1][0] < fleet.now:
            out += sum(machine.server.runs_by_host.values())
        machine.server.runs_by_host.clear()
        if kill_lease_holder and killed is None and stage == "out" and fleet.now > stages[-1][0] + 2.0:
            killed = next((m for m in fleet.control_machines if _holds_maintenance_lease(m, fleet.now)), None)
            if killed is not None:
                fleet.kill(killed, "signalbox")
                fleet.call_at(fleet.now + 6.0, lambda m=killed: fleet.start_control_node(m))  # type: ignore[misc]
    runs_since_return = {
        name: ran - runs_at_return.get(name, 0) for name, ran in _runs_by_server(fleet).items()
    }
    others = [ran for name, ran in runs_since_return.items() if name != machine.name]
    return _day_result(
        fleet,
        back_share=runs_since_return[machine.name] / max(1.0, sum(others) / len(others))
        if runs_at_return
        else 0.0,
        answer=responses[-1][0] if len(responses) == 2 else 0,
        out=out,
        stages=tuple(stages),
        late=late,
        touched=len(touched),
    )


def _runs_by_server(fleet: Fleet) -> dict[str, int]:
    """The number of runs of each server of the look-ups' service."""
    return {
        m.name: sum(m.server.runs_by_attempt.values())
        for m in fleet.node_machines
        if m.service == "kal" and m.server is not None
    }


def _holds_maintenance_lease(machine: Machine, now: float) -> bool:
    control_node = machine.control_node
    return control_node is not None and control_node.state_machine.leases.holds(MAINTENANCE, now)


def run_pair(seed: int) -> tuple[DayResult, DayResult]:
    return run_ordinary_day(seed), run_window_day(seed, kill_lease_holder=seed % 2 == 1)


def run_unapproved_window(seed: int) -> DayResult:
    return run_window_day(seed, approved=False)


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="bench.window", description=__doc__)
    parser.add_argument("--pairs", type=int, default=30)
    parser.add_argument("--refused", type=int, default=4)
    parser.add_argument("--jobs", type=int, default=8)
    options = parser.parse_args(arguments)
    with ProcessPoolExecutor(options.jobs) as pool:
        pairs = list(pool.map(run_pair, range(options.pairs)))
        unapproved = list(pool.map(run_unapproved_window, range(options.refused)))
    failed = 0
    for seed, (ordinary, day) in enumerate(pairs):
        names = [stage for _, stage in day.stages]
        ok = names[-1:] == ["back"] and day.answer == 200 and not day.out and not day.late
        failed += not ok or bool(ordinary.faults or day.faults)
        if not ok or day.faults:
            print(f"seed {seed}: {day.answer}, {day.stages}, {day.out} ran while out, {day.faults[:2]}")
    days = [day for _, day in pairs]
    figures = {
        "pairs": len(pairs),
        "bookings_asked": sum(d.bookings.asked for d in days),
        "landed_once": sum(d.bookings.landed_once for d in days),
        "lost": sum(d.bookings.lost for d in days),
        "twice": sum(d.bookings.twice for d in days),
    }
    not_landed = [
        sum(b.bookings.in_doubt + b.bookings.refused for b in side) for side in zip(*pairs, strict=True)
    ]
    print(f"not landed, ordinary and with a window: {not_landed[0]}, {not_landed[1]}")
    print(json.dumps({"stages": days[0].stages}))
    durations_without = sorted(t for ordinary, _ in pairs for t in ordinary.lookups)
    durations_with = sorted(t for day in days for t in day.lookups)
    line = " ".join(f"{name}={value}" for name, value in figures.items())
    print(
        f"{line} lookup_p50_ratio={_quantile_ratio(durations_with, durations_without, 0.5):.3f} "
        f"lookup_p99_ratio={_quantile_ratio(durations_with, durations_without, 0.99):.3f} "
        f"back_share={sum(d.back_share for d in days) / len(days):.2f} "
        f"outside_hours_touched={sum(d.touched for d in unapproved)} "
        f"put_back_late={sum(d.late for d in days)}"
    )
    return 1 if failed or any(d.answer != 409 for d in unapproved) else 0


def _quantile_ratio(one: list[float], other: list[float], fraction: float) -> float:
    return one[int(fraction * len(one))] / other[int(fraction * len(other))]


if __name__ == "__main__":
    sys.exit(main())

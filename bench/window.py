"""A maintenance window on live traffic, measured: python -m bench.window [--pairs N] [--jobs N].

Each pair plays one seed twice on the whole mesh in virtual time, at 70% of what its servers can do: an
ordinary day, and one on which a machine of the busiest service is lent out of its tenants' traffic for a
quarter of a minute. In every second pair the signalbox that holds the duty dies while the machine is out. A
third play of some seeds asks for a window that the contracts do not approve.
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
from leadrudder.emulation.fleet import Bookings, Fleet, Machine, Plan
from leadrudder.emulation.standins import Wish
from leadrudder.simulation.world import START_UNIX_TIME_S

SLOTS, WORK_S, LOAD = 6, 0.1, 0.7
SERVICES = {"kal": 8, "var": 4}
BEGIN_S, LENT_S, END_S, LAST_S = 8.0, 14.0, 52.0, 56.0  # traffic, the window, end of traffic, end of the play
HELD_S = 1.5  # giveUp of all routes
WORKS_S, RETURN_S = 12.0, 8.0
LOOKED = (LENT_S - 1.0, LENT_S + HELD_S + WORKS_S + RETURN_S)  # look-ups of these seconds are compared


def route(host: str, service: str, *, once: bool) -> dict[str, Any]:
    return {
        "host": host,
        "pathStart": "/",
        "kind": "unsafe" if once else "safe",
        "giveUp": f"{HELD_S}s",
        "target": "300ms",
        "priority": 1,
        "service": service,
        "tries": 2,
        "version": "00000001",
    }


def plan() -> Plan:
    """Two tenants: look-ups of one service, bookings of the other."""
    machines = sum(SERVICES.values())
    rates = {s: LOAD * n * SLOTS / WORK_S / machines for s, n in SERVICES.items()}
    wishes = (
        Wish("luku.example", once=False, per_s=0.8 * rates["kal"], deadline_s=HELD_S),
        Wish("ajat.example", once=True, per_s=0.2 * rates["kal"], deadline_s=HELD_S),
        Wish("varaus.example", once=True, per_s=rates["var"], deadline_s=HELD_S),
    )
    routes = {
        "luku": route("luku.example", "kal", once=False),
        "ajat": route("ajat.example", "kal", once=True),
        "varaus": route("varaus.example", "var", once=True),
    }
    return Plan(SERVICES, wishes, routes, slots=SLOTS, work_s=WORK_S, traffic=(BEGIN_S, END_S))


LOOKUPS = read_route("luku", route("luku.example", "kal", once=False))


def contracts(*, approved: bool) -> dict[str, Any]:
    """Of one tenant for each service; not approved: its hours are twelve hours away."""
    hour = int(START_UNIX_TIME_S // 3600) % 24
    far = f"{(hour + 12) % 24:02d}:00", f"{(hour + 13) % 24:02d}:00"
    begin, end = ("00:00", "24:00") if approved else far
    days = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"]

    def of(*hosts: str) -> dict[str, Any]:
        return {
            "hosts": list(hosts),
            "timeZone": "UTC",
            "approved": [{"days": days, "from": begin, "to": end}],
            "mostOut": 1,
            "capacityLeft": 0.8,
            "version": "00000001",
        }

    made = {"kampaamo": of("luku.example", "ajat.example"), "korjaamo": of("varaus.example")}
    return {"addOrReplace": {"contracts": made}}


@dataclass(frozen=True, slots=True)
class Day:
    """What one play came to.  lookups: seconds, while the window of the pair stands; out: requests of the
    tenants that ran at the machine while it was out; stages: of the window, with their times.
    """

    bookings: Bookings
    lookups: list[float]
    faults: list[str]
    answer: int = 0
    out: int = 0
    stages: tuple[tuple[float, str], ...] = ()
    late: int = 0  # stations that held the machine as lent after the loan's end
    touched: int = 0  # that ever held any machine as lent
    back_share: float = 0.0  # of requests, against the mean of its like, from the end of its return on


def ordinary(seed: int) -> Day:
    fleet = Fleet(seed, plan(), possession=True)
    fleet.play(LAST_S)
    return _day(fleet)


def _day(fleet: Fleet, **more: Any) -> Day:
    took = [a.took_s for a in fleet.asked() if a.served and not a.once and LOOKED[0] <= a.at <= LOOKED[1]]
    return Day(Bookings.of(fleet), took, fleet.faults, **more)


def lent(fleet: Fleet, machine: Machine) -> int:
    """How many stations hold a machine as lent out of the look-ups just now."""
    return sum(
        m.station.state.machine_drains.is_drained(machine.name, LOOKUPS)
        for m in fleet.side
        if m.station is not None
    )


def window(seed: int, *, approved: bool = True, lose_holder: bool = False) -> Day:
    fleet = Fleet(seed, plan(), possession=True)
    machine = fleet.side[seed % SERVICES["kal"]]
    order = {
        "from": START_UNIX_TIME_S + LENT_S - 3.0,
        "to": START_UNIX_TIME_S + LENT_S + HELD_S + WORKS_S + RETURN_S + 8.0,
        "machines": [machine.name],
        "works": f"{WORKS_S}s",
        "return": f"{RETURN_S}s",
    }
    answers: list[tuple[int, bytes]] = []
    stages: list[tuple[float, str]] = []
    touched: set[float] = set()
    before: dict[str, int] = {}  # what servers of the service had run when the machine was back
    late = out = 0

    async def operate() -> None:
        answers.append(await fleet.ask("PATCH", "/contracts", contracts(approved=approved)))
        answers.append(await fleet.ask("POST", "/maintenance/huolto", order))

    fleet.at(BEGIN_S + 1.0, lambda: fleet.operate(operate))
    lost: Machine | None = None
    assert machine.server is not None
    while fleet.now < LAST_S:
        fleet.play(fleet.now + 0.25)
        box = next((m.signalbox for m in fleet.core if m.signalbox is not None), None)
        windows = box._maintenance.situation().windows if box is not None and box._maintenance else {}
        step = windows["huolto"].steps[0] if "huolto" in windows else None
        stage = str(step.stage) if step is not None else ""
        if stage and (not stages or stages[-1][1] != stage):
            stages.append((fleet.now, stage))
        if stage == "back" and not before:
            before = _runs(fleet)
        if lent(fleet, machine):
            touched.add(fleet.now)
            late += step is not None and fleet.wall > step.back + 0.25
        if stage == "out" and stages[-1][0] < fleet.now:
            out += sum(machine.server.hosts.values())
        machine.server.hosts.clear()
        if lose_holder and lost is None and stage == "out" and fleet.now > stages[-1][0] + 2.0:
            lost = next((m for m in fleet.core if _holds(m, fleet.now)), None)
            if lost is not None:
                fleet.kill(lost, "signalbox")
                fleet.at(fleet.now + 6.0, lambda m=lost: fleet.start_signalbox(m))  # type: ignore[misc]
    since = {name: ran - before.get(name, 0) for name, ran in _runs(fleet).items()}
    others = [ran for name, ran in since.items() if name != machine.name]
    return _day(
        fleet,
        back_share=since[machine.name] / max(1.0, sum(others) / len(others)) if before else 0.0,
        answer=answers[-1][0] if len(answers) == 2 else 0,
        out=out,
        stages=tuple(stages),
        late=late,
        touched=len(touched),
    )


def _runs(fleet: Fleet) -> dict[str, int]:
    """What each server of the look-ups' service has run."""
    return {
        m.name: sum(m.server.runs.values()) for m in fleet.side if m.service == "kal" and m.server is not None
    }


def _holds(machine: Machine, now: float) -> bool:
    box = machine.signalbox
    return box is not None and box.state_machine.leases.holds(MAINTENANCE, now)


def pair(seed: int) -> tuple[Day, Day]:
    return ordinary(seed), window(seed, lose_holder=seed % 2 == 1)


def refused(seed: int) -> Day:
    return window(seed, approved=False)


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="bench.window", description=__doc__)
    parser.add_argument("--pairs", type=int, default=30)
    parser.add_argument("--refused", type=int, default=4)
    parser.add_argument("--jobs", type=int, default=8)
    told = parser.parse_args(arguments)
    with ProcessPoolExecutor(told.jobs) as pool:
        pairs = list(pool.map(pair, range(told.pairs)))
        outside = list(pool.map(refused, range(told.refused)))
    wrong = 0
    for seed, (before, day) in enumerate(pairs):
        names = [stage for _, stage in day.stages]
        ok = names[-1:] == ["back"] and day.answer == 200 and not day.out and not day.late
        wrong += not ok or bool(before.faults or day.faults)
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
    doubt = [sum(b.bookings.in_doubt + b.bookings.refused for b in side) for side in zip(*pairs, strict=True)]
    print(f"not landed, ordinary and with a window: {doubt[0]}, {doubt[1]}")
    print(json.dumps({"stages": days[0].stages}))
    plain = sorted(t for before, _ in pairs for t in before.lookups)
    with_window = sorted(t for day in days for t in day.lookups)
    line = " ".join(f"{name}={value}" for name, value in figures.items())
    print(
        f"{line} lookup_p50_ratio={_ratio(with_window, plain, 0.5):.3f} "
        f"lookup_p99_ratio={_ratio(with_window, plain, 0.99):.3f} "
        f"back_share={sum(d.back_share for d in days) / len(days):.2f} "
        f"outside_hours_touched={sum(d.touched for d in outside)} put_back_late={sum(d.late for d in days)}"
    )
    return 1 if wrong or any(d.answer != 409 for d in outside) else 0


def _ratio(one: list[float], other: list[float], part: float) -> float:
    return one[int(part * len(one))] / other[int(part * len(other))]


if __name__ == "__main__":
    sys.exit(main())

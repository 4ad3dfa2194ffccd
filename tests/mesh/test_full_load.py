"""A mesh under full load in virtual time: servers that call each other, and no slack for waste."""

from __future__ import annotations

import unittest
from collections import Counter
from typing import Any

from leadrudder.emulation.fleet import Fleet, Plan
from leadrudder.emulation.standins import InternalCall, Wish, Work

AIM_S = 0.3
INTERNAL_AIM_S = 0.08
BEGINS_S, ENDS_S = 6.0, 9.0
SERVERS = 6  # of each service
SLOTS = 5
LONG_S, INTERNAL_S = 0.08, 0.02


def route(host: str, service: str, aim_s: float, priority: int, *, once: bool = False) -> dict[str, Any]:
    return {
        "host": host,
        "pathStart": "/",
        "kind": "unsafe" if once else "safe",
        "giveUp": f"{4 * aim_s}s",
        "target": f"{aim_s}s",
        "priority": priority,
        "service": service,
        "tries": 2,
        "version": "00000001",
    }


def plan(load: float) -> Plan:
    """Look-ups and bookings, each with a call to the other service, which works on it as well.

    load: slots that work and calls take if nothing ever waits, as a part of all; the same at both services.
    """
    slots = SLOTS / 2  # of one service, for each machine
    lookups = bookings = load * slots / (LONG_S + 2 * INTERNAL_S)
    internal = InternalCall("vapaat.example", 0.25), InternalCall("saannot.example", 0.25)
    return Plan(
        {"kal": SERVERS, "var": SERVERS},
        (
            Wish("luku.example", once=False, per_s=lookups, deadline_s=4 * AIM_S),
            Wish("varaus.example", once=True, per_s=bookings, deadline_s=4 * AIM_S),
        ),
        {
            "luku": route("luku.example", "kal", AIM_S, 2),
            "varaus": route("varaus.example", "var", AIM_S, 1, once=True),
            "vapaat": route("vapaat.example", "var", INTERNAL_AIM_S, 1),
            "saannot": route("saannot.example", "kal", INTERNAL_AIM_S, 1),
        },
        slots=SLOTS,
        works={
            "luku.example": Work(LONG_S, (internal[0],)),
            "varaus.example": Work(LONG_S, (internal[1],)),
            "vapaat.example": Work(INTERNAL_S),
            "saannot.example": Work(INTERNAL_S),
        },
        traffic=(BEGINS_S, ENDS_S),
    )


class Loaded(unittest.TestCase):
    """What it was before the mend is told in docs/incidents/loaded-days.md."""

    def play(self, load: float) -> tuple[float, float]:
        """The share of requests served in time, and calls refused for each run of a server."""
        fleet = Fleet(7, plan(load))
        fleet.play(ENDS_S + 1.5)
        self.assertEqual(fleet.faults, [])
        asked = fleet.asked()
        in_time = sum(bool(a.served) and a.took_s <= AIM_S for a in asked)
        refused: Counter[str] = Counter()
        for machine in fleet.side:
            assert machine.station is not None
            refused.update(machine.station.traffic.refused)
        return in_time / len(asked), sum(refused.values()) / sum(fleet.runs().values())

    def test_at_four_fifths_of_the_slots_nearly_all_is_served_in_time(self) -> None:
        in_time, refused = self.play(0.8)
        self.assertGreater(in_time, 0.95)
        self.assertLess(refused, 0.25)

    def test_near_the_last_slot_most_is_served_in_time(self) -> None:
        in_time, refused = self.play(0.95)
        self.assertGreater(in_time, 0.75)
        self.assertLess(refused, 1.0)

    def test_beyond_all_slots_refusals_do_not_eat_what_there_is(self) -> None:
        in_time, refused = self.play(1.3)
        self.assertGreater(in_time, 0.4)
        self.assertLess(refused, 5.0)


if __name__ == "__main__":
    unittest.main()

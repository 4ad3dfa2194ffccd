"""Whole meshes in virtual time: they serve, lose a signalbox, and lend a machine to a window."""

from __future__ import annotations

import json
import unittest
from typing import Any

from bench.window import LOOKUPS, contracts, route
from leadrudder.consensus.lease import MAINTENANCE
from leadrudder.emulation.fleet import COLD_PER_S, Bookings, Fleet, Machine, Plan
from leadrudder.emulation.standins import Wish
from leadrudder.maintenance.ledger import CLOSE_AFTER_EPOCHS, EPOCH_S, FleetTotals, Ledger, report
from leadrudder.mesh import windows
from leadrudder.protocol.outcome import ServerResponse
from leadrudder.simulation import world

PLAN = Plan(
    {"kal": 3, "var": 2},
    (
        Wish("luku.example", once=False, per_s=6.0, deadline_s=1.5),
        Wish("ajat.example", once=True, per_s=2.0, deadline_s=1.5),
        Wish("varaus.example", once=True, per_s=4.0, deadline_s=1.5),
    ),
    {
        "luku": route("luku.example", "kal", once=False),
        "ajat": route("ajat.example", "kal", once=True),
        "varaus": route("varaus.example", "var", once=True),
    },
    traffic=(6.0, 40.0),
)


def order(*machines: str, **changes: Any) -> dict[str, Any]:
    given = {
        "from": world.START_UNIX_TIME_S + 8.0,
        "to": world.START_UNIX_TIME_S + 36.0,
        "works": "5s",
        "return": "3s",
    }
    return {**given, "machines": list(machines), **changes}


class Emulation(unittest.TestCase):
    def fleet(
        self, seed: int = 1, *, approved: bool = True, terms: dict[str, Any] | None = None, **asked: Any
    ) -> Fleet:
        """A mesh whose operator sends contracts, and asks for a window if one is given."""
        fleet = Fleet(seed, PLAN, possession=True)
        self.answers: list[tuple[int, bytes]] = []
        body = contracts(approved=approved)
        if terms is not None:
            body["addOrReplace"]["contracts"] = terms
        for each in body["addOrReplace"]["contracts"].values():
            each["capacityLeft"] = 0.5

        async def operate() -> None:
            self.answers.append(await fleet.ask("PATCH", "/contracts", body))
            if asked:
                self.answers.append(await fleet.ask("POST", "/maintenance/huolto", asked))

        fleet.at(5.0, lambda: fleet.operate(operate))
        return fleet

    def lent(self, fleet: Fleet) -> list[str]:
        """Stations that hold the first machine as lent."""
        holds = [m for m in fleet.side if m.station is not None]
        return [
            m.name
            for m in holds
            if m.station and m.station.state.machine_drains.is_drained("side-0", LOOKUPS)
        ]

    def landed(self, fleet: Fleet, doubt: int = 0) -> None:
        """Every booking landed once; doubt: but for so many, whose clients were told of no success."""
        told = Bookings.of(fleet)
        self.assertGreater(told.asked, 300)
        self.assertEqual((told.lost, told.twice), (0, 0))
        self.assertLessEqual(told.asked - told.landed_once, doubt)
        self.assertEqual(fleet.faults, [])

    def ran(self, fleet: Fleet, until: float) -> dict[str, int]:
        """What the first machine's server runs from now on, by host."""
        server = fleet.side[0].server
        assert server is not None
        server.hosts.clear()
        fleet.play(until)
        return dict(server.hosts)

    def test_a_mesh_serves_and_the_same_seed_plays_the_same(self) -> None:
        digests = set()
        for _ in range(2):
            fleet = Fleet(3, PLAN)
            fleet.play(12.0)
            self.assertGreater(sum(bool(a.served) for a in fleet.asked()), 200)
            digests.add(fleet.scheduler.digest())
        self.assertEqual(len(digests), 1)

    def test_sessions_are_in_the_own_zone_and_elsewhere_when_that_is_gone(self) -> None:
        fleet = Fleet(2, PLAN)
        fleet.play(6.0)
        self.assertEqual(self.sessions(fleet), {m.name: m.zone for m in fleet.side})
        lost = fleet.core[0]
        fleet.kill(lost, "signalbox")
        fleet.play(9.0)
        self.assertNotIn(lost.zone, self.sessions(fleet).values())
        self.assertEqual(len(self.sessions(fleet)), len(fleet.side))
        fleet.start_signalbox(lost)
        fleet.play(12.0)
        fleet.kill(fleet.side[0], "station")
        fleet.start_station(fleet.side[0])  # one that begins finds the signalbox of its zone again
        fleet.play(15.0)
        self.assertEqual(self.sessions(fleet)["side-0"], lost.zone)
        self.assertEqual(fleet.faults, [])

    def sessions(self, fleet: Fleet) -> dict[str, str]:
        """By station with a session, the zone of its signalbox."""
        found = {}
        for machine in fleet.side:
            link = machine.station._session._link if machine.station is not None else None
            if link is not None and machine.station is not None and machine.station._session.established():
                found[machine.name] = next(c.zone for c in fleet.core if link.peer.startswith(c.host + ":"))
        return found

    def test_without_the_flag_there_are_no_windows(self) -> None:
        fleet = Fleet(1, PLAN)
        got: list[tuple[int, bytes]] = []

        async def operate() -> None:
            got.append(await fleet.ask("GET", "/maintenance"))

        fleet.at(5.0, lambda: fleet.operate(operate))
        fleet.play(7.0)
        self.assertEqual([status for status, _ in got], [404])

    def test_a_window_runs_on_live_traffic_and_every_booking_lands_once(self) -> None:
        fleet = self.fleet(**order("side-0"))
        server = fleet.side[0].server
        assert server is not None
        fleet.play(10.0)
        self.assertEqual([status for status, _ in self.answers], [200, 200])
        fleet.play(13.5)  # lent from 10.0 on; drained after the routes' giveUp
        self.assertEqual(len(self.lent(fleet)), 5)
        server.hosts.clear()
        fleet.play(16.0)
        self.assertEqual(server.hosts["luku.example"], 0)
        fleet.play(24.0)
        self.assertEqual(self.lent(fleet), [])
        self.assertGreater(server.hosts["luku.example"], 10)
        fleet.play(42.0)
        self.landed(fleet)

    def test_the_report_closes_the_books_by_both_ends(self) -> None:
        fleet = self.fleet(11, **order("side-0"))
        reports: list[dict[str, Any]] = []

        async def look() -> None:
            _, body = await fleet.ask("GET", "/maintenance/huolto")
            reports.append(json.loads(body))

        fleet.at(64.0, lambda: fleet.operate(look))
        fleet.play(66.0)
        (told,) = reports
        self.assertEqual(told["state"], "done")
        bookings = told["report"]["var"]
        self.assertGreater(bookings["asked"], 100)
        self.assertEqual(bookings["asked"], bookings["landed"])
        self.assertEqual([bookings[k] for k in ("lost", "twice", "in_doubt")], [0, 0, 0])
        self.assertGreater(told["report"]["kal"]["lookups"], 100)
        shown = windows.render_report(told)
        self.assertIn("<svg", shown)
        self.assertIn(f"<td>{bookings['landed']}", shown)

    def test_a_booking_that_ran_twice_or_never_is_told(self) -> None:
        here, there = Ledger(), Ledger()
        for number in range(3):
            here.record_answer("var", 100, True, f"x{number}", ServerResponse(200, b"", b""), 50.0)
        for _ in range(2):
            there.record_execution("var", 100)
        epochs = 100 * EPOCH_S + CLOSE_AFTER_EPOCHS * EPOCH_S
        totals = FleetTotals()
        for name, each in (("a", here), ("b", there)):
            each.close_epochs(epochs)
            totals.add_report(name, each.through, each.closed.values())
        through, counted = totals.latest_counts()
        self.assertEqual(through, 100)
        self.assertEqual(report({}, counted, {})["var"]["lost"], 1)
        for _ in range(3):
            there.record_execution("var", 100)  # late: counted all the same
        there.close_epochs(epochs + EPOCH_S)
        here.close_epochs(epochs + EPOCH_S)
        for name, each in (("a", here), ("b", there)):
            totals.add_report(name, each.through, each.closed.values())
        self.assertEqual(report({}, totals.latest_counts()[1], {})["var"]["twice"], 2)

    def test_one_tenant_leaves_a_machine_and_the_other_stays(self) -> None:
        terms = contracts(approved=True)["addOrReplace"]["contracts"]
        terms["hieroja"] = {**terms["kampaamo"], "hosts": ["ajat.example"]}
        terms["kampaamo"] = {**terms["kampaamo"], "hosts": ["luku.example"]}
        fleet = self.fleet(13, terms=terms, **order("side-0", tenants=["kampaamo"]))
        fleet.play(13.5)
        self.assertEqual(len(self.lent(fleet)), 5)
        ran = self.ran(fleet, 16.5)
        self.assertNotIn("luku.example", ran)
        self.assertGreater(ran["ajat.example"], 3)
        fleet.play(42.0)
        self.landed(fleet)

    def test_a_route_that_comes_while_a_machine_is_out_goes_elsewhere(self) -> None:
        fleet = self.fleet(15, **order("side-0", works="12s"))
        fleet.play(13.5)
        moved = {**route("luku.example", "kal", once=False), "pathStart": "/a", "version": "00000002"}
        change = {"addOrReplace": {"routes": {"luku-2": moved}}}
        got: list[tuple[int, bytes]] = []

        async def operate() -> None:
            got.append(await fleet.ask("PATCH", "/config", change))

        fleet.operate(operate)
        fleet.play(15.0)
        self.assertEqual([status for status, _ in got], [200])
        self.assertNotIn("luku.example", self.ran(fleet, 20.0))
        fleet.play(42.0)
        self.landed(fleet)

    def test_a_machine_is_ended_before_its_drain_is_over(self) -> None:
        fleet = self.fleet(17, **order("side-0"))
        fleet.play(10.6)  # lent for half a second: bookings are under way there
        machine = fleet.side[0]
        assert machine.server is not None and machine.station is not None
        machine.server.draining = True
        with machine.loops["station"].as_running_loop():
            machine.station.terminate()
        machine.loops["clients"].kill()  # they go with the machine
        asked = len(fleet.asked())
        fleet.play(14.0)
        fleet.kill(machine, "server")
        fleet.play(42.0)
        self.assertGreater(len(fleet.asked()), asked)
        self.landed(fleet, doubt=2)
        self.assertEqual(self.lent(fleet), [])

    def test_a_machine_that_loses_power_while_it_drains_doubles_nothing(self) -> None:
        fleet = self.fleet(19, **order("side-0"))
        fleet.play(10.3)
        for kind in ("clients", "station", "server"):
            fleet.kill(fleet.side[0], kind)
        fleet.play(42.0)
        self.landed(fleet, doubt=12)
        self.assertEqual(self.lent(fleet), [])

    def test_the_holder_is_told_to_end_halfway_and_the_next_goes_on(self) -> None:
        fleet = self.fleet(21, **order("side-0"))
        fleet.play(14.0)
        holder = next(m for m in fleet.core if m.signalbox and self.holds(m, fleet))
        assert holder.signalbox is not None
        with holder.loops["signalbox"].as_running_loop():
            holder.signalbox.terminate()
        fleet.play(15.0)
        fleet.kill(holder, "signalbox")
        fleet.play(42.0)
        self.assertEqual(self.lent(fleet), [])
        self.assertEqual(self.state(fleet), "done")
        self.landed(fleet)

    def holds(self, machine: Machine, fleet: Fleet) -> bool:
        box = machine.signalbox
        return box is not None and box.state_machine.leases.holds(MAINTENANCE, fleet.now)

    def state(self, fleet: Fleet) -> str:
        """The window's, as a signalbox that is left has it."""
        left = next(m.signalbox for m in fleet.core if m.signalbox is not None)
        assert left._maintenance is not None
        return left._maintenance.situation().windows["huolto"].state()

    def test_what_a_contract_wants_is_given_back_when_a_zone_is_lost(self) -> None:
        fleet = self.fleet(23, **order("side-0", works="15s"))
        fleet.play(14.0)
        self.assertEqual(len(self.lent(fleet)), 5)
        for kind in ("clients", "station", "server"):
            fleet.kill(fleet.side[1], kind)  # the others' slots are a third of what they were: under the half
        fleet.play(19.0)
        self.assertEqual(self.lent(fleet), [])
        self.assertGreater(self.ran(fleet, 21.0)["luku.example"], 5)

    def test_a_machine_that_comes_back_cold_is_taken_back_at_its_pace(self) -> None:
        fleet = self.fleet(25, **order("side-0"))
        fleet.play(16.0)
        server = fleet.side[0].server
        assert server is not None
        fleet.kill(fleet.side[0], "server")
        fleet.start_server(fleet.side[0], cold_s=4.0)
        again = fleet.side[0].server
        assert again is not None
        back = 17.5
        fleet.play(back)
        again.hosts.clear()
        step_s, ran = 0.1, [0]
        while again.cold_left(fleet.now) > step_s:
            fleet.play(fleet.now + step_s)
            ran.append(sum(again.hosts.values()))
        cold = max(after - before for before, after in zip(ran, ran[10:], strict=False))  # any second of it
        self.assertGreater(cold, 2)
        self.assertLessEqual(cold, 1.5 * COLD_PER_S + 5)
        fleet.play(42.0)
        self.landed(fleet)

    def test_a_window_outside_approved_hours_leaves_traffic_untouched(self) -> None:
        fleet = self.fleet(approved=False, **order("side-0"))
        while fleet.now < 30.0:
            fleet.play(fleet.now + 0.5)
            self.assertEqual(self.lent(fleet), [])
        self.assertEqual([status for status, _ in self.answers], [200, 409])
        self.assertIn(b"outside_hours", self.answers[1][1])
        self.assertIn(b"possible", self.answers[1][1])

    def test_the_holder_is_lost_halfway_and_the_next_goes_on(self) -> None:
        fleet = self.fleet(5, **order("side-0"))
        fleet.play(14.0)
        self.assertEqual(len(self.lent(fleet)), 5)
        holders = [
            m for m in fleet.core if m.signalbox and m.signalbox.state_machine.leases.holds(MAINTENANCE, 14.0)
        ]
        self.assertEqual(len(holders), 1)
        fleet.kill(holders[0], "signalbox")
        fleet.play(42.0)
        self.assertEqual(self.lent(fleet), [])
        self.assertEqual(self.state(fleet), "done")
        self.landed(fleet)

    def test_a_machine_is_given_back_by_the_clock_though_the_core_is_gone(self) -> None:
        fleet = self.fleet(7, **order("side-0"))
        fleet.play(14.0)
        self.assertEqual(len(self.lent(fleet)), 5)
        for machine in fleet.core:
            fleet.kill(machine, "signalbox")
        fleet.play(26.0)  # the loan was until 17.5
        self.assertEqual(self.lent(fleet), [])
        server = fleet.side[0].server
        assert server is not None
        server.hosts.clear()
        fleet.play(32.0)
        self.assertGreater(server.hosts["luku.example"], 10)
        fleet.play(42.0)
        self.landed(fleet)

    def test_what_is_needed_is_given_back_when_others_are_lost(self) -> None:
        fleet = self.fleet(9, **order("side-0", works="10s"))
        fleet.play(14.0)
        self.assertEqual(len(self.lent(fleet)), 5)
        for machine in fleet.side[1:3]:  # the others of its service
            for kind in ("station", "server", "clients"):
                fleet.kill(machine, kind)
        server = fleet.side[0].server
        assert server is not None
        fleet.play(19.0)
        server.hosts.clear()
        fleet.play(20.5)
        self.assertGreater(server.hosts["luku.example"], 5)
        fleet.play(23.0)
        self.assertEqual(self.lent(fleet), [])


if __name__ == "__main__":
    unittest.main()

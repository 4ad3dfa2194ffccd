"""Whole meshes in virtual time: traffic, loss of a control process, and maintenance windows."""

from __future__ import annotations

import json
import unittest
from typing import Any

from bench.window import LOOKUP_ROUTE, contracts, route
from leadrudder.consensus.lease import MAINTENANCE
from leadrudder.emulation.fleet import COLD_REQUESTS_PER_S, BookingOutcomes, Fleet, FleetPlan, Machine
from leadrudder.emulation.standins import RequestKind
from leadrudder.maintenance.ledger import CLOSE_AFTER_EPOCHS, EPOCH_S, FleetTotals, Ledger, report
from leadrudder.mesh import windows
from leadrudder.protocol.outcome import ServerResponse
from leadrudder.simulation import world

PLAN = FleetPlan(
    {"kal": 3, "var": 2},
    (
        RequestKind("luku.example", once=False, per_s=6.0, deadline_s=1.5),
        RequestKind("ajat.example", once=True, per_s=2.0, deadline_s=1.5),
        RequestKind("varaus.example", once=True, per_s=4.0, deadline_s=1.5),
    ),
    {
        "luku": route("luku.example", "kal", once=False),
        "ajat": route("ajat.example", "kal", once=True),
        "varaus": route("varaus.example", "var", once=True),
    },
    traffic_period_s=(6.0, 40.0),
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
        """A mesh whose operator sends contracts, and orders a maintenance window if one is given."""
        fleet = Fleet(seed, PLAN, maintenance=True)
        self.answers: list[tuple[int, bytes]] = []
        body = contracts(approved=approved)
        if terms is not None:
            body["addOrReplace"]["contracts"] = terms
        for each in body["addOrReplace"]["contracts"].values():
            each["capacityLeft"] = 0.5

        async def operate() -> None:
            self.answers.append(await fleet.call_operator_api("PATCH", "/contracts", body))
            if asked:
                self.answers.append(await fleet.call_operator_api("POST", "/maintenance/huolto", asked))

        fleet.call_at(5.0, lambda: fleet.run_operator(operate))
        return fleet

    def nodes_that_drain(self, fleet: Fleet) -> list[str]:
        """Names of the nodes that treat the first machine as drained for maintenance."""
        running = [m for m in fleet.node_machines if m.node is not None]
        return [
            m.name
            for m in running
            if m.node and m.node.state.machine_drains.is_drained("side-0", LOOKUP_ROUTE)
        ]

    def check_bookings(self, fleet: Fleet, doubt: int = 0) -> None:
        """Every booking ran once, apart from at most `doubt` whose clients got no answer of success."""
        outcomes = BookingOutcomes.of(fleet)
        self.assertGreater(outcomes.asked, 300)
        self.assertEqual((outcomes.lost, outcomes.twice), (0, 0))
        self.assertLessEqual(outcomes.asked - outcomes.landed_once, doubt)
        self.assertEqual(fleet.errors, [])

    def requests_run(self, fleet: Fleet, until: float) -> dict[str, int]:
        """The requests that the first machine's server runs from now on, by host."""
        server = fleet.node_machines[0].server
        assert server is not None
        server.runs_by_host.clear()
        fleet.run_until(until)
        return dict(server.runs_by_host)

    def test_a_mesh_serves_and_the_same_seed_gives_the_same_run(self) -> None:
        digests = set()
        for _ in range(2):
            fleet = Fleet(3, PLAN)
            fleet.run_until(12.0)
            self.assertGreater(sum(bool(a.served_attempt) for a in fleet.sent_requests()), 200)
            digests.add(fleet.scheduler.digest())
        self.assertEqual(len(digests), 1)

    def test_sessions_prefer_the_local_zone_and_fail_over_to_others(self) -> None:
        fleet = Fleet(2, PLAN)
        fleet.run_until(6.0)
        self.assertEqual(self.sessions(fleet), {m.name: m.zone for m in fleet.node_machines})
        lost = fleet.control_machines[0]
        fleet.kill(lost, "signalbox")
        fleet.run_until(9.0)
        self.assertNotIn(lost.zone, self.sessions(fleet).values())
        self.assertEqual(len(self.sessions(fleet)), len(fleet.node_machines))
        fleet.start_control_node(lost)
        fleet.run_until(12.0)
        fleet.kill(fleet.node_machines[0], "station")
        fleet.start_node(fleet.node_machines[0])  # a new process finds the control process of its zone
        fleet.run_until(15.0)
        self.assertEqual(self.sessions(fleet)["side-0"], lost.zone)
        self.assertEqual(fleet.errors, [])

    def sessions(self, fleet: Fleet) -> dict[str, str]:
        """The zone of the control process for each node with a session."""
        found = {}
        for machine in fleet.node_machines:
            link = machine.node._session._link if machine.node is not None else None
            if link is not None and machine.node is not None and machine.node._session.established():
                found[machine.name] = next(
                    c.zone for c in fleet.control_machines if link.peer.startswith(c.host + ":")
                )
        return found

    def test_without_the_flag_there_are_no_windows(self) -> None:
        fleet = Fleet(1, PLAN)
        got: list[tuple[int, bytes]] = []

        async def operate() -> None:
            got.append(await fleet.call_operator_api("GET", "/maintenance"))

        fleet.call_at(5.0, lambda: fleet.run_operator(operate))
        fleet.run_until(7.0)
        self.assertEqual([status for status, _ in got], [404])

    def test_a_window_runs_on_live_traffic_and_every_booking_lands_once(self) -> None:
        fleet = self.fleet(**order("side-0"))
        server = fleet.node_machines[0].server
        assert server is not None
        fleet.run_until(10.0)
        self.assertEqual([status for status, _ in self.answers], [200, 200])
        fleet.run_until(13.5)  # unavailable from 10.0 s on; drained after the routes' giveUp
        self.assertEqual(len(self.nodes_that_drain(fleet)), 5)
        server.runs_by_host.clear()
        fleet.run_until(16.0)
        self.assertEqual(server.runs_by_host["luku.example"], 0)
        fleet.run_until(24.0)
        self.assertEqual(self.nodes_that_drain(fleet), [])
        self.assertGreater(server.runs_by_host["luku.example"], 10)
        fleet.run_until(42.0)
        self.check_bookings(fleet)

    def test_the_report_agrees_with_clients_and_servers(self) -> None:
        fleet = self.fleet(11, **order("side-0"))
        reports: list[dict[str, Any]] = []

        async def look() -> None:
            _, body = await fleet.call_operator_api("GET", "/maintenance/huolto")
            reports.append(json.loads(body))

        fleet.call_at(64.0, lambda: fleet.run_operator(look))
        fleet.run_until(66.0)
        (window_report,) = reports
        self.assertEqual(window_report["state"], "done")
        bookings = window_report["report"]["var"]
        self.assertGreater(bookings["asked"], 100)
        self.assertEqual(bookings["asked"], bookings["landed"])
        self.assertEqual([bookings[k] for k in ("lost", "twice", "in_doubt")], [0, 0, 0])
        self.assertGreater(window_report["report"]["kal"]["lookups"], 100)
        shown = windows.render_report(window_report)
        self.assertIn("<svg", shown)
        self.assertIn(f"<td>{bookings['landed']}", shown)

    def test_a_booking_that_ran_twice_or_never_is_reported(self) -> None:
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
            there.record_execution("var", 100)  # late, but counted
        there.close_epochs(epochs + EPOCH_S)
        here.close_epochs(epochs + EPOCH_S)
        for name, each in (("a", here), ("b", there)):
            totals.add_report(name, each.through, each.closed.values())
        self.assertEqual(report({}, totals.latest_counts()[1], {})["var"]["twice"], 2)

    def test_one_tenant_is_drained_from_a_machine_and_the_other_stays(self) -> None:
        terms = contracts(approved=True)["addOrReplace"]["contracts"]
        terms["hieroja"] = {**terms["kampaamo"], "hosts": ["ajat.example"]}
        terms["kampaamo"] = {**terms["kampaamo"], "hosts": ["luku.example"]}
        fleet = self.fleet(13, terms=terms, **order("side-0", tenants=["kampaamo"]))
        fleet.run_until(13.5)
        self.assertEqual(len(self.nodes_that_drain(fleet)), 5)
        ran = self.requests_run(fleet, 16.5)
        self.assertNotIn("luku.example", ran)
        self.assertGreater(ran["ajat.example"], 3)
        fleet.run_until(42.0)
        self.check_bookings(fleet)

    def test_a_route_added_during_a_window_avoids_the_machine(self) -> None:
        fleet = self.fleet(15, **order("side-0", works="12s"))
        fleet.run_until(13.5)
        moved = {**route("luku.example", "kal", once=False), "pathStart": "/a", "version": "00000002"}
        change = {"addOrReplace": {"routes": {"luku-2": moved}}}
        got: list[tuple[int, bytes]] = []

        async def operate() -> None:
            got.append(await fleet.call_operator_api("PATCH", "/config", change))

        fleet.run_operator(operate)
        fleet.run_until(15.0)
        self.assertEqual([status for status, _ in got], [200])
        self.assertNotIn("luku.example", self.requests_run(fleet, 20.0))
        fleet.run_until(42.0)
        self.check_bookings(fleet)

    def test_a_machine_is_shut_down_before_its_drain_is_over(self) -> None:
        fleet = self.fleet(17, **order("side-0"))
        fleet.run_until(10.6)  # draining for half a second: bookings are in flight
        machine = fleet.node_machines[0]
        assert machine.server is not None and machine.node is not None
        machine.server.draining = True
        with machine.loops["station"].as_running_loop():
            machine.node.terminate()
        machine.loops["clients"].kill()  # they stop with the machine
        asked = len(fleet.sent_requests())
        fleet.run_until(14.0)
        fleet.kill(machine, "server")
        fleet.run_until(42.0)
        self.assertGreater(len(fleet.sent_requests()), asked)
        self.check_bookings(fleet, doubt=2)
        self.assertEqual(self.nodes_that_drain(fleet), [])

    def test_a_machine_that_loses_power_while_draining_causes_no_duplicates(self) -> None:
        fleet = self.fleet(19, **order("side-0"))
        fleet.run_until(10.3)
        for kind in ("clients", "station", "server"):
            fleet.kill(fleet.node_machines[0], kind)
        fleet.run_until(42.0)
        self.check_bookings(fleet, doubt=12)
        self.assertEqual(self.nodes_that_drain(fleet), [])

    def test_the_lease_holder_is_shut_down_during_a_window_and_the_next_continues(self) -> None:
        fleet = self.fleet(21, **order("side-0"))
        fleet.run_until(14.0)
        holder = next(m for m in fleet.control_machines if m.control_node and self.holds(m, fleet))
        assert holder.control_node is not None
        with holder.loops["signalbox"].as_running_loop():
            holder.control_node.terminate()
        fleet.run_until(15.0)
        fleet.kill(holder, "signalbox")
        fleet.run_until(42.0)
        self.assertEqual(self.nodes_that_drain(fleet), [])
        self.assertEqual(self.state(fleet), "done")
        self.check_bookings(fleet)

    def holds(self, machine: Machine, fleet: Fleet) -> bool:
        control_node = machine.control_node
        return control_node is not None and control_node.state_machine.leases.holds(MAINTENANCE, fleet.now)

    def state(self, fleet: Fleet) -> str:
        """The state of the window, as a remaining control process sees it."""
        control_node = next(m.control_node for m in fleet.control_machines if m.control_node is not None)
        assert control_node._maintenance is not None
        return control_node._maintenance.situation().windows["huolto"].state()

    def test_a_machine_is_returned_early_when_a_zone_is_lost(self) -> None:
        fleet = self.fleet(23, **order("side-0", works="15s"))
        fleet.run_until(14.0)
        self.assertEqual(len(self.nodes_that_drain(fleet)), 5)
        for kind in ("clients", "station", "server"):
            fleet.kill(
                fleet.node_machines[1], kind
            )  # the other servers have a third of their slots left, below the required half
        fleet.run_until(19.0)
        self.assertEqual(self.nodes_that_drain(fleet), [])
        self.assertGreater(self.requests_run(fleet, 21.0)["luku.example"], 5)

    def test_a_machine_that_returns_cold_gets_traffic_at_its_cold_rate(self) -> None:
        fleet = self.fleet(25, **order("side-0"))
        fleet.run_until(16.0)
        server = fleet.node_machines[0].server
        assert server is not None
        fleet.kill(fleet.node_machines[0], "server")
        fleet.start_server(fleet.node_machines[0], cold_s=4.0)
        restarted = fleet.node_machines[0].server
        assert restarted is not None
        back = 17.5
        fleet.run_until(back)
        restarted.runs_by_host.clear()
        step_s, ran = 0.1, [0]
        while restarted.cold_left(fleet.now) > step_s:
            fleet.run_until(fleet.now + step_s)
            ran.append(sum(restarted.runs_by_host.values()))
        cold = max(after - before for before, after in zip(ran, ran[10:], strict=False))  # in any second
        self.assertGreater(cold, 2)
        self.assertLessEqual(cold, 1.5 * COLD_REQUESTS_PER_S + 5)
        fleet.run_until(42.0)
        self.check_bookings(fleet)

    def test_a_window_outside_approved_hours_does_not_affect_traffic(self) -> None:
        fleet = self.fleet(approved=False, **order("side-0"))
        while fleet.now < 30.0:
            fleet.run_until(fleet.now + 0.5)
            self.assertEqual(self.nodes_that_drain(fleet), [])
        self.assertEqual([status for status, _ in self.answers], [200, 409])
        self.assertIn(b"outside_hours", self.answers[1][1])
        self.assertIn(b"possible", self.answers[1][1])

    def test_the_lease_holder_is_lost_during_a_window_and_the_next_continues(self) -> None:
        fleet = self.fleet(5, **order("side-0"))
        fleet.run_until(14.0)
        self.assertEqual(len(self.nodes_that_drain(fleet)), 5)
        holders = [
            m
            for m in fleet.control_machines
            if m.control_node and m.control_node.state_machine.leases.holds(MAINTENANCE, 14.0)
        ]
        self.assertEqual(len(holders), 1)
        fleet.kill(holders[0], "signalbox")
        fleet.run_until(42.0)
        self.assertEqual(self.nodes_that_drain(fleet), [])
        self.assertEqual(self.state(fleet), "done")
        self.check_bookings(fleet)

    def test_a_machine_is_returned_on_time_without_any_control_machine(self) -> None:
        fleet = self.fleet(7, **order("side-0"))
        fleet.run_until(14.0)
        self.assertEqual(len(self.nodes_that_drain(fleet)), 5)
        for machine in fleet.control_machines:
            fleet.kill(machine, "signalbox")
        fleet.run_until(26.0)  # the window was until 17.5 s
        self.assertEqual(self.nodes_that_drain(fleet), [])
        server = fleet.node_machines[0].server
        assert server is not None
        server.runs_by_host.clear()
        fleet.run_until(32.0)
        self.assertGreater(server.runs_by_host["luku.example"], 10)
        fleet.run_until(42.0)
        self.check_bookings(fleet)

    def test_a_machine_is_returned_early_when_other_servers_are_lost(self) -> None:
        fleet = self.fleet(9, **order("side-0", works="10s"))
        fleet.run_until(14.0)
        self.assertEqual(len(self.nodes_that_drain(fleet)), 5)
        for machine in fleet.node_machines[1:3]:  # the other servers of its service
            for kind in ("station", "server", "clients"):
                fleet.kill(machine, kind)
        server = fleet.node_machines[0].server
        assert server is not None
        fleet.run_until(19.0)
        server.runs_by_host.clear()
        fleet.run_until(20.5)
        self.assertGreater(server.runs_by_host["luku.example"], 5)
        fleet.run_until(23.0)
        self.assertEqual(self.nodes_that_drain(fleet), [])


if __name__ == "__main__":
    unittest.main()

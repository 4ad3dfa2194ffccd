"""An order to evacuate a zone, or to take that back, must not be undone by one that was given before it."""

from __future__ import annotations

import asyncio
import json
import unittest
from typing import Any

from bench.window import contracts, route
from leadrudder.consensus.state_machine import ControlStateMachine
from leadrudder.emulation.fleet import CONTROL_PORT, Fleet, Machine
from leadrudder.emulation.standins import encoded_request, http_call
from leadrudder.maintenance.window import Window
from leadrudder.simulation.scheduler import US_PER_S
from tests.mesh.test_emulation import PLAN
from tests.mesh.test_emulation import order as window_order

ZONE = "z2"
ZONE_PATH = f"/evacuate/{ZONE}"
EVACUATE, TAKE_BACK = "POST", "DELETE"
OPERATOR_TIMEOUT_S = 1.0
EMPTY_ZONE_S = 5.0  # from the acknowledgement, after which the zone gets no request
FREEZE_S = 5.0
KEPT_OPEN_S = 2.0  # a connection, before an order is sent on it
HELD_BACK_S = 3.0


class OrderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(65, PLAN)
        self.fleet.run_until(8.0)

    def order(self, machine: Machine, method: str, path: str = ZONE_PATH, body: bytes = b"") -> int:
        """Give an order to one machine and wait for its answer; returns the status, 0 if none comes."""
        statuses: list[int] = []

        async def send() -> None:
            request = encoded_request(method, path, "control", body=body)
            answer = await http_call((machine.host, CONTROL_PORT), request, OPERATOR_TIMEOUT_S)
            statuses.append(answer.status if answer is not None else 0)

        self.fleet.run_operator(send)
        while not statuses:
            self.fleet.run_until(self.fleet.now + 0.01)
        return statuses[0]

    def order_until_taken(self, machine: Machine, method: str, *request: Any) -> int:
        """The owner of the section may be the frozen machine: another claims the section meanwhile."""
        while (status := self.order(machine, method, *request)) == 503:
            self.fleet.run_until(self.fleet.now + 0.1)
        return status

    def hold_back(self, machine: Machine, method: str, path: str = ZONE_PATH, body: bytes = b"") -> None:
        """Send an order on a connection kept open; the network delays it, and its caller gives up."""

        async def send() -> None:
            loop = asyncio.get_running_loop()
            transport, _ = await loop.create_connection(asyncio.Protocol, machine.host, CONTROL_PORT)
            await asyncio.sleep(KEPT_OPEN_S)
            extra_latency_us = self.fleet.network.conditions.extra_latency_us
            extra_latency_us[machine.host] = int(HELD_BACK_S * US_PER_S)
            transport.write(encoded_request(method, path, "control", body=body))
            del extra_latency_us[machine.host]
            await asyncio.sleep(OPERATOR_TIMEOUT_S)
            transport.close()

        self.fleet.run_operator(send)
        self.fleet.run_until(self.fleet.now + KEPT_OPEN_S + OPERATOR_TIMEOUT_S + 0.5)

    def check_that_the_zone_gets_no_requests(self) -> None:
        """Requires it from EMPTY_ZONE_S after the last order on, for as long again."""
        self.fleet.run_until(self.fleet.now + EMPTY_ZONE_S)
        runs_before = self.runs_in_zone()
        self.fleet.run_until(self.fleet.now + EMPTY_ZONE_S)
        self.assertEqual(self.runs_in_zone() - runs_before, 0)

    def runs_in_zone(self) -> int:
        servers = [m.server for m in self.fleet.node_machines if m.zone == ZONE and m.server is not None]
        return sum(sum(server.runs_by_attempt.values()) for server in servers)


class LateOrderTest(OrderTest):
    def test_a_frozen_control_node_carries_out_no_order_that_its_caller_gave_up(self) -> None:
        for i, frozen in enumerate(self.fleet.control_machines):
            with self.subTest(frozen.name):
                other = self.fleet.control_machines[i - 1]
                self.assertEqual(self.order(other, EVACUATE), 200)
                self.fleet.freeze(frozen, "signalbox", FREEZE_S)
                self.assertEqual(self.order(frozen, TAKE_BACK), 0)
                self.assertEqual(self.order_until_taken(other, TAKE_BACK), 200)
                self.assertEqual(self.order(other, EVACUATE), 200)
                self.check_that_the_zone_gets_no_requests()
                self.assertEqual(self.order(other, TAKE_BACK), 200)

    def test_an_order_that_the_network_held_back_is_not_carried_out(self) -> None:
        first, other, _ = self.fleet.control_machines
        self.assertEqual(self.order(other, EVACUATE), 200)
        self.hold_back(first, TAKE_BACK)
        self.assertEqual(self.order(other, TAKE_BACK), 200)
        self.assertEqual(self.order(other, EVACUATE), 200)
        self.check_that_the_zone_gets_no_requests()


class LateChangeTest(OrderTest):
    """A refused call's copy was taken when it was read after the rival's next version."""

    RACED, MOVED = "raced", "moved0"  # of one section

    def change(self, version: int, give_up: str, *names: str) -> bytes:
        service = next(iter(PLAN.services))
        routes = {
            name: {
                **route(f"{name}.example", service, once=False),
                "giveUp": give_up,
                "version": f"{version:08d}",
            }
            for name in names
        }
        return json.dumps({"addOrReplace": {"routes": routes}, "remove": {"routes": []}}).encode()

    def patch(self, machine: Machine, body: bytes) -> int:
        return self.order(machine, "PATCH", "/config", body)

    def patch_until_clear(self, machine: Machine, body: bytes) -> int:
        return self.order_until_taken(machine, "PATCH", "/config", body)

    def test_no_part_is_taken_of_a_change_that_the_network_held_back_until_it_was_refused(self) -> None:
        first, other, _ = self.fleet.control_machines
        body = self.change(1, "1000ms", self.RACED, self.MOVED)
        self.assertEqual(self.patch_until_clear(other, body), 200)
        refused = self.change(2, "1500ms", self.RACED, self.MOVED)
        self.hold_back(first, "PATCH", "/config", refused)
        self.assertEqual(self.patch_until_clear(other, self.change(2, "2000ms", self.RACED)), 200)
        self.assertEqual(self.patch_until_clear(other, refused), 409)
        self.assertEqual(self.patch_until_clear(other, self.change(3, "2000ms", self.RACED)), 200)
        self.fleet.run_until(self.fleet.now + HELD_BACK_S + OPERATOR_TIMEOUT_S)
        self.assertEqual(self.routes_in_force()[self.MOVED]["giveUp"], "1000ms")

    def test_an_older_change_is_acknowledged_while_its_caller_waits(self) -> None:
        machine = self.fleet.control_machines[0]
        self.assertEqual(
            self.patch_until_clear(machine, self.change(1, "1000ms", self.RACED, self.MOVED)), 200
        )
        self.assertEqual(self.patch_until_clear(machine, self.change(3, "2000ms", self.RACED)), 200)
        self.assertEqual(
            self.patch_until_clear(machine, self.change(2, "1500ms", self.RACED, self.MOVED)), 200
        )
        routes = self.routes_in_force()
        self.assertEqual([routes[name]["giveUp"] for name in (self.RACED, self.MOVED)], ["2000ms", "1500ms"])

    def routes_in_force(self) -> dict[str, Any]:
        answers: list[tuple[int, bytes]] = []

        async def read() -> None:
            answers.append(await self.fleet.call_operator_api("GET", "/config", None))

        self.fleet.run_operator(read)
        self.fleet.run_until(self.fleet.now + 2.0)
        routes: dict[str, Any] = json.loads(answers[0][1])["routes"]
        return routes


class LateMaintenanceOrderTest(OrderTest):
    def setUp(self) -> None:
        self.fleet = Fleet(65, PLAN, maintenance=True)
        self.fleet.run_until(5.0)
        body = contracts(approved=True)
        for each in body["addOrReplace"]["contracts"].values():
            each["capacityLeft"] = 0.5
        taken = self.order(self.fleet.control_machines[0], "PATCH", "/contracts", json.dumps(body).encode())
        self.assertEqual(taken, 200)

    def test_an_order_that_the_network_held_back_plans_no_window_that_was_stopped(self) -> None:
        first, other, _ = self.fleet.control_machines
        path, body = "/maintenance/huolto", json.dumps(window_order("side-0")).encode()
        self.hold_back(first, "POST", path, body)
        self.assertEqual(self.order(other, "POST", path, body), 200)
        self.assertEqual(self.order(other, "DELETE", path), 200)
        self.fleet.run_until(self.fleet.now + HELD_BACK_S)
        self.assertTrue(self.window(other).is_over())

    def window(self, machine: Machine) -> Window:
        assert machine.control_node is not None and machine.control_node._maintenance is not None
        return machine.control_node._maintenance.situation().windows["huolto"]


class UnansweredOrderTest(OrderTest):
    def test_an_order_that_one_replica_alone_has_does_not_undo_the_next_one(self) -> None:
        """The taking back gets no answer; its owner alone has it, and is away when the zone is evacuated."""
        self.assertEqual(self.order(self.fleet.control_machines[0], EVACUATE), 200)
        owner, *others = self.machines_owner_first()
        network = self.fleet.network
        network.conditions.silent_hosts = {machine.host for machine in others}
        self.assertNotEqual(self.order(owner, TAKE_BACK), 200)
        self.fleet.kill(owner, "signalbox")
        network.conditions.silent_hosts = set()
        for machine in others:
            network.host_returned(machine.host)
        self.fleet.run_until(self.fleet.now + 3.0)
        self.assertEqual(self.order(others[0], EVACUATE), 200)
        self.fleet.start_control_node(owner)
        self.check_that_the_zone_gets_no_requests()

    def machines_owner_first(self) -> list[Machine]:
        def owns(machine: Machine) -> bool:
            assert machine.control_node is not None
            state_machine: ControlStateMachine = machine.control_node.state_machine
            section = state_machine.section_of(f"evacuations/{ZONE}")
            return section in state_machine.ownership.owned_sections()

        return sorted(self.fleet.control_machines, key=owns, reverse=True)


if __name__ == "__main__":
    unittest.main()

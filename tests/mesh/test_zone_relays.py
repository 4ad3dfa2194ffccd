"""Zone relays: which proxy relays a service's endpoints to its zone, and what happens when one leaves."""

from __future__ import annotations

import unittest

from leadrudder.membership.zone_relays import (
    UNREACHABLE_S,
    ZoneRelays,
    of_services,
    relay_order,
    without_servers,
)
from leadrudder.protocol.mesh_pb2 import Node, Server


def member(name: str, zone: str = "z", service: str = "s") -> Node:
    return Node(
        name=name, zone=zone, address=f"{name}:1", service=service, servers=[Server(id="i", service=service)]
    )


MEMBERS = [*(member(f"n{i}") for i in range(6)), member("far", zone="y")]


class ZoneRelaysTest(unittest.TestCase):
    def test_all_proxies_of_a_zone_choose_the_same_relay(self) -> None:
        first = relay_order("s", MEMBERS, "z")[0].name
        for node in MEMBERS[:6]:
            (source,) = ZoneRelays(node.name, "z").sources_for(["s"], list(reversed(MEMBERS)), 0.0)
            self.assertEqual(source, "" if node.name == first else f"{first}:1")

    def test_unreachable_relay_is_skipped_for_a_while(self) -> None:
        first, second, *_, last = relay_order("s", MEMBERS, "z")
        relays = ZoneRelays(last.name, "z")
        relays.mark_unreachable(first.address, 10.0)
        self.assertEqual(set(relays.sources_for(["s"], MEMBERS, 10.1)), {second.address})
        self.assertEqual(set(relays.sources_for(["s"], MEMBERS, 10.0 + UNREACHABLE_S)), {first.address})

    def test_without_members_in_the_zone_the_control_node_is_asked(self) -> None:
        relays = ZoneRelays("far", "y")
        self.assertEqual(relays.sources_for(["s"], MEMBERS, 0.0), {"": {"s"}})

    def test_proxy_with_dependents_asks_the_control_node(self) -> None:
        last = relay_order("s", MEMBERS, "z")[-1]
        relays = ZoneRelays(last.name, "z", dependents={"s": 1, "other": 2})
        self.assertEqual(relays.sources_for(["s"], MEMBERS, 0.0), {"": {"s", "other"}})

    def test_leaving_relay_moves_only_its_own_services(self) -> None:
        services = [f"s{i}" for i in range(50)]
        before = {s: relay_order(s, MEMBERS, "z")[0].name for s in services}
        remaining = [node for node in MEMBERS if node.name != "n3"]
        after = {s: relay_order(s, remaining, "z")[0].name for s in services}
        self.assertEqual(
            {s for s in services if before[s] != after[s]}, {s for s in services if before[s] == "n3"}
        )
        self.assertGreater(len(set(before.values())), 3)

    def test_proxy_without_servers_is_still_included(self) -> None:
        without = without_servers(member("n1"))
        self.assertEqual(of_services([without, member("n2", service="t")], frozenset({"s"})), [without])


if __name__ == "__main__":
    unittest.main()

"""Home stations: who tells a zone of a service's servers, and what follows when one is gone."""

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


class TheHomes(unittest.TestCase):
    def test_all_of_a_zone_agree_and_nobody_elsewhere_is_home(self) -> None:
        first = relay_order("s", MEMBERS, "z")[0].name
        for node in MEMBERS[:6]:
            (source,) = ZoneRelays(node.name, "z").sources_for(["s"], list(reversed(MEMBERS)), 0.0)
            self.assertEqual(source, "" if node.name == first else f"{first}:1")

    def test_one_that_cannot_be_reached_is_passed_over_for_a_while(self) -> None:
        first, second, *_, last = relay_order("s", MEMBERS, "z")
        homes = ZoneRelays(last.name, "z")
        homes.mark_unreachable(first.address, 10.0)
        self.assertEqual(set(homes.sources_for(["s"], MEMBERS, 10.1)), {second.address})
        self.assertEqual(set(homes.sources_for(["s"], MEMBERS, 10.0 + UNREACHABLE_S)), {first.address})

    def test_with_nobody_in_the_zone_the_signalbox_is_asked(self) -> None:
        homes = ZoneRelays("far", "y")
        self.assertEqual(homes.sources_for(["s"], MEMBERS, 0.0), {"": {"s"}})

    def test_who_is_asked_asks_the_signalbox_whoever_is_home(self) -> None:
        last = relay_order("s", MEMBERS, "z")[-1]
        homes = ZoneRelays(last.name, "z", dependents={"s": 1, "other": 2})
        self.assertEqual(homes.sources_for(["s"], MEMBERS, 0.0), {"": {"s", "other"}})

    def test_one_that_goes_moves_its_own_services_only(self) -> None:
        services = [f"s{i}" for i in range(50)]
        before = {s: relay_order(s, MEMBERS, "z")[0].name for s in services}
        left = [node for node in MEMBERS if node.name != "n3"]
        after = {s: relay_order(s, left, "z")[0].name for s in services}
        self.assertEqual(
            {s for s in services if before[s] != after[s]}, {s for s in services if before[s] == "n3"}
        )
        self.assertGreater(len(set(before.values())), 3)

    def test_a_server_that_has_gone_is_told_too(self) -> None:
        without = without_servers(member("n1"))
        self.assertEqual(of_services([without, member("n2", service="t")], frozenset({"s"})), [without])


if __name__ == "__main__":
    unittest.main()

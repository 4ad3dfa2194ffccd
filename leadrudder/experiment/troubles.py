"""Troubles by name: the seed decides which servers and nodes are affected."""

from __future__ import annotations

import random
from collections.abc import Callable

from leadrudder.experiment.callers import Callers
from leadrudder.experiment.draw import as_float
from leadrudder.experiment.figures import TroubleInterval
from leadrudder.experiment.fleet import Fleet
from leadrudder.experiment.server import Server
from leadrudder.experiment.spec import File, Trouble

RELEASE_DRAIN_MS, RESTART_MS = 2000.0, 1000.0  # of a server in a release: draining, then down
REPLACEMENT_DELAY_MS = 2000.0  # until the first replacement is started


def draw_troubles(file: File, seed: str) -> list[tuple[Trouble, random.Random]]:
    """The troubles that occur with this seed, each with its own random source."""
    planned = []
    for i, trouble in enumerate(file.trouble):
        rng = random.Random(f"{seed}/trouble/{i}")
        if rng.random() < trouble.chance:
            planned.append((trouble, rng))
    return planned


class Troubles:
    """Schedules the troubles of a run on its fleet."""

    def __init__(self, file: File, fleet: Fleet, callers: Callers, seed: str) -> None:
        self._fleet, self._callers = fleet, callers
        self._clock = fleet.clock
        self._tiers = {tier.name: i for i, tier in enumerate(file.fleet.tier)}
        self.struck: list[TroubleInterval] = []
        handlers: dict[str, Callable[[Trouble, random.Random, float], None]] = {
            "slow": self._set_on_servers(lambda s, x: setattr(s, "trouble_slow", x), 1.0),
            "errors": self._set_on_servers(lambda s, x: setattr(s, "trouble_errors", min(1.0, x)), 0.0),
            "neighbour": self._set_on_servers(lambda s, x: setattr(s, "stolen_cpu_share", min(0.95, x)), 0.0),
            "late-reports": self._set_on_servers(
                lambda s, x: setattr(s, "extra_report_delay_ms", 1000.0 * x), 0.0
            ),
            "hang": self._hang,
            "vanish": self._vanish,
            "burst": self._burst,
            "release": self._release,
            "replace": self._replace,
            "zone": self._zone,
            "node-restart": self._node_restart,
        }
        for trouble, rng in draw_troubles(file, seed):
            at, length = as_float(trouble.at_s), as_float(trouble.length_s)
            self.struck.append(TroubleInterval(trouble.what, at, at + length))
            self._clock.after(1000.0 * at, handlers[trouble.what], trouble, rng, 1000.0 * length)

    def _choose_servers(self, trouble: Trouble, rng: random.Random) -> list[Server]:
        """Choose the affected servers: a share of those alive, at least one."""
        tier = self._tiers[trouble.tier] if trouble.tier is not None else 0
        alive = [s for s in self._fleet.servers_of_tier(tier).values() if s.alive and not s.draining]
        count = min(len(alive), max(1, round(as_float(trouble.part) * len(alive))))
        return rng.sample(alive, count)

    def _set_on_servers(
        self, change: Callable[[Server, float], None], normal: float
    ) -> Callable[[Trouble, random.Random, float], None]:
        def begin(trouble: Trouble, rng: random.Random, length: float) -> None:
            for server in self._choose_servers(trouble, rng):
                change(server, as_float(trouble.times))
                server.update_rate()
                self._clock.after(length, end, server)

        def end(server: Server) -> None:
            change(server, normal)
            server.update_rate()

        return begin

    def _hang(self, trouble: Trouble, rng: random.Random, length: float) -> None:
        for server in self._choose_servers(trouble, rng):
            server.hung = True
            server.update_rate()
            self._clock.after(length, self._restart_hung, server)

    def _restart_hung(self, server: Server) -> None:
        """Restart a hung server; the requests that it holds are lost."""
        if server.alive:
            self._fleet.stop(server)
            self._clock.after(RESTART_MS, self._fleet.start, server)

    def _vanish(self, trouble: Trouble, rng: random.Random, length: float) -> None:
        for server in self._choose_servers(trouble, rng):
            self._fleet.stop(server, silent=True)
            self._clock.after(length, self._fleet.start, server)

    def _burst(self, trouble: Trouble, _: random.Random, length: float) -> None:
        times = as_float(trouble.times)
        self._callers.load_factor *= times
        self._clock.after(length, self._end_burst, times)

    def _end_burst(self, times: float) -> None:
        self._callers.load_factor /= times

    def _release(self, trouble: Trouble, rng: random.Random, length: float) -> None:
        """Restart a share of the tier's servers one by one, evenly over the time."""
        servers = self._choose_servers(trouble, rng)
        for i, server in enumerate(servers):
            self._clock.after(length * i / len(servers), self._restart_server, server)

    def _restart_server(self, server: Server) -> None:
        if server.alive:
            self._fleet.drain(server)
            self._clock.after(RELEASE_DRAIN_MS, self._fleet.stop, server)
            self._clock.after(RELEASE_DRAIN_MS + RESTART_MS, self._fleet.start, server)

    def _replace(self, trouble: Trouble, rng: random.Random, length: float) -> None:
        """Remove a share of the tier's servers at once; as many new ones start over the time."""
        servers = self._choose_servers(trouble, rng)
        tier = self._tiers[trouble.tier] if trouble.tier is not None else 0
        for i, server in enumerate(servers):
            self._fleet.drain(server)
            self._clock.after(RELEASE_DRAIN_MS, self._fleet.stop, server)
            self._clock.after(REPLACEMENT_DELAY_MS + length * i / len(servers), self._fleet.add, tier, server)

    def _zone(self, _: Trouble, rng: random.Random, length: float) -> None:
        """Take down all servers of a zone at once, at all tiers; they come back cold together."""
        zone = rng.randrange(self._fleet.zones)
        for tier in range(len(self._fleet.registries)):
            for server in list(self._fleet.servers_of_tier(tier).values()):
                if server.plan.zone == zone and server.alive:
                    self._fleet.stop(server, silent=True)
                    self._clock.after(length, self._fleet.start, server)

    def _node_restart(self, trouble: Trouble, rng: random.Random, length: float) -> None:
        """Restart a share of the front nodes one by one; each comes back without any state."""
        count = max(1, round(as_float(trouble.part) * len(self._fleet.front_nodes)))
        for i, index in enumerate(rng.sample(range(len(self._fleet.front_nodes)), count)):
            self._clock.after(length * i / count, self._restart_front_node, index)

    def _restart_front_node(self, index: int) -> None:
        self._fleet.front_nodes[index].stop()
        until = self._clock.now + RESTART_MS
        if self._callers.notice_ms < RESTART_MS:
            self._clock.after(self._callers.notice_ms, self._callers.exclude_node, index, until)
        self._clock.after(RESTART_MS, self._fleet.restart_node, index)

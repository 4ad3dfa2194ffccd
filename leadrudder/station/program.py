"""A station: clients and the server of one machine, the gate between them, and the session with a
signalbox.
"""

from __future__ import annotations

import asyncio
import signal
import socket
import time
from collections import Counter
from collections.abc import Callable
from random import Random

from returns.result import Success

from leadrudder.node.platform import SYSTEM, Platform
from leadrudder.observability.loop_lag import LoopLag
from leadrudder.observability.metrics import Metrics
from leadrudder.possession.ledger import Ledger, epoch_of
from leadrudder.register import homes
from leadrudder.register.register import Register
from leadrudder.rulebook.ring import Ring
from leadrudder.rulebook.settings import Settings, load
from leadrudder.station.beats import Beat, Beats
from leadrudder.station.gate import Gate, Life
from leadrudder.station.gates import Gates
from leadrudder.station.inbound import Inbound, Withdraw, nothing_to_withdraw
from leadrudder.station.lent import Lent
from leadrudder.station.newsstand import Newsstand
from leadrudder.station.outbound import Outbound
from leadrudder.station.points import Errand, Points
from leadrudder.station.purse import Purse
from leadrudder.station.server import OwnServer
from leadrudder.station.session import Session
from leadrudder.telegraph.http import ControlServer
from leadrudder.telegraph.link import IDLE_TAKEN_S, PING_S, Link
from leadrudder.timetable.book import Book, Timetable
from leadrudder.timetable.items import Route
from leadrudder.waybill import waybill_pb2 as wire
from leadrudder.waybill.verdict import Ran, Reply, Verdict
from leadrudder.waybill.waybill_pb2 import Delivery, Frame, Waybill

SWEEP_S = 0.25
SILENT_BEATS = 3.5  # beats that a server may miss before it counts as crashed
NOTE_EACH_S = 1.0
BODIES_PART = 0.2  # of the memory: each body is held about twice more on its way
OPEN_MOST = 2000  # requests that may be under way
POINTS_MOST = 2000  # vectors that are kept
LEAST_LEAVING_S = 2.4  # after SIGTERM: until then clients still come
QUIET_S = 0.3
GRACE_PART_S = 0.6  # of the grace, kept for the end itself
ANSWERS_OUT_S = 0.2  # before that end, by which the last answers are to be out
FIRST_HALF_PART_S = 0.1  # before the half of the grace, from when on a request must end within it


class Station:
    """The program.  One event loop."""

    def __init__(
        self,
        settings: Settings,
        *,
        possession: bool = False,
        rng: Random | None = None,
        wall: Callable[[], float] = time.time,
        platform: Platform = SYSTEM,
    ) -> None:
        """possession: maintenance windows are on.  The others are the simulation's."""
        self.settings = settings
        self._possession, self._wall = possession, wall
        self.ring = Ring(settings.name)
        self._loop = asyncio.get_running_loop()
        self._rng = rng or Random()
        self._address = f"{settings.ip}:{settings.station_port}"
        self._life = int(wall() * 1e6)
        self._number = 0
        self._book = Book()
        self._timetable = Timetable(self._book)
        self._members = Register("")
        self._servers: dict[str, tuple[str, str]] = {}  # by id: the service, and the address of its station
        self._serving: list[wire.Node] = []  # stations with a server, as far as we heard
        self._points: dict[tuple[str, str], Points] = {}
        self._purses: dict[str, Purse] = {}
        self._lag = LoopLag(platform.monotonic)
        self._passes = 0  # over all that is known, since the start
        self._pass_seconds = 0.0
        self._monotonic = platform.monotonic
        self._withdrawals: dict[Link, dict[int, Withdraw]] = {}
        self._terminated_at: float | None = None
        self._done = asyncio.Event()
        self._refused: Counter[str] = (
            Counter()
        )  # waybills that came back without an answer, and why, since the last note
        self._noted_at = 0.0
        self.gate = Gate(settings.bounds)
        self._own = OwnServer(settings.app or (settings.ip, 0), most_open=100, platform=platform)
        self._ledger = Ledger()
        self._inbound = Inbound(
            self.gate,
            self._own,
            self.ring.note,
            self._lent_here,
            (lambda epoch: self._ledger.ran(settings.service, epoch)) if possession else None,
        )
        self._lent = Lent(wall, self._loop.time, self._loop.call_later, self._follow)
        self._used = 0  # slots of our server, at the busiest since we last told
        self._gates = Gates()
        self._outbound = Outbound(
            settings.service,
            self._timetable_find,
            self._begin,
            lambda: self._timetable.limits,
            lambda: self._outbound.open < OPEN_MOST,
            BODIES_PART * settings.ram_mb * 1e6,
        )
        beats = Beats(self._beat, self._left, self.ready, self._metrics().text)
        self._control = ControlServer(beats.dispatch, lambda e: self.ring.wrong(f"fault: {e!r}"))
        self._newsstand = Newsstand(
            settings.name,
            settings.zone,
            lambda services: self._session.subscribe(services),
            lambda: self._session.stands() and self._terminated_at is None,
            self._follow,
        )
        self._session = Session(
            settings.seed_links,
            self._hello,
            self._news,
            self._newsstand.session_ended,
            self._rng,
            self.ring.note,
        )

    async def start(self) -> None:
        settings = self.settings
        self.ring.say("starts")
        host, port = self._address.rsplit(":", 1)
        self._listener = await self._loop.create_server(
            lambda: Link(self, silence_s=30.0), host, int(port), family=socket.AF_INET, backlog=1024
        )
        for address in {settings.control, settings.readiness} - {None}:
            assert address is not None
            await self._control.listen(address)
        for address in {settings.outbound} - {None}:
            assert address is not None
            await self._outbound.listen(address)
        self._session.start()
        self._sweep()

    async def run(self) -> None:
        await self.start()
        self._loop.add_signal_handler(signal.SIGTERM, self.terminate)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._done.wait()

    def _metrics(self) -> Metrics:
        metrics = Metrics()
        metrics.add("items", lambda: len(self._book.items))
        metrics.add("routes", lambda: len(self._timetable.routes))
        metrics.add("balancers", lambda: len(self._points))
        metrics.add("members", lambda: len(self._members.members()))
        metrics.add("change_passes_total", lambda: self._passes)
        metrics.add("change_pass_seconds_total", lambda: self._pass_seconds)
        metrics.add("requests_open", lambda: self._outbound.open)
        metrics.add("calls_running", lambda: self.gate.running)
        metrics.add("loop_lag_seconds", self._lag.seconds)
        metrics.add("loop_lag_highest_seconds", lambda: self._lag.highest_s)
        metrics.add("process_cpu_seconds_total", time.process_time)
        return metrics

    def ready(self) -> bool:
        """Whether clients may come: a configuration is in force here, and we are not about to end."""
        return self._terminated_at is None and bool(self._timetable.routes) and self._session.informed

    # ------------------------------------------------------------ requests of our clients

    def _timetable_find(self, host: str, path: str) -> Route | None:
        return self._timetable.find(host, path)

    def _begin(self, route: Route, errand: Errand) -> Callable[[], None]:
        service = route.split[0][0]
        if len(route.split) > 1:
            names, shares = zip(*route.split, strict=True)
            service = self._rng.choices(names, shares)[0]
        if self._possession:
            self._count(route, service, errand)
        points = self._points.get((route.name, service))
        if points is None:
            points = self._lay(route, service)
        return points.begin(errand)

    def _count(self, route: Route, service: str, errand: Errand) -> None:
        """What becomes of it goes into the ledger."""
        began, answered = self._loop.time(), errand.answered
        epoch = errand.epoch = epoch_of(self._wall())

        def counted(what: Reply | Verdict) -> None:
            took_ms = 1000.0 * (self._loop.time() - began)
            name = errand.attempt_id.decode("latin-1")
            self._ledger.answered(service, epoch, route.once, name, what, took_ms)
            if route.once and isinstance(what, Verdict) and what.ran is not Ran.NEVER:
                self.ring.note(f"in doubt: {name} of {route.name}: {what.why}")
            answered(what)

        errand.answered = counted

    def _lay(self, route: Route, service: str) -> Points:
        """The points of a route and service, from its first request on."""
        nodes = max(1, len(self._members.members()))
        purse = self._purses.get(service)
        if purse is None:
            bounds = self.settings.bounds
            purse = self._purses[service] = Purse(bounds.retry_ratio, bounds.retry_extra, nodes)
        points = Points(route, service, nodes, purse, self._carry, self.ring.note, self._rng.getrandbits(48))
        while len(self._points) >= POINTS_MOST:
            del self._points[next(iter(self._points))]
        self._points[route.name, service] = points
        points.follow(self._listed(service, route))
        return points

    def _carry(
        self,
        errand: Errand,
        route: Route,
        server: str,
        may_wait: bool,
        again: bool,
        deliver: Callable[[Delivery], None],
    ) -> Withdraw:
        """One attempt, to the gate beside its server."""
        waybill = Waybill(
            server=server,
            method=errand.method,
            target=errand.target,
            fields=errand.fields,
            body=errand.body,
            attempt_id=errand.attempt_id,
            left_ms=1000.0 * (errand.deadline - self._loop.time()),
            once=route.once,
            may_wait=may_wait,
            priority=max(0, route.priority),
            aim_ms=route.target_ms,
            repeat=again,
            epoch=errand.epoch,
        )

        def counted(delivery: Delivery) -> None:
            if delivery.why:
                self._refused[delivery.why] += 1
            deliver(delivery)

        place = self._servers.get(server)
        if place is None:
            counted(Delivery(ran=0, why="gone"))
            return nothing_to_withdraw
        if place[1] == self._address:
            return self._inbound.take(waybill, counted)
        return self._gates.send(place[1], waybill, counted)

    # ------------------------------------------------------------ links from other stations

    def on_up(self, link: Link) -> None:
        self._withdrawals[link] = {}
        link.every_s = IDLE_TAKEN_S

    def on_down(self, link: Link) -> None:
        self._newsstand.unsubscribe(link)
        for withdraw in self._withdrawals.pop(link, {}).values():
            withdraw(False)

    def on_frame(self, link: Link, frame: Frame) -> None:
        kind = frame.WhichOneof("body")
        waiting = self._withdrawals.get(link)
        if waiting is None:
            return
        if kind == "waybill":
            number = frame.waybill.number

            def deliver(delivery: Delivery) -> None:
                waiting.pop(number, None)
                if not waiting and not self._newsstand.serves(link):
                    link.every_s = IDLE_TAKEN_S
                delivery.number = number
                link.send(Frame(delivery=delivery))

            waiting[number] = nothing_to_withdraw
            link.every_s = PING_S  # its origin waits, and asks for signs of life
            withdraw = self._inbound.take(frame.waybill, deliver)
            if number in waiting:
                waiting[number] = withdraw
        elif kind == "subscribe":
            link.every_s = PING_S
            self._newsstand.subscribe(link, frozenset(frame.subscribe.services))
        elif kind == "withdrawal":
            withdraw = waiting.pop(frame.withdrawal.number, nothing_to_withdraw)
            withdraw(frame.withdrawal.client_left)

    # ------------------------------------------------------------ what we are told

    def _news(self, news: wire.News) -> None:
        """What a signalbox tells: items, members, or all of both."""
        began = self._monotonic()
        if self._book.take(news.items):
            self._timetable = Timetable(self._book)
            if self._possession:
                self._lent.take(self._book)
            for (name, _), points in list(self._points.items()):
                route = self._timetable.routes.get(name)
                if route is not None:
                    points.route = route
        self._outbound.informed = self._session.informed and bool(self._timetable.routes)
        self._members.take(news.nodes)
        self._newsstand.take(list(news.served))
        if news.signalboxes:
            self._newsstand.session_began()
        if news.whole:
            named = {node.name for node in news.nodes}
            for name in [n for n in self._members.nodes if n not in named and n != self.settings.name]:
                del self._members.nodes[name]
        self._newsstand.forget({node.name for node in self._members.members()})
        self._follow()
        self._passes += 1
        self._pass_seconds += self._monotonic() - began

    def _follow(self) -> None:
        """After any news of members, zones or routes."""
        members = self._members.members()
        self._newsstand.follow(self._wanted(), members)
        there = {node.name: node for node in members}
        self._serving = [
            node
            for node in self._newsstand.served.values()
            if node.name in there and there[node.name].life <= node.life
        ]
        self._servers = {
            server.id: (server.service, node.address) for node in self._serving for server in node.servers
        }
        now = self._loop.time()
        self.gate.evacuate(self.settings.zone in self._book.evacuated(), now)
        life = self.gate.life
        if life is not None and (service := self._timetable.services.get(life.service)) is not None:
            self.gate.cold_per_s = service.cold_per_s
        nodes = max(1, len(self._members.members()))
        for purse in self._purses.values():
            purse.nodes = nodes
        for (_, name), points in list(self._points.items()):
            points.follow(self._listed(name, points.route))
        self._inbound.advance()

    def _wanted(self) -> frozenset[str]:
        """The services that any route goes to."""
        return frozenset(name for route in self._timetable.routes.values() for name, _ in route.split)

    def _listed(self, service: str, route: Route) -> dict[str, bool]:
        """The servers that a route's requests for a service may go to, and whether each is in our zone."""
        evacuated = self._book.evacuated()
        ready: dict[str, bool] = {}
        draining: dict[str, bool] = {}
        lent: dict[str, bool] = {}
        for node in self._serving:
            for server in node.servers:
                if server.service == service and server.zone not in evacuated:
                    there = draining if server.draining else ready
                    if self._lent.some() and self._lent.lent(node.name, route):
                        there = lent
                    there[server.id] = server.zone == self.settings.zone
        return ready or draining or lent

    def _lent_here(self, waybill: Waybill) -> bool:
        """Whether our server is out of the traffic that a waybill is of, and others are not."""
        if not self._lent.some() or self.gate.life is None:
            return False
        host = next((f[5:] for f in waybill.fields.split(b"\r\n") if f[:5].lower() == b"host:"), b"").strip()
        path = waybill.target.partition(b"?")[0]
        route = self._timetable.find(host.decode("latin-1"), path.decode("latin-1"))
        if route is None or not self._lent.lent(self.settings.name, route):
            return False
        return self.gate.life.id not in self._listed(self.gate.life.service, route)

    # ------------------------------------------------------------ our server

    def _beat(self, beat: Beat) -> None:
        life = Life(beat.id, beat.service, beat.zone or self.settings.zone, beat.capacity)
        now = self._loop.time()
        if self.gate.beat(life, beat.draining, beat.count, beat.cold_ms, now):
            assert self.gate.life is not None
            self._own.is_now(self.gate.life.id)
            self._report()

    def _left(self, server: str) -> None:
        if self.gate.left(server):
            self._own.is_gone()
            self._report()

    def _node(self) -> wire.Node:
        node = wire.Node(
            name=self.settings.name,
            zone=self.settings.zone,
            address=self._address,
            life=self._life,
            number=self._number,
            service=self.settings.service,
        )
        life = self.gate.life
        if life is not None and self._terminated_at is None:
            node.servers.add(
                id=life.id,
                service=life.service,
                zone=life.zone,
                capacity=life.capacity,
                draining=life.draining_since is not None,
            )
        if self._possession:
            node.used = self._used
            node.tallies.extend(self._ledger.closed.values())
            node.through = self._ledger.through
        return node

    def _hello(self) -> wire.Node:
        self._number += 1
        node = self._node()
        self._members.take([homes.bare(node)])
        self._newsstand.take([node])
        return node

    def _report(self) -> None:
        """Our server has changed: others must hear of it, and so must our own points."""
        self._session.say(self._hello())
        self._follow()

    # ------------------------------------------------------------ time

    def _sweep(self) -> None:
        self._loop.call_later(SWEEP_S, self._sweep)
        now = self._loop.time()
        if self.gate.silent(now, SILENT_BEATS * self.settings.beat_ms / 1000.0):
            self.ring.note("our server fell silent")
            self._own.is_gone()
            self._report()
        self._gates.sweep()
        self._newsstand.follow(self._wanted(), self._members.members())
        if self._possession:
            self._tell_use()
        if self._refused and now - self._noted_at >= NOTE_EACH_S:
            self._noted_at = now
            self.ring.note("came back: " + ", ".join(f"{why} {n}" for why, n in self._refused.most_common(8)))
            self._refused.clear()
        if self._terminated_at is not None:
            self._end_when_quiet(now - self._terminated_at)

    def _tell_use(self) -> None:
        """Slots in use and what became of bookings, each epoch: for those who plan and report windows."""
        self._used = max(self._used, self.gate.running)
        if self._ledger.close(self._wall()):
            self._session.say(self._hello())
            self._used = 0

    def _reload(self) -> None:
        """SIGHUP: the settings file has changed."""
        read = load()
        if isinstance(read, Success):
            self._session.seeds = read.unwrap().seed_links
        else:
            self.ring.wrong(f"kept the old settings: {read.failure()}")

    def terminate(self) -> None:
        """SIGTERM: finish what is here, send others elsewhere, then end."""
        if self._terminated_at is not None:
            return
        self.ring.say(f"ends: {self._outbound.open} requests open, {self.gate.running} at our server")
        self._terminated_at = self._loop.time()
        grace_s = self.settings.bounds.grace / 1000.0
        self._outbound.last_taken = self._terminated_at + grace_s / 2.0 - FIRST_HALF_PART_S
        self._outbound.end_by = self._terminated_at + grace_s - GRACE_PART_S - ANSWERS_OUT_S
        self.gate.leaving = True
        self._outbound.closing = True
        self._report()

    def _end_when_quiet(self, since_s: float) -> None:
        quiet = not self._outbound.busy() and not self.gate.running
        quiet = quiet and self._loop.time() - self._outbound.last_heard >= QUIET_S
        if (quiet and since_s >= LEAST_LEAVING_S) or (
            since_s >= self.settings.bounds.grace / 1000.0 - GRACE_PART_S
        ):
            self._listener.close()
            self._outbound.close()
            self._control.close()
            self._session.close()
            self._newsstand.close()
            self._gates.close()
            self._own.close()
            self._done.set()

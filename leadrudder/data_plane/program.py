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

from leadrudder.bootstrap.log_buffer import LogBuffer
from leadrudder.bootstrap.settings import Settings, load_settings
from leadrudder.configuration.items import Route
from leadrudder.data_plane.admission_control import Gate, Life
from leadrudder.data_plane.inbound import Inbound, Withdraw, nothing_to_withdraw
from leadrudder.data_plane.load_balancer import Errand
from leadrudder.data_plane.mesh_state import MeshState
from leadrudder.data_plane.outbound import Outbound
from leadrudder.data_plane.peer_links import Gates
from leadrudder.data_plane.request_accounting import RequestAccounting
from leadrudder.data_plane.server_api import Beat, Beats
from leadrudder.data_plane.server_connections import OwnServer
from leadrudder.data_plane.session import Session
from leadrudder.maintenance.ledger import Ledger
from leadrudder.membership import zone_relays
from leadrudder.node.platform import SYSTEM, Platform
from leadrudder.observability.invariants import Invariants
from leadrudder.observability.loop_lag import BEHIND_S, LoopLag
from leadrudder.observability.metrics import Metrics
from leadrudder.observability.traffic import Traffic
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Delivery, Frame, Waybill
from leadrudder.protocol.outcome import Ran
from leadrudder.transport.http import ControlServer
from leadrudder.transport.link import IDLE_TAKEN_S, PING_S, Link

SWEEP_S = 0.25
SILENT_BEATS = 3.5  # beats that a server may miss before it counts as crashed
NOTE_EACH_S = 1.0
BODIES_PART = 0.2  # of the memory: each body is held about twice more on its way
OPEN_MOST = 2000  # requests that may be under way
LEAST_LEAVING_S = 2.4  # after SIGTERM: until then clients still come
QUIET_S = 0.3
GRACE_PART_S = 0.6  # of the grace, kept for the end itself
BEHIND = "behind"  # why a call was refused: this process has more to do than it gets done
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
        self.ring = LogBuffer(settings.name)
        self.invariants = Invariants(self.ring.log_warning)
        self._loop = asyncio.get_running_loop()
        self._rng = rng or Random()
        self._address = f"{settings.ip}:{settings.proxy_link_port}"
        self._life = int(wall() * 1e6)
        self._number = 0
        self._lag = LoopLag(platform.monotonic)
        self.gate = Gate(settings.bounds)
        self.state = MeshState(
            settings,
            self.gate,
            self.invariants,
            carry=self._carry,
            carried_out=lambda: self._inbound.advance(),
            ask=lambda services: self._session.subscribe(services),
            fed=lambda: self._session.stands() and self._terminated_at is None,
            note=self.ring.record,
            rng=self._rng,
            wall=wall,
            monotonic=platform.monotonic,
            loans=possession,
        )
        self._withdrawals: dict[Link, dict[int, Withdraw]] = {}
        self._terminated_at: float | None = None
        self._done = asyncio.Event()
        self.traffic = Traffic()
        self._refused: Counter[str] = Counter()  # calls that came back without an answer, since the last note
        self._noted_at = 0.0
        self._calls_shed = 0  # calls to our server, refused because this process was behind
        self._own = OwnServer(
            settings.application_address or (settings.ip, 0), most_open=100, platform=platform
        )
        self._ledger = Ledger()
        self._accounting = RequestAccounting(
            self.traffic,
            self.invariants,
            self._ledger if possession else None,
            now=self._loop.time,
            wall=wall,
            lag_s=self._lag.seconds,
            note=self.ring.record,
        )
        self._inbound = Inbound(
            self.gate,
            self._own,
            self.ring.record,
            self._lent_here,
            (lambda epoch: self._ledger.record_execution(settings.service, epoch)) if possession else None,
        )
        self._used = 0  # slots of our server, at the busiest since we last told
        self._gates = Gates()
        self._outbound = Outbound(
            settings.service,
            self.state.routing.find,
            self._begin,
            lambda: self.state.routing.limits,
            lambda: self._outbound.open < OPEN_MOST,
            BODIES_PART * settings.memory_limit_mb * 1e6,
            self._lag.seconds,
        )
        beats = Beats(self._beat, self._left, self.ready, self._metrics().text)
        self._control = ControlServer(beats.dispatch, lambda e: self.ring.log_warning(f"fault: {e!r}"))
        self._session = Session(
            settings.seed_link_addresses,
            self._hello,
            self._news,
            self.state.newsstand.session_ended,
            self._rng,
            self.ring.record,
        )

    async def start(self) -> None:
        settings = self.settings
        self.ring.log_info("starts")
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
        self.state.add_figures(metrics)
        self.traffic.add_figures(metrics)
        metrics.add("requests_open", lambda: self._outbound.open)
        metrics.add("calls_running", lambda: self.gate.running)
        metrics.add("calls_waiting", self.gate.waiting)
        metrics.add("slot_seconds_total", lambda: self.gate.slot_seconds(self._loop.time()))
        metrics.add("requests_shed_total", lambda: self._outbound.shed)
        metrics.add("calls_shed_total", lambda: self._calls_shed)
        metrics.add("loop_lag_seconds", self._lag.seconds)
        metrics.add("loop_lag_highest_seconds", lambda: self._lag.highest_s)
        metrics.add("process_cpu_seconds_total", time.process_time)
        metrics.add_labelled("invariant_violations_total", "name", lambda: self.invariants.violations)
        return metrics

    def ready(self) -> bool:
        """Whether clients may come: a configuration is in force here, and we are not about to end."""
        return self._terminated_at is None and bool(self.state.routing.routes) and self._session.informed

    # ------------------------------------------------------------ requests of our clients

    def _begin(self, route: Route, errand: Errand) -> Callable[[], None]:
        service = route.service_shares[0][0]
        if len(route.service_shares) > 1:
            names, shares = zip(*route.service_shares, strict=True)
            service = self._rng.choices(names, shares)[0]
        self._accounting.begin(route, service, errand)
        return self.state.upstreams.balancer(route, service).begin(errand)

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
        now = self._loop.time()
        waybill = Waybill(
            server=server,
            method=errand.method,
            target=errand.target,
            fields=errand.fields,
            body=errand.body,
            attempt_id=errand.attempt_id,
            left_ms=1000.0 * (errand.deadline - now),
            once=route.at_most_once,
            may_wait=may_wait,
            priority=max(0, route.priority),
            aim_ms=route.target_ms - errand.waited_ms - 1000.0 * (now - errand.began),
            target_ms=route.target_ms,
            repeat=again,
            epoch=errand.epoch,
        )

        self.traffic.calls += 1

        def counted(delivery: Delivery) -> None:
            if delivery.why:
                self._refused[delivery.why] += 1
                self.traffic.refused[delivery.why] += 1
            deliver(delivery)

        endpoint = self.state.endpoints.server(server)
        if endpoint is None:
            counted(Delivery(ran=0, why="gone"))
            return nothing_to_withdraw
        if endpoint.address == self._address:
            return self._inbound.take(waybill, counted)
        return self._gates.send(endpoint.address, waybill, counted)

    # ------------------------------------------------------------ links from other stations

    def on_up(self, link: Link) -> None:
        self._withdrawals[link] = {}
        link.every_s = IDLE_TAKEN_S

    def on_down(self, link: Link) -> None:
        self.state.newsstand.unsubscribe(link)
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
                if not waiting and not self.state.newsstand.serves(link):
                    link.every_s = IDLE_TAKEN_S
                delivery.number = number
                link.send(Frame(delivery=delivery))

            late_s = self._lag.seconds()
            if late_s > BEHIND_S:
                self._calls_shed += 1
                deliver(Delivery(ran=Ran.NEVER, why=BEHIND, retry_ms=1000.0 * late_s))
                return
            frame.waybill.left_ms -= 1000.0 * late_s  # it has waited here for so long
            waiting[number] = nothing_to_withdraw
            link.every_s = PING_S  # its origin waits, and asks for signs of life
            withdraw = self._inbound.take(frame.waybill, deliver)
            if number in waiting:
                waiting[number] = withdraw
        elif kind == "subscribe":
            link.every_s = PING_S
            self.state.newsstand.subscribe(link, frozenset(frame.subscribe.services))
        elif kind == "withdrawal":
            withdraw = waiting.pop(frame.withdrawal.number, nothing_to_withdraw)
            withdraw(frame.withdrawal.client_left)

    # ------------------------------------------------------------ what we are told

    def _news(self, news: wire.News) -> None:
        """What a signalbox tells."""
        self.state.take(news)
        self._outbound.informed = self._session.informed and bool(self.state.routing.routes)

    def _lent_here(self, waybill: Waybill) -> bool:
        """Whether our server is out of the traffic that a waybill is of, and others are not."""
        state, life = self.state, self.gate.life
        if not state.lent.some() or life is None:
            return False
        host = next((f[5:] for f in waybill.fields.split(b"\r\n") if f[:5].lower() == b"host:"), b"").strip()
        path = waybill.target.partition(b"?")[0]
        route = state.routing.find(host.decode("latin-1"), path.decode("latin-1"))
        if route is None or not state.lent.lent(self.settings.name, route):
            return False
        return life.id not in state.allowed(life.service, route)

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
        self.state.take_own(zone_relays.bare(node), node)
        return node

    def _report(self) -> None:
        """Our server has changed: others must hear of it, and so must our own points."""
        self._session.say(self._hello())
        self.state.changes.flush()

    # ------------------------------------------------------------ time

    def _sweep(self) -> None:
        if self._done.is_set():
            return  # what it would dial now would outlive the event loop
        self._loop.call_later(SWEEP_S, self._sweep)
        now = self._loop.time()
        if self.gate.silent(now, SILENT_BEATS * self.settings.heartbeat_interval_ms / 1000.0):
            self.ring.record("our server fell silent")
            self._own.is_gone()
            self._report()
        self._gates.sweep()
        self.state.look_for_sources()
        if self._possession:
            self._tell_use()
        if self._refused and now - self._noted_at >= NOTE_EACH_S:
            self._noted_at = now
            self.ring.record(
                "came back: " + ", ".join(f"{why} {n}" for why, n in self._refused.most_common(8))
            )
            self._refused.clear()
        if self._terminated_at is not None:
            self._end_when_quiet(now - self._terminated_at)

    def _tell_use(self) -> None:
        """Slots in use and what became of bookings, each epoch: for those who plan and report windows."""
        self._used = max(self._used, self.gate.running)
        if self._ledger.close_epochs(self._wall()):
            self._session.say(self._hello())
            self._used = 0

    def _reload(self) -> None:
        """SIGHUP: the settings file has changed."""
        read = load_settings()
        if isinstance(read, Success):
            self._session.seeds = read.unwrap().seed_link_addresses
        else:
            self.ring.log_warning(f"kept the old settings: {read.failure()}")

    def terminate(self) -> None:
        """SIGTERM: finish what is here, send others elsewhere, then end."""
        if self._terminated_at is not None:
            return
        self.ring.log_info(f"ends: {self._outbound.open} requests open, {self.gate.running} at our server")
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
            self.state.newsstand.close()
            self._gates.close()
            self._own.close()
            self._done.set()

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

from leadrudder.bootstrap.log_buffer import Ring
from leadrudder.bootstrap.settings import Settings, load
from leadrudder.configuration.items import Route
from leadrudder.data_plane.admission_control import AdmissionController, ServerInstance
from leadrudder.data_plane.inbound import InboundProxy, Withdraw, no_withdrawal
from leadrudder.data_plane.load_balancer import ClientRequest
from leadrudder.data_plane.mesh_state import MeshState
from leadrudder.data_plane.outbound import OutboundProxy
from leadrudder.data_plane.peer_links import PeerLinks
from leadrudder.data_plane.request_accounting import RequestAccounting
from leadrudder.data_plane.server_api import Beat, Beats
from leadrudder.data_plane.server_connections import LocalServer
from leadrudder.data_plane.session import Session
from leadrudder.maintenance.ledger import Ledger
from leadrudder.membership import zone_relays
from leadrudder.node.platform import SYSTEM, Platform
from leadrudder.observability.invariants import Invariants
from leadrudder.observability.loop_lag import BEHIND_S, LoopLag
from leadrudder.observability.metrics import Metrics
from leadrudder.observability.traffic import Traffic
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import ForwardRequest, ForwardResponse, Frame
from leadrudder.protocol.outcome import Executed
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
        self.ring = Ring(settings.name)
        self.invariants = Invariants(self.ring.wrong)
        self._loop = asyncio.get_running_loop()
        self._rng = rng or Random()
        self._address = f"{settings.ip}:{settings.station_port}"
        self._life = int(wall() * 1e6)
        self._number = 0
        self._lag = LoopLag(platform.monotonic)
        self.gate = AdmissionController(settings.bounds)
        self.state = MeshState(
            settings,
            self.gate,
            self.invariants,
            carry=self._carry,
            carried_out=lambda: self._inbound.process_queue(),
            ask=lambda services: self._session.subscribe(services),
            fed=lambda: self._session.stands() and self._terminated_at is None,
            note=self.ring.note,
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
        self._own = LocalServer(settings.app or (settings.ip, 0), max_connections=100, platform=platform)
        self._ledger = Ledger()
        self._accounting = RequestAccounting(
            self.traffic,
            self.invariants,
            self._ledger if possession else None,
            now=self._loop.time,
            wall=wall,
            lag_s=self._lag.seconds,
            log=self.ring.note,
        )
        self._inbound = InboundProxy(
            self.gate,
            self._own,
            self.ring.note,
            self._lent_here,
            (lambda epoch: self._ledger.ran(settings.service, epoch)) if possession else None,
        )
        self._used = 0  # slots of our server, at the busiest since we last told
        self._gates = PeerLinks()
        self._outbound = OutboundProxy(
            settings.service,
            self.state.routing.find,
            self._begin,
            lambda: self.state.routing.limits,
            lambda: self._outbound.open_requests < OPEN_MOST,
            BODIES_PART * settings.ram_mb * 1e6,
            self._lag.seconds,
        )
        beats = Beats(self._beat, self._left, self.ready, self._metrics().text)
        self._control = ControlServer(beats.dispatch, lambda e: self.ring.wrong(f"fault: {e!r}"))
        self._session = Session(
            settings.seed_links,
            self._hello,
            self._news,
            self.state.newsstand.session_ended,
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
        self.state.add_figures(metrics)
        self.traffic.add_figures(metrics)
        metrics.add("requests_open", lambda: self._outbound.open_requests)
        metrics.add("calls_running", lambda: self.gate.running_calls)
        metrics.add("calls_waiting", self.gate.waiting_calls)
        metrics.add("slot_seconds_total", lambda: self.gate.slot_seconds(self._loop.time()))
        metrics.add("requests_shed_total", lambda: self._outbound.requests_shed)
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

    def _begin(self, route: Route, errand: ClientRequest) -> Callable[[], None]:
        service = route.split[0][0]
        if len(route.split) > 1:
            names, shares = zip(*route.split, strict=True)
            service = self._rng.choices(names, shares)[0]
        self._accounting.track(route, service, errand)
        return self.state.upstreams.load_balancer_for(route, service).submit(errand)

    def _carry(
        self,
        errand: ClientRequest,
        route: Route,
        server: str,
        may_wait: bool,
        again: bool,
        deliver: Callable[[ForwardResponse], None],
    ) -> Withdraw:
        """One attempt, to the gate beside its server."""
        now = self._loop.time()
        waybill = ForwardRequest(
            server=server,
            method=errand.method,
            target=errand.target,
            fields=errand.fields,
            body=errand.body,
            attempt_id=errand.attempt_id,
            left_ms=1000.0 * (errand.deadline - now),
            once=route.once,
            may_wait=may_wait,
            priority=max(0, route.priority),
            aim_ms=route.target_ms - errand.waited_ms - 1000.0 * (now - errand.started_at),
            target_ms=route.target_ms,
            repeat=again,
            epoch=errand.epoch,
        )

        self.traffic.calls += 1

        def counted(delivery: ForwardResponse) -> None:
            if delivery.why:
                self._refused[delivery.why] += 1
                self.traffic.refused[delivery.why] += 1
            deliver(delivery)

        endpoint = self.state.endpoints.server(server)
        if endpoint is None:
            counted(ForwardResponse(ran=0, why="gone"))
            return no_withdrawal
        if endpoint.address == self._address:
            return self._inbound.handle(waybill, counted)
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

            def deliver(delivery: ForwardResponse) -> None:
                waiting.pop(number, None)
                if not waiting and not self.state.newsstand.serves(link):
                    link.every_s = IDLE_TAKEN_S
                delivery.number = number
                link.send(Frame(delivery=delivery))

            late_s = self._lag.seconds()
            if late_s > BEHIND_S:
                self._calls_shed += 1
                deliver(ForwardResponse(ran=Executed.NEVER, why=BEHIND, retry_ms=1000.0 * late_s))
                return
            frame.waybill.left_ms -= 1000.0 * late_s  # it has waited here for so long
            waiting[number] = no_withdrawal
            link.every_s = PING_S  # its origin waits, and asks for signs of life
            withdraw = self._inbound.handle(frame.waybill, deliver)
            if number in waiting:
                waiting[number] = withdraw
        elif kind == "subscribe":
            link.every_s = PING_S
            self.state.newsstand.subscribe(link, frozenset(frame.subscribe.services))
        elif kind == "withdrawal":
            withdraw = waiting.pop(frame.withdrawal.number, no_withdrawal)
            withdraw(frame.withdrawal.client_left)

    # ------------------------------------------------------------ what we are told

    def _news(self, news: wire.StateUpdate) -> None:
        """What a signalbox tells."""
        self.state.take(news)
        self._outbound.has_configuration = self._session.informed and bool(self.state.routing.routes)

    def _lent_here(self, waybill: ForwardRequest) -> bool:
        """Whether our server is out of the traffic that a waybill is of, and others are not."""
        state, life = self.state, self.gate.instance
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
        life = ServerInstance(beat.id, beat.service, beat.zone or self.settings.zone, beat.capacity)
        now = self._loop.time()
        if self.gate.on_heartbeat(life, beat.draining, beat.count, beat.cold_ms, now):
            assert self.gate.instance is not None
            self._own.set_instance(self.gate.instance.id)
            self._report()

    def _left(self, server: str) -> None:
        if self.gate.remove_instance(server):
            self._own.clear_instance()
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
        life = self.gate.instance
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
        self.state.take_own(zone_relays.without_servers(node), node)
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
        if self.gate.expire_instance(now, SILENT_BEATS * self.settings.beat_ms / 1000.0):
            self.ring.note("our server fell silent")
            self._own.clear_instance()
            self._report()
        self._gates.close_idle()
        self.state.look_for_sources()
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
        self._used = max(self._used, self.gate.running_calls)
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
        self.ring.say(
            f"ends: {self._outbound.open_requests} requests open, {self.gate.running_calls} at our server"
        )
        self._terminated_at = self._loop.time()
        grace_s = self.settings.bounds.grace / 1000.0
        self._outbound.unrestricted_until = self._terminated_at + grace_s / 2.0 - FIRST_HALF_PART_S
        self._outbound.answers_due_by = self._terminated_at + grace_s - GRACE_PART_S - ANSWERS_OUT_S
        self.gate.terminating = True
        self._outbound.closing = True
        self._report()

    def _end_when_quiet(self, since_s: float) -> None:
        quiet = not self._outbound.busy() and not self.gate.running_calls
        quiet = quiet and self._loop.time() - self._outbound.last_request_at >= QUIET_S
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

"""The data-plane node: proxies requests between the clients and the server of one machine and the rest of
the mesh, and keeps a session with the control plane.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random

from returns.result import Success

from leadrudder.bootstrap.log_buffer import LogBuffer
from leadrudder.bootstrap.serving import serve_until_stopped
from leadrudder.bootstrap.settings import Settings, load_settings
from leadrudder.bootstrap.takeover import Startup
from leadrudder.configuration.items import Route
from leadrudder.data_plane.admission_control import AdmissionController, ServerInstance
from leadrudder.data_plane.inbound import Deliver, InboundProxy, Withdraw, no_withdrawal
from leadrudder.data_plane.incoming_calls import IncomingCalls
from leadrudder.data_plane.load_balancer import ProxiedRequest
from leadrudder.data_plane.mesh_state import MeshState
from leadrudder.data_plane.outbound import OutboundProxy
from leadrudder.data_plane.peer_links import PeerLinks
from leadrudder.data_plane.request_accounting import RequestAccounting
from leadrudder.data_plane.server_api import Heartbeat, ServerApi
from leadrudder.data_plane.server_connections import LocalServer
from leadrudder.data_plane.session import Session
from leadrudder.data_plane.shutdown import LAST_ANSWERS_S, ShutdownSchedule
from leadrudder.maintenance.ledger import Ledger
from leadrudder.membership import zone_relays
from leadrudder.node.platform import SYSTEM, Platform
from leadrudder.observability.invariants import Invariants
from leadrudder.observability.loop_lag import LoopLag
from leadrudder.observability.metrics import Metrics, peak_memory_bytes
from leadrudder.observability.traffic import TrafficCounters
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import ForwardRequest, ForwardResponse
from leadrudder.protocol.outcome import Executed
from leadrudder.transport.api_server import ApiRequest, ApiResponse, ApiServer
from leadrudder.transport.body_stream import BodyReceiver, BodySender
from leadrudder.transport.connection_limit import ConnectionLimit
from leadrudder.transport.input_memory import InputMemory
from leadrudder.transport.large_body import LargeBody
from leadrudder.transport.link import Link
from leadrudder.transport.memory_budget import MemoryBudget

TICK_INTERVAL_S = 0.25
MAX_MISSED_HEARTBEATS = 3.5  # heartbeats that a server may miss before it counts as crashed
REFUSAL_LOG_INTERVAL_S = 1.0
# Parts of the memory: for all requests and answers that are held; among them large bodies of requests, and
# small requests; and for what has not come in whole yet.
HELD_MEMORY_FRACTION, REQUEST_MEMORY_FRACTION, SMALL_REQUEST_MEMORY_FRACTION = 0.55, 0.4, 0.1
INPUT_MEMORY_FRACTION = 0.06  # of clients and the local API
LINK_MEMORY_FRACTION = 0.2  # of links to other nodes
# Parts of the descriptors that are left for connections: of clients, of the local API, of other nodes.
CLIENT_CONNECTIONS_FRACTION, API_CONNECTIONS_FRACTION, LINKS_FRACTION = 0.5, 0.25, 0.25
API_MEMORY_FRACTION = 0.02  # for the local API's requests and responses
MAX_OPEN_REQUESTS = 2000
FINAL_SWEEP_INTERVAL_S = 0.05  # while the last requests are refused during a shutdown


class DataPlaneNode:
    """One data-plane process with one event loop."""

    def __init__(
        self,
        settings: Settings,
        *,
        maintenance_windows: bool = False,
        rng: Random | None = None,
        wall: Callable[[], float] = time.time,
        platform: Platform = SYSTEM,
    ) -> None:
        """maintenance_windows: whether they are enabled.  The simulation passes the other arguments."""
        self.settings = settings
        self._maintenance_windows, self._wall = maintenance_windows, wall
        self.log_buffer = LogBuffer(settings.name)
        self.invariants = Invariants(self.log_buffer.log_warning)
        self._loop = asyncio.get_running_loop()
        self._rng = rng or Random()
        self._address = f"{settings.ip}:{settings.proxy_link_port}"
        self._incarnation = int(wall() * 1e6)
        self._report_number = 0
        self._lag = LoopLag(platform.monotonic)
        memory_bytes = settings.memory_limit_mb * 1e6
        self._link_memory = InputMemory(LINK_MEMORY_FRACTION * memory_bytes, connection_share=1.0)
        self._link_limit = ConnectionLimit(int(LINKS_FRACTION * settings.connection_descriptors))
        self.admission = AdmissionController(settings.bounds)
        self.state = MeshState(
            settings,
            self.admission,
            self.invariants,
            carry=self._send_attempt,
            on_applied=lambda: self._inbound.process_queue(),
            subscribe=lambda services: self._session.subscribe(services),
            session_established=lambda: self._session.established() and self._shutdown is None,
            note=self.log_buffer.record,
            rng=self._rng,
            wall=wall,
            monotonic=platform.monotonic,
            machine_drains_enabled=maintenance_windows,
            link_memory=self._link_memory,
        )
        self._shutdown: ShutdownSchedule | None = None  # set by SIGTERM
        self._done = asyncio.Event()
        self.traffic = TrafficCounters()
        self._refusals: Counter[str] = Counter()  # calls without a response since the last log line
        self._refusals_logged_at = 0.0
        self._logged_body_refusals = 0
        self._memory = MemoryBudget(HELD_MEMORY_FRACTION * memory_bytes)
        self._request_memory = MemoryBudget(REQUEST_MEMORY_FRACTION * memory_bytes, self._memory)
        self._input_memory = InputMemory(INPUT_MEMORY_FRACTION * memory_bytes)
        self._local_server = LocalServer(
            settings.application_address or (settings.ip, 0),
            max_connections=100,
            platform=platform,
            answer_memory=self._memory,
        )
        self._ledger = Ledger()
        self._accounting = RequestAccounting(
            self.traffic,
            self.invariants,
            self._ledger if maintenance_windows else None,
            now=self._loop.time,
            wall=wall,
            lag_s=self._lag.seconds,
            log=self.log_buffer.record,
        )
        self._inbound = InboundProxy(
            self.admission,
            self._local_server,
            self.log_buffer.record,
            self._is_drained_here,
            (lambda epoch: self._ledger.record_execution(settings.service, epoch))
            if maintenance_windows
            else None,
        )
        self._incoming_calls = IncomingCalls(self._inbound, self.state.discovery, self._lag)
        self._peak_slots_used = 0  # highest number of slots of the local server in use since the last report
        self._peer_links = PeerLinks(self._memory, self._link_memory)
        self._outbound = OutboundProxy(
            settings.service,
            self.state.routing.find,
            self._begin_request,
            lambda: self.state.routing.limits,
            lambda: self._outbound.open_requests < MAX_OPEN_REQUESTS,
            self._request_memory,
            self._lag.seconds,
            self._memory,
            MemoryBudget(SMALL_REQUEST_MEMORY_FRACTION * memory_bytes, self._memory),
            self._input_memory,
            int(CLIENT_CONNECTIONS_FRACTION * settings.connection_descriptors),
        )
        self._startup = Startup(self.log_buffer.log_info)
        self._server_api = ServerApi(
            self._on_heartbeat, self._on_deregistered, self.ready, self._metrics().text
        )
        self._api_server = ApiServer(
            self._dispatch,
            lambda error: self.log_buffer.log_warning(f"unhandled API error: {error!r}"),
            memory=MemoryBudget(API_MEMORY_FRACTION * memory_bytes),
            input_memory=self._input_memory,
            max_connections=int(API_CONNECTIONS_FRACTION * settings.connection_descriptors),
        )
        self._session = Session(
            settings.seed_link_addresses,
            self._next_report,
            self._on_state_update,
            self.state.discovery.on_session_ended,
            self._rng,
            self.log_buffer.record,
            self._link_memory,
        )

    async def start(self) -> None:
        settings = self.settings
        self.log_buffer.log_info("starting")
        for api_address in {settings.control, settings.readiness} - {None}:
            assert api_address is not None
            await self._startup.listen(partial(self._api_server.listen, api_address))
        host, port = self._address.rsplit(":", 1)
        self._listener = await self._startup.listen(
            lambda: self._loop.create_server(
                lambda: Link(
                    self._incoming_calls,
                    silence_timeout_s=30.0,
                    input_memory=self._link_memory,
                    limit=self._link_limit,
                ),
                host,
                int(port),
                family=socket.AF_INET,
                backlog=1024,
            )
        )
        if settings.outbound is not None:
            await self._startup.listen(partial(self._outbound.listen, settings.outbound))
        self._startup.finished = True
        self._session.start()
        self._tick()
        self.log_buffer.log_info("started")

    async def run(self) -> None:
        if not await serve_until_stopped(
            self.start(), self._done, terminate=self.terminate, reload=self._reload
        ):
            self.log_buffer.log_info("terminated while starting")

    async def _dispatch(self, request: ApiRequest) -> ApiResponse:
        """Handle a request of the local server or the platform, or say what the start waits for."""
        if not self._startup.finished:
            return self._startup.respond(request)
        return await self._server_api.dispatch(request)

    def _metrics(self) -> Metrics:
        metrics = Metrics()
        self.state.register_metrics(metrics)
        self.traffic.register_metrics(metrics)
        self._local_server.answer_counts.register_metrics(metrics)
        metrics.add("requests_open", lambda: self._outbound.open_requests)
        metrics.add("calls_running", lambda: self.admission.running_calls)
        metrics.add("calls_waiting", self.admission.waiting_calls)
        metrics.add("slot_seconds_total", lambda: self.admission.slot_seconds(self._loop.time()))
        metrics.add("requests_shed_total", lambda: self._outbound.requests_shed)
        metrics.add("calls_shed_total", lambda: self._incoming_calls.calls_shed)
        metrics.add("held_body_bytes", lambda: self._memory.used_bytes)
        metrics.add("held_body_bytes_limit", lambda: self._memory.limit_bytes)
        metrics.add("body_refusals_total", lambda: self._request_memory.refusals)
        metrics.add("input_memory_bytes", lambda: self._input_memory.used_bytes)
        metrics.add("input_memory_bytes_limit", lambda: self._input_memory.limit_bytes)
        metrics.add("link_memory_bytes", lambda: self._link_memory.used_bytes)
        metrics.add("unfinished_frames_shed_total", lambda: self._link_memory.shed)
        metrics.add("unfinished_requests_shed_total", self._unfinished_requests_shed)
        metrics.add("client_connections", lambda: len(self._outbound.connection_limit))
        metrics.add("client_connections_evicted_total", lambda: self._outbound.connection_limit.evicted)
        metrics.add("process_peak_memory_bytes", peak_memory_bytes)
        metrics.add("loop_lag_seconds", self._lag.seconds)
        metrics.add("loop_lag_highest_seconds", lambda: self._lag.highest_s)
        metrics.add("process_cpu_seconds_total", time.process_time)
        metrics.add_labelled("invariant_violations_total", "name", lambda: self.invariants.violations)
        return metrics

    def _unfinished_requests_shed(self) -> int:
        return self._input_memory.shed + self._outbound.received_bodies.shed

    def ready(self) -> bool:
        """Whether clients may connect: a configuration is in force, and the process is not shutting down."""
        return self._shutdown is None and bool(self.state.routing.routes) and self._session.synced

    # ------------------------------------------------------------ requests of local clients

    def _begin_request(self, route: Route, request: ProxiedRequest) -> Callable[[], None]:
        service = route.service_shares[0][0]
        if len(route.service_shares) > 1:
            names, shares = zip(*route.service_shares, strict=True)
            service = self._rng.choices(names, shares)[0]
        self._accounting.track(route, service, request)
        return self.state.upstreams.load_balancer_for(route, service).submit(request)

    def _send_attempt(
        self,
        request: ProxiedRequest,
        route: Route,
        server: str,
        may_wait: bool,
        is_retry: bool,
        deliver: Deliver,
    ) -> Withdraw:
        """Send one attempt to the data-plane node of its server."""
        now = self._loop.time()
        ends_by = request.deadline
        if self._shutdown is not None:
            ends_by = min(ends_by, self._shutdown.answers_due_by)
        forward_request = ForwardRequest(
            server=server,
            method=request.method,
            target=request.target,
            fields=request.fields,
            body=request.body,
            attempt_id=request.attempt_id,
            left_ms=1000.0 * (ends_by - now),
            once=route.at_most_once,
            may_wait=may_wait,
            priority=max(0, route.priority),
            aim_ms=route.target_ms - request.waited_ms - 1000.0 * (now - request.started_at),
            target_ms=route.target_ms,
            repeat=is_retry,
            epoch=request.epoch,
        )

        self.traffic.calls += 1

        def count_and_deliver(response: ForwardResponse, large_body: LargeBody | None = None) -> None:
            if response.why:
                self._refusals[response.why] += 1
                self.traffic.refused[response.why] += 1
            deliver(response, large_body)

        if ends_by <= now:
            count_and_deliver(ForwardResponse(ran=Executed.NEVER, why="time"))
            return no_withdrawal
        endpoint = self.state.endpoints.server(server)
        if endpoint is None:
            count_and_deliver(ForwardResponse(ran=Executed.NEVER, why="gone"))
            return no_withdrawal
        if endpoint.address == self._address:
            upload = self._local_upload(request.large_body) if request.large_body is not None else None
            return self._inbound.handle(forward_request, count_and_deliver, upload=upload)
        return self._peer_links.send(endpoint.address, forward_request, count_and_deliver, request.large_body)

    def _local_upload(self, body: LargeBody) -> BodyReceiver:
        """A stream of a body to the server of this machine."""

        def emit(data: bytes) -> None:
            self._loop.call_soon(receiver.on_part, data)

        sender = BodySender(body, emit)
        receiver = BodyReceiver(body.size, sender.on_credit)
        return receiver  # noqa: RET504 - emit refers to it

    # ------------------------------------------------------------ updates from the control plane

    def _on_state_update(self, update: wire.StateUpdate) -> None:
        """Apply an update from the control-plane node of the session."""
        self.state.apply_update(update)
        self._outbound.has_configuration = self._session.synced and bool(self.state.routing.routes)

    def _is_drained_here(self, forward_request: ForwardRequest) -> bool:
        """Whether the local server is drained for the route of a request while other servers are not."""
        state, instance = self.state, self.admission.instance
        if not state.machine_drains.any() or instance is None:
            return False
        host = next(
            (f[5:] for f in forward_request.fields.split(b"\r\n") if f[:5].lower() == b"host:"), b""
        ).strip()
        path = forward_request.target.partition(b"?")[0]
        route = state.routing.find(host.decode("latin-1"), path.decode("latin-1"))
        if route is None or not state.machine_drains.is_drained(self.settings.name, route):
            return False
        return instance.id not in state.eligible_servers(instance.service, route)

    # ------------------------------------------------------------ the local server

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        instance = ServerInstance(
            heartbeat.id, heartbeat.service, heartbeat.zone or self.settings.zone, heartbeat.capacity
        )
        now = self._loop.time()
        if self.admission.on_heartbeat(instance, heartbeat.draining, heartbeat.count, heartbeat.cold_ms, now):
            assert self.admission.instance is not None
            self._local_server.set_instance(self.admission.instance.id)
            self._publish_change()

    def _on_deregistered(self, server: str) -> None:
        if self.admission.remove_instance(server):
            self._local_server.clear_instance()
            self._publish_change()

    def _node_entry(self) -> wire.Node:
        node = wire.Node(
            name=self.settings.name,
            zone=self.settings.zone,
            address=self._address,
            life=self._incarnation,
            number=self._report_number,
            service=self.settings.service,
        )
        instance = self.admission.instance
        if instance is not None and self._shutdown is None:
            node.servers.add(
                id=instance.id,
                service=instance.service,
                zone=instance.zone,
                capacity=instance.capacity,
                draining=instance.draining_since is not None,
            )
        if self._maintenance_windows:
            node.used = self._peak_slots_used
            node.tallies.extend(self._ledger.closed.values())
            node.through = self._ledger.through
        return node

    def _next_report(self) -> wire.Node:
        self._report_number += 1
        node = self._node_entry()
        self.state.apply_own_entry(zone_relays.without_servers(node), node)
        return node

    def _publish_change(self) -> None:
        """Report a change of the local server to the control plane and to the local load balancers."""
        self._session.report(self._next_report())
        self.state.changes.flush()

    # ------------------------------------------------------------ periodic work

    def _tick(self) -> None:
        if self._done.is_set():
            return  # a connection attempt begun now would outlive the event loop
        self._loop.call_later(TICK_INTERVAL_S, self._tick)
        now = self._loop.time()
        if self.admission.expire_instance(
            now, MAX_MISSED_HEARTBEATS * self.settings.heartbeat_interval_ms / 1000.0
        ):
            self.log_buffer.record("the local server has sent no heartbeat and counts as crashed")
            self._local_server.clear_instance()
            self._publish_change()
        self._peer_links.close_idle()
        self.state.update_subscriptions()
        if self._maintenance_windows:
            self._report_usage()
        if self._request_memory.refusals > self._logged_body_refusals:
            self._logged_body_refusals = self._request_memory.refusals
            self.log_buffer.log_warning(
                f"bodies refused for lack of memory: {self._logged_body_refusals} so far, "
                f"{self._memory.used_bytes} of {self._memory.limit_bytes:.0f} bytes held"
            )
        if self._refusals and now - self._refusals_logged_at >= REFUSAL_LOG_INTERVAL_S:
            self._refusals_logged_at = now
            self.log_buffer.record(
                "calls without a response: "
                + ", ".join(f"{why} {n}" for why, n in self._refusals.most_common(8))
            )
            self._refusals.clear()
        if self._shutdown is not None:
            self._stop_if_idle(self._shutdown, now)

    def _report_usage(self) -> None:
        """Report slots in use and request outcomes each epoch; maintenance windows are planned by these."""
        self._peak_slots_used = max(self._peak_slots_used, self.admission.running_calls)
        if self._ledger.close_epochs(self._wall()):
            self._session.report(self._next_report())
            self._peak_slots_used = 0

    def _reload(self) -> None:
        """Handle SIGHUP: reload the settings file."""
        read = load_settings()
        if isinstance(read, Success):
            self._session.seeds = read.unwrap().seed_link_addresses
        else:
            self.log_buffer.log_warning(f"reload failed, keeping the previous settings: {read.failure()}")

    def terminate(self) -> None:
        """Handle SIGTERM: finish open requests, refuse those that would not end in time, then stop."""
        if self._shutdown is not None:
            return
        self.log_buffer.log_info(
            f"stopping: {self._outbound.open_requests} open requests, "
            f"{self.admission.running_calls} running calls"
        )
        now = self._loop.time()
        self._shutdown = ShutdownSchedule.within_grace(now, self.settings.bounds.grace / 1000.0)
        self.admission.terminating = True
        self._outbound.begin_shutdown(self._shutdown)
        self._peer_links.announce_stop(self._shutdown.answers_due_by)
        self._publish_change()
        self._inbound.process_queue()
        self._loop.call_later(self._shutdown.answers_due_by - now, self._begin_last_answers)
        self._loop.call_later(self._shutdown.stop_at - now, self._stop)

    def _begin_last_answers(self) -> None:
        """Accept nothing more, so that no request arrives in the moment in which connections are closed."""
        self._outbound.stop_accepting()
        self._refuse_what_has_not_run()

    def _refuse_what_has_not_run(self) -> None:
        """Refuse the requests that have certainly not run, until the connections are closed."""
        if self._done.is_set():
            return
        self._peer_links.fail_unsent()
        self._outbound.refuse_waiting()
        self._loop.call_later(FINAL_SWEEP_INTERVAL_S, self._refuse_what_has_not_run)

    def _stop_if_idle(self, schedule: ShutdownSchedule, now: float) -> None:
        """Stop before the grace period is over if nothing is left to answer."""
        idle = not self._outbound.busy() and not self.admission.running_calls
        if idle and schedule.may_stop_idle(now, self._outbound.last_request_at):
            self._outbound.stop_accepting()
            self._loop.call_later(LAST_ANSWERS_S, self._stop)

    def _stop(self) -> None:
        if self._done.is_set():
            return
        if self._outbound.open_requests:
            self.log_buffer.log_info(f"stopped with {self._outbound.open_requests} open requests")
        self._listener.close()
        self._outbound.close()
        self._api_server.close()
        self._session.close()
        self.state.discovery.close()
        self._peer_links.close()
        self._local_server.close()
        self._done.set()
        self.log_buffer.log_info("stopped")

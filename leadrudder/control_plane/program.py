"""A control-plane node: links, sessions, disk and operator requests around the state machine that decides."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Awaitable, Callable, Iterable
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from leadrudder.backup import snapshot
from leadrudder.bootstrap.daemon_thread import run_in_daemon_thread
from leadrudder.bootstrap.log_buffer import LogBuffer
from leadrudder.bootstrap.serving import serve_until_stopped
from leadrudder.bootstrap.settings import Settings
from leadrudder.bootstrap.takeover import Startup
from leadrudder.configuration.item_store import ItemStore
from leadrudder.consensus.lease import DUTIES, MAINTENANCE, MEMBER_EXPIRY
from leadrudder.consensus.outputs import Answer, Committed, LogLine, Output, Send, Write
from leadrudder.consensus.state_machine import ControlStateMachine
from leadrudder.control_plane.feeds import SessionFeeds
from leadrudder.control_plane.operator_api import OperatorApi
from leadrudder.control_plane.orders import OrderExecutor
from leadrudder.membership import zone_relays
from leadrudder.membership.registry import MemberRegistry
from leadrudder.observability.invariants import Invariants
from leadrudder.observability.loop_lag import LoopLag
from leadrudder.observability.metrics import Metrics, peak_memory_bytes
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Frame, Item, Node
from leadrudder.storage.store import DbmStore, MemoryStore, Store
from leadrudder.storage.writer import BatchWriter, ThreadedWriter
from leadrudder.transport.api_server import ApiRequest, ApiResponse, ApiServer
from leadrudder.transport.connection_limit import ConnectionLimit
from leadrudder.transport.input_memory import InputMemory
from leadrudder.transport.link import Link, dial
from leadrudder.transport.memory_budget import MemoryBudget

if TYPE_CHECKING:
    from leadrudder.control_plane.maintenance import MaintenanceCoordinator

TICK_S = 0.1
DISK_CLOSE_TIMEOUT_S = 0.5  # to write the last records
REDIAL_PERIOD_S = 0.25  # between attempts to connect to another control-plane node
MEMBERS_COMPLETE_AFTER_S = 4.0  # of contact with a majority, after which the list of members is complete
# Parts of the memory: for operators' requests and responses, and for updates that sessions have not read.
API_MEMORY_FRACTION, SESSION_MEMORY_FRACTION = 0.5, 0.2
INPUT_MEMORY_FRACTION = 0.06  # for requests that have not come in whole yet
LINK_MEMORY_FRACTION = 0.12  # for frames that have not come in whole yet
# Parts of the descriptors that are left for connections: of operators and servers, of nodes.
API_CONNECTIONS_FRACTION, LINKS_FRACTION = 0.25, 0.6
HANDOVER_S = 0.6  # for requests in progress when this process hands over the sections it owns
EXIT_MARGIN_S = 1.5  # before the end of the grace period, by which the process has exited in any case

OpenStore = Callable[[], dict[str, bytes]]


class ControlPlaneNode:
    """The control-plane process: one event loop, and one thread for disk writes."""

    def __init__(
        self,
        settings: Settings,
        *,
        maintenance_windows: bool = False,
        rng: Random | None = None,
        wall: Callable[[], float] = time.time,
        writer: Callable[[Store, Callable[[str], None]], BatchWriter] = ThreadedWriter,
        store: Store | None = None,
        monotonic: Callable[[], float] | None = None,
        run_blocking: Callable[[OpenStore], Awaitable[dict[str, bytes]]] = run_in_daemon_thread,
    ) -> None:
        """maintenance_windows: whether maintenance windows are carried out.  The rest is for simulation."""
        self.settings = settings
        self._maintenance_windows, self._wall, self._writer_factory = maintenance_windows, wall, writer
        self._rng = rng or Random()
        self._maintenance: MaintenanceCoordinator | None = None
        self.address = f"{settings.ip}:{settings.control_link_port}"
        self.log_buffer = LogBuffer(settings.name)
        self.invariants = Invariants(self.log_buffer.log_warning)
        self._monotonic = time.monotonic if monotonic is None else monotonic
        self._loop_lag = LoopLag(self._monotonic)
        self._loop = asyncio.get_running_loop()
        self._store: Store = store or (
            DbmStore(settings.data_directory) if settings.data_directory else MemoryStore()
        )
        self._registry = MemberRegistry(self.address)
        self._links: dict[str, list[Link]] = {}  # by peer address, the newest last
        self._feeds = SessionFeeds(
            lambda key: self._committed_items().items.get(key), self._registry.nodes.get, self.invariants
        )
        self._peer_addresses: dict[str, None] = dict.fromkeys(
            a for a in settings.seed_link_addresses if a != self.address
        )
        self._dialing: set[str] = set()
        self._pending_requests: dict[int, asyncio.Future[Answer]] = {}
        self._last_request_id = 0
        self._resign_by = float("inf")  # after SIGTERM: when to resign at the latest
        self._members_complete_at = float("inf")
        self._stopped = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._run_blocking = run_blocking
        self._startup = Startup(self.log_buffer.log_info)
        self._operator_api: OperatorApi | None = None
        memory_bytes = settings.memory_limit_mb * 1e6
        self._api_memory = MemoryBudget(API_MEMORY_FRACTION * memory_bytes)
        self._input_memory = InputMemory(INPUT_MEMORY_FRACTION * memory_bytes)
        self._link_memory = InputMemory(LINK_MEMORY_FRACTION * memory_bytes, connection_share=1.0)
        self._link_limit = ConnectionLimit(int(LINKS_FRACTION * settings.connection_descriptors))
        self._max_session_bytes = SESSION_MEMORY_FRACTION * memory_bytes
        self._api_server = ApiServer(
            self._dispatch,
            lambda e: self.log_buffer.log_warning(f"unhandled exception in an operator request: {e!r}"),
            self._monotonic,
            self._loop_lag.earliest_arrival,
            self._api_memory,
            self._input_memory,
            int(API_CONNECTIONS_FRACTION * settings.connection_descriptors),
        )

    async def start(self) -> None:
        if self.settings.control is not None:
            await self._startup.listen(partial(self._api_server.listen, self.settings.control))
        records = await self._startup.open_disk(lambda: self._run_blocking(self._store.open))
        corruption = getattr(self._store, "corrupt", "")
        if corruption:
            self.log_buffer.log_warning(f"disk is corrupt and treated as lost: {corruption}")
        self.log_buffer.log_info(
            f"starting with {len(records)} records, first run: {self.settings.first_run}"
        )
        self._writer = self._writer_factory(self._store, self.log_buffer.log_warning)
        self.state_machine = ControlStateMachine(
            self.address,
            self.settings.zone,
            first_run=self.settings.first_run and not corruption,
            seeds=self.settings.seed_link_addresses,
            losses=self.settings.tolerated_machine_losses,
            rng=self._rng,
            records=records,
            duties=(*DUTIES, MAINTENANCE) if self._maintenance_windows else DUTIES,
        )
        if self._maintenance_windows:
            from leadrudder.control_plane.maintenance import MaintenanceCoordinator

            self._maintenance = MaintenanceCoordinator(
                self._committed_items,
                self._registry.members,
                self._commit,
                self.log_buffer,
                self._wall,
                self._loop.time,
            )
        self._orders = OrderExecutor(self._committed_items, self._commit, self.log_buffer)
        self._operator_api = OperatorApi(
            self._committed_items,
            self._commit,
            self._read_items,
            (),
            self.log_buffer,
            self._pack_snapshot,
            self.state_machine.anti_entropy.replica_lag,
            self.state_machine.describe_voters,
            2 * self.settings.tolerated_machine_losses + 1,
            self._maintenance.dispatch if self._maintenance is not None else None,
            self._metrics().text,
            self._orders,
        )
        host, port = self.address.rsplit(":", 1)
        self._listener = await self._startup.listen(
            lambda: self._loop.create_server(
                lambda: Link(self, input_memory=self._link_memory, limit=self._link_limit),
                host,
                int(port),
                family=socket.AF_INET,
                backlog=512,
            )
        )
        self._startup.finished = True
        self._tick()
        self._dial_missing_peers()
        self.log_buffer.log_info("started")

    def _metrics(self) -> Metrics:
        metrics = Metrics()
        state_machine, feeds = self.state_machine, self._feeds
        metrics.add("sessions", lambda: len(feeds))
        metrics.add("members", lambda: len(self._registry.members()))
        metrics.add("items", lambda: len(state_machine.accepted.items))
        metrics.add("items_unsettled", lambda: len(state_machine.uncommitted))
        metrics.add("operator_calls_open", lambda: len(self._pending_requests))
        self._orders.counters.register_metrics(metrics)
        metrics.add_labelled(
            "evacuation_version", "zone", lambda: state_machine.committed.evacuation_versions()
        )
        metrics.add("news_merged_total", lambda: feeds.deferred_updates)
        metrics.add("session_unsent_bytes", feeds.max_unsent_bytes)
        metrics.add("api_memory_bytes", lambda: self._api_memory.used_bytes)
        metrics.add("api_memory_bytes_limit", lambda: self._api_memory.limit_bytes)
        metrics.add("input_memory_bytes", lambda: self._input_memory.used_bytes)
        metrics.add("input_memory_bytes_limit", lambda: self._input_memory.limit_bytes)
        metrics.add("link_memory_bytes", lambda: self._link_memory.used_bytes)
        metrics.add("unfinished_frames_shed_total", lambda: self._link_memory.shed)
        metrics.add("unfinished_requests_shed_total", self._unfinished_requests_shed)
        metrics.add("api_connections", lambda: len(self._api_server.connection_limit))
        metrics.add("api_connections_evicted_total", lambda: self._api_server.connection_limit.evicted)
        metrics.add("api_body_refusals_total", lambda: self._api_server.request_memory.refusals)
        metrics.add("sessions_unsent_bytes", feeds.total_unsent_bytes)
        metrics.add("process_peak_memory_bytes", peak_memory_bytes)
        metrics.add("loop_lag_seconds", self._loop_lag.seconds)
        metrics.add("loop_lag_highest_seconds", lambda: self._loop_lag.highest_s)
        metrics.add("process_cpu_seconds_total", time.process_time)
        metrics.add_labelled("invariant_violations_total", "name", lambda: self.invariants.violations)
        return metrics

    def _unfinished_requests_shed(self) -> int:
        return self._input_memory.shed + self._api_server.received_bodies.shed

    async def _dispatch(self, request: ApiRequest) -> ApiResponse:
        """Handle a request of an operator, or say what the start waits for."""
        if self._operator_api is None or not self._startup.finished:
            return self._startup.respond(request)
        return await self._operator_api.dispatch(request)

    async def run(self) -> None:
        if not await serve_until_stopped(
            self.start(), self._stopped, terminate=self.terminate, reload=lambda: None
        ):
            self.log_buffer.log_info("terminated while starting")
            return
        self._writer.stop(DISK_CLOSE_TIMEOUT_S)
        self.log_buffer.log_info("stopped")

    # ------------------------------------------------------------ outputs of the state machine

    def _apply_outputs(self, outputs: list[Output]) -> None:
        for output in outputs:
            if isinstance(output, Send):
                self._send_to_peer(output)
            elif isinstance(output, Write):
                self._write_records(output)
            elif isinstance(output, Committed):
                self._feeds.publish_items(output.items)
            elif isinstance(output, Answer):
                future = self._pending_requests.pop(output.number, None)
                if future is not None and not future.done():
                    future.set_result(output)
            elif isinstance(output, LogLine):
                self.log_buffer.record(output.text)

    def _send_to_peer(self, output: Send) -> None:
        if output.to == self.address:
            self._apply_outputs(self.state_machine.frame(self.address, output.frame, self._loop.time()))
            return
        if output.frame.WhichOneof("body") == "digest":
            output.frame.digest.members = self._registry.digest
            if self._maintenance is not None:
                output.frame.digest.wall = self._wall()
        for link in reversed(self._links.get(output.to, [])):
            if link.send(output.frame):
                return

    def _write_records(self, output: Write) -> None:
        def on_synced() -> None:
            for send in output.then:
                self._send_to_peer(send)

        if output.records:
            self._writer.put(output.records, on_synced)
        else:
            self._writer.after(on_synced)

    # ------------------------------------------------------------ links

    def on_up(self, link: Link) -> None:
        if link.peer:  # an outgoing link
            self._add_link(link.peer, link)

    def on_frame(self, link: Link, frame: Frame) -> None:
        now = self._loop.time()
        kind = frame.WhichOneof("body")
        if kind == "hello":
            self._on_hello(link, frame.hello)
            return
        if kind == "subscribe":
            self._feeds.subscribe(link, frozenset(frame.subscribe.services), self._registry.members())
            return
        if kind == "members":
            self._broadcast_members(self._registry.merge(frame.members.nodes))
            return
        if kind == "greeting":
            if not link.peer:
                link.peer = frame.greeting.address
                self._add_link(link.peer, link)
            self._peer_addresses.setdefault(link.peer)
            for slot in frame.greeting.seats:
                if slot.holder != self.address:
                    self._peer_addresses.setdefault(slot.holder)
        if not link.peer:
            return
        if kind == "digest" and frame.digest.wall and self._maintenance is not None:
            self._maintenance.peer_clock_offsets_s[link.peer] = frame.digest.wall - now
        if kind == "digest" and frame.digest.members != self._registry.digest:
            link.send(Frame(members=wire.Members(nodes=self._registry.nodes.values())))
        self._apply_outputs(self.state_machine.frame(link.peer, frame, now))

    def _add_link(self, peer: str, link: Link) -> None:
        self._links.setdefault(peer, []).append(link)
        now = self._loop.time()
        self._registry.peer_link_changed(peer, True, now)
        link.send(Frame(members=wire.Members(nodes=self._registry.nodes.values())))
        self._apply_outputs(self.state_machine.up(peer, now))

    def on_down(self, link: Link) -> None:
        now = self._loop.time()
        node_name = self._feeds.remove_session(link)
        if node_name is not None:
            self._registry.session_ended(node_name, now)
        links = self._links.get(link.peer, [])
        if link in links:
            links.remove(link)
            if not links:
                del self._links[link.peer]
                self._registry.peer_link_changed(link.peer, False, now)
                if self._maintenance is not None:
                    self._maintenance.peer_clock_offsets_s.pop(link.peer, None)
                self._apply_outputs(self.state_machine.down(link.peer, now))

    def _dial_missing_peers(self) -> None:
        if self._stopped.is_set():
            return  # a connection attempt started now would outlive the event loop
        self._loop.call_later(REDIAL_PERIOD_S, self._dial_missing_peers)
        slots = self.state_machine.voter_table.holders()
        for address in [a for a in {**self._peer_addresses, **dict.fromkeys(slots)} if a != self.address]:
            if address not in self._links and address not in self._dialing:
                self._dialing.add(address)
                task = self._loop.create_task(self._dial_peer(address))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        if len(self._peer_addresses) > 64:  # addresses of replaced nodes no longer hold a voter slot
            for address in [a for a in self._peer_addresses if a not in self._links and a not in slots][:16]:
                del self._peer_addresses[address]

    async def _dial_peer(self, address: str) -> None:
        try:
            await dial(address, lambda: Link(self, peer=address, input_memory=self._link_memory))
        finally:
            self._dialing.discard(address)

    # ------------------------------------------------------------ sessions

    def _on_hello(self, link: Link, hello: wire.SessionHello) -> None:
        """Handles a data-plane node's report; a new session begins with the whole state.

        Without recent contact with a majority the link is closed, as the state here may be stale; the node
        then connects elsewhere. A node of another zone is redirected to a control-plane node of its own zone,
        if there is one, because traffic between zones is expensive.
        """
        node = hello.node
        new = link not in self._feeds
        if not self._can_serve(new) or self._is_stopping():
            link.abort()
            return
        if new and self._feeds.total_unsent_bytes() > self._max_session_bytes:
            self.log_buffer.log_warning("session refused: others have not read their updates yet")
            link.abort()
            return
        if new and hello.movable and (near := self._peers_in_zone(node.zone)):
            link.send(Frame(news=wire.StateUpdate(near=near)))
            return
        if new:
            self._feeds.add_session(link, node.name)
        self._broadcast_members(self._registry.report(node), except_link=None if new else link)
        if new:
            members_complete = self._loop.time() >= self._members_complete_at
            news = wire.StateUpdate(
                items=self.state_machine.committed.items.values(),
                nodes=map(zone_relays.without_servers, self._registry.members()),
                whole=members_complete,
                signalboxes=self._connected_addresses(),
            )
            self._feeds.send_initial_state(link, news)

    def _peers_in_zone(self, zone: str) -> list[str]:
        """Other control-plane nodes of a zone that seem to accept sessions; none for this node's zone."""
        if zone == self.settings.zone:
            return []
        peers = self.state_machine.peers.values()
        return [p.address for p in peers if p.zone == zone and p.up and p.full and not p.resigned]

    def _connected_addresses(self) -> list[str]:
        return [self.address, *self._links]

    def _broadcast_members(self, nodes: list[Node], except_link: Link | None = None) -> None:
        """Sends updated member entries to the other control-plane nodes and to this node's sessions."""
        if not nodes:
            return
        members = Frame(members=wire.Members(nodes=nodes))
        for links in self._links.values():
            links[-1].send(members)
        self._feeds.publish_members(nodes, except_link)
        self._feeds.publish_servers(nodes)

    def _can_serve(self, new_session: bool) -> bool:
        """Whether the state here is fresh enough to be served.  new_session: there is no session yet."""
        contact, now = self.state_machine.quorum_check, self._loop.time()
        in_contact = contact.is_fresh(now) if new_session else not contact.is_lost(now)
        return in_contact and self.state_machine.ownership.knows_all_sections()

    def _is_stopping(self) -> bool:
        return self._stopped.is_set() or self.state_machine.resigned

    def _tick(self) -> None:
        self._loop.call_later(TICK_S, self._tick)  # first, so that an exception below does not stop the timer
        now = self._loop.time()
        if self.state_machine.has_majority():
            self._members_complete_at = min(self._members_complete_at, now + MEMBERS_COMPLETE_AFTER_S)
        self._apply_outputs(self.state_machine.tick(now))
        self._resign_when_safe(now)
        self._broadcast_members(self._registry.tick(now, self.state_machine.leases.holds(MEMBER_EXPIRY, now)))
        self._registry.evict()
        self._feeds.flush_pending()
        if self._maintenance is not None:
            self._maintenance.tick(self.state_machine.leases.holds(MAINTENANCE, now))
        if self.state_machine.quorum_check.is_lost(now):
            self._members_complete_at = float("inf")
            for link in self._feeds.links():
                link.abort()

    # ------------------------------------------------------------ operators

    def _committed_items(self) -> ItemStore:
        return self.state_machine.committed

    def _pack_snapshot(self, items: Iterable[Item]) -> bytes:
        slots = [
            (i, slot.holder, slot.incarnation) for i, slot in self.state_machine.voter_table.slots.items()
        ]
        return snapshot.pack(items, slots, self.state_machine.promised, self._wall())

    async def _commit(self, items: list[Item], *, late: bool = False) -> Answer:
        number, future = self._new_request()
        self._apply_outputs(self.state_machine.change(number, items, self._loop.time(), late=late))
        return await self._wait_for_answer(number, future)

    async def _read_items(self) -> Answer:
        number, future = self._new_request()
        self._apply_outputs(self.state_machine.read(number, self._loop.time()))
        return await self._wait_for_answer(number, future)

    def _new_request(self) -> tuple[int, asyncio.Future[Answer]]:
        self._last_request_id += 1
        future: asyncio.Future[Answer] = self._loop.create_future()
        self._pending_requests[self._last_request_id] = future
        return self._last_request_id, future

    async def _wait_for_answer(self, number: int, future: asyncio.Future[Answer]) -> Answer:
        try:
            return await future
        finally:
            self._pending_requests.pop(number, None)

    # ------------------------------------------------------------ shutdown

    def terminate(self) -> None:
        """Handles SIGTERM: hands over and exits as soon as the remaining voters no longer need this node."""
        if self._resign_by < float("inf"):
            return
        self.log_buffer.log_info("received SIGTERM")
        now = self._loop.time()
        self._resign_by = now + max(0.0, self.settings.bounds.grace / 1000.0 - EXIT_MARGIN_S - HANDOVER_S)
        self._resign_when_safe(now)

    def _resign_when_safe(self, now: float) -> None:
        """Resigns unless a majority still needs this node's data, e.g. while another voter is being filled.

        Until then the node keeps serving, but not past the deadline.
        """
        if self._resign_by == float("inf") or self._is_stopping():
            return
        if not self.state_machine.may_leave() and now < self._resign_by:
            return
        self.log_buffer.log_info("shutting down: handing over owned sections")
        self._api_server.closing = True
        self._apply_outputs(self.state_machine.resign(now))
        for link in self._feeds.links():
            link.close()
        self._loop.call_later(HANDOVER_S, self._shut_down)

    def _shut_down(self) -> None:
        self._api_server.close()
        self._listener.close()
        for links in list(self._links.values()):
            for link in list(links):
                with contextlib.suppress(OSError):
                    link.close()
        self._stopped.set()

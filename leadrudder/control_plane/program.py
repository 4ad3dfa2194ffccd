"""A signalbox: links, sessions, the disk and the operators' calls around the machines that decide."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import time
from collections.abc import Callable, Iterable
from random import Random
from typing import TYPE_CHECKING

from leadrudder.backup import snapshot
from leadrudder.bootstrap.log_buffer import Ring
from leadrudder.bootstrap.settings import Settings
from leadrudder.configuration.item_store import Book
from leadrudder.consensus.lease import DUTIES, MAINTENANCE, MEMBER_EXPIRY
from leadrudder.consensus.outputs import Answer, Committed, LogLine, Output, Send, Write
from leadrudder.consensus.state_machine import ControlStateMachine
from leadrudder.control_plane.feeds import Feeds
from leadrudder.control_plane.operator_api import Operator
from leadrudder.membership import zone_relays
from leadrudder.membership.registry import MemberRegistry
from leadrudder.observability.invariants import Invariants
from leadrudder.observability.loop_lag import LoopLag
from leadrudder.observability.metrics import Metrics
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Frame, Item, Node
from leadrudder.storage.store import DbmStore, DiskError, MemoryStore, Store
from leadrudder.storage.writer import BatchWriter, ThreadedWriter
from leadrudder.transport.http import ControlServer
from leadrudder.transport.link import Link, dial

if TYPE_CHECKING:
    from leadrudder.control_plane.maintenance import Possessions

TICK_S = 0.1
OPEN_TRIES = 50  # of a disk that refuses, before the program ends
OPEN_AGAIN_S = 0.2
DIAL_S = 0.25  # between tries to reach another signalbox
SETTLED_S = 4.0  # after which our list of members is whole
LEAVE_S = 0.6  # for what is under way when this process gives up what it owns
LEAVE_LATEST_S = 1.5  # before the grace is over it ends in any case


class Signalbox:
    """The program.  One event loop, one thread for the disk."""

    def __init__(
        self,
        settings: Settings,
        *,
        possession: bool = False,
        rng: Random | None = None,
        wall: Callable[[], float] = time.time,
        writer: Callable[[Store, Callable[[str], None]], BatchWriter] = ThreadedWriter,
        store: Store | None = None,
        monotonic: Callable[[], float] | None = None,
    ) -> None:
        """possession: maintenance windows are on.  The others are the simulation's."""
        self.settings = settings
        self._possession, self._wall, self._make_writer = possession, wall, writer
        self._rng = rng or Random()
        self._possessions: Possessions | None = None
        self.address = f"{settings.ip}:{settings.signal_port}"
        self.ring = Ring(settings.name)
        self.invariants = Invariants(self.ring.wrong)
        self._lag = LoopLag(time.monotonic if monotonic is None else monotonic)
        self._loop = asyncio.get_running_loop()
        self._store: Store = store or (
            DbmStore(settings.data_folder) if settings.data_folder else MemoryStore()
        )
        self._register = MemberRegistry(self.address)
        self._links: dict[str, list[Link]] = {}  # to other signalboxes, the newest last
        self._feeds = Feeds(
            lambda key: self._known().items.get(key), self._register.nodes.get, self.invariants
        )
        self._others: dict[str, None] = dict.fromkeys(a for a in settings.seed_links if a != self.address)
        self._dialling: set[str] = set()
        self._waiting: dict[int, asyncio.Future[Answer]] = {}
        self._last = 0
        self._leave_by = float("inf")  # SIGTERM has come: when we end at the latest
        self._settled_at = float("inf")
        self._done = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        kept = await self._open()
        spoilt = getattr(self._store, "corrupt", "")
        if spoilt:
            self.ring.wrong(f"disk spoilt, counts as lost: {spoilt}")
        self.ring.say(f"starts with {len(kept)} records, first run: {self.settings.first_run}")
        self._writer = self._make_writer(self._store, self.ring.wrong)
        self.interlocking = ControlStateMachine(
            self.address,
            self.settings.zone,
            first_run=self.settings.first_run and not spoilt,
            seeds=self.settings.seed_links,
            losses=self.settings.losses,
            rng=self._rng,
            records=kept,
            duties=(*DUTIES, MAINTENANCE) if self._possession else DUTIES,
        )
        if self._possession:
            from leadrudder.control_plane.maintenance import Possessions

            self._possessions = Possessions(
                self._known, self._register.members, self._change, self.ring, self._wall, self._loop.time
            )
        operator = Operator(
            self._known,
            self._change,
            self._read,
            (),
            self.ring,
            self._pack,
            self.interlocking.anti_entropy.replica_lag,
            self.interlocking.describe_voters,
            2 * self.settings.losses + 1,
            self._possessions.dispatch if self._possessions is not None else None,
            self._metrics().text,
        )
        self._control = ControlServer(operator.dispatch, lambda e: self.ring.wrong(f"fault: {e!r}"))
        host, port = self.address.rsplit(":", 1)
        self._listener = await self._loop.create_server(
            lambda: Link(self), host, int(port), family=socket.AF_INET, backlog=512
        )
        if self.settings.control is not None:
            await self._control.listen(self.settings.control)
        self._tick()
        self._dial_all()

    def _metrics(self) -> Metrics:
        metrics = Metrics()
        interlocking, feeds = self.interlocking, self._feeds
        metrics.add("sessions", lambda: len(feeds))
        metrics.add("members", lambda: len(self._register.members()))
        metrics.add("items", lambda: len(interlocking.accepted.items))
        metrics.add("items_unsettled", lambda: len(interlocking.uncommitted))
        metrics.add("operator_calls_open", lambda: len(self._waiting))
        metrics.add("news_merged_total", lambda: feeds.merged)
        metrics.add("session_unsent_bytes", feeds.most_unsent)
        metrics.add("loop_lag_seconds", self._lag.seconds)
        metrics.add("loop_lag_highest_seconds", lambda: self._lag.highest_s)
        metrics.add("process_cpu_seconds_total", time.process_time)
        metrics.add_labelled("invariant_violations_total", "name", lambda: self.invariants.violations)
        return metrics

    async def _open(self) -> dict[str, bytes]:
        """What the disk holds; one that refuses is tried again for a while."""
        for _ in range(OPEN_TRIES):
            try:
                return self._store.open()
            except DiskError as error:
                self.ring.note(f"disk cannot be read: {error}")
                await asyncio.sleep(OPEN_AGAIN_S)
        return self._store.open()

    async def run(self) -> None:
        await self.start()
        self._loop.add_signal_handler(signal.SIGTERM, self.terminate)
        self._loop.add_signal_handler(signal.SIGHUP, lambda: None)
        await self._done.wait()
        self._writer.stop(0.5)

    # ------------------------------------------------------------ the machines' outputs

    def _carry_out(self, outputs: list[Output]) -> None:
        for output in outputs:
            if isinstance(output, Send):
                self._send(output)
            elif isinstance(output, Write):
                self._write(output)
            elif isinstance(output, Committed):
                self._feeds.tell_items(output.items)
            elif isinstance(output, Answer):
                future = self._waiting.pop(output.number, None)
                if future is not None and not future.done():
                    future.set_result(output)
            elif isinstance(output, LogLine):
                self.ring.note(output.text)

    def _send(self, output: Send) -> None:
        if output.to == self.address:
            self._carry_out(self.interlocking.frame(self.address, output.frame, self._loop.time()))
            return
        if output.frame.WhichOneof("body") == "digest":
            output.frame.digest.members = self._register.digest
            if self._possessions is not None:
                output.frame.digest.wall = self._wall()
        for link in reversed(self._links.get(output.to, [])):
            if link.send(output.frame):
                return

    def _write(self, output: Write) -> None:
        def done() -> None:
            for send in output.then:
                self._send(send)

        if output.records:
            self._writer.put(output.records, done)
        else:
            self._writer.after(done)

    # ------------------------------------------------------------ links

    def on_up(self, link: Link) -> None:
        if link.peer:  # one that we dialled
            self._add(link.peer, link)

    def on_frame(self, link: Link, frame: Frame) -> None:
        now = self._loop.time()
        kind = frame.WhichOneof("body")
        if kind == "hello":
            self._hello(link, frame.hello)
            return
        if kind == "subscribe":
            self._feeds.subscribe(link, frozenset(frame.subscribe.services), self._register.members())
            return
        if kind == "members":
            self._tell(self._register.merge(frame.members.nodes))
            return
        if kind == "greeting":
            if not link.peer:
                link.peer = frame.greeting.address
                self._add(link.peer, link)
            self._others.setdefault(link.peer)
            for seat in frame.greeting.seats:
                if seat.holder != self.address:
                    self._others.setdefault(seat.holder)
        if not link.peer:
            return
        if kind == "digest" and frame.digest.wall and self._possessions is not None:
            self._possessions.clocks[link.peer] = frame.digest.wall - now
        if kind == "digest" and frame.digest.members != self._register.digest:
            link.send(Frame(members=wire.Members(nodes=self._register.nodes.values())))
        self._carry_out(self.interlocking.frame(link.peer, frame, now))

    def _add(self, peer: str, link: Link) -> None:
        self._links.setdefault(peer, []).append(link)
        now = self._loop.time()
        self._register.peer_link_changed(peer, True, now)
        link.send(Frame(members=wire.Members(nodes=self._register.nodes.values())))
        self._carry_out(self.interlocking.up(peer, now))

    def on_down(self, link: Link) -> None:
        now = self._loop.time()
        station = self._feeds.remove(link)
        if station is not None:
            self._register.session_ended(station, now)
        links = self._links.get(link.peer, [])
        if link in links:
            links.remove(link)
            if not links:
                del self._links[link.peer]
                self._register.peer_link_changed(link.peer, False, now)
                if self._possessions is not None:
                    self._possessions.clocks.pop(link.peer, None)
                self._carry_out(self.interlocking.down(link.peer, now))

    def _dial_all(self) -> None:
        if self._done.is_set():
            return  # a dial begun now would outlive the event loop
        self._loop.call_later(DIAL_S, self._dial_all)
        seats = self.interlocking.voter_table.holders()
        for address in [a for a in {**self._others, **dict.fromkeys(seats)} if a != self.address]:
            if address not in self._links and address not in self._dialling:
                self._dialling.add(address)
                task = self._loop.create_task(self._dial(address))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        if len(self._others) > 64:  # replaced ones are known by their seats no more
            for address in [a for a in self._others if a not in self._links and a not in seats][:16]:
                del self._others[address]

    async def _dial(self, address: str) -> None:
        try:
            await dial(address, lambda: Link(self, peer=address))
        finally:
            self._dialling.discard(address)

    # ------------------------------------------------------------ sessions

    def _hello(self, link: Link, hello: wire.SessionHello) -> None:
        """A station reports; without fresh contact with a majority it is sent elsewhere.

        What we know may be old then.

        One of another zone is sent to a signalbox there, if there is one: bytes between zones are dear.
        """
        node = hello.node
        new = link not in self._feeds
        if not self._serves(new) or self._leaving():
            link.cut()
            return
        if new and hello.movable and (near := self._near(node.zone)):
            link.send(Frame(news=wire.StateUpdate(near=near)))
            return
        if new:
            self._feeds.add(link, node.name)
        self._tell(self._register.report(node), but=None if new else link)
        if new:
            settled = self._loop.time() >= self._settled_at
            news = wire.StateUpdate(
                items=self.interlocking.committed.items.values(),
                nodes=map(zone_relays.without_servers, self._register.members()),
                whole=settled,
                signalboxes=self._signalboxes(),
            )
            self._feeds.begin(link, news)

    def _near(self, zone: str) -> list[str]:
        """Other signalboxes of a zone that take sessions, as far as we know; none if it is ours."""
        if zone == self.settings.zone:
            return []
        peers = self.interlocking.peers.values()
        return [p.address for p in peers if p.zone == zone and p.up and p.full and not p.resigned]

    def _signalboxes(self) -> list[str]:
        return [self.address, *self._links]

    def _tell(self, nodes: list[Node], but: Link | None = None) -> None:
        """Entries that are new go to the other signalboxes and to our stations."""
        if not nodes:
            return
        members = Frame(members=wire.Members(nodes=nodes))
        for links in self._links.values():
            links[-1].send(members)
        self._feeds.tell_members(nodes, but)
        self._feeds.tell_servers(nodes)

    def _serves(self, new: bool) -> bool:
        """Whether a station may be told what we know; new: it has no session here yet."""
        contact, now = self.interlocking.quorum_check, self._loop.time()
        in_contact = contact.is_fresh(now) if new else not contact.is_lost(now)
        return in_contact and self.interlocking.ownership.knows_all_sections()

    def _leaving(self) -> bool:
        return self._done.is_set() or self.interlocking.resigned

    def _tick(self) -> None:
        self._loop.call_later(TICK_S, self._tick)  # first: a fault below must not end it
        now = self._loop.time()
        if self.interlocking.has_majority():
            self._settled_at = min(self._settled_at, now + SETTLED_S)
        self._carry_out(self.interlocking.tick(now))
        self._leave_when_safe(now)
        self._tell(self._register.tick(now, self.interlocking.leases.holds(MEMBER_EXPIRY, now)))
        self._register.evict()
        self._feeds.catch_up()
        if self._possessions is not None:
            self._possessions.tick(self.interlocking.leases.holds(MAINTENANCE, now))
        if self.interlocking.quorum_check.is_lost(now):
            self._settled_at = float("inf")
            for link in self._feeds.links():
                link.cut()

    # ------------------------------------------------------------ operators

    def _known(self) -> Book:
        return self.interlocking.committed

    def _pack(self, items: Iterable[Item]) -> bytes:
        seats = [
            (i, seat.holder, seat.incarnation) for i, seat in self.interlocking.voter_table.slots.items()
        ]
        return snapshot.pack(items, seats, self.interlocking.promised, self._wall())

    async def _change(self, items: list[Item]) -> Answer:
        number, future = self._ask()
        self._carry_out(self.interlocking.change(number, items, self._loop.time()))
        return await self._answer(number, future)

    async def _read(self) -> Answer:
        number, future = self._ask()
        self._carry_out(self.interlocking.read(number, self._loop.time()))
        return await self._answer(number, future)

    def _ask(self) -> tuple[int, asyncio.Future[Answer]]:
        self._last += 1
        future: asyncio.Future[Answer] = self._loop.create_future()
        self._waiting[self._last] = future
        return self._last, future

    async def _answer(self, number: int, future: asyncio.Future[Answer]) -> Answer:
        try:
            return await future
        finally:
            self._waiting.pop(number, None)

    # ------------------------------------------------------------ the end

    def terminate(self) -> None:
        """SIGTERM: as soon as the others can do without us, hand over and end."""
        if self._leave_by < float("inf"):
            return
        self.ring.say("told to end")
        now = self._loop.time()
        self._leave_by = now + max(0.0, self.settings.bounds.grace / 1000.0 - LEAVE_LATEST_S - LEAVE_S)
        self._leave_when_safe(now)

    def _leave_when_safe(self, now: float) -> None:
        """Stay, and serve on, while a majority needs what we hold: a member that is being filled, say."""
        if self._leave_by == float("inf") or self._leaving():
            return
        if not self.interlocking.may_leave() and now < self._leave_by:
            return
        self.ring.say("ends: hands over what it owns")
        self._control.closing = True
        self._carry_out(self.interlocking.resign(now))
        for link in self._feeds.links():
            link.close()
        self._loop.call_later(LEAVE_S, self._leave)

    def _leave(self) -> None:
        self._control.close()
        self._listener.close()
        for links in list(self._links.values()):
            for link in list(links):
                with contextlib.suppress(OSError):
                    link.close()
        self._done.set()

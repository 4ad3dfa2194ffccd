"""The session of a data-plane node with one control-plane node; it makes the data-plane node a member."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Frame
from leadrudder.transport.input_memory import InputMemory
from leadrudder.transport.link import Link, dial

RETRY_PAUSE_S = 0.1  # before the next control-plane node is tried; randomised to avoid a thundering herd
MAX_RETRY_PAUSE_S = 0.8


class Session:
    """hello: returns the next report of this node; on_state_update: applies an update of the state."""

    def __init__(
        self,
        seeds: tuple[str, ...],
        hello: Callable[[], wire.Node],
        on_state_update: Callable[[wire.StateUpdate], None],
        on_ended: Callable[[], None],
        rng: Random,
        note: Callable[[str], None],
        input_memory: InputMemory | None = None,
    ) -> None:
        self.seeds = seeds
        self._input_memory = input_memory  # for frames that have not come in whole yet
        self.synced = False  # a complete state has been received in some session
        self.sync_count = 0  # sessions that have received it
        self._hello, self._on_state_update, self._rng, self._note = hello, on_state_update, rng, note
        self._on_ended = on_ended
        self._received_news = False
        self._zone_control_nodes: list[str] = []  # of this zone, as named by a node of another zone
        self._redirected = False  # to those; the next node that answers is used, whatever its zone
        self._control_nodes: list[str] = []
        self._link: Link | None = None
        self._task: asyncio.Task[None] | None = None
        self._link_ended = asyncio.Event()

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        pause = RETRY_PAUSE_S
        while True:
            addresses = list(dict.fromkeys([*self._control_nodes, *self.seeds]))
            self._rng.shuffle(addresses)
            redirected = self._redirected
            if redirected:
                addresses = list(dict.fromkeys([*self._zone_control_nodes, *addresses]))
            for address in addresses:
                self._link_ended.clear()
                link = await dial(
                    address,
                    lambda a=address: Link(self, peer=a, input_memory=self._input_memory),  # type: ignore[misc]
                )
                if link is not None and link.up:
                    syncs_before = self.sync_count
                    await self._link_ended.wait()
                    if self.sync_count != syncs_before:
                        pause, self._redirected = RETRY_PAUSE_S, False
                        break
                    if self._redirected and not redirected:
                        break  # follow the redirect at once
                await asyncio.sleep(pause * (0.5 + 0.5 * self._rng.random()))
            pause = min(MAX_RETRY_PAUSE_S, 1.5 * pause)

    def on_up(self, link: Link) -> None:
        self._link = link
        link.send(Frame(hello=wire.SessionHello(node=self._hello(), movable=not self._redirected)))

    def on_frame(self, link: Link, frame: Frame) -> None:
        if frame.news.near and link is self._link:
            self._zone_control_nodes, self._redirected = list(frame.news.near), True
            link.abort()
            return
        if frame.WhichOneof("body") == "news" and link is self._link:
            if not self._received_news:
                self.sync_count += 1
            self._received_news = self.synced = True
            if frame.news.signalboxes:
                self._control_nodes = list(frame.news.signalboxes)[:16]
            self._on_state_update(frame.news)

    def established(self) -> bool:
        """Whether a control-plane node has accepted this session."""
        return self._link is not None and self._received_news

    def subscribe(self, services: frozenset[str]) -> None:
        """Subscribe to the servers of these services."""
        if self._link is not None:
            self._link.send(Frame(subscribe=wire.Subscribe(services=services)))

    def on_down(self, link: Link) -> None:
        self._note(f"session with {link.peer} ended")
        if self._link is link:
            self._link = None
            if self._received_news:
                self._received_news = False
                self._on_ended()
        self._link_ended.set()

    def report(self, node: wire.Node) -> None:
        """Report a change of this node; without a session the next one begins with a report."""
        if self._link is not None:
            self._link.send(Frame(hello=wire.SessionHello(node=node)))

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        if self._link is not None:
            self._link.close()

"""A station's session with one signalbox: while it stands, the station is a member."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Frame
from leadrudder.transport.link import Link, dial

PAUSE_S = 0.1  # before another signalbox is tried, up to twice as long: no herd comes at once
PAUSE_MOST_S = 0.8


class Session:
    """hello: what we say of ourselves; news: takes in what we are told."""

    def __init__(
        self,
        seeds: tuple[str, ...],
        hello: Callable[[], wire.Node],
        news: Callable[[wire.News], None],
        ended: Callable[[], None],
        rng: Random,
        note: Callable[[str], None],
    ) -> None:
        self.seeds = seeds
        self.synced = False  # we were told all there is, once
        self.sync_count = 0  # sessions in which we were
        self._hello, self._news, self._rng, self._note = hello, news, rng, note
        self._on_ended = ended
        self._told = False
        self._near: list[str] = []  # signalboxes of our zone, as one elsewhere told us
        self._sent_on = False  # we were sent to those: whoever answers next is taken
        self._signalboxes: list[str] = []
        self._link: Link | None = None
        self._task: asyncio.Task[None] | None = None
        self._ended = asyncio.Event()

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        pause = PAUSE_S
        while True:
            known = list(dict.fromkeys([*self._signalboxes, *self.seeds]))
            self._rng.shuffle(known)
            sent_on = self._sent_on
            if sent_on:
                known = list(dict.fromkeys([*self._near, *known]))
            for address in known:
                self._ended.clear()
                link = await dial(address, lambda a=address: Link(self, peer=a))  # type: ignore[misc]
                if link is not None and link.up:
                    told_before = self.sync_count
                    await self._ended.wait()
                    if self.sync_count != told_before:
                        pause, self._sent_on = PAUSE_S, False
                        break
                    if self._sent_on and not sent_on:
                        break  # to those of our zone, at once
                await asyncio.sleep(pause * (0.5 + 0.5 * self._rng.random()))
            pause = min(PAUSE_MOST_S, 1.5 * pause)

    def on_up(self, link: Link) -> None:
        self._link = link
        link.send(Frame(hello=wire.Hello(node=self._hello(), movable=not self._sent_on)))

    def on_frame(self, link: Link, frame: Frame) -> None:
        if frame.news.near and link is self._link:
            self._near, self._sent_on = list(frame.news.near), True
            link.abort()
            return
        if frame.WhichOneof("body") == "news" and link is self._link:
            if not self._told:
                self.sync_count += 1
            self._told = self.synced = True
            if frame.news.signalboxes:
                self._signalboxes = list(frame.news.signalboxes)[:16]
            self._news(frame.news)

    def established(self) -> bool:
        """Whether a signalbox has taken us."""
        return self._link is not None and self._told

    def subscribe(self, services: frozenset[str]) -> None:
        """Ask for the servers of these services."""
        if self._link is not None:
            self._link.send(Frame(subscribe=wire.Subscribe(services=services)))

    def on_down(self, link: Link) -> None:
        self._note(f"session with {link.peer} ended")
        if self._link is link:
            self._link = None
            if self._told:
                self._told = False
                self._on_ended()
        self._ended.set()

    def report(self, node: wire.Node) -> None:
        """Something about us has changed; without a session the next one begins with it."""
        if self._link is not None:
            self._link.send(Frame(hello=wire.Hello(node=node)))

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        if self._link is not None:
            self._link.close()

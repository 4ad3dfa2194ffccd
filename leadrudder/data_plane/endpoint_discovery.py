"""The news of servers at a station: asked for at home stations or a signalbox, and handed on to those who
ask us.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from leadrudder.membership import zone_relays
from leadrudder.membership.registry import rank
from leadrudder.membership.zone_relays import Homes
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Frame, Node
from leadrudder.transport.link import Link, dial

SILENCE_S = 0.9  # a home that gives no sign of life for so long is passed over
PING_S = 0.3
KEPT = 64  # entries of stations that are no members


class EndpointDiscovery:
    """ask: asks our signalbox; session_established: whether our session stands.

    heard: entries of these stations are new; sources_changed: links have changed, so follow() is due.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        ask: Callable[[frozenset[str]], None],
        session_established: Callable[[], bool],
        heard: Callable[[list[str]], None],
        sources_changed: Callable[[], None],
    ) -> None:
        self.served: dict[str, Node] = {}  # the newest entry with servers, by station
        self._homes = Homes(name, zone)
        self._ask, self._session_established = ask, session_established
        self._heard, self._sources_changed = heard, sources_changed
        self._loop = asyncio.get_running_loop()
        self._asked: dict[str, frozenset[str]] = {}  # by source: what it was asked for
        self._links: dict[str, Link] = {}
        self._dialling: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._subscribers: dict[Link, frozenset[str]] = {}

    # ------------------------------------------------------------ what we hear

    def merge(self, served: list[Node]) -> None:
        """Entries with servers, from whoever.  What is new is handed on."""
        new = []
        for node in served:
            old = self.served.get(node.name)
            if old is None or rank(node) > rank(old):
                self.served[node.name] = node
                new.append(node)
        if not new:
            return
        for link, services in list(self._subscribers.items()):
            if told := zone_relays.of_services(new, services):
                link.send(Frame(news=wire.News(served=told)))
        self._heard([node.name for node in new])

    def forget(self, names: set[str]) -> None:
        """Bounded memory: who is no member goes, once there are many."""
        if len(self.served) <= 2 * len(names) + KEPT:
            return
        for name in [name for name in self.served if name not in names]:
            del self.served[name]

    # ------------------------------------------------------------ whom we ask

    def update(self, services: frozenset[str], members: list[Node]) -> None:
        """Ask for these services where they are to be had now; called after any change and at times."""
        sources = self._homes.sources(services, members, self._loop.time())
        for address in [a for a in self._links if a not in sources]:
            self._links.pop(address).close()
            self._asked.pop(address, None)
        for address, wanted in sources.items():
            asked = frozenset(wanted)
            if address and address not in self._links:
                self._dial(address)
            elif self._asked.get(address) != asked:
                self._asked[address] = asked
                if address:
                    self._links[address].send(Frame(subscribe=wire.Subscribe(services=asked)))
                else:
                    self._ask(asked)
        if "" not in sources and self._asked.get(""):
            del self._asked[""]
            self._ask(frozenset())

    def on_session_started(self) -> None:
        """Another signalbox: it must be asked anew."""
        self._asked.pop("", None)

    def on_session_ended(self) -> None:
        """We hear nothing any more: those who rest on us must ask elsewhere."""
        for link in list(self._subscribers):
            link.abort()

    def _dial(self, address: str) -> None:
        if address in self._dialling:
            return
        self._dialling.add(address)
        task = self._loop.create_task(self._connect(address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, address: str) -> None:
        link = await dial(address, lambda: Link(self, PING_S, SILENCE_S, peer=address))
        self._dialling.discard(address)
        if link is None or not link.up:
            self._homes.failed(address, self._loop.time())
        else:
            self._links[address] = link
            self._asked.pop(address, None)
        self._sources_changed()

    def on_up(self, link: Link) -> None:
        """Asked on it as soon as it is known."""

    def on_frame(self, link: Link, frame: Frame) -> None:
        if frame.WhichOneof("body") == "news":
            self.merge(list(frame.news.served))

    def on_down(self, link: Link) -> None:
        if self._links.get(link.peer) is link:
            del self._links[link.peer]
            self._asked.pop(link.peer, None)
            self._homes.failed(link.peer, self._loop.time())
            self._sources_changed()

    # ------------------------------------------------------------ who asks us

    def subscribe(self, link: Link, services: frozenset[str]) -> None:
        """Another station of our zone asks; without a session we have nothing to tell."""
        if not self._session_established():
            link.abort()
            return
        self._subscribers[link] = services
        self._count()
        if told := zone_relays.of_services(self.served.values(), services):
            link.send(Frame(news=wire.News(served=told)))
        self._sources_changed()

    def serves(self, link: Link) -> bool:
        """Whether another station rests on what we tell it here."""
        return link in self._subscribers

    def unsubscribe(self, link: Link) -> None:
        if self._subscribers.pop(link, None) is not None:
            self._count()

    def _count(self) -> None:
        serving: dict[str, int] = {}
        for services in self._subscribers.values():
            for service in services:
                serving[service] = serving.get(service, 0) + 1
        self._homes.serving = serving

    def close(self) -> None:
        for link in [*self._links.values(), *self._subscribers]:
            link.abort()

"""Endpoint discovery: subscribes to node entries at zone relays or the control plane, and relays them to
other nodes of the zone.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from leadrudder.membership import zone_relays
from leadrudder.membership.registry import freshness
from leadrudder.membership.zone_relays import ZoneRelays
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Frame, Node
from leadrudder.transport.input_memory import InputMemory
from leadrudder.transport.link import Link, dial

SILENCE_TIMEOUT_S = 0.9  # a relay that is silent for longer counts as failed
PING_INTERVAL_S = 0.3
MAX_FORMER_ENTRIES = 64  # entries of former members that may be kept


class EndpointDiscovery:
    """subscribe: subscribes at the control plane; session_established: whether there is a session with it.

    on_entries: called with the names of nodes with new entries.
    on_sources_changed: links have changed, so update() is due.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        subscribe: Callable[[frozenset[str]], None],
        session_established: Callable[[], bool],
        on_entries: Callable[[list[str]], None],
        on_sources_changed: Callable[[], None],
        input_memory: InputMemory | None = None,
    ) -> None:
        self.entries: dict[str, Node] = {}  # the newest entry with servers, by node name
        self._relays = ZoneRelays(name, zone)
        self._subscribe, self._session_established = subscribe, session_established
        self._on_entries, self._on_sources_changed = on_entries, on_sources_changed
        self._input_memory = input_memory  # for frames that have not come in whole yet
        self._loop = asyncio.get_running_loop()
        self._requested: dict[str, frozenset[str]] = {}  # services subscribed to, by source
        self._links: dict[str, Link] = {}
        self._connecting: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._subscribers: dict[Link, frozenset[str]] = {}

    # ------------------------------------------------------------ entries received

    def merge(self, node_entries: list[Node]) -> None:
        """Merge entries with servers from any source, and relay the new ones to subscribers."""
        new = []
        for node in node_entries:
            old = self.entries.get(node.name)
            if old is None or freshness(node) > freshness(old):
                self.entries[node.name] = node
                new.append(node)
        if not new:
            return
        for link, services in list(self._subscribers.items()):
            if entries := zone_relays.of_services(new, services):
                link.send(Frame(news=wire.StateUpdate(served=entries)))
        self._on_entries([node.name for node in new])

    def prune(self, member_names: set[str]) -> None:
        """Bound memory: remove entries of former members once there are many."""
        if len(self.entries) <= 2 * len(member_names) + MAX_FORMER_ENTRIES:
            return
        for name in [name for name in self.entries if name not in member_names]:
            del self.entries[name]

    # ------------------------------------------------------------ subscriptions at sources

    def update(self, services: frozenset[str], members: list[Node]) -> None:
        """Subscribe to these services at their current sources; called after any change and periodically."""
        sources = self._relays.sources_for(services, members, self._loop.time())
        for address in [a for a in self._links if a not in sources]:
            self._links.pop(address).close()
            self._requested.pop(address, None)
        for address, wanted in sources.items():
            requested = frozenset(wanted)
            if address and address not in self._links:
                self._start_connecting(address)
            elif self._requested.get(address) != requested:
                self._requested[address] = requested
                if address:
                    self._links[address].send(Frame(subscribe=wire.Subscribe(services=requested)))
                else:
                    self._subscribe(requested)
        if "" not in sources and self._requested.get(""):
            del self._requested[""]
            self._subscribe(frozenset())

    def on_session_started(self) -> None:
        """Handle a new session: its control-plane node has no subscriptions of this node yet."""
        self._requested.pop("", None)

    def on_session_ended(self) -> None:
        """Handle the end of the session: subscribers must use another source, as no news arrives here."""
        for link in list(self._subscribers):
            link.abort()

    def _start_connecting(self, address: str) -> None:
        if address in self._connecting:
            return
        self._connecting.add(address)
        task = self._loop.create_task(self._connect(address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, address: str) -> None:
        link = await dial(
            address,
            lambda: Link(
                self, PING_INTERVAL_S, SILENCE_TIMEOUT_S, peer=address, input_memory=self._input_memory
            ),
        )
        self._connecting.discard(address)
        if link is None or not link.up:
            self._relays.mark_unreachable(address, self._loop.time())
        else:
            self._links[address] = link
            self._requested.pop(address, None)
        self._on_sources_changed()

    def on_up(self, link: Link) -> None:
        """Nothing to do: the subscription is sent once the link is registered."""

    def on_frame(self, link: Link, frame: Frame) -> None:
        if frame.WhichOneof("body") == "news":
            self.merge(list(frame.news.served))

    def on_down(self, link: Link) -> None:
        if self._links.get(link.peer) is link:
            del self._links[link.peer]
            self._requested.pop(link.peer, None)
            self._relays.mark_unreachable(link.peer, self._loop.time())
            self._on_sources_changed()

    # ------------------------------------------------------------ subscribers

    def subscribe(self, link: Link, services: frozenset[str]) -> None:
        """Accept a subscription from a node of this zone; without a session its link is aborted."""
        if not self._session_established():
            link.abort()
            return
        self._subscribers[link] = services
        self._count_subscriptions()
        if entries := zone_relays.of_services(self.entries.values(), services):
            link.send(Frame(news=wire.StateUpdate(served=entries)))
        self._on_sources_changed()

    def has_subscriber(self, link: Link) -> bool:
        """Whether another node is subscribed over this link."""
        return link in self._subscribers

    def unsubscribe(self, link: Link) -> None:
        if self._subscribers.pop(link, None) is not None:
            self._count_subscriptions()

    def _count_subscriptions(self) -> None:
        serving: dict[str, int] = {}
        for services in self._subscribers.values():
            for service in services:
                serving[service] = serving.get(service, 0) + 1
        self._relays.dependents = serving

    def close(self) -> None:
        for link in [*self._links.values(), *self._subscribers]:
            link.abort()

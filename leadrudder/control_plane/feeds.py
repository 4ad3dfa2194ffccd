"""What stations are told: at once while they take it in, and merged while they are behind.

A station that does not read keeps no more waiting here than a bound of bytes and one mark for each thing that
has changed meanwhile. When it reads again it is told how these things are then, and not all they have been.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from leadrudder.membership import zone_relays
from leadrudder.observability.invariants import Invariants
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Frame, Item, Node
from leadrudder.transport.link import Link, packed

MAX_UNSENT_BYTES = 256 * 1024  # bytes that wait for a station to read, beyond which it counts as behind


@dataclass(slots=True)
class SessionFeed:
    """One station's session.  wanted: services whose servers it has asked to hear of."""

    link: Link
    station: str
    wanted: frozenset[str] | None = None
    # What has changed since the station fell behind, by name.
    items: dict[str, None] = field(default_factory=dict)
    members: dict[str, None] = field(default_factory=dict)
    servers: dict[str, None] = field(default_factory=dict)

    def behind(self) -> bool:
        """Whether news is to wait: some waits already, or the link holds too much that was not read."""
        return self.waits() or self.link.unsent() > MAX_UNSENT_BYTES

    def waits(self) -> bool:
        return bool(self.items or self.members or self.servers)

    def forget(self) -> None:
        self.items.clear()
        self.members.clear()
        self.servers.clear()


class SessionFeeds:
    """All sessions.  item, node: what is known of a key and of a station now."""

    def __init__(
        self,
        item: Callable[[str], Item | None],
        node: Callable[[str], Node | None],
        invariants: Invariants,
    ) -> None:
        self._invariants = invariants
        self._largest = 0  # bytes of the largest frame that a session was sent
        self.merged = 0  # pieces of news that were not sent at once, since the start
        self._item, self._node = item, node
        self._feeds: dict[Link, SessionFeed] = {}
        self._sessions: Counter[str] = Counter()  # by station

    def __contains__(self, link: Link) -> bool:
        return link in self._feeds

    def __len__(self) -> int:
        return len(self._feeds)

    def links(self) -> list[Link]:
        return list(self._feeds)

    def max_unsent_bytes(self) -> int:
        """Bytes that wait for the station that is furthest behind."""
        return max((link.unsent() for link in self._feeds), default=0)

    def begin(self, link: Link, news: wire.News) -> None:
        """The first that a new session is told: all there is."""
        self._send(link, packed(Frame(news=news)))

    def _send(self, link: Link, data: bytes) -> None:
        self._largest = max(self._largest, len(data))
        link.send_packed(data)

    def add(self, link: Link, station: str) -> None:
        self._feeds[link] = SessionFeed(link, station)
        self._sessions[station] += 1

    def remove(self, link: Link) -> str | None:
        """Returns the station, if it was its last session."""
        feed = self._feeds.pop(link, None)
        if feed is None:
            return None
        self._sessions[feed.station] -= 1
        if self._sessions[feed.station]:
            return None
        del self._sessions[feed.station]
        return feed.station

    def subscribe(self, link: Link, services: frozenset[str], known: Iterable[Node]) -> None:
        """A station asks for the servers of these services, in place of what it asked for before."""
        feed = self._feeds.get(link)
        if feed is None:
            return
        feed.wanted = services
        if served := zone_relays.of_services(known, services):
            self._send(link, packed(Frame(news=wire.News(served=served))))

    # ------------------------------------------------------------ news

    def publish_items(self, items: Iterable[Item]) -> None:
        items = list(items)
        data = packed(Frame(news=wire.News(items=items)))
        for feed in list(self._feeds.values()):
            if feed.behind():
                feed.items.update(dict.fromkeys(item.key for item in items))
                self.merged += 1
            else:
                self._send(feed.link, data)

    def publish_members(self, nodes: list[Node], but: Link | None = None) -> None:
        """Members that have come, gone or changed; but: the session that they were heard on."""
        data = packed(Frame(news=wire.News(nodes=map(zone_relays.bare, nodes))))
        for feed in list(self._feeds.values()):
            if feed.link is but:
                continue
            if feed.behind():
                feed.members.update(dict.fromkeys(node.name for node in nodes))
                self.merged += 1
            else:
                self._send(feed.link, data)

    def publish_servers(self, nodes: list[Node]) -> None:
        """Stations whose servers may have changed, to whoever has asked for them."""
        data_by_wanted: dict[frozenset[str], bytes] = {}
        for feed in list(self._feeds.values()):
            if feed.wanted is None:
                continue
            if feed.behind():
                feed.servers.update(dict.fromkeys(node.name for node in nodes))
                self.merged += 1
                continue
            data = data_by_wanted.get(feed.wanted)
            if data is None:
                served = zone_relays.of_services(nodes, feed.wanted)
                data = packed(Frame(news=wire.News(served=served))) if served else b""
                data_by_wanted[feed.wanted] = data
            if data:
                self._send(feed.link, data)

    def flush_pending(self) -> None:
        """To be called some times a second: what waits is told as it is now, where it is read again."""
        for feed in list(self._feeds.values()):
            if feed.waits() and feed.link.unsent() <= MAX_UNSENT_BYTES // 2:
                news = self._waiting(feed)
                feed.forget()
                self._send(feed.link, packed(Frame(news=news)))
            self._invariants.check(
                "a_session_keeps_bounded_bytes_waiting",
                feed.link.unsent() <= MAX_UNSENT_BYTES + 2 * self._largest,
                lambda feed=feed: f"{feed.link.unsent()} bytes wait for {feed.station}",  # type: ignore[misc]
            )

    def _waiting(self, feed: SessionFeed) -> wire.News:
        items = [item for key in feed.items if (item := self._item(key)) is not None]
        members = [node for name in feed.members if (node := self._node(name)) is not None]
        servers = [node for name in feed.servers if (node := self._node(name)) is not None]
        return wire.News(
            items=items,
            nodes=map(zone_relays.bare, members),
            served=zone_relays.of_services(servers, feed.wanted or frozenset()),
        )

"""State updates to data-plane nodes: sent at once, or coalesced for sessions that read too slowly.

For a node that does not read, a bounded number of bytes is buffered, and one entry for each item, member or
server list that has changed since. When it reads again it receives their latest state without the
intermediate ones.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from leadrudder.membership import zone_relays
from leadrudder.observability.invariants import Invariants
from leadrudder.protocol import mesh_pb2 as wire
from leadrudder.protocol.mesh_pb2 import Frame, Item, Node
from leadrudder.transport.link import Link, encode_frame

MAX_UNSENT_BYTES = 256 * 1024  # unread by a node, above which its updates are deferred and coalesced


@dataclass(slots=True)
class SessionFeed:
    """One data-plane node's session.  subscribed_services: services whose servers it has asked for."""

    link: Link
    node_name: str
    subscribed_services: frozenset[str] | None = None
    # Keys or names that have changed since the node fell behind.
    changed_items: dict[str, None] = field(default_factory=dict)
    changed_members: dict[str, None] = field(default_factory=dict)
    changed_servers: dict[str, None] = field(default_factory=dict)

    def is_behind(self) -> bool:
        """Whether updates are deferred: some are pending already, or the link has too many unsent bytes."""
        return self.has_pending() or self.link.unsent_bytes() > MAX_UNSENT_BYTES

    def has_pending(self) -> bool:
        return bool(self.changed_items or self.changed_members or self.changed_servers)

    def clear_pending(self) -> None:
        self.changed_items.clear()
        self.changed_members.clear()
        self.changed_servers.clear()


class SessionFeeds:
    """All sessions.  find_item, find_node: current state of a key and of a data-plane node."""

    def __init__(
        self,
        find_item: Callable[[str], Item | None],
        find_node: Callable[[str], Node | None],
        invariants: Invariants,
    ) -> None:
        self._invariants = invariants
        self._largest_frame_bytes = 0  # sent to any session so far
        self.deferred_updates = 0  # updates that were not sent at once, since the start
        self._find_item, self._find_node = find_item, find_node
        self._feeds: dict[Link, SessionFeed] = {}
        self._session_counts: Counter[str] = Counter()  # by data-plane node

    def __contains__(self, link: Link) -> bool:
        return link in self._feeds

    def __len__(self) -> int:
        return len(self._feeds)

    def links(self) -> list[Link]:
        return list(self._feeds)

    def max_unsent_bytes(self) -> int:
        """Unsent bytes of the session that is furthest behind."""
        return max((link.unsent_bytes() for link in self._feeds), default=0)

    def total_unsent_bytes(self) -> int:
        """Unsent bytes of all sessions."""
        return sum(link.unsent_bytes() for link in self._feeds)

    def send_initial_state(self, link: Link, news: wire.StateUpdate) -> None:
        """Sends the whole state, as the first update of a new session."""
        self._send(link, encode_frame(Frame(news=news)))

    def _send(self, link: Link, data: bytes) -> None:
        self._largest_frame_bytes = max(self._largest_frame_bytes, len(data))
        link.send_encoded(data)

    def add_session(self, link: Link, node_name: str) -> None:
        self._feeds[link] = SessionFeed(link, node_name)
        self._session_counts[node_name] += 1

    def remove_session(self, link: Link) -> str | None:
        """Returns the node's name if this was its last session."""
        feed = self._feeds.pop(link, None)
        if feed is None:
            return None
        self._session_counts[feed.node_name] -= 1
        if self._session_counts[feed.node_name]:
            return None
        del self._session_counts[feed.node_name]
        return feed.node_name

    def subscribe(self, link: Link, services: frozenset[str], known: Iterable[Node]) -> None:
        """Replaces the set of services whose servers the node asks for."""
        feed = self._feeds.get(link)
        if feed is None:
            return
        feed.subscribed_services = services
        if served := zone_relays.of_services(known, services):
            self._send(link, encode_frame(Frame(news=wire.StateUpdate(served=served))))

    # ------------------------------------------------------------ updates

    def publish_items(self, items: Iterable[Item]) -> None:
        items = list(items)
        data = encode_frame(Frame(news=wire.StateUpdate(items=items)))
        for feed in list(self._feeds.values()):
            if feed.is_behind():
                feed.changed_items.update(dict.fromkeys(item.key for item in items))
                self.deferred_updates += 1
            else:
                self._send(feed.link, data)

    def publish_members(self, nodes: list[Node], except_link: Link | None = None) -> None:
        """Sends members that were added, removed or changed.  except_link: the session that reported them."""
        data = encode_frame(Frame(news=wire.StateUpdate(nodes=map(zone_relays.without_servers, nodes))))
        for feed in list(self._feeds.values()):
            if feed.link is except_link:
                continue
            if feed.is_behind():
                feed.changed_members.update(dict.fromkeys(node.name for node in nodes))
                self.deferred_updates += 1
            else:
                self._send(feed.link, data)

    def publish_servers(self, nodes: list[Node]) -> None:
        """Sends nodes whose servers may have changed to the sessions that subscribed to their services."""
        data_by_services: dict[frozenset[str], bytes] = {}
        for feed in list(self._feeds.values()):
            if feed.subscribed_services is None:
                continue
            if feed.is_behind():
                feed.changed_servers.update(dict.fromkeys(node.name for node in nodes))
                self.deferred_updates += 1
                continue
            data = data_by_services.get(feed.subscribed_services)
            if data is None:
                served = zone_relays.of_services(nodes, feed.subscribed_services)
                data = encode_frame(Frame(news=wire.StateUpdate(served=served))) if served else b""
                data_by_services[feed.subscribed_services] = data
            if data:
                self._send(feed.link, data)

    def flush_pending(self) -> None:
        """Sends pending updates to sessions that read again; called several times a second."""
        for feed in list(self._feeds.values()):
            if feed.has_pending() and feed.link.unsent_bytes() <= MAX_UNSENT_BYTES // 2:
                news = self._pending_update(feed)
                feed.clear_pending()
                self._send(feed.link, encode_frame(Frame(news=news)))
            self._invariants.check(
                "a_session_keeps_bounded_bytes_waiting",
                feed.link.unsent_bytes() <= MAX_UNSENT_BYTES + 2 * self._largest_frame_bytes,
                lambda feed=feed: f"{feed.link.unsent_bytes()} unsent bytes for {feed.node_name}",  # type: ignore[misc]
            )

    def _pending_update(self, feed: SessionFeed) -> wire.StateUpdate:
        items = [item for key in feed.changed_items if (item := self._find_item(key)) is not None]
        members = [node for name in feed.changed_members if (node := self._find_node(name)) is not None]
        servers = [node for name in feed.changed_servers if (node := self._find_node(name)) is not None]
        return wire.StateUpdate(
            items=items,
            nodes=map(zone_relays.without_servers, members),
            served=zone_relays.of_services(servers, feed.subscribed_services or frozenset()),
        )

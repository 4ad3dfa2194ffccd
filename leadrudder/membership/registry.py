"""The member registry of a control node: a proxy is a member while it has a session with a control node.

Control nodes tell each other their sessions. Entries merge by (life, number, gone), the highest wins, so
late and duplicate ones change nothing. A proxy whose session ends is reported as gone after a grace period,
in which it may reconnect to another control node. Times are seconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from leadrudder.configuration.item_store import hash64
from leadrudder.protocol.mesh_pb2 import Node

RECONNECT_GRACE_S = 0.8  # for a proxy that lost its session to connect to another control node
ORPHAN_GRACE_S = 3.0  # the same if the control node itself is lost


def freshness(node: Node) -> tuple[int, int, bool]:
    """Sort key of a proxy's entries: the newest has the highest."""
    return node.life, node.number, node.gone


def entry_digest(node: Node) -> int:
    return hash64(f"{node.name}|{node.life}|{node.number}|{node.gone}")


@dataclass(slots=True)
class MemberRegistry:
    """All known entries, gone ones included.  address: of the control node that keeps them."""

    address: str
    nodes: dict[str, Node] = field(default_factory=dict)
    digest: int = 0
    sessions: set[str] = field(default_factory=set)  # proxies with a session with this node
    _unclaimed: set[str] = field(default_factory=set)  # entries that name this node, without a session here
    _departing: dict[str, tuple[float, Node]] = field(default_factory=dict)  # when to report it as gone
    _lost_peers: dict[str, float] = field(default_factory=dict)  # disconnected control nodes, since when

    def merge(self, entries: Iterable[Node]) -> list[Node]:
        """Merge entries; returns those that were new."""
        merged = []
        for node in entries:
            known = self.nodes.get(node.name)
            if known is None or freshness(node) > freshness(known):
                self.digest ^= entry_digest(node) ^ (entry_digest(known) if known is not None else 0)
                self.nodes[node.name] = node
                merged.append(node)
                if node.holder == self.address and not node.gone and node.name not in self.sessions:
                    self._unclaimed.add(node.name)
        return merged

    def report(self, node: Node) -> list[Node]:
        """A proxy with a session with this node reports itself."""
        entry = Node()
        entry.CopyFrom(node)
        entry.gone, entry.holder = False, self.address
        self.sessions.add(node.name)
        self._departing.pop(node.name, None)
        return self.merge([entry])

    def session_ended(self, name: str, now: float) -> None:
        """A proxy's session with this node has ended."""
        self.sessions.discard(name)
        node = self.nodes.get(name)
        if node is not None and node.holder == self.address and not node.gone:
            self._departing[name] = (now + RECONNECT_GRACE_S, node)

    def peer_link_changed(self, address: str, up: bool, now: float) -> None:
        if up:
            self._lost_peers.pop(address, None)
        else:
            self._lost_peers.setdefault(address, now)

    def tick(self, now: float, expires: bool) -> list[Node]:
        """Entries to report as gone now.  expires: this node expires members of lost control nodes."""
        gone = []
        for name, (due, node) in list(self._departing.items()):
            if now >= due:
                del self._departing[name]
                if self.nodes.get(name) is node:
                    gone.append(node)
        self._expire_unclaimed(now)
        if expires and self._lost_peers:
            orphaned = {a for a, since in self._lost_peers.items() if now - since >= ORPHAN_GRACE_S}
            gone += [n for n in self.nodes.values() if n.holder in orphaned and not n.gone]
        return self.merge(_as_gone(node) for node in gone)

    def _expire_unclaimed(self, now: float) -> None:
        """Give proxies of an earlier process at this address time to reconnect."""
        for name in self._unclaimed:
            node = self.nodes.get(name)
            is_own = node is not None and node.holder == self.address and not node.gone
            if node is not None and is_own and name not in self.sessions:
                self._departing.setdefault(name, (now + ORPHAN_GRACE_S, node))
        self._unclaimed.clear()

    def members(self) -> list[Node]:
        return [node for node in self.nodes.values() if not node.gone]

    def evict(self, most: int = 4096) -> None:
        """Bound the memory: drop the oldest gone entries."""
        if len(self.nodes) <= most:
            return
        for node in sorted((n for n in self.nodes.values() if n.gone), key=freshness)[
            : len(self.nodes) - most
        ]:
            del self.nodes[node.name]
            self.digest ^= entry_digest(node)


def _as_gone(node: Node) -> Node:
    entry = Node()
    entry.CopyFrom(node)
    entry.gone = True
    del entry.servers[:]
    return entry

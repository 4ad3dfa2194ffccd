"""The register of a signalbox: a station is a member while its session with a signalbox stands.

Signalboxes tell each other their sessions. Entries are merged by (life, number, gone), the highest first,
so late and doubled ones change nothing. A session that ends is told as gone after a moment, in which the
station may have found another signalbox. Times are seconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from leadrudder.configuration.item_store import hash64
from leadrudder.protocol.mesh_pb2 import Node

MOVE_S = 0.8  # for a station that lost its signalbox to find another
ORPHAN_S = 3.0  # the same where the signalbox itself is gone


def rank(node: Node) -> tuple[int, int, bool]:
    """The newest of a station's entries has the highest."""
    return node.life, node.number, node.gone


def seal(node: Node) -> int:
    return hash64(f"{node.name}|{node.life}|{node.number}|{node.gone}")


@dataclass(slots=True)
class Register:
    """address: of the signalbox whose register it is."""

    address: str
    nodes: dict[str, Node] = field(default_factory=dict)
    digest: int = 0
    sessions: set[str] = field(default_factory=set)  # stations whose session with us stands
    _strays: set[str] = field(default_factory=set)  # told of as ours, and without a session with us
    _leaving: dict[str, tuple[float, Node]] = field(default_factory=dict)  # when to tell it as gone
    _lost: dict[str, float] = field(default_factory=dict)  # signalboxes that are not connected, since when

    def take(self, news: Iterable[Node]) -> list[Node]:
        """Merge entries; returns those that were new."""
        taken = []
        for node in news:
            old = self.nodes.get(node.name)
            if old is None or rank(node) > rank(old):
                self.digest ^= seal(node) ^ (seal(old) if old is not None else 0)
                self.nodes[node.name] = node
                taken.append(node)
                if node.holder == self.address and not node.gone and node.name not in self.sessions:
                    self._strays.add(node.name)
        return taken

    def hello(self, node: Node) -> list[Node]:
        """A station of ours reports."""
        entry = Node()
        entry.CopyFrom(node)
        entry.gone, entry.holder = False, self.address
        self.sessions.add(node.name)
        self._leaving.pop(node.name, None)
        return self.take([entry])

    def ended(self, name: str, now: float) -> None:
        """A station's session with us has ended."""
        self.sessions.discard(name)
        node = self.nodes.get(name)
        if node is not None and node.holder == self.address and not node.gone:
            self._leaving[name] = (now + MOVE_S, node)

    def signalbox(self, address: str, up: bool, now: float) -> None:
        if up:
            self._lost.pop(address, None)
        else:
            self._lost.setdefault(address, now)

    def tick(self, now: float, sweeps: bool) -> list[Node]:
        """Entries that are told as gone now. sweeps: the duty for members of lost signalboxes is ours."""
        gone = []
        for name, (due, node) in list(self._leaving.items()):
            if now >= due:
                del self._leaving[name]
                if self.nodes.get(name) is node:
                    gone.append(node)
        self._leave_strays(now)
        if sweeps and self._lost:
            orphaned = {a for a, since in self._lost.items() if now - since >= ORPHAN_S}
            gone += [n for n in self.nodes.values() if n.holder in orphaned and not n.gone]
        return self.take(_as_gone(node) for node in gone)

    def _leave_strays(self, now: float) -> None:
        """Sessions with an earlier process at our address: their stations have a moment to come back."""
        for name in self._strays:
            node = self.nodes.get(name)
            ours = node is not None and node.holder == self.address and not node.gone
            if node is not None and ours and name not in self.sessions:
                self._leaving.setdefault(name, (now + ORPHAN_S, node))
        self._strays.clear()

    def members(self) -> list[Node]:
        return [node for node in self.nodes.values() if not node.gone]

    def forget(self, most: int = 4096) -> None:
        """Bounded memory: the oldest of those that are gone go first."""
        if len(self.nodes) <= most:
            return
        for node in sorted((n for n in self.nodes.values() if n.gone), key=rank)[: len(self.nodes) - most]:
            del self.nodes[node.name]
            self.digest ^= seal(node)


def _as_gone(node: Node) -> Node:
    entry = Node()
    entry.CopyFrom(node)
    entry.gone = True
    del entry.servers[:]
    return entry

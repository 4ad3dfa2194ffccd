"""Moves of a small world in words, for a course that breaks a rule."""

from __future__ import annotations

from dataclasses import dataclass

from leadrudder.model_checker.invariants import Rules, told
from leadrudder.model_checker.state import Action, State
from leadrudder.protocol.mesh_pb2 import Frame


@dataclass(slots=True)
class Story(Rules):
    """Tells what happens."""

    def tell(self, state: State, move: Action) -> str:
        """What a move is, in words; state: before it."""
        kind, *where = move
        names = (
            [] if kind in ("call", "leave", "hold", "release") else [self._name(int(w)) for w in where[:2]]
        )
        if kind in ("arrives", "late", "doubled"):
            a, b = int(where[0]), int(where[1])
            wire = state.wires[self._pair(a, b)]
            late = kind == "late" or (kind == "doubled" and bool(where[2]))
            queue = getattr(wire, ("left_" if late else "") + ("ahead" if a < b else "back"))
            frame = Frame.FromString(queue[0])
            what = frame.WhichOneof("body") or ""
            return f"{names[0]} -> {names[1]}: {what} {_line(getattr(frame, what))} ({kind})"
        if kind == "pass":
            return f"{0.1 * self.scene.step} s pass"
        if kind == "call":
            items = state.asked[int(where[0])].items
            what = told(frozenset(items)) if items else "a read"
            return f"an operator asks {self._name(int(where[1]))}: {what}"
        if kind == "leave":
            return f"the operator of call {where[0]} waits no longer"
        if kind in ("hold", "release"):
            return f"{kind} {' '.join(map(str, where))}"
        if kind == "power":
            return f"{names[0]} loses power; {where[1]} of what it was writing is there"
        if kind in ("start", "synced"):
            return f"{names[0]} {'starts' if kind == 'start' else 'has synced'}"
        return f"{kind} {' '.join(names)}"

    def _pair(self, a: int, b: int) -> int:
        return self.pairs.index((a, b) if a < b else (b, a))


def _line(message: object) -> str:
    return " ".join(str(message).split())[:110]

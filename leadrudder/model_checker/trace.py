"""Descriptions of actions, for a trace that leads to a violation."""

from __future__ import annotations

from dataclasses import dataclass

from leadrudder.model_checker.invariants import Invariants, format_items
from leadrudder.model_checker.state import Action, State
from leadrudder.protocol.mesh_pb2 import Frame


@dataclass(slots=True)
class ActionDescriber(Invariants):
    """Describes actions in words."""

    def describe(self, state: State, action: Action) -> str:
        """The action in words.  state: before it."""
        kind, *arguments = action
        names = (
            []
            if kind in ("call", "leave", "hold", "release")
            else [self._host_name(int(argument)) for argument in arguments[:2]]
        )
        if kind in ("arrives", "late", "doubled"):
            a, b = int(arguments[0]), int(arguments[1])
            link = state.links[self._link_index(a, b)]
            late = kind == "late" or (kind == "doubled" and bool(arguments[2]))
            frames = getattr(link, ("stale_" if late else "") + ("forward" if a < b else "backward"))
            frame = Frame.FromString(frames[0])
            what = frame.WhichOneof("body") or ""
            return f"{names[0]} -> {names[1]}: {what} {_one_line(getattr(frame, what))} ({kind})"
        if kind == "pass":
            return f"{0.1 * self.scenario.step_tenths} s pass"
        if kind == "call":
            items = state.calls[int(arguments[0])].items
            what = format_items(frozenset(items)) if items else "a read"
            return f"an operator asks {self._host_name(int(arguments[1]))}: {what}"
        if kind == "leave":
            return f"the operator of call {arguments[0]} gives up waiting"
        if kind in ("hold", "release"):
            return f"{kind} {' '.join(map(str, arguments))}"
        if kind == "power":
            return f"{names[0]} loses power; {arguments[1]} of its pending writes are on disk"
        if kind in ("start", "synced"):
            return f"{names[0]} {'starts' if kind == 'start' else 'completes a write'}"
        return f"{kind} {' '.join(names)}"

    def _link_index(self, a: int, b: int) -> int:
        return self.host_pairs.index((a, b) if a < b else (b, a))


def _one_line(message: object) -> str:
    return " ".join(str(message).split())[:110]

"""States that are alike but for which of two rivals' values stands where: one is the other, swapped."""

from __future__ import annotations

from collections.abc import Callable

from leadrudder.model_checker.machine_states import Fact, Locals, ToSend, ToWrite
from leadrudder.model_checker.state import State


def swapped(locals_: Locals, state: State, swap: Callable[[bytes], bytes]) -> State:
    """The state with the bytes of values swapped throughout."""

    def facts(of: frozenset[Fact]) -> frozenset[Fact]:
        return frozenset((key, version, dropped, swap(value)) for key, version, dropped, value in of)

    def batch(write: ToWrite) -> ToWrite:
        records = tuple((name, swap(value)) for name, value in write.records)
        return ToWrite(records, tuple(ToSend(send.to, swap(send.data)) for send in write.then))

    boxes = tuple(
        box._replace(
            local=locals_.swapped(box.local, swap),
            disk=locals_.swapped_disk(box.disk, swap),
            queue=tuple(map(batch, box.queue)),
        )
        for box in state.boxes
    )
    wires = tuple(
        wire._replace(
            ahead=tuple(map(swap, wire.ahead)),
            back=tuple(map(swap, wire.back)),
            left_ahead=tuple(map(swap, wire.left_ahead)),
            left_back=tuple(map(swap, wire.left_back)),
        )
        for wire in state.wires
    )
    # Two calls that differ by the values alone are each other's.
    asked = tuple(
        sorted(
            (
                a._replace(
                    items=tuple((k, v, d, swap(value)) for k, v, d, value in a.items), owed=facts(a.owed)
                )
                for a in state.asked
            ),
            key=lambda a: [a.items != b.items for b in state.asked],
        )
    )
    return state._replace(
        boxes=boxes,
        wires=wires,
        asked=asked,
        acknowledged=facts(state.acknowledged),
        stood=facts(state.stood),
        refused=facts(state.refused),
    )

"""Symmetry reduction: states that differ only by swapping the values of two rival calls are equivalent."""

from __future__ import annotations

from collections.abc import Callable

from leadrudder.model_checker.machine_states import EncodedSend, EncodedWrite, ItemTuple, MachineStates
from leadrudder.model_checker.state import State


def swap_values(machine_states: MachineStates, state: State, swap: Callable[[bytes], bytes]) -> State:
    """The state with `swap` applied to all bytes that may contain a value."""

    def swap_items(items: frozenset[ItemTuple]) -> frozenset[ItemTuple]:
        return frozenset((key, version, dropped, swap(value)) for key, version, dropped, value in items)

    def swap_write(write: EncodedWrite) -> EncodedWrite:
        records = tuple((name, swap(value)) for name, value in write.records)
        return EncodedWrite(records, tuple(EncodedSend(send.to, swap(send.data)) for send in write.then))

    hosts = tuple(
        host._replace(
            process=machine_states.swap_values(host.process, swap),
            disk=machine_states.swap_disk_values(host.disk, swap),
            write_queue=tuple(map(swap_write, host.write_queue)),
        )
        for host in state.hosts
    )
    links = tuple(
        link._replace(
            forward=tuple(map(swap, link.forward)),
            backward=tuple(map(swap, link.backward)),
            stale_forward=tuple(map(swap, link.stale_forward)),
            stale_backward=tuple(map(swap, link.stale_backward)),
        )
        for link in state.links
    )
    # Swapping also exchanges two calls that differ only in their values.
    calls = tuple(
        sorted(
            (
                call._replace(
                    items=tuple(
                        (key, version, dropped, swap(value)) for key, version, dropped, value in call.items
                    ),
                    required=swap_items(call.required),
                )
                for call in state.calls
            ),
            key=lambda call: [call.items != other.items for other in state.calls],
        )
    )
    return state._replace(
        hosts=hosts,
        links=links,
        calls=calls,
        acknowledged=swap_items(state.acknowledged),
        committed=swap_items(state.committed),
        refused=swap_items(state.refused),
    )

"""Whether this machine lets the nodes of a file use what the file promises them."""

from __future__ import annotations

import os
import resource
from dataclasses import dataclass

from leadrudder.tool.model import File


@dataclass(frozen=True, slots=True)
class MachineCapacity:
    """What one process may open, and what all may hold. None: without a limit."""

    descriptors: int | None
    memory_mb: int | None

    @classmethod
    def of_this_machine(cls) -> MachineCapacity:
        """By the hard limit, to which a process may raise its own, and the memory that is there."""
        hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        memory = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") // 1_000_000
        return cls(None if hard == resource.RLIM_INFINITY else hard, memory if memory > 0 else None)


def capacity_shortfall(file: File, machine: MachineCapacity | None = None) -> str | None:
    """One line on what is missing; None where all is there. machine: this one, if left out.

    Only the start looks: a file is mostly checked on another machine than the one that runs it.
    """
    here = machine or MachineCapacity.of_this_machine()
    limits, nodes = file.limits, len(file.listener)
    if here.descriptors is not None and limits.descriptors > here.descriptors:
        return (
            f"limits.descriptors is {limits.descriptors}, and a process may open {here.descriptors} here;"
            " raise that limit (ulimit -Hn) or lower the file's"
        )
    if here.memory_mb is not None and nodes * limits.memory_mb > here.memory_mb:
        return (
            f"{nodes} nodes of limits.memory_mb {limits.memory_mb} want {nodes * limits.memory_mb} MB, and"
            f" this machine has {here.memory_mb}"
        )
    return None

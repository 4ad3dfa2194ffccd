"""Checks whether this machine can provide the resources that a file grants its nodes."""

from __future__ import annotations

import os
import resource
from dataclasses import dataclass

from leadrudder.tool.model import File


@dataclass(frozen=True, slots=True)
class MachineCapacity:
    """Descriptors that one process may open, and the memory for all processes. None: unlimited or unknown."""

    descriptors: int | None
    memory_mb: int | None

    @classmethod
    def of_this_machine(cls) -> MachineCapacity:
        """The hard descriptor limit, to which a process may raise its soft limit, and the physical memory."""
        hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        memory = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") // 1_000_000
        return cls(None if hard == resource.RLIM_INFINITY else hard, memory if memory > 0 else None)


def capacity_shortfall(file: File, machine: MachineCapacity | None = None) -> str | None:
    """One line on what this machine cannot provide; None if it provides everything.

    machine: the default is this machine. Only the sidecar's start calls this: a file is usually checked on
    another machine than the one that runs it.
    """
    available = machine or MachineCapacity.of_this_machine()
    limits, node_count = file.limits, len(file.listener)
    if available.descriptors is not None and limits.descriptors > available.descriptors:
        return (
            f"limits.descriptors is {limits.descriptors}, but a process may open"
            f" only {available.descriptors} here; raise the hard limit (ulimit -Hn) or lower the file's"
        )
    if available.memory_mb is not None and node_count * limits.memory_mb > available.memory_mb:
        return (
            f"{node_count} nodes of limits.memory_mb {limits.memory_mb} need"
            f" {node_count * limits.memory_mb} MB, but this machine has {available.memory_mb} MB"
        )
    return None

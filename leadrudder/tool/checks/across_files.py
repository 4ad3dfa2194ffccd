"""Mistakes between the files of several applications."""

from __future__ import annotations

from collections.abc import Iterator

from leadrudder.tool.checks.addresses import addresses_conflict, port_taken, shadowed_discovery
from leadrudder.tool.checks.finding import Finding, first_indices
from leadrudder.tool.model import File


def check_across_files(files: list[File]) -> Iterator[tuple[int, Finding]]:
    """Mistakes between files, each with the index of the file that it is reported for."""
    names = [file.application.name for file in files]
    for i, file in enumerate(files):
        if file.application.name in names[:i]:
            yield (
                i,
                Finding(
                    ("application", "name"),
                    "application-taken",
                    f"application {file.application.name!r} is also in another file.",
                    "Calls to it would be ambiguous.",
                    "one file for each application",
                ),
            )
        yield from ((i, finding) for finding in _port_conflicts(files, i))
    yield from _call_cycles(files, first_indices(names))


def _port_conflicts(files: list[File], i: int) -> Iterator[Finding]:
    for k, listener in enumerate(files[i].listener):
        for earlier in files[:i]:
            conflicting = next(
                (x for x in earlier.listener if addresses_conflict(listener.address, x.address)), None
            )
            if conflicting is not None:
                by = f"application {earlier.application.name!r} ({conflicting.name}, {conflicting.address})"
                yield port_taken(listener, by, ("listener", k, "address"))
                break
        if (discovery := shadowed_discovery(files[:i] + files[i + 1 :], listener)) is not None:
            yield port_taken(listener, discovery, ("listener", k, "address"))


def _call_cycles(files: list[File], index: dict[str, int]) -> Iterator[tuple[int, Finding]]:
    """Cycles of calls between applications, each reported once, at the call that closes it."""
    state: dict[str, int] = {}  # 1: on the current path, 2: finished

    def find_cycles(name: str, call_path: list[str]) -> Iterator[tuple[int, Finding]]:
        state[name] = 1
        for k, other in enumerate(files[index[name]].application.calls):
            if state.get(other) == 1:
                cycle = " -> ".join([*call_path[call_path.index(other) :], other])
                yield (
                    index[name],
                    Finding(
                        ("application", "calls", k),
                        "application-loop",
                        f"applications call each other in a cycle: {cycle}.",
                        "A request that returns to where it started occupies a slot in each, and may cycle forever.",
                        "calls in one direction only",
                    ),
                )
            elif other in index and other not in state:
                yield from find_cycles(other, [*call_path, other])
        state[name] = 2

    for name in index:
        if name not in state:
            yield from find_cycles(name, [name])

"""Traces of runs: the setup, the events and the result, one JSON object per line.

The first line holds the setup, the last one the result and the plan; between them are the injected faults and
the network events. A trace can be replayed from its setup and must then end with the same digest.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, TextIO

from leadrudder.simulation.faults import Fault, PlanError, faults_from_json, faults_to_json
from leadrudder.simulation.loop import VirtualLoop
from leadrudder.simulation.network import Address, NetworkObserver, VirtualTransport
from leadrudder.simulation.runner import RunResult, RunSetup
from leadrudder.simulation.world import World

FORMAT = "leadrudder-trace"
VERSION = 1
MAX_TEXT_BYTES = 120  # prefix of the transferred data that is kept


class TraceError(Exception):
    """A file that is not a trace of this version."""


class TraceWriter:
    """Writes a trace during the run, so that memory use does not grow with its length."""

    def __init__(self, path: Path, setup: RunSetup) -> None:
        self._file: TextIO = path.open("w", encoding="utf-8")
        self._write_line(
            {
                "format": FORMAT,
                "version": VERSION,
                "seed": setup.seed,
                "steps": setup.steps,
                "nodes": setup.nodes,
                "heavy": setup.heavy,
                "kinds": list(setup.kinds),
                "plan": None if setup.faults is None else faults_to_json(setup.faults),
            }
        )

    def _write_line(self, item: dict[str, Any]) -> None:
        self._file.write(json.dumps(item, separators=(",", ":")) + "\n")

    def observe(self, world: World) -> NetworkObserver:
        """An observer that records network events and passes them on to the oracle."""
        return _TraceObserver(world, self._write_line)

    def finish(self, result: RunResult) -> None:
        """Writes the last line, with the plan as it was run, even if it was drawn from the seed."""
        self._write_line(
            {
                "end": {
                    "steps": result.steps,
                    "digest": result.digest,
                    "virtual_s": result.virtual_s,
                    "violations": [str(violation) for violation in result.violations],
                    "counts": dict(sorted(result.counts.items())),
                },
                "plan": faults_to_json(result.plan),
            }
        )

    def close(self) -> None:
        self._file.close()


class _TraceObserver:
    """Records network events and passes them on to the oracle."""

    def __init__(self, world: World, write_line: Any) -> None:
        self._world = world
        self._oracle = world.oracle
        self._write_line = write_line
        self._faults_written = 0

    def _write_event(self, event: str, **more: Any) -> None:
        scheduler = self._world.scheduler
        planned = self._world.injected
        while (
            self._faults_written < len(planned)
            and planned[self._faults_written].at_ms * 1000 <= scheduler.now
        ):
            self._write_line({"fault": faults_to_json([planned[self._faults_written]])[0]})
            self._faults_written += 1
        self._write_line({"us": scheduler.now, "step": scheduler.steps, "what": event, **more})

    def connection_requested(self, loop: VirtualLoop, address: Address) -> None:
        self._write_event("connect", by=loop.name, to=_format_address(address))
        self._oracle.connection_requested(loop, address)

    def connection_accepted(self, client: VirtualTransport) -> None:
        self._write_event("accept", by=client.peer.loop.name, to=client.loop.name, port=client.local[1])
        self._oracle.connection_accepted(client)

    def bytes_sent(self, source: VirtualTransport, data: bytes) -> None:
        self._write_event("send", **_addresses(source), bytes=len(data), text=_prefix(data))
        self._oracle.bytes_sent(source, data)

    def bytes_received(self, target: VirtualTransport, data: bytes) -> None:
        self._write_event("read", **_addresses(target), bytes=len(data), text=_prefix(data))
        self._oracle.bytes_received(target, data)

    def connection_ended(self, transport: VirtualTransport, reason: str) -> None:
        self._write_event("end", **_addresses(transport), why=reason)
        self._oracle.connection_ended(transport, reason)


def _addresses(transport: VirtualTransport) -> dict[str, Any]:
    return {
        "by": transport.loop.name,
        "at": _format_address(transport.local),
        "with": _format_address(transport.remote),
    }


def _format_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def _prefix(data: bytes) -> str:
    return data[:MAX_TEXT_BYTES].decode("latin-1")


def read_trace(path: Path) -> tuple[RunSetup, str]:
    """Reads a trace's setup, with the plan as it was run, and its final digest.

    Raises TraceError with a one-line message.
    """
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
        header, last = json.loads(lines[0]), json.loads(lines[-1])
    except (OSError, ValueError, IndexError) as error:
        raise TraceError(f"{path}: not a trace: {error}") from None
    if not isinstance(header, dict) or header.get("format") != FORMAT:
        raise TraceError(f"{path}: not a trace of leadrudder")
    if header.get("version") != VERSION:
        raise TraceError(f"{path}: a trace of version {header.get('version')}; this reads {VERSION}")
    if not isinstance(last, dict) or "end" not in last:
        raise TraceError(f"{path}: the trace breaks off before its end")
    try:
        plan: list[Fault] = faults_from_json(last["plan"])
        setup = RunSetup(
            str(header["seed"]),
            int(header["steps"]),
            int(header["nodes"]),
            tuple(str(kind) for kind in header["kinds"]),
            tuple(plan),
            heavy=bool(header.get("heavy", False)),
        )
        return setup, str(last["end"]["digest"])
    except (KeyError, TypeError, ValueError, PlanError) as error:
        raise TraceError(f"{path}: {error}") from None

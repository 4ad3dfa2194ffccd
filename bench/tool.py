"""The cost of the command-line tool, which the node must not import: python -m bench.tool [--against REV].

The last line has check_1_ms and check_500_ms (reading and checking so many application files together,
medians of several rounds in one process); node_import_ms and node_mb (a fresh interpreter that imports only
the node, medians) and the same of REV, measured in turn (before_…); node_modules, the number of modules of
the tool or the simulation that the node imported, which must be 0; ready_ms, from the start of
`leadrudder sidecar` to that of the application, which waits for its node (discovery answers at once); and
check_command_ms, a whole run of `leadrudder check` on one file, including the start of interpreter and tool.
"""

from __future__ import annotations

import argparse
import json
import os
import socketserver
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from bench.revision import ROOT, unpack
from leadrudder.tool.check import check_files
from leadrudder.tool.template import new_file_text

REVISION_WITHOUT_TOOL = "22bf0fe"  # the last revision without the tool

ROUND_COUNT = 5
APPLICATION_COUNT = 500
_IMPORT_PROGRAM = """
import sys, time
began = time.perf_counter()
import {package}.__main__
took = time.perf_counter() - began
# Not getrusage: its peak is inherited from the process that forked this one.
status = open("/proc/self/status").read()
peak = int(status.partition("VmHWM:")[2].split()[0]) / 1024
others = ("leadrudder.tool", "leadrudder.simulation", "pydantic", "click")
print(1000 * took, peak, sum(m.startswith(others) for m in sys.modules))
"""


def _check_ms(names: list[str]) -> float:
    times_ms = []
    for _ in range(ROUND_COUNT):
        started_at = time.perf_counter()
        completed = check_files(names)
        times_ms.append(1000 * (time.perf_counter() - started_at))
        if completed.exit_code:
            raise RuntimeError(completed.problems[0].text())
    return statistics.median(times_ms)


class _WatchHandler(socketserver.StreamRequestHandler):
    """A discovery watch that sends a list of one server, and then waits."""

    def handle(self) -> None:
        while self.rfile.readline().strip():
            pass
        instance = {
            "instanceId": "a",
            "hostPort": "127.0.0.1:9",
            "zone": "a",
            "machineType": "m",
            "cell": 0,
            "lifecycle": "SERVING",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        line = json.dumps({"generation": 1, "reset": True, "instances": [instance]}).encode() + b"\n"
        self.wfile.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(line), line)
        )
        self.rfile.read(1)


class _DiscoveryServer(socketserver.ThreadingTCPServer):
    daemon_threads = True
    allow_reuse_address = True


@contextmanager
def _discovery() -> Iterator[str]:
    """Runs a discovery service with one server; yields its address."""
    with _DiscoveryServer(("127.0.0.1", 0), _WatchHandler) as server:
        threading.Thread(target=server.serve_forever, daemon=True).start()
        try:
            yield "{}:{}".format(*server.server_address)
        finally:
            server.shutdown()


def _tool_ms(*arguments: str) -> float:
    """Milliseconds of one run of the tool; RuntimeError unless it exits with 0."""
    started_at = time.perf_counter()
    completed = subprocess.run(
        [sys.executable, "-m", "leadrudder.cli", *arguments], capture_output=True, text=True, check=False
    )
    if completed.returncode:
        raise RuntimeError(completed.stderr)
    return 1000 * (time.perf_counter() - started_at)


def _ready_ms(folder: Path) -> float:
    """Milliseconds from the start of a sidecar to that of its application, which prints the time."""
    path = folder / "ready.toml"
    times_ms = []
    with _discovery() as address:
        for round_number in range(ROUND_COUNT):
            listen = f"127.0.0.1:{20_000 + round_number}"
            path.write_text(new_file_text(path.name, "sovellus", "palvelu", listen, address))
            started_at = time.time()
            completed = subprocess.run(
                [sys.executable, "-m", "leadrudder.cli", "sidecar", str(path), "--", "date", "+%s.%N"],
                capture_output=True,
                text=True,
                check=False,
            )
            if completed.returncode:
                raise RuntimeError(completed.stderr)
            times_ms.append(1000 * (float(completed.stdout) - started_at))
    return statistics.median(times_ms)


def _measure_import(tree: Path, package: str) -> list[float]:
    """Milliseconds, peak megabytes and number of foreign modules of an interpreter that imports a node."""
    completed = subprocess.run(
        [sys.executable, "-c", _IMPORT_PROGRAM.replace("{package}", package)],
        capture_output=True,
        text=True,
        check=True,
        cwd=tree,
        env={**os.environ, "PYTHONPATH": str(tree)},
    )
    return [float(word) for word in completed.stdout.split()]


def _import_medians(against: str, folder: Path) -> list[list[float]]:
    """The medians for this tree's node and for another revision's, measured in turn."""
    trees = [(ROOT, "leadrudder"), unpack(against, folder)]
    for tree, package in trees:
        _measure_import(tree, package)  # compiles the modules beforehand
    rows = [[_measure_import(tree, package) for tree, package in trees] for _ in range(3 * ROUND_COUNT)]
    return [
        [statistics.median(column) for column in zip(*runs, strict=True)] for runs in zip(*rows, strict=True)
    ]


def main() -> int:
    """Exit code 1 if the node imports anything of the tool."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--against", default=REVISION_WITHOUT_TOOL, help="the revision to compare with")
    against = parser.parse_args().against
    with tempfile.TemporaryDirectory() as folder:
        names = []
        for i in range(APPLICATION_COUNT):
            path = Path(folder) / f"{i}.toml"
            path.write_text(
                new_file_text(
                    path.name, f"sovellus-{i}", "palvelu", f"127.0.0.1:{10_000 + i}", "127.0.0.1:8500"
                )
            )
            names.append(str(path))
        check_one_ms = _check_ms(names[:1])
        print(f"1 application: {check_one_ms:.1f} ms", file=sys.stderr)
        check_many_ms = _check_ms(names)
        print(f"{APPLICATION_COUNT} applications: {check_many_ms:.0f} ms", file=sys.stderr)
        command_ms = statistics.median(_tool_ms("check", names[0]) for _ in range(ROUND_COUNT))
        ready_ms = _ready_ms(Path(folder))
        print(
            f"check as a command: {command_ms:.0f} ms; sidecar to ready: {ready_ms:.0f} ms", file=sys.stderr
        )
        (import_ms, peak_mb, foreign_modules), (other_import_ms, other_mb, _) = _import_medians(
            against, Path(folder)
        )
    print(
        f"check_1_ms={check_one_ms:.1f} check_{APPLICATION_COUNT}_ms={check_many_ms:.0f}"
        f" check_command_ms={command_ms:.0f} ready_ms={ready_ms:.0f}"
        f" node_import_ms={import_ms:.0f} before_import_ms={other_import_ms:.0f} node_mb={peak_mb:.1f}"
        f" before_mb={other_mb:.1f} node_modules={foreign_modules:.0f} against={against}"
    )
    return 1 if foreign_modules else 0


if __name__ == "__main__":
    sys.exit(main())

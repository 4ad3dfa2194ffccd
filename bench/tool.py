"""What the tool costs, and that the node does not pay for it: python -m bench.tool [--against REV].

The last line gives check_1_ms and check_500_ms (reading, types and checks of so many applications together,
medians of several rounds in one process); node_import_ms and node_mb (a fresh interpreter that imports the
node alone, medians), the same of REV in turn with it (before_…), and node_modules: how many of the tool or
the simulation it imported, which must be 0; ready_ms: from the start of `leadrudder sidecar` to that of the
application, which waits for its node (discovery answers at once), and check_command_ms: the whole of
`leadrudder check` on one file, for the part of it that is the interpreter's and the tool's own start.
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

BEFORE = "22bf0fe"  # the node before there was a tool

ROUNDS = 5
MANY = 500
_IMPORT = """
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
    found = []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        done = check_files(names)
        found.append(1000 * (time.perf_counter() - began))
        if done.exit_code:
            raise RuntimeError(done.problems[0].text())
    return statistics.median(found)


class _Watch(socketserver.StreamRequestHandler):
    """A watch that tells a list of one server, and then waits."""

    def handle(self) -> None:
        while self.rfile.readline().strip():
            pass
        row = {
            "instanceId": "a",
            "hostPort": "127.0.0.1:9",
            "zone": "a",
            "machineType": "m",
            "cell": 0,
            "lifecycle": "SERVING",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        line = json.dumps({"generation": 1, "reset": True, "instances": [row]}).encode() + b"\n"
        self.wfile.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(line), line)
        )
        self.rfile.read(1)


class _Discovery(socketserver.ThreadingTCPServer):
    daemon_threads = True
    allow_reuse_address = True


@contextmanager
def _discovery() -> Iterator[str]:
    """Where a discovery listens that knows one server."""
    with _Discovery(("127.0.0.1", 0), _Watch) as server:
        threading.Thread(target=server.serve_forever, daemon=True).start()
        try:
            yield "{}:{}".format(*server.server_address)
        finally:
            server.shutdown()


def _tool_ms(*arguments: str) -> float:
    """A whole run of the tool; RuntimeError unless it ends with 0."""
    began = time.perf_counter()
    done = subprocess.run(
        [sys.executable, "-m", "leadrudder.cli", *arguments], capture_output=True, text=True, check=False
    )
    if done.returncode:
        raise RuntimeError(done.stderr)
    return 1000 * (time.perf_counter() - began)


def _ready_ms(folder: Path) -> float:
    """From the start of a sidecar to that of its application, which tells the time and ends."""
    path = folder / "ready.toml"
    found = []
    with _discovery() as address:
        for turn in range(ROUNDS):
            listen = f"127.0.0.1:{20_000 + turn}"
            path.write_text(new_file_text(path.name, "sovellus", "palvelu", listen, address))
            began = time.time()
            done = subprocess.run(
                [sys.executable, "-m", "leadrudder.cli", "sidecar", str(path), "--", "date", "+%s.%N"],
                capture_output=True,
                text=True,
                check=False,
            )
            if done.returncode:
                raise RuntimeError(done.stderr)
            found.append(1000 * (float(done.stdout) - began))
    return statistics.median(found)


def _import(tree: Path, package: str) -> list[float]:
    """Milliseconds, peak megabytes and foreign modules of an interpreter that imports a node."""
    done = subprocess.run(
        [sys.executable, "-c", _IMPORT.replace("{package}", package)],
        capture_output=True,
        text=True,
        check=True,
        cwd=tree,
        env={**os.environ, "PYTHONPATH": str(tree)},
    )
    return [float(word) for word in done.stdout.split()]


def _imports(against: str, folder: Path) -> list[list[float]]:
    """The medians of this tree's node and of another revision's, taken in turn."""
    trees = [(ROOT, "leadrudder"), unpack(against, folder)]
    for tree, package in trees:
        _import(tree, package)  # compiles what is not compiled yet
    rows = [[_import(tree, package) for tree, package in trees] for _ in range(3 * ROUNDS)]
    return [
        [statistics.median(column) for column in zip(*one, strict=True)] for one in zip(*rows, strict=True)
    ]


def main() -> int:
    """Exit code 1 if the node imports anything of the tool."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--against", default=BEFORE, help="the revision of the node before")
    against = parser.parse_args().against
    with tempfile.TemporaryDirectory() as folder:
        names = []
        for i in range(MANY):
            path = Path(folder) / f"{i}.toml"
            path.write_text(
                new_file_text(
                    path.name, f"sovellus-{i}", "palvelu", f"127.0.0.1:{10_000 + i}", "127.0.0.1:8500"
                )
            )
            names.append(str(path))
        one = _check_ms(names[:1])
        print(f"1 application: {one:.1f} ms", file=sys.stderr)
        many = _check_ms(names)
        print(f"{MANY} applications: {many:.0f} ms", file=sys.stderr)
        command = statistics.median(_tool_ms("check", names[0]) for _ in range(ROUNDS))
        ready = _ready_ms(Path(folder))
        print(f"check as a command: {command:.0f} ms; sidecar to ready: {ready:.0f} ms", file=sys.stderr)
        (imported, memory, foreign), (then_ms, then_mb, _) = _imports(against, Path(folder))
    print(
        f"check_1_ms={one:.1f} check_{MANY}_ms={many:.0f} check_command_ms={command:.0f} ready_ms={ready:.0f}"
        f" node_import_ms={imported:.0f} before_import_ms={then_ms:.0f} node_mb={memory:.1f}"
        f" before_mb={then_mb:.1f} node_modules={foreign:.0f} against={against}"
    )
    return 1 if foreign else 0


if __name__ == "__main__":
    sys.exit(main())

"""What the tool costs, and that the node does not pay for it: python -m bench.tool.

The last line gives check_1_ms and check_500_ms (reading, types and checks of so many applications together,
medians of several rounds in one process), node_import_ms and node_mb (a fresh interpreter that imports the
node alone, medians), and node_modules: how many of the tool or the simulation it imported, which must be 0.
"""

from __future__ import annotations

import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from leadrudder.tool.check import check
from leadrudder.tool.template import template

ROUNDS = 5
MANY = 500
_IMPORT = """
import sys, time
began = time.perf_counter()
import leadrudder.__main__
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
        done = check(names)
        found.append(1000 * (time.perf_counter() - began))
        if done.exit_code:
            raise RuntimeError(done.problems[0].text())
    return statistics.median(found)


def main() -> int:
    """Exit code 1 if the node imports anything of the tool."""
    with tempfile.TemporaryDirectory() as folder:
        names = []
        for i in range(MANY):
            path = Path(folder) / f"{i}.toml"
            path.write_text(
                template(path.name, f"sovellus-{i}", "palvelu", f"127.0.0.1:{10_000 + i}", "127.0.0.1:8500")
            )
            names.append(str(path))
        one = _check_ms(names[:1])
        print(f"1 application: {one:.1f} ms", file=sys.stderr)
        many = _check_ms(names)
        print(f"{MANY} applications: {many:.0f} ms", file=sys.stderr)
    rows = []
    for _ in range(ROUNDS):
        done = subprocess.run([sys.executable, "-c", _IMPORT], capture_output=True, text=True, check=True)
        rows.append([float(word) for word in done.stdout.split()])
    imported, memory, foreign = (statistics.median(column) for column in zip(*rows, strict=True))
    print(
        f"check_1_ms={one:.1f} check_{MANY}_ms={many:.0f} node_import_ms={imported:.0f} node_mb={memory:.1f}"
        f" node_modules={foreign:.0f}"
    )
    return 1 if foreign else 0


if __name__ == "__main__":
    sys.exit(main())

#!/bin/bash
# Builds what the scripts of cases 4 to 8 start besides the project's own programs: their stand-ins, in
# review/small_mesh, are plain Python and need no library, so they are only compiled in memory to see that they can be.
cd "$(dirname "$0")" && exec python3 -B - <<'PYTHON'
from pathlib import Path

for path in sorted([*Path("small_mesh").glob("*.py"), *Path(".").glob("[4-8]/*.py")]):
    compile(path.read_text(), str(path), "exec")
    print("compiled", path)
PYTHON

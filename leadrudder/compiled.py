"""The decisions compiled to machine code by mypyc, where that was built from the sources as they stand.

leadrudder/compile.py puts the modules named here into a folder of the interpreter's own environment (a
virtual environment's, as a rule).  Where there are none, where a source has changed since, or where the
environment variable LEADRUDDER_PURE is set, the sources are interpreted: the same code, five times slower.
"""

from __future__ import annotations

import hashlib
import importlib
import importlib.util
import os
import sys
from pathlib import Path

MODULES = (
    "interface",
    "selection_context",
    "policy.admission",
    "policy.attempts",
    "policy.automaton",
    "policy.decide",
    "policy.health",
    "policy.placement",
    "recovery.limit",
    "recovery.strain",
    "state.capacity",
    "state.estimators",
    "state.backoff",
    "state.list_calls",
    "state.server_table",
    "state.records",
    "state.reports",
    "state.subsetting",
    "state.least_loaded",
    "state.timers",
    "state.weights",
    "state.request_value",
)
PACKAGE = Path(__file__).parent
PURE = "LEADRUDDER_PURE"
STAMP = "stamp"
SHARED = "*__mypyc.*.so"  # what all compiled modules rest on; mypyc names it by what is in it


def folder() -> Path:
    """Where the compiled modules of this interpreter's environment are kept."""
    return Path(sys.prefix) / "leadrudder-compiled"


def source(module: str) -> Path:
    return PACKAGE / (module.replace(".", "/") + ".py")


def stamp() -> str:
    """What the compiled modules must have been built from: this interpreter, and these sources."""
    digest = hashlib.sha256(sys.version.encode())
    for module in MODULES:
        digest.update(source(module).read_bytes())
    return digest.hexdigest()


def prefer(kept: Path | None = None) -> bool:
    """Have the compiled modules found before their sources; False where the sources are to be interpreted.

    To be called while no module that is named here has been imported.
    """
    kept = kept or folder()
    if os.environ.get(PURE) or not _load_shared(kept):
        return False
    for package in (
        "leadrudder",
        "leadrudder.node",
        "leadrudder.policy",
        "leadrudder.recovery",
        "leadrudder.state",
    ):
        path = importlib.import_module(package).__path__
        path.insert(0, str(kept / package.replace(".", "/")))
    return True


def _load_shared(kept: Path) -> bool:
    """Load what all compiled modules rest on; False where there is none that may be used."""
    try:
        if (kept / STAMP).read_text() != stamp():
            return False  # the sources have changed: what was built from others must not decide
        shared = next(kept.glob(SHARED))
    except (OSError, StopIteration):
        return False
    name = shared.name.partition(".")[0]
    spec = importlib.util.spec_from_file_location(name, shared)
    if spec is None or spec.loader is None:
        return False
    try:
        module = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(module)
    except ImportError:
        return False  # built for another machine
    sys.modules[name] = module
    return True

"""Loads the decision modules as compiled by mypyc, if they were built from the current sources.

leadrudder/compile.py installs the modules listed here into a folder of the interpreter's environment (usually
a virtual environment).  If they are missing, if a source has changed since, or if the environment variable
LEADRUDDER_PURE is set, the sources are interpreted: the same behaviour, five times slower.
"""

from __future__ import annotations

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
    "recovery.saturation",
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
# Fused multiply-add, the default of compilers for arm64, rounds differently from the interpreter.
COMPILER_FLAGS = ["-ffp-contract=off"]
PACKAGE_PATH = Path(__file__).parent
PURE_PYTHON_VARIABLE = "LEADRUDDER_PURE"
STAMP_FILE = "stamp"
SHARED_LIBRARY_PATTERN = "*__mypyc.*.so"  # used by all compiled modules; mypyc names it by its contents


def compiled_folder() -> Path:
    """The folder of the compiled modules in this interpreter's environment."""
    return Path(sys.prefix) / "leadrudder-compiled"


def source_path(module: str) -> Path:
    return PACKAGE_PATH / (module.replace(".", "/") + ".py")


def build_stamp() -> str:
    import hashlib  # only where there is a build: it would delay the start of every program

    build = (sys.version, os.uname().machine, *COMPILER_FLAGS)
    digest = hashlib.sha256("\n".join(build).encode())
    for module in MODULES:
        digest.update(source_path(module).read_bytes())
    return digest.hexdigest()


def use_compiled_modules(module_folder: Path | None = None) -> bool:
    """Puts the compiled modules before their sources on the import path; False if there are none to use.

    Must be called before any of MODULES is imported.
    """
    module_folder = module_folder or compiled_folder()
    if os.environ.get(PURE_PYTHON_VARIABLE) or not _load_shared_library(module_folder):
        return False
    for package in (
        "leadrudder",
        "leadrudder.node",
        "leadrudder.policy",
        "leadrudder.recovery",
        "leadrudder.state",
    ):
        path = importlib.import_module(package).__path__
        path.insert(0, str(module_folder / package.replace(".", "/")))
    return True


def _load_shared_library(module_folder: Path) -> bool:
    """Loads the library shared by all compiled modules; False if it is missing, outdated or unusable."""
    try:
        if (module_folder / STAMP_FILE).read_text() != build_stamp():
            return False  # the sources have changed since the build
        shared = next(module_folder.glob(SHARED_LIBRARY_PATTERN))
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
        return False  # built for another platform
    sys.modules[name] = module
    return True

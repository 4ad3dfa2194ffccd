"""The decisions compiled to machine code by mypyc, where that was built from the sources as they stand.

    python -m leadrudder.compiled

compiles the modules named here into a folder of the interpreter's own environment (a virtual environment's,
as a rule) and says in one line what came of it.  Where it cannot be built, where a source has changed since,
or where the environment variable LEADRUDDER_PURE is set, the sources are interpreted: the same code, some
five times slower.  Nothing but speed hangs on it, so a failed build is no error.
"""

from __future__ import annotations

import hashlib
import importlib
import importlib.util
import os
import shutil
import sys
import tempfile
from pathlib import Path

MODULES = (
    "estimators",
    "interface",
    "list_calls",
    "listed",
    "policy.admission",
    "policy.attempts",
    "policy.automaton",
    "policy.decide",
    "policy.health",
    "policy.placement",
    "records",
    "rings",
    "timers",
    "weights",
)
PACKAGE = Path(__file__).parent
PURE = "LEADRUDDER_PURE"
_STAMP = "stamp"
_SHARED = "*__mypyc.*.so"  # what all compiled modules rest on; mypyc names it by what is in it


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
    for package in ("leadrudder", "leadrudder.policy"):
        path = importlib.import_module(package).__path__
        path.insert(0, str(kept / package.replace(".", "/")))
    return True


def _load_shared(kept: Path) -> bool:
    """Load what all compiled modules rest on; False where there is none that may be used."""
    try:
        if (kept / _STAMP).read_text() != stamp():
            return False  # the sources have changed: what was built from others must not decide
        shared = next(kept.glob(_SHARED))
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


def build(kept: Path | None = None) -> str:
    """Compile, unless what is kept is up to date; returns what came of it in one line."""
    kept = kept or folder()
    wanted = stamp()
    if (kept / _STAMP).is_file() and (kept / _STAMP).read_text() == wanted:
        return f"compiled modules are up to date: {kept}"
    try:
        with tempfile.TemporaryDirectory() as scratch:
            _compile(Path(scratch))
            _keep(Path(scratch), kept, wanted)
    except Exception as error:  # no compiler, no headers, no mypy: whatever it is, the sources still serve
        return f"not compiled, the sources are interpreted: {type(error).__name__}: {error}"
    return f"compiled {len(MODULES)} modules into {kept}"


def _compile(scratch: Path) -> None:
    """The extensions beside copies of their sources."""
    from mypyc.build import mypycify
    from setuptools import Distribution

    files = []
    for module in MODULES:
        target = scratch / "leadrudder" / source(module).relative_to(PACKAGE)
        target.parent.mkdir(parents=True, exist_ok=True)
        (target.parent / "__init__.py").touch()
        shutil.copyfile(source(module), target)
        files.append(str(target.relative_to(scratch)))
    here, sys_argv = os.getcwd(), sys.argv
    os.chdir(scratch)
    try:
        sys.argv = ["setup.py"]  # setuptools looks there
        extensions = mypycify(files, opt_level="2", debug_level="0")
        distribution = Distribution({"name": "leadrudder-compiled", "ext_modules": extensions})
        command = distribution.get_command_obj("build_ext")
        command.inplace = True
        command.ensure_finalized()
        command.run()
    finally:
        sys.argv = sys_argv
        os.chdir(here)


def _keep(scratch: Path, kept: Path, wanted: str) -> None:
    """Put the extensions where they are looked for, whole or not at all."""
    new = kept.with_name(f"{kept.name}.{os.getpid()}")
    shutil.rmtree(new, ignore_errors=True)
    for path in [*scratch.glob(_SHARED), *(scratch / "leadrudder").rglob("*.so")]:
        target = new / path.relative_to(scratch)
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(path, target)
    (new / _STAMP).write_text(wanted)
    shutil.rmtree(kept, ignore_errors=True)
    new.rename(kept)


def main() -> int:
    """Exit code 0, also where nothing could be compiled."""
    print(build())
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""python -m leadrudder.compile: compiles the decisions, and says in one line what came of it.

What it needs beside the pinned packages is a C compiler and Python's headers.  Without them the sources are
interpreted, as leadrudder/compiled.py has it.
"""

from __future__ import annotations

import os
import shutil
import sys
import tempfile
from pathlib import Path

from leadrudder.compiled import MODULES, PACKAGE, SHARED, STAMP, folder, source, stamp


def build(kept: Path | None = None) -> str:
    """Compile, unless what is kept is up to date; returns what came of it in one line."""
    kept = kept or folder()
    wanted = stamp()
    if (kept / STAMP).is_file() and (kept / STAMP).read_text() == wanted:
        return f"compiled modules are up to date: {kept}"
    try:
        with tempfile.TemporaryDirectory() as scratch:
            _compile(Path(scratch))
            _keep(Path(scratch), kept, wanted)
    except (Exception, SystemExit) as error:  # mypyc ends the process at what it cannot take
        # No compiler, no headers, no mypy: whatever it is, the sources still serve.
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
    for path in [*scratch.glob(SHARED), *(scratch / "leadrudder").rglob("*.so")]:
        target = new / path.relative_to(scratch)
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(path, target)
    (new / STAMP).write_text(wanted)
    shutil.rmtree(kept, ignore_errors=True)
    new.rename(kept)


def main() -> int:
    """Exit code 0, also where nothing could be compiled."""
    print(build())
    return 0


if __name__ == "__main__":
    sys.exit(main())

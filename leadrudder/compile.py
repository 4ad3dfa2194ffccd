"""python -m leadrudder.compile: compiles the decision modules with mypyc, and prints the result in one line.

Besides the pinned packages this needs a C compiler and the Python headers.  Without them the sources are
interpreted (see leadrudder/compiled.py).
"""

from __future__ import annotations

import os
import shutil
import sys
import tempfile
from pathlib import Path

from leadrudder.compiled import (
    COMPILER_FLAGS,
    MODULES,
    PACKAGE_PATH,
    SHARED_LIBRARY_PATTERN,
    STAMP_FILE,
    build_stamp,
    compiled_folder,
    source_path,
)


def build(target_folder: Path | None = None) -> str:
    """Compiles, unless the compiled modules are up to date; returns the result in one line."""
    target_folder = target_folder or compiled_folder()
    expected_stamp = build_stamp()
    if (target_folder / STAMP_FILE).is_file() and (target_folder / STAMP_FILE).read_text() == expected_stamp:
        return f"compiled modules are up to date: {target_folder}"
    try:
        with tempfile.TemporaryDirectory() as scratch:
            _compile(Path(scratch))
            _install(Path(scratch), target_folder, expected_stamp)
    except (Exception, SystemExit) as error:  # mypyc raises SystemExit on code that it cannot compile
        # Whatever is missing (compiler, headers, mypy), the sources can still be interpreted.
        return f"not compiled, the sources are interpreted: {type(error).__name__}: {error}"
    return f"compiled {len(MODULES)} modules into {target_folder}"


def _compile(scratch: Path) -> None:
    """Builds the extensions next to copies of their sources."""
    from mypyc.build import mypycify
    from setuptools import Distribution

    files = []
    for module in MODULES:
        target = scratch / "leadrudder" / source_path(module).relative_to(PACKAGE_PATH)
        target.parent.mkdir(parents=True, exist_ok=True)
        (target.parent / "__init__.py").touch()
        shutil.copyfile(source_path(module), target)
        files.append(str(target.relative_to(scratch)))
    previous_folder, sys_argv = os.getcwd(), sys.argv
    os.chdir(scratch)
    try:
        sys.argv = ["setup.py"]  # read by setuptools
        extensions = mypycify(files, opt_level="2", debug_level="0")
        for extension in extensions:
            extension.extra_compile_args += COMPILER_FLAGS
        distribution = Distribution({"name": "leadrudder-compiled", "ext_modules": extensions})
        command = distribution.get_command_obj("build_ext")
        command.inplace = True
        command.ensure_finalized()
        command.run()
    finally:
        sys.argv = sys_argv
        os.chdir(previous_folder)


def _install(scratch: Path, target_folder: Path, expected_stamp: str) -> None:
    """Replaces the folder that the extensions are loaded from, by a complete one."""
    staging = target_folder.with_name(f"{target_folder.name}.{os.getpid()}")
    shutil.rmtree(staging, ignore_errors=True)
    for path in [*scratch.glob(SHARED_LIBRARY_PATTERN), *(scratch / "leadrudder").rglob("*.so")]:
        target = staging / path.relative_to(scratch)
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(path, target)
    (staging / STAMP_FILE).write_text(expected_stamp)
    shutil.rmtree(target_folder, ignore_errors=True)
    staging.rename(target_folder)


def main() -> int:
    """Exit code 0, also if nothing could be compiled."""
    print(build())
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Installs the libraries of a requirements file into a folder, unless they are there and can be used.

    python3 deploy/build.py target requirements-mesh.txt   # libraries of the mesh's programs, in target/deps
    python3 deploy/build.py .venv requirements.txt         # a virtual environment

The folder is made anew if its build broke off, if the requirements have changed, or if it was built by
another Python or on another kind of machine.  The exit code is 1 if the libraries cannot be installed or
loaded.
"""

import os
import shutil
import subprocess
import sys
import sysconfig
from pathlib import Path

STAMP_FILE = "built-from"  # in the folder, written last
ELF_MAGIC = b"\x7fELF"
ELF_KIND, ELF_MACHINE = slice(4, 6), slice(18, 20)  # word size and byte order; processor
ELF_HEADER_BYTES = 20
MESH_PROGRAMS = ("leadrudder.data_plane.program", "leadrudder.control_plane.program")


def stamp(requirements: Path) -> str:
    """What a folder is built from: the interpreter's binary interface, and the requirements."""
    return f"{sysconfig.get_config_var('SOABI')}\n{requirements.read_text()}"


def machine_of(path: Path) -> bytes | None:
    """The kind of machine that a program or library is made for; None if it is neither."""
    with path.open("rb") as file:
        header = file.read(ELF_HEADER_BYTES)
    return header[ELF_KIND] + header[ELF_MACHINE] if header.startswith(ELF_MAGIC) else None


def libraries_fit(folder: Path, interpreter: Path) -> bool:
    """Whether all compiled libraries in a folder are made for the machine of the interpreter."""
    machine = machine_of(interpreter)
    libraries = (path for path in folder.rglob("*.so*") if path.is_file())
    return all(machine_of(library) == machine for library in libraries)


def can_import(python: str, dependencies: str, modules: tuple[str, ...]) -> bool:
    """Whether a new interpreter can import the modules."""
    environment = {**os.environ, "PYTHONPATH": dependencies}
    command = [python, "-B", "-c", f"import {', '.join(modules)}"]
    return subprocess.run(command, env=environment, check=False).returncode == 0


def is_current(folder: Path, requirements: Path) -> bool:
    """Whether a folder was built completely, from these requirements and for this interpreter."""
    try:
        built_from = (folder / STAMP_FILE).read_text()
    except (OSError, UnicodeDecodeError):
        return False
    return built_from == stamp(requirements) and libraries_fit(folder, Path(sys.executable).resolve())


def install(folder: Path, requirements: Path, *, is_environment: bool) -> None:
    """Make a folder anew; raises CalledProcessError if that fails."""
    shutil.rmtree(folder, ignore_errors=True)
    if is_environment:
        subprocess.run([sys.executable, "-m", "venv", str(folder)], check=True)
        pip = [str(folder / "bin/python"), "-m", "pip", "-q", "install"]
    else:
        folder.mkdir()
        pip = [sys.executable, "-m", "pip", "install", "-q", "--target", str(folder / "deps")]
    subprocess.run([*pip, "-r", str(requirements)], check=True)
    (folder / STAMP_FILE).write_text(stamp(requirements))


def main(arguments: list[str]) -> int:
    folder, requirements = Path(arguments[0]), Path(arguments[1])
    is_environment = folder.name == ".venv"
    python = str(folder / "bin/python") if is_environment else sys.executable
    dependencies = "" if is_environment else str(folder / "deps")
    modules = ("leadrudder.node.node",) if is_environment else MESH_PROGRAMS
    if is_current(folder, requirements) and can_import(python, dependencies, modules):
        return 0
    try:
        install(folder, requirements, is_environment=is_environment)
    except (OSError, subprocess.CalledProcessError) as error:
        print(f"build of {folder}: {error}", file=sys.stderr)
        return 1
    if not can_import(python, dependencies, modules):
        print(f"build of {folder}: the programs cannot be imported", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

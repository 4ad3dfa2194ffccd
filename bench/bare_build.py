"""Checks that the mesh builds on a machine with only the packages that deploy/system.toml lists.

    python -m bench.bare_build

The files are copied without the outputs of earlier builds, and the build runs in the copy. Its PATH has only
a folder of links to the programs of Debian's essential packages, of the listed packages and of their
dependencies, so that a call of any other program fails. PYTHONVERBOSE reveals the module files that Python
loads; one of any other package is reported, too. Both programs are then started with the command of the
deploy file, which must fail for lack of a settings file and for no other reason.
"""

from __future__ import annotations

import os
import re
import shutil
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Iterable
from pathlib import Path

PROGRAM_FOLDERS = ("/bin/", "/sbin/", "/usr/bin/", "/usr/sbin/")
NOT_COPIED = (".git", ".venv", "target", "journal", "__pycache__", ".*_cache")
BUILD_TIMEOUT_S = 900.0
START_TIMEOUT_S = 60.0
SYSTEM_MODULE_PREFIX = "/usr/lib/python3"
LOADED_MODULE = re.compile(r"(?:matches |code object from ')(/[^'\s]+\.py)(?=[\s'])")
NO_SETTINGS_MESSAGE = "LEADRUDDER_NODE_FILE is not set"


def _query_packages(*fields: str) -> list[list[str]]:
    """One row of these fields for each installed package."""
    format_fields = "\\t".join(f"${{{field}}}" for field in fields) + "\\n"
    result = subprocess.run(
        ["dpkg-query", "-W", f"-f=${{db:Status-Abbrev}}\\t{format_fields}"],
        capture_output=True,
        text=True,
        check=True,
    )
    rows = (line.split("\t") for line in result.stdout.splitlines())
    return [row[1:] for row in rows if row[0].startswith("ii")]


def with_dependencies(packages: Iterable[str]) -> set[str]:
    """The packages and all installed packages that they depend on, directly or indirectly."""
    depends: dict[str, list[str]] = {}
    provided: dict[str, list[str]] = {}
    for package, pre_depends, depend, provides in _query_packages(
        "Package", "Pre-Depends", "Depends", "Provides"
    ):
        parts = re.split(r"[,|]", f"{pre_depends},{depend}")
        depends[package] = [re.sub(r"[ (:].*", "", part.strip()) for part in parts if part.strip()]
        for part in provides.split(","):
            provided.setdefault(re.sub(r"[ (:].*", "", part.strip()), []).append(package)
    found: set[str] = set()
    pending = list(packages)
    while pending:
        name = pending.pop()
        for package in [name] if name in depends else provided.get(name, []):
            if package not in found:
                found.add(package)
                pending += depends[package]
    return found


def files_of(packages: Iterable[str]) -> set[str]:
    result = subprocess.run(["dpkg", "-L", *sorted(packages)], capture_output=True, text=True, check=True)
    return set(result.stdout.splitlines())


def link_programs(files: Iterable[str], folder: Path) -> None:
    """Link all programs among these files into the folder."""
    for path in sorted(files):
        if path.startswith(PROGRAM_FOLDERS) and os.access(path, os.X_OK) and not os.path.isdir(path):
            link = folder / Path(path).name
            if not link.exists():
                link.symlink_to(path)


def build_and_start(root: Path, packages: list[str]) -> str:
    """Describes the failure; empty if the build succeeds and both programs start."""
    deploy = tomllib.loads((root / "deploy/system.toml").read_text())
    with tempfile.TemporaryDirectory(prefix="bare-build-") as temporary:
        programs, copy = Path(temporary, "bin"), Path(temporary, "copy")
        programs.mkdir()
        essential = [
            name for name, is_essential in _query_packages("Package", "Essential") if is_essential == "yes"
        ]
        files = files_of(with_dependencies([*essential, *packages]))
        link_programs(files, programs)
        shutil.copytree(root, copy, ignore=shutil.ignore_patterns(*NOT_COPIED))
        environment = {"PATH": str(programs), "HOME": temporary, "PYTHONVERBOSE": "1"}
        build_result = subprocess.run(
            ["/bin/sh", "-c", deploy["build"]],
            cwd=copy,
            env=environment,
            capture_output=True,
            text=True,
            timeout=BUILD_TIMEOUT_S,
            check=False,
        )
        if build_result.returncode:
            return (
                f"the build failed with exit code {build_result.returncode}: "
                f"{build_result.stderr.strip()[-600:]}"
            )
        loaded = {
            path
            for path in LOADED_MODULE.findall(build_result.stderr)
            if path.startswith(SYSTEM_MODULE_PREFIX)
        }
        if not loaded:
            return "Python did not report the modules that it loaded"
        if unlisted_modules := sorted(loaded - files):
            return f"{len(unlisted_modules)} modules of unlisted packages, for example {unlisted_modules[0]}"
        del environment["PYTHONVERBOSE"]
        environment["PYTHONPATH"] = str(copy / "target/deps")
        for name, role in deploy["roles"].items():
            program, *arguments = role["run"].split()
            start_result = subprocess.run(
                [str(programs / program), *arguments],
                cwd=copy,
                env=environment,
                capture_output=True,
                text=True,
                timeout=START_TIMEOUT_S,
                check=False,
            )
            if NO_SETTINGS_MESSAGE not in start_result.stderr + start_result.stdout:
                return f"role {name}: {(start_result.stderr + start_result.stdout).strip()[-600:]}"
    return ""


def main() -> int:
    """The exit code is 1 if the build needs a package that is not listed."""
    root = Path(__file__).resolve().parent.parent
    packages = tomllib.loads((root / "deploy/system.toml").read_text())["packages"]
    missing = sorted(set(packages) - {row[0] for row in _query_packages("Package")})
    if missing:
        print(f"bare build: not installed here: {', '.join(missing)}")
        return 1
    failure = build_and_start(root, packages)
    print(f"bare build with {', '.join(packages)}: {failure or 'builds, and both programs start'}")
    return 1 if failure else 0


if __name__ == "__main__":
    sys.exit(main())

"""The decisions of another revision, unpacked and compiled beside the tool, so that both are played alike.

Only the decisions are the other revision's: the model, the files and the figures are the tool's own.
"""

from __future__ import annotations

import contextlib
import hashlib
import os
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

PACKAGE = Path(__file__).parent.parent
REPOSITORY = PACKAGE.parent
# What the module is made of; older revisions have looks.py for selection_context.py.
POLICY_SOURCES = ("interface.py", "looks.py", "selection_context.py", "policy", "recovery", "state")
MODEL_SOURCES = tuple(
    f"experiment/{name}.py"
    for name in (
        "baselines", "callers", "clock", "draw", "figures", "fleet", "limits", "lists", "node", "play",
        "server", "spec", "troubles", "whole",
    )
)  # fmt: skip
REQUIRED_MODULE = "leadrudder/policy/decide.py"

_COMPILE_SCRIPT = """
import sys
from pathlib import Path
sys.path.insert(0, sys.argv[1])
from leadrudder.compile import build
print(build(Path(sys.argv[2])))
"""


class RevisionError(Exception):
    """A revision that is not there, or whose decisions cannot be played."""


@dataclass(frozen=True)
class PolicyRevision:
    """Where the sources of the decisions are, and what tells them from others; tree None: as they stand."""

    digest: str
    tree: Path | None = None
    compiled: Path | None = None


def digest_sources(package: Path, names: tuple[str, ...]) -> str:
    """Of the Python sources below these names."""
    total = hashlib.blake2b(digest_size=16)
    for name in names:
        path = package / name
        files = [path] if path.is_file() else sorted(path.rglob("*.py"))
        for file in files:
            text = file.read_bytes()
            total.update(f"{file.relative_to(package)}:{len(text)}:".encode() + text)
    return total.hexdigest()


def working_tree_policy() -> PolicyRevision:
    """The decisions as they stand here."""
    return PolicyRevision(digest_sources(PACKAGE, POLICY_SOURCES))


def model_digest() -> str:
    """What tells this model from others: its own sources."""
    return digest_sources(PACKAGE, MODEL_SOURCES)


def fetch_revision(ref: str, cache: Path) -> PolicyRevision:
    """The decisions of a git revision, below the cache; RevisionError for what cannot be had."""
    if ref.startswith("-"):
        raise RevisionError(f"{ref!r} is no revision")
    commit = _git("rev-parse", "--verify", "--quiet", f"{ref}^{{commit}}", ref=ref).decode().strip()
    tree = cache / commit
    if not (tree / "whole").exists():
        archive = _git("archive", commit, ref=ref)
        part = cache / f"{commit}.{os.getpid()}"
        part.mkdir(parents=True, exist_ok=True)
        subprocess.run(["tar", "-xf", "-", "-C", str(part)], input=archive, check=True)
        (part / "whole").touch()
        with contextlib.suppress(OSError):  # another run of the tool was quicker
            part.rename(tree)
    if not (tree / REQUIRED_MODULE).is_file():
        raise RevisionError(
            f"revision {ref} has no {REQUIRED_MODULE}: its decisions are older than this tool can play"
        )
    compiled = cache / f"{commit}.prefix" / "leadrudder-compiled"
    if (tree / "leadrudder" / "compile.py").is_file() and not compiled.exists():
        compiled.parent.mkdir(exist_ok=True)
        # What cannot be compiled is interpreted: slower, and the same.
        arguments = [sys.executable, "-c", _COMPILE_SCRIPT, str(tree), str(compiled)]
        subprocess.run(arguments, cwd=tree, check=False, capture_output=True)
    found = compiled.parent if compiled.exists() else None
    return PolicyRevision(digest_sources(tree / "leadrudder", POLICY_SOURCES), tree, found)


def _git(*words: str, ref: str) -> bytes:
    try:
        return subprocess.run(["git", *words], cwd=REPOSITORY, check=True, capture_output=True).stdout
    except (OSError, subprocess.CalledProcessError):
        raise RevisionError(f"there is no revision {ref!r} in {REPOSITORY.name}'s history") from None

"""Provides the policy of another git revision, unpacked and compiled, to compare it with this one.

Only the policy comes from that revision; model, file format and figures are the tool's own. The exception is
the whole model, which plays the revision's node too: a revision with the former names needs the former tool.
"""

from __future__ import annotations

import contextlib
import hashlib
import os
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

PACKAGE = Path(__file__).parent.parent
REPOSITORY = PACKAGE.parent
# Sources of the policy; older revisions have looks.py in place of selection_context.py.
POLICY_SOURCES = ("interface.py", "looks.py", "selection_context.py", "policy", "recovery", "state")
MODEL_SOURCES = tuple(
    f"experiment/{name}.py"
    for name in (
        "baselines", "callers", "clock", "draw", "figures", "fleet", "limits", "lists", "node", "play",
        "server", "spec", "troubles", "whole",
    )
)  # fmt: skip
REQUIRED_MODULE = "leadrudder/policy/decide.py"
LAST_REVISION_WITH_FORMER_NAMES = "316c7cc"
FIRST_MODULE_WITH_PRESENT_NAMES = "selection_context.py"
# Stays as it is in that revision, whose worker compares the digest of these sources.
FORMER_MODEL_SOURCES = tuple(
    f"experiment/{name}.py"
    for name in (
        "baselines", "callers", "clock", "draw", "figures", "fleet", "limits", "lists", "node", "play",
        "server", "spec", "troubles", "whole",
    )
)  # fmt: skip

_COMPILE_SCRIPT = """
import sys
from pathlib import Path
sys.path.insert(0, sys.argv[1])
from leadrudder.compile import build
print(build(Path(sys.argv[2])))
"""


class RevisionError(Exception):
    """The revision does not exist, or the tool cannot run its policy."""


@dataclass(frozen=True)
class PolicyRevision:
    """Location and digest of a policy's sources; tree is None for the working tree.

    compiled: the prefix below which its compiled modules are.
    """

    digest: str
    tree: Path | None = None
    compiled: Path | None = None


@dataclass(frozen=True)
class Tool:
    """The package whose worker executes a run, and the digest of the model in it."""

    package: Path
    model_digest: str

    @property
    def worker_script(self) -> Path:
        return self.package / "experiment" / "worker.py"


def digest_sources(package: Path, names: tuple[str, ...]) -> str:
    """Return a digest of the Python sources at or below these names."""
    total = hashlib.blake2b(digest_size=16)
    for name in names:
        path = package / name
        files = [path] if path.is_file() else sorted(path.rglob("*.py"))
        for file in files:
            text = file.read_bytes()
            total.update(f"{file.relative_to(package)}:{len(text)}:".encode() + text)
    return total.hexdigest()


def working_tree_policy() -> PolicyRevision:
    """Return the policy of the working tree."""
    return PolicyRevision(digest_sources(PACKAGE, POLICY_SOURCES))


def model_digest() -> str:
    """Return the digest of the model's sources."""
    return digest_sources(PACKAGE, MODEL_SOURCES)


def tool_for(revision: PolicyRevision, model: str, fetch: Callable[[str], PolicyRevision]) -> Tool:
    """Return the tool that can play this revision: the former one for the whole model with former names."""
    if model != "whole" or not _has_former_names(revision):
        return Tool(PACKAGE, model_digest())
    try:
        former = fetch(LAST_REVISION_WITH_FORMER_NAMES)
    except RevisionError as error:
        raise RevisionError(
            "the whole model of a revision with the former names needs the tool of"
            f" {LAST_REVISION_WITH_FORMER_NAMES}: {error}"
        ) from None
    assert former.tree is not None
    package = former.tree / "leadrudder"
    return Tool(package, digest_sources(package, FORMER_MODEL_SOURCES))


def _has_former_names(revision: PolicyRevision) -> bool:
    if revision.tree is None:
        return False
    return not (revision.tree / "leadrudder" / FIRST_MODULE_WITH_PRESENT_NAMES).is_file()


def fetch_revision(ref: str, cache: Path) -> PolicyRevision:
    """Unpack the policy of a git revision into the cache; raises RevisionError if that is not possible."""
    if ref.startswith("-"):
        raise RevisionError(f"{ref!r} is no revision")
    commit = _git("rev-parse", "--verify", "--quiet", f"{ref}^{{commit}}", ref=ref).decode().strip()
    tree = cache / commit
    if not (tree / "whole").exists():
        archive = _git("archive", commit, ref=ref)
        partial = cache / f"{commit}.{os.getpid()}"
        partial.mkdir(parents=True, exist_ok=True)
        subprocess.run(["tar", "-xf", "-", "-C", str(partial)], input=archive, check=True)
        (partial / "whole").touch()
        with contextlib.suppress(OSError):  # another process has unpacked it meanwhile
            partial.rename(tree)
    if not (tree / REQUIRED_MODULE).is_file():
        raise RevisionError(f"revision {ref} has no {REQUIRED_MODULE}: its policy is too old for this tool")
    compiled = cache / f"{commit}.prefix" / "leadrudder-compiled"
    if (tree / "leadrudder" / "compile.py").is_file() and not compiled.exists():
        compiled.parent.mkdir(exist_ok=True)
        # If compilation fails, the policy is interpreted: slower, with the same results.
        command = [sys.executable, "-c", _COMPILE_SCRIPT, str(tree), str(compiled)]
        subprocess.run(command, cwd=tree, check=False, capture_output=True)
    prefix = compiled.parent if compiled.exists() else None
    return PolicyRevision(digest_sources(tree / "leadrudder", POLICY_SOURCES), tree, prefix)


def _git(*arguments: str, ref: str) -> bytes:
    try:
        return subprocess.run(["git", *arguments], cwd=REPOSITORY, check=True, capture_output=True).stdout
    except (OSError, subprocess.CalledProcessError):
        raise RevisionError(f"there is no revision {ref!r} in {REPOSITORY.name}'s history") from None

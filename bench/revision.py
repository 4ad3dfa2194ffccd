"""Unpacks another revision of this repository, to compare measurements with it."""

from __future__ import annotations

import subprocess
from pathlib import Path

ROOT = Path(__file__).parent.parent


def unpack(revision: str, folder: Path) -> tuple[Path, str]:
    """Unpack a revision below the folder; returns its tree and the name of its package.

    Raises subprocess.CalledProcessError if there is no such revision.
    """
    tree = folder / "other"
    tree.mkdir()
    archive = subprocess.run(["git", "archive", revision], cwd=ROOT, check=True, capture_output=True).stdout
    subprocess.run(["tar", "-xf", "-", "-C", str(tree)], input=archive, check=True)
    return tree, "leadrudder" if (tree / "leadrudder").is_dir() else "fawngw"

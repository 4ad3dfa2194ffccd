"""The compiled decisions: the same as the sources', used only where built from them, never required."""

from __future__ import annotations

import importlib.util
import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from leadrudder import compile, compiled

ROOT = Path(__file__).parent.parent


def play(**environment: str) -> tuple[bool, str]:
    """Whether the sources were interpreted, and the digest of the course."""
    kept = {name: value for name, value in os.environ.items() if name != compiled.PURE}
    done = subprocess.run(
        [sys.executable, "-m", "tests.random_events"],
        cwd=ROOT,
        env={**kept, **environment},
        capture_output=True,
        text=True,
        check=True,
    )
    interpreted, digest = done.stdout.split()
    return interpreted == "True", digest


def test_the_compiled_decisions_are_those_of_the_sources_to_the_last_digit() -> None:
    if shutil.which("cc") is None and shutil.which("gcc") is None:
        pytest.skip("no compiler: the sources are interpreted here")
    assert "compiled" in compile.build().split(":")[0]
    interpreted, of_compiled = play()
    assert not interpreted, "what was built is not used"
    pure, of_sources = play(**{compiled.PURE: "1"})
    assert pure
    assert of_compiled == of_sources


@pytest.fixture
def kept(tmp_path: Path) -> Path:
    """A folder as a build leaves it, with a shared library that cannot be loaded."""
    folder = tmp_path / "kept"
    folder.mkdir()
    (folder / "stamp").write_text(compiled.stamp())
    (folder / "0__mypyc.any.so").write_bytes(b"no library")
    return folder


def test_the_sources_serve_where_the_library_cannot_be_loaded(
    kept: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv(compiled.PURE)
    assert not compiled.prefer(kept)
    assert not compiled.prefer(kept / "nowhere")


def test_what_was_built_from_other_sources_is_never_loaded(
    kept: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv(compiled.PURE)
    tried: list[str] = []
    monkeypatch.setattr(importlib.util, "spec_from_file_location", lambda name, path: tried.append(name))
    (kept / "stamp").write_text("other")
    assert not compiled.prefer(kept) and not tried
    (kept / "stamp").write_text(compiled.stamp())
    assert not compiled.prefer(kept) and tried == ["0__mypyc"]
    monkeypatch.setenv(compiled.PURE, "1")
    assert not compiled.prefer(kept) and len(tried) == 1


def test_a_build_that_fails_says_so_in_a_line_and_leaves_what_was_there(
    kept: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def broken(scratch: Path) -> None:
        raise OSError("no compiler")

    monkeypatch.setattr(compile, "_compile", broken)
    assert compile.build(kept).startswith("compiled modules are up to date")
    (kept / "stamp").write_text("other")
    assert compile.build(kept) == "not compiled, the sources are interpreted: OSError: no compiler"
    assert (kept / "stamp").read_text() == "other"
    assert [path.name for path in kept.parent.iterdir()] == ["kept"]


def test_every_source_that_is_compiled_enters_the_stamp(monkeypatch: pytest.MonkeyPatch) -> None:
    before = compiled.stamp()
    stamps = {before}
    for module in compiled.MODULES:
        path = compiled.source(module)
        assert path.is_file()
        original = Path.read_bytes
        monkeypatch.setattr(
            Path,
            "read_bytes",
            lambda self, path=path, original=original: original(self) + (b"#" if self == path else b""),
        )
        stamps.add(compiled.stamp())
        monkeypatch.setattr(Path, "read_bytes", original)
    assert len(stamps) == 1 + len(compiled.MODULES)

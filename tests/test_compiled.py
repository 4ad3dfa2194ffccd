"""Compiled modules: same decisions as the sources, used only if built from them, and optional."""

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


def run_random_events(**environment: str) -> tuple[bool, str]:
    """Run tests.random_events; return whether the sources were interpreted, and the digest of the run."""
    environment_without = {
        name: value for name, value in os.environ.items() if name != compiled.PURE_PYTHON_VARIABLE
    }
    done = subprocess.run(
        [sys.executable, "-m", "tests.random_events"],
        cwd=ROOT,
        env={**environment_without, **environment},
        capture_output=True,
        text=True,
        check=True,
    )
    interpreted, digest = done.stdout.split()
    return interpreted == "True", digest


def test_compiled_and_interpreted_decisions_are_identical() -> None:
    if shutil.which("cc") is None and shutil.which("gcc") is None:
        pytest.skip("no C compiler: the sources are interpreted")
    assert "compiled" in compile.build().split(":")[0]
    interpreted, of_compiled = run_random_events()
    assert not interpreted, "the compiled modules are not used"
    pure, of_sources = run_random_events(**{compiled.PURE_PYTHON_VARIABLE: "1"})
    assert pure
    assert of_compiled == of_sources


@pytest.fixture
def module_folder(tmp_path: Path) -> Path:
    """A folder as left by a build, with a shared library that cannot be loaded."""
    folder = tmp_path / "kept"
    folder.mkdir()
    (folder / "stamp").write_text(compiled.build_stamp())
    (folder / "0__mypyc.any.so").write_bytes(b"no library")
    return folder


def test_the_sources_are_used_if_the_library_cannot_be_loaded(
    module_folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv(compiled.PURE_PYTHON_VARIABLE)
    assert not compiled.use_compiled_modules(module_folder)
    assert not compiled.use_compiled_modules(module_folder / "nowhere")


def test_what_was_built_from_other_sources_is_never_loaded(
    module_folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv(compiled.PURE_PYTHON_VARIABLE)
    tried: list[str] = []
    monkeypatch.setattr(importlib.util, "spec_from_file_location", lambda name, path: tried.append(name))
    (module_folder / "stamp").write_text("other")
    assert not compiled.use_compiled_modules(module_folder) and not tried
    (module_folder / "stamp").write_text(compiled.build_stamp())
    assert not compiled.use_compiled_modules(module_folder) and tried == ["0__mypyc"]
    monkeypatch.setenv(compiled.PURE_PYTHON_VARIABLE, "1")
    assert not compiled.use_compiled_modules(module_folder) and len(tried) == 1


def test_a_failed_build_reports_one_line_and_keeps_the_old_modules(
    module_folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def broken(scratch: Path) -> None:
        raise OSError("no compiler")

    monkeypatch.setattr(compile, "_compile", broken)
    assert compile.build(module_folder).startswith("compiled modules are up to date")
    (module_folder / "stamp").write_text("other")
    assert compile.build(module_folder) == "not compiled, the sources are interpreted: OSError: no compiler"
    assert (module_folder / "stamp").read_text() == "other"
    assert [path.name for path in module_folder.parent.iterdir()] == ["kept"]


def test_every_compiled_source_is_part_of_the_stamp(monkeypatch: pytest.MonkeyPatch) -> None:
    before = compiled.build_stamp()
    stamps = {before}
    for module in compiled.MODULES:
        path = compiled.source_path(module)
        assert path.is_file()
        original = Path.read_bytes
        monkeypatch.setattr(
            Path,
            "read_bytes",
            lambda self, path=path, original=original: original(self) + (b"#" if self == path else b""),
        )
        stamps.add(compiled.build_stamp())
        monkeypatch.setattr(Path, "read_bytes", original)
    assert len(stamps) == 1 + len(compiled.MODULES)

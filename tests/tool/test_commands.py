"""The commands init, render, schema and completion as an operator uses them."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from leadrudder.cli import main
from leadrudder.tool.reference import fields_page
from leadrudder.tool.template import new_file_text

ROOT = Path(__file__).parent.parent.parent


def test_the_file_that_init_writes_passes_check_and_is_complete(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "a.toml"
    assert main(["init", str(path), "--application", "kampaamo"]) == 0
    assert main(["check", str(path)]) == 0
    assert [item.name for item in tmp_path.iterdir()] == ["a.toml"]
    assert main(["render", str(path)]) == 0
    out = capsys.readouterr().out
    (node,) = json.loads(out[out.index("[\n") :])
    assert node["environment"]["NODE_LISTEN"] == "127.0.0.1:8100"
    profiles = {p["name"]: p for p in node["config"]["settings"]["profiles"]}
    assert profiles["varaus"]["effect"] == "unsafe" and profiles["varaus"]["repeat"] is False
    assert profiles["siirto"]["repeat"] is True and profiles["siirto"]["windowMs"] == 7500


def test_init_never_overwrites_without_force(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "a.toml"
    path.write_text("mine")
    assert main(["init", str(path), "--application", "kampaamo"]) == 2
    assert path.read_text() == "mine" and "exists; --force replaces it" in capsys.readouterr().err
    assert main(["init", str(path), "--application", "kampaamo", "--force"]) == 0
    assert path.read_text().startswith('# What the sidecar of "kampaamo"')
    assert [item.name for item in tmp_path.iterdir()] == ["a.toml"]


def test_init_prompts_for_values_that_no_flag_gives(tmp_path: Path) -> None:
    """Each answer is written to the file; an empty answer selects the default shown."""
    path = tmp_path / "a.toml"
    answers = "kampaamo\n\n127.0.0.1:8107\n"
    done = _init(str(path), "--discovery", "127.0.0.1:8507", answers=answers)
    assert done.returncode == 0, done.stderr
    assert done.stdout == f"wrote {path}; check it with: leadrudder check {path}\n"
    assert done.stderr.count("[127.0.0.1:8100]") == 1 and "lists its servers" not in done.stderr
    file = tomllib.loads(path.read_text())
    assert file["application"]["name"] == "kampaamo" and file["tier"][0]["name"] == "palvelu"
    assert file["listener"][0]["address"] == "127.0.0.1:8107"
    assert file["tier"][0]["discovery"] == "127.0.0.1:8507"


def test_init_does_not_prompt_if_a_flag_names_the_application(tmp_path: Path) -> None:
    done = _init(str(tmp_path / "a.toml"), "--application", "kampaamo", answers="")
    assert (done.returncode, done.stderr) == (0, "")


def test_init_writes_nothing_if_input_ends_early(tmp_path: Path) -> None:
    done = _init(str(tmp_path / "a.toml"), answers="kampaamo\n")
    assert done.returncode == 2 and done.stderr.endswith("leadrudder: stopped\n")
    assert not list(tmp_path.iterdir())


def _init(*arguments: str, answers: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "leadrudder.cli", "init", *arguments]
    return subprocess.run(command, input=answers, capture_output=True, text=True, check=False)


@pytest.mark.parametrize(
    "arguments",
    [
        ["--application", "Oma Kampaamo"],
        ["--application", 'a"\n[x]'],
        ["--application", "a", "--listen", "0.0.0.0:80"],
        ["--application", "a", "--listen", "here"],
        ["--application", "a", "--discovery", "luettelo:1"],
    ],
)
def test_init_writes_nothing_that_does_not_pass_check(arguments: list[str], tmp_path: Path) -> None:
    assert main(["init", str(tmp_path / "a.toml"), *arguments]) == 1
    assert not list(tmp_path.iterdir())


def test_init_leaves_no_file_behind_if_the_write_fails(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def raise_disk_full(_: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", raise_disk_full)
    assert main(["init", str(tmp_path / "a.toml"), "--application", "a"]) == 2
    assert "cannot be written: No space left on device" in capsys.readouterr().err
    assert not list(tmp_path.iterdir())
    assert main(["init", "/nowhere/a.toml", "--application", "a"]) == 2


def test_render_reports_the_problems_of_an_invalid_file(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "a.toml"
    path.write_text("version = 1\n")
    assert main(["render", str(path)]) == 1
    output = capsys.readouterr()
    assert output.out == "" and "application: is required" in output.err


def test_schema_prints_the_json_schema_of_the_file(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["schema"]) == 0
    schema = json.loads(capsys.readouterr().out)
    assert set(schema["required"]) == {"version", "application", "tier", "listener", "class", "route"}
    assert schema["$defs"]["Route"]["properties"]["repeat"]["default"] is None


def test_a_running_node_imports_nothing_of_the_tool() -> None:
    code = (
        "import sys, leadrudder.__main__;"
        "print([m for m in sys.modules if m.split('.')[0] in ('click', 'pydantic', 'tree_sitter')"
        " or m.startswith(('leadrudder.tool', 'leadrudder.simulation', 'leadrudder.cli'))])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, env=os.environ
    )
    assert done.stdout == "[]\n"


def test_the_field_reference_is_current() -> None:
    page = ROOT / "docs" / "operators" / "fields.md"
    assert (
        page.read_text() == fields_page()
    ), "run python -m leadrudder.tool.reference > docs/operators/fields.md"


def test_the_published_schema_is_current(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["schema"]) == 0
    page = ROOT / "docs" / "operators" / "schema.json"
    assert page.read_text() == capsys.readouterr().out, "run leadrudder schema > docs/operators/schema.json"


def test_the_example_equals_what_init_writes_and_passes_check() -> None:
    example = ROOT / "deploy" / "kampaamo.toml"
    assert example.read_text() == new_file_text(
        example.name, "kampaamo", "palvelu", "127.0.0.1:8100", "127.0.0.1:8500"
    )
    assert main(["check", str(example)]) == 0


@pytest.mark.parametrize("shell", ["bash", "fish", "zsh"])
def test_the_completion_script_of_each_shell_calls_the_tool(
    shell: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["completion", shell]) == 0
    assert f"_LEADRUDDER_COMPLETE={shell}_complete" in capsys.readouterr().out


def test_completion_knows_the_commands_and_their_options() -> None:
    def complete(line: str) -> list[str]:
        environment = {
            "_LEADRUDDER_COMPLETE": "bash_complete",
            "COMP_WORDS": line,
            "COMP_CWORD": str(line.count(" ")),
        }
        done = subprocess.run(
            [sys.executable, "-m", "leadrudder.cli"],
            capture_output=True,
            text=True,
            check=False,
            env={**os.environ, **environment},
        )
        return [answer.partition(",")[2] for answer in done.stdout.splitlines()]

    assert complete("leadrudder s") == ["schema", "sidecar", "simulate"]
    assert complete("leadrudder check --format ") == ["text", "json", "github"]
    assert "--request" in complete("leadrudder explain --")


def test_an_unsupported_shell_gives_a_one_line_error(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["completion", "csh"]) == 2
    assert capsys.readouterr().err.count("\n") == 1

"""`leadrudder explain` and `leadrudder diff`."""

from __future__ import annotations

from pathlib import Path

import pytest

from leadrudder.cli import main
from leadrudder.tool.check import CheckResult, check_sources
from leadrudder.tool.explain import diff_files
from leadrudder.tool.model import File
from leadrudder.tool.source import parse_source
from tests.tool.samples import BASE, TENANTS


def _file(text: str) -> File:
    done = CheckResult()
    check_sources([parse_source("a.toml", text)], done)
    assert not done.problems, done.problems
    return done.files[0]


def _explain_lines(
    text: str, request: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> dict[str, str]:
    path = tmp_path / "a.toml"
    path.write_text(text)
    assert main(["explain", str(path), "--request", request]) == 0
    lines = capsys.readouterr().out.splitlines()
    return {line.partition(" ")[0]: line.partition(" ")[2].strip() for line in lines}


def _line_number_of(text: str, what: str) -> int:
    return next(i for i, line in enumerate(text.splitlines(), 1) if line.startswith(what))


def test_an_unsafe_request_is_explained_with_the_lines_of_the_file(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    explanation = _explain_lines(BASE, "POST /varaus/17?x=1", tmp_path, capsys)
    assert explanation["route"].startswith("1: POST /varaus/*")
    assert explanation["class"] == f"varaus, unsafe (line {_line_number_of(BASE, 'effect = ')})"
    assert explanation["repeat"] == "never, once it may have run (by default)"
    assert explanation["attempts"] == f"up to 2 (line {_line_number_of(BASE, 'attempts')})"
    assert "given up after 4000 ms" in explanation["aim"]


def test_a_keyed_request_is_explained_with_its_group_and_window(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    explanation = _explain_lines(BASE, "POST /siirto/1", tmp_path, capsys)
    line = _line_number_of(BASE, "repeat = true")
    assert explanation["repeat"] == f"within its all, for 7500 ms from its first attempt (line {line})"


def test_inheritance_is_explained(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    text = BASE.replace('class = "haku"\nrepeat = true', 'class = "haku"')
    text = text.replace('class = "varaus"\n\n', 'class = "varaus"\nrepeat = false\n\n')
    text += "[defaults]\nrepeat = true\n"
    explanation = _explain_lines(text, "GET /", tmp_path, capsys)
    assert explanation["repeat"] == f"at any server (inherited, line {text.count(chr(10))})"
    assert _explain_lines(text, "POST /varaus/1", tmp_path, capsys)["class"].startswith("varaus")


def test_a_request_that_no_route_matches(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "a.toml"
    path.write_text(BASE)
    assert main(["explain", str(path), "--request", "POST /muu"]) == 0
    assert "no route matches it" in capsys.readouterr().out
    assert main(["explain", str(path), "--request", "muu"]) == 2
    assert "is not a method and a path" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("old", "new", "field", "means", "needs"),
    [
        ('"127.0.0.1:8500"', '"127.0.0.1:8600"', "tier palvelu.discovery", "listed elsewhere", "reload"),
        ('"127.0.0.1:8100"', '"127.0.0.1:8101"', "listener front.address", "call another address", "restart"),
        ("attempts = 2 ", "attempts = 1 ", "tier palvelu.attempts", "fewer chances", "restart"),
        ("attempts = 2 ", "attempts = 3 ", "tier palvelu.attempts", "more load", "restart"),
        ('"haku"\nrepeat = true', '"haku"', "route GET /*.repeat", "no longer sent again", "restart"),
        ("aim_ms = 1500", "aim_ms = 1000", "class varaus.aim_ms", "requests are shed", "restart"),
    ],
)
def test_a_change_is_reported_with_its_meaning(
    old: str, new: str, field: str, means: str, needs: str
) -> None:
    assert old in BASE
    (change,) = diff_files(_file(BASE), _file(BASE.replace(old, new)))
    assert change.field == field and means in change.means and change.needs == needs


def test_a_field_that_only_the_tool_reads_needs_no_action() -> None:
    (change,) = diff_files(_file(BASE), _file(BASE + "[limits]\nrepeat_factor = 9\n"))
    assert change.needs.startswith("nothing")


def test_new_tables_and_comments(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    changes = diff_files(_file(BASE), _file(BASE + TENANTS))
    assert {change.field for change in changes} >= {"tenant oma.share", "tenant muut.share"}
    assert all(change.means == "it is new" for change in changes)
    old, new = tmp_path / "old.toml", tmp_path / "new.toml"
    old.write_text(BASE)
    new.write_text("# another comment\n" + BASE)
    assert main(["diff", str(old), str(new)]) == 0
    assert capsys.readouterr().out == "no difference\n"
    new.write_text(BASE + TENANTS)
    assert main(["diff", str(old), str(new)]) == 0
    assert "needs: restart" in capsys.readouterr().out
    new.write_text("x")
    assert main(["diff", str(old), str(new)]) == 2

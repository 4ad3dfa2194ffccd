"""What `leadrudder check` accepts and rejects, with reasons, and that it never raises on any input."""

from __future__ import annotations

import graphlib
import json
import os
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from leadrudder.cli import main
from leadrudder.node.config import ConfigError, load_config
from leadrudder.settings import SettingsError
from leadrudder.tool import source
from leadrudder.tool.check import CheckResult as Checked
from leadrudder.tool.check import check_files, check_sources
from leadrudder.tool.checks.addresses import addresses_conflict as collide
from leadrudder.tool.render import render_nodes
from leadrudder.tool.source import UnreadableFileError as Unreadable
from leadrudder.tool.source import parse_source as parse
from tests.tool.samples import BASE, INVALID_SAMPLES, MINIMAL, VALID_FILES, InvalidSample


class _SingleFilePlatform:
    """A platform whose files all have one text, a node configuration."""

    def __init__(self, text: str) -> None:
        self._text = text

    def read_text(self, path: str) -> str:
        return self._text

    def monotonic(self) -> float:
        return 0.0

    def wall(self) -> float:
        return 0.0

    def has_unread_input(self, transport: object) -> bool:
        return False


def _starts(done: Checked) -> None:
    """A node loads the configuration rendered from each accepted file."""
    for file in done.files:
        for node in render_nodes(file):
            config = load_config(
                {**node.environment, "NODE_CONFIG": "x"}, _SingleFilePlatform(json.dumps(node.config))
            )
            assert config.name == node.name
            assert len(config.settings.classes) >= 1


def test_there_are_enough_samples() -> None:
    assert len(INVALID_SAMPLES) >= 40 and len(VALID_FILES) >= 10
    assert len({sample.name for sample in INVALID_SAMPLES}) == len(INVALID_SAMPLES)


@pytest.mark.parametrize("sample", INVALID_SAMPLES, ids=lambda sample: sample.name.replace(" ", "-"))
def test_each_mistake_is_reported_with_its_reason(sample: InvalidSample, tmp_path: Path) -> None:
    path = tmp_path / "a.toml"
    path.write_text(sample.text)
    done = check_files([str(path)])
    assert done.exit_code == 1
    assert [problem.rule for problem in done.problems] == [sample.rule], [p.text() for p in done.problems]
    (problem,) = done.problems
    assert problem.field == sample.field and sample.message in problem.what
    assert problem.why and problem.right and problem.file == str(path)
    line = sample.text.splitlines()[problem.line - 1]
    leaf = problem.field.rpartition(".")[2].partition("[")[0]
    table = problem.field.partition(".")[0].partition("[")[0]
    assert leaf in line or f"[{table}]" in line or problem.rule in ("missing", "repeat-mixed"), (
        problem,
        line,
    )


@pytest.mark.parametrize("name", VALID_FILES)
def test_a_valid_file_is_accepted_unmodified_and_a_node_loads_its_configuration(
    name: str, tmp_path: Path
) -> None:
    path = tmp_path / "a.toml"
    path.write_bytes(VALID_FILES[name].encode())
    before = path.stat()
    done = check_files([str(path)])
    assert done.exit_code == 0, [problem.text() for problem in done.problems]
    assert path.read_bytes() == VALID_FILES[name].encode() and path.stat().st_mtime_ns == before.st_mtime_ns
    _starts(done)


def _check_texts(tmp_path: Path, *texts: str) -> Checked:
    names = []
    for i, text in enumerate(texts):
        path = tmp_path / f"{i}.toml"
        path.write_text(text)
        names.append(str(path))
    return check_files(names)


def test_two_applications_on_one_port_are_rejected(tmp_path: Path) -> None:
    other = MINIMAL.replace("127.0.0.1:2", "127.0.0.1:8100")
    done = _check_texts(tmp_path, BASE, other)
    assert [(p.rule, Path(p.file).name, p.field) for p in done.problems] == [
        ("port-taken", "1.toml", "listener[1].address")
    ]
    assert "application 'kampaamo' (front, 127.0.0.1:8100)" in done.problems[0].what


def test_a_wildcard_address_conflicts_with_an_address_of_another_application(tmp_path: Path) -> None:
    wide = MINIMAL.replace("127.0.0.1:2", "0.0.0.0:8100") + '[limits]\npermitted = ["0.0.0.0/0"]\n'
    assert [p.rule for p in _check_texts(tmp_path, BASE, wide).problems] == ["port-taken"]
    apart = MINIMAL.replace("127.0.0.1:2", "127.0.0.2:8100")
    assert not _check_texts(tmp_path, BASE, apart).problems


def test_a_listener_at_the_discovery_address_of_another_application_is_rejected(tmp_path: Path) -> None:
    there = MINIMAL.replace("127.0.0.1:2", "127.0.0.1:8500")
    for files in ((BASE, there), (there, BASE)):
        done = _check_texts(tmp_path, *files)
        assert [(p.rule, p.field) for p in done.problems] == [("port-taken", "listener[1].address")]
        assert "discovery of tier 'palvelu' of application 'kampaamo'" in done.problems[0].what


def test_a_wildcard_address_does_not_conflict_with_another_machines_port(tmp_path: Path) -> None:
    """A remote discovery service may use the same port number as a local listener on all addresses."""
    wide = MINIMAL.replace("127.0.0.1:2", "0.0.0.0:8500") + '[limits]\npermitted = ["0.0.0.0/0"]\n'
    far = BASE.replace('discovery = "127.0.0.1:8500"', 'discovery = "10.2.0.1:8500"')
    assert not _check_texts(tmp_path, far, wide).problems
    assert [p.rule for p in _check_texts(tmp_path, BASE, wide).problems] == ["port-taken"]


def test_a_cycle_of_calls_between_applications_is_rejected(tmp_path: Path) -> None:
    def app(name: str, calls: str, port: int) -> str:
        text = MINIMAL.replace('{name = "pieni"}', f'{{name = "{name}", calls = ["{calls}"]}}')
        return text.replace("127.0.0.1:2", f"127.0.0.1:{port}")

    done = _check_texts(tmp_path, app("a", "b", 11), app("b", "c", 12), app("c", "a", 13))
    assert [(p.rule, p.field) for p in done.problems] == [("application-loop", "application.calls[1]")]
    assert "a -> b -> c -> a" in done.problems[0].what
    assert not _check_texts(tmp_path, app("a", "b", 11), app("b", "c", 12), app("c", "d", 13)).problems


def test_an_application_in_two_files_is_rejected(tmp_path: Path) -> None:
    done = _check_texts(tmp_path, MINIMAL, MINIMAL.replace("127.0.0.1:2", "127.0.0.1:3"))
    assert [p.rule for p in done.problems] == ["application-taken"]


def test_all_problems_are_reported_at_once(tmp_path: Path) -> None:
    text = BASE.replace("worth = 9", "worth = -1").replace('"siirto"\nrepeat', '"siirto"\nrepeet')
    done = _check_texts(tmp_path, text, MINIMAL.replace("aim_ms = 1", "aim_ms = 2"))
    assert [p.rule for p in done.problems] == ["type", "unknown-key", "aim-after-deadline"]
    assert done.problems[1].right == "repeat?"


# ---------------------------------------------------------------- unreadable files


def _assert_unreadable(path: Path, message: str) -> None:
    done = check_files([str(path)])
    assert done.exit_code == 2
    assert [p.rule for p in done.problems] == ["unreadable"] and message in done.problems[0].what


def test_a_file_that_is_not_utf_8(tmp_path: Path) -> None:
    path = tmp_path / "a.toml"
    path.write_bytes(b"version = 1\n# \xff\n")
    _assert_unreadable(path, "is not UTF-8: byte 14")
    assert (check_files([str(path)]).problems[0].line, check_files([str(path)]).problems[0].column) == (2, 3)


def test_a_file_of_100_mb(tmp_path: Path) -> None:
    path = tmp_path / "a.toml"
    with path.open("wb") as file:
        file.truncate(100 * 1024 * 1024)
    _assert_unreadable(path, "holds 104857600 bytes")


@pytest.mark.parametrize("deep", ["[" * 5000, "a = " + "[" * 5000 + "]" * 5000, "a = " + "{b = " * 900])
def test_deep_nesting(deep: str, tmp_path: Path) -> None:
    path = tmp_path / "a.toml"
    path.write_text(deep)
    _assert_unreadable(path, "deep; at most 32 are read")


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("version = 1\nversion = 1\n", "is not valid TOML: Cannot overwrite a value"),
        ("[a]\n[a]\n", "is not valid TOML: Cannot declare"),
        ("a = \n", "is not valid TOML: Invalid value"),
        ("\x00", "is not valid TOML"),
        ("a = '''", "is not valid TOML"),
    ],
)
def test_a_file_that_is_not_valid_toml(text: str, message: str, tmp_path: Path) -> None:
    path = tmp_path / "a.toml"
    path.write_text(text)
    _assert_unreadable(path, message)


def test_link_cycles_directories_missing_files_and_pipes(tmp_path: Path) -> None:
    loop = tmp_path / "loop"
    loop.symlink_to(loop)
    _assert_unreadable(loop, "cannot be read: Too many levels of symbolic links")
    _assert_unreadable(tmp_path, "cannot be read: Is a directory")
    _assert_unreadable(tmp_path / "none", "cannot be read: No such file")
    pipe = tmp_path / "pipe"
    os.mkfifo(pipe)
    _assert_unreadable(pipe, "is not a regular file")


def test_a_file_without_permission(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The error is injected, as root may read every file."""
    path = tmp_path / "a.toml"
    path.write_text(BASE)

    def refuse(*_: object) -> int:
        raise PermissionError(13, "Permission denied")

    monkeypatch.setattr(source, "_open_nonblocking", refuse)
    _assert_unreadable(path, "cannot be read: Permission denied")


def test_a_file_that_is_replaced_while_it_is_read(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Two versions of a file are never mixed; a file that changes during every read is reported."""
    path, other = tmp_path / "a.toml", tmp_path / "b.toml"
    path.write_text("version = 2\n")
    original = os.fstat
    calls = 0

    def fstat(descriptor: int) -> os.stat_result:
        nonlocal calls
        calls += 1
        if calls == 2:  # between the read and the check after it
            other.write_text(BASE)
            os.replace(other, path)
        return original(descriptor)

    monkeypatch.setattr(os, "fstat", fstat)
    assert check_files([str(path)]).exit_code == 0

    def replace_always(descriptor: int) -> os.stat_result:
        other.write_text(BASE)
        os.replace(other, path)
        return original(descriptor)

    monkeypatch.setattr(os, "fstat", replace_always)
    _assert_unreadable(path, "changed during each of 3 reads")


# ---------------------------------------------------------------- fuzzing


def _check_text(text: str) -> Checked:
    done = Checked()
    try:
        check_sources([parse("a.toml", text)], done)
    except Unreadable:
        done.unreadable = True
    return done


_PIECES = sorted({line for line in (BASE + MINIMAL).splitlines() if line.strip()})


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.text(max_size=200) | st.lists(st.sampled_from(_PIECES), max_size=40).map("\n".join))
def test_no_text_makes_it_fail_otherwise(text: str) -> None:
    done = _check_text(text)
    if not done.problems:
        _starts(done)


_VALUES = st.one_of(
    st.sampled_from(
        ["true", "nan", "inf", "-1", "0", "1e400", '""', "[]", "{}", "1979-05-27", "9" * 30, '"a\\u0000"']
    ),
    st.integers(-10, 10**7).map(str),
    st.floats(0.001, 1e6).map(repr),
    st.text(max_size=8).map(json.dumps),
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.integers(0, 10**6), _VALUES)
def test_whatever_is_accepted_a_node_starts_with(where: int, value: str) -> None:
    """One value of a good file is another: it is told, or the node takes what comes of it."""
    lines = BASE.splitlines()
    assigned = [i for i, line in enumerate(lines) if " = " in line and not line.startswith("#")]
    at = assigned[where % len(assigned)]
    lines[at] = f"{lines[at].partition(' = ')[0]} = {value}"
    done = _check_text("\n".join(lines))
    if not done.problems and not done.unreadable:
        try:
            _starts(done)
        except (ConfigError, SettingsError) as error:  # named here, so that the example is shown with it
            pytest.fail(f"accepted, and a node does not start: {error}")


_FILES = st.lists(
    st.builds(
        lambda name, calls, port, cut: (
            MINIMAL.replace('{name = "pieni"}', f'{{name = "{name}", calls = {json.dumps(calls)}}}').replace(
                "127.0.0.1:2", port
            )[: None if cut > 200 else cut]
        ),
        st.sampled_from("abcd"),
        st.lists(st.sampled_from("abcd"), max_size=3),
        st.sampled_from(["127.0.0.1:2", "127.0.0.1:3", "127.0.0.2:2", "0.0.0.0:2", "[::1]:2"]),
        st.integers(150, 1000),
    ),
    min_size=2,
    max_size=5,
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(_FILES)
def test_several_files_are_accepted_together_only_if_their_nodes_can_start_together(texts: list[str]) -> None:
    """Whatever names, calls and addresses: never a traceback; what passes claims no port or name twice."""
    done = Checked()
    sources = []
    for i, text in enumerate(texts):
        try:
            sources.append(parse(f"{i}.toml", text))
        except Unreadable:
            done.unreadable = True
    check_sources(sources, done)
    assert all(problem.file in {f"{i}.toml" for i in range(len(texts))} for problem in done.problems)
    if done.problems or done.unreadable:
        return
    _starts(done)
    listeners = [listener.address for file in done.files for listener in file.listener]
    assert not any(collide(a, b) for i, a in enumerate(listeners) for b in listeners[:i])
    names = [file.application.name for file in done.files]
    assert len(set(names)) == len(names) == len(texts)
    calls = {file.application.name: file.application.calls for file in done.files}
    order = graphlib.TopologicalSorter({name: set(calls[name]) for name in names})
    order.prepare()  # CycleError where a call comes back to its application


# ---------------------------------------------------------------- the command


def test_the_report_formats(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "a.toml"
    path.write_text(INVALID_SAMPLES[0].text)
    assert main(["check", str(path)]) == 1
    assert f"{path}:" in capsys.readouterr().out
    assert main(["check", str(path), "--format", "json"]) == 1
    (item,) = json.loads(capsys.readouterr().out)
    assert set(item) == {"file", "line", "column", "field", "rule", "what", "why", "right"}
    assert main(["check", str(path), "--format", "github"]) == 1
    line = capsys.readouterr().out.splitlines()
    assert len(line) == 1 and line[0].startswith("::error file=") and f"line={item['line']}" in line[0]
    path.write_text(BASE)
    assert main(["check", str(path), "--format", "json"]) == 0
    assert json.loads(capsys.readouterr().out) == []
    assert main(["check", str(path)]) == 0
    assert capsys.readouterr().out == "1 file: no problems\n"
    assert main(["check"]) == 2

"""The command `leadrudder simulate`."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

from leadrudder.cli import main
from leadrudder.simulation import runner
from tests.simulation.planted_faults import reset_counts_as_never_ran

LAST = re.compile(r"seed=(\S+) steps=(\d+) digest=([0-9a-f]{32}) violations=(\d+) steps_per_s=\d+")


def _last(text: str) -> tuple[str, ...]:
    found = LAST.fullmatch(text.splitlines()[-1])
    assert found, text
    return found.groups()


def test_the_digest_does_not_depend_on_the_hash_seed() -> None:
    digests = set()
    for hash_seed in ("0", "4711"):
        done = subprocess.run(
            [sys.executable, "-m", "leadrudder.cli", "simulate", "--seed", "5", "--steps", "6000"],
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
            capture_output=True,
            text=True,
            check=False,
        )
        assert done.returncode == 0, done.stderr
        digests.add(_last(done.stdout))
    assert len({found[2] for found in digests}) == 1


def test_a_replayed_trace_gives_the_same_digest(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    trace = tmp_path / "trace"
    assert main(["simulate", "--seed", "x", "--steps", "3000", "--trace", str(trace)]) == 0
    first = _last(capsys.readouterr().out)
    assert main(["simulate", "--replay", str(trace)]) == 0
    assert _last(capsys.readouterr().out)[2] == first[2]
    lines = [json.loads(line) for line in trace.read_text().splitlines()]
    assert lines[0]["version"] == 1 and lines[-1]["end"]["digest"] == first[2]
    assert {line["what"] for line in lines[1:-1] if "what" in line} >= {"connect", "accept", "send", "read"}
    assert sum("fault" in line for line in lines) >= 1


def test_replaying_another_programs_trace_fails(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    trace = tmp_path / "trace"
    assert main(["simulate", "--seed", "x", "--steps", "1000", "--trace", str(trace)]) == 0
    lines = trace.read_text().splitlines()
    last = json.loads(lines[-1])
    last["end"]["digest"] = "0" * 32
    trace.write_text("\n".join([*lines[:-1], json.dumps(last)]))
    capsys.readouterr()
    assert main(["simulate", "--replay", str(trace)]) == 1
    assert "the program is another" in capsys.readouterr().err


def test_a_violation_exits_with_1_and_prints_how_to_replay(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    reset_counts_as_never_ran(monkeypatch)
    assert main(["simulate", "--seed", "5", "--steps", "8000"]) == 1
    out = capsys.readouterr().out
    assert "violation: unsafe-repeated at " in out
    assert "replay: leadrudder simulate --seed 5 --steps 8000 --nodes 2 --trace FILE" in out
    assert _last(out)[3] == "1"
    least = tmp_path / "least"
    assert main(["simulate", "--shrink", "5", "--steps", "8000", "--trace", str(least)]) == 1
    out = capsys.readouterr().out
    assert "matters: " in out and "cut down from " in out
    assert main(["simulate", "--replay", str(least)]) == 1
    assert _last(capsys.readouterr().out)[2] == _last(out)[2]


def test_many_seeds_run_in_order_and_are_summed_up(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    lines = []
    for jobs in ("1", "2"):
        assert main(["simulate", "--seeds", "1:4", "--steps", "1500", "--jobs", jobs]) == 0
        lines.append(capsys.readouterr().out.splitlines()[-1].rpartition(" ")[0])
    assert lines[0] == lines[1]
    assert re.match(r"seeds=1:4 plays=3 steps=\d+ digest=[0-9a-f]{32} violations=0", lines[0])
    results = list(runner.run_many([runner.RunSetup("1", 1500)], 1))
    assert runner.combined_digest(results) != runner.combined_digest([])


def test_fault_kinds_are_listed(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["simulate", "--list-faults"]) == 0
    assert "half-open" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("arguments", "text"),
    [
        (["--seed", "1", "--faults", "earthquake"], "unknown fault 'earthquake'"),
        (["--seeds", "5:5"], "'5:5' is not a range A:B"),
        (["--seeds", "five"], "'five' is not a range A:B"),
        (["--seeds", "9:1"], "'9:1' is not a range A:B"),
        ([], "one of --seed, --seeds, --shrink and --replay is wanted"),
        (["--seed", "1", "--seeds", "1:2"], "one of --seed, --seeds, --shrink and --replay is wanted"),
        (["--seeds", "1:2", "--trace", "x"], "--trace is for one play"),
        (["--seed", "1", "--steps", "0"], "0 is not in the range"),
        (["--seed", "1", "--nodes", "99"], "99 is not in the range"),
        (["--seed", "1", "--steps", "many"], "'many' is not a valid integer"),
        (["--shrink", "1", "--steps", "200"], "seed 1 breaks no rule within 200 steps"),
        (["--seed", "1", "--trace", "/nowhere/at/all"], "/nowhere/at/all cannot be written"),
        (["--replay", "/nowhere/at/all"], "/nowhere/at/all: not a trace"),
        (["--what"], "No such option"),
    ],
)
def test_invalid_arguments_print_one_line_and_exit_with_2(
    arguments: list[str], text: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["simulate", *arguments]) == 2
    said = capsys.readouterr()
    lines = [line for line in said.err.splitlines() if line.startswith("leadrudder: ")]
    assert said.out == "" and len(lines) == 1 and text in lines[0]


@pytest.mark.parametrize(
    ("content", "text"),
    [
        ("", "not a trace"),
        ("{}\n{}", "not a trace of leadrudder"),
        ('{"format":"leadrudder-trace","version":99}\n{}', "a trace of version 99; this reads 1"),
        ('{"format":"leadrudder-trace","version":1}\n{}', "breaks off before its end"),
        ('{"format":"leadrudder-trace","version":1}\n{"end":{},"plan":[]}', "'seed'"),
        (
            '{"format":"leadrudder-trace","version":1,"seed":"1","steps":1,"nodes":1,"kinds":[]}\n'
            '{"end":{"digest":"x"},"plan":[{"kind":"earthquake"}]}',
            "not a fault",
        ),
        ("not json\n{}", "not a trace"),
    ],
)
def test_an_invalid_trace_prints_one_line(
    content: str, text: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    trace = tmp_path / "trace"
    trace.write_text(content)
    assert main(["simulate", "--replay", str(trace)]) == 2
    said = capsys.readouterr().err
    assert said.startswith("leadrudder: ") and said.count("\n") == 1 and text in said

"""Results are stored at once, never computed twice and never mixed; invalid input gives a one-line error."""

from __future__ import annotations

import os
import shutil
import signal
import sqlite3
import subprocess
import sys
import threading
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from leadrudder.cli import main
from leadrudder.experiment import command
from leadrudder.experiment import store as store_module
from leadrudder.experiment.loader import load, shipped_experiments
from leadrudder.experiment.plan import apply_changes
from leadrudder.experiment.pool import Pool
from leadrudder.experiment.revisions import PACKAGE, PolicyRevision, RevisionError, fetch_revision
from leadrudder.experiment.runner import run_missing
from leadrudder.experiment.store import Store, StoreError
from tests.experiment.small import TEXT, experiment, played, values

TROUBLE = '[[trouble]]\nwhat = "slow"\nat_s = 1\ntier = "no"\n'
VARIED = ("load.swing", "callers.honour")


def _run_all(path: Path, cache: Path, made: dict[str, Any], jobs: int = 2) -> list[tuple[str, str, str]]:
    """Execute the missing runs; return key, state and digest of each run."""
    store = Store(path)
    loaded = experiment(cache, made)
    run_missing(store, loaded, loaded.jobs(), Pool(jobs))
    rows = store.rows([job.key for job in loaded.jobs()])
    store.close()
    return [(row.key, row.state, row.digest) for row in rows]


def test_results_do_not_depend_on_the_number_of_workers(tmp_path: Path) -> None:
    made = values(length_s=2)
    one = _run_all(tmp_path / "one.sqlite", tmp_path, made, 1)
    assert one == _run_all(tmp_path / "three.sqlite", tmp_path, made, 3)
    assert [state for _, state, _ in one] == ["done"] * 4
    assert len({digest for _, _, digest in one}) == 4


def test_concurrent_processes_share_the_runs_of_one_results_file(tmp_path: Path) -> None:
    file, path = tmp_path / "small.toml", tmp_path / "both.sqlite"
    file.write_text(TEXT.replace("seeds = 4", "seeds = 8"))
    command_line = [
        sys.executable,
        "-m",
        "leadrudder.cli",
        "experiment",
        "run",
        str(file),
        "--jobs",
        "1",
        "--quiet",
    ]
    both = [
        subprocess.Popen([*command_line, "--results", str(path)], stdout=subprocess.PIPE, text=True)
        for _ in range(2)
    ]
    made = 0
    for tool in both:
        out = tool.communicate()[0]
        assert tool.returncode == 0
        assert "runs=8 of=8" in out
        made += int(out.partition("made_now=")[2].split()[0])
    assert made == 8
    store = Store(path)
    assert len(store.all()) == 8 and {row.state for row in store.all()} == {"done"}
    store.close()


def test_a_new_file_may_be_opened_by_many_at_the_same_moment(tmp_path: Path) -> None:
    openers = 8

    def open_store(path: Path, barrier: threading.Barrier) -> None:
        barrier.wait()
        Store(path).close()

    with ThreadPoolExecutor(openers) as pool:
        for number in range(25):
            path, barrier = tmp_path / f"{number}.sqlite", threading.Barrier(openers)
            for opened in [pool.submit(open_store, path, barrier) for _ in range(openers)]:
                opened.result()


def test_a_file_in_use_is_not_called_damaged(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "used.sqlite"
    Store(path).close()
    user = sqlite3.connect(path, isolation_level=None)
    user.execute("BEGIN EXCLUSIVE")
    monkeypatch.setattr(store_module, "BUSY_TIMEOUT_S", 0.05)
    with pytest.raises(StoreError, match="is in use by another process"):
        Store(path)
    user.close()


def test_a_claim_is_valid_while_its_process_lives(tmp_path: Path) -> None:
    path = tmp_path / "claims.sqlite"
    text = f"""
import sys
from pathlib import Path
from leadrudder.experiment.store import Store
store = Store(Path({str(path)!r}))
print(store.claim("a"), flush=True)
sys.stdin.read()
"""
    with subprocess.Popen(
        [sys.executable, "-c", text], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as other:
        assert other.stdout is not None
        assert other.stdout.readline() == "True\n"
        store = Store(path)
        assert not store.claim("a")
        other.kill()
        other.wait()
        assert store.claim("a")
        store.close()


def test_sigkill_loses_only_the_runs_in_progress(tmp_path: Path) -> None:
    file = tmp_path / "small.toml"
    file.write_text(TEXT.replace("seeds = 4", "seeds = 30").replace("length_s = 6", "length_s = 3"))
    command_line = [sys.executable, "-m", "leadrudder.cli", "experiment", "run", str(file), "--jobs", "2"]
    path = tmp_path / "killed.sqlite"
    with subprocess.Popen(
        [*command_line, "--results", str(path)], stderr=subprocess.PIPE, text=True
    ) as first:
        assert first.stderr is not None
        for line in first.stderr:
            if int(line.split()[0]) >= 2:
                break
        first.send_signal(signal.SIGKILL)
        first.wait()
    store = Store(path)
    kept = {row.key: row.digest for row in store.all()}
    store.close()
    assert 2 <= len(kept) < 30
    done = subprocess.run([*command_line, "--results", str(path), "--quiet"], capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
    assert f"runs=30 of=30 made_now={30 - len(kept)} failed=0 broken=0" in done.stdout
    store = Store(path)
    assert kept.items() <= {row.key: row.digest for row in store.all()}.items()
    store.close()


def test_sigterm_stops_the_command_and_its_workers(tmp_path: Path) -> None:
    file = tmp_path / "small.toml"
    file.write_text(TEXT.replace("length_s = 6", "length_s = 600"))
    command_line = [sys.executable, "-m", "leadrudder.cli", "experiment", "run", str(file), "--jobs", "2"]
    with subprocess.Popen(
        [*command_line, "--results", str(tmp_path / "r.sqlite")],
        stderr=subprocess.PIPE,
        text=True,
        start_new_session=True,
    ) as tool:
        assert tool.stderr is not None
        tool.stderr.readline()  # runs are in progress
        tool.terminate()
        assert tool.wait() == 2
        assert "stopped" in tool.stderr.read()
        with pytest.raises(ProcessLookupError):
            os.killpg(tool.pid, 0)


def test_a_failed_run_is_reported_and_the_others_continue(tmp_path: Path) -> None:
    endless = values(runs__most_steps=1000, length_s=2)
    result = played(runs__most_steps=1000, length_s=2)
    assert "more than 1000 steps" in result.notes[0] and "unanswered" in result.broken
    assert {state for _, state, _ in _run_all(tmp_path / "e.sqlite", tmp_path, endless)} == {"broken"}
    large = values(length_s=2, runs__most_mb=128, fleet__nodes=1)
    large["vary"] = [{"field": "fleet.tier.api.servers", "values": [4, 20000]}]
    large["load"]["of_capacity"] = 0.001
    large["runs"]["seeds"] = 1
    states = [state for _, state, _ in _run_all(tmp_path / "m.sqlite", tmp_path, large)]
    assert states == ["done", "failed"]


def test_an_invalid_results_file_gives_a_one_line_error(tmp_path: Path) -> None:
    good = tmp_path / "good.sqlite"
    _run_all(good, tmp_path, values(length_s=2, runs__seeds=1))
    cut = tmp_path / "cut.sqlite"
    cut.write_bytes(good.read_bytes()[:5000])
    text = tmp_path / "text.sqlite"
    text.write_text("not a database, by no means, whatever its name may say of it")
    other = tmp_path / "other.sqlite"
    with sqlite3.connect(other) as database:
        database.execute("CREATE TABLE bookings (id)")
    later = tmp_path / "later.sqlite"
    later.write_bytes(good.read_bytes())
    with sqlite3.connect(later) as database:
        database.execute("PRAGMA user_version = 99")
    for path, what in (
        (cut, "damaged"),
        (text, "damaged"),
        (other, "another program"),
        (later, "version 99"),
    ):
        before = path.read_bytes()
        with pytest.raises(StoreError, match=what) as error:
            Store(path)
        assert "\n" not in str(error.value)
        assert path.read_bytes() == before


@pytest.mark.parametrize(
    ("old", "new", "rule", "place"),
    [
        ("length_s = 6", 'length_s = "6 min"', "type", "length_s"),
        ("length_s = 6", "length_ms = 6000", "unknown-key", "length_ms"),
        ("of_capacity = 0.6", "of_capacity = 0", "type", "load.of_capacity"),
        ("of_capacity = 0.6", "of_capacity = 1e12", "type", "load.of_capacity"),
        ("of_capacity = 0.6", "per_s = 1e12", "type", "load.per_s"),
        ("of_capacity = 0.6", "per_s = 200000.0", None, ""),
        ("of_capacity = 0.6", "", "load", "load"),
        ("work_ms = 20", "work_ms = [30, 20]", "range", "class[1].work_ms"),
        (
            "work_ms = 20\naim_ms = 400",
            "work_ms = 20\naim_ms = 4000",
            "aim-after-deadline",
            "class[1].aim_ms",
        ),
        ("servers = 4", "", "missing", "fleet.tier[1].servers"),
        ('name = "book"', 'name = "look"', "name-twice", "class[2].name"),
        (
            "[runs]",
            '[[trouble]]\nwhat = "slow"\nat_s = 1\ntier = "no"\n[runs]',
            "unknown-tier",
            "trouble[1].tier",
        ),
        ("[runs]", '[[vary]]\nfield = "load.weight"\nvalues = [1]\n[runs]', "field", "vary[1].values[1]"),
        ("seeds = 4", "seeds = 4\nmost_runs = 3", "too-many-runs", "vary"),
    ],
)
def test_invalid_experiments_are_reported_with_their_place(
    tmp_path: Path, old: str, new: str, rule: str | None, place: str
) -> None:
    file = tmp_path / "bad.toml"
    assert TEXT.count(old) == 1
    file.write_text(TEXT.replace(old, new))
    _, read, problems = load(str(file))
    if rule is None:
        assert not problems
        return
    assert read is None
    assert (problems[0].rule, problems[0].field) == (rule, place)
    assert problems[0].line >= 1 and problems[0].why and problems[0].right


def test_a_grid_of_a_million_points_is_rejected_with_an_estimate_of_its_time(tmp_path: Path) -> None:
    file = tmp_path / "grid.toml"
    numbers = ", ".join(str(round(0.001 * i, 3)) for i in range(1, 1001))
    varied = "".join(
        f'[[vary]]\nfield = "{f}"\nvalues = [{numbers}]\n' for f in ("load.swing", "callers.honour")
    )
    file.write_text(TEXT + varied)
    _, read, problems = load(str(file))
    assert read is None
    assert "1000000 combinations" in problems[0].what and "hours" in problems[0].what


def test_the_shipped_experiments_are_valid() -> None:
    assert {"bookings", "games"} <= set(shipped_experiments())
    for name in shipped_experiments():
        assert load(name)[2] == []


def test_an_unknown_revision_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(RevisionError, match="no revision 'none-such'"):
        fetch_revision("none-such", tmp_path)
    with pytest.raises(RevisionError, match="no revision"):
        fetch_revision("--upload-pack=x", tmp_path)


def test_replay_uses_the_policy_of_the_runs_revision(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    tree = tmp_path / "tree"
    shutil.copytree(PACKAGE, tree / "leadrudder", ignore=shutil.ignore_patterns("__pycache__"))
    place = tree / "leadrudder" / "state" / "least_loaded.py"
    text, condition = place.read_text(), "calls == fewest"
    assert text.count(condition) == 1
    place.write_text(text.replace(condition, "True"))
    other = PolicyRevision("another", tree)
    made = values(length_s=2, runs__seeds=1, load__of_capacity=0.9)
    made["side"] = [{"name": "then", "ref": "then"}]
    loaded = experiment(tmp_path, made)
    loaded._policy_revisions["then"] = other
    store = Store(tmp_path / "r.sqlite")
    run_missing(store, loaded, loaded.jobs(), Pool(1))
    (row,) = store.all()
    store.close()
    assert row.digest != played(length_s=2, load__of_capacity=0.9).digest
    monkeypatch.setattr(command, "fetch_revision", lambda ref, cache: other if ref == "then" else None)
    assert main(["experiment", "replay", row.key, "--results", str(tmp_path / "r.sqlite")]) == 0
    assert f"digest={row.digest} as_before=true" in capsys.readouterr().out


def test_a_trace_can_be_replayed_and_an_invalid_one_fails(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    trace = tmp_path / "day.csv"
    trace.write_text("at_ms,class,work_ms\n" + "".join(f"{i},look,5\n" for i in range(0, 1000, 10)))
    made = values(length_s=2)
    made["load"] = {"form": "trace", "trace": "day.csv"}
    apply_changes(made, {})
    assert {state for _, state, _ in _run_all(tmp_path / "t.sqlite", tmp_path, made)} == {"done"}
    key, _, digest = _run_all(tmp_path / "t.sqlite", tmp_path, made)[0]
    results = ["--results", str(tmp_path / "t.sqlite")]
    assert main(["experiment", "replay", key, *results]) == 0  # from any folder
    assert f"digest={digest} as_before=true" in capsys.readouterr().out
    trace.write_text("at_ms,class,work_ms\n5,look,5\n1,look,5\n")
    assert {state for _, state, _ in _run_all(tmp_path / "t.sqlite", tmp_path, made)} == {"failed"}


def test_the_command_runs_replays_reports_and_compares(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file, results = tmp_path / "small.toml", str(tmp_path / "r.sqlite")
    file.write_text(TEXT.replace("length_s = 6", "length_s = 2"))
    assert main(["experiment", "check", str(file)]) == 0
    assert main(["experiment", "run", str(file), "--results", results, "--quiet"]) == 0
    store = Store(Path(results))
    key = store.all()[0].key
    store.close()
    assert main(["experiment", "replay", key[:10], "--results", results]) == 0
    assert "as_before=true" in capsys.readouterr().out
    command_line = [str(file), "--results", results, "--set", "runs.seeds=1", "--quiet"]
    assert main(["experiment", "run", *command_line, "--model", "whole"]) == 0
    store = Store(Path(results))
    whole = store.all()[-1]
    store.close()
    assert whole.model == "whole" and whole.digest != key
    assert main(["experiment", "replay", whole.key, "--results", results]) == 0
    # The same runs under another experiment's names: not repeated, and reported under these names.
    other = tmp_path / "other.toml"
    varied = '[[vary]]\nfield = "load.of_capacity"\nvalues = [0.6]\n[[side]]\nname = "here"\n'
    other.write_text(file.read_text() + varied)
    capsys.readouterr()
    assert main(["experiment", "run", str(other), "--results", results, "--quiet"]) == 0
    out = capsys.readouterr().out
    assert "load.of_capacity=0.6 here" in out and "made_now=0 " in out
    page = tmp_path / "page"
    assert main(["experiment", "report", str(other), "--results", results, "--to", str(page)]) == 0
    assert {"report.html", "summary.csv", "runs.csv", "sweep-service.png"} <= {p.name for p in page.iterdir()}
    assert "load.of_capacity=0.6,here,4," in (page / "summary.csv").read_text()
    assert main(["experiment", "compare", str(file), "--results", results]) == 2
    assert "it takes two sides" in capsys.readouterr().err
    assert main(["experiment", "run", str(file), "--set", "load.of_capacity=0"]) == 2
    assert main(["experiment", "run", str(file), "--budget", "soon"]) == 2
    assert main(["experiment", "replay", "zz", "--results", results]) == 2
    assert all(line.startswith("leadrudder: ") for line in capsys.readouterr().err.splitlines()[-3:])

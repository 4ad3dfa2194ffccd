"""The demo runs without violations, and its checks detect each violation."""

from __future__ import annotations

import pytest

from leadrudder.cli import main
from leadrudder.demo.record import DRAIN_DEADLINE_S, Record


def _record(outcome: str = "served", executions: int = 1, name: str = "varaus") -> Record:
    record = Record()
    record.add_operation("1", name).outcome = outcome
    for _ in range(executions):
        record.count_execution("1")
    return record


def test_correct_results_have_no_violations() -> None:
    for record in (_record(), _record("refused", 0), _record("failed"), _record("failed", 0)):
        assert not record.violations()
    record = _record()
    record.count_arrival(None, 5.0)
    record.count_arrival(4.9, 5.0)
    assert not record.violations()


@pytest.mark.parametrize(
    ("outcome", "executions", "expected"),
    [
        ("lost", 0, "1 requests without an answer"),
        ("served", 2, "1 effects that happened twice"),
        ("refused", 1, "1 bookings that were refused and had run"),
        ("served", 0, "1 requests served that no server ran"),
    ],
)
def test_each_violated_rule_is_reported(outcome: str, executions: int, expected: str) -> None:
    assert _record(outcome, executions).violations() == [expected]


def test_request_after_announced_drain_is_a_violation() -> None:
    record = _record()
    record.count_arrival(1.0, 1.0 + DRAIN_DEADLINE_S + 0.01)
    assert record.violations() == ["1 requests to a server that was told to drain"]


def test_table_counts_results_by_class() -> None:
    record = _record()
    record.add_operation("2", "siirto")
    lines = record.table().splitlines()
    assert lines[1].split()[:6] == ["siirto", "0", "0", "0", "0", "1"]
    assert lines[2].split()[:6] == ["varaus", "1", "0", "0", "0", "0"]
    assert record.progress_line() == "1 served, 0 refused, 0 failed"


def test_demo_runs_without_violations(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["demo", "--seconds", "2"]) == 0
    out = capsys.readouterr().out
    assert "is killed" in out and "drains" in out and out.splitlines()[-1] == "the rules held"
    served = [int(line.split()[1]) for line in out.splitlines() if line.startswith(("varaus ", "siirto "))]
    assert len(served) == 2 and min(served) > 50

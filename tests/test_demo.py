"""The demonstration: it runs, and its judgement can fail."""

from __future__ import annotations

import pytest

from leadrudder.cli import main
from leadrudder.demo.record import DRAIN_S, Record


def _record(outcome: str = "served", ran: int = 1, name: str = "varaus") -> Record:
    record = Record()
    record.begin("1", name).outcome = outcome
    for _ in range(ran):
        record.ran("1")
    return record


def test_what_is_well_breaks_nothing() -> None:
    for record in (_record(), _record("refused", 0), _record("failed"), _record("failed", 0)):
        assert not record.broken()
    record = _record()
    record.arrived(None, 5.0)
    record.arrived(4.9, 5.0)
    assert not record.broken()


@pytest.mark.parametrize(
    ("outcome", "ran", "says"),
    [
        ("lost", 0, "1 requests without an answer"),
        ("served", 2, "1 effects that happened twice"),
        ("refused", 1, "1 bookings that were refused and had run"),
        ("served", 0, "1 requests served that no server ran"),
    ],
)
def test_a_broken_rule_is_told(outcome: str, ran: int, says: str) -> None:
    assert _record(outcome, ran).broken() == [says]


def test_a_request_after_the_drain_was_told() -> None:
    record = _record()
    record.arrived(1.0, 1.0 + DRAIN_S + 0.01)
    assert record.broken() == ["1 requests to a server that was told to drain"]


def test_the_table_counts_by_class() -> None:
    record = _record()
    record.begin("2", "siirto")
    lines = record.table().splitlines()
    assert lines[1].split()[:6] == ["siirto", "0", "0", "0", "0", "1"]
    assert lines[2].split()[:6] == ["varaus", "1", "0", "0", "0", "0"]
    assert record.line() == "1 served, 0 refused, 0 failed"


def test_it_runs_and_the_rules_hold(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["demo", "--seconds", "2"]) == 0
    out = capsys.readouterr().out
    assert "is killed" in out and "drains" in out and out.splitlines()[-1] == "the rules held"
    served = [int(line.split()[1]) for line in out.splitlines() if line.startswith(("varaus ", "siirto "))]
    assert len(served) == 2 and min(served) > 50

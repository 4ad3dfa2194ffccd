"""Ten thousand mixed calls: each ends exactly once, and no booking runs twice."""

from __future__ import annotations

import uvloop

from tests.rpc.mixed import play


def test_ten_thousand_mixed_calls_each_end_once_and_no_booking_runs_twice() -> None:
    tally, names = uvloop.run(play(10_000))
    assert tally.lost(names) == 0 and tally.twice() == 0
    assert tally.doubled() == 0 and tally.served_unrun() == 0
    ends = {how: tally.count(how) for how in ("served", "refused", "failed")}
    assert sum(ends.values()) == 10_000
    assert ends["served"] > 7_000 and ends["failed"] > 0 and tally.restarts > 3, ends

"""Under mixed load, every call ends exactly once and no booking is executed twice."""

from __future__ import annotations

import uvloop

from tests.rpc.mixed import play


def test_mixed_calls_end_exactly_once_and_no_booking_is_executed_twice() -> None:
    tally, names = uvloop.run(play(10_000))
    assert tally.unanswered(names) == 0 and tally.ended_repeatedly() == 0
    assert tally.bookings_executed_twice() == 0 and tally.served_unexecuted() == 0
    ends = {ending: tally.count_ended(ending) for ending in ("served", "refused", "failed")}
    assert sum(ends.values()) == 10_000
    assert ends["served"] > 7_000 and ends["failed"] > 0 and tally.restarts > 3, ends

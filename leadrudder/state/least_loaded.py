"""Least-outstanding selection among candidate servers, by this node's own calls.

Nodes share no state, but the sum of evenly spread calls is even too: seven nodes that draw each call by their
weights alone leave 1 to 14 calls at servers with a mean of seven, and a server that is crowded for long turns
slow for long.  The automaton draws among the servers that remain.
"""

from __future__ import annotations

from collections.abc import Sequence

from leadrudder.state.records import Server

SLOW_LATENCY_RATIO = 2.0  # a server above this multiple of the mean latency counts as having one more call


def fewest_outstanding(
    candidates: Sequence[int], servers: Sequence[Server], averages: Sequence[float | None], mean: float
) -> list[int]:
    """The candidates with the fewest outstanding calls of this node, in their order: O(candidates).

    candidates: indices of servers; averages: mean latency of each server, ms, None where not known yet;
    mean: of all averages.
    """
    call_counts = []
    for i in candidates:
        average = averages[i]
        call_counts.append(
            len(servers[i].outstanding) + (average is not None and average > SLOW_LATENCY_RATIO * mean)
        )
    fewest = min(call_counts, default=0)
    return [i for i, calls in zip(candidates, call_counts, strict=True) if calls == fewest]

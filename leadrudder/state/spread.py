"""Which of the servers that are fit hold the fewest of this node's calls.  A plain computation.

Nodes share nothing, but the sum of what each spreads evenly is even too: seven nodes that draw each call by
their shares alone leave 1 to 14 calls at servers that hold seven in the mean, and what is crowded for long
turns slow for long.  The draw among those that are left stays the automaton's.
"""

from __future__ import annotations

from collections.abc import Sequence

from leadrudder.state.records import Server

SLOW_LATENCY_RATIO = 2.0  # the mean of all averages: one beyond it counts as holding a call more than it does


def fewest_outstanding(
    among: Sequence[int], arms: Sequence[Server], averages: Sequence[float | None], mean: float
) -> list[int]:
    """Of these indices those whose servers hold the fewest calls of ours, in their order: O(of these).

    averages: mean latency of each server, ms, None where it is not known yet; mean: of all of them.
    """
    held = []
    for i in among:
        average = averages[i]
        held.append(len(arms[i].outstanding) + (average is not None and average > SLOW_LATENCY_RATIO * mean))
    least = min(held, default=0)
    return [i for i, calls in zip(among, held, strict=True) if calls == least]

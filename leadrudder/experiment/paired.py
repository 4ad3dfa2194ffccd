"""Paired comparison of two sides over seeds, with a confidence interval; the verdict may be 'cannot tell'.

The comparison is sequential: the number of seeds grows from look to look until the stated difference can be
told from chance. Each look spends half of the remaining error probability (alpha spending), so that repeated
looks do not inflate it: over all looks, equal sides are declared different in at most 5 of 100 comparisons.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from scipy.stats import t as student

ALPHA = 0.05
FIRST_LOOK_PAIRS = 8  # the interval of fewer pairs is too wide to be useful
LOOK_GROWTH = 1.5  # growth of the number of pairs from look to look


class Verdict(Enum):
    MORE = "more"
    LESS = "less"
    SAME = "no difference as large as was asked for"
    CANNOT_TELL = "cannot tell"


@dataclass(frozen=True)
class PairedResult:
    """Mean difference (after minus before) over all pairs, with its confidence interval."""

    verdict: Verdict
    pairs: int
    before: float
    after: float
    difference: float
    low: float
    high: float
    additional_pairs: int = 0  # estimate of how many more would allow a verdict

    @property
    def half_width(self) -> float:
        return (self.high - self.low) / 2.0


def look_schedule(max_pairs: int) -> list[int]:
    """Return the numbers of pairs at which the comparison is evaluated."""
    schedule, count = [], FIRST_LOOK_PAIRS
    while count < max_pairs:
        schedule.append(count)
        count = math.ceil(LOOK_GROWTH * count)
    return [*schedule, max_pairs]


def alpha_at_look(look: int, look_count: int) -> float:
    """Return the error probability spent at a look: half of the remainder, and all of it at the last look."""
    remaining = ALPHA * 0.5**look
    return remaining if look == look_count - 1 else remaining / 2.0


def compare(
    before: Sequence[float], after: Sequence[float], difference: float, alpha: float = ALPHA
) -> PairedResult:
    """Compare two sides on the same seeds. difference: the smallest difference that matters."""
    if len(before) != len(after) or not before:
        raise ValueError("a paired comparison needs equally many values on both sides, and at least one pair")
    deltas = [b - a for a, b in zip(before, after, strict=True)]
    pairs, mean = len(deltas), statistics.fmean(deltas)
    before_mean, after_mean = statistics.fmean(before), statistics.fmean(after)
    if pairs == 1:
        return PairedResult(
            Verdict.CANNOT_TELL, 1, before_mean, after_mean, mean, -math.inf, math.inf, FIRST_LOOK_PAIRS - 1
        )
    deviation = statistics.stdev(deltas)
    factor = float(student.ppf(1.0 - alpha / 2.0, pairs - 1))
    half_width = factor * deviation / math.sqrt(pairs)
    low, high = mean - half_width, mean + half_width
    if low > 0.0:
        verdict = Verdict.MORE
    elif high < 0.0:
        verdict = Verdict.LESS
    elif -difference < low and high < difference:
        verdict = Verdict.SAME
    else:
        verdict = Verdict.CANNOT_TELL
    additional = 0
    if verdict is Verdict.CANNOT_TELL:
        # The half width must shrink below the difference that matters, or below the observed mean.
        target = max(difference, abs(mean)) or half_width
        additional = max(1, math.ceil((factor * deviation / target) ** 2) - pairs)
    return PairedResult(verdict, pairs, before_mean, after_mean, mean, low, high, additional)


def confidence_interval(values: Sequence[float], alpha: float = ALPHA) -> tuple[float, float, float]:
    """Return the mean and the bounds of its confidence interval."""
    mean = statistics.fmean(values)
    if len(values) < 2:
        return mean, -math.inf, math.inf
    factor = float(student.ppf(1.0 - alpha / 2.0, len(values) - 1))
    half_width = factor * statistics.stdev(values) / math.sqrt(len(values))
    return mean, mean - half_width, mean + half_width

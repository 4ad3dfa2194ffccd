"""Whether two sides differ: paired over seeds, with an interval, and 'cannot tell' as an answer.

Seeds are looked at in growing numbers until the stated difference can be told from chance. Each look spends
half of what is left of the error allowed (alpha spending), so that looking often does not find by luck: over
all looks, equal sides are told apart in at most 5 of 100 comparisons.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from scipy.stats import t as student

ALPHA = 0.05
FIRST_LOOK_PAIRS = 8  # pairs; the interval of fewer says little
LOOK_GROWTH = 1.5  # of the number of pairs from look to look


class Verdict(Enum):
    MORE = "more"
    LESS = "less"
    SAME = "no difference as large as was asked for"
    CANNOT_TELL = "cannot tell"


@dataclass(frozen=True)
class PairedResult:
    """after less before: the mean over pairs, and the interval that holds it but for the error allowed."""

    verdict: Verdict
    pairs: int
    before: float
    after: float
    difference: float
    low: float
    high: float
    additional_pairs: int = 0  # about as many more would tell

    @property
    def half_width(self) -> float:
        return (self.high - self.low) / 2.0


def look_schedule(most: int) -> list[int]:
    """After how many pairs one looks."""
    found, count = [], FIRST_LOOK_PAIRS
    while count < most:
        found.append(count)
        count = math.ceil(LOOK_GROWTH * count)
    return [*found, most]


def alpha_at_look(look: int, of: int) -> float:
    """The error allowed at a look: half of what is left, and all of it at the last."""
    left = ALPHA * 0.5**look
    return left if look == of - 1 else left / 2.0


def compare(
    before: Sequence[float], after: Sequence[float], difference: float, alpha: float = ALPHA
) -> PairedResult:
    """Two sides on the same seeds. difference: what matters; a smaller one is as good as none."""
    if len(before) != len(after) or not before:
        raise ValueError(
            "a paired comparison needs as many of the one as of the other, and at least one pair"
        )
    gaps = [b - a for a, b in zip(before, after, strict=True)]
    pairs, mean = len(gaps), statistics.fmean(gaps)
    first, second = statistics.fmean(before), statistics.fmean(after)
    if pairs == 1:
        return PairedResult(
            Verdict.CANNOT_TELL, 1, first, second, mean, -math.inf, math.inf, FIRST_LOOK_PAIRS - 1
        )
    deviation = statistics.stdev(gaps)
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
    more = 0
    if verdict is Verdict.CANNOT_TELL:
        # The interval must become shorter than the difference, or than the mean that was found.
        goal = max(difference, abs(mean)) or half_width
        more = max(1, math.ceil((factor * deviation / goal) ** 2) - pairs)
    return PairedResult(verdict, pairs, first, second, mean, low, high, more)


def confidence_interval(values: Sequence[float], alpha: float = ALPHA) -> tuple[float, float, float]:
    """Mean, and the interval that holds it but for the error allowed."""
    mean = statistics.fmean(values)
    if len(values) < 2:
        return mean, -math.inf, math.inf
    factor = float(student.ppf(1.0 - alpha / 2.0, len(values) - 1))
    half_width = factor * statistics.stdev(values) / math.sqrt(len(values))
    return mean, mean - half_width, mean + half_width

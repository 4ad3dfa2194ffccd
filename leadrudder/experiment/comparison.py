"""Compares two sides of an experiment sequentially, over as many seeds as a verdict needs."""

from __future__ import annotations

from dataclasses import dataclass, field

from leadrudder.experiment import paired
from leadrudder.experiment.paired import PairedResult, Verdict
from leadrudder.experiment.pool import Job
from leadrudder.experiment.store import Row


class UnknownFigureError(Exception):
    """The runs have no figure of that name."""


@dataclass
class Comparison:
    """Sequential comparison of one figure for each variant. difference: the smallest that matters."""

    before: str
    after: str
    figure: str
    difference: float
    max_seeds: int
    results: dict[str, PairedResult] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.look_schedule = paired.look_schedule(self.max_seeds)

    def undecided_jobs(self, jobs: list[Job]) -> list[Job]:
        """Return the jobs that the next look needs: both sides of each variant without a verdict."""
        sides = (self.before, self.after)
        return [
            job
            for job in jobs
            if job.case.side.name in sides and not self._is_decided(variant_label(job.case.variant))
        ]

    def _is_decided(self, variant: str) -> bool:
        result = self.results.get(variant)
        return result is not None and result.verdict is not Verdict.CANNOT_TELL

    def evaluate_look(self, look: int, jobs: list[Job], rows: dict[str, Row]) -> bool:
        """Evaluate the runs of a look; returns True if all variants have a verdict.

        A seed forms a pair only if both of its runs are present and neither failed.
        """
        by_seed: dict[tuple[str, int], dict[str, float]] = {}
        for job in jobs:
            row = rows.get(job.key)
            if row is not None and row.state != "failed":
                both = by_seed.setdefault((variant_label(job.case.variant), job.case.seed), {})
                both[job.case.side.name] = self._figure_of(row)
        pairs: dict[str, list[dict[str, float]]] = {}
        for (variant, _), both in by_seed.items():
            if len(both) == 2:
                pairs.setdefault(variant, []).append(both)
        for variant, values in pairs.items():
            before, after = [x[self.before] for x in values], [x[self.after] for x in values]
            alpha = paired.alpha_at_look(look, len(self.look_schedule))
            self.results[variant] = paired.compare(before, after, self.difference, alpha)
        return bool(self.results) and all(self._is_decided(variant) for variant in self.results)

    def _figure_of(self, row: Row) -> float:
        try:
            return row.figures[self.figure]
        except KeyError:
            names = ", ".join(row.figures)
            raise UnknownFigureError(f"unknown figure {self.figure!r}; the runs have {names}") from None

    def describe(self) -> list[str]:
        """Return one line of text for each variant."""
        lines = []
        for variant, pair in self.results.items():
            more = f" (some {pair.additional_pairs} more seeds would tell)" if pair.additional_pairs else ""
            lines.append(
                f"{variant + ': ' if variant else ''}{self.figure}: {self.before} {pair.before:.4f},"
                f" {self.after} {pair.after:.4f}, difference {pair.difference:+.4f}"
                f" [{pair.low:+.4f}, {pair.high:+.4f}] over {pair.pairs} seeds: {pair.verdict.value}{more}"
            )
        return lines


def variant_label(variant: dict[str, float | int | str | bool]) -> str:
    """Format a combination of swept values as one line; empty if no field is swept."""
    return " ".join(f"{name}={value}" for name, value in variant.items())

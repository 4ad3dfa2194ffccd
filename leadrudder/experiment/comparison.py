"""Two sides of an experiment, held against each other over as many seeds as it takes to tell."""

from __future__ import annotations

from dataclasses import dataclass, field

from leadrudder.experiment import paired
from leadrudder.experiment.paired import PairedResult, Verdict
from leadrudder.experiment.pool import Job
from leadrudder.experiment.store import Row


class UnknownFigureError(Exception):
    """A figure that the runs do not have."""


@dataclass
class Comparison:
    """What has been told so far of each variant. most: seeds at the most; difference: what matters."""

    before: str
    after: str
    figure: str
    difference: float
    max_seeds: int
    results: dict[str, PairedResult] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.look_schedule = paired.look_schedule(self.max_seeds)

    def undecided_jobs(self, jobs: list[Job]) -> list[Job]:
        """The runs that a look needs: of the two sides, and of variants that are not told yet."""
        sides = (self.before, self.after)
        return [
            job
            for job in jobs
            if job.case.side.name in sides and not self._is_decided(variant_label(job.case.variant))
        ]

    def _is_decided(self, variant: str) -> bool:
        found = self.results.get(variant)
        return found is not None and found.verdict is not Verdict.CANNOT_TELL

    def evaluate_look(self, number: int, jobs: list[Job], rows: dict[str, Row]) -> bool:
        """Take in what the runs of a look have brought; True if all variants are told.

        Seeds of which one side is not there or has failed are no pairs.
        """
        halves: dict[tuple[str, int], dict[str, float]] = {}
        for job in jobs:
            row = rows.get(job.key)
            if row is not None and row.state != "failed":
                both = halves.setdefault((variant_label(job.case.variant), job.case.seed), {})
                both[job.case.side.name] = self._figure_of(row)
        pairs: dict[str, list[dict[str, float]]] = {}
        for (variant, _), both in halves.items():
            if len(both) == 2:
                pairs.setdefault(variant, []).append(both)
        for variant, values in pairs.items():
            before, after = [x[self.before] for x in values], [x[self.after] for x in values]
            alpha = paired.alpha_at_look(number, len(self.look_schedule))
            self.results[variant] = paired.compare(before, after, self.difference, alpha)
        return bool(self.results) and all(self._is_decided(variant) for variant in self.results)

    def _figure_of(self, row: Row) -> float:
        try:
            return row.figures[self.figure]
        except KeyError:
            names = ", ".join(row.figures)
            raise UnknownFigureError(f"there is no figure {self.figure!r}; there are {names}") from None

    def describe(self) -> list[str]:
        """A sentence for each variant."""
        lines = []
        for variant, one in self.results.items():
            more = f" (some {one.additional_pairs} more seeds would tell)" if one.additional_pairs else ""
            lines.append(
                f"{variant + ': ' if variant else ''}{self.figure}: {self.before} {one.before:.4f},"
                f" {self.after} {one.after:.4f}, difference {one.difference:+.4f}"
                f" [{one.low:+.4f}, {one.high:+.4f}] over {one.pairs} seeds: {one.verdict.value}{more}"
            )
        return lines


def variant_label(variant: dict[str, float | int | str | bool]) -> str:
    """A combination of what varies, in one line; empty where nothing does."""
    return " ".join(f"{name}={value}" for name, value in variant.items())

"""Two sides of an experiment, held against each other over as many seeds as it takes to tell."""

from __future__ import annotations

from dataclasses import dataclass, field

from leadrudder.experiment import paired
from leadrudder.experiment.paired import PairedResult, Verdict
from leadrudder.experiment.pool import Job
from leadrudder.experiment.store import Row


class FigureError(Exception):
    """A figure that the runs do not have."""


@dataclass
class Comparison:
    """What has been told so far of each variant. most: seeds at the most; difference: what matters."""

    before: str
    after: str
    figure: str
    difference: float
    most: int
    found: dict[str, PairedResult] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.look_schedule = paired.look_schedule(self.most)

    def wanted(self, jobs: list[Job]) -> list[Job]:
        """The runs that a look needs: of the two sides, and of variants that are not told yet."""
        sides = (self.before, self.after)
        return [
            job
            for job in jobs
            if job.case.side.name in sides and not self._told(variant_name(job.case.variant))
        ]

    def _told(self, variant: str) -> bool:
        found = self.found.get(variant)
        return found is not None and found.verdict is not Verdict.CANNOT_TELL

    def look(self, number: int, jobs: list[Job], rows: dict[str, Row]) -> bool:
        """Take in what the runs of a look have brought; True if all variants are told.

        Seeds of which one side is not there or has failed are no pairs.
        """
        halves: dict[tuple[str, int], dict[str, float]] = {}
        for job in jobs:
            row = rows.get(job.key)
            if row is not None and row.state != "failed":
                both = halves.setdefault((variant_name(job.case.variant), job.case.seed), {})
                both[job.case.side.name] = self._figure(row)
        pairs: dict[str, list[dict[str, float]]] = {}
        for (variant, _), both in halves.items():
            if len(both) == 2:
                pairs.setdefault(variant, []).append(both)
        for variant, values in pairs.items():
            before, after = [x[self.before] for x in values], [x[self.after] for x in values]
            alpha = paired.alpha_at_look(number, len(self.look_schedule))
            self.found[variant] = paired.compare(before, after, self.difference, alpha)
        return bool(self.found) and all(self._told(variant) for variant in self.found)

    def _figure(self, row: Row) -> float:
        try:
            return row.figures[self.figure]
        except KeyError:
            names = ", ".join(row.figures)
            raise FigureError(f"there is no figure {self.figure!r}; there are {names}") from None

    def lines(self) -> list[str]:
        """A sentence for each variant."""
        lines = []
        for variant, one in self.found.items():
            more = f" (some {one.additional_pairs} more seeds would tell)" if one.additional_pairs else ""
            lines.append(
                f"{variant + ': ' if variant else ''}{self.figure}: {self.before} {one.before:.4f},"
                f" {self.after} {one.after:.4f}, difference {one.difference:+.4f}"
                f" [{one.low:+.4f}, {one.high:+.4f}] over {one.pairs} seeds: {one.verdict.value}{more}"
            )
        return lines


def variant_name(variant: dict[str, float | int | str | bool]) -> str:
    """A combination of what varies, in one line; empty where nothing does."""
    return " ".join(f"{name}={value}" for name, value in variant.items())

"""Draws charts of an experiment's runs: one message each, units on every axis, legible at half size."""

from __future__ import annotations

import base64
import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")  # must precede the import of pyplot: no display is needed

import matplotlib.pyplot as plt  # noqa: E402
from hdrh.histogram import HdrHistogram  # noqa: E402

from leadrudder.experiment import paired  # noqa: E402
from leadrudder.experiment.store import Row  # noqa: E402

SIZE_INCHES = (9.0, 4.8)
DPI = 110
FONT_POINTS = 14  # still legible when the chart is shown at half size
SIDE_COLOURS = (
    *("#0b6e99", "#d1495b", "#3b8132", "#8d5a97", "#c77f00"),
    *("#4d4d4d", "#17becf", "#e377c2", "#a6a832", "#7f3c1d"),
)
MAX_SHADED_SIDES = 3  # with more sides, the spread around the lines is not shaded
SMOOTHING_S = 5
PERCENTILES = (0.0, 50.0, 75.0, 90.0, 95.0, 98.0, 99.0, 99.5, 99.8, 99.9)
FIGURE_LABELS = {
    "service": "worth served in time, part of what was asked",
    "worst_10s": "worth served in time in the worst 10 s",
    "tipped": "part of the seeds that tip",
    "jam_s": "seconds in a jam",
    "wasted": "work for answers that did not count, part of all",
    "tries_a_request": "tries of callers for each request",
}


@dataclass(frozen=True)
class Chart:
    """A chart that was written, and its title."""

    path: Path
    title: str


@dataclass
class RunSet:
    """The runs of one experiment, with its sides in the order of the file and its swept fields."""

    rows: list[Row]
    sides: list[str]
    fields: list[str]

    def runs_of(self, side: str, variant: dict[str, Any] | None = None) -> list[Row]:
        """Return the runs of a side that did not fail, of one variant or of all."""
        return [
            row
            for row in self.rows
            if row.side == side and row.state != "failed" and (variant is None or row.variant == variant)
        ]

    def field_values(self, field: str) -> list[Any]:
        """Return the values that a swept field takes, in order."""
        found = list(dict.fromkeys(row.variant[field] for row in self.rows if field in row.variant))
        return sorted(found) if all(isinstance(x, int | float) for x in found) else found

    def variants(self) -> list[dict[str, Any]]:
        found: list[dict[str, Any]] = []
        for row in self.rows:
            if row.variant not in found:
                found.append(row.variant)
        return found


def draw_charts(runs: RunSet, folder: Path) -> list[Chart]:
    """Draw all charts that apply to these runs, as PNGs in the folder."""
    with plt.rc_context({"font.size": FONT_POINTS, "axes.spines.top": False, "axes.spines.right": False}):
        charts = []
        if len(runs.fields) == 1:
            charts += [_sweep(runs, name, folder) for name in ("service", "tipped", "wasted")]
        elif len(runs.fields) >= 2:
            for side in runs.sides:
                charts += [_heatmap(runs, side, name, folder) for name in ("service", "tipped")]
        if not runs.fields:
            charts.append(_course(runs, {}, folder))
            charts += _latencies(runs, {}, folder)
        elif len(runs.fields) == 1:
            charts.append(_course(runs, runs.variants()[-1], folder))
            charts += _latencies(runs, runs.variants()[-1], folder)
        if len(runs.sides) > 1 and not runs.fields:
            charts.append(_differences(runs, folder))
        return charts


def _save(figure: Any, folder: Path, name: str, title: str) -> Chart:
    path = folder / f"{name}.png"
    figure.suptitle(title, x=0.01, ha="left", fontsize=FONT_POINTS, fontweight="bold", wrap=True)
    figure.savefig(path, dpi=DPI, metadata={"Software": None})
    plt.close(figure)
    return Chart(path, title)


def _axes(width: float = SIZE_INCHES[0], height: float = SIZE_INCHES[1]) -> tuple[Any, Any]:
    figure, axes = plt.subplots(figsize=(width, height), layout="constrained")
    return figure, axes


def _moving_share(served: Sequence[float], asked: Sequence[float]) -> list[float]:
    shares = []
    for i in range(len(asked)):
        low = max(0, i - SMOOTHING_S + 1)
        total = sum(asked[low : i + 1])
        shares.append(sum(served[low : i + 1]) / total if total else math.nan)
    return shares


def _title_suffix(variant: dict[str, Any]) -> str:
    """Return the part of a chart's title that names its variant."""
    return " at " + "; ".join(f"{name} = {value}" for name, value in variant.items()) if variant else ""


def _course(runs: RunSet, variant: dict[str, Any], folder: Path) -> Chart:
    """Draw the worth served over time: the mean over seeds, and their lowest decile."""
    figure, axes = _axes()
    troubles: dict[tuple[str, float, float], None] = {}
    for side, colour in zip(runs.sides, SIDE_COLOURS * 9, strict=False):
        rows = runs.runs_of(side, variant)
        if not rows:
            continue
        warm_up = float(rows[0].file.get("warm_up_s", 0.0))
        courses = [_moving_share(row.course["served"], row.course["asked"]) for row in rows]
        times = [warm_up + i + 1 for i in range(len(courses[0]))]
        means = [statistics.fmean(at) for at in zip(*courses, strict=True)]
        lowest_decile = [sorted(at)[len(at) // 10] for at in zip(*courses, strict=True)]
        axes.plot(times, means, color=colour, linewidth=2.5, label=side)
        if len(runs.sides) <= MAX_SHADED_SIDES:
            axes.fill_between(times, lowest_decile, means, color=colour, alpha=0.15, linewidth=0)
        for row in rows[:1]:
            troubles.update(dict.fromkeys((str(w), float(a), float(b)) for w, a, b in row.course["troubles"]))
    for i, (what, begin, end) in enumerate(troubles):
        axes.axvspan(begin, end, color="#999999", alpha=0.15, linewidth=0)
        axes.text(begin, 1.04 + 0.06 * (i % 2), what, fontsize=FONT_POINTS - 3, color="#444444", va="bottom")
    axes.set_ylim(0.0, 1.18 if troubles else 1.05)
    axes.set_xlabel("time, s")
    axes.set_ylabel(f"worth served in time,\npart of what was asked ({SMOOTHING_S} s)")
    figure.legend(frameon=False, loc="outside lower center", ncols=4)
    spread = ", shaded down to the worst tenth" if len(runs.sides) <= MAX_SHADED_SIDES else ""
    title = f"Service over time{_title_suffix(variant)}: mean of seeds{spread}"
    return _save(figure, folder, "course", title)


def _sweep(runs: RunSet, name: str, folder: Path) -> Chart:
    """Draw a figure against the only swept field."""
    figure, axes = _axes()
    (field,) = runs.fields
    values = runs.field_values(field)
    places = values if all(isinstance(x, int | float) for x in values) else list(range(len(values)))
    for side, colour in zip(runs.sides, SIDE_COLOURS * 9, strict=False):
        points = []
        for place, value in zip(places, values, strict=True):
            rows = runs.runs_of(side, {field: value})
            if rows:
                mean, low, high = paired.confidence_interval([row.figures[name] for row in rows])
                points.append((place, mean, max(low, 0.0), high if math.isfinite(high) else mean))
        if points:
            xs, means, lows, highs = zip(*points, strict=True)
            axes.plot(xs, means, color=colour, marker="o", linewidth=2.5, label=side)
            axes.fill_between(xs, lows, highs, color=colour, alpha=0.15, linewidth=0)
    if places is not values:
        axes.set_xticks(places, [str(value) for value in values])
    axes.set_xlabel(field)
    axes.set_ylabel("\n".join(_wrap(FIGURE_LABELS.get(name, name))))
    axes.set_ylim(bottom=0.0)
    axes.legend(frameon=False)
    title = f"{FIGURE_LABELS.get(name, name).capitalize()}, by {field}: means with 95% intervals"
    return _save(figure, folder, f"sweep-{name}", title)


def _heatmap(runs: RunSet, side: str, name: str, folder: Path) -> Chart:
    """Draw a figure against the first two swept fields, averaged over any others."""
    x_field, y_field = runs.fields[:2]
    xs, ys = runs.field_values(x_field), runs.field_values(y_field)
    cells = []
    for y in ys:
        line = []
        for x in xs:
            rows = [r for r in runs.runs_of(side) if r.variant[x_field] == x and r.variant[y_field] == y]
            line.append(statistics.fmean(r.figures[name] for r in rows) if rows else math.nan)
        cells.append(line)
    figure, axes = _axes(max(6.0, 1.1 * len(xs) + 3.0), max(4.2, 0.8 * len(ys) + 2.2))
    colours = "viridis" if name == "service" else "magma_r"
    image = axes.imshow(cells, origin="lower", aspect="auto", vmin=0.0, vmax=1.0, cmap=colours)
    for j, line in enumerate(cells):
        for i, value in enumerate(line):
            dark = (value < 0.55) if name == "service" else (value > 0.45)
            text = "-" if math.isnan(value) else f"{value:.2f}"
            axes.text(i, j, text, ha="center", va="center", color="white" if dark else "black")
    axes.set_xticks(range(len(xs)), [str(x) for x in xs])
    axes.set_yticks(range(len(ys)), [str(y) for y in ys])
    axes.set_xlabel(x_field)
    axes.set_ylabel(y_field)
    axes.spines[:].set_visible(False)
    figure.colorbar(image, label="\n".join(_wrap(FIGURE_LABELS.get(name, name))))
    return _save(figure, folder, f"heat-{side}-{name}", f"{side}: {FIGURE_LABELS.get(name, name)}")


def _latencies(runs: RunSet, variant: dict[str, Any], folder: Path) -> list[Chart]:
    """Draw, for each class, the latency percentiles of the served requests of all seeds."""
    charts = []
    classes = list(dict.fromkeys(name for row in runs.rows for name in row.latencies))
    for name in classes:
        figure, axes = _axes()
        has_data = False
        for side, colour in zip(runs.sides, SIDE_COLOURS * 9, strict=False):
            merged = HdrHistogram(1, 3_600_000_000, 3)
            for row in runs.runs_of(side, variant):
                merged.add(HdrHistogram.decode(base64.b64decode(row.latencies[name])))
            if merged.total_count:
                values = [merged.get_value_at_percentile(p) / 1000.0 for p in PERCENTILES]
                axes.plot(
                    range(len(PERCENTILES)), values, color=colour, marker="o", linewidth=2.5, label=side
                )
                has_data = True
        aims = [c["aim_ms"] for row in runs.rows[:1] for c in row.file["class"] if c["name"] == name]
        for aim in aims:
            axes.axhline(aim, color="#444444", linestyle="--", linewidth=1.2)
            axes.text(0, aim, " aim", va="bottom", fontsize=FONT_POINTS - 2, color="#444444")
        axes.set_xticks(range(len(PERCENTILES)), [f"{p:g}" for p in PERCENTILES])
        axes.set_xlabel("percentile of what was served")
        axes.set_ylabel("from the first try to the answer, ms")
        axes.set_yscale("log")
        if has_data:
            axes.legend(frameon=False, loc="upper left")
        title = f"Latency of {name}{_title_suffix(variant)}"
        charts.append(_save(figure, folder, f"latency-{name}", title))
    return charts


def _differences(runs: RunSet, folder: Path) -> Chart:
    """Draw the paired differences of each side to the first, with confidence intervals."""
    names = ("service", "worst_10s", "worst_class", "worst_tenant", "tipped", "wasted")
    figure, axes = _axes(height=5.4)
    base = {row.seed: row for row in runs.runs_of(runs.sides[0], {})}
    others = runs.sides[1:]
    for k, (side, colour) in enumerate(zip(others, SIDE_COLOURS[1:] * 9, strict=False)):
        rows = {row.seed: row for row in runs.runs_of(side, {}) if row.seed in base}
        if not rows:
            continue
        for j, name in enumerate(names):
            before = [base[seed].figures[name] for seed in rows]
            after = [row.figures[name] for row in rows.values()]
            result = paired.compare(before, after, 0.0)
            place = len(names) - j - (k + 1) / (len(others) + 1)
            half_width = result.half_width if math.isfinite(result.half_width) else 0.0
            label = side if not j else None
            axes.errorbar(
                result.difference,
                place,
                xerr=half_width,
                fmt="o",
                color=colour,
                capsize=4,
                linewidth=2.5,
                label=label,
            )
    axes.axvline(0.0, color="#444444", linewidth=1.2)
    axes.set_yticks([len(names) - j - 0.5 for j in range(len(names))], names)
    axes.set_xlabel(f"difference to {runs.sides[0]}, as parts of 1")
    axes.legend(frameon=False, loc="best")
    return _save(
        figure, folder, "differences", f"Against {runs.sides[0]}: means and 95% intervals over seeds"
    )


def _wrap(text: str, width: int = 34) -> list[str]:
    lines = [""]
    for word in text.split():
        if len(lines[-1]) + len(word) > width:
            lines.append("")
        lines[-1] = f"{lines[-1]} {word}".strip()
    return lines

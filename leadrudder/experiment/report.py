"""Writes the report of an experiment: charts as PNG, all figures as CSV, and one self-contained HTML page."""

from __future__ import annotations

import base64
import csv
import html
from pathlib import Path

from leadrudder.experiment import charts, paired
from leadrudder.experiment.charts import Chart, RunSet
from leadrudder.experiment.comparison import variant_label
from leadrudder.experiment.store import Row

SUMMARY_FIGURES = (
    "service", "worst_10s", "worst_class", "worst_tenant", "tipped", "jam_s", "recover_s", "wasted", "late",
    "tries_a_request", "attempts_a_request", "ended_refused", "ended_failed", "ended_none",
)  # fmt: skip

_STYLE = """
body { font: 16px/1.5 sans-serif; max-width: 60em; margin: 2em auto; padding: 0 1em; color: #222; }
img { max-width: 100%; margin: 1em 0; }
table { border-collapse: collapse; font-size: 14px; display: block; overflow-x: auto; }
td, th { padding: 0.25em 0.7em; border-bottom: 1px solid #ddd; text-align: right; white-space: nowrap; }
td:first-child, th:first-child, td:nth-child(2), th:nth-child(2) { text-align: left; }
"""


def write_report(runs: RunSet, name: str, about: str, folder: Path) -> list[Path]:
    """Write the report into the folder; returns the written files, the page first."""
    folder.mkdir(parents=True, exist_ok=True)
    drawn = charts.draw_charts(runs, folder)
    runs_csv = _write_runs_csv(runs, folder / "runs.csv")
    summary = _summary_rows(runs)
    summary_csv = folder / "summary.csv"
    with summary_csv.open("w", newline="", encoding="utf-8") as file:
        csv.writer(file).writerows(summary)
    page = folder / "report.html"
    page.write_text(_html_page(runs, name, about, drawn, summary), encoding="utf-8")
    return [page, summary_csv, runs_csv, *(chart.path for chart in drawn)]


def _write_runs_csv(runs: RunSet, path: Path) -> Path:
    """Write one line per run with all of its figures."""
    figures = list(dict.fromkeys(name for row in runs.rows for name in row.figures))
    header = ["key", "side", "policy", "ref", *runs.fields, "seed", "state", "broken", "digest", *figures]
    with path.open("w", newline="", encoding="utf-8") as file:
        writer = csv.writer(file)
        writer.writerow(header)
        for row in runs.rows:
            broken = " ".join(f"{rule}:{times}" for rule, times in row.broken.items())
            variant_cells = [row.variant.get(field, "") for field in runs.fields]
            values = [f"{row.figures[name]:.6g}" if name in row.figures else "" for name in figures]
            writer.writerow(
                [
                    row.key,
                    row.side,
                    row.policy,
                    row.ref,
                    *variant_cells,
                    row.seed,
                    row.state,
                    broken,
                    row.digest,
                    *values,
                ]
            )
    return path


def _summary_rows(runs: RunSet) -> list[list[str]]:
    """Return one line per variant and side: means with the half widths of their intervals."""
    lines = [["variant", "side", "seeds", *SUMMARY_FIGURES, "broke a rule"]]
    for variant in runs.variants():
        for side in runs.sides:
            rows = runs.runs_of(side, variant)
            if rows:
                broken = sum(row.state == "broken" for row in rows)
                cells = [_cell(rows, name) for name in SUMMARY_FIGURES]
                lines.append([variant_label(variant), side, str(len(rows)), *cells, str(broken)])
    return lines


def _cell(rows: list[Row], name: str) -> str:
    mean, low, _ = paired.confidence_interval([row.figures[name] for row in rows])
    return f"{mean:.3f} ± {mean - low:.3f}" if len(rows) > 1 else f"{mean:.3f}"


def _html_page(runs: RunSet, name: str, about: str, drawn: list[Chart], summary: list[list[str]]) -> str:
    failed = [row for row in runs.rows if row.state == "failed"]
    parts = [
        f"<!doctype html><html lang='en'><meta charset='utf-8'><title>{html.escape(name)}</title>",
        f"<style>{_STYLE}</style><h1>{html.escape(name)}</h1><p>{html.escape(about)}</p>",
        f"<p>{len(runs.rows)} runs{f', of which {len(failed)} failed' if failed else ''}.</p>",
    ]
    for chart in drawn:
        data = base64.b64encode(chart.path.read_bytes()).decode()
        alt = html.escape(chart.title, quote=True)
        parts.append(f"<img src='data:image/png;base64,{data}' alt='{alt}'>")
    parts.append("<h2>Figures</h2><p>Means over seeds, with half of the 95% interval.</p><table>")
    for i, line in enumerate(summary):
        tag = "td" if i else "th"
        parts.append("<tr>" + "".join(f"<{tag}>{html.escape(cell)}</{tag}>" for cell in line) + "</tr>")
    parts.append("</table>")
    if failed:
        parts.append("<h2>Failed</h2><ul>")
        parts += [f"<li>{html.escape(f'{r.side} seed {r.seed}: {r.note}')}</li>" for r in failed]
        parts.append("</ul>")
    parts.append("</html>")
    return "\n".join(parts)

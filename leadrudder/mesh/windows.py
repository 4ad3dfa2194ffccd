"""mesh window plan | start | stop | done | watch | page: maintenance of machines, asked of a signalbox."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Sequence
from html import escape
from typing import Any

from returns.result import Failure, Result

from leadrudder.maintenance.ledger import bucket_upper_bound_ms
from leadrudder.mesh.snapshots import fetch

WATCH_EACH_S = 2.0
OVER = ("done", "stopped", "expired")
BOOKS = ("asked", "landed", "failed", "refused", "in_doubt", "lost", "twice")


def _show(answer: Result[bytes, str]) -> dict[str, Any] | None:
    """A window as a table; None after one line that says why there is none."""
    if isinstance(answer, Failure):
        print(f"leadrudder: {answer.failure()}", file=sys.stderr)
        return None
    told: dict[str, Any] = json.loads(answer.unwrap())
    print(f"window {told['name']}: {told['state']}, {_when(told['from'])} to {_when(told['to'])}")
    print(f"{'machine':<20} {'stage':<10} {'out from':<19} {'back by':<19} tenants")
    for step in told["machines"]:
        tenants = ", ".join(step["tenants"])
        leave, back = _when(step["leave"]), _when(step["back"])
        print(f"{step['machine']:<20} {step['stage']:<10} {leave:<19} {back:<19} {tenants}")
        if step["why"]:
            print(f"{'':<20} {step['why']}")
    return told


def _when(at: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(at))


def order(node: str, name: str, told: dict[str, Any], *, keep: bool) -> int:
    """Ask for a window, or only for its plan.  0: it is possible; 2: why not."""
    path = f"/maintenance/{name}" if keep else f"/maintenance/{name}/plan"
    return 0 if _show(fetch(node, path, "POST", json.dumps(told).encode())) is not None else 2


def stop(node: str, name: str) -> int:
    return 0 if _show(fetch(node, f"/maintenance/{name}", "DELETE")) is not None else 2


def done(node: str, name: str, machine: str) -> int:
    """The works at a machine are over."""
    return 0 if _show(fetch(node, f"/maintenance/{name}/done/{machine}", "POST")) is not None else 2


def watch(nodes: Sequence[str], name: str, *, once: bool, as_json: bool) -> int:
    """Show a window until it is over.  0: done; 1: stopped or expired, or a booking is lost or doubled."""
    told: dict[str, Any] | None = None
    while True:
        for node in nodes:
            answer = fetch(node, f"/maintenance/{name}")
            if not isinstance(answer, Failure):
                break
        if as_json and not isinstance(answer, Failure):
            told = json.loads(answer.unwrap())
            print(json.dumps(told, indent=1))
        else:
            told = _show(answer)
        if told is None:
            return 2
        report = told.get("report", {})
        if not as_json:
            _books(report)
        if once or told["state"] in OVER:
            wrong = any(row["lost"] or row["twice"] for row in report.values())
            return 1 if wrong or told["state"] in ("stopped", "expired") else 0
        time.sleep(WATCH_EACH_S)


def page(node: str, name: str, out: str) -> int:
    """A window's report as one page with charts.  0: written; 1: it tells of a lost or doubled booking."""
    answer = fetch(node, f"/maintenance/{name}")
    if isinstance(answer, Failure):
        print(f"leadrudder: {answer.failure()}", file=sys.stderr)
        return 2
    told: dict[str, Any] = json.loads(answer.unwrap())
    try:
        with open(out, "w", encoding="utf-8") as file:
            file.write(rendered(told))
    except OSError as error:
        print(f"leadrudder: {out}: {error.strerror}", file=sys.stderr)
        return 2
    print(f"{out}: window {name}, {told['state']}")
    return 1 if any(row["lost"] or row["twice"] for row in told["report"].values()) else 0


def rendered(told: dict[str, Any]) -> str:
    """The page: stages of each machine, the books of each service, its look-ups beside those before."""
    steps = "".join(
        f"<tr><td>{escape(s['machine'])}<td>{escape(s['stage'])}<td>{_when(s['leave'])}<td>{_when(s['back'])}"
        f"<td>{escape(', '.join(s['tenants']))}<td>{escape(s['why'])}"
        for s in told["machines"]
    )
    books = "".join(
        f"<tr><td>{escape(service)}" + "".join(f"<td>{row[key]}" for key in BOOKS)
        for service, row in sorted(told["report"].items())
    )
    charts = "".join(
        f"<h3>Look-ups of {escape(service)}, by how long they took</h3>{_chart(row)}"
        for service, row in sorted(told["report"].items())
        if row["lookups"]
    )
    heads = "".join(f"<th>{key}" for key in BOOKS)
    return (
        "<!doctype html><meta charset=utf-8><style>body{font:14px sans-serif;margin:2em}"
        "td,th{padding:2px 10px;text-align:right}td:first-child{text-align:left}</style>"
        f"<title>window {escape(told['name'])}</title><h1>Window {escape(told['name'])}: "
        f"{escape(told['state'])}</h1><p>{_when(told['from'])} to {_when(told['to'])} UTC "
        f"{escape(told['stopped'])}<h2>Machines</h2><table><tr><th>machine<th>stage<th>out from<th>back by"
        f"<th>tenants<th>{steps}</table><h2>Bookings, by both ends</h2><table><tr><th>service{heads}{books}"
        f"</table><h2>Look-ups</h2><p>Dark: while it ran; light: before, scaled to as many.{charts}\n"
    )


def _chart(row: dict[str, Any]) -> str:
    """Two histograms over the same times."""
    took, usual = row["took"], row["ordinary_took"]
    scale = sum(took) / max(1, sum(usual))
    sides = [[float(n) for n in took], [scale * n for n in usual]]
    top = max(max(side) for side in sides) or 1.0
    bars = [
        f'<rect x="{12 * i + 5 * at}" y="{120 - 110 * n / top:.1f}" width="5" height="{110 * n / top:.1f}" '
        f'fill="{("#247", "#9bd")[at]}"/>'
        for at, side in enumerate(sides)
        for i, n in enumerate(side)
    ]
    marks = [
        f'<text x="{12 * i}" y="134" font-size="9">{bucket_upper_bound_ms(i):.0f}</text>'
        for i in range(0, len(took), 4)
    ]
    width = 12 * len(took) + 30
    return f'<svg width="{width}" height="140">{"".join(bars)}{"".join(marks)}</svg><p>ms'


def _books(report: dict[str, dict[str, Any]]) -> None:
    if not report:
        return
    heads = ("asked", "landed", "lost", "twice", "doubt", "refused")
    print(f"{'service':<14}", *(f"{head:>7}" for head in heads), " look-ups")
    for service, row in sorted(report.items()):
        took = f"{row['lookups']:.0f}"
        if row["lookup_p50_ms"] is not None:
            took += f", p50 {row['lookup_p50_ms']:.0f} ms, p99 {row['lookup_p99_ms']:.0f} ms"
        if row["ordinary_p50_ms"] is not None:
            took += f" (before: {row['ordinary_p50_ms']:.0f}, {row['ordinary_p99_ms']:.0f})"
        numbers = (row[key] for key in ("asked", "landed", "lost", "twice", "in_doubt", "refused"))
        print(f"{service:<14}", *(f"{number:>7}" for number in numbers), f" {took}")

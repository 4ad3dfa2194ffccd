"""mesh window plan | start | stop | done | watch | page: maintenance windows, by way of one node's API."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Sequence
from html import escape
from typing import Any

from returns.result import Failure, Result

from leadrudder.maintenance.ledger import bucket_upper_bound_ms
from leadrudder.mesh.snapshots import call_api

WATCH_PERIOD_S = 2.0
FINAL_STATES = ("done", "stopped", "expired")
REPORT_COUNTS = ("asked", "landed", "failed", "refused", "in_doubt", "lost", "twice")


def _print_window(answer: Result[bytes, str]) -> dict[str, Any] | None:
    """Prints a window as a table, or one line with the error and returns None."""
    if isinstance(answer, Failure):
        print(f"leadrudder: {answer.failure()}", file=sys.stderr)
        return None
    window: dict[str, Any] = json.loads(answer.unwrap())
    print(f"window {window['name']}: {window['state']}, {_utc(window['from'])} to {_utc(window['to'])}")
    print(f"{'machine':<20} {'stage':<10} {'out from':<19} {'back by':<19} tenants")
    for step in window["machines"]:
        tenants = ", ".join(step["tenants"])
        leave, back = _utc(step["leave"]), _utc(step["back"])
        print(f"{step['machine']:<20} {step['stage']:<10} {leave:<19} {back:<19} {tenants}")
        if step["why"]:
            print(f"{'':<20} {step['why']}")
    return window


def _utc(unix_s: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(unix_s))


def request_window(node: str, name: str, order: dict[str, Any], *, keep: bool) -> int:
    """Requests a window, or only its plan.  0: it is possible; 2: the reasons why not are printed."""
    path = f"/maintenance/{name}" if keep else f"/maintenance/{name}/plan"
    return 0 if _print_window(call_api(node, path, "POST", json.dumps(order).encode())) is not None else 2


def stop_window(node: str, name: str) -> int:
    return 0 if _print_window(call_api(node, f"/maintenance/{name}", "DELETE")) is not None else 2


def finish_machine(node: str, name: str, machine: str) -> int:
    """Reports that the work on a machine is finished."""
    return (
        0 if _print_window(call_api(node, f"/maintenance/{name}/done/{machine}", "POST")) is not None else 2
    )


def watch_window(nodes: Sequence[str], name: str, *, once: bool, as_json: bool) -> int:
    """Prints a window until it ends.  0: done; 1: stopped or expired, or a booking was lost or duplicated."""
    window: dict[str, Any] | None = None
    while True:
        for node in nodes:
            answer = call_api(node, f"/maintenance/{name}")
            if not isinstance(answer, Failure):
                break
        if as_json and not isinstance(answer, Failure):
            window = json.loads(answer.unwrap())
            print(json.dumps(window, indent=1))
        else:
            window = _print_window(answer)
        if window is None:
            return 2
        report = window.get("report", {})
        if not as_json:
            _print_report(report)
        if once or window["state"] in FINAL_STATES:
            booking_error = any(row["lost"] or row["twice"] for row in report.values())
            return 1 if booking_error or window["state"] in ("stopped", "expired") else 0
        time.sleep(WATCH_PERIOD_S)


def write_report(node: str, name: str, path: str) -> int:
    """Writes a window's report as HTML.  0: written; 1: written, and a booking was lost or duplicated."""
    answer = call_api(node, f"/maintenance/{name}")
    if isinstance(answer, Failure):
        print(f"leadrudder: {answer.failure()}", file=sys.stderr)
        return 2
    window: dict[str, Any] = json.loads(answer.unwrap())
    try:
        with open(path, "w", encoding="utf-8") as file:
            file.write(render_report(window))
    except OSError as error:
        print(f"leadrudder: {path}: {error.strerror}", file=sys.stderr)
        return 2
    print(f"{path}: window {name}, {window['state']}")
    return 1 if any(row["lost"] or row["twice"] for row in window["report"].values()) else 0


def render_report(window: dict[str, Any]) -> str:
    """The HTML page: machine stages, booking counts by service, and look-up times against those before."""
    steps = "".join(
        f"<tr><td>{escape(s['machine'])}<td>{escape(s['stage'])}<td>{_utc(s['leave'])}<td>{_utc(s['back'])}"
        f"<td>{escape(', '.join(s['tenants']))}<td>{escape(s['why'])}"
        for s in window["machines"]
    )
    rows = "".join(
        f"<tr><td>{escape(service)}" + "".join(f"<td>{row[key]}" for key in REPORT_COUNTS)
        for service, row in sorted(window["report"].items())
    )
    charts = "".join(
        f"<h3>Look-ups of {escape(service)}, by how long they took</h3>{_render_histograms(row)}"
        for service, row in sorted(window["report"].items())
        if row["lookups"]
    )
    headers = "".join(f"<th>{key}" for key in REPORT_COUNTS)
    return (
        "<!doctype html><meta charset=utf-8><style>body{font:14px sans-serif;margin:2em}"
        "td,th{padding:2px 10px;text-align:right}td:first-child{text-align:left}</style>"
        f"<title>window {escape(window['name'])}</title><h1>Window {escape(window['name'])}: "
        f"{escape(window['state'])}</h1><p>{_utc(window['from'])} to {_utc(window['to'])} UTC "
        f"{escape(window['stopped'])}<h2>Machines</h2><table><tr><th>machine<th>stage<th>out from<th>back by"
        f"<th>tenants<th>{steps}</table><h2>Bookings, by both ends</h2><table><tr><th>service{headers}{rows}"
        f"</table><h2>Look-ups</h2><p>Dark: while it ran; light: before, scaled to as many.{charts}\n"
    )


def _render_histograms(row: dict[str, Any]) -> str:
    """Two histograms over the same ranges of duration, as SVG."""
    took, usual = row["took"], row["ordinary_took"]
    scale = sum(took) / max(1, sum(usual))
    histograms = [[float(n) for n in took], [scale * n for n in usual]]
    peak = max(max(counts) for counts in histograms) or 1.0
    bars = [
        f'<rect x="{12 * i + 5 * at}" y="{120 - 110 * n / peak:.1f}" width="5" height="{110 * n / peak:.1f}" '
        f'fill="{("#247", "#9bd")[at]}"/>'
        for at, counts in enumerate(histograms)
        for i, n in enumerate(counts)
    ]
    labels = [
        f'<text x="{12 * i}" y="134" font-size="9">{bucket_upper_bound_ms(i):.0f}</text>'
        for i in range(0, len(took), 4)
    ]
    width = 12 * len(took) + 30
    return f'<svg width="{width}" height="140">{"".join(bars)}{"".join(labels)}</svg><p>ms'


def _print_report(report: dict[str, dict[str, Any]]) -> None:
    if not report:
        return
    headers = ("asked", "landed", "lost", "twice", "doubt", "refused")
    print(f"{'service':<14}", *(f"{header:>7}" for header in headers), " look-ups")
    for service, row in sorted(report.items()):
        took = f"{row['lookups']:.0f}"
        if row["lookup_p50_ms"] is not None:
            took += f", p50 {row['lookup_p50_ms']:.0f} ms, p99 {row['lookup_p99_ms']:.0f} ms"
        if row["ordinary_p50_ms"] is not None:
            took += f" (before: {row['ordinary_p50_ms']:.0f}, {row['ordinary_p99_ms']:.0f})"
        numbers = (row[key] for key in ("asked", "landed", "lost", "twice", "in_doubt", "refused"))
        print(f"{service:<14}", *(f"{number:>7}" for number in numbers), f" {took}")

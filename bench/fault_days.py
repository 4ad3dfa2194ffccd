"""Runs days with one kind of fault each, alone and during the loss of a core machine, on the users' bench.

For every kind of fault that the bench lists, writes a day of a deployment in which that kind occurs alone,
while a core machine is partitioned, while one has lost power, and while one is replaced. The days run one at
a time or a few in parallel; a table shows the violated rules and the score of each day.

    python -m bench.fault_days --bench PROGRAM --site SITE [--kinds a,b] [--jobs 3] [--out FOLDER]

The bench's list of kinds and the site file are read at each run, and nothing of them is copied here. Times
are seconds from the start of traffic.
"""

from __future__ import annotations

import argparse
import re
import subprocess
import sys
import tomllib
from collections.abc import Iterator, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

Entry = dict[str, Any]

# Kinds that the operator or the platform causes on purpose.  They belong to a day's plan, not to its faults.
PLANNED_KINDS = frozenset(
    {
        "release",
        "scale_in",
        "scale_out",
        "config_change",
        "config_race",
        "bad_config",
        "evacuate",
        "roll_term",
        "hup",
    }
)
KINDS_WITHOUT_DURATION = frozenset(
    {"release", "scale_in", "scale_out", "config_change", "config_race", "bad_config"}
)
CORE_LOSSES: tuple[tuple[float, Entry], ...] = (
    (8.0, {"kind": "core_cut", "count": 1, "for_s": 5.0, "how": "all"}),
    (16.0, {"kind": "node_kill", "on": "core", "count": 1, "for_s": 3.0, "how": "power"}),
    (22.0, {"kind": "replace_core", "x": 1.4}),
)
ALONE_AT_S = 3.0
OVERLAP_DELAY_S = 0.8  # from the loss of a core machine to the fault that overlaps it
FAULT_DURATION_S = 3.0
CHANGES_AT_S = (2.0, 9.5, 17.5, 23.0, 26.0)
CLOSING_FAULT = {"kind": "power_off_all", "down_s": 1.5}
RULE_NAMES = (
    "MIXED|UNASKED|TWICE|REFUSED|DENIED|ROUTE|DRAIN|LOST|CONFIG|BUDGET|FAILBACK|HOME|EVAC|RECOVER|GONE|FAULT"
)
RULE_LINE = re.compile(rf"^\W*(rule |broken|{RULE_NAMES})")
KIND_LINE = re.compile(r"^([a-z]+(?:_[a-z]+)*): ", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class DayOutcome:
    """The outcome of one day.  exit_code: of the bench; text: its whole output."""

    kind: str
    exit_code: int
    text: str

    @property
    def violations(self) -> str:
        """The lines that name a violated rule, cut to 360 characters together."""
        return "; ".join(line.strip()[:120] for line in self.text.splitlines() if RULE_LINE.match(line))[:360]

    @property
    def row(self) -> str:
        """The bench's figures: score, worth, fractions served, refused and failed, and the weakest part."""
        lines = iter(self.text.splitlines())
        figures = next((next(lines, "") for line in lines if line.startswith("day ")), "no figures")
        return " ".join(figures.split()[1:])[:120]


def listed_kinds(listing: str) -> list[str]:
    """The names of all kinds in the bench's list, without its variants and defaults."""
    return [
        kind for kind in dict.fromkeys(KIND_LINE.findall(listing)) if kind not in ("zone", "closing", "for_s")
    ]


def fault_entry(kind: str, at: float) -> Entry:
    entry: Entry = {"at": at, "kind": kind}
    if kind not in KINDS_WITHOUT_DURATION:
        entry["for_s"] = FAULT_DURATION_S
    return entry


def day_table(kind: str, template: Mapping[str, Any], seed: int) -> Entry:
    """A day with the template's traffic and this kind, alone and during each loss of a core machine."""
    entries = [fault_entry(kind, ALONE_AT_S)]
    losses: list[Entry] = []
    for at, loss in CORE_LOSSES:
        losses.append({"at": at, **loss})
        entries.append(fault_entry(kind, at + OVERLAP_DELAY_S))
    changes = [{"at": at, "kind": "config_change", "how": "idle"} for at in CHANGES_AT_S]
    planned = changes + (entries if kind in PLANNED_KINDS else [])
    faults = losses + ([] if kind in PLANNED_KINDS else entries)
    table = {**template, "name": f"fault-{kind}", "seed": seed, "closing": CLOSING_FAULT}
    return {**table, "plan": planned, "faults": faults}


def toml_value(value: Any) -> str:
    """The value in TOML syntax, with inline tables."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int | float):
        return repr(value)
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(value, Mapping):
        return "{ " + ", ".join(f"{key} = {toml_value(element)}" for key, element in value.items()) + " }"
    return "[" + ", ".join(toml_value(element) for element in value) + "]"


def toml_day(table: Mapping[str, Any]) -> str:
    return "[[day]]\n" + "".join(f"{key} = {toml_value(value)}\n" for key, value in table.items())


def run_day(arguments: argparse.Namespace, kind: str, template: Mapping[str, Any]) -> DayOutcome:
    path = Path(arguments.out).absolute() / f"{Path(arguments.site).stem}-{kind}.toml"
    path.write_text(toml_day(day_table(kind, template, arguments.seed)))
    command = [arguments.bench, "run", arguments.site, str(path), "--jobs", "1", "--why", arguments.why]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    path.with_suffix(".log").write_text(completed.stdout + completed.stderr)
    return DayOutcome(kind, completed.returncode, completed.stdout + completed.stderr)


def run_days(arguments: argparse.Namespace) -> Iterator[DayOutcome]:
    """Run the days; yields their outcomes in the order of the kinds."""
    site = tomllib.loads(Path(arguments.site).read_text())
    template = next(day for day in site["day"] if day["name"] == arguments.template)
    listing = subprocess.run(
        [arguments.bench, "kinds", arguments.site], capture_output=True, text=True, check=True
    )
    kinds = arguments.kinds.split(",") if arguments.kinds else listed_kinds(listing.stdout)
    with ThreadPoolExecutor(arguments.jobs) as pool:
        yield from pool.map(lambda kind: run_day(arguments, kind, template), kinds)


def main(argv: Sequence[str] | None = None) -> int:
    """The last line has the number of days that violated a rule; the exit code is 1 if there were any."""
    parser = argparse.ArgumentParser(prog="python -m bench.fault_days", description=__doc__)
    parser.add_argument("--bench", required=True, help="the program of the bench")
    parser.add_argument("--site", required=True, help="a deployment's site file")
    parser.add_argument("--kinds", default="", help="only these, separated by commas")
    parser.add_argument("--template", default="scale-1", help="the standard day whose traffic is used")
    parser.add_argument("--seed", type=int, default=4301)
    parser.add_argument("--jobs", type=int, default=3, help="days run in parallel")
    parser.add_argument("--out", default=".", help="folder for the written days and logs")
    parser.add_argument("--why", default="one kind of fault alone and beside core losses")
    arguments = parser.parse_args(argv)
    violating_days = day_count = 0
    for outcome in run_days(arguments):
        day_count += 1
        violating_days += bool(outcome.violations)
        print(f"{outcome.kind:18} exit {outcome.exit_code}  {outcome.row}  {outcome.violations}", flush=True)
    print(f"days={day_count} broken={violating_days}")
    return 1 if violating_days else 0


if __name__ == "__main__":
    sys.exit(main())

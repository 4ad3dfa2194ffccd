"""Days with one kind of fault each, alone and beside the loss of core machines, played on the users' bench.

For every kind that the bench lists, a day of a deployment is written in which that kind comes alone, while a
core machine is cut off, while one is without power, and while one is replaced. The days are played one after
the other or a few at once, and a table tells which rules broke and what each day was worth.

    python -m bench.fault_days --bench PROGRAM --site SITE [--kinds a,b] [--jobs 3] [--out FOLDER]

Nothing of the bench is copied: its list of kinds and the site file are read each time. Times are seconds
from the start of traffic.
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

# Kinds that the operator or the platform brings about on purpose.
PLANNED = frozenset(
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
SPANNED = frozenset({"release", "scale_in", "scale_out", "config_change", "config_race", "bad_config"})
CORE_LOSSES: tuple[tuple[float, Entry], ...] = (
    (8.0, {"kind": "core_cut", "count": 1, "for_s": 5.0, "how": "all"}),
    (16.0, {"kind": "node_kill", "on": "core", "count": 1, "for_s": 3.0, "how": "power"}),
    (22.0, {"kind": "replace_core", "x": 1.4}),
)
ALONE_AT = 3.0
BESIDE_AFTER = 0.8  # seconds from the loss of a core machine to the fault beside it
FAULT_FOR = 3.0
CHANGES_AT = (2.0, 9.5, 17.5, 23.0, 26.0)
CLOSING = {"kind": "power_off_all", "down_s": 1.5}
RULES = (
    "MIXED|UNASKED|TWICE|REFUSED|DENIED|ROUTE|DRAIN|LOST|CONFIG|BUDGET|FAILBACK|HOME|EVAC|RECOVER|GONE|FAULT"
)
RULE = re.compile(rf"^\W*(rule |broken|{RULES})")
KIND = re.compile(r"^([a-z]+(?:_[a-z]+)*): ", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class Outcome:
    """How one day went.  exit_code: of the bench; text: all that it printed."""

    kind: str
    exit_code: int
    text: str

    @property
    def broken(self) -> str:
        """The lines that name a broken rule, the first three."""
        return "; ".join(line.strip()[:120] for line in self.text.splitlines() if RULE.match(line))[:360]

    @property
    def row(self) -> str:
        """Score, worth, part served, refused and failed, and the weakest part, as the bench tells them."""
        lines = iter(self.text.splitlines())
        told = next((next(lines, "") for line in lines if line.startswith("day ")), "no figures")
        return " ".join(told.split()[1:])[:120]


def kinds(listing: str) -> list[str]:
    """The names of all kinds in the bench's own list; variants and defaults are left out."""
    return [kind for kind in dict.fromkeys(KIND.findall(listing)) if kind not in ("zone", "closing", "for_s")]


def fault(kind: str, at: float) -> Entry:
    entry: Entry = {"at": at, "kind": kind}
    if kind not in SPANNED:
        entry["for_s"] = FAULT_FOR
    return entry


def day(kind: str, template: Mapping[str, Any], seed: int) -> Entry:
    """A day of the template's traffic with this kind alone and beside each loss of a core machine."""
    wanted = [fault(kind, ALONE_AT)]
    losses: list[Entry] = []
    for at, loss in CORE_LOSSES:
        losses.append({"at": at, **loss})
        wanted.append(fault(kind, at + BESIDE_AFTER))
    changes = [{"at": at, "kind": "config_change", "how": "idle"} for at in CHANGES_AT]
    plan = changes + (wanted if kind in PLANNED else [])
    faults = losses + ([] if kind in PLANNED else wanted)
    made = {**template, "name": f"fault-{kind}", "seed": seed, "closing": CLOSING}
    return {**made, "plan": plan, "faults": faults}


def toml_value(value: Any) -> str:
    """A value as TOML writes it, tables inline."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int | float):
        return repr(value)
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(value, Mapping):
        return "{ " + ", ".join(f"{key} = {toml_value(each)}" for key, each in value.items()) + " }"
    return "[" + ", ".join(toml_value(each) for each in value) + "]"


def toml_day(made: Mapping[str, Any]) -> str:
    return "[[day]]\n" + "".join(f"{key} = {toml_value(value)}\n" for key, value in made.items())


def play(arguments: argparse.Namespace, kind: str, template: Mapping[str, Any]) -> Outcome:
    path = Path(arguments.out).absolute() / f"{Path(arguments.site).stem}-{kind}.toml"
    path.write_text(toml_day(day(kind, template, arguments.seed)))
    command = [arguments.bench, "run", arguments.site, str(path), "--jobs", "1", "--why", arguments.why]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    path.with_suffix(".log").write_text(done.stdout + done.stderr)
    return Outcome(kind, done.returncode, done.stdout + done.stderr)


def outcomes(arguments: argparse.Namespace) -> Iterator[Outcome]:
    """The days as they end, in the order of the list."""
    site = tomllib.loads(Path(arguments.site).read_text())
    template = next(each for each in site["day"] if each["name"] == arguments.template)
    listing = subprocess.run(
        [arguments.bench, "kinds", arguments.site], capture_output=True, text=True, check=True
    )
    wanted = arguments.kinds.split(",") if arguments.kinds else kinds(listing.stdout)
    with ThreadPoolExecutor(arguments.jobs) as pool:
        yield from pool.map(lambda kind: play(arguments, kind, template), wanted)


def main(argv: Sequence[str] | None = None) -> int:
    """The number of days that broke a rule is told last; the exit code is 1 if there were any."""
    parser = argparse.ArgumentParser(prog="python -m bench.fault_days", description=__doc__)
    parser.add_argument("--bench", required=True, help="the bench's program")
    parser.add_argument("--site", required=True, help="a deployment's site file")
    parser.add_argument("--kinds", default="", help="only these, separated by commas")
    parser.add_argument("--template", default="scale-1", help="the standard day whose traffic is used")
    parser.add_argument("--seed", type=int, default=4301)
    parser.add_argument("--jobs", type=int, default=3, help="days at once")
    parser.add_argument("--out", default=".", help="where days and logs are written")
    parser.add_argument("--why", default="one kind of fault alone and beside core losses")
    arguments = parser.parse_args(argv)
    broken = played = 0
    for outcome in outcomes(arguments):
        played += 1
        broken += bool(outcome.broken)
        print(f"{outcome.kind:18} exit {outcome.exit_code}  {outcome.row}  {outcome.broken}", flush=True)
    print(f"days={played} broken={broken}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())

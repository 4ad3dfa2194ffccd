"""The fault plan: what befalls a world and when, drawn from one seed, kept as data.

A plan is a list of faults; each has a kind, an instant, and figures whose meaning its kind gives. It can be
written, read again and cut down: the world draws nothing from the plan's own random source, so that leaving a
fault out changes nothing else of what was drawn.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass
from typing import Any


class PlanError(Exception):
    """A plan that cannot be used; its text says which part."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One thing that goes wrong.

    at_ms: virtual time at which it begins. target: picks among what is there then, modulo its number.
    span_ms: how long it lasts, where it lasts. level: how bad, in [0, 1].
    """

    kind: str
    at_ms: int
    target: int
    span_ms: int
    level: float


@dataclass(frozen=True, slots=True)
class Kind:
    """What a kind of fault does, and how often it is drawn."""

    what: str
    weight: float
    shortest_ms: int
    longest_ms: int


KINDS: dict[str, Kind] = {
    # the network
    "tail": Kind("a part of all pieces takes long", 1.0, 500, 4000),
    "slow-link": Kind("everything to and from a server's machine takes longer", 1.0, 500, 5000),
    "shatter": Kind("most writes are split at any place", 0.7, 500, 5000),
    "coincide": Kind("arrivals fall on whole milliseconds, as timers do", 1.5, 1000, 8000),
    "reset-before": Kind("a node's next connections to a server are cut before the request is in", 1.2, 1, 1),
    "reset-within": Kind("the same, within the request", 1.2, 1, 1),
    "reset-after": Kind("the same, right after the request", 1.5, 1, 1),
    "reset-answer": Kind("a server's next answers are cut before, within or after", 1.5, 1, 1),
    "half-open": Kind("a server's machine is cut off and back, its process untouched", 1.0, 300, 6000),
    # servers
    "silent": Kind("machines vanish, 12% of a tier at once, and are back as cold processes", 1.5, 1000, 8000),
    "crash": Kind("a server's process dies and a cold one takes its place", 1.2, 200, 4000),
    "drain": Kind("a server drains, leaves and is replaced", 1.5, 500, 4000),
    "release": Kind("half of a tier's servers are replaced by cold ones at once", 0.0, 500, 4000),
    "reuse": Kind("a server goes, and one of another name starts at its address", 1.0, 100, 2000),
    "slow": Kind("a server works many times slower", 1.2, 1000, 6000),
    "slow-all": Kind("every server of a tier works slower", 0.6, 1000, 5000),
    "full": Kind("a server turns calls away", 1.0, 300, 4000),
    "errors": Kind("a server answers 500", 1.0, 300, 4000),
    "spoilt": Kind("a server sends answers that are none", 1.2, 300, 4000),
    "surplus": Kind("a server sends more than its answer", 1.2, 300, 4000),
    "unmarked": Kind("a server answers 503 to what it has run, unmarked", 1.2, 300, 4000),
    "close-told": Kind("a server tells that it closes with its answers, and does so later", 1.0, 500, 5000),
    "hang": Kind("a server takes calls and does not answer", 1.0, 500, 5000),
    "close-idle": Kind("a server closes connections right after its answers", 0.8, 500, 5000),
    # discovery
    "list-down": Kind("discovery resets its watches and refuses", 1.2, 500, 6000),
    "list-silent": Kind("discovery's machine is cut off", 0.8, 500, 9000),
    "list-late": Kind("changes are told late", 1.0, 1000, 8000),
    "list-back": Kind("discovery tells a list of the past again", 1.0, 200, 3000),
    "list-garbage": Kind("discovery writes lines that are none", 0.6, 1, 1),
    "list-moved": Kind("discovery has another address; nodes get SIGHUP", 0.8, 1, 1),
    # nodes
    "node-killed": Kind("a node's process is killed outright and starts again", 1.0, 200, 3000),
    "node-restart": Kind("a node gets SIGTERM and starts again when it has ended", 1.5, 200, 2000),
    "node-reload": Kind("a node gets SIGHUP, sometimes with a file that cannot be read", 0.7, 1, 1),
    "node-frozen": Kind("a node's core is away", 1.2, 5, 400),
    # callers
    "leave": Kind("callers leave before their answer", 1.0, 500, 4000),
    "flood": Kind("callers come several times as fast", 1.0, 500, 3000),
    "rude": Kind("callers send what is no request, or a part of one", 1.0, 500, 4000),
    "same-id": Kind("callers send the id of an open request once more", 1.0, 500, 4000),
    "pipeline": Kind("callers send several requests in a row", 0.7, 500, 4000),
    "slow-reader": Kind("callers do not read their answers for a while", 0.5, 500, 4000),
}


def draw(seed: str, start_ms: int, span_ms: int, count: int, kinds: Sequence[str] = ()) -> list[Fault]:
    """Faults within a span of time; kinds: only of these. PlanError for a kind that is unknown."""
    allowed = check_kinds(kinds) or list(KINDS)
    rng = random.Random(f"{seed}/faults/{start_ms}")
    # One of no weight is drawn only when it is asked for by its name: seeds without it stay what they were.
    weights = [KINDS[kind].weight or float(bool(kinds)) for kind in allowed]
    found = []
    for kind in rng.choices(allowed, weights, k=count):
        what = KINDS[kind]
        # Squared: most are short, some last.
        span = what.shortest_ms + (what.longest_ms - what.shortest_ms) * rng.random() ** 2
        found.append(
            Fault(
                kind,
                start_ms + int(rng.random() * span_ms),
                rng.randrange(1 << 16),
                int(span),
                round(rng.random(), 3),
            )
        )
    return sorted(found, key=lambda fault: fault.at_ms)


def check_kinds(kinds: Iterable[str]) -> list[str]:
    """The kinds, if all of them are known; PlanError else."""
    kinds = list(kinds)
    for kind in kinds:
        if kind not in KINDS:
            raise PlanError(f"unknown fault {kind!r}; known are {', '.join(KINDS)}")
    return kinds


def to_json(faults: Iterable[Fault]) -> list[dict[str, Any]]:
    """A plan as it is written to a trace."""
    return [asdict(fault) for fault in faults]


def from_json(raw: Any) -> list[Fault]:
    """A plan from a trace; PlanError if it is none."""
    if not isinstance(raw, list):
        raise PlanError("the plan is not a list of faults")
    found = []
    for item in raw:
        try:
            fault = Fault(
                str(item["kind"]),
                int(item["at_ms"]),
                int(item["target"]),
                int(item["span_ms"]),
                float(item["level"]),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise PlanError(f"not a fault: {item!r} ({error})") from None
        check_kinds([fault.kind])
        found.append(fault)
    return found

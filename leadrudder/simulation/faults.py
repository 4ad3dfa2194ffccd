"""Fault plans: the faults of a run and their times, drawn from one seed and kept as data.

A plan is a list of faults; each has a kind, a time, and parameters whose meaning depends on the kind. It can
be written, read and reduced: the world does not share the plan's random source, so removing a fault does not
change any other draw.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass
from typing import Any


class PlanError(Exception):
    """An invalid plan; the message says which part."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    at_ms: virtual time of its start. target: picks a candidate, modulo their number at that time.
    span_ms: duration of kinds that last. level: severity in [0, 1].
    """

    kind: str
    at_ms: int
    target: int
    span_ms: int
    level: float


@dataclass(frozen=True, slots=True)
class FaultKind:
    """A kind of fault: its description, the weight with which it is drawn, and its range of durations."""

    description: str
    weight: float
    min_span_ms: int
    max_span_ms: int


FAULT_KINDS: dict[str, FaultKind] = {
    # the network
    "tail": FaultKind("a part of all pieces takes long", 1.0, 500, 4000),
    "slow-link": FaultKind("everything to and from a server's machine takes longer", 1.0, 500, 5000),
    "shatter": FaultKind("most writes are split at any place", 0.7, 500, 5000),
    "coincide": FaultKind("arrivals fall on whole milliseconds, as timers do", 1.5, 1000, 8000),
    "reset-before": FaultKind(
        "a node's next connections to a server are cut before the request is in", 1.2, 1, 1
    ),
    "reset-within": FaultKind("the same, within the request", 1.2, 1, 1),
    "reset-after": FaultKind("the same, right after the request", 1.5, 1, 1),
    "reset-answer": FaultKind("a server's next answers are cut before, within or after", 1.5, 1, 1),
    "half-open": FaultKind("a server's machine is cut off and back, its process untouched", 1.0, 300, 6000),
    # servers
    "silent": FaultKind(
        "machines vanish, 12% of a tier at once, and are back as cold processes", 1.5, 1000, 8000
    ),
    "crash": FaultKind("a server's process dies and a cold one takes its place", 1.2, 200, 4000),
    "drain": FaultKind("a server drains, leaves and is replaced", 1.5, 500, 4000),
    "release": FaultKind("half of a tier's servers are replaced by cold ones at once", 0.0, 500, 4000),
    "reuse": FaultKind("a server goes, and one of another name starts at its address", 1.0, 100, 2000),
    "slow": FaultKind("a server works many times slower", 1.2, 1000, 6000),
    "slow-all": FaultKind("every server of a tier works slower", 0.6, 1000, 5000),
    "full": FaultKind("a server turns calls away", 1.0, 300, 4000),
    "errors": FaultKind("a server answers 500", 1.0, 300, 4000),
    "spoilt": FaultKind("a server sends answers that are none", 1.2, 300, 4000),
    "surplus": FaultKind("a server sends more than its answer", 1.2, 300, 4000),
    "unmarked": FaultKind("a server answers 503 to what it has run, unmarked", 1.2, 300, 4000),
    "close-told": FaultKind(
        "a server tells that it closes with its answers, and does so later", 1.0, 500, 5000
    ),
    "hang": FaultKind("a server takes calls and does not answer", 1.0, 500, 5000),
    "close-idle": FaultKind("a server closes connections right after its answers", 0.8, 500, 5000),
    # discovery
    "list-down": FaultKind("discovery resets its watches and refuses", 1.2, 500, 6000),
    "list-silent": FaultKind("discovery's machine is cut off", 0.8, 500, 9000),
    "list-late": FaultKind("changes are told late", 1.0, 1000, 8000),
    "list-back": FaultKind("discovery tells a list of the past again", 1.0, 200, 3000),
    "list-garbage": FaultKind("discovery writes lines that are none", 0.6, 1, 1),
    "list-moved": FaultKind("discovery has another address; nodes get SIGHUP", 0.8, 1, 1),
    # nodes
    "node-killed": FaultKind("a node's process is killed outright and starts again", 1.0, 200, 3000),
    "node-restart": FaultKind("a node gets SIGTERM and starts again when it has ended", 1.5, 200, 2000),
    "node-reload": FaultKind("a node gets SIGHUP, sometimes with a file that cannot be read", 0.7, 1, 1),
    "node-frozen": FaultKind("a node's core is away", 1.2, 5, 400),
    # callers
    "leave": FaultKind("callers leave before their answer", 1.0, 500, 4000),
    "flood": FaultKind("callers come several times as fast", 1.0, 500, 3000),
    "rude": FaultKind("callers send what is no request, or a part of one", 1.0, 500, 4000),
    "same-id": FaultKind("callers send the id of an open request once more", 1.0, 500, 4000),
    "pipeline": FaultKind("callers send several requests in a row", 0.7, 500, 4000),
    "slow-reader": FaultKind("callers do not read their answers for a while", 0.5, 500, 4000),
}


def draw_faults(seed: str, start_ms: int, span_ms: int, count: int, kinds: Sequence[str] = ()) -> list[Fault]:
    """Draws faults within a span of time, of these kinds or of all. PlanError for an unknown kind."""
    allowed = validate_kinds(kinds) or list(FAULT_KINDS)
    rng = random.Random(f"{seed}/faults/{start_ms}")
    # A kind of weight 0 is drawn only when requested by name, so that it does not change other draws.
    weights = [FAULT_KINDS[kind].weight or float(bool(kinds)) for kind in allowed]
    faults = []
    for kind in rng.choices(allowed, weights, k=count):
        fault_kind = FAULT_KINDS[kind]
        # The square makes most faults short and a few long.
        span = fault_kind.min_span_ms + (fault_kind.max_span_ms - fault_kind.min_span_ms) * rng.random() ** 2
        faults.append(
            Fault(
                kind,
                start_ms + int(rng.random() * span_ms),
                rng.randrange(1 << 16),
                int(span),
                round(rng.random(), 3),
            )
        )
    return sorted(faults, key=lambda fault: fault.at_ms)


def validate_kinds(kinds: Iterable[str]) -> list[str]:
    """Returns the kinds; PlanError if one is unknown."""
    kinds = list(kinds)
    for kind in kinds:
        if kind not in FAULT_KINDS:
            raise PlanError(f"unknown fault {kind!r}; known are {', '.join(FAULT_KINDS)}")
    return kinds


def faults_to_json(faults: Iterable[Fault]) -> list[dict[str, Any]]:
    """The JSON form of a plan, as in traces."""
    return [asdict(fault) for fault in faults]


def faults_from_json(raw: Any) -> list[Fault]:
    """Reads a plan from its JSON form; PlanError if it is invalid."""
    if not isinstance(raw, list):
        raise PlanError("the plan is not a list of faults")
    faults = []
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
        validate_kinds([fault.kind])
        faults.append(fault)
    return faults

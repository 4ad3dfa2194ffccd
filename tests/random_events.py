"""python -m tests.random_events: rough events through the module; prints whether it was interpreted, and a
digest.

Arrivals of three classes, lists that come and go, every outcome, in the order that a seed gives.  All actions
go into the digest with their figures in full, and the shares at the end: no bit of a decision may differ.
"""

from __future__ import annotations

import hashlib
import random
from dataclasses import dataclass, field

from leadrudder import Balancer
from leadrudder.interface import (
    Arrival,
    AttemptEnded,
    Effect,
    Event,
    ListKind,
    Outcome,
    ProbeEnded,
    Readiness,
    RepeatGroup,
    RequestClass,
    RequestGone,
    Send,
    ServerEntry,
    ServerList,
    SetTimer,
    Settings,
    Tenant,
    TimerFired,
)
from leadrudder.state import weights

CLASSES = (
    RequestClass("r", 300, 2000),
    RequestClass("k", 600, 3000, worth=2.0, effect=Effect.KEYED, group=RepeatGroup.CELL, window_ms=4000.0),
    RequestClass("w", 900, 3000, worth=3.0, effect=Effect.UNSAFE),
)
SEEDS = 12
STEPS = 900
Out = tuple[int, int, bytes, float]  # request, attempt, server, sent


def settings(seed: int) -> Settings:
    odd = seed % 2
    return Settings(
        classes=CLASSES,
        tenants=(Tenant("a", 0.7, 40.0), Tenant("b", 0.3, 20.0)),
        balancers=1 + seed % 3 * 40,
        stages=1 + seed % 3,
        stage=odd if seed % 3 else 0,
        zones=2,
        cross_zone_price=0.1 * odd,
        may_probe=bool(odd),
        ask_for_list=bool(odd),
        capacity_hints=True,
        max_attempts=4,
        cold_ms=3000.0,
        tick_ms=5.0,
        worth_by_work=bool(odd),
    )


@dataclass
class EventSequence:
    """A balancer that receives events drawn from a seed."""

    seed: int
    node: Balancer = field(init=False)
    rng: random.Random = field(init=False)
    now: float = 1.0
    number: int = 0
    tries: dict[int, int] = field(default_factory=dict)
    out: list[Out] = field(default_factory=list)
    timers: list[tuple[float, int]] = field(default_factory=list)
    actions: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.node = Balancer(settings(self.seed), self.seed)
        self.rng = random.Random(self.seed)
        self.handle(ServerList(ListKind.FULL, self.entries()))

    def entries(self) -> tuple[ServerEntry, ...]:
        rng = self.rng
        readiness = [Readiness.READY] * 8 + [Readiness.DRAINING, Readiness.GONE]
        return tuple(
            ServerEntry(
                b"%d" % i,
                rng.choice(readiness),
                rng.choice([1.0, 2.0, 0.5]),
                i % 3,
                i % 2,
                i % 5,
                rng.choice([0.0, 0.0, max(1.0, self.now - 500.0)]),
            )
            for i in range(120 if self.seed % 4 == 3 else 9)
            if rng.random() < 0.9
        )

    def handle(self, event: Event) -> None:
        for action in self.node.handle(event, self.now):
            self.actions.append(repr(action))
            if isinstance(action, Send):
                attempt = self.tries.get(action.request, 0)
                self.tries[action.request] = attempt + 1
                self.out.append((action.request, attempt, action.server, self.now))
            elif isinstance(action, SetTimer):
                self.timers.append((action.at_ms, action.token))

    def step(self) -> None:
        rng = self.rng
        self.now += rng.expovariate(0.1)
        for timer in sorted(t for t in self.timers if t[0] <= self.now):
            self.timers.remove(timer)
            self.handle(TimerFired(timer[1]))
        x = rng.random()
        if x < 0.45 or not self.out:
            self.number += 1
            hint = rng.choice([None, 20.0, 60.0])
            kind, tenant = rng.randrange(3), rng.randrange(2)
            self.handle(Arrival(self.number, kind, 2000.0, tenant, cost_hint_ms=hint))
        elif x < 0.95:
            request, attempt, server, sent = self.out.pop(rng.randrange(min(len(self.out), 8)))
            outcome = rng.choice([Outcome.OK] * 8 + list(Outcome))
            ended = AttemptEnded(request, attempt, server, outcome, self.now - sent, outcome is Outcome.OK)
            self.handle(ended)
        elif x < 0.97:
            self.handle(RequestGone(rng.randint(1, self.number)))
        elif x < 0.98:
            probed = rng.choice([Outcome.OK, Outcome.TIMEOUT])
            self.handle(ProbeEnded(b"%d" % rng.randrange(9), probed, 5.0))
        else:
            kind_of_list = rng.choice([ListKind.FULL, ListKind.CHANGES, ListKind.FAILED])
            self.handle(ServerList(kind_of_list, self.entries(), self.number))


def digest() -> str:
    found = hashlib.sha256()
    for seed in range(SEEDS):
        sequence = EventSequence(seed)
        for _ in range(STEPS):
            sequence.step()
        sequence.actions.append(repr((sequence.node.automaton.p, sequence.node.automaton.mean())))
        found.update("\n".join(sequence.actions).encode())
    return found.hexdigest()


if __name__ == "__main__":
    print(weights.__file__.endswith(".py"), digest())

"""An independent check of the four rules over a seeded random stream of events.

It shares no code with the module.  The harness answers the module's actions with legal outcomes in arbitrary
order, without modelling any service, and asserts the rules for every action.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from leadrudder import Balancer
from leadrudder.interface import (
    Action,
    Arrival,
    AttemptEnded,
    Cancel,
    Effect,
    Event,
    Fail,
    ListKind,
    Outcome,
    Probe,
    ProbeEnded,
    Readiness,
    Refuse,
    RepeatGroup,
    RequestClass,
    RequestGone,
    Send,
    ServerEntry,
    ServerId,
    ServerList,
    SetTimer,
    Settings,
    Subscribe,
    TimerFired,
)

NEVER_RAN_OUTCOMES = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


@dataclass
class SentAttempt:
    entry: ServerEntry
    sent: float
    limit: float
    ended: Outcome | None = None


@dataclass
class OpenRequest:
    kind: RequestClass
    deadline: float
    done_at: float | None = None
    attempts: list[SentAttempt] = field(default_factory=list)

    def possible_runs(self) -> list[SentAttempt]:
        return [a for a in self.attempts if a.ended is None or a.ended not in NEVER_RAN_OUTCOMES]


class Surrounding:
    """Passes events to a balancer and checks the returned actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.balancer = Balancer(settings, seed)
        self.now = 1000.0
        self.owed: dict[int, OpenRequest] = {}
        self.rows: dict[ServerId, ServerEntry] = {}
        self.timers: list[tuple[float, int]] = []
        self.probes: list[ServerId] = []
        self.subscriptions = 0
        self.log: list[Action] = []
        self.next_id = 1
        self.open: set[int] = set()

    def feed(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(event, self.now)
        for action in actions:
            self._check(action)
        self.log.extend(actions)
        return actions

    def arrive(self, class_index: int = 0, budget: float | None = None) -> int:
        kind = self.settings.classes[class_index]
        budget = kind.deadline_ms if budget is None else budget
        request = self.next_id
        self.next_id += 1
        self.owed[request] = OpenRequest(kind, self.now + budget)
        self.open.add(request)
        self.feed(Arrival(request, class_index, budget))
        return request

    def end(self, request: int, number: int, outcome: Outcome) -> None:
        request_state = self.owed[request]
        attempt = request_state.attempts[number]
        attempt.ended = outcome
        if outcome is Outcome.OK and request_state.done_at is None:
            request_state.done_at = self.now
        finished = request_state.done_at is not None
        elapsed = self.now - attempt.sent
        self.feed(AttemptEnded(request, number, attempt.entry.server, outcome, elapsed, finished))

    def live(self, request: int) -> Iterator[int]:
        """The attempts in flight, including any that is sent during the iteration."""
        return (number for number, attempt in enumerate(self.owed[request].attempts) if attempt.ended is None)

    def list_of(self, rows: list[ServerEntry], kind: ListKind = ListKind.FULL) -> None:
        if kind is not ListKind.CHANGES:
            self.rows = {}
        self.rows.update({r.server: r for r in rows})
        self.feed(ServerList(kind, tuple(rows)))

    def _check(self, action: Action) -> None:
        match action:
            case Send(request, server, timeout):
                self._check_send(request, server, timeout)
            case Refuse(request, _) | Fail(request):
                request_state = self.owed[request]
                assert request_state.done_at is None, "rule 1: a second final answer"
                assert (
                    self.now <= request_state.deadline + self.settings.answer_slack_ms
                ), "rule 1: answered too late"
                request_state.done_at = self.now
                if (
                    isinstance(action, Refuse)
                    and request_state.possible_runs()
                    and request_state.kind.effect is not Effect.SAFE
                ):
                    assert (
                        request_state.kind.effect is Effect.KEYED
                    ), "rule 2: refused an unsafe request that may have run"
                    assert (
                        request_state.kind.group is RepeatGroup.ALL
                    ), "rule 2: refused a keyed request whose group is not all servers"
            case SetTimer(token, at):
                self.timers.append((at, token))
            case Cancel(request, number):
                assert self.settings.may_cancel and number < len(self.owed[request].attempts)
            case Probe(server):
                assert self.settings.may_probe and server in self.rows
                self.probes.append(server)
            case Subscribe():
                self.subscriptions += 1

    def _check_send(self, request: int, server: ServerId, timeout: float) -> None:
        request_state = self.owed[request]
        assert request_state.done_at is None, "rule 1: sent for a finished request"
        assert self.now < request_state.deadline and timeout >= 0.0
        assert len(request_state.attempts) < self.settings.max_attempts
        entry = self.rows.get(server)
        assert entry is not None and entry.readiness is Readiness.READY, "rule 3: sent to a drained server"
        earlier = request_state.possible_runs()
        if earlier:
            kind = request_state.kind
            assert kind.effect is not Effect.UNSAFE, "rule 2: an unsafe request sent twice"
            if not self.settings.may_duplicate:
                assert all(a.ended is not None for a in request_state.attempts), "two copies at once"
            if kind.effect is Effect.KEYED:
                for other in earlier:
                    assert self.now - other.sent < kind.window_ms, "rule 2: outside the window"
                    if kind.group is RepeatGroup.CELL:
                        assert entry.cell == other.entry.cell, "rule 2: another cell"
                    if kind.group is RepeatGroup.ZONE:
                        assert entry.zone == other.entry.zone, "rule 2: another zone"
        limit = min(request_state.deadline, self.now + timeout) if timeout else request_state.deadline
        request_state.attempts.append(SentAttempt(entry, self.now, limit))

    # ---------------------------------------------------------------- time

    def step(self, span: float) -> None:
        """Advances the time: ends overdue attempts and fires due timers."""
        self.now += span
        self.open = {
            r
            for r in self.open
            if self.owed[r].done_at is None or any(t.ended is None for t in self.owed[r].attempts)
        }
        for request in sorted(self.open):
            for number, attempt in enumerate(self.owed[request].attempts):
                if attempt.ended is None and attempt.limit <= self.now:
                    self.end(request, number, Outcome.TIMEOUT)
        self.fire_due()
        for request_state in self.owed.values():
            assert (
                request_state.done_at is not None
                or self.now <= request_state.deadline + self.settings.answer_slack_ms
            ), "rule 1: no answer in time"

    def fire_due(self) -> None:
        """Fires the timers of the module only."""
        due = [t for t in self.timers if t[0] <= self.now]
        self.timers = [t for t in self.timers if t[0] > self.now]
        for _, token in due:
            self.feed(TimerFired(token))

    def run_random_events(self, steps: int) -> None:
        """Runs a seeded stream of random legal events."""
        rng = self.rng
        outcomes = list(Outcome)
        for _ in range(steps):
            what = rng.random()
            live = [(r, n) for r in sorted(self.open) for n in self.live(r)]
            if what < 0.35:
                index = rng.randrange(len(self.settings.classes))
                self.arrive(index, rng.choice([None, 30.0, 400.0]))
            elif what < 0.65 and live:
                request, number = rng.choice(live)
                self.end(request, number, rng.choice([*outcomes, Outcome.OK, Outcome.OK]))
            elif what < 0.7:
                self._send_random_list()
            elif what < 0.73:
                request = rng.randrange(1, self.next_id + 1)
                request_state = self.owed.get(request)
                if request_state is not None and request_state.done_at is None:
                    request_state.done_at = self.now
                self.feed(RequestGone(request))
            elif what < 0.76 and self.probes:
                self.feed(ProbeEnded(self.probes.pop(), rng.choice(outcomes), 5.0))
            else:
                self.step(rng.choice([0.0, 5.0, 5.0, 10.0, 15.0]))
        for _ in range(2000):
            self.step(10.0)

    def _send_random_list(self) -> None:
        rng = self.rng
        kind = rng.choice(list(ListKind))
        if kind is ListKind.FAILED:
            self.feed(ServerList(kind))
            return
        rows = []
        for i in range(12):
            if rng.random() < 0.6:
                started = rng.choice([0.0, self.now - 200.0])
                rows.append(
                    ServerEntry(
                        bytes([i]), rng.choice(list(Readiness)), 1.0 + i % 2, 0, i % 3, i // 4, started
                    )
                )
        self.list_of(rows, kind)

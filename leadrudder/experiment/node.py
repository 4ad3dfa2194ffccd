"""A modelled node: the policy module with everything around it except the transport.

It does what leadrudder/node/ does around the module: request ids, deadlines, attempts with exactly one
outcome each, and the server list. It also counts violations of the four rules that a node is held to.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from leadrudder import interface as api
from leadrudder.experiment.clock import Clock, ScheduledCall
from leadrudder.experiment.connections import ConnectionPool
from leadrudder.experiment.server import Server
from leadrudder.interface import Outcome

ANSWER_RESERVE_MS, ANSWER_RESERVE_MAX_SHARE = 20.0, 0.1  # of a request's budget, kept for sending the answer
PROBE_TIMEOUT_MS = 200.0
PROBE_WORK_MS = 0.1

AnswerCallback = Callable[["Answer"], None]


class Decider(Protocol):
    """Turns events into actions: the policy module, or a baseline."""

    def handle(self, event: api.Event, now: float) -> list[api.Action]: ...


@dataclass(frozen=True, slots=True)
class Answer:
    """The final answer to a request; retry_after_ms: of a refusal, when to retry."""

    what: str
    retry_after_ms: float = 0.0


SERVED, FAILED, RESET = Answer("served"), Answer("failed"), Answer("reset")


@dataclass(slots=True, eq=False)
class RequestSpec:
    """A request as it is submitted to a node."""

    class_index: int
    budget_ms: float
    tenant: int
    key: int
    cost_hint_ms: float | None
    tier_work_ms: tuple[float, ...]  # for each tier, of one call, on a core of speed 1
    tier_wait_ms: tuple[float, ...]
    operation: Operation
    inner_call: int = 0  # number of the call within its server's request; part of the idempotency key


@dataclass(slots=True, eq=False)
class Operation:
    """A caller's operation over all its tries: the unit that figures count."""

    number: int
    class_index: int
    tenant: int
    worth: float
    at_ms: float
    units: float = 1.0
    work: float = 0.0  # done for it at all tiers, ms
    tries: int = 0
    attempts: int = 0
    answer: str = ""
    ended_ms: float = 0.0
    inner_refusals: int = 0


@dataclass
class TierCounts:
    """Counters of the nodes of a tier, with violations by rule."""

    arrivals: int = 0
    attempts: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    abandoned: int = 0
    reasons: dict[str, int] = field(default_factory=dict)  # of refusals, as given by the policy module
    outcomes: dict[str, int] = field(default_factory=dict)
    violations: dict[str, int] = field(default_factory=dict)

    def count_refusal(self, action: api.Refuse) -> None:
        """Count a refusal by its reason; older revisions of the policy module give none."""
        reason = getattr(action, "why", None)
        if reason is not None:
            self.reasons[reason.value] = self.reasons.get(reason.value, 0) + 1

    def count_violation(self, rule: str) -> None:
        self.violations[rule] = self.violations.get(rule, 0) + 1


class EffectTracker:
    """Which unsafe and keyed requests have run, to detect violations of rule 2 (no effect twice)."""

    def __init__(self, classes: tuple[api.RequestClass, ...], counts: Callable[[int], TierCounts]) -> None:
        self._classes = classes
        self._counts = counts
        self._ran: dict[tuple[int, int, int], int] = {}  # tier, request: runs
        self._keys: dict[tuple[int, int, int, int], tuple[float, int]] = {}

    def start(self, request: OpenRequest, server: Server, now: float) -> bool:
        """Note that a request starts; False for a repeat that the server's repeat group drops."""
        kind = self._classes[request.spec.class_index]
        if kind.effect is api.Effect.SAFE:
            return True
        if kind.effect is api.Effect.UNSAFE:
            if request.ran:
                self._counts(server.tier).count_violation("twice")
            request.ran = True
            return True
        group = {"all": 0, "zone": server.plan.zone + 1, "cell": -server.plan.cell - 1}[kind.group.value]
        key = (server.tier, request.spec.key, request.spec.inner_call, request.spec.class_index)
        last = self._keys.get(key)
        if last is not None and now - last[0] <= kind.window_ms:
            if last[1] == group:
                return False
            if request.ran:  # a repeat by the caller itself is no violation of the node's
                self._counts(server.tier).count_violation("twice")
        self._keys[key] = (now, group)
        request.ran = True
        return True


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that a node has accepted and must answer."""

    number: int
    spec: RequestSpec
    deadline: float
    on_answer: AnswerCallback
    attempts: int = 0
    attempts_out: dict[int, Attempt] = field(default_factory=dict)
    closed: bool = False
    ran: bool = False


class Attempt:
    """One attempt, from sending until its outcome. The server sees it as its ServerCall."""

    __slots__ = (
        "_has_connection",
        "_node",
        "_timer",
        "arrived",
        "cancel_next_tier",
        "ended",
        "number",
        "sent_ms",
        "server",
        "open_request",
        "wait_ms",
        "work_ms",
    )

    def __init__(self, node: Node, open_request: OpenRequest, number: int, server: Server) -> None:
        self._node = node
        self.open_request = open_request
        self.number = number
        self.server = server
        self.sent_ms = node.clock.now
        self.ended = self.arrived = self._has_connection = False
        self._timer: ScheduledCall | None = None
        self.cancel_next_tier: Callable[[], None] | None = None
        noise = node.fleet.attempt_noise(open_request.spec.class_index)
        self.work_ms = open_request.spec.tier_work_ms[node.tier] * noise
        self.wait_ms = open_request.spec.tier_wait_ms[node.tier] * noise

    def start(self, timeout_ms: float) -> None:
        self._timer = self._node.clock.after(timeout_ms, self.end, Outcome.TIMEOUT)
        self._node.clock.after(self._node.one_way_ms(self.server), self._arrive)

    def _arrive(self) -> None:
        server, node = self.server, self._node
        if self.ended:
            return
        if server.vanished:
            if server.name not in node.connected:
                node.clock.after(node.connect_ms, self.end, Outcome.CONNECT_FAILED)
            return  # data sent on an open connection is lost silently, until the timeout
        if not server.alive:
            node.connected.discard(server.name)
            node.clock.after(node.one_way_ms(server), self.end, Outcome.CONNECT_FAILED)
            return
        node.connected.add(server.name)
        handshake_ms = node.connections.acquire(server)
        if handshake_ms is None:
            self.answer(Outcome.FULL, ())
            return
        self.work_ms += handshake_ms
        self.arrived = self._has_connection = True
        server.receive(self)

    # Called by the server.

    def on_started(self, server: Server) -> bool:
        return self._node.effects.start(self.open_request, server, self._node.clock.now)

    def call_next_tier(self, server: Server, done: Callable[[bool], None]) -> None:
        self._node.fleet.call_next_tier(self, server, done)

    def answer(self, outcome: Outcome, load: tuple[float, ...]) -> None:
        self._node.clock.after(self._node.one_way_ms(self.server), self.end, outcome, load)

    def add_work(self, work_ms: float) -> None:
        self.open_request.spec.operation.work += work_ms

    def on_abandoned(self) -> None:
        if self.cancel_next_tier is not None:
            self.cancel_next_tier()
            self.cancel_next_tier = None

    def remaining_ms(self) -> float:
        """Time until its request's deadline."""
        return self.open_request.deadline - self._node.clock.now

    # The outcome, exactly one for each attempt.

    def end(self, outcome: Outcome, load: tuple[float, ...] = ()) -> None:
        if self.ended:
            return
        self.ended = True
        if self._timer is not None:
            self._timer.cancel()
        was_abandoned = outcome in (Outcome.TIMEOUT, Outcome.CANCELLED)
        if self._has_connection:
            self._node.connections.release(self.server, reusable=not was_abandoned)
        if was_abandoned and self.arrived:
            self._node.clock.after(self._node.one_way_ms(self.server), self.server.cancel, self)
        self._node.attempt_ended(self, outcome, load)


class NodeEndpoint(Protocol):
    """What callers and servers use of a node, whether modelled or real."""

    tier: int
    zone: int
    alive: bool

    def submit(self, ask: RequestSpec, done: AnswerCallback) -> OpenRequest: ...

    def abandon(self, open_request: OpenRequest) -> None: ...

    def stop(self) -> None: ...


class ParentCall(Protocol):
    """A call at a server, as seen by the calls that it makes to the next tier."""

    open_request: OpenRequest
    cancel_next_tier: Callable[[], None] | None

    def remaining_ms(self) -> float: ...


class FleetView(Protocol):
    """What a node uses of its fleet."""

    def call_next_tier(self, attempt: ParentCall, server: Server, done: Callable[[bool], None]) -> None: ...

    def servers_of_tier(self, tier: int) -> dict[bytes, Server]: ...

    def request_list(self, node: Node) -> None:
        """Answer a node's request for the server list."""

    def attempt_noise(self, class_index: int) -> float:
        """A random factor on the work and the wait of one attempt."""


class Node:
    """One node in front of a tier."""

    def __init__(
        self,
        clock: Clock,
        fleet: FleetView,
        decider: Decider,
        tier: int,
        zone: int,
        counts: TierCounts,
        effects: EffectTracker,
        one_way_ms: Callable[[int, int], float],
        connect_ms: float,
        drain_grace_ms: float,
        idle_ms: float = 0.0,
    ) -> None:
        self.clock, self.fleet, self.tier, self.zone = clock, fleet, tier, zone
        self.effects, self.connect_ms = effects, connect_ms
        self.connected: set[bytes] = set()
        self.connections = ConnectionPool(clock, idle_ms)
        self.alive = True
        self._decider = decider
        self._counts = counts
        self._one_way_ms = one_way_ms
        self._drain_grace_ms = drain_grace_ms
        self._servers = fleet.servers_of_tier(tier)
        self._withdrawn_at: dict[bytes, float] = {}  # when the list said that a server drains or is gone
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._requests: dict[int, OpenRequest] = {}
        self._attempts: dict[tuple[int, int], Attempt] = {}
        self._last_number = 0

    def one_way_ms(self, server: Server) -> float:
        return self._one_way_ms(self.zone, server.plan.zone)

    # ------------------------------------------------------------ requests

    def submit(self, ask: RequestSpec, done: AnswerCallback) -> OpenRequest:
        """Accept a request; it is answered exactly once."""
        self._last_number += 1
        self._counts.arrivals += 1
        budget = max(1.0, ask.budget_ms - min(ANSWER_RESERVE_MS, ANSWER_RESERVE_MAX_SHARE * ask.budget_ms))
        open_request = OpenRequest(self._last_number, ask, self.clock.now + budget, done)
        self._requests[open_request.number] = open_request
        self._handle_event(
            api.Arrival(
                open_request.number,
                ask.class_index,
                budget,
                ask.tenant,
                ask.key,
                ask.cost_hint_ms,
                is_repeat=False,
            )
        )
        return open_request

    def abandon(self, open_request: OpenRequest) -> None:
        """Its caller has given up: a violation of rule 1 (every request is answered) past its deadline."""
        if not open_request.closed:
            open_request.closed = True
            del self._requests[open_request.number]
            self._counts.abandoned += 1
            if self.alive and self.clock.now >= open_request.deadline + 1.0:
                self._counts.count_violation("lost")
            self._handle_event(api.RequestGone(open_request.number))

    def _finish(self, number: int, answer: Answer) -> None:
        open_request = self._requests.pop(number, None)
        if open_request is None:
            self._counts.count_violation("answered twice")
            return
        open_request.closed = True
        open_request.on_answer(answer)

    # ------------------------------------------------------------ events and actions

    def deliver(self, event: api.Event) -> None:
        """Handle an event from outside: server lists and timers."""
        if isinstance(event, api.ServerList):
            for entry in event.entries:
                if entry.readiness is api.Readiness.READY:
                    self._withdrawn_at.pop(entry.server, None)
                else:
                    self._withdrawn_at.setdefault(entry.server, self.clock.now)
                    self.connected.discard(entry.server)
        self._handle_event(event)

    def _handle_event(self, event: api.Event) -> None:
        if not self.alive:
            return
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        while self._events:
            for action in self._decider.handle(self._events.popleft(), self.clock.now):
                self._perform(action)
        self._handling = False

    def _perform(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self._send(action)
        elif isinstance(action, api.SetTimer):
            self.clock.after(action.at_ms - self.clock.now, self._handle_event, api.TimerFired(action.token))
        elif isinstance(action, api.Refuse):
            self._counts.refused += 1
            self._counts.count_refusal(action)
            self._finish(action.request, Answer("refused", action.retry_after_ms))
        elif isinstance(action, api.Fail):
            self._counts.failed += 1
            self._finish(action.request, FAILED)
        elif isinstance(action, api.Cancel):
            call = self._attempts.get((action.request, action.attempt))
            if call is not None:
                call.end(Outcome.CANCELLED)
        elif isinstance(action, api.Subscribe):
            self.fleet.request_list(self)
        elif isinstance(action, api.CloseIdle):
            self.connected.discard(action.server)
            self.connections.close_idle(self._servers[action.server])
        elif isinstance(action, api.Probe):
            self._probe(action.server)

    def _probe(self, name: bytes) -> None:
        server = self._servers[name]
        silent = server.vanished or server.hung or not server.alive
        elapsed_ms = (
            PROBE_TIMEOUT_MS
            if silent
            else 2.0 * self.one_way_ms(server) + PROBE_WORK_MS * (1 + server.request_count)
        )
        outcome = Outcome.TIMEOUT if silent or elapsed_ms >= PROBE_TIMEOUT_MS else Outcome.OK
        elapsed_ms = min(elapsed_ms, PROBE_TIMEOUT_MS)
        self.clock.after(elapsed_ms, self._handle_event, api.ProbeEnded(name, outcome, elapsed_ms))

    # ------------------------------------------------------------ attempts

    def _send(self, action: api.Send) -> None:
        open_request = self._requests.get(action.request)
        if open_request is None:
            self._counts.count_violation("sent after its answer")
            return
        name = action.server
        withdrawn_at = self._withdrawn_at.get(name)
        if withdrawn_at is not None and self.clock.now > withdrawn_at + self._drain_grace_ms:
            self._counts.count_violation("drain")
        number, open_request.attempts = open_request.attempts, open_request.attempts + 1
        self._counts.attempts += 1
        open_request.spec.operation.attempts += 1
        attempt = Attempt(self, open_request, number, self._servers[name])
        open_request.attempts_out[number] = self._attempts[open_request.number, number] = attempt
        left = open_request.deadline - self.clock.now
        attempt.start(min(action.timeout_ms, left) if action.timeout_ms > 0.0 else left)

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, load: tuple[float, ...]) -> None:
        open_request = attempt.open_request
        if not self.alive:
            return
        del open_request.attempts_out[attempt.number], self._attempts[open_request.number, attempt.number]
        outcome_counts = self._counts.outcomes
        outcome_counts[outcome.value] = outcome_counts.get(outcome.value, 0) + 1
        if outcome is Outcome.OK and not open_request.closed:
            self._counts.served += 1
            self._finish(open_request.number, SERVED)
        elapsed = self.clock.now - attempt.sent_ms
        self._handle_event(
            api.AttemptEnded(
                open_request.number,
                attempt.number,
                attempt.server.name,
                outcome,
                elapsed,
                open_request.closed,
                load,
            )
        )

    def stop(self) -> None:
        """End the process: its requests are lost, and its connections are closed at the servers."""
        self.alive = False
        self.connections.close()
        for attempt in list(self._attempts.values()):
            attempt.end(Outcome.CANCELLED)
        self._attempts.clear()
        for open_request in list(self._requests.values()):
            open_request.closed = True
            open_request.on_answer(RESET)
        self._requests.clear()


def one_way_latency(
    rng: random.Random, same: float, cross: float, jitter: float
) -> Callable[[int, int], float]:
    """A function that draws the one-way latency between two zones, ms."""

    def latency_ms(one: int, other: int) -> float:
        return (same if one == other else cross) * (1.0 + jitter * rng.random())

    return latency_ms

"""A modelled node: the decisions with everything about them that is no decision, and no bytes.

It does what leadrudder/node/ does around the module: ids, deadlines, attempts and their one outcome, the
list, and the rules it is held to, which are counted here as they are broken.
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

ANSWER_RESERVE_MS, ANSWER_RESERVE_MAX_SHARE = 20.0, 0.1  # of its time that a node keeps for answering
PROBE_TIMEOUT_MS = 200.0  # that a probe may take
PROBE_WORK_MS = 0.1

AnswerCallback = Callable[["Answer"], None]


class Decider(Protocol):
    """Events in, actions out: the module, or a baseline."""

    def handle(self, event: api.Event, now: float) -> list[api.Action]: ...


@dataclass(frozen=True, slots=True)
class Answer:
    """The final answer to a request: served, refused (with the time to come back, ms) or failed."""

    what: str
    retry_after_ms: float = 0.0


SERVED, FAILED, RESET = Answer("served"), Answer("failed"), Answer("reset")


@dataclass(slots=True, eq=False)
class RequestSpec:
    """A request as a node takes it."""

    class_index: int
    budget_ms: float
    tenant: int
    key: int
    hint_ms: float | None
    works: tuple[float, ...]  # of each tier's call, ms on a core of speed 1
    waits: tuple[float, ...]
    operation: Operation
    inner: int = 0  # which of the calls of its server this is, so that keys tell them apart


@dataclass(slots=True, eq=False)
class Operation:
    """What a caller wants done, over all its tries: what figures are kept of."""

    number: int
    class_index: int
    tenant: int
    worth: float
    at_ms: float
    units: float = 1.0
    work: float = 0.0  # that went into it, at all tiers
    tries: int = 0
    attempts: int = 0
    answer: str = ""
    ended_ms: float = 0.0
    inner_refused: int = 0


@dataclass
class TierCounts:
    """What happened at the nodes of a tier, and which rules were broken."""

    arrivals: int = 0
    attempts: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    gone: int = 0
    reasons: dict[str, int] = field(default_factory=dict)  # of refusals, as the module says them
    outcomes: dict[str, int] = field(default_factory=dict)
    broken: dict[str, int] = field(default_factory=dict)

    def refuse(self, action: api.Refuse) -> None:
        """The module refuses a request; one of a revision that says no reason is counted without."""
        why = getattr(action, "why", None)
        if why is not None:
            self.reasons[why.value] = self.reasons.get(why.value, 0) + 1

    def breaks(self, rule: str) -> None:
        self.broken[rule] = self.broken.get(rule, 0) + 1


class EffectTracker:
    """Which unsafe and keyed requests have run: rule 2."""

    def __init__(self, classes: tuple[api.RequestClass, ...], counts: Callable[[int], TierCounts]) -> None:
        self._classes = classes
        self._counts = counts
        self._ran: dict[tuple[int, int, int], int] = {}  # tier, request: runs
        self._keys: dict[tuple[int, int, int, int], tuple[float, int]] = {}

    def begin(self, request: OpenRequest, server: Server, now: float) -> bool:
        """False for a repeat that the server's group drops."""
        kind = self._classes[request.ask.class_index]
        if kind.effect is api.Effect.SAFE:
            return True
        if kind.effect is api.Effect.UNSAFE:
            if request.ran:
                self._counts(server.tier).breaks("twice")
            request.ran = True
            return True
        group = {"all": 0, "zone": server.plan.zone + 1, "cell": -server.plan.cell - 1}[kind.group.value]
        key = (server.tier, request.ask.key, request.ask.inner, request.ask.class_index)
        last = self._keys.get(key)
        if last is not None and now - last[0] <= kind.window_ms:
            if last[1] == group:
                return False
            if request.ran:  # a caller who tries again himself answers for that himself
                self._counts(server.tier).breaks("twice")
        self._keys[key] = (now, group)
        request.ran = True
        return True


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that a node owes an answer."""

    number: int
    ask: RequestSpec
    deadline: float
    done: AnswerCallback
    attempts: int = 0
    out: dict[int, Attempt] = field(default_factory=dict)
    closed: bool = False
    ran: bool = False


class Attempt:
    """One attempt on its way, at its server, or on its way back. It is the server's Call."""

    __slots__ = (
        "_connected",
        "_node",
        "_timer",
        "arrived",
        "behind_it",
        "ended",
        "number",
        "sent",
        "server",
        "taken",
        "wait_ms",
        "work_ms",
    )

    def __init__(self, node: Node, taken: OpenRequest, number: int, server: Server) -> None:
        self._node = node
        self.taken = taken
        self.number = number
        self.server = server
        self.sent = node.clock.now
        self.ended = self.arrived = self._connected = False
        self._timer: ScheduledCall | None = None
        self.behind_it: Callable[[], None] | None = None  # withdraws the call to the tier behind
        noise = node.fleet.noise(taken.ask.class_index)
        self.work_ms = taken.ask.works[node.tier] * noise
        self.wait_ms = taken.ask.waits[node.tier] * noise

    def begin(self, timeout_ms: float) -> None:
        self._timer = self._node.clock.after(timeout_ms, self.end, Outcome.TIMEOUT)
        self._node.clock.after(self._node.way(self.server), self._arrive)

    def _arrive(self) -> None:
        server, node = self.server, self._node
        if self.ended:
            return
        if server.vanished:
            if server.name not in node.connected:
                node.clock.after(node.connect_ms, self.end, Outcome.CONNECT_FAILED)
            return  # an open connection swallows it
        if not server.alive:
            node.connected.discard(server.name)
            node.clock.after(node.way(server), self.end, Outcome.CONNECT_FAILED)
            return
        node.connected.add(server.name)
        opening = node.connections.take(server)
        if opening is None:
            self.answer(Outcome.FULL, ())
            return
        self.work_ms += opening
        self.arrived = self._connected = True
        server.offer(self)

    # What the server asks and tells.

    def began(self, server: Server) -> bool:
        return self._node.effects.begin(self.taken, server, self._node.clock.now)

    def behind(self, server: Server, done: Callable[[bool], None]) -> None:
        self._node.fleet.behind(self, server, done)

    def answer(self, outcome: Outcome, load: tuple[float, ...]) -> None:
        self._node.clock.after(self._node.way(self.server), self.end, outcome, load)

    def spent(self, work_ms: float) -> None:
        self.taken.ask.operation.work += work_ms

    def stopped(self) -> None:
        if self.behind_it is not None:
            self.behind_it()
            self.behind_it = None

    def left_ms(self) -> float:
        """Of the time that its request has."""
        return self.taken.deadline - self._node.clock.now

    # The one outcome.

    def end(self, outcome: Outcome, load: tuple[float, ...] = ()) -> None:
        if self.ended:
            return
        self.ended = True
        if self._timer is not None:
            self._timer.cancel()
        given_up = outcome in (Outcome.TIMEOUT, Outcome.CANCELLED)
        if self._connected:
            self._node.connections.give_back(self.server, whole=not given_up)
        if given_up and self.arrived:
            self._node.clock.after(self._node.way(self.server), self.server.cancel, self)
        self._node.attempt_ended(self, outcome, load)


class NodeEndpoint(Protocol):
    """What callers and servers need of a node, modelled or whole."""

    tier: int
    zone: int
    alive: bool

    def take(self, ask: RequestSpec, done: AnswerCallback) -> OpenRequest: ...

    def gone(self, taken: OpenRequest) -> None: ...

    def stop(self) -> None: ...


class ParentCall(Protocol):
    """A call at a server, as far as the calls to the tier behind go by it."""

    taken: OpenRequest
    behind_it: Callable[[], None] | None

    def left_ms(self) -> float: ...


class FleetView(Protocol):
    """What a node needs of the fleet around it."""

    def behind(self, attempt: ParentCall, server: Server, done: Callable[[bool], None]) -> None: ...

    def servers_of(self, tier: int) -> dict[bytes, Server]: ...

    def listing(self, node: Node) -> None:
        """It asks for its list."""

    def noise(self, class_index: int) -> float:
        """What an attempt takes, against the request's own work."""


class Node:
    """One node before a tier."""

    def __init__(
        self,
        clock: Clock,
        fleet: FleetView,
        decider: Decider,
        tier: int,
        zone: int,
        counts: TierCounts,
        effects: EffectTracker,
        way: Callable[[int, int], float],
        connect_ms: float,
        grace_ms: float,
        idle_ms: float = 0.0,
    ) -> None:
        self.clock, self.fleet, self.tier, self.zone = clock, fleet, tier, zone
        self.effects, self.connect_ms = effects, connect_ms
        self.connected: set[bytes] = set()
        self.connections = ConnectionPool(clock, idle_ms)
        self.alive = True
        self._decider = decider
        self._counts = counts
        self._way = way
        self._grace = grace_ms
        self._servers = fleet.servers_of(tier)
        self._told: dict[bytes, float] = {}  # when it was told that a server drains or is gone
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._requests: dict[int, OpenRequest] = {}
        self._calls: dict[tuple[int, int], Attempt] = {}
        self._last = 0

    def way(self, server: Server) -> float:
        return self._way(self.zone, server.plan.zone)

    # ------------------------------------------------------------ requests

    def take(self, ask: RequestSpec, done: AnswerCallback) -> OpenRequest:
        """From here on it owes one answer."""
        self._last += 1
        self._counts.arrivals += 1
        budget = max(1.0, ask.budget_ms - min(ANSWER_RESERVE_MS, ANSWER_RESERVE_MAX_SHARE * ask.budget_ms))
        taken = OpenRequest(self._last, ask, self.clock.now + budget, done)
        self._requests[taken.number] = taken
        self._post(
            api.Arrival(
                taken.number, ask.class_index, budget, ask.tenant, ask.key, ask.hint_ms, is_repeat=False
            )
        )
        return taken

    def gone(self, taken: OpenRequest) -> None:
        """Its caller waits no longer: rule 1 is broken where an answer was still owed in time."""
        if not taken.closed:
            taken.closed = True
            del self._requests[taken.number]
            self._counts.gone += 1
            if self.alive and self.clock.now >= taken.deadline + 1.0:
                self._counts.breaks("lost")
            self._post(api.RequestGone(taken.number))

    def _close(self, number: int, answer: Answer) -> None:
        taken = self._requests.pop(number, None)
        if taken is None:
            self._counts.breaks("answered twice")
            return
        taken.closed = True
        taken.done(answer)

    # ------------------------------------------------------------ events and actions

    def post(self, event: api.Event) -> None:
        """From outside: lists and timers."""
        if isinstance(event, api.ServerList):
            for entry in event.entries:
                if entry.readiness is api.Readiness.READY:
                    self._told.pop(entry.server, None)
                else:
                    self._told.setdefault(entry.server, self.clock.now)
                    self.connected.discard(entry.server)
        self._post(event)

    def _post(self, event: api.Event) -> None:
        if not self.alive:
            return
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        while self._events:
            for action in self._decider.handle(self._events.popleft(), self.clock.now):
                self._carry_out(action)
        self._handling = False

    def _carry_out(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self._send(action)
        elif isinstance(action, api.SetTimer):
            self.clock.after(action.at_ms - self.clock.now, self._post, api.TimerFired(action.token))
        elif isinstance(action, api.Refuse):
            self._counts.refused += 1
            self._counts.refuse(action)
            self._close(action.request, Answer("refused", action.retry_after_ms))
        elif isinstance(action, api.Fail):
            self._counts.failed += 1
            self._close(action.request, FAILED)
        elif isinstance(action, api.Cancel):
            call = self._calls.get((action.request, action.attempt))
            if call is not None:
                call.end(Outcome.CANCELLED)
        elif isinstance(action, api.Subscribe):
            self.fleet.listing(self)
        elif isinstance(action, api.CloseIdle):
            self.connected.discard(action.server)
            self.connections.close_idle(self._servers[action.server])
        elif isinstance(action, api.Probe):
            self._probe(action.server)

    def _probe(self, name: bytes) -> None:
        server = self._servers[name]
        silent = server.vanished or server.hung or not server.alive
        took = PROBE_TIMEOUT_MS if silent else 2.0 * self.way(server) + PROBE_WORK_MS * (1 + server.present)
        outcome = Outcome.TIMEOUT if silent or took >= PROBE_TIMEOUT_MS else Outcome.OK
        took = min(took, PROBE_TIMEOUT_MS)
        self.clock.after(took, self._post, api.ProbeEnded(name, outcome, took))

    # ------------------------------------------------------------ attempts

    def _send(self, action: api.Send) -> None:
        taken = self._requests.get(action.request)
        if taken is None:
            self._counts.breaks("sent after its answer")
            return
        name = action.server
        told = self._told.get(name)
        if told is not None and self.clock.now > told + self._grace:
            self._counts.breaks("drain")
        number, taken.attempts = taken.attempts, taken.attempts + 1
        self._counts.attempts += 1
        taken.ask.operation.attempts += 1
        attempt = Attempt(self, taken, number, self._servers[name])
        taken.out[number] = self._calls[taken.number, number] = attempt
        left = taken.deadline - self.clock.now
        attempt.begin(min(action.timeout_ms, left) if action.timeout_ms > 0.0 else left)

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, load: tuple[float, ...]) -> None:
        taken = attempt.taken
        if not self.alive:
            return
        del taken.out[attempt.number], self._calls[taken.number, attempt.number]
        counted = self._counts.outcomes
        counted[outcome.value] = counted.get(outcome.value, 0) + 1
        if outcome is Outcome.OK and not taken.closed:
            self._counts.served += 1
            self._close(taken.number, SERVED)
        elapsed = self.clock.now - attempt.sent
        self._post(
            api.AttemptEnded(
                taken.number, attempt.number, attempt.server.name, outcome, elapsed, taken.closed, load
            )
        )

    def stop(self) -> None:
        """The process ends at once; what it held is lost with it, and its servers see their callers leave."""
        self.alive = False
        self.connections.close()
        for attempt in list(self._calls.values()):
            attempt.end(Outcome.CANCELLED)
        self._calls.clear()
        for taken in list(self._requests.values()):
            taken.closed = True
            taken.done(RESET)
        self._requests.clear()


def one_way_latency(
    rng: random.Random, same: float, cross: float, jitter: float
) -> Callable[[int, int], float]:
    """One way between two zones, ms."""

    def way(one: int, other: int) -> float:
        return (same if one == other else cross) * (1.0 + jitter * rng.random())

    return way

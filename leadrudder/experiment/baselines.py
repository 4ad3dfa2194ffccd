"""Textbook balancing policies, to compare the policy module with.

They have no learning, no limit and no health checks, but are held to the same rules. They send at once, retry
what never ran and what is safe to repeat, and refuse what no server accepts.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from leadrudder import interface as api
from leadrudder.interface import Effect, Outcome


@dataclass(slots=True)
class _OpenRequest:
    arrival: api.Arrival
    deadline: float
    attempts: int = 0
    outstanding: int = 0
    may_have_run: bool = False
    tried: list[bytes] = field(default_factory=list)


class Baseline:
    """Decisions of one node; choose picks the server of the next attempt."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._settings = settings
        self.rng = random.Random(seed)
        self.servers: list[bytes] = []
        self.outstanding: dict[bytes, int] = {}
        self._requests: dict[int, _OpenRequest] = {}
        self._has_subscribed = not settings.ask_for_list
        self._actions: list[api.Action] = []

    def choose(self, candidates: list[bytes]) -> bytes:
        raise NotImplementedError

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        """Handle an event, as the policy module's Balancer does."""
        self._actions = []
        if isinstance(event, api.ServerList):
            self._update_servers(event)
        elif isinstance(event, api.Arrival):
            self._requests[event.request] = _OpenRequest(event, now + event.budget_ms)
            self._send(event.request)
        elif isinstance(event, api.AttemptEnded):
            self._attempt_ended(event, now)
        elif isinstance(event, api.RequestGone):
            self._requests.pop(event.request, None)
        if not self._has_subscribed:
            self._has_subscribed = True
            self._actions.append(api.Subscribe())
        return self._actions

    def _update_servers(self, event: api.ServerList) -> None:
        if event.kind is api.ListKind.FULL:
            self.servers = []
        for entry in event.entries:
            if entry.readiness is not api.Readiness.READY:
                if entry.server in self.servers:
                    self.servers.remove(entry.server)
            elif entry.server not in self.outstanding or entry.server not in self.servers:
                self.servers.append(entry.server)
                self.outstanding.setdefault(entry.server, 0)

    def _send(self, number: int) -> None:
        request = self._requests[number]
        candidates = [s for s in self.servers if s not in request.tried] or self.servers
        if not candidates:
            self._finish(number)
            return
        server = self.choose(candidates)
        request.tried.append(server)
        request.attempts += 1
        request.outstanding += 1
        self.outstanding[server] += 1
        self._actions.append(api.Send(number, server))

    def _finish(self, number: int) -> None:
        request = self._requests.pop(number)
        kind = self._settings.classes[request.arrival.class_index]
        if request.may_have_run and kind.effect is not Effect.SAFE:
            self._actions.append(api.Fail(number))
        else:
            self._actions.append(api.Refuse(number, 0.2 * kind.aim_ms if self._settings.retry_after else 0.0))

    def _attempt_ended(self, event: api.AttemptEnded, now: float) -> None:
        self.outstanding[event.server] -= 1
        request = self._requests.get(event.request)
        if request is None:
            return
        request.outstanding -= 1
        if event.finished:
            del self._requests[event.request]
            return
        kind = self._settings.classes[request.arrival.class_index]
        never_ran = event.outcome in api.NEVER_RAN
        request.may_have_run |= not never_ran
        may_retry = (
            request.attempts < self._settings.max_attempts
            and now < request.deadline - self._settings.tick_ms
            and (never_ran or (kind.effect is Effect.SAFE and event.outcome is not Outcome.TIMEOUT))
            and not (request.may_have_run and kind.effect is not Effect.SAFE)
        )
        if may_retry:
            self._send(event.request)
        else:
            self._finish(event.request)


class Random(Baseline):
    """A server at random, all with equal chances."""

    def choose(self, candidates: list[bytes]) -> bytes:
        return self.rng.choice(candidates)


class RoundRobin(Baseline):
    """Servers in turn; each node starts at a random one."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._next_index = self.rng.randrange(1 << 30)

    def choose(self, candidates: list[bytes]) -> bytes:
        self._next_index += 1
        return candidates[self._next_index % len(candidates)]


class LeastOutstanding(Baseline):
    """The server with the fewest outstanding calls of this node; ties are broken at random."""

    def choose(self, candidates: list[bytes]) -> bytes:
        return min(candidates, key=lambda s: (self.outstanding[s], self.rng.random()))


class TwoChoices(Baseline):
    """Of two random servers the one with fewer outstanding calls (Mitzenmacher)."""

    def choose(self, candidates: list[bytes]) -> bytes:
        if len(candidates) == 1:
            return candidates[0]
        return min(self.rng.sample(candidates, 2), key=self.outstanding.__getitem__)


BASELINES: dict[str, type[Baseline]] = {
    "random": Random,
    "round-robin": RoundRobin,
    "least-outstanding": LeastOutstanding,
    "two-choices": TwoChoices,
}

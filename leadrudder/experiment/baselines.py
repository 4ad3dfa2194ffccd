"""The textbook's choices, to hold the module against: no learning, no limit, no health, the same rules.

They send at once, repeat what never ran and what is safe to repeat, and refuse what no server takes.
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
    out: int = 0
    may_have_run: bool = False
    tried: list[bytes] = field(default_factory=list)


class Baseline:
    """One node's decisions; choose says which of the listed servers is next."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._settings = settings
        self.rng = random.Random(seed)
        self.servers: list[bytes] = []
        self.outstanding: dict[bytes, int] = {}
        self._requests: dict[int, _OpenRequest] = {}
        self._asked = not settings.ask_for_list
        self._actions: list[api.Action] = []

    def choose(self, among: list[bytes]) -> bytes:
        raise NotImplementedError

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        """As the module's."""
        self._actions = []
        if isinstance(event, api.ServerList):
            self._listed(event)
        elif isinstance(event, api.Arrival):
            self._requests[event.request] = _OpenRequest(event, now + event.budget_ms)
            self._send(event.request)
        elif isinstance(event, api.AttemptEnded):
            self._ended(event, now)
        elif isinstance(event, api.RequestGone):
            self._requests.pop(event.request, None)
        if not self._asked:
            self._asked = True
            self._actions.append(api.Subscribe())
        return self._actions

    def _listed(self, event: api.ServerList) -> None:
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
        among = [s for s in self.servers if s not in request.tried] or self.servers
        if not among:
            self._finish(number)
            return
        server = self.choose(among)
        request.tried.append(server)
        request.attempts += 1
        request.out += 1
        self.outstanding[server] += 1
        self._actions.append(api.Send(number, server))

    def _finish(self, number: int) -> None:
        request = self._requests.pop(number)
        kind = self._settings.classes[request.arrival.class_index]
        if request.may_have_run and kind.effect is not Effect.SAFE:
            self._actions.append(api.Fail(number))
        else:
            self._actions.append(api.Refuse(number, 0.2 * kind.aim_ms if self._settings.retry_after else 0.0))

    def _ended(self, event: api.AttemptEnded, now: float) -> None:
        self.outstanding[event.server] -= 1
        request = self._requests.get(event.request)
        if request is None:
            return
        request.out -= 1
        if event.finished:
            del self._requests[event.request]
            return
        kind = self._settings.classes[request.arrival.class_index]
        never = event.outcome in api.NEVER_RAN
        request.may_have_run |= not never
        again = (
            request.attempts < self._settings.max_attempts
            and now < request.deadline - self._settings.tick_ms
            and (never or (kind.effect is Effect.SAFE and event.outcome is not Outcome.TIMEOUT))
            and not (request.may_have_run and kind.effect is not Effect.SAFE)
        )
        if again:
            self._send(event.request)
        else:
            self._finish(event.request)


class Random(Baseline):
    """Any, alike."""

    def choose(self, among: list[bytes]) -> bytes:
        return self.rng.choice(among)


class RoundRobin(Baseline):
    """In turn, from a place of its own."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._turn = self.rng.randrange(1 << 30)

    def choose(self, among: list[bytes]) -> bytes:
        self._turn += 1
        return among[self._turn % len(among)]


class LeastOutstanding(Baseline):
    """With the fewest of this node's calls out; ties by chance."""

    def choose(self, among: list[bytes]) -> bytes:
        return min(among, key=lambda s: (self.outstanding[s], self.rng.random()))


class TwoChoices(Baseline):
    """The one with fewer calls out of two drawn (Mitzenmacher)."""

    def choose(self, among: list[bytes]) -> bytes:
        if len(among) == 1:
            return among[0]
        return min(self.rng.sample(among, 2), key=self.outstanding.__getitem__)


BASELINES: dict[str, type[Baseline]] = {
    "random": Random,
    "round-robin": RoundRobin,
    "least-outstanding": LeastOutstanding,
    "two-choices": TwoChoices,
}

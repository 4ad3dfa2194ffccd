"""The points of one route and service: which server a request goes to, by the decision module alone.

Each holds one `leadrudder.policy.Balancer`: one vector and one average a server, learned from the calls
that this station carries. What the gates refuse without asking their server is drawn again at once.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random

from leadrudder import interface as api
from leadrudder.configuration.items import Route
from leadrudder.data_plane.candidates import Candidates, Distance
from leadrudder.data_plane.retry_budget import Purse
from leadrudder.interface import Effect, Outcome, ServerId
from leadrudder.policy.decide import Balancer
from leadrudder.protocol.mesh_pb2 import Delivery
from leadrudder.protocol.outcome import Ran, Reply, Verdict, worst
from leadrudder.recovery.strain import Saturation

ATTEMPTS_MOST = 3  # draws for one request, those that gates refuse included
DRAWS_FREE = 2  # after so many refusals a call may wait at a gate though it will be late
REST_PART = 0.5  # of the time that a full server expects to be: until then it is not drawn
REST_MOST_MS = 150.0
FLOOR_SHARE = 0.06  # p_min = this / r
TOLL_PART = 0.3  # of the target: a call to another zone counts as so much slower, as bytes between are dear
RETRY_LEAST_MS = 20.0  # told to come back no earlier


class NoLimit:
    """Calls out are limited where their number is known for certain: by the gates."""

    value = math.inf

    def rescale(self, by: float, servers: float, part: float) -> None:
        """Nothing moves it."""

    def record_outcome(self, strain: Saturation, latency_share: float, out: int, patience: float) -> None:
        """Nothing moves it."""


@dataclass(slots=True)
class Errand:
    """A client's request, which is owed one answer."""

    method: bytes
    target: bytes
    fields: bytes
    body: bytes
    attempt_id: bytes
    deadline: float  # seconds on the loop's clock
    answered: Callable[[Reply | Verdict], None]
    began: float = 0.0  # seconds on the loop's clock
    waited_ms: float = 0.0  # by its client before this try, as far as its time left tells
    epoch: int = 0  # of the ledger, in which it began; 0: none is kept
    done: bool = False
    arrivals: int = 0  # at servers, as far as is known or must be feared
    sends: int = 0
    out: dict[int, Callable[[bool], None]] = field(default_factory=dict)  # attempts, and what withdraws each
    verdicts: list[Verdict] = field(default_factory=list)
    reply: Reply | None = None  # a server's answer that was no success

    def answer(self, what: Reply | Verdict) -> None:
        if not self.done:
            self.done = True
            self.answered(what)


Carry = Callable[[Errand, Route, str, bool, bool, Callable[[Delivery], None]], Callable[[bool], None]]


class Points:
    """carry: sends one attempt to the gate beside a server; returns what withdraws it."""

    def __init__(
        self,
        route: Route,
        service: str,
        purse: Purse,
        carry: Carry,
        note: Callable[[str], None],
        seed: int | None = None,
    ) -> None:
        self.route, self.service = route, service
        self._carry, self._note, self._purse = carry, note, purse
        self._loop = asyncio.get_running_loop()
        kind = api.RequestClass(
            name=route.name,
            aim_ms=max(1.0, route.target_ms),
            deadline_ms=max(1.0, route.timeout_ms),
            effect=Effect.UNSAFE if route.at_most_once else Effect.SAFE,
        )
        settings = api.Settings(
            classes=(kind,),
            # Each node learns for itself. Told of 88 nodes the module kept this one to a few servers, and its
            # vector closed on one or two of them: eight servers of nineteen stood idle beside full ones.
            balancers=1,
            max_attempts=ATTEMPTS_MOST,
            may_duplicate=True,
            may_cancel=True,
            max_retry_after_ms=1000.0,
            cold_ms=0.0,
            capacity_hints=True,
            floor_share=FLOOR_SHARE,
            even_spread=False,
        )
        self.balancer = Balancer(
            settings, seed=Random().getrandbits(48) if seed is None else seed, limit=NoLimit()
        )
        self._errands: dict[int, Errand] = {}
        self._last = 0
        self._listed: Mapping[str, Distance] = {}
        self._offered: Candidates | None = None  # a list that was not taken in yet
        self._toll_ms = TOLL_PART * route.target_ms
        self._began: dict[tuple[int, int], tuple[ServerId, float]] = {}  # attempts that are out

    def follow(self, servers: Mapping[str, Distance]) -> None:
        """The servers that may be drawn, and how far away each is."""
        self.offer(Candidates.of(servers))
        self._take_offered()

    def offer(self, candidates: Candidates) -> None:
        """The servers that may be drawn: taken in now if requests are open, else with the next request."""
        self._offered = candidates
        if self._errands:
            self._take_offered()

    def _take_offered(self) -> None:
        candidates, self._offered = self._offered, None
        if candidates is None or candidates.servers is self._listed or candidates.servers == self._listed:
            return
        self._listed = candidates.servers
        self._post(api.ServerList(api.ListKind.FULL, candidates.entries))

    def begin(self, errand: Errand) -> Callable[[], None]:
        """A request: from here on it is owed one answer.  Returns what says that its client has left."""
        self._take_offered()
        self._last += 1
        self._purse.earn()
        number = self._last
        self._errands[number] = errand
        left = errand.deadline - self._loop.time()
        self._loop.call_later(max(0.0, left), self._overdue, number, errand)
        self._post(api.Arrival(number, 0, max(1.0, 1000.0 * left)))
        return lambda: self._client_left(number, errand)

    def _client_left(self, number: int, errand: Errand) -> None:
        """Nobody waits for it any more: nothing further is sent, and what is out is withdrawn."""
        if number not in self._errands or errand.done:
            return
        del self._errands[number]
        self._post(api.RequestGone(number))  # first: what ends now says nothing of its server
        self._finish(errand, "client left")
        for attempt in list(errand.out):
            self._end(number, errand, attempt, Outcome.CANCELLED, client_left=True)

    def _overdue(self, number: int, errand: Errand) -> None:
        """Its time is over: what is still out counts as failed at the time it took."""
        if number not in self._errands:
            return
        if not errand.done:
            self._finish(errand, "time")
        for attempt in list(errand.out):
            self._end(number, errand, attempt, Outcome.TIMEOUT)
        self._errands.pop(number, None)
        self._post(api.RequestGone(number))

    def _forget(self, number: int, errand: Errand) -> None:
        """Kept until all that is out has ended."""
        if errand.done and not errand.out:
            self._errands.pop(number, None)

    def _finish(self, errand: Errand, why: str) -> None:
        """No further attempt: the server's own answer if there is one, else what the verdicts say."""
        if errand.reply is not None and not errand.out:
            errand.answer(errand.reply)
            return
        verdicts = list(errand.verdicts)
        if errand.out:
            verdicts.append(Verdict(Ran.MAYBE, why))
        if why != "time" and verdicts and verdicts[-1].why == "time":
            why = "time"
        errand.answer(worst(verdicts, why))

    # ------------------------------------------------------------ the decision module

    def _post(self, event: api.Event) -> None:
        for action in self.balancer.handle(event, 1000.0 * self._loop.time()):
            self._act(action)

    def _act(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self._send(action)
        elif isinstance(action, api.SetTimer):
            delay = max(0, math.ceil(action.at_ms - 1000.0 * self._loop.time())) / 1000.0
            self._loop.call_later(delay, self._post, api.TimerFired(action.token))
        elif isinstance(action, api.Refuse | api.Fail):
            errand = self._errands.get(action.request)
            if errand is not None and not errand.done:
                if isinstance(action, api.Refuse) and action.retry_after_ms:
                    errand.verdicts.append(Verdict(Ran.NEVER, "refused", action.retry_after_ms))
                self._finish(errand, "refused")
                self._forget(action.request, errand)
        elif isinstance(action, api.Cancel):
            errand = self._errands.get(action.request)
            if errand is not None and action.attempt in errand.out:
                self._loop.call_soon(self._end, action.request, errand, action.attempt, Outcome.CANCELLED)
        elif isinstance(action, api.Log):
            self._note(f"{self.route.name}: {action.text}")

    def _send(self, action: api.Send) -> None:
        number, errand = action.request, self._errands[action.request]
        attempt = errand.sends
        errand.sends += 1
        again = errand.arrivals > 0 or bool(errand.out)
        if errand.done or (
            again
            and not (errand.arrivals + len(errand.out) < self.route.max_attempts and self._purse.spend())
        ):
            # No further arrival is allowed: what is out may still answer.
            if not errand.out:
                self._finish(errand, "tries")
            self._loop.call_soon(self._moot, number, errand, attempt, action.server)
            return
        began = self._loop.time()
        free = min(len(self._listed) - 1, DRAWS_FREE)
        server = action.server.decode()
        errand.out[attempt] = lambda client_left: None
        over = False

        def delivered(delivery: Delivery) -> None:
            nonlocal over
            over = True
            self._delivered(number, attempt, action.server, began, errand, delivery)

        withdraw = self._carry(errand, self.route, server, attempt >= free, again, delivered)
        if not over and attempt in errand.out:
            errand.out[attempt] = withdraw
            self._began[number, attempt] = (action.server, began)

    def _moot(self, number: int, errand: Errand, attempt: int, server: ServerId) -> None:
        self._post(api.AttemptEnded(number, attempt, server, Outcome.MOOT, 0.0, errand.done))
        self._forget(number, errand)

    def _end(
        self, number: int, errand: Errand, attempt: int, outcome: Outcome, *, client_left: bool = False
    ) -> None:
        """An attempt that is out is not waited for any more."""
        found = self._began.pop((number, attempt), None)
        if found is None or attempt not in errand.out:
            return
        errand.out.pop(attempt)(client_left)
        errand.verdicts.append(Verdict(Ran.MAYBE, "time" if outcome is Outcome.TIMEOUT else "withdrawn"))
        errand.arrivals += 1
        server, began = found
        elapsed = 1000.0 * (self._loop.time() - began)
        self._post(api.AttemptEnded(number, attempt, server, outcome, elapsed, errand.done))
        self._forget(number, errand)

    def _delivered(
        self, number: int, attempt: int, server: ServerId, began: float, errand: Errand, delivery: Delivery
    ) -> None:
        if attempt not in errand.out:
            return
        del errand.out[attempt]
        self._began.pop((number, attempt), None)
        elapsed = 1000.0 * (self._loop.time() - began)
        outcome = self._judge(errand, server, elapsed, delivery)
        if outcome is Outcome.REJECTED and errand.reply is not None:
            errand.answer(errand.reply)
        if outcome is Outcome.OK and self._listed.get(server.decode()) is Distance.FAR:
            elapsed += self._toll_ms
        rest_ms = min(REST_MOST_MS, REST_PART * delivery.retry_ms) if outcome is Outcome.MOOT else 0.0
        self._post(api.AttemptEnded(number, attempt, server, outcome, elapsed, errand.done, rest_ms=rest_ms))
        self._forget(number, errand)

    def _judge(self, errand: Errand, server: ServerId, elapsed: float, delivery: Delivery) -> Outcome:
        """What the end of an attempt says, in the module's terms; a success is handed on at once."""
        ran = Ran(delivery.ran)
        if delivery.status:
            errand.arrivals += 1
            reply = Reply(delivery.status, delivery.fields, delivery.body)
            if 200 <= delivery.status < 300:
                errand.answer(reply)
                return Outcome.OK
            errand.reply = reply
            errand.verdicts.append(Verdict(Ran.YES, f"status {delivery.status}"))
            # A 500 is as often that of a service behind: it takes four in a row to tell a server off.
            return Outcome.REJECTED if delivery.status < 500 else Outcome.SPOILT
        errand.verdicts.append(Verdict(ran, delivery.why, delivery.retry_ms))
        if ran is not Ran.NEVER:
            errand.arrivals += 1
            return Outcome.SPOILT if delivery.why == Outcome.SPOILT.value else Outcome.RESET
        if delivery.why == "turned away":
            errand.arrivals += 1
            return Outcome.FULL
        if delivery.why in ("unreachable", "down"):
            return Outcome.CONNECT_FAILED
        return Outcome.MOOT

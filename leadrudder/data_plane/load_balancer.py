"""Load balancing for one route and service: the policy module alone selects the server of each attempt.

Each load balancer owns one `leadrudder.policy.Balancer`, which keeps a selection probability and an average
latency per server, learned from the calls of this node. A call that a server's admission control refuses
without passing it to the server is sent to another server at once.
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
from leadrudder.data_plane.inbound import Deliver, Withdraw, no_withdrawal
from leadrudder.data_plane.retry_budget import RetryBudget
from leadrudder.interface import Effect, Outcome, ServerId
from leadrudder.policy.decide import Balancer
from leadrudder.protocol.mesh_pb2 import ForwardResponse
from leadrudder.protocol.outcome import Executed, RequestFailure, ServerResponse, combined_failure
from leadrudder.recovery.saturation import Saturation
from leadrudder.transport.large_body import LargeBody

MAX_ATTEMPTS = 3  # per request, including those refused by admission control
ATTEMPTS_BEFORE_WAITING = 2  # later attempts may be queued even if the answer will miss its target
FULL_SERVER_PAUSE_FRACTION = 0.5  # of the wait that a full server reports; it is not selected until then
MAX_FULL_SERVER_PAUSE_MS = 150.0
FLOOR_SHARE = 0.06  # p_min is this share divided by the number of servers
# Part of the target, added to the latency of a call to another zone: traffic between zones is costly.
CROSS_ZONE_PENALTY_FRACTION = 0.3
MIN_RETRY_AFTER_MS = 20.0  # lower bound of the Retry-After sent to clients


class UnlimitedConcurrency:
    """Sets no limit: admission control at each server limits calls, as it knows their exact number."""

    value = math.inf

    def rescale(self, by: float, servers: float, part: float) -> None:
        """The limit does not change."""

    def record_outcome(self, saturation: Saturation, latency_share: float, out: int, patience: float) -> None:
        """The limit does not change."""


def nothing_to_refuse() -> None:
    """Does nothing: the request has not been submitted."""


@dataclass(slots=True, eq=False)
class ProxiedRequest:
    """A client's request; it gets exactly one answer."""

    method: bytes
    target: bytes
    fields: bytes
    body: bytes
    attempt_id: bytes
    deadline: float  # seconds on the loop's clock
    on_answer: Callable[[ServerResponse | RequestFailure], None]
    started_at: float = 0.0  # seconds on the loop's clock
    waited_ms: float = 0.0  # by the client before this request, estimated from its remaining time
    epoch: int = 0  # ledger epoch in which it started; 0 if there is no ledger
    done: bool = False
    arrivals: int = 0  # attempts that reached a server or may have
    attempts_sent: int = 0
    in_flight: dict[int, Withdraw] = field(default_factory=dict)
    verdicts: list[RequestFailure] = field(default_factory=list)
    error_reply: ServerResponse | None = None  # a server's answer other than a success
    refuse_if_waiting: Callable[[], None] = nothing_to_refuse  # ends it unless an attempt is in flight
    large_body: LargeBody | None = None  # if it is too large to be copied; body is empty then

    def answer(self, result: ServerResponse | RequestFailure) -> None:
        if not self.done:
            self.done = True
            self.on_answer(result)


SendAttempt = Callable[[ProxiedRequest, Route, str, bool, bool, Deliver], Withdraw]


@dataclass(frozen=True, slots=True)
class WithdrawnAttempt:
    """An attempt that this node has given up, for the policy module."""

    attempt: int
    server: ServerId
    elapsed_ms: float


class LoadBalancer:
    """send_attempt: sends one attempt to a server's admission control; returns a function to withdraw it."""

    def __init__(
        self,
        route: Route,
        service: str,
        retry_budget: RetryBudget,
        send_attempt: SendAttempt,
        log: Callable[[str], None],
        seed: int | None = None,
    ) -> None:
        self.route, self.service = route, service
        self._send_attempt, self._log, self._retry_budget = send_attempt, log, retry_budget
        self._loop = asyncio.get_running_loop()
        request_class = api.RequestClass(
            name=route.name,
            aim_ms=max(1.0, route.target_ms),
            deadline_ms=max(1.0, route.timeout_ms),
            effect=Effect.UNSAFE if route.at_most_once else Effect.SAFE,
        )
        settings = api.Settings(
            classes=(request_class,),
            # Each node learns on its own. With balancers=88 the policy restricted this node to a few servers
            # and converged on one or two of them: 8 of 19 servers were idle while others were full.
            balancers=1,
            max_attempts=MAX_ATTEMPTS,
            may_duplicate=True,
            may_cancel=True,
            max_retry_after_ms=1000.0,
            cold_ms=0.0,
            capacity_hints=True,
            floor_share=FLOOR_SHARE,
            even_spread=False,
        )
        self.policy = Balancer(
            settings, seed=Random().getrandbits(48) if seed is None else seed, limit=UnlimitedConcurrency()
        )
        self._client_requests: dict[int, ProxiedRequest] = {}
        self._last_number = 0
        self._current_servers: Mapping[str, Distance] = {}
        self._pending_candidates: Candidates | None = None  # not yet passed to the policy
        self._cross_zone_penalty_ms = CROSS_ZONE_PENALTY_FRACTION * route.target_ms
        self._attempts_in_flight: dict[tuple[int, int], tuple[ServerId, float]] = {}  # server, start

    def set_servers(self, servers: Mapping[str, Distance]) -> None:
        """Replace the servers that may be selected, with their distances."""
        self.offer_candidates(Candidates.from_servers(servers))
        self._apply_pending_candidates()

    def offer_candidates(self, candidates: Candidates) -> None:
        """Replace the servers that may be selected; takes effect at the next request if none is open."""
        self._pending_candidates = candidates
        if self._client_requests:
            self._apply_pending_candidates()

    def _apply_pending_candidates(self) -> None:
        candidates, self._pending_candidates = self._pending_candidates, None
        if (
            candidates is None
            or candidates.servers is self._current_servers
            or candidates.servers == self._current_servers
        ):
            return
        self._current_servers = candidates.servers
        self._handle_event(api.ServerList(api.ListKind.FULL, candidates.entries))

    def submit(self, client_request: ProxiedRequest) -> Callable[[], None]:
        """Start a request, which gets one answer.  Returns a function to call when its client disconnects."""
        self._apply_pending_candidates()
        self._last_number += 1
        self._retry_budget.deposit()
        number = self._last_number
        self._client_requests[number] = client_request
        client_request.refuse_if_waiting = lambda: self._refuse_if_waiting(number, client_request)
        left_s = client_request.deadline - self._loop.time()
        self._loop.call_later(max(0.0, left_s), self._on_deadline, number, client_request)
        self._handle_event(api.Arrival(number, 0, max(1.0, 1000.0 * left_s)))
        return lambda: self._on_client_left(number, client_request)

    def _on_client_left(self, number: int, client_request: ProxiedRequest) -> None:
        """The client has disconnected: send no further attempts and withdraw those in flight."""
        if number not in self._client_requests or client_request.done:
            return
        del self._client_requests[number]
        withdrawn = self._withdraw_all(number, client_request, "withdrawn", client_left=True)
        # First, as the cancelled attempts must not count against servers.
        self._handle_event(api.RequestGone(number))
        self._finish(client_request, "client left")
        for each in withdrawn:
            self._report_withdrawn(number, client_request, each, Outcome.CANCELLED)

    def _refuse_if_waiting(self, number: int, client_request: ProxiedRequest) -> None:
        """This node stops: end a request of which no attempt is in flight."""
        if number not in self._client_requests or client_request.done or client_request.in_flight:
            return
        del self._client_requests[number]
        self._handle_event(api.RequestGone(number))
        self._finish(client_request, "stopping")

    def _on_deadline(self, number: int, client_request: ProxiedRequest) -> None:
        """The deadline has passed: attempts in flight count as timed out after the time they took."""
        if number not in self._client_requests:
            return
        withdrawn = self._withdraw_all(number, client_request, "time", client_left=False)
        if not client_request.done:
            self._finish(client_request, "time")
        for each in withdrawn:
            self._report_withdrawn(number, client_request, each, Outcome.TIMEOUT)
        self._client_requests.pop(number, None)
        self._handle_event(api.RequestGone(number))

    def _remove_if_finished(self, number: int, client_request: ProxiedRequest) -> None:
        """A request is kept until all its attempts have ended."""
        if client_request.done and not client_request.in_flight:
            self._client_requests.pop(number, None)

    def _finish(self, client_request: ProxiedRequest, reason: str) -> None:
        """Answer without another attempt: by a server's error reply if there is one, else by verdicts."""
        if client_request.error_reply is not None and not client_request.in_flight:
            client_request.answer(client_request.error_reply)
            return
        verdicts = list(client_request.verdicts)
        if client_request.in_flight:
            verdicts.append(RequestFailure(Executed.MAYBE, reason))
        if reason != "time" and verdicts and verdicts[-1].why == "time":
            reason = "time"
        client_request.answer(combined_failure(verdicts, reason))

    # ------------------------------------------------------------ the policy module

    def _handle_event(self, event: api.Event) -> None:
        for action in self.policy.handle(event, 1000.0 * self._loop.time()):
            self._perform(action)

    def _perform(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self._start_attempt(action)
        elif isinstance(action, api.SetTimer):
            delay = max(0, math.ceil(action.at_ms - 1000.0 * self._loop.time())) / 1000.0
            self._loop.call_later(delay, self._handle_event, api.TimerFired(action.token))
        elif isinstance(action, api.Refuse | api.Fail):
            client_request = self._client_requests.get(action.request)
            if client_request is not None and not client_request.done:
                if isinstance(action, api.Refuse) and action.retry_after_ms:
                    client_request.verdicts.append(
                        RequestFailure(Executed.NEVER, "refused", action.retry_after_ms)
                    )
                self._finish(client_request, "refused")
                self._remove_if_finished(action.request, client_request)
        elif isinstance(action, api.Cancel):
            client_request = self._client_requests.get(action.request)
            if client_request is not None and action.attempt in client_request.in_flight:
                self._loop.call_soon(self._cancel_attempt, action.request, client_request, action.attempt)
        elif isinstance(action, api.Log):
            self._log(f"{self.route.name}: {action.text}")

    def _start_attempt(self, action: api.Send) -> None:
        number, client_request = action.request, self._client_requests[action.request]
        attempt = client_request.attempts_sent
        client_request.attempts_sent += 1
        is_repeat = client_request.arrivals > 0 or bool(client_request.in_flight)
        if client_request.done or (
            is_repeat
            and not (
                client_request.arrivals + len(client_request.in_flight) < self.route.max_attempts
                and self._retry_budget.try_spend()
            )
        ):
            # No further attempt is allowed; attempts in flight may still answer.
            if not client_request.in_flight:
                self._finish(client_request, "tries")
            self._loop.call_soon(self._end_unsent_attempt, number, client_request, attempt, action.server)
            return
        started_at = self._loop.time()
        wait_from_attempt = min(len(self._current_servers) - 1, ATTEMPTS_BEFORE_WAITING)
        server = action.server.decode()
        client_request.in_flight[attempt] = no_withdrawal
        ended_early = False

        def delivered(response: ForwardResponse, large_body: LargeBody | None = None) -> None:
            nonlocal ended_early
            ended_early = True
            self._on_response(
                number, attempt, action.server, started_at, client_request, response, large_body
            )

        withdraw = self._send_attempt(
            client_request, self.route, server, attempt >= wait_from_attempt, is_repeat, delivered
        )
        if not ended_early and attempt in client_request.in_flight:
            client_request.in_flight[attempt] = withdraw
            self._attempts_in_flight[number, attempt] = (action.server, started_at)

    def _end_unsent_attempt(
        self, number: int, client_request: ProxiedRequest, attempt: int, server: ServerId
    ) -> None:
        self._handle_event(api.AttemptEnded(number, attempt, server, Outcome.MOOT, 0.0, client_request.done))
        self._remove_if_finished(number, client_request)

    def _cancel_attempt(self, number: int, client_request: ProxiedRequest, attempt: int) -> None:
        withdrawn = self._withdraw_attempt(number, client_request, attempt, "withdrawn", client_left=False)
        if withdrawn is not None:
            self._report_withdrawn(number, client_request, withdrawn, Outcome.CANCELLED)

    def _withdraw_all(
        self, number: int, client_request: ProxiedRequest, why: str, *, client_left: bool
    ) -> list[WithdrawnAttempt]:
        """Withdraw all attempts in flight; each must then be reported to the policy module."""
        withdrawn = [
            self._withdraw_attempt(number, client_request, attempt, why, client_left=client_left)
            for attempt in list(client_request.in_flight)
        ]
        return [each for each in withdrawn if each is not None]

    def _withdraw_attempt(
        self, number: int, client_request: ProxiedRequest, attempt: int, why: str, *, client_left: bool
    ) -> WithdrawnAttempt | None:
        """Stop waiting for an attempt, and note whether it may have run; None if it is not in flight."""
        found = self._attempts_in_flight.pop((number, attempt), None)
        if found is None or attempt not in client_request.in_flight:
            return None
        executed = client_request.in_flight.pop(attempt)(client_left)
        client_request.verdicts.append(RequestFailure(executed, why))
        if executed is not Executed.NEVER:
            client_request.arrivals += 1
        server, started_at = found
        return WithdrawnAttempt(attempt, server, 1000.0 * (self._loop.time() - started_at))

    def _report_withdrawn(
        self, number: int, client_request: ProxiedRequest, withdrawn: WithdrawnAttempt, outcome: Outcome
    ) -> None:
        """Tell the policy module that an attempt has been withdrawn."""
        self._handle_event(
            api.AttemptEnded(
                number,
                withdrawn.attempt,
                withdrawn.server,
                outcome,
                withdrawn.elapsed_ms,
                client_request.done,
            )
        )
        self._remove_if_finished(number, client_request)

    def _on_response(
        self,
        number: int,
        attempt: int,
        server: ServerId,
        started_at: float,
        client_request: ProxiedRequest,
        response: ForwardResponse,
        large_body: LargeBody | None,
    ) -> None:
        if attempt not in client_request.in_flight:
            return
        del client_request.in_flight[attempt]
        self._attempts_in_flight.pop((number, attempt), None)
        elapsed_ms = 1000.0 * (self._loop.time() - started_at)
        outcome = self._classify(client_request, server, elapsed_ms, response, large_body)
        if outcome is Outcome.REJECTED and client_request.error_reply is not None:
            client_request.answer(client_request.error_reply)
        if outcome is Outcome.OK and self._current_servers.get(server.decode()) is Distance.OTHER_ZONE:
            elapsed_ms += self._cross_zone_penalty_ms
        rest_ms = (
            min(MAX_FULL_SERVER_PAUSE_MS, FULL_SERVER_PAUSE_FRACTION * response.retry_ms)
            if outcome is Outcome.MOOT
            else 0.0
        )
        self._handle_event(
            api.AttemptEnded(
                number, attempt, server, outcome, elapsed_ms, client_request.done, rest_ms=rest_ms
            )
        )
        self._remove_if_finished(number, client_request)

    def _classify(
        self,
        client_request: ProxiedRequest,
        server: ServerId,
        elapsed_ms: float,
        response: ForwardResponse,
        large_body: LargeBody | None,
    ) -> Outcome:
        """The outcome of an attempt in the policy's terms; a success is passed to the client at once."""
        ran = Executed(response.ran)
        if response.status:
            client_request.arrivals += 1
            reply = ServerResponse(response.status, response.fields, response.body, large_body)
            if 200 <= response.status < 300:
                client_request.answer(reply)
                return Outcome.OK
            client_request.error_reply = reply
            client_request.verdicts.append(RequestFailure(Executed.YES, f"status {response.status}"))
            # A 500 is as often caused by a service that the server calls: only four in a row eject it.
            return Outcome.REJECTED if response.status < 500 else Outcome.SPOILT
        client_request.verdicts.append(RequestFailure(ran, response.why, response.retry_ms))
        if ran is not Executed.NEVER:
            client_request.arrivals += 1
            return Outcome.SPOILT if response.why == Outcome.SPOILT.value else Outcome.RESET
        if response.why == "turned away":
            client_request.arrivals += 1
            return Outcome.FULL
        if response.why in ("unreachable", "down"):
            return Outcome.CONNECT_FAILED
        return Outcome.MOOT

"""The decisions of one node: takes the events of leadrudder/interface.py and returns its actions.

Servers are selected by a learning automaton (automaton.py).  The code around it decides which servers are
eligible, when requests are dispatched and how outcomes are handled; docs/design/node.md lists these
exceptions and their conditions.  There is no clock and no global random source: each event carries the time,
and all randomness derives from the seed.
"""

from __future__ import annotations

import math
import random
from bisect import insort
from collections.abc import Callable
from typing import Any

from leadrudder import interface as api
from leadrudder.interface import Outcome
from leadrudder.policy.admission import Admission
from leadrudder.policy.attempts import Attempt, Request, any_server_permitted, permitted
from leadrudder.policy.health import Health
from leadrudder.policy.placement import Placement
from leadrudder.recovery.limit import ConcurrencyLimit
from leadrudder.selection_context import DrawContext
from leadrudder.state.estimators import LatencyEstimator
from leadrudder.state.list_calls import ListCallSchedule
from leadrudder.state.records import EventContext, Server
from leadrudder.state.request_value import RequestValuation
from leadrudder.state.timers import TimerQueue

# Backoff of a server that refused a call as full, as a fraction of the latency target.  Doubled each time
# until it answers: a draining server refuses calls for seconds before the list says so.
FULL_BACKOFF_AIMS = 0.02
MAX_FULL_BACKOFF_DOUBLINGS = 5
LATE_REST_FACTOR = 2.0  # rest, in durations of a late call during which the server answered nothing else

# Per-server concurrency limit: decreased by a refused call, increased by this much per window of answers.
CONCURRENCY_DECREASE_FACTOR = 0.9
CONCURRENCY_INCREASE = 0.25

# Longest wait in the queue, as a fraction of the latency target, so that a refused client can still retry.
MAX_QUEUE_WAIT_AIMS = 0.1
QUEUE_RECHECK_AIMS = 0.02  # interval between checks of the queue, as a fraction of the latency target

RETRY_TOKENS_PER_ARRIVAL = 0.1  # retry budget: retries and hedges per arriving request
MAX_RETRY_TOKENS = 10.0

TIMER_HEDGE, TIMER_SERVER_LIST, TIMER_REINSTATE, TIMER_QUEUE = range(4)


class Balancer:
    """The decisions of one node.  Pass it events in order, and carry out the returned actions in order."""

    def __init__(self, settings: api.Settings, seed: int, limit: ConcurrencyLimit | None = None) -> None:
        self.settings = settings
        self._turn = EventContext(random.Random(seed))
        self._timers = TimerQueue(lambda kind, of: kind == TIMER_HEDGE and of not in self._requests)
        self._list_calls = ListCallSchedule(settings, self._turn.rng)
        self._fleet = Placement(settings, self._turn)
        self.automaton = self._fleet.automaton
        self._health = Health(
            settings,
            self._turn,
            self._fleet,
            lambda when, server: self._timers.schedule(when, TIMER_REINSTATE, server),
        )
        self._admission = Admission(settings, self._turn, self._fleet.reports, limit)
        self._requests: dict[api.RequestId, Request] = {}
        self._attempts: dict[tuple[api.RequestId, int], tuple[Server, Attempt]] = {}
        self._queue: list[tuple[float, int, Request]] = []  # by worth, then by age
        self._sequence = 0
        self._shortest_aim_ms = min(c.aim_ms for c in settings.classes)
        self._latency = LatencyEstimator()
        self._class_latency = [LatencyEstimator() for _ in settings.classes]
        self._worth = RequestValuation(settings)
        self._retry_tokens = MAX_RETRY_TOKENS / 2
        self._queue_timer_at = math.inf
        self._handlers: dict[type, Callable[[Any], None]] = {
            api.AttemptEnded: self._on_attempt_ended,
            api.Arrival: self._on_arrival,
            api.TimerFired: self._on_timer_fired,
            api.ServerList: self._on_server_list,
            api.RequestGone: self._on_request_gone,
            api.ProbeEnded: self._health.on_probe,
            api.AnswerStarted: self._on_answer_started,
        }

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        """Returns the actions that follow from one event."""
        turn = self._turn
        turn.actions, turn.now = [], now
        self._fleet.recheck_due()
        on_event = self._handlers.get(type(event))
        if on_event is not None:
            on_event(event)
        self._admission.set_capacity(self._fleet.capacity.total())
        self._dispatch_queue()
        if (wake := self._timers.next_wakeup()) is not None:
            turn.actions.append(api.SetTimer(*wake))
        return turn.actions

    def _on_timer_fired(self, event: api.TimerFired) -> None:
        self._timers.on_wakeup(event.token)
        for kind, subject in self._timers.pop_due(self._turn.now):
            if kind == TIMER_QUEUE:
                self._queue_timer_at = math.inf
                for _, _, waiting in list(self._queue):
                    if waiting.wait_until <= self._turn.now:
                        self._on_wait_expired(waiting)
            elif kind == TIMER_SERVER_LIST:
                if (again := self._list_calls.on_timer(self._turn.now)) is not None:
                    self._turn.actions.append(api.Subscribe())
                    self._timers.schedule(again, TIMER_SERVER_LIST)
            elif isinstance(subject, bytes):
                if subject in self._fleet.servers:  # otherwise it was removed meanwhile
                    self._health.try_reinstate(self._fleet.servers[subject])
            elif isinstance(subject, int):
                request = self._requests.get(subject)  # None: the request has finished
                if (
                    request is not None
                    and request.outstanding
                    and not request.queued
                    and not request.answer_started
                ):
                    self._hedge(request)

    def _on_server_list(self, event: api.ServerList) -> None:
        failed = self._list_calls.failed_calls
        call_at = self._list_calls.on_list_event(event.kind, self._turn.now)
        if call_at is not None:
            self._timers.schedule(call_at, TIMER_SERVER_LIST)
        if event.kind is api.ListKind.FAILED:
            if not failed:
                self._turn.log("server list lost: a call failed or the subscription broke")
            return
        if failed and not self._list_calls.failed_calls:
            self._turn.log(f"server list restored after {failed} failed calls")
        self._fleet.apply_list(event)

    def _on_arrival(self, event: api.Arrival) -> None:
        settings, now = self.settings, self._turn.now
        if not 0 <= event.class_index < len(settings.classes):
            raise api.UnexpectedEvent(f"request {event.request} is of unknown class {event.class_index}")
        if event.request in self._requests:
            raise api.UnexpectedEvent(f"request {event.request} arrived twice")
        kind = settings.classes[event.class_index]
        self._sequence += 1
        admission_draw, deadline = self._turn.rng.random(), now + event.budget_ms
        appraisal = self._worth.evaluate(event, now)
        request = Request(
            event.request, kind, event.class_index, now, deadline, appraisal, self._sequence, admission_draw
        )
        self._requests[request.id] = request
        self._retry_tokens = min(MAX_RETRY_TOKENS, self._retry_tokens + RETRY_TOKENS_PER_ARRIVAL)
        # At the first tier the wait is a fraction of the latency target; in inner tiers a refusal would waste
        # the work already done, so a request waits for up to half of its budget.
        wait_ms = MAX_QUEUE_WAIT_AIMS * kind.aim_ms if settings.stage == 0 else 0.5 * event.budget_ms
        self._enqueue(request, min(wait_ms, 0.5 * event.budget_ms))

    def _enqueue(self, request: Request, wait_ms: float) -> None:
        request.wait_until, request.queued = self._turn.now + wait_ms, True
        insort(self._queue, (-request.appraisal.worth, request.sequence, request))

    def _dequeue(self, request: Request) -> None:
        if request.queued:
            request.queued = False
            self._queue.remove((-request.appraisal.worth, request.sequence, request))

    def _dispatch_queue(self) -> None:
        """Sends queued requests, those of the highest worth first."""
        i = tries = 0
        while i < len(self._queue) and tries < 3:
            request = self._queue[i][2]
            if not self._admission.has_room(request, len(self._attempts)):
                break  # requests of lower worth must not pass on a luckier admission draw
            if self._try_place(request, False):
                continue
            tries += 1
            i += 1
        if self._queue:
            recheck_at = min(
                self._turn.now + QUEUE_RECHECK_AIMS * self._shortest_aim_ms,
                min(q[2].wait_until for q in self._queue),
            )
            if recheck_at < self._queue_timer_at:
                self._queue_timer_at = recheck_at
                self._timers.schedule(recheck_at, TIMER_QUEUE)

    def _on_wait_expired(self, request: Request) -> None:
        """At the end of the wait: one attempt at any server that the rules allow, or else a final answer."""
        if self._admission.has_room(request, len(self._attempts)) and self._try_place(request, True):
            return
        self._end_unserved(request)

    def _try_place(self, request: Request, last_resort: bool) -> bool:
        calm, out = self._admission.saturation.baseline_ms, len(self._attempts)
        context = DrawContext(
            request, self.automaton.mean() or 0.0, calm, out, self._latency.late_threshold()
        )
        server = self._fleet.choose_server(context, last_resort)
        return server is not None and self._send(request, server)

    def _send(self, request: Request, server: Server) -> bool:
        """Sends an attempt.  Enforces rules 1 to 3; FleetCapacity.cold_budget_allows enforced rule 4."""
        now, settings = self._turn.now, self.settings
        remaining_ms = request.deadline - now
        if (
            self._requests.get(request.id) is not request
            or request.answer_started
            or remaining_ms <= settings.tick_ms
            or len(request.attempts) >= settings.max_attempts
            or not server.listed
            or not permitted(request, server.entry, settings, now)
        ):
            return False
        self._dequeue(request)
        number = len(request.attempts)
        attempt = Attempt(server.entry, now, request.appraisal.units, request.class_index)
        server.allocate_call_state()
        server.class_health[request.class_index].outstanding += 1
        request.attempts.append(attempt)
        request.outstanding += 1
        server.outstanding[request.id, number] = now
        self._attempts[request.id, number] = (server, attempt)
        self._fleet.on_sent(server, request.appraisal.units)
        self._admission.saturation.record_send()
        self._set_hedge_timer(request)
        if self._needs_new_connection(request, server):
            self._turn.actions.append(api.CloseIdle(server.entry.server))
        self._turn.actions.append(api.Send(request.id, server.entry.server))
        return True

    def _needs_new_connection(self, request: Request, server: Server) -> bool:
        """Whether a request that must not be repeated needs a new connection.

        True if the server has been silent for longer than the mean latency: a host that is gone swallows what
        is written to an idle connection, and each node of a tier would lose one request.  A failed connect
        proves that nothing ran.  Handshakes can cost as much as the work itself, so this is off while
        latencies exceed their target (in the overload case the result fell from 0.87 to 0.72).
        """
        unheard = self._turn.now - server.last_heard_at > self._latency.mean
        return unheard and self._admission.saturation.latency_ratio < 1.0 and not request.may_repeat()

    def _set_hedge_timer(self, request: Request) -> None:
        """Sets a timer for when the attempt is late, if another attempt could still be answered in time."""
        latency = self._class_latency[request.class_index]
        hedge_at = self._turn.now + latency.late_threshold()
        if (
            request.may_repeat()
            and len(request.attempts) < self.settings.max_attempts
            and hedge_at + latency.mean < request.deadline
        ):
            self._timers.schedule(hedge_at, TIMER_HEDGE, request.id)

    def _hedge(self, request: Request) -> None:
        """Hedges a late attempt with a second copy, or cancels and retries it where copies are forbidden.

        Only if the server answers nothing else meanwhile: a server that answers other calls is busy with long
        work, and abandoning it would load the next queue (14% of attempts timed out on a quiet day).  And
        only while the retry budget lasts and latencies are within their target; else the timer is set again.
        """
        late = self._class_latency[request.class_index].late_threshold()
        out = [self._fleet.servers[a.entry.server] for a in request.attempts if a.outcome is None]
        affordable = self._retry_tokens >= 1.0 and self._admission.saturation.latency_ratio < 1.0
        if affordable and all(self._fleet.is_silent(s, late) for s in out):
            if not self.settings.may_duplicate:
                self._cancel_attempts(request, None)
                return
            if self._try_place(request, False):
                self._retry_tokens -= 1.0
                return
        self._set_hedge_timer(request)

    def _end_unserved(self, request: Request) -> None:
        """Ends a request that is not served: with a refusal where rule 2 allows it, otherwise as failed."""
        if self._requests.pop(request.id, None) is None:
            return
        self._dequeue(request)
        if request.first_possible_run() is not None and not request.client_may_retry():
            self._turn.actions.append(api.Fail(request.id))
        else:
            wait = min(0.2 * request.request_class.aim_ms, self.settings.max_retry_after_ms)
            room = self._admission.has_room(request, len(self._attempts))
            why = api.Refusal.NOBODY if room else api.Refusal.LIMIT
            why = api.Refusal.TRIED if request.attempts else why
            self._turn.actions.append(api.Refuse(request.id, wait if self.settings.retry_after else 0.0, why))
        self._cancel_attempts(request, None)

    def _cancel_attempts(self, request: Request, keep: int | None) -> None:
        """Cancels the attempts still in flight, except the one to keep."""
        if not self.settings.may_cancel or not request.outstanding:
            return
        for number, attempt in enumerate(request.attempts):
            if attempt.outcome is None and number != keep:
                self._turn.actions.append(api.Cancel(request.id, number))

    def _on_attempt_ended(self, event: api.AttemptEnded) -> None:
        key = (event.request, event.attempt)
        found = self._attempts.pop(key, None)
        if found is None:
            raise api.UnexpectedEvent(f"attempt {event.attempt} of request {event.request} was not out")
        server, attempt = found
        attempt.outcome = event.outcome
        del server.outstanding[key]
        server.class_health[attempt.class_index].outstanding -= 1
        self._fleet.reports.record(server, event.load)
        self._health.update_totals(server, -1)
        self._record_outcome(server, attempt, event)
        self._health.update_totals(server, 1)
        self._fleet.refresh(server)
        request = self._requests.get(event.request)
        if request is None:
            return
        request.outstanding -= 1
        if event.finished:
            del self._requests[request.id]
            self._dequeue(request)
            self._cancel_attempts(request, event.attempt)
        elif not request.outstanding and not request.queued:
            self._retry_or_end(request, event.outcome)

    def _retry_or_end(self, request: Request, outcome: Outcome) -> None:
        remaining_ms = request.deadline - self._turn.now
        may_have_run = request.first_possible_run() is not None
        mean = self._class_latency[request.class_index].mean
        # Repeating an attempt that reached no server costs nothing.
        needs_token = may_have_run or outcome is Outcome.FULL
        if (
            outcome is not Outcome.REJECTED
            and len(request.attempts) < self.settings.max_attempts
            and remaining_ms > max(mean, 2 * self.settings.tick_ms)
            and (not needs_token or self._retry_tokens >= 1.0)
            and any_server_permitted(request, self._fleet.arms, self.settings, self._turn.now)
        ):
            if needs_token:
                self._retry_tokens -= 1.0
            self._enqueue(
                request, min(MAX_QUEUE_WAIT_AIMS * request.request_class.aim_ms, 0.5 * remaining_ms)
            )
        else:
            self._end_unserved(request)

    def _record_outcome(self, server: Server, attempt: Attempt, event: api.AttemptEnded) -> None:
        """Updates the state of the server, the class and the load from an outcome."""
        outcome, elapsed = event.outcome, event.elapsed_ms
        request = self._requests.get(event.request)
        if elapsed > self._latency.late_threshold() and self._turn.now - server.last_heard_at >= elapsed:
            # This late outcome is the only evidence: with few calls an average over seven spans most of a
            # minute, while the cause of the delay is still present.
            self._fleet.rest_if_spare(server, LATE_REST_FACTOR * elapsed)
        current = attempt.entry.started_ms == server.entry.started_ms
        if outcome is Outcome.OK:
            server.last_heard_at = self._turn.now
            server.consecutive_refusals = 0
            server.max_outstanding += CONCURRENCY_INCREASE / server.max_outstanding
            self._latency.observe(elapsed)
            aim = self._shortest_aim_ms
            if request is not None:
                self._class_latency[request.class_index].observe(elapsed)
                self._worth.learn(request.class_index, request.appraisal.cost, elapsed)
                aim = request.request_class.aim_ms
            # Divides by half of the work that the cost hint predicted.
            normalized = elapsed / (0.5 + 0.5 * attempt.work_units)
            self._admission.saturation.record_latency(normalized)
            self._observe_latency(elapsed / aim)
            self.automaton.learn(server.position, normalized)
            self._health.on_success(server, server.class_health[attempt.class_index])
        elif outcome is Outcome.FULL or (
            outcome is Outcome.CONNECT_FAILED
            and self._turn.now - server.last_heard_at < self._latency.late_threshold()
        ):
            # A server that answers other calls but accepts no further call or connection is full, not down.
            # Without a concurrency limit, thousands of calls per second were refused by such servers.
            server.max_outstanding = max(
                1.0, CONCURRENCY_DECREASE_FACTOR * min(server.max_outstanding, len(server.outstanding))
            )
            pause = FULL_BACKOFF_AIMS * 2.0 ** min(server.consecutive_refusals, MAX_FULL_BACKOFF_DOUBLINGS)
            self._fleet.rest_server_until(server, self._turn.now + pause * self._shortest_aim_ms)
            server.consecutive_refusals += 1
            self.automaton.charge(server.position, elapsed)
            # No overload unless more servers are full than may be ejected: they may be draining in turn.
            if self._health.many_servers_full(server):
                self._observe_latency(1.0)
        elif outcome in (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.SPOILT):
            if outcome in (Outcome.ERROR, Outcome.SPOILT):
                server.last_heard_at = self._turn.now
            self.automaton.charge(server.position, elapsed)
            self._health.on_failure(server, attempt.class_index, outcome, current)
        elif outcome is Outcome.MOOT and event.rest_ms:
            # Refused before it reached its server, which is full: no payoff, and the server rests meanwhile.
            self.automaton.charge(server.position, elapsed)
            self._fleet.rest_server_until(server, self._turn.now + event.rest_ms)
        elif outcome is Outcome.REJECTED:
            server.last_heard_at = self._turn.now  # caused by the request, not by the server or the load
        elif outcome in (Outcome.TIMEOUT, Outcome.CANCELLED):
            if request is None:
                return  # cancelled because another copy was answered first
            # The call would have taken at least this long; leaving it out would lower the latency bound.
            self._latency.observe(elapsed)
            self._class_latency[request.class_index].observe(elapsed)
            self._worth.learn(request.class_index, request.appraisal.cost, elapsed)
            self._observe_latency(elapsed / request.request_class.aim_ms)
            self.automaton.charge(server.position, elapsed)
            if current and elapsed >= self._latency.late_threshold():
                self._health.add_failure(server, outcome)

    def _on_answer_started(self, event: api.AnswerStarted) -> None:
        found = self._attempts.get((event.request, event.attempt))
        if found is None:
            raise api.UnexpectedEvent(f"attempt {event.attempt} of request {event.request} was not out")
        found[0].last_heard_at = self._turn.now
        request = self._requests.get(event.request)
        if request is not None:
            request.answer_started = True
            self._dequeue(request)
            self._cancel_attempts(request, event.attempt)

    def _on_request_gone(self, event: api.RequestGone) -> None:
        request = self._requests.pop(event.request, None)
        if request is not None:  # otherwise it has just finished
            self._dequeue(request)
            self._cancel_attempts(request, None)

    def _observe_latency(self, latency_share: float) -> None:
        self._admission.record_latency(latency_share, len(self._attempts), self._latency.mean)

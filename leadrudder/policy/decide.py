"""Every decision of leadrudder, event by event: events in, actions out, as leadrudder/interface.py has them.

The ordinary path is a learning automaton (automaton.py).  What surrounds it only says which servers may be
drawn, when, and what follows from an outcome; docs/design/node.md lists those exceptions and when each one
acts.  No clock and no global random source: time comes with each event, chance from the seed.
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
from leadrudder.policy.attempts import Attempt, Request, may_go_on, permitted
from leadrudder.policy.health import Health
from leadrudder.policy.placement import Placement
from leadrudder.recovery.limit import ConcurrencyLimit
from leadrudder.selection_context import Look
from leadrudder.state.estimators import LatencyEstimator
from leadrudder.state.list_calls import ListCallSchedule
from leadrudder.state.records import EventContext, Server
from leadrudder.state.request_value import RequestValuation
from leadrudder.state.timers import TimerQueue

FULL_PAUSE = 0.02  # a server that was full rests for this part of the aim, twice as long each time until it
FULL_DOUBLINGS = 5  # answers again: one that drains turns calls away for seconds before the list tells
LATE_REST = 2.0  # one that gave no other answer during a call that ends late rests this many times as long

# A server that turned a call away gets fewer at once; the ceiling rises by this much for each full turn.
CEILING_DOWN = 0.9
CEILING_UP = 0.25

HOLD = 0.1  # part of the aim that a request may wait here for a place: a refused client tries again in time
RECHECK = 0.02  # part of the aim between looks at waiting requests

RETRY_EARN = 0.1  # retries and second copies for each arrival
RETRY_MOST = 10.0

HEDGE, LIST, RETURN, RECHECKED = range(4)  # kinds of timers


class Balancer:
    """The decisions of one node.  Feed it events in order; carry out the actions it returns."""

    def __init__(self, settings: api.Settings, seed: int, limit: ConcurrencyLimit | None = None) -> None:
        self.settings = settings
        self._turn = EventContext(random.Random(seed))
        self._timers = TimerQueue(lambda kind, of: kind == HEDGE and of not in self._requests)
        self._calls = ListCallSchedule(settings, self._turn.rng)
        self._fleet = Placement(settings, self._turn)
        self.automaton = self._fleet.automaton
        self._health = Health(
            settings,
            self._turn,
            self._fleet,
            lambda when, server: self._timers.schedule(when, RETURN, server),
        )
        self._admission = Admission(settings, self._turn, self._fleet.reports, limit)
        self._requests: dict[api.RequestId, Request] = {}
        self._attempts: dict[tuple[api.RequestId, int], tuple[Server, Attempt]] = {}
        self._queue: list[tuple[float, int, Request]] = []  # by worth, then age
        self._seq = 0
        self._aim = min(c.aim_ms for c in settings.classes)
        self._patience = LatencyEstimator()
        self._class_patience = [LatencyEstimator() for _ in settings.classes]
        self._worth = RequestValuation(settings)
        self._retry_tokens = RETRY_MOST / 2
        self._recheck_at = math.inf
        self._on: dict[type, Callable[[Any], None]] = {
            api.AttemptEnded: self._on_ended,
            api.Arrival: self._on_arrival,
            api.TimerFired: self._on_timer,
            api.ServerList: self._on_list,
            api.RequestGone: self._on_gone,
            api.ProbeEnded: self._health.on_probe,
            api.AnswerStarted: self._on_started,
        }

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        """The actions that follow from one event."""
        turn = self._turn
        turn.actions, turn.now = [], now
        self._fleet.begin()
        on_event = self._on.get(type(event))
        if on_event is not None:
            on_event(event)
        self._admission.bear(self._fleet.capacity.total())
        self._drain()
        if (wake := self._timers.next_wakeup()) is not None:
            turn.actions.append(api.SetTimer(*wake))
        return turn.actions

    def _on_timer(self, event: api.TimerFired) -> None:
        self._timers.on_wakeup(event.token)
        for kind, subject in self._timers.pop_due(self._turn.now):
            if kind == RECHECKED:
                self._recheck_at = math.inf
                for _, _, waiting in list(self._queue):
                    if waiting.hold_until <= self._turn.now:
                        self._expire(waiting)
            elif kind == LIST:
                if (again := self._calls.on_timer(self._turn.now)) is not None:
                    self._turn.actions.append(api.Subscribe())
                    self._timers.schedule(again, LIST)
            elif isinstance(subject, bytes):
                if subject in self._fleet.servers:  # else it has gone meanwhile
                    self._health.try_return(self._fleet.servers[subject])
            elif isinstance(subject, int):
                request = self._requests.get(subject)  # None: a timer of a request that has finished
                if request is not None and request.out and not request.waiting and not request.started:
                    self._hedge(request)

    def _on_list(self, event: api.ServerList) -> None:
        failed = self._calls.failed_calls
        look = self._calls.on_list_event(event.kind, self._turn.now)
        if look is not None:
            self._timers.schedule(look, LIST)
        if event.kind is api.ListKind.FAILED:
            if not failed:
                self._turn.log("server list lost: a call failed or the subscription broke")
            return
        if failed and not self._calls.failed_calls:
            self._turn.log(f"server list found again after {failed} failed calls")
        self._fleet.take(event)

    def _on_arrival(self, event: api.Arrival) -> None:
        settings, now = self.settings, self._turn.now
        if not 0 <= event.class_index < len(settings.classes):
            raise api.UnexpectedEvent(f"request {event.request} is of unknown class {event.class_index}")
        if event.request in self._requests:
            raise api.UnexpectedEvent(f"request {event.request} arrived twice")
        kind = settings.classes[event.class_index]
        self._seq += 1
        chance, deadline = self._turn.rng.random(), now + event.budget_ms
        value = self._worth.evaluate(event, now)
        request = Request(event.request, kind, event.class_index, now, deadline, value, self._seq, chance)
        self._requests[request.id] = request
        self._retry_tokens = min(RETRY_MOST, self._retry_tokens + RETRY_EARN)
        # At the front a request waits a part of its aim; further in, its work so far would be lost.
        hold = HOLD * kind.aim_ms if settings.stage == 0 else 0.5 * event.budget_ms
        self._wait(request, min(hold, 0.5 * event.budget_ms))

    def _wait(self, request: Request, hold: float) -> None:
        request.hold_until, request.waiting = self._turn.now + hold, True
        insort(self._queue, (-request.value.worth, request.seq, request))

    def _leave_queue(self, request: Request) -> None:
        if request.waiting:
            request.waiting = False
            self._queue.remove((-request.value.worth, request.seq, request))

    def _drain(self) -> None:
        """Place what waits, the most worthy first."""
        i = tries = 0
        while i < len(self._queue) and tries < 3:
            request = self._queue[i][2]
            if not self._admission.has_room(request, len(self._attempts)):
                break  # and none of less worth by the luck of its chance
            if self._place(request, False):
                continue
            tries += 1
            i += 1
        if self._queue:
            look = min(self._turn.now + RECHECK * self._aim, min(q[2].hold_until for q in self._queue))
            if look < self._recheck_at:
                self._recheck_at = look
                self._timers.schedule(look, RECHECKED)

    def _expire(self, request: Request) -> None:
        """A request has waited long enough: a last attempt anywhere the rules allow, or an answer."""
        if self._admission.has_room(request, len(self._attempts)) and self._place(request, True):
            return
        self._finish(request)

    def _place(self, request: Request, last_resort: bool) -> bool:
        calm, out = self._admission.strain.baseline_ms, len(self._attempts)
        look = Look(request, self.automaton.mean() or 0.0, calm, out, self._patience.late_threshold())
        server = self._fleet.pick(look, last_resort)
        return server is not None and self._send(request, server)

    def _send(self, request: Request, server: Server) -> bool:
        """Send an attempt.  Rules 1 to 3 are enforced here; FleetCapacity.cold_budget_allows keeps 4."""
        now, settings = self._turn.now, self.settings
        left = request.deadline - now
        if (
            self._requests.get(request.id) is not request
            or request.started
            or left <= settings.tick_ms
            or len(request.attempts) >= settings.max_attempts
            or not server.listed
            or not permitted(request, server.entry, settings, now)
        ):
            return False
        self._leave_queue(request)
        number = len(request.attempts)
        attempt = Attempt(server.entry, now, request.value.units, request.class_index)
        server.allocate_call_state()
        server.class_health[request.class_index].outstanding += 1
        request.attempts.append(attempt)
        request.out += 1
        server.outstanding[request.id, number] = now
        self._attempts[request.id, number] = (server, attempt)
        self._fleet.sent(server, request.value.units)
        self._admission.strain.record_send()
        self._watch(request)
        if self._doubts(request, server):
            self._turn.actions.append(api.CloseIdle(server.entry.server))
        self._turn.actions.append(api.Send(request.id, server.entry.server))
        return True

    def _doubts(self, request: Request, server: Server) -> bool:
        """Whether a request that may not be repeated goes out on a new connection.

        It is not entrusted to an idle one of a server unheard of for longer than answers take: a machine that
        has vanished swallows what is written to it, and each node of a tier lost a booking to find that out.
        A new connection that does not come up proves that nothing ran.  It could hurt where handshakes cost
        as much as the work: not while latencies are past their part of the aim (overload 0.87 -> 0.72).
        """
        unheard = self._turn.now - server.last_heard_at > self._patience.mean
        return unheard and self._admission.strain.latency_ratio < 1.0 and not request.repeatable()

    def _watch(self, request: Request) -> None:
        """Look again when the attempt is late, if another could still be answered."""
        patience = self._class_patience[request.class_index]
        look = self._turn.now + patience.late_threshold()
        if (
            request.repeatable()
            and len(request.attempts) < self.settings.max_attempts
            and look + patience.mean < request.deadline
        ):
            self._timers.schedule(look, HEDGE, request.id)

    def _hedge(self, request: Request) -> None:
        """A late attempt gets a second copy, or is withdrawn and repeated where copies are forbidden.

        Only if its server has fallen silent: one that goes on answering others is merely busy with long work,
        and giving that up would feed the next queue (14% of attempts timed out on a quiet day).  And only
        while the budget lasts and latencies keep within their part of the aim; else it looks again.
        """
        late = self._class_patience[request.class_index].late_threshold()
        out = [self._fleet.servers[a.entry.server] for a in request.attempts if a.ended is None]
        affordable = self._retry_tokens >= 1.0 and self._admission.strain.latency_ratio < 1.0
        if affordable and all(self._fleet.silent(s, late) for s in out):
            if not self.settings.may_duplicate:
                self._abandon(request, None)
                return
            if self._place(request, False):
                self._retry_tokens -= 1.0
                return
        self._watch(request)

    def _finish(self, request: Request) -> None:
        """The final answer to a request that is not served: a refusal where rule 2 allows it."""
        if self._requests.pop(request.id, None) is None:
            return
        self._leave_queue(request)
        if request.risky() is not None and not request.harmless():
            self._turn.actions.append(api.Fail(request.id))
        else:
            wait = min(0.2 * request.kind.aim_ms, self.settings.max_retry_after_ms)
            room = self._admission.has_room(request, len(self._attempts))
            why = api.Refusal.NOBODY if room else api.Refusal.LIMIT
            why = api.Refusal.TRIED if request.attempts else why
            self._turn.actions.append(api.Refuse(request.id, wait if self.settings.retry_after else 0.0, why))
        self._abandon(request, None)

    def _abandon(self, request: Request, keep: int | None) -> None:
        """Withdraw attempts that nobody waits for any more."""
        if not self.settings.may_cancel or not request.out:
            return
        for number, attempt in enumerate(request.attempts):
            if attempt.ended is None and number != keep:
                self._turn.actions.append(api.Cancel(request.id, number))

    def _on_ended(self, event: api.AttemptEnded) -> None:
        key = (event.request, event.attempt)
        found = self._attempts.pop(key, None)
        if found is None:
            raise api.UnexpectedEvent(f"attempt {event.attempt} of request {event.request} was not out")
        server, attempt = found
        attempt.ended = event.outcome
        del server.outstanding[key]
        server.class_health[attempt.class_index].outstanding -= 1
        self._fleet.reports.record(server, event.load)
        self._health.count(server, -1)
        self._judge(server, attempt, event)
        self._health.count(server, 1)
        self._fleet.note(server)
        request = self._requests.get(event.request)
        if request is None:
            return
        request.out -= 1
        if event.finished:
            del self._requests[request.id]
            self._leave_queue(request)
            self._abandon(request, event.attempt)
        elif not request.out and not request.waiting:
            self._again_or_finish(request, event.outcome)

    def _again_or_finish(self, request: Request, outcome: Outcome) -> None:
        left = request.deadline - self._turn.now
        risky = request.risky() is not None
        mean = self._class_patience[request.class_index].mean
        costs = risky or outcome is Outcome.FULL  # an attempt that no server saw costs nothing to repeat
        if (
            outcome is not Outcome.REJECTED
            and len(request.attempts) < self.settings.max_attempts
            and left > max(mean, 2 * self.settings.tick_ms)
            and (not costs or self._retry_tokens >= 1.0)
            and may_go_on(request, self._fleet.arms, self.settings, self._turn.now)
        ):
            if costs:
                self._retry_tokens -= 1.0
            self._wait(request, min(HOLD * request.kind.aim_ms, 0.5 * left))
        else:
            self._finish(request)

    def _judge(self, server: Server, attempt: Attempt, event: api.AttemptEnded) -> None:
        """What an outcome says of its server, its class and the load."""
        outcome, elapsed = event.outcome, event.elapsed_ms
        request = self._requests.get(event.request)
        if elapsed > self._patience.late_threshold() and self._turn.now - server.last_heard_at >= elapsed:
            # All that is known of it is this one late outcome: where calls are few, an average of
            # seven spans most of a minute, and what crowded or stopped the server is still there.
            self._fleet.rest(server, LATE_REST * elapsed)
        current = attempt.entry.started_ms == server.entry.started_ms
        if outcome is Outcome.OK:
            server.last_heard_at = self._turn.now
            server.consecutive_refusals = 0
            server.max_outstanding += CEILING_UP / server.max_outstanding
            self._patience.observe(elapsed)
            aim = self._aim
            if request is not None:
                self._class_patience[request.class_index].observe(elapsed)
                self._worth.learn(request.class_index, request.value.cost, elapsed)
                aim = request.kind.aim_ms
            usual = elapsed / (0.5 + 0.5 * attempt.units)  # half of what the cost hint foretold is taken out
            self._admission.strain.record_latency(usual)
            self._feel(elapsed / aim)
            self.automaton.learn(server.position, usual)
            self._health.succeeded(server, server.class_health[attempt.class_index])
        elif outcome is Outcome.FULL or (
            outcome is Outcome.CONNECT_FAILED
            and self._turn.now - server.last_heard_at < self._patience.late_threshold()
        ):
            # A server that answers others but takes no further call, or no further connection, is full, not
            # dead.  Without a ceiling thousands of calls a second bounced off such servers.
            server.max_outstanding = max(
                1.0, CEILING_DOWN * min(server.max_outstanding, len(server.outstanding))
            )
            pause = FULL_PAUSE * 2.0 ** min(server.consecutive_refusals, FULL_DOUBLINGS)
            self._fleet.rest_until(server, self._turn.now + pause * self._aim)
            server.consecutive_refusals += 1
            self.automaton.charge(server.position, elapsed)
            # The fleet is strained only when more turn calls away than could be left out: servers that
            # drain in turn were taken for strain.
            if self._health.many_turn_away(server):
                self._feel(1.0)
        elif outcome in (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.SPOILT):
            if outcome in (Outcome.ERROR, Outcome.SPOILT):
                server.last_heard_at = self._turn.now
            self.automaton.charge(server.position, elapsed)
            self._health.failed(server, attempt.class_index, outcome, current)
        elif outcome is Outcome.MOOT and event.rest_ms:
            # Refused beside its server, which is full: a miss, and the next draws are for others meanwhile.
            self.automaton.charge(server.position, elapsed)
            self._fleet.rest_until(server, self._turn.now + event.rest_ms)
        elif outcome is Outcome.REJECTED:
            server.last_heard_at = (
                self._turn.now
            )  # the request is at fault, and neither the server nor the load
        elif outcome in (Outcome.TIMEOUT, Outcome.CANCELLED):
            if request is None:
                return  # withdrawn because another copy was quicker
            # What was given up took at least this long: leaving it out would shorten patience for the next.
            self._patience.observe(elapsed)
            self._class_patience[request.class_index].observe(elapsed)
            self._worth.learn(request.class_index, request.value.cost, elapsed)
            self._feel(elapsed / request.kind.aim_ms)
            self.automaton.charge(server.position, elapsed)
            if current and elapsed >= self._patience.late_threshold():
                self._health.eject(server, outcome)

    def _on_started(self, event: api.AnswerStarted) -> None:
        found = self._attempts.get((event.request, event.attempt))
        if found is None:
            raise api.UnexpectedEvent(f"attempt {event.attempt} of request {event.request} was not out")
        found[0].last_heard_at = self._turn.now
        request = self._requests.get(event.request)
        if request is not None:
            request.started = True
            self._leave_queue(request)
            self._abandon(request, event.attempt)

    def _on_gone(self, event: api.RequestGone) -> None:
        request = self._requests.pop(event.request, None)
        if request is not None:  # else it finished a moment ago
            self._leave_queue(request)
            self._abandon(request, None)

    def _feel(self, latency_share: float) -> None:
        self._admission.feel(latency_share, len(self._attempts), self._patience.mean)

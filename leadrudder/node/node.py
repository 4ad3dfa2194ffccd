"""The core of a proxy node: the clock, the request table and the only caller of the balancer.

The balancer makes every decision.  The node turns socket activity into events, hands them over one at a time
and in order, and carries out the actions that come back.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
import signal
from asyncio import TimerHandle
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from leadrudder.interface import (
    Arrival,
    AttemptEnded,
    Cancel,
    CloseIdle,
    Event,
    Fail,
    ListKind,
    Log,
    Outcome,
    Probe,
    ProbeEnded,
    Readiness,
    Refuse,
    RequestGone,
    RequestId,
    Send,
    ServerEntry,
    ServerId,
    ServerList,
    SetTimer,
    Subscribe,
    TimerFired,
)
from leadrudder.node.callers import HttpListener
from leadrudder.node.config import Config, ConfigError, read_discovery_address
from leadrudder.node.contract import (
    Attempt,
    ClientRequest,
    DuplicateRequestId,
    Exchange,
    Frontend,
    Upstream,
    UpstreamResponse,
)
from leadrudder.node.discovery import DiscoveryClient
from leadrudder.node.lists import EndpointUpdate
from leadrudder.node.platform import SYSTEM, Platform
from leadrudder.node.reports import LoadReport
from leadrudder.node.servers import HttpUpstream
from leadrudder.policy.decide import Balancer

log = logging.getLogger(__name__)

# Clients count their deadline from the moment of sending, so part of it is reserved for the network and for
# scheduling delay on a busy core.
RESPONSE_RESERVE_MS = 25.0
MAX_RESERVE_FRACTION = 0.2  # caps the reserve for short budgets
UNKNOWN_TIMER_TOKEN = -1  # belongs to no timer; the balancer still processes everything that is due
GUARD_DELAY_MS = 10.0  # past the budget's end but within the reserve; the balancer must have answered by then
PROBE_TIMEOUT_MS = 250.0
DISCOVERY_SEED_MASK = 0xD15C  # separates discovery's random stream from the balancer's; both use one seed
# Of the interval between discovery calls, so that one call has failed before the next is made.
DISCOVERY_TIMEOUT_FRACTION = 0.4

CLIENT_SOCKET_FRACTION = 0.4  # of all descriptors
BODY_MEMORY_FRACTION = 0.25  # of memory, for bodies of open requests; buffers may hold as much again
UPSTREAM_SOCKET_FRACTION = 0.45  # the rest is for new connections, discovery and the process itself

MIN_DRAIN_S = 0.6  # after SIGTERM; new connections may arrive for up to 0.4 s
QUIET_PERIOD_S = 0.25  # without new connections or requests before the node stops
DRAIN_LIMIT_S = 3.4  # everything is answered by then; SIGKILL follows SIGTERM after 3.7 s at the earliest
DRAIN_POLL_INTERVAL_S = 0.02


class Clock:
    """Unix time in milliseconds, advanced by the monotonic clock.

    It never runs backwards and stays comparable with servers' start times when the system clock is stepped.
    """

    def __init__(self, platform: Platform = SYSTEM) -> None:
        self._monotonic = platform.monotonic
        self._base = platform.wall() - platform.monotonic()

    def now(self) -> float:
        return 1000.0 * (self._base + self._monotonic())


@dataclass(slots=True)
class PendingRequest:
    """A request that a client is waiting for."""

    client_request: ClientRequest
    exchange: Exchange
    deadline_ms: float
    timer: TimerHandle
    attempts: int = 0


def create_http_upstream(
    config: Config, platform: Platform = SYSTEM, upstream_type: type[HttpUpstream] = HttpUpstream
) -> HttpUpstream:
    """The connection pool for HTTP servers, with its part of this node's descriptors."""
    return upstream_type(
        connect_timeout_s=config.settings.connect_timeout_ms / 1000.0,
        idle_timeout_s=config.conn_idle_ms / 1000.0,
        max_connections=int(UPSTREAM_SOCKET_FRACTION * config.limits.sockets),
        host_header=b"%s:%d" % (config.listen[0].encode(), config.listen[1]),
        load_columns=config.settings.load_columns,
        platform=platform,
    )


class Node:
    """One proxy node on real sockets."""

    def __init__(
        self, config: Config, platform: Platform = SYSTEM, *, upstream: Upstream | None = None
    ) -> None:
        settings = config.settings
        self._platform = platform
        self._config = config
        self._loop = asyncio.get_running_loop()
        self._clock = Clock(platform)
        self._balancer = Balancer(settings, config.seed)
        self._action_handlers: dict[type, Callable[[Any], None]] = {
            Send: self._on_send,
            SetTimer: self._on_set_timer,
            Refuse: self._on_refuse,
            Fail: self._on_fail,
            Cancel: self._on_cancel,
            Probe: self._on_probe,
            CloseIdle: self._on_close_idle,
            Subscribe: self._on_subscribe,
            Log: self._on_log,
        }
        self._events: deque[Event] = deque()
        self._handling = False
        self._requests: dict[RequestId, PendingRequest] = {}
        self._attempts: dict[tuple[RequestId, int], Attempt] = {}  # including those of finished requests
        self._closed_during_event: dict[RequestId, PendingRequest] = {}  # the balancer may not know yet
        self._id_uses: dict[bytes, int] = {}  # by client id: open requests plus in-flight attempts
        self._last_request_id = 0
        self._terminated_at_s: float | None = None
        self._stopped = asyncio.Event()
        max_sockets = config.limits.sockets
        self._upstream: Upstream = upstream or create_http_upstream(config, platform)
        self._frontends: list[Frontend] = []  # in addition to the HTTP listener
        self._listener = HttpListener(
            settings,
            self.submit,
            self._upstream.has_endpoints,
            max_connections=int(CLIENT_SOCKET_FRACTION * max_sockets),
            max_body_bytes=int(BODY_MEMORY_FRACTION * config.limits.memory_mb * 1_000_000),
            platform=platform,
            routes=config.routes,
        )
        self._discovery = DiscoveryClient(
            config.discovery,
            config.decoder,
            pushed=not settings.ask_for_list,
            call_timeout_s=DISCOVERY_TIMEOUT_FRACTION * settings.must_ask_ms / 1000.0,
            on_update=self._apply_update,
            on_failure=lambda: self._dispatch(ServerList(ListKind.FAILED)),
            rng=random.Random(config.seed ^ DISCOVERY_SEED_MASK),
        )

    async def start(self) -> tuple[str, int]:
        """Start listening; returns the bound address."""
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(signal_number, self.terminate)
        self._loop.add_signal_handler(signal.SIGHUP, self.reload)
        initial = self._config.initial_endpoints
        if initial is not None:
            self._discovery.set_initial(initial)
            self._apply_update(initial, cached=True)
        self._discovery.start(initial.version if initial is not None else None)
        host, port = await self._listener.listen(self._config.listen)
        log.info("node %s listens on %s:%d", self._config.name, host, port)
        return host, port

    def add_frontend(self, frontend: Frontend) -> None:
        """Register another client-facing protocol, which submits its requests and ends with the node."""
        self._frontends.append(frontend)

    def stop(self) -> None:
        """Stop at once, even with requests open."""
        self._stopped.set()

    async def wait(self) -> None:
        """Serve until SIGTERM, then until every accepted request is answered."""
        await self._stopped.wait()
        self._discovery.close()
        self._listener.close()
        for frontend in self._frontends:
            frontend.close()
        self._upstream.close()

    # ------------------------------------------------------------ events in, actions out

    def _dispatch(self, event: Event) -> None:
        """Pass an event to the balancer.

        Carrying out an action may cause another event.  That event is queued, because the balancer's state is
        consistent only after its handler has returned.
        """
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle_event(self._events.popleft())
        finally:
            self._handling = False
            self._closed_during_event.clear()

    def _handle_event(self, event: Event) -> None:
        now = self._clock.now()
        if isinstance(event, Arrival):
            event = self._with_time_waited(event, now)
        try:
            actions = self._balancer.handle(event, now)
        except Exception:
            log.exception("balancer failed on event %s", type(event).__name__)
            if isinstance(event, Arrival | AttemptEnded):
                self._answer_without_balancer(event.request)
            return
        for action in actions:
            try:
                self._action_handlers[type(action)](action)
            except Exception:
                log.exception("failed to carry out action %s", type(action).__name__)
                if isinstance(action, Send | Refuse | Fail):
                    self._answer_without_balancer(action.request)

    def _with_time_waited(self, arrival: Arrival, now: float) -> Arrival:
        """The arrival with its budget reduced by the time since the request was accepted.

        The balancer counts the budget from when it sees the event, the guard timer from when the request was
        accepted.  After a pause between the two (other events, garbage collection) the guard would otherwise
        answer first.
        """
        pending = self._requests.get(arrival.request)
        late_ms = now + arrival.budget_ms - pending.deadline_ms if pending is not None else 0.0
        return replace(arrival, budget_ms=max(1.0, arrival.budget_ms - late_ms)) if late_ms > 1.0 else arrival

    def _on_set_timer(self, action: SetTimer) -> None:
        # The loop counts whole milliseconds and fires at once when less than half of one remains.  Called too
        # early, the balancer would set the timer again and the process would spin until it is due.
        delay_s = max(0, math.ceil(action.at_ms - self._clock.now())) / 1000.0
        self._loop.call_later(delay_s, self._dispatch, TimerFired(action.token))

    def _on_refuse(self, action: Refuse) -> None:
        pending = self._remove_request(action.request)
        if pending is not None:
            pending.exchange.refuse(action.retry_after_ms)

    def _on_fail(self, action: Fail) -> None:
        pending = self._remove_request(action.request)
        if pending is not None:
            pending.exchange.fail()

    def _on_cancel(self, action: Cancel) -> None:
        attempt = self._attempts.get((action.request, action.attempt))
        if attempt is not None:
            attempt.cancel(Outcome.CANCELLED)

    def _on_probe(self, action: Probe) -> None:
        self._start_probe(action.server)

    def _on_close_idle(self, action: CloseIdle) -> None:
        self._upstream.close_idle(action.server)

    def _on_subscribe(self, _: Subscribe) -> None:
        self._discovery.subscribe()

    def _on_log(self, action: Log) -> None:
        log.info("%s", action.text)

    # ------------------------------------------------------------ requests

    def submit(self, client_request: ClientRequest, exchange: Exchange) -> None:
        """Accept a valid request; from here on it is owed exactly one answer.

        Raises DuplicateRequestId, and owes no answer, while the same id is in use.
        """
        client_request_id = client_request.id
        if client_request_id in self._id_uses:
            # A server could not tell the two requests apart and could apply one's state to the other.
            raise DuplicateRequestId("a request with this id is open")
        self._id_uses[client_request_id] = 1
        now = self._clock.now()
        self._last_request_id += 1
        request_id = self._last_request_id
        budget_ms = client_request.budget_ms
        if self._terminated_at_s is not None:
            budget_ms = min(
                budget_ms, 1000.0 * (self._terminated_at_s + DRAIN_LIMIT_S - self._platform.monotonic())
            )
        budget_ms = max(1.0, budget_ms - min(RESPONSE_RESERVE_MS, MAX_RESERVE_FRACTION * budget_ms))
        self._requests[request_id] = PendingRequest(
            client_request,
            exchange,
            now + budget_ms,
            self._loop.call_later((budget_ms + GUARD_DELAY_MS) / 1000.0, self._on_overdue, request_id),
        )
        exchange.on_disconnect = lambda: self._on_client_disconnect(request_id)
        self._dispatch(
            Arrival(
                request_id,
                client_request.class_index,
                budget_ms,
                client_request.tenant,
                client_request.key,
                client_request.cost_hint_ms,
                client_request.is_repeat,
            )
        )

    def _remove_request(self, request_id: RequestId) -> PendingRequest | None:
        """Remove a request from the table; None if it has already been answered."""
        pending = self._requests.pop(request_id, None)
        if pending is not None:
            pending.timer.cancel()
            pending.exchange.on_disconnect = None
            self._release_id(pending.client_request.id)
            if self._handling:
                self._closed_during_event[request_id] = pending
        return pending

    def _release_id(self, client_request_id: bytes) -> None:
        """Drop one use of a client's id, which is free once its request and all its attempts have ended."""
        self._id_uses[client_request_id] -= 1
        if not self._id_uses[client_request_id]:
            del self._id_uses[client_request_id]

    def _on_client_disconnect(self, request_id: RequestId) -> None:
        if self._remove_request(request_id) is not None:
            self._dispatch(RequestGone(request_id))

    def _on_overdue(self, request_id: RequestId) -> None:
        """Answer a request whose budget has passed without a decision, before the client's deadline.

        The balancer is woken first, since its own timer may be late in a busy loop.  An in-flight attempt may
        have run, and its timeout may have been set a moment after the guard's.  In that case the answer
        promises nothing, as the balancer's would.
        """
        self._dispatch(TimerFired(UNKNOWN_TIMER_TOKEN))
        if request_id not in self._requests:
            return
        log.error("request %d was not answered in time", request_id)
        attempt_numbers = range(self._requests[request_id].attempts)
        if any((request_id, attempt_number) in self._attempts for attempt_number in attempt_numbers):
            self._answer_without_balancer(request_id, may_have_run=True)
        else:
            self._answer_without_balancer(request_id)

    def _answer_without_balancer(self, request_id: RequestId, *, may_have_run: bool = False) -> None:
        """Answer without the balancer, and tell it that the client no longer waits."""
        pending = self._remove_request(request_id)
        if pending is not None:
            if may_have_run:
                pending.exchange.fail()
            else:
                pending.exchange.fail_internally()
            self._dispatch(RequestGone(request_id))

    # ------------------------------------------------------------ attempts

    def _on_send(self, action: Send) -> None:
        request_id, server = action.request, action.server
        pending = self._requests.get(request_id)
        if pending is None:
            # The client left while the balancer was deciding, and the balancer does not know yet.
            closed = self._closed_during_event[request_id]
            self._dispatch(AttemptEnded(request_id, closed.attempts, server, Outcome.MOOT, 0.0, True))
            closed.attempts += 1
            return
        attempt_number = pending.attempts
        pending.attempts += 1
        remaining_ms = pending.deadline_ms - self._clock.now()
        if remaining_ms <= 0.0:
            self._dispatch(AttemptEnded(request_id, attempt_number, server, Outcome.MOOT, 0.0, False))
            return
        timeout_ms = min(action.timeout_ms, remaining_ms) if action.timeout_ms > 0 else remaining_ms
        sent_at_ms = self._clock.now()
        client_request_id = pending.client_request.id

        def done(outcome: Outcome, response: UpstreamResponse | None, report: LoadReport = (), /) -> None:
            self._release_id(client_request_id)
            self._on_attempt_ended(request_id, attempt_number, server, sent_at_ms, outcome, response, report)

        self._id_uses[client_request_id] += 1
        self._attempts[request_id, attempt_number] = self._upstream.attempt(
            server, pending.client_request, timeout_ms / 1000.0, done
        )

    def _on_attempt_ended(
        self,
        request_id: RequestId,
        attempt_number: int,
        server: ServerId,
        sent_at_ms: float,
        outcome: Outcome,
        response: UpstreamResponse | None,
        report: LoadReport,
    ) -> None:
        self._attempts.pop((request_id, attempt_number), None)
        if (
            outcome is Outcome.OK
            and response is not None
            and (pending := self._remove_request(request_id)) is not None
        ):
            pending.exchange.complete(response)
        elapsed_ms = self._clock.now() - sent_at_ms
        finished = request_id not in self._requests
        self._dispatch(
            AttemptEnded(request_id, attempt_number, server, outcome, elapsed_ms, finished, report)
        )

    def _start_probe(self, server: ServerId) -> None:
        sent_at_ms = self._clock.now()

        def done(outcome: Outcome, _: UpstreamResponse | None, report: LoadReport = (), /) -> None:
            self._dispatch(ProbeEnded(server, outcome, self._clock.now() - sent_at_ms, report))

        self._upstream.probe(server, PROBE_TIMEOUT_MS / 1000.0, done)

    # ------------------------------------------------------------ endpoint updates

    def _apply_update(self, update: EndpointUpdate, *, cached: bool = False) -> None:
        replaced = self._upstream.update(update)
        self._dispatch(update.to_event(cached=cached))
        if replaced:
            for server in replaced:
                self._discovery.forget(server)
            gone = tuple(ServerEntry(server, Readiness.GONE) for server in replaced)
            self._dispatch(ServerList(ListKind.CHANGES, gone, update.version))

    def reload(self) -> None:
        """On SIGHUP: read the replaced configuration file and follow discovery to a new address."""
        try:
            address = read_discovery_address(self._config.path, self._platform)
        except ConfigError as error:
            log.error("kept the old configuration: %s", error)
            return
        log.info("configuration read again, discovery is at %s:%d", *address)
        self._discovery.move(address)

    # ------------------------------------------------------------ shutdown

    def terminate(self) -> None:
        """On SIGTERM: answer open requests and those that still arrive, then stop."""
        if self._terminated_at_s is not None:
            return
        log.info("terminating, %d requests open", len(self._requests))
        self._terminated_at_s = self._platform.monotonic()
        self._loop.call_later(DRAIN_LIMIT_S, self._fail_remaining)
        self._listener.drain()
        for frontend in self._frontends:
            frontend.drain()
        self._loop.call_later(MIN_DRAIN_S, self._stop_when_quiet)

    def _fail_remaining(self) -> None:
        """Answer what is still open shortly before SIGKILL; an error beats a dropped connection."""
        for request_id in list(self._requests):
            self._answer_without_balancer(request_id)

    def _stop_when_quiet(self) -> None:
        assert self._terminated_at_s is not None
        now = self._platform.monotonic()
        quiet = not self._listener.busy() and now - self._listener.last_activity >= QUIET_PERIOD_S
        quiet = quiet and not any(frontend.busy() for frontend in self._frontends)
        if quiet or now - self._terminated_at_s > DRAIN_LIMIT_S + QUIET_PERIOD_S:
            self.stop()
        else:
            self._loop.call_later(DRAIN_POLL_INTERVAL_S, self._stop_when_quiet)

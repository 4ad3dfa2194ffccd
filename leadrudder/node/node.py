"""The core of a node: the clock, the request table, and the only caller of the decision module.

Every decision is the module's.  This turns what happens on sockets into its events, one at a time and in
order, and carries out its actions.
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

# A caller's time counts from its send, so the last of it goes to the network and a busy core.
RESPONSE_RESERVE_MS = 25.0
RESERVE_MOST = 0.2  # of a short budget
NO_TOKEN = -1  # of no timer that the module set: what is due is due all the same
GUARD_MS = 10.0  # after the budget's end, within the reserve: the module must have answered by then
PROBE_MS = 250.0
DISCOVERY_STREAM = 0xD15C  # apart from the module's draws, of the same seed
CALL_PART = 0.4  # of the time to ask again: a call for the list has failed before the next is made

CALLERS_PART = 0.4  # of all descriptors
BODIES_PART = 0.25  # of the memory, for the bodies of open requests; as much again may be in buffers
SERVERS_PART = 0.45  # the rest is kept for new connections, discovery and the process itself

QUIET_S = 0.6  # after SIGTERM: new connections come for up to 0.4 s
SILENT_S = 0.25  # and none may have come for this long
DRAIN_LIMIT_S = 3.4  # all is answered by then: SIGKILL comes 3.7 s after SIGTERM at the earliest
DRAIN_CHECK_S = 0.02


class Clock:
    """Unix time in milliseconds, advanced by the monotonic clock: never backwards, and comparable with the
    start times of servers, whatever is done to the system's clock."""

    def __init__(self, platform: Platform = SYSTEM) -> None:
        self._monotonic = platform.monotonic
        self._base = platform.wall() - platform.monotonic()

    def now(self) -> float:
        return 1000.0 * (self._base + self._monotonic())


@dataclass(slots=True)
class PendingRequest:
    """A request that a caller waits for."""

    ask: ClientRequest
    exchange: Exchange
    deadline: float
    timer: TimerHandle
    attempts: int = 0


def create_http_upstream(
    config: Config, platform: Platform = SYSTEM, kind: type[HttpUpstream] = HttpUpstream
) -> HttpUpstream:
    """The side towards HTTP servers, with this node's part of the descriptors."""
    return kind(
        connect_s=config.settings.connect_timeout_ms / 1000.0,
        idle_s=config.conn_idle_ms / 1000.0,
        most_open=int(SERVERS_PART * config.limits.sockets),
        host=b"%s:%d" % (config.listen[0].encode(), config.listen[1]),
        columns=config.settings.load_columns,
        platform=platform,
    )


class Node:
    """One real node."""

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
            Send: self._send,
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
        self._attempts: dict[tuple[RequestId, int], Attempt] = {}  # also those of finished requests
        self._closed_during_event: dict[
            RequestId, PendingRequest
        ] = {}  # finished, and the module may not know yet
        self._id_uses: dict[bytes, int] = {}  # callers' ids: open requests and attempts that are out
        self._last_id = 0
        self._terminated_at: float | None = None
        self._stopped = asyncio.Event()
        sockets = config.limits.sockets
        self._upstream: Upstream = upstream or create_http_upstream(config, platform)
        self._frontends: list[Frontend] = []  # beside the HTTP one
        self._listener = HttpListener(
            settings,
            self.submit,
            self._upstream.has_endpoints,
            most=int(CALLERS_PART * sockets),
            most_bytes=int(BODIES_PART * config.limits.memory_mb * 1_000_000),
            platform=platform,
            routes=config.routes,
        )
        self._discovery = DiscoveryClient(
            config.discovery,
            config.decoder,
            pushed=not settings.ask_for_list,
            call_s=CALL_PART * settings.must_ask_ms / 1000.0,
            on_list=self._follow,
            on_failed=lambda: self._dispatch(ServerList(ListKind.FAILED)),
            rng=random.Random(config.seed ^ DISCOVERY_STREAM),
        )

    async def start(self) -> tuple[str, int]:
        """Listen; returns the address that was bound."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self.terminate)
        self._loop.add_signal_handler(signal.SIGHUP, self.reload)
        known = self._config.known
        if known is not None:
            self._discovery.begin_with(known)
            self._follow(known, cached=True)
        self._discovery.start(known.version if known is not None else None)
        host, port = await self._listener.listen(self._config.listen)
        log.info("node %s listens on %s:%d", self._config.name, host, port)
        return host, port

    def add_frontend(self, front: Frontend) -> None:
        """Another side towards callers; it hands its calls to take, and ends with the node."""
        self._frontends.append(front)

    def stop(self) -> None:
        """End now, whatever is open."""
        self._stopped.set()

    async def wait(self) -> None:
        """Serve until SIGTERM, then until everything taken is answered."""
        await self._stopped.wait()
        self._discovery.close()
        self._listener.close()
        for front in self._frontends:
            front.close()
        self._upstream.close()

    # ------------------------------------------------------------ events in, actions out

    def _dispatch(self, event: Event) -> None:
        """Hand an event to the module.

        Carrying out an action may bring the next event; that waits its turn, because the module's own state
        is between two decisions only when it has returned.
        """
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False
            self._closed_during_event.clear()

    def _handle(self, event: Event) -> None:
        now = self._clock.now()
        if isinstance(event, Arrival):
            event = self._aged(event, now)
        try:
            actions = self._balancer.handle(event, now)
        except Exception:
            log.exception("the module failed on %s", type(event).__name__)
            if isinstance(event, Arrival | AttemptEnded):
                self._answer_fault(event.request)
            return
        for action in actions:
            try:
                self._action_handlers[type(action)](action)
            except Exception:
                log.exception("fault while carrying out %s", type(action).__name__)
                if isinstance(action, Send | Refuse | Fail):
                    self._answer_fault(action.request)

    def _aged(self, arrival: Arrival, now: float) -> Arrival:
        """An arrival as the module is to hear of it: what it waited since it was taken is of its budget.

        The module counts the budget from when it hears of it, the guard from when the request was taken: a
        pause between the two (other events, a collection of garbage) would have the guard answer first.
        """
        pending = self._requests.get(arrival.request)
        late = now + arrival.budget_ms - pending.deadline if pending is not None else 0.0
        return replace(arrival, budget_ms=max(1.0, arrival.budget_ms - late)) if late > 1.0 else arrival

    def _on_set_timer(self, action: SetTimer) -> None:
        # The loop counts whole milliseconds, and calls at once what is less than half of one away: the
        # module, called before its time, asks again, and the core spins until that has come.
        delay = max(0, math.ceil(action.at_ms - self._clock.now())) / 1000.0
        self._loop.call_later(delay, self._dispatch, TimerFired(action.token))

    def _on_refuse(self, action: Refuse) -> None:
        pending = self._close(action.request)
        if pending is not None:
            pending.exchange.refuse(action.retry_after_ms)

    def _on_fail(self, action: Fail) -> None:
        pending = self._close(action.request)
        if pending is not None:
            pending.exchange.fail()

    def _on_cancel(self, action: Cancel) -> None:
        call = self._attempts.get((action.request, action.attempt))
        if call is not None:
            call.cancel(Outcome.CANCELLED)

    def _on_probe(self, action: Probe) -> None:
        self._probe(action.server)

    def _on_close_idle(self, action: CloseIdle) -> None:
        self._upstream.close_idle(action.server)

    def _on_subscribe(self, _: Subscribe) -> None:
        self._discovery.subscribe()

    def _on_log(self, action: Log) -> None:
        log.info("%s", action.text)

    # ------------------------------------------------------------ requests

    def submit(self, ask: ClientRequest, exchange: Exchange) -> None:
        """A valid request from a front: from here on it is owed one answer; DuplicateId if it is not."""
        name = ask.id
        if name in self._id_uses:
            # A server could not tell the two apart, and what it has of one would count for the other.
            raise DuplicateRequestId("a request with this id is open")
        self._id_uses[name] = 1
        now = self._clock.now()
        self._last_id += 1
        request = self._last_id
        budget = ask.budget_ms
        if self._terminated_at is not None:
            budget = min(budget, 1000.0 * (self._terminated_at + DRAIN_LIMIT_S - self._platform.monotonic()))
        budget = max(1.0, budget - min(RESPONSE_RESERVE_MS, RESERVE_MOST * budget))
        self._requests[request] = PendingRequest(
            ask,
            exchange,
            now + budget,
            self._loop.call_later((budget + GUARD_MS) / 1000.0, self._overdue, request),
        )
        exchange.on_disconnect = lambda: self._gone(request)
        self._dispatch(
            Arrival(
                request,
                ask.class_index,
                budget,
                ask.tenant,
                ask.key,
                ask.cost_hint_ms,
                ask.is_repeat,
            )
        )

    def _close(self, request: RequestId) -> PendingRequest | None:
        """Strike a request off the table; None if it has been answered already."""
        pending = self._requests.pop(request, None)
        if pending is not None:
            pending.timer.cancel()
            pending.exchange.on_disconnect = None
            self._release_id(pending.ask.id)
            if self._handling:
                self._closed_during_event[request] = pending
        return pending

    def _release_id(self, name: bytes) -> None:
        """An id is free again when its request is answered and none of its attempts is out any more."""
        self._id_uses[name] -= 1
        if not self._id_uses[name]:
            del self._id_uses[name]

    def _gone(self, request: RequestId) -> None:
        if self._close(request) is not None:
            self._dispatch(RequestGone(request))

    def _overdue(self, request: RequestId) -> None:
        """The module owed an answer by now: the caller gets one all the same, before its time is over.

        First the module is woken once more: its own call may come late in a crowded loop. An attempt that is
        out may have run, and its own time may have been set a moment after the guard's: then nothing is
        promised, as the module would have it.
        """
        self._dispatch(TimerFired(NO_TOKEN))
        if request not in self._requests:
            return
        log.error("request %d was not answered in time", request)
        attempts = range(self._requests[request].attempts)
        if any((request, number) in self._attempts for number in attempts):
            self._answer_fault(request, may_have_run=True)
        else:
            self._answer_fault(request)

    def _answer_fault(self, request: RequestId, *, may_have_run: bool = False) -> None:
        """Answer without the module, which hears that the caller waits no longer."""
        pending = self._close(request)
        if pending is not None:
            if may_have_run:
                pending.exchange.fail()
            else:
                pending.exchange.fail_internally()
            self._dispatch(RequestGone(request))

    # ------------------------------------------------------------ attempts

    def _send(self, action: Send) -> None:
        request, server = action.request, action.server
        pending = self._requests.get(request)
        if pending is None:
            # Its caller left while this was decided, and the module does not know yet.
            struck = self._closed_during_event[request]
            self._dispatch(AttemptEnded(request, struck.attempts, server, Outcome.MOOT, 0.0, True))
            struck.attempts += 1
            return
        number = pending.attempts
        pending.attempts += 1
        left = pending.deadline - self._clock.now()
        if left <= 0.0:
            self._dispatch(AttemptEnded(request, number, server, Outcome.MOOT, 0.0, False))
            return
        timeout = min(action.timeout_ms, left) if action.timeout_ms > 0 else left
        sent = self._clock.now()
        name = pending.ask.id

        def done(outcome: Outcome, answer: UpstreamResponse | None, report: LoadReport = (), /) -> None:
            self._release_id(name)
            self._ended(request, number, server, sent, outcome, answer, report)

        self._id_uses[name] += 1
        self._attempts[request, number] = self._upstream.attempt(server, pending.ask, timeout / 1000.0, done)

    def _ended(
        self,
        request: RequestId,
        number: int,
        server: ServerId,
        sent: float,
        outcome: Outcome,
        answer: UpstreamResponse | None,
        report: LoadReport,
    ) -> None:
        self._attempts.pop((request, number), None)
        if outcome is Outcome.OK and answer is not None and (pending := self._close(request)) is not None:
            pending.exchange.complete(answer)
        elapsed = self._clock.now() - sent
        finished = request not in self._requests
        self._dispatch(AttemptEnded(request, number, server, outcome, elapsed, finished, report))

    def _probe(self, server: ServerId) -> None:
        sent = self._clock.now()

        def done(outcome: Outcome, _: UpstreamResponse | None, report: LoadReport = (), /) -> None:
            self._dispatch(ProbeEnded(server, outcome, self._clock.now() - sent, report))

        self._upstream.probe(server, PROBE_MS / 1000.0, done)

    # ------------------------------------------------------------ the list

    def _follow(self, listing: EndpointUpdate, *, cached: bool = False) -> None:
        replaced = self._upstream.update(listing)
        self._dispatch(listing.to_event(cached=cached))
        if replaced:
            for server in replaced:
                self._discovery.forget(server)
            gone = tuple(ServerEntry(server, Readiness.GONE) for server in replaced)
            self._dispatch(ServerList(ListKind.CHANGES, gone, listing.version))

    def reload(self) -> None:
        """SIGHUP: the configuration file was replaced; discovery may have moved."""
        try:
            address = read_discovery_address(self._config.path, self._platform)
        except ConfigError as error:
            log.error("kept the old configuration: %s", error)
            return
        log.info("configuration read again, discovery is at %s:%d", *address)
        self._discovery.move(address)

    # ------------------------------------------------------------ the end

    def terminate(self) -> None:
        """SIGTERM: answer what is here and what still comes, then end."""
        if self._terminated_at is not None:
            return
        log.info("terminating, %d requests open", len(self._requests))
        self._terminated_at = self._platform.monotonic()
        self._loop.call_later(DRAIN_LIMIT_S, self._fail_rest)
        self._listener.drain()
        for front in self._frontends:
            front.drain()
        self._loop.call_later(QUIET_S, self._end_when_quiet)

    def _fail_rest(self) -> None:
        """Few moments are left before SIGKILL: an answer that promises nothing beats none."""
        for request in list(self._requests):
            self._answer_fault(request)

    def _end_when_quiet(self) -> None:
        assert self._terminated_at is not None
        now = self._platform.monotonic()
        quiet = not self._listener.busy() and now - self._listener.last_activity >= SILENT_S
        quiet = quiet and not any(front.busy() for front in self._frontends)
        if quiet or now - self._terminated_at > DRAIN_LIMIT_S + SILENT_S:
            self.stop()
        else:
            self._loop.call_later(DRAIN_CHECK_S, self._end_when_quiet)

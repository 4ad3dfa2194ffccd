"""Faults that tests plant in the node's code, for the simulation to find.

Each is a plausible mistake: a missing check, a table that is not cleared, two events in an unexpected order.
The last two were real faults of the node until the simulation found them.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import pytest

from leadrudder.interface import (
    NEVER_RAN,
    Effect,
    Fail,
    ListKind,
    Outcome,
    Readiness,
    Refuse,
    ServerEntry,
    SetTimer,
    Settings,
    TimerFired,
)
from leadrudder.node import discovery, lists, node, servers
from leadrudder.node.callers import HttpExchange, HttpListener
from leadrudder.node.contract import ClientRequest, Exchange
from leadrudder.node.http import HttpMessage, HttpParser
from leadrudder.node.node import Node
from leadrudder.node.reports import LoadReportParser
from leadrudder.policy import attempts, decide, placement
from leadrudder.policy.admission import Admission
from leadrudder.policy.attempts import Attempt, Request
from leadrudder.policy.decide import Balancer
from leadrudder.state.capacity import FleetCapacity

Patch = Callable[[pytest.MonkeyPatch], None]


def reset_counts_as_never_ran(patch: pytest.MonkeyPatch) -> None:
    """An unsafe request is repeated after a reset."""
    harmless = NEVER_RAN | {Outcome.RESET}
    patch.setattr(Attempt, "may_have_run", lambda self: self.outcome is None or self.outcome not in harmless)


def everything_unserved_refused(patch: pytest.MonkeyPatch) -> None:
    """A request that may have run is refused, so its caller retries it."""
    original = Balancer._end_unserved

    def finish(self: Balancer, request: Request) -> None:
        original(self, request)
        actions = self._turn.actions
        actions[:] = [Refuse(a.request) if isinstance(a, Fail) else a for a in actions]

    patch.setattr(Balancer, "_end_unserved", finish)


def draining_counts_as_ready(patch: pytest.MonkeyPatch) -> None:
    """A draining server counts as ready."""
    patch.setitem(lists._READINESS_BY_LIFECYCLE, "DRAINING", Readiness.READY)


def dedup_group_ignored(patch: pytest.MonkeyPatch) -> None:
    """A keyed request is repeated at any server, also outside its deduplication group."""
    original = attempts.permitted

    def permitted(request: Request, entry: ServerEntry, settings: Settings, now: float) -> bool:
        if request.request_class.effect is Effect.KEYED and not request.outstanding:
            return True
        return original(request, entry, settings, now)

    for module in (attempts, decide, placement):
        patch.setattr(module, "permitted", permitted)


def response_lost_at_the_deadline(patch: pytest.MonkeyPatch) -> None:
    """A response at the instant of its timeout is dropped, and the overdue check is disabled."""
    original = servers.UpstreamCall.end

    def end(self: servers.UpstreamCall, outcome: Outcome, answer: HttpMessage | None = None) -> None:
        if not self.ended and self._loop.time() >= self.deadline:
            self.ended = True
            self._timer.cancel()
            return
        original(self, outcome, answer)

    patch.setattr(servers.UpstreamCall, "end", end)
    patch.setattr(Node, "_on_overdue", lambda self, request: None)


def surplus_taken_for_a_response(patch: pytest.MonkeyPatch) -> None:
    """A connection with surplus input stays in use, and the surplus is taken for a response."""
    patch.setattr(HttpParser, "stop", lambda self: None)


def reused_after_surplus(patch: pytest.MonkeyPatch) -> None:
    """A connection with surplus input in the same read stays in use, and the surplus is dropped."""
    patch.setattr(
        HttpParser, "has_surplus", property(lambda self: False, lambda self, value: None), raising=False
    )


def announced_close_ignored(patch: pytest.MonkeyPatch) -> None:
    """A connection stays in use although its server announced the close."""
    original = servers.UpstreamConnection._finish

    def finish(self: servers.UpstreamConnection, answer: HttpMessage) -> None:
        original(self, replace(answer, keep_alive=True))

    patch.setattr(servers.UpstreamConnection, "_finish", finish)


def every_503_counts_as_never_ran(patch: pytest.MonkeyPatch) -> None:
    """Every 503 counts as "never ran", also without the marking header."""
    original = servers._outcome

    def outcome(message: HttpMessage) -> Outcome:
        return Outcome.FULL if message.status == 503 else original(message)

    patch.setattr(servers, "_outcome", outcome)


def duplicate_id_accepted(patch: pytest.MonkeyPatch) -> None:
    """Two open requests with the same ID are both accepted."""
    original = Node.submit

    def submit(self: Node, ask: ClientRequest, exchange: Exchange) -> None:
        before = self._id_uses.pop(ask.id, 0)
        original(self, ask, exchange)
        self._id_uses[ask.id] += before

    patch.setattr(Node, "submit", submit)


def connection_reused_after_cancel(patch: pytest.MonkeyPatch) -> None:
    """The connection of a cancelled call is reused, and its late response answers another request."""

    def cancel(self: servers.UpstreamCall, outcome: Outcome) -> None:
        connection = self.connection
        if not self.ended and connection is not None:
            connection._call = None
            connection._upstream.release(connection)
        self.end(outcome)

    patch.setattr(servers.UpstreamCall, "cancel", cancel)


def ids_never_released(patch: pytest.MonkeyPatch) -> None:
    """The table of IDs in use is never cleared."""

    def release_id(self: Node, name: bytes) -> None:
        self._id_uses[name] -= 1

    patch.setattr(Node, "_release_id", release_id)


def exchanges_leaked(patch: pytest.MonkeyPatch) -> None:
    """A reference outside all tables keeps objects of finished requests alive."""
    original = HttpExchange.send

    def answer(self: HttpExchange, status: int, body: bytes = b"", extra: bytes = b"") -> None:
        self._connection.listener.__dict__.setdefault("kept", []).append(self)
        original(self, status, body, extra)

    patch.setattr(HttpExchange, "send", answer)


def refusal_written_twice(patch: pytest.MonkeyPatch) -> None:
    """A refusal is written twice."""
    original = HttpExchange.send

    def answer(self: HttpExchange, status: int, body: bytes = b"", extra: bytes = b"") -> None:
        first = self.output is None and not self.disconnected
        original(self, status, body, extra)
        if first and status == 503 and self.output is not None:
            transport = self._connection._transport
            if transport is not None and not self.close:
                transport.write(self.output)

    patch.setattr(HttpExchange, "send", answer)


def stopped_without_draining(patch: pytest.MonkeyPatch) -> None:
    """SIGTERM ends the node while requests are open."""
    patch.setattr(Node, "terminate", Node.stop)


def watch_failure_not_reported(patch: pytest.MonkeyPatch) -> None:
    """The policy is not told that the watch has failed, and does not poll."""
    original = Balancer._on_server_list

    def on_list(self: Balancer, event: Any) -> None:
        if event.kind is not ListKind.FAILED:
            original(self, event)

    patch.setattr(Balancer, "_on_server_list", on_list)


def pending_connects_left_open(patch: pytest.MonkeyPatch) -> None:
    """A stopping node does not close pending connections."""

    def close(self: servers.HttpUpstream) -> None:
        self._sweep_timer.cancel()
        for connection in list(self._connections):
            connection.drop()

    patch.setattr(servers.HttpUpstream, "close", close)


def exception_swallowed(patch: pytest.MonkeyPatch) -> None:
    """An exception on certain request paths, which the node logs and survives."""
    original = HttpListener._to_client_request

    def to_client_request(self: HttpListener, message: HttpMessage, path: bytes) -> Any:
        if path.endswith(b"77"):
            raise KeyError(path)
        return original(self, message, path)

    patch.setattr(HttpListener, "_to_client_request", to_client_request)


def cold_limits_disabled(patch: pytest.MonkeyPatch) -> None:
    """No limit protects a cold server."""
    patch.setattr(FleetCapacity, "cold_budget_allows", lambda *_: True)
    patch.setattr(placement, "SHARE_SLACK_CALLS", 1e9)
    patch.setattr(placement, "MAX_WAITING_CALLS", 1e9)
    patch.setattr(Admission, "has_room", lambda *_: True)


def cold_budget_disabled(patch: pytest.MonkeyPatch) -> None:
    """A cold server gets as many calls as a warm one."""
    patch.setattr(FleetCapacity, "cold_budget_allows", lambda *_: True)


def requests_held_beyond_their_budget(patch: pytest.MonkeyPatch) -> None:
    """Requests are held 400 ms beyond their budget, so responses come after the caller has left."""
    patch.setattr(node, "RESPONSE_RESERVE_MS", -400.0)


def drain_limit_too_long(patch: pytest.MonkeyPatch) -> None:
    """After SIGTERM requests keep their callers' full budget, however little time the node has left."""
    patch.setattr(node, "DRAIN_LIMIT_S", 60.0)


def short_timers_fire_at_once(patch: pytest.MonkeyPatch) -> None:
    """Former fault: a timer due in less than half a millisecond fires at once and is set again."""

    def on_set_timer(self: Node, action: SetTimer) -> None:
        delay = max(0.0, action.at_ms - self._clock.now()) / 1000.0
        asyncio.get_running_loop().call_later(delay, self._dispatch, TimerFired(action.token))

    patch.setattr(Node, "_on_set_timer", on_set_timer)


def idle_watch_replaced(patch: pytest.MonkeyPatch) -> None:
    """Former fault: an idle watch counts as an unanswered call and is replaced every second."""
    original = discovery.DiscoveryClient._on_line

    def on_line(self: discovery.DiscoveryClient, watch: discovery._Watch, text: bytes) -> None:
        watch.received_line = True
        original(self, watch, text)

    patch.setattr(discovery.DiscoveryClient, "_on_line", on_line)


def load_reports_unvalidated(patch: pytest.MonkeyPatch) -> None:
    """Load reports are not validated."""

    def parse_json(self: LoadReportParser, value: bytes) -> tuple[float, ...]:
        told = json.loads(value)
        return float(told["util"]), float(told["inflight"])

    patch.setattr(LoadReportParser, "_parse_json", parse_json)


@dataclass(frozen=True)
class PlantedFault:
    """A planted fault, the rules that it may break first, and how many seeds must suffice to find it.

    Without kinds, all kinds of faults are drawn; a rare combination of two kinds then takes many seeds, but
    few with only those two.
    """

    apply: Patch
    rules: frozenset[str]
    max_seeds: int
    kinds: tuple[str, ...] = ()
    heavy: bool = False


def _planted_fault(
    apply: Patch, max_seeds: int, rules: str, kinds: str = "", *, heavy: bool = False
) -> PlantedFault:
    return PlantedFault(apply, frozenset(rules.split()), max_seeds, tuple(kinds.split()), heavy)


PLANTED_FAULTS = [
    _planted_fault(reset_counts_as_never_ran, 2, "unsafe-repeated refused-may-have-run effect-twice"),
    _planted_fault(everything_unserved_refused, 2, "refused-may-have-run"),
    _planted_fault(draining_counts_as_ready, 4, "drain"),
    _planted_fault(dedup_group_ignored, 4, "keyed-elsewhere effect-twice"),
    _planted_fault(response_lost_at_the_deadline, 4, "lost leak not-in-time", "hang slow coincide"),
    _planted_fault(surplus_taken_for_a_response, 4, "untrue", "surplus"),
    _planted_fault(reused_after_surplus, 4, "reused untrue", "surplus"),
    _planted_fault(announced_close_ignored, 2, "reused", "close-told"),
    _planted_fault(
        every_503_counts_as_never_ran, 2, "unsafe-repeated refused-may-have-run effect-twice", "unmarked"
    ),
    _planted_fault(
        duplicate_id_accepted, 2, "unsafe-repeated sent-for-nothing copy-forbidden effect-twice", "same-id"
    ),
    _planted_fault(connection_reused_after_cancel, 2, "untrue copy-forbidden", "hang slow"),
    _planted_fault(ids_never_released, 2, "leak"),
    _planted_fault(exchanges_leaked, 2, "leak"),
    _planted_fault(refusal_written_twice, 4, "answer-unasked untrue"),
    _planted_fault(stopped_without_draining, 4, "lost"),
    _planted_fault(watch_failure_not_reported, 4, "list-not-asked"),
    _planted_fault(pending_connects_left_open, 12, "leak", "node-restart half-open silent"),
    _planted_fault(exception_swallowed, 2, "exception"),
    _planted_fault(cold_limits_disabled, 3, "cold-pushed", "silent drain"),
    _planted_fault(cold_budget_disabled, 6, "cold-pushed", "release", heavy=True),
    _planted_fault(requests_held_beyond_their_budget, 4, "not-in-time lost", "hang slow-all"),
    _planted_fault(load_reports_unvalidated, 4, "exception lost"),
    _planted_fault(short_timers_fire_at_once, 2, "spin"),
    _planted_fault(idle_watch_replaced, 4, "restless leak"),
]

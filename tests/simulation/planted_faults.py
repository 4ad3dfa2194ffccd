"""Bugs that are put into the node's code by a test, for the simulation to find.

Each is one that somebody could write: a check left out, a table not cleared, two events in an order that
nobody thought of. The last two stood in the node until the simulation found them.
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

Plant = Callable[[pytest.MonkeyPatch], None]


def reset_taken_for_never_ran(patch: pytest.MonkeyPatch) -> None:
    """An unsafe request goes out again after a reset."""
    harmless = NEVER_RAN | {Outcome.RESET}
    patch.setattr(Attempt, "may_have_run", lambda self: self.outcome is None or self.outcome not in harmless)


def refusal_for_everything(patch: pytest.MonkeyPatch) -> None:
    """What may have run is refused, and its caller tries again."""
    original = Balancer._end_unserved

    def finish(self: Balancer, request: Request) -> None:
        original(self, request)
        actions = self._turn.actions
        actions[:] = [Refuse(a.request) if isinstance(a, Fail) else a for a in actions]

    patch.setattr(Balancer, "_end_unserved", finish)


def drains_overlooked(patch: pytest.MonkeyPatch) -> None:
    """A draining server counts as ready."""
    patch.setitem(lists._READINESS_BY_LIFECYCLE, "DRAINING", Readiness.READY)


def group_forgotten(patch: pytest.MonkeyPatch) -> None:
    """A keyed request is repeated at any server, whatever group drops its repeats."""
    original = attempts.permitted

    def permitted(request: Request, entry: ServerEntry, settings: Settings, now: float) -> bool:
        if request.request_class.effect is Effect.KEYED and not request.outstanding:
            return True
        return original(request, entry, settings, now)

    for module in (attempts, decide, placement):
        patch.setattr(module, "permitted", permitted)


def reply_lost_at_the_deadline(patch: pytest.MonkeyPatch) -> None:
    """An answer that comes at the instant of its time-out goes to nobody, and no guard is left."""
    original = servers.UpstreamCall.end

    def end(self: servers.UpstreamCall, outcome: Outcome, answer: HttpMessage | None = None) -> None:
        if not self.ended and self._loop.time() >= self.deadline:
            self.ended = True
            self._timer.cancel()
            return
        original(self, outcome, answer)

    patch.setattr(servers.UpstreamCall, "end", end)
    patch.setattr(Node, "_on_overdue", lambda self, request: None)


def surplus_taken_for_an_answer(patch: pytest.MonkeyPatch) -> None:
    """A connection that brought more than its answer goes on, and the surplus answers a request."""
    patch.setattr(HttpParser, "stop", lambda self: None)


def reused_after_surplus(patch: pytest.MonkeyPatch) -> None:
    """A connection that brought more than its answer in one piece is kept, and the surplus thrown away."""
    patch.setattr(
        HttpParser, "has_surplus", property(lambda self: False, lambda self, value: None), raising=False
    )


def told_close_overlooked(patch: pytest.MonkeyPatch) -> None:
    """A connection is kept though its server told that it closes it."""
    original = servers.UpstreamConnection._finish

    def finish(self: servers.UpstreamConnection, answer: HttpMessage) -> None:
        original(self, replace(answer, keep_alive=True))

    patch.setattr(servers.UpstreamConnection, "_finish", finish)


def every_503_never_ran(patch: pytest.MonkeyPatch) -> None:
    """A 503 counts as "never ran", whether it is marked so or not."""
    original = servers._outcome

    def outcome(message: HttpMessage) -> Outcome:
        return Outcome.FULL if message.status == 503 else original(message)

    patch.setattr(servers, "_outcome", outcome)


def same_id_taken(patch: pytest.MonkeyPatch) -> None:
    """Two open requests of one id are both taken."""
    original = Node.submit

    def submit(self: Node, ask: ClientRequest, exchange: Exchange) -> None:
        before = self._id_uses.pop(ask.id, 0)
        original(self, ask, exchange)
        self._id_uses[ask.id] += before

    patch.setattr(Node, "submit", submit)


def late_answer_kept(patch: pytest.MonkeyPatch) -> None:
    """The connection of a call that was given up is used again, and what comes late answers another
    request."""

    def cancel(self: servers.UpstreamCall, outcome: Outcome) -> None:
        connection = self.connection
        if not self.ended and connection is not None:
            connection._call = None
            connection._upstream.release(connection)
        self.end(outcome)

    patch.setattr(servers.UpstreamCall, "cancel", cancel)


def ids_held_for_good(patch: pytest.MonkeyPatch) -> None:
    """The table of ids in use is never cleared."""

    def release_id(self: Node, name: bytes) -> None:
        self._id_uses[name] -= 1

    patch.setattr(Node, "_release_id", release_id)


def exchanges_remembered(patch: pytest.MonkeyPatch) -> None:
    """Something outside of all tables keeps what belonged to requests."""
    original = HttpExchange.send

    def answer(self: HttpExchange, status: int, body: bytes = b"", extra: bytes = b"") -> None:
        self._connection.listener.__dict__.setdefault("kept", []).append(self)
        original(self, status, body, extra)

    patch.setattr(HttpExchange, "send", answer)


def answered_twice(patch: pytest.MonkeyPatch) -> None:
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


def ends_at_once(patch: pytest.MonkeyPatch) -> None:
    """SIGTERM ends the node with requests open."""
    patch.setattr(Node, "terminate", Node.stop)


def deaf_after_a_failed_list(patch: pytest.MonkeyPatch) -> None:
    """The module is not told that the watch has failed, and asks no more."""
    original = Balancer._on_server_list

    def on_list(self: Balancer, event: Any) -> None:
        if event.kind is not ListKind.FAILED:
            original(self, event)

    patch.setattr(Balancer, "_on_server_list", on_list)


def connects_left_behind(patch: pytest.MonkeyPatch) -> None:
    """The end of a node leaves connections that are coming up to themselves."""

    def close(self: servers.HttpUpstream) -> None:
        self._sweep_timer.cancel()
        for connection in list(self._connections):
            connection.drop()

    patch.setattr(servers.HttpUpstream, "close", close)


def fault_swallowed(patch: pytest.MonkeyPatch) -> None:
    """An exception in one of the callers' paths, which the node logs and survives."""
    original = HttpListener._to_client_request

    def to_client_request(self: HttpListener, message: HttpMessage, path: bytes) -> Any:
        if path.endswith(b"77"):
            raise KeyError(path)
        return original(self, message, path)

    patch.setattr(HttpListener, "_to_client_request", to_client_request)


def cold_as_warm(patch: pytest.MonkeyPatch) -> None:
    """A cold server gets whatever comes, and all of it."""
    patch.setattr(FleetCapacity, "cold_budget_allows", lambda *_: True)
    patch.setattr(placement, "SHARE_SLACK_CALLS", 1e9)
    patch.setattr(placement, "MAX_WAITING_CALLS", 1e9)
    patch.setattr(Admission, "has_room", lambda *_: True)


def cold_given_anything(patch: pytest.MonkeyPatch) -> None:
    """A cold server gets its share of calls like any other."""
    patch.setattr(FleetCapacity, "cold_budget_allows", lambda *_: True)


def answers_beyond_their_time(patch: pytest.MonkeyPatch) -> None:
    """Requests are held 400 ms beyond their budget: their answers come when the caller has given up."""
    patch.setattr(node, "RESPONSE_RESERVE_MS", -400.0)


def terms_without_end(patch: pytest.MonkeyPatch) -> None:
    """What is taken after SIGTERM has all of its caller's time, however little is left to the node."""
    patch.setattr(node, "DRAIN_LIMIT_S", 60.0)


def timers_at_once(patch: pytest.MonkeyPatch) -> None:
    """As it was: a timer less than half a millisecond away fires at once, and is asked for again."""

    def on_set_timer(self: Node, action: SetTimer) -> None:
        delay = max(0.0, action.at_ms - self._clock.now()) / 1000.0
        asyncio.get_running_loop().call_later(delay, self._dispatch, TimerFired(action.token))

    patch.setattr(Node, "_on_set_timer", on_set_timer)


def silent_watch_asked_anew(patch: pytest.MonkeyPatch) -> None:
    """As it was: a watch without news counts as a call without a reply, and is replaced every second."""
    original = discovery.DiscoveryClient._on_line

    def on_line(self: discovery.DiscoveryClient, watch: discovery._Watch, text: bytes) -> None:
        watch.received_line = True
        original(self, watch, text)

    patch.setattr(discovery.DiscoveryClient, "_on_line", on_line)


def reports_read_unguarded(patch: pytest.MonkeyPatch) -> None:
    """A load report is taken for what it should be."""

    def parse_json(self: LoadReportParser, value: bytes) -> tuple[float, ...]:
        told = json.loads(value)
        return float(told["util"]), float(told["inflight"])

    patch.setattr(LoadReportParser, "_parse_json", parse_json)


@dataclass(frozen=True)
class Planted:
    """A plant, the rules that it may break first, within how many seeds it must be found, and among which
    faults.

    Without kinds all are drawn; a rare meeting of two faults takes more seeds then, and few of only those
    two.
    """

    plant: Plant
    rules: frozenset[str]
    within: int
    kinds: tuple[str, ...] = ()
    heavy: bool = False


def _planted(plant: Plant, within: int, rules: str, kinds: str = "", *, heavy: bool = False) -> Planted:
    return Planted(plant, frozenset(rules.split()), within, tuple(kinds.split()), heavy)


PLANTS = [
    _planted(reset_taken_for_never_ran, 2, "unsafe-repeated refused-may-have-run effect-twice"),
    _planted(refusal_for_everything, 2, "refused-may-have-run"),
    _planted(drains_overlooked, 4, "drain"),
    _planted(group_forgotten, 4, "keyed-elsewhere effect-twice"),
    _planted(reply_lost_at_the_deadline, 4, "lost leak not-in-time", "hang slow coincide"),
    _planted(surplus_taken_for_an_answer, 4, "untrue", "surplus"),
    _planted(reused_after_surplus, 4, "reused untrue", "surplus"),
    _planted(told_close_overlooked, 2, "reused", "close-told"),
    _planted(every_503_never_ran, 2, "unsafe-repeated refused-may-have-run effect-twice", "unmarked"),
    _planted(same_id_taken, 2, "unsafe-repeated sent-for-nothing copy-forbidden effect-twice", "same-id"),
    _planted(late_answer_kept, 2, "untrue copy-forbidden", "hang slow"),
    _planted(ids_held_for_good, 2, "leak"),
    _planted(exchanges_remembered, 2, "leak"),
    _planted(answered_twice, 4, "answer-unasked untrue"),
    _planted(ends_at_once, 4, "lost"),
    _planted(deaf_after_a_failed_list, 4, "list-not-asked"),
    _planted(connects_left_behind, 12, "leak", "node-restart half-open silent"),
    _planted(fault_swallowed, 2, "exception"),
    _planted(cold_as_warm, 3, "cold-pushed", "silent drain"),
    _planted(cold_given_anything, 6, "cold-pushed", "release", heavy=True),
    _planted(answers_beyond_their_time, 4, "not-in-time lost", "hang slow-all"),
    _planted(reports_read_unguarded, 4, "exception lost"),
    _planted(timers_at_once, 2, "spin"),
    _planted(silent_watch_asked_anew, 4, "restless leak"),
]

"""Checks the four rules of the protocol from the bytes on simulated sockets and the effects on servers.

The oracle reads no internal state of a node. What a node knows is what was delivered to its process, and what
it did is what it wrote to a socket. Each time limit has the protocol's tolerance of 50 ms.

1. Each request that a node has read gets one complete, genuine response in time, and no attempt is sent for
   it afterwards.
2. A request that may have run is neither repeated nor refused unless its class, deduplication group and
   window allow it, and no effect happens twice on the servers.
3. No new request goes to a server once the grace period has passed after the node was told that the server is
   draining or gone.
4. A cold server is not sent more than the permitted multiple of its capacity (the simulated server checks
   this).
"""

from __future__ import annotations

import heapq
import json
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from leadrudder.simulation.framing import WireMessage, WireParser
from leadrudder.simulation.loop import VirtualLoop
from leadrudder.simulation.network import Address, VirtualTransport
from leadrudder.simulation.scheduler import US_PER_S, Scheduler

TOLERANCE_US = 50_000
# A client that leaves this shortly before the deadline should already have its response: a round trip, and
# less than the time that nodes reserve for responses.
LATE_DEPARTURE_US = 10_000
REFUSAL_STATUSES = (429, 503)
EARLY_STATUSES = (400, 404, 408, 409, 413)  # rejections that may precede the end of the request


@dataclass(frozen=True, slots=True)
class OracleSettings:
    """The part of the nodes' settings that the rules depend on."""

    effects: dict[str, str]  # by request class: safe, keyed or unsafe
    dedup_groups: dict[str, str]  # by request class: all, zone or cell
    dedup_windows_us: dict[str, int]
    drain_grace_us: int
    max_poll_interval_us: int  # 0: discovery pushes lists
    max_attempts: int
    may_duplicate: bool


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule, with the virtual time and the step at which it was detected."""

    rule: str
    text: str
    at_us: int
    step: int

    def __str__(self) -> str:
        return f"{self.rule} at {self.at_us / US_PER_S:.6f} s, step {self.step}: {self.text}"


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request, as a node wrote it to a server."""

    address: Address
    at_us: int
    zone: int
    cell: int
    status: int = 0  # of the complete response that the node read
    not_run: bool = False
    ended: bool = False  # its connection has ended, or its response was read

    def may_have_run(self) -> bool:
        return not self.not_run


@dataclass(slots=True, eq=False)
class ObservedRequest:
    """A request that a node has read from a client."""

    node: NodeRecord
    message: WireMessage
    received_us: int
    deadline_us: int
    effect: str
    class_name: str
    attempts: list[Attempt] = field(default_factory=list)
    server_bodies: list[bytes] = field(default_factory=list)  # of the servers' 200 responses
    answered: bool = False
    excused: bool = False  # the client has left, or its connection was lost by a network fault or a kill
    departed_us: int = 0  # when the client left, if nothing else excuses the node


@dataclass(slots=True, eq=False)
class ClientSide:
    """The node's end of a client connection."""

    node: NodeRecord
    request_parser: WireParser
    response_parser: WireParser
    unanswered: deque[ObservedRequest] = field(default_factory=deque)
    client_left: bool = False  # the client's end is closed
    malformed: bool = False  # the client sent an invalid request, so none of its requests must be answered
    closing: bool = False  # the last response was sent


@dataclass(slots=True, eq=False)
class UpstreamSide:
    """The node's end of a connection to a server."""

    node: NodeRecord
    address: Address
    request_parser: WireParser
    response_parser: WireParser
    unanswered: deque[tuple[ObservedRequest | None, Attempt | None]] = field(default_factory=deque)
    unusable_reason: str = ""  # why no further request may be sent on it


@dataclass(slots=True, eq=False)
class DiscoverySide:
    """The node's end of a connection to discovery."""

    node: NodeRecord
    response_parser: WireParser
    buffer: bytes = b""


@dataclass(slots=True)
class ListedServer:
    """The latest state of one server that a node was told."""

    address: Address
    zone: int
    cell: int
    ready: bool
    since_us: int


@dataclass(eq=False)
class NodeRecord:
    """What one node process was told and has done."""

    loop: VirtualLoop
    servers: dict[str, ListedServer] = field(default_factory=dict)
    by_address: dict[Address, dict[str, ListedServer]] = field(default_factory=dict)
    open_requests: dict[str, ObservedRequest] = field(default_factory=dict)  # by request ID, until answered
    answered_requests: dict[str, ObservedRequest] = field(default_factory=dict)  # until their deadline
    discovery_connections: dict[VirtualTransport, DiscoverySide] = field(default_factory=dict)
    last_call_us: int = 0
    call_count: int = 0


class Oracle:
    """Observes the network, takes reports of the simulated servers and collects violations."""

    def __init__(self, scheduler: Scheduler, settings: OracleSettings, max_violations: int = 20) -> None:
        self.violations: list[Violation] = []
        self.counts: dict[str, int] = {}
        self.effect_count = 0
        self.counts_per_second: dict[str, dict[int, int]] = {}  # summed over all nodes
        self._scheduler = scheduler
        self._settings = settings
        self._max_violations = max_violations
        self._nodes: dict[VirtualLoop, NodeRecord] = {}
        self._discovery_addresses: set[Address] = set()
        self._client_sides: dict[VirtualTransport, ClientSide] = {}
        self._upstream_sides: dict[VirtualTransport, UpstreamSide] = {}
        self._scheduled: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0
        self._effect_runs: dict[tuple[Any, ...], int] = {}

    # ------------------------------------------------------------ reports of the world

    def node_started(self, loop: VirtualLoop, known: dict[str, Any] | None) -> None:
        """Registers a node process that starts from the given server list."""
        node = self._nodes[loop] = NodeRecord(loop)
        node.last_call_us = self._scheduler.now
        if known is not None:
            self._apply_list(node, known)
        self._schedule_poll_check(node)

    def node_ended(self, loop: VirtualLoop) -> None:
        """Removes a node process that ended or was killed; its open requests need no answer any more."""
        node = self._nodes.pop(loop, None)
        if node is None:
            return
        for request in node.open_requests.values():
            request.excused, request.departed_us = True, 0

    def add_discovery_address(self, address: Address) -> None:
        self._discovery_addresses.add(address)

    def report(self, rule: str, text: str) -> None:
        """Records a violation."""
        if len(self.violations) < self._max_violations:
            self.violations.append(Violation(rule, text, self._scheduler.now, self._scheduler.steps))

    def discovery_call_counts(self) -> dict[str, int]:
        """The number of calls to discovery so far, by process name."""
        return {loop.name: node.call_count for loop, node in self._nodes.items()}

    def count(self, counter: str, by: int = 1) -> None:
        """Adds to a counter of the whole run."""
        self.counts[counter] = self.counts.get(counter, 0) + by

    def count_per_second(self, counter: str) -> None:
        """Adds one to a counter of the current second, summed over all nodes."""
        second = self._scheduler.now // US_PER_S
        per_second = self.counts_per_second.setdefault(counter, {})
        per_second[second] = per_second.get(second, 0) + 1

    def effect_started(self, tier: int, operation: str, name: str, server: str) -> None:
        """Records that a server starts the effect of an operation, which the request path identifies."""
        self.effect_count += 1
        if self._settings.effects.get(name) != "unsafe":
            return
        key = (tier, operation)
        self._effect_runs[key] = self._effect_runs.get(key, 0) + 1
        if self._effect_runs[key] > 1:
            self.report(
                "effect-twice",
                f"{name} {operation} of tier {tier} ran {self._effect_runs[key]} times, now on {server}",
            )

    def keyed_repeat_ran(self, tier: int, operation: str, server: str) -> None:
        """Reports a keyed operation that ran again within its window, although its group deduplicates it."""
        self.report(
            "effect-twice", f"keyed {operation} of tier {tier} ran again on {server} within its window"
        )

    # ------------------------------------------------------------ time

    def after_step(self) -> None:
        """Runs the checks that are due."""
        due = self._scheduled
        while due and due[0][0] <= self._scheduler.now:
            heapq.heappop(due)[2]()

    def _schedule(self, when_us: int, call: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._scheduled, (when_us, self._sequence, call))

    def _schedule_poll_check(self, node: NodeRecord) -> None:
        if self._settings.max_poll_interval_us:
            last_call_us = node.last_call_us
            self._schedule(
                last_call_us + self._settings.max_poll_interval_us + TOLERANCE_US,
                lambda: self._check_poll(node, last_call_us),
            )

    def _check_poll(self, node: NodeRecord, last_call_us: int) -> None:
        """Reports a node that has no watch and has not polled discovery for longer than permitted."""
        if (
            self._nodes.get(node.loop) is not node
            or node.last_call_us != last_call_us
            or node.discovery_connections
        ):
            return
        if node.loop.frozen_until_us + TOLERANCE_US > self._scheduler.now:
            node.last_call_us = node.loop.frozen_until_us
            self._schedule_poll_check(node)
            return
        self.report(
            "list-not-asked", f"{node.loop.name} neither watches nor has asked since {last_call_us} us"
        )

    # ------------------------------------------------------------ NetworkObserver

    def connection_requested(self, loop: VirtualLoop, address: Address) -> None:
        node = self._nodes.get(loop)
        if node is not None and address in self._discovery_addresses:
            node.last_call_us = self._scheduler.now
            node.call_count += 1
            self.count_per_second("list calls")
            self._schedule_poll_check(node)

    def connection_accepted(self, client: VirtualTransport) -> None:
        node = self._nodes.get(client.loop)
        if node is not None:
            if client.remote in self._discovery_addresses:
                node.discovery_connections[client] = DiscoverySide(node, WireParser(responses=True))
            else:
                self.count_per_second("connections")
                self._upstream_sides[client] = UpstreamSide(
                    node, client.remote, WireParser(responses=False), WireParser(responses=True)
                )
        server = client.peer
        node = self._nodes.get(server.loop)
        if node is not None:
            self._client_sides[server] = ClientSide(
                node, WireParser(responses=False), WireParser(responses=True)
            )

    def bytes_sent(self, source: VirtualTransport, data: bytes) -> None:
        caller = self._client_sides.get(source)
        if caller is not None:
            self._on_response_bytes(caller, data)
            return
        server = self._upstream_sides.get(source)
        if server is not None:
            for message in server.request_parser.feed(data):
                self._on_attempt(server, message)

    def bytes_received(self, target: VirtualTransport, data: bytes) -> None:
        caller = self._client_sides.get(target)
        if caller is not None:
            self._on_request_bytes(caller, data)
            return
        server = self._upstream_sides.get(target)
        if server is not None:
            self._on_upstream_bytes(server, data)
            return
        node = self._nodes.get(target.loop)
        if node is not None and target in node.discovery_connections:
            self._on_discovery_bytes(node.discovery_connections[target], data)

    def connection_ended(self, transport: VirtualTransport, reason: str) -> None:
        node = self._nodes.get(transport.loop)
        if node is not None and node.discovery_connections.pop(transport, None) is not None:
            node.last_call_us = max(node.last_call_us, self._scheduler.now)
            self._schedule_poll_check(node)
        side = self._upstream_sides.pop(transport, None)
        if side is not None:
            for _, attempt in side.unanswered:
                if attempt is not None:
                    attempt.ended = True
        caller = self._client_sides.pop(transport, None)
        if caller is not None:
            self._on_client_connection_ended(caller, transport, reason)
        # The client's end is closed: no response is expected there any more.
        other = self._client_sides.get(transport.peer)
        if other is not None:
            other.client_left = True
            for request in other.unanswered:
                if not request.excused:
                    request.excused, request.departed_us = True, self._scheduler.now

    # ------------------------------------------------------------ client connections

    def _on_request_bytes(self, side: ClientSide, data: bytes) -> None:
        if side.closing:
            return
        now = self._scheduler.now
        for message in side.request_parser.feed(data):
            class_name = message.headers.get("x-class", "")
            budget = _seconds(message.headers.get("x-deadline", ""))
            request = ObservedRequest(
                side.node,
                message,
                now,
                now + int((budget or 3.0) * US_PER_S) + TOLERANCE_US,
                self._settings.effects.get(class_name, "none"),
                class_name,
            )
            if side.unanswered:  # responses are sent in the order of the requests
                request.deadline_us = max(request.deadline_us, side.unanswered[-1].deadline_us)
            request.excused = side.client_left
            side.unanswered.append(request)
            self.count("taken")
            request_id = message.headers.get("x-request-id", "")
            if request_id and request_id not in side.node.open_requests and budget is not None:
                side.node.open_requests[request_id] = request
            self._schedule(request.deadline_us, partial(self._on_deadline, request))
        if side.request_parser.malformed:
            side.malformed = True
            for request in side.unanswered:
                request.excused = True

    def _on_deadline(self, request: ObservedRequest) -> None:
        """Checks a request at its deadline."""
        if request.answered or request.excused:
            self._check_departure(request)
            self._remove_request(request)
            return
        loop = request.node.loop
        if loop.frozen_until_us + TOLERANCE_US > self._scheduler.now:
            self._schedule(loop.frozen_until_us + TOLERANCE_US + 1, partial(self._on_deadline, request))
            return
        self._remove_request(request)
        self.report("lost", f"{_describe(request)} on {loop.name} got no answer within its time")

    def _check_departure(self, request: ObservedRequest) -> None:
        """Reports a client that left at its deadline and should have had its response by then.

        A client that left earlier, or whose request took long to arrive, says nothing about the node.
        """
        over_us = request.deadline_us - TOLERANCE_US
        frozen = request.node.loop.frozen_until_us + TOLERANCE_US >= over_us
        if not request.answered and request.departed_us >= over_us - LATE_DEPARTURE_US and not frozen:
            self.report(
                "not-in-time",
                f"{_describe(request)} on {request.node.loop.name} had no answer when it left",
            )

    def _remove_request(self, request: ObservedRequest) -> None:
        node, request_id = request.node, request.message.headers.get("x-request-id", "")
        if node.open_requests.get(request_id) is request:
            del node.open_requests[request_id]
        if node.answered_requests.get(request_id) is request:
            del node.answered_requests[request_id]

    def _on_client_connection_ended(self, side: ClientSide, transport: VirtualTransport, reason: str) -> None:
        """Reports requests that a node left unanswered when it closed a client connection."""
        for request in side.unanswered:
            if reason == "closed" and not (
                request.excused or side.malformed or side.closing or transport.blackholed
            ):
                self.report(
                    "lost",
                    f"{_describe(request)}: {side.node.loop.name} closed its connection without an answer",
                )
            request.excused = True

    def _on_response_bytes(self, side: ClientSide, data: bytes) -> None:
        for message in side.response_parser.feed(data):
            self.count(f"answer_{message.status}")
            if message.headers.get("connection") == "close":
                side.closing = True
            if side.unanswered:
                request = side.unanswered.popleft()
                self._check_response(request, message, side)
                if side.closing:
                    for other in side.unanswered:
                        other.excused = True
            elif not (
                message.status in EARLY_STATUSES
                and (side.request_parser.has_partial_message or side.malformed)
            ):
                self.report("answer-unasked", f"{side.node.loop.name} answered {message.status} to nothing")
        if side.response_parser.malformed:
            self.report("answer-malformed", f"{side.node.loop.name} wrote no answer: {data[:60]!r}")

    def _check_response(self, request: ObservedRequest, message: WireMessage, side: ClientSide) -> None:
        request.answered = True
        request_id = request.message.headers.get("x-request-id", "")
        if side.node.open_requests.get(request_id) is request:
            del side.node.open_requests[request_id]
            side.node.answered_requests[request_id] = request
        if (
            self._scheduler.now > request.deadline_us
            and request.node.loop.frozen_until_us + TOLERANCE_US < self._scheduler.now
        ):
            self.report("late", f"{_describe(request)} was answered {message.status} after its time")
        if message.status == 200:
            if request.message.target != "/ready" and message.body not in request.server_bodies:
                self.report("untrue", f"{_describe(request)} was served with what no server made for it")
        elif message.status in REFUSAL_STATUSES and request.effect != "none":
            self._check_refusal(request)

    def _check_refusal(self, request: ObservedRequest) -> None:
        """Reports a refusal of a request that may run, since a refusal tells the client to retry."""
        harmless = request.effect == "safe" or (
            request.effect == "keyed" and self._settings.dedup_groups.get(request.class_name, "all") == "all"
        )
        if harmless:
            return
        risky = [a for a in request.attempts if a.may_have_run()]
        if risky:
            self.report(
                "refused-may-have-run",
                f"{_describe(request)} was refused, and {_target(risky[0])} may run it",
            )

    # ------------------------------------------------------------ attempts

    def _on_attempt(self, side: UpstreamSide, message: WireMessage) -> None:
        """Checks a complete request that a node has written to a server."""
        self._check_drain(side)
        if side.unusable_reason:
            self.report(
                "reused", f"{side.node.loop.name} sent to {side.address} again {side.unusable_reason}"
            )
        request_id = message.headers.get("x-request-id")
        if request_id is None:
            side.unanswered.append((None, None))  # a probe
            self.count("probes")
            self.count_per_second("probes")
            return
        self.count("attempts")
        node = side.node
        listed = self._listed_server(node, side.address)
        attempt = Attempt(
            side.address, self._scheduler.now, listed.zone if listed else -1, listed.cell if listed else -1
        )
        request = node.open_requests.get(request_id)
        if request is None:
            late = node.answered_requests.get(request_id)
            detail = "after its answer" if late is not None else "that no caller sent"
            self.report(
                "sent-for-nothing",
                f"{node.loop.name} sent {request_id} {detail} to {_target(attempt)}",
            )
        else:
            if request.attempts:
                self.count("repeats")
            self._check_repeat(request, attempt)
            request.attempts.append(attempt)
        side.unanswered.append((request, attempt))

    def _check_repeat(self, request: ObservedRequest, attempt: Attempt) -> None:
        """Rule 2, judged by what the node can know of the previous attempts."""
        settings = self._settings
        if len(request.attempts) >= settings.max_attempts:
            self.report(
                "too-many-attempts",
                f"{_describe(request)} goes out a {len(request.attempts) + 1}th time",
            )
        risky = [a for a in request.attempts if a.may_have_run()]
        if not risky:
            return
        first = risky[0]
        if not settings.may_duplicate and any(not a.ended for a in risky):
            self.report(
                "copy-forbidden",
                f"{_describe(request)} goes to {_target(attempt)} beside {_target(first)}",
            )
        if request.effect == "unsafe":
            self.report(
                "unsafe-repeated",
                f"{_describe(request)} goes to {_target(attempt)} after {_target(first)} may run it",
            )
        elif request.effect == "keyed":
            window = settings.dedup_windows_us[request.class_name]
            group = settings.dedup_groups.get(request.class_name, "all")
            if attempt.at_us - first.at_us > window + TOLERANCE_US:
                self.report("keyed-too-late", f"{_describe(request)} is repeated when its key is forgotten")
            if (group == "zone" and attempt.zone != first.zone) or (
                group == "cell" and attempt.cell != first.cell
            ):
                self.report("keyed-elsewhere", f"{_describe(request)} is repeated outside of its {group}")

    def _on_upstream_bytes(self, side: UpstreamSide, data: bytes) -> None:
        for message in side.response_parser.feed(data):
            if 100 <= message.status < 200:
                continue
            if not side.unanswered:
                side.unusable_reason = "after an answer to nothing"
                continue
            if message.headers.get("connection", "").lower() == "close":
                side.unusable_reason = "after it was told the close"
            request, attempt = side.unanswered.popleft()
            if attempt is None:
                continue
            attempt.status, attempt.ended = message.status, True
            attempt.not_run = message.status in (503, 504) and message.headers.get("x-not-run") == "1"
            if request is not None and message.status == 200:
                request.server_bodies.append(message.body)
        if not side.unanswered and (
            side.response_parser.has_partial_message or side.response_parser.malformed
        ):
            side.unusable_reason = "after more than an answer"

    def _listed_server(self, node: NodeRecord, address: Address) -> ListedServer | None:
        """The latest state that the node was told for an address, preferring a ready server."""
        rows = node.by_address.get(address, {}).values()
        return max(rows, key=lambda row: (row.ready, row.since_us)) if rows else None

    def _check_drain(self, side: UpstreamSide) -> None:
        listed = self._listed_server(side.node, side.address)
        now = self._scheduler.now
        if listed is None:
            self.report(
                "sent-unlisted", f"{side.node.loop.name} sent to {side.address}, which no list has named"
            )
        elif not listed.ready and now - listed.since_us > self._settings.drain_grace_us + TOLERANCE_US:
            late_ms = (now - listed.since_us) // 1000
            self.report(
                "drain", f"{side.node.loop.name} sent to {side.address} {late_ms} ms after it was told off"
            )

    # ------------------------------------------------------------ lists

    def _on_discovery_bytes(self, side: DiscoverySide, data: bytes) -> None:
        for message in side.response_parser.feed(data):
            side.buffer += message.body
        side.buffer += side.response_parser.take_partial_body()
        *lines, side.buffer = side.buffer.split(b"\n")
        for line in lines:
            try:
                update = json.loads(line) if line.strip() else None
            except ValueError:
                continue
            if isinstance(update, dict) and "instances" in update:
                self._apply_list(side.node, update)

    def _apply_list(self, node: NodeRecord, update: dict[str, Any]) -> None:
        now = self._scheduler.now
        if update["reset"]:
            named = {item["instanceId"] for item in update["instances"]}
            for name, old in node.servers.items():
                if name not in named and old.ready:
                    old.ready, old.since_us = False, now
        for item in update["instances"]:
            host, _, port = item["hostPort"].rpartition(":")
            address = (host, int(port))
            name, ready = item["instanceId"], item["lifecycle"] == "SERVING"
            row = node.servers.get(name)
            if row is not None and row.ready == ready and row.address == address:
                continue
            if row is not None and row.address != address and row.ready:
                row.ready, row.since_us = False, now  # the new address withdraws the old one
            listed = ListedServer(
                address, stable_number(item.get("zone", "")), item.get("cell", 0), ready, now
            )
            node.servers[name] = node.by_address.setdefault(address, {})[name] = listed


def stable_number(name: str) -> int:
    """A number for a name, equal in every process (unlike hash())."""
    return int.from_bytes(name.encode(), "big")


def _seconds(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 < value < 3600 else None


def _describe(request: ObservedRequest) -> str:
    return f"{request.class_name or request.message.target} {request.message.headers.get('x-request-id', '')}"


def _target(attempt: Attempt) -> str:
    return f"{attempt.address[0]}:{attempt.address[1]}"

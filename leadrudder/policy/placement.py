"""Selects a server for a request, by rules 3 and 4, health, locality, subsetting and load.

A server that is warm, healthy and idle is eligible for any request that may be sent to it.  All others are
called special; they are few, are tracked incrementally and are examined only when they are drawn.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Sequence

from leadrudder.interface import UNTOLD, Effect, ServerId, ServerList, Settings
from leadrudder.policy.attempts import permitted
from leadrudder.policy.automaton import Automaton
from leadrudder.selection_context import DrawContext
from leadrudder.state.capacity import FleetCapacity, can_eject_another
from leadrudder.state.least_loaded import fewest_outstanding
from leadrudder.state.records import EventContext, Server
from leadrudder.state.reports import LoadReports
from leadrudder.state.server_table import ListedServers
from leadrudder.state.subsetting import SubsetAssignment

PANIC_UNHEALTHY_SHARE = 0.5  # with more unhealthy servers health is ignored, as the cause is a shared one

# A node's calls in flight to one server may exceed its share of all calls in flight by this much.
SHARE_FACTOR = 1.25
SHARE_SLACK_CALLS = 0.5

MAX_WAITING_CALLS = 4.0  # queued at a server, over all nodes; estimated from its mean and the calm latency

# Larger fleets are not scanned for each request: up to MAX_DRAWS servers are drawn from all that are open,
# and full scans are limited to a mean of SCAN_CREDIT_PER_REQUEST servers per request.
MAX_SCANNED_SERVERS = 32
MAX_DRAWS = 16
SCAN_CREDIT_PER_REQUEST = 64
INCREMENTAL_CHANGE_DIVISOR = 8  # a change of less than this part of the list is applied server by server

MIN_LOCAL_SERVERS = 2  # with fewer, the node does not restrict itself to its zone or subset
# Smallest subset of servers that a node uses, the largest being twice that: half may fail and leave a choice.
MIN_SUBSET_SERVERS = 6
MIN_NODES_PER_SERVER = 3  # that share each server, so that the random walks of their vectors cancel out
MAX_FULL_MESH_NODES = 24  # more of them use subsets: a server accepts some 25 connections per core

FORBIDDEN, CLASS_UNHEALTHY, UNHEALTHY, BUSY, ELIGIBLE = range(5)  # eligibility of a server for a request


class Placement:
    """The listed servers and the selection among them."""

    def __init__(self, settings: Settings, turn: EventContext) -> None:
        self._settings = settings
        self._turn = turn
        self.automaton = Automaton(settings.balancers, settings.floor_share)
        self.listed = ListedServers(len(settings.classes))
        self.servers, self.arms = (
            self.listed.servers,
            self.listed.by_position,
        )  # arms: the listed servers, by index
        self._rings: SubsetAssignment | None = None  # None: the node uses no subset
        self._subset_count = 1
        self._subset: set[ServerId] | None = None  # None: all local servers
        self._subset_servers: list[Server] = []  # empty if the subset exceeds MAX_SCANNED_SERVERS
        self._subset_size = 0
        self._local_count = 0  # arms in the own zone, or all if cross-zone calls are free
        self.special: dict[ServerId, Server] = {}  # arms that are not warm, healthy and idle
        self.update_totals: Callable[[Server, int], None]  # Health.update_totals
        self._rechecks: list[tuple[float, int, Server]] = []  # times at which to refresh a server
        self._recheck_sequence = 0
        self.capacity = FleetCapacity(settings, turn)
        self.reports = LoadReports(settings, turn)
        self._more_pieces = False  # the list continues in the next event
        self._scan_credit = 0.0  # number of servers that may be examined by full scans
        # For each class: whether it is in panic, and the number of decisions since that was computed.
        self._panic_cache: list[tuple[bool, int]] = [(False, 0)] * len(settings.classes)
        self._can_repeat = any(c.effect is not Effect.UNSAFE for c in settings.classes)
        self._max_waiting = max(1.0, MAX_WAITING_CALLS / (1 if settings.stage else settings.balancers))

    def apply_list(self, event: ServerList) -> None:
        """Applies a server list or changes of one: incrementally, or as a whole where that costs less."""
        pieces, self._more_pieces = event.more or self._more_pieces, event.more
        change = self.listed.apply(event, self._turn.now)
        for server in change.restarted:
            self.update_totals(server, -1)
            self.reports.discard(server)
            server.reset_after_restart(self._turn.now, self._turn.rng.random())
            self.update_totals(server, 1)
        many = max(len(change.joined), len(change.left)) * INCREMENTAL_CHANGE_DIVISOR > len(self.arms)
        # A list that arrives in pieces is long, so each piece is applied incrementally.
        whole = (
            change.placement_changed
            or not self.arms
            or (not pieces and (many or len(self.arms) <= MAX_SCANNED_SERVERS))
        )
        for server in change.left:
            self._remove(server, whole)
        if whole:
            self.listed.rebuild(change.joined)
            weights = {s.entry.server: s.weight(self._settings.capacity_hints) for s in self.arms}
            self.automaton.resize(weights, {s.entry.server: s.entry.kind for s in self.arms})
            self._rings, self._local_count = None, sum(map(self._is_local, self.arms))
        for server in change.joined:
            self._add(server, whole)
        for server in [*change.changed, *(self.special.values() if whole else ())]:
            self.refresh(server)
        self._choose_subset()
        self._scan_credit, self.reports.listed_servers = float(len(self.arms)), len(self.arms)
        if not event.more:
            self.automaton.newcomers.reset(len(self.arms))

    def _is_local(self, server: Server) -> bool:
        return not self._settings.cross_zone_price or server.entry.zone in (self._settings.zone, UNTOLD)

    def _remove(self, server: Server, whole: bool) -> None:
        self.update_totals(server, -1)
        self.special.pop(server.entry.server, None)
        self.capacity.remove_server(server)
        self.reports.discard(server)
        server.needs_check = False
        if not whole:
            self.automaton.leave(server.position)
            self.listed.remove_by_swap(server)
            self._count_local(server, -1)

    def _add(self, server: Server, whole: bool) -> None:
        if not whole:
            self.listed.append_server(server)
            weight = server.weight(self._settings.capacity_hints)
            self.automaton.join(server.entry.server, weight, server.entry.kind)
            self._count_local(server, 1)
        self.update_totals(server, 1)
        self.capacity.add_server(server)
        self.refresh(server)

    def _count_local(self, server: Server, by: int) -> None:
        """Counts a local server, and adds it to or removes it from the rings that subsets are chosen from."""
        if self._is_local(server):
            self._local_count += by
            if self._rings is not None:
                (self._rings.add if by > 0 else self._rings.remove)(server.entry.kind, server.entry.server)

    def recheck_due(self) -> None:
        """Refreshes the servers whose recheck is due; called at each event."""
        while self._rechecks and self._rechecks[0][0] <= self._turn.now:
            self.refresh(heapq.heappop(self._rechecks)[2])

    def on_sent(self, server: Server, units: float) -> None:
        """Accounts for a call sent to a server."""
        self.capacity.record_send(server, units)
        self.refresh(server)

    def refresh(self, server: Server) -> None:
        """Updates whether a server is special and may be drawn; called after any change of the server.

        Conditions that depend on time alone are rechecked when they are due.  Conditions that depend on the
        whole fleet (the share of calls in flight, silence) apply only to servers with calls in flight, which
        are special.
        """
        i, now, out = server.position, self._turn.now, len(server.outstanding)
        if i < 0:
            return
        # No capacity while it refuses calls: a draining server does so for seconds before the list says so.
        refuses_calls = server.consecutive_refusals > 0 and not self.reports.enabled
        in_use = not (server.ejected or refuses_calls)
        if (due_at := self.capacity.update(server, in_use)) is not None:
            self.recheck_at(server, due_at)
        special = bool(out) or server.ejected or server.on_probation or server.restricted_until > now
        if special != server.needs_check:
            server.needs_check = special
            if special:
                self.special[server.entry.server] = server
            else:
                del self.special[server.entry.server]
        closed = server.ejected or server.paused_until > now or out + 1 > server.max_outstanding
        self.automaton.shares.set_open(i, not (closed or (server.on_probation and out > 0)))

    def recheck_at(self, server: Server, when: float) -> None:
        server.restricted_until = max(server.restricted_until, when)
        self._recheck_sequence += 1
        heapq.heappush(self._rechecks, (when, self._recheck_sequence, server))

    def choose_server(self, context: DrawContext, last_resort: bool) -> Server | None:
        """Selects a server for a request; None if no server may take it now."""
        r = len(self.arms)
        if r > MAX_SCANNED_SERVERS:
            self._scan_credit = min(self._scan_credit + SCAN_CREDIT_PER_REQUEST, 2.0 * r)
            panic = not last_resort and self._in_panic(context)
            if self._subset_servers and not last_resort:
                pool = self._candidates(context, panic, self._subset_servers)
                if len(pool) >= MIN_LOCAL_SERVERS:
                    return self._draw(context, pool)
            if not panic and (found := self._try_draws(context, last_resort)) is not None:
                return found
            if self._scan_credit < r:
                return None
            self._scan_credit -= r
        pool = self._prefer_local(self._candidates(context, last_resort, self.arms))
        return self._draw(context, pool) if pool else None

    def _draw(self, context: DrawContext, pool: list[int]) -> Server:
        """Draws by the shares; from one call per two servers on, among the servers with the fewest calls."""
        if self._settings.even_spread and 2 * context.in_flight * self._settings.balancers >= len(self.arms):
            pool = fewest_outstanding(
                pool, self.arms, self.automaton.averages.values, context.mean_latency_ms
            )
        return self.arms[self.automaton.shares.draw(pool, self._turn.rng.random())]

    def _try_draws(self, context: DrawContext, last_resort: bool) -> Server | None:
        """Rejection sampling: draws from the open servers until one is eligible, at most MAX_DRAWS times."""
        keep = not self._subset_servers and len(self.special) + MIN_LOCAL_SERVERS <= self._subset_size < len(
            self.arms
        )
        for _ in range(MAX_DRAWS):
            i = self.automaton.shares.draw_open(self._turn.rng.random())
            if i is None:
                return None
            server = self.arms[i]
            if (keep and not self._in_subset(server)) or server.entry.server in context.tried_servers:
                continue
            if self.reports.enabled and not last_resort and self._crowded(server):
                continue
            if not server.needs_check and not context.may_have_run:
                return server
            if self._eligibility(context, server) >= (UNHEALTHY if last_resort else ELIGIBLE):
                return server
        return None

    def _crowded(self, server: Server) -> bool:
        return self.reports.crowded(server, len(self.arms) * self.automaton.shares.weight(server.position))

    def _in_panic(self, context: DrawContext) -> bool:
        """Whether too many servers are unhealthy to go by health; computed rarely enough to cost little."""
        class_index = context.request.class_index
        panic, since = self._panic_cache[class_index]
        if since * SCAN_CREDIT_PER_REQUEST < len(self.special):
            self._panic_cache[class_index] = panic, since + 1
            return panic
        late, now = context.late_after_ms, self._turn.now
        unhealthy_servers = (
            s.ejected or not s.class_health[class_index].accepts_calls(now) or self.is_silent(s, late)
            for s in self.special.values()
        )
        self._panic_cache[class_index] = sum(unhealthy_servers) > PANIC_UNHEALTHY_SHARE * len(self.arms), 0
        return self._panic_cache[class_index][0]

    def _candidates(self, context: DrawContext, last_resort: bool, among: Sequence[Server]) -> list[int]:
        """Indices to draw from: the servers that the rules allow, as far as possible healthy and not busy."""
        allowed: list[int] = []
        eligible: list[int] = []
        unhealthy = 0
        arms, may_have_run = self.arms, context.may_have_run
        for server in among:
            eligibility = (
                self._eligibility(context, server) if server.needs_check or may_have_run else ELIGIBLE
            )
            if eligibility >= UNHEALTHY:
                allowed.append(server.position)
            if eligibility == ELIGIBLE:
                eligible.append(server.position)
            elif eligibility in (CLASS_UNHEALTHY, UNHEALTHY):
                unhealthy += 1
        if last_resort or unhealthy > PANIC_UNHEALTHY_SHARE * len(arms):
            # The cause is shared by all servers, or this is the last attempt: health is ignored.
            eligible = allowed
        elif self.reports.enabled:
            eligible = [i for i in eligible if not self._crowded(arms[i])] or eligible
        untried = (
            [i for i in eligible if arms[i].entry.server not in context.tried_servers]
            if context.tried_servers
            else eligible
        )
        if untried or (context.request.outstanding and not last_resort):
            eligible = untried
        return eligible

    def _eligibility(self, context: DrawContext, server: Server) -> int:
        """Eligibility of a server for a request, one of FORBIDDEN to ELIGIBLE."""
        request, now, out = context.request, self._turn.now, len(server.outstanding)
        if context.may_have_run and not permitted(request, server.entry, self._settings, now):
            return FORBIDDEN
        if server.cold:
            if context.warm_server_flow is None:
                context.warm_server_flow = self.capacity.warm_send_rate()
            if not self.capacity.cold_budget_allows(
                server, request.appraisal.units, context.warm_server_flow
            ):
                return FORBIDDEN
        health = server.class_health[request.class_index]
        if (health.on_probation or server.restricted_until > now) and not health.accepts_calls(now):
            return CLASS_UNHEALTHY  # also for the last attempt, which would most likely fail
        if server.ejected or (out and self.is_silent(server, context.late_after_ms)):
            return UNHEALTHY
        if server.on_probation and (out or (self._can_repeat and not request.may_repeat())):
            return BUSY  # a trial is a single call, and one that may be repeated if it fails
        if server.paused_until > now or out + 1 > server.max_outstanding:
            return BUSY
        if out:
            slow, share = (
                self.automaton.averages.values[server.position],
                self.automaton.shares.weight(server.position),
            )
            if slow and out * (1.0 - context.calm_latency_ms / slow) > self._max_waiting:
                # By Little's law this part of its calls is queued there.  Long queues slow a server down for
                # a long time, and its own average shows that before the mean over all servers does.
                return BUSY
            share = (
                share * context.mean_latency_ms / slow if slow and slow > context.mean_latency_ms else share
            )
            if out > SHARE_SLACK_CALLS + SHARE_FACTOR * share * context.in_flight:
                return BUSY
        return ELIGIBLE

    def _prefer_local(self, eligible: list[int]) -> list[int]:
        """The subset if two of it are eligible; otherwise the own zone, if cross-zone calls have a price."""
        subset = [i for i in eligible if self._in_subset(self.arms[i])]
        if len(subset) >= MIN_LOCAL_SERVERS:
            return subset
        if not self._settings.cross_zone_price:
            return eligible
        own = [i for i in eligible if self.arms[i].entry.zone == self._settings.zone]
        return own if len(own) >= MIN_LOCAL_SERVERS else eligible

    def _choose_subset(self) -> None:
        """Deterministic subsetting: where many nodes call many servers, each node uses a subset of all kinds.

        Otherwise a node has too few calls per server to learn from, and connections grow with nodes times
        servers.
        """
        # A power of two, because all subsets depend on their number and must not change with each list.
        nodes = self._settings.balancers
        subset_count = 1 << max(0, (self._local_count // MIN_SUBSET_SERVERS).bit_length() - 1)
        if nodes > MAX_FULL_MESH_NODES:  # larger subsets if the nodes are too few to cover all servers
            subset_count = min(subset_count, 1 << max(0, (nodes // MIN_NODES_PER_SERVER).bit_length() - 1))
        self._subset, self._subset_servers, self._subset_size = None, [], self._local_count
        if subset_count == 1 or (
            nodes <= MAX_FULL_MESH_NODES
            and nodes * MIN_SUBSET_SERVERS < MIN_NODES_PER_SERVER * len(self.arms)
        ):
            self._rings = None
            return
        if self._rings is None or subset_count != self._subset_count:
            self._rings, self._subset_count = (
                SubsetAssignment(self._settings.ordinal, nodes, subset_count),
                subset_count,
            )
            for server in filter(self._is_local, self.arms):
                self._rings.add(server.entry.kind, server.entry.server)
        subset = self._rings.assigned()
        self._subset, self._subset_size = set(subset), len(subset)
        self._subset_servers = (
            [self.servers[name] for name in subset] if len(subset) <= MAX_SCANNED_SERVERS else []
        )

    def _in_subset(self, server: Server) -> bool:
        """Whether the node uses this server: it is in the subset, or local if there is none."""
        return self._is_local(server) if self._subset is None else server.entry.server in self._subset

    def is_silent(self, server: Server, late: float) -> bool:
        """Whether calls in flight to the server are overdue; with more of them it is noticed sooner."""
        if not server.outstanding:
            return False
        since = max(next(iter(server.outstanding.values())), server.last_heard_at)
        return self._turn.now - since > late / math.sqrt(len(server.outstanding))

    def rest_if_spare(self, server: Server, span: float) -> None:
        """Skips a server for a while, unless too many of those that would take its calls are unavailable.

        These are the subset, or the own zone if cross-zone calls have a price.
        """
        pool_size = self._subset_size if self._subset_size >= MIN_LOCAL_SERVERS else len(self.arms)
        now, whole = self._turn.now, pool_size == len(self.arms)
        out = (
            s.ejected or s.paused_until > now for s in self.special.values() if whole or self._in_subset(s)
        )
        if can_eject_another(sum(out), pool_size):
            self.rest_server_until(server, now + span)

    def rest_server_until(self, server: Server, until: float) -> None:
        server.paused_until = until
        self.recheck_at(server, until)

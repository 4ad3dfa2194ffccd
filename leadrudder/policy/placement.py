"""Which servers a request may be drawn for: rules 3 and 4, health, home, and what each one bears.

A server that is warm, healthy and idle is fit for whatever may go to any server.  All others are special, and
few; they are kept by change, and looked at when they are drawn.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Sequence

from leadrudder.interface import UNTOLD, Effect, ServerId, ServerList, Settings
from leadrudder.policy.attempts import permitted
from leadrudder.policy.automaton import Automaton
from leadrudder.selection_context import Look
from leadrudder.state.capacity import FleetCapacity, can_eject_another
from leadrudder.state.least_loaded import fewest_outstanding
from leadrudder.state.records import EventContext, Server
from leadrudder.state.reports import LoadReports
from leadrudder.state.server_table import ListedServers
from leadrudder.state.subsetting import SubsetAssignment

PANIC = 0.5  # with more than this part unhealthy, health is ignored: the cause is not the servers

# A node's calls on one server may exceed its share of all calls out by this much before it is skipped.
BUDGET_TIMES = 1.25
BUDGET_PLUS = 0.5

WAITING_MOST = 4.0  # calls that may wait at a server, over all nodes, by its average against the calmest

# Fleets of more servers than this are not looked through for each request: a draw from all that are open is
# tried so many times, and a whole look is had only as often as it costs so many servers a request.
SCAN_MOST = 32
TRIES = 16
SCAN_EACH = 64
PIECEWISE = 8  # a change of less than this part of the list is followed server by server

LOCAL_LEAST = 2  # fewer servers than this in the zone are no fleet to keep to
HOME = 6  # servers that a node keeps to, up to twice as many: of so few half may fail and leave a choice
HOME_COVER = 3  # nodes that must share each server at the least, for their walks to cancel out
CROWD = 24  # nodes that may all keep connections to each server: it holds few, in service some 25 a core

FORBIDDEN, CLASS_SICK, SICK, BUSY, FIT = range(5)  # how a server stands to a request


class Placement:
    """The listed servers and the draw among them."""

    def __init__(self, settings: Settings, turn: EventContext) -> None:
        self._settings = settings
        self._turn = turn
        self.automaton = Automaton(settings.balancers, settings.floor_share)
        self.list = ListedServers(len(settings.classes))
        self.servers, self.arms = self.list.servers, self.list.by_position  # arms: those listed, by index
        self._rings: SubsetAssignment | None = None  # where the node keeps to a home
        self._homes = 1
        self._home: set[ServerId] | None = None  # None: it keeps to all that are near
        self._home_few: list[Server] = []  # where they are few
        self._near_most = 0  # servers that the node keeps to
        self._zone = 0  # arms in its zone, or all where crossing has no price
        self.special: dict[ServerId, Server] = {}  # of the arms; all others are warm, healthy and idle
        self.count: Callable[[Server, int], None]  # tells health of an arm's leaving (-1) and coming (1)
        self._due: list[tuple[float, int, Server]] = []  # when to look again whether one still is special
        self._seq = 0
        self.capacity = FleetCapacity(settings, turn)
        self.reports = LoadReports(settings, turn)
        self._more = False  # further pieces of a list follow
        self._scans = 0.0  # servers that may be looked at beyond those drawn
        self._panic: list[tuple[bool, int]] = [(False, 0)] * len(settings.classes)  # and decisions since
        self._can_repeat = any(c.effect is not Effect.UNSAFE for c in settings.classes)
        self._most_waiting = max(1.0, WAITING_MOST / (1 if settings.stage else settings.balancers))

    def take(self, event: ServerList) -> None:
        """A list, or changes of one; what costs more by the piece is done anew as a whole."""
        pieces, self._more = event.more or self._more, event.more
        change = self.list.apply(event, self._turn.now)
        for server in change.restarted:
            self.count(server, -1)
            self.reports.discard(server)
            server.reset_after_restart(self._turn.now, self._turn.rng.random())
            self.count(server, 1)
        many = max(len(change.joined), len(change.left)) * PIECEWISE > len(self.arms)
        # A list that comes in pieces is a long one: each is followed server by server.
        whole = (
            change.placement_changed
            or not self.arms
            or (not pieces and (many or len(self.arms) <= SCAN_MOST))
        )
        for server in change.left:
            self._leave(server, whole)
        if whole:
            self.list.rebuild(change.joined)
            weights = {s.entry.server: s.weight(self._settings.capacity_hints) for s in self.arms}
            self.automaton.resize(weights, {s.entry.server: s.entry.kind for s in self.arms})
            self._rings, self._zone = None, sum(map(self._is_near, self.arms))
        for server in change.joined:
            self._join(server, whole)
        for server in [*change.changed, *(self.special.values() if whole else ())]:
            self.note(server)
        self._choose_home()
        self._scans, self.reports.listed_servers = float(len(self.arms)), len(self.arms)
        if not event.more:
            self.automaton.newcomers.reset(len(self.arms))

    def _is_near(self, server: Server) -> bool:
        return not self._settings.cross_zone_price or server.entry.zone in (self._settings.zone, UNTOLD)

    def _leave(self, server: Server, whole: bool) -> None:
        self.count(server, -1)
        self.special.pop(server.entry.server, None)
        self.capacity.remove_server(server)
        self.reports.discard(server)
        server.needs_check = False
        if not whole:
            self.automaton.leave(server.position)
            self.list.remove_by_swap(server)
            self._move(server, -1)

    def _join(self, server: Server, whole: bool) -> None:
        if not whole:
            self.list.append_server(server)
            weight = server.weight(self._settings.capacity_hints)
            self.automaton.join(server.entry.server, weight, server.entry.kind)
            self._move(server, 1)
        self.count(server, 1)
        self.capacity.add_server(server)
        self.note(server)

    def _move(self, server: Server, by: int) -> None:
        """One more or less of those that homes are dealt from."""
        if self._is_near(server):
            self._zone += by
            if self._rings is not None:
                (self._rings.add if by > 0 else self._rings.remove)(server.entry.kind, server.entry.server)

    def begin(self) -> None:
        """At each event: look again at what is due."""
        while self._due and self._due[0][0] <= self._turn.now:
            self.note(heapq.heappop(self._due)[2])

    def sent(self, server: Server, units: float) -> None:
        """A call goes out to a server."""
        self.capacity.record_send(server, units)
        self.note(server)

    def note(self, server: Server) -> None:
        """After any change of a server: whether it is special, and whether the automaton may draw it at all.

        What hangs on time alone is looked at again when it is due; what hangs on the state of all (a share of
        the calls out, what is silent) concerns servers with calls out only, and those are special.
        """
        i, now, out = server.position, self._turn.now, len(server.outstanding)
        if i < 0:
            return
        # One that turns calls away bears none: those that drain do so for seconds before the list tells.
        turns_away = server.consecutive_refusals > 0 and not self.reports.enabled
        in_use = not (server.ejected or turns_away)
        if (look := self.capacity.update(server, in_use)) is not None:
            self.look_again(server, look)
        special = bool(out) or server.ejected or server.on_probation or server.restricted_until > now
        if special != server.needs_check:
            server.needs_check = special
            if special:
                self.special[server.entry.server] = server
            else:
                del self.special[server.entry.server]
        closed = server.ejected or server.paused_until > now or out + 1 > server.max_outstanding
        self.automaton.shares.set_open(i, not (closed or (server.on_probation and out > 0)))

    def look_again(self, server: Server, when: float) -> None:
        server.restricted_until = max(server.restricted_until, when)
        self._seq += 1
        heapq.heappush(self._due, (when, self._seq, server))

    def pick(self, look: Look, last_resort: bool) -> Server | None:
        """The server drawn for a request; None if no server may take it now."""
        r = len(self.arms)
        if r > SCAN_MOST:
            self._scans = min(self._scans + SCAN_EACH, 2.0 * r)
            panic = not last_resort and self._panics(look)
            if self._home_few and not last_resort:
                pool = self._pool(look, panic, self._home_few)
                if len(pool) >= LOCAL_LEAST:
                    return self._draw(look, pool)
            if not panic and (found := self._try(look, last_resort)) is not None:
                return found
            if self._scans < r:
                return None
            self._scans -= r
        pool = self._near(self._pool(look, last_resort, self.arms))
        return self._draw(look, pool) if pool else None

    def _draw(self, look: Look, pool: list[int]) -> Server:
        """By the shares; once all nodes' calls are one for two servers, from those that hold the fewest."""
        if self._settings.even_spread and 2 * look.total * self._settings.balancers >= len(self.arms):
            pool = fewest_outstanding(pool, self.arms, self.automaton.averages.values, look.mean)
        return self.arms[self.automaton.shares.draw(pool, self._turn.rng.random())]

    def _try(self, look: Look, last_resort: bool) -> Server | None:
        """Draw from all that are open until one is fit, so many times: the same as a draw from the fit."""
        keep = not self._home_few and len(self.special) + LOCAL_LEAST <= self._near_most < len(self.arms)
        for _ in range(TRIES):
            i = self.automaton.shares.draw_open(self._turn.rng.random())
            if i is None:
                return None
            server = self.arms[i]
            if (keep and not self._kept(server)) or server.entry.server in look.tried:
                continue
            if self.reports.enabled and not last_resort and self._crowded(server):
                continue
            if not server.needs_check and not look.risky:
                return server
            if self._standing(look, server) >= (SICK if last_resort else FIT):
                return server
        return None

    def _crowded(self, server: Server) -> bool:
        return self.reports.crowded(server, len(self.arms) * self.automaton.shares.weight(server.position))

    def _panics(self, look: Look) -> bool:
        """Whether too many are unhealthy for health to be a guide; counted as seldom as it costs little."""
        c = look.request.class_index
        panic, since = self._panic[c]
        if since * SCAN_EACH < len(self.special):
            self._panic[c] = panic, since + 1
            return panic
        late, now = look.late, self._turn.now
        sick = (
            s.ejected or not s.class_health[c].accepts_calls(now) or self.silent(s, late)
            for s in self.special.values()
        )
        self._panic[c] = sum(sick) > PANIC * len(self.arms), 0
        return self._panic[c][0]

    def _pool(self, look: Look, last_resort: bool, among: Sequence[Server]) -> list[int]:
        """Indices that the draw is conditioned on: allowed by the rules, then healthy and within budget."""
        allowed: list[int] = []
        fit: list[int] = []
        unhealthy = 0
        arms, risky = self.arms, look.risky
        for server in among:
            standing = self._standing(look, server) if server.needs_check or risky else FIT
            if standing >= SICK:
                allowed.append(server.position)
            if standing == FIT:
                fit.append(server.position)
            elif standing in (CLASS_SICK, SICK):
                unhealthy += 1
        if last_resort or unhealthy > PANIC * len(arms):
            # Something that all servers share is wrong, or it is now or never: health is no guide.
            fit = allowed
        elif self.reports.enabled:
            fit = [i for i in fit if not self._crowded(arms[i])] or fit
        fresh = [i for i in fit if arms[i].entry.server not in look.tried] if look.tried else fit
        if fresh or (look.request.out and not last_resort):
            fit = fresh
        return fit

    def _standing(self, look: Look, server: Server) -> int:
        """How a server stands to a request: forbidden, or sick, busy or fit for it."""
        request, now, out = look.request, self._turn.now, len(server.outstanding)
        if look.risky and not permitted(request, server.entry, self._settings, now):
            return FORBIDDEN
        if server.cold:
            if look.flow is None:
                look.flow = self.capacity.warm_send_rate()
            if not self.capacity.cold_budget_allows(server, request.value.units, look.flow):
                return FORBIDDEN
        health = server.class_health[request.class_index]
        if (health.on_probation or server.restricted_until > now) and not health.accepts_calls(now):
            return CLASS_SICK  # also as a last resort: it would most likely fail, where a refusal is harmless
        if server.ejected or (out and self.silent(server, look.late)):
            return SICK
        if server.on_probation and (out or (self._can_repeat and not request.repeatable())):
            return BUSY  # a returning server gets one call at a time, and none that could be lost for good
        if server.paused_until > now or out + 1 > server.max_outstanding:
            return BUSY
        if out:
            slow, share = (
                self.automaton.averages.values[server.position],
                self.automaton.shares.weight(server.position),
            )
            if slow and out * (1.0 - look.calm / slow) > self._most_waiting:
                # By Little's law this part of its calls waits there; a server crowded for long turns slow
                # for long, and its own average tells so before the mean of all does.
                return BUSY
            share = share * look.mean / slow if slow and slow > look.mean else share
            if out > BUDGET_PLUS + BUDGET_TIMES * share * look.total:
                return BUSY
        return FIT

    def _near(self, fit: list[int]) -> list[int]:
        """The home's servers while two of them are fit, else, where crossing has a price, the zone's."""
        home = [i for i in fit if self._kept(self.arms[i])]
        if len(home) >= LOCAL_LEAST:
            return home
        if not self._settings.cross_zone_price:
            return fit
        own = [i for i in fit if self.arms[i].entry.zone == self._settings.zone]
        return own if len(own) >= LOCAL_LEAST else fit

    def _choose_home(self) -> None:
        """Where many nodes call many servers, each keeps to a home of a few, of every kind in proportion.

        Guards against views too sparse to learn from, and connections that grow with nodes times servers.
        """
        # A power of two: their number, which all homes hang on, must not follow every change of the list.
        nodes = self._settings.balancers
        homes = 1 << max(0, (self._zone // HOME).bit_length() - 1)
        if nodes > CROWD:  # larger homes, where nodes are too few to cover all servers by small ones
            homes = min(homes, 1 << max(0, (nodes // HOME_COVER).bit_length() - 1))
        self._home, self._home_few, self._near_most = None, [], self._zone
        if homes == 1 or (nodes <= CROWD and nodes * HOME < HOME_COVER * len(self.arms)):
            self._rings = None
            return
        if self._rings is None or homes != self._homes:
            self._rings, self._homes = SubsetAssignment(self._settings.ordinal, nodes, homes), homes
            for server in filter(self._is_near, self.arms):
                self._rings.add(server.entry.kind, server.entry.server)
        home = self._rings.assigned()
        self._home, self._near_most = set(home), len(home)
        self._home_few = [self.servers[name] for name in home] if len(home) <= SCAN_MOST else []

    def _kept(self, server: Server) -> bool:
        """Whether the node keeps to this server."""
        return self._is_near(server) if self._home is None else server.entry.server in self._home

    def silent(self, server: Server, late: float) -> bool:
        """Attempts overdue against what peers answer in count before they end."""
        if not server.outstanding:
            return False
        since = max(next(iter(server.outstanding.values())), server.last_heard_at)
        return self._turn.now - since > late / math.sqrt(len(server.outstanding))

    def rest(self, server: Server, span: float) -> None:
        """Skip a server for a while, unless too many of those that would take its calls are out already.

        Where crossing zones has a price those are the own zone's, else its calls went across.
        """
        near = self._near_most if self._near_most >= LOCAL_LEAST else len(self.arms)
        now, whole = self._turn.now, near == len(self.arms)
        out = (s.ejected or s.paused_until > now for s in self.special.values() if whole or self._kept(s))
        if can_eject_another(sum(out), near):
            self.rest_until(server, now + span)

    def rest_until(self, server: Server, until: float) -> None:
        server.paused_until = until
        self.look_again(server, until)

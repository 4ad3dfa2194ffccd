"""Every decision of leadrudder.  The types, events and actions are in leadrudder/interface.py.

The ordinary path is a two-time-scale learning automaton (Automaton below).  What surrounds it only says
which servers may be drawn at all, when, and what follows from an outcome; docs/design/node.md lists those
exceptions and the condition under which each one acts.  Nothing here reads a clock or a global random
source: time comes with each event, randomness from the seed.
"""

from __future__ import annotations

import hashlib
import heapq
import math
import random
from bisect import insort
from collections.abc import Sequence
from dataclasses import dataclass, field

from leadrudder.estimators import Patience, Rate
from leadrudder.interface import (
    NEVER_RAN,
    Action,
    AnswerStarted,
    Arrival,
    AttemptEnded,
    Cancel,
    CloseIdle,
    Effect,
    Event,
    Fail,
    ListKind,
    Log,
    Outcome,
    Probe,
    ProbeEnded,
    Readiness,
    Refuse,
    RepeatGroup,
    RequestClass,
    RequestGone,
    RequestId,
    Send,
    ServerEntry,
    ServerId,
    ServerList,
    SetTimer,
    Settings,
    Subscribe,
    TimerFired,
    UnexpectedEvent,
)
from leadrudder.policy.automaton import Automaton

# Server health, always against peers.
FAIL_STEP = 0.3  # two failures in a row cross FAIL_EJECT, one never does
SPOILT_STEP = 0.14  # any server spoils an answer now and then: four in a row cross it, three never do
FAIL_EJECT = 0.45
FAIL_VS_PEERS = 2.0  # and it must fail at twice the peers' rate, so that a shared cause ejects nobody
FAIL_CHANCE = 0.001  # a run of a class's failures that peers' usual rate brings this often bars nobody
USUAL_STEP = 0.05  # that rate spans about twenty answers of each server
EJECT_MOST = 0.34  # part of the fleet that may be out at once
BAR_MOST = 0.5  # and that may be out for one class: these go on serving the others, so no capacity is lost
PANIC = 0.5  # with more than this part unhealthy, health is ignored: the cause is not the servers
# Time out is told in cold times, as what broke a server mostly starts it anew; but where servers warm up in
# a second, what ails one still lasts for many answers: one that failed a class was tried every second.
EJECT_AIMS = 4.0
EJECT_FIRST = 0.2  # first time out, as a part of that; doubles up to EJECT_LONGEST
EJECT_LONGEST = 1.0
FULL_PAUSE = 0.02  # a server that was full rests for this part of the aim, twice as long each time until it
FULL_DOUBLINGS = 5  # answers again: one that drains turns calls away for seconds before the list tells
LATE_REST = 2.0  # one that gave no other answer during a call that ends late rests this many times as long

# A server that turned a call away gets fewer at once; the ceiling rises by this much for each full turn.
CEILING_DOWN = 0.9
CEILING_UP = 0.25

# A node's calls on one server may exceed its share of all calls out by this much before it is skipped.
BUDGET_TIMES = 1.25
BUDGET_PLUS = 0.5

WAITING_MOST = 4.0  # calls that may wait at a server, over all nodes, by its average against the calmest

# Fleets of more servers than this are not looked through for each request: a draw from all that are open is
# tried so many times, and a whole look is had only as often as it costs so many servers a request.
SCAN_MOST = 32
TRIES = 16
SCAN_EACH = 64

# Admission.
TARGET = 0.4  # latencies are kept below this part of the aim, less for inner tiers
TARGET_TIMES = 1.6  # and this many times the calmest lateness, where the aim leaves little room
LATE_CAP = 1.2  # in aims: what one very late answer counts at most
TIMES_CALM = 2.0  # and below this many times the node's calmest mean latency
TIMES_CALM_LATE = 1.5  # where a node has so few answers that strain is averaged over five
CALM_AFTER = 10  # answers before a mean latency counts as such
CALM_TURNS = 20.0  # and mean latencies since the first call: the first answers come from an empty fleet
CALM_FADE = 0.00003  # by which the calmest mean follows the present one at each answer
STRAIN_STEP = 0.05  # strain is averaged over about twenty answers
STRAIN_AIMS = 2.0  # but where those take longer than this many aims, over as many as come in that time,
STRAIN_MOST = 0.2  # five at the least: at full size twenty answers of one node come after the jam
LIMIT_DOWN = 0.9
LIMIT_DOWN_MOST = 0.5  # a cut is as deep as the strain, down to this
LIMIT_UP = 1.05
GROW_TIMES = 1.65  # calls out for each that the best rate needs at the calmest latency: no growth beyond
LIMIT_DEPTH = 1.2  # margin over the calls out that the best recent rate needs at the calmest latency
PEAK_FADE = 4.0  # the best rate fades over this many aims
LIMIT_START = 6.0  # calls out for each server before anything is known, so that a restart opens no flood
LIMIT_START_UP = 1.2  # and its growth for each mean latency until the first strain
HOLD = 0.1  # part of the aim that a request may wait here for a place: a refused client tries again in time
RECHECK = 0.02  # part of the aim between looks at waiting requests

# Further attempts.
RETRY_EARN = 0.1  # retries and second copies for each arrival
RETRY_MOST = 10.0
LOCAL_LEAST = 2  # fewer servers than this in the zone are no fleet to keep to
HOME = 6  # servers that a node keeps to, up to twice as many: of so few half may fail and leave a choice
HOME_COVER = 3  # nodes that must share each server at the least, for their walks to cancel out


def _beyond_chance(rate: float) -> float:
    """What an average by FAIL_STEP reaches in a run of failures that is no chance at this usual rate."""
    run = math.log(FAIL_CHANCE) / math.log(rate) if rate > 0.0 else 0.0
    return 1.0 - math.pow(1.0 - FAIL_STEP, run)


def _can_spare(out: int, servers: int, most: float = EJECT_MOST) -> bool:
    """Whether one more of these servers may be left out beside those that are."""
    return out + 1 <= max(1.0, most * servers)


# ---------------------------------------------------------------- state of servers and requests


@dataclass(slots=True)
class Attempt:
    """One send: where, when, and how it ended (None while out)."""

    entry: ServerEntry
    sent: float
    units: float = 1.0
    class_index: int = 0
    ended: Outcome | None = None

    def may_have_run(self) -> bool:
        return self.ended is None or self.ended not in NEVER_RAN


@dataclass(slots=True)
class ClassHealth:
    """How a server does with one class of requests."""

    fail: float = 0.0
    usual: float = 0.0  # the same over more answers, spoilt ones among them
    served: bool = False
    barred_until: float = -math.inf
    trial: bool = False  # barred until lately, and not proven since
    strikes: int = 0
    out: int = 0

    def open(self, now: float) -> bool:
        return now >= self.barred_until and not (self.trial and self.out)


@dataclass(slots=True)
class Server:
    """What this node knows of a server."""

    entry: ServerEntry
    classes: list[ClassHealth]
    listed: bool = True
    out: dict[tuple[RequestId, int], float] = field(default_factory=dict)  # oldest first
    heard: float = -math.inf
    fail: float = 0.0
    ejected: bool = False
    trial: bool = False
    strikes: int = 0
    rest_until: float = -math.inf
    turned_away: int = 0  # calls, since it last served one
    ceiling: float = math.inf  # calls of ours that it is known to bear, once it has turned one away
    at: int = -1  # its index among the arms
    special: bool = False  # anything but warm, healthy and idle: it is looked at before it is sent to
    cold: bool = False
    due: float = -math.inf  # until then it rests, is cold or barred
    tokens: float = 0.0  # cold budget, in calls of mean work
    tokens_at: float = 0.0


@dataclass(slots=True)
class Request:
    """A request that this node owes an answer."""

    id: RequestId
    kind: RequestClass
    class_index: int
    arrived: float
    deadline: float
    units: float  # work, as a multiple of the mean request's
    worth: float
    seq: int
    chance: float  # in [0, 1): takes the fraction of the limit of calls out
    attempts: list[Attempt] = field(default_factory=list)
    out: int = 0
    hold_until: float = 0.0
    waiting: bool = False
    started: bool = False

    def repeatable(self) -> bool:
        return self.kind.repeat and self.kind.effect is not Effect.UNSAFE


@dataclass(slots=True)
class _Look:
    """What is the same for all servers while one is drawn for a request."""

    request: Request
    mean: float  # of all averages
    total: int  # calls out
    late: float
    flow: float | None = None  # to a warm server; counted once, and only if a server is cold
    risky: bool = field(init=False)
    tried: set[ServerId] = field(init=False)

    def __post_init__(self) -> None:
        attempts = self.request.attempts
        self.risky = any(a.may_have_run() for a in attempts)
        self.tried = {a.entry.server for a in attempts}


# How a server stands to a request.
FORBIDDEN, CLASS_SICK, SICK, BUSY, FIT = range(5)

# Kinds of internal timers.
_HEDGE, _LIST, _RETURN, _RECHECK = range(4)


class Balancer:
    """The decisions of one node.  Feed it events in order; carry out the actions it returns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.automaton = Automaton(settings.balancers)
        self._rng = random.Random(seed)
        self._servers: dict[ServerId, Server] = {}
        self._arms: list[Server] = []  # in the automaton's order
        self._home: list[bool] = []  # in the same order: whether the node keeps to this server
        self._home_few: list[int] = []  # their indices, where they are few
        self._near_most = 0  # servers that the node keeps to
        self._special: dict[int, Server] = {}  # of the arms; all others are warm, healthy and idle
        self._due: list[tuple[float, int, Server]] = []  # when to look again whether one still is special
        self._cold_arms = 0
        self._turned = 0  # arms that turned a call away, and served none since
        self._ejected = 0
        self._fails = 0.0  # the sum of fail over all arms that are not ejected
        self._class_fails = [0.0] * len(settings.classes)  # the same of each class, over all arms
        self._class_usual = [0.0] * len(settings.classes)
        self._scans = 0.0  # servers that may be looked at beyond those drawn
        self._panic: list[tuple[bool, int]] = [(False, 0)] * len(settings.classes)  # and decisions since
        self._requests: dict[RequestId, Request] = {}
        self._attempts: dict[tuple[RequestId, int], tuple[Server, Attempt]] = {}
        self._queue: list[tuple[float, int, Request]] = []  # by worth, then age
        self._timers: list[tuple[float, int, int, RequestId | ServerId | None]] = []
        self._wake = math.inf
        self._wake_token = 0
        self._seq = 0
        self._actions: list[Action] = []
        self._now = 0.0
        self._aim = min(c.aim_ms for c in settings.classes)
        self._recovery = max(settings.cold_ms or 10_000.0, EJECT_AIMS * self._aim)
        # What all nodes of the front admit is split over them; further in each node stands for itself.
        self._sharers = 1 if settings.stage else settings.balancers
        self._most_waiting = max(1.0, WAITING_MOST / self._sharers)
        self._can_repeat = any(c.effect is not Effect.UNSAFE for c in settings.classes)
        self._patience = Patience()
        self._class_patience = [Patience() for _ in settings.classes]
        self._cost = 0.0  # mean cost hint
        self._sent = Rate(settings.cold_ms or 1000.0)  # units sent to warm servers
        self._limit = 0.0  # set by the first list
        self._strained = False
        self._strain = 0.0
        self._pressure = 0.0  # its part that compares with the aim
        self._lateness = 0.0  # mean latency as a part of the aim
        self._calm_lateness = 1.0
        self._step = STRAIN_STEP
        self._felt_at = 0.0
        self._busy = 0.0  # calls out, in the mean
        self._limit_at = 0.0
        self._level = 0.0  # mean latency, over the span that strain is averaged on
        self._usual = 0.0  # the same over about twenty answers
        self._answers = 0
        self._calm = math.inf
        self._served = Rate(self._aim)
        self._peak = 0.0  # best recent rate of answers a millisecond
        self._peak_at = 0.0
        self._retry_tokens = RETRY_MOST / 2
        self._quota: list[tuple[float, float]] = [
            (t.quota_per_s / settings.balancers, 0.0) for t in settings.tenants
        ]
        self._shedding = False
        self._subscribed = False
        self._asks_failed = 0
        self._ask_at = math.inf  # when the list is asked for next
        self._recheck_at = math.inf

    # ------------------------------------------------------------ events

    def handle(self, event: Event, now: float) -> list[Action]:
        """The actions that follow from one event."""
        self._actions = []
        self._now = now
        while self._due and self._due[0][0] <= now:
            self._note(heapq.heappop(self._due)[2])
        if isinstance(event, AttemptEnded):
            self._on_ended(event)
        elif isinstance(event, Arrival):
            self._on_arrival(event)
        elif isinstance(event, TimerFired):
            self._on_timer(event)
        elif isinstance(event, ServerList):
            self._on_list(event)
        elif isinstance(event, RequestGone):
            self._on_gone(event)
        elif isinstance(event, ProbeEnded):
            self._on_probe(event)
        elif isinstance(event, AnswerStarted):
            self._on_started(event)
        self._drain()
        if self._timers and self._timers[0][0] < self._wake:
            self._wake = self._timers[0][0]
            self._seq += 1
            self._wake_token = self._seq
            self._actions.append(SetTimer(self._seq, self._wake))
        return self._actions

    def _at(self, when: float, kind: int, subject: RequestId | ServerId | None = None) -> None:
        self._seq += 1
        heapq.heappush(self._timers, (when, self._seq, kind, subject))

    def _on_timer(self, event: TimerFired) -> None:
        # One that was overtaken by an earlier one asks for no other: it would live on as a chain of its own.
        if event.token == self._wake_token:
            self._wake = math.inf
        while self._timers and self._timers[0][0] <= self._now:
            _, _, kind, subject = heapq.heappop(self._timers)
            if kind == _RECHECK:
                self._recheck_at = math.inf
                for _, _, waiting in list(self._queue):
                    if waiting.hold_until <= self._now:
                        self._expire(waiting)
            elif kind == _LIST:
                if self._now >= self._ask_at:  # else a later call has been planned instead
                    self._ask_for_list()
            elif kind == _RETURN and isinstance(subject, bytes):
                if subject in self._servers:  # else it has gone meanwhile
                    self._try_return(self._servers[subject])
            elif isinstance(subject, int):
                request = self._requests.get(subject)
                if request is None:
                    continue  # a timer of a request that has finished
                if kind == _HEDGE and request.out and not request.waiting and not request.started:
                    self._hedge(request)

    # ------------------------------------------------------------ the server list

    def _on_list(self, event: ServerList) -> None:
        if event.kind is ListKind.FAILED:
            # Discovery is down or refuses: keep the last list and ask again, later each time.
            self._subscribed = False
            self._asks_failed += 1
            if self._asks_failed == 1:
                self._actions.append(Log("server list lost: a call failed or the subscription broke"))
            self._plan_ask(self._ask_pause())
            return
        if event.kind is ListKind.CACHED:
            if self.settings.ask_for_list:
                # All nodes may start at once: spread their first calls, well inside the time to ask.
                self._plan_ask(self._rng.random() * 0.3 * self.settings.must_ask_ms)
        else:
            self._subscribed = True
            if self._asks_failed:
                self._actions.append(Log(f"server list found again after {self._asks_failed} failed calls"))
                self._asks_failed = 0
        if event.kind is not ListKind.CHANGES:
            named = {entry.server for entry in event.entries}
            for name, server in self._servers.items():
                if name not in named:
                    server.listed = False
        for entry in event.entries:
            self._take_entry(entry)
        # What has gone and holds no call is forgotten: over a long day new ids come without end.
        self._servers = {name: s for name, s in self._servers.items() if s.listed or s.out}
        weights = {
            name: max(s.entry.capacity_hint, 1e-3) if self.settings.capacity_hints else 1.0
            for name, s in self._servers.items()
            if s.listed
        }
        self.automaton.resize(weights, {name: self._servers[name].entry.kind for name in weights})
        for server in self._arms:
            server.at = -1
        self._arms = [self._servers[name] for name in self.automaton.servers]
        self._choose_home()
        self._note_all()
        if not self._strained:
            # All nodes of the tier start alike: each takes its part of what the fleet may hold.
            self._limit = max(self._limit, LIMIT_START * self._part())

    def _take_entry(self, entry: ServerEntry) -> None:
        server = self._servers.get(entry.server)
        ready = entry.readiness is Readiness.READY
        if server is None:
            server = self._servers[entry.server] = Server(
                entry, [ClassHealth() for _ in self.settings.classes], ready
            )
            server.tokens, server.tokens_at = self._rng.random(), self._now
        else:
            if entry.started_ms > server.entry.started_ms:
                # A restarted process: what was held against the old one is void; it is cold again.
                server.fail, server.strikes, server.ejected, server.trial = 0.0, 0, False, False
                server.classes = [ClassHealth(out=health.out) for health in server.classes]
                server.tokens, server.tokens_at = self._rng.random(), self._now
                server.heard = self._now
            server.entry, server.listed = entry, ready

    def _plan_ask(self, pause: float) -> None:
        """One call for the list is planned at a time; a new plan replaces the old.

        Guards against calls that multiply while the list is out of reach: a timer for each failed call
        beside the one that guards the call itself doubled them with every pause, on every node at once.
        """
        self._ask_at = self._now + pause
        self._at(self._ask_at, _LIST)

    def _ask_for_list(self) -> None:
        self._ask_at = math.inf
        if self._subscribed:
            return
        self._actions.append(Subscribe())
        self._plan_ask(0.5 * self.settings.must_ask_ms)  # in case no reply comes

    def _ask_pause(self) -> float:
        longest = 0.5 * self.settings.must_ask_ms
        pause = min(longest, 0.1 * self.settings.must_ask_ms * 2.0 ** min(self._asks_failed - 1, 10))
        return pause * (0.5 + 0.5 * self._rng.random())

    # ------------------------------------------------------------ requests

    def _on_arrival(self, event: Arrival) -> None:
        settings, now = self.settings, self._now
        if not 0 <= event.class_index < len(settings.classes):
            raise UnexpectedEvent(f"request {event.request} is of unknown class {event.class_index}")
        if event.request in self._requests:
            raise UnexpectedEvent(f"request {event.request} arrived twice")
        kind = settings.classes[event.class_index]
        units = 1.0
        if event.cost_hint_ms is not None and event.cost_hint_ms > 0:
            self._cost += (event.cost_hint_ms - self._cost) * (0.02 if self._cost else 1.0)
            units = event.cost_hint_ms / self._cost
        worth = kind.worth if settings.worth_by_work else kind.worth / units
        if not self._within_share(event.tenant):
            worth *= settings.over_share_worth
        self._seq += 1
        request = Request(
            event.request,
            kind,
            event.class_index,
            now,
            now + event.budget_ms,
            units,
            worth,
            self._seq,
            self._rng.random(),
        )
        self._requests[request.id] = request
        self._retry_tokens = min(RETRY_MOST, self._retry_tokens + RETRY_EARN)
        # At the front a request waits a part of its aim; further in, its work so far would be lost.
        hold = HOLD * kind.aim_ms if settings.stage == 0 else 0.5 * event.budget_ms
        self._wait(request, min(hold, 0.5 * event.budget_ms))

    def _within_share(self, tenant: int) -> bool:
        """Token bucket of a second's quota for each tenant, at the tier that clients reach."""
        if self.settings.stage or not 0 <= tenant < len(self._quota):
            return True
        per_s = self.settings.tenants[tenant].quota_per_s / self.settings.balancers
        if per_s <= 0:
            return True
        tokens, at = self._quota[tenant]
        tokens = min(per_s, tokens + (self._now - at) * per_s / 1000.0)
        inside = tokens >= 1.0
        self._quota[tenant] = (tokens - 1.0 if inside else tokens, self._now)
        return inside

    def _wait(self, request: Request, hold: float) -> None:
        request.hold_until = self._now + hold
        request.waiting = True
        insort(self._queue, (-request.worth, request.seq, request))

    def _leave_queue(self, request: Request) -> None:
        if request.waiting:
            request.waiting = False
            self._queue.remove((-request.worth, request.seq, request))

    def _drain(self) -> None:
        """Place what waits, the most worthy first."""
        i = tries = 0
        while i < len(self._queue) and tries < 3:
            request = self._queue[i][2]
            if not self._has_room(request):
                break  # and none of less worth by the luck of its chance
            if self._place(request, False):
                continue
            tries += 1
            i += 1
        if self._queue:
            look = min(self._now + RECHECK * self._aim, min(q[2].hold_until for q in self._queue))
            if look < self._recheck_at:
                self._recheck_at = look
                self._at(look, _RECHECK)

    def _expire(self, request: Request) -> None:
        """A request has waited long enough: a last attempt anywhere the rules allow, or an answer."""
        if self._has_room(request) and self._place(request, True):
            return
        self._finish(request)

    def _has_room(self, request: Request) -> bool:
        """Whether the limit of calls out leaves room for this request.

        Where many nodes share few calls the limit is a few calls or less than one: whole numbers would let
        out far too many or too few over all nodes, so each request carries the chance that settles the
        fraction.
        """
        return len(self._attempts) + request.chance < self._limit

    def _place(self, request: Request, last_resort: bool) -> bool:
        i = self._pick(request, last_resort)
        return i is not None and self._send(request, self._arms[i])

    # ------------------------------------------------------------ which servers may be drawn

    def _note(self, server: Server) -> None:
        """After any change of a server: whether it is special, and whether the automaton may draw it at all.

        What hangs on time alone is looked at again when it is due; what hangs on the state of all (a share of
        the calls out, what is silent) concerns servers with calls out only, and those are special.
        """
        i, now, out = server.at, self._now, len(server.out)
        if i < 0:
            return
        cold = self._is_cold(server)
        if cold != server.cold:
            server.cold = cold
            self._cold_arms += 1 if cold else -1
            if cold:
                self._look_again(server, self._cold_until(server))
        special = bool(out) or server.ejected or server.trial or server.due > now
        if special != server.special:
            server.special = special
            if special:
                self._special[i] = server
            else:
                del self._special[i]
        closed = server.ejected or server.rest_until > now or out + 1 > server.ceiling
        self.automaton.set_open(i, not (closed or (server.trial and out > 0)))

    def _look_again(self, server: Server, when: float) -> None:
        server.due = max(server.due, when)
        self._seq += 1
        heapq.heappush(self._due, (when, self._seq, server))

    def _count(self, server: Server, times: int) -> None:
        """Take a server out of what is summed up over all arms (-1) before it changes, and in again (1)."""
        if server.at < 0:
            return
        self._turned += times * (server.turned_away > 0)
        self._ejected += times * server.ejected
        self._fails += 0.0 if server.ejected else times * server.fail
        for c, health in enumerate(server.classes):
            self._class_fails[c] += times * health.fail
            self._class_usual[c] += times * health.usual

    def _note_all(self) -> None:
        """A new list: all that is kept of the arms together is counted anew."""
        self._special, due, self._due = {}, self._due, []
        self._cold_arms = self._turned = self._ejected = 0
        self._fails = 0.0
        self._class_fails = [0.0] * len(self.settings.classes)
        self._class_usual = [0.0] * len(self.settings.classes)
        for i, server in enumerate(self._arms):
            server.at, server.special, server.cold = i, False, False
            self._count(server, 1)
            self._note(server)
        for when, _, server in due:
            if server.at >= 0:
                self._look_again(server, when)
        self._scans = float(len(self._arms))

    def _pick(self, request: Request, last_resort: bool) -> int | None:
        """The index drawn for a request; None if no server may take it now."""
        look = _Look(request, self.automaton.mean() or 0.0, len(self._attempts), self._patience.late())
        r = len(self._arms)
        if r > SCAN_MOST:
            self._scans = min(self._scans + SCAN_EACH, 2.0 * r)
            panic = not last_resort and self._panics(look)
            if self._home_few and not last_resort:
                pool = self._pool(look, panic, self._home_few)
                if len(pool) >= LOCAL_LEAST:
                    return self.automaton.draw(pool, self._rng.random())
            if not panic and (found := self._try(look, last_resort)) is not None:
                return found
            if self._scans < r:
                return None
            self._scans -= r
        pool = self._near(self._pool(look, last_resort, range(r)))
        return self.automaton.draw(pool, self._rng.random()) if pool else None

    def _try(self, look: _Look, last_resort: bool) -> int | None:
        """Draw from all that are open until one is fit, so many times: the same as a draw from the fit."""
        keep = not self._home_few and self._near_most - len(self._special) >= LOCAL_LEAST
        keep = keep and self._near_most < len(self._arms)
        for _ in range(TRIES):
            i = self.automaton.draw_open(self._rng.random())
            if i is None:
                return None
            server = self._arms[i]
            if (keep and not self._home[i]) or server.entry.server in look.tried:
                continue
            if not server.special and not look.risky:
                return i
            if self._standing(look, server) >= (SICK if last_resort else FIT):
                return i
        return None

    def _panics(self, look: _Look) -> bool:
        """Whether too many are unhealthy for health to be a guide; counted as seldom as it costs little."""
        c = look.request.class_index
        panic, since = self._panic[c]
        if since * SCAN_EACH < len(self._special):
            self._panic[c] = panic, since + 1
            return panic
        late, now = look.late, self._now
        unhealthy = sum(
            1
            for s in self._special.values()
            if s.ejected or not s.classes[c].open(now) or self._silent(s, late)
        )
        self._panic[c] = unhealthy > PANIC * len(self._arms), 0
        return self._panic[c][0]

    def _pool(self, look: _Look, last_resort: bool, among: Sequence[int]) -> list[int]:
        """Indices that the draw is conditioned on: allowed by the rules, then healthy and within budget."""
        allowed: list[int] = []
        fit: list[int] = []
        unhealthy = 0
        arms, risky = self._arms, look.risky
        for i in among:
            server = arms[i]
            if not (server.special or risky):
                allowed.append(i)
                fit.append(i)
                continue
            standing = self._standing(look, server)
            if standing >= SICK:
                allowed.append(i)
                if standing == FIT:
                    fit.append(i)
            if standing in (CLASS_SICK, SICK):
                unhealthy += 1
        if last_resort or unhealthy > PANIC * len(arms):
            # Something that all servers share is wrong, or it is now or never: health is no guide.
            fit = allowed
        fresh = [i for i in fit if arms[i].entry.server not in look.tried] if look.tried else fit
        if fresh or (look.request.out and not last_resort):
            fit = fresh
        return fit

    def _standing(self, look: _Look, server: Server) -> int:
        """How a server stands to a request: forbidden, or sick, busy or fit for it."""
        request, now = look.request, self._now
        if not self._permitted(request, server):
            return FORBIDDEN
        if server.cold and self._is_cold(server):
            if look.flow is None:
                look.flow = self._warm_flow()
            if not self._cold_allows(server, request.units, look.flow):
                return FORBIDDEN
        if not server.classes[request.class_index].open(now):
            return CLASS_SICK  # also as a last resort: it would most likely fail, where a refusal is harmless
        if server.ejected or self._silent(server, look.late):
            return SICK
        out = len(server.out)
        if server.trial and (out or (self._can_repeat and not request.repeatable())):
            return BUSY  # a returning server gets one call at a time, and none that could be lost for good
        if server.rest_until > now or out + 1 > server.ceiling:
            return BUSY
        slow = self.automaton.average[server.at]
        if slow and out * (1.0 - self._calm / slow) > self._most_waiting:
            # By Little's law this part of its calls waits there; a server crowded for long turns slow
            # for long, and its own average tells so before the mean of all does.
            return BUSY
        if out:
            share = self.automaton.share(server.at)
            share = share * look.mean / slow if slow and slow > look.mean else share
            if out > BUDGET_PLUS + BUDGET_TIMES * share * look.total:
                return BUSY
        return FIT

    def _near(self, fit: list[int]) -> list[int]:
        """The home's servers while two of them are fit, else, where crossing has a price, the zone's."""
        home = [i for i in fit if self._home[i]]
        if len(home) >= LOCAL_LEAST:
            return home
        if not self.settings.cross_zone_price:
            return fit
        own = [i for i in fit if self._arms[i].entry.zone == self.settings.zone]
        return own if len(own) >= LOCAL_LEAST else fit

    def _choose_home(self) -> None:
        """Where many nodes call many servers, each keeps to a home of a few, of every kind in proportion.

        Guards against views so sparse that no node meets a server again within the day's troubles, and
        against connections that grow with nodes times servers.  Nodes are dealt to evenly spaced places of a
        ring, on which the servers lie by hash; every turn of the dealing has a ring of its own, so that all
        servers are met alike, and a change of the list moves few homes.
        """
        settings = self.settings
        near = [s for s in self._arms if not settings.cross_zone_price or s.entry.zone == settings.zone]
        # A power of two: their number, which all homes hang on, must not follow every change of the list.
        homes = 1 << max(0, (len(near) // HOME).bit_length() - 1)
        chosen = {s.entry.server for s in near}
        if homes > 1 and settings.balancers * HOME >= HOME_COVER * len(self._arms):
            turn, place = divmod(settings.ordinal, homes)
            start = place / homes
            rings: dict[int, list[tuple[float, ServerId]]] = {}
            for server in near:
                name = server.entry.server
                digest = hashlib.blake2b(name + turn.to_bytes(4, "big"), digest_size=6).digest()
                # From this node's place onwards, in parts of a whole turn.
                ahead = (int.from_bytes(digest, "big") / 2**48 - start) % 1.0
                rings.setdefault(server.entry.kind, []).append((ahead, name))
            chosen = set()
            for ring in rings.values():
                chosen.update(name for _, name in sorted(ring)[: math.ceil(len(ring) / homes)])
        self._home = [s.entry.server in chosen for s in self._arms]
        few = [i for i, own in enumerate(self._home) if own]
        self._near_most = len(few)
        self._home_few = few if len(few) <= SCAN_MOST else []

    def _silent(self, server: Server, late: float) -> bool:
        """Attempts overdue against what peers answer in count before they end."""
        if not server.out:
            return False
        since = max(next(iter(server.out.values())), server.heard)
        return self._now - since > late / math.sqrt(len(server.out))

    def _permitted(self, request: Request, server: Server) -> bool:
        """Rules 2 and 3: whether a further attempt of this request may go to this server at all."""
        if not server.listed:
            return False
        risky = [a for a in request.attempts if a.may_have_run()]
        if not risky:
            return True
        kind = request.kind
        if not kind.repeat or (request.out and not self.settings.may_duplicate):
            return False
        if kind.effect is Effect.SAFE:
            return True
        if (
            kind.effect is Effect.UNSAFE
            or self._now - risky[0].sent >= kind.window_ms - self.settings.tick_ms
        ):
            return False
        first = risky[0].entry
        if kind.group is RepeatGroup.ZONE:
            return server.entry.zone == first.zone
        return kind.group is RepeatGroup.ALL or server.entry.cell == first.cell

    def _is_cold(self, server: Server) -> bool:
        return self._now < self._cold_until(server)

    def _cold_until(self, server: Server) -> float:
        start = server.entry.started_ms
        return start + self.settings.cold_ms if start > 0 else -math.inf

    def _warm_flow(self) -> float:
        """Units a millisecond that this node sends a warm server; over all servers while none is warm."""
        warm = len(self._arms) - self._cold_arms
        return self._sent.per_ms(self._now) / (warm or len(self._arms))

    def _cold_allows(self, server: Server, units: float, flow: float) -> bool:
        """Rule 4: a cold server gets the rising part of what this node sends a warm one.

        Every node does so alone; together they then send it its part of what warm servers bear, which
        leaves the multiple that the rule allows as a margin for chance and for heavy requests.
        """
        low, age = self.settings.cold_start_share, self._now - server.entry.started_ms
        ramp = low + (1.0 - low) * max(age, 0.0) / self.settings.cold_ms
        most = max(1.0, ramp * flow * self.settings.fall_window_ms)
        server.tokens = min(most, server.tokens + ramp * flow * (self._now - server.tokens_at))
        server.tokens_at = self._now
        return server.tokens >= min(units, most)

    # ------------------------------------------------------------ the one path that sends

    def _send(self, request: Request, server: Server) -> bool:
        """Send an attempt.  Rules 1 to 3 are enforced here; _cold_allows has kept rule 4."""
        now, settings = self._now, self.settings
        left = request.deadline - now
        if (
            self._requests.get(request.id) is not request
            or request.started
            or left <= settings.tick_ms
            or len(request.attempts) >= settings.max_attempts
            or not self._permitted(request, server)
        ):
            return False
        self._leave_queue(request)
        number = len(request.attempts)
        attempt = Attempt(server.entry, now, request.units, request.class_index)
        server.classes[request.class_index].out += 1
        request.attempts.append(attempt)
        request.out += 1
        server.out[request.id, number] = now
        self._attempts[request.id, number] = (server, attempt)
        server.tokens -= request.units
        self._note(server)
        self._sent.add(request.units, now)
        self._watch(request)
        if self._doubts(request, server):
            self._actions.append(CloseIdle(server.entry.server))
        self._actions.append(Send(request.id, server.entry.server))
        return True

    def _doubts(self, request: Request, server: Server) -> bool:
        """Whether a request that may not be repeated goes out on a new connection.

        It is not entrusted to an idle one of a server unheard of for longer than answers take.  A machine
        that has vanished leaves its connections open and swallows what is written to them: every node of a
        tier lost a booking to find that out, and the booking held a place in each tier before it until its
        deadline.  A new connection that does not come up proves that nothing ran.  That covers idle
        connections which a server or the network has dropped, too.  It could hurt where handshakes cost as
        much as the work or the tables of connections are full: not while latencies are past their part of
        the aim (simulated overload 0.87 -> 0.72 without this bound).
        """
        unheard = self._now - server.heard > self._patience.mean
        return unheard and self._pressure < 1.0 and not request.repeatable()

    def _watch(self, request: Request) -> None:
        """Look again when the attempt is late, if another could still be answered."""
        patience = self._class_patience[request.class_index]
        look = self._now + patience.late()
        if (
            request.repeatable()
            and len(request.attempts) < self.settings.max_attempts
            and look + patience.mean < request.deadline
        ):
            self._at(look, _HEDGE, request.id)

    def _hedge(self, request: Request) -> None:
        """A late attempt gets a second copy, or is withdrawn and repeated where copies are forbidden.

        Only if its server has fallen silent: a server that goes on answering others is merely busy with
        long work, and giving that up would waste it and feed the next queue (seen as 14% of attempts timed
        out on a quiet day).  And only while the budget lasts and latencies keep within their part of the aim:
        in an inner tier a few answers of twice the calmest mean are no jam, and a call to a vanished machine
        waited there for its deadline.  What does not hold now may hold at the next look.
        """
        late = self._class_patience[request.class_index].late()
        out = [self._servers[a.entry.server] for a in request.attempts if a.ended is None]
        if all(self._silent(s, late) for s in out) and self._retry_tokens >= 1.0 and self._pressure < 1.0:
            if not self.settings.may_duplicate:
                self._abandon(request, None)
                return
            if self._place(request, False):
                self._retry_tokens -= 1.0
                return
        self._watch(request)

    # ------------------------------------------------------------ the one path that answers

    def _finish(self, request: Request) -> None:
        """The final answer to a request that is not served: a refusal where rule 2 allows it."""
        if self._requests.pop(request.id, None) is None:
            return
        self._leave_queue(request)
        risky = any(a.may_have_run() for a in request.attempts)
        kind = request.kind
        harmless = kind.effect is Effect.SAFE or (
            kind.effect is Effect.KEYED and kind.group is RepeatGroup.ALL
        )
        if risky and not harmless:
            self._actions.append(Fail(request.id))
        else:
            wait = (
                min(0.2 * kind.aim_ms, self.settings.max_retry_after_ms) if self.settings.retry_after else 0.0
            )
            self._actions.append(Refuse(request.id, wait))
        self._abandon(request, None)

    def _abandon(self, request: Request, keep: int | None) -> None:
        """Withdraw attempts that nobody waits for any more."""
        if not self.settings.may_cancel or not request.out:
            return
        for number, attempt in enumerate(request.attempts):
            if attempt.ended is None and number != keep:
                self._actions.append(Cancel(request.id, number))

    # ------------------------------------------------------------ outcomes

    def _on_ended(self, event: AttemptEnded) -> None:
        key = (event.request, event.attempt)
        found = self._attempts.pop(key, None)
        if found is None:
            raise UnexpectedEvent(f"attempt {event.attempt} of request {event.request} was not out")
        server, attempt = found
        attempt.ended = event.outcome
        del server.out[key]
        server.classes[attempt.class_index].out -= 1
        request = self._requests.get(event.request)
        self._count(server, -1)
        self._judge(server, attempt, event, request)
        self._count(server, 1)
        self._note(server)
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
        left = request.deadline - self._now
        risky = any(a.may_have_run() for a in request.attempts)
        mean = self._class_patience[request.class_index].mean
        costs = risky or outcome is Outcome.FULL  # an attempt that no server saw costs nothing to repeat
        if (
            outcome is not Outcome.REJECTED
            and len(request.attempts) < self.settings.max_attempts
            and left > max(mean, 2 * self.settings.tick_ms)
            and (not costs or self._retry_tokens >= 1.0)
            and self._may_go_on(request)
        ):
            if costs:
                self._retry_tokens -= 1.0
            self._wait(request, min(HOLD * request.kind.aim_ms, 0.5 * left))
        else:
            self._finish(request)

    def _may_go_on(self, request: Request) -> bool:
        """Whether the rules leave any server for a further attempt; all are alike where no group parts them."""
        kind = request.kind
        parted = kind.effect is Effect.KEYED and kind.group is not RepeatGroup.ALL
        return any(self._permitted(request, s) for s in (self._arms if parted else self._arms[:1]))

    def _judge(self, server: Server, attempt: Attempt, event: AttemptEnded, request: Request | None) -> None:
        """What an outcome says of its server, its class and the load."""
        outcome, elapsed, name = event.outcome, event.elapsed_ms, server.entry.server
        if elapsed > self._patience.late() and self._now - server.heard >= elapsed:
            # All that is known of it is this one late outcome: where calls are few, an average of
            # seven spans most of a minute, and what crowded or stopped the server is still there.
            self._rest(server, LATE_REST * elapsed)
        current = attempt.entry.started_ms == server.entry.started_ms
        if outcome is Outcome.OK:
            server.heard = self._now
            server.turned_away = 0
            server.ceiling += CEILING_UP / server.ceiling
            self._patience.observe(elapsed)
            aim = self._aim
            if request is not None:
                self._class_patience[request.class_index].observe(elapsed)
                aim = request.kind.aim_ms
            # Heavy work says little of its server or the load: what the cost hint foretold is half taken out.
            usual = elapsed / (0.5 + 0.5 * attempt.units)
            self._calm_down(usual)
            self._feel(elapsed / aim)
            self.automaton.learn(name, usual)
            self._succeeded(server, server.classes[attempt.class_index])
        elif outcome is Outcome.FULL or (
            outcome is Outcome.CONNECT_FAILED and self._now - server.heard < self._patience.late()
        ):
            # A server that answers others but takes no further call, or no further connection, is full, not
            # dead.  Without a ceiling thousands of calls a second bounced off such servers, at the cost of
            # a handshake each, and the ejection of full servers pushed over the rest.
            server.ceiling = max(1.0, CEILING_DOWN * min(server.ceiling, len(server.out)))
            pause = FULL_PAUSE * 2.0 ** min(server.turned_away, FULL_DOUBLINGS)
            self._rest_until(server, self._now + pause * self._aim)
            server.turned_away += 1
            self.automaton.charge(name, elapsed)
            # It is the fleet that is strained only when more turn calls away than could be left out. Servers
            # that drain in turn were taken for strain: the front cut its limit and refused half for 3 s.
            if self._turned + 1 > EJECT_MOST * len(self._arms):
                self._feel(1.0)
        elif outcome in (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.SPOILT):
            if outcome in (Outcome.ERROR, Outcome.SPOILT):
                server.heard = self._now
            self.automaton.charge(name, elapsed)
            health = server.classes[attempt.class_index]
            health.usual += USUAL_STEP * (1.0 - health.usual)
            if current and not (outcome is Outcome.ERROR and self._class_failed(server, attempt.class_index)):
                self._failed(server, outcome)
        elif outcome is Outcome.REJECTED:
            server.heard = self._now  # the request is at fault, and neither the server nor the load
        elif outcome in (Outcome.TIMEOUT, Outcome.CANCELLED):
            # What was given up took at least this long: leaving it out would shorten patience for the next.
            if request is None:
                return  # withdrawn because another copy was quicker
            self._patience.observe(elapsed)
            self._class_patience[request.class_index].observe(elapsed)
            self._feel(elapsed / request.kind.aim_ms)
            self.automaton.charge(name, elapsed)
            if current and elapsed >= self._patience.late():
                self._failed(server, outcome)

    def _rest(self, server: Server, span: float) -> None:
        """Skip a server for a while, unless too many of those that would take its calls are out already.

        Where crossing zones has a price those are the own zone's: resting by the whole fleet's number sent
        a zone's calls across.
        """
        near = self._near_most if self._near_most >= LOCAL_LEAST else len(self._arms)
        out = sum(
            1
            for i, s in self._special.items()
            if (s.ejected or s.rest_until > self._now) and (near == len(self._arms) or self._home[i])
        )
        if _can_spare(out, near):
            self._rest_until(server, self._now + span)

    def _rest_until(self, server: Server, until: float) -> None:
        server.rest_until = until
        self._look_again(server, until)

    def _class_failed(self, server: Server, class_index: int) -> bool:
        """An error in one class, at a server that serves others: it is held against that class alone.

        Guards against a server that fails one class and is tried again with another: it came back after each
        good trial, and every time the class that it fails paid for that with two more requests.

        An error may come from a tier behind.  Where peers' answers fail now and then it takes a longer run:
        with one booking in fifteen lost to answers spoilt further in, two errors in a row barred healthy
        servers three times in 25 s, two of five at once.  It covers whatever fails behind all servers alike;
        one that does fail while its peers do, too, is found an error or two later.
        """
        health = server.classes[class_index]
        if self._now < health.barred_until:
            return True  # sent before: the class pays for that already
        health.fail += FAIL_STEP * (1.0 - health.fail)
        if not any(h.served and h.fail < FAIL_STEP for h in server.classes if h is not health):
            return False
        peers = len(self._arms) - (server.at >= 0)  # it is not in the sums itself
        others = (s.classes[class_index] for s in self._special.values() if s is not server)
        shut = [h for h in others if not h.open(self._now)]
        open_peers = peers - len(shut)
        norm = (self._class_fails[class_index] - sum(h.fail for h in shut)) / peers if peers else 1.0
        usual = self._class_usual[class_index] - sum(h.usual for h in shut)
        usual = max(0.0, usual / open_peers) if open_peers else 0.0
        if health.trial or (
            health.fail >= max(FAIL_EJECT, _beyond_chance(usual))
            and health.fail >= FAIL_VS_PEERS * norm
            and _can_spare(len(shut), len(self._arms), BAR_MOST)
        ):
            kind = self.settings.classes[class_index]
            # A trial of what may not be repeated is a request lost if it fails: those are far between.
            unsafe = kind.effect is Effect.UNSAFE
            part = (
                EJECT_LONGEST if unsafe else min(EJECT_LONGEST, EJECT_FIRST * 2.0 ** min(health.strikes, 10))
            )
            pause = part * self._recovery * (0.75 + 0.5 * self._rng.random())
            text = f"server {server.entry.server.hex()} gets no {kind.name} for {pause:.0f} ms"
            self._actions.append(Log(f"{text}, fail {health.fail:.2f} against {norm:.2f} of its peers"))
            health.barred_until, health.trial, health.fail = self._now + pause, True, FAIL_STEP
            health.strikes += 1
            self._look_again(server, health.barred_until)
        return True

    def _succeeded(self, server: Server, health: ClassHealth) -> None:
        health.served, health.trial = True, False
        health.fail -= FAIL_STEP * health.fail
        health.usual -= USUAL_STEP * health.usual
        if health.fail < 0.05:
            health.strikes = 0
        server.fail -= FAIL_STEP * server.fail
        if server.trial:
            server.trial = False
            self._actions.append(Log(f"server {server.entry.server.hex()} returns after a good trial"))
        elif not server.ejected and server.fail < 0.05:
            server.strikes = 0

    def _failed(self, server: Server, outcome: Outcome) -> None:
        """Outlier ejection: against peers, at most a part of the fleet, longer each time."""
        step = SPOILT_STEP if outcome is Outcome.SPOILT else FAIL_STEP
        server.fail += step * (1.0 - server.fail)
        if server.ejected:
            return
        peers = len(self._arms) - (server.at >= 0)  # it is not in the sums itself
        norm = self._fails / peers if peers else 1.0
        if server.trial or (
            server.fail >= FAIL_EJECT
            and server.fail >= FAIL_VS_PEERS * norm
            and _can_spare(self._ejected, len(self._arms))
        ):
            server.ejected, server.trial = True, False
            text = f"server {server.entry.server.hex()} ejected: {outcome.value}"
            self._actions.append(Log(f"{text}, fail {server.fail:.2f} against {norm:.2f} of its peers"))
            # Idle connections may lead to a dead process; a fresh one proves by failing that nothing ran.
            self._actions.append(CloseIdle(server.entry.server))
            self._schedule_return(server)

    def _schedule_return(self, server: Server) -> None:
        pause = self._recovery * min(EJECT_LONGEST, EJECT_FIRST * 2.0 ** min(server.strikes, 10))
        server.strikes += 1
        self._at(self._now + pause * (0.75 + 0.5 * self._rng.random()), _RETURN, server.entry.server)

    def _try_return(self, server: Server) -> None:
        if not server.ejected:
            return
        if self.settings.may_probe and server.listed:
            self._actions.append(Probe(server.entry.server))
        else:
            self._admit_trial(server)

    def _admit_trial(self, server: Server) -> None:
        self._count(server, -1)
        server.ejected, server.trial, server.fail = False, True, FAIL_STEP
        self._count(server, 1)
        self._note(server)

    def _on_probe(self, event: ProbeEnded) -> None:
        server = self._servers.get(event.server)
        if server is None or not server.ejected:
            return  # news of a server that has changed meanwhile
        if event.outcome is Outcome.OK:
            self._admit_trial(server)
        else:
            server.strikes = min(server.strikes, 1)  # probes are cheap: keep asking at a steady pace
            self._schedule_return(server)

    def _on_started(self, event: AnswerStarted) -> None:
        found = self._attempts.get((event.request, event.attempt))
        if found is None:
            raise UnexpectedEvent(f"attempt {event.attempt} of request {event.request} was not out")
        found[0].heard = self._now
        request = self._requests.get(event.request)
        if request is not None:
            request.started = True
            self._leave_queue(request)
            self._abandon(request, event.attempt)

    def _on_gone(self, event: RequestGone) -> None:
        request = self._requests.pop(event.request, None)
        if request is not None:  # else it finished a moment ago
            self._leave_queue(request)
            self._abandon(request, None)

    # ------------------------------------------------------------ admission

    def _calm_known(self) -> bool:
        """The first answers to come back are the quick ones: a mean of those alone is too calm for long."""
        start = self._sent.start
        if start is None or self._answers < CALM_AFTER:
            return False
        return self._now - start >= CALM_TURNS * self._level

    def _part(self) -> float:
        """This node's part of the fleet, in servers: at the front, where all that comes in is admitted.

        Further in a node limits itself by the whole fleet: what it sends was admitted at the front, and a
        call held back there costs all the work done for it so far.
        """
        return max(1.0, len(self._arms) / self._sharers)

    def _calm_down(self, latency: float) -> None:
        """Remember the mean latency of the calmest time: what the service takes when nothing queues."""
        self._answers += 1
        self._level += max(self._step, 1.0 / self._answers) * (latency - self._level)
        # The least of a short average lies far below any mean: what is calm is judged by a longer one.
        self._usual += max(STRAIN_STEP, 1.0 / self._answers) * (latency - self._usual)
        self._served.add(1.0, self._now)
        fade = math.exp(-(self._now - self._peak_at) / (PEAK_FADE * self._aim))
        self._peak_at = self._now
        if self._calm_known():
            # A count of n is known to within its root: the best of few answers is mostly luck.
            rate = self._served.per_ms(self._now)
            self._peak = max(self._peak * fade, rate - math.sqrt(rate / self._served.span))
            self._calm = min(self._calm, self._usual)
            self._calm += CALM_FADE * (self._usual - self._calm)
            self._calm_lateness = min(self._calm_lateness, self._lateness)
            self._calm_lateness += CALM_FADE * (self._lateness - self._calm_lateness)

    def _feel(self, latency_share: float) -> None:
        """Follow the strain (latency against its target) and set the limit of calls out by it."""
        settings, now = self.settings, self._now
        part = (now - self._felt_at) / (STRAIN_AIMS * self._aim)
        self._felt_at = now
        self._step += STRAIN_MOST * (min(max(part, STRAIN_STEP), STRAIN_MOST) - self._step)
        self._lateness += self._step * (min(latency_share, LATE_CAP) - self._lateness)
        self._busy += self._step * (len(self._attempts) - self._busy)
        # Few answers tell late: by then a jam is under way, so less than that is called strain.
        lag = (self._step - STRAIN_STEP) / (STRAIN_MOST - STRAIN_STEP)
        calm = (TIMES_CALM + lag * (TIMES_CALM_LATE - TIMES_CALM)) * self._calm
        # Where even the calmest latencies are near the target, holding to it would shed without end.
        target = TARGET * (settings.stages - settings.stage) / settings.stages
        target = max(target, TARGET_TIMES * self._calm_lateness) if self._calm < math.inf else target
        self._pressure = self._lateness / target
        self._strain = max(self._pressure, self._level / calm if calm > 0 else 0.0)
        # Not by the mean latency alone: in a jam that grows to the callers' deadline, and cuts that waited
        # for it came every five seconds, while four hundred nodes went on feeding queues of dead calls.
        if now - self._limit_at < min(self._patience.mean, TIMES_CALM * self._calm, self._aim):
            return
        self._limit_at = now
        out = len(self._attempts) + 1
        # A server holds its slot while it waits for the tiers behind it: with a call for each of those its
        # core is just kept busy.  At one call a front that had taken a lucky start for calm shed 40% all day.
        least = (settings.stages - settings.stage) * len(self._arms) / self._sharers
        if self._strain > 1.0:
            self._strained = True
            # Cut at most to what was in flight when as much was answered without a queue, times a margin:
            # repeated blind cuts shed at random, and what they let back in jams the servers again.
            # The best rate fades with time, not with answers: in a jam none come.
            fade = math.exp(-(now - self._peak_at) / (PEAK_FADE * self._aim))
            enough = LIMIT_DEPTH * self._peak * fade * min(self._calm, self._level)
            down = min(LIMIT_DOWN, max(LIMIT_DOWN_MOST, 1.0 / self._strain))
            # The mean of what is out, and a deviation more: at one moment few calls may be far fewer.
            reach = max(1.0, self._busy + math.sqrt(self._busy))
            # While the aim is far, to no less than a node starts with: latencies are twice the calmest in a
            # burst of heavy work, and lower limits halved the rate of answers at a third of the aim, and
            # refused the rest.  It could hurt where servers bear far fewer calls than LIMIT_START.
            floor = max(least, LIMIT_START * self._part()) if self._pressure < 1.0 else least
            self._limit = max(floor, enough, min(self._limit, reach) * down)
        elif out >= 0.8 * self._limit and self._calm_known():  # no growth before calm is known
            grown = self._limit * (LIMIT_UP if self._strained else LIMIT_START_UP) + 1.0
            # By Little's law more calls out than this, at the best rate seen, mean a queue: latencies tell
            # so only after they have been suffered, and by then the limit had doubled once too often.
            enough = max(GROW_TIMES * self._calm * self._peak, LIMIT_START * least)
            enough += math.sqrt(enough)
            self._limit = max(self._limit, min(grown, enough))
        shedding = self._strain > 1.0
        if shedding != self._shedding:
            self._shedding = shedding
            word = "on" if shedding else "off"
            text = f"admission limit {word}: {self._limit:.1f} calls, strain {self._strain:.2f}"
            text += f", mean latency {self._level:.0f} ms, calmest {self._calm:.0f} ms"
            self._actions.append(Log(text))

"""Large fleets: the automaton against a plain one, incremental state against a full scan, and hard cases."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from leadrudder import Balancer
from leadrudder.interface import (
    Action,
    Arrival,
    AttemptEnded,
    Effect,
    ListKind,
    Outcome,
    Readiness,
    RepeatGroup,
    RequestClass,
    Send,
    ServerEntry,
    ServerList,
    Settings,
)
from leadrudder.policy.automaton import FLOOR_SHARE, MAX_KINDS, Automaton
from leadrudder.policy.placement import MAX_DRAWS, MAX_SCANNED_SERVERS, SCAN_CREDIT_PER_REQUEST, Placement
from leadrudder.selection_context import DrawContext
from leadrudder.state.capacity import WARM_UP_STEPS
from leadrudder.state.timers import MIN_PRUNE_SIZE
from tests.checker import Surrounding
from tests.plain_automaton import PlainAutomaton

NAMES = [i.to_bytes(3, "big") for i in range(200)]
SAFE = RequestClass("r", 1000, 3000)
KEYED = RequestClass("k", 1000, 3000, effect=Effect.KEYED, group=RepeatGroup.ZONE, window_ms=5000.0)
UNSAFE = RequestClass("w", 1000, 3000, worth=3.0, effect=Effect.UNSAFE)

COURSES = st.lists(
    st.one_of(
        st.tuples(st.just("learn"), st.integers(0, 199), st.floats(1.0, 1000.0)),
        st.tuples(st.just("charge"), st.integers(0, 199), st.floats(0.0, 1000.0)),
        st.tuples(st.just("draw"), st.just(0), st.floats(0.0, 0.9999)),
        st.tuples(st.just("resize"), st.integers(1, 200), st.floats(0.1, 8.0)),
    ),
    max_size=80,
)


# ---------------------------------------------------------------- the automaton


@settings(max_examples=150)
@given(COURSES, st.integers(1, 4), st.sampled_from([1, 30, 400]))
def test_the_same_course_gives_the_plain_automatons_shares_and_draws(
    course: list[tuple[str, int, float]], kinds: int, nodes: int
) -> None:
    tree = Automaton(nodes)
    plain = PlainAutomaton(tree)
    rng = random.Random(kinds)

    def resize(n: int, x: float) -> None:
        names = rng.sample(NAMES, n)
        weights = {name: x if name[-1] % 2 else 1.0 for name in names}
        of = {name: name[-1] % kinds for name in names}
        tree.resize(weights, of)
        plain.resize(weights, of)

    resize(20, 1.0)

    def at(n: int) -> int:
        return tree.servers.index(NAMES[n]) if NAMES[n] in tree.servers else -1

    for what, n, x in course:
        if what == "resize":
            resize(n, x)
        elif what == "draw":
            drawn = tree.shares.draw_open(x)
            assert drawn == plain.draw(plain.order(), x)
        elif what == "learn":
            assert tree.learn(at(n), x) == plain.learn(NAMES[n], x)
        else:
            tree.charge(at(n), x)
            plain.charge(NAMES[n], x)
    assert tree.servers == plain.servers
    assert max(abs(a - b) for a, b in zip(tree.p, plain.p, strict=True)) < 1e-9
    assert tree.mean() == pytest.approx(plain.mean())


def test_a_long_sequence_near_the_floor_keeps_the_sum_and_the_floor() -> None:
    """Few servers get nearly all payoffs, so that the shares of the others consist of a factor and the floor.

    300,000 calls here; python -m bench.decision_cost --drift runs any number.
    """
    a = Automaton(nodes=50)
    a.resize(dict.fromkeys(NAMES, 1.0), {name: name[-1] % 2 for name in NAMES})
    rng = random.Random(3)
    for i in range(len(NAMES)):
        a.learn(i, 100.0)
    payoffs = sum(
        a.learn(rng.randrange(6) if rng.random() < 0.99 else rng.randrange(200), 1.0 + rng.random())
        for _ in range(300_000)
    )
    assert payoffs > 30_000
    assert abs(sum(a.p) - 1.0) < 1e-9
    assert min(a.p) >= FLOOR_SHARE / 200 * (1 - 1e-9)


def test_a_list_of_very_many_kinds_costs_no_more_than_some() -> None:
    a = Automaton(nodes=30)
    a.resize(dict.fromkeys(NAMES, 1.0), {name: i for i, name in enumerate(NAMES)})
    assert len(a.shares.groups) == MAX_KINDS
    a.learn(0, 100.0)
    assert a.learn(199, 10.0)
    assert sum(a.p) == pytest.approx(1.0) and min(a.p) >= FLOOR_SHARE / 200 * (1 - 1e-9)


# ---------------------------------------------------------------- incremental state


def _scan(placement: Placement, balancer: Balancer) -> None:
    """Asserts that the incremental state equals the one computed from every server."""
    now, health = balancer._turn.now, balancer._health
    arms = placement.arms
    assert [s.position for s in arms] == list(range(len(arms)))
    for i, s in enumerate(arms):
        cold = s.entry.started_ms > 0 and now - s.entry.started_ms < balancer.settings.cold_ms
        barred = any(h.blocked_until > now or (h.on_probation and h.outstanding) for h in s.class_health)
        plain = not (s.outstanding or s.ejected or s.on_probation or s.paused_until > now or cold or barred)
        assert plain or s.needs_check, s
        assert (s.entry.server in placement.special) == s.needs_check and s.cold == cold
        closed = (
            s.ejected
            or s.paused_until > now
            or len(s.outstanding) + 1 > s.max_outstanding
            or bool(s.on_probation and s.outstanding)
        )
        group, at = placement.automaton.shares._group_of[i], placement.automaton.shares._index_in_group[i]
        assert placement.automaton.shares.groups[group].closed[at] == closed, s
    capacity = placement.capacity
    assert (capacity._servers, capacity._cold_servers) == (len(arms), sum(s.cold for s in arms))
    assert capacity._total == pytest.approx(sum(s.counted_capacity for s in arms), abs=1e-9)
    for s in arms:
        least = max(capacity.slow_start_factor(s) - 1.0 / WARM_UP_STEPS, balancer.settings.cold_start_share)
        assert (
            (least - 1e-9 <= s.counted_capacity <= capacity.slow_start_factor(s) + 1e-9)
            if not s.ejected
            else s.counted_capacity == 0.0
        ), s
    assert health._ejected == sum(s.ejected for s in arms)
    assert health._full_servers == sum(s.consecutive_refusals > 0 for s in arms)
    assert health._failure_sum == pytest.approx(sum(s.failure_rate for s in arms if not s.ejected), abs=1e-9)
    for c in range(len(balancer.settings.classes)):
        assert health._class_failure_sums[c] == pytest.approx(
            sum(s.class_health[c].failure_rate for s in arms), abs=1e-9
        )
        assert health._class_long_term_sums[c] == pytest.approx(
            sum(s.class_health[c].long_term_failure_rate for s in arms), abs=1e-9
        )


EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("arrive"), st.integers(0, 2), st.integers(1, 6)),
        st.tuples(
            st.just("end"), st.integers(0, 50), st.sampled_from(sorted(Outcome, key=lambda o: o.value))
        ),
        st.tuples(st.just("step"), st.integers(1, 120), st.just(0)),
        st.tuples(st.just("list"), st.integers(0, 2**30), st.sampled_from([ListKind.FULL, ListKind.CHANGES])),
        st.tuples(st.just("restart"), st.integers(0, 79), st.just(0)),
        st.tuples(st.just("drain"), st.integers(0, 79), st.just(0)),
    ),
    max_size=60,
)


@settings(max_examples=120)
@given(EVENTS, st.sampled_from([6, 20, 80]), st.sampled_from([1, 40]))
def test_what_is_kept_by_change_is_what_a_full_scan_gives(
    events: list[tuple[str, int, object]], servers: int, nodes: int
) -> None:
    """After every event, whatever happens to servers, classes, lists and time."""
    play = Surrounding(
        Settings(
            classes=(SAFE, KEYED, UNSAFE), cold_ms=2000.0, balancers=nodes, max_attempts=3, may_probe=False
        ),
        seed=servers,
    )
    rng = random.Random(servers)
    entries = {i: ServerEntry(NAMES[i], zone=i % 3, kind=i % 2) for i in range(servers)}
    play.list_of(list(entries.values()))
    fleet = play.balancer._fleet
    for what, n, more in events:
        if what == "arrive":
            assert isinstance(more, int)
            for _ in range(more):
                play.arrive(n)
        elif what == "end":
            assert isinstance(more, Outcome)
            live = [(r, k) for r in play.owed for k in play.live(r)]
            for request, number in live[n % 7 : n % 7 + 4]:
                if more is not Outcome.MOOT:
                    play.end(request, number, more)
        elif what == "step":
            for _ in range(n):
                play.step(15.0)
        elif what == "list":
            assert isinstance(more, ListKind)
            play.list_of([e for e in entries.values() if rng.random() < 0.7], more)
        elif n in entries:
            if what == "drain":
                entries[n] = replace(entries[n], readiness=Readiness.DRAINING)
            else:
                entries[n] = replace(entries[n], readiness=Readiness.READY, started_ms=play.now)
            play.list_of([entries[n]], ListKind.CHANGES)
        _scan(fleet, play.balancer)


# ---------------------------------------------------------------- the draw


def _balancer_of(servers: int, **more: object) -> Balancer:
    values: dict[str, object] = {"classes": (SAFE,), **more}
    balancer = Balancer(Settings(**values), seed=1)  # type: ignore[arg-type]
    rows = tuple(ServerEntry(i.to_bytes(3, "big"), kind=i % 2, zone=i % 3) for i in range(servers))
    balancer.handle(ServerList(ListKind.FULL, rows), 1.0)
    return balancer


def _sends(balancer: Balancer, request: int, now: float) -> list[bytes]:
    return [a.server for a in balancer.handle(Arrival(request, 0, 3000.0), now) if isinstance(a, Send)]


def _draw_context(balancer: Balancer, request: int) -> DrawContext:
    mean = balancer.automaton.mean() or 0.0
    calm, late = balancer._admission.saturation.baseline_ms, balancer._latency.late_threshold()
    return DrawContext(balancer._requests[request], mean, calm, len(balancer._attempts), late)


def test_rejection_sampling_follows_the_vector_conditioned_on_the_eligible() -> None:
    """Chi-squared test against the candidates of a full scan, at a fixed seed."""
    balancer = _balancer_of(60)
    placement = balancer._fleet
    now = 10.0
    for request in range(40):  # calls in flight make servers special, some of them busy
        now += 1.0
        _sends(balancer, request, now)
    for request in range(10):  # some rest or are full
        server, _ = balancer._attempts[request, 0]
        balancer.handle(AttemptEnded(request, 0, server.entry.server, Outcome.FULL, 3.0, False), now)
    balancer.handle(Arrival(999, 0, 3000.0), now)
    context = _draw_context(balancer, 0) if 0 in balancer._requests else _draw_context(balancer, 39)
    context.may_have_run, context.tried_servers = False, set()
    pool = placement._candidates(context, False, placement.arms)
    assert 5 < len(pool) < 60
    counts: Counter[int] = Counter()
    draws = 0
    for _ in range(30_000):
        found = placement._try_draws(context, False)
        if found is not None:
            counts[found.position] += 1
            draws += 1
    assert set(counts) == set(pool) and draws > 29_000
    p = placement.automaton.p
    mass = sum(p[i] for i in pool)
    chi = sum((counts[i] - draws * p[i] / mass) ** 2 / (draws * p[i] / mass) for i in pool)
    df = len(pool) - 1
    assert chi < df + 4.0 * (2 * df) ** 0.5, (chi, df)


def test_a_decision_examines_few_servers_of_a_large_fleet(monkeypatch: pytest.MonkeyPatch) -> None:
    """Counts the servers examined, with 40 and with 4,000 servers and the same number of calls in flight."""
    examined: dict[int, int] = {}
    original = Placement._eligibility
    for servers in (40, 4000):
        balancer = _balancer_of(servers)
        counted = 0

        def eligibility(self: Placement, context: DrawContext, server: object) -> int:
            nonlocal counted
            counted += 1
            return original(self, context, server)  # type: ignore[arg-type]

        monkeypatch.setattr(Placement, "_eligibility", eligibility)
        now, out = 1.0, []
        for request in range(2000):
            now += 1.0
            sent = _sends(balancer, request, now)
            out += [(request, s) for s in sent]
            if len(out) > 20:
                done, server = out.pop(0)
                balancer.handle(AttemptEnded(done, 0, server, Outcome.OK, 20.0, True), now)
        examined[servers] = counted
    assert examined[4000] <= examined[40] <= MAX_DRAWS * 2000


def test_the_only_server_below_its_concurrency_limit_is_drawn_at_once() -> None:
    balancer = _balancer_of(2000)
    placement = balancer._fleet
    now = 5.0
    for request, server in enumerate(placement.arms[:-1]):
        server.max_outstanding = 1.0
        server.allocate_call_state()
        server.outstanding[request, 0] = now
        placement.refresh(server)
    before = placement._scan_credit
    sent = _sends(balancer, 10**6, now + 1)
    assert sent == [placement.arms[-1].entry.server]
    assert placement._scan_credit >= before - 1, "no full scan was needed"


def test_full_scans_are_rationed_by_their_cost() -> None:
    """With no eligible server, not every request may scan the fleet, and none may be lost."""
    balancer = _balancer_of(2000)
    placement = balancer._fleet
    for server in placement.arms:
        server.paused_until = 1e9
        placement.recheck_at(server, 1e9)
        placement.refresh(server)
    whole = 0
    original = placement._candidates

    def pool(*args: object) -> list[int]:
        nonlocal whole
        whole += 1
        return original(*args)  # type: ignore[arg-type]

    placement._candidates = pool  # type: ignore[method-assign,assignment]
    for request in range(400):
        assert _sends(balancer, request, 2.0 + 0.001 * request) == []
    assert whole <= 1 + 400 * 3 * SCAN_CREDIT_PER_REQUEST / 2000 + 1
    assert len(balancer._requests) == 400, "all are still queued"


# ---------------------------------------------------------------- hard cases


def test_a_third_goes_silent_at_once_and_returns_cold() -> None:
    """The silent third soon gets few calls, and is not overloaded when it returns cold."""
    balancer = _balancer_of(900, cold_ms=3000.0, may_cancel=True)
    rng = random.Random(2)
    dead = {i.to_bytes(3, "big") for i in range(0, 900, 3)}
    out: list[tuple[float, int, int, bytes, Outcome]] = []
    sends: list[tuple[float, bool]] = []
    now = 1.0

    def carry(actions: list[Action]) -> None:
        for a in actions:
            if isinstance(a, Send):
                hit = a.server in dead
                sends.append((now, hit))
                silent = hit and 2000 <= now < 6000
                end = now + (2500 if silent else 10 + 10 * rng.random())
                number = len(balancer._requests[a.request].attempts) - 1
                heapq.heappush(
                    out, (end, a.request, number, a.server, Outcome.TIMEOUT if silent else Outcome.OK)
                )

    for request in range(4500):
        now += 2.0
        while out and out[0][0] <= now:
            _, done, number, server, outcome = heapq.heappop(out)
            carry(
                balancer.handle(AttemptEnded(done, number, server, outcome, 20.0, outcome is Outcome.OK), now)
            )
        if request == 3000:
            rows = [ServerEntry(i.to_bytes(3, "big"), kind=i % 2, zone=i % 3) for i in range(900)]
            rows = [replace(row, started_ms=now) if row.server in dead else row for row in rows]
            balancer.handle(ServerList(ListKind.FULL, tuple(rows)), now)
        carry(balancer.handle(Arrival(request, 0, 3000.0), now))
        if request % 250 == 0:
            _scan(balancer._fleet, balancer)

    def part(start: float, end: float) -> float:
        hits = [hit for at, hit in sends if start <= at < end]
        return sum(hits) / len(hits)

    assert 0.28 < part(1000, 2000) < 0.4
    assert part(5000, 6000) < 0.5 * part(1000, 2000)
    assert part(6002, 6300) < 0.25, "cold servers get a part of what warm ones get"


def test_every_server_changes_its_id_and_lists_alternate_between_halves() -> None:
    balancer = _balancer_of(400)
    now = 1.0
    for turn in range(12):
        now += 100.0
        rows = tuple(
            ServerEntry((1000 * (turn // 4) + i).to_bytes(3, "big")) for i in range(turn % 2, 400, 2)
        )
        balancer.handle(ServerList(ListKind.FULL, rows), now)
        assert _sends(balancer, turn, now + 1)[0] in {r.server for r in rows}
        _scan(balancer._fleet, balancer)
    assert len(balancer._fleet.servers) <= 200 + 12, "removed servers without calls are forgotten"


def test_one_node_of_a_thousand_keeps_to_its_subset() -> None:
    """Over the whole fleet a node would make one call per server and hour, too few to learn from."""
    balancer = _balancer_of(10_000 // 10, balancers=1000, ordinal=7)
    sent: Counter[bytes] = Counter()
    now, out = 1.0, []
    for request in range(600):
        now += 50.0
        for server in _sends(balancer, request, now):
            sent[server] += 1
            out.append((request, server))
        while len(out) > 2:
            done, server = out.pop(0)
            balancer.handle(
                AttemptEnded(done, 0, server, Outcome.OK, 40.0 if server[-1] % 2 else 20.0, True), now
            )
    assert len(sent) <= 2 * 6 + 2 <= MAX_SCANNED_SERVERS
    slow = sum(n for server, n in sent.items() if server[-1] % 2)
    assert slow < 0.4 * sum(sent.values())


# ---------------------------------------------------------------- bad input


def test_an_entry_twice_counts_once_and_the_last_holds() -> None:
    balancer = Balancer(Settings(classes=(SAFE,)), seed=1)
    rows = (ServerEntry(b"a"), ServerEntry(b"b"), ServerEntry(b"a", Readiness.DRAINING))
    balancer.handle(ServerList(ListKind.FULL, rows), 1.0)
    assert balancer.automaton.servers == [b"b"]
    assert _sends(balancer, 1, 2.0) == [b"b"]


@pytest.mark.parametrize("hint", [0.0, -5.0, 1e300, float("inf"), float("nan")])
def test_absurd_weights_leave_every_server_its_floor(hint: float) -> None:
    settings = Settings(classes=(SAFE,), capacity_hints=True)
    balancer = Balancer(settings, seed=1)
    rows = tuple(ServerEntry(NAMES[i], capacity_hint=hint if i == 0 else 1.0) for i in range(50))
    balancer.handle(ServerList(ListKind.FULL, rows), 1.0)
    p = balancer.automaton.p
    assert sum(p) == pytest.approx(1.0) and min(p) >= FLOOR_SHARE / 50 * (1 - 1e-9)
    assert len(_sends(balancer, 1, 2.0)) == 1


# ---------------------------------------------------------------- lists


def test_single_changes_keep_sum_floor_and_ratios() -> None:
    """Servers join and leave one by one; sum, floor and order of the shares hold after each change."""
    rng = random.Random(8)
    a, names = Automaton(nodes=30), list(NAMES[:100])
    a.resize(dict.fromkeys(names, 1.0), {name: name[-1] % 3 for name in names})
    for turn in range(1500):
        if rng.random() < 0.5 and len(a.servers) > 2:
            left = rng.randrange(len(a.servers))
            before = dict(zip(a.servers, a.p, strict=True))
            gone = a.servers[left]
            a.leave(left)
            assert gone not in a.servers
        elif len(a.servers) < 199:
            new = rng.choice([n for n in NAMES if n not in a.servers])
            before = dict(zip(a.servers, a.p, strict=True))
            a.join(new, rng.choice([1e-3, 1.0, 1.0, 1e3]), new[-1] % 5)
            assert a.servers[-1] == new
        r = len(a.servers)
        p = dict(zip(a.servers, a.p, strict=True))
        assert abs(sum(a.p) - 1.0) < 1e-9 and min(a.p) >= FLOOR_SHARE / r * (1 - 1e-9), turn
        same = [n for n in p if n in before]
        if same:  # the order is kept within floating-point precision
            ranked = sorted(same, key=lambda n: before[n])
            assert all(p[x] <= p[y] * (1 + 1e-9) for x, y in zip(ranked, ranked[1:], strict=False))
        server = rng.choice(a.servers)
        a.learn(a.servers.index(server), 1.0 + rng.random() * (1 + server[-1] % 3))
        known = [v for v in a.averages.values if v is not None]
        assert a.mean() == pytest.approx(sum(known) / len(known)) if known else a.mean() is None


def test_a_change_of_one_entry_costs_what_changed() -> None:
    """Counts the tree nodes touched when one of 5,000 servers leaves and another joins."""
    balancer = _balancer_of(5000)
    groups = balancer.automaton.shares.groups
    before = sum(group.touched_nodes for group in groups)
    gone = ServerEntry((17).to_bytes(3, "big"), Readiness.DRAINING, kind=1, zone=2)
    balancer.handle(ServerList(ListKind.CHANGES, (gone,)), 2.0)
    balancer.handle(ServerList(ListKind.CHANGES, (ServerEntry(b"new"),)), 3.0)
    assert balancer.automaton.shares.groups is groups, "not rebuilt"
    assert sum(group.touched_nodes for group in groups) - before < 200
    assert len(balancer.automaton.servers) == 5000
    _scan(balancer._fleet, balancer)


def test_subsets_follow_single_changes_as_they_would_a_list() -> None:
    one = _balancer_of(900, balancers=1000, ordinal=11)
    names = [s.entry for s in one._fleet.arms]
    rng = random.Random(4)
    for turn in range(300):
        row = rng.choice(names)
        there = rng.random() < 0.5
        row = replace(row, readiness=Readiness.READY if there else Readiness.DRAINING)
        one.handle(ServerList(ListKind.CHANGES, (row,)), 2.0 + turn)
    listed = tuple(s.entry for s in one._fleet.arms)
    other = Balancer(one.settings, seed=1)
    other.handle(ServerList(ListKind.FULL, listed), 1.0)
    assert one._fleet._subset == other._fleet._subset is not None
    assert one._fleet._subset_size == other._fleet._subset_size
    _scan(one._fleet, one)


def test_memory_follows_what_is_open() -> None:
    """Ten thousand requests in ten seconds, few open at once: timers of finished requests are dropped."""
    balancer = _balancer_of(50)
    now, out = 1.0, []
    for request in range(10_000):
        now += 1.0
        out += [(request, server) for server in _sends(balancer, request, now)]
        if len(out) > 20:
            done, server = out.pop(0)
            balancer.handle(AttemptEnded(done, 0, server, Outcome.OK, 900.0, True), now)
    assert len(balancer._requests) < 100
    assert len(balancer._timers) <= MIN_PRUNE_SIZE + 1
    assert len(balancer._fleet._rechecks) < 100

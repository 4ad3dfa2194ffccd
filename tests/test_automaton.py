"""The automaton alone: values computed by hand, and invariants under random operations."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from leadrudder.policy.automaton import (
    ALPHA,
    FLOOR_SHARE,
    MAX_FAILURE_MEANS,
    NEWCOMER_SHARE,
    THETA_SHARE,
    Automaton,
)

NAMES = [bytes([i]) for i in range(40)]


def fleet(*weights: float) -> Automaton:
    automaton = Automaton()
    automaton.resize({NAMES[i]: w for i, w in enumerate(weights)})
    return automaton


def test_update_by_hand() -> None:
    a = fleet(1, 1, 1, 1)
    assert a.p == [0.25] * 4
    a.learn(0, 100.0)  # the first answer initializes all averages and is no payoff
    assert a.averages.values == [100.0] * 4 and a.p == [0.25] * 4
    assert a.learn(1, 60.0)
    assert a.averages.values[1] == pytest.approx(100 + ALPHA * (60 - 100))
    assert a.averages.values[0] == a.averages.values[2] == a.averages.values[3] == 100.0
    theta, low = THETA_SHARE / 4, FLOOR_SHARE / 4
    assert a.p[1] == pytest.approx(0.25 + theta * (1 - 3 * low - 0.25))
    assert a.p[0] == pytest.approx(0.25 + theta * (low - 0.25))
    before = list(a.p)
    assert not a.learn(2, 500.0)  # no payoff: updates the average and not the vector
    assert a.p == before and a.averages.values[2] == pytest.approx(100 + ALPHA * 400)


@pytest.mark.parametrize("nodes", [1, 3, 40, 1000])
@pytest.mark.parametrize("servers", [2, 10, 40])
def test_theta_grows_with_the_nodes_and_stays_well_below_alpha(nodes: int, servers: int) -> None:
    """With a theta chosen for one node, the shares of two hundred nodes stayed uniform all day."""
    a = Automaton(nodes)
    a.resize(dict.fromkeys(NAMES[:servers], 1.0))
    assert a.theta <= a.alpha / 10 and ALPHA <= a.alpha <= 0.5
    assert a.theta == pytest.approx(min(a.alpha / 10, max(0.06, 0.02 * nodes) / servers))
    assert a.theta_kind == 0.0
    a.resize(dict.fromkeys(NAMES[:servers], 1.0), {name: i % 2 for i, name in enumerate(NAMES[:servers])})
    assert a.theta_kind == pytest.approx(min(a.alpha / 3, 0.01 * nodes))


def test_a_payoff_raises_the_shares_of_the_listed_kind() -> None:
    """At full size a node makes too few calls to tell servers apart, but enough to tell their kinds apart."""
    a = Automaton(nodes=30)
    a.resize(dict.fromkeys(NAMES[:6], 1.0), {name: i // 3 for i, name in enumerate(NAMES[:6])})
    a.learn(5, 100.0)
    assert a.learn(0, 50.0)
    p_min = FLOOR_SHARE / 6
    assert sum(a.p) == pytest.approx(1.0) and min(a.p) >= p_min
    assert a.p[0] > a.p[1] == a.p[2] > 1 / 6 > a.p[3] == a.p[4] == a.p[5]
    for _ in range(200):  # the floor holds for the other kind
        a.learn(0, 1.0)
        assert sum(a.p) == pytest.approx(1.0) and min(a.p) >= p_min * (1 - 1e-9)


def test_many_nodes_with_few_calls_each_shift_their_calls_as_one_would() -> None:
    """Sixty nodes call each server six times; half of the servers take twice as long."""
    rng = random.Random(4)
    slow = 0.0
    for _ in range(60):
        a = Automaton(nodes=60)
        a.resize(dict.fromkeys(NAMES[:20], 1.0))
        for _ in range(120):
            i = a.shares.draw(range(20), rng.random())
            a.learn(i, rng.expovariate(1.0) * (2.0 if i < 10 else 1.0))
        slow += sum(a.p[:10]) / 60
    assert slow < 0.43  # 0.49 with the step of a single node


def test_failures_are_no_payoff_and_do_not_move_the_threshold_far() -> None:
    a = fleet(1, 1, 1)
    a.learn(0, 100.0)
    before = list(a.p)
    a.charge(1, 1.0)  # a fast error counts as the mean
    assert a.p == before and a.mean() == pytest.approx(100.0)
    a.charge(1, 1e6)  # a hang is capped
    assert a.averages.values[1] == pytest.approx(100 + ALPHA * (MAX_FAILURE_MEANS * 100 - 100))


def test_draw_is_the_vector_conditioned_on_the_eligible() -> None:
    a = fleet(1, 2, 3, 4)
    rng = random.Random(5)
    counts = [0] * 4
    for _ in range(20_000):
        counts[a.shares.draw([1, 3], rng.random())] += 1
    assert counts[0] == counts[2] == 0
    assert counts[1] / 20_000 == pytest.approx(a.p[1] / (a.p[1] + a.p[3]), abs=0.02)
    assert a.shares.draw([2], 0.999999) == 2


def test_no_server_and_one_server() -> None:
    a = Automaton()
    a.resize({})
    assert a.p == [] and a.mean() is None
    assert not a.learn(-1, 5.0)
    a.resize({NAMES[0]: 1.0})
    for latency in (5.0, 4.0, 9.0, 1.0):
        a.learn(0, latency)
    assert a.p == pytest.approx([1.0])


def test_more_servers_than_a_fixed_floor_would_allow() -> None:
    a = Automaton()
    a.resize({i.to_bytes(2, "big"): 1.0 for i in range(500)})
    assert sum(a.p) == pytest.approx(1.0)
    assert min(a.p) >= FLOOR_SHARE / 500


def test_new_and_remaining_servers() -> None:
    a = fleet(1, 2, 4)
    a.resize({NAMES[0]: 1, NAMES[1]: 2, NAMES[2]: 4, NAMES[3]: 2})
    assert a.p[1] / a.p[0] == pytest.approx(2) and a.p[2] / a.p[1] == pytest.approx(2)
    assert a.p[3] / a.p[1] == pytest.approx(NEWCOMER_SHARE)
    a.resize({NAMES[1]: 2, NAMES[3]: 2})
    assert a.p[1] / a.p[0] == pytest.approx(NEWCOMER_SHARE) and sum(a.p) == pytest.approx(1)


def test_slow_server_loses_share_and_regains_it() -> None:
    a = fleet(1, 1, 1, 1)
    rng = random.Random(11)

    def run(slow: float) -> float:
        """Returns the mean share of the server over the second half of the run."""
        held = 0.0
        for step in range(3000):
            i = a.shares.draw(range(4), rng.random())
            base = slow if i == 0 else 1.0
            # The latency of a server grows with its share, as in a queue.
            a.learn(i, rng.expovariate(1.0) * 20 * base / (1.05 - min(a.p[i], 1.0)))
            held += a.p[0] if step >= 1500 else 0.0
        return held / 1500

    assert run(4.0) < 0.17  # 0.25 if it were equal
    assert run(1.0) > 0.22


ops = st.lists(
    st.one_of(
        st.tuples(st.just("learn"), st.integers(0, 39), st.floats(0.01, 1e5)),
        st.tuples(st.just("charge"), st.integers(0, 39), st.floats(0.0, 1e5)),
        st.tuples(st.just("resize"), st.integers(0, 2**40 - 1), st.floats(0.1, 8.0)),
    ),
    max_size=60,
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(ops)
def test_sum_and_floor_hold_after_anything(steps: list[tuple[str, int, float]]) -> None:
    a = fleet(1, 1, 1)
    for what, n, x in steps:
        if what == "learn":
            a.learn(n if n < len(a.servers) else -1, x)
        elif what == "charge":
            a.charge(n if n < len(a.servers) else -1, x)
        else:
            a.resize({s: (x if i % 2 else 1.0) for i, s in enumerate(NAMES) if n >> i & 1})
        if a.p:
            assert sum(a.p) == pytest.approx(1.0)
            assert min(a.p) >= FLOOR_SHARE / len(a.p) - 1e-12

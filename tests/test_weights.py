"""Fenwick weights under affine changes, compared with plain lists."""

from __future__ import annotations

import math
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from leadrudder.state.weights import FenwickWeights, GroupedWeights

OPERATIONS = st.lists(
    st.one_of(
        st.tuples(st.just("add"), st.integers(0, 99), st.floats(0.0, 5.0)),
        st.tuples(st.just("times"), st.floats(0.2, 3.0), st.floats(0.0, 1.0)),
        st.tuples(st.just("close"), st.integers(0, 99), st.just(0.0)),
        st.tuples(st.just("reopen"), st.integers(0, 99), st.just(0.0)),
        st.tuples(st.just("rebuild"), st.just(0), st.just(0.0)),
    ),
    max_size=40,
)


@settings(max_examples=200)
@given(st.lists(st.floats(0.01, 10.0), min_size=1, max_size=40), OPERATIONS, st.floats(0.0, 0.999))
def test_the_tree_behaves_like_a_plain_list(
    values: list[float], operations: list[tuple[str, float, float]], u: float
) -> None:
    tree, plain, closed = FenwickWeights(values), list(values), [False] * len(values)
    for operation, a, b in operations:
        i = int(a) % len(values)
        if operation == "add":
            tree.add(i, b)
            plain[i] += b
        elif operation == "times":
            tree.scale_all(a, b)
            plain = [a * x + b for x in plain]
        elif operation == "rebuild":
            tree.rebuild()
        else:
            (tree.close if operation == "close" else tree.reopen)(i)
            closed[i] = operation == "close"
    assert [tree.weight(i) for i in range(len(plain))] == pytest.approx(plain)
    assert tree.total_weight() == pytest.approx(sum(plain)) and tree.open_items == closed.count(False)
    open_sum = sum(x for x, is_closed in zip(plain, closed, strict=True) if not is_closed)
    assert tree.open_weight() == pytest.approx(open_sum, abs=1e-9 * sum(plain))
    if not tree.open_items:
        with pytest.raises(IndexError):
            tree.draw(0.0)
        return
    drawn = tree.draw(u * tree.open_weight())
    assert not closed[drawn]
    before = sum(x for x, is_closed in zip(plain[:drawn], closed[:drawn], strict=True) if not is_closed)
    slack = 1e-9 * sum(plain)
    assert before - slack <= u * open_sum <= before + plain[drawn] + slack


def test_a_draw_beyond_the_total_weight_gives_an_open_item() -> None:
    """Rounding may lead to a position slightly beyond the sum of the weights."""
    tree = FenwickWeights([1.0, 2.0, 3.0, 4.0])
    tree.close(3)
    assert tree.draw(6.0000001) == 2 and tree.draw(100.0) == 2
    tree.close(2)
    tree.close(1)
    assert tree.draw(50.0) == 0
    tree.close(0)
    tree.reopen(3)
    assert tree.draw(0.0) == 3 and tree.draw(4.0) == 3


@pytest.mark.parametrize("n", [10, 100, 1_000, 10_000, 100_000])
def test_the_cost_of_a_change_and_a_draw_grows_with_the_logarithm(n: int) -> None:
    """Counts the visited tree nodes instead of measuring time."""
    tree = FenwickWeights([1.0] * n)
    rng = random.Random(n)
    tree.touched_nodes = 0
    for _ in range(200):
        tree.scale_all(0.999, 0.001)
        tree.add(rng.randrange(n), 0.5)
        tree.draw(rng.random() * tree.open_weight())
    assert tree.touched_nodes / 200 <= 2 * (math.log2(n) + 1)


def test_draws_from_groups_follow_the_weights_of_the_open_items() -> None:
    """Chi-squared over the open items, at a fixed seed: 0.999 of true distributions stay below the bound."""
    rng = random.Random(5)
    values = [rng.random() + 0.05 for _ in range(60)]
    weights = GroupedWeights(values, [i % 3 for i in range(60)])
    is_closed = set(rng.sample(range(60), 25))
    for i in is_closed:
        weights.set_open(i, False)
    draws = 40_000
    counts = [0] * 60
    for _ in range(draws):
        drawn = weights.draw_open(rng.random())
        assert drawn is not None
        counts[drawn] += 1
    assert all(counts[i] == 0 for i in is_closed)
    fit = [i for i in range(60) if i not in is_closed]
    open_sum = sum(values[i] for i in fit)
    chi_squared = sum(
        (counts[i] - draws * values[i] / open_sum) ** 2 / (draws * values[i] / open_sum) for i in fit
    )
    assert chi_squared < 65.25  # 34 degrees of freedom
    for i in fit:
        weights.set_open(i, False)
    assert weights.draw_open(0.5) is None
    weights.set_open(7, True)
    assert {weights.draw_open(u) for u in (0.0, 0.5, 0.999999)} == {7}

"""Comparisons find a planted slowdown, and do not report a difference between equal sides."""

from __future__ import annotations

import random
import shutil
from pathlib import Path

from leadrudder.experiment import paired
from leadrudder.experiment.comparison import Comparison
from leadrudder.experiment.paired import Verdict
from leadrudder.experiment.pool import Pool
from leadrudder.experiment.revisions import PACKAGE, PolicyRevision
from leadrudder.experiment.runner import run_missing
from leadrudder.experiment.store import Store
from tests.experiment.small import experiment, values


def test_equal_sides_are_declared_different_in_at_most_five_percent_of_comparisons() -> None:
    """Two sides that differ by chance alone are compared repeatedly as seeds are added."""
    rng = random.Random(1)
    look_schedule = paired.look_schedule(60)
    wrong = 0
    for _ in range(300):
        pairs = [(rng.gauss(0.8, 0.1), rng.gauss(0.8, 0.1)) for _ in range(60)]
        for number, count in enumerate(look_schedule):
            before, after = zip(*pairs[:count], strict=True)
            found = paired.compare(before, after, 0.02, paired.alpha_at_look(number, len(look_schedule)))
            if found.verdict in (Verdict.MORE, Verdict.LESS):
                wrong += 1
                break
    assert wrong <= 0.05 * 300
    assert (
        sum(paired.alpha_at_look(i, len(look_schedule)) for i in range(len(look_schedule)))
        <= paired.ALPHA + 1e-12
    )


def test_an_inconclusive_comparison_estimates_the_missing_seeds() -> None:
    rng = random.Random(2)
    before = [rng.gauss(0.8, 0.1) for _ in range(8)]
    after = [x + rng.gauss(0.01, 0.1) for x in before]
    found = paired.compare(before, after, 0.01)
    assert found.verdict is Verdict.CANNOT_TELL and found.additional_pairs > 0
    assert paired.compare(before, before, 0.01).verdict is Verdict.SAME
    assert paired.compare([0.5], [0.9], 0.01).verdict is Verdict.CANNOT_TELL


def _policy_with_delay(tree: Path, delay_share: float) -> PolicyRevision:
    """Copy the policy, with each request delayed by this fraction of the mean latency."""
    shutil.copytree(PACKAGE, tree / "leadrudder", ignore=shutil.ignore_patterns("__pycache__"))
    path = tree / "leadrudder" / "policy" / "decide.py"
    text = path.read_text()
    place = "        calm, out = self._admission.saturation.baseline_ms, len(self._attempts)\n"
    assert text.count(place) == 1
    wait = (
        "        if not last_resort and self._turn.now"
        f" < request.arrived_at + {delay_share} * self._latency.mean:\n"
    )
    path.write_text(text.replace(place, f"{wait}            return False\n{place}"))
    return PolicyRevision(f"held {delay_share}", tree)


def test_a_five_percent_slowdown_of_the_policy_is_found_and_an_equal_policy_is_not(
    tmp_path: Path,
) -> None:
    made = values(runs__seeds=12, load__of_capacity=0.4)
    made["side"] = [{"name": "now"}, {"name": "same", "ref": "same"}, {"name": "slow", "ref": "slow"}]
    loaded = experiment(tmp_path, made)
    loaded._policy_revisions["same"] = _policy_with_delay(tmp_path / "same", 0.0)
    loaded._policy_revisions["slow"] = _policy_with_delay(tmp_path / "slow", 0.05)
    store = Store(tmp_path / "results.sqlite")
    verdicts = {}
    for other in ("slow", "same"):
        comparison = Comparison("now", other, "look.p50_ms", 0.5, 12)
        wanted = comparison.undecided_jobs(loaded.jobs())
        progress = run_missing(store, loaded, wanted, Pool(2))
        assert not progress.failed
        rows = {row.key: row for row in store.rows([job.key for job in wanted])}
        comparison.evaluate_look(len(comparison.look_schedule) - 1, wanted, rows)
        verdicts[other] = comparison.results[""].verdict
    store.close()
    assert verdicts == {"slow": Verdict.MORE, "same": Verdict.SAME}

"""A small experiment that runs quickly, and helpers that tests vary it with."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from leadrudder.experiment.figures import Result
from leadrudder.experiment.plan import apply_changes
from leadrudder.experiment.play import decider_factory, play
from leadrudder.experiment.runner import Experiment
from leadrudder.tool.source import parse_source

TEXT = """
version = 1
name = "small"
length_s = 6

[fleet]
nodes = 2

[[fleet.tier]]
name = "api"
servers = 4
kind = [{ name = "usual", speed = [0.9, 1.1], slots = 4, queue = 20, cold_from = 0.4, cold_s = 2 }]

[[fleet.tier]]
name = "store"
servers_each = 1
calls = [1, 2]
kind = [{ name = "usual", slots = 2, queue = 20 }]

[[class]]
name = "look"
work_ms = 20
aim_ms = 400
deadline_ms = 1500

[[class]]
name = "book"
work_ms = 30
aim_ms = 600
deadline_ms = 2000
worth = 3
effect = "unsafe"

[[tenant]]
name = "salon"
share = 1.0

[load]
of_capacity = 0.6

[callers]
tries = 1

[runs]
seeds = 4
"""


def values(**change: Any) -> dict[str, Any]:
    """The values of the file with some fields changed; in keywords, two underscores stand for a dot."""
    file = apply_changes(
        parse_source("small", TEXT).values, {k.replace("__", "."): v for k, v in change.items()}
    )
    return file.model_dump(mode="json", by_alias=True, exclude_unset=True)


def experiment(cache: Path, made: dict[str, Any]) -> Experiment:
    return Experiment(made, apply_changes(made, {}), cache, cache)


def played(seed: int = 1, policy: str = "leadrudder", **change: Any) -> Result:
    """One run, in this process."""
    file = apply_changes(values(**change), {})
    return play(file, seed, decider_factory(policy, file.fleet.node.limit_each))

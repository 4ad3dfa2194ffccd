"""Expands an experiment file into its runs (variants, sides, seeds) and computes the key of each run."""

from __future__ import annotations

import copy
import hashlib
import itertools
import json
import random
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from pydantic import ValidationError

from leadrudder.experiment.spec import File, Side

FieldValue = float | int | str | bool


class FieldError(Exception):
    """The field does not exist in the file, or the value is not valid for it."""


@dataclass(frozen=True)
class Case:
    """One run: its file with all changes applied, its side, its seed, and the values of the swept fields."""

    file: File
    side: Side
    seed: int
    variant: dict[str, FieldValue]

    @property
    def label(self) -> str:
        assignments = " ".join(f"{name}={value}" for name, value in self.variant.items())
        return f"{self.side.name} seed {self.seed}{' ' if assignments else ''}{assignments}"


def count_combinations(file: File) -> int:
    """Return the size of the full grid of swept values."""
    count = 1
    for vary in file.vary:
        count *= len(vary.values)
    return count


def variants(file: File) -> list[dict[str, FieldValue]]:
    """Return all combinations, or runs.sample of them, sampled with the first seed."""
    total, sample = count_combinations(file), file.runs.sample
    if sample and sample < total:
        indices = sorted(random.Random(f"{file.runs.first_seed}/sample").sample(range(total), sample))
        return [_nth_combination(file, i) for i in indices]
    fields = [vary.field for vary in file.vary]
    return [
        dict(zip(fields, values, strict=True)) for values in itertools.product(*(v.values for v in file.vary))
    ]


def _nth_combination(file: File, index: int) -> dict[str, FieldValue]:
    """Return the combination with this index, without building the others."""
    chosen: dict[str, FieldValue] = {}
    for vary in reversed(file.vary):
        index, i = divmod(index, len(vary.values))
        chosen[vary.field] = vary.values[i]
    return {vary.field: chosen[vary.field] for vary in file.vary}


def apply_changes(values: Mapping[str, Any], change: Mapping[str, FieldValue]) -> File:
    """Return the validated file with some fields changed; raises FieldError for an invalid field or value.

    A field is a dotted path of keys; an element of a list is addressed by its index, from 0, or its name.
    """
    updated = copy.deepcopy(dict(values))
    for field, value in change.items():
        _set_field(updated, field, value)
    try:
        return File.model_validate(updated)
    except ValidationError as error:
        item = error.errors(include_url=False)[0]
        path = ".".join(str(part) for part in item["loc"])
        raise FieldError(f"{path}: {item['msg']} (after {', '.join(change) or 'no change'})") from None


def _set_field(values: dict[str, Any], field: str, value: FieldValue) -> None:
    *path, last = field.split(".")
    target: Any = values
    for part in path:
        target = _descend(target, part, field)
    if not isinstance(target, dict):
        raise FieldError(f"{field!r}: the parent of {last!r} is not a table")
    target[last] = value


def _descend(container: Any, part: str, field: str) -> Any:
    if isinstance(container, dict):
        return container.setdefault(part, {})
    if isinstance(container, list):
        for i, item in enumerate(container):
            if part == str(i) or (isinstance(item, dict) and item.get("name") == part):
                return item
        raise FieldError(f"{field!r}: the list has no element {part!r}")
    raise FieldError(f"{field!r}: the parent of {part!r} is neither a table nor a list")


def expand_cases(values: Mapping[str, Any], file: File, seeds: range | None = None) -> list[Case]:
    """Return all runs, seed by seed within each variant, so that sides are compared on the same seeds."""
    first = file.runs.first_seed
    seeds = range(first, first + file.runs.seeds) if seeds is None else seeds
    expanded = []
    for variant in variants(file):
        files = [(apply_changes(values, {**variant, **side.change}), side) for side in file.side]
        expanded += [Case(changed, side, seed, variant) for seed in seeds for changed, side in files]
    return expanded


# Fields that do not affect a single run's result, and therefore do not take part in its key.
_KEY_EXCLUDED_FIELDS = {"name", "about", "base", "vary", "side", "runs"}


def run_key(case: Case, policy_digest: str, model_digest: str, trace_digest: str = "") -> str:
    """Return a digest of all inputs of a run.

    policy_digest and model_digest cover the sources of policy and model, trace_digest the trace file.
    """
    text = json.dumps(case.file.model_dump(mode="json", exclude=_KEY_EXCLUDED_FIELDS), sort_keys=True)
    step_limit = f"{case.file.runs.most_steps}"
    parts = (
        text,
        step_limit,
        case.side.policy,
        case.side.model,
        f"{case.seed}",
        policy_digest,
        model_digest,
        trace_digest,
    )
    total = hashlib.blake2b(digest_size=16)
    for part in parts:
        total.update(b"%d:" % len(part) + part.encode())
    return total.hexdigest()

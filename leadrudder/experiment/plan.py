"""From an experiment file to its runs: what varies, sides, seeds, and what tells runs apart."""

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
    """A field that the file does not have, or a value that it cannot take."""


@dataclass(frozen=True)
class Case:
    """One run: the file as this run has it, its side and seed, and which values it has of what varies."""

    file: File
    side: Side
    seed: int
    variant: dict[str, FieldValue]

    @property
    def label(self) -> str:
        varied = " ".join(f"{name}={value}" for name, value in self.variant.items())
        return f"{self.side.name} seed {self.seed}{' ' if varied else ''}{varied}"


def count_combinations(file: File) -> int:
    """How many there are of what varies."""
    count = 1
    for vary in file.vary:
        count *= len(vary.values)
    return count


def variants(file: File) -> list[dict[str, FieldValue]]:
    """All combinations, or as many as runs.sample says, drawn by the first seed."""
    total, sample = count_combinations(file), file.runs.sample
    if sample and sample < total:
        picked = sorted(random.Random(f"{file.runs.first_seed}/sample").sample(range(total), sample))
        return [_nth_combination(file, i) for i in picked]
    fields = [vary.field for vary in file.vary]
    return [
        dict(zip(fields, values, strict=True)) for values in itertools.product(*(v.values for v in file.vary))
    ]


def _nth_combination(file: File, index: int) -> dict[str, FieldValue]:
    """The one of this number, without making the others."""
    chosen: dict[str, FieldValue] = {}
    for vary in reversed(file.vary):
        index, i = divmod(index, len(vary.values))
        chosen[vary.field] = vary.values[i]
    return {vary.field: chosen[vary.field] for vary in file.vary}


def apply_changes(values: Mapping[str, Any], change: Mapping[str, FieldValue]) -> File:
    """The file with some fields changed; FieldError for what cannot be.

    A field is a path of keys with dots; an element of a list goes by its number, from 0, or its name.
    """
    made = copy.deepcopy(dict(values))
    for field, value in change.items():
        _set_field(made, field, value)
    try:
        return File.model_validate(made)
    except ValidationError as error:
        item = error.errors(include_url=False)[0]
        at = ".".join(str(part) for part in item["loc"])
        raise FieldError(f"{at}: {item['msg']} (after {', '.join(change) or 'no change'})") from None


def _set_field(values: dict[str, Any], field: str, value: FieldValue) -> None:
    *path, last = field.split(".")
    at: Any = values
    for part in path:
        at = _descend(at, part, field)
    if not isinstance(at, dict):
        raise FieldError(f"{field!r}: there is no table that holds {last!r}")
    at[last] = value


def _descend(at: Any, part: str, field: str) -> Any:
    if isinstance(at, dict):
        return at.setdefault(part, {})
    if isinstance(at, list):
        for i, item in enumerate(at):
            if part == str(i) or (isinstance(item, dict) and item.get("name") == part):
                return item
        raise FieldError(f"{field!r}: nothing there is called {part!r}")
    raise FieldError(f"{field!r}: {part!r} is in no table")


def expand_cases(values: Mapping[str, Any], file: File, seeds: range | None = None) -> list[Case]:
    """All runs, seed by seed within a variant, so that sides are always compared on the same seeds."""
    first = file.runs.first_seed
    seeds = range(first, first + file.runs.seeds) if seeds is None else seeds
    made = []
    for variant in variants(file):
        files = [(apply_changes(values, {**variant, **side.change}), side) for side in file.side]
        made += [Case(own, side, seed, variant) for seed in seeds for own, side in files]
    return made


# What does not change a run: it is told apart by what it is made of, not by what surrounds it.
_KEY_EXCLUDED_FIELDS = {"name", "about", "base", "vary", "side", "runs"}


def run_key(case: Case, decisions: str, model: str, trace: str = "") -> str:
    """A digest of everything that goes into a run.

    decisions and model: digests of the sources of the policy and of the model; trace: of the trace's bytes.
    """
    text = json.dumps(case.file.model_dump(mode="json", exclude=_KEY_EXCLUDED_FIELDS), sort_keys=True)
    limits = f"{case.file.runs.most_steps}"
    parts = (text, limits, case.side.policy, case.side.model, f"{case.seed}", decisions, model, trace)
    total = hashlib.blake2b(digest_size=16)
    for part in parts:
        total.update(b"%d:" % len(part) + part.encode())
    return total.hexdigest()

"""Names: each is unique in its table, and what refers to one finds it."""

from __future__ import annotations

from collections.abc import Iterator

from leadrudder.tool.checks.finding import Finding
from leadrudder.tool.model import File
from leadrudder.tool.source import FieldPath


def names_are_unique(file: File) -> Iterator[Finding]:
    tables: dict[str, list[str]] = {
        "tier": [x.name for x in file.tier],
        "listener": [x.name for x in file.listener],
        "class": [x.name for x in file.request_class],
        "tenant": [x.name for x in file.tenant],
    }
    for table, names in tables.items():
        for i, name in enumerate(names):
            if name in names[:i]:
                yield Finding(
                    (table, i, "name"),
                    "name-taken",
                    f"{table} {name!r} is defined twice.",
                    "A reference to it would be ambiguous.",
                    "a unique name for each",
                )


def _unknown_name(path: FieldPath, rule: str, table: str, name: str, known: list[str], why: str) -> Finding:
    return Finding(path, rule, f"there is no {table} {name!r}.", why, f"one of {', '.join(known) or 'none'}")


def names_are_known(file: File) -> Iterator[Finding]:
    tiers = [x.name for x in file.tier]
    listeners = [x.name for x in file.listener]
    classes = [x.name for x in file.request_class]
    for i, listener in enumerate(file.listener):
        if listener.tier not in tiers:
            why = "Its node would have no servers to balance."
            yield _unknown_name(("listener", i, "tier"), "tier-unknown", "tier", listener.tier, tiers, why)
    for i, tier in enumerate(file.tier):
        if tier.behind is not None and tier.behind not in tiers:
            why = "A tier's position decides how long its node may wait and what it may shed."
            yield _unknown_name(("tier", i, "behind"), "tier-unknown", "tier", tier.behind, tiers, why)
    for i, route in enumerate(file.route):
        if route.listener not in listeners:
            why = "The request would reach no node."
            yield _unknown_name(
                ("route", i, "listener"), "listener-unknown", "listener", route.listener, listeners, why
            )
        if route.request_class not in classes:
            why = "A node answers 400 to a class that it does not know."
            yield _unknown_name(
                ("route", i, "class"), "class-unknown", "class", route.request_class, classes, why
            )

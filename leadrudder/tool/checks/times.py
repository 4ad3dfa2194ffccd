"""Deadlines and aims."""

from __future__ import annotations

from collections.abc import Iterator

from leadrudder.tool.checks.finding import Finding
from leadrudder.tool.model import File


def deadlines_do_not_grow_inwards(file: File) -> Iterator[Finding]:
    by_name = {x.name: x for x in file.tier}
    for i, tier in enumerate(file.tier):
        front = by_name.get(tier.behind or "")
        if front is None or front is tier or tier.deadline_ms is None or front.deadline_ms is None:
            continue
        if tier.deadline_ms > front.deadline_ms:
            yield Finding(
                ("tier", i, "deadline_ms"),
                "deadline-grows",
                f"tier {tier.name!r} works for up to {tier.deadline_ms:g} ms, but tier {front.name!r} before it"
                f" waits only {front.deadline_ms:g} ms.",
                "Work after that is for a caller that has given up.",
                f"at most {front.deadline_ms:g}",
            )


def aims_are_within_deadlines(file: File) -> Iterator[Finding]:
    for i, request_class in enumerate(file.request_class):
        if request_class.aim_ms > request_class.deadline_ms:
            yield Finding(
                ("class", i, "aim_ms"),
                "aim-after-deadline",
                f"class {request_class.name!r} has an aim of {request_class.aim_ms:g} ms but a deadline of {request_class.deadline_ms:g} ms.",
                "No request would ever count as late, and none would be shed in time.",
                f"an aim of at most {request_class.deadline_ms:g}",
            )

"""What may be repeated: effects, keys, groups of servers, copies, and the number of attempts."""

from __future__ import annotations

import math
from collections.abc import Iterator

from leadrudder.tool.checks.finding import Finding
from leadrudder.tool.model import File, Tier
from leadrudder.tool.source import FieldPath

GROUP_WIDTHS = {"none": 0, "cell": 1, "zone": 2, "all": 3}


def unsafe_is_not_repeated(file: File) -> Iterator[Finding]:
    """Where a route inherits its repeat, the finding is at the default."""
    effects = {x.name: x.effect for x in file.request_class}
    for i, route in enumerate(file.route):
        if effects.get(route.request_class) != "unsafe" or not file.allows_repeat(route):
            continue
        inherited = route.repeat is None
        path: FieldPath = ("defaults", "repeat") if inherited else ("route", i, "repeat")
        by = ", which inherits it from [defaults]" if inherited else ""
        yield Finding(
            path,
            "unsafe-repeated",
            f"route {route.method} {route.path} of the unsafe class {route.request_class!r} may be repeated{by}.",
            "It would run twice whenever a response is lost: two bookings, two payments.",
            "repeat = false" + (f" in route {i + 1}, or in [defaults]" if inherited else ""),
        )


def repeats_agree_within_class(file: File) -> Iterator[Finding]:
    """A node decides repeats by class, not by route: all routes of a class at a listener must agree."""
    first: dict[tuple[str, str], int] = {}
    for i, route in enumerate(file.route):
        j = first.setdefault((route.listener, route.request_class), i)
        if file.allows_repeat(file.route[j]) != file.allows_repeat(route):
            yield Finding(
                ("route", i, "repeat"),
                "repeat-mixed",
                f"class {route.request_class!r} may be repeated at {route.listener!r} by only one of the routes {j + 1} and {i + 1}.",
                "The node decides by class: one of the two routes would get the setting of the other.",
                "the same for both, or a class for each",
            )


def methods_match_effects(file: File) -> Iterator[Finding]:
    effects = {x.name: x.effect for x in file.request_class}
    for i, route in enumerate(file.route):
        effect = effects.get(route.request_class)
        if effect is not None and (route.method == "GET") != (effect == "safe"):
            yield Finding(
                ("route", i, "method"),
                "method-misfit",
                f"{route.method} {route.path} is of class {route.request_class!r}, which is {effect}.",
                "Nodes accept only GET for safe classes and only POST for others, and answer 400 to anything else.",
                "GET for a safe class, POST for a keyed or unsafe one",
            )


def keyed_classes_are_complete(file: File) -> Iterator[Finding]:
    for i, request_class in enumerate(file.request_class):
        for name in ("group", "window_ms"):
            given = getattr(request_class, name) is not None
            if request_class.effect == "keyed" and not given:
                yield Finding(
                    ("class", i, "name"),
                    f"keyed-without-{name.removesuffix('_ms')}",
                    f"the keyed class {request_class.name!r} does not set its {name}.",
                    "A repeat is dropped only by some servers and only for some time; anywhere else it runs again.",
                    f"the {name} that its servers keep",
                )
            elif request_class.effect != "keyed" and given:
                yield Finding(
                    ("class", i, name),
                    "key-unused",
                    f"class {request_class.name!r} is {request_class.effect} and has a {name}.",
                    "The file suggests that repeats are dropped, but none are.",
                    'effect = "keyed", or no ' + name,
                )


def _tiers_of(file: File, name: str) -> Iterator[Tier]:
    """The tiers that requests of a class reach, by their routes."""
    listeners = {x.name: x.tier for x in file.listener}
    tier_names = {listeners.get(route.listener) for route in file.route if route.request_class == name}
    return (tier for tier in file.tier if tier.name in tier_names)


def windows_outlast_attempts(file: File) -> Iterator[Finding]:
    for i, request_class in enumerate(file.request_class):
        if request_class.effect != "keyed" or request_class.window_ms is None:
            continue
        repeated = any(file.allows_repeat(r) for r in file.route if r.request_class == request_class.name)
        if repeated and request_class.window_ms < request_class.deadline_ms:
            yield Finding(
                ("class", i, "window_ms"),
                "window-too-short",
                f"the window of {request_class.name!r} ({request_class.window_ms:g} ms) ends before its deadline"
                f" ({request_class.deadline_ms:g} ms).",
                "Its last attempts may start after the servers have forgotten the key, and run again.",
                f"at least {request_class.deadline_ms:g}, or no repeat for its routes",
            )


def groups_match_tiers(file: File) -> Iterator[Finding]:
    for i, request_class in enumerate(file.request_class):
        if request_class.effect != "keyed" or request_class.group is None or request_class.window_ms is None:
            continue
        for tier in _tiers_of(file, request_class.name):
            if GROUP_WIDTHS[request_class.group] > GROUP_WIDTHS[tier.drops_repeats]:
                yield Finding(
                    ("class", i, "group"),
                    "group-too-wide",
                    f"{request_class.name!r} may be repeated within its {request_class.group}, but tier {tier.name!r} drops repeats"
                    f" within {tier.drops_repeats!r}.",
                    "A repeat at a server that does not know the key runs again.",
                    f"a group no wider than {tier.drops_repeats!r}, or drops_repeats as the servers do",
                )
            elif request_class.window_ms > tier.drops_repeats_ms:
                yield Finding(
                    ("class", i, "window_ms"),
                    "window-too-long",
                    f"{request_class.name!r} relies on {request_class.window_ms:g} ms, but tier {tier.name!r} remembers keys for"
                    f" {tier.drops_repeats_ms:g} ms.",
                    "A repeat after that time runs again.",
                    f"window_ms of at most {tier.drops_repeats_ms:g}, or drops_repeats_ms as the servers do",
                )


def copies_have_attempts(file: File) -> Iterator[Finding]:
    """Copies need a second attempt."""
    for i, tier in enumerate(file.tier):
        if tier.copies and file.attempts_for(tier) < 2:
            yield Finding(
                ("tier", i, "copies"),
                "copies-without-attempts",
                f"tier {tier.name!r} allows copies but makes one attempt.",
                "No copy would ever be sent, although the file allows it.",
                "attempts of 2 or more, or copies = false",
            )


def _tier_chain(file: File, tier: Tier) -> list[Tier]:
    """A tier and those in front of it, innermost first; stops at the first tier that is already in the chain."""
    by_name = {x.name: x for x in file.tier}
    chain = [tier]
    while (before := by_name.get(chain[-1].behind or "")) is not None and before not in chain:
        chain.append(before)
    return chain


def attempts_stay_within_repeat_factor(file: File) -> Iterator[Finding]:
    for i, tier in enumerate(file.tier):
        chain = _tier_chain(file, tier)
        product = math.prod(file.attempts_for(x) for x in chain)
        if product > file.limits.repeat_factor and file.attempts_for(tier) > 1:
            parts = " x ".join(str(file.attempts_for(x)) for x in reversed(chain))
            inherited = tier.attempts is None
            yield Finding(
                ("defaults", "attempts") if inherited else ("tier", i, "attempts"),
                "attempts-multiply",
                f"a request can reach tier {tier.name!r} {product} times ({parts}).",
                "When the tier is slow, its callers' repeats multiply and keep it overloaded.",
                f"a product of at most {file.limits.repeat_factor:g}, or a larger limits.repeat_factor",
            )


def tiers_form_no_cycle(file: File) -> Iterator[Finding]:
    for i, tier in enumerate(file.tier):
        chain = _tier_chain(file, tier)
        if chain[-1].behind in {x.name for x in chain}:
            yield Finding(
                ("tier", i, "behind"),
                "tier-loop",
                f"tier {tier.name!r} is behind itself.",
                "Calls would go in a cycle, and no tier would be the first.",
                "a chain that ends at a tier without `behind`",
            )

"""Consistency checks beyond types: one function for each kind of mistake.

Each takes a whole file and yields findings; `check_across_files` finds mistakes between files. A finding
says why the mistake matters in service, so that an operator on call can decide whether it does.
"""

from __future__ import annotations

import ipaddress
import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from leadrudder.node.routes import path_covers
from leadrudder.tool.model import File, Listener, Tier
from leadrudder.tool.source import FieldPath

GROUP_WIDTHS = {"none": 0, "cell": 1, "zone": 2, "all": 3}
BASE_MEMORY_MB = 20  # of an idle node, with room for the growth of its interpreter
# Of a node's descriptors, as the node divides them between callers and servers.
CALLER_DESCRIPTOR_FRACTION, SERVER_DESCRIPTOR_FRACTION = 0.4, 0.45
BODY_MEMORY_FRACTION = 0.25  # of a node's memory, for the bodies of open requests
WILDCARD_ADDRESSES = (ipaddress.ip_address("0.0.0.0"), ipaddress.ip_address("::"))


@dataclass(frozen=True, slots=True)
class Finding:
    """A mistake and the path of its field."""

    path: FieldPath
    rule: str
    what: str
    why: str
    right: str


Check = Callable[[File], Iterator[Finding]]


def _host(address: str) -> str:
    return address.rpartition(":")[0].strip("[]")


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])


def _first_indices(names: list[str]) -> dict[str, int]:
    """The first index of each name."""
    index: dict[str, int] = {}
    for i, name in enumerate(names):
        index.setdefault(name, i)
    return index


# ---------------------------------------------------------------- names


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


# ---------------------------------------------------------------- what may be repeated


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


# ---------------------------------------------------------------- times


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


# ---------------------------------------------------------------- addresses and routes


def addresses_are_valid(file: File) -> Iterator[Finding]:
    addresses: list[tuple[FieldPath, str]] = [
        (("listener", i, "address"), x.address) for i, x in enumerate(file.listener)
    ]
    addresses += [(("tier", i, "discovery"), x.discovery) for i, x in enumerate(file.tier)]
    for path, address in addresses:
        host, port = _host(address), _port(address)
        try:
            ipaddress.ip_address(host)
        except ValueError:
            yield Finding(
                path,
                "address-name",
                f"{host!r} is not an IP address.",
                "A node resolves no host names, as it must start even when DNS is down.",
                "an address such as 127.0.0.1",
            )
        if not 1 <= port <= 65_535:
            yield Finding(
                path,
                "port-range",
                f"port {port} does not exist.",
                "Nothing can listen there.",
                "a port from 1 to 65535",
            )


def listeners_are_permitted(file: File) -> Iterator[Finding]:
    networks = []
    for i, text in enumerate(file.limits.permitted):
        try:
            networks.append(ipaddress.ip_network(text))
        except ValueError:
            yield Finding(
                ("limits", "permitted", i),
                "network-malformed",
                f"{text!r} is not a network.",
                "The addresses that it should permit stay forbidden.",
                "an address and a prefix length, such as 127.0.0.0/8",
            )
    for i, listener in enumerate(file.listener):
        try:
            host = ipaddress.ip_address(_host(listener.address))
        except ValueError:
            continue
        if not any(host in network for network in networks):
            yield Finding(
                ("listener", i, "address"),
                "listener-not-permitted",
                f"{listener.address} is in none of {', '.join(file.limits.permitted)}.",
                "A sidecar serves its own application; other callers would bypass every share and rule.",
                "an address within limits.permitted",
            )


def addresses_conflict(first: str, second: str) -> bool:
    """Whether two listen addresses conflict: 0.0.0.0 and :: occupy every address of their port."""
    if _port(first) != _port(second):
        return False
    try:
        hosts = ipaddress.ip_address(_host(first)), ipaddress.ip_address(_host(second))
    except ValueError:
        return _host(first) == _host(second)
    return hosts[0] == hosts[1] or any(host in WILDCARD_ADDRESSES for host in hosts)


def _receives_calls_to(listen_address: str, target_address: str) -> bool:
    """Whether a listener would receive what is sent to an address.

    A listener on all addresses receives only what is sent to this machine: loopback or the same address.
    """
    if not addresses_conflict(listen_address, target_address):
        return False
    return (
        _host(listen_address) == _host(target_address)
        or _host(target_address) == "localhost"
        or _is_loopback(_host(target_address))
    )


def _is_loopback(host: str) -> bool:
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


def _shadowed_discovery(files: Iterable[File], listener: Listener) -> str | None:
    """The discovery endpoint that this listener's address would shadow, as text."""
    for file in files:
        for tier in file.tier:
            if _receives_calls_to(listener.address, tier.discovery):
                return f"discovery of tier {tier.name!r} of application {file.application.name!r} ({tier.discovery})"
    return None


def _port_taken(listener: Listener, by: str, path: FieldPath) -> Finding:
    return Finding(
        path,
        "port-taken",
        f"{listener.address} is taken by {by}.",
        "Whichever starts second fails to start, or receives the other's calls after a restart.",
        "an address and port of its own",
    )


def ports_are_unique(file: File) -> Iterator[Finding]:
    for i, listener in enumerate(file.listener):
        for other in file.listener[:i]:
            if addresses_conflict(listener.address, other.address):
                yield _port_taken(
                    listener, f"listener {other.name!r} ({other.address})", ("listener", i, "address")
                )
                break
        if (by := _shadowed_discovery([file], listener)) is not None:
            yield _port_taken(listener, by, ("listener", i, "address"))


def routes_are_reachable(file: File) -> Iterator[Finding]:
    for i, route in enumerate(file.route):
        for j, other in enumerate(file.route[:i]):
            if route.method == other.method and path_covers(other.path, route.path):
                yield Finding(
                    ("route", i, "path"),
                    "route-shadowed",
                    f"{route.method} {route.path} is never reached: route {j + 1} ({other.path}) matches first.",
                    f"Its requests get class {other.request_class!r} instead of {route.request_class!r}.",
                    "the more specific route first, or only one of the two",
                )
                break
        if "*" in route.path.removesuffix("/*"):
            yield Finding(
                ("route", i, "path"),
                "path-star",
                f"{route.path!r} has a star that is not at its end.",
                "The star would be matched literally.",
                "a path without a star, or one that ends with /*",
            )


# ---------------------------------------------------------------- shares and limits


def tenant_shares_sum_to_one(file: File) -> Iterator[Finding]:
    total = math.fsum(tenant.share for tenant in file.tenant)
    if file.tenant and abs(total - 1.0) > 1e-6:
        yield Finding(
            ("tenant", 0, "share"),
            "shares-sum",
            f"the shares of all tenants add up to {total:g}.",
            "Some tenant gets less or more than promised.",
            "shares that add up to 1",
        )


def descriptors_are_sufficient(file: File) -> Iterator[Finding]:
    limits = file.limits
    callers = int(CALLER_DESCRIPTOR_FRACTION * limits.descriptors)
    if callers < limits.open_requests:
        required = math.ceil(limits.open_requests / CALLER_DESCRIPTOR_FRACTION)
        yield Finding(
            ("limits", "descriptors"),
            "descriptors-few",
            f"{limits.descriptors} descriptors leave {callers} for callers, but {limits.open_requests} requests must be open at once.",
            "Callers' connections are refused while the servers are idle.",
            f"at least {required}, or fewer open_requests",
        )


def memory_is_sufficient(file: File) -> Iterator[Finding]:
    limits = file.limits
    bodies = limits.open_requests * limits.body_kb / 1000
    if bodies > BODY_MEMORY_FRACTION * limits.memory_mb or limits.memory_mb < BASE_MEMORY_MB + bodies:
        required = math.ceil(max(bodies / BODY_MEMORY_FRACTION, BASE_MEMORY_MB + bodies))
        yield Finding(
            ("limits", "memory_mb"),
            "memory-little",
            f"{limits.open_requests} requests of {limits.body_kb} KB hold {bodies:.0f} MB, but a node of"
            f" {limits.memory_mb} MB has {BODY_MEMORY_FRACTION * limits.memory_mb:.0f} MB for bodies.",
            "Requests are refused for lack of memory, or the node is killed for exceeding it.",
            f"at least {required}, or fewer or smaller requests",
        )


CHECKS: tuple[Check, ...] = (
    names_are_unique,
    names_are_known,
    unsafe_is_not_repeated,
    repeats_agree_within_class,
    methods_match_effects,
    keyed_classes_are_complete,
    windows_outlast_attempts,
    groups_match_tiers,
    copies_have_attempts,
    attempts_stay_within_repeat_factor,
    tiers_form_no_cycle,
    deadlines_do_not_grow_inwards,
    aims_are_within_deadlines,
    addresses_are_valid,
    listeners_are_permitted,
    ports_are_unique,
    routes_are_reachable,
    tenant_shares_sum_to_one,
    descriptors_are_sufficient,
    memory_is_sufficient,
)


# ---------------------------------------------------------------- several files


def check_across_files(files: list[File]) -> Iterator[tuple[int, Finding]]:
    """Mistakes between files, each with the index of the file that it is reported for."""
    names = [file.application.name for file in files]
    for i, file in enumerate(files):
        if file.application.name in names[:i]:
            yield (
                i,
                Finding(
                    ("application", "name"),
                    "application-taken",
                    f"application {file.application.name!r} is also in another file.",
                    "Calls to it would be ambiguous.",
                    "one file for each application",
                ),
            )
        yield from ((i, finding) for finding in _port_conflicts(files, i))
    yield from _call_cycles(files, _first_indices(names))


def _port_conflicts(files: list[File], i: int) -> Iterator[Finding]:
    for k, listener in enumerate(files[i].listener):
        for earlier in files[:i]:
            conflicting = next(
                (x for x in earlier.listener if addresses_conflict(listener.address, x.address)), None
            )
            if conflicting is not None:
                by = f"application {earlier.application.name!r} ({conflicting.name}, {conflicting.address})"
                yield _port_taken(listener, by, ("listener", k, "address"))
                break
        if (discovery := _shadowed_discovery(files[:i] + files[i + 1 :], listener)) is not None:
            yield _port_taken(listener, discovery, ("listener", k, "address"))


def _call_cycles(files: list[File], index: dict[str, int]) -> Iterator[tuple[int, Finding]]:
    """Cycles of calls between applications, each reported once, at the call that closes it."""
    state: dict[str, int] = {}  # 1: on the current path, 2: finished

    def find_cycles(name: str, call_path: list[str]) -> Iterator[tuple[int, Finding]]:
        state[name] = 1
        for k, other in enumerate(files[index[name]].application.calls):
            if state.get(other) == 1:
                cycle = " -> ".join([*call_path[call_path.index(other) :], other])
                yield (
                    index[name],
                    Finding(
                        ("application", "calls", k),
                        "application-loop",
                        f"applications call each other in a cycle: {cycle}.",
                        "A request that returns to where it started occupies a slot in each, and may cycle forever.",
                        "calls in one direction only",
                    ),
                )
            elif other in index and other not in state:
                yield from find_cycles(other, [*call_path, other])
        state[name] = 2

    for name in index:
        if name not in state:
            yield from find_cycles(name, [name])

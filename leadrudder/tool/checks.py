"""What the checks know of the system, beyond types: one function for each kind of mistake.

Each takes a whole file and yields findings; those of several files together are in `together`. A finding
tells why the mistake matters in service, as somebody has to decide at night whether it does.
"""

from __future__ import annotations

import ipaddress
import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from leadrudder.node.routes import path_covers
from leadrudder.tool.model import File, Listener, Tier
from leadrudder.tool.source import FieldPath

WIDTH = {"none": 0, "cell": 1, "zone": 2, "all": 3}
BASE_MB = 20  # of a node that holds nothing, with room for its interpreter's own growth
CALLERS_PART, SERVERS_PART = 0.4, 0.45  # of the descriptors, as the node parts them
BODIES_PART = 0.25  # of the memory, for the bodies of open requests
ANY = (ipaddress.ip_address("0.0.0.0"), ipaddress.ip_address("::"))


@dataclass(frozen=True, slots=True)
class Finding:
    """A mistake, by the path of its field."""

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


def _index(names: list[str]) -> dict[str, int]:
    """The first place of each name."""
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
                    f"{table} {name!r} is there twice.",
                    "What names it would mean either of them.",
                    "one name for each",
                )


def _unknown(path: FieldPath, rule: str, kind: str, name: str, known: list[str], why: str) -> Finding:
    return Finding(path, rule, f"there is no {kind} {name!r}.", why, f"one of {', '.join(known) or 'none'}")


def names_are_known(file: File) -> Iterator[Finding]:
    tiers = [x.name for x in file.tier]
    listeners = [x.name for x in file.listener]
    classes = [x.name for x in file.request_class]
    for i, listener in enumerate(file.listener):
        if listener.tier not in tiers:
            why = "Its node would have no servers to balance."
            yield _unknown(("listener", i, "tier"), "tier-unknown", "tier", listener.tier, tiers, why)
    for i, tier in enumerate(file.tier):
        if tier.behind is not None and tier.behind not in tiers:
            why = "Where a tier stands decides how long its node may wait and what it may shed."
            yield _unknown(("tier", i, "behind"), "tier-unknown", "tier", tier.behind, tiers, why)
    for i, route in enumerate(file.route):
        if route.listener not in listeners:
            why = "The request would reach no node."
            yield _unknown(
                ("route", i, "listener"), "listener-unknown", "listener", route.listener, listeners, why
            )
        if route.request_class not in classes:
            why = "A node answers 400 to a class that it does not know."
            yield _unknown(("route", i, "class"), "class-unknown", "class", route.request_class, classes, why)


# ---------------------------------------------------------------- what may be repeated


def unsafe_is_not_repeated(file: File) -> Iterator[Finding]:
    """Also by inheritance: then the finding stands at the default that does it."""
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
            "It would run twice whenever an answer is lost: two bookings, two payments.",
            "repeat = false" + (f" in route {i + 1}, or in [defaults]" if inherited else ""),
        )


def repeats_agree(file: File) -> Iterator[Finding]:
    """A node knows a class, not a route: one answer for each class at each listener."""
    first: dict[tuple[str, str], int] = {}
    for i, route in enumerate(file.route):
        j = first.setdefault((route.listener, route.request_class), i)
        if file.allows_repeat(file.route[j]) != file.allows_repeat(route):
            yield Finding(
                ("route", i, "repeat"),
                "repeat-mixed",
                f"class {route.request_class!r} may be repeated at {route.listener!r} by one of the routes {j + 1} and {i + 1} only.",
                "The node decides by class: one of the two would get what the other was meant to have.",
                "the same for both, or a class for each",
            )


def methods_fit(file: File) -> Iterator[Finding]:
    effects = {x.name: x.effect for x in file.request_class}
    for i, route in enumerate(file.route):
        effect = effects.get(route.request_class)
        if effect is not None and (route.method == "GET") != (effect == "safe"):
            yield Finding(
                ("route", i, "method"),
                "method-misfit",
                f"{route.method} {route.path} is of class {route.request_class!r}, which is {effect}.",
                "Nodes take GET for safe classes and POST for others only, and answer 400 to anything else.",
                "GET for a safe class, POST for a keyed or unsafe one",
            )


def keyed_classes_are_whole(file: File) -> Iterator[Finding]:
    for i, kind in enumerate(file.request_class):
        for name in ("group", "window_ms"):
            given = getattr(kind, name) is not None
            if kind.effect == "keyed" and not given:
                yield Finding(
                    ("class", i, "name"),
                    f"keyed-without-{name.removesuffix('_ms')}",
                    f"the keyed class {kind.name!r} does not say its {name}.",
                    "A repeat is dropped only by some servers, and only for some time; else it runs again.",
                    f"{name} as its servers keep it",
                )
            elif kind.effect != "keyed" and given:
                yield Finding(
                    ("class", i, name),
                    "key-unused",
                    f"class {kind.name!r} is {kind.effect} and has a {name}.",
                    "It reads as if repeats were dropped, and none are.",
                    'effect = "keyed", or no ' + name,
                )


def _tiers_of(file: File, name: str) -> Iterator[Tier]:
    """The tiers that requests of a class reach, by their routes."""
    listeners = {x.name: x.tier for x in file.listener}
    wanted = {listeners.get(route.listener) for route in file.route if route.request_class == name}
    return (tier for tier in file.tier if tier.name in wanted)


def windows_outlast_attempts(file: File) -> Iterator[Finding]:
    for i, kind in enumerate(file.request_class):
        if kind.effect != "keyed" or kind.window_ms is None:
            continue
        repeated = any(file.allows_repeat(r) for r in file.route if r.request_class == kind.name)
        if repeated and kind.window_ms < kind.deadline_ms:
            yield Finding(
                ("class", i, "window_ms"),
                "window-too-short",
                f"the window of {kind.name!r} ({kind.window_ms:g} ms) ends before its deadline"
                f" ({kind.deadline_ms:g} ms).",
                "Its last attempts may begin when the servers have forgotten the key, and run again.",
                f"at least {kind.deadline_ms:g}, or no repeat for its routes",
            )


def groups_fit_tiers(file: File) -> Iterator[Finding]:
    for i, kind in enumerate(file.request_class):
        if kind.effect != "keyed" or kind.group is None or kind.window_ms is None:
            continue
        for tier in _tiers_of(file, kind.name):
            if WIDTH[kind.group] > WIDTH[tier.drops_repeats]:
                yield Finding(
                    ("class", i, "group"),
                    "group-too-wide",
                    f"{kind.name!r} may be repeated within its {kind.group}, and tier {tier.name!r} drops repeats"
                    f" within {tier.drops_repeats!r}.",
                    "A repeat at a server that does not know the key runs again.",
                    f"a group no wider than {tier.drops_repeats!r}, or drops_repeats as the servers do",
                )
            elif kind.window_ms > tier.drops_repeats_ms:
                yield Finding(
                    ("class", i, "window_ms"),
                    "window-too-long",
                    f"{kind.name!r} counts on {kind.window_ms:g} ms, and tier {tier.name!r} remembers keys for"
                    f" {tier.drops_repeats_ms:g} ms.",
                    "A repeat after that runs again.",
                    f"window_ms of at most {tier.drops_repeats_ms:g}, or drops_repeats_ms as the servers do",
                )


def repeats_have_attempts(file: File) -> Iterator[Finding]:
    """Copies make sense with a second attempt only."""
    for i, tier in enumerate(file.tier):
        if tier.copies and file.attempts_for(tier) < 2:
            yield Finding(
                ("tier", i, "copies"),
                "copies-without-attempts",
                f"tier {tier.name!r} allows copies and makes one attempt.",
                "No copy would ever be sent, though the file says so.",
                "attempts of 2 or more, or copies = false",
            )


def _chain(file: File, tier: Tier) -> list[Tier]:
    """A tier and those in front of it; ends at a tier that is met again."""
    by_name = {x.name: x for x in file.tier}
    chain = [tier]
    while (before := by_name.get(chain[-1].behind or "")) is not None and before not in chain:
        chain.append(before)
    return chain


def attempts_do_not_multiply(file: File) -> Iterator[Finding]:
    for i, tier in enumerate(file.tier):
        chain = _chain(file, tier)
        product = math.prod(file.attempts_for(x) for x in chain)
        if product > file.limits.repeat_factor and file.attempts_for(tier) > 1:
            parts = " x ".join(str(file.attempts_for(x)) for x in reversed(chain))
            inherited = tier.attempts is None
            yield Finding(
                ("defaults", "attempts") if inherited else ("tier", i, "attempts"),
                "attempts-multiply",
                f"a request can reach tier {tier.name!r} {product} times ({parts}).",
                "When it is slow, its callers' repeats multiply and keep it down.",
                f"a product of at most {file.limits.repeat_factor:g}, or a larger limits.repeat_factor",
            )


def tiers_do_not_loop(file: File) -> Iterator[Finding]:
    for i, tier in enumerate(file.tier):
        chain = _chain(file, tier)
        if chain[-1].behind in {x.name for x in chain}:
            yield Finding(
                ("tier", i, "behind"),
                "tier-loop",
                f"tier {tier.name!r} stands behind itself.",
                "Calls would go round, and no tier be the first.",
                "a chain that ends at a tier without behind",
            )


# ---------------------------------------------------------------- times


def deadlines_shrink_inwards(file: File) -> Iterator[Finding]:
    by_name = {x.name: x for x in file.tier}
    for i, tier in enumerate(file.tier):
        front = by_name.get(tier.behind or "")
        if front is None or front is tier or tier.deadline_ms is None or front.deadline_ms is None:
            continue
        if tier.deadline_ms > front.deadline_ms:
            yield Finding(
                ("tier", i, "deadline_ms"),
                "deadline-grows",
                f"tier {tier.name!r} works for up to {tier.deadline_ms:g} ms, and tier {front.name!r} before it"
                f" waits {front.deadline_ms:g}.",
                "Its last part is work for a caller who has left.",
                f"at most {front.deadline_ms:g}",
            )


def aims_lie_within_deadlines(file: File) -> Iterator[Finding]:
    for i, kind in enumerate(file.request_class):
        if kind.aim_ms > kind.deadline_ms:
            yield Finding(
                ("class", i, "aim_ms"),
                "aim-after-deadline",
                f"class {kind.name!r} is wanted within {kind.aim_ms:g} ms and given up after {kind.deadline_ms:g}.",
                "Nothing would ever be late, and nothing be shed in time.",
                f"an aim of at most {kind.deadline_ms:g}",
            )


# ---------------------------------------------------------------- addresses and routes


def addresses_are_addresses(file: File) -> Iterator[Finding]:
    places: list[tuple[FieldPath, str]] = [
        (("listener", i, "address"), x.address) for i, x in enumerate(file.listener)
    ]
    places += [(("tier", i, "discovery"), x.discovery) for i, x in enumerate(file.tier)]
    for path, address in places:
        host, port = _host(address), _port(address)
        try:
            ipaddress.ip_address(host)
        except ValueError:
            yield Finding(
                path,
                "address-name",
                f"{host!r} is no IP address.",
                "A node resolves no names: where a name server fails, it must still start.",
                "an address such as 127.0.0.1",
            )
        if not 1 <= port <= 65_535:
            yield Finding(
                path, "port-range", f"port {port} does not exist.", "Nothing can listen there.", "1 to 65535"
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
                f"{text!r} is no network.",
                "What it should permit stays forbidden.",
                "an address and a length, such as 127.0.0.0/8",
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
                "A sidecar serves its own application; others would get past every share and rule.",
                "an address within limits.permitted",
            )


def addresses_conflict(one: str, other: str) -> bool:
    """Whether two addresses cannot both be listened on: 0.0.0.0 and :: take every address of their port."""
    if _port(one) != _port(other):
        return False
    try:
        hosts = ipaddress.ip_address(_host(one)), ipaddress.ip_address(_host(other))
    except ValueError:
        return _host(one) == _host(other)
    return hosts[0] == hosts[1] or any(host in ANY for host in hosts)


def _takes(listener: str, asked: str) -> bool:
    """Whether a listener stands where an address is asked: of all addresses, only at this machine's own."""
    if not addresses_conflict(listener, asked):
        return False
    return _host(listener) == _host(asked) or _host(asked) == "localhost" or _is_loopback(_host(asked))


def _is_loopback(host: str) -> bool:
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


def _discovery_of(files: Iterable[File], listener: Listener) -> str | None:
    """Whose discovery is asked at this listener's address."""
    for file in files:
        for tier in file.tier:
            if _takes(listener.address, tier.discovery):
                return f"discovery of tier {tier.name!r} of application {file.application.name!r} ({tier.discovery})"
    return None


def _taken(listener: Listener, by: str, path: FieldPath) -> Finding:
    return Finding(
        path,
        "port-taken",
        f"{listener.address} is taken by {by}.",
        "The one that starts second does not start, or takes the other's calls after a restart.",
        "an address and port of its own",
    )


def ports_are_free(file: File) -> Iterator[Finding]:
    for i, listener in enumerate(file.listener):
        for other in file.listener[:i]:
            if addresses_conflict(listener.address, other.address):
                yield _taken(
                    listener, f"listener {other.name!r} ({other.address})", ("listener", i, "address")
                )
                break
        if (by := _discovery_of([file], listener)) is not None:
            yield _taken(listener, by, ("listener", i, "address"))


def routes_are_reached(file: File) -> Iterator[Finding]:
    for i, route in enumerate(file.route):
        for j, other in enumerate(file.route[:i]):
            if route.method == other.method and path_covers(other.path, route.path):
                yield Finding(
                    ("route", i, "path"),
                    "route-shadowed",
                    f"{route.method} {route.path} is never reached: route {j + 1} ({other.path}) takes it first.",
                    f"Its requests are of class {other.request_class!r} then, not {route.request_class!r}.",
                    "the narrower route first, or one of the two",
                )
                break
        if "*" in route.path.removesuffix("/*"):
            yield Finding(
                ("route", i, "path"),
                "path-star",
                f"{route.path!r} has a star that is not its end.",
                "It would be taken letter by letter.",
                "a path, or one that ends with /*",
            )


# ---------------------------------------------------------------- shares and limits


def shares_add_up(file: File) -> Iterator[Finding]:
    total = math.fsum(tenant.share for tenant in file.tenant)
    if file.tenant and abs(total - 1.0) > 1e-6:
        yield Finding(
            ("tenant", 0, "share"),
            "shares-sum",
            f"the shares of all tenants add up to {total:g}.",
            "Somebody gets less, or more, than was promised.",
            "shares that add up to 1",
        )


def descriptors_suffice(file: File) -> Iterator[Finding]:
    limits = file.limits
    callers = int(CALLERS_PART * limits.descriptors)
    if callers < limits.open_requests:
        need = math.ceil(limits.open_requests / CALLERS_PART)
        yield Finding(
            ("limits", "descriptors"),
            "descriptors-few",
            f"{limits.descriptors} descriptors leave {callers} for callers, and {limits.open_requests} are to be open.",
            "Callers are turned away at the door while the servers idle.",
            f"at least {need}, or fewer open_requests",
        )


def memory_suffices(file: File) -> Iterator[Finding]:
    limits = file.limits
    bodies = limits.open_requests * limits.body_kb / 1000
    if bodies > BODIES_PART * limits.memory_mb or limits.memory_mb < BASE_MB + bodies:
        need = math.ceil(max(bodies / BODIES_PART, BASE_MB + bodies))
        yield Finding(
            ("limits", "memory_mb"),
            "memory-little",
            f"{limits.open_requests} requests of {limits.body_kb} KB hold {bodies:.0f} MB, and a node of"
            f" {limits.memory_mb} MB gives bodies {BODIES_PART * limits.memory_mb:.0f}.",
            "Requests are refused for want of memory, or the node is killed for it.",
            f"at least {need}, or fewer or smaller requests",
        )


CHECKS: tuple[Check, ...] = (
    names_are_unique,
    names_are_known,
    unsafe_is_not_repeated,
    repeats_agree,
    methods_fit,
    keyed_classes_are_whole,
    windows_outlast_attempts,
    groups_fit_tiers,
    repeats_have_attempts,
    attempts_do_not_multiply,
    tiers_do_not_loop,
    deadlines_shrink_inwards,
    aims_lie_within_deadlines,
    addresses_are_addresses,
    listeners_are_permitted,
    ports_are_free,
    routes_are_reached,
    shares_add_up,
    descriptors_suffice,
    memory_suffices,
)


# ---------------------------------------------------------------- several files


def check_across_files(files: list[File]) -> Iterator[tuple[int, Finding]]:
    """Mistakes between applications, with the number of the file at which each is told."""
    names = [file.application.name for file in files]
    for i, file in enumerate(files):
        if file.application.name in names[:i]:
            yield (
                i,
                Finding(
                    ("application", "name"),
                    "application-taken",
                    f"application {file.application.name!r} is in another file, too.",
                    "Whoever calls it would mean either.",
                    "one file for each application",
                ),
            )
        yield from ((i, finding) for finding in _ports_of_others(files, i))
    yield from _loops(files, _index(names))


def _ports_of_others(files: list[File], i: int) -> Iterator[Finding]:
    for k, listener in enumerate(files[i].listener):
        for before in files[:i]:
            found = next(
                (x for x in before.listener if addresses_conflict(listener.address, x.address)), None
            )
            if found is not None:
                by = f"application {before.application.name!r} ({found.name}, {found.address})"
                yield _taken(listener, by, ("listener", k, "address"))
                break
        if (asked := _discovery_of(files[:i] + files[i + 1 :], listener)) is not None:
            yield _taken(listener, asked, ("listener", k, "address"))


def _loops(files: list[File], index: dict[str, int]) -> Iterator[tuple[int, Finding]]:
    """Applications that call each other in a circle; told once, at the call that closes it."""
    state: dict[str, int] = {}  # 1 on the way, 2 done

    def visit(name: str, way: list[str]) -> Iterator[tuple[int, Finding]]:
        state[name] = 1
        for k, other in enumerate(files[index[name]].application.calls):
            if state.get(other) == 1:
                circle = " -> ".join([*way[way.index(other) :], other])
                yield (
                    index[name],
                    Finding(
                        ("application", "calls", k),
                        "application-loop",
                        f"applications call each other in a circle: {circle}.",
                        "A request that comes back to where it began holds a place in each, and can go on for good.",
                        "calls in one direction",
                    ),
                )
            elif other in index and other not in state:
                yield from visit(other, [*way, other])
        state[name] = 2

    for name in index:
        if name not in state:
            yield from visit(name, [name])

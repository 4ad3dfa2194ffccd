"""Addresses, ports and routes."""

from __future__ import annotations

import ipaddress
from collections.abc import Iterable, Iterator

from leadrudder.node.routes import path_covers
from leadrudder.tool.checks.finding import Finding
from leadrudder.tool.model import File, Listener
from leadrudder.tool.source import FieldPath

WILDCARD_ADDRESSES = (ipaddress.ip_address("0.0.0.0"), ipaddress.ip_address("::"))


def _host(address: str) -> str:
    return address.rpartition(":")[0].strip("[]")


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])


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


def shadowed_discovery(files: Iterable[File], listener: Listener) -> str | None:
    """The discovery endpoint that this listener's address would shadow, as text."""
    for file in files:
        for tier in file.tier:
            if _receives_calls_to(listener.address, tier.discovery):
                return f"discovery of tier {tier.name!r} of application {file.application.name!r} ({tier.discovery})"
    return None


def port_taken(listener: Listener, by: str, path: FieldPath) -> Finding:
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
                yield port_taken(
                    listener, f"listener {other.name!r} ({other.address})", ("listener", i, "address")
                )
                break
        if (by := shadowed_discovery([file], listener)) is not None:
            yield port_taken(listener, by, ("listener", i, "address"))


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

"""What a file means for one request, and what a change of it means in service."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel

from leadrudder.node.routes import path_covers
from leadrudder.tool.model import File, RequestClass, Route, Tier
from leadrudder.tool.source import SourceFile

_REQUEST = re.compile(r"([A-Z]+) +(/[!-~]*)")


class InvalidRequestError(Exception):
    """A text that is no method and path."""


def explain_request(file: File, source: SourceFile, request: str) -> Iterator[str]:
    """Lines that say which route and class take a request, what may be repeated, and by which line of the file.

    request: a method and a path, as 'POST /varaus/17'. NoRequestError if it is none.
    """
    found = _REQUEST.fullmatch(request.strip())
    if found is None:
        raise InvalidRequestError(f"{request!r} is no method and path, such as 'POST /varaus/17'")
    method, path = found[1], found[2].partition("?")[0]
    at = next((i for i, r in enumerate(file.route) if r.method == method and path_covers(r.path, path)), None)
    if at is None:
        yield f"{method} {path}: no route takes it; the application has no node for it"
        return
    route = file.route[at]
    kind = next(k for k in file.request_class if k.name == route.request_class)
    listener = next(x for x in file.listener if x.name == route.listener)
    tier = next(x for x in file.tier if x.name == listener.tier)

    def line(*where: str | int) -> str:
        return f"line {source.position(where)[0]}"

    yield f"route    {at + 1}: {route.method} {route.path} ({line('route', at)})"
    k = file.request_class.index(kind)
    yield f"class    {kind.name}, {kind.effect} ({line('class', k, 'effect')})"
    yield f"goes to  {listener.name} at {listener.address}, tier {tier.name} ({line('listener', file.listener.index(listener))})"
    yield f"repeat   {_repeat(file, route, kind)} ({_repeat_line(source, at, route)})"
    yield f"attempts {_attempts(file, tier, source)}"
    yield f"aim      {kind.aim_ms:g} ms, given up after {kind.deadline_ms:g} ms ({line('class', k, 'deadline_ms')})"
    limits = file.limits
    yield (
        f"limits   {limits.open_requests} requests open at once, bodies of {limits.body_kb} KB, {limits.memory_mb} MB"
        f" and {limits.descriptors} descriptors for the node ({line('limits')})"
    )


def _repeat(file: File, route: Route, kind: RequestClass) -> str:
    if kind.effect == "unsafe":
        return "never, once it may have run"
    if not file.allows_repeat(route):
        return "not once it may have run, as its route does not allow it"
    if kind.effect == "safe":
        return "at any server"
    return f"within its {kind.group}, for {kind.window_ms:g} ms from its first attempt"


def _repeat_line(source: SourceFile, at: int, route: Route) -> str:
    if route.repeat is not None:
        return f"line {source.position(('route', at, 'repeat'))[0]}"
    if ("defaults", "repeat") in source.positions:
        return f"inherited, line {source.position(('defaults', 'repeat'))[0]}"
    return "by default: nothing says so"


def _attempts(file: File, tier: Tier, source: SourceFile) -> str:
    where = ("tier", file.tier.index(tier), "attempts")
    said = "by default" if where not in source.positions else f"line {source.position(where)[0]}"
    if tier.attempts is None and ("defaults", "attempts") in source.positions:
        said = f"inherited, line {source.position(('defaults', 'attempts'))[0]}"
    copies = ", a copy may go out beside the first" if tier.copies else ""
    return f"up to {file.attempts_for(tier)}{copies} ({said})"


# ---------------------------------------------------------------- changes


@dataclass(frozen=True, slots=True)
class Change:
    """One field that differs. needs: what brings it into service: nothing, a reload (SIGHUP) or a restart."""

    field: str
    old: str
    new: str
    means: str
    needs: str

    def __str__(self) -> str:
        return f"{self.field}: {self.old} -> {self.new}\n    means: {self.means}\n    needs: {self.needs}"


ABSENT = "(not there)"
# Read by the tool alone.
_CHECKED_ONLY = (
    "application.calls",
    "limits.repeat_factor",
    "limits.permitted",
    "limits.open_requests",
    "version",
)


def diff_files(old: File, new: File) -> list[Change]:
    """What differs, defaults and inheritance included; tables are told apart by their names."""
    before, after = dict(_flat(old)), dict(_flat(new))
    changes = []
    for field in dict.fromkeys([*before, *after]):
        one, other = before.get(field, ABSENT), after.get(field, ABSENT)
        if one != other:
            changes.append(Change(field, one, other, _means(field, one, other), _needs(field)))
    return changes


def _flat(file: File) -> Iterator[tuple[str, str]]:
    yield "application.name", file.application.name
    for table, section in (("application", file.application), ("limits", file.limits)):
        for name, value in _fields(section):
            yield f"{table}.{name}", _text(value)
    named: tuple[tuple[str, list[Any]], ...] = (
        ("tier", list(file.tier)),
        ("listener", list(file.listener)),
        ("class", list(file.request_class)),
        ("tenant", list(file.tenant)),
    )
    for table, tables in named:
        for each in tables:
            for name, value in _fields(each):
                if table == "tier" and name == "attempts":
                    value = file.attempts_for(each)
                yield f"{table} {each.name}.{name}", _text(value)
    for i, route in enumerate(file.route):
        key = f"route {route.method} {route.path}"
        yield f"{key}.class", route.request_class
        yield f"{key}.listener", route.listener
        yield f"{key}.repeat", _text(file.allows_repeat(route))
        yield f"{key}.place", str(i + 1)


def _fields(section: BaseModel) -> Iterator[tuple[str, Any]]:
    for name in type(section).model_fields:
        if name != "name":
            yield name, getattr(section, name)


def _text(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    return f"{value:g}" if isinstance(value, float) else ABSENT if value is None else str(value)


def _means(field: str, old: str, new: str) -> str:
    last = field.rpartition(".")[2]
    known = {
        "repeat": "what may have run is sent again"
        if new == "true"
        else "what may have run is not sent again any more",
        "effect": f"a second execution counts as {new}, and callers use another method or key",
        "attempts": "more load on a tier in trouble" if new > old else "fewer chances for a request",
        "address": "the application must call another address",
        "discovery": "servers are listed elsewhere",
        "class": "other limits and another worth for these requests",
        "deadline_ms": "how long callers are kept",
        "aim_ms": "when requests are shed",
        "share": "what counts as beyond a tenant's share",
        "place": "an earlier route wins where two take a request",
        "window_ms": "how long repeats go out",
        "group": "at which servers repeats go out",
    }
    if old == ABSENT:
        return "it is new"
    if new == ABSENT:
        return "it is gone"
    return known.get(last, f"its {last} is another")


def _needs(field: str) -> str:
    if field in _CHECKED_ONLY:
        return "nothing: it is read by the tool alone"
    if field.startswith("tier ") and field.endswith(".discovery"):
        return "reload"
    return "restart"

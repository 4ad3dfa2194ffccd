"""Explains what a file means for one request, and what the differences between two files mean in service."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel

from leadrudder.node.routes import path_covers
from leadrudder.tool.model import File, RequestClass, Route, Tier
from leadrudder.tool.source import SourceFile

_REQUEST_PATTERN = re.compile(r"([A-Z]+) +(/[!-~]*)")


class InvalidRequestError(Exception):
    """A text that is not a method and a path."""


def explain_request(file: File, source: SourceFile, request: str) -> Iterator[str]:
    """Lines that name the route and class of a request and what may be repeated, with the file's line for each.

    request: a method and a path, such as 'POST /varaus/17'; raises InvalidRequestError for anything else.
    """
    match = _REQUEST_PATTERN.fullmatch(request.strip())
    if match is None:
        raise InvalidRequestError(f"{request!r} is not a method and a path, such as 'POST /varaus/17'")
    method, path = match[1], match[2].partition("?")[0]
    route_index = next(
        (i for i, r in enumerate(file.route) if r.method == method and path_covers(r.path, path)), None
    )
    if route_index is None:
        yield f"{method} {path}: no route matches it; the application has no node for it"
        return
    route = file.route[route_index]
    request_class = next(item for item in file.request_class if item.name == route.request_class)
    listener = next(x for x in file.listener if x.name == route.listener)
    tier = next(x for x in file.tier if x.name == listener.tier)

    def line(*field_path: str | int) -> str:
        return f"line {source.position(field_path)[0]}"

    yield f"route    {route_index + 1}: {route.method} {route.path} ({line('route', route_index)})"
    class_index = file.request_class.index(request_class)
    yield f"class    {request_class.name}, {request_class.effect} ({line('class', class_index, 'effect')})"
    yield f"goes to  {listener.name} at {listener.address}, tier {tier.name} ({line('listener', file.listener.index(listener))})"
    yield f"repeat   {_repeat_text(file, route, request_class)} ({_repeat_origin(source, route_index, route)})"
    yield f"attempts {_attempts_text(file, tier, source)}"
    yield f"aim      {request_class.aim_ms:g} ms, given up after {request_class.deadline_ms:g} ms ({line('class', class_index, 'deadline_ms')})"
    limits = file.limits
    yield (
        f"limits   {limits.open_requests} requests open at once, bodies of {limits.body_kb} KB, {limits.memory_mb} MB"
        f" and {limits.descriptors} descriptors for the node ({line('limits')})"
    )


def _repeat_text(file: File, route: Route, request_class: RequestClass) -> str:
    if request_class.effect == "unsafe":
        return "never, once it may have run"
    if not file.allows_repeat(route):
        return "not once it may have run, as its route does not allow it"
    if request_class.effect == "safe":
        return "at any server"
    return f"within its {request_class.group}, for {request_class.window_ms:g} ms from its first attempt"


def _repeat_origin(source: SourceFile, route_index: int, route: Route) -> str:
    if route.repeat is not None:
        return f"line {source.position(('route', route_index, 'repeat'))[0]}"
    if ("defaults", "repeat") in source.positions:
        return f"inherited, line {source.position(('defaults', 'repeat'))[0]}"
    return "by default"


def _attempts_text(file: File, tier: Tier, source: SourceFile) -> str:
    field_path = ("tier", file.tier.index(tier), "attempts")
    origin = "by default" if field_path not in source.positions else f"line {source.position(field_path)[0]}"
    if tier.attempts is None and ("defaults", "attempts") in source.positions:
        origin = f"inherited, line {source.position(('defaults', 'attempts'))[0]}"
    copies = ", a copy may be sent while the first runs" if tier.copies else ""
    return f"up to {file.attempts_for(tier)}{copies} ({origin})"


# ---------------------------------------------------------------- changes


@dataclass(frozen=True, slots=True)
class Change:
    """One field that differs. needs: what puts it into effect: nothing, a reload (SIGHUP) or a restart."""

    field: str
    old: str
    new: str
    means: str
    needs: str

    def __str__(self) -> str:
        return f"{self.field}: {self.old} -> {self.new}\n    means: {self.means}\n    needs: {self.needs}"


ABSENT = "(absent)"
# Fields that only the tool reads, not the node.
_TOOL_ONLY_FIELDS = (
    "application.calls",
    "limits.repeat_factor",
    "limits.permitted",
    "limits.open_requests",
    "version",
)


def diff_files(old: File, new: File) -> list[Change]:
    """The fields that differ, with defaults and inheritance applied; tables are matched by name."""
    before, after = dict(_flat_fields(old)), dict(_flat_fields(new))
    changes = []
    for field in dict.fromkeys([*before, *after]):
        old_value, new_value = before.get(field, ABSENT), after.get(field, ABSENT)
        if old_value != new_value:
            changes.append(
                Change(
                    field,
                    old_value,
                    new_value,
                    _meaning(field, old_value, new_value),
                    _required_action(field),
                )
            )
    return changes


def _flat_fields(file: File) -> Iterator[tuple[str, str]]:
    yield "application.name", file.application.name
    for table, section in (("application", file.application), ("limits", file.limits)):
        for name, value in _section_fields(section):
            yield f"{table}.{name}", _value_text(value)
    named_tables: tuple[tuple[str, list[Any]], ...] = (
        ("tier", list(file.tier)),
        ("listener", list(file.listener)),
        ("class", list(file.request_class)),
        ("tenant", list(file.tenant)),
    )
    for table, sections in named_tables:
        for named_section in sections:
            for name, value in _section_fields(named_section):
                if table == "tier" and name == "attempts":
                    value = file.attempts_for(named_section)
                yield f"{table} {named_section.name}.{name}", _value_text(value)
    for i, route in enumerate(file.route):
        key = f"route {route.method} {route.path}"
        yield f"{key}.class", route.request_class
        yield f"{key}.listener", route.listener
        yield f"{key}.repeat", _value_text(file.allows_repeat(route))
        yield f"{key}.place", str(i + 1)


def _section_fields(section: BaseModel) -> Iterator[tuple[str, Any]]:
    for name in type(section).model_fields:
        if name != "name":
            yield name, getattr(section, name)


def _value_text(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    return f"{value:g}" if isinstance(value, float) else ABSENT if value is None else str(value)


def _meaning(field: str, old: str, new: str) -> str:
    last = field.rpartition(".")[2]
    meanings = {
        "repeat": "requests that may have run are sent again"
        if new == "true"
        else "requests that may have run are no longer sent again",
        "effect": f"a second execution counts as {new}, and callers use another method or key",
        "attempts": "more load on a tier in trouble"
        if new > old
        else "fewer chances for a request to succeed",
        "address": "the application must call another address",
        "discovery": "the servers are listed elsewhere",
        "class": "different limits and a different worth for these requests",
        "deadline_ms": "how long callers wait",
        "aim_ms": "when requests are shed",
        "share": "which load counts as beyond a tenant's share",
        "place": "the earlier route wins where two match a request",
        "window_ms": "how long repeats are sent",
        "group": "to which servers repeats are sent",
    }
    if old == ABSENT:
        return "it is new"
    if new == ABSENT:
        return "it is removed"
    return meanings.get(last, f"its {last} changes")


def _required_action(field: str) -> str:
    if field in _TOOL_ONLY_FIELDS:
        return "nothing: only the tool reads it"
    if field.startswith("tier ") and field.endswith(".discovery"):
        return "reload"
    return "restart"

"""Which class a call is of, what it says of itself, and how it reads in the other protocol. No I/O.

A method that the operator's file does not map is refused, never guessed; so is a call whose key does not fit
its class, since what may be repeated rests on it.
"""

from __future__ import annotations

import math
from base64 import urlsafe_b64encode
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from leadrudder.interface import Effect, Settings
from leadrudder.node.contract import ClientRequest, HttpRequest, RpcCall, UpstreamResponse
from leadrudder.node.http import TOKEN_PATTERN
from leadrudder.rpc.errors import BAD_REQUEST, UNKNOWN_METHOD
from leadrudder.rpc.framing import REQUEST as REQUEST_KIND
from leadrudder.rpc.framing import FramingError, Limits, Notification, Pairs, Reader, Request, pack, unpack

MSGPACK = b"application/x-msgpack"
LONGEST_DEADLINE_S = 3600.0
HINT_MOST_US = 1e9
FIRST, LAST, POSITIONS, NOWHERE = "first", "last", "positions", "nowhere"
FIELDS = ("id", "tenant", "key", "deadline", "cost_hint")


class Turned(Exception):  # noqa: N818 - a call that is turned down, not an error of the program's
    """A call that is not taken: the code of our error, and a text for people."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


@dataclass(frozen=True, slots=True)
class Method:
    """A method of the operator's file."""

    name: str
    class_index: int
    target: bytes = b""  # where HTTP servers take it; empty: /api/ and its name


@dataclass(frozen=True, slots=True)
class Meta:
    """Where a call tells of itself: in a map that is its first or last parameter, or at fixed positions.

    names: of each field the key in that map, or its position; a field that is left out is never told.
    """

    where: str = LAST
    names: Mapping[str, str | int] = field(default_factory=lambda: {name: name for name in FIELDS})


@dataclass(frozen=True, slots=True)
class Defaults:
    """For what a call does not tell; None: it must."""

    tenant: str | None = None
    deadline_s: float | None = None


class Calls:
    """The operator's mapping, against the settings."""

    def __init__(
        self,
        settings: Settings,
        methods: tuple[Method, ...],
        meta: Meta,
        defaults: Defaults,
        fresh_id: Callable[[], bytes],
        limits: Limits,
    ) -> None:
        self._settings = settings
        self._methods = {method.name: method for method in methods}
        self._of_class = {method.class_index: method for method in reversed(methods)}
        self._tenants = {tenant.name: i for i, tenant in enumerate(settings.tenants)}
        self._meta = meta
        self._defaults = defaults
        self._fresh_id = fresh_id
        self._limits = limits

    # From a caller.

    def ask(self, call: Request | Notification) -> ClientRequest:
        """A call in the terms of the settings; Turned if it is none that a node serves."""
        method = self._methods.get(call.method)
        if method is None:
            raise Turned(UNKNOWN_METHOD, "no such method is mapped here")
        told = self._told(call)
        effect = self._settings.classes[method.class_index].effect
        if ("key" in told) != (effect is Effect.KEYED):
            raise Turned(BAD_REQUEST, "a key is told where, and only where, the class asks for one")
        if "key" in told:
            _token(told["key"], "key")
        return ClientRequest(
            id=_token(told["id"], "id") if "id" in told else self._fresh_id(),
            class_index=method.class_index,
            tenant=self._tenant(told.get("tenant", self._defaults.tenant)),
            key=0,
            budget_ms=1000.0 * self._deadline_s(told.get("deadline", self._defaults.deadline_s)),
            cost_hint_ms=_hint_ms(told.get("cost_hint")),
            is_repeat=False,
            call=RpcCall(
                call.method,
                call.params,
                isinstance(call, Notification),
                _text(told["key"]) if "key" in told else None,
            ),
        )

    def _told(self, call: Request | Notification) -> dict[str, Any]:
        """What the call says of itself, by field; only that is decoded."""
        where, names, items = self._meta.where, self._meta.names, call.items
        if where == POSITIONS:
            at = {name: i for name, i in names.items() if isinstance(i, int) and i < len(items)}
            told = {name: _decoded(call.params, items[i]) for name, i in at.items()}
        elif where == NOWHERE or not items:
            return {}
        else:
            found = _decoded(call.params, items[0 if where == FIRST else -1])
            if not isinstance(found, Pairs):
                return {}  # a call that tells nothing: the defaults hold
            told = {name: found.get(str(key)) for name, key in names.items()}
        return {name: value for name, value in told.items() if value is not None}

    def _tenant(self, name: Any) -> int:
        if not self._tenants:
            return 0
        index = self._tenants.get(name) if isinstance(name, str) else None
        if index is None:
            raise Turned(BAD_REQUEST, "the tenant is unknown or not told")
        return index

    @staticmethod
    def _deadline_s(value: Any) -> float:
        number = _number(value)
        if number is None or not 0.0 < number <= LONGEST_DEADLINE_S:
            raise Turned(BAD_REQUEST, "the deadline is no number of seconds, or not told")
        return number

    # To a server.

    def as_rpc(self, ask: ClientRequest) -> RpcCall:
        """For an RPC server: a call as it came; an HTTP request as [target, body, map of what it tells]."""
        if isinstance(ask.call, RpcCall):
            return ask.call
        method = self._of_class.get(ask.class_index)
        if method is None:
            raise Turned(UNKNOWN_METHOD, "no method is mapped for this class")
        call = ask.call
        told: dict[str, Any] = {"id": ask.id.decode("ascii"), "deadline": ask.budget_ms / 1000.0}
        if call.key is not None:
            told["key"] = call.key.decode("ascii")
        return RpcCall(method.name, pack([call.target.decode("latin-1"), call.body, told]))

    def as_http(self, ask: ClientRequest) -> HttpRequest:
        """For an HTTP server: the parameters are the body, or in the query where there may be no body."""
        if isinstance(ask.call, HttpRequest):
            return ask.call
        call = ask.call
        target = self._methods[call.method].target or b"/api/" + call.method.encode()
        if self._settings.classes[ask.class_index].effect is Effect.SAFE:
            return HttpRequest(b"GET", target + b"?params=" + urlsafe_b64encode(call.params).rstrip(b"="))
        key = None if call.key is None else call.key.encode()
        return HttpRequest(b"POST", target, key, MSGPACK, call.params)

    # Answers.

    def result(self, answer: UpstreamResponse) -> bytes:
        """The result of an RPC response: an RPC server's as it came, an HTTP server's body as it is typed."""
        if answer.packed or (answer.content_type == MSGPACK and self._is_value(answer.body)):
            return answer.body
        return pack(answer.body)

    def _is_value(self, raw: bytes) -> bool:
        """Whether these bytes are one value, whole and within the limits."""
        reader = Reader(self._limits, frozenset({REQUEST_KIND}))
        told = reader.feed(b"\x94\x00\x00\xa0\x91" + raw)
        return len(told) == 1 and reader.failure is None and not reader.held()

    @staticmethod
    def body(answer: UpstreamResponse) -> UpstreamResponse:
        """The body of an HTTP answer: a binary result is the body, any other is passed on as MessagePack."""
        if not answer.packed:
            return answer
        if answer.body[:1] in (b"\xc4", b"\xc5", b"\xc6"):
            return UpstreamResponse(unpack(answer.body))
        return UpstreamResponse(answer.body, MSGPACK)


def _decoded(params: bytes, item: tuple[int, int]) -> Any:
    try:
        return unpack(params[item[0] : item[1]])
    except (ValueError, FramingError):
        raise Turned(BAD_REQUEST, "what the call tells of itself cannot be read") from None


def _text(value: Any) -> str:
    return value if isinstance(value, str) else ""


def _token(value: Any, what: str) -> bytes:
    """An id or a key, as plain characters; Turned for anything else."""
    try:
        text = value.encode("ascii") if isinstance(value, str) else b""
    except UnicodeEncodeError:
        text = b""
    if not TOKEN_PATTERN.fullmatch(text):
        raise Turned(BAD_REQUEST, f"the {what} is no string of plain characters")
    return text


def _number(value: Any) -> float | None:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        return None
    return float(value)


def _hint_ms(value: Any) -> float | None:
    """A hint is a guess: one that cannot be read is none."""
    number = _number(value)
    return number / 1000.0 if number is not None and 0.0 < number <= HINT_MOST_US else None

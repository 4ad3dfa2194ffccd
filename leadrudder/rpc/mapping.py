"""Maps MessagePack-RPC calls to request classes and converts calls between the two protocols. No I/O.

A call of a method that the operator's file does not map is refused rather than given a guessed class. A call
whose key does not fit its class is refused as well, because the key decides whether the call may be repeated.
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
from leadrudder.rpc.framing import (
    FramingError,
    MapPairs,
    MessageLimits,
    MessageReader,
    Notification,
    Request,
    pack,
    unpack,
)

MSGPACK_CONTENT_TYPE = b"application/x-msgpack"
MAX_DEADLINE_S = 3600.0
MAX_COST_HINT_US = 1e9
FIRST, LAST, POSITIONS, NOWHERE = "first", "last", "positions", "nowhere"
METADATA_FIELDS = ("id", "tenant", "key", "deadline", "cost_hint")


class CallRejected(Exception):  # noqa: N818 - a rejected call is not a program error
    """A call that is rejected; code: the code of the reserved error. The text is for people."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


@dataclass(frozen=True, slots=True)
class Method:
    """A method mapped in the operator's file."""

    name: str
    class_index: int
    target: bytes = b""  # path on HTTP servers; empty: /api/ and the method name


@dataclass(frozen=True, slots=True)
class MetadataLayout:
    """Where a call carries its metadata: in a map that is its first or last parameter, or at fixed positions.

    names: for each metadata field, its key in that map or its position; a field without an entry is never
    read.
    """

    location: str = LAST
    names: Mapping[str, str | int] = field(default_factory=lambda: {name: name for name in METADATA_FIELDS})


@dataclass(frozen=True, slots=True)
class Defaults:
    """Values for metadata that a call omits; None: the call must provide it."""

    tenant: str | None = None
    deadline_s: float | None = None


class CallMapper:
    """Converts calls and answers by the operator's mapping and the settings."""

    def __init__(
        self,
        settings: Settings,
        methods: tuple[Method, ...],
        layout: MetadataLayout,
        defaults: Defaults,
        generate_id: Callable[[], bytes],
        limits: MessageLimits,
    ) -> None:
        self._settings = settings
        self._methods = {method.name: method for method in methods}
        self._method_by_class = {method.class_index: method for method in reversed(methods)}
        self._tenants = {tenant.name: i for i, tenant in enumerate(settings.tenants)}
        self._layout = layout
        self._defaults = defaults
        self._generate_id = generate_id
        self._limits = limits

    # Calls from a caller.

    def parse_call(self, call: Request | Notification) -> ClientRequest:
        """Parse a call from an RPC caller; CallRejected if it is not acceptable."""
        method = self._methods.get(call.method)
        if method is None:
            raise CallRejected(UNKNOWN_METHOD, "no such method is mapped here")
        metadata = self._read_metadata(call)
        effect = self._settings.classes[method.class_index].effect
        if ("key" in metadata) != (effect is Effect.KEYED):
            raise CallRejected(BAD_REQUEST, "a key is told where, and only where, the class asks for one")
        if "key" in metadata:
            _parse_token(metadata["key"], "key")
        return ClientRequest(
            id=_parse_token(metadata["id"], "id") if "id" in metadata else self._generate_id(),
            class_index=method.class_index,
            tenant=self._tenant_index(metadata.get("tenant", self._defaults.tenant)),
            key=0,
            budget_ms=1000.0 * self._deadline_s(metadata.get("deadline", self._defaults.deadline_s)),
            cost_hint_ms=_cost_hint_ms(metadata.get("cost_hint")),
            is_repeat=False,
            call=RpcCall(
                call.method,
                call.params,
                isinstance(call, Notification),
                _text_or_empty(metadata["key"]) if "key" in metadata else None,
            ),
        )

    def _read_metadata(self, call: Request | Notification) -> dict[str, Any]:
        """The metadata of a call by field; only the metadata is decoded."""
        location, names, items = self._layout.location, self._layout.names, call.items
        if location == POSITIONS:
            positions = {name: i for name, i in names.items() if isinstance(i, int) and i < len(items)}
            metadata = {name: _decode_item(call.params, items[i]) for name, i in positions.items()}
        elif location == NOWHERE or not items:
            return {}
        else:
            value_map = _decode_item(call.params, items[0 if location == FIRST else -1])
            if not isinstance(value_map, MapPairs):
                return {}  # no metadata: the defaults apply
            metadata = {name: value_map.get(str(key)) for name, key in names.items()}
        return {name: value for name, value in metadata.items() if value is not None}

    def _tenant_index(self, name: Any) -> int:
        if not self._tenants:
            return 0
        index = self._tenants.get(name) if isinstance(name, str) else None
        if index is None:
            raise CallRejected(BAD_REQUEST, "the tenant is unknown or not told")
        return index

    @staticmethod
    def _deadline_s(value: Any) -> float:
        number = _finite_number(value)
        if number is None or not 0.0 < number <= MAX_DEADLINE_S:
            raise CallRejected(BAD_REQUEST, "the deadline is no number of seconds, or not told")
        return number

    # Calls to a server.

    def to_rpc(self, client_request: ClientRequest) -> RpcCall:
        """For an RPC server: an RPC call unchanged, an HTTP request as [target, body, metadata map]."""
        if isinstance(client_request.call, RpcCall):
            return client_request.call
        method = self._method_by_class.get(client_request.class_index)
        if method is None:
            raise CallRejected(UNKNOWN_METHOD, "no method is mapped for this class")
        call = client_request.call
        metadata: dict[str, Any] = {
            "id": client_request.id.decode("ascii"),
            "deadline": client_request.budget_ms / 1000.0,
        }
        if call.key is not None:
            metadata["key"] = call.key.decode("ascii")
        return RpcCall(method.name, pack([call.target.decode("latin-1"), call.body, metadata]))

    def to_http(self, client_request: ClientRequest) -> HttpRequest:
        """For an HTTP server: params as the request body, or in the query of a GET, which has no body."""
        if isinstance(client_request.call, HttpRequest):
            return client_request.call
        call = client_request.call
        target = self._methods[call.method].target or b"/api/" + call.method.encode()
        if self._settings.classes[client_request.class_index].effect is Effect.SAFE:
            return HttpRequest(b"GET", target + b"?params=" + urlsafe_b64encode(call.params).rstrip(b"="))
        key = None if call.key is None else call.key.encode()
        return HttpRequest(b"POST", target, key, MSGPACK_CONTENT_TYPE, call.params)

    # Answers.

    def rpc_result(self, answer: UpstreamResponse) -> bytes:
        """The result of an RPC response: an RPC result unchanged, an HTTP body by its content type."""
        if answer.packed or (answer.content_type == MSGPACK_CONTENT_TYPE and self._is_value(answer.body)):
            return answer.body
        return pack(answer.body)

    def _is_value(self, raw: bytes) -> bool:
        """Whether the bytes are exactly one value within the limits."""
        reader = MessageReader(self._limits, frozenset({REQUEST_KIND}))
        messages = reader.feed(b"\x94\x00\x00\xa0\x91" + raw)
        return len(messages) == 1 and reader.failure is None and not reader.held()

    @staticmethod
    def http_body(answer: UpstreamResponse) -> UpstreamResponse:
        """The body of an HTTP answer: the content of a binary result, any other result as MessagePack."""
        if not answer.packed:
            return answer
        if answer.body[:1] in (b"\xc4", b"\xc5", b"\xc6"):
            return UpstreamResponse(unpack(answer.body))
        return UpstreamResponse(answer.body, MSGPACK_CONTENT_TYPE)


def _decode_item(params: bytes, item: tuple[int, int]) -> Any:
    try:
        return unpack(params[item[0] : item[1]])
    except (ValueError, FramingError):
        raise CallRejected(BAD_REQUEST, "what the call tells of itself cannot be read") from None


def _text_or_empty(value: Any) -> str:
    return value if isinstance(value, str) else ""


def _parse_token(value: Any, field_name: str) -> bytes:
    """Validate a request id or a key; CallRejected unless it is a token."""
    try:
        text = value.encode("ascii") if isinstance(value, str) else b""
    except UnicodeEncodeError:
        text = b""
    if not TOKEN_PATTERN.fullmatch(text):
        raise CallRejected(BAD_REQUEST, f"the {field_name} is no string of plain characters")
    return text


def _finite_number(value: Any) -> float | None:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        return None
    return float(value)


def _cost_hint_ms(value: Any) -> float | None:
    """The cost hint in milliseconds; an invalid hint is ignored, as it is only an estimate."""
    number = _finite_number(value)
    return number / 1000.0 if number is not None and 0.0 < number <= MAX_COST_HINT_US else None

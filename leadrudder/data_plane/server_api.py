"""The local API: heartbeats and deregistration of the server, /ready and /metrics for the platform."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from marshmallow import EXCLUDE, Schema, ValidationError, fields

from leadrudder.bootstrap.settings import DurationField
from leadrudder.transport.api_server import ApiRequest, ApiResponse
from leadrudder.transport.http import PLAIN_TEXT

MAX_HEARTBEAT_BYTES = 4096
_JSON_CONTENT_TYPE = b"Content-Type: application/json\r\n"


class _DetailsSchema(Schema):
    class Meta:
        unknown = EXCLUDE

    service = fields.String(required=True)
    zone = fields.String(load_default="")
    version = fields.String(load_default="")
    capacity = fields.Integer(load_default=1)


class _StatusSchema(Schema):
    class Meta:
        unknown = EXCLUDE

    state = fields.String(load_default="ready")
    count = fields.Integer(data_key="callCount", load_default=0)
    cold_ms = DurationField(data_key="coldLeft", load_default=0.0)


class _HeartbeatSchema(Schema):
    class Meta:
        unknown = EXCLUDE

    address = fields.String(load_default="")
    details = fields.Nested(_DetailsSchema, required=True)
    status = fields.Nested(_StatusSchema, load_default=dict)


_HEARTBEAT_SCHEMA = _HeartbeatSchema()


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat of a server.  count: its calls so far; cold_ms: how much longer it stays slow."""

    id: str
    service: str
    zone: str
    capacity: int
    draining: bool
    count: int
    cold_ms: float


class ServerApi:
    """Dispatches requests by method and path segments.

    on_heartbeat, on_deregistered: called for the local server; ready: whether clients may connect.
    metrics: this process's metrics, as text.
    """

    def __init__(
        self,
        on_heartbeat: Callable[[Heartbeat], None],
        on_deregistered: Callable[[str], None],
        ready: Callable[[], bool],
        metrics: Callable[[], bytes] = bytes,
    ) -> None:
        self._on_heartbeat, self._on_deregistered, self._ready, self._metrics = (
            on_heartbeat,
            on_deregistered,
            ready,
            metrics,
        )

    async def dispatch(self, request: ApiRequest) -> ApiResponse:
        match request.method, request.segments:
            case "PUT", ("servers", server_id):
                return self._put_server(server_id, request.body)
            case "DELETE", ("servers", server_id):
                self._on_deregistered(server_id)
                return ApiResponse(200)
            case "GET", ("ready",):
                return ApiResponse(200 if self._ready() else 503)
            case "GET", ("metrics",):
                return ApiResponse(200, self._metrics(), PLAIN_TEXT)
            case _, ("servers", _) | ("ready" | "metrics",):
                return ApiResponse(405)
            case _:
                return ApiResponse(404)

    def _put_server(self, server_id: str, body: bytes) -> ApiResponse:
        if len(body) > MAX_HEARTBEAT_BYTES:
            return ApiResponse(413)
        try:
            raw = cast(dict[str, Any], _HEARTBEAT_SCHEMA.load(json.loads(body)))
        except (ValueError, RecursionError, ValidationError) as error:
            return ApiResponse(400, str(error).encode() + b"\n")
        details = raw["details"]
        status = {"state": "ready", "count": 0, "cold_ms": 0.0, **raw["status"]}
        self._on_heartbeat(
            Heartbeat(
                server_id,
                details["service"],
                details["zone"],
                max(1, details["capacity"]),
                status["state"] == "draining",
                status["count"],
                status["cold_ms"],
            )
        )
        return ApiResponse(200, b"{}", _JSON_CONTENT_TYPE)

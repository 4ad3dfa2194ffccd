"""The server's own calls: beats and signing off, one dispatch on method and path segments.

And what the platform asks: /ready and /metrics.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from marshmallow import EXCLUDE, Schema, ValidationError, fields

from leadrudder.bootstrap.settings import DurationField
from leadrudder.transport.http import PLAIN_TEXT, Call, Told

BEAT_MOST = 4096  # bytes
_JSON = b"Content-Type: application/json\r\n"


class _Details(Schema):
    class Meta:
        unknown = EXCLUDE

    service = fields.String(required=True)
    zone = fields.String(load_default="")
    version = fields.String(load_default="")
    capacity = fields.Integer(load_default=1)


class _Status(Schema):
    class Meta:
        unknown = EXCLUDE

    state = fields.String(load_default="ready")
    count = fields.Integer(data_key="callCount", load_default=0)
    cold_ms = DurationField(data_key="coldLeft", load_default=0.0)


class _Beat(Schema):
    class Meta:
        unknown = EXCLUDE

    address = fields.String(load_default="")
    details = fields.Nested(_Details, required=True)
    status = fields.Nested(_Status, load_default=dict)


_BEAT = _Beat()


@dataclass(frozen=True, slots=True)
class Beat:
    """What a server tells of itself.  cold_ms: how much longer it stays slow."""

    id: str
    service: str
    zone: str
    capacity: int
    draining: bool
    count: int
    cold_ms: float


class Beats:
    """beat and left take in what the server says; ready tells whether clients may come.

    metrics: this process's figures, as text.
    """

    def __init__(
        self,
        beat: Callable[[Beat], None],
        left: Callable[[str], None],
        ready: Callable[[], bool],
        metrics: Callable[[], bytes] = bytes,
    ) -> None:
        self._beat, self._left, self._ready, self._metrics = beat, left, ready, metrics

    async def dispatch(self, call: Call) -> Told:
        match call.method, call.segments:
            case "PUT", ("servers", name):
                return self._put(name, call.body)
            case "DELETE", ("servers", name):
                self._left(name)
                return Told(200)
            case "GET", ("ready",):
                return Told(200 if self._ready() else 503)
            case "GET", ("metrics",):
                return Told(200, self._metrics(), PLAIN_TEXT)
            case _, ("servers", _) | ("ready" | "metrics",):
                return Told(405)
            case _:
                return Told(404)

    def _put(self, name: str, body: bytes) -> Told:
        if len(body) > BEAT_MOST:
            return Told(413)
        try:
            raw = cast(dict[str, Any], _BEAT.load(json.loads(body)))
        except (ValueError, ValidationError) as error:
            return Told(400, str(error).encode() + b"\n")
        details = raw["details"]
        status = {"state": "ready", "count": 0, "cold_ms": 0.0, **raw["status"]}
        self._beat(
            Beat(
                name,
                details["service"],
                details["zone"],
                max(1, details["capacity"]),
                status["state"] == "draining",
                status["count"],
                status["cold_ms"],
            )
        )
        return Told(200, b"{}", _JSON)

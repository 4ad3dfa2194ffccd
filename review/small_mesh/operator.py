"""The operator: orders and reads over HTTP, as PROTOCOL.md describes them."""

from __future__ import annotations

import http.client
import json
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from small_mesh.record import Record

CALL_TIMEOUT_S = 1.0  # of silence, after which another node is called
FINAL_STATUSES = frozenset((400, 409, 412, 413, 422))

Address = tuple[str, int]


@dataclass(frozen=True)
class Reply:
    """The answer to one call; status 0: none came."""

    status: int
    body: bytes = b""


def call_once(
    address: Address, method: str, path: str, body: bytes = b"", timeout_s: float = CALL_TIMEOUT_S
) -> Reply:
    """One call on a connection of its own."""
    connection = http.client.HTTPConnection(*address, timeout=timeout_s)
    try:
        fields = {"Content-Type": "application/json"} if body else {}
        connection.request(method, path, body or None, fields)
        response = connection.getresponse()
        return Reply(response.status, response.read())
    except (OSError, http.client.HTTPException):
        return Reply(0)
    finally:
        connection.close()


class Operator:
    """Calls the nodes that serve control, one after the other."""

    def __init__(self, addresses: Sequence[Address], record: Record) -> None:
        self.addresses, self._record = list(addresses), record

    def order(self, method: str, path: str, body: Any = None, timeout_s: float = 20.0) -> Reply:
        """Send an order until it has a clear answer; status 0 if there is none in time."""
        data = json.dumps(body).encode() if body is not None else b""
        give_up_at, pause_s, turn = time.monotonic() + timeout_s, 0.05, 0
        while time.monotonic() < give_up_at:
            address = self.addresses[turn % len(self.addresses)]
            turn += 1
            reply = call_once(address, method, path, data)
            if 200 <= reply.status < 300 or reply.status in FINAL_STATUSES:
                self._record.note(f"operator: {method} {path} at {address[0]}: {reply.status}")
                return reply
            time.sleep(pause_s)
            pause_s = min(0.5, 2.0 * pause_s)
        self._record.note(f"operator: {method} {path}: no clear answer for {timeout_s:.0f} s")
        return Reply(0)

    def read_configuration(self, timeout_s: float) -> dict[str, Any] | None:
        """GET /config at any node, again and again; None if nothing came back in time."""
        give_up_at, turn = time.monotonic() + timeout_s, 0
        statuses: dict[int, int] = {}
        while time.monotonic() < give_up_at:
            reply = call_once(self.addresses[turn % len(self.addresses)], "GET", "/config")
            turn += 1
            statuses[reply.status] = statuses.get(reply.status, 0) + 1
            if reply.status == 200:
                self._record.note(f"operator: GET /config: 200 after answers {statuses}")
                configuration: dict[str, Any] = json.loads(reply.body)
                return configuration
            time.sleep(0.1)
        self._record.note(
            f"operator: GET /config: nothing came back in {timeout_s:.0f} s, answers {statuses}"
        )
        return None


def route(
    service: str, version: int, host: str = "host.example", kind: str = "safe", **other: Any
) -> dict[str, Any]:
    """A route item."""
    return {
        "host": host,
        "pathStart": "/a/",
        "kind": kind,
        "giveUp": "1000ms",
        "target": "400ms",
        "priority": 1,
        "service": service,
        "tries": 2,
        "version": f"{version:08x}",
        **other,
    }


def service(version: int, **other: Any) -> dict[str, Any]:
    """A service item."""
    return {
        "healthPath": "/health",
        "maxConnections": 110,
        "protocol": "h1",
        "tlsMode": False,
        "coldStart": "3s",
        "coldPerS": 11.0,
        "version": f"{version:08x}",
        **other,
    }


def limits(version: int) -> dict[str, Any]:
    """The limits item."""
    return {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerWait": "3000ms",
        "idle": "15000ms",
        "version": f"{version:08x}",
    }


def configuration(
    routes: dict[str, Any], services: dict[str, Any], limit_item: dict[str, Any] | None = None
) -> dict[str, Any]:
    """The body of a PATCH that adds items."""
    added: dict[str, Any] = {"routes": routes, "services": services}
    if limit_item is not None:
        added["limits"] = limit_item
    return {"addOrReplace": added, "remove": {"routes": []}}

"""The operators' HTTP API: one dispatch on method and path segments."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Protocol

from returns.result import Failure, Success

from leadrudder.bootstrap.log_buffer import LogBuffer
from leadrudder.configuration import validation
from leadrudder.configuration.item_store import ItemStore
from leadrudder.configuration.items import EVACUATION_PREFIX, MAX_VOTERS, SERVICE_PREFIX, VOTER_COUNT_KEY
from leadrudder.consensus.anti_entropy import ReplicaLag
from leadrudder.consensus.outputs import Answer, ResultCode
from leadrudder.control_plane.orders import LATE_RESPONSE, OrderExecutor, OrderResult
from leadrudder.protocol.mesh_pb2 import Item
from leadrudder.transport.api_server import ApiRequest, ApiResponse
from leadrudder.transport.http import PLAIN_TEXT, RETRY_AFTER_HEADER

CALL_TIMEOUT_S = 0.95  # clients time out after one second and then try another node
_JSON_FIELDS = b"Content-Type: application/json\r\n"

ReadItems = Callable[[], Awaitable[Answer]]
PackSnapshot = Callable[[Iterable[Item]], bytes]


class Commit(Protocol):
    """Writes items through a majority.  late: the caller may have given up."""

    async def __call__(self, items: list[Item], *, late: bool = False) -> Answer: ...


class OperatorApi:
    """committed_items: this process's view of the control state.  commit, read_items: through a majority.

    pack_snapshot: encodes items as a snapshot.  list_replica_lag: what other replicas are missing.
    describe_voters: the holder of each voter slot.  min_voters: the fewest voter slots that tolerate the
    configured number of machine losses.  fallback: handles requests that are not listed here, or returns
    None.  metrics_text: this process's metrics in text format.  orders: carries out requests without a
    version.
    """

    def __init__(
        self,
        committed_items: Callable[[], ItemStore],
        commit: Commit,
        read_items: ReadItems,
        zones: Iterable[str],
        log_buffer: LogBuffer,
        pack_snapshot: PackSnapshot = lambda items: b"",
        list_replica_lag: Callable[[], list[ReplicaLag]] = list,
        describe_voters: Callable[[], dict[str, Any]] = dict,
        min_voters: int = 1,
        fallback: Callable[[ApiRequest], Awaitable[ApiResponse | None]] | None = None,
        metrics_text: Callable[[], bytes] = bytes,
        orders: OrderExecutor | None = None,
    ) -> None:
        self._orders = orders or OrderExecutor(committed_items, commit, log_buffer)
        self._fallback, self._metrics_text = fallback, metrics_text
        self._describe_voters, self._min_voters = describe_voters, min_voters
        self._pack_snapshot, self._list_replica_lag = pack_snapshot, list_replica_lag
        self._committed_items, self._commit, self._read_items = committed_items, commit, read_items
        self._zones = frozenset(zones)
        self._log_buffer = log_buffer

    async def dispatch(self, call: ApiRequest) -> ApiResponse:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                match call.method, call.segments:
                    case "PATCH", ("config",):
                        return await self._patch_config(call)
                    case "GET", ("config",):
                        return await self._get_config()
                    case "POST", ("evacuate", zone):
                        return await self._set_evacuation(call, zone, True)
                    case "DELETE", ("evacuate", zone):
                        return await self._set_evacuation(call, zone, False)
                    case "GET", ("snapshot",):
                        return await self._get_snapshot()
                    case "GET", ("repair",):
                        lags = [dataclasses.asdict(each) for each in self._list_replica_lag()]
                        return ApiResponse(200, json.dumps(lags).encode(), _JSON_FIELDS)
                    case "GET", ("core",):
                        return ApiResponse(200, json.dumps(self._describe_voters()).encode(), _JSON_FIELDS)
                    case "POST", ("core", voters):
                        return await self._resize_core(call, voters)
                    case "GET", ("ring",):
                        return ApiResponse(200, "\n".join(self._log_buffer.lines()).encode() + b"\n")
                    case "GET", ("metrics",):
                        return ApiResponse(200, self._metrics_text(), PLAIN_TEXT)
                    case (
                        _,
                        ("config" | "ring" | "metrics" | "snapshot" | "repair" | "core",)
                        | ("evacuate" | "core", _),
                    ):
                        return ApiResponse(405)
                    case _:
                        response = await self._fallback(call) if self._fallback is not None else None
                        return response if response is not None else ApiResponse(404)
        except TimeoutError:
            return ApiResponse(503, b"no majority answered in time\n", RETRY_AFTER_HEADER)

    async def _patch_config(self, call: ApiRequest) -> ApiResponse:
        parsed = validation.parse(call.body)
        if isinstance(parsed, Failure):
            return self._reject(parsed.failure())
        assert isinstance(parsed, Success)
        patch = parsed.unwrap()
        findings = validation.unknown_services(patch, self._committed_items().live_items(SERVICE_PREFIX))
        if findings:
            # The view of this process may be stale: a majority knows whether the service exists.
            answer = await self._read_items()
            if answer.code is not ResultCode.DONE:
                return ApiResponse(503, b"no majority answered in time\n", RETRY_AFTER_HEADER)
            item_store = ItemStore()
            item_store.merge(answer.items)
            findings = validation.unknown_services(patch, item_store.live_items(SERVICE_PREFIX))
            if findings:
                return self._reject(findings)
        items = [
            Item(key=c.key, version=c.version, dropped=c.value is None, value=c.value or b"")
            for c in patch.changes
        ]
        answer = await self._commit(items, late=not call.caller.still_waits())
        if answer.code is ResultCode.DONE:
            return ApiResponse(200, b"{}", _JSON_FIELDS)
        if answer.code is ResultCode.CONFLICT:
            self._log_buffer.record(f"409: {[c.key for c in patch.changes][:3]}")
            return ApiResponse(409, b"an item's version has another value already\n")
        return ApiResponse(503, b"no majority answered in time\n", RETRY_AFTER_HEADER)

    def _reject(self, findings: list[validation.Finding]) -> ApiResponse:
        self._log_buffer.record(f"400: {findings[0]}")
        return ApiResponse(400, "".join(f"{finding}\n" for finding in findings[:20]).encode())

    async def _get_config(self) -> ApiResponse:
        answer = await self._read_items()
        if answer.code is not ResultCode.DONE:
            return ApiResponse(503, b"no majority answered in time\n", RETRY_AFTER_HEADER)
        item_store = ItemStore()
        item_store.merge(answer.items)
        return ApiResponse(200, json.dumps(item_store.as_configuration()).encode(), _JSON_FIELDS)

    async def _get_snapshot(self) -> ApiResponse:
        answer = await self._read_items()
        if answer.code is not ResultCode.DONE:
            return ApiResponse(503, b"no majority answered in time\n", RETRY_AFTER_HEADER)
        return ApiResponse(
            200, self._pack_snapshot(answer.items), b"Content-Type: application/octet-stream\r\n"
        )

    async def _set_evacuation(self, call: ApiRequest, zone: str, on: bool) -> ApiResponse:
        if self._zones and zone not in self._zones:
            return ApiResponse(404, b"no such zone\n")
        return await self._execute_order(call, EVACUATION_PREFIX + zone, b"1" if on else b"0")

    async def _resize_core(self, call: ApiRequest, voters: str) -> ApiResponse:
        """Sets the number of voters: an odd one, as one voter more would tolerate no further loss."""
        wanted = int(voters) if voters.isascii() and voters.isdigit() and len(voters) <= 3 else 0
        if not self._min_voters <= wanted <= MAX_VOTERS or wanted % 2 == 0:
            return ApiResponse(
                400, f"an odd number from {self._min_voters} to {MAX_VOTERS} is wanted\n".encode()
            )
        return await self._execute_order(call, VOTER_COUNT_KEY, b"%d" % wanted)

    async def _execute_order(self, call: ApiRequest, key: str, value: bytes) -> ApiResponse:
        result = await self._orders.execute(call, key, value)
        if result is OrderResult.TOO_LATE:
            return LATE_RESPONSE
        if result is OrderResult.NO_MAJORITY:
            return ApiResponse(503, b"no majority answered in time\n", RETRY_AFTER_HEADER)
        return ApiResponse(200)

"""What operators call: one dispatch on method and path segments."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from returns.result import Failure, Success

from leadrudder.bootstrap.log_buffer import LogBuffer
from leadrudder.configuration import validation
from leadrudder.configuration.item_store import ItemStore
from leadrudder.configuration.items import EVACUATION_PREFIX, MAX_VOTERS, SERVICE_PREFIX, VOTER_COUNT_KEY
from leadrudder.consensus.anti_entropy import Owed
from leadrudder.consensus.outputs import Answer, Code
from leadrudder.protocol.mesh_pb2 import Item
from leadrudder.transport.http import PLAIN_TEXT, Call, Told

CALL_S = 0.95  # operators wait a second, then go to another node
_JSON = b"Content-Type: application/json\r\n"
_COME_BACK = b"Retry-After: 0.2\r\n"

Change = Callable[[list[Item]], Awaitable[Answer]]
Read = Callable[[], Awaitable[Answer]]
Pack = Callable[[Iterable[Item]], bytes]


class Operator:
    """known: what this process holds of the control state; change and read: through the interlocking.

    pack: items as a snapshot.  owed: what other holders of seats miss.  core: who holds which seat.  least:
    the fewest seats that bear the losses that are to be borne.  metrics: this process's figures, as text.
    """

    def __init__(
        self,
        known: Callable[[], ItemStore],
        change: Change,
        read: Read,
        zones: Iterable[str],
        ring: LogBuffer,
        pack: Pack = lambda items: b"",
        owed: Callable[[], list[Owed]] = list,
        core: Callable[[], dict[str, Any]] = dict,
        least: int = 1,
        more: Callable[[Call], Awaitable[Told | None]] | None = None,
        metrics: Callable[[], bytes] = bytes,
    ) -> None:
        self._more, self._metrics = more, metrics
        self._core, self._least = core, least
        self._pack, self._owed = pack, owed
        self._known, self._change, self._read = known, change, read
        self._zones = frozenset(zones)
        self._ring = ring

    async def dispatch(self, call: Call) -> Told:
        try:
            async with asyncio.timeout(CALL_S):
                match call.method, call.segments:
                    case "PATCH", ("config",):
                        return await self._patch(call.body)
                    case "GET", ("config",):
                        return await self._get()
                    case "POST", ("evacuate", zone):
                        return await self._evacuate(zone, True)
                    case "DELETE", ("evacuate", zone):
                        return await self._evacuate(zone, False)
                    case "GET", ("snapshot",):
                        return await self._snapshot()
                    case "GET", ("repair",):
                        owed = [dataclasses.asdict(each) for each in self._owed()]
                        return Told(200, json.dumps(owed).encode(), _JSON)
                    case "GET", ("core",):
                        return Told(200, json.dumps(self._core()).encode(), _JSON)
                    case "POST", ("core", seats):
                        return await self._size(seats)
                    case "GET", ("ring",):
                        return Told(200, "\n".join(self._ring.lines()).encode() + b"\n")
                    case "GET", ("metrics",):
                        return Told(200, self._metrics(), PLAIN_TEXT)
                    case (
                        _,
                        ("config" | "ring" | "metrics" | "snapshot" | "repair" | "core",)
                        | ("evacuate" | "core", _),
                    ):
                        return Told(405)
                    case _:
                        told = await self._more(call) if self._more is not None else None
                        return told if told is not None else Told(404)
        except TimeoutError:
            return Told(503, b"no majority answered in time\n", _COME_BACK)

    async def _patch(self, body: bytes) -> Told:
        parsed = validation.parse(body)
        if isinstance(parsed, Failure):
            return self._refuse(parsed.failure())
        assert isinstance(parsed, Success)
        call = parsed.unwrap()
        findings = validation.unknown_services(call, self._known().live_items(SERVICE_PREFIX))
        if findings:
            # What this process knows may be old: a majority knows whether there is such a service.
            answer = await self._read()
            if answer.code is not Code.DONE:
                return Told(503, b"no majority answered in time\n", _COME_BACK)
            book = ItemStore()
            book.merge(answer.items)
            findings = validation.unknown_services(call, book.live_items(SERVICE_PREFIX))
            if findings:
                return self._refuse(findings)
        changed = [
            Item(key=c.key, version=c.version, dropped=c.value is None, value=c.value or b"")
            for c in call.changes
        ]
        answer = await self._change(changed)
        if answer.code is Code.DONE:
            return Told(200, b"{}", _JSON)
        if answer.code is Code.CONFLICT:
            self._ring.record(f"409: {[c.key for c in call.changes][:3]}")
            return Told(409, b"an item's version has another value already\n")
        return Told(503, b"no majority answered in time\n", _COME_BACK)

    def _refuse(self, findings: list[validation.Finding]) -> Told:
        self._ring.record(f"400: {findings[0]}")
        return Told(400, "".join(f"{finding}\n" for finding in findings[:20]).encode())

    async def _get(self) -> Told:
        answer = await self._read()
        if answer.code is not Code.DONE:
            return Told(503, b"no majority answered in time\n", _COME_BACK)
        book = ItemStore()
        book.merge(answer.items)
        return Told(200, json.dumps(book.as_configuration()).encode(), _JSON)

    async def _snapshot(self) -> Told:
        answer = await self._read()
        if answer.code is not Code.DONE:
            return Told(503, b"no majority answered in time\n", _COME_BACK)
        return Told(200, self._pack(answer.items), b"Content-Type: application/octet-stream\r\n")

    async def _evacuate(self, zone: str, on: bool) -> Told:
        if self._zones and zone not in self._zones:
            return Told(404, b"no such zone\n")
        return await self._order(EVACUATION_PREFIX + zone, b"1" if on else b"0")

    async def _size(self, seats: str) -> Told:
        """How many seats the control state is to have: odd, as one more would bear no more losses."""
        wanted = int(seats) if seats.isascii() and seats.isdigit() and len(seats) <= 3 else 0
        if not self._least <= wanted <= MAX_VOTERS or wanted % 2 == 0:
            return Told(400, f"an odd number from {self._least} to {MAX_VOTERS} is wanted\n".encode())
        return await self._order(VOTER_COUNT_KEY, b"%d" % wanted)

    async def _order(self, key: str, value: bytes) -> Told:
        known = self._known().items.get(key)
        while True:
            # Orders have no version: each counts on from the one before, so a late one finds it has moved on.
            version = 1 if known is None else known.version + (known.value != value)
            answer = await self._change([Item(key=key, version=version, value=value)])
            if answer.code is Code.DONE:
                return Told(200)
            if answer.code is not Code.CONFLICT:
                return Told(503, b"no majority answered in time\n", _COME_BACK)
            known = next((item for item in answer.items if item.key == key), None)

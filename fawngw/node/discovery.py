"""Discovery: whole lists and watches, turned into ServerList events and addresses."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

import httptools

from fawngw.interface import ListKind, Readiness, ServerEntry, ServerId, ServerList

log = logging.getLogger(__name__)

SILENCE_S = 7.0  # a watch sends an empty line every 2 s: after three missing ones its machine is cut off
REWATCH_S = 0.25  # pause before the local agent is watched anew
MAX_LINE = 4 * 1024 * 1024  # a list of some ten thousand servers

_LIFECYCLES = {
    "SERVING": Readiness.READY,
    "DRAINING": Readiness.DRAINING,
    "DELETED": Readiness.GONE,
}


class ListError(Exception):
    """A list from discovery that cannot be read; its text names the field."""


@dataclass(frozen=True, slots=True)
class Listing:
    """A list or a change of it, in the module's form, and where its servers listen."""

    version: int
    whole: bool
    entries: tuple[ServerEntry, ...]
    addresses: dict[ServerId, tuple[str, int]]

    def event(self, *, cached: bool = False) -> ServerList:
        """What the module is told."""
        kind = ListKind.CACHED if cached else ListKind.FULL if self.whole else ListKind.CHANGES
        return ServerList(kind, self.entries, self.version)


@dataclass(slots=True)
class Naming:
    """Turns discovery's names of zones, machine types and cells into the module's numbers."""

    zones: tuple[str, ...]
    models: tuple[str, ...]
    _others: dict[tuple[str, str], int] = field(default_factory=dict)

    def read(self, raw: Any) -> Listing:
        """One object of discovery's; ListError if it is not one."""
        try:
            instances = raw["instances"]
            entries, addresses = [], {}
            for item in instances:
                entry = self._entry(item)
                entries.append(entry)
                host, _, port = item["hostPort"].rpartition(":")
                addresses[entry.server] = (host, int(port))
            return Listing(int(raw["generation"]), bool(raw["reset"]), tuple(entries), addresses)
        except KeyError as error:
            raise ListError(f"{error} is missing or unknown") from None
        except (TypeError, ValueError, AttributeError) as error:
            raise ListError(f"not a list of servers: {error}") from None

    def _entry(self, item: dict[str, Any]) -> ServerEntry:
        return ServerEntry(
            server=item["instanceId"].encode(),
            readiness=_LIFECYCLES[item["lifecycle"]],
            capacity_hint=float(item.get("weight", 1.0)),
            kind=self._number("kind", self.models, item.get("machineType", "")),
            zone=self._number("zone", self.zones, item.get("zone", "")),
            cell=self._number("cell", (), item.get("cell", 0)),
            started_ms=float(item.get("startedAtMs", 0)),
        )

    def _number(self, sort: str, names: tuple[str, ...], name: Any) -> int:
        if isinstance(name, int):
            return name
        if name in names:
            return names.index(name)
        # A name that the settings do not list still tells its servers from the others.
        return self._others.setdefault((sort, str(name)), len(names) + len(self._others))


class _Watch(asyncio.Protocol):
    """One watch on one connection: whole lines out, one call to ended at its end."""

    def __init__(self, target: bytes, host: bytes, lines: Callable[[bytes], None], ended: Callable[[], None]):
        self._request = b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (target, host)
        self._lines = lines
        self._ended = ended
        self._parser = httptools.HttpResponseParser(self)
        self._rest = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass
        self.transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            log.warning("discovery: the answer cannot be read: %s", error)
            self._close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._ended()

    def on_headers_complete(self) -> None:
        if self._parser.get_status_code() != 200:
            self._close()

    def on_body(self, part: bytes) -> None:
        *whole, self._rest = (self._rest + part).split(b"\n")
        for line in whole:
            self._lines(line)
        if len(self._rest) > MAX_LINE:
            log.warning("discovery: a line of more than %d bytes", MAX_LINE)
            self._close()

    def on_message_complete(self) -> None:
        self._close()

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Discovery:
    """Keeps at most one watch; tells of each list, and once of each call or watch that failed.

    Where lists are pushed the watch is on the machine's own agent: it costs nothing, is kept up without
    being asked for, and its breaks say nothing of the list.
    """

    def __init__(
        self,
        address: tuple[str, int],
        naming: Naming,
        *,
        pushed: bool,
        call_s: float,
        on_list: Callable[[Listing], None],
        on_failed: Callable[[], None],
    ) -> None:
        self._address = address
        self._naming = naming
        self._pushed = pushed
        self._call_s = call_s
        self._on_list = on_list
        self._on_failed = on_failed
        self._loop = asyncio.get_running_loop()
        self._version = 0
        self._watch: _Watch | None = None
        self._call: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self, version: int) -> None:
        """Begin from the version of the known list."""
        self._version = version
        if self._pushed:
            self.subscribe()

    def subscribe(self) -> None:
        """Watch from the last version on; replaces a watch that is still there."""
        self.close()
        self._call = self._loop.create_task(self._open())

    def close(self) -> None:
        """Drop the watch without a word."""
        watch, self._watch = self._watch, None
        if self._call is not None:
            self._call.cancel()
            self._call = None
        self._expect(None)
        if watch is not None:
            watch._close()

    async def _open(self) -> None:
        host, port = self._address
        target = b"/v1/endpoints?watch=1&from=%d" % self._version
        watch = _Watch(
            target,
            b"%s:%d" % (host.encode(), port),
            lambda line: self._line(watch, line),
            lambda: self._lost(watch),
        )
        self._watch = watch
        self._expect(self._call_s)
        try:
            await self._loop.create_connection(lambda: watch, host, port)
        except OSError:
            self._lost(watch)

    def _expect(self, seconds: float | None) -> None:
        """A cut link says nothing: without a word in this time the watch has failed."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None if seconds is None else self._loop.call_later(seconds, self._fail)

    def _line(self, watch: _Watch, line: bytes) -> None:
        if watch is not self._watch:
            return  # a late line of a watch that was given up
        self._expect(SILENCE_S)
        if not line.strip():
            return
        try:
            listing = self._naming.read(json.loads(line))
        except (ValueError, ListError) as error:
            log.warning("discovery: bad line: %s", error)
            self._fail()
            return
        self._version = listing.version
        self._on_list(listing)

    def _lost(self, watch: _Watch) -> None:
        if watch is self._watch:
            self._fail()

    def _fail(self) -> None:
        self.close()
        if self._pushed:
            self._timer = self._loop.call_later(REWATCH_S, self.subscribe)
        else:
            self._on_failed()

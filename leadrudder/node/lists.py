"""Lists of servers as discovery words them, read in slices, and what a whole list changes.  No I/O.

A list of ten thousand servers takes a quarter of a second to read and to follow; done in one go, every
request of the node would wait for it.  What is long is therefore read by a generator that stops after every
SLICE entries, and handed on in pieces of as many: first what drains or has gone, since rules hang on it.
"""

from __future__ import annotations

import json
import logging
import math
import re
from collections.abc import Generator, Iterable, Iterator
from dataclasses import dataclass
from typing import Any, cast
from zlib import crc32

from leadrudder.interface import UNTOLD, ListKind, Readiness, ServerEntry, ServerId, ServerList

log = logging.getLogger(__name__)

CHUNK_ENTRIES = 200  # entries; reading or following as many takes a few milliseconds
SHORT_LINE_BYTES = 64 * 1024  # a line of fewer bytes is read in one go

_LIFECYCLES = {
    "SERVING": Readiness.READY,
    "DRAINING": Readiness.DRAINING,
    "DELETED": Readiness.GONE,
}
_SPACE = re.compile(r"[ \t\n\r]*")
_decoder = json.JSONDecoder()

Address = tuple[str, int]


class EndpointListError(Exception):
    """A list from discovery that cannot be read; its text names the field."""


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """A list or a change of it, in the module's form, and where its servers listen."""

    version: int
    is_snapshot: bool
    entries: tuple[ServerEntry, ...]
    addresses: dict[ServerId, Address]
    has_more: bool = False  # further pieces of the same list follow

    def to_event(self, *, cached: bool = False) -> ServerList:
        """What the module is told."""
        kind = ListKind.CACHED if cached else ListKind.FULL if self.is_snapshot else ListKind.CHANGES
        return ServerList(kind, self.entries, self.version, self.has_more)


@dataclass(frozen=True, slots=True)
class DiscoveryDecoder:
    """Turns discovery's names of zones, machine types and cells into the module's numbers."""

    zones: tuple[str, ...]
    models: tuple[str, ...]

    def decode(self, raw: Any) -> EndpointUpdate:
        """One object of discovery's; ListError if it is not one."""
        return run_to_end(self.decode_members(_members_of(raw)))

    def decode_text(self, text: str) -> Generator[None, None, EndpointUpdate]:
        """The same of its text, a slice at a time; ListError also for what is no JSON."""
        return self.decode_members(iter_members(text))

    def decode_members(self, parts: Iterable[tuple[str, Any]]) -> Generator[None, None, EndpointUpdate]:
        """From the members of the object, those of 'instances' one by one."""
        told: dict[str, Any] = {}
        entries: list[ServerEntry] = []
        addresses: dict[ServerId, Address] = {}
        try:
            for key, value in parts:
                if key != "instances":
                    told[key] = value
                    continue
                entry = self._entry(value)
                entries.append(entry)
                host, _, port = value["hostPort"].rpartition(":")
                addresses[entry.server] = (host, int(port))
                if len(entries) % CHUNK_ENTRIES == 0:
                    yield
            _tell_oddities(entries, len(addresses))
            return EndpointUpdate(int(told["generation"]), bool(told["reset"]), tuple(entries), addresses)
        except KeyError as error:
            raise EndpointListError(f"{error} is missing or unknown") from None
        except (TypeError, ValueError, AttributeError, RecursionError) as error:
            raise EndpointListError(f"not a list of servers: {error}") from None

    def _entry(self, item: dict[str, Any]) -> ServerEntry:
        return ServerEntry(
            server=item["instanceId"].encode(),
            readiness=_LIFECYCLES[item["lifecycle"]],
            capacity_hint=float(item.get("weight", 1.0)),
            kind=_number(self.models, item.get("machineType", "")),
            zone=_place(self.zones, item.get("zone")),
            cell=_place((), item.get("cell")),
            started_ms=float(item.get("startedAtMs", 0)),
        )


def run_to_end(slices: Generator[None, None, EndpointUpdate]) -> EndpointUpdate:
    """What a reading in slices comes to, in one go."""
    while True:
        try:
            next(slices)
        except StopIteration as end:
            return cast(EndpointUpdate, end.value)


def _members_of(raw: Any) -> Iterator[tuple[str, Any]]:
    for item in raw["instances"]:
        yield "instances", item
    yield from ((key, raw[key]) for key in ("generation", "reset"))


def iter_members(text: str) -> Iterator[tuple[str, Any]]:
    """The members of a JSON object, and of its array 'instances' item by item; ValueError if it is none.

    Values are read by the standard library: what it takes is what json.loads takes.  A member that is there
    twice counts as the last says, but items of both arrays are told.
    """
    at = _after(text, 0, "{")
    listed = False
    while text[at : at + 1] != "}":
        key, at = _value(text, at)
        if not isinstance(key, str):
            raise ValueError(f"a name is no string at {at}")
        at = _after(text, at, ":")
        if key == "instances" and text[at : at + 1] == "[":
            listed = True
            at = yield from _items(text, at + 1)
        else:
            value, at = _value(text, at)
            yield key, value
        at = _separator(text, at, "}")
    if text[_skip(text, at + 1) :]:
        raise ValueError(f"more than one value at {at}")
    if not listed:
        raise KeyError("instances")


def _items(text: str, at: int) -> Generator[tuple[str, Any], None, int]:
    """The items of the array that begins here; returns where it ends."""
    at = _skip(text, at)
    while text[at : at + 1] != "]":
        item, at = _value(text, at)
        yield "instances", item
        at = _separator(text, at, "]")
    return _skip(text, at + 1)


def _separator(text: str, at: int, closing: str) -> int:
    """Past a comma, or at the end of what is read."""
    if text[at : at + 1] == closing:
        return at
    at = _after(text, at, ",")
    if text[at : at + 1] == closing:
        raise ValueError(f"nothing after the comma at {at}")
    return at


def _value(text: str, at: int) -> tuple[Any, int]:
    value, at = _decoder.raw_decode(text, at)
    return value, _skip(text, at)


def _skip(text: str, at: int) -> int:
    match = _SPACE.match(text, at)
    return match.end() if match else at


def _after(text: str, at: int, sign: str) -> int:
    at = _skip(text, at)
    if text[at : at + 1] != sign:
        raise ValueError(f"no {sign} at {at}")
    return _skip(text, at + 1)


def _tell_oddities(entries: list[ServerEntry], different: int) -> None:
    """One line for what a list says twice or cannot mean; the module takes the last, and bounds weights."""
    again = len(entries) - different
    if again:
        log.warning("discovery: %d entries of a list repeat others; the last counts", again)
    odd = sum(1 for entry in entries if not 0.0 < entry.capacity_hint < math.inf)
    if odd:
        log.warning("discovery: %d entries have a weight that is no positive number; the least counts", odd)


def _place(names: tuple[str, ...], name: Any) -> int:
    """A zone or a cell; one that is not told is none, and not the same as another's that is not told."""
    return UNTOLD if name is None or name == "" else _number(names, name)


def _number(names: tuple[str, ...], name: Any) -> int:
    """A name that the settings do not list still tells its servers from the others.

    Its number is computed and not remembered: over a long day new names must not add up.
    """
    if isinstance(name, int):
        return name
    if name in names:
        return names.index(name)
    return len(names) + crc32(str(name).encode())


def merge_updates(listings: Iterable[EndpointUpdate]) -> list[EndpointUpdate]:
    """Changes that follow each other as one, in which a server's last entry holds; a whole list by itself."""
    told: list[EndpointUpdate] = []
    for listing in listings:
        if listing.is_snapshot:
            told = [listing]  # what came before it is void
        elif not told or told[-1].is_snapshot:
            told.append(listing)
        else:
            last = told.pop()
            entries = {entry.server: entry for entry in (*last.entries, *listing.entries)}
            addresses = {**last.addresses, **listing.addresses}
            told.append(EndpointUpdate(listing.version, False, tuple(entries.values()), addresses))
    return told


class DeliveredState:
    """What has been handed on of the list, so that a long list is followed by what it changes, in pieces.

    A short one is handed on as it came.
    """

    def __init__(self) -> None:
        self._entries: dict[ServerId, ServerEntry] = {}
        self._addresses: dict[ServerId, Address] = {}

    def chunks(self, listing: EndpointUpdate) -> Iterator[EndpointUpdate | None]:
        """The list in pieces, to be handed on in this order; None where there is only time to be left to
        others."""
        if len(listing.entries) <= CHUNK_ENTRIES and len(self._entries) <= CHUNK_ENTRIES:
            self._note(listing)
            yield listing
            return
        gone, rest = [], []
        latest = {entry.server: entry for entry in listing.entries}
        for i, entry in enumerate(latest.values()):
            if self._says_nothing(entry, listing):
                pass
            elif entry.readiness is Readiness.READY:
                rest.append(entry)
            else:
                gone.append(entry)
            if i % CHUNK_ENTRIES == CHUNK_ENTRIES - 1:
                yield None
        missing = [server for server in self._entries if server not in latest] if listing.is_snapshot else []
        for i, server in enumerate(missing):
            gone.append(ServerEntry(server, Readiness.GONE))
            if i % CHUNK_ENTRIES == CHUNK_ENTRIES - 1:
                yield None
        yield from self._cut(listing, gone + rest)

    def record(self, listing: EndpointUpdate) -> None:
        """A list that was handed on as it is: the one known at the start."""
        self._note(listing)

    def forget(self, server: ServerId) -> None:
        """What was handed on of it was taken back: it is told again by the next list that names it."""
        self._entries.pop(server, None)
        self._addresses.pop(server, None)

    def _says_nothing(self, entry: ServerEntry, listing: EndpointUpdate) -> bool:
        """Whether an entry is known as it is."""
        server = entry.server
        return self._entries.get(server) == entry and self._addresses[server] == listing.addresses[server]

    def _cut(self, listing: EndpointUpdate, entries: list[ServerEntry]) -> Iterator[EndpointUpdate]:
        """Pieces of the changes; an empty one if there are none: that the list has come is news as well."""
        last = max(0, len(entries) - 1) // CHUNK_ENTRIES * CHUNK_ENTRIES
        for at in range(0, last + 1, CHUNK_ENTRIES):
            part = entries[at : at + CHUNK_ENTRIES]
            addresses = {e.server: listing.addresses[e.server] for e in part if e.server in listing.addresses}
            piece = EndpointUpdate(listing.version, False, tuple(part), addresses, at < last)
            self._note(piece)
            yield piece

    def _note(self, listing: EndpointUpdate) -> None:
        if listing.is_snapshot:
            self._entries.clear()
            self._addresses.clear()
        for entry in listing.entries:
            if entry.readiness is Readiness.READY:
                self._entries[entry.server] = entry
                self._addresses[entry.server] = listing.addresses[entry.server]
            else:
                self._entries.pop(entry.server, None)
                self._addresses.pop(entry.server, None)

"""Decodes discovery's endpoint lists step by step, and reduces a full list to its changes.  No I/O.

Reading and applying a list of ten thousand servers takes a quarter of a second.  Done in one go, it would
delay every request of the node.  A long list is therefore read by a generator that yields after every
CHUNK_ENTRIES entries, and delivered in chunks of that size.  Draining and removed servers come first, because
sending to them is forbidden.
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

CHUNK_ENTRIES = 200  # reading or applying this many takes a few milliseconds
SHORT_LINE_BYTES = 64 * 1024  # a shorter line is read in one go

_READINESS_BY_LIFECYCLE = {
    "SERVING": Readiness.READY,
    "DRAINING": Readiness.DRAINING,
    "DELETED": Readiness.GONE,
}
_WHITESPACE_PATTERN = re.compile(r"[ \t\n\r]*")
_JSON_DECODER = json.JSONDecoder()

Address = tuple[str, int]


class EndpointListError(Exception):
    """An endpoint list that cannot be decoded; the message names the field."""


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """A full endpoint list or a change to it, in the balancer's form, with the servers' addresses."""

    version: int
    is_snapshot: bool
    entries: tuple[ServerEntry, ...]
    addresses: dict[ServerId, Address]
    has_more: bool = False  # further chunks of the same list follow

    def to_event(self, *, cached: bool = False) -> ServerList:
        """The event for the balancer."""
        kind = ListKind.CACHED if cached else ListKind.FULL if self.is_snapshot else ListKind.CHANGES
        return ServerList(kind, self.entries, self.version, self.has_more)


@dataclass(frozen=True, slots=True)
class DiscoveryDecoder:
    """Decodes discovery's lists, with names of zones, machine types and cells as the balancer's numbers."""

    zones: tuple[str, ...]
    models: tuple[str, ...]

    def decode(self, value: Any) -> EndpointUpdate:
        """Decode a parsed JSON object; raises EndpointListError if it is not a valid list."""
        return run_to_end(self.decode_members(_iter_parsed_members(value)))

    def decode_text(self, text: str) -> Generator[None, None, EndpointUpdate]:
        """Decode JSON text step by step; raises EndpointListError also for invalid JSON."""
        return self.decode_members(iter_members(text))

    def decode_members(self, members: Iterable[tuple[str, Any]]) -> Generator[None, None, EndpointUpdate]:
        """Decode from the object's members, with one member per item of 'instances'."""
        fields: dict[str, Any] = {}
        entries: list[ServerEntry] = []
        addresses: dict[ServerId, Address] = {}
        try:
            for key, value in members:
                if key != "instances":
                    fields[key] = value
                    continue
                entry = self._decode_entry(value)
                entries.append(entry)
                host, _, port = value["hostPort"].rpartition(":")
                addresses[entry.server] = (host, int(port))
                if len(entries) % CHUNK_ENTRIES == 0:
                    yield
            _log_oddities(entries, len(addresses))
            return EndpointUpdate(int(fields["generation"]), bool(fields["reset"]), tuple(entries), addresses)
        except KeyError as error:
            raise EndpointListError(f"{error} is missing or unknown") from None
        except (TypeError, ValueError, AttributeError, RecursionError) as error:
            raise EndpointListError(f"not a valid endpoint list: {error}") from None

    def _decode_entry(self, item: dict[str, Any]) -> ServerEntry:
        return ServerEntry(
            server=item["instanceId"].encode(),
            readiness=_READINESS_BY_LIFECYCLE[item["lifecycle"]],
            capacity_hint=float(item.get("weight", 1.0)),
            kind=_name_number(self.models, item.get("machineType", "")),
            zone=_location_number(self.zones, item.get("zone")),
            cell=_location_number((), item.get("cell")),
            started_ms=float(item.get("startedAtMs", 0)),
        )


def run_to_end(steps: Generator[None, None, EndpointUpdate]) -> EndpointUpdate:
    """Run a step-by-step decoding to its end and return the result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return cast(EndpointUpdate, end.value)


def _iter_parsed_members(value: Any) -> Iterator[tuple[str, Any]]:
    for item in value["instances"]:
        yield "instances", item
    yield from ((key, value[key]) for key in ("generation", "reset"))


def iter_members(text: str) -> Iterator[tuple[str, Any]]:
    """The members of a JSON object, with the array 'instances' item by item.

    Raises ValueError if the text is not such an object.  Values are parsed by the standard library, exactly
    as json.loads would.  Of a repeated member the last value counts, but the items of all arrays are yielded.
    """
    position = _skip_token(text, 0, "{")
    found_instances = False
    while text[position : position + 1] != "}":
        key, position = _read_value(text, position)
        if not isinstance(key, str):
            raise ValueError(f"member name is not a string at offset {position}")
        position = _skip_token(text, position, ":")
        if key == "instances" and text[position : position + 1] == "[":
            found_instances = True
            position = yield from _iter_instances(text, position + 1)
        else:
            value, position = _read_value(text, position)
            yield key, value
        position = _skip_comma(text, position, "}")
    if text[_skip_whitespace(text, position + 1) :]:
        raise ValueError(f"more than one value at offset {position}")
    if not found_instances:
        raise KeyError("instances")


def _iter_instances(text: str, position: int) -> Generator[tuple[str, Any], None, int]:
    """The items of the array whose first item starts at position; returns the offset after the array."""
    position = _skip_whitespace(text, position)
    while text[position : position + 1] != "]":
        item, position = _read_value(text, position)
        yield "instances", item
        position = _skip_comma(text, position, "]")
    return _skip_whitespace(text, position + 1)


def _skip_comma(text: str, position: int, closing: str) -> int:
    """The offset after a comma, or the given one if the closing bracket is there."""
    if text[position : position + 1] == closing:
        return position
    position = _skip_token(text, position, ",")
    if text[position : position + 1] == closing:
        raise ValueError(f"nothing after the comma at offset {position}")
    return position


def _read_value(text: str, position: int) -> tuple[Any, int]:
    value, position = _JSON_DECODER.raw_decode(text, position)
    return value, _skip_whitespace(text, position)


def _skip_whitespace(text: str, position: int) -> int:
    match = _WHITESPACE_PATTERN.match(text, position)
    return match.end() if match else position


def _skip_token(text: str, position: int, token: str) -> int:
    position = _skip_whitespace(text, position)
    if text[position : position + 1] != token:
        raise ValueError(f"missing {token} at offset {position}")
    return _skip_whitespace(text, position + 1)


def _log_oddities(entries: list[ServerEntry], distinct_servers: int) -> None:
    """Log one line each for repeated servers and invalid weights.

    The balancer uses the last entry of a server, and the lowest allowed weight for an invalid one.
    """
    repeated = len(entries) - distinct_servers
    if repeated:
        log.warning("discovery: %d entries repeat a server; using the last one", repeated)
    bad_weights = sum(1 for entry in entries if not 0.0 < entry.capacity_hint < math.inf)
    if bad_weights:
        log.warning(
            "discovery: %d entries have a weight that is not a positive number; using the minimum",
            bad_weights,
        )


def _location_number(names: tuple[str, ...], name: Any) -> int:
    """The number of a zone or cell; UNTOLD if the entry has none, which never counts as the same location."""
    return UNTOLD if name is None or name == "" else _name_number(names, name)


def _name_number(names: tuple[str, ...], name: Any) -> int:
    """The number of a name; a name that the settings do not list still gets one of its own.

    That number is computed instead of stored, so that new names do not accumulate over time.
    """
    if isinstance(name, int):
        return name
    if name in names:
        return names.index(name)
    return len(names) + crc32(str(name).encode())


def merge_updates(updates: Iterable[EndpointUpdate]) -> list[EndpointUpdate]:
    """Merge consecutive changes into one, where a server's last entry wins; a full list stays separate."""
    merged: list[EndpointUpdate] = []
    for update in updates:
        if update.is_snapshot:
            merged = [update]  # a full list replaces everything before it
        elif not merged or merged[-1].is_snapshot:
            merged.append(update)
        else:
            last = merged.pop()
            entries = {entry.server: entry for entry in (*last.entries, *update.entries)}
            addresses = {**last.addresses, **update.addresses}
            merged.append(EndpointUpdate(update.version, False, tuple(entries.values()), addresses))
    return merged


class DeliveredState:
    """The endpoints delivered so far, by which a long list is reduced to its changes, in chunks.

    A short list is delivered as it came.
    """

    def __init__(self) -> None:
        self._entries: dict[ServerId, ServerEntry] = {}
        self._addresses: dict[ServerId, Address] = {}

    def chunks(self, update: EndpointUpdate) -> Iterator[EndpointUpdate | None]:
        """The chunks of an update, to be delivered in this order; None only yields to other work."""
        if len(update.entries) <= CHUNK_ENTRIES and len(self._entries) <= CHUNK_ENTRIES:
            self._apply(update)
            yield update
            return
        not_ready, ready = [], []
        latest = {entry.server: entry for entry in update.entries}
        for i, entry in enumerate(latest.values()):
            if self._is_unchanged(entry, update):
                pass
            elif entry.readiness is Readiness.READY:
                ready.append(entry)
            else:
                not_ready.append(entry)
            if i % CHUNK_ENTRIES == CHUNK_ENTRIES - 1:
                yield None
        missing = [server for server in self._entries if server not in latest] if update.is_snapshot else []
        for i, server in enumerate(missing):
            not_ready.append(ServerEntry(server, Readiness.GONE))
            if i % CHUNK_ENTRIES == CHUNK_ENTRIES - 1:
                yield None
        yield from self._split(update, not_ready + ready)

    def record(self, update: EndpointUpdate) -> None:
        """Record a list that was delivered as it is, such as the one known at startup."""
        self._apply(update)

    def forget(self, server: ServerId) -> None:
        """Forget a server whose delivery was undone; the next list that names it delivers it again."""
        self._entries.pop(server, None)
        self._addresses.pop(server, None)

    def _is_unchanged(self, entry: ServerEntry, update: EndpointUpdate) -> bool:
        """Whether the same entry and address have been delivered already."""
        server = entry.server
        return self._entries.get(server) == entry and self._addresses[server] == update.addresses[server]

    def _split(self, update: EndpointUpdate, entries: list[ServerEntry]) -> Iterator[EndpointUpdate]:
        """Chunks of the changes; one empty chunk if there are none, since the list's arrival counts too."""
        last = max(0, len(entries) - 1) // CHUNK_ENTRIES * CHUNK_ENTRIES
        for position in range(0, last + 1, CHUNK_ENTRIES):
            entries_part = entries[position : position + CHUNK_ENTRIES]
            addresses = {
                e.server: update.addresses[e.server] for e in entries_part if e.server in update.addresses
            }
            chunk = EndpointUpdate(update.version, False, tuple(entries_part), addresses, position < last)
            self._apply(chunk)
            yield chunk

    def _apply(self, update: EndpointUpdate) -> None:
        if update.is_snapshot:
            self._entries.clear()
            self._addresses.clear()
        for entry in update.entries:
            if entry.readiness is Readiness.READY:
                self._entries[entry.server] = entry
                self._addresses[entry.server] = update.addresses[entry.server]
            else:
                self._entries.pop(entry.server, None)
                self._addresses.pop(entry.server, None)

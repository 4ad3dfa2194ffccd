"""Faults planted in the programs; a soak must detect each of them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

from leadrudder.bootstrap import takeover
from leadrudder.data_plane.peer_links import PeerLinks
from leadrudder.data_plane.server_connections import LocalServerConnection
from leadrudder.transport.caller import Caller
from leadrudder.transport.large_body import LargeBody
from leadrudder.transport.link import Link
from tests.mesh import planted_faults


@contextmanager
def dead_links() -> Iterator[None]:
    """A timed-out dial is not reported, and a failed write does not close the link: the fault of issue 48."""

    async def connect(protocol_factory: Callable[[], Any], host: str, port: int, timeout_s: float) -> Any:
        async with asyncio.timeout(timeout_s):
            _, protocol = await asyncio.get_running_loop().create_connection(protocol_factory, host, port)
        return protocol

    def send_encoded(link: Link, data: bytes) -> bool:
        if not link.up or link._transport is None or link._transport.is_closing():
            return False
        link._transport.write(data)
        link._last_sent_at = link._loop.time()
        return True

    with (
        mock.patch("leadrudder.transport.link.open_connection", connect),
        mock.patch.object(Link, "send_encoded", send_encoded),
    ):
        yield


@contextmanager
def late_orders() -> Iterator[None]:
    """Orders are carried out whether or not their callers still wait: the fault of issue 65."""
    with mock.patch.object(Caller, "still_waits", lambda caller: True):
        yield


@contextmanager
def unannounced_stop() -> Iterator[None]:
    """A node that shuts down does not tell its peers when: the fault of issue 69."""
    with mock.patch.object(PeerLinks, "announce_stop", lambda links, stops_at: None):
        yield


@contextmanager
def ids_sent_again() -> Iterator[None]:
    """A connection to a server carries an attempt id more than once: the fault of issue 76."""
    with mock.patch.object(LocalServerConnection, "may_carry", lambda connection, render: True):
        yield


@contextmanager
def addresses_tried_once() -> Iterator[None]:
    """An address or a disk in use ends the start of a program: the other fault of issue 76."""
    with mock.patch.object(takeover, "TAKEOVER_TIMEOUT_S", 0.0):
        yield


@contextmanager
def disk_errors_end_the_start() -> Iterator[None]:
    """A disk that reports errors is tried once: a fault of issue 79."""
    with mock.patch.object(takeover, "disk_in_trouble", lambda error: False):
        yield


@contextmanager
def parts_out_of_place() -> Iterator[None]:
    """A large body is read at a wrong place."""
    read = LargeBody.read

    def read_elsewhere(body: LargeBody, offset: int, size: int) -> bytes:
        return read(body, max(0, offset - 1), size)

    with mock.patch.object(LargeBody, "read", read_elsewhere):
        yield


PLANTED_FAULTS: dict[str, Callable[[], Any]] = {
    fault.__name__: fault
    for fault in (
        dead_links,
        late_orders,
        unannounced_stop,
        ids_sent_again,
        addresses_tried_once,
        disk_errors_end_the_start,
        parts_out_of_place,
        planted_faults.unfound_items_committed,
        planted_faults.read_by_one,
        planted_faults.one_copy_is_enough,
        planted_faults.drop_forgotten,
        planted_faults.lower_is_done_at_once,
    )
}

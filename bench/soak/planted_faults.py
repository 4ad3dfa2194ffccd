"""Faults planted in the programs, to see that a soak finds them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

from leadrudder.transport.link import Link
from tests.mesh import planted_faults


@contextmanager
def dead_links() -> Iterator[None]:
    """A dial that is given up says so to nobody, and a write that fails ends nothing: as before issue 48."""

    async def connect(make: Callable[[], Any], host: str, port: int, within_s: float) -> Any:
        async with asyncio.timeout(within_s):
            _, protocol = await asyncio.get_running_loop().create_connection(make, host, port)
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


PLANTS: dict[str, Callable[[], Any]] = {
    plant.__name__: plant
    for plant in (
        dead_links,
        planted_faults.read_by_one,
        planted_faults.one_copy_is_enough,
        planted_faults.drop_forgotten,
        planted_faults.lower_is_done_at_once,
    )
}

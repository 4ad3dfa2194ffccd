"""Faults planted in the programs, to see that a soak finds them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any
from unittest import mock

from tests.mesh import plants


def dead_links() -> Any:
    """A dial that is given up says so to nobody: what stood before the incident of issue 48."""

    async def connect(make: Callable[[], Any], host: str, port: int, within_s: float) -> Any:
        async with asyncio.timeout(within_s):
            _, protocol = await asyncio.get_running_loop().create_connection(make, host, port)
        return protocol

    return mock.patch("leadrudder.telegraph.link.connect", connect)


def answered_late() -> Any:
    """A request whose time is over is not answered then."""
    return mock.patch("leadrudder.station.points.Points._overdue", lambda points, number, errand: None)


PLANTS: dict[str, Callable[[], Any]] = {
    plant.__name__: plant
    for plant in (
        dead_links,
        answered_late,
        plants.read_by_one,
        plants.one_copy_is_enough,
        plants.drop_forgotten,
        plants.lower_is_done_at_once,
    )
}

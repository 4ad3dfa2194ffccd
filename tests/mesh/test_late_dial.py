"""A link that is dialled by a process that has fallen behind: on real sockets, and on both event loops."""

from __future__ import annotations

import asyncio
import socket
import time
import unittest
from collections.abc import Callable

import uvloop

from leadrudder.protocol.mesh_pb2 import Frame
from leadrudder.transport import link as link_module
from leadrudder.transport.link import Link, dial

CONNECT_TIMEOUT_S = 0.05  # for a dial, here
STILL_S = 0.08  # the process does nothing else for so long: more than a dial may take
DIALS = 12


class Ends:
    """Who uses links, and counts what it is told of them."""

    def __init__(self) -> None:
        self.up: list[Link] = []
        self.down: list[Link] = []

    def on_up(self, link: Link) -> None:
        self.up.append(link)

    def on_down(self, link: Link) -> None:
        self.down.append(link)

    def on_frame(self, link: Link, frame: Frame) -> None:
        """Nothing is said here."""


class LateDial(unittest.TestCase):
    def setUp(self) -> None:
        self._connect_timeout_s = link_module.CONNECT_TIMEOUT_S
        link_module.CONNECT_TIMEOUT_S = CONNECT_TIMEOUT_S

    def tearDown(self) -> None:
        link_module.CONNECT_TIMEOUT_S = self._connect_timeout_s

    def loops(self) -> list[Callable[[], asyncio.AbstractEventLoop]]:
        return [uvloop.new_event_loop, asyncio.SelectorEventLoop]

    def test_a_link_that_counts_as_up_can_be_written_to(self) -> None:
        for make in self.loops():
            with self.subTest(make), asyncio.Runner(loop_factory=make) as runner:
                runner.run(self.dials())

    async def dials(self) -> None:
        faults: list[str] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: faults.append(str(context.get("exception"))))
        ours, theirs = Ends(), Ends()
        server = await loop.create_server(lambda: Link(theirs), "127.0.0.1", 0, family=socket.AF_INET)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        for turns in range(DIALS):
            task = loop.create_task(dial(address, lambda: Link(ours, peer=address)))
            for _ in range(turns % 4):
                await asyncio.sleep(0)
            time.sleep(STILL_S)
            link = await task
            await asyncio.sleep(0.01)
            # Whoever was told that it is up is told when it is not, and it is handed out only while it is.
            self.assertTrue(link is None or link.up)
            for each in ours.up:
                self.assertNotEqual(each.up, each in ours.down)
                if each.up:
                    self.assertTrue(each.send(Frame(ping={})), "up, and nothing can be written to it")
            for each in [each for each in ours.up if each.up]:
                each.abort()
        server.close()
        self.assertEqual(faults, [])


if __name__ == "__main__":
    unittest.main()

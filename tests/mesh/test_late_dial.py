"""Links dialed by an overloaded process, on real sockets and on both event loops.

A dial can time out in the same iteration of the event loop in which the connection is established; a link
must not count as up then.
"""

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

CONNECT_TIMEOUT_S = 0.05  # of a dial in this test
STALL_S = 0.08  # the process blocks for longer than the timeout of a dial
DIALS = 12


class RecordingHandler:
    """Records the links reported as up and down."""

    def __init__(self) -> None:
        self.up: list[Link] = []
        self.down: list[Link] = []

    def on_up(self, link: Link) -> None:
        self.up.append(link)

    def on_down(self, link: Link) -> None:
        self.down.append(link)

    def on_frame(self, link: Link, frame: Frame) -> None:
        """No frames are sent in this test."""


class LateDial(unittest.TestCase):
    def setUp(self) -> None:
        self._connect_timeout_s = link_module.CONNECT_TIMEOUT_S
        link_module.CONNECT_TIMEOUT_S = CONNECT_TIMEOUT_S

    def tearDown(self) -> None:
        link_module.CONNECT_TIMEOUT_S = self._connect_timeout_s

    def loop_factories(self) -> list[Callable[[], asyncio.AbstractEventLoop]]:
        return [uvloop.new_event_loop, asyncio.SelectorEventLoop]

    def test_a_link_reported_as_up_is_writable(self) -> None:
        for loop_factory in self.loop_factories():
            with self.subTest(loop_factory), asyncio.Runner(loop_factory=loop_factory) as runner:
                runner.run(self.dial_repeatedly())

    async def dial_repeatedly(self) -> None:
        errors: list[str] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: errors.append(str(context.get("exception"))))
        client, server_side = RecordingHandler(), RecordingHandler()
        server = await loop.create_server(lambda: Link(server_side), "127.0.0.1", 0, family=socket.AF_INET)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        for iterations in range(DIALS):
            task = loop.create_task(dial(address, lambda: Link(client, peer=address)))
            for _ in range(iterations % 4):
                await asyncio.sleep(0)
            time.sleep(STALL_S)
            link = await task
            await asyncio.sleep(0.01)
            # Each link reported as up is reported as down at its end, and a dialed link is up.
            self.assertTrue(link is None or link.up)
            for each in client.up:
                self.assertNotEqual(each.up, each in client.down)
                if each.up:
                    self.assertTrue(each.send(Frame(ping={})), "a link is up but not writable")
            for each in [each for each in client.up if each.up]:
                each.abort()
        server.close()
        self.assertEqual(errors, [])


if __name__ == "__main__":
    unittest.main()

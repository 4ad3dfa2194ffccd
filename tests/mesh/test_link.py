"""The contract of a link on every transport: sockets, and a transport that delivers bytes in small chunks."""

from __future__ import annotations

import asyncio
import struct
import unittest
from collections.abc import Callable, Coroutine
from typing import Any, cast

from leadrudder.protocol.mesh_pb2 import CommittedItems, Frame, Item, ReadRequest
from leadrudder.transport import link as link_module
from leadrudder.transport.link import Link, dial

TIMEOUT_S = 10.0


class RecordingHandler:
    """Records the frames and events of one side."""

    def __init__(self) -> None:
        self.frames: list[Frame] = []
        self.links: list[Link] = []
        self.down_count = 0

    def on_frame(self, link: Link, frame: Frame) -> None:
        self.frames.append(frame)

    def on_up(self, link: Link) -> None:
        self.links.append(link)

    def on_down(self, link: Link) -> None:
        self.down_count += 1


async def wait_until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0)


class ChunkedTransport(asyncio.Transport):
    """An in-memory transport that delivers chunks of 1, 2, 3... bytes, one per event-loop iteration."""

    def __init__(self) -> None:
        super().__init__()
        self.peer: ChunkedTransport
        self.protocol: Link
        self._buffer = bytearray()
        self._chunk_bytes, self._closing = 0, False

    def write(self, data: Any) -> None:
        if not self._buffer:
            asyncio.get_running_loop().call_soon(self._deliver)
        self._buffer += data

    def _deliver(self) -> None:
        self._chunk_bytes = self._chunk_bytes % 1500 + 1
        chunk = bytes(self._buffer[: self._chunk_bytes])
        del self._buffer[: self._chunk_bytes]
        if self._buffer:
            asyncio.get_running_loop().call_soon(self._deliver)
        if not self.peer._closing:
            self.peer.protocol.data_received(chunk)

    def get_write_buffer_size(self) -> int:
        return len(self._buffer)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def is_closing(self) -> bool:
        return self._closing

    def abort(self) -> None:
        if not self._closing:
            for end in (self, self.peer):
                if not end._closing:
                    end._closing = True
                    asyncio.get_running_loop().call_soon(end.protocol.connection_lost, None)

    close = abort


class LinkContract:
    """Tests of a link; pair() connects two handlers."""

    async def pair(self, a: RecordingHandler, b: RecordingHandler) -> Link:
        raise NotImplementedError

    def run_test(
        self, main: Callable[[RecordingHandler, RecordingHandler, Link], Coroutine[Any, Any, None]]
    ) -> None:
        async def run() -> None:
            a, b = RecordingHandler(), RecordingHandler()
            link = await self.pair(a, b)
            try:
                await wait_until(lambda: b.links)
                await main(a, b, link)
            finally:
                for each in a.links + b.links:
                    each.abort()

        asyncio.run(run())

    def test_frames_arrive_complete_and_in_order(self) -> None:
        async def main(a: RecordingHandler, b: RecordingHandler, link: Link) -> None:
            sent = [Frame(read=ReadRequest(number=i)) for i in range(50)]
            items = [Item(key=f"k{i}", value=bytes(200)) for i in range(300)]
            sent.insert(20, Frame(standing=CommittedItems(items=items)))
            assert all(link.send(frame) for frame in sent)
            await wait_until(lambda: len(b.frames) == len(sent))
            assert b.frames == sent and not a.frames

        self.run_test(main)

    def test_both_sides_report_the_end_once_and_send_nothing_after_it(self) -> None:
        async def main(a: RecordingHandler, b: RecordingHandler, link: Link) -> None:
            link.abort()
            link.abort()
            assert not link.send(Frame(read=ReadRequest(number=1)))
            await wait_until(lambda: b.down_count)
            assert (a.down_count, b.down_count) == (1, 1)
            assert not b.links[0].send(Frame(read=ReadRequest(number=1)))

        self.run_test(main)

    def test_a_malformed_frame_ends_the_link_and_is_not_delivered(self) -> None:
        for garbage in (
            struct.pack(">I", link_module.MAX_FRAME_BYTES + 1),
            struct.pack(">I", 3) + b"\xff\xff\xff",
        ):

            async def main(
                a: RecordingHandler, b: RecordingHandler, link: Link, garbage: bytes = garbage
            ) -> None:
                link.send(Frame(read=ReadRequest(number=1)))
                link.send_encoded(garbage)
                link.send(Frame(read=ReadRequest(number=2)))
                await wait_until(lambda: a.down_count and b.down_count)
                assert [frame.read.number for frame in b.frames] == [1]

            self.run_test(main)

    def test_a_link_to_a_peer_that_does_not_read_is_aborted(self) -> None:
        async def main(a: RecordingHandler, b: RecordingHandler, link: Link) -> None:
            limit, link_module.MAX_UNSENT_BYTES = link_module.MAX_UNSENT_BYTES, 100_000
            try:
                one = Frame(standing=CommittedItems(items=[Item(key="k", value=bytes(1_000_000))]))
                while link.up:
                    link.send(one)
            finally:
                link_module.MAX_UNSENT_BYTES = limit
            assert a.down_count == 1

        self.run_test(main)


class SocketLink(LinkContract, unittest.TestCase):
    async def pair(self, a: RecordingHandler, b: RecordingHandler) -> Link:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: Link(b), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        link = await dial(f"127.0.0.1:{port}", lambda: Link(a))
        server.close()
        return cast(Link, link)


class ChunkedLink(LinkContract, unittest.TestCase):
    async def pair(self, a: RecordingHandler, b: RecordingHandler) -> Link:
        near, far = ChunkedTransport(), ChunkedTransport()
        near.peer, far.peer = far, near
        near.protocol, far.protocol = Link(a), Link(b)
        near.protocol.connection_made(near)
        far.protocol.connection_made(far)
        return near.protocol


if __name__ == "__main__":
    unittest.main()

"""The contract that the link owes on every transport: a socket, and one that hands over bytes in pieces."""

from __future__ import annotations

import asyncio
import struct
import unittest
from collections.abc import Callable, Coroutine
from typing import Any, cast

from leadrudder.protocol.mesh_pb2 import Frame, Item, Read, Standing
from leadrudder.transport import link as link_module
from leadrudder.transport.link import Link, dial

PATIENCE_S = 10.0


class End:
    """One side: what it was told."""

    def __init__(self) -> None:
        self.frames: list[Frame] = []
        self.links: list[Link] = []
        self.downs = 0

    def on_frame(self, link: Link, frame: Frame) -> None:
        self.frames.append(frame)

    def on_up(self, link: Link) -> None:
        self.links.append(link)

    def on_down(self, link: Link) -> None:
        self.downs += 1


async def until(true: Callable[[], object]) -> None:
    async with asyncio.timeout(PATIENCE_S):
        while not true():
            await asyncio.sleep(0)


class Pieces(asyncio.Transport):
    """A transport in memory that hands over what it is given in pieces of 1, 2, 3... bytes, one a turn."""

    def __init__(self) -> None:
        super().__init__()
        self.other: Pieces
        self.protocol: Link
        self._waiting = bytearray()
        self._piece, self._closing = 0, False

    def write(self, data: Any) -> None:
        if not self._waiting:
            asyncio.get_running_loop().call_soon(self._hand)
        self._waiting += data

    def _hand(self) -> None:
        self._piece = self._piece % 1500 + 1
        piece = bytes(self._waiting[: self._piece])
        del self._waiting[: self._piece]
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._hand)
        if not self.other._closing:
            self.other.protocol.data_received(piece)

    def get_write_buffer_size(self) -> int:
        return len(self._waiting)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def is_closing(self) -> bool:
        return self._closing

    def abort(self) -> None:
        if not self._closing:
            for end in (self, self.other):
                if not end._closing:
                    end._closing = True
                    asyncio.get_running_loop().call_soon(end.protocol.connection_lost, None)

    close = abort


class Contract:
    """pair() links two ends."""

    async def pair(self, a: End, b: End) -> Link:
        raise NotImplementedError

    def play(self, main: Callable[[End, End, Link], Coroutine[Any, Any, None]]) -> None:
        async def whole() -> None:
            a, b = End(), End()
            link = await self.pair(a, b)
            try:
                await until(lambda: b.links)
                await main(a, b, link)
            finally:
                for each in a.links + b.links:
                    each.abort()

        asyncio.run(whole())

    def test_frames_arrive_whole_and_in_order(self) -> None:
        async def main(a: End, b: End, link: Link) -> None:
            sent = [Frame(read=Read(number=i)) for i in range(50)]
            items = [Item(key=f"k{i}", value=bytes(200)) for i in range(300)]
            sent.insert(20, Frame(standing=Standing(items=items)))
            assert all(link.send(frame) for frame in sent)
            await until(lambda: len(b.frames) == len(sent))
            assert b.frames == sent and not a.frames

        self.play(main)

    def test_its_end_is_told_once_at_both_sides_and_nothing_is_sent_after_it(self) -> None:
        async def main(a: End, b: End, link: Link) -> None:
            link.abort()
            link.abort()
            assert not link.send(Frame(read=Read(number=1)))
            await until(lambda: b.downs)
            assert (a.downs, b.downs) == (1, 1)
            assert not b.links[0].send(Frame(read=Read(number=1)))

        self.play(main)

    def test_what_is_no_frame_ends_it_and_reaches_nobody(self) -> None:
        for garbage in (
            struct.pack(">I", link_module.MAX_FRAME_BYTES + 1),
            struct.pack(">I", 3) + b"\xff\xff\xff",
        ):

            async def main(a: End, b: End, link: Link, garbage: bytes = garbage) -> None:
                link.send(Frame(read=Read(number=1)))
                link.send_encoded(garbage)
                link.send(Frame(read=Read(number=2)))
                await until(lambda: a.downs and b.downs)
                assert [frame.read.number for frame in b.frames] == [1]

            self.play(main)

    def test_a_peer_that_does_not_read_is_cut_off(self) -> None:
        async def main(a: End, b: End, link: Link) -> None:
            most, link_module.MAX_UNSENT_BYTES = link_module.MAX_UNSENT_BYTES, 100_000
            try:
                one = Frame(standing=Standing(items=[Item(key="k", value=bytes(1_000_000))]))
                while link.up:
                    link.send(one)
            finally:
                link_module.MAX_UNSENT_BYTES = most
            assert a.downs == 1

        self.play(main)


class OnSockets(Contract, unittest.TestCase):
    async def pair(self, a: End, b: End) -> Link:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: Link(b), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        link = await dial(f"127.0.0.1:{port}", lambda: Link(a))
        server.close()
        return cast(Link, link)


class InPieces(Contract, unittest.TestCase):
    async def pair(self, a: End, b: End) -> Link:
        near, far = Pieces(), Pieces()
        near.other, far.other = far, near
        near.protocol, far.protocol = Link(a), Link(b)
        near.protocol.connection_made(near)
        far.protocol.connection_made(far)
        return near.protocol


if __name__ == "__main__":
    unittest.main()

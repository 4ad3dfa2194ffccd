"""What a message holds while it is received, whatever the number of its lines and chunks."""

from __future__ import annotations

import tracemalloc
import unittest
from typing import cast

from leadrudder.node.http import HttpMessage, HttpMessageError
from leadrudder.transport.http import MAX_OPEN_FIELDS, BufferedHttpMessage, HttpReader
from leadrudder.transport.large_body import INLINE_BODY_BYTES
from leadrudder.transport.memory_budget import MemoryBudget

START = b"POST / HTTP/1.1\r\nHost: h\r\n"


class Reading(unittest.TestCase):
    def setUp(self) -> None:
        self.messages: list[BufferedHttpMessage] = []
        self.budget = MemoryBudget(10_000_000)
        self.reader = HttpReader(self.take, requests=True, max_head_bytes=16384, budget=self.budget)

    def take(self, message: HttpMessage) -> None:
        self.messages.append(cast(BufferedHttpMessage, message))

    def assert_counted(self, data: bytes) -> None:
        """The memory that unfinished input takes is no more than what the reader counts."""
        tracemalloc.start()
        try:
            before = tracemalloc.get_traced_memory()[0]
            for offset in range(0, len(data), 1000):
                self.reader.feed(data[offset : offset + 1000])
            held = tracemalloc.get_traced_memory()[0] - before
        finally:
            tracemalloc.stop()
        self.assertLessEqual(held, self.reader.held_bytes)
        self.assertLessEqual(self.reader.held_bytes, 70_000)

    def test_unfinished_input_takes_no_more_than_is_counted(self) -> None:
        for data in (
            START + b"a:\r\n" * 4000,
            START + b"".join(b"%x: \t\r\n" % i for i in range(2000)),
            START + b"Cookie: " + b"x" * 16_000,
            START + b"Transfer-Encoding: chunked\r\n\r\n" + b"2\r\nxx\r\n" * (INLINE_BODY_BYTES // 2 - 1),
            START + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + b"a:\r\n" * 4000,
        ):
            with self.subTest(data[:60]):
                self.setUp()
                self.assert_counted(data)

    def test_fields_beyond_those_held_as_objects_are_complete_and_in_order(self) -> None:
        lines = [b"N-%d: v: %d" % (i, i) for i in range(2 * MAX_OPEN_FIELDS)]
        lines += [b"n-1: again", b"Empty:", b"Content-Length: 3"]
        self.reader.feed(START + b"\r\n".join(lines) + b"\r\n\r\nabc")
        message = self.messages[0]
        self.assertEqual([b"%s: %s" % each for each in message.fields[1:-2]], lines[:-2])
        self.assertEqual(message.fields[-2:], [(b"Empty", b""), (b"Content-Length", b"3")])
        self.assertEqual((message.headers[b"n-1"], message.headers[b"n-63"]), (b"again", b"v: 63"))
        self.assertEqual(message.repeated_headers, {b"n-1"})
        self.assertEqual(message.body, b"abc")

    def test_a_large_body_of_tiny_chunks_is_whole(self) -> None:
        data = bytes(range(256)) * 300
        chunks = b"".join(b"3\r\n%s\r\n" % data[i : i + 3] for i in range(0, len(data), 3))
        self.reader.feed(START + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n")
        body = self.messages[0].large_body
        assert body is not None
        self.assertEqual((body.read_all(), self.messages[0].body), (data, b""))

    def test_lines_that_do_not_end_are_refused_wherever_they_stand(self) -> None:
        chunked = START + b"Transfer-Encoding: chunked\r\n\r\n"
        for data in (START + b"a: ", chunked + b"1\r\nx\r\n0\r\na: ", chunked + b"1;x="):
            with self.subTest(data), self.assertRaises(HttpMessageError):
                self.setUp()
                self.reader.feed(data)
                for _ in range(20):
                    self.reader.feed(b"x" * 1000)


if __name__ == "__main__":
    unittest.main()

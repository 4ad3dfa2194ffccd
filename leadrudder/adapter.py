"""python -m leadrudder.adapter: hosts many independent instances of the module on the simulator's wire."""

from __future__ import annotations

import sys
from typing import BinaryIO

from leadrudder.policy.decide import Balancer
from leadrudder.wire import BATCH_HEADER, Decoder, Start, Stop, WireError, encode, encode_fault, reply


class Host:
    """The instances of one process; they share nothing but the reading of the wire."""

    def __init__(self) -> None:
        self._decoder = Decoder()
        self._instances: dict[int, Balancer] = {}

    def answer(self, body: bytes, count: int, now: float) -> bytes:
        """The reply to one batch."""
        out: list[bytes] = []
        for node, event in self._decoder.records(body, count):
            if isinstance(event, Stop):
                self._instances.pop(node, None)
                continue
            try:
                if isinstance(event, Start):
                    self._instances[node] = Balancer(event.settings, event.seed)
                    continue
                instance = self._instances.get(node)
                if instance is None:
                    raise WireError(f"an event for instance {node}, which has not started")
                actions = instance.handle(event, now)
            except WireError:
                raise
            except Exception as error:  # an instance's fault is reported on the wire, never swallowed
                out.append(encode_fault(node, f"{type(error).__name__}: {error}"))
                continue
            out.extend(encode(node, action) for action in actions)
        return reply(out)


def _read(source: BinaryIO, size: int) -> bytes:
    parts: list[bytes] = []
    left = size
    while left:
        part = source.read(left)
        if not part:
            break
        parts.append(part)
        left -= len(part)
    return b"".join(parts)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    host = Host()
    while header := _read(source, BATCH_HEADER.size):
        if len(header) < BATCH_HEADER.size:
            raise WireError("the input ends inside a header")
        length, now, count = BATCH_HEADER.unpack(header)
        body = _read(source, length)
        if len(body) < length:
            raise WireError("the input ends inside a batch")
        sink.write(host.answer(body, count, now))
        sink.flush()


def main() -> int:
    """Exit code 0 at the end of input, 2 with one plain line on standard error for bad input."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"leadrudder.adapter: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

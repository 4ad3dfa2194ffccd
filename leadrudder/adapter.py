"""python -m leadrudder.adapter: runs independent instances of the module over the simulator's protocol."""

from __future__ import annotations

import sys
from typing import BinaryIO

from leadrudder.policy.decide import Balancer
from leadrudder.wire import BATCH_HEADER, Decoder, Start, Stop, WireError, encode, encode_fault, reply


class InstanceHost:
    """The instances of one process; they share only the decoder."""

    def __init__(self) -> None:
        self._decoder = Decoder()
        self._instances: dict[int, Balancer] = {}

    def answer(self, body: bytes, count: int, now: float) -> bytes:
        """Returns the reply to one batch."""
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
            except Exception as error:  # reported as a fault of the instance; the others go on
                out.append(encode_fault(node, f"{type(error).__name__}: {error}"))
                continue
            out.extend(encode(node, action) for action in actions)
        return reply(out)


def _read_fully(source: BinaryIO, size: int) -> bytes:
    parts: list[bytes] = []
    remaining = size
    while remaining:
        part = source.read(remaining)
        if not part:
            break
        parts.append(part)
        remaining -= len(part)
    return b"".join(parts)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers batches until the end of the input."""
    host = InstanceHost()
    while header := _read_fully(source, BATCH_HEADER.size):
        if len(header) < BATCH_HEADER.size:
            raise WireError("the input ends inside a header")
        length, now, count = BATCH_HEADER.unpack(header)
        body = _read_fully(source, length)
        if len(body) < length:
            raise WireError("the input ends inside a batch")
        sink.write(host.answer(body, count, now))
        sink.flush()


def main() -> int:
    """Exit code 0 at the end of the input; 2, with one line on standard error, for malformed input."""
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

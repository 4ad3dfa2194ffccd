"""Input of a connection, parsed a bounded amount in each turn of the event loop."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

from leadrudder.node.http import HttpMessageError
from leadrudder.transport.http import HttpReader

SLICE_BYTES = 2048  # parsed at once, unless a body of a known length goes on
MAX_CALLBACKS_PER_TURN = 256  # of the parser, for one connection
CONNECTIONS_PER_TURN = 16


class InputHandler(Protocol):
    """The connection whose input is parsed."""

    def takes_input(self) -> bool:
        """Whether more may be parsed now; if not, resume is called later."""

    def on_invalid_input(self, error: HttpMessageError) -> None:
        """Handle input that is no part of an accepted message; nothing more is parsed."""

    def after_input(self) -> None:
        """Called after each turn."""


class InputTurns:
    """The connections of a listener whose input waits, served in turn."""

    def __init__(self) -> None:
        self._waiting: deque[PacedInput] = deque()
        self._is_scheduled = False

    def add(self, paced_input: PacedInput) -> None:
        """Serve a connection after those that wait already."""
        self._waiting.append(paced_input)
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._serve)

    def _serve(self) -> None:
        self._is_scheduled = False
        try:
            for _ in range(min(len(self._waiting), CONNECTIONS_PER_TURN)):
                self._waiting.popleft().take_turn()
        finally:  # an error of one connection must not hold up the others
            self._schedule()


class PacedInput:
    """The input of one connection."""

    def __init__(self, reader: HttpReader, handler: InputHandler, turns: InputTurns) -> None:
        self.ended = False  # nothing more is parsed
        self._reader, self._handler, self._turns = reader, handler, turns
        self._waiting = b""
        self._has_turn = False  # in the queue

    @property
    def waits(self) -> bool:
        """Whether input has been received that is not parsed yet."""
        return bool(self._waiting)

    @property
    def partial(self) -> bool:
        """Whether input of an incomplete message has been received."""
        return self._reader.partial or self.waits

    @property
    def held_bytes(self) -> int:
        """Memory of what is not complete yet, but for that of a large body."""
        return 0 if self.ended else self._reader.held_bytes + len(self._waiting)

    def feed(self, data: bytes) -> None:
        """Parse received input, or keep it for a later turn."""
        if self.ended:
            return
        if self._waiting:
            self._waiting += data
        else:
            self._parse(data)
        self._handler.after_input()

    def resume(self) -> None:
        """The connection takes input again."""
        if self._waiting and not self._has_turn:
            self._has_turn = True
            self._turns.add(self)

    def end(self) -> None:
        """Parse nothing more, and drop what waits."""
        self.ended, self._waiting = True, b""

    def take_turn(self) -> None:
        """Parse some of the input that waits."""
        self._has_turn = False
        data, self._waiting = self._waiting, b""
        if data and not self.ended:
            self._parse(data)
            self._handler.after_input()

    def _parse(self, data: bytes) -> None:
        last_callback = self._reader.callbacks + MAX_CALLBACKS_PER_TURN
        offset = 0
        while offset < len(data) and not self.ended:
            if not self._handler.takes_input():
                self._waiting = data[offset:]
                return
            if self._reader.callbacks >= last_callback:
                self._waiting = data[offset:]
                self.resume()
                return
            size = max(SLICE_BYTES, self._reader.known_body_left)
            piece = data[offset : offset + size]
            offset += size
            try:
                self._reader.feed(piece)
            except HttpMessageError as error:
                self.end()
                self._handler.on_invalid_input(error)

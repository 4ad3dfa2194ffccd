"""Discovery: whole lists and watches, turned into ServerList events and addresses."""

from __future__ import annotations

import asyncio
import gc
import logging
import random
from collections import deque
from collections.abc import Callable, Generator
from typing import cast

import httptools

from leadrudder.interface import ServerId
from leadrudder.node.lists import (
    SHORT_LINE_BYTES,
    DeliveredState,
    DiscoveryDecoder,
    EndpointListError,
    EndpointUpdate,
    merge_updates,
    run_to_end,
)
from leadrudder.state.backoff import Backoff
from leadrudder.state.estimators import TokenBucket

log = logging.getLogger(__name__)

SILENCE_S = 7.0  # a watch sends an empty line every 2 s: after three missing ones its machine is cut off
# Pauses before a watch that broke is begun anew: the local agent's, and the one where discovery has moved to.
REWATCH_S = 0.5  # the longest first one
REWATCH_MOST_S = 2.0
MOVE_PART = 0.1  # of the time to fail a call, over which the nodes that are told to move spread
LINES_A_SECOND = 100.0  # beyond so many, lines are gathered for this long and followed together
GATHER_S = 0.05
LINES_MOST = 5000  # that wait to be read; with more the watch is read no further
MAX_LINE = 4 * 1024 * 1024  # a list of some ten thousand servers


class _Watch(asyncio.Protocol):
    """One watch on one connection: whole lines out, then one call to ended, unless it was closed before."""

    def __init__(
        self,
        address: tuple[str, int],
        version: int,
        call_s: float,
        on_line: Callable[[_Watch, bytes], None],
        on_ended: Callable[[_Watch], None],
    ) -> None:
        host, port = address
        self._request = b"GET /v1/endpoints?watch=1&from=%d HTTP/1.1\r\nHost: %s:%d\r\n\r\n" % (
            version,
            host.encode(),
            port,
        )
        self._on_line = on_line
        self._on_ended = on_ended
        self._parser = httptools.HttpResponseParser(self)
        self._rest = b""
        self.heard = False  # a line has come
        self._over = False
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(call_s, self._end)
        self._opening = self._loop.create_task(self._open(host, port))

    async def _open(self, host: str, port: int) -> None:
        try:
            await self._loop.create_connection(lambda: self, host, port)
        except OSError:
            self._end()

    def pause(self) -> None:
        """Read no further for now: what comes waits in the network."""
        if not self._over and self._transport is not None:
            self._transport.pause_reading()

    def resume(self) -> None:
        if not self._over and self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def close(self) -> None:
        """Drop it without a word."""
        self._over = True
        self._timer.cancel()
        self._opening.cancel()
        if self._transport is not None:
            self._transport.abort()

    def _end(self) -> None:
        if not self._over:
            self.close()
            self._on_ended(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass
        if self._over:
            self._transport.abort()
        else:
            self._transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._over:
                log.warning("discovery: the answer cannot be read: %s", error)
                self._end()

    def connection_lost(self, exc: Exception | None) -> None:
        self._end()

    def on_headers_complete(self) -> None:
        if self._parser.get_status_code() != 200:
            self._end()

    def on_body(self, part: bytes) -> None:
        *whole, self._rest = (self._rest + part).split(b"\n")
        for line in whole:
            if self._over:
                return
            # A cut link says nothing: without a word in this time the watch has failed.
            self._timer.cancel()
            self._timer = self._loop.call_later(SILENCE_S, self._end)
            self._on_line(self, line)
        if len(self._rest) > MAX_LINE:
            log.warning("discovery: a line of more than %d bytes", MAX_LINE)
            self._end()

    def on_message_complete(self) -> None:
        self._end()


class DiscoveryClient:
    """Keeps at most one watch; tells of each list, and once of each call or watch that failed.

    Where lists are pushed the watch is on the machine's own agent: it costs nothing, is kept up without
    being asked for, and its breaks say nothing of the list.  When discovery moves, the watch on the new
    address is up before the old one is dropped; a failure is told only when neither is left.
    """

    def __init__(
        self,
        address: tuple[str, int],
        decoder: DiscoveryDecoder,
        *,
        pushed: bool,
        call_s: float,
        on_list: Callable[[EndpointUpdate], None],
        on_failed: Callable[[], None],
        rng: random.Random,
    ) -> None:
        """rng: of the node's own seed, so that nodes are not in step."""
        self._address = address
        self._decoder = decoder
        self._pushed = pushed
        self._call_s = call_s
        self._on_list = on_list
        self._on_failed = on_failed
        self._loop = asyncio.get_running_loop()
        self._rng = rng
        self._backoff = Backoff(rng, REWATCH_S, REWATCH_MOST_S)
        self._version = 0
        self._wanted = False  # a list has been asked for
        self._watch: _Watch | None = None
        self._successor: _Watch | None = None  # at the address that discovery moved to, until it speaks
        self._timer: asyncio.TimerHandle | None = None
        self._book = DeliveredState()
        self._reading: Generator[None, None, None] | None = None  # a long line
        self._lines: deque[tuple[_Watch, bytes]] = deque()  # what has come and is not read
        self._rate = TokenBucket.full(LINES_A_SECOND)
        self._gathering: asyncio.TimerHandle | None = None
        self._flooded = -1.0  # when lines were last gathered

    def begin_with(self, known: EndpointUpdate) -> None:
        """The list that is known at the start has been handed on by its owner."""
        self._book.record(known)

    def forget(self, server: ServerId) -> None:
        """A server of the list was left out by the owner: the next list that names it tells of it again."""
        self._book.forget(server)

    def start(self, version: int | None) -> None:
        """Begin from the version of the known list; None: there is none, and it is asked for at once.

        The module spreads the nodes' first calls, which only those that know a list can wait for.
        """
        self._version = version or 0
        if self._pushed or version is None:
            self.subscribe()

    def subscribe(self) -> None:
        """Watch from the last version on; replaces a watch that is still there."""
        self._leave()
        self._wanted = True
        self._watch = self._begin()

    def move(self, address: tuple[str, int]) -> None:
        """Discovery has another address: watch it there, and leave the old watch when it speaks."""
        if address == self._address:
            return
        self._address = address
        if self._successor is not None:
            self._successor.close()
            self._successor = None
        if self._wanted:
            # Also where the last call failed: the pause after that was for the old address.  All nodes are
            # told at once, and discovery answers one call after another.
            self._backoff.reset()
            self._later(0.0 if self._pushed else self._rng.uniform(0.0, MOVE_PART * self._call_s))

    def close(self) -> None:
        """The end: drop all without a word."""
        self._leave()
        self._lines.clear()
        if self._gathering is not None:
            self._gathering.cancel()
        if self._reading is not None:
            self._reading.close()
            self._reading = None
            gc.enable()

    def _leave(self) -> None:
        """Drop the watch without a word.  A list that it has brought whole is still read to its end: one that
        always breaks behind a long list would else never be followed."""
        for watch in (self._watch, self._successor):
            if watch is not None:
                watch.close()
        self._watch = self._successor = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _later(self, pause_s: float) -> None:
        """Try the address that discovery has moved to."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(pause_s, self._succeed)

    def _begin(self) -> _Watch:
        return _Watch(self._address, self._version, self._call_s, self._line, self._ended)

    def _succeed(self) -> None:
        self._timer = None
        self._successor = self._begin()

    def _line(self, watch: _Watch, line: bytes) -> None:
        if watch is self._successor:
            if self._watch is not None:
                self._watch.close()
            self._watch, self._successor = watch, None
        first, watch.heard = not watch.heard, True
        if first:
            self._backoff.reset()
        if not line.strip():
            if first:
                # Nothing has changed since the version asked for. Untold, the module took the call for one
                # without a reply, and asked anew every second for as long as nothing changed.
                self._on_list(EndpointUpdate(self._version, False, (), {}))
            return
        self._lines.append((watch, line))
        if len(self._lines) > LINES_MOST:
            watch.pause()  # the rest waits in the network
        if self._reading is None and self._gathering is None:
            if self._rate.take(1000.0 * self._loop.time()):
                self._read_lines()
            else:
                if self._loop.time() - self._flooded > 1.0:  # once for each flood
                    log.warning("discovery: more than %d lines a second: taken together", LINES_A_SECOND)
                self._flooded = self._loop.time()
                self._gathering = self._loop.call_later(GATHER_S, self._gathered)

    def _gathered(self) -> None:
        """A flood of lines is followed as one change each time: work is bounded by time, not by lines."""
        self._gathering = None
        many, self._lines = list(self._lines), deque()
        together: list[EndpointUpdate] = []
        for i, (watch, line) in enumerate(many):
            if len(line) > SHORT_LINE_BYTES:  # a long one stands for itself, and what follows it waits
                self._lines.extend(many[i:])
                break
            try:
                together.append(run_to_end(self._decoder.decode_text(line.decode())))
            except (ValueError, EndpointListError) as error:
                self._bad_line(watch, error)
        for listing in merge_updates(together):
            for piece in self._book.chunks(listing):
                if piece is not None:
                    self._on_list(piece)
            self._version = listing.version
        if many:
            many[-1][0].resume()
        self._read_lines()

    def _read_lines(self) -> None:
        while self._lines and self._reading is None:
            self._take(*self._lines.popleft())

    def _take(self, watch: _Watch, line: bytes) -> None:
        """Read a line: a short one at once, a long one slice by slice, while the node goes on."""
        slices = self._follow(watch, line)
        if len(line) <= SHORT_LINE_BYTES:
            for _ in slices:
                pass
            return
        self._reading = slices
        # Ten thousand servers are a hundred thousand new objects: a full collection among them held up the
        # loop for 40 ms in the middle of the list.
        gc.disable()
        watch.pause()
        self._loop.call_soon(self._read_on, watch)

    def _read_on(self, watch: _Watch) -> None:
        if self._reading is None:
            return  # closed meanwhile
        try:
            next(self._reading)
        except StopIteration:
            self._read_next(watch)
        except Exception:
            log.exception("fault while a list was followed")  # and the lists behind it still count
            self._read_next(watch)
        else:
            self._loop.call_soon(self._read_on, watch)

    def _read_next(self, watch: _Watch) -> None:
        """A long line is done: on with what came behind it."""
        self._reading = None
        gc.freeze()  # what a list brought lives until another takes it away, and is counted out of use then
        gc.enable()
        watch.resume()
        self._read_lines()

    def _follow(self, watch: _Watch, line: bytes) -> Generator[None, None, None]:
        """Read one line and hand on what it changes, in slices."""
        try:
            listing = yield from self._decoder.decode_text(line.decode())
        except (ValueError, EndpointListError) as error:
            self._bad_line(watch, error)
            return
        for piece in self._book.chunks(listing):
            if piece is not None:
                self._on_list(piece)
            yield
        # Only now: a list that was not followed to its end is asked for again.
        self._version = listing.version

    def _bad_line(self, watch: _Watch, error: Exception) -> None:
        log.warning("discovery: bad line: %s", error)
        watch.close()
        if watch in (self._watch, self._successor):
            self._ended(watch)

    def _ended(self, watch: _Watch) -> None:
        if watch is self._successor:
            self._successor = None
            if self._watch is not None:  # it still holds: time for another try
                self._later(self._backoff.pause())
                return
        elif watch is self._watch:
            self._watch = None
            if self._successor is not None:  # the one that closes after a move; the other is on its way
                return
        self._leave()
        if self._pushed:
            self._timer = self._loop.call_later(self._backoff.pause(), self.subscribe)
        else:
            self._on_failed()

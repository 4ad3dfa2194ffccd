"""The discovery client: watches the endpoint list and delivers its updates."""

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

WATCH_SILENCE_TIMEOUT_S = 7.0  # a watch sends an empty line every 2 s; three missing ones mean a cut link
# Delays before a broken watch is retried: the local agent's, and one at discovery's new address.
FIRST_RETRY_DELAY_S = 0.5  # upper bound of the first, randomised delay
MAX_RETRY_DELAY_S = 2.0
MOVE_SPREAD_FRACTION = 0.1  # of the call timeout, over which the nodes spread when discovery moves
MAX_LINES_PER_S = 100.0  # above this rate, lines are collected and applied in batches
BATCH_INTERVAL_S = 0.05
MAX_PENDING_LINES = 5000  # with more lines waiting, the watch is not read
MAX_LINE_BYTES = 4 * 1024 * 1024  # a list of some ten thousand servers


class _Watch(asyncio.Protocol):
    """One watch on one connection: delivers complete lines, then calls on_ended once unless closed before."""

    def __init__(
        self,
        address: tuple[str, int],
        version: int,
        call_timeout_s: float,
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
        self._partial_line = b""
        self.received_line = False
        self._closed = False
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(call_timeout_s, self._end)
        self._connect_task = self._loop.create_task(self._connect(host, port))

    async def _connect(self, host: str, port: int) -> None:
        try:
            await self._loop.create_connection(lambda: self, host, port)
        except OSError:
            self._end()

    def pause(self) -> None:
        """Stop reading for now, so that input waits in the network."""
        if not self._closed and self._transport is not None:
            self._transport.pause_reading()

    def resume(self) -> None:
        if not self._closed and self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def close(self) -> None:
        """Drop the watch without calling on_ended."""
        self._closed = True
        self._timer.cancel()
        self._connect_task.cancel()
        if self._transport is not None:
            self._transport.abort()

    def _end(self) -> None:
        if not self._closed:
            self.close()
            self._on_ended(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transports are not a subclass
        if self._closed:
            self._transport.abort()
        else:
            self._transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._closed:
                log.warning("discovery: malformed HTTP response: %s", error)
                self._end()

    def connection_lost(self, exc: Exception | None) -> None:
        self._end()

    def on_headers_complete(self) -> None:
        if self._parser.get_status_code() != 200:
            self._end()

    def on_body(self, data: bytes) -> None:
        *complete_lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in complete_lines:
            if self._closed:
                return
            # A cut link gives no error, so a watch that stays silent for this long has failed.
            self._timer.cancel()
            self._timer = self._loop.call_later(WATCH_SILENCE_TIMEOUT_S, self._end)
            self._on_line(self, line)
        if len(self._partial_line) > MAX_LINE_BYTES:
            log.warning("discovery: line longer than %d bytes", MAX_LINE_BYTES)
            self._end()

    def on_message_complete(self) -> None:
        self._end()


class DiscoveryClient:
    """Keeps one watch; delivers each update, and reports each failed call or watch once.

    In pushed mode the watch is on the machine's local agent: it costs nothing, is kept up without being
    requested, and its failures are not reported since they say nothing about the list.  When discovery moves,
    the old watch is dropped only once the new one delivers; a failure is reported only when neither is left.
    """

    def __init__(
        self,
        address: tuple[str, int],
        decoder: DiscoveryDecoder,
        *,
        pushed: bool,
        call_timeout_s: float,
        on_update: Callable[[EndpointUpdate], None],
        on_failure: Callable[[], None],
        rng: random.Random,
    ) -> None:
        """rng: seeded per node, so that nodes do not act in step."""
        self._address = address
        self._decoder = decoder
        self._pushed = pushed
        self._call_timeout_s = call_timeout_s
        self._on_update = on_update
        self._on_failure = on_failure
        self._loop = asyncio.get_running_loop()
        self._rng = rng
        self._backoff = Backoff(rng, FIRST_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        self._version = 0
        self._subscribed = False
        self._watch: _Watch | None = None
        self._successor: _Watch | None = None  # at discovery's new address, until it delivers
        self._timer: asyncio.TimerHandle | None = None
        self._delivered = DeliveredState()
        self._long_line_reader: Generator[None, None, None] | None = None
        self._pending_lines: deque[tuple[_Watch, bytes]] = deque()  # received and not read yet
        self._line_rate = TokenBucket.full(MAX_LINES_PER_S)
        self._batch_timer: asyncio.TimerHandle | None = None
        self._last_batched_at_s = -1.0

    def set_initial(self, initial: EndpointUpdate) -> None:
        """Record the list known at startup, which the owner has applied itself."""
        self._delivered.record(initial)

    def forget(self, server: ServerId) -> None:
        """Forget a server that the owner dropped, so that the next list that names it reports it again."""
        self._delivered.forget(server)

    def start(self, version: int | None) -> None:
        """Start from the version of the initial list; with None there is none, and one is requested at once.

        The balancer spreads the nodes' first calls over time, but only nodes that have a list can wait.
        """
        self._version = version or 0
        if self._pushed or version is None:
            self.subscribe()

    def subscribe(self) -> None:
        """Watch from the last version on, replacing any present watch."""
        self._drop_watches()
        self._subscribed = True
        self._watch = self._start_watch()

    def move(self, address: tuple[str, int]) -> None:
        """Watch discovery at a new address, and drop the old watch once the new one delivers."""
        if address == self._address:
            return
        self._address = address
        if self._successor is not None:
            self._successor.close()
            self._successor = None
        if self._subscribed:
            # This also applies after a failed call, whose retry delay was meant for the old address.  It
            # is spread because all nodes learn of the move at once and discovery answers calls one by one.
            self._backoff.reset()
            self._schedule_successor(
                0.0 if self._pushed else self._rng.uniform(0.0, MOVE_SPREAD_FRACTION * self._call_timeout_s)
            )

    def close(self) -> None:
        """Stop, without reporting anything further."""
        self._drop_watches()
        self._pending_lines.clear()
        if self._batch_timer is not None:
            self._batch_timer.cancel()
        if self._long_line_reader is not None:
            self._long_line_reader.close()
            self._long_line_reader = None
            gc.enable()

    def _drop_watches(self) -> None:
        """Drop the watches without reporting it.

        A long list that has arrived completely is still read to its end: otherwise a watch that always breaks
        after a long list would never make progress.
        """
        for watch in (self._watch, self._successor):
            if watch is not None:
                watch.close()
        self._watch = self._successor = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule_successor(self, delay_s: float) -> None:
        """Schedule a watch at discovery's new address."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(delay_s, self._start_successor)

    def _start_watch(self) -> _Watch:
        return _Watch(self._address, self._version, self._call_timeout_s, self._on_line, self._on_watch_ended)

    def _start_successor(self) -> None:
        self._timer = None
        self._successor = self._start_watch()

    def _on_line(self, watch: _Watch, line: bytes) -> None:
        if watch is self._successor:
            if self._watch is not None:
                self._watch.close()
            self._watch, self._successor = watch, None
        first_line, watch.received_line = not watch.received_line, True
        if first_line:
            self._backoff.reset()
        if not line.strip():
            if first_line:
                # Nothing has changed since the requested version.  Report that: otherwise the balancer takes
                # the call for unanswered and subscribes again every second for as long as nothing changes.
                self._on_update(EndpointUpdate(self._version, False, (), {}))
            return
        self._pending_lines.append((watch, line))
        if len(self._pending_lines) > MAX_PENDING_LINES:
            watch.pause()
        if self._long_line_reader is None and self._batch_timer is None:
            if self._line_rate.try_take(1000.0 * self._loop.time()):
                self._read_pending()
            else:
                if self._loop.time() - self._last_batched_at_s > 1.0:  # once per burst
                    log.warning("discovery: more than %d lines per second; batching updates", MAX_LINES_PER_S)
                self._last_batched_at_s = self._loop.time()
                self._batch_timer = self._loop.call_later(BATCH_INTERVAL_S, self._apply_batch)

    def _apply_batch(self) -> None:
        """Apply the collected lines as one change, so that a burst costs work by time and not by line."""
        self._batch_timer = None
        lines, self._pending_lines = list(self._pending_lines), deque()
        updates: list[EndpointUpdate] = []
        for i, (watch, line) in enumerate(lines):
            if len(line) > SHORT_LINE_BYTES:  # long lines are read on their own, in order
                self._pending_lines.extend(lines[i:])
                break
            try:
                updates.append(run_to_end(self._decoder.decode_text(line.decode())))
            except (ValueError, EndpointListError) as error:
                self._on_bad_line(watch, error)
        for update in merge_updates(updates):
            for chunk in self._delivered.chunks(update):
                if chunk is not None:
                    self._on_update(chunk)
            self._version = update.version
        if lines:
            lines[-1][0].resume()
        self._read_pending()

    def _read_pending(self) -> None:
        while self._pending_lines and self._long_line_reader is None:
            self._read_line(*self._pending_lines.popleft())

    def _read_line(self, watch: _Watch, line: bytes) -> None:
        """Read a line: a short one at once, a long one in steps between which the node does other work."""
        steps = self._apply_line(watch, line)
        if len(line) <= SHORT_LINE_BYTES:
            for _ in steps:
                pass
            return
        self._long_line_reader = steps
        # Ten thousand servers make a hundred thousand new objects.  A full garbage collection in the middle
        # of such a list blocked the loop for 40 ms.
        gc.disable()
        watch.pause()
        self._loop.call_soon(self._continue_long_line, watch)

    def _continue_long_line(self, watch: _Watch) -> None:
        if self._long_line_reader is None:
            return  # closed in the meantime
        try:
            next(self._long_line_reader)
        except StopIteration:
            self._finish_long_line(watch)
        except Exception:
            log.exception("discovery: failed to apply an update")  # later updates are still applied
            self._finish_long_line(watch)
        else:
            self._loop.call_soon(self._continue_long_line, watch)

    def _finish_long_line(self, watch: _Watch) -> None:
        """End a long line and go on with the lines after it."""
        self._long_line_reader = None
        gc.freeze()  # the list's objects live until replaced, and reference counting frees them then
        gc.enable()
        watch.resume()
        self._read_pending()

    def _apply_line(self, watch: _Watch, line: bytes) -> Generator[None, None, None]:
        """Read one line and deliver its changes, yielding between chunks."""
        try:
            update = yield from self._decoder.decode_text(line.decode())
        except (ValueError, EndpointListError) as error:
            self._on_bad_line(watch, error)
            return
        for chunk in self._delivered.chunks(update):
            if chunk is not None:
                self._on_update(chunk)
            yield
        # Set last, so that a list that was not applied completely is requested again.
        self._version = update.version

    def _on_bad_line(self, watch: _Watch, error: Exception) -> None:
        log.warning("discovery: bad line: %s", error)
        watch.close()
        if watch in (self._watch, self._successor):
            self._on_watch_ended(watch)

    def _on_watch_ended(self, watch: _Watch) -> None:
        if watch is self._successor:
            self._successor = None
            if self._watch is not None:  # the old watch is still up, so retry later
                self._schedule_successor(self._backoff.next_pause())
                return
        elif watch is self._watch:
            self._watch = None
            if self._successor is not None:  # the old watch closed after a move; the new one is starting
                return
        self._drop_watches()
        if self._pushed:
            self._timer = self._loop.call_later(self._backoff.next_pause(), self.subscribe)
        else:
            self._on_failure()

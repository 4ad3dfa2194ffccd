"""The outcome of each attempt, and the reuse of connections between attempts."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import time
from collections.abc import AsyncIterator

import pytest

from leadrudder.interface import Outcome
from leadrudder.node.http import HttpMessage
from leadrudder.node.lists import DiscoveryDecoder
from leadrudder.node.servers import HttpUpstream, UpstreamCall
from tests.stubs import (
    HOST,
    WAIT_TIMEOUT_S,
    ServerBehaviour,
    StubServer,
    listing,
    never_reply,
    raw,
    reply,
    reset,
    row,
    run,
)

REQUEST = b"GET /api/x HTTP/1.1\r\nHost: h\r\n\r\n"
NOT_RUN = "X-Not-Run: 1\r\n"


class UpstreamUnderTest:
    """An upstream, and the outcomes of the calls started on it."""

    def __init__(self, upstream: HttpUpstream) -> None:
        self.upstream = upstream
        self.ended: list[Outcome] = []

    def start_call(
        self, timeout_s: float = WAIT_TIMEOUT_S, server: bytes = b"a"
    ) -> tuple[UpstreamCall, asyncio.Future[tuple[Outcome, bytes]]]:
        future: asyncio.Future[tuple[Outcome, bytes]] = asyncio.get_running_loop().create_future()

        def done(outcome: Outcome, answer: HttpMessage | None) -> None:
            self.ended.append(outcome)
            future.set_result((outcome, answer.body if answer is not None else b""))

        return self.upstream.call(server, lambda _: REQUEST, timeout_s, done), future

    async def outcome(self, timeout_s: float = WAIT_TIMEOUT_S) -> tuple[Outcome, bytes]:
        return await self.start_call(timeout_s)[1]


@contextlib.asynccontextmanager
async def running_upstream(
    address: str, *, max_connections: int = 100, idle_timeout_s: float = 30.0
) -> AsyncIterator[UpstreamUnderTest]:
    upstream = HttpUpstream(
        connect_timeout_s=0.15, idle_timeout_s=idle_timeout_s, max_connections=max_connections
    )
    upstream.update(DiscoveryDecoder((), ()).decode(listing(1, row("a", address))))
    try:
        yield UpstreamUnderTest(upstream)
    finally:
        upstream.close()


@pytest.mark.parametrize(
    ("behaviour", "outcome"),
    [
        (reply("200 OK", b"body"), Outcome.OK),
        (raw(b"HTTP/1.1 200 OK\r\n\r\nbody", close=True), Outcome.SPOILT),  # may be truncated
        (raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"), Outcome.OK),
        (raw(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"), Outcome.OK),
        (reply("500 Internal Server Error"), Outcome.ERROR),
        (reply("503 Service Unavailable", extra=NOT_RUN), Outcome.FULL),
        (reply("504 Gateway Timeout", extra=NOT_RUN), Outcome.FULL),
        (reply("503 Service Unavailable"), Outcome.ERROR),
        (reply("500 Internal Server Error", extra=NOT_RUN), Outcome.ERROR),
        (reply("404 Not Found"), Outcome.REJECTED),
        (reset, Outcome.RESET),
        (raw(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", close=True), Outcome.RESET),
        (
            raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", close=True),
            Outcome.RESET,
        ),
        (raw(b"nonsense\r\n\r\n"), Outcome.SPOILT),
        (reply("200 OK", b"x" * 65537), Outcome.SPOILT),
        (raw(b"HTTP/1.1 200 OK\r\nX: " + b"x" * 20000), Outcome.SPOILT),
        (raw(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nbody"), Outcome.SPOILT),
        (raw(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody"), Outcome.SPOILT),
        (raw(b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nbody"), Outcome.SPOILT),
        (raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbody", close=True), Outcome.SPOILT),
        (
            raw(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
            Outcome.SPOILT,
        ),
        (raw(b"HTTP/1.1 103 Early\r\nX: " + b"x" * 9000 + b"\r\n\r\n", times=2), Outcome.SPOILT),
        (raw(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Load: {\xff]\r\n\r\nbody"), Outcome.OK),
    ],
)
def test_response_decides_the_outcome(behaviour: ServerBehaviour, outcome: Outcome) -> None:
    async def main() -> None:
        async with StubServer([behaviour]) as server, running_upstream(server.address) as a:
            got, body = await a.outcome()
            assert got is outcome
            if outcome is Outcome.OK:
                assert body == b"body"
            assert len(server.received) == 1

    run(main())


def test_silent_server_times_out_and_the_connection_closes() -> None:
    async def main() -> None:
        async with StubServer([never_reply]) as server, running_upstream(server.address) as a:
            assert await a.outcome(0.1) == (Outcome.TIMEOUT, b"")
            server.release.set()
            await asyncio.wait_for(server.connection_closed.wait(), WAIT_TIMEOUT_S)

    run(main())


def test_refused_connection_counts_as_never_ran() -> None:
    async def main() -> None:
        with socket.socket() as free:
            free.bind((HOST, 0))
            async with running_upstream(f"{HOST}:{free.getsockname()[1]}") as a:
                assert await a.outcome() == (Outcome.CONNECT_FAILED, b"")

    run(main())


def test_unanswered_connect_counts_as_never_ran() -> None:
    """A listening socket with a full backlog leaves connects unanswered, like a machine that is cut off."""

    async def main() -> None:
        with socket.socket() as listener, contextlib.ExitStack() as stack:
            listener.bind((HOST, 0))
            listener.listen(0)
            for _ in range(4):
                filler = stack.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
            async with running_upstream(f"{HOST}:{listener.getsockname()[1]}") as a:
                assert await a.outcome() == (Outcome.CONNECT_FAILED, b"")

    run(main())


def test_unknown_server_counts_as_never_ran() -> None:
    async def main() -> None:
        async with running_upstream(f"{HOST}:1") as a:
            a.upstream.update(DiscoveryDecoder((), ()).decode(listing(2)))
            assert await a.outcome() == (Outcome.CONNECT_FAILED, b"")

    run(main())


def test_cancelled_attempt_has_one_outcome() -> None:
    async def main() -> None:
        async with StubServer([never_reply]) as server, running_upstream(server.address) as a:
            call, future = a.start_call()
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            call.cancel(Outcome.CANCELLED)
            call.cancel(Outcome.TIMEOUT)
            server.release.set()
            await asyncio.wait_for(server.connection_closed.wait(), WAIT_TIMEOUT_S)
            assert (await future)[0] is Outcome.CANCELLED
            assert a.ended == [Outcome.CANCELLED]

    run(main())


def test_connection_close_response_is_complete_and_not_reused() -> None:
    async def main() -> None:
        closing = reply("200 OK", b"body", "Connection: close\r\n")
        async with StubServer([closing]) as server, running_upstream(server.address) as a:
            assert await a.outcome() == (Outcome.OK, b"body")
            assert await a.outcome() == (Outcome.OK, b"body")
            assert server.opened == 2

    run(main())


def test_unsolicited_bytes_end_a_connection() -> None:
    """Guards against surplus after one response being taken for the next response."""

    async def main() -> None:
        twice = raw(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1" * 2)
        async with (
            StubServer([twice, reply("200 OK", b"2")]) as server,
            running_upstream(server.address) as a,
        ):
            assert await a.outcome() == (Outcome.OK, b"1")
            await asyncio.wait_for(server.connection_closed.wait(), WAIT_TIMEOUT_S)
            assert await a.outcome() == (Outcome.OK, b"2")

    run(main())


@pytest.mark.parametrize("surplus", [b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1", b"\x07noise", b"H"])
def test_surplus_after_a_response_does_not_answer_the_next_call(surplus: bytes) -> None:
    """The next call starts from the response's callback, while the same input is still being parsed."""

    async def main() -> None:
        both = raw(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1" + surplus)
        async with StubServer([both, reply("200 OK", b"2")]) as server, running_upstream(server.address) as a:
            later: list[asyncio.Future[tuple[Outcome, bytes]]] = []
            a.upstream.call(
                b"a",
                lambda _: REQUEST,
                WAIT_TIMEOUT_S,
                lambda outcome, answer: later.append(a.start_call()[1]),
            )
            while not later:
                await asyncio.sleep(0)
            assert await later[0] == (Outcome.OK, b"2")
            assert server.opened == 2

    run(main())


def test_connection_with_unread_input_is_not_reused(monkeypatch: pytest.MonkeyPatch) -> None:
    """Unread input from after a response would be taken for the next response."""
    monkeypatch.setattr("leadrudder.node.servers.QUIET_BEFORE_REUSE_S", 0.0)

    async def main() -> None:
        behaviours = [reply("200 OK", b"1"), reply("200 OK", b"2")]
        async with StubServer(behaviours) as server, running_upstream(server.address) as a:
            assert await a.outcome() == (Outcome.OK, b"1")
            (connection,) = a.upstream._connections
            assert connection.is_quiet()
            os.write(server.writers[0].get_extra_info("socket").fileno(), b"HTTP/1.1 500 No\r\n")
            while connection.is_quiet():
                time.sleep(0)  # keep the loop from reading it
            assert await a.outcome() == (Outcome.OK, b"2")
            assert server.opened == 2

    run(main())


def test_server_that_drains_during_connect_gets_no_request() -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_upstream(server.address) as a:
            _, future = a.start_call()
            a.upstream.update(
                DiscoveryDecoder((), ()).decode(listing(2, row("a", server.address, "DRAINING")))
            )
            assert await future == (Outcome.MOOT, b"")
            await asyncio.wait_for(server.connection_closed.wait(), WAIT_TIMEOUT_S)
            assert not server.received

    run(main())


def test_new_server_takes_over_the_address_of_an_old_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against requests for the old server reaching the new, cold one."""
    monkeypatch.setattr("leadrudder.node.servers.QUIET_BEFORE_REUSE_S", 0.0)

    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_upstream(server.address) as a:
            new = row("b", server.address, started=5.0)
            assert a.upstream.update(DiscoveryDecoder((), ()).decode(listing(2, new, reset=False))) == [b"a"]
            assert await a.outcome() == (Outcome.CONNECT_FAILED, b"")
            assert (await a.start_call(server=b"b")[1])[0] is Outcome.OK
            stale = listing(3, row("a", server.address), new)
            assert a.upstream.update(DiscoveryDecoder((), ()).decode(stale)) == [b"a"]
            assert (await a.start_call(server=b"b")[1])[0] is Outcome.OK
            assert server.opened == 1

    run(main())


def test_idle_connections_close_well_before_the_servers_timeout() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            running_upstream(server.address, idle_timeout_s=0.0) as a,
        ):
            await a.outcome()
            await asyncio.wait_for(server.connection_closed.wait(), WAIT_TIMEOUT_S)

    run(main())


def test_reuse_limit_shrinks_after_a_server_closes_idle_connections_early(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request that crosses the server's close may have run, so an unsafe one would fail."""
    monkeypatch.setattr("leadrudder.node.servers.QUIET_BEFORE_REUSE_S", 0.0)
    monkeypatch.setattr("leadrudder.node.servers.MIN_TRUSTED_IDLE_S", 0.0)

    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_upstream(server.address) as a:
            (endpoint,) = a.upstream._endpoints.values()
            initial_s = endpoint.trusted_idle_s
            await a.outcome()
            server.writers[0].close()
            while a.upstream._connections:
                await asyncio.sleep(0)
            assert endpoint.trusted_idle_s < initial_s
            endpoint.trusted_idle_s = 0.0
            await a.outcome()
            while a.upstream._loop.time() <= next(iter(a.upstream._idle)).idle_since_s:
                await asyncio.sleep(0)
            await a.outcome()
            assert server.opened == 3, "a connection was reused that had been idle for too long"
            endpoint.trusted_idle_s = initial_s / 2
            a.upstream._sweep()
            assert initial_s / 2 < endpoint.trusted_idle_s < initial_s, "the limit must grow back over time"

    run(main())


def test_close_idle_keeps_connections_in_use() -> None:
    async def main() -> None:
        behaviours = [reply("200 OK"), never_reply]
        async with StubServer(behaviours) as server, running_upstream(server.address) as a:
            await a.outcome()
            a.upstream.close_idle(b"a")
            await asyncio.wait_for(server.connection_closed.wait(), WAIT_TIMEOUT_S)
            server.request_received.clear()
            call, future = a.start_call()
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            a.upstream.close_idle(b"a")
            assert not future.done()
            call.cancel(Outcome.CANCELLED)
            server.release.set()

    run(main())


def test_at_the_connection_limit_idle_ones_are_closed_then_connects_fail() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as one,
            StubServer([never_reply]) as two,
            running_upstream(one.address, max_connections=1) as a,
        ):
            a.upstream.update(
                DiscoveryDecoder((), ()).decode(listing(2, row("a", one.address), row("b", two.address)))
            )
            await a.outcome()
            call, future = a.start_call(server=b"b")
            await asyncio.wait_for(two.request_received.wait(), WAIT_TIMEOUT_S)
            assert await a.outcome() == (Outcome.CONNECT_FAILED, b"")
            assert not future.done()
            call.cancel(Outcome.CANCELLED)
            two.release.set()

    run(main())

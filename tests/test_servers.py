"""The outcome of each attempt, as the protocol's table has it, and the connections between attempts."""

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
from tests.stubs import HOST, PATIENCE_S, Behaviour, StubServer, listing, raw, reply, reset, row, run, silent

REQUEST = b"GET /api/x HTTP/1.1\r\nHost: h\r\n\r\n"
NOT_RUN = "X-Not-Run: 1\r\n"


class Attempts:
    """Calls to one server and their outcomes."""

    def __init__(self, servers: HttpUpstream) -> None:
        self.servers = servers
        self.ended: list[Outcome] = []

    def begin(
        self, timeout_s: float = PATIENCE_S, server: bytes = b"a"
    ) -> tuple[UpstreamCall, asyncio.Future[tuple[Outcome, bytes]]]:
        future: asyncio.Future[tuple[Outcome, bytes]] = asyncio.get_running_loop().create_future()

        def done(outcome: Outcome, answer: HttpMessage | None) -> None:
            self.ended.append(outcome)
            future.set_result((outcome, answer.body if answer is not None else b""))

        return self.servers.call(server, lambda _: REQUEST, timeout_s, done), future

    async def outcome(self, timeout_s: float = PATIENCE_S) -> tuple[Outcome, bytes]:
        return await self.begin(timeout_s)[1]


@contextlib.asynccontextmanager
async def attempts(
    address: str, *, max_connections: int = 100, idle_timeout_s: float = 30.0
) -> AsyncIterator[Attempts]:
    servers = HttpUpstream(
        connect_timeout_s=0.15, idle_timeout_s=idle_timeout_s, max_connections=max_connections
    )
    servers.update(DiscoveryDecoder((), ()).decode(listing(1, row("a", address))))
    try:
        yield Attempts(servers)
    finally:
        servers.close()


@pytest.mark.parametrize(
    ("behaviour", "outcome"),
    [
        (reply("200 OK", b"body"), Outcome.OK),
        (raw(b"HTTP/1.1 200 OK\r\n\r\nbody", close=True), Outcome.SPOILT),  # it may have been cut off
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
def test_what_comes_back_decides_the_outcome(behaviour: Behaviour, outcome: Outcome) -> None:
    async def main() -> None:
        async with StubServer([behaviour]) as server, attempts(server.address) as a:
            got, body = await a.outcome()
            assert got is outcome
            if outcome is Outcome.OK:
                assert body == b"body"
            assert len(server.received) == 1

    run(main())


def test_silence_is_a_time_out_and_closes_the_connection() -> None:
    async def main() -> None:
        async with StubServer([silent]) as server, attempts(server.address) as a:
            assert await a.outcome(0.1) == (Outcome.TIMEOUT, b"")
            server.release.set()
            await asyncio.wait_for(server.left.wait(), PATIENCE_S)

    run(main())


def test_a_refused_connection_never_ran() -> None:
    async def main() -> None:
        with socket.socket() as free:
            free.bind((HOST, 0))
            async with attempts(f"{HOST}:{free.getsockname()[1]}") as a:
                assert await a.outcome() == (Outcome.CONNECT_FAILED, b"")

    run(main())


def test_a_connection_that_never_comes_up_never_ran() -> None:
    """A listening socket whose backlog is full leaves new connections unanswered, as a cut machine does."""

    async def main() -> None:
        with socket.socket() as listener, contextlib.ExitStack() as stack:
            listener.bind((HOST, 0))
            listener.listen(0)
            for _ in range(4):
                filler = stack.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
            async with attempts(f"{HOST}:{listener.getsockname()[1]}") as a:
                assert await a.outcome() == (Outcome.CONNECT_FAILED, b"")

    run(main())


def test_an_unknown_server_never_ran() -> None:
    async def main() -> None:
        async with attempts(f"{HOST}:1") as a:
            a.servers.update(DiscoveryDecoder((), ()).decode(listing(2)))
            assert await a.outcome() == (Outcome.CONNECT_FAILED, b"")

    run(main())


def test_a_cancelled_attempt_has_one_outcome() -> None:
    async def main() -> None:
        async with StubServer([silent]) as server, attempts(server.address) as a:
            call, future = a.begin()
            await asyncio.wait_for(server.got.wait(), PATIENCE_S)
            call.cancel(Outcome.CANCELLED)
            call.cancel(Outcome.TIMEOUT)
            server.release.set()
            await asyncio.wait_for(server.left.wait(), PATIENCE_S)
            assert (await future)[0] is Outcome.CANCELLED
            assert a.ended == [Outcome.CANCELLED]

    run(main())


def test_an_answer_that_closes_is_whole_and_its_connection_is_not_kept() -> None:
    async def main() -> None:
        closing = reply("200 OK", b"body", "Connection: close\r\n")
        async with StubServer([closing]) as server, attempts(server.address) as a:
            assert await a.outcome() == (Outcome.OK, b"body")
            assert await a.outcome() == (Outcome.OK, b"body")
            assert server.opened == 2

    run(main())


def test_bytes_that_nobody_asked_for_spoil_a_connection() -> None:
    """Guards against an answer's surplus being read as the next request's answer."""

    async def main() -> None:
        twice = raw(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1" * 2)
        async with StubServer([twice, reply("200 OK", b"2")]) as server, attempts(server.address) as a:
            assert await a.outcome() == (Outcome.OK, b"1")
            await asyncio.wait_for(server.left.wait(), PATIENCE_S)
            assert await a.outcome() == (Outcome.OK, b"2")

    run(main())


@pytest.mark.parametrize("surplus", [b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1", b"\x07noise", b"H"])
def test_what_comes_behind_an_answer_is_not_the_answer_to_the_call_that_is_next(surplus: bytes) -> None:
    """The next call begins at the very moment of the answer, while its piece of input is being read."""

    async def main() -> None:
        both = raw(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1" + surplus)
        async with StubServer([both, reply("200 OK", b"2")]) as server, attempts(server.address) as a:
            later: list[asyncio.Future[tuple[Outcome, bytes]]] = []
            a.servers.call(
                b"a", lambda _: REQUEST, PATIENCE_S, lambda outcome, answer: later.append(a.begin()[1])
            )
            while not later:
                await asyncio.sleep(0)
            assert await later[0] == (Outcome.OK, b"2")
            assert server.opened == 2

    run(main())


def test_a_connection_with_something_unread_is_not_used_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """What came in after the answer and was not read yet would be taken for the next answer."""
    monkeypatch.setattr("leadrudder.node.servers.QUIET_BEFORE_REUSE_S", 0.0)

    async def main() -> None:
        behaviours = [reply("200 OK", b"1"), reply("200 OK", b"2")]
        async with StubServer(behaviours) as server, attempts(server.address) as a:
            assert await a.outcome() == (Outcome.OK, b"1")
            (connection,) = a.servers._connections
            assert connection.is_quiet()
            os.write(server.writers[0].get_extra_info("socket").fileno(), b"HTTP/1.1 500 No\r\n")
            while connection.is_quiet():
                time.sleep(0)  # the loop must not get to read it
            assert await a.outcome() == (Outcome.OK, b"2")
            assert server.opened == 2

    run(main())


def test_a_server_that_drains_while_a_connection_comes_up_gets_nothing() -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, attempts(server.address) as a:
            _, future = a.begin()
            a.servers.update(
                DiscoveryDecoder((), ()).decode(listing(2, row("a", server.address, "DRAINING")))
            )
            assert await future == (Outcome.MOOT, b"")
            await asyncio.wait_for(server.left.wait(), PATIENCE_S)
            assert not server.received

    run(main())


def test_a_new_server_at_an_old_address_takes_it_over(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against calls meant for the old server that would meet the new and cold one."""
    monkeypatch.setattr("leadrudder.node.servers.QUIET_BEFORE_REUSE_S", 0.0)

    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, attempts(server.address) as a:
            new = row("b", server.address, started=5.0)
            assert a.servers.update(DiscoveryDecoder((), ()).decode(listing(2, new, reset=False))) == [b"a"]
            assert await a.outcome() == (Outcome.CONNECT_FAILED, b"")
            assert (await a.begin(server=b"b")[1])[0] is Outcome.OK
            stale = listing(3, row("a", server.address), new)
            assert a.servers.update(DiscoveryDecoder((), ()).decode(stale)) == [b"a"]
            assert (await a.begin(server=b"b")[1])[0] is Outcome.OK
            assert server.opened == 1

    run(main())


def test_idle_connections_close_well_before_the_server_would() -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, attempts(server.address, idle_timeout_s=0.0) as a:
            await a.outcome()
            await asyncio.wait_for(server.left.wait(), PATIENCE_S)

    run(main())


def test_a_server_that_ends_idle_connections_early_is_not_met_on_older_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request that crosses the server's close may have run: a booking is lost with it."""
    monkeypatch.setattr("leadrudder.node.servers.QUIET_BEFORE_REUSE_S", 0.0)
    monkeypatch.setattr("leadrudder.node.servers.MIN_TRUSTED_IDLE_S", 0.0)

    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, attempts(server.address) as a:
            (peer,) = a.servers._endpoints.values()
            told = peer.trusted_idle_s
            await a.outcome()
            server.writers[0].close()
            while a.servers._connections:
                await asyncio.sleep(0)
            assert peer.trusted_idle_s < told
            peer.trusted_idle_s = 0.0
            await a.outcome()
            while a.servers._loop.time() <= next(iter(a.servers._idle)).idle_since_s:
                await asyncio.sleep(0)
            await a.outcome()
            assert server.opened == 3, "an older connection than the server keeps was used"
            peer.trusted_idle_s = told / 2
            a.servers._sweep()
            assert told / 2 < peer.trusted_idle_s < told, "it is trusted again in time"

    run(main())


def test_close_idle_leaves_calls_alone() -> None:
    async def main() -> None:
        behaviours = [reply("200 OK"), silent]
        async with StubServer(behaviours) as server, attempts(server.address) as a:
            await a.outcome()
            a.servers.close_idle(b"a")
            await asyncio.wait_for(server.left.wait(), PATIENCE_S)
            server.got.clear()
            call, future = a.begin()
            await asyncio.wait_for(server.got.wait(), PATIENCE_S)
            a.servers.close_idle(b"a")
            assert not future.done()
            call.cancel(Outcome.CANCELLED)
            server.release.set()

    run(main())


def test_short_of_descriptors_idle_connections_go_first_then_connecting_fails() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as one,
            StubServer([silent]) as two,
            attempts(one.address, max_connections=1) as a,
        ):
            a.servers.update(
                DiscoveryDecoder((), ()).decode(listing(2, row("a", one.address), row("b", two.address)))
            )
            await a.outcome()
            call, future = a.begin(server=b"b")
            await asyncio.wait_for(two.got.wait(), PATIENCE_S)
            assert await a.outcome() == (Outcome.CONNECT_FAILED, b"")
            assert not future.done()
            call.cancel(Outcome.CANCELLED)
            two.release.set()

    run(main())

"""The RPC upstream over loopback: windows, late answers, lies, drops in every place, drains, silence."""

from __future__ import annotations

import asyncio
from typing import Any

import msgpack
import pytest

from leadrudder.interface import Outcome
from leadrudder.node.contract import ClientRequest, RpcCall, UpstreamResponse
from leadrudder.node.lists import DiscoveryDecoder
from leadrudder.node.reports import LoadReport
from leadrudder.rpc.framing import pack
from leadrudder.rpc.upstream import RpcServers, Terms
from tests.rpc.stubs import RpcPeer, RpcServer, rpc_world, serve
from tests.stubs import WAIT_TIMEOUT_S, StubServer, listing, reply, row, run

NAMING = DiscoveryDecoder((), ())
QUICK = 30.0  # seconds that nobody waits for


async def never(server: RpcServer, peer: RpcPeer, message: list[Any]) -> None:
    """Take it and say nothing."""
    server.run(message[3])


class Side:
    """An upstream by itself, and how its calls ended."""

    def __init__(self, *servers: RpcServer, **terms: Any) -> None:
        self.upstream = RpcServers(Terms(**terms), lambda ask: _rpc(ask), lambda answer: answer)
        self.rows = [row(f"s{i}", server.address) for i, server in enumerate(servers)]
        self.upstream.update(NAMING.decode(listing(1, *self.rows)))
        self.ended: dict[int, tuple[Outcome, UpstreamResponse | None]] = {}
        self.calls: list[Any] = []
        self._changed = asyncio.Event()

    def call(self, timeout_s: float = QUICK, server: bytes = b"s0", note: bool = False, size: int = 0) -> int:
        number = len(self.calls)
        params = pack([number, b"x" * size])
        ask = ClientRequest(b"%d" % number, 0, 0, 0, 1000.0, None, False, RpcCall("look", params, note))

        def done(how: Outcome, answer: UpstreamResponse | None, report: LoadReport = (), /) -> None:
            assert number not in self.ended, "it ended twice"
            self.ended[number] = how, answer
            self._changed.set()

        self.calls.append(self.upstream.attempt(server, ask, timeout_s, done))
        assert number not in self.ended, "it ended before the call returned"
        return number

    async def all(self) -> list[Outcome]:
        """How all calls ended, in their order."""
        while len(self.ended) < len(self.calls):
            self._changed.clear()
            await asyncio.wait_for(self._changed.wait(), WAIT_TIMEOUT_S)
        return [self.ended[i][0] for i in range(len(self.calls))]

    async def until(self, condition: Any) -> None:
        async def wait() -> None:
            while not condition():
                await asyncio.sleep(0)

        await asyncio.wait_for(wait(), WAIT_TIMEOUT_S)

    def connections(self) -> list[Any]:
        return [c for peer in self.upstream._table.endpoints.values() for c in peer.connections]


def _rpc(ask: ClientRequest) -> RpcCall:
    assert isinstance(ask.call, RpcCall)
    return ask.call


def test_many_calls_share_few_connections_within_the_window() -> None:
    async def main() -> None:
        async with RpcServer(never) as server:
            side = Side(server, connections=2, window=3)
            for _ in range(10):
                side.call()
            await server.seen(6)
            assert len(server.peers) == 2
            assert sorted(len(c.calls) for c in side.connections()) == [3, 3]
            assert len(side.upstream._table.endpoints[b"s0"].waiting) == 4
            assert all(len({m[1] for m in server.calls}) >= 3 for _ in range(1))
            for peer in server.peers:
                peer.close()
            outcomes = await side.all()
            # What waited had never been written: it goes out on new connections, or could not connect.
            assert outcomes.count(Outcome.RESET) >= 6
            side.upstream.close()

    run(main())


def test_answers_in_any_order_find_their_calls() -> None:
    async def backwards(server: RpcServer, peer: RpcPeer, message: list[Any]) -> None:
        if len(server.calls) == 8:
            for call in reversed(server.calls):
                peer.send(1, call[1], None, call[3][0])

    async def main() -> None:
        async with RpcServer(backwards) as server:
            side = Side(server, connections=1, window=8)
            for _ in range(8):
                side.call()
            assert await side.all() == [Outcome.OK] * 8
            for i in range(8):
                answer = side.ended[i][1]
                assert answer is not None and msgpack.unpackb(answer.body) == i
            side.upstream.close()

    run(main())


def test_a_late_answer_is_dropped_and_its_msgid_not_used_until_then() -> None:
    async def main() -> None:
        async with RpcServer(never) as server:
            side = Side(server, connections=1, window=2)
            side.call()
            await server.seen(1)
            side.calls[0].cancel(Outcome.CANCELLED)
            (connection,) = side.connections()
            assert connection.late == {1}
            connection._last = 0  # as after four thousand million calls
            side.call()
            await server.seen(2)
            assert server.calls[1][1] == 2, "the msgid of a call whose answer is out"
            server.peers[0].send(1, 1, None, "late")
            server.peers[0].send(1, 2, None, "in time")
            assert await side.all() == [Outcome.CANCELLED, Outcome.OK]
            assert side.connections() == [connection] and not connection.late
            side.upstream.close()

    run(main())


def test_a_connection_that_owes_many_late_answers_takes_no_new_call() -> None:
    async def main() -> None:
        async with RpcServer(never) as server:
            side = Side(server, connections=2, window=1)
            for i in range(4):
                side.call()
                await server.seen(i + 1)
                side.calls[i].cancel(Outcome.CANCELLED)
            (full,) = side.connections()
            assert len(full.late) == 4 and full.room() == 0
            side.call()
            await server.seen(5)
            assert len(server.peers) == 2
            side.upstream.close()

    run(main())


@pytest.mark.parametrize("lie", ["twice", "never asked", "a request", "no message"])
def test_a_server_that_answers_what_is_not_out_loses_its_connection(lie: str) -> None:
    async def liar(server: RpcServer, peer: RpcPeer, message: list[Any]) -> None:
        if len(server.calls) < 3:
            return
        first = server.calls[0]
        peer.send(1, first[1], None, "right")
        if lie == "twice":
            peer.send(1, first[1], None, "again")
        elif lie == "never asked":
            peer.send(1, 4_000_000_000, None, "what")
        elif lie == "a request":
            peer.send(0, 1, "look", [])
        else:
            peer.writer.write(b"\xc1")

    async def main() -> None:
        async with RpcServer(liar) as server:
            side = Side(server, connections=1)
            for _ in range(3):
                side.call()
            assert await side.all() == [Outcome.OK, Outcome.SPOILT, Outcome.SPOILT]
            assert not side.connections() and not side.upstream._open
            side.upstream.close()

    run(main())


@pytest.mark.parametrize(
    ("error", "outcome"),
    [
        ({"code": "not_run"}, Outcome.FULL),
        ({"code": "refused", "retry_after": 1.0}, Outcome.FULL),
        ({"code": "bad_request"}, Outcome.REJECTED),
        ({"code": "failed"}, Outcome.ERROR),
        ({"code": ["not_run"]}, Outcome.ERROR),
        ("not_run", Outcome.ERROR),
        (False, Outcome.ERROR),
        ([], Outcome.ERROR),
        (msgpack.ExtType(5, b"odd"), Outcome.ERROR),
    ],
)
def test_an_error_says_whether_the_call_ran(error: Any, outcome: Outcome) -> None:
    async def answer(server: RpcServer, peer: RpcPeer, message: list[Any]) -> None:
        peer.send(1, message[1], error, None)

    async def main() -> None:
        async with RpcServer(answer) as server:
            side = Side(server)
            side.call()
            assert await side.all() == [outcome]
            side.upstream.close()

    run(main())


def test_a_drop_in_the_middle_of_a_write_ends_each_call_by_what_is_known() -> None:
    """The frame that was under way may have run; those queued behind it were never handed over."""

    async def main() -> None:
        async with RpcServer(never) as server:
            side = Side(server, connections=1, window=16)
            side.call()
            await server.seen(1)
            server.peers[0].reader._transport.pause_reading()  # type: ignore[attr-defined]
            (connection,) = side.connections()
            while not connection._choked:
                side.call(size=60_000)
                await asyncio.sleep(0)
                if len(side.calls) - len(side.ended) >= 15:
                    # The kernel's buffers took them all: as many again.
                    break
            queued = [side.call(size=60_000) for _ in range(3)] if connection._choked else []
            await side.until(
                lambda: not side.upstream._table.endpoints[b"s0"].waiting or not connection._choked
            )
            written = [call.written for call in side.calls]
            server.peers[0].close()
            await server.stop()
            outcomes = await side.all()
            for how, was_written in zip(outcomes, written, strict=True):
                assert how is (Outcome.RESET if was_written else Outcome.CONNECT_FAILED)
            assert not any(written[i] for i in queued)
            side.upstream.close()

    run(main())


def test_a_drop_in_the_middle_of_an_answer_resets_what_is_out() -> None:
    async def half(server: RpcServer, peer: RpcPeer, message: list[Any]) -> None:
        if len(server.calls) == 2:
            peer.writer.write(msgpack.packb([1, message[1], None, "x" * 100])[:50])
            await peer.writer.drain()
            peer.writer.write_eof()
            peer.writer.close()

    async def main() -> None:
        async with RpcServer(half) as server:
            side = Side(server, connections=1)
            side.call()
            side.call()
            assert await side.all() == [Outcome.RESET, Outcome.RESET]
            side.upstream.close()

    run(main())


def test_nobody_there_is_could_not_connect() -> None:
    async def main() -> None:
        async with RpcServer() as server:
            pass
        side = Side(server)
        side.call()
        side.call(server=b"unknown")
        assert await side.all() == [Outcome.CONNECT_FAILED] * 2
        side.upstream.close()

    run(main())


def test_after_a_drain_nothing_new_is_written_and_what_is_out_may_end() -> None:
    async def main() -> None:
        async with RpcServer(never) as server:
            side = Side(server, connections=1, window=100)
            for _ in range(120):
                side.call()
            await server.seen(100)
            drained = row("s0", server.address, "DRAINING")
            side.upstream.update(NAMING.decode(listing(2, drained, reset=False)))
            side.call()
            await side.until(lambda: len(side.ended) == 21)
            assert {side.ended[i][0] for i in range(100, 120)} == {Outcome.MOOT}
            assert side.ended[120][0] is Outcome.CONNECT_FAILED
            for call in list(server.calls):
                server.peers[0].send(1, call[1], None, "done")
            outcomes = await side.all()
            assert outcomes[:100] == [Outcome.OK] * 100
            assert len(server.calls) == 100
            await side.until(lambda: not side.upstream._open)
            side.upstream.close()

    run(main())


def test_silence_of_all_calls_ends_a_connection_and_of_one_does_not() -> None:
    async def but_the_first(server: RpcServer, peer: RpcPeer, message: list[Any]) -> None:
        if message[1] != 1:
            await serve(server, peer, message)

    async def main() -> None:
        async with RpcServer(but_the_first) as server:
            side = Side(server, connections=1, silence_s=20.0)
            side.call()
            await server.seen(1)
            (connection,) = side.connections()
            connection.heard -= 30.0  # as if that call had been out for half a minute
            side.call()
            await side.until(lambda: 1 in side.ended)  # another one is answered meanwhile
            connection.check(connection.heard + 19.0)
            assert 0 not in side.ended, "one long call ended its connection"
            connection.check(connection.heard + 21.0)
            assert side.ended[0][0] is Outcome.TIMEOUT
            side.upstream.close()

    run(main())


def test_a_call_that_times_out_tells_whether_it_was_written() -> None:
    async def main() -> None:
        async with RpcServer(never) as server:
            side = Side(server, connections=1, window=1)
            side.call(timeout_s=0.3)
            side.call(timeout_s=0.1)
            assert await side.all() == [Outcome.TIMEOUT, Outcome.CONNECT_FAILED]
            assert len(server.calls) == 1
            (connection,) = side.connections()
            assert connection.usable() and connection.late == {1}
            side.upstream.close()

    run(main())


def test_more_than_may_wait_at_one_server_could_not_connect() -> None:
    async def main() -> None:
        async with RpcServer(never) as server:
            side = Side(server, connections=1, window=2)
            for _ in range(10):
                side.call()
            await side.until(lambda: len(side.ended) == 6)
            assert {how for how, _ in side.ended.values()} == {Outcome.CONNECT_FAILED}
            side.upstream.close()
            assert len(await side.all()) == 10

    run(main())


@pytest.mark.parametrize("probe", ["", "health"])
def test_a_probe_is_a_connection_or_the_method_that_was_named(probe: str) -> None:
    async def main() -> None:
        async with RpcServer() as server:
            side = Side(server, probe=probe)
            told: list[Outcome] = []
            side.upstream.probe(b"s0", QUICK, lambda how, *_: told.append(how))
            await side.until(lambda: told)
            assert told == [Outcome.OK]
            assert [call[2] for call in server.calls] == [probe] * bool(probe)
            side.upstream.close()

    run(main())


def test_an_end_leaves_no_call_connection_or_task() -> None:
    async def main() -> None:
        async with RpcServer(never) as server:
            side = Side(server, connections=1, window=2)
            for _ in range(5):
                side.call()
            await server.seen(2)
            before = len(asyncio.all_tasks())
            side.upstream.close()
            assert len(await side.all()) == 5
            await side.until(lambda: not side.upstream._open and not side.upstream._opening)
            assert len(asyncio.all_tasks()) <= before

    run(main())


# ---------------------------------------------------------------- through the node


def test_an_unsafe_call_that_may_have_run_is_failed_and_a_safe_one_goes_elsewhere() -> None:
    async def drop(server: RpcServer, peer: RpcPeer, message: list[Any]) -> None:
        server.run(message[3])
        peer.close()

    async def main() -> None:
        async with (
            RpcServer(drop, "bad") as bad,
            RpcServer(serve, "good") as good,
            rpc_world(row("bad", bad.address), row("good", good.address)) as w,
        ):
            caller = await w.caller()
            codes: dict[str, set[Any]] = {"book": set(), "look": set()}
            for i in range(40):
                method = "book" if i % 2 else "look"
                caller.ask(method, name=f"{method}{i}")
                _, error, _ = await caller.answer()
                codes[method].add(error and error["code"])
            assert codes["look"] == {None}
            assert codes["book"] <= {None, "failed"}
            booked = [n for server in (bad, good) for name, n in server.runs.items() if name[0] == "b"]
            assert set(booked) == {1}, "a booking ran twice"
            assert sum(bad.runs.values()) > 0

    run(main())


def test_one_slow_call_holds_up_nobody_on_its_connection() -> None:
    async def slow_first(server: RpcServer, peer: RpcPeer, message: list[Any]) -> None:
        if message[3][0] == "slow":
            await server.release.wait()
        await serve(server, peer, message)

    async def main() -> None:
        async with (
            RpcServer(slow_first) as server,
            rpc_world(row("a", server.address), upstream={"connections": 1}) as w,
        ):
            caller = await w.caller()
            slow = caller.ask("look", "slow")
            await server.seen(1)
            for _ in range(50):
                quick = caller.ask("look", "quick")
                assert (await caller.answer())[:2] == (quick, None)
            assert len(server.peers) == 1
            server.release.set()
            assert (await caller.answer())[0] == slow

    run(main())


def test_http_servers_still_tell_what_never_ran() -> None:
    async def main() -> None:
        full = reply("503 Service Unavailable", extra="X-Not-Run: 1\r\n")
        async with (
            StubServer([full]) as one,
            rpc_world(row("a", one.address), http=True) as w,
        ):
            caller = await w.caller()
            caller.ask("book", deadline=0.4)
            _, error, _ = await caller.answer()
            assert error["code"] == "refused" and error["retry_after"] > 0

    run(main())

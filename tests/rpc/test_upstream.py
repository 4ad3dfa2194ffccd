"""The RPC upstream over loopback: windows, late and false answers, lost connections, drains, silence."""

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
from leadrudder.rpc.upstream import RpcUpstream, UpstreamConfig
from tests.rpc.stubs import RpcServer, RpcStream, rpc_environment, serve
from tests.stubs import WAIT_TIMEOUT_S, StubServer, listing, reply, row, run

NAMING = DiscoveryDecoder((), ())
UNUSED_TIMEOUT_S = 30.0  # never expires within a test


async def never_answer(server: RpcServer, peer: RpcStream, message: list[Any]) -> None:
    """Execute the call, but send no response."""
    server.execute(message[3])


class UpstreamHarness:
    """An upstream without a node, and the outcome of each of its calls."""

    def __init__(self, *servers: RpcServer, **config: Any) -> None:
        self.upstream = RpcUpstream(UpstreamConfig(**config), lambda ask: _rpc(ask), lambda answer: answer)
        self.rows = [row(f"s{i}", server.address) for i, server in enumerate(servers)]
        self.upstream.update(NAMING.decode(listing(1, *self.rows)))
        self.ended: dict[int, tuple[Outcome, UpstreamResponse | None]] = {}
        self.calls: list[Any] = []
        self._changed = asyncio.Event()

    def start_call(
        self,
        timeout_s: float = UNUSED_TIMEOUT_S,
        server: bytes = b"s0",
        notification: bool = False,
        size: int = 0,
    ) -> int:
        number = len(self.calls)
        params = pack([number, b"x" * size])
        ask = ClientRequest(
            b"%d" % number, 0, 0, 0, 1000.0, None, False, RpcCall("look", params, notification)
        )

        def done(outcome: Outcome, answer: UpstreamResponse | None, report: LoadReport = (), /) -> None:
            assert number not in self.ended, "the call ended twice"
            self.ended[number] = outcome, answer
            self._changed.set()

        self.calls.append(self.upstream.attempt(server, ask, timeout_s, done))
        assert number not in self.ended, "the call ended before attempt() returned"
        return number

    async def outcomes(self) -> list[Outcome]:
        """Wait for all calls; returns their outcomes in order."""
        while len(self.ended) < len(self.calls):
            self._changed.clear()
            await asyncio.wait_for(self._changed.wait(), WAIT_TIMEOUT_S)
        return [self.ended[i][0] for i in range(len(self.calls))]

    async def wait_until(self, condition: Any) -> None:
        async def wait() -> None:
            while not condition():
                await asyncio.sleep(0)

        await asyncio.wait_for(wait(), WAIT_TIMEOUT_S)

    def connections(self) -> list[Any]:
        return [c for peer in self.upstream._table.endpoints.values() for c in peer.connections]


def _rpc(ask: ClientRequest) -> RpcCall:
    assert isinstance(ask.call, RpcCall)
    return ask.call


def test_calls_share_connections_within_the_window() -> None:
    async def main() -> None:
        async with RpcServer(never_answer) as server:
            harness = UpstreamHarness(server, connections=2, window=3)
            for _ in range(10):
                harness.start_call()
            await server.wait_for_calls(6)
            assert len(server.peers) == 2
            assert sorted(len(c.calls) for c in harness.connections()) == [3, 3]
            assert len(harness.upstream._table.endpoints[b"s0"].waiting) == 4
            assert all(len({m[1] for m in server.calls}) >= 3 for _ in range(1))
            for peer in server.peers:
                peer.close()
            outcomes = await harness.outcomes()
            # Calls that had never been written either go out on a new connection or fail to connect.
            assert outcomes.count(Outcome.RESET) >= 6
            harness.upstream.close()

    run(main())


def test_answers_in_any_order_are_matched_to_their_calls() -> None:
    async def answer_in_reverse(server: RpcServer, peer: RpcStream, message: list[Any]) -> None:
        if len(server.calls) == 8:
            for call in reversed(server.calls):
                peer.send(1, call[1], None, call[3][0])

    async def main() -> None:
        async with RpcServer(answer_in_reverse) as server:
            harness = UpstreamHarness(server, connections=1, window=8)
            for _ in range(8):
                harness.start_call()
            assert await harness.outcomes() == [Outcome.OK] * 8
            for i in range(8):
                answer = harness.ended[i][1]
                assert answer is not None and msgpack.unpackb(answer.body) == i
            harness.upstream.close()

    run(main())


def test_late_answer_is_dropped_and_its_msgid_reserved_until_then() -> None:
    async def main() -> None:
        async with RpcServer(never_answer) as server:
            harness = UpstreamHarness(server, connections=1, window=2)
            harness.start_call()
            await server.wait_for_calls(1)
            harness.calls[0].cancel(Outcome.CANCELLED)
            (connection,) = harness.connections()
            assert connection.late_msgids == {1}
            connection._last_msgid = 0  # as after four billion calls
            harness.start_call()
            await server.wait_for_calls(2)
            assert server.calls[1][1] == 2, "reused the msgid of a call that is still unanswered"
            server.peers[0].send(1, 1, None, "late")
            server.peers[0].send(1, 2, None, "in time")
            assert await harness.outcomes() == [Outcome.CANCELLED, Outcome.OK]
            assert harness.connections() == [connection] and not connection.late_msgids
            harness.upstream.close()

    run(main())


def test_connection_with_many_late_answers_takes_no_new_call() -> None:
    async def main() -> None:
        async with RpcServer(never_answer) as server:
            harness = UpstreamHarness(server, connections=2, window=1)
            for i in range(4):
                harness.start_call()
                await server.wait_for_calls(i + 1)
                harness.calls[i].cancel(Outcome.CANCELLED)
            (full,) = harness.connections()
            assert len(full.late_msgids) == 4 and full.free_slots() == 0
            harness.start_call()
            await server.wait_for_calls(5)
            assert len(server.peers) == 2
            harness.upstream.close()

    run(main())


@pytest.mark.parametrize("fault", ["repeated", "unknown msgid", "request", "invalid bytes"])
def test_invalid_response_closes_the_connection(fault: str) -> None:
    async def faulty(server: RpcServer, peer: RpcStream, message: list[Any]) -> None:
        if len(server.calls) < 3:
            return
        first = server.calls[0]
        peer.send(1, first[1], None, "right")
        if fault == "repeated":
            peer.send(1, first[1], None, "again")
        elif fault == "unknown msgid":
            peer.send(1, 4_000_000_000, None, "what")
        elif fault == "request":
            peer.send(0, 1, "look", [])
        else:
            peer.writer.write(b"\xc1")

    async def main() -> None:
        async with RpcServer(faulty) as server:
            harness = UpstreamHarness(server, connections=1)
            for _ in range(3):
                harness.start_call()
            assert await harness.outcomes() == [Outcome.OK, Outcome.SPOILT, Outcome.SPOILT]
            assert not harness.connections() and not harness.upstream._connections
            harness.upstream.close()

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
def test_error_determines_whether_the_call_ran(error: Any, outcome: Outcome) -> None:
    async def answer(server: RpcServer, peer: RpcStream, message: list[Any]) -> None:
        peer.send(1, message[1], error, None)

    async def main() -> None:
        async with RpcServer(answer) as server:
            harness = UpstreamHarness(server)
            harness.start_call()
            assert await harness.outcomes() == [outcome]
            harness.upstream.close()

    run(main())


def test_connection_lost_during_a_write_fails_each_call_by_its_state() -> None:
    """A partly written frame may have run; the frames queued behind it were never passed to the socket."""

    async def main() -> None:
        async with RpcServer(never_answer) as server:
            harness = UpstreamHarness(server, connections=1, window=16)
            harness.start_call()
            await server.wait_for_calls(1)
            server.peers[0].reader._transport.pause_reading()  # type: ignore[attr-defined]
            (connection,) = harness.connections()
            while not connection._write_paused:
                harness.start_call(size=60_000)
                await asyncio.sleep(0)
                if len(harness.calls) - len(harness.ended) >= 15:
                    # The kernel buffers accepted every frame.
                    break
            queued = [harness.start_call(size=60_000) for _ in range(3)] if connection._write_paused else []
            await harness.wait_until(
                lambda: not harness.upstream._table.endpoints[b"s0"].waiting or not connection._write_paused
            )
            written = [call.written for call in harness.calls]
            server.peers[0].close()
            await server.stop()
            outcomes = await harness.outcomes()
            for outcome, was_written in zip(outcomes, written, strict=True):
                assert outcome is (Outcome.RESET if was_written else Outcome.CONNECT_FAILED)
            assert not any(written[i] for i in queued)
            harness.upstream.close()

    run(main())


def test_connection_lost_during_an_answer_resets_open_calls() -> None:
    async def send_half(server: RpcServer, peer: RpcStream, message: list[Any]) -> None:
        if len(server.calls) == 2:
            peer.writer.write(msgpack.packb([1, message[1], None, "x" * 100])[:50])
            await peer.writer.drain()
            peer.writer.write_eof()
            peer.writer.close()

    async def main() -> None:
        async with RpcServer(send_half) as server:
            harness = UpstreamHarness(server, connections=1)
            harness.start_call()
            harness.start_call()
            assert await harness.outcomes() == [Outcome.RESET, Outcome.RESET]
            harness.upstream.close()

    run(main())


def test_absent_server_gives_connect_failed() -> None:
    async def main() -> None:
        async with RpcServer() as server:
            pass
        harness = UpstreamHarness(server)
        harness.start_call()
        harness.start_call(server=b"unknown")
        assert await harness.outcomes() == [Outcome.CONNECT_FAILED] * 2
        harness.upstream.close()

    run(main())


def test_drained_server_finishes_open_calls_and_gets_no_new_ones() -> None:
    async def main() -> None:
        async with RpcServer(never_answer) as server:
            harness = UpstreamHarness(server, connections=1, window=100)
            for _ in range(120):
                harness.start_call()
            await server.wait_for_calls(100)
            drained = row("s0", server.address, "DRAINING")
            harness.upstream.update(NAMING.decode(listing(2, drained, reset=False)))
            harness.start_call()
            await harness.wait_until(lambda: len(harness.ended) == 21)
            assert {harness.ended[i][0] for i in range(100, 120)} == {Outcome.MOOT}
            assert harness.ended[120][0] is Outcome.CONNECT_FAILED
            for call in list(server.calls):
                server.peers[0].send(1, call[1], None, "done")
            outcomes = await harness.outcomes()
            assert outcomes[:100] == [Outcome.OK] * 100
            assert len(server.calls) == 100
            await harness.wait_until(lambda: not harness.upstream._connections)
            harness.upstream.close()

    run(main())


def test_only_silence_on_all_calls_closes_a_connection() -> None:
    async def serve_all_but_first(server: RpcServer, peer: RpcStream, message: list[Any]) -> None:
        if message[1] != 1:
            await serve(server, peer, message)

    async def main() -> None:
        async with RpcServer(serve_all_but_first) as server:
            harness = UpstreamHarness(server, connections=1, silence_s=20.0)
            harness.start_call()
            await server.wait_for_calls(1)
            (connection,) = harness.connections()
            connection.last_received_s -= 30.0  # as if the call had been open for 30 s
            harness.start_call()
            await harness.wait_until(lambda: 1 in harness.ended)  # the second call is answered
            connection.check_timeouts(connection.last_received_s + 19.0)
            assert 0 not in harness.ended, "one long call closed its connection"
            connection.check_timeouts(connection.last_received_s + 21.0)
            assert harness.ended[0][0] is Outcome.TIMEOUT
            harness.upstream.close()

    run(main())


def test_timeout_outcome_depends_on_whether_the_call_was_written() -> None:
    async def main() -> None:
        async with RpcServer(never_answer) as server:
            harness = UpstreamHarness(server, connections=1, window=1)
            harness.start_call(timeout_s=0.3)
            harness.start_call(timeout_s=0.1)
            assert await harness.outcomes() == [Outcome.TIMEOUT, Outcome.CONNECT_FAILED]
            assert len(server.calls) == 1
            (connection,) = harness.connections()
            assert connection.usable() and connection.late_msgids == {1}
            harness.upstream.close()

    run(main())


def test_calls_beyond_the_waiting_limit_give_connect_failed() -> None:
    async def main() -> None:
        async with RpcServer(never_answer) as server:
            harness = UpstreamHarness(server, connections=1, window=2)
            for _ in range(10):
                harness.start_call()
            await harness.wait_until(lambda: len(harness.ended) == 6)
            assert {outcome for outcome, _ in harness.ended.values()} == {Outcome.CONNECT_FAILED}
            harness.upstream.close()
            assert len(await harness.outcomes()) == 10

    run(main())


@pytest.mark.parametrize("probe", ["", "health"])
def test_probe_uses_a_connection_or_the_configured_method(probe: str) -> None:
    async def main() -> None:
        async with RpcServer() as server:
            harness = UpstreamHarness(server, probe=probe)
            outcomes: list[Outcome] = []
            harness.upstream.probe(b"s0", UNUSED_TIMEOUT_S, lambda outcome, *_: outcomes.append(outcome))
            await harness.wait_until(lambda: outcomes)
            assert outcomes == [Outcome.OK]
            assert [call[2] for call in server.calls] == [probe] * bool(probe)
            harness.upstream.close()

    run(main())


def test_close_leaves_no_call_connection_or_task() -> None:
    async def main() -> None:
        async with RpcServer(never_answer) as server:
            harness = UpstreamHarness(server, connections=1, window=2)
            for _ in range(5):
                harness.start_call()
            await server.wait_for_calls(2)
            before = len(asyncio.all_tasks())
            harness.upstream.close()
            assert len(await harness.outcomes()) == 5
            await harness.wait_until(
                lambda: not harness.upstream._connections and not harness.upstream._connect_tasks
            )
            assert len(asyncio.all_tasks()) <= before

    run(main())


# ---------------------------------------------------------------- with a node


def test_only_safe_calls_are_retried_after_they_may_have_run() -> None:
    async def execute_and_drop(server: RpcServer, peer: RpcStream, message: list[Any]) -> None:
        server.execute(message[3])
        peer.close()

    async def main() -> None:
        async with (
            RpcServer(execute_and_drop, "bad") as bad,
            RpcServer(serve, "good") as good,
            rpc_environment(row("bad", bad.address), row("good", good.address)) as env,
        ):
            caller = await env.caller()
            codes: dict[str, set[Any]] = {"book": set(), "look": set()}
            for i in range(40):
                method = "book" if i % 2 else "look"
                caller.ask(method, name=f"{method}{i}")
                _, error, _ = await caller.answer()
                codes[method].add(error and error["code"])
            assert codes["look"] == {None}
            assert codes["book"] <= {None, "failed"}
            booked = [n for server in (bad, good) for name, n in server.executions.items() if name[0] == "b"]
            assert set(booked) == {1}, "a booking was executed twice"
            assert sum(bad.executions.values()) > 0

    run(main())


def test_slow_call_does_not_delay_others_on_its_connection() -> None:
    async def serve_slow_call_on_release(server: RpcServer, peer: RpcStream, message: list[Any]) -> None:
        if message[3][0] == "slow":
            await server.release.wait()
        await serve(server, peer, message)

    async def main() -> None:
        async with (
            RpcServer(serve_slow_call_on_release) as server,
            rpc_environment(row("a", server.address), upstream={"connections": 1}) as env,
        ):
            caller = await env.caller()
            slow = caller.ask("look", "slow")
            await server.wait_for_calls(1)
            for _ in range(50):
                quick = caller.ask("look", "quick")
                assert (await caller.answer())[:2] == (quick, None)
            assert len(server.peers) == 1
            server.release.set()
            assert (await caller.answer())[0] == slow

    run(main())


def test_http_servers_can_report_that_a_call_never_ran() -> None:
    async def main() -> None:
        full = reply("503 Service Unavailable", extra="X-Not-Run: 1\r\n")
        async with (
            StubServer([full]) as one,
            rpc_environment(row("a", one.address), http=True) as env,
        ):
            caller = await env.caller()
            caller.ask("book", deadline=0.4)
            _, error, _ = await caller.answer()
            assert error["code"] == "refused" and error["retry_after"] > 0

    run(main())

"""The RPC front over loopback: one response for each call, as they end, within its bounds."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import msgpack
import pytest

from tests.rpc.stubs import METHODS, RpcCaller, RpcPeer, RpcServer, RpcWorld, rpc_world, serve
from tests.stubs import HOST, StubClient, StubServer, reply, row, run


async def held(server: RpcServer, peer: RpcPeer, message: list[Any]) -> None:
    """Serve it once the server's release is set."""
    await server.release.wait()
    await serve(server, peer, message)


async def by_order(server: RpcServer, peer: RpcPeer, message: list[Any]) -> None:
    """The first call waits until the second one has been answered."""
    if message[3][0] == "first":
        await server.release.wait()
    await serve(server, peer, message)
    server.release.set()


def test_a_call_is_served_with_the_servers_own_bytes() -> None:
    async def main() -> None:
        odd = {"list": [1, 2.5, None, b"\x00\xff"], "deep": {"a": [[]]}}
        async with RpcServer() as server, rpc_world(row("a", server.address)) as w:
            caller = await w.caller()
            msgid = caller.ask("book", "kampaus", odd, name="r-own")
            assert await caller.answer() == (
                msgid,
                None,
                {"by": "a", "params": ["kampaus", odd, {"id": "r-own"}]},
            )
            assert server.runs == {"r-own": 1}

    run(main())


def test_answers_come_in_the_order_in_which_calls_end() -> None:
    async def main() -> None:
        async with RpcServer(by_order) as server, rpc_world(row("a", server.address)) as w:
            caller = await w.caller()
            first, second = caller.ask("look", "first"), caller.ask("look", "second")
            assert [(await caller.answer())[0] for _ in range(2)] == [second, first]

    run(main())


def test_a_msgid_that_is_open_is_refused_and_the_first_call_untouched() -> None:
    async def main() -> None:
        async with RpcServer(held) as server, rpc_world(row("a", server.address)) as w:
            caller = await w.caller()
            caller.send(0, 9, "look", [{"id": "one"}])
            await server.seen(1)
            caller.send(0, 9, "look", [{"id": "two"}])
            msgid, error, _ = await caller.answer()
            assert msgid == 9 and error["code"] == "duplicate"
            server.release.set()
            assert (await caller.answer())[1] is None
            assert server.runs == {"one": 1}

    run(main())


@pytest.mark.parametrize(
    ("method", "params", "code"),
    [
        ("unknown", [{}], "unknown_method"),
        ("move", [{"id": "x"}], "bad_request"),  # a keyed class without a key
        ("book", [{"id": "x", "key": "k"}], "bad_request"),  # a key where the class has none
        ("look", [{"id": "ä"}], "bad_request"),
        ("look", [{"id": 7}], "bad_request"),
        ("look", [{"deadline": -1}], "bad_request"),
        ("look", [{"deadline": "soon"}], "bad_request"),
        ("look", [{"deadline": float("nan")}], "bad_request"),
        ("look", [{"tenant": "nobody"}], "bad_request"),
    ],
)
def test_a_call_that_is_not_taken_is_told_why_and_reaches_nobody(
    method: str, params: list[Any], code: str
) -> None:
    async def main() -> None:
        async with RpcServer() as server, rpc_world(row("a", server.address)) as w:
            caller = await w.caller()
            caller.send(0, 1, method, params)
            msgid, error, result = await caller.answer()
            assert (msgid, error["code"], result) == (1, code, None)
            caller.ask("look")
            assert (await caller.answer())[1] is None, "the connection goes on"
            assert len(server.calls) == 1

    run(main())


def test_an_id_that_is_open_on_another_connection_is_refused() -> None:
    async def main() -> None:
        async with RpcServer(held) as server, rpc_world(row("a", server.address)) as w:
            one, two = await w.caller(), await w.caller()
            one.ask("look", name="same")
            await server.seen(1)
            two.ask("look", name="same")
            assert (await two.answer())[1]["code"] == "duplicate"
            server.release.set()
            assert (await one.answer())[1] is None

    run(main())


def test_a_caller_that_leaves_cancels_its_calls_and_no_others() -> None:
    async def main() -> None:
        async with RpcServer(held) as server, rpc_world(row("a", server.address)) as w:
            leaver, other = await w.caller(), await w.caller()
            leaver.ask("look")
            other.ask("look")
            await server.seen(2)
            leaver.close()
            while len(w.node._requests) > 1:
                await asyncio.sleep(0)
            server.release.set()
            assert (await other.answer())[1] is None
            while w.front._calls:
                await asyncio.sleep(0)
            assert w.front._bytes == 0 and not w.node._id_uses

    run(main())


def test_a_notification_runs_once_and_gets_no_response() -> None:
    async def main() -> None:
        async with RpcServer() as server, rpc_world(row("a", server.address)) as w:
            caller = await w.caller()
            caller.send(2, "book", [{"id": "note"}])
            caller.ask("look")
            assert (await caller.answer())[0] == 1
            await server.seen(2)
            while w.front._calls:
                await asyncio.sleep(0)
            assert server.runs["note"] == 1

    run(main())


@pytest.mark.parametrize(
    "bad", [b"\xc1", b"\x94\x00\x07\xa1m\xc0", b"\x94\x00\x07\xa1m\x91\xc6\xff\xff\xff\xff"]
)
def test_what_cannot_be_read_ends_its_connection_alone(bad: bytes) -> None:
    async def main() -> None:
        async with RpcServer(held) as server, rpc_world(row("a", server.address)) as w:
            liar, other = await w.caller(), await w.caller()
            liar.ask("look")
            other.ask("look")
            await server.seen(2)
            liar.writer.write(bad)
            if len(bad) > 1:
                msgid, error, _ = await liar.answer()
                assert (msgid, error["code"]) == (7, "bad_request")
            with pytest.raises(ConnectionError):
                await liar.read()
            server.release.set()
            assert (await other.answer())[1] is None
            assert len(w.front._open) == 1

    run(main())


def test_a_frame_of_a_byte_at_a_time_is_a_call_as_any_other() -> None:
    async def main() -> None:
        async with RpcServer() as server, rpc_world(row("a", server.address)) as w:
            caller = await w.caller()
            for byte in msgpack.packb([0, 5, "look", ["x" * 50, {}]]):
                caller.writer.write(bytes([byte]))
                await asyncio.sleep(0)
            assert (await caller.answer())[:2] == (5, None)

    run(main())


async def _stalled(w: RpcWorld) -> None:
    while not any(c._unread or not c._transport.is_reading() for c in w.front._open if c._transport):
        await asyncio.sleep(0)


def test_one_connection_holds_so_many_calls_and_the_rest_wait_in_the_network() -> None:
    async def main() -> None:
        async with (
            RpcServer(held) as server,
            rpc_world(row("a", server.address), front={"listen": [f"{HOST}:0"], "open_each": 4}) as w,
        ):
            caller = await w.caller()
            for _ in range(50):
                caller.ask("look")
            await _stalled(w)
            await server.seen(4)
            (connection,) = w.front._open
            # One piece of input may bring some more than there are places; no further piece is read.
            assert len(connection.open) <= 4 + 4096 // 20
            server.release.set()
            answers = [await caller.answer() for _ in range(50)]
            assert {msgid for msgid, _, _ in answers} == set(range(1, 51))

    run(main())


def test_more_calls_than_all_may_hold_are_refused_at_once_with_a_time() -> None:
    async def main() -> None:
        async with (
            RpcServer(held) as server,
            rpc_world(row("a", server.address), front={"listen": [f"{HOST}:0"], "open_all": 3}) as w,
        ):
            one, two = await w.caller(), await w.caller()
            for _ in range(3):
                one.ask("look")
            await server.seen(3)
            two.ask("look")
            _, error, _ = await two.answer()
            assert error["code"] == "refused" and error["retry_after"] == 0.5
            server.release.set()
            assert [(await one.answer())[1] for _ in range(3)] == [None] * 3

    run(main())


def test_a_caller_that_never_reads_is_read_no_further_and_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        monkeypatch.setattr("leadrudder.rpc.front.UNREAD_S", 0.3)
        async with RpcServer() as server, rpc_world(row("a", server.address)) as w:
            caller = await w.caller()
            caller.reader._transport.pause_reading()  # type: ignore[attr-defined]
            big = "x" * 30_000
            dropped = False
            while not dropped:
                if caller.writer.transport.get_write_buffer_size() < 1_000_000:
                    caller.ask("look", big)
                await asyncio.sleep(0.001)
                dropped = not w.front._open
            assert w.front._bytes <= 64 * 40_000
            assert (await _fine(w)) is None

    run(main())


async def _fine(w: RpcWorld) -> Any:
    caller = await w.caller()
    caller.ask("look")
    return (await caller.answer())[1]


def test_at_sigterm_open_calls_are_answered_and_new_ones_refused() -> None:
    async def main() -> None:
        async with RpcServer(held) as server, rpc_world(row("a", server.address)) as w:
            caller, idle = await w.caller(), await w.caller()
            caller.ask("book")
            await server.seen(1)
            w.node.terminate()
            with pytest.raises(ConnectionError):
                await idle.read()
            caller.ask("book")
            assert (await caller.answer())[1]["code"] == "refused"
            server.release.set()
            assert (await caller.answer())[1] is None
            with pytest.raises(ConnectionError):
                await caller.read()
            await asyncio.wait_for(w.node._stopped.wait(), 10.0)

    run(main())


def test_a_unix_socket_is_a_listener_as_any_other(tmp_path: Path) -> None:
    async def main() -> None:
        path = str(tmp_path / "rpc.sock")
        async with (
            RpcServer() as server,
            rpc_world(row("a", server.address), front={"listen": [f"unix:{path}"]}) as w,
        ):
            caller = await RpcCaller.connect(path)
            caller.ask("look")
            assert (await caller.answer())[1] is None
            assert w.address == path

    run(main())


@pytest.mark.parametrize(
    ("meta", "params"),
    [
        ({"where": "first"}, [{"id": "own", "key": "k"}, "x"]),
        ({"where": "last", "id": "pyynto", "key": "avain"}, ["x", {"pyynto": "own", "avain": "k"}]),
        ({"where": "positions", "id": 1, "key": 0}, ["k", "own", "x"]),
    ],
)
def test_what_a_call_tells_of_itself_stands_where_the_operator_says(meta: Any, params: list[Any]) -> None:
    async def main() -> None:
        async with RpcServer(held) as server, rpc_world(row("a", server.address), meta=meta) as w:
            caller = await w.caller()
            caller.send(0, 1, "move", params)
            await server.seen(1)
            assert list(w.node._id_uses) == [b"own"]
            assert server.calls[0][3] == params
            server.release.set()
            assert (await caller.answer())[1] is None

    run(main())


def test_http_callers_are_served_by_rpc_servers_and_rpc_callers_by_http_servers() -> None:
    async def main() -> None:
        async def bins(server: RpcServer, peer: RpcPeer, message: list[Any]) -> None:
            peer.send(1, message[1], None, b"plain")

        async with RpcServer(bins) as server, rpc_world(row("a", server.address)) as w:
            assert w.node._listener._server is not None
            http = await StubClient.connect(w.node._listener._server.sockets[0].getsockname()[:2])
            answer = await http.ask("book", body=b"hello", request_id="h1")
            assert (answer.status, answer.body) == (200, b"plain")
            target, body, told = server.calls[0][3]
            assert (target, body, told["id"]) == ("/api/7f3a9c21e0b4d655", b"hello", "h1")
        methods = [{**METHODS[0]}, {"name": "book", "class": "book", "target": "/api/varaus"}]
        async with (
            StubServer([reply("200 OK", b"from http")]) as http_server,
            rpc_world(row("a", http_server.address), http=True, method=methods) as w,
        ):
            caller = await w.caller()
            caller.ask("book", "kampaus")
            assert (await caller.answer())[1:] == (None, b"from http")
            caller.ask("look", "x")
            assert (await caller.answer())[1:] == (None, b"from http")
            book, look = http_server.received
            assert (book.method, book.target) == ("POST", "/api/varaus")
            assert msgpack.unpackb(book.body)[0] == "kampaus"
            assert look.method == "GET" and look.target.startswith("/api/look?params=")

    run(main())

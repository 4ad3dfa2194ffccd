"""The RPC front over loopback: one response per call, in order of completion, within the limits."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import msgpack
import pytest

from tests.rpc.stubs import METHODS, RpcCaller, RpcEnvironment, RpcServer, RpcStream, rpc_environment, serve
from tests.stubs import HOST, StubClient, StubServer, reply, row, run


async def serve_on_release(server: RpcServer, peer: RpcStream, message: list[Any]) -> None:
    """Serve the call once the server's release event is set."""
    await server.release.wait()
    await serve(server, peer, message)


async def serve_first_call_last(server: RpcServer, peer: RpcStream, message: list[Any]) -> None:
    """Serve the first call only after the second one has been answered."""
    if message[3][0] == "first":
        await server.release.wait()
    await serve(server, peer, message)
    server.release.set()


def test_server_result_is_forwarded_unchanged() -> None:
    async def main() -> None:
        nested_value = {"list": [1, 2.5, None, b"\x00\xff"], "deep": {"a": [[]]}}
        async with RpcServer() as server, rpc_environment(row("a", server.address)) as env:
            caller = await env.caller()
            msgid = caller.ask("book", "kampaus", nested_value, name="r-own")
            assert await caller.answer() == (
                msgid,
                None,
                {"by": "a", "params": ["kampaus", nested_value, {"id": "r-own"}]},
            )
            assert server.executions == {"r-own": 1}

    run(main())


def test_responses_are_sent_in_order_of_completion() -> None:
    async def main() -> None:
        async with (
            RpcServer(serve_first_call_last) as server,
            rpc_environment(row("a", server.address)) as env,
        ):
            caller = await env.caller()
            first, second = caller.ask("look", "first"), caller.ask("look", "second")
            assert [(await caller.answer())[0] for _ in range(2)] == [second, first]

    run(main())


def test_duplicate_msgid_is_refused_without_affecting_the_first_call() -> None:
    async def main() -> None:
        async with RpcServer(serve_on_release) as server, rpc_environment(row("a", server.address)) as env:
            caller = await env.caller()
            caller.send(0, 9, "look", [{"id": "one"}])
            await server.wait_for_calls(1)
            caller.send(0, 9, "look", [{"id": "two"}])
            msgid, error, _ = await caller.answer()
            assert msgid == 9 and error["code"] == "duplicate"
            server.release.set()
            assert (await caller.answer())[1] is None
            assert server.executions == {"one": 1}

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
def test_rejected_call_gets_a_reason_and_reaches_no_server(method: str, params: list[Any], code: str) -> None:
    async def main() -> None:
        async with RpcServer() as server, rpc_environment(row("a", server.address)) as env:
            caller = await env.caller()
            caller.send(0, 1, method, params)
            msgid, error, result = await caller.answer()
            assert (msgid, error["code"], result) == (1, code, None)
            caller.ask("look")
            assert (await caller.answer())[1] is None, "the connection stays usable"
            assert len(server.calls) == 1

    run(main())


def test_request_id_open_on_another_connection_is_refused() -> None:
    async def main() -> None:
        async with RpcServer(serve_on_release) as server, rpc_environment(row("a", server.address)) as env:
            first_caller, second_caller = await env.caller(), await env.caller()
            first_caller.ask("look", name="same")
            await server.wait_for_calls(1)
            second_caller.ask("look", name="same")
            assert (await second_caller.answer())[1]["code"] == "duplicate"
            server.release.set()
            assert (await first_caller.answer())[1] is None

    run(main())


def test_disconnect_cancels_only_the_calls_of_that_caller() -> None:
    async def main() -> None:
        async with RpcServer(serve_on_release) as server, rpc_environment(row("a", server.address)) as env:
            leaving_caller, other = await env.caller(), await env.caller()
            leaving_caller.ask("look")
            other.ask("look")
            await server.wait_for_calls(2)
            leaving_caller.close()
            while len(env.node._requests) > 1:
                await asyncio.sleep(0)
            server.release.set()
            assert (await other.answer())[1] is None
            while env.front._open_calls:
                await asyncio.sleep(0)
            assert env.front._held_bytes == 0 and not env.node._id_uses

    run(main())


def test_notification_is_executed_once_without_response() -> None:
    async def main() -> None:
        async with RpcServer() as server, rpc_environment(row("a", server.address)) as env:
            caller = await env.caller()
            caller.send(2, "book", [{"id": "note"}])
            caller.ask("look")
            assert (await caller.answer())[0] == 1
            await server.wait_for_calls(2)
            while env.front._open_calls:
                await asyncio.sleep(0)
            assert server.executions["note"] == 1

    run(main())


@pytest.mark.parametrize(
    "invalid", [b"\xc1", b"\x94\x00\x07\xa1m\xc0", b"\x94\x00\x07\xa1m\x91\xc6\xff\xff\xff\xff"]
)
def test_invalid_input_closes_only_its_own_connection(invalid: bytes) -> None:
    async def main() -> None:
        async with RpcServer(serve_on_release) as server, rpc_environment(row("a", server.address)) as env:
            faulty_caller, other = await env.caller(), await env.caller()
            faulty_caller.ask("look")
            other.ask("look")
            await server.wait_for_calls(2)
            faulty_caller.writer.write(invalid)
            if len(invalid) > 1:
                msgid, error, _ = await faulty_caller.answer()
                assert (msgid, error["code"]) == (7, "bad_request")
            with pytest.raises(ConnectionError):
                await faulty_caller.read()
            server.release.set()
            assert (await other.answer())[1] is None
            assert len(env.front._connections) == 1

    run(main())


def test_call_sent_one_byte_at_a_time_is_served() -> None:
    async def main() -> None:
        async with RpcServer() as server, rpc_environment(row("a", server.address)) as env:
            caller = await env.caller()
            for byte in msgpack.packb([0, 5, "look", ["x" * 50, {}]]):
                caller.writer.write(bytes([byte]))
                await asyncio.sleep(0)
            assert (await caller.answer())[:2] == (5, None)

    run(main())


async def _wait_until_reading_stops(env: RpcEnvironment) -> None:
    while not any(
        c._pending_input or not c._transport.is_reading() for c in env.front._connections if c._transport
    ):
        await asyncio.sleep(0)


def test_reading_pauses_at_the_call_limit_of_a_connection() -> None:
    async def main() -> None:
        async with (
            RpcServer(serve_on_release) as server,
            rpc_environment(row("a", server.address), front={"listen": [f"{HOST}:0"], "open_each": 4}) as env,
        ):
            caller = await env.caller()
            for _ in range(50):
                caller.ask("look")
            await _wait_until_reading_stops(env)
            await server.wait_for_calls(4)
            (connection,) = env.front._connections
            # One chunk of input may hold more calls than the limit; no further chunk is read.
            assert len(connection.open_calls) <= 4 + 4096 // 20
            server.release.set()
            answers = [await caller.answer() for _ in range(50)]
            assert {msgid for msgid, _, _ in answers} == set(range(1, 51))

    run(main())


def test_calls_beyond_the_total_limit_are_refused_with_retry_after() -> None:
    async def main() -> None:
        async with (
            RpcServer(serve_on_release) as server,
            rpc_environment(row("a", server.address), front={"listen": [f"{HOST}:0"], "open_all": 3}) as env,
        ):
            first_caller, second_caller = await env.caller(), await env.caller()
            for _ in range(3):
                first_caller.ask("look")
            await server.wait_for_calls(3)
            second_caller.ask("look")
            _, error, _ = await second_caller.answer()
            assert error["code"] == "refused" and error["retry_after"] == 0.5
            server.release.set()
            assert [(await first_caller.answer())[1] for _ in range(3)] == [None] * 3

    run(main())


def test_caller_that_never_reads_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        monkeypatch.setattr("leadrudder.rpc.front.WRITE_STALL_TIMEOUT_S", 0.3)
        async with RpcServer() as server, rpc_environment(row("a", server.address)) as env:
            caller = await env.caller()
            caller.reader._transport.pause_reading()  # type: ignore[attr-defined]
            big = "x" * 30_000
            dropped = False
            while not dropped:
                if caller.writer.transport.get_write_buffer_size() < 1_000_000:
                    caller.ask("look", big)
                await asyncio.sleep(0.001)
                dropped = not env.front._connections
            assert env.front._held_bytes <= 64 * 40_000
            assert (await _call_on_new_connection(env)) is None

    run(main())


async def _call_on_new_connection(env: RpcEnvironment) -> Any:
    caller = await env.caller()
    caller.ask("look")
    return (await caller.answer())[1]


def test_after_sigterm_open_calls_are_answered_and_new_ones_refused() -> None:
    async def main() -> None:
        async with RpcServer(serve_on_release) as server, rpc_environment(row("a", server.address)) as env:
            caller, idle = await env.caller(), await env.caller()
            caller.ask("book")
            await server.wait_for_calls(1)
            env.node.terminate()
            with pytest.raises(ConnectionError):
                await idle.read()
            caller.ask("book")
            assert (await caller.answer())[1]["code"] == "refused"
            server.release.set()
            assert (await caller.answer())[1] is None
            with pytest.raises(ConnectionError):
                await caller.read()
            await asyncio.wait_for(env.node._stopped.wait(), 10.0)

    run(main())


def test_unix_socket_listener_serves_calls(tmp_path: Path) -> None:
    async def main() -> None:
        path = str(tmp_path / "rpc.sock")
        async with (
            RpcServer() as server,
            rpc_environment(row("a", server.address), front={"listen": [f"unix:{path}"]}) as env,
        ):
            caller = await RpcCaller.connect(path)
            caller.ask("look")
            assert (await caller.answer())[1] is None
            assert env.address == path

    run(main())


@pytest.mark.parametrize(
    ("meta", "params"),
    [
        ({"where": "first"}, [{"id": "own", "key": "k"}, "x"]),
        ({"where": "last", "id": "pyynto", "key": "avain"}, ["x", {"pyynto": "own", "avain": "k"}]),
        ({"where": "positions", "id": 1, "key": 0}, ["k", "own", "x"]),
    ],
)
def test_metadata_is_read_from_the_configured_location(meta: Any, params: list[Any]) -> None:
    async def main() -> None:
        async with (
            RpcServer(serve_on_release) as server,
            rpc_environment(row("a", server.address), meta=meta) as env,
        ):
            caller = await env.caller()
            caller.send(0, 1, "move", params)
            await server.wait_for_calls(1)
            assert list(env.node._id_uses) == [b"own"]
            assert server.calls[0][3] == params
            server.release.set()
            assert (await caller.answer())[1] is None

    run(main())


def test_http_and_rpc_callers_and_servers_can_be_combined() -> None:
    async def main() -> None:
        async def answer_binary(server: RpcServer, peer: RpcStream, message: list[Any]) -> None:
            peer.send(1, message[1], None, b"plain")

        async with RpcServer(answer_binary) as server, rpc_environment(row("a", server.address)) as env:
            assert env.node._listener._server is not None
            http = await StubClient.connect(env.node._listener._server.sockets[0].getsockname()[:2])
            answer = await http.ask("book", body=b"hello", request_id="h1")
            assert (answer.status, answer.body) == (200, b"plain")
            target, body, metadata = server.calls[0][3]
            assert (target, body, metadata["id"]) == ("/api/7f3a9c21e0b4d655", b"hello", "h1")
        methods = [{**METHODS[0]}, {"name": "book", "class": "book", "target": "/api/varaus"}]
        async with (
            StubServer([reply("200 OK", b"from http")]) as http_server,
            rpc_environment(row("a", http_server.address), http=True, method=methods) as env,
        ):
            caller = await env.caller()
            caller.ask("book", "kampaus")
            assert (await caller.answer())[1:] == (None, b"from http")
            caller.ask("look", "x")
            assert (await caller.answer())[1:] == (None, b"from http")
            book, look = http_server.received
            assert (book.method, book.target) == ("POST", "/api/varaus")
            assert msgpack.unpackb(book.body)[0] == "kampaus"
            assert look.method == "GET" and look.target.startswith("/api/look?params=")

    run(main())

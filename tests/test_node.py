"""A node with stub clients, servers and discovery, on loopback sockets."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import pytest

from leadrudder.interface import (
    Action,
    Arrival,
    AttemptEnded,
    Event,
    ListKind,
    Outcome,
    RequestGone,
    ServerList,
    SetTimer,
)
from leadrudder.node.callers import MAX_PIPELINED_REQUESTS
from leadrudder.node.contract import Attempt, AttemptCallback, ClientRequest
from tests.stubs import (
    HOST,
    WAIT_TIMEOUT_S,
    StubDiscovery,
    StubServer,
    after_delay,
    after_release,
    listing,
    never_reply,
    raw,
    reply,
    request,
    reset,
    row,
    run,
    running_node,
    send_line,
    settings,
)

T = TypeVar("T")
BODY = bytes(range(256)) * 4


async def _wait_for_value(condition: Callable[[], T]) -> T:
    """Wait until the condition returns a true value, and return that."""
    while not (value := condition()):
        await asyncio.sleep(0)
    return value


def test_request_and_response_are_forwarded_unchanged(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("leadrudder.node.servers.QUIET_BEFORE_REUSE_S", 0.0)

    async def main() -> None:
        async with StubServer([reply("200 OK", BODY)]) as server, running_node(row("a", server.address)) as w:
            client = await w.client()
            answer = await client.ask(
                "move", target="/api/k1?x=%20y", body=BODY, deadline="2.5", request_id="9b1f03aa5c7e2d41"
            )
            assert (answer.status, answer.body) == (200, BODY)
            (got,) = server.received
            assert (got.method, got.target, got.body) == ("POST", "/api/k1?x=%20y", BODY)
            assert got.headers["x-request-id"] == "9b1f03aa5c7e2d41"
            assert got.headers["idempotency-key"] == "5c0f6e1a2b3d4c59"
            assert 0.0 < float(got.headers["x-deadline"]) < 2.5
            assert (await client.ask("look")).status == 200
            assert server.opened == 1, "the idle connection was not reused"

    run(main())


def test_request_that_every_server_rejects_gets_503_with_retry_after() -> None:
    async def main() -> None:
        full = reply("503 Service Unavailable", extra="X-Not-Run: 1\r\n")
        async with StubServer([full]) as server, running_node(row("a", server.address)) as w:
            answer = await (await w.client()).ask("book")
            assert answer.status == 503
            assert 0.0 < float(answer.headers["retry-after"]) <= 2.0

    run(main())


def test_unsafe_request_that_never_ran_is_retried() -> None:
    async def main() -> None:
        full = reply("503 Service Unavailable", extra="X-Not-Run: 1\r\n")
        async with (
            StubServer([full, reply("200 OK", b"b")]) as server,
            running_node(row("a", server.address)) as w,
        ):
            assert (await (await w.client()).ask("book")).status == 200
            assert len(server.received) == 2

    run(main())


@pytest.mark.parametrize("behaviour", [reply("500 Internal Server Error"), reset, raw(b"nonsense\r\n\r\n")])
def test_unsafe_request_that_may_have_run_fails_without_retry(behaviour: object) -> None:
    async def main() -> None:
        async with (
            StubServer([behaviour]) as one,  # type: ignore[list-item]
            StubServer([behaviour]) as two,  # type: ignore[list-item]
            running_node(row("a", one.address), row("b", two.address)) as w,
        ):
            answer = await (await w.client()).ask("book", body=b"slot")
            assert answer.status == 502
            assert "retry-after" not in answer.headers
            assert len(one.received) + len(two.received) == 1

    run(main())


def test_reset_of_a_reused_connection_after_the_write_causes_no_retry(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a silent resend on a new connection, as HTTP clients do it.

    The first response is slow on purpose: a server that has been silent for longer than its responses take
    gets requests that must not be repeated on a new connection, and a busy machine may pause for that long.
    """
    monkeypatch.setattr("leadrudder.node.servers.QUIET_BEFORE_REUSE_S", 0.0)
    behaviours = [after_delay(0.25, reply("200 OK")), reset]

    async def main() -> None:
        async with StubServer(behaviours) as server, running_node(row("a", server.address)) as w:
            client = await w.client()
            assert (await client.ask("book")).status == 200
            assert (await client.ask("book")).status == 502
            assert (len(server.received), server.opened) == (2, 1)

    run(main())


def test_unsafe_request_does_not_reuse_an_idle_connection_to_a_vanished_server(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Connections to a vanished machine stay open and silent; only a new connect shows that it is gone."""
    monkeypatch.setattr("leadrudder.node.servers.QUIET_BEFORE_REUSE_S", 0.0)

    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as one,
            StubServer([reply("200 OK")]) as two,
            running_node(row("a", one.address), row("b", two.address)) as w,
        ):
            client = await w.client()
            while not (one.received and two.received):
                assert (await client.ask("look")).status == 200
            one.vanish()
            now = w.node._clock.now
            monkeypatch.setattr(
                w.node._clock, "now", lambda: now() + 1000.0
            )  # as if the server had been silent for 1 s
            events = _record_events(w.node._balancer)
            for _ in range(12):
                assert (await client.ask("book", deadline="1.0")).status == 200
            assert any(isinstance(e, AttemptEnded) and e.outcome is Outcome.CONNECT_FAILED for e in events)
            assert {got.method for got in one.received} == {"GET"}

    run(main())


def test_client_disconnect_cancels_its_attempt() -> None:
    async def main() -> None:
        async with StubServer([never_reply]) as server, running_node(row("a", server.address)) as w:
            events = _record_events(w.node._balancer)
            client = await w.client()
            client.writer.write(request("look"))
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            client.close()
            while not any(isinstance(event, RequestGone) for event in events):
                await asyncio.sleep(0)
            server.release.set()
            await asyncio.wait_for(server.connection_closed.wait(), WAIT_TIMEOUT_S)
            assert not w.node._requests and not w.node._attempts

    run(main())


def _record_events(balancer: object) -> list[Event]:
    events: list[Event] = []
    handle = balancer.handle  # type: ignore[attr-defined]

    def recording(event: Event, now: float) -> list[Action]:
        events.append(event)
        actions: list[Action] = handle(event, now)
        return actions

    balancer.handle = recording  # type: ignore[attr-defined]
    return events


@pytest.mark.parametrize(("kind", "status"), [("book", 502), ("look", 503)])
def test_response_comes_before_the_deadline_with_a_silent_server(kind: str, status: int) -> None:
    async def main() -> None:
        async with StubServer([never_reply]) as server, running_node(row("a", server.address)) as w:
            client = await w.client()
            begin = asyncio.get_running_loop().time()
            answer = await client.ask(kind, deadline="0.6")
            assert (
                asyncio.get_running_loop().time() - begin < 0.6 + 0.05
            ), "later than 50 ms after the deadline"
            assert answer.status == status
            assert len(server.received) == 1
            server.release.set()

    run(main())


def test_late_bytes_of_a_cancelled_attempt_reach_no_other_request() -> None:
    async def main() -> None:
        behaviours = [after_release(reply("200 OK", b"old")), reply("200 OK", b"new")]
        async with StubServer(behaviours) as server, running_node(row("a", server.address)) as w:
            client = await w.client()
            assert (await client.ask("book", deadline="0.3")).status == 502
            server.release.set()
            assert (await client.ask("book")).body == b"new"
            assert server.opened == 2

    run(main())


def test_pause_before_the_balancer_sees_a_request_reduces_its_budget(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        async with StubServer([never_reply]) as server, running_node(row("a", server.address)) as w:
            events, node, now, handed = (
                _record_events(w.node._balancer),
                w.node,
                w.node._clock.now,
                w.node._dispatch,
            )
            pause_ms = 0.0

            def dispatch(event: Event) -> None:
                nonlocal pause_ms
                pause_ms += 60.0 if isinstance(event, Arrival) else 0.0
                handed(event)

            monkeypatch.setattr(node, "_dispatch", dispatch)
            monkeypatch.setattr(node._clock, "now", lambda: now() + pause_ms)
            assert (await (await w.client()).ask("book", deadline="0.3")).status == 502
            (arrival,) = (event for event in events if isinstance(event, Arrival))
            assert arrival.budget_ms < 300.0 - 60.0

    run(main())


def test_balancer_with_a_lost_timer_is_woken_before_the_guard_answers() -> None:
    async def main() -> None:
        async with StubServer([never_reply]) as server, running_node(row("a", server.address)) as w:
            w.node._action_handlers[SetTimer] = lambda action: None
            assert (await (await w.client()).ask("book", deadline="0.3")).status == 502
            server.release.set()

    run(main())


def test_attempt_with_a_late_timeout_ends_before_the_guard_answers() -> None:
    async def main() -> None:
        async with StubServer([never_reply]) as server, running_node(row("a", server.address)) as w:
            attempt = w.node._upstream.attempt

            def after_a_pause(
                server: bytes, client_request: ClientRequest, timeout_s: float, done: AttemptCallback
            ) -> Attempt:
                return attempt(
                    server, client_request, timeout_s + 0.1, done
                )  # its timer counts from after the pause

            w.node._upstream.attempt = after_a_pause  # type: ignore[method-assign]
            assert (await (await w.client()).ask("book", deadline="0.3")).status == 502
            server.release.set()

    run(main())


def test_guard_answers_just_before_the_deadline_if_the_balancer_does_not(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        async with StubServer([never_reply]) as server, running_node(row("a", server.address)) as w:
            w.node._balancer.handle = lambda event, now: []  # type: ignore[method-assign]
            answer = await (await w.client()).ask("look", deadline="0.3")
            assert answer.status == 500
            assert "not answered in time" in caplog.text

    run(main())


def test_error_in_one_request_fails_only_that_request() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK", b"fine")]) as server,
            running_node(row("a", server.address)) as w,
        ):
            handle = w.node._balancer.handle

            def faulty(event: Event, now: float) -> list[Action]:
                w.node._balancer.handle = handle  # type: ignore[method-assign]
                raise RuntimeError("planted")

            w.node._balancer.handle = faulty  # type: ignore[method-assign]
            client = await w.client()
            assert (await client.ask("look")).status == 500
            assert (await client.ask("look")).body == b"fine"

    run(main())


def test_event_caused_by_an_action_waits_until_the_balancer_has_returned() -> None:
    """An attempt that ends while its Send is carried out must not reenter the balancer."""

    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_node(row("a", server.address)) as w:
            handle, inside, seen = w.node._balancer.handle, False, 0

            def watched(event: Event, now: float) -> list[Action]:
                nonlocal inside, seen
                assert not inside, "an event arrived while the balancer was deciding"
                inside, seen = True, seen + 1
                if seen == 1:
                    w.node._dispatch(RequestGone(99))
                actions = handle(event, now)
                inside = False
                return actions

            w.node._balancer.handle = watched  # type: ignore[method-assign]
            assert (await (await w.client()).ask("look")).status == 200
            assert seen >= 3, "the event that arrived in between was dropped"

    run(main())


def test_draining_server_gets_no_new_requests_and_its_idle_connections_close() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK", b"a")]) as one,
            StubServer([reply("200 OK", b"b")]) as two,
            running_node(row("a", one.address)) as w,
        ):
            client = await w.client()
            assert (await client.ask("look")).body == b"a"
            watch = await w.discovery.watch()
            send_line(
                watch, listing(2, row("a", one.address, "DRAINING"), row("b", two.address), reset=False)
            )
            await asyncio.wait_for(one.connection_closed.wait(), WAIT_TIMEOUT_S)
            assert {(await client.ask("look")).body for _ in range(5)} == {b"b"}
            assert len(one.received) == 1

    run(main())


def test_restarted_server_is_reached_at_its_new_address_over_new_connections() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK", b"old")]) as old,
            StubServer([reply("200 OK", b"new")]) as new,
            running_node(row("a", old.address)) as w,
        ):
            client = await w.client()
            assert (await client.ask("look")).body == b"old"
            watch = await w.discovery.watch()
            send_line(watch, listing(2, row("a", new.address, started=1000.0)))
            await asyncio.wait_for(old.connection_closed.wait(), WAIT_TIMEOUT_S)
            assert (await client.ask("look")).body == b"new"

    run(main())


@pytest.mark.parametrize("breaks", ["reset", "bad line", "bad list", "half a line", "half a chunk"])
def test_broken_watch_is_reported_and_resumed_from_the_last_version(breaks: str) -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            running_node(row("a", server.address)) as w,
        ):
            watch = await w.discovery.watch()
            send_line(watch, listing(41, row("a", server.address)))
            if breaks == "reset":
                await watch.drain()
                watch.close()
            elif breaks.startswith("half"):
                part = b'{"generation":42,"reset":true,"instances":[{"instanceId":"b"'
                size = len(part) + (200 if breaks == "half a chunk" else 0)
                watch.write(b"%x\r\n%s" % (size, part) + (b"\r\n" if size == len(part) else b""))
                await watch.drain()
                watch.close()
            else:
                send_line(watch, b"{nonsense" if breaks == "bad line" else b'{"generation":42,"reset":true}')
            again = await w.discovery.watch()
            assert w.discovery.targets == ["/v1/endpoints?watch=1&from=1", "/v1/endpoints?watch=1&from=41"]
            send_line(again, listing(42, reset=False))
            assert (await (await w.client()).ask("look")).status == 200, "the last list must stay in use"

    run(main())


def test_node_without_a_list_requests_one_at_once_and_retries() -> None:
    """On a sidecar's first start only discovery knows the servers."""

    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            running_node(known=False) as w,
        ):
            (await w.discovery.watch()).close()
            watch = await w.discovery.watch()
            send_line(watch, listing(5, row("a", server.address)))
            client = await w.client()
            while (await client.ask(target="/ready")).status != 200:
                await asyncio.sleep(0)
            assert (await client.ask("look")).status == 200

    run(main())


def test_pushed_list_is_watched_from_the_start_and_again_after_a_break() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            running_node(known=False, registryMode="pushed") as w,
        ):
            events = _record_events(w.node._balancer)
            (await w.discovery.watch()).close()
            watch = await w.discovery.watch()
            client = await w.client()
            assert (await client.ask(target="/ready")).status == 503, "no list yet"
            send_line(watch, listing(5, row("a", server.address)))
            while not events:
                await asyncio.sleep(0)
            assert (await client.ask(target="/ready")).status == 200
            assert (await client.ask("look")).status == 200

    run(main())


def test_on_sighup_the_new_watch_is_up_before_the_old_one_is_dropped(tmp_path: Path) -> None:
    async def main() -> None:
        config = tmp_path / "config.json"
        async with (
            StubServer([reply("200 OK", b"a")]) as one,
            StubServer([reply("200 OK", b"b")]) as two,
            StubDiscovery() as moved,
            running_node(row("a", one.address), path=str(config)) as w,
        ):
            old = await w.discovery.watch()
            send_line(old, listing(41, row("a", one.address)))
            while w.node._discovery._version != 41:
                await asyncio.sleep(0)
            config.write_text(json.dumps({"discovery": moved.address}))
            os.kill(os.getpid(), signal.SIGHUP)
            new = await moved.watch()
            assert moved.targets == ["/v1/endpoints?watch=1&from=41"]
            send_line(old, listing(42, row("b", two.address), reset=False))
            while w.node._discovery._version != 42:
                await asyncio.sleep(0)
            assert w.node._discovery._watch is not w.node._discovery._successor is not None
            send_line(new, listing(43, row("a", one.address, "DRAINING"), reset=False))
            while w.node._discovery._version != 43:
                await asyncio.sleep(0)
            await asyncio.wait_for(w.discovery.connection_closed.wait(), WAIT_TIMEOUT_S)
            client = await w.client()
            assert {(await client.ask("look")).body for _ in range(5)} == {b"b"}
            assert len(w.discovery.targets) == 1, "the old address was contacted again"

    run(main())


def test_failing_new_address_keeps_the_old_watch_and_is_retried(tmp_path: Path) -> None:
    async def main() -> None:
        config = tmp_path / "config.json"
        async with (
            StubServer([reply("200 OK", b"a")]) as server,
            StubDiscovery() as moved,
            running_node(row("a", server.address), path=str(config)) as w,
        ):
            events = _record_events(w.node._balancer)
            old = await w.discovery.watch()
            send_line(old, listing(41, row("a", server.address)))
            config.write_text(json.dumps({"discovery": moved.address}))
            while w.node._discovery._version != 41:
                await asyncio.sleep(0)
            w.node.reload()
            (await moved.watch()).transport.abort()
            new = await moved.watch()
            old.close()  # as the old discovery does some time after a move
            send_line(new, listing(42, reset=False))
            while w.node._discovery._version != 42:
                await asyncio.sleep(0)
            assert not [e for e in events if isinstance(e, ServerList) and e.kind is ListKind.FAILED]

    run(main())


def test_move_is_followed_at_once_after_a_failed_call(tmp_path: Path) -> None:
    async def main() -> None:
        config = tmp_path / "config.json"
        async with (
            StubServer([reply("200 OK", b"a")]) as server,
            StubDiscovery() as moved,
            running_node(
                row("a", server.address),
                path=str(config),
                guarantees={"mustAskInMs": 60_000.0},
            ) as w,
        ):
            w.node._discovery.subscribe()
            (await w.discovery.watch()).transport.abort()
            while w.node._discovery._watch is not None:
                await asyncio.sleep(0)
            config.write_text(json.dumps({"discovery": moved.address}))
            w.node.reload()  # the balancer's next call is seconds away
            send_line(await moved.watch(), listing(41, row("a", server.address)))
            while w.node._discovery._version != 41:
                await asyncio.sleep(0)
            assert w.node._discovery._watch is not None

    run(main())


@pytest.mark.parametrize("text", ["", "{", "[]", '{"discovery": "nowhere"}', '{"discovery": 5}', "{}"])
def test_unreadable_configuration_on_sighup_keeps_the_old_one(
    tmp_path: Path, text: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def main() -> None:
        config = tmp_path / "config.json"
        config.write_text(text)
        async with (
            StubServer([reply("200 OK")]) as server,
            running_node(row("a", server.address), path=str(config)) as w,
        ):
            watch = await w.discovery.watch()
            w.node.reload()
            assert "kept the old configuration" in caplog.text
            send_line(watch, listing(41, row("a", server.address)))
            assert (await (await w.client()).ask("look")).status == 200

    run(main())


@pytest.mark.parametrize(
    ("invalid_request", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (request("look", target="/other"), 404),
        (request("nosuch"), 400),
        (request("look", omitted_headers=("X-Tenant",)), 400),
        (request("look", omitted_headers=("X-Request-Id",)), 400),
        (request("look", omitted_headers=("X-Deadline",)), 400),
        (request("look", omitted_headers=("X-Class",)), 400),
        (request("look", omitted_headers=("X-Tenant",), extra="X-Tenant: nobody\r\n"), 400),
        (request("look", extra="X-Class: book\r\n"), 400),
        (request("look", deadline="soon"), 400),
        (request("look", deadline="-1"), 400),
        (request("look", deadline="nan"), 400),
        (request("look", deadline="inf"), 400),
        (request("look", deadline="1e1"), 400),
        (request("look", deadline="1_0"), 400),
        (request("look", deadline="+1"), 400),
        (request("look", request_id="a b"), 400),
        (request("book", extra="Transfer-Encoding: chunked\r\n") + b"0\r\n\r\n", 400),
        (request("look", extra="Transfer-Encoding: gzip, chunked\r\n") + b"0\r\n\r\n", 400),
        (request("look", method="POST"), 400),
        (request("book", method="GET"), 400),
        (request("look", body=b"x"), 400),
        (request("move", omitted_headers=("Idempotency-Key",)), 400),
        (request("book", extra="Idempotency-Key: k\r\n"), 400),
        (request("look", extra="Connection: Upgrade\r\nUpgrade: websocket\r\n"), 400),
        (request("book", body=b"x" * 65537), 413),
        (request("look", extra="X-Long: " + "x" * 20000 + "\r\n"), 400),
    ],
)
def test_invalid_request_is_answered_at_once_and_not_forwarded(invalid_request: bytes, status: int) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_node(row("a", server.address)) as w:
            client = await w.client()
            client.writer.write(invalid_request)
            assert (await client.answer()).status == status
            assert await client.ended(), "an open connection would let the client resend at full speed"
            assert not server.received
            assert (await (await w.client()).ask("look")).status == 200

    run(main())


def test_trailer_does_not_override_the_head() -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_node(row("a", server.address)) as w:
            client = await w.client()
            head = request(
                "book",
                request_id="mine",
                omitted_headers=("Content-Length",),
                extra="Transfer-Encoding: chunked\r\n",
            )
            client.writer.write(head + b"1\r\nx\r\n0\r\nX-Request-Id: another\r\nX-Class: move\r\n\r\n")
            assert (await client.answer()).status == 200
            (got,) = server.received
            assert (got.headers["x-request-id"], got.body) == ("mine", b"x")

    run(main())


def test_duplicate_id_is_rejected_until_the_request_and_its_attempts_have_ended() -> None:
    async def main() -> None:
        behaviours = [after_release(reply("200 OK", b"first")), reply("200 OK", b"second")]
        async with StubServer(behaviours) as server, running_node(row("a", server.address)) as w:
            first, other = await w.client(), await w.client()
            first.writer.write(request("book", request_id="one"))
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            assert (await other.ask("book", request_id="one")).status == 409
            assert len(server.received) == 1
            server.release.set()
            assert (await first.answer()).body == b"first"
            assert (await first.ask("book", request_id="one")).body == b"second"
            assert not w.node._id_uses

    run(main())


def test_malformed_input_is_answered_ahead_of_pending_requests() -> None:
    async def main() -> None:
        async with StubServer([never_reply]) as server, running_node(row("a", server.address)) as w:
            client = await w.client()
            client.writer.write(request("book"))
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            client.writer.write(b"nonsense\r\n\r\n" * 5)
            assert (await client.answer()).status == 400
            assert await client.ended(), "more than one answer"
            assert not w.node._requests and not w.node._id_uses
            server.release.set()

    run(main())


def test_slow_reader_gets_its_last_response_completely(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("leadrudder.node.callers.LINGER_S", 0.01)

    async def main() -> None:
        body = b"x" * 60_000
        async with StubServer([reply("200 OK", body)]) as server, running_node(row("a", server.address)) as w:
            with socket.socket() as client:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
                client.setblocking(False)
                loop = asyncio.get_running_loop()
                await loop.sock_connect(client, w.address)
                (connection,) = await _wait_for_value(lambda: list(w.node._listener._connections))
                transport = connection._transport
                assert transport is not None
                os_socket = transport.get_extra_info("socket")
                os_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
                await loop.sock_sendall(client, request("look", extra="Connection: close\r\n"))
                await _wait_for_value(lambda: connection._response_ended)
                assert (
                    connection._has_unsent_output()
                ), "the test needs an answer that does not fit the buffers"
                lingered = []
                finish_linger = connection._finish_linger

                def counted() -> None:
                    lingered.append(1)
                    finish_linger()

                monkeypatch.setattr(connection, "_finish_linger", counted)
                await _wait_for_value(lambda: len(lingered) > 2)
                got = b""
                while part := await loop.sock_recv(client, 4096):
                    got += part
                assert got.endswith(body)

    run(main())


def test_number_of_pipelined_requests_is_limited() -> None:
    async def main() -> None:
        async with StubServer([never_reply]) as server, running_node(row("a", server.address)) as w:
            events = _record_events(w.node._balancer)
            client = await w.client()
            client.writer.write(b"".join(request("look") for _ in range(300)))
            assert (await client.answer()).status == 400
            assert await client.ended()
            assert sum(isinstance(event, Arrival) for event in events) <= MAX_PIPELINED_REQUESTS
            server.release.set()

    run(main())


@pytest.mark.parametrize(
    ("partial_request", "status"),
    [(b"", None), (request("book", body=b"x")[:-1], 408), (b"POST /api HT", 408)],
)
def test_connection_without_a_complete_request_times_out(
    partial_request: bytes, status: int | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("leadrudder.node.callers.FIRST_REQUEST_TIMEOUT_S", 0.05)
    monkeypatch.setattr("leadrudder.node.callers.UNPROVEN_IDLE_TIMEOUT_S", 0.05)

    async def main() -> None:
        async with StubServer([never_reply]) as server, running_node(row("a", server.address)) as w:
            client = await w.client()
            client.writer.write(partial_request)
            if status is not None:
                assert (await client.answer()).status == status
            assert await client.ended()
            assert not server.received

    run(main())


def test_connections_without_a_request_are_evicted_before_ordinary_clients() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            running_node(row("a", server.address), sockets=64) as w,
        ):
            ordinary = await w.client()
            assert (await ordinary.ask("look")).status == 200
            max_connections = w.node._listener._max_connections
            without_request = [await w.client() for _ in range(max_connections - 1)]
            for client in without_request:
                assert (await client.ask(target="/ready")).status == 200
            silent = [await w.client() for _ in range(max_connections)]
            assert await without_request[0].ended() and await silent[0].ended()
            newcomer = await w.client()
            assert (await newcomer.ask("look")).status == 200, "refused, although others could be evicted"
            assert (await ordinary.ask("look")).status == 200
            assert len(w.node._listener._connections) <= max_connections

    run(main())


def test_chunked_body_over_the_limit_is_rejected_before_its_end() -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_node(row("a", server.address)) as w:
            client = await w.client()
            head = request(
                "book", omitted_headers=("Content-Length",), extra="Transfer-Encoding: chunked\r\n"
            )
            client.writer.write(head + b"11000\r\n" + b"x" * 0x11000)
            assert (await client.answer()).status == 413
            assert not server.received

    run(main())


@pytest.mark.parametrize("hint", ["much", "0", "inf", "250000"])
def test_invalid_cost_hint_does_not_reject_the_request(hint: str) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_node(row("a", server.address)) as w:
            answer = await (await w.client()).ask("look", extra=f"X-Cost-Hint: {hint}\r\n")
            assert answer.status == 200

    run(main())


def test_bodies_over_the_memory_limit_are_refused_and_released_afterwards() -> None:
    """Guards against running out of memory when many clients send large bodies at once."""

    async def main() -> None:
        async with (
            StubServer([never_reply, reply("200 OK")]) as server,
            running_node(row("a", server.address)) as w,
        ):
            w.node._listener._max_body_bytes = 150
            first = await w.client()
            first.writer.write(request("book", body=b"x" * 100))
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            answer = await (await w.client()).ask("book", body=b"x" * 100)
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            assert len(server.received) == 1
            first.close()
            while w.node._requests:
                await asyncio.sleep(0)
            assert (await (await w.client()).ask("book", body=b"x" * 100)).status == 200
            server.release.set()

    run(main())


def test_shutdown_closes_only_after_the_last_pipelined_request() -> None:
    async def main() -> None:
        behaviours = [after_release(reply("200 OK")), after_release(reply("200 OK"))]
        async with StubServer(behaviours) as server, running_node(row("a", server.address)) as w:
            client = await w.client()
            client.writer.write(request("look") + request("look"))
            while len(w.node._requests) < 2:
                await asyncio.sleep(0)
            w.node.terminate()
            server.release.set()
            answers = [await client.answer(), await client.answer()]
            assert [answer.status for answer in answers] == [200, 200]

    run(main())


def test_pipelined_requests_are_answered_in_order() -> None:
    async def main() -> None:
        behaviours = [reply("200 OK", b"%d" % i) for i in range(8)]
        async with StubServer(behaviours) as server, running_node(row("a", server.address)) as w:
            client = await w.client()
            client.writer.write(b"".join(request("look", target=f"/api/{i}") for i in range(8)))
            bodies = [(await client.answer()).body for _ in range(8)]
            by_target = {got.target: b"%d" % i for i, got in enumerate(server.received)}
            assert bodies == [by_target[f"/api/{i}"] for i in range(8)]

    run(main())


def test_shutdown_answers_open_and_still_arriving_requests() -> None:
    async def main() -> None:
        async with (
            StubServer([after_release(reply("200 OK", b"first")), reply("200 OK", b"second")]) as server,
            running_node(row("a", server.address)) as w,
        ):
            idle, busy = await w.client(), await w.client()
            assert (await idle.ask(target="/ready")).status == 200
            busy.writer.write(request("look"))
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            w.node.terminate()
            assert await idle.ended(), "an idle connection stayed open"
            answer = await (await w.client()).ask(target="/ready")
            assert (answer.status, answer.headers["connection"]) == (503, "close")
            answer = await (await w.client()).ask("look")
            assert (answer.body, answer.headers["connection"]) == (b"second", "close")
            assert not w.serving.done(), "the node stopped with a request open"
            server.release.set()
            answer = await busy.answer()
            assert (answer.body, answer.headers["connection"]) == (b"first", "close")
            await asyncio.wait_for(w.serving, WAIT_TIMEOUT_S)

    run(main())


def test_requests_open_at_the_drain_limit_fail_with_a_response() -> None:
    async def main() -> None:
        async with StubServer([never_reply]) as server, running_node(row("a", server.address)) as w:
            client = await w.client()
            client.writer.write(request("book", deadline="30"))
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            w.node.terminate()
            w.node._fail_remaining()
            assert (await client.answer()).status == 500
            server.release.set()

    run(main())


def test_clients_over_the_connection_limit_are_refused_and_idle_ones_evicted() -> None:
    async def main() -> None:
        async with (
            StubServer([never_reply]) as server,
            running_node(row("a", server.address), sockets=64) as w,
        ):
            w.node._balancer.handle = lambda event, now: []  # type: ignore[method-assign]
            max_connections = w.node._listener._max_connections
            idle = await w.client()
            assert (await idle.ask(target="/ready")).status == 200
            busy = [await w.client() for _ in range(max_connections)]
            assert await idle.ended(), "the idle connection was not evicted"
            for client in busy:
                client.writer.write(request("look", deadline="5"))
            while len(w.node._requests) < max_connections:
                await asyncio.sleep(0)
            answer = await (await w.client()).ask("look")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            assert len(w.node._requests) == max_connections
            server.release.set()
            for client in busy:
                client.close()

    run(main())


def test_all_settings_of_the_stubs_are_read() -> None:
    """Guards these tests: a renamed key in the stubs' settings would silently become a default."""
    names = {c["name"] for c in settings()["profiles"]}

    async def main() -> None:
        async with running_node(row("a", f"{HOST}:1")) as w:
            assert {c.name for c in w.node._config.settings.classes} == names
            assert w.node._config.settings.ask_for_list

    run(main())

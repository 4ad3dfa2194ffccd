"""A node between stub callers, servers and discovery, on loopback sockets."""

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
    PATIENCE_S,
    StubDiscovery,
    StubServer,
    after,
    held,
    listing,
    raw,
    reply,
    request,
    reset,
    row,
    run,
    settings,
    silent,
    tell,
    world,
)

T = TypeVar("T")
BODY = bytes(range(256)) * 4


async def _when(condition: Callable[[], T]) -> T:
    """What the condition gives once that is something."""
    while not (value := condition()):
        await asyncio.sleep(0)
    return value


def test_a_served_request_passes_through_unchanged(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("leadrudder.node.servers.QUIET_BEFORE_REUSE_S", 0.0)

    async def main() -> None:
        async with StubServer([reply("200 OK", BODY)]) as server, world(row("a", server.address)) as w:
            caller = await w.caller()
            answer = await caller.ask(
                "move", target="/api/k1?x=%20y", body=BODY, deadline="2.5", name="9b1f03aa5c7e2d41"
            )
            assert (answer.status, answer.body) == (200, BODY)
            (got,) = server.received
            assert (got.method, got.target, got.body) == ("POST", "/api/k1?x=%20y", BODY)
            assert got.headers["x-request-id"] == "9b1f03aa5c7e2d41"
            assert got.headers["idempotency-key"] == "5c0f6e1a2b3d4c59"
            assert 0.0 < float(got.headers["x-deadline"]) < 2.5
            assert (await caller.ask("look")).status == 200
            assert server.opened == 1, "the idle connection was not used again"

    run(main())


def test_what_every_server_turns_away_is_refused_with_a_time_to_come_back() -> None:
    async def main() -> None:
        full = reply("503 Service Unavailable", extra="X-Not-Run: 1\r\n")
        async with StubServer([full]) as server, world(row("a", server.address)) as w:
            answer = await (await w.caller()).ask("book")
            assert answer.status == 503
            assert 0.0 < float(answer.headers["retry-after"]) <= 2.0

    run(main())


def test_a_turned_away_unsafe_request_goes_to_another_server() -> None:
    async def main() -> None:
        full = reply("503 Service Unavailable", extra="X-Not-Run: 1\r\n")
        async with (
            StubServer([full, reply("200 OK", b"b")]) as server,
            world(row("a", server.address)) as w,
        ):
            assert (await (await w.caller()).ask("book")).status == 200
            assert len(server.received) == 2

    run(main())


@pytest.mark.parametrize("behaviour", [reply("500 Internal Server Error"), reset, raw(b"nonsense\r\n\r\n")])
def test_an_unsafe_request_that_may_have_run_fails_and_is_never_sent_again(behaviour: object) -> None:
    async def main() -> None:
        async with (
            StubServer([behaviour]) as one,  # type: ignore[list-item]
            StubServer([behaviour]) as two,  # type: ignore[list-item]
            world(row("a", one.address), row("b", two.address)) as w,
        ):
            answer = await (await w.caller()).ask("book", body=b"slot")
            assert answer.status == 502
            assert "retry-after" not in answer.headers
            assert len(one.received) + len(two.received) == 1

    run(main())


def test_an_idle_connection_that_breaks_after_the_write_is_no_reason_to_send_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against the silent resend on a fresh connection that HTTP clients do.

    The first answer takes long: a server that was not heard of for longer than answers take gets a request
    that may not be repeated on a new connection, and a busy machine may pause for longer than a quick one.
    """
    monkeypatch.setattr("leadrudder.node.servers.QUIET_BEFORE_REUSE_S", 0.0)
    behaviours = [after(0.25, reply("200 OK")), reset]

    async def main() -> None:
        async with StubServer(behaviours) as server, world(row("a", server.address)) as w:
            caller = await w.caller()
            assert (await caller.ask("book")).status == 200
            assert (await caller.ask("book")).status == 502
            assert (len(server.received), server.opened) == (2, 1)

    run(main())


def test_an_unsafe_request_does_not_meet_the_idle_connection_of_a_server_that_has_vanished(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A vanished machine leaves its connections open and silent; only a new one tells that it is gone."""
    monkeypatch.setattr("leadrudder.node.servers.QUIET_BEFORE_REUSE_S", 0.0)

    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as one,
            StubServer([reply("200 OK")]) as two,
            world(row("a", one.address), row("b", two.address)) as w,
        ):
            caller = await w.caller()
            while not (one.received and two.received):
                assert (await caller.ask("look")).status == 200
            one.vanish()
            now = w.node._clock.now
            monkeypatch.setattr(w.node._clock, "now", lambda: now() + 1000.0)  # so long unheard of
            events = _record(w.node._balancer)
            for _ in range(12):
                assert (await caller.ask("book", deadline="1.0")).status == 200
            assert any(isinstance(e, AttemptEnded) and e.outcome is Outcome.CONNECT_FAILED for e in events)
            assert {got.method for got in one.received} == {"GET"}

    run(main())


def test_a_client_that_leaves_ends_its_attempt_and_gets_nothing() -> None:
    async def main() -> None:
        async with StubServer([silent]) as server, world(row("a", server.address)) as w:
            events = _record(w.node._balancer)
            caller = await w.caller()
            caller.writer.write(request("look"))
            await asyncio.wait_for(server.got.wait(), PATIENCE_S)
            caller.close()
            while not any(isinstance(event, RequestGone) for event in events):
                await asyncio.sleep(0)
            server.release.set()
            await asyncio.wait_for(server.left.wait(), PATIENCE_S)
            assert not w.node._requests and not w.node._attempts

    run(main())


def _record(balancer: object) -> list[Event]:
    events: list[Event] = []
    handle = balancer.handle  # type: ignore[attr-defined]

    def recording(event: Event, now: float) -> list[Action]:
        events.append(event)
        actions: list[Action] = handle(event, now)
        return actions

    balancer.handle = recording  # type: ignore[attr-defined]
    return events


@pytest.mark.parametrize(("kind", "status"), [("book", 502), ("look", 503)])
def test_an_answer_comes_before_the_deadline_though_the_server_is_silent(kind: str, status: int) -> None:
    async def main() -> None:
        async with StubServer([silent]) as server, world(row("a", server.address)) as w:
            caller = await w.caller()
            begin = asyncio.get_running_loop().time()
            answer = await caller.ask(kind, deadline="0.6")
            assert asyncio.get_running_loop().time() - begin < 0.6 + 0.05, "later than the rule allows"
            assert answer.status == status
            assert len(server.received) == 1
            server.release.set()

    run(main())


def test_late_bytes_of_an_attempt_that_was_given_up_reach_no_other_request() -> None:
    async def main() -> None:
        behaviours = [held(reply("200 OK", b"old")), reply("200 OK", b"new")]
        async with StubServer(behaviours) as server, world(row("a", server.address)) as w:
            caller = await w.caller()
            assert (await caller.ask("book", deadline="0.3")).status == 502
            server.release.set()
            assert (await caller.ask("book")).body == b"new"
            assert server.opened == 2

    run(main())


def test_a_pause_before_the_module_hears_of_a_request_is_of_its_budget(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        async with StubServer([silent]) as server, world(row("a", server.address)) as w:
            events, node, now, handed = _record(w.node._balancer), w.node, w.node._clock.now, w.node._dispatch
            pause_ms = 0.0

            def dispatch(event: Event) -> None:
                nonlocal pause_ms
                pause_ms += 60.0 if isinstance(event, Arrival) else 0.0
                handed(event)

            monkeypatch.setattr(node, "_dispatch", dispatch)
            monkeypatch.setattr(node._clock, "now", lambda: now() + pause_ms)
            assert (await (await w.caller()).ask("book", deadline="0.3")).status == 502
            (arrival,) = (event for event in events if isinstance(event, Arrival))
            assert arrival.budget_ms < 300.0 - 60.0

    run(main())


def test_a_module_whose_call_was_lost_is_woken_before_it_is_overruled() -> None:
    async def main() -> None:
        async with StubServer([silent]) as server, world(row("a", server.address)) as w:
            w.node._action_handlers[SetTimer] = lambda action: None
            assert (await (await w.caller()).ask("book", deadline="0.3")).status == 502
            server.release.set()

    run(main())


def test_an_attempt_whose_time_was_set_late_ends_before_the_guard_answers() -> None:
    async def main() -> None:
        async with StubServer([silent]) as server, world(row("a", server.address)) as w:
            attempt = w.node._upstream.attempt

            def after_a_pause(
                server: bytes, client_request: ClientRequest, timeout_s: float, done: AttemptCallback
            ) -> Attempt:
                return attempt(
                    server, client_request, timeout_s + 0.1, done
                )  # its timer counts from after the pause

            w.node._upstream.attempt = after_a_pause  # type: ignore[method-assign]
            assert (await (await w.caller()).ask("book", deadline="0.3")).status == 502
            server.release.set()

    run(main())


def test_a_module_that_owes_an_answer_is_overruled_just_before_the_deadline(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        async with StubServer([silent]) as server, world(row("a", server.address)) as w:
            w.node._balancer.handle = lambda event, now: []  # type: ignore[method-assign]
            answer = await (await w.caller()).ask("look", deadline="0.3")
            assert answer.status == 500
            assert "not answered in time" in caplog.text

    run(main())


def test_a_fault_in_one_request_fails_that_request_alone() -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK", b"fine")]) as server, world(row("a", server.address)) as w:
            handle = w.node._balancer.handle

            def faulty(event: Event, now: float) -> list[Action]:
                w.node._balancer.handle = handle  # type: ignore[method-assign]
                raise RuntimeError("planted")

            w.node._balancer.handle = faulty  # type: ignore[method-assign]
            caller = await w.caller()
            assert (await caller.ask("look")).status == 500
            assert (await caller.ask("look")).body == b"fine"

    run(main())


def test_an_event_that_an_action_brings_waits_until_the_module_has_returned() -> None:
    """A call that ends while its Send is carried out must not reach the module inside a decision."""

    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, world(row("a", server.address)) as w:
            handle, inside, seen = w.node._balancer.handle, False, 0

            def watched(event: Event, now: float) -> list[Action]:
                nonlocal inside, seen
                assert not inside, "an event came while the module was deciding"
                inside, seen = True, seen + 1
                if seen == 1:
                    w.node._dispatch(RequestGone(99))
                actions = handle(event, now)
                inside = False
                return actions

            w.node._balancer.handle = watched  # type: ignore[method-assign]
            assert (await (await w.caller()).ask("look")).status == 200
            assert seen >= 3, "the event that came in between was dropped"

    run(main())


def test_a_drained_server_gets_nothing_new_and_its_idle_connections_close() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK", b"a")]) as one,
            StubServer([reply("200 OK", b"b")]) as two,
            world(row("a", one.address)) as w,
        ):
            caller = await w.caller()
            assert (await caller.ask("look")).body == b"a"
            watch = await w.discovery.watch()
            tell(watch, listing(2, row("a", one.address, "DRAINING"), row("b", two.address), reset=False))
            await asyncio.wait_for(one.left.wait(), PATIENCE_S)
            assert {(await caller.ask("look")).body for _ in range(5)} == {b"b"}
            assert len(one.received) == 1

    run(main())


def test_a_restarted_server_is_called_at_its_new_address_over_new_connections() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK", b"old")]) as old,
            StubServer([reply("200 OK", b"new")]) as new,
            world(row("a", old.address)) as w,
        ):
            caller = await w.caller()
            assert (await caller.ask("look")).body == b"old"
            watch = await w.discovery.watch()
            tell(watch, listing(2, row("a", new.address, started=1000.0)))
            await asyncio.wait_for(old.left.wait(), PATIENCE_S)
            assert (await caller.ask("look")).body == b"new"

    run(main())


@pytest.mark.parametrize("breaks", ["reset", "bad line", "bad list", "half a line", "half a chunk"])
def test_a_broken_watch_is_a_failed_list_and_is_asked_for_again_from_where_it_was(breaks: str) -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            world(row("a", server.address)) as w,
        ):
            watch = await w.discovery.watch()
            tell(watch, listing(41, row("a", server.address)))
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
                tell(watch, b"{nonsense" if breaks == "bad line" else b'{"generation":42,"reset":true}')
            again = await w.discovery.watch()
            assert w.discovery.targets == ["/v1/endpoints?watch=1&from=1", "/v1/endpoints?watch=1&from=41"]
            tell(again, listing(42, reset=False))
            assert (await (await w.caller()).ask("look")).status == 200, "the last list remains"

    run(main())


def test_a_node_that_knows_no_list_asks_for_one_at_once_and_again() -> None:
    """A sidecar's first start: nobody but discovery can tell it of a server."""

    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            world(known=False) as w,
        ):
            (await w.discovery.watch()).close()
            watch = await w.discovery.watch()
            tell(watch, listing(5, row("a", server.address)))
            caller = await w.caller()
            while (await caller.ask(target="/ready")).status != 200:
                await asyncio.sleep(0)
            assert (await caller.ask("look")).status == 200

    run(main())


def test_a_pushed_list_is_watched_unasked_and_again_after_a_break() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            world(known=False, registryMode="pushed") as w,
        ):
            events = _record(w.node._balancer)
            (await w.discovery.watch()).close()
            watch = await w.discovery.watch()
            caller = await w.caller()
            assert (await caller.ask(target="/ready")).status == 503, "no list yet"
            tell(watch, listing(5, row("a", server.address)))
            while not events:
                await asyncio.sleep(0)
            assert (await caller.ask(target="/ready")).status == 200
            assert (await caller.ask("look")).status == 200

    run(main())


def test_at_sighup_the_new_watch_is_up_before_the_old_one_is_dropped(tmp_path: Path) -> None:
    async def main() -> None:
        config = tmp_path / "config.json"
        async with (
            StubServer([reply("200 OK", b"a")]) as one,
            StubServer([reply("200 OK", b"b")]) as two,
            StubDiscovery() as moved,
            world(row("a", one.address), path=str(config)) as w,
        ):
            old = await w.discovery.watch()
            tell(old, listing(41, row("a", one.address)))
            while w.node._discovery._version != 41:
                await asyncio.sleep(0)
            config.write_text(json.dumps({"discovery": moved.address}))
            os.kill(os.getpid(), signal.SIGHUP)
            new = await moved.watch()
            assert moved.targets == ["/v1/endpoints?watch=1&from=41"]
            tell(old, listing(42, row("b", two.address), reset=False))
            while w.node._discovery._version != 42:
                await asyncio.sleep(0)
            assert w.node._discovery._watch is not w.node._discovery._successor is not None
            tell(new, listing(43, row("a", one.address, "DRAINING"), reset=False))
            while w.node._discovery._version != 43:
                await asyncio.sleep(0)
            await asyncio.wait_for(w.discovery.left.wait(), PATIENCE_S)
            caller = await w.caller()
            assert {(await caller.ask("look")).body for _ in range(5)} == {b"b"}
            assert len(w.discovery.targets) == 1, "the old address was asked again"

    run(main())


def test_a_new_address_that_fails_leaves_the_old_watch_and_is_tried_again(tmp_path: Path) -> None:
    async def main() -> None:
        config = tmp_path / "config.json"
        async with (
            StubServer([reply("200 OK", b"a")]) as server,
            StubDiscovery() as moved,
            world(row("a", server.address), path=str(config)) as w,
        ):
            events = _record(w.node._balancer)
            old = await w.discovery.watch()
            tell(old, listing(41, row("a", server.address)))
            config.write_text(json.dumps({"discovery": moved.address}))
            while w.node._discovery._version != 41:
                await asyncio.sleep(0)
            w.node.reload()
            (await moved.watch()).transport.abort()
            new = await moved.watch()
            old.close()  # as the old discovery does some time after
            tell(new, listing(42, reset=False))
            while w.node._discovery._version != 42:
                await asyncio.sleep(0)
            assert not [e for e in events if isinstance(e, ServerList) and e.kind is ListKind.FAILED]

    run(main())


def test_a_move_is_followed_at_once_also_where_the_last_call_failed(tmp_path: Path) -> None:
    async def main() -> None:
        config = tmp_path / "config.json"
        async with (
            StubServer([reply("200 OK", b"a")]) as server,
            StubDiscovery() as moved,
            world(
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
            w.node.reload()  # the module's next call is seconds away
            tell(await moved.watch(), listing(41, row("a", server.address)))
            while w.node._discovery._version != 41:
                await asyncio.sleep(0)
            assert w.node._discovery._watch is not None

    run(main())


@pytest.mark.parametrize("text", ["", "{", "[]", '{"discovery": "nowhere"}', '{"discovery": 5}', "{}"])
def test_a_configuration_that_cannot_be_read_at_sighup_keeps_the_old_one(
    tmp_path: Path, text: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def main() -> None:
        config = tmp_path / "config.json"
        config.write_text(text)
        async with (
            StubServer([reply("200 OK")]) as server,
            world(row("a", server.address), path=str(config)) as w,
        ):
            watch = await w.discovery.watch()
            w.node.reload()
            assert "kept the old configuration" in caplog.text
            tell(watch, listing(41, row("a", server.address)))
            assert (await (await w.caller()).ask("look")).status == 200

    run(main())


@pytest.mark.parametrize(
    ("bad", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (request("look", target="/other"), 404),
        (request("nosuch"), 400),
        (request("look", drop=("X-Tenant",)), 400),
        (request("look", drop=("X-Request-Id",)), 400),
        (request("look", drop=("X-Deadline",)), 400),
        (request("look", drop=("X-Class",)), 400),
        (request("look", drop=("X-Tenant",), extra="X-Tenant: nobody\r\n"), 400),
        (request("look", extra="X-Class: book\r\n"), 400),
        (request("look", deadline="soon"), 400),
        (request("look", deadline="-1"), 400),
        (request("look", deadline="nan"), 400),
        (request("look", deadline="inf"), 400),
        (request("look", deadline="1e1"), 400),
        (request("look", deadline="1_0"), 400),
        (request("look", deadline="+1"), 400),
        (request("look", name="a b"), 400),
        (request("book", extra="Transfer-Encoding: chunked\r\n") + b"0\r\n\r\n", 400),
        (request("look", extra="Transfer-Encoding: gzip, chunked\r\n") + b"0\r\n\r\n", 400),
        (request("look", method="POST"), 400),
        (request("book", method="GET"), 400),
        (request("look", body=b"x"), 400),
        (request("move", drop=("Idempotency-Key",)), 400),
        (request("book", extra="Idempotency-Key: k\r\n"), 400),
        (request("look", extra="Connection: Upgrade\r\nUpgrade: websocket\r\n"), 400),
        (request("book", body=b"x" * 65537), 413),
        (request("look", extra="X-Long: " + "x" * 20000 + "\r\n"), 400),
    ],
)
def test_bad_input_is_answered_at_once_and_not_sent_on(bad: bytes, status: int) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, world(row("a", server.address)) as w:
            caller = await w.caller()
            caller.writer.write(bad)
            assert (await caller.answer()).status == status
            assert await caller.ended(), "the same could be sent again at full speed"
            assert not server.received
            assert (await (await w.caller()).ask("look")).status == 200

    run(main())


def test_a_trailer_changes_nothing_of_what_the_head_says() -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, world(row("a", server.address)) as w:
            caller = await w.caller()
            head = request(
                "book", name="mine", drop=("Content-Length",), extra="Transfer-Encoding: chunked\r\n"
            )
            caller.writer.write(head + b"1\r\nx\r\n0\r\nX-Request-Id: another\r\nX-Class: move\r\n\r\n")
            assert (await caller.answer()).status == 200
            (got,) = server.received
            assert (got.headers["x-request-id"], got.body) == ("mine", b"x")

    run(main())


def test_the_id_of_an_open_request_is_turned_away_until_its_attempts_have_ended() -> None:
    async def main() -> None:
        behaviours = [held(reply("200 OK", b"first")), reply("200 OK", b"second")]
        async with StubServer(behaviours) as server, world(row("a", server.address)) as w:
            first, other = await w.caller(), await w.caller()
            first.writer.write(request("book", name="one"))
            await asyncio.wait_for(server.got.wait(), PATIENCE_S)
            assert (await other.ask("book", name="one")).status == 409
            assert len(server.received) == 1
            server.release.set()
            assert (await first.answer()).body == b"first"
            assert (await first.ask("book", name="one")).body == b"second"
            assert not w.node._id_uses

    run(main())


def test_what_cannot_be_read_is_answered_at_once_whatever_waits_before_it() -> None:
    async def main() -> None:
        async with StubServer([silent]) as server, world(row("a", server.address)) as w:
            caller = await w.caller()
            caller.writer.write(request("book"))
            await asyncio.wait_for(server.got.wait(), PATIENCE_S)
            caller.writer.write(b"nonsense\r\n\r\n" * 5)
            assert (await caller.answer()).status == 400
            assert await caller.ended(), "more than one answer"
            assert not w.node._requests and not w.node._id_uses
            server.release.set()

    run(main())


def test_a_slow_reader_gets_its_last_answer_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("leadrudder.node.callers.LINGER_S", 0.01)

    async def main() -> None:
        body = b"x" * 60_000
        async with StubServer([reply("200 OK", body)]) as server, world(row("a", server.address)) as w:
            with socket.socket() as caller:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
                caller.setblocking(False)
                loop = asyncio.get_running_loop()
                await loop.sock_connect(caller, w.address)
                (connection,) = await _when(lambda: list(w.node._listener._connections))
                transport = connection._transport
                assert transport is not None
                os_socket = transport.get_extra_info("socket")
                os_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
                await loop.sock_sendall(caller, request("look", extra="Connection: close\r\n"))
                await _when(lambda: connection._response_ended)
                assert (
                    connection._has_unsent_output()
                ), "the test needs an answer that does not fit the buffers"
                lingered = []
                finish_linger = connection._finish_linger

                def counted() -> None:
                    lingered.append(1)
                    finish_linger()

                monkeypatch.setattr(connection, "_finish_linger", counted)
                await _when(lambda: len(lingered) > 2)
                got = b""
                while part := await loop.sock_recv(caller, 4096):
                    got += part
                assert got.endswith(body)

    run(main())


def test_hundreds_of_requests_in_one_piece_are_not_all_taken() -> None:
    async def main() -> None:
        async with StubServer([silent]) as server, world(row("a", server.address)) as w:
            taken = _record(w.node._balancer)
            caller = await w.caller()
            caller.writer.write(b"".join(request("look") for _ in range(300)))
            assert (await caller.answer()).status == 400
            assert await caller.ended()
            assert sum(isinstance(event, Arrival) for event in taken) <= MAX_PIPELINED_REQUESTS
            server.release.set()

    run(main())


@pytest.mark.parametrize(
    ("begun", "status"), [(b"", None), (request("book", body=b"x")[:-1], 408), (b"POST /api HT", 408)]
)
def test_a_request_that_does_not_come_is_not_waited_for(
    begun: bytes, status: int | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("leadrudder.node.callers.FIRST_REQUEST_TIMEOUT_S", 0.05)
    monkeypatch.setattr("leadrudder.node.callers.UNPROVEN_IDLE_TIMEOUT_S", 0.05)

    async def main() -> None:
        async with StubServer([silent]) as server, world(row("a", server.address)) as w:
            caller = await w.caller()
            caller.writer.write(begun)
            if status is not None:
                assert (await caller.answer()).status == status
            assert await caller.ended()
            assert not server.received

    run(main())


def test_connections_that_brought_no_request_make_way_before_those_of_usual_callers() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            world(row("a", server.address), sockets=64) as w,
        ):
            usual = await w.caller()
            assert (await usual.ask("look")).status == 200
            most = w.node._listener._max_connections
            once = [await w.caller() for _ in range(most - 1)]
            for caller in once:
                assert (await caller.ask(target="/ready")).status == 200
            mute = [await w.caller() for _ in range(most)]
            assert await once[0].ended() and await mute[0].ended()
            newcomer = await w.caller()
            assert (await newcomer.ask("look")).status == 200, "refused, though others could make way"
            assert (await usual.ask("look")).status == 200
            assert len(w.node._listener._connections) <= most

    run(main())


def test_a_chunked_body_over_the_limit_is_refused_before_its_end() -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, world(row("a", server.address)) as w:
            caller = await w.caller()
            head = request("book", drop=("Content-Length",), extra="Transfer-Encoding: chunked\r\n")
            caller.writer.write(head + b"11000\r\n" + b"x" * 0x11000)
            assert (await caller.answer()).status == 413
            assert not server.received

    run(main())


@pytest.mark.parametrize("hint", ["much", "0", "inf", "250000"])
def test_a_cost_hint_is_only_a_guess(hint: str) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, world(row("a", server.address)) as w:
            answer = await (await w.caller()).ask("look", extra=f"X-Cost-Hint: {hint}\r\n")
            assert answer.status == 200

    run(main())


def test_bodies_beyond_the_memory_are_refused_and_give_it_back_when_done() -> None:
    """Guards against being killed for memory by callers that send large bodies all at once."""

    async def main() -> None:
        async with StubServer([silent, reply("200 OK")]) as server, world(row("a", server.address)) as w:
            w.node._listener._max_body_bytes = 150
            first = await w.caller()
            first.writer.write(request("book", body=b"x" * 100))
            await asyncio.wait_for(server.got.wait(), PATIENCE_S)
            answer = await (await w.caller()).ask("book", body=b"x" * 100)
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            assert len(server.received) == 1
            first.close()
            while w.node._requests:
                await asyncio.sleep(0)
            assert (await (await w.caller()).ask("book", body=b"x" * 100)).status == 200
            server.release.set()

    run(main())


def test_terminating_closes_only_after_the_last_of_requests_in_a_row() -> None:
    async def main() -> None:
        behaviours = [held(reply("200 OK")), held(reply("200 OK"))]
        async with StubServer(behaviours) as server, world(row("a", server.address)) as w:
            caller = await w.caller()
            caller.writer.write(request("look") + request("look"))
            while len(w.node._requests) < 2:
                await asyncio.sleep(0)
            w.node.terminate()
            server.release.set()
            answers = [await caller.answer(), await caller.answer()]
            assert [answer.status for answer in answers] == [200, 200]

    run(main())


def test_requests_in_a_row_on_one_connection_are_answered_in_their_order() -> None:
    async def main() -> None:
        behaviours = [reply("200 OK", b"%d" % i) for i in range(8)]
        async with StubServer(behaviours) as server, world(row("a", server.address)) as w:
            caller = await w.caller()
            caller.writer.write(b"".join(request("look", target=f"/api/{i}") for i in range(8)))
            bodies = [(await caller.answer()).body for _ in range(8)]
            by_target = {got.target: b"%d" % i for i, got in enumerate(server.received)}
            assert bodies == [by_target[f"/api/{i}"] for i in range(8)]

    run(main())


def test_terminating_answers_what_is_here_and_what_still_comes() -> None:
    async def main() -> None:
        async with (
            StubServer([held(reply("200 OK", b"first")), reply("200 OK", b"second")]) as server,
            world(row("a", server.address)) as w,
        ):
            idle, busy = await w.caller(), await w.caller()
            assert (await idle.ask(target="/ready")).status == 200
            busy.writer.write(request("look"))
            await asyncio.wait_for(server.got.wait(), PATIENCE_S)
            w.node.terminate()
            assert await idle.ended(), "an idle connection stayed open"
            answer = await (await w.caller()).ask(target="/ready")
            assert (answer.status, answer.headers["connection"]) == (503, "close")
            answer = await (await w.caller()).ask("look")
            assert (answer.body, answer.headers["connection"]) == (b"second", "close")
            assert not w.serving.done(), "it ended with a request open"
            server.release.set()
            answer = await busy.answer()
            assert (answer.body, answer.headers["connection"]) == (b"first", "close")
            await asyncio.wait_for(w.serving, PATIENCE_S)

    run(main())


def test_what_is_still_open_when_the_time_runs_out_is_failed_not_dropped() -> None:
    async def main() -> None:
        async with StubServer([silent]) as server, world(row("a", server.address)) as w:
            caller = await w.caller()
            caller.writer.write(request("book", deadline="30"))
            await asyncio.wait_for(server.got.wait(), PATIENCE_S)
            w.node.terminate()
            w.node._fail_remaining()
            assert (await caller.answer()).status == 500
            server.release.set()

    run(main())


def test_more_callers_than_descriptors_are_refused_and_idle_ones_make_way() -> None:
    async def main() -> None:
        async with StubServer([silent]) as server, world(row("a", server.address), sockets=64) as w:
            w.node._balancer.handle = lambda event, now: []  # type: ignore[method-assign]
            most = w.node._listener._max_connections
            idle = await w.caller()
            assert (await idle.ask(target="/ready")).status == 200
            busy = [await w.caller() for _ in range(most)]
            assert await idle.ended(), "the idle connection did not make way"
            for caller in busy:
                caller.writer.write(request("look", deadline="5"))
            while len(w.node._requests) < most:
                await asyncio.sleep(0)
            answer = await (await w.caller()).ask("look")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            assert len(w.node._requests) == most
            server.release.set()
            for caller in busy:
                caller.close()

    run(main())


def test_the_settings_of_the_stubs_are_read_whole() -> None:
    """Guards the tests here: a renamed key would silently become a default."""
    names = {c["name"] for c in settings()["profiles"]}

    async def main() -> None:
        async with world(row("a", f"{HOST}:1")) as w:
            assert {c.name for c in w.node._config.settings.classes} == names
            assert w.node._config.settings.ask_for_list

    run(main())

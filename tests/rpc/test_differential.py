"""Both fronts on the same course of events: the module is told the same, and decides the same."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from leadrudder.interface import Action, Event, Outcome, ServerId, SetTimer, TimerFired
from leadrudder.node.config import Config, Limits, flatten
from leadrudder.node.contract import AttemptCallback, ClientRequest, UpstreamResponse
from leadrudder.node.lists import DiscoveryDecoder, EndpointUpdate
from leadrudder.node.node import Node
from leadrudder.node.platform import SYSTEM
from leadrudder.rpc.config import parse
from leadrudder.rpc.front import RpcFront
from leadrudder.rpc.mapping import Calls
from leadrudder.settings import read_settings
from tests.rpc.stubs import FILE, RpcCaller
from tests.stubs import HOST, StubClient, listing, row, run, settings

CALLS = 400


class Still:
    """A machine whose time moves only when the course says so."""

    def __init__(self) -> None:
        self.seconds = 1000.0

    def monotonic(self) -> float:
        return self.seconds

    def wall(self) -> float:
        return self.seconds

    has_unread_input = staticmethod(SYSTEM.has_unread_input)
    read_text = staticmethod(SYSTEM.read_text)


class Out:
    """An attempt that has ended by the time anybody could give it up."""

    def cancel(self, outcome: Outcome) -> None:
        pass


class Scripted:
    """An upstream whose attempts take and end as a seed says, by their order alone."""

    def __init__(self, clock: Still, seed: int) -> None:
        self._clock = clock
        self._rng = random.Random(seed)
        self.asked: list[tuple[ServerId, bytes, int]] = []
        self.out = 0

    def attempt(self, server: ServerId, ask: ClientRequest, timeout_s: float, done: AttemptCallback) -> Out:
        self.asked.append((server, ask.id, ask.class_index))
        took = self._rng.uniform(0.005, 0.05) * (3.0 if server == b"s1" else 1.0)
        ends = [Outcome.OK] * 12 + [Outcome.ERROR, Outcome.RESET, Outcome.FULL, Outcome.SPOILT]
        self._later(self._rng.choice(ends), took, done)
        return Out()

    def _later(self, how: Outcome, took: float, done: AttemptCallback) -> None:
        self.out += 1

        def end() -> None:
            self.out -= 1
            self._clock.seconds += took
            done(how, UpstreamResponse(b"\xc0", packed=True) if how is Outcome.OK else None)

        asyncio.get_running_loop().call_soon(end)

    def probe(self, server: ServerId, timeout_s: float, done: AttemptCallback) -> Out:
        self._later(Outcome.OK, 0.001, done)
        return Out()

    def update(self, listing: EndpointUpdate) -> list[ServerId]:
        return []

    def has_endpoints(self) -> bool:
        return True

    def open_connection_count(self) -> int:
        return 0

    def close_idle(self, server: ServerId) -> None:
        pass

    def close(self) -> None:
        pass


class Timers:
    """The module's timers by the course's time: none fires because a loop or a socket was slow."""

    def __init__(self, node: Node, clock: Still, upstream: Scripted) -> None:
        self._node, self._clock, self._upstream = node, clock, upstream
        self._set: list[tuple[float, int]] = []
        node._action_handlers[SetTimer] = lambda action: self._set.append((action.at_ms, action.token))

    def fire(self, until_ms: float) -> None:
        """All that is due by then, in order."""
        while self._set and min(self._set)[0] <= until_ms:
            at_ms, token = min(self._set)
            self._set.remove((at_ms, token))
            self._clock.seconds = max(self._clock.seconds, at_ms / 1000.0)
            self._node._dispatch(TimerFired(token))

    async def answered(self, answer: asyncio.Task[Any]) -> Any:
        """Wait for an answer; time goes on to the next timer where the module itself waits."""
        while not answer.done():
            if self._node._requests and not self._upstream.out and self._set:
                self.fire(min(self._set)[0])
            await asyncio.sleep(0)
        return answer.result()


async def play(seed: int, *, rpc: bool) -> tuple[list[str], list[str], list[tuple[ServerId, bytes, int]]]:
    """One call after another: what the module was told and decided, how each call ended, who was asked."""
    clock, course = Still(), random.Random(seed)
    upstream = Scripted(clock, seed)
    decoder = DiscoveryDecoder(("hall",), ("std",))
    made = read_settings(dict(flatten(settings(guarantees={"mustAskInMs": 60_000.0}))))
    rows = [row(f"s{i}", f"{HOST}:{i + 1}") for i in range(4)]
    config = Config(
        path="",
        name="n",
        listen=(HOST, 0),
        discovery=(HOST, 1),
        seed=seed,
        limits=Limits(192, 1024),
        settings=made,
        decoder=decoder,
        initial_endpoints=decoder.decode(listing(1, *rows)),
        conn_idle_ms=30_000.0,
    )
    node = Node(config, clock, upstream=upstream)
    seen: list[str] = []
    handle = node._balancer.handle

    def noted(event: Event, now: float) -> list[Action]:
        actions = handle(event, now)
        seen.append(f"{now:.3f} {event!r} -> {[repr(a) for a in actions if not isinstance(a, SetTimer)]}")
        return actions

    node._balancer.handle = noted  # type: ignore[method-assign]
    file = parse(FILE, made)
    calls = Calls(made, file.methods, file.meta, file.defaults, lambda: b"none", file.bounds.limits)
    front = RpcFront(calls, node.submit, file.bounds)
    node.add_frontend(front)
    serving = asyncio.create_task(node.wait())
    http_address = await node.start()
    rpc_address = await front.listen((HOST, 0))
    ends: list[str] = []
    timers = Timers(node, clock, upstream)
    caller: Any = await (RpcCaller.connect(rpc_address) if rpc else StubClient.connect(http_address))
    for i in range(CALLS):
        clock.seconds += course.uniform(0.0, 0.03)
        timers.fire(1000.0 * clock.seconds)
        while upstream.out:
            await asyncio.sleep(0)  # a probe
        kind, name = course.choice(("look", "move", "book")), f"c{i}"
        if rpc:
            caller.ask(kind, name=name, deadline=3.0, **({"key": f"k{i}"} if kind == "move" else {}))
            _, error, _ = await timers.answered(asyncio.ensure_future(caller.answer()))
            ends.append("served" if error is None else error["code"])
        else:
            answer = await timers.answered(
                asyncio.ensure_future(caller.ask(kind, request_id=name, target="/api"))
            )
            ends.append({200: "served", 503: "refused", 502: "failed"}[answer.status])
    caller.close()
    node.stop()
    await serving
    return seen, ends, upstream.asked


def test_a_course_over_rpc_is_decided_as_it_is_over_http() -> None:
    async def main() -> None:
        for seed in (1, 2, 3):
            by_http = await play(seed, rpc=False)
            by_rpc = await play(seed, rpc=True)
            assert by_http[1] == by_rpc[1], "callers were told otherwise"
            assert by_http[2] == by_rpc[2], "other servers were asked"
            assert by_http[0] == by_rpc[0], "the module was told otherwise"
            assert {"served", "failed"} <= set(by_http[1]) and len(by_http[2]) > CALLS

    run(main())

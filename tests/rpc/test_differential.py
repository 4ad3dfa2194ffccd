"""The same calls over HTTP and over RPC give the decision module the same events, and the same decisions."""

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
from leadrudder.rpc.config import parse_rpc_config
from leadrudder.rpc.front import RpcFront
from leadrudder.rpc.mapping import CallMapper
from leadrudder.settings import read_settings
from tests.rpc.stubs import OPERATOR_FILE, RpcCaller
from tests.stubs import HOST, StubClient, listing, row, run, settings

CALL_COUNT = 400


class ManualClock:
    """A platform whose clock moves only when the test sets it."""

    def __init__(self) -> None:
        self.seconds = 1000.0

    def monotonic(self) -> float:
        return self.seconds

    def wall(self) -> float:
        return self.seconds

    has_unread_input = staticmethod(SYSTEM.has_unread_input)
    read_text = staticmethod(SYSTEM.read_text)


class FinishedAttempt:
    """An attempt that finishes before it could be given up."""

    def cancel(self, outcome: Outcome) -> None:
        pass


class ScriptedUpstream:
    """An upstream whose attempts get a duration and an outcome from the seed, in their order."""

    def __init__(self, clock: ManualClock, seed: int) -> None:
        self._clock = clock
        self._rng = random.Random(seed)
        self.attempts: list[tuple[ServerId, bytes, int]] = []
        self.open_attempts = 0

    def attempt(
        self, server: ServerId, ask: ClientRequest, timeout_s: float, done: AttemptCallback
    ) -> FinishedAttempt:
        self.attempts.append((server, ask.id, ask.class_index))
        duration_s = self._rng.uniform(0.005, 0.05) * (3.0 if server == b"s1" else 1.0)
        possible_outcomes = [Outcome.OK] * 12 + [Outcome.ERROR, Outcome.RESET, Outcome.FULL, Outcome.SPOILT]
        self._finish_later(self._rng.choice(possible_outcomes), duration_s, done)
        return FinishedAttempt()

    def _finish_later(self, outcome: Outcome, duration_s: float, done: AttemptCallback) -> None:
        self.open_attempts += 1

        def end() -> None:
            self.open_attempts -= 1
            self._clock.seconds += duration_s
            done(outcome, UpstreamResponse(b"\xc0", packed=True) if outcome is Outcome.OK else None)

        asyncio.get_running_loop().call_soon(end)

    def probe(self, server: ServerId, timeout_s: float, done: AttemptCallback) -> FinishedAttempt:
        self._finish_later(Outcome.OK, 0.001, done)
        return FinishedAttempt()

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


class ManualTimers:
    """The decision module's timers on the manual clock, so that a slow event loop or socket fires none."""

    def __init__(self, node: Node, clock: ManualClock, upstream: ScriptedUpstream) -> None:
        self._node, self._clock, self._upstream = node, clock, upstream
        self._pending: list[tuple[float, int]] = []
        node._action_handlers[SetTimer] = lambda action: self._pending.append((action.at_ms, action.token))

    def fire_until(self, until_ms: float) -> None:
        """Fire all timers that are due by then, in order."""
        while self._pending and min(self._pending)[0] <= until_ms:
            at_ms, token = min(self._pending)
            self._pending.remove((at_ms, token))
            self._clock.seconds = max(self._clock.seconds, at_ms / 1000.0)
            self._node._dispatch(TimerFired(token))

    async def answered(self, answer: asyncio.Task[Any]) -> Any:
        """Wait for an answer; while the module itself waits, advance the clock to the next timer."""
        while not answer.done():
            if self._node._requests and not self._upstream.open_attempts and self._pending:
                self.fire_until(min(self._pending)[0])
            await asyncio.sleep(0)
        return answer.result()


async def run_sequence(
    seed: int, *, rpc: bool
) -> tuple[list[str], list[str], list[tuple[ServerId, bytes, int]]]:
    """Make one call after another; returns the events with decisions, the outcomes, and the attempts."""
    clock, rng = ManualClock(), random.Random(seed)
    upstream = ScriptedUpstream(clock, seed)
    decoder = DiscoveryDecoder(("hall",), ("std",))
    node_settings = read_settings(dict(flatten(settings(guarantees={"mustAskInMs": 60_000.0}))))
    rows = [row(f"s{i}", f"{HOST}:{i + 1}") for i in range(4)]
    config = Config(
        path="",
        name="n",
        listen=(HOST, 0),
        discovery=(HOST, 1),
        seed=seed,
        limits=Limits(192, 1024),
        settings=node_settings,
        decoder=decoder,
        initial_endpoints=decoder.decode(listing(1, *rows)),
        conn_idle_ms=30_000.0,
    )
    node = Node(config, clock, upstream=upstream)
    decisions: list[str] = []
    handle = node._balancer.handle

    def recorded_handle(event: Event, now: float) -> list[Action]:
        actions = handle(event, now)
        decisions.append(
            f"{now:.3f} {event!r} -> {[repr(a) for a in actions if not isinstance(a, SetTimer)]}"
        )
        return actions

    node._balancer.handle = recorded_handle  # type: ignore[method-assign]
    rpc_config = parse_rpc_config(OPERATOR_FILE, node_settings)
    call_mapper = CallMapper(
        node_settings,
        rpc_config.methods,
        rpc_config.metadata,
        rpc_config.defaults,
        lambda: b"none",
        rpc_config.front_limits.message,
    )
    front = RpcFront(call_mapper, node.submit, rpc_config.front_limits)
    node.add_frontend(front)
    serving = asyncio.create_task(node.wait())
    http_address = await node.start()
    rpc_address = await front.listen((HOST, 0))
    results: list[str] = []
    timers = ManualTimers(node, clock, upstream)
    caller: Any = await (RpcCaller.connect(rpc_address) if rpc else StubClient.connect(http_address))
    for i in range(CALL_COUNT):
        clock.seconds += rng.uniform(0.0, 0.03)
        timers.fire_until(1000.0 * clock.seconds)
        while upstream.open_attempts:
            await asyncio.sleep(0)  # a probe is in progress
        method, name = rng.choice(("look", "move", "book")), f"c{i}"
        if rpc:
            caller.ask(method, name=name, deadline=3.0, **({"key": f"k{i}"} if method == "move" else {}))
            _, error, _ = await timers.answered(asyncio.ensure_future(caller.answer()))
            results.append("served" if error is None else error["code"])
        else:
            answer = await timers.answered(
                asyncio.ensure_future(caller.ask(method, request_id=name, target="/api"))
            )
            results.append({200: "served", 503: "refused", 502: "failed"}[answer.status])
    caller.close()
    node.stop()
    await serving
    return decisions, results, upstream.attempts


def test_calls_over_rpc_and_http_lead_to_the_same_decisions() -> None:
    async def main() -> None:
        for seed in (1, 2, 3):
            by_http = await run_sequence(seed, rpc=False)
            by_rpc = await run_sequence(seed, rpc=True)
            assert by_http[1] == by_rpc[1], "callers got different outcomes"
            assert by_http[2] == by_rpc[2], "different servers were used"
            assert by_http[0] == by_rpc[0], "the decision module got different events or decided differently"
            assert {"served", "failed"} <= set(by_http[1]) and len(by_http[2]) > CALL_COUNT

    run(main())

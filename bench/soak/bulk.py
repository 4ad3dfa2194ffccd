"""Clients that send large bodies and ask for large answers, and the checks of what comes of them."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from random import Random

from bench.bulk import BulkAnswer, BulkRequest, send
from bench.soak.clients import NOT_RUN_STATUSES
from bench.soak.machine import InvariantError
from leadrudder.emulation.standins import RequestKind

ID_PREFIX = "u-"
MIN_BYTES, MAX_BYTES = 10_000, 15_000_000  # the stand-in servers read no more
MEAN_PAUSE_S = 1.0  # of one client between two requests
SLOW_FRACTION = 0.2  # of the requests, whose clients pause before each piece
SLOW_PAUSE_S = 0.05


@dataclass(frozen=True, slots=True)
class SentBulk:
    """A request and what came of it."""

    request: BulkRequest
    answer: BulkAnswer


@dataclass(eq=False)
class BulkClients:
    """One client at each machine.  port: where data-plane nodes take client requests."""

    port: int
    kind: RequestKind
    rng: Random
    sent: list[SentBulk] = field(default_factory=list)

    async def send_until(self, host: str, end: float) -> None:
        """Send requests to a machine one after the other, until a time of the loop's clock."""
        loop = asyncio.get_running_loop()
        number = 0
        while loop.time() < end:
            await asyncio.sleep(self.rng.expovariate(1.0 / MEAN_PAUSE_S))
            number += 1
            request = self._draw(f"{ID_PREFIX}{host}-{number}")
            try:
                async with asyncio.timeout(self.kind.deadline_s + 1.0):
                    answer = await send((host, self.port), request)
            except TimeoutError:
                answer = BulkAnswer(0)
            self.sent.append(SentBulk(request, answer))

    def _draw(self, attempt_id: str) -> BulkRequest:
        return BulkRequest(
            attempt_id,
            self._draw_size(),
            self._draw_size(),
            pause_s=SLOW_PAUSE_S if self.rng.random() < SLOW_FRACTION else 0.0,
            time_left_ms=int(1000.0 * self.kind.deadline_s),
            host=self.kind.host,
        )

    def _draw_size(self) -> int:
        return int(MIN_BYTES * (MAX_BYTES / MIN_BYTES) ** self.rng.random())


def check_bulk(runs: Mapping[str, int], damaged: Collection[str], sent: Collection[SentBulk]) -> None:
    """InvariantError if a body or an answer is damaged, or a promise of a status is broken.

    runs: how often each attempt ran, by its id; damaged: ids of the attempts whose body was damaged.
    """
    if damaged:
        raise InvariantError(f"UNASKED: {len(damaged)} damaged bodies, the first: {min(damaged)}")
    for each in sent:
        attempt_id, answer = each.request.attempt_id, each.answer
        run_count = runs.get(attempt_id, 0)
        if run_count > 1:
            raise InvariantError(f"{attempt_id} ran {run_count} times")
        if answer.status in NOT_RUN_STATUSES and run_count:
            raise InvariantError(f"{attempt_id} ran although a response said that it did not")
        if answer.status == 200 and not run_count:
            raise InvariantError(f"{attempt_id} got a success, but no server ran it")
        if answer.status == 200 and (not answer.intact or answer.body_bytes != each.request.answer_bytes):
            raise InvariantError(f"MIXED: the answer to {attempt_id} is damaged")

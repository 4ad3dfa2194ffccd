"""The gate: the last check before the server beside it. No I/O; times are seconds.

Only this station reaches its server, so what the gate knows holds for all callers: a life of the server,
its drain, the zone's evacuation, the cold pace, the free slots, and which unsafe requests it has had. A
refusal here is no arrival at a server, and says for certain that the request never ran and never will.
"""

from __future__ import annotations

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from leadrudder.rulebook.settings import Bounds
from leadrudder.waybill.verdict import Ran, Verdict
from leadrudder.waybill.waybill_pb2 import Waybill

SEEN_MOST = 50_000  # ids of unsafe requests that are remembered
QUEUE_TIMES = 1.5  # calls that may wait at the gate for each slot
COLD_PART = 1.1  # of the pace that a cold server is told to bear: it falls over well above it
COLD_BURST = 2.0
COLD_UNKNOWN_S = 2.0  # after an evacuation it counts as cold until a beat says otherwise
DRAIN_PART = 0.4  # of the time that a draining server serves on: later calls might not end
WAIT_PART = 0.6  # of the time left: who would wait longer is told when to come back
LEAST_PART = 0.5  # of the usual time: what has less left is not worth a slot
DOWN_S = 0.4
LEAST_LEFT_MS = 5.0
USUAL_STEP = 0.1


@dataclass(slots=True)
class Life:
    """One life of the server, by its beats."""

    id: str
    service: str
    zone: str
    capacity: int
    draining_since: float | None = None
    count: int = -1  # of its calls
    cold_until: float = 0.0
    heard: float = 0.0
    down_until: float = 0.0  # it takes no connections


@dataclass(order=True, slots=True)
class Queued:
    """A call that waits: by the route's rank, then by when its aim ends."""

    rank: tuple[int, float]
    number: int
    waybill: Waybill = field(compare=False)
    until: float = field(compare=False)
    came: float = field(compare=False)
    start: Callable[[], None] = field(compare=False)
    refuse: Callable[[Verdict], None] = field(compare=False)
    gone: bool = field(default=False, compare=False)


class Gate:
    """What may go to the server now, later or never."""

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self.life: Life | None = None
        self._ended: OrderedDict[str, None] = OrderedDict()  # lives that are over
        self.running = 0
        self._queue: list[Queued] = []
        self._numbers = itertools.count()
        self._seen: OrderedDict[bytes, None] = OrderedDict()
        self._tokens = COLD_BURST
        self._tokens_at = 0.0
        self._usual_ms = 50.0
        self.cold_per_s = 0.0  # of the configuration; 0: not known
        self.evacuated = False
        self.leaving = False
        self._slot_seconds, self._slots_since = 0.0, 0.0

    # ------------------------------------------------------------ beats

    def beat(self, life: Life, draining: bool, count: int, cold_ms: float, now: float) -> bool:
        """A server's beat; True if others must hear of it.  A late one changes nothing."""
        if life.id in self._ended:
            return False
        known = self.life
        if known is None or known.id != life.id:
            if known is not None:
                self._end(known.id)
            self.life = known = life
            changed = True
        else:
            changed = known.capacity != life.capacity
            known.capacity = life.capacity
        known.heard = now
        if count <= known.count:
            return changed
        known.count = count
        known.cold_until = now + cold_ms / 1000.0 if cold_ms > 0 else 0.0
        if draining and known.draining_since is None:
            known.draining_since, changed = now, True
        return changed

    def left(self, server: str) -> bool:
        """It has signed off."""
        self._end(server)
        if self.life is None or self.life.id != server:
            return False
        self.life = None
        return True

    def silent(self, now: float, after_s: float) -> bool:
        """Drop a server that has not beaten for so long; True if it was dropped."""
        if self.life is None or now - self.life.heard < after_s:
            return False
        self.life = None
        return True

    def _end(self, server: str) -> None:
        self._ended[server] = None
        while len(self._ended) > 1000:
            self._ended.popitem(last=False)

    def no_connection(self, server: str, now: float) -> None:
        """It took no connection: for a moment nothing is sent there."""
        if self.life is not None and self.life.id == server:
            self.life.down_until = now + DOWN_S

    def evacuate(self, on: bool, now: float) -> None:
        """The zone is to get nothing, or is taken back: its servers may have turned cold meanwhile."""
        if self.evacuated and not on and self.life is not None:
            self.life.cold_until = max(self.life.cold_until, now + COLD_UNKNOWN_S)
        self.evacuated = on

    # ------------------------------------------------------------ calls

    def admit(
        self, waybill: Waybill, now: float, start: Callable[[], None], refuse: Callable[[Verdict], None]
    ) -> Queued | None:
        """Start it, refuse it, or keep it in the queue, which is returned then."""
        verdict = self._bars(waybill, now)
        if verdict is not None:
            refuse(verdict)
            return None
        if waybill.once:
            if waybill.attempt_id in self._seen:
                refuse(Verdict(Ran.MAYBE, "seen"))
                return None
            self._remember(waybill.attempt_id)
        assert self.life is not None
        if self.running < self.life.capacity and not self._paced(now):
            self._start(start, now)
            return None
        rank = waybill.priority, now + waybill.aim_ms / 1000.0
        wait_ms = self._wait_ms(rank, now)
        if not waybill.may_wait or wait_ms > WAIT_PART * waybill.left_ms or not self._room(rank):
            self._forget(waybill)
            refuse(Verdict(Ran.NEVER, "full", wait_ms))
            return None
        queued = Queued(
            rank,
            next(self._numbers),
            waybill,
            now + (waybill.left_ms - max(LEAST_LEFT_MS, LEAST_PART * self._usual_ms)) / 1000.0,
            now,
            start,
            refuse,
        )
        heapq.heappush(self._queue, queued)
        return queued

    def _remember(self, attempt_id: bytes) -> None:
        self._seen[attempt_id] = None
        while len(self._seen) > SEEN_MOST:
            self._seen.popitem(last=False)

    def _forget(self, waybill: Waybill) -> None:
        """A refusal: it has not run, and may come again."""
        if waybill.once:
            self._seen.pop(waybill.attempt_id, None)

    def _bars(self, waybill: Waybill, now: float) -> Verdict | None:
        life = self.life
        if life is None or life.id != waybill.server:
            return Verdict(Ran.NEVER, "gone")
        if now < life.down_until:
            return Verdict(Ran.NEVER, "down")
        if self.leaving:
            return Verdict(Ran.NEVER, "leaving")
        if self.evacuated:
            return Verdict(Ran.NEVER, "evacuated")
        if life.draining_since is not None:
            on = now - life.draining_since < DRAIN_PART * self._bounds.drain / 1000.0
            if not on or not waybill.may_wait:
                return Verdict(Ran.NEVER, "draining")
        if waybill.left_ms <= LEAST_LEFT_MS:
            return Verdict(Ran.NEVER, "time")
        return None

    def _room(self, rank: tuple[int, float]) -> bool:
        """Whether one of this rank may wait; the last of a full queue makes way for it."""
        assert self.life is not None
        waiting = [queued for queued in self._queue if not queued.gone]
        if len(waiting) < QUEUE_TIMES * self.life.capacity:
            return True
        last = max(waiting)
        if rank >= last.rank:
            return False
        last.gone = True
        self._forget(last.waybill)
        last.refuse(Verdict(Ran.NEVER, "full", self._usual_ms))
        return True

    def _wait_ms(self, rank: tuple[int, float], now: float) -> float:
        """How long one of this rank would wait for its turn, about."""
        assert self.life is not None
        ahead = 1 + sum(1 for queued in self._queue if queued.rank < rank and not queued.gone)
        if now < self.life.cold_until:
            return 1000.0 * ahead / self._pace()
        return ahead * self._usual_ms / self.life.capacity

    def _pace(self) -> float:
        return COLD_PART * (self.cold_per_s or 10.0)

    def _paced(self, now: float) -> bool:
        """Whether the server is cold and has had its share for now."""
        assert self.life is not None
        if now >= self.life.cold_until:
            self._tokens, self._tokens_at = COLD_BURST, now
            return False
        self._tokens = min(COLD_BURST, self._tokens + self._pace() * (now - self._tokens_at))
        self._tokens_at = now
        return self._tokens < 1.0

    def slot_seconds(self, now: float) -> float:
        """Seconds of slots in use since the start, summed over slots."""
        self._slot_seconds += self.running * (now - self._slots_since)
        self._slots_since = now
        return self._slot_seconds

    def waiting(self) -> int:
        """Calls that wait for a slot."""
        return sum(1 for queued in self._queue if not queued.gone)

    def _start(self, start: Callable[[], None], now: float) -> None:
        self.slot_seconds(now)
        if self.life is not None and now < self.life.cold_until:
            self._tokens -= 1.0
        self.running += 1
        start()

    def ended(self, elapsed_ms: float | None, now: float) -> None:
        """A call that was started is over, however.

        elapsed_ms: None if it was broken off because its client had left.
        """
        self.slot_seconds(now)
        self.running -= 1
        if elapsed_ms is not None:
            self._usual_ms += USUAL_STEP * (elapsed_ms - self._usual_ms)
        self.advance(now)

    def withdraw(self, queued: Queued) -> None:
        """Its origin does not wait any more."""
        queued.gone = True

    def advance(self, now: float) -> float | None:
        """Start what may start, refuse what waits in vain; returns when to look again, if anything waits."""
        while self._queue:
            head = self._queue[0]
            if head.gone:
                heapq.heappop(self._queue)
                continue
            if now >= head.until:
                heapq.heappop(self._queue)
                self._forget(head.waybill)
                head.refuse(Verdict(Ran.NEVER, "time"))
                continue
            verdict = self._bars(head.waybill, now)
            if verdict is not None:
                heapq.heappop(self._queue)
                self._forget(head.waybill)
                head.refuse(verdict)
                continue
            assert self.life is not None
            if self.running >= self.life.capacity:
                return min(q.until for q in self._queue)
            if self._paced(now):
                return min(min(q.until for q in self._queue), now + 1.0 / self._pace())
            heapq.heappop(self._queue)
            head.waybill.left_ms -= 1000.0 * (now - head.came)
            self._start(head.start, now)
        return None

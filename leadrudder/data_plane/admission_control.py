"""The gate: the last check before the server beside it. No I/O; times are seconds.

Only this station reaches its server, so what the gate knows holds for all callers: a life of the server,
its drain, the zone's evacuation, the cold pace, the free slots, and which unsafe requests it has had. A
refusal here is no arrival at a server, and says for certain that the request never ran and never will.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from leadrudder.bootstrap.settings import RuleBounds
from leadrudder.data_plane.admission_queue import AdmissionQueue, QueuedCall, Rank
from leadrudder.data_plane.service_times import ArrivalRate, ServiceTimes
from leadrudder.protocol.mesh_pb2 import Waybill
from leadrudder.protocol.outcome import Ran, Verdict

SEEN_MOST = 50_000  # ids of unsafe requests that are remembered
QUEUE_TIMES = 1.5  # calls that may wait at the gate for each slot
COLD_PART = 1.1  # of the pace that a cold server is told to bear: it falls over well above it
COLD_BURST = 2.0
COLD_UNKNOWN_S = 2.0  # after an evacuation it counts as cold until a beat says otherwise
DRAIN_PART = 0.4  # of the time that a draining server serves on: later calls might not end
WAIT_PART = 0.6  # of the time left: who would wait longer is told when to come back
IN_TIME_PART = 0.75  # of what is left of the target: the rest is for the way back, and for longer work
RESERVE_LEAST = 4  # slots of a server, from which on one is kept for short calls
RESERVE_FROM = 0.5  # short calls that come in the time of a long one, from which on it is
LEAST_PART = 0.5  # of the usual time: what has less left is not worth a slot
DOWN_S = 0.4
LEAST_LEFT_MS = 5.0


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


class Gate:
    """What may go to the server now, later or never."""

    def __init__(self, bounds: RuleBounds) -> None:
        self._bounds = bounds
        self.life: Life | None = None
        self._ended: OrderedDict[str, None] = OrderedDict()  # lives that are over
        self.running = 0
        self._queue = AdmissionQueue()
        self._seen: OrderedDict[bytes, None] = OrderedDict()
        self._tokens = COLD_BURST
        self._tokens_at = 0.0
        self._times = ServiceTimes()
        self._short_calls = ArrivalRate()
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
    ) -> QueuedCall | None:
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
        if self._times.short(waybill.target_ms):
            self._short_calls.observe(now)
        if self._has_slot(waybill, now) and not self._paced(now):
            self._start(start, now)
            return None
        rank, wait_ms = self._rank(waybill, now)
        may_wait = waybill.may_wait or not rank.late
        if not may_wait or wait_ms > WAIT_PART * waybill.left_ms or not self._make_room(rank):
            self._forget(waybill)
            refuse(Verdict(Ran.NEVER, "full", wait_ms))
            return None
        least_left_ms = max(LEAST_LEFT_MS, LEAST_PART * self._times.of(waybill.target_ms))
        until = now + (waybill.left_ms - least_left_ms) / 1000.0
        return self._queue.push(rank, waybill, until=until, came=now, start=start, refuse=refuse)

    def _has_slot(self, waybill: Waybill, now: float) -> bool:
        """Whether the server has a slot for it, besides one that is kept for short calls."""
        assert self.life is not None
        return self.running < self.life.capacity - self._reserved(waybill, now)

    def _reserved(self, waybill: Waybill, now: float) -> int:
        """Slots that it may not have: one is kept for short calls, while they come often enough to use it.

        A short call is mostly one that a server makes while it holds a slot elsewhere, and holds for as long
        as the call waits here: long work that takes the last slot costs more than one that waits.
        """
        assert self.life is not None
        if self.life.capacity < RESERVE_LEAST or self._times.short(waybill.target_ms):
            return 0
        short_for_each_long = self._short_calls.per_s(now) * self._times.long_ms / 1000.0
        return 1 if short_for_each_long > RESERVE_FROM else 0

    def _rank(self, waybill: Waybill, now: float) -> tuple[Rank, float]:
        """Its place among those that wait, and for how many milliseconds it would, about."""
        in_time = Rank(waybill.priority, False, now + waybill.aim_ms / 1000.0)
        wait_ms = self._wait_ms(waybill, in_time, now)
        fits = wait_ms + self._times.of(waybill.target_ms) <= IN_TIME_PART * waybill.aim_ms
        if fits or self._times.short(waybill.target_ms):
            return in_time, wait_ms
        late = Rank(waybill.priority, True, now + waybill.left_ms / 1000.0)
        return late, self._wait_ms(waybill, late, now)

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

    def _make_room(self, rank: Rank) -> bool:
        """Whether one of this rank may wait; the last of a full queue makes way for it."""
        assert self.life is not None
        if len(self._queue) < QUEUE_TIMES * self.life.capacity:
            return True
        last = self._queue.last()
        if last is None or rank >= last.rank:
            return False
        self._queue.discard(last)
        self._forget(last.waybill)
        last.refuse(Verdict(Ran.NEVER, "full", self._times.usual_ms))
        return True

    def _wait_ms(self, waybill: Waybill, rank: Rank, now: float) -> float:
        """How long it would wait for its turn at this rank, about."""
        assert self.life is not None
        ahead = 1 + self._queue.ahead_of(rank)
        if now < self.life.cold_until:
            return 1000.0 * ahead / self._pace()
        slots = self.life.capacity - self._reserved(waybill, now)
        return ahead * max(self._times.usual_ms, self._times.of(waybill.target_ms)) / slots

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
        return len(self._queue)

    def _start(self, start: Callable[[], None], now: float) -> None:
        self.slot_seconds(now)
        if self.life is not None and now < self.life.cold_until:
            self._tokens -= 1.0
        self.running += 1
        start()

    def ended(self, elapsed_ms: float | None, now: float, target_ms: float = 0.0) -> None:
        """A call that was started is over, however.

        elapsed_ms: None if it was broken off because its client had left; target_ms: its route's.
        """
        self.slot_seconds(now)
        self.running -= 1
        if elapsed_ms is not None:
            self._times.observe(target_ms, elapsed_ms)
        self.advance(now)

    def withdraw(self, queued: QueuedCall) -> None:
        """Its origin does not wait any more."""
        self._queue.discard(queued)

    def advance(self, now: float) -> float | None:
        """Start what may start, refuse what waits in vain; returns when to look again, if anything waits."""
        self._refuse_queued(now)
        while (queued := self._next(now)) is not None:
            if self._paced(now):
                break
            self._queue.discard(queued)
            queued.waybill.left_ms -= 1000.0 * (now - queued.came)
            self._start(queued.start, now)
        look = self._queue.next_until()
        if look is not None and self.life is not None and now < self.life.cold_until:
            look = min(look, now + 1.0 / self._pace())
        return look

    def _next(self, now: float) -> QueuedCall | None:
        """The first in rank for which there is a slot."""
        return next((queued for queued in self._queue if self._has_slot(queued.waybill, now)), None)

    def _refuse_queued(self, now: float) -> None:
        """Those whose time is over, and all that the server may not have any more."""
        for queued in list(self._queue):
            verdict = Verdict(Ran.NEVER, "time") if now >= queued.until else self._bars(queued.waybill, now)
            if verdict is not None:
                self._queue.discard(queued)
                self._forget(queued.waybill)
                queued.refuse(verdict)

"""Admission control, the last check before the local server. No I/O; times are seconds.

Only this node connects to its server, so the state kept here holds for all callers: the server's instance,
its drain, the evacuation of the zone, the rate limit of a cold server, the free slots and the ids of unsafe
requests already received. A call refused here does not reach the server: unless the verdict says MAYBE, it
never ran and never will.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from leadrudder.bootstrap.settings import RuleBounds
from leadrudder.data_plane.admission_queue import AdmissionQueue, CallOrigin, QueuedCall, Rank
from leadrudder.data_plane.service_times import ArrivalRate, ServiceTimes
from leadrudder.protocol.mesh_pb2 import ForwardRequest
from leadrudder.protocol.outcome import Executed, RequestFailure

MAX_REMEMBERED_IDS = 50_000  # of unsafe requests, to refuse duplicates
QUEUED_CALLS_PER_SLOT = 1.5  # limit on the admission queue
COLD_RATE_FACTOR = 1.1  # of the rate configured for a cold server, which fails only well above it
COLD_BURST_CALLS = 2.0
COLD_AFTER_EVACUATION_S = 2.0  # the server counts as cold for so long, or until a heartbeat says otherwise
DRAIN_ACCEPT_FRACTION = 0.4  # of the drain time; later calls might not end within it
MAX_WAIT_FRACTION = 0.6  # of the remaining time; calls that would wait longer are refused with Retry-After
ON_TIME_FRACTION = 0.75  # of the remaining target time; the rest is for the way back and longer work
MIN_CAPACITY_FOR_RESERVE = 4  # slots from which on one is reserved for short calls
RESERVE_THRESHOLD_CALLS = 0.5  # short calls arriving per long call, above which it is reserved
MIN_REMAINING_FRACTION = 0.5  # of the expected service time; a call with less time left is refused
# Of the expected service time, until the origin of a call stops. It is cut off if it takes longer, and then
# may have run; refused now, it can be sent again elsewhere.
STOPPING_ORIGIN_FRACTION = 1.5
DOWN_PAUSE_S = 0.4
MIN_REMAINING_MS = 5.0
LASTING_ORIGIN = CallOrigin()  # of calls of this node, and of nodes that have not announced a shutdown


@dataclass(slots=True)
class ServerInstance:
    """One instance (process run) of the local server, as reported by its heartbeats."""

    id: str
    service: str
    zone: str
    capacity: int
    draining_since: float | None = None
    heartbeat_number: int = -1  # counts the heartbeats of the instance
    cold_until: float = 0.0
    last_heartbeat: float = 0.0
    down_until: float = 0.0  # it refused a connection


class AdmissionController:
    """Decides whether a call is started, queued or refused."""

    def __init__(self, bounds: RuleBounds) -> None:
        self._bounds = bounds
        self.instance: ServerInstance | None = None
        self._ended_instances: OrderedDict[str, None] = OrderedDict()  # ids
        self.running_calls = 0
        self._queue = AdmissionQueue()
        self._seen_ids: OrderedDict[bytes, None] = OrderedDict()
        self._cold_tokens = COLD_BURST_CALLS
        self._cold_tokens_at = 0.0
        self._service_times = ServiceTimes()
        self._short_call_rate = ArrivalRate()
        self.cold_per_s = 0.0  # requests per second of a cold server, as configured; 0 if unknown
        self.evacuated = False
        self.terminating = False
        self._slot_seconds, self._slots_counted_at = 0.0, 0.0

    # ------------------------------------------------------------ server instance

    def on_heartbeat(
        self, instance: ServerInstance, draining: bool, heartbeat_number: int, cold_ms: float, now: float
    ) -> bool:
        """Apply a heartbeat; True if other nodes must be told.  An outdated heartbeat changes nothing."""
        if instance.id in self._ended_instances:
            return False
        known = self.instance
        if known is None or known.id != instance.id:
            if known is not None:
                self._mark_ended(known.id)
            self.instance = known = instance
            changed = True
        else:
            changed = known.capacity != instance.capacity
            known.capacity = instance.capacity
        known.last_heartbeat = now
        if heartbeat_number <= known.heartbeat_number:
            return changed
        known.heartbeat_number = heartbeat_number
        known.cold_until = now + cold_ms / 1000.0 if cold_ms > 0 else 0.0
        if draining and known.draining_since is None:
            known.draining_since, changed = now, True
        return changed

    def remove_instance(self, instance_id: str) -> bool:
        """The server has signed off; True if it was the current instance."""
        self._mark_ended(instance_id)
        if self.instance is None or self.instance.id != instance_id:
            return False
        self.instance = None
        return True

    def expire_instance(self, now: float, after_s: float) -> bool:
        """Drop the server if it has sent no heartbeat for after_s; True if it was dropped."""
        if self.instance is None or now - self.instance.last_heartbeat < after_s:
            return False
        self.instance = None
        return True

    def _mark_ended(self, instance_id: str) -> None:
        self._ended_instances[instance_id] = None
        while len(self._ended_instances) > 1000:
            self._ended_instances.popitem(last=False)

    def on_connect_failure(self, instance_id: str, now: float) -> None:
        """The server refused a connection: send it nothing for DOWN_PAUSE_S."""
        if self.instance is not None and self.instance.id == instance_id:
            self.instance.down_until = now + DOWN_PAUSE_S

    def set_evacuated(self, is_evacuated: bool, now: float) -> None:
        """Start or end the evacuation of the zone; its servers may have become cold in the meantime."""
        if self.evacuated and not is_evacuated and self.instance is not None:
            self.instance.cold_until = max(self.instance.cold_until, now + COLD_AFTER_EVACUATION_S)
        self.evacuated = is_evacuated

    # ------------------------------------------------------------ calls

    def admit(
        self,
        forward_request: ForwardRequest,
        now: float,
        start: Callable[[], None],
        refuse: Callable[[RequestFailure], None],
        origin: CallOrigin = LASTING_ORIGIN,
    ) -> QueuedCall | None:
        """Start a call, refuse it, or queue it; returns the queued call."""
        verdict = self._refusal(forward_request, origin, now)
        if verdict is not None:
            refuse(verdict)
            return None
        if forward_request.once:
            if forward_request.attempt_id in self._seen_ids:
                refuse(RequestFailure(Executed.MAYBE, "seen"))
                return None
            self._remember_id(forward_request.attempt_id)
        if self._service_times.is_short(forward_request.target_ms):
            self._short_call_rate.observe(now)
        if self._has_free_slot(forward_request, now) and not self._is_rate_limited(now):
            self._start_call(start, now)
            return None
        rank, wait_ms = self._rank_and_wait(forward_request, now)
        may_wait = forward_request.may_wait or not rank.late
        if (
            not may_wait
            or wait_ms > MAX_WAIT_FRACTION * forward_request.left_ms
            or not self._make_room_in_queue(rank)
        ):
            self._forget_id(forward_request)
            refuse(RequestFailure(Executed.NEVER, "full", wait_ms))
            return None
        min_remaining_ms = max(
            MIN_REMAINING_MS,
            MIN_REMAINING_FRACTION * self._service_times.expected_ms(forward_request.target_ms),
        )
        expires_at = now + (forward_request.left_ms - min_remaining_ms) / 1000.0
        return self._queue.push(
            rank, forward_request, origin, expires_at=expires_at, queued_at=now, start=start, refuse=refuse
        )

    def _has_free_slot(self, forward_request: ForwardRequest, now: float) -> bool:
        """Whether there is a free slot for a call, apart from slots reserved for others."""
        assert self.instance is not None
        return self.running_calls < self.instance.capacity - self._reserved_slots(forward_request, now)

    def _reserved_slots(self, forward_request: ForwardRequest, now: float) -> int:
        """Slots that a call may not use: one is reserved for short calls while they arrive often enough.

        A short call is usually made by a server that occupies a slot elsewhere for as long as the call waits
        here, so giving the last slot to long work costs more than letting that work wait.
        """
        assert self.instance is not None
        if self.instance.capacity < MIN_CAPACITY_FOR_RESERVE or self._service_times.is_short(
            forward_request.target_ms
        ):
            return 0
        short_calls_per_long_call = (
            self._short_call_rate.per_s(now) * self._service_times.long_mean_ms / 1000.0
        )
        return 1 if short_calls_per_long_call > RESERVE_THRESHOLD_CALLS else 0

    def _rank_and_wait(self, forward_request: ForwardRequest, now: float) -> tuple[Rank, float]:
        """The rank of a call in the queue, and its expected wait in milliseconds."""
        on_time = Rank(forward_request.priority, False, now + forward_request.aim_ms / 1000.0)
        wait_ms = self._expected_wait_ms(forward_request, on_time, now)
        is_on_time = (
            wait_ms + self._service_times.expected_ms(forward_request.target_ms)
            <= ON_TIME_FRACTION * forward_request.aim_ms
        )
        if is_on_time or self._service_times.is_short(forward_request.target_ms):
            return on_time, wait_ms
        late = Rank(forward_request.priority, True, now + forward_request.left_ms / 1000.0)
        return late, self._expected_wait_ms(forward_request, late, now)

    def _remember_id(self, attempt_id: bytes) -> None:
        self._seen_ids[attempt_id] = None
        while len(self._seen_ids) > MAX_REMEMBERED_IDS:
            self._seen_ids.popitem(last=False)

    def on_call_not_run(self, forward_request: ForwardRequest) -> None:
        """A started call has certainly not run: its request may be sent again."""
        self._forget_id(forward_request)

    def _forget_id(self, forward_request: ForwardRequest) -> None:
        """A refused request has not run and may be sent again."""
        if forward_request.once:
            self._seen_ids.pop(forward_request.attempt_id, None)

    def _refusal(
        self, forward_request: ForwardRequest, origin: CallOrigin, now: float
    ) -> RequestFailure | None:
        instance = self.instance
        if instance is None or instance.id != forward_request.server:
            return RequestFailure(Executed.NEVER, "gone")
        if now < instance.down_until:
            return RequestFailure(Executed.NEVER, "down")
        if self.terminating:
            return RequestFailure(Executed.NEVER, "leaving")
        if self.evacuated:
            return RequestFailure(Executed.NEVER, "evacuated")
        if instance.draining_since is not None:
            accepting = now - instance.draining_since < DRAIN_ACCEPT_FRACTION * self._bounds.drain / 1000.0
            if not accepting or not forward_request.may_wait:
                return RequestFailure(Executed.NEVER, "draining")
        if forward_request.left_ms <= MIN_REMAINING_MS:
            return RequestFailure(Executed.NEVER, "time")
        if now >= self._latest_start(forward_request, origin):
            return RequestFailure(Executed.NEVER, "caller stopping")
        return None

    def _latest_start(self, forward_request: ForwardRequest, origin: CallOrigin) -> float:
        """When a call must have started to end before its origin stops; infinite while that keeps running."""
        expected_ms = self._service_times.expected_ms(forward_request.target_ms)
        return origin.stops_at - STOPPING_ORIGIN_FRACTION * expected_ms / 1000.0

    def _make_room_in_queue(self, rank: Rank) -> bool:
        """Whether a call of this rank may be queued; a full queue drops its last call if that ranks lower."""
        assert self.instance is not None
        if len(self._queue) < QUEUED_CALLS_PER_SLOT * self.instance.capacity:
            return True
        last = self._queue.last()
        if last is None or rank >= last.rank:
            return False
        self._queue.discard(last)
        self._forget_id(last.forward_request)
        last.refuse(RequestFailure(Executed.NEVER, "full", self._service_times.mean_ms))
        return True

    def _expected_wait_ms(self, forward_request: ForwardRequest, rank: Rank, now: float) -> float:
        """The approximate wait of a call at this rank."""
        assert self.instance is not None
        calls_ahead = 1 + self._queue.count_ahead(rank)
        if now < self.instance.cold_until:
            return 1000.0 * calls_ahead / self._cold_rate_per_s()
        available_slots = self.instance.capacity - self._reserved_slots(forward_request, now)
        return (
            calls_ahead
            * max(self._service_times.mean_ms, self._service_times.expected_ms(forward_request.target_ms))
            / available_slots
        )

    def _cold_rate_per_s(self) -> float:
        return COLD_RATE_FACTOR * (self.cold_per_s or 10.0)

    def _is_rate_limited(self, now: float) -> bool:
        """Whether the server is cold and its rate limit is used up."""
        assert self.instance is not None
        if now >= self.instance.cold_until:
            self._cold_tokens, self._cold_tokens_at = COLD_BURST_CALLS, now
            return False
        self._cold_tokens = min(
            COLD_BURST_CALLS, self._cold_tokens + self._cold_rate_per_s() * (now - self._cold_tokens_at)
        )
        self._cold_tokens_at = now
        return self._cold_tokens < 1.0

    def slot_seconds(self, now: float) -> float:
        """Seconds of slots in use since process start, summed over slots."""
        self._slot_seconds += self.running_calls * (now - self._slots_counted_at)
        self._slots_counted_at = now
        return self._slot_seconds

    def waiting_calls(self) -> int:
        """Number of calls in the queue."""
        return len(self._queue)

    def _start_call(self, start: Callable[[], None], now: float) -> None:
        self.slot_seconds(now)
        if self.instance is not None and now < self.instance.cold_until:
            self._cold_tokens -= 1.0
        self.running_calls += 1
        start()

    def on_call_ended(self, elapsed_ms: float | None, now: float, target_ms: float = 0.0) -> None:
        """A started call has ended, with any outcome.

        elapsed_ms: None if it was cancelled because its client disconnected; target_ms: target of its route.
        """
        self.slot_seconds(now)
        self.running_calls -= 1
        if elapsed_ms is not None:
            self._service_times.observe(target_ms, elapsed_ms)
        self.process_queue(now)

    def withdraw(self, queued: QueuedCall) -> None:
        """Drop a queued call whose origin no longer waits."""
        if self._queue.discard(queued):
            self._forget_id(queued.forward_request)

    def process_queue(self, now: float) -> float | None:
        """Start or refuse queued calls; returns when to call this again, None if the queue is empty."""
        self._refuse_inadmissible(now)
        while (queued := self._next_startable(now)) is not None:
            if self._is_rate_limited(now):
                break
            self._queue.discard(queued)
            left_ms = queued.forward_request.left_ms - 1000.0 * (now - queued.queued_at)
            queued.forward_request.left_ms = min(left_ms, 1000.0 * (queued.origin.stops_at - now))
            self._start_call(queued.start, now)
        return self._next_check_at(now)

    def _next_check_at(self, now: float) -> float | None:
        """When a queued call must be refused or may be started next; None if the queue is empty."""
        next_check_at = min(
            (
                min(each.expires_at, self._latest_start(each.forward_request, each.origin))
                for each in self._queue
            ),
            default=None,
        )
        if next_check_at is not None and self.instance is not None and now < self.instance.cold_until:
            next_check_at = min(next_check_at, now + 1.0 / self._cold_rate_per_s())
        return next_check_at

    def _next_startable(self, now: float) -> QueuedCall | None:
        """The first queued call for which there is a free slot."""
        return next(
            (queued for queued in self._queue if self._has_free_slot(queued.forward_request, now)), None
        )

    def _refuse_inadmissible(self, now: float) -> None:
        """Refuse queued calls that have expired or that the server may no longer get."""
        for queued in list(self._queue):
            verdict = (
                RequestFailure(Executed.NEVER, "time")
                if now >= queued.expires_at
                else self._refusal(queued.forward_request, queued.origin, now)
            )
            if verdict is not None:
                self._queue.discard(queued)
                self._forget_id(queued.forward_request)
                queued.refuse(verdict)

"""A modelled server: slots, shared cores, a bounded queue, and what slows it down.

A request holds a slot from its start to its answer, also while it waits for other services. Requests in their
work phase share the cores equally (processor sharing); with as many slots as cores, the server is a
first-come-first-served queue. Work is in milliseconds on a core of speed 1.
"""

from __future__ import annotations

import functools
import heapq
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from leadrudder.experiment.clock import Clock, ScheduledCall
from leadrudder.experiment.draw import ServerPlan, as_float
from leadrudder.experiment.spec import Reports, Slowing
from leadrudder.interface import Outcome, ServerEntry

CHECK_INTERVAL_MS = 250.0  # between checks of a crowded, slow or cold server


class ServerCall(Protocol):
    """A call as a server sees it: its demands, and the methods by which the server reports on it."""

    @property
    def work_ms(self) -> float: ...

    @property
    def wait_ms(self) -> float: ...

    def on_started(self, server: Server) -> bool:
        """It has got a slot; returns False for a repeat to drop, which is answered at once."""

    def call_next_tier(self, server: Server, done: Callable[[bool], None]) -> None:
        """Its work here is done: make the calls to the next tier, then report whether all succeeded."""

    def answer(self, outcome: Outcome, load: tuple[float, ...]) -> None:
        """Send its answer."""

    def add_work(self, work_ms: float) -> None:
        """Account for work that was done for it."""

    def on_abandoned(self) -> None:
        """It was cancelled, or its server has ended: cancel its calls to the next tier."""


class Job:
    """A call that the server holds, running or queued."""

    __slots__ = ("call", "ended", "held", "running", "started", "target")

    def __init__(self, call: ServerCall) -> None:
        self.call = call
        self.ended = False
        self.held = False  # has a slot
        self.running = False  # is on a core
        self.started = 0.0  # the server's attained work when it came to a core
        self.target = 0.0  # and when it is done


@dataclass(frozen=True, slots=True)
class ServerSettings:
    """When a cold server collapses (rule 4), and the settings that servers of a tier share."""

    fall_times: float = 4.0
    fall_ms: float = 1000.0
    slowing: Slowing | None = None
    reports: Reports | None = None
    connections: float = 0.0  # for each core; 0: unlimited
    handshake_ms: float = 0.0


class Server:
    """A server, one process at a time; a restarted one is cold."""

    def __init__(
        self,
        clock: Clock,
        name: bytes,
        plan: ServerPlan,
        settings: ServerSettings,
        rng: random.Random,
        tier: int,
    ) -> None:
        self.clock, self.name, self.plan, self.tier = clock, name, plan, tier
        self._settings = settings
        self._rng = rng
        kind = plan.kind
        self.cores = kind.cores
        self._slots = int(as_float(kind.slots)) * kind.cores
        self._max_queued = int(as_float(kind.queue) * kind.cores)
        self.connections = 0  # open from all nodes
        self.max_connections = settings.connections * kind.cores or math.inf
        self.handshake_ms = settings.handshake_ms
        self._thrash, self._thrash_at = as_float(kind.thrash), as_float(kind.thrash_at) * kind.cores
        self._errors = as_float(kind.errors)
        self._queue: deque[Job] = deque()
        self._jobs: dict[ServerCall, Job] = {}
        self._slots_used = 0
        self._core_heap: list[tuple[float, int, Job]] = []
        self._core_jobs = 0
        self._attained_ms = 0.0  # work done so far for a job that has been on a core all the time
        self._advanced_at = 0.0
        self._rate = 0.0  # of attained work, per millisecond
        self._next_completion: ScheduledCall | None = None
        self._sequence = 0
        self.started_ms = 0.0
        self.alive = True
        self.vanished = False
        self.draining = False
        self.collapsed = False
        self.trouble_slow = 1.0
        self.trouble_errors = 0.0
        self.hung = False
        self.stolen_cpu_share = 0.0  # used by other tenants of the machine
        self.extra_report_delay_ms = 0.0
        self._pausing = False
        self.congestion_slowdown = 1.0  # factor, above 1 once it was crowded for long
        self.congested_ms = 0.0  # total time with such a slowdown
        self._slow_since = 0.0
        self._checking = False
        self._crowding_mean = _SlidingMean()
        self._idle_ms = 0.0
        self._cold_work: deque[tuple[float, float]] = deque()  # to a cold server: time and work
        self._cold_work_sum = 0.0
        self.total_work_ms = 0.0
        self.accepted = 0
        self.rejected = 0
        self._area_at = 0.0
        self.presence_integral_ms = 0.0  # of request_count over time, for Little's law
        self.total_sojourn_ms = 0.0  # of requests that have left
        self.total_queue_wait_ms = 0.0
        self._arrived_at: dict[Job, float] = {}
        self._current_report: tuple[float, ...] = ()
        self._pending_reports: deque[tuple[float, tuple[float, ...]]] = deque()
        self._busy_mean = _SlidingMean()
        if settings.reports is not None:
            self._period = as_float(settings.reports.period_ms)
            clock.after(rng.uniform(0.0, self._period), self._make_report)
        mean_interval_ms = 1000.0 * as_float(kind.pause_every_s)
        if mean_interval_ms > 0.0 and as_float(kind.pause_ms) > 0.0:
            clock.after(rng.expovariate(1.0 / mean_interval_ms), self._pause, mean_interval_ms)

    # ------------------------------------------------------------ calls

    @property
    def request_count(self) -> int:
        """Requests held, in slots and in the queue."""
        return self._slots_used + len(self._queue)

    def receive(self, call: ServerCall) -> None:
        """Take in a call: start it, queue it or reject it."""
        if not self.alive:
            return
        self._add_cold_work(call.work_ms)
        if not self.alive:
            return  # the call made the cold server collapse, and is lost with it
        if self.draining or (self._slots_used >= self._slots and len(self._queue) >= self._max_queued):
            self.rejected += 1
            call.answer(Outcome.FULL, self._latest_report())
            return
        self.accepted += 1
        job = Job(call)
        self._jobs[call] = job
        self._record_presence()
        self._arrived_at[job] = self.clock.now
        if self._slots_used < self._slots:
            self._take_slot(job)
        else:
            self._queue.append(job)
            self._record_crowding()
        self._start_checking()

    def cancel(self, call: ServerCall) -> None:
        """Its node has given it up; which calls stop depends on the kind of server."""
        job = self._jobs.get(call)
        how = self.plan.kind.cancels
        if job is None or how == "none" or (how == "queued" and job.held):
            return
        self._remove(job)
        call.on_abandoned()

    def _take_slot(self, job: Job) -> None:
        self._slots_used += 1
        job.held = True
        self._record_crowding()
        self.total_queue_wait_ms += self.clock.now - self._arrived_at[job]
        if not job.call.on_started(self):
            self._answer(job, Outcome.OK)
        elif job.call.wait_ms > 0.0:
            self.clock.after(job.call.wait_ms, self._start_work, job)
        else:
            self._start_work(job)

    def _start_work(self, job: Job) -> None:
        if job.ended:
            return
        self._advance()
        job.running = True
        job.started = self._attained_ms
        job.target = self._attained_ms + job.call.work_ms
        self._sequence += 1
        heapq.heappush(self._core_heap, (job.target, self._sequence, job))
        self._core_jobs += 1
        self._schedule_completion()

    def _leave_core(self, job: Job) -> None:
        job.running = False
        self._core_jobs -= 1
        done = min(self._attained_ms, job.target) - job.started
        self.total_work_ms += done
        job.call.add_work(done)

    def _complete_due(self) -> None:
        self._advance()
        self._next_completion = None
        done = []
        while self._core_heap and (
            not self._core_heap[0][2].running or self._core_heap[0][0] <= self._attained_ms + 1e-9
        ):
            job = heapq.heappop(self._core_heap)[2]
            if job.running:
                self._leave_core(job)
                done.append(job)
        self._schedule_completion()
        for job in done:
            job.call.call_next_tier(self, functools.partial(self._next_tier_done, job))

    def _next_tier_done(self, job: Job, succeeded: bool) -> None:
        """The next tier has answered."""
        self._answer(job, Outcome.OK if succeeded else Outcome.ERROR)

    def _answer(self, job: Job, outcome: Outcome) -> None:
        if job.ended or self.hung:
            return  # a hung server keeps its requests without answering
        if outcome is Outcome.OK and self._rng.random() < max(self._errors, self.trouble_errors):
            outcome = Outcome.ERROR
        self._remove(job)
        job.call.answer(outcome, self._latest_report())

    def _remove(self, job: Job) -> None:
        """Remove a job; queued ones take the slots that become free."""
        job.ended = True
        self._record_presence()
        self.total_sojourn_ms += self.clock.now - self._arrived_at.pop(job)
        del self._jobs[job.call]
        if not job.held:
            self._queue.remove(job)
            self._record_crowding()
            return
        self._slots_used -= 1
        self._record_crowding()
        if job.running:
            self._advance()
            self._leave_core(job)
            self._schedule_completion()
        while self._queue and self._slots_used < self._slots:
            self._take_slot(self._queue.popleft())

    # ------------------------------------------------------------ cores

    def warm_fraction(self) -> float:
        """Its speed as a fraction of that of a warm server."""
        cold_ms = 1000.0 * as_float(self.plan.kind.cold_s)
        age = self.clock.now - self.started_ms
        if self.started_ms <= 0.0 or age >= cold_ms:
            return 1.0
        low = as_float(self.plan.kind.cold_from)
        return low + (1.0 - low) * age / cold_ms

    def _work_rate(self) -> float:
        if not self._core_jobs or self.hung or self._pausing:
            return 0.0
        each = min(1.0, self.cores * (1.0 - self.stolen_cpu_share) / self._core_jobs)
        over = max(0.0, self._core_jobs - self._thrash_at) / self._thrash_at
        slower = self.trouble_slow * self.congestion_slowdown * (1.0 + self._thrash * over)
        return self.plan.speed * self.warm_fraction() * each / slower

    def _advance(self) -> None:
        now = self.clock.now
        self._attained_ms += self._rate * (now - self._advanced_at)
        self._advanced_at = now

    def _schedule_completion(self) -> None:
        """Call after any change of jobs on cores or of their rate, and after _advance."""
        if self._next_completion is not None:
            self._next_completion.cancel()
            self._next_completion = None
        if self._settings.reports is not None or self.congestion_slowdown > 1.0:
            self._busy_mean.add(self.clock.now, min(1.0, self._core_jobs / self.cores))
        self._record_crowding()
        self._rate = self._work_rate()
        running = self._core_heap
        while running and not running[0][2].running:
            heapq.heappop(running)
        if running and self._rate > 0.0:
            left = max(0.0, running[0][0] - self._attained_ms)
            self._next_completion = self.clock.after(left / self._rate, self._complete_due)

    def update_rate(self) -> None:
        """Apply a change of its speed from now on."""
        self._advance()
        self._schedule_completion()

    def _pause(self, mean_interval_ms: float) -> None:
        self._pausing = True
        self.update_rate()
        self.clock.after(as_float(self.plan.kind.pause_ms), self._resume, mean_interval_ms)

    def _resume(self, mean_interval_ms: float) -> None:
        self._pausing = False
        self.update_rate()
        self.clock.after(self._rng.expovariate(1.0 / mean_interval_ms), self._pause, mean_interval_ms)

    # ------------------------------------------------------------ congestion and cold starts

    def _record_presence(self) -> None:
        """Update the integral of request_count; call before any change of it."""
        now = self.clock.now
        self.presence_integral_ms += self.request_count * (now - self._area_at)
        self._area_at = now

    def _record_crowding(self) -> None:
        """Update the mean crowding; call after any change of running or queued jobs."""
        if self._checking:
            self._crowding_mean.add(self.clock.now, self._crowding())

    def _start_checking(self) -> None:
        """Start periodic checks once it is crowded, so that the many other servers cost nothing."""
        slowing = self._settings.slowing
        if slowing is None or self._checking:
            return
        if self._crowding() > self._crowding_limit(slowing):
            self._checking = True
            self._crowding_mean.restart(self.clock.now, self._crowding())
            self.clock.after(CHECK_INTERVAL_MS, self._check_crowding, slowing)

    def _crowding(self) -> float:
        slowing = self._settings.slowing
        waiting = len(self._queue)
        held = slowing is not None and slowing.counts == "held"
        return float(waiting + (self._slots_used if held else self._core_jobs))

    def _crowding_limit(self, slowing: Slowing) -> float:
        room = slowing.most_part * (self._slots + self._max_queued)
        return min(room, self.cores + as_float(slowing.above) * math.sqrt(self.cores))

    def _check_crowding(self, slowing: Slowing) -> None:
        if not self.alive:
            self._checking = False
            return
        if self.congestion_slowdown > 1.0:
            self._recover(slowing)
            return
        mean = self._crowding_mean.over(self.clock.now, 1000.0 * as_float(slowing.for_s))
        if mean is not None and mean > self._crowding_limit(slowing):
            self.congestion_slowdown, self._slow_since, self._idle_ms = (
                as_float(slowing.times),
                self.clock.now,
                0.0,
            )
            self.update_rate()
            self._busy_mean.restart(self.clock.now, min(1.0, self._core_jobs / self.cores))
        elif mean is not None and mean < 0.5 * self._crowding_limit(slowing):
            self._checking = False
            return
        self.clock.after(CHECK_INTERVAL_MS, self._check_crowding, slowing)

    def _recover(self, slowing: Slowing) -> None:
        self._busy_mean.add(self.clock.now, min(1.0, self._core_jobs / self.cores))
        rest = 1000.0 * as_float(slowing.rest_s)
        busy = self._busy_mean.over(self.clock.now, rest)
        over = self.clock.now - self._slow_since >= 1000.0 * as_float(slowing.most_s)
        if over or (busy is not None and busy < as_float(slowing.busy_below)):
            self.congested_ms += self.clock.now - self._slow_since
            self.congestion_slowdown = 1.0
            self.update_rate()
            self._checking = False
            self._start_checking()
            return
        self.clock.after(CHECK_INTERVAL_MS, self._check_crowding, slowing)

    def _add_cold_work(self, work_ms: float) -> None:
        """Rule 4: a cold server that is sent a multiple of its capacity over a time window collapses."""
        warmth = self.warm_fraction()
        if warmth >= 1.0:
            self._cold_work.clear()
            self._cold_work_sum = 0.0
            return
        now, settings = self.clock.now, self._settings
        self._cold_work.append((now, work_ms))
        self._cold_work_sum += work_ms
        while self._cold_work[0][0] < now - settings.fall_ms:
            self._cold_work_sum -= self._cold_work.popleft()[1]
        if (
            self._cold_work_sum
            > settings.fall_times * warmth * self.plan.speed * self.cores * settings.fall_ms
        ):
            self.collapsed = True
            self.stop()

    def _update_while_cold(self) -> None:
        if self.alive:
            self.update_rate()
            if self.warm_fraction() < 1.0:
                self.clock.after(CHECK_INTERVAL_MS, self._update_while_cold)

    # ------------------------------------------------------------ lifecycle

    def start(self, *, cold: bool = True) -> None:
        """Start a new process; nothing of the old one remains."""
        self.alive, self.vanished, self.draining, self.hung = True, False, False, False
        self.started_ms = max(self.clock.now, 1e-3) if cold else 0.0
        self.congestion_slowdown = 1.0
        self.connections = 0
        self._advanced_at = self.clock.now
        self._update_while_cold()

    def stop(self, *, silent: bool = False) -> None:
        """End the process; silent: without closing its connections, as when its machine fails."""
        self.alive, self.vanished = False, silent
        self._record_presence()
        self._queue.clear()
        for job in list(self._jobs.values()):
            if job.held:
                self._remove(job)
            else:
                self._remove_queued(job)
            job.call.on_abandoned()
            if not silent:
                job.call.answer(Outcome.RESET, ())

    def littles_law_error(self) -> float:
        """Relative error of Little's law: integral of request_count against the sum of sojourn times.

        0 except for rounding in any correct run.
        """
        self._record_presence()
        by_each = self.total_sojourn_ms + sum(self.clock.now - at for at in self._arrived_at.values())
        return abs(self.presence_integral_ms - by_each) / max(by_each, 1.0)

    def _remove_queued(self, job: Job) -> None:
        job.ended = True
        self._record_presence()
        self.total_sojourn_ms += self.clock.now - self._arrived_at.pop(job)
        del self._jobs[job.call]

    # ------------------------------------------------------------ list entry and load reports

    def list_entry(self, *, tells_capacity: bool) -> ServerEntry:
        """Its entry in the server list."""
        plan = self.plan
        return ServerEntry(
            self.name,
            capacity_hint=as_float(plan.kind.speed) * plan.kind.cores if tells_capacity else 1.0,
            kind=plan.kind_index,
            zone=plan.zone,
            cell=plan.cell,
            started_ms=self.started_ms,
        )

    def _make_report(self) -> None:
        reports = self._settings.reports
        assert reports is not None
        now = self.clock.now
        self._busy_mean.add(now, min(1.0, self._core_jobs / self.cores))
        busy = self._busy_mean.over(now, 1000.0) or 0.0
        noise = as_float(reports.noise)
        report = tuple(
            max(0.0, x * (1.0 + self._rng.gauss(0.0, noise))) for x in (busy, float(self.request_count))
        )
        self._pending_reports.append((now + as_float(reports.delay_ms) + self.extra_report_delay_ms, report))
        self.clock.after(self._period, self._make_report)

    def _latest_report(self) -> tuple[float, ...]:
        while self._pending_reports and self._pending_reports[0][0] <= self.clock.now:
            self._current_report = self._pending_reports.popleft()[1]
        return self._current_report


class _SlidingMean:
    """Time-weighted mean of a step function over a recent span, of at most ten seconds."""

    __slots__ = ("at", "_since", "_steps", "_value")

    MAX_SPAN_MS = 10_000.0

    def __init__(self) -> None:
        self.at = 0.0
        self._since = 0.0
        self._value = 0.0
        self._steps: deque[tuple[float, float, float]] = deque()  # begin, end, value

    def restart(self, now: float, value: float) -> None:
        self.at = self._since = now
        self._value = value
        self._steps.clear()

    def add(self, now: float, value: float) -> None:
        """The value from now on."""
        if now > self.at:
            last = self._steps[-1] if self._steps else None
            if last is not None and (last[2] == self._value or now - last[0] < 0.5 * CHECK_INTERVAL_MS):
                # Merges short steps into their mean, to bound their number on a busy server.
                span = now - last[0]
                value_then = (last[2] * (last[1] - last[0]) + self._value * (now - self.at)) / span
                self._steps[-1] = (last[0], now, value_then)
            else:
                self._steps.append((self.at, now, self._value))
            while self._steps and self._steps[0][1] < now - self.MAX_SPAN_MS:
                self._steps.popleft()
        self.at, self._value = now, value

    def over(self, now: float, span_ms: float) -> float | None:
        """Mean over the last span_ms; None where the record is shorter."""
        self.add(now, self._value)
        if now - self._since < span_ms:
            return None
        low, total = now - span_ms, 0.0
        for begin, end, value in reversed(self._steps):
            if end <= low:
                break
            total += value * (end - max(begin, low))
        return total / span_ms

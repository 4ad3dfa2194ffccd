"""A modelled server: slots that are held while it waits, cores that are shared, and all that makes it slow.

Requests in their work phase share the cores equally (processor sharing); a server with as many slots as cores
is the queue of the textbooks, first come first served. Work is in milliseconds on a core of speed 1.
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
from leadrudder.experiment.draw import ServerPlan, number
from leadrudder.experiment.spec import Reports, Slowing
from leadrudder.interface import Outcome, ServerEntry

CHECK_INTERVAL_MS = 250.0  # between looks at a server that is crowded or slow, and at how warm one has become


class ServerCall(Protocol):
    """What a server must know of a call that has come in, and whom it answers."""

    @property
    def work_ms(self) -> float: ...

    @property
    def wait_ms(self) -> float: ...

    def on_started(self, server: Server) -> bool:
        """It has a slot; False where it is a repeat that is dropped, and answered at once."""

    def call_next_tier(self, server: Server, done: Callable[[bool], None]) -> None:
        """Its work here is done: make the calls to the tier behind, then tell whether all went well."""

    def answer(self, outcome: Outcome, load: tuple[float, ...]) -> None:
        """It ends here."""

    def add_work(self, work_ms: float) -> None:
        """Work that went into it."""

    def on_abandoned(self) -> None:
        """It was given up, or its server has ended: nobody waits for the tier behind any more."""


class Job:
    """A call that is here. target: of the attained work, when it is done."""

    __slots__ = ("call", "ended", "held", "running", "started", "target")

    def __init__(self, call: ServerCall) -> None:
        self.call = call
        self.ended = False
        self.held = False  # a slot
        self.running = False  # on a core
        self.started = 0.0  # attained work when it came to a core
        self.target = 0.0


@dataclass(frozen=True, slots=True)
class ServerSettings:
    """What the rules say of cold servers, and what its tier adds to a server."""

    fall_times: float = 4.0
    fall_ms: float = 1000.0
    slowing: Slowing | None = None
    reports: Reports | None = None
    connections: float = 0.0  # for each core; 0: any number
    handshake_ms: float = 0.0


class Server:
    """One server process at a time; restart makes it cold."""

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
        self._slots = int(number(kind.slots)) * kind.cores
        self._queue_most = int(number(kind.queue) * kind.cores)
        self.connections = 0  # that all nodes hold here
        self.max_connections = settings.connections * kind.cores or math.inf
        self.handshake_ms = settings.handshake_ms
        self._thrash, self._thrash_at = number(kind.thrash), number(kind.thrash_at) * kind.cores
        self._errors = number(kind.errors)
        self._queue: deque[Job] = deque()
        self._jobs: dict[ServerCall, Job] = {}
        self._held = 0
        self._running: list[tuple[float, int, Job]] = []
        self._on_cores = 0
        self._attained = 0.0  # work that a job which is on a core all the time has got
        self._at = 0.0
        self._rate = 0.0  # of attained work, a millisecond
        self._next: ScheduledCall | None = None
        self._number = 0
        self.started_ms = 0.0
        self.alive = True
        self.vanished = False
        self.draining = False
        self.collapsed = False
        self.trouble_slow = 1.0
        self.trouble_errors = 0.0
        self.hung = False
        self.stolen_cpu_share = 0.0  # part of its cores that a neighbour has
        self.extra_report_delay_ms = 0.0
        self._pausing = False
        self.congestion_slowdown = 1.0  # since it was crowded
        self.congested_ms = 0.0  # for so long in all
        self._slow_since = 0.0
        self._looking = False
        self._crowd = _SlidingMean()
        self._idle_ms = 0.0
        self._offered: deque[tuple[float, float]] = deque()  # to a cold one: when, and how much work
        self._offered_sum = 0.0
        self.total_work_ms = 0.0
        self.accepted = 0
        self.rejected = 0
        self._area_at = 0.0
        self.presence_integral_ms = 0.0  # integral of requests here, ms: for Little's law
        self.total_sojourn_ms = 0.0  # sum of times here of those that have left, ms
        self.total_queue_wait_ms = 0.0  # sum of times in the queue
        self._entered: dict[Job, float] = {}
        self._report: tuple[float, ...] = ()
        self._past: deque[tuple[float, tuple[float, ...]]] = deque()
        self._busy_mean = _SlidingMean()
        if settings.reports is not None:
            self._period = number(settings.reports.period_ms)
            clock.after(rng.uniform(0.0, self._period), self._make_report)
        every = 1000.0 * number(kind.pause_every_s)
        if every > 0.0 and number(kind.pause_ms) > 0.0:
            clock.after(rng.expovariate(1.0 / every), self._pause, every)

    # ------------------------------------------------------------ calls

    @property
    def request_count(self) -> int:
        """Requests here, in slots and in the queue."""
        return self._held + len(self._queue)

    def receive(self, call: ServerCall) -> None:
        """A call has come in whole."""
        if not self.alive:
            return
        self._load(call.work_ms)
        if not self.alive:
            return  # that pushed it over, and the call is lost with it
        if self.draining or (self._held >= self._slots and len(self._queue) >= self._queue_most):
            self.rejected += 1
            call.answer(Outcome.FULL, self._told())
            return
        self.accepted += 1
        job = Job(call)
        self._jobs[call] = job
        self._record_presence()
        self._entered[job] = self.clock.now
        if self._held < self._slots:
            self._begin(job)
        else:
            self._queue.append(job)
            self._note_crowd()
        self._watch()

    def cancel(self, call: ServerCall) -> None:
        """Its node has given it up."""
        job = self._jobs.get(call)
        how = self.plan.kind.cancels
        if job is None or how == "none" or (how == "queued" and job.held):
            return
        self._end(job)
        call.on_abandoned()

    def _begin(self, job: Job) -> None:
        self._held += 1
        job.held = True
        self._note_crowd()
        self.total_queue_wait_ms += self.clock.now - self._entered[job]
        if not job.call.on_started(self):
            self._answer(job, Outcome.OK)
        elif job.call.wait_ms > 0.0:
            self.clock.after(job.call.wait_ms, self._to_core, job)
        else:
            self._to_core(job)

    def _to_core(self, job: Job) -> None:
        if job.ended:
            return
        self._advance()
        job.running = True
        job.started = self._attained
        job.target = self._attained + job.call.work_ms
        self._number += 1
        heapq.heappush(self._running, (job.target, self._number, job))
        self._on_cores += 1
        self._plan_next()

    def _off_core(self, job: Job) -> None:
        job.running = False
        self._on_cores -= 1
        done = min(self._attained, job.target) - job.started
        self.total_work_ms += done
        job.call.add_work(done)

    def _core_done(self) -> None:
        self._advance()
        self._next = None
        done = []
        while self._running and (
            not self._running[0][2].running or self._running[0][0] <= self._attained + 1e-9
        ):
            job = heapq.heappop(self._running)[2]
            if job.running:
                self._off_core(job)
                done.append(job)
        self._plan_next()
        for job in done:
            job.call.call_next_tier(self, functools.partial(self._back, job))

    def _back(self, job: Job, well: bool) -> None:
        """The tier behind has answered."""
        self._answer(job, Outcome.OK if well else Outcome.ERROR)

    def _answer(self, job: Job, outcome: Outcome) -> None:
        if job.ended or self.hung:
            return  # one that hangs keeps what it has
        if outcome is Outcome.OK and self._rng.random() < max(self._errors, self.trouble_errors):
            outcome = Outcome.ERROR
        self._end(job)
        job.call.answer(outcome, self._told())

    def _end(self, job: Job) -> None:
        """It leaves, and the next one takes its slot."""
        job.ended = True
        self._record_presence()
        self.total_sojourn_ms += self.clock.now - self._entered.pop(job)
        del self._jobs[job.call]
        if not job.held:
            self._queue.remove(job)
            self._note_crowd()
            return
        self._held -= 1
        self._note_crowd()
        if job.running:
            self._advance()
            self._off_core(job)
            self._plan_next()
        while self._queue and self._held < self._slots:
            self._begin(self._queue.popleft())

    # ------------------------------------------------------------ cores

    def warm_fraction(self) -> float:
        """Its speed as a part of a warm one's."""
        cold_ms = 1000.0 * number(self.plan.kind.cold_s)
        age = self.clock.now - self.started_ms
        if self.started_ms <= 0.0 or age >= cold_ms:
            return 1.0
        low = number(self.plan.kind.cold_from)
        return low + (1.0 - low) * age / cold_ms

    def _pace(self) -> float:
        if not self._on_cores or self.hung or self._pausing:
            return 0.0
        each = min(1.0, self.cores * (1.0 - self.stolen_cpu_share) / self._on_cores)
        over = max(0.0, self._on_cores - self._thrash_at) / self._thrash_at
        slower = self.trouble_slow * self.congestion_slowdown * (1.0 + self._thrash * over)
        return self.plan.speed * self.warm_fraction() * each / slower

    def _advance(self) -> None:
        now = self.clock.now
        self._attained += self._rate * (now - self._at)
        self._at = now

    def _plan_next(self) -> None:
        """After any change of who is on the cores or how fast they are; _advance came before."""
        if self._next is not None:
            self._next.cancel()
            self._next = None
        if self._settings.reports is not None or self.congestion_slowdown > 1.0:
            self._busy_mean.add(self.clock.now, min(1.0, self._on_cores / self.cores))
        self._note_crowd()
        self._rate = self._pace()
        running = self._running
        while running and not running[0][2].running:
            heapq.heappop(running)
        if running and self._rate > 0.0:
            left = max(0.0, running[0][0] - self._attained)
            self._next = self.clock.after(left / self._rate, self._core_done)

    def update_rate(self) -> None:
        """Its pace is another one from now."""
        self._advance()
        self._plan_next()

    def _pause(self, every_ms: float) -> None:
        self._pausing = True
        self.update_rate()
        self.clock.after(number(self.plan.kind.pause_ms), self._resume, every_ms)

    def _resume(self, every_ms: float) -> None:
        self._pausing = False
        self.update_rate()
        self.clock.after(self._rng.expovariate(1.0 / every_ms), self._pause, every_ms)

    # ------------------------------------------------------------ crowded, slow, cold

    def _record_presence(self) -> None:
        """Before any change of how many are here."""
        now = self.clock.now
        self.presence_integral_ms += self.request_count * (now - self._area_at)
        self._area_at = now

    def _note_crowd(self) -> None:
        """After any change of how many run or wait."""
        if self._looking:
            self._crowd.add(self.clock.now, self._crowded())

    def _watch(self) -> None:
        """Look now and then while it is crowded, so that nothing is asked of the many that are not."""
        slowing = self._settings.slowing
        if slowing is None or self._looking:
            return
        if self._crowded() > self._limit(slowing):
            self._looking = True
            self._crowd.restart(self.clock.now, self._crowded())
            self.clock.after(CHECK_INTERVAL_MS, self._look, slowing)

    def _crowded(self) -> float:
        slowing = self._settings.slowing
        waiting = len(self._queue)
        held = slowing is not None and slowing.counts == "held"
        return float(waiting + (self._held if held else self._on_cores))

    def _limit(self, slowing: Slowing) -> float:
        room = slowing.most_part * (self._slots + self._queue_most)
        return min(room, self.cores + number(slowing.above) * math.sqrt(self.cores))

    def _look(self, slowing: Slowing) -> None:
        if not self.alive:
            self._looking = False
            return
        if self.congestion_slowdown > 1.0:
            self._recover(slowing)
            return
        mean = self._crowd.over(self.clock.now, 1000.0 * number(slowing.for_s))
        if mean is not None and mean > self._limit(slowing):
            self.congestion_slowdown, self._slow_since, self._idle_ms = (
                number(slowing.times),
                self.clock.now,
                0.0,
            )
            self.update_rate()
            self._busy_mean.restart(self.clock.now, min(1.0, self._on_cores / self.cores))
        elif mean is not None and mean < 0.5 * self._limit(slowing):
            self._looking = False
            return
        self.clock.after(CHECK_INTERVAL_MS, self._look, slowing)

    def _recover(self, slowing: Slowing) -> None:
        self._busy_mean.add(self.clock.now, min(1.0, self._on_cores / self.cores))
        rest = 1000.0 * number(slowing.rest_s)
        busy = self._busy_mean.over(self.clock.now, rest)
        over = self.clock.now - self._slow_since >= 1000.0 * number(slowing.most_s)
        if over or (busy is not None and busy < number(slowing.busy_below)):
            self.congested_ms += self.clock.now - self._slow_since
            self.congestion_slowdown = 1.0
            self.update_rate()
            self._looking = False
            self._watch()
            return
        self.clock.after(CHECK_INTERVAL_MS, self._look, slowing)

    def _load(self, work_ms: float) -> None:
        """Rule 4: a cold server that is sent several times what it can do for a while falls over."""
        warmth = self.warm_fraction()
        if warmth >= 1.0:
            self._offered.clear()
            self._offered_sum = 0.0
            return
        now, settings = self.clock.now, self._settings
        self._offered.append((now, work_ms))
        self._offered_sum += work_ms
        while self._offered[0][0] < now - settings.fall_ms:
            self._offered_sum -= self._offered.popleft()[1]
        if self._offered_sum > settings.fall_times * warmth * self.plan.speed * self.cores * settings.fall_ms:
            self.collapsed = True
            self.stop()

    def _warm_up(self) -> None:
        if self.alive:
            self.update_rate()
            if self.warm_fraction() < 1.0:
                self.clock.after(CHECK_INTERVAL_MS, self._warm_up)

    # ------------------------------------------------------------ life

    def start(self, *, cold: bool = True) -> None:
        """A new process. Anything of the old one is gone."""
        self.alive, self.vanished, self.draining, self.hung = True, False, False, False
        self.started_ms = max(self.clock.now, 1e-3) if cold else 0.0
        self.congestion_slowdown = 1.0
        self.connections = 0
        self._at = self.clock.now
        self._warm_up()

    def stop(self, *, silent: bool = False) -> None:
        """The process ends; silent: nobody is told, as when its machine is gone."""
        self.alive, self.vanished = False, silent
        self._record_presence()
        self._queue.clear()
        for job in list(self._jobs.values()):
            if job.held:
                self._end(job)
            else:
                self._drop(job)
            job.call.on_abandoned()
            if not silent:
                job.call.answer(Outcome.RESET, ())

    def littles_law_error(self) -> float:
        """By Little's law: time that requests were here, by what the clock saw and by what each of them took.

        Returns their difference as a part of it: 0 but for rounding, in any run.
        """
        self._record_presence()
        by_each = self.total_sojourn_ms + sum(self.clock.now - at for at in self._entered.values())
        return abs(self.presence_integral_ms - by_each) / max(by_each, 1.0)

    def _drop(self, job: Job) -> None:
        job.ended = True
        self._record_presence()
        self.total_sojourn_ms += self.clock.now - self._entered.pop(job)
        del self._jobs[job.call]

    # ------------------------------------------------------------ what it tells

    def list_entry(self, *, tells_capacity: bool) -> ServerEntry:
        """Its row of the list."""
        plan = self.plan
        return ServerEntry(
            self.name,
            capacity_hint=number(plan.kind.speed) * plan.kind.cores if tells_capacity else 1.0,
            kind=plan.kind_index,
            zone=plan.zone,
            cell=plan.cell,
            started_ms=self.started_ms,
        )

    def _make_report(self) -> None:
        reports = self._settings.reports
        assert reports is not None
        now = self.clock.now
        self._busy_mean.add(now, min(1.0, self._on_cores / self.cores))
        busy = self._busy_mean.over(now, 1000.0) or 0.0
        noise = number(reports.noise)
        told = tuple(
            max(0.0, x * (1.0 + self._rng.gauss(0.0, noise))) for x in (busy, float(self.request_count))
        )
        self._past.append((now + number(reports.delay_ms) + self.extra_report_delay_ms, told))
        self.clock.after(self._period, self._make_report)

    def _told(self) -> tuple[float, ...]:
        while self._past and self._past[0][0] <= self.clock.now:
            self._report = self._past.popleft()[1]
        return self._report


class _SlidingMean:
    """The mean of a stepped figure over the latest time, from samples kept for ten seconds at most."""

    __slots__ = ("at", "_since", "_steps", "_value")

    KEPT_MS = 10_000.0

    def __init__(self) -> None:
        self.at = 0.0
        self._since = 0.0
        self._value = 0.0
        self._steps: deque[tuple[float, float, float]] = deque()  # from, to, value

    def restart(self, now: float, value: float) -> None:
        self.at = self._since = now
        self._value = value
        self._steps.clear()

    def add(self, now: float, value: float) -> None:
        """The figure is this from now."""
        if now > self.at:
            last = self._steps[-1] if self._steps else None
            if last is not None and (last[2] == self._value or now - last[0] < 0.5 * CHECK_INTERVAL_MS):
                # Short steps are merged into their mean, so that a busy server keeps a bounded number.
                span = now - last[0]
                value_then = (last[2] * (last[1] - last[0]) + self._value * (now - self.at)) / span
                self._steps[-1] = (last[0], now, value_then)
            else:
                self._steps.append((self.at, now, self._value))
            while self._steps and self._steps[0][1] < now - self.KEPT_MS:
                self._steps.popleft()
        self.at, self._value = now, value

    def over(self, now: float, span_ms: float) -> float | None:
        """Its mean over the last so many milliseconds; None where less is known."""
        self.add(now, self._value)
        if now - self._since < span_ms:
            return None
        low, total = now - span_ms, 0.0
        for begin, end, value in reversed(self._steps):
            if end <= low:
                break
            total += value * (end - max(begin, low))
        return total / span_ms

"""Callers: arrivals, time-outs, retries and back-off."""

from __future__ import annotations

import csv
import math
import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from leadrudder.experiment.clock import Clock, ScheduledCall
from leadrudder.experiment.draw import as_float, sample_unit_mean, sample_work_ms
from leadrudder.experiment.figures import FigureRecorder
from leadrudder.experiment.fleet import Fleet
from leadrudder.experiment.node import Answer, NodeEndpoint, OpenRequest, Operation, RequestSpec
from leadrudder.experiment.spec import File

ROUGH_HINT_VARIATION, GOOD_HINT_VARIATION = 0.6, 0.1  # coefficients of variation of cost hints


class TraceError(Exception):
    """A trace that cannot be played; the message names its line."""


@dataclass(frozen=True, slots=True)
class TraceRequest:
    """One request of a trace."""

    at_ms: float
    class_index: int
    work_ms: float
    tenant: int


def read_trace(path: Path, file: File) -> list[TraceRequest]:
    """Read a CSV with the columns at_ms, class, work_ms and, if there are tenants, tenant; sorted by time."""
    classes = {c.name: i for i, c in enumerate(file.request_class)}
    tenants = {t.name: i for i, t in enumerate(file.tenant)} or {"": 0}
    asked: list[TraceRequest] = []
    try:
        with path.open(newline="", encoding="utf-8") as rows:
            for row in csv.DictReader(rows):
                try:
                    request = TraceRequest(
                        float(row["at_ms"]),
                        classes[row["class"]],
                        float(row["work_ms"]),
                        tenants[row.get("tenant") or next(iter(tenants))],
                    )
                except (KeyError, TypeError, ValueError) as error:
                    raise TraceError(f"{path}:{len(asked) + 2}: cannot be read: {error}") from None
                if not (0.0 <= request.at_ms < math.inf and 0.0 < request.work_ms < 1e9):
                    raise TraceError(f"{path}:{len(asked) + 2}: at_ms or work_ms is out of range")
                if asked and request.at_ms < asked[-1].at_ms:
                    raise TraceError(f"{path}:{len(asked) + 2}: is earlier than the line before")
                asked.append(request)
    except (OSError, UnicodeDecodeError, csv.Error) as error:
        raise TraceError(f"{path}: cannot be read: {error}") from None
    if not asked:
        raise TraceError(f"{path}: holds no requests")
    return asked


class TenantQuotas:
    """Token buckets that tell whether a tenant is within its quota; each holds one second at its rate."""

    def __init__(self, rates: list[float]) -> None:
        self._rates = rates
        self._tokens = list(rates)
        self._at = [0.0] * len(rates)

    def try_take(self, tenant: int, now: float, units: float) -> bool:
        rate = self._rates[tenant]
        self._tokens[tenant] = min(rate, self._tokens[tenant] + rate * (now - self._at[tenant]) / 1000.0)
        self._at[tenant] = now
        if self._tokens[tenant] < units:
            return False
        self._tokens[tenant] -= units
        return True


class Callers:
    """All callers of a run. load_factor: multiplies the rate while a burst lasts."""

    def __init__(
        self,
        clock: Clock,
        file: File,
        fleet: Fleet,
        figures: FigureRecorder,
        seed: str,
        trace: list[TraceRequest],
    ) -> None:
        self._clock, self._file, self._fleet, self._figures = clock, file, fleet, figures
        self._arrivals = random.Random(f"{seed}/arrivals")
        self._works = random.Random(f"{seed}/works")
        self._rng = random.Random(f"{seed}/callers")
        self.load_factor = 1.0
        self._trace = trace
        self._count = 0
        self._classes = file.request_class
        self._class_weights = [c.part for c in file.request_class]
        usage = [t.share * as_float(t.usage) for t in file.tenant] or [1.0]
        self._tenant_weights = usage
        shape, load = fleet.shape, file.load
        quota = shape.capacity_per_s * as_float(load.quota_of_capacity)
        self._quotas = TenantQuotas([t.share * quota for t in file.tenant]) if file.tenant else None
        self._rate = self._rate_per_ms()
        self._swing = as_float(load.swing)
        self._burst_switches = list(self._plan_bursts(random.Random(f"{seed}/bursts")))
        self._burst_index = 0
        self._client_ms = as_float(file.fleet.network.client_ms)
        callers = file.callers
        self._mean_retries, self._patience = as_float(callers.tries), callers.patience
        self._back_off, self._honour_share = as_float(callers.back_off_ms), as_float(callers.honour)
        self._notice_ms = 1000.0 * as_float(callers.notice_s)
        self._excluded: dict[int, float] = {}  # front nodes known to be down, and until when
        # Empty: all front nodes get equal shares.
        self._node_weights = self._draw_weights(random.Random(f"{seed}/hot"))

    def _draw_weights(self, rng: random.Random) -> list[float]:
        nodes = len(self._fleet.front_nodes)
        hot = round(as_float(self._file.fleet.hot) * nodes)
        weights = [as_float(self._file.fleet.hot_times)] * hot + [1.0] * (nodes - hot)
        rng.shuffle(weights)
        return weights if hot else []

    def _rate_per_ms(self) -> float:
        load = self._file.load
        if load.per_s is not None:
            return load.per_s / 1000.0
        if load.of_capacity is not None:
            return as_float(load.of_capacity) * self._fleet.shape.capacity_per_s / 1000.0
        return 0.0

    def start(self) -> None:
        load = self._file.load
        if load.form == "closed":
            for _ in range(load.callers):
                self._think()
        elif load.form == "trace":
            self._replay(0)
        else:
            self._schedule_arrival()

    # ------------------------------------------------------------ arrivals

    def _plan_bursts(self, rng: random.Random) -> Iterator[float]:
        """Times at which the load switches between low and high, half a period apart in the mean."""
        at, end = 0.0, 1000.0 * self._file.length_s
        while at < end:
            at += 1000.0 * self._file.load.period_s * rng.uniform(0.25, 0.75)
            yield at

    def load_level(self, now: float) -> float:
        """The load as a multiple of its mean."""
        load = self._file.load
        if load.shape == "wave":
            return 1.0 + self._swing * math.sin(2.0 * math.pi * now / (1000.0 * load.period_s))
        if load.shape == "bursty":
            while (
                self._burst_index < len(self._burst_switches)
                and self._burst_switches[self._burst_index] <= now
            ):
                self._burst_index += 1
            return 1.0 + (self._swing if self._burst_index % 2 else -self._swing)
        return 1.0

    def _schedule_arrival(self) -> None:
        """Schedule the next arrival of a Poisson stream, thinned to the present load level."""
        max_rate = self._rate * (1.0 + self._swing)
        at = self._clock.now
        end = 1000.0 * self._file.length_s
        # A burst takes effect at the next arrival.
        gap = self._arrivals.expovariate(max_rate * max(1.0, self.load_factor))
        accept = self._arrivals.random() * max_rate * max(1.0, self.load_factor)
        if at + gap < end:
            self._clock.after(gap, self._arrive, accept)

    def _arrive(self, accept: float) -> None:
        if accept < self._rate * self.load_level(self._clock.now) * self.load_factor:
            self._start_operation(self._draw())
        self._schedule_arrival()

    def _think(self, _: Operation | None = None) -> None:
        mean = self._file.load.think_ms
        self._clock.after(self._arrivals.expovariate(1.0 / mean) if mean else 0.0, self._start_drawn)

    def _start_drawn(self) -> None:
        if self._clock.now < 1000.0 * self._file.length_s:
            self._start_operation(self._draw())

    def _replay(self, index: int) -> None:
        if index >= len(self._trace):
            return
        asked = self._trace[index]
        self._clock.after(asked.at_ms - self._clock.now, self._replay_one, index)

    def _replay_one(self, index: int) -> None:
        asked = self._trace[index]
        if asked.at_ms < 1000.0 * self._file.length_s:
            self._start_operation((asked.class_index, asked.tenant, asked.work_ms, 1.0))
            self._replay(index + 1)

    def _draw(self) -> tuple[int, int, float, float]:
        """Draw the class, the tenant, the work in ms, and the error factor of the cost hint."""
        rng = self._works
        index = rng.choices(range(len(self._classes)), self._class_weights)[0]
        tenant = rng.choices(range(len(self._tenant_weights)), self._tenant_weights)[0]
        work = sample_work_ms(rng, self._classes[index])
        hints = self._file.load.hints
        hint_error = (
            sample_unit_mean(
                rng, "lognormal", GOOD_HINT_VARIATION if hints == "good" else ROUGH_HINT_VARIATION
            )
            if hints != "none"
            else 1.0
        )
        return index, tenant, work, hint_error

    # ------------------------------------------------------------ one operation

    def _start_operation(self, drawn: tuple[int, int, float, float]) -> None:
        index, tenant, work, hint_error = drawn
        now, load, shape = self._clock.now, self._file.load, self._fleet.shape
        kind = self._classes[index]
        units = work / as_float(kind.work_ms)
        worth = kind.worth * (work / shape.mean_work_ms if load.worth_by_work else 1.0)
        if self._quotas is not None and not self._quotas.try_take(tenant, now, work / shape.mean_work_ms):
            worth *= load.over_share_worth
        self._count += 1
        operation = Operation(self._count, index, tenant, worth, now, units)
        waits = as_float(kind.wait_ms)
        wait = sample_unit_mean(self._works, "exponential", 1.0) * waits if waits else 0.0
        ask = RequestSpec(
            index,
            0.0,
            tenant,
            self._count,
            work * hint_error if load.hints != "none" else None,
            tuple(work * part for part in shape.work_shares),
            tuple(wait * part for part in shape.work_shares),
            operation,
        )
        mean_retries = self._mean_retries
        tries = int(mean_retries) + (self._rng.random() < mean_retries - int(mean_retries))
        self._figures.record_request(operation)
        self._start_try(ask, tries, self._rng.random() < self._honour_share)

    def _start_try(self, ask: RequestSpec, left: int, honours_retry_after: bool) -> None:
        kind = self._classes[ask.class_index]
        operation = ask.operation
        operation.tries += 1
        patience = as_float(self._patience) * kind.deadline_ms
        tried = _Try(self, ask, left, honours_retry_after, patience)
        self._clock.after(self._client_ms, tried.send)

    def pick_node(self) -> tuple[int, NodeEndpoint]:
        """Choose a front node that is not known to be down."""
        front, now = self._fleet.front_nodes, self._clock.now
        usable: Sequence[int] = range(len(front))
        if self._excluded:
            self._excluded = {i: until for i, until in self._excluded.items() if until > now}
            usable = [i for i in usable if i not in self._excluded] or usable
        if self._node_weights:
            index = self._rng.choices(usable, [self._node_weights[i] for i in usable])[0]
        else:
            index = self._rng.choice(usable)
        return index, front[index]

    def exclude_node(self, index: int, until: float) -> None:
        """Send nothing to a node until then: callers have noticed that it is down."""
        self._excluded[index] = until

    @property
    def notice_ms(self) -> float:
        return self._notice_ms

    def ended(self, tried: _Try, answer: Answer) -> None:
        """A try has ended, with an answer or by its time-out: retry or end the operation."""
        ask, operation = tried.ask, tried.ask.operation
        if answer.what == "served":
            self._figures.record_end(operation, "served")
            self._operation_ended(operation)
            return
        kind = self._classes[ask.class_index]
        may_retry = answer.what in ("refused", "unreachable") or kind.effect != "unsafe"
        if tried.left > 0 and may_retry:
            wait = self._back_off * (2.0 ** (operation.tries - 1) if self._file.callers.doubles else 1.0)
            wait *= self._rng.uniform(0.5, 1.5)
            if answer.retry_after_ms > 0.0 and tried.honours_retry_after:
                wait = answer.retry_after_ms
            self._clock.after(wait, self._start_try, ask, tried.left - 1, tried.honours_retry_after)
            return
        self._figures.record_end(operation, answer.what)
        self._operation_ended(operation)

    def _operation_ended(self, operation: Operation) -> None:
        if self._file.load.form == "closed":
            self._think(operation)


class _Try:
    """One try of a caller."""

    __slots__ = (
        "_callers",
        "_done",
        "_node",
        "_open_request",
        "_timer",
        "ask",
        "honours_retry_after",
        "left",
        "patience",
    )

    def __init__(
        self, callers: Callers, ask: RequestSpec, left: int, honours_retry_after: bool, patience: float
    ) -> None:
        self._callers = callers
        self.ask, self.left, self.honours_retry_after, self.patience = (
            ask,
            left,
            honours_retry_after,
            patience,
        )
        self._node: NodeEndpoint | None = None
        self._open_request: OpenRequest | None = None
        self._timer: ScheduledCall | None = None
        self._done = False

    def send(self) -> None:
        callers = self._callers
        clock = callers._clock
        _, node = callers.pick_node()
        self._timer = clock.after(self.patience, self._time_out)
        if not node.alive:
            clock.after(callers._client_ms, self._end, Answer("unreachable"))
            return
        self._node = node
        ask = self.ask
        spec = RequestSpec(
            ask.class_index,
            self.patience,
            ask.tenant,
            ask.key,
            ask.cost_hint_ms,
            ask.tier_work_ms,
            ask.tier_wait_ms,
            ask.operation,
        )
        self._open_request = node.submit(spec, self._answered)

    def _answered(self, answer: Answer) -> None:
        self._callers._clock.after(self._callers._client_ms, self._end, answer)

    def _time_out(self) -> None:
        if self._done:
            return
        if self._node is not None and self._open_request is not None:
            self._node.abandon(self._open_request)
        self._end(Answer("none"))

    def _end(self, answer: Answer) -> None:
        if self._done:
            return
        self._done = True
        if self._timer is not None:
            self._timer.cancel()
        self._node = self._open_request = (
            None  # breaks reference cycles, which would leave all three to the garbage collector
        )
        self._callers.ended(self, answer)

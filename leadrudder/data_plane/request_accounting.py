"""Accounting of client requests: deadline check, metrics and the maintenance ledger."""

from __future__ import annotations

from collections.abc import Callable

from leadrudder.configuration.items import Route
from leadrudder.data_plane.load_balancer import ClientRequest
from leadrudder.maintenance.ledger import Ledger, epoch_of
from leadrudder.observability.invariants import Invariants
from leadrudder.observability.traffic import AnswerClass, TrafficCounters
from leadrudder.protocol.outcome import Executed, RequestFailure, ServerResponse

DEADLINE_TOLERANCE_S = 0.5  # after its deadline, by which every request must have been answered


def classify_answer(result: ServerResponse | RequestFailure, took_ms: float, target_ms: float) -> AnswerClass:
    """The metric category of a client's answer."""
    if isinstance(result, RequestFailure):
        return AnswerClass.REFUSED if result.ran is Executed.NEVER else AnswerClass.FAILED
    if not 200 <= result.status < 300:
        return AnswerClass.FAILED
    return AnswerClass.IN_TARGET if took_ms <= target_ms else AnswerClass.LATE


class RequestAccounting:
    """now: event loop time in seconds; wall: Unix time in seconds; lag_s: delay of the event loop.

    ledger: None if maintenance windows are disabled; log: takes a line for the log buffer.
    """

    def __init__(
        self,
        traffic: TrafficCounters,
        invariants: Invariants,
        ledger: Ledger | None,
        *,
        now: Callable[[], float],
        wall: Callable[[], float],
        lag_s: Callable[[], float],
        log: Callable[[str], None],
    ) -> None:
        self._traffic, self._invariants, self._ledger = traffic, invariants, ledger
        self._now, self._wall, self._lag_s, self._log = now, wall, lag_s, log

    def track(self, route: Route, service: str, client_request: ClientRequest) -> None:
        """Record the start of a request, and its answer when it comes."""
        on_answer = client_request.on_answer
        client_request.started_at = self._now()
        if self._ledger is not None:
            client_request.epoch = epoch_of(self._wall())

        def record_answer(result: ServerResponse | RequestFailure) -> None:
            took_ms = 1000.0 * (self._now() - client_request.started_at)
            self._traffic.answered[classify_answer(result, took_ms, route.target_ms)] += 1
            self._check_deadline(client_request)
            if self._ledger is not None:
                self._record_in_ledger(self._ledger, route, service, client_request, result, took_ms)
            on_answer(result)

        client_request.on_answer = record_answer

    def _check_deadline(self, client_request: ClientRequest) -> None:
        """Invariant: an answer is no later than the tolerance and the event loop's own delay allow."""
        over_s = self._now() - client_request.deadline
        self._invariants.check(
            "answered_by_its_deadline",
            over_s <= DEADLINE_TOLERANCE_S + self._lag_s(),
            lambda: (
                f"{client_request.attempt_id.decode('latin-1')} answered {over_s:.3f} s after its deadline"
            ),
        )

    def _record_in_ledger(
        self,
        ledger: Ledger,
        route: Route,
        service: str,
        client_request: ClientRequest,
        result: ServerResponse | RequestFailure,
        took_ms: float,
    ) -> None:
        request_id = client_request.attempt_id.decode("latin-1")
        ledger.record_answer(service, client_request.epoch, route.at_most_once, request_id, result, took_ms)
        if route.at_most_once and isinstance(result, RequestFailure) and result.ran is not Executed.NEVER:
            self._log(f"in doubt: {request_id} of {route.name}: {result.why}")

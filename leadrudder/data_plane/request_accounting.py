"""What becomes of each client request: held against its deadline, counted, and entered in the ledger."""

from __future__ import annotations

from collections.abc import Callable

from leadrudder.configuration.items import Route
from leadrudder.data_plane.load_balancer import Errand
from leadrudder.maintenance.ledger import Ledger, epoch_of
from leadrudder.observability.invariants import Invariants
from leadrudder.observability.traffic import Answered, Traffic
from leadrudder.protocol.outcome import Ran, Reply, Verdict

ANSWERED_LATE_S = 0.5  # after its deadline, by which a request is answered in any case


def how_answered(what: Reply | Verdict, took_ms: float, target_ms: float) -> Answered:
    """What a client's answer counts as."""
    if isinstance(what, Verdict):
        return Answered.REFUSED if what.ran is Ran.NEVER else Answered.FAILED
    if not 200 <= what.status < 300:
        return Answered.FAILED
    return Answered.IN_TARGET if took_ms <= target_ms else Answered.LATE


class RequestAccounting:
    """now: seconds of the event loop; wall: Unix time; lag_s: by how much this process is behind.

    ledger: None where maintenance windows are off; note: takes a line for the log's ring.
    """

    def __init__(
        self,
        traffic: Traffic,
        invariants: Invariants,
        ledger: Ledger | None,
        *,
        now: Callable[[], float],
        wall: Callable[[], float],
        lag_s: Callable[[], float],
        note: Callable[[str], None],
    ) -> None:
        self._traffic, self._invariants, self._ledger = traffic, invariants, ledger
        self._now, self._wall, self._lag_s, self._note = now, wall, lag_s, note

    def begin(self, route: Route, service: str, errand: Errand) -> None:
        """A request begins: from here on its answer is accounted for."""
        answered = errand.answered
        errand.began = self._now()
        if self._ledger is not None:
            errand.epoch = epoch_of(self._wall())

        def accounted(what: Reply | Verdict) -> None:
            took_ms = 1000.0 * (self._now() - errand.began)
            self._traffic.answered[how_answered(what, took_ms, route.target_ms)] += 1
            self._check_deadline(errand)
            if self._ledger is not None:
                self._enter(self._ledger, route, service, errand, what, took_ms)
            answered(what)

        errand.answered = accounted

    def _check_deadline(self, errand: Errand) -> None:
        """A request outlives its deadline by no more than this process itself was held up."""
        over_s = self._now() - errand.deadline
        self._invariants.check(
            "answered_by_its_deadline",
            over_s <= ANSWERED_LATE_S + self._lag_s(),
            lambda: f"{errand.attempt_id.decode('latin-1')} answered {over_s:.3f} s after its deadline",
        )

    def _enter(
        self,
        ledger: Ledger,
        route: Route,
        service: str,
        errand: Errand,
        what: Reply | Verdict,
        took_ms: float,
    ) -> None:
        name = errand.attempt_id.decode("latin-1")
        ledger.record_answer(service, errand.epoch, route.at_most_once, name, what, took_ms)
        if route.at_most_once and isinstance(what, Verdict) and what.ran is not Ran.NEVER:
            self._note(f"in doubt: {name} of {route.name}: {what.why}")

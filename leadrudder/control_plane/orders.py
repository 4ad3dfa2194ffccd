"""Orders: writes of operators that carry no version, such as the evacuation of a zone.

Each order takes the version after the newest one, so its place among other orders is decided here.  It takes
one only while its caller waits: later, it might come after orders that were given after it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum

from leadrudder.bootstrap.log_buffer import LogBuffer
from leadrudder.configuration.item_store import ItemStore
from leadrudder.consensus.outputs import Answer, ResultCode
from leadrudder.observability.metrics import Metrics
from leadrudder.protocol.mesh_pb2 import Item
from leadrudder.transport.api_server import ApiRequest, ApiResponse

# The caller, if it still waits, sends the order again; on a new connection it is certain to be in time.
LATE_RESPONSE = ApiResponse(
    503, b"the order may be late: send it again\n", b"Retry-After: 0.2\r\n", close=True
)


class OrderResult(StrEnum):
    """How an order ended."""

    COMMITTED = "committed"  # a majority has it under a version of its own
    NO_MAJORITY = "no_majority"
    TOO_LATE = "too_late"  # the caller may have given up; the order has no effect


@dataclass(slots=True)
class OrderCounters:
    """Counters since the start of the process.

    conflicts: versions that another order had taken.
    highest_age_s: the longest that an order may have been on its way before it took a version, in seconds.
    """

    results: Counter[str] = field(default_factory=Counter)
    conflicts: int = 0
    highest_age_s: float = 0.0

    def register_metrics(self, metrics: Metrics) -> None:
        metrics.add_labelled("orders_total", "result", lambda: self.results)
        metrics.add("order_conflicts_total", lambda: self.conflicts)
        metrics.add("order_age_highest_seconds", lambda: self.highest_age_s)


class OrderExecutor:
    """Carries out orders.  committed_items: this process's view of the control state.

    commit: writes items to a majority.
    """

    def __init__(
        self,
        committed_items: Callable[[], ItemStore],
        commit: Callable[[list[Item]], Awaitable[Answer]],
        log_buffer: LogBuffer,
    ) -> None:
        self._committed_items, self._commit, self._log_buffer = committed_items, commit, log_buffer
        self.counters = OrderCounters()

    async def execute(self, call: ApiRequest, key: str, value: bytes) -> OrderResult:
        """Give an item a value under the next version."""
        known = self._committed_items().items.get(key)
        while True:
            # Always a version of its own, also for the value in force: one replica may have accepted an
            # earlier order without an answer, which must not come into force after this one.
            version = 1 if known is None else known.version + 1
            # After the choice of the version: if the process stands still from here on, the version is old.
            if not self._caller_waits(call, key, version):
                return self._record_result(key, version, OrderResult.TOO_LATE)
            answer = await self._commit([Item(key=key, version=version, value=value)])
            if answer.code is ResultCode.DONE:
                return self._record_result(key, version, OrderResult.COMMITTED)
            if answer.code is not ResultCode.CONFLICT:
                return self._record_result(key, version, OrderResult.NO_MAJORITY)
            self.counters.conflicts += 1
            known = next((item for item in answer.items if item.key == key), None)

    def _caller_waits(self, call: ApiRequest, key: str, version: int) -> bool:
        age_s = call.caller.max_age_s()
        self.counters.highest_age_s = max(self.counters.highest_age_s, age_s)
        waits = call.caller.still_waits()
        self._log_buffer.record(
            f"order {call.method} {key}: {'takes' if waits else 'caller has given up, does not take'} "
            f"version {version}, sent at most {age_s:.3f} s ago"
        )
        return waits

    def _record_result(self, key: str, version: int, result: OrderResult) -> OrderResult:
        self.counters.results[result] += 1
        self._log_buffer.record(f"order for {key}: version {version} {result}")
        return result

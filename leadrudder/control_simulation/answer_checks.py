"""What operators of a simulated control plane have been told, and the invariants that follow from it.

An acknowledged item is in every later read, a refused one is never committed, one version has one value, and
all answers fit one order of events. Times are seconds.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from leadrudder.configuration.item_store import ItemStore
from leadrudder.configuration.items import SEQUENTIAL_PREFIXES
from leadrudder.consensus.outputs import Answer, ResultCode
from leadrudder.control_simulation.linearizability import Operation, Outcome, Register, non_linearizable_keys
from leadrudder.protocol.mesh_pb2 import Item


@dataclass(frozen=True, slots=True)
class AcknowledgedVersion:
    """A version that was confirmed to an operator, and when."""

    at_s: float
    key: str
    version: int


@dataclass(slots=True)
class ChangeRecord:
    """A change that was submitted: its items and, until there is a clear answer, their open operations."""

    items: list[Item]
    start_s: float
    open_operations: list[Operation]


@dataclass(slots=True)
class AnswerChecks:
    """Everything that was committed or answered so far.  fail: reports a violated invariant."""

    fail: Callable[[str], None]
    committed_values: dict[tuple[str, int], bytes] = field(default_factory=dict)  # by key and version
    refused_values: set[tuple[str, int, bytes]] = field(default_factory=set)
    latest_acknowledged: dict[str, Item] = field(default_factory=dict)
    acknowledgements: list[AcknowledgedVersion] = field(default_factory=list)  # in order of time
    history: list[Operation] = field(default_factory=list)  # changes and reads, as operators see them

    def on_committed(self, address: str, item: Item) -> None:
        """A machine has committed an item."""
        value = stored_value(item)
        committed = self.committed_values.setdefault((item.key, item.version), value)
        if committed != value:
            self.fail(f"{item.key} version {item.version} is committed with two values, at {address}")
        if (item.key, item.version, item.value) in self.refused_values:
            self.fail(f"{item.key} version {item.version} is committed though it was refused")

    def on_change(self, items: list[Item], now: float) -> ChangeRecord:
        """An operator submits a change."""
        change = ChangeRecord(
            items, now, [_operation(item, Outcome.UNKNOWN, now, math.inf) for item in items]
        )
        self.history += change.open_operations
        return change

    def on_change_answer(self, change: ChangeRecord, answer: Answer, now: float) -> None:
        """The operator of a change has its answer."""
        outcome = _outcome(answer, change.items)
        if outcome is not Outcome.UNKNOWN:
            for operation in change.open_operations:
                self.history.remove(operation)
            self.history += [_operation(item, outcome, change.start_s, now) for item in change.items]
        if answer.code is ResultCode.DONE:
            for item in change.items:
                self._acknowledge(item, now)
        elif answer.code is ResultCode.CONFLICT:
            self._refuse(change.items)

    def _acknowledge(self, item: Item, now: float) -> None:
        self.acknowledgements.append(AcknowledgedVersion(now, item.key, item.version))
        previous = self.latest_acknowledged.get(item.key)
        if previous is None or item.version > previous.version:
            self.latest_acknowledged[item.key] = item

    def _refuse(self, items: Iterable[Item]) -> None:
        """A change was refused: no item of it may be committed, before or afterwards.

        Removals are skipped: another operator's removal with the same version looks the same.
        """
        for item in items:
            if item.dropped or item.key.startswith(SEQUENTIAL_PREFIXES):
                continue
            self.refused_values.add((item.key, item.version, item.value))
            if self.committed_values.get((item.key, item.version)) == stored_value(item):
                self.fail(f"{item.key} version {item.version} was refused and is committed")

    def on_read_answer(
        self, address: str, answer: Answer, required: dict[str, Item], start_s: float, now: float
    ) -> None:
        """A read that was sent at start_s has its answer.  required: what was acknowledged by then."""
        if answer.code is not ResultCode.DONE:
            return
        store = ItemStore()
        store.merge(answer.items)
        for item in store.items.values():
            self.history.append(_operation(item, Outcome.READ, start_s, now))
        for key, item in required.items():
            item_read = store.items.get(key)
            if item_read is None or item_read.version < item.version:
                self.fail(f"read at {address}: {key} is older than version {item.version}")
            elif item_read.version == item.version and item_read.value != item.value:
                self.fail(f"read at {address}: {key} is not what was acknowledged")

    def check_linearizable(self) -> None:
        """All answers so far must be explained by one atomic register for each key."""
        keys = non_linearizable_keys(
            each for each in self.history if not each.key.startswith(SEQUENTIAL_PREFIXES)
        )
        if keys:
            self.fail(f"the answers about {keys[0]} fit no order of events")

    def is_partly_committed(self, items: Iterable[Item]) -> bool:
        """Whether one item of a change was committed, and another has the value of another operator.

        Such a change can be neither confirmed nor refused: changes over several sections are not atomic.
        """
        matches = [
            self.committed_values[item.key, item.version] == stored_value(item)
            for item in items
            if (item.key, item.version) in self.committed_values
        ]
        return any(matches) and not all(matches)


def stored_value(item: Item) -> bytes:
    """The value of an item, told apart from a deletion."""
    return b"" if item.dropped else b"=" + item.value


def _operation(item: Item, outcome: Outcome, start_s: float, end_s: float) -> Operation:
    return Operation(item.key, outcome, Register(item.version, stored_value(item)), start_s, end_s)


def _outcome(answer: Answer, items: list[Item]) -> Outcome:
    """The outcome for each item; a refusal of several items does not tell which one conflicts."""
    if answer.code is ResultCode.DONE:
        return Outcome.CONFIRMED
    alone = len(items) == 1 and not items[0].key.startswith(SEQUENTIAL_PREFIXES)
    return Outcome.REFUSED if answer.code is ResultCode.CONFLICT and alone else Outcome.UNKNOWN

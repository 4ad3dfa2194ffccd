"""The rules of a small world: what must hold in each state and after each step."""

from __future__ import annotations

from dataclasses import dataclass, field

from leadrudder.model_checker.machine_states import CLOSED, DiskView, Fact, Locals
from leadrudder.model_checker.state import SYNC, InvariantViolation, Scene, State


def told(facts: frozenset[Fact]) -> str:
    return ", ".join(
        f"{key} version {version}{' dropped' if dropped else ' ' + value.decode(errors='replace')}"
        for key, version, dropped, value in sorted(facts)
    )


@dataclass(slots=True)
class Rules:
    """Each raises Broken where it does not hold.  locals: the states of single machines."""

    scene: Scene
    locals: Locals = field(init=False)
    addresses: tuple[str, ...] = field(init=False)
    pairs: tuple[tuple[int, int], ...] = field(init=False)

    def now(self, state: State, i: int) -> float:
        """A machine's own clock."""
        rate = self.scene.rates[i] if self.scene.rates else 1.0
        return round(0.1 * state.clock * rate, 6)

    def _name(self, i: int) -> str:
        return self.addresses[i][0]

    def _owned(self, state: State, owners: frozenset[tuple[int, int, int]]) -> State:
        known = {(section, epoch): i for section, epoch, i in state.owners}
        for section, epoch, i in owners:
            if known.setdefault((section, epoch), i) != i:
                raise InvariantViolation(f"section {section} has two owners at epoch {epoch}")
        return state._replace(owners=state.owners | owners)

    def _duties(self, state: State) -> None:
        held: dict[str, int] = {}
        for i, box in enumerate(state.boxes):
            if not box.local:
                continue
            for duty, until in self.locals.view(box.local).leases:
                if self.now(state, i) < until and held.setdefault(duty, i) != i:
                    raise InvariantViolation(
                        f"the duty {duty} has two holders: {self._name(held[duty])}, {self._name(i)}"
                    )

    def _forward(self, state: State, i: int, before: frozenset[Fact], after: frozenset[Fact]) -> None:
        versions = {key: version for key, version, *_ in after}
        for key, version, *_ in before:
            if versions.get(key, 0) < version:
                raise InvariantViolation(
                    f"{key} goes back from version {version} in one life of {self._name(i)}"
                )

    def _stands(self, state: State, items: tuple[Fact, ...]) -> State:
        stood = state.stood | frozenset(items)
        if len(stood) != len({(key, version) for key, version, *_ in stood}):
            raise InvariantViolation(f"one version stands with two values: {told(stood)}")
        if wrong := stood & state.refused:
            raise InvariantViolation(f"refused, and stands all the same: {told(wrong)}")
        return state._replace(stood=stood)

    def _kept(self, state: State) -> None:
        """What was acknowledged is read by every majority of full disks, now and later."""
        if not state.acknowledged:
            return
        seats, full = self._full(state)
        majority = seats // 2 + 1
        for key, version, dropped, value in state.acknowledged:
            lack = 0
            for view in full.values():
                _, found, gone, held = view.items.get(key, ("", 0, False, b""))
                lack += found < version or (found == version and (gone, held) != (dropped, value))
            if lack >= majority:
                raise InvariantViolation(
                    f"{key} version {version} was acknowledged, and {lack} of {len(full)} full disks lack it"
                )

    def _full(self, state: State) -> tuple[int, dict[int, DiskView]]:
        """How many seats count, and the disks of those whose holders have all that belongs to them."""
        table: dict[int, tuple[str, int]] = {}
        for box in state.boxes:
            rows = self.locals.disk_view(box.disk).seats
            if box.local:
                rows += self.locals.view(box.local).seats
            for index, holder, incarnation in rows:
                if incarnation > table.get(index, ("", 0))[1]:
                    table[index] = holder, incarnation
        full = {}
        for i, box in enumerate(state.boxes):
            view = self.locals.disk_view(box.disk)
            if view.full and not box.gone:
                for index, holder, incarnation in view.seats:
                    if holder == self.addresses[i] and table[index] == (holder, incarnation):
                        full[i] = view
        return sum(holder != CLOSED for holder, _ in table.values()), full

    def _may_lose(self, state: State, i: int) -> bool:
        """Whether a disk may go: no more of those that count are lost at once than is borne."""
        seats, full = self._full(state)
        return seats - len(full.keys() - {i}) <= self.scene.losses

    def _borne(self, state: State) -> bool:
        """Whether no more are lost than is borne: down, empty, cut off, or back for less than SYNC."""
        seats, full = self._full(state)
        if not seats or not self.scene.counted:
            return True
        there = 0
        for i in full:
            box = state.boxes[i]
            if box.local and (state.clock - box.since >= SYNC or not box.since):
                links = sum(
                    state.wires[p].up
                    for p, pair in enumerate(self.pairs)
                    if i in pair and set(pair) <= set(full)
                )
                there += links >= len(full) - 1
        return seats - there <= self.scene.losses

    def _read(self, owed: frozenset[Fact], items: tuple[Fact, ...]) -> None:
        found = {item[0]: item for item in items}
        for key, version, dropped, value in owed:
            _, got, gone, held = found.get(key, ("", 0, False, b""))
            if got < version or (got == version and (gone, held) != (dropped, value)):
                raise InvariantViolation(f"a read gives {key} version {got}, older than version {version}")

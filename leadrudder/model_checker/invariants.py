"""The invariants of the model: what must hold in each state and after each step."""

from __future__ import annotations

from dataclasses import dataclass, field

from leadrudder.model_checker.machine_states import CLOSED_SLOT, DiskView, ItemTuple, MachineStates
from leadrudder.model_checker.state import RECOVERY_TENTHS, InvariantViolation, Scenario, State


def format_items(items: frozenset[ItemTuple]) -> str:
    return ", ".join(
        f"{key} version {version}{' dropped' if dropped else ' ' + value.decode(errors='replace')}"
        for key, version, dropped, value in sorted(items)
    )


@dataclass(slots=True)
class Invariants:
    """Each check raises InvariantViolation if it fails."""

    scenario: Scenario
    machine_states: MachineStates = field(init=False)
    addresses: tuple[str, ...] = field(init=False)
    host_pairs: tuple[tuple[int, int], ...] = field(init=False)

    def host_time_s(self, state: State, i: int) -> float:
        """A host's own clock."""
        rate = self.scenario.clock_rates[i] if self.scenario.clock_rates else 1.0
        return round(0.1 * state.clock_tenths * rate, 6)

    def _host_name(self, i: int) -> str:
        return self.addresses[i][0]

    def _record_owners(self, state: State, owners: frozenset[tuple[int, int, int]]) -> State:
        known = {(section, epoch): i for section, epoch, i in state.owners}
        for section, epoch, i in owners:
            if known.setdefault((section, epoch), i) != i:
                raise InvariantViolation(f"section {section} has two owners at epoch {epoch}")
        return state._replace(owners=state.owners | owners)

    def _check_leases(self, state: State) -> None:
        holders: dict[str, int] = {}
        for i, host in enumerate(state.hosts):
            if not host.process:
                continue
            for duty, until in self.machine_states.view(host.process).leases:
                if self.host_time_s(state, i) < until and holders.setdefault(duty, i) != i:
                    raise InvariantViolation(
                        f"the duty {duty} has two holders: "
                        f"{self._host_name(holders[duty])}, {self._host_name(i)}"
                    )

    def _check_versions_grow(
        self, state: State, i: int, before: frozenset[ItemTuple], after: frozenset[ItemTuple]
    ) -> None:
        versions = {key: version for key, version, *_ in after}
        for key, version, *_ in before:
            if versions.get(key, 0) < version:
                raise InvariantViolation(
                    f"{key} goes back from version {version} in one process of {self._host_name(i)}"
                )

    def _record_committed(self, state: State, items: tuple[ItemTuple, ...]) -> State:
        committed = state.committed | frozenset(items)
        if len(committed) != len({(key, version) for key, version, *_ in committed}):
            raise InvariantViolation(f"one version is committed with two values: {format_items(committed)}")
        if both := committed & state.refused:
            raise InvariantViolation(f"refused, but committed: {format_items(both)}")
        return state._replace(committed=committed)

    def _check_durability(self, state: State) -> None:
        """Every majority of full disks holds each acknowledged item, so that any later read returns it."""
        if not state.acknowledged:
            return
        voters, full = self._full_disks(state)
        majority = voters // 2 + 1
        for key, version, dropped, value in state.acknowledged:
            lacking = 0
            for view in full.values():
                _, held_version, held_dropped, held_value = view.items.get(key, ("", 0, False, b""))
                lacking += held_version < version or (
                    held_version == version and (held_dropped, held_value) != (dropped, value)
                )
            if lacking >= majority:
                raise InvariantViolation(
                    f"{key} version {version} was acknowledged, "
                    f"but {lacking} of {len(full)} full disks lack it"
                )

    def _full_disks(self, state: State) -> tuple[int, dict[int, DiskView]]:
        """The number of voters, and by host the disks that hold every item that their voter slot requires."""
        table: dict[int, tuple[str, int]] = {}
        for host in state.hosts:
            rows = self.machine_states.disk_view(host.disk).voters
            if host.process:
                rows += self.machine_states.view(host.process).voters
            for index, holder, incarnation in rows:
                if incarnation > table.get(index, ("", 0))[1]:
                    table[index] = holder, incarnation
        full = {}
        for i, host in enumerate(state.hosts):
            view = self.machine_states.disk_view(host.disk)
            if view.full and not host.removed:
                for index, holder, incarnation in view.voters:
                    if holder == self.addresses[i] and table[index] == (holder, incarnation):
                        full[i] = view
        return sum(holder != CLOSED_SLOT for holder, _ in table.values()), full

    def _may_lose_disk(self, state: State, i: int) -> bool:
        """Whether the loss of this disk, with the voters already lost, is tolerated."""
        voters, full = self._full_disks(state)
        return voters - len(full.keys() - {i}) <= self.scenario.tolerated_losses

    def _losses_tolerated(self, state: State) -> bool:
        """Whether the losses are tolerated: down, empty, disconnected or just restarted hosts."""
        voters, full = self._full_disks(state)
        if not voters or not self.scenario.limit_losses:
            return True
        available = 0
        for i in full:
            host = state.hosts[i]
            if host.process and (
                state.clock_tenths - host.started_tenths >= RECOVERY_TENTHS or not host.started_tenths
            ):
                links_up = sum(
                    state.links[p].up
                    for p, pair in enumerate(self.host_pairs)
                    if i in pair and set(pair) <= set(full)
                )
                available += links_up >= len(full) - 1
        return voters - available <= self.scenario.tolerated_losses

    def _check_read(self, required: frozenset[ItemTuple], items: tuple[ItemTuple, ...]) -> None:
        found = {item[0]: item for item in items}
        for key, version, dropped, value in required:
            _, read_version, read_dropped, read_value = found.get(key, ("", 0, False, b""))
            if read_version < version or (
                read_version == version and (read_dropped, read_value) != (dropped, value)
            ):
                raise InvariantViolation(
                    f"a read gives {key} version {read_version}, older than version {version}"
                )

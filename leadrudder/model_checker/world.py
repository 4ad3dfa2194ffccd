"""The transition system: hosts, disks, links and operators as one value, and every action that may follow.

Links deliver in order and fail as a whole, as those of leadrudder.transport do; a frame may be delayed
without bound. After a power loss a disk holds all synced writes and a chosen prefix of the others. Frames
that a process sent before it died are still delivered; its successor may connect before its peers notice
that the old process is gone. Times are tenths of a second.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import combinations
from typing import Any

from leadrudder.configuration.items import SEQUENTIAL_PREFIXES
from leadrudder.consensus.outputs import ResultCode
from leadrudder.consensus.quorum_check import QuorumCheck
from leadrudder.consensus.state_machine import ControlStateMachine
from leadrudder.model_checker.machine_states import (
    DeterministicRandom,
    Effect,
    EncodedAnswer,
    EncodedCommit,
    EncodedSend,
    EncodedWrite,
    ItemTuple,
    MachineInput,
    MachineStates,
)
from leadrudder.model_checker.state import (
    FAULT_FREE_STEP_TENTHS,
    INTERNAL_KINDS,
    QUIESCE,
    READ_ATTEMPTS,
    UNBOUNDED_DELAYS,
    Action,
    CallState,
    FaultBudget,
    Host,
    InvariantViolation,
    Link,
    State,
)
from leadrudder.model_checker.trace import ActionDescriber
from leadrudder.protocol.mesh_pb2 import Item


class NoQuorumCheck(QuorumCheck):
    """Sends no quorum checks: no invariant depends on them, and their numbers would make all states distinct.

    Publishing to proxies depends on them; tests/mesh/test_concurrent_operators.py covers it by simulation.
    """

    def tick(self) -> None:
        """Sends no check."""


@dataclass(slots=True)
class World(ActionDescriber):
    """The transitions between a scenario's states.  All methods are pure functions of their arguments."""

    def __post_init__(self) -> None:
        scenario = self.scenario
        self.addresses = tuple(f"{chr(65 + i)}:1" for i in range(scenario.machines + scenario.spares))
        self.host_pairs = tuple(combinations(range(len(self.addresses)), 2))
        seed_addresses = self.addresses[: min(3, scenario.machines)]

        def make_machine(
            address: str, start_count: int, first_run: bool, disk: dict[str, bytes]
        ) -> ControlStateMachine:
            machine = ControlStateMachine(
                address,
                "zone",
                first_run=first_run,
                seeds=seed_addresses,
                losses=scenario.tolerated_losses,
                rng=DeterministicRandom(1000 * start_count),
                records=disk,
                sections=scenario.sections,
            )
            machine.quorum_check = NoQuorumCheck(machine)
            return machine

        self.machine_states = MachineStates(make_machine, scenario.sections)

    # ------------------------------------------------------------ initial state

    def initial_state(self) -> State:
        """The state after a fault-free start and the scenario's prefix.

        Before the prefix the voters are established, every section has an owner and version 1 of every key is
        committed.
        """
        scenario = self.scenario
        hosts = tuple(Host(removed=i >= scenario.machines) for i in range(len(self.addresses)))
        state = State(
            0,
            hosts,
            tuple(Link() for _ in self.host_pairs),
            tuple(CallState(call.items, call.attempts) for call in scenario.calls),
            FaultBudget(),
        )
        state = self.run_fault_free(state, 30)
        initial_items: dict[str, ItemTuple] = {
            key: (key, 1, False, b"first") for call in scenario.calls for key, *_ in call.items
        }
        if initial_items:
            state = self._with_host(state, 0, state.hosts[0]._replace(call_count=1))
            state = self.run_fault_free(self._submit_change(state, 0, 1, tuple(initial_items.values())), 10)
            state = state._replace(acknowledged=frozenset(initial_items.values()))
        state = self.run_fault_free(state, max(0, scenario.warm_up_tenths - 40))
        prefix_length = len(scenario.prefix)
        state = state._replace(
            budget=FaultBudget(
                holds=prefix_length,
                time_steps=prefix_length,
                kills=prefix_length,
                link_breaks=prefix_length,
                joins=prefix_length,
            )
        )
        for action in scenario.prefix:
            state = self._quiesce(state) if action == QUIESCE else self.apply(state, action)
        return state._replace(budget=scenario.budget, next_source=0)

    def run_fault_free(self, state: State, duration_tenths: int) -> State:
        """Advances time with stopped processes restarting, links connecting and no faults."""
        for i, host in enumerate(state.hosts):
            if host.process and self.machine_states.view(host.process).resigned:
                state = self._stop_process(state, i, 0)  # a resigned process exits
        for _ in range(0, duration_tenths, FAULT_FREE_STEP_TENTHS):
            state = self._quiesce(self._advance_clock(self._quiesce(state), FAULT_FREE_STEP_TENTHS))
        return state

    def _quiesce(self, state: State) -> State:
        """Applies internal actions until none is enabled: frames are delivered, writes completed."""
        for _ in range(10_000):
            ready = self.enabled_internal(state)
            if not ready:
                return state
            state = self.apply(state, ready[0])
        raise InvariantViolation("frames are exchanged without end")

    # ------------------------------------------------------------ enabled actions

    def enabled_internal(self, state: State) -> list[Action]:
        """The enabled internal actions in round-robin order of their sources, from next_source on."""
        ready: list[tuple[int, Action]] = []
        hosts, position = state.hosts, 0
        for i, host in enumerate(hosts):
            if host.write_queue:
                ready.append((position, ("synced", i)))
            if not host.process and not host.removed:
                ready.append((position + 1, ("start", i)))
            position += 2
        for p, (low, high) in enumerate(self.host_pairs):
            link = state.links[p]
            if hosts[high].process:
                if link.forward:
                    ready.append((position, ("arrives", low, high)))
                if link.stale_forward:
                    ready.append((position + 2, ("late", low, high)))
            if hosts[low].process:
                if link.backward:
                    ready.append((position + 1, ("arrives", high, low)))
                if link.stale_backward:
                    ready.append((position + 3, ("late", high, low)))
            if not link.up:
                if link.low_sees_link and hosts[low].process:
                    ready.append((position + 4, ("notice", low, high)))
                if link.high_sees_link and hosts[high].process:
                    ready.append((position + 5, ("notice", high, low)))
                if hosts[low].process and hosts[high].process:
                    ready.append((position + 6, ("link", low, high)))
            position += 7
        if state.next_source and state.budget.delays < UNBOUNDED_DELAYS:
            ready = [r for r in ready if r[0] >= state.next_source] + [
                r for r in ready if r[0] < state.next_source
            ]
        return [action for _, action in ready if action not in state.held]

    def _source_position(self, action: Action) -> int:
        """The position of an internal action's source in the round-robin order."""
        if action[0] in ("synced", "start"):
            return 2 * int(action[1]) + (action[0] == "start")
        a, b = int(action[1]), int(action[2])
        offset = {"arrives": a > b, "late": 2 + (a > b), "notice": 4 + (a > b), "link": 6}[str(action[0])]
        return 2 * len(self.addresses) + 7 * self._link_index(a, b) + offset

    def enabled_actions(self, state: State) -> Iterator[Action]:
        hosts, budget = state.hosts, state.budget
        ready = self.enabled_internal(state)
        yield from ready[: budget.delays + 1]
        if budget.duplicates:
            for action in ready[: budget.delays + 1]:
                if action[0] in ("arrives", "late"):
                    yield "doubled", *action[1:], int(action[0] == "late")
        if budget.holds:
            for action in ready[: budget.delays + 1]:
                yield "hold", *action
        for action in state.held:
            yield "release", *action
        for p, (low, high) in enumerate(self.host_pairs):
            if budget.link_breaks and state.links[p].up and hosts[low].process and hosts[high].process:
                yield "break", low, high
        for i, host in enumerate(hosts):
            if not host.process:
                continue
            if budget.kills:
                yield "kill", i
            if budget.power_losses:
                for kept in range(len(host.write_queue) + 1):
                    yield "power", i, kept
            if budget.disk_wipes and self._may_lose_disk(state, i):
                yield "wipe", i
            if budget.resignations:
                yield "resign", i
            if budget.replacements and i < self.scenario.machines and self._may_lose_disk(state, i):
                yield "replace", i
        if budget.joins and self._next_spare(state) >= 0:
            yield ("join",)
        for call_index, call in enumerate(state.calls):
            if call.attempts_left and call.host_index >= 0:
                yield "leave", call_index  # the operator gives up waiting and may call another host
            if call.attempts_left and not call.answered and call.host_index < 0:
                for i, host in enumerate(hosts):
                    if host.process:
                        yield "call", call_index, i
        if budget.time_steps and (not ready or budget.delays) and self._losses_tolerated(state):
            yield ("pass",)

    def apply(self, state: State, action: Action) -> State:
        """The successor state; raises InvariantViolation if the action violates an invariant."""
        kind, *arguments = action
        a = int(arguments[0]) if arguments and kind not in ("hold", "release") else 0
        b = int(arguments[1]) if len(arguments) > 1 and kind not in ("hold", "release") else 0
        budget = state.budget
        if kind in INTERNAL_KINDS:
            if budget.delays < UNBOUNDED_DELAYS:
                skipped = self.enabled_internal(state).index(action)
                budget = budget._replace(delays=budget.delays - skipped)
                state = state._replace(budget=budget, next_source=self._source_position(action) + 1)
            return self._apply_internal(state, kind, a, b)
        if kind == "doubled":
            state = state._replace(budget=budget._replace(duplicates=budget.duplicates - 1))
            return self._deliver(state, a, b, late=bool(arguments[2]), keep_original=True)
        if kind == "hold":
            held = state.held | {tuple(arguments)}
            return state._replace(budget=budget._replace(holds=budget.holds - 1), held=held)
        if kind == "release":
            return state._replace(held=state.held - {tuple(arguments)})
        if kind == "pass":
            if budget.delays < UNBOUNDED_DELAYS and self.enabled_internal(state):
                budget = budget._replace(delays=budget.delays - 1)
            return self._advance_clock(
                state._replace(budget=budget._replace(time_steps=budget.time_steps - 1)),
                self.scenario.step_tenths,
            )
        if kind == "call":
            return self._start_call(state, a, b)
        if kind == "leave":
            call = state.calls[a]._replace(host_index=-1)
            return state._replace(calls=(*state.calls[:a], call, *state.calls[a + 1 :]))
        if kind == "break":
            state = state._replace(budget=budget._replace(link_breaks=budget.link_breaks - 1))
            link = state.links[self._link_index(a, b)]
            return self._with_link(state, a, b, link._replace(up=False, forward=(), backward=()))
        if kind == "kill":
            return self._stop_process(state._replace(budget=budget._replace(kills=budget.kills - 1)), a, 0)
        if kind == "power":
            return self._stop_process(
                state._replace(budget=budget._replace(power_losses=budget.power_losses - 1)), a, b
            )
        if kind == "wipe":
            state = self._stop_process(
                state._replace(budget=budget._replace(disk_wipes=budget.disk_wipes - 1)), a, 0
            )
            state = self._with_host(state, a, state.hosts[a]._replace(disk=0, first_run=False))
            self._check_durability(state)
            return state
        if kind == "replace":
            return self._replace_host(
                state._replace(budget=budget._replace(replacements=budget.replacements - 1)), a
            )
        if kind == "join":
            return self._join_spare(state._replace(budget=budget._replace(joins=budget.joins - 1)))
        assert kind == "resign", action
        state = state._replace(budget=budget._replace(resignations=budget.resignations - 1))
        return self._step_machine(state, a, ("resign",))

    # ------------------------------------------------------------ single transitions

    def _apply_internal(self, state: State, kind: str | int, a: int, b: int) -> State:
        if kind == "synced":
            return self._complete_write(state, a)
        if kind == "link":
            return self._connect(state, a, b)
        if kind == "notice":
            return self._notice_disconnect(state, a, b)
        if kind == "start":
            host = state.hosts[a]
            process = self.machine_states.start(
                self.addresses[a], host.start_count + 1, host.first_run, host.disk
            )
            host = host._replace(
                process=process, start_count=host.start_count + 1, started_tenths=state.clock_tenths
            )
            return self._with_host(state, a, host)
        return self._deliver(state, a, b, late=kind == "late", keep_original=False)

    def _with_host(self, state: State, i: int, host: Host) -> State:
        hosts = list(state.hosts)
        hosts[i] = host
        return state._replace(hosts=tuple(hosts))

    def _with_link(self, state: State, a: int, b: int, link: Link) -> State:
        links = list(state.links)
        links[self._link_index(a, b)] = link
        return state._replace(links=tuple(links))

    def _deliver(self, state: State, sender: int, to: int, *, late: bool, keep_original: bool) -> State:
        link = state.links[self._link_index(sender, to)]
        field_name = ("stale_" if late else "") + ("forward" if sender < to else "backward")
        frames: tuple[bytes, ...] = getattr(link, field_name)
        if not keep_original:
            shortened: dict[str, Any] = {field_name: frames[1:]}
            state = self._with_link(state, sender, to, link._replace(**shortened))
        return self._step_machine(state, to, ("frame", self.addresses[sender], frames[0]))

    def _complete_write(self, state: State, i: int) -> State:
        host = state.hosts[i]
        write = host.write_queue[0]
        disk = self.machine_states.write_disk(host.disk, write.records)
        state = self._with_host(state, i, host._replace(disk=disk, write_queue=host.write_queue[1:]))
        if disk != host.disk:
            self._check_durability(state)
        return self._apply_effects(state, i, write.then)

    def _advance_clock(self, state: State, duration_tenths: int) -> State:
        state = state._replace(clock_tenths=state.clock_tenths + duration_tenths)
        for i, host in enumerate(state.hosts):
            if host.process:
                state = self._step_machine(state, i, ("tick",))
        self._check_leases(state)
        return state

    def _start_call(self, state: State, call_index: int, i: int) -> State:
        call = state.calls[call_index]
        host = state.hosts[i]
        number = host.call_count + 1
        state = self._with_host(state, i, host._replace(call_count=number))
        required = state.acknowledged if not call.items else frozenset()
        call = call._replace(
            attempts_left=call.attempts_left - 1, host_index=i, number=number, required=required
        )
        state = state._replace(calls=(*state.calls[:call_index], call, *state.calls[call_index + 1 :]))
        if not call.items:
            return self._step_machine(state, i, ("read", number))
        return self._submit_change(state, i, number, call.items)

    def _submit_change(self, state: State, i: int, number: int, items: tuple[ItemTuple, ...]) -> State:
        data = tuple(
            Item(key=key, version=version, dropped=dropped, value=value).SerializeToString(deterministic=True)
            for key, version, dropped, value in items
        )
        return self._step_machine(state, i, ("change", number, data))

    def _connect(self, state: State, a: int, b: int) -> State:
        link = state.links[self._link_index(a, b)]
        link = link._replace(up=True, forward=(), backward=(), low_sees_link=True, high_sees_link=True)
        state = self._with_link(state, a, b, link)
        state = self._step_machine(state, a, ("up", self.addresses[b]))
        return self._step_machine(state, b, ("up", self.addresses[a]))

    def _notice_disconnect(self, state: State, observer: int, peer: int) -> State:
        link = state.links[self._link_index(observer, peer)]
        if observer < peer:
            link = link._replace(low_sees_link=False, stale_backward=())
        else:
            link = link._replace(high_sees_link=False, stale_forward=())
        return self._step_machine(
            self._with_link(state, observer, peer, link), observer, ("down", self.addresses[peer])
        )

    def _stop_process(self, state: State, i: int, kept_writes: int) -> State:
        """kept_writes: how many unsynced writes reach the disk all the same."""
        host = state.hosts[i]
        disk = host.disk
        for write in host.write_queue[:kept_writes]:
            disk = self.machine_states.write_disk(disk, write.records)
        state = self._with_host(state, i, host._replace(process=0, write_queue=(), disk=disk))
        for p, pair in enumerate(self.host_pairs):
            if i not in pair:
                continue
            link = state.links[p]
            low = pair[0] == i
            if not link.up:
                link = link._replace(low_sees_link=False) if low else link._replace(high_sees_link=False)
            elif low:
                link = link._replace(
                    up=False, stale_forward=link.forward, low_sees_link=False, stale_backward=()
                )
            else:
                link = link._replace(
                    up=False, stale_backward=link.backward, high_sees_link=False, stale_forward=()
                )
            state = self._with_link(state, *pair, link._replace(forward=(), backward=()))
        calls = tuple(call._replace(host_index=-1) if call.host_index == i else call for call in state.calls)
        state = state._replace(calls=calls, held=state.held - {("synced", i)})
        if disk != host.disk:
            self._check_durability(state)
        return state

    def _replace_host(self, state: State, i: int) -> State:
        """Removes a host for good; an empty one starts at a spare address."""
        state = self._stop_process(state, i, 0)
        return self._join_spare(self._with_host(state, i, state.hosts[i]._replace(removed=True, disk=0)))

    def _next_spare(self, state: State) -> int:
        """The index of the next unused spare host; -1: none."""
        return next(
            (n for n in range(self.scenario.machines, len(state.hosts)) if not state.hosts[n].start_count), -1
        )

    def _join_spare(self, state: State) -> State:
        spare_index = self._next_spare(state)
        if spare_index < 0:
            return state
        return self._apply_internal(
            self._with_host(state, spare_index, Host(first_run=False)), "start", spare_index, 0
        )

    # ------------------------------------------------------------ machine steps and invariants

    def _step_machine(self, state: State, i: int, machine_input: MachineInput) -> State:
        host = state.hosts[i]
        process, effects = self.machine_states.step(
            host.process, (*machine_input, self.host_time_s(state, i))
        )
        if process != host.process:
            before, after = self.machine_states.view(host.process), self.machine_states.view(process)
            state = self._with_host(state, i, host._replace(process=process))
            if before != after:
                self._check_versions_grow(state, i, before.committed, after.committed)
                owners = frozenset((section, epoch, i) for section, epoch in after.owned_sections)
                if not owners <= state.owners:
                    state = self._record_owners(state, owners)
                if after.leases:
                    self._check_leases(state)
        return self._apply_effects(state, i, effects)

    def _apply_effects(self, state: State, i: int, effects: tuple[Effect, ...]) -> State:
        for effect in effects:
            if isinstance(effect, EncodedSend):
                state = self._send(state, i, effect)
            elif isinstance(effect, EncodedWrite):
                host = state.hosts[i]
                if effect.records or host.write_queue:
                    state = self._with_host(state, i, host._replace(write_queue=(*host.write_queue, effect)))
                else:
                    state = self._apply_effects(state, i, effect.then)
            elif isinstance(effect, EncodedCommit):
                state = self._record_committed(state, effect.items)
            else:
                state = self._record_answer(state, i, effect)
        return state

    def _send(self, state: State, i: int, send: EncodedSend) -> State:
        to = self.addresses.index(send.to)
        if to == i:
            return self._step_machine(state, i, ("frame", send.to, send.data))
        link = state.links[self._link_index(i, to)]
        if not link.up:
            return state
        if i < to:
            return self._with_link(state, i, to, link._replace(forward=(*link.forward, send.data)))
        return self._with_link(state, i, to, link._replace(backward=(*link.backward, send.data)))

    def _record_answer(self, state: State, i: int, answer: EncodedAnswer) -> State:
        for call_index, call in enumerate(state.calls):
            if call.number != answer.number or call.host_index != i:
                continue
            code = ResultCode(answer.code)
            decided = code in (ResultCode.DONE, ResultCode.CONFLICT)
            updated = call._replace(
                host_index=-1, answered=decided, attempts_left=0 if decided else call.attempts_left
            )
            state = state._replace(calls=(*state.calls[:call_index], updated, *state.calls[call_index + 1 :]))
            if not call.items:
                if code is ResultCode.DONE:
                    self._check_read(call.required, answer.items)
            elif code is ResultCode.DONE:
                state = state._replace(acknowledged=state.acknowledged | frozenset(call.items))
                self._check_durability(state)
            elif code is ResultCode.CONFLICT and not call.items[0][0].startswith(SEQUENTIAL_PREFIXES):
                # A conflict on an order means only that its version has advanced. Of any other refused call
                # no item may ever be committed.
                state = state._replace(refused=state.refused | frozenset(call.items))
                self._record_committed(state, ())
        return state

    def check_recovery(self, state: State) -> None:
        """Checks liveness: without faults every section gets one owner that all hosts know, and reads are
        answered."""
        state = state._replace(
            budget=FaultBudget(),
            held=frozenset(),
            calls=tuple(call._replace(attempts_left=0, host_index=-1) for call in state.calls),
        )
        state = self.run_fault_free(state, 80)
        running = [i for i, host in enumerate(state.hosts) if host.process]
        views = [self.machine_states.view(state.hosts[i].process) for i in running]
        for section in range(self.scenario.sections):
            owners = [
                i for i, view in zip(running, views, strict=True) if section in dict(view.owned_sections)
            ]
            if len(owners) != 1:
                raise InvariantViolation(f"without faults section {section} has {len(owners)} owners")
        for i, view in zip(running, views, strict=True):
            if not view.knows_all_sections:
                raise InvariantViolation(
                    f"without faults {self._host_name(i)} has not heard from the owner of every section"
                )
        for i in running:
            probe = state
            for _ in range(READ_ATTEMPTS):
                number = probe.hosts[i].call_count + 1
                probe = self._with_host(probe, i, probe.hosts[i]._replace(call_count=number))
                read = CallState((), 0, i, number, required=state.acknowledged)
                probe = probe._replace(calls=(*state.calls, read))
                probe = self.run_fault_free(self._step_machine(probe, i, ("read", number)), 12)
                if probe.calls[-1].answered:
                    break
            else:
                raise InvariantViolation(
                    f"without faults {READ_ATTEMPTS} reads at {self._host_name(i)} have no answer"
                )

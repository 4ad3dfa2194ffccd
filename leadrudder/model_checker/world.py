"""A small world: machines, disks, links and operators as one value, and every step that may follow it.

Links are ordered and end whole, as the telegraph's do; a frame may wait as long as the world lasts. A disk
holds what was synced, and of what was not a part that is chosen. A process that dies leaves behind what it
had sent; a new one may be linked before others notice that the old one is gone. Times are tenths of a second.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import combinations
from typing import Any

from leadrudder.configuration.items import ORDERS
from leadrudder.consensus.outputs import ResultCode
from leadrudder.consensus.quorum_check import QuorumCheck
from leadrudder.consensus.state_machine import ControlStateMachine
from leadrudder.model_checker.machine_states import (
    Answered,
    Effect,
    Fact,
    Input,
    Locals,
    Still,
    Stood,
    ToSend,
    ToWrite,
)
from leadrudder.model_checker.state import (
    ALL,
    CALM_STEP,
    FREE,
    READS,
    REST,
    Asked,
    Box,
    Broken,
    Left,
    Move,
    State,
    Wire,
)
from leadrudder.model_checker.trace import Story
from leadrudder.protocol.mesh_pb2 import Item


class Unasked(QuorumCheck):
    """Asks nobody: it decides nothing here, and its numbers would make every state a new one.

    What rests on it, telling stations, is played in rehearsals (tests/mesh/test_concurrent_operators.py).
    """

    def tick(self) -> None:
        """Nothing is asked."""


@dataclass(slots=True)
class World(Story):
    """The steps of a scene's states.  All methods are functions of what they are given."""

    def __post_init__(self) -> None:
        scene = self.scene
        self.addresses = tuple(f"{chr(65 + i)}:1" for i in range(scene.machines + scene.spare))
        self.pairs = tuple(combinations(range(len(self.addresses)), 2))
        seeds = self.addresses[: min(3, scene.machines)]

        def make(address: str, life: int, first_run: bool, disk: dict[str, bytes]) -> ControlStateMachine:
            machine = ControlStateMachine(
                address,
                "zone",
                first_run=first_run,
                seeds=seeds,
                losses=scene.losses,
                rng=Still(1000 * life),
                records=disk,
                sections=scene.sections,
            )
            machine.quorum_check = Unasked(machine)
            return machine

        self.locals = Locals(make)

    # ------------------------------------------------------------ beginnings

    def root(self) -> State:
        """The scene after a calm start: seats founded, sections owned, version 1 of every key standing."""
        scene = self.scene
        boxes = tuple(Box(gone=i >= scene.machines) for i in range(len(self.addresses)))
        state = State(
            0,
            boxes,
            tuple(Wire() for _ in self.pairs),
            tuple(Asked(c.items, c.tries) for c in scene.calls),
            Left(),
        )
        state = self.calm(state, 30)
        first: dict[str, Fact] = {
            key: (key, 1, False, b"first") for call in scene.calls for key, *_ in call.items
        }
        if first:
            state = self._boxed(state, 0, state.boxes[0]._replace(calls=1))
            state = self.calm(self._change(state, 0, 1, tuple(first.values())), 10)
            state = state._replace(acknowledged=frozenset(first.values()))
        state = self.calm(state, max(0, scene.settled - 40))
        many = len(scene.first)
        state = state._replace(left=Left(holds=many, steps=many, breaks=many, joins=many))
        for move in scene.first:
            state = self._rest(state) if move == REST else self.after(state, move)
        return state._replace(left=scene.left, turn=0)

    def calm(self, state: State, tenths: int) -> State:
        """All that stopped starts, links are made, nothing is lost, and time passes by tenths."""
        for i, box in enumerate(state.boxes):
            if box.local and self.locals.view(box.local).resigned:
                state = self._die(state, i, 0)  # it was about to end
        for _ in range(0, tenths, CALM_STEP):
            state = self._rest(self._pass(self._rest(state), CALM_STEP))
        return state

    def _rest(self, state: State) -> State:
        """What is on its way arrives, and what waits is written."""
        for _ in range(10_000):
            work = self.work(state)
            if not work:
                return state
            state = self.after(state, work[0])
        raise Broken("frames go round and round")

    # ------------------------------------------------------------ what may follow

    def work(self, state: State) -> list[Move]:
        """What is ready to happen by itself, that whose turn it is first."""
        found: list[tuple[int, Move]] = []
        boxes, at = state.boxes, 0
        for i, box in enumerate(boxes):
            if box.queue:
                found.append((at, ("synced", i)))
            if not box.local and not box.gone:
                found.append((at + 1, ("start", i)))
            at += 2
        for p, (low, high) in enumerate(self.pairs):
            wire = state.wires[p]
            if boxes[high].local:
                if wire.ahead:
                    found.append((at, ("arrives", low, high)))
                if wire.left_ahead:
                    found.append((at + 2, ("late", low, high)))
            if boxes[low].local:
                if wire.back:
                    found.append((at + 1, ("arrives", high, low)))
                if wire.left_back:
                    found.append((at + 3, ("late", high, low)))
            if not wire.up:
                if wire.low_thinks and boxes[low].local:
                    found.append((at + 4, ("notice", low, high)))
                if wire.high_thinks and boxes[high].local:
                    found.append((at + 5, ("notice", high, low)))
                if boxes[low].local and boxes[high].local:
                    found.append((at + 6, ("link", low, high)))
            at += 7
        if state.turn and state.left.delays < ALL:
            found = [f for f in found if f[0] >= state.turn] + [f for f in found if f[0] < state.turn]
        return [move for _, move in found if move not in state.held]

    def _place(self, move: Move) -> int:
        """The place of a source in the turn."""
        if move[0] in ("synced", "start"):
            return 2 * int(move[1]) + (move[0] == "start")
        a, b = int(move[1]), int(move[2])
        of = {"arrives": a > b, "late": 2 + (a > b), "notice": 4 + (a > b), "link": 6}[str(move[0])]
        return 2 * len(self.addresses) + 7 * self._pair(a, b) + of

    def moves(self, state: State) -> Iterator[Move]:
        boxes, left = state.boxes, state.left
        work = self.work(state)
        yield from work[: left.delays + 1]
        if left.doubles:
            for move in work[: left.delays + 1]:
                if move[0] in ("arrives", "late"):
                    yield "doubled", *move[1:], int(move[0] == "late")
        if left.holds:
            for move in work[: left.delays + 1]:
                yield "hold", *move
        for move in state.held:
            yield "release", *move
        for p, (low, high) in enumerate(self.pairs):
            if left.breaks and state.wires[p].up and boxes[low].local and boxes[high].local:
                yield "break", low, high
        for i, box in enumerate(boxes):
            if not box.local:
                continue
            if left.kills:
                yield "kill", i
            if left.powers:
                for kept in range(len(box.queue) + 1):
                    yield "power", i, kept
            if left.wipes and self._may_lose(state, i):
                yield "wipe", i
            if left.resigns:
                yield "resign", i
            if left.replaced and i < self.scene.machines and self._may_lose(state, i):
                yield "replace", i
        if left.joins and self._spare(state) >= 0:
            yield ("join",)
        for c, asked in enumerate(state.asked):
            if asked.tries and asked.at >= 0:
                yield "leave", c  # the operator waits no longer, and may ask another
            if asked.tries and not asked.done and asked.at < 0:
                for i, box in enumerate(boxes):
                    if box.local:
                        yield "call", c, i
        if left.steps and (not work or left.delays) and self._borne(state):
            yield ("pass",)

    def after(self, state: State, move: Move) -> State:
        """The state that follows; Broken where it breaks a rule."""
        kind, *where = move
        a = int(where[0]) if where and kind not in ("hold", "release") else 0
        b = int(where[1]) if len(where) > 1 and kind not in ("hold", "release") else 0
        left = state.left
        if kind in FREE:
            if left.delays < ALL:
                waits = self.work(state).index(move)
                left = left._replace(delays=left.delays - waits)
                state = state._replace(left=left, turn=self._place(move) + 1)
            return self._free(state, kind, a, b)
        if kind == "doubled":
            state = state._replace(left=left._replace(doubles=left.doubles - 1))
            return self._arrive(state, a, b, late=bool(where[2]), keep=True)
        if kind == "hold":
            held = state.held | {tuple(where)}
            return state._replace(left=left._replace(holds=left.holds - 1), held=held)
        if kind == "release":
            return state._replace(held=state.held - {tuple(where)})
        if kind == "pass":
            if left.delays < ALL and self.work(state):
                left = left._replace(delays=left.delays - 1)
            return self._pass(state._replace(left=left._replace(steps=left.steps - 1)), self.scene.step)
        if kind == "call":
            return self._call(state, a, b)
        if kind == "leave":
            asked = state.asked[a]._replace(at=-1)
            return state._replace(asked=(*state.asked[:a], asked, *state.asked[a + 1 :]))
        if kind == "break":
            state = state._replace(left=left._replace(breaks=left.breaks - 1))
            wire = state.wires[self._pair(a, b)]
            return self._wired(state, a, b, wire._replace(up=False, ahead=(), back=()))
        if kind == "kill":
            return self._die(state._replace(left=left._replace(kills=left.kills - 1)), a, 0)
        if kind == "power":
            return self._die(state._replace(left=left._replace(powers=left.powers - 1)), a, b)
        if kind == "wipe":
            state = self._die(state._replace(left=left._replace(wipes=left.wipes - 1)), a, 0)
            state = self._boxed(state, a, state.boxes[a]._replace(disk=0, first_run=False))
            self._kept(state)
            return state
        if kind == "replace":
            return self._replace(state._replace(left=left._replace(replaced=left.replaced - 1)), a)
        if kind == "join":
            return self._join(state._replace(left=left._replace(joins=left.joins - 1)))
        assert kind == "resign", move
        state = state._replace(left=left._replace(resigns=left.resigns - 1))
        return self._feed(state, a, ("resign",))

    # ------------------------------------------------------------ single steps

    def _free(self, state: State, kind: str | int, a: int, b: int) -> State:
        if kind == "synced":
            return self._synced(state, a)
        if kind == "link":
            return self._link(state, a, b)
        if kind == "notice":
            return self._notice(state, a, b)
        if kind == "start":
            box = state.boxes[a]
            local = self.locals.start(self.addresses[a], box.life + 1, box.first_run, box.disk)
            box = box._replace(local=local, life=box.life + 1, since=state.clock)
            return self._boxed(state, a, box)
        return self._arrive(state, a, b, late=kind == "late", keep=False)

    def _boxed(self, state: State, i: int, box: Box) -> State:
        boxes = list(state.boxes)
        boxes[i] = box
        return state._replace(boxes=tuple(boxes))

    def _wired(self, state: State, a: int, b: int, wire: Wire) -> State:
        wires = list(state.wires)
        wires[self._pair(a, b)] = wire
        return state._replace(wires=tuple(wires))

    def _arrive(self, state: State, sender: int, to: int, *, late: bool, keep: bool) -> State:
        wire = state.wires[self._pair(sender, to)]
        name = ("left_" if late else "") + ("ahead" if sender < to else "back")
        queue: tuple[bytes, ...] = getattr(wire, name)
        if not keep:
            taken: dict[str, Any] = {name: queue[1:]}
            state = self._wired(state, sender, to, wire._replace(**taken))
        return self._feed(state, to, ("frame", self.addresses[sender], queue[0]))

    def _synced(self, state: State, i: int) -> State:
        box = state.boxes[i]
        batch = box.queue[0]
        disk = self.locals.written(box.disk, batch.records)
        state = self._boxed(state, i, box._replace(disk=disk, queue=box.queue[1:]))
        if disk != box.disk:
            self._kept(state)
        return self._carry_out(state, i, batch.then)

    def _pass(self, state: State, tenths: int) -> State:
        state = state._replace(clock=state.clock + tenths)
        for i, box in enumerate(state.boxes):
            if box.local:
                state = self._feed(state, i, ("tick",))
        self._duties(state)
        return state

    def _call(self, state: State, c: int, i: int) -> State:
        asked = state.asked[c]
        box = state.boxes[i]
        number = box.calls + 1
        state = self._boxed(state, i, box._replace(calls=number))
        owed = state.acknowledged if not asked.items else frozenset()
        asked = asked._replace(tries=asked.tries - 1, at=i, number=number, owed=owed)
        state = state._replace(asked=(*state.asked[:c], asked, *state.asked[c + 1 :]))
        if not asked.items:
            return self._feed(state, i, ("read", number))
        return self._change(state, i, number, asked.items)

    def _change(self, state: State, i: int, number: int, items: tuple[Fact, ...]) -> State:
        data = tuple(
            Item(key=key, version=version, dropped=dropped, value=value).SerializeToString(deterministic=True)
            for key, version, dropped, value in items
        )
        return self._feed(state, i, ("change", number, data))

    def _link(self, state: State, a: int, b: int) -> State:
        wire = state.wires[self._pair(a, b)]
        wire = wire._replace(up=True, ahead=(), back=(), low_thinks=True, high_thinks=True)
        state = self._wired(state, a, b, wire)
        state = self._feed(state, a, ("up", self.addresses[b]))
        return self._feed(state, b, ("up", self.addresses[a]))

    def _notice(self, state: State, who: int, about: int) -> State:
        wire = state.wires[self._pair(who, about)]
        if who < about:
            wire = wire._replace(low_thinks=False, left_back=())
        else:
            wire = wire._replace(high_thinks=False, left_ahead=())
        return self._feed(self._wired(state, who, about, wire), who, ("down", self.addresses[about]))

    def _die(self, state: State, i: int, kept: int) -> State:
        """kept: batches that were not synced and are there all the same."""
        box = state.boxes[i]
        disk = box.disk
        for batch in box.queue[:kept]:
            disk = self.locals.written(disk, batch.records)
        state = self._boxed(state, i, box._replace(local=0, queue=(), disk=disk))
        for p, pair in enumerate(self.pairs):
            if i not in pair:
                continue
            wire = state.wires[p]
            low = pair[0] == i
            if not wire.up:
                wire = wire._replace(low_thinks=False) if low else wire._replace(high_thinks=False)
            elif low:
                wire = wire._replace(up=False, left_ahead=wire.ahead, low_thinks=False, left_back=())
            else:
                wire = wire._replace(up=False, left_back=wire.back, high_thinks=False, left_ahead=())
            state = self._wired(state, *pair, wire._replace(ahead=(), back=()))
        asked = tuple(a._replace(at=-1) if a.at == i else a for a in state.asked)
        state = state._replace(asked=asked, held=state.held - {("synced", i)})
        if disk != box.disk:
            self._kept(state)
        return state

    def _replace(self, state: State, i: int) -> State:
        """Gone for good; an empty one starts at another address."""
        state = self._die(state, i, 0)
        return self._join(self._boxed(state, i, state.boxes[i]._replace(gone=True, disk=0)))

    def _spare(self, state: State) -> int:
        """The next machine that may come; -1: none."""
        return next((n for n in range(self.scene.machines, len(state.boxes)) if not state.boxes[n].life), -1)

    def _join(self, state: State) -> State:
        spare = self._spare(state)
        if spare < 0:
            return state
        return self._free(self._boxed(state, spare, Box(first_run=False)), "start", spare, 0)

    # ------------------------------------------------------------ machines' steps, and the rules

    def _feed(self, state: State, i: int, given: Input) -> State:
        box = state.boxes[i]
        local, effects = self.locals.step(box.local, (*given, self.now(state, i)))
        if local != box.local:
            before, after = self.locals.view(box.local), self.locals.view(local)
            state = self._boxed(state, i, box._replace(local=local))
            if before != after:
                self._forward(state, i, before.standing, after.standing)
                owners = frozenset((section, epoch, i) for section, epoch in after.ready)
                if not owners <= state.owners:
                    state = self._owned(state, owners)
                if after.leases:
                    self._duties(state)
        return self._carry_out(state, i, effects)

    def _carry_out(self, state: State, i: int, effects: tuple[Effect, ...]) -> State:
        for effect in effects:
            if isinstance(effect, ToSend):
                state = self._sent(state, i, effect)
            elif isinstance(effect, ToWrite):
                box = state.boxes[i]
                if effect.records or box.queue:
                    state = self._boxed(state, i, box._replace(queue=(*box.queue, effect)))
                else:
                    state = self._carry_out(state, i, effect.then)
            elif isinstance(effect, Stood):
                state = self._stands(state, effect.items)
            else:
                state = self._answered(state, i, effect)
        return state

    def _sent(self, state: State, i: int, send: ToSend) -> State:
        to = self.addresses.index(send.to)
        if to == i:
            return self._feed(state, i, ("frame", send.to, send.data))
        wire = state.wires[self._pair(i, to)]
        if not wire.up:
            return state
        if i < to:
            return self._wired(state, i, to, wire._replace(ahead=(*wire.ahead, send.data)))
        return self._wired(state, i, to, wire._replace(back=(*wire.back, send.data)))

    def _answered(self, state: State, i: int, answer: Answered) -> State:
        for c, asked in enumerate(state.asked):
            if asked.number != answer.number or asked.at != i:
                continue
            code = ResultCode(answer.code)
            clear = code in (ResultCode.DONE, ResultCode.CONFLICT)
            after = asked._replace(at=-1, done=clear, tries=0 if clear else asked.tries)
            state = state._replace(asked=(*state.asked[:c], after, *state.asked[c + 1 :]))
            if not asked.items:
                if code is ResultCode.DONE:
                    self._read(asked.owed, answer.items)
            elif code is ResultCode.DONE:
                state = state._replace(acknowledged=state.acknowledged | frozenset(asked.items))
                self._kept(state)
            elif code is ResultCode.CONFLICT and not asked.items[0][0].startswith(ORDERS):
                # An order's count has moved on; of a call of several items no part stands.
                state = state._replace(refused=state.refused | frozenset(asked.items))
                self._stands(state, ())
        return state

    def found_again(self, state: State) -> None:
        """In calm every section has one owner, all are told of it, and calls and reads are answered."""
        state = state._replace(
            left=Left(), held=frozenset(), asked=tuple(a._replace(tries=0, at=-1) for a in state.asked)
        )
        state = self.calm(state, 80)
        running = [i for i, box in enumerate(state.boxes) if box.local]
        views = [self.locals.view(state.boxes[i].local) for i in running]
        for section in range(self.scene.sections):
            owners = [i for i, view in zip(running, views, strict=True) if section in dict(view.ready)]
            if len(owners) != 1:
                raise Broken(f"in calm section {section} has {len(owners)} owners")
        for i, view in zip(running, views, strict=True):
            if not view.whole:
                raise Broken(f"in calm {self._name(i)} was not told what stands in every section")
        for i in running:
            probe = state
            for _ in range(READS):
                number = probe.boxes[i].calls + 1
                probe = self._boxed(probe, i, probe.boxes[i]._replace(calls=number))
                one = Asked((), 0, i, number, owed=state.acknowledged)
                probe = probe._replace(asked=(*state.asked, one))
                probe = self.calm(self._feed(probe, i, ("read", number)), 12)
                if probe.asked[-1].done:
                    break
            else:
                raise Broken(f"in calm {READS} reads at {self._name(i)} have no answer")

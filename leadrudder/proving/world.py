"""A small world: machines, disks, links and operators as one value, and every step that may follow it.

Links are ordered and end whole, as the telegraph's do; a frame may wait as long as the world lasts. A disk
holds what was synced, and of what was not a part that is chosen. A process that dies leaves behind what it
had sent; a new one may be linked before others notice that the old one is gone. Times are tenths of a second.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import combinations
from typing import Any, NamedTuple

from leadrudder.interlocking.contact import Contact
from leadrudder.interlocking.machine import Interlocking
from leadrudder.interlocking.outputs import Code
from leadrudder.proving.local import (
    CLOSED,
    Answered,
    DiskView,
    Effect,
    Fact,
    Input,
    Locals,
    Still,
    Stood,
    ToSend,
    ToWrite,
)
from leadrudder.timetable.items import ORDERS
from leadrudder.waybill.waybill_pb2 import Frame, Item

STEP = 5  # tenths of a second that pass at once, where the scene says nothing else
READS = 3  # of an operator's in calm, one of which must be answered
SYNC = 40  # a machine that is back counts as lost for so long
CALM_STEP = 3  # the same in calm
FREE = ("arrives", "late", "synced", "start", "notice", "link")  # moves that come by themselves
REST: Move = ("rest",)
ALL = 1_000_000  # delays: every order

Move = tuple[str | int, ...]  # what happens next: its kind, then machines or calls by number


class Broken(AssertionError):  # noqa: N818 - it says what is the matter with a rule
    """A rule does not hold."""


class Box(NamedTuple):
    """A machine: its process (0: none), its disk, and what waits to be written."""

    local: int = 0
    disk: int = 0
    queue: tuple[ToWrite, ...] = ()
    life: int = 0
    first_run: bool = True
    gone: bool = False
    calls: int = 0  # that operators have sent here
    since: int = 0  # when its process started


class Wire(NamedTuple):
    """Between two machines, the lower number first: frames on their way up and down the numbers."""

    up: bool = False
    ahead: tuple[bytes, ...] = ()
    back: tuple[bytes, ...] = ()
    left_ahead: tuple[bytes, ...] = ()  # of a link before, whose sender is gone
    left_back: tuple[bytes, ...] = ()
    low_thinks: bool = False  # that a link stands
    high_thinks: bool = False


class Asked(NamedTuple):
    """A call, and what became of it: tries left, where it is open, whether it has a clear answer, what a read
    owes."""

    items: tuple[Fact, ...]
    tries: int
    at: int = -1
    number: int = 0
    done: bool = False
    owed: frozenset[Fact] = frozenset()


class Left(NamedTuple):
    """How often each kind of trouble may still come."""

    steps: int = 0  # of time
    kills: int = 0
    powers: int = 0  # kills after which a part of what was not synced is there
    wipes: int = 0
    breaks: int = 0  # of a link, with all that is on it
    doubles: int = 0  # of a frame
    replaced: int = 0
    resigns: int = 0
    joins: int = 0  # of an empty machine
    holds: int = 0  # of a link's direction or a disk, for as long as one likes
    delays: int = ALL  # of what is next in turn, behind one that is ready too


class State(NamedTuple):
    clock: int
    boxes: tuple[Box, ...]
    wires: tuple[Wire, ...]
    asked: tuple[Asked, ...]
    left: Left
    acknowledged: frozenset[Fact] = frozenset()
    stood: frozenset[Fact] = frozenset()
    refused: frozenset[Fact] = frozenset()
    owners: frozenset[tuple[int, int, int]] = frozenset()  # section, epoch, machine
    turn: int = 0  # the source that is served next
    held: frozenset[Move] = frozenset()  # sources that give nothing


class Unasked(Contact):
    """Asks nobody: it decides nothing here, and its numbers would make every state a new one.

    What rests on it, telling stations, is played in rehearsals (tests/mesh/test_orders.py).
    """

    def tick(self) -> None:
        """Nothing is asked."""


@dataclass(frozen=True, slots=True)
class Call:
    """An operator's change, or a read where there are no items; tries: how often it may be sent."""

    items: tuple[Fact, ...] = ()
    tries: int = 1


@dataclass(slots=True)
class Scene:
    """What a small world is made of.

    machines: that start; spare: addresses of those that may replace one; rates: of their clocks; losses:
    disks that may go at once.
    """

    name: str
    says: str
    left: Left
    calls: tuple[Call, ...] = ()
    machines: int = 3
    spare: int = 0
    sections: int = 2
    losses: int = 1
    rates: tuple[float, ...] = ()
    step: int = STEP
    first: tuple[Move, ...] = ()  # what has happened when the search begins; REST: all that is ready arrives
    settled: int = 60  # tenths of a second before the first trouble
    swapped: tuple[bytes, bytes] | None = None  # values that may change places: states alike are folded
    counted: bool = False  # time passes only while no more are lost than is borne
    calm_each: int = 0  # every how many states calm is played out, to see that all is found again


@dataclass(slots=True)
class World:
    """The steps of a scene's states.  All methods are functions of what they are given."""

    scene: Scene
    locals: Locals = field(init=False)
    addresses: tuple[str, ...] = field(init=False)
    pairs: tuple[tuple[int, int], ...] = field(init=False)

    def __post_init__(self) -> None:
        scene = self.scene
        self.addresses = tuple(f"{chr(65 + i)}:1" for i in range(scene.machines + scene.spare))
        self.pairs = tuple(combinations(range(len(self.addresses)), 2))
        seeds = self.addresses[: min(3, scene.machines)]

        def make(address: str, life: int, first_run: bool, disk: dict[str, bytes]) -> Interlocking:
            machine = Interlocking(
                address,
                "zone",
                first_run=first_run,
                seeds=seeds,
                losses=scene.losses,
                rng=Still(1000 * life),
                kept=disk,
                sections=scene.sections,
            )
            machine.contact = Unasked(machine)
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

    def now(self, state: State, i: int) -> float:
        """A machine's own clock."""
        rate = self.scene.rates[i] if self.scene.rates else 1.0
        return round(0.1 * state.clock * rate, 6)

    def _pair(self, a: int, b: int) -> int:
        return self.pairs.index((a, b) if a < b else (b, a))

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
            code = Code(answer.code)
            clear = code in (Code.DONE, Code.CONFLICT)
            after = asked._replace(at=-1, done=clear, tries=0 if clear else asked.tries)
            state = state._replace(asked=(*state.asked[:c], after, *state.asked[c + 1 :]))
            if not asked.items:
                if code is Code.DONE:
                    self._read(asked.owed, answer.items)
            elif code is Code.DONE:
                state = state._replace(acknowledged=state.acknowledged | frozenset(asked.items))
                self._kept(state)
            elif (
                code is Code.CONFLICT
                and len(asked.items) == 1
                and not asked.items[0][0].startswith(ORDERS)  # of these it says that the count has moved on
            ):
                state = state._replace(refused=state.refused | frozenset(asked.items))
                self._stands(state, ())
        return state

    def _owned(self, state: State, owners: frozenset[tuple[int, int, int]]) -> State:
        known = {(section, epoch): i for section, epoch, i in state.owners}
        for section, epoch, i in owners:
            if known.setdefault((section, epoch), i) != i:
                raise Broken(f"section {section} has two owners at epoch {epoch}")
        return state._replace(owners=state.owners | owners)

    def _duties(self, state: State) -> None:
        held: dict[str, int] = {}
        for i, box in enumerate(state.boxes):
            if not box.local:
                continue
            for duty, until in self.locals.view(box.local).leases:
                if self.now(state, i) < until and held.setdefault(duty, i) != i:
                    raise Broken(
                        f"the duty {duty} has two holders: {self._name(held[duty])}, {self._name(i)}"
                    )

    def _forward(self, state: State, i: int, before: frozenset[Fact], after: frozenset[Fact]) -> None:
        versions = {key: version for key, version, *_ in after}
        for key, version, *_ in before:
            if versions.get(key, 0) < version:
                raise Broken(f"{key} goes back from version {version} in one life of {self._name(i)}")

    def _stands(self, state: State, items: tuple[Fact, ...]) -> State:
        stood = state.stood | frozenset(items)
        if len(stood) != len({(key, version) for key, version, *_ in stood}):
            raise Broken(f"one version stands with two values: {_told(stood)}")
        if wrong := stood & state.refused:
            raise Broken(f"refused, and stands all the same: {_told(wrong)}")
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
                raise Broken(
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
                raise Broken(f"a read gives {key} version {got}, older than version {version}")

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

    def swapped(self, state: State, swap: Callable[[bytes], bytes]) -> State:
        """The state with the bytes of values swapped throughout."""

        def facts(of: frozenset[Fact]) -> frozenset[Fact]:
            return frozenset((key, version, dropped, swap(value)) for key, version, dropped, value in of)

        def batch(write: ToWrite) -> ToWrite:
            records = tuple((name, swap(value)) for name, value in write.records)
            return ToWrite(records, tuple(ToSend(send.to, swap(send.data)) for send in write.then))

        boxes = tuple(
            box._replace(
                local=self.locals.swapped(box.local, swap),
                disk=self.locals.swapped_disk(box.disk, swap),
                queue=tuple(map(batch, box.queue)),
            )
            for box in state.boxes
        )
        wires = tuple(
            wire._replace(
                ahead=tuple(map(swap, wire.ahead)),
                back=tuple(map(swap, wire.back)),
                left_ahead=tuple(map(swap, wire.left_ahead)),
                left_back=tuple(map(swap, wire.left_back)),
            )
            for wire in state.wires
        )
        # Two calls that differ by the values alone are each other's.
        asked = tuple(
            sorted(
                (
                    a._replace(
                        items=tuple((k, v, d, swap(value)) for k, v, d, value in a.items), owed=facts(a.owed)
                    )
                    for a in state.asked
                ),
                key=lambda a: [a.items != b.items for b in state.asked],
            )
        )
        return state._replace(
            boxes=boxes,
            wires=wires,
            asked=asked,
            acknowledged=facts(state.acknowledged),
            stood=facts(state.stood),
            refused=facts(state.refused),
        )

    # ------------------------------------------------------------ stories

    def _name(self, i: int) -> str:
        return self.addresses[i][0]

    def tell(self, state: State, move: Move) -> str:
        """What a move is, in words; state: before it."""
        kind, *where = move
        names = (
            [] if kind in ("call", "leave", "hold", "release") else [self._name(int(w)) for w in where[:2]]
        )
        if kind in ("arrives", "late", "doubled"):
            a, b = int(where[0]), int(where[1])
            wire = state.wires[self._pair(a, b)]
            late = kind == "late" or (kind == "doubled" and bool(where[2]))
            queue = getattr(wire, ("left_" if late else "") + ("ahead" if a < b else "back"))
            frame = Frame.FromString(queue[0])
            what = frame.WhichOneof("body") or ""
            return f"{names[0]} -> {names[1]}: {what} {_line(getattr(frame, what))} ({kind})"
        if kind == "pass":
            return f"{0.1 * self.scene.step} s pass"
        if kind == "call":
            items = state.asked[int(where[0])].items
            what = _told(frozenset(items)) if items else "a read"
            return f"an operator asks {self._name(int(where[1]))}: {what}"
        if kind == "leave":
            return f"the operator of call {where[0]} waits no longer"
        if kind in ("hold", "release"):
            return f"{kind} {' '.join(map(str, where))}"
        if kind == "power":
            return f"{names[0]} loses power; {where[1]} of what it was writing is there"
        if kind in ("start", "synced"):
            return f"{names[0]} {'starts' if kind == 'start' else 'has synced'}"
        return f"{kind} {' '.join(names)}"


def _told(facts: frozenset[Fact]) -> str:
    return ", ".join(
        f"{key} version {version}{' dropped' if dropped else ' ' + value.decode(errors='replace')}"
        for key, version, dropped, value in sorted(facts)
    )


def _line(message: object) -> str:
    return " ".join(str(message).split())[:110]

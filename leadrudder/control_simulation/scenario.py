"""A rehearsal: a world with faults and operators drawn from a seed, and what must hold at its end."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from random import Random

from leadrudder.configuration.items import VOTER_COUNT_KEY
from leadrudder.consensus.outputs import Answer, ResultCode
from leadrudder.control_simulation.nodes import Stations
from leadrudder.control_simulation.world import Broken, Machine, World
from leadrudder.protocol.mesh_pb2 import Item
from leadrudder.simulation.shrink import ddmin

KEYS = [f"routes/r{i}" for i in range(6)] + ["services/s", "limits"]
SETTLE_S = 4.0  # a machine that is back counts as lost for so long
AGAIN_S = 0.4  # an operator sends again, to another machine
END_S = 12.0  # in calm, after which all must be read back

FAULTS = (
    "kill",
    "power",
    "wipe",
    "cut",
    "one_way",
    "stall",
    "slow",
    "replace",
    "planned",
    "kill_all",
    "resign",
    "after_ack_kill",
    "after_ack_wipe",
)
STANDSTILL = ("freeze",)  # a process stands still and runs on with what it knew
RESIZING = ("grow", "shrink")  # two seats more, with the machines for them; two less
SEATS_MOST = 9
AFTER_ACK_S = 0.004  # a machine that acknowledged goes within so much


@dataclass(frozen=True, slots=True)
class Fault:
    """at_s: when; pick: which of the running machines, as a part of all; span_s: for how long."""

    at_s: float
    kind: str
    pick: float
    span_s: float

    def __str__(self) -> str:
        return f"{self.at_s:.3f} s: {self.kind}, {self.span_s:.1f} s"


@dataclass(slots=True)
class Course:
    """seed: of all chance; machines: of the core; faults: how many, from which kinds; plan: the faults
    themselves, where they are not drawn; stations: that are told what stands.
    """

    seed: int
    machines: int = 3
    faults: int = 6
    kinds: tuple[str, ...] = FAULTS
    calls: int = 14
    stations: int = 0
    plan: tuple[Fault, ...] | None = None
    world: World = field(init=False)
    _lost: dict[str, float] = field(default_factory=dict)  # machines that count as lost, and until when
    _open: list[list[Item]] = field(default_factory=list)  # calls without a clear answer
    _replaced: int = 0
    _fatal: Fault | None = None  # waits for an acknowledgement
    _seats: int = 0  # wanted by the operator's latest order; 0: there was none
    _orders: int = 0

    def play(self) -> World:
        """Broken if any rule does not hold; the same seed plays the same again."""
        self.world = world = World(self.seed, self.machines)
        rng = world.rng
        told = Stations(world, self.stations)
        world.play(3.0)
        versions = dict.fromkeys(KEYS, 1)
        self._send([Item(key=key, version=1, value=b"first") for key in KEYS])
        world.play(5.0)
        for fault in self.drawn():
            world.at(fault.at_s, lambda fault=fault: self._fault(fault))  # type: ignore[misc]
        for i in range(self.calls):
            at = 5.0 + 14.0 * rng.random()
            world.at(at, lambda i=i: self._change(versions, i))  # type: ignore[misc]
            world.at(at + rng.random(), self._look)
        world.play(20.0)
        world.heal()
        for machine in world.machines.values():
            machine.stalled_until, machine.slow = 0.0, 1.0
            world.thaw(machine)
            world.start(machine)
        world.play(20.0 + END_S)
        self._end()
        told.end()
        return world

    def drawn(self) -> tuple[Fault, ...]:
        """The plan: the same for the same seed, whatever the play does."""
        if self.plan is not None:
            return self.plan
        rng = Random(f"plan {self.seed}")
        return tuple(
            Fault(5.0 + 12.0 * rng.random(), rng.choice(self.kinds), rng.random(), 0.5 + 3.5 * rng.random())
            for _ in range(self.faults)
        )

    # ------------------------------------------------------------ operators

    def _running(self) -> list[Machine]:
        return [m for m in self.world.machines.values() if m.process is not None]

    def _change(self, versions: dict[str, int], i: int) -> None:
        rng = self.world.rng
        keys = rng.sample(KEYS, rng.choice((1, 1, 2, 4)))
        for key in keys:
            versions[key] += rng.choice((1, 1, 3))
        items = [
            Item(key=key, version=versions[key], value=b"v%d" % i, dropped=rng.random() < 0.2) for key in keys
        ]
        for item in items:
            if item.dropped:
                item.value = b""
        self._send(items)
        if rng.random() < 0.4:  # another operator at the same time, with the same version
            shared = rng.sample(keys, rng.randint(1, len(keys)))
            rival = [Item(key=key, version=versions[key], value=b"w%d" % i) for key in shared]
            self.world.after(0.02 * rng.random(), lambda: self._send(rival))

    def _send(self, items: list[Item]) -> None:
        """Sent again as it was, to any machine, until there is a clear answer."""
        world = self.world
        self._open.append(items)
        done = False
        asked: list[Machine] = []

        def answered(answer: Answer) -> None:
            nonlocal done
            if answer.code in (ResultCode.DONE, ResultCode.CONFLICT) and not done:
                done = True
                self._open.remove(items)
                world.tell(f"{items[0].key} v{items[0].version} {items[0].value!r}: {answer.code.name}")
                if answer.code is ResultCode.DONE and self._fatal is not None:
                    self._after_ack(asked[-1])

        def again() -> None:
            if done:
                return
            running = self._running()
            if running:
                asked.append(world.rng.choice(running))
                world.call(asked[-1], items, answered)
            world.after(AGAIN_S + AGAIN_S * world.rng.random(), again)

        again()

    def _look(self) -> None:
        running = self._running()
        if running:
            self.world.read(self.world.rng.choice(running), lambda answer: None)

    # ------------------------------------------------------------ faults

    def _may_lose(self, machine: Machine) -> bool:
        now = self.world.now
        lost = {a for a, until in self._lost.items() if until > now and a != machine.address}
        return len(lost) < self.world.losses

    def _lose(self, machine: Machine, span: float) -> None:
        self._lost[machine.address] = self.world.now + span + SETTLE_S

    def _after_ack(self, machine: Machine) -> None:
        """The machine that answered loses power, or its disk too, a moment later."""
        fault, self._fatal = self._fatal, None
        assert fault is not None
        if machine.process is None or not self._may_lose(machine):
            return
        self._lose(machine, fault.span_s)

        def strike() -> None:
            self.world.kill(machine, power=True, wipe=fault.kind == "after_ack_wipe")
            self.world.after(fault.span_s, lambda: self.world.start(machine))

        self.world.after(AFTER_ACK_S * fault.pick, strike)

    def _fault(self, fault: Fault) -> None:
        world, rng = self.world, self.world.rng
        running = self._running()
        if not running:
            return
        kind, span = fault.kind, fault.span_s
        machine = running[int(fault.pick * len(running))]
        if kind in ("after_ack_kill", "after_ack_wipe"):
            self._fatal = fault
            return
        if kind in RESIZING:
            self._resize(kind == "grow")
            return
        if kind == "kill_all":
            for each in running:
                world.kill(each, power=rng.random() < 0.5)
                world.after(0.5 + 0.5 * rng.random(), lambda each=each: world.start(each))  # type: ignore[misc]
            return
        if not self._may_lose(machine):
            return
        self._lose(machine, span)
        others = [m.address for m in running if m is not machine]
        if kind in ("kill", "power", "wipe"):
            world.kill(machine, power=kind != "kill", wipe=kind == "wipe")
            world.after(span, lambda: world.start(machine))
        elif kind in ("cut", "one_way"):
            world.cut([machine.address], others, one_way=kind == "one_way")
            world.after(span, world.heal)
        elif kind == "freeze":
            world.freeze(machine)
            world.after(span, lambda: world.thaw(machine))
        elif kind == "stall":
            machine.stalled_until = world.now + span
            world.tell(f"the disk of {machine.address} stalls for {span:.1f} s")
        elif kind == "slow":
            machine.slow = 10.0
            world.tell(f"the disk of {machine.address} is slow for {span:.1f} s")
            world.after(span, lambda: setattr(machine, "slow", 1.0))
        elif kind == "planned":
            self._replaced += 1
            fresh = world.join(f"10.{50 + self._replaced}.0.1:1")
            self._lose(fresh, SETTLE_S)
            world.after(span, lambda: self._leave(machine))
        elif kind == "replace":
            self._replaced += 1
            fresh = world.replace(machine, f"10.{50 + self._replaced}.0.1:1")
            self._lose(fresh, SETTLE_S)
        elif kind == "resign":
            process = machine.process
            assert process is not None
            world.tell(f"{machine.address} resigns")
            world._carry_out(machine, process.resign(world.now))
            world.after(0.6, lambda: world.kill(machine))
            world.after(span + 0.6, lambda: world.start(machine))

    def _resize(self, more: bool) -> None:
        """The operator's order; machines for further seats come with it, and none goes when they are less."""
        world = self.world
        now = self._seats or self.machines
        wanted = now + 2 if more else now - 2
        if not max(3, 2 * world.losses + 1) <= wanted <= SEATS_MOST:
            return
        self._seats, self._orders = wanted, self._orders + 1
        world.tell(f"{wanted} seats are wanted")
        for _ in range(2 * more):
            self._replaced += 1
            world.join(f"10.{50 + self._replaced}.0.1:1")
        self._send([Item(key=VOTER_COUNT_KEY, version=self._orders, value=b"%d" % wanted)])

    def _leave(self, machine: Machine) -> None:
        """SIGTERM, and it does not come back."""
        if machine.process is None:
            return
        self.world.tell(f"{machine.address} resigns for good")
        self.world._carry_out(machine, machine.process.resign(self.world.now))

        def leave() -> None:
            self.world.kill(machine)
            machine.gone = True

        self.world.after(0.6, leave)

    # ------------------------------------------------------------ the end

    def _end(self) -> None:
        """In calm all machines answer, and what was acknowledged is read back at each."""
        world = self.world
        read: list[str] = []
        for machine in self._running():
            address = machine.address

            def answered(answer: Answer, address: str = address) -> None:
                if answer.code is ResultCode.DONE:
                    read.append(address)

            world.read(machine, answered)
        world.play(world.now + 2.0)
        running = [m.address for m in self._running()]
        if sorted(read) != sorted(running):
            world.broken(f"only {read} of {running} answer in calm")
        world.explained()
        self._sized(running)
        unanswered = [items for items in self._open if not world.divided(items)]
        if unanswered:
            world.broken(f"{len(unanswered)} changes have no answer in calm")

    def _sized(self, running: list[str]) -> None:
        """In calm there are as many full seats as were wanted, and sections are spread evenly."""
        if not self._seats or len(running) < self._seats:
            return
        world = self.world
        owned: dict[str, int] = {}
        for machine in self._running():
            process = machine.process
            assert process is not None
            holders = process.voter_table.holders()
            full = [h for h in holders if process.is_voter(h)]
            if len(full) != self._seats:
                world.broken(f"{machine.address} sees {full} of {holders}, {self._seats} are wanted")
            if machine.address in holders:
                owned[machine.address] = len(process.ownership.owned_sections())
        if max(owned.values()) - min(owned.values()) > 1:
            world.broken(f"sections are not even: {owned}")


def rule(broken: Broken) -> str:
    """A broken rule without names and numbers."""
    return " ".join(word for word in str(broken).splitlines()[0].split() if word.isalpha())


def cut(course: Course, tell: Callable[[str], None] = lambda _: None) -> tuple[Course, Broken] | None:
    """A course that breaks a rule, with the least of its faults that still break it; None if it breaks none.

    tell is given a line for each try.
    """

    def breaks(plan: Sequence[Fault]) -> Broken | None:
        try:
            replace(course, plan=tuple(plan)).play()
        except Broken as broken:
            return broken
        return None

    plan = course.drawn()
    whole = breaks(plan)
    if whole is None:
        return None

    def fails(left: Sequence[Fault]) -> bool:
        found = breaks(left)
        same = found is not None and rule(found) == rule(whole)
        tell(f"{len(left)} of {len(plan)} faults: {'breaks' if same else 'does not'}")
        return same

    least = tuple(ddmin(plan, fails))
    return replace(course, plan=least), breaks(least) or whole

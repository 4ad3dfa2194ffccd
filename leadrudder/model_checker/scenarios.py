"""The scenes: small worlds that together hold every trouble which the control state must stand."""

from __future__ import annotations

from leadrudder.configuration.items import CORE
from leadrudder.model_checker.machine_states import Fact
from leadrudder.model_checker.state import REST, Action, Call, Left, Scene

ONE, TWO = "routes/r4", "routes/r1"  # in sections 0 and 1 of two


def change(key: str, version: int, value: bytes = b"", *, dropped: bool = False) -> tuple[Fact, ...]:
    return ((key, version, dropped, value),)


CORE_TO_4, CORE_TO_3 = Call(change(CORE, 2, b"4")), Call(change(CORE, 2, b"3"))
CORE_TO_5, CORE_BACK = Call(change(CORE, 2, b"5"), tries=4), Call(change(CORE, 3, b"3"), tries=4)
RIVALS = (Call(change(ONE, 2, b"<a>")), Call(change(ONE, 2, b"<b>")))

_AWAY: Action = ("hold", "arrives", 0, 1)  # what A sends does not reach B
_DEAF: tuple[Action, ...] = (_AWAY, ("hold", "arrives", 2, 1), ("hold", "late", 2, 1))  # nor what C sends

SCENARIOS = {
    scene.name: scene
    for scene in (
        Scene(
            "rivals",
            "two operators give one version two values, and a machine loses power",
            Left(steps=2, powers=1, delays=1),
            RIVALS,
            first=(("call", 0, 0), ("call", 1, 1)),
            recovery_check_every=997,
        ),
        Scene(
            "asked",
            "the same from the beginning: each operator asks any machine at any time, and values are folded",
            Left(steps=1, powers=1, delays=0),
            RIVALS,
            swapped=(b"<a>", b"<b>"),
            recovery_check_every=997,
        ),
        Scene(
            "wiped",
            "a change that one machine does not hear of is acknowledged, and a machine loses its disk",
            Left(steps=2, wipes=1, powers=1, delays=0),
            (Call(change(ONE, 2, b"<a>")),),
            first=(("call", 0, 0), *_DEAF, REST, ("pass",)),
            recovery_check_every=997,
        ),
        Scene(
            "replaced",
            "the same, a machine is gone for good, and an empty one comes at another address",
            Left(steps=8, replaced=1, delays=0),
            (Call(change(ONE, 2, b"<a>")),),
            first=(("call", 0, 0), *_DEAF, REST, ("pass",)),
            spare=1,
            recovery_check_every=997,
        ),
        Scene(
            "cuts",
            "links break twice while a change and the drop that follows it are on their way",
            Left(steps=3, breaks=2, delays=0),
            (Call(change(ONE, 2, b"<a>")), Call(change(ONE, 3, dropped=True))),
            first=(("call", 0, 0),),
            recovery_check_every=997,
        ),
        Scene(
            "reads",
            "a read elsewhere while a change that one machine does not hear of is under way, and one dies",
            Left(steps=8, kills=1, delays=0),
            (Call(change(ONE, 2, b"<a>")), Call()),
            first=(("call", 0, 0), _AWAY),
            step=1,
            recovery_check_every=997,
        ),
        Scene(
            "two-keys",
            "one call over two sections, another on one of them, and a frame that comes twice",
            Left(steps=2, doubles=1, kills=1, delays=0),
            (
                Call((*change(ONE, 2, b"<a>"), *change(TWO, 2, b"<a>"))),
                Call(change(TWO, 2, b"<b>")),
            ),
            first=(("call", 0, 0),),
            recovery_check_every=997,
        ),
        Scene(
            "duty",
            "who holds a duty is cut off, and a machine dies, by clocks that run apart as far as they may",
            Left(steps=6, kills=1, delays=0),
            rates=(1.0, 1.2, 1.2),
            first=(("break", 0, 1), ("hold", "link", 0, 1), ("hold", "arrives", 0, 2)),
            recovery_check_every=997,
        ),
        Scene(
            "again",
            "an operator waits no longer and asks another machine, a rival asks too, and an owner dies",
            Left(steps=2, kills=1, delays=0),
            (Call(change(ONE, 2, b"<a>"), tries=2), Call(change(ONE, 2, b"<b>"))),
            first=(("call", 0, 0), _AWAY),
            recovery_check_every=997,
        ),
        Scene(
            "handed",
            "an owner resigns while a change is on its way to it, and another loses power",
            Left(steps=3, resigns=1, powers=1, delays=0),
            (Call(change(ONE, 2, b"<a>"), tries=2),),
            first=(("call", 0, 2),),
            recovery_check_every=997,
        ),
        Scene(
            "planned",
            "a fourth machine waits, one resigns and it takes the seat, while who holds a duty is cut off",
            Left(steps=6, resigns=1, holds=3, delays=0),
            machines=4,
            recovery_check_every=997,
        ),
        Scene(
            "grown",
            "a fourth machine gets a seat that is new while a change is made, and a machine loses power",
            Left(steps=8, powers=1, delays=0),
            (CORE_TO_4, Call(change(ONE, 2, b"<a>"), tries=2)),
            first=(("call", 0, 0), REST, ("join",)),
            spare=1,
            recovery_check_every=997,
        ),
        Scene(
            "closed",
            "of five seats two are closed while a change is made that two do not hear of; one loses power",
            Left(steps=8, powers=1, delays=0),
            (CORE_TO_3, Call(change(ONE, 2, b"<a>"), tries=2)),
            first=(("call", 1, 0), ("hold", "arrives", 0, 1), ("hold", "arrives", 0, 3), ("call", 0, 2)),
            machines=5,
            losses=2,
            recovery_check_every=997,
        ),
        Scene(
            "resized",
            "a core of three grows to five and shrinks again under every trouble: for walks",
            Left(steps=60, powers=3, wipes=1, breaks=4, doubles=1, kills=3, replaced=1, joins=2, holds=4),
            (
                CORE_TO_5,
                CORE_BACK,
                Call(change(ONE, 2, b"<a>"), tries=4),
                Call(change(ONE, 2, b"<b>"), tries=4),
                Call(change(TWO, 2, b"<a>"), tries=4),
                Call(tries=3),
            ),
            spare=3,
            counted=True,
        ),
        Scene(
            "five",
            "five machines, two of which may go: for walks",
            Left(steps=40, powers=3, wipes=2, breaks=6, doubles=2, kills=3, replaced=1, resigns=1, holds=6),
            (
                Call(change(ONE, 2, b"<a>"), tries=4),
                Call(change(ONE, 2, b"<b>"), tries=4),
                Call(change(ONE, 3, b"<a>"), tries=4),
                Call(change(TWO, 2, b"<a>"), tries=4),
                Call(tries=3),
            ),
            machines=5,
            spare=1,
            losses=2,
            counted=True,
        ),
        Scene(
            "three",
            "three machines, one of which may go: for walks",
            Left(steps=40, powers=3, wipes=1, breaks=6, doubles=2, kills=3, replaced=1, resigns=1, holds=6),
            (
                Call(change(ONE, 2, b"<a>"), tries=4),
                Call(change(ONE, 2, b"<b>"), tries=4),
                Call(change(ONE, 3, dropped=True), tries=4),
                Call(change(TWO, 2, b"<a>"), tries=4),
                Call(tries=3),
            ),
            spare=1,
            counted=True,
        ),
    )
}
RANDOM_WALK_SCENARIOS = ("five", "three", "resized")

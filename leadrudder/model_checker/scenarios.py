"""The scenarios, which together contain every fault that the control state must tolerate."""

from __future__ import annotations

from leadrudder.configuration.items import VOTER_COUNT_KEY
from leadrudder.model_checker.machine_states import ItemTuple
from leadrudder.model_checker.state import QUIESCE, Action, Call, FaultBudget, Scenario

KEY_IN_SECTION_0, KEY_IN_SECTION_1 = "routes/r4", "routes/r1"  # of two sections
OTHER_KEY_IN_SECTION_0 = "routes/r5"


def item_change(
    key: str, version: int, value: bytes = b"", *, dropped: bool = False
) -> tuple[ItemTuple, ...]:
    return ((key, version, dropped, value),)


CORE_TO_4, CORE_TO_3 = (
    Call(item_change(VOTER_COUNT_KEY, 2, b"4")),
    Call(item_change(VOTER_COUNT_KEY, 2, b"3")),
)
CORE_TO_5, CORE_BACK_TO_3 = (
    Call(item_change(VOTER_COUNT_KEY, 2, b"5"), attempts=4),
    Call(item_change(VOTER_COUNT_KEY, 3, b"3"), attempts=4),
)
RIVAL_CALLS = (Call(item_change(KEY_IN_SECTION_0, 2, b"<a>")), Call(item_change(KEY_IN_SECTION_0, 2, b"<b>")))

_A_TO_B_HELD: Action = ("hold", "arrives", 0, 1)  # frames from A do not reach B
# Frames from A and C do not reach B.
_ALL_TO_B_HELD: tuple[Action, ...] = (_A_TO_B_HELD, ("hold", "arrives", 2, 1), ("hold", "late", 2, 1))

# A accepts the first call alone and ends; the second call is taken by the others, and refuses the first.
_REFUSED_WHILE_A_IS_AWAY: tuple[Action, ...] = (
    ("hold", "arrives", 0, 1),
    ("hold", "arrives", 0, 2),
    ("call", 0, 0),
    QUIESCE,
    ("break", 0, 1),
    ("break", 0, 2),
    ("kill", 0),
    ("hold", "start", 0),
    ("release", "arrives", 0, 1),
    ("release", "arrives", 0, 2),
    QUIESCE,
    ("pass",),
    QUIESCE,
    ("call", 1, 1),
    QUIESCE,
    ("call", 0, 2),
    QUIESCE,
    ("release", "start", 0),
)

SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario(
            "rivals",
            "two operators propose different values for one version; one host loses power",
            FaultBudget(time_steps=2, power_losses=1, delays=1),
            RIVAL_CALLS,
            prefix=(("call", 0, 0), ("call", 1, 1)),
            recovery_check_every=997,
        ),
        Scenario(
            "asked",
            "as rivals, but each operator calls any host at any time; symmetric values are merged",
            FaultBudget(time_steps=1, power_losses=1, delays=0),
            RIVAL_CALLS,
            symmetric_values=(b"<a>", b"<b>"),
            recovery_check_every=997,
        ),
        Scenario(
            "wiped",
            "a change is acknowledged while one host receives nothing; a host loses its disk",
            FaultBudget(time_steps=2, disk_wipes=1, power_losses=1, delays=0),
            (Call(item_change(KEY_IN_SECTION_0, 2, b"<a>")),),
            prefix=(("call", 0, 0), *_ALL_TO_B_HELD, QUIESCE, ("pass",)),
            recovery_check_every=997,
        ),
        Scenario(
            "replaced",
            "as wiped, but a host is lost for good and an empty one joins at another address",
            FaultBudget(time_steps=8, replacements=1, delays=0),
            (Call(item_change(KEY_IN_SECTION_0, 2, b"<a>")),),
            prefix=(("call", 0, 0), *_ALL_TO_B_HELD, QUIESCE, ("pass",)),
            spares=1,
            recovery_check_every=997,
        ),
        Scenario(
            "cuts",
            "links break twice while a change and the deletion after it are in progress",
            FaultBudget(time_steps=3, link_breaks=2, delays=0),
            (
                Call(item_change(KEY_IN_SECTION_0, 2, b"<a>")),
                Call(item_change(KEY_IN_SECTION_0, 3, dropped=True)),
            ),
            prefix=(("call", 0, 0),),
            recovery_check_every=997,
        ),
        Scenario(
            "reads",
            "a read at any host during a change that one host does not receive; a process dies",
            FaultBudget(time_steps=8, kills=1, delays=0),
            (Call(item_change(KEY_IN_SECTION_0, 2, b"<a>")), Call()),
            prefix=(("call", 0, 0), _A_TO_B_HELD),
            step_tenths=1,
            recovery_check_every=997,
        ),
        Scenario(
            "two-keys",
            "one call spans two sections, another uses one of them; a frame is duplicated",
            FaultBudget(time_steps=2, duplicates=1, kills=1, delays=0),
            (
                Call((*item_change(KEY_IN_SECTION_0, 2, b"<a>"), *item_change(KEY_IN_SECTION_1, 2, b"<a>"))),
                Call(item_change(KEY_IN_SECTION_1, 2, b"<b>")),
            ),
            prefix=(("call", 0, 0),),
            recovery_check_every=997,
        ),
        Scenario(
            "duty",
            "a lease holder is cut off and a process dies, with the largest allowed clock drift",
            FaultBudget(time_steps=6, kills=1, delays=0),
            clock_rates=(1.0, 1.2, 1.2),
            prefix=(("break", 0, 1), ("hold", "link", 0, 1), ("hold", "arrives", 0, 2)),
            recovery_check_every=997,
        ),
        Scenario(
            "again",
            "an operator retries at another host while a rival calls; an owner dies",
            FaultBudget(time_steps=2, kills=1, delays=0),
            (
                Call(item_change(KEY_IN_SECTION_0, 2, b"<a>"), attempts=2),
                Call(item_change(KEY_IN_SECTION_0, 2, b"<b>")),
            ),
            prefix=(("call", 0, 0), _A_TO_B_HELD),
            recovery_check_every=997,
        ),
        Scenario(
            "returned",
            "a call that one host alone has accepted is refused, then its disk returns; another loses power",
            FaultBudget(time_steps=6, power_losses=1, delays=0),
            (
                Call(
                    (
                        *item_change(KEY_IN_SECTION_0, 2, b"<a>"),
                        *item_change(OTHER_KEY_IN_SECTION_0, 2, b"<a>"),
                    ),
                    attempts=2,
                ),
                Call(item_change(KEY_IN_SECTION_0, 2, b"<b>")),
            ),
            prefix=_REFUSED_WHILE_A_IS_AWAY,
            recovery_check_every=97,
        ),
        Scenario(
            "handed",
            "an owner resigns while a change is on its way to it; another host loses power",
            FaultBudget(time_steps=3, resignations=1, power_losses=1, delays=0),
            (Call(item_change(KEY_IN_SECTION_0, 2, b"<a>"), attempts=2),),
            prefix=(("call", 0, 2),),
            recovery_check_every=997,
        ),
        Scenario(
            "planned",
            "a fourth host takes the voter slot of one that resigns while a lease holder is cut off",
            FaultBudget(time_steps=6, resignations=1, holds=3, delays=0),
            machines=4,
            recovery_check_every=997,
        ),
        Scenario(
            "grown",
            "a fourth host gets an additional voter slot during a change; a host loses power",
            FaultBudget(time_steps=8, power_losses=1, delays=0),
            (CORE_TO_4, Call(item_change(KEY_IN_SECTION_0, 2, b"<a>"), attempts=2)),
            prefix=(("call", 0, 0), QUIESCE, ("join",)),
            spares=1,
            recovery_check_every=997,
        ),
        Scenario(
            "closed",
            "two of five voter slots are closed during a change that two hosts miss; one loses power",
            FaultBudget(time_steps=8, power_losses=1, delays=0),
            (CORE_TO_3, Call(item_change(KEY_IN_SECTION_0, 2, b"<a>"), attempts=2)),
            prefix=(("call", 1, 0), ("hold", "arrives", 0, 1), ("hold", "arrives", 0, 3), ("call", 0, 2)),
            machines=5,
            tolerated_losses=2,
            recovery_check_every=997,
        ),
        Scenario(
            "resized",
            "three voters grow to five and shrink again under all faults; for random walks",
            FaultBudget(
                time_steps=60,
                power_losses=3,
                disk_wipes=1,
                link_breaks=4,
                duplicates=1,
                kills=3,
                replacements=1,
                joins=2,
                holds=4,
            ),
            (
                CORE_TO_5,
                CORE_BACK_TO_3,
                Call(item_change(KEY_IN_SECTION_0, 2, b"<a>"), attempts=4),
                Call(item_change(KEY_IN_SECTION_0, 2, b"<b>"), attempts=4),
                Call(item_change(KEY_IN_SECTION_1, 2, b"<a>"), attempts=4),
                Call(attempts=3),
            ),
            spares=3,
            limit_losses=True,
        ),
        Scenario(
            "five",
            "five hosts, two of which may be lost; for random walks",
            FaultBudget(
                time_steps=40,
                power_losses=3,
                disk_wipes=2,
                link_breaks=6,
                duplicates=2,
                kills=3,
                replacements=1,
                resignations=1,
                holds=6,
            ),
            (
                Call(item_change(KEY_IN_SECTION_0, 2, b"<a>"), attempts=4),
                Call(item_change(KEY_IN_SECTION_0, 2, b"<b>"), attempts=4),
                Call(item_change(KEY_IN_SECTION_0, 3, b"<a>"), attempts=4),
                Call(item_change(KEY_IN_SECTION_1, 2, b"<a>"), attempts=4),
                Call(attempts=3),
            ),
            machines=5,
            spares=1,
            tolerated_losses=2,
            limit_losses=True,
        ),
        Scenario(
            "three",
            "three hosts, one of which may be lost; for random walks",
            FaultBudget(
                time_steps=40,
                power_losses=3,
                disk_wipes=1,
                link_breaks=6,
                duplicates=2,
                kills=3,
                replacements=1,
                resignations=1,
                holds=6,
            ),
            (
                Call(item_change(KEY_IN_SECTION_0, 2, b"<a>"), attempts=4),
                Call(item_change(KEY_IN_SECTION_0, 2, b"<b>"), attempts=4),
                Call(item_change(KEY_IN_SECTION_0, 3, dropped=True), attempts=4),
                Call(item_change(KEY_IN_SECTION_1, 2, b"<a>"), attempts=4),
                Call(attempts=3),
            ),
            spares=1,
            limit_losses=True,
        ),
    )
}
RANDOM_WALK_SCENARIOS = ("five", "three", "resized")

"""Health, always against peers: servers that are ejected, and classes that a server is barred from."""

from __future__ import annotations

import math
from collections.abc import Callable

from leadrudder.interface import CloseIdle, Effect, Outcome, Probe, ProbeEnded, ServerId, Settings
from leadrudder.policy.placement import Placement
from leadrudder.state.capacity import MAX_EJECTED_SHARE, can_eject_another
from leadrudder.state.records import ClassHealth, EventContext, Server

FAIL_STEP = 0.3  # two failures in a row cross FAIL_EJECT, one never does
SPOILT_STEP = 0.14  # any server spoils an answer now and then: four in a row cross it, three never do
FAIL_EJECT = 0.45
FAIL_VS_PEERS = 2.0  # and it must fail at twice the peers' rate, so that a shared cause ejects nobody
FAIL_CHANCE = 0.001  # a run of a class's failures that peers' usual rate brings this often bars nobody
USUAL_STEP = 0.05  # that rate spans about twenty answers of each server
BAR_MOST = 0.5  # and that may be out for one class: these go on serving the others, so no capacity is lost
# Time out is told in cold times, as what broke a server mostly starts it anew; but where servers warm up in
# a second, what ails one still lasts for many answers: one that failed a class was tried every second.
EJECT_AIMS = 4.0
EJECT_FIRST = 0.2  # first time out, as a part of that; doubles up to EJECT_LONGEST
EJECT_LONGEST = 1.0


def _beyond_chance(rate: float) -> float:
    """What an average by FAIL_STEP reaches in a run of failures that is no chance at this usual rate."""
    run = math.log(FAIL_CHANCE) / math.log(rate) if rate > 0.0 else 0.0
    return 1.0 - math.pow(1.0 - FAIL_STEP, run)


class Health:
    """The running record of failures over all listed servers."""

    def __init__(
        self,
        settings: Settings,
        turn: EventContext,
        fleet: Placement,
        return_at: Callable[[float, ServerId], None],
    ) -> None:
        self._settings = settings
        self._turn = turn
        self._fleet = fleet
        self._return_at = return_at
        aim = min(c.aim_ms for c in settings.classes)
        self._recovery = max(settings.cold_ms or 10_000.0, EJECT_AIMS * aim)
        self._turned = 0  # arms that turned a call away, and served none since
        self._ejected = 0
        self._fails = 0.0  # the sum of fail over all arms that are not ejected
        self._class_fails = [0.0] * len(settings.classes)  # the same of each class, over all arms
        self._class_usual = [0.0] * len(settings.classes)
        fleet.count = self.count

    def many_turn_away(self, server: Server) -> bool:
        """Whether more turn calls away than could be left out; the one at hand is not in the sum."""
        return self._turned + (server.position >= 0) > MAX_EJECTED_SHARE * len(self._fleet.arms)

    def count(self, server: Server, times: int) -> None:
        """Take a server out of what is summed up over all arms (-1) before it changes, and in again (1)."""
        if server.position < 0:
            return
        self._turned += times * (server.consecutive_refusals > 0)
        self._ejected += times * server.ejected
        self._fails += 0.0 if server.ejected else times * server.failure_rate
        for c, health in enumerate(server.class_health):
            self._class_fails[c] += times * health.failure_rate
            self._class_usual[c] += times * health.long_term_failure_rate

    def failed(self, server: Server, class_index: int, outcome: Outcome, current: bool) -> None:
        """A failed answer or none; current: the server has not been started anew since it was sent."""
        health = server.class_health[class_index]
        health.long_term_failure_rate += USUAL_STEP * (1.0 - health.long_term_failure_rate)
        if current and not (outcome is Outcome.ERROR and self._class_failed(server, class_index)):
            self.eject(server, outcome)

    def _class_failed(self, server: Server, class_index: int) -> bool:
        """An error in one class, at a server that serves others: it is held against that class alone.

        Guards against a server that fails one class and came back after each good trial with another.  An
        error may come from a tier behind: where peers' answers fail now and then it takes a longer run (two
        errors in a row barred two healthy servers of five), and whatever fails behind all alike bars none.
        """
        health = server.class_health[class_index]
        if self._turn.now < health.blocked_until:
            return True  # sent before: the class pays for that already
        health.failure_rate += FAIL_STEP * (1.0 - health.failure_rate)
        if not any(h.served and h.failure_rate < FAIL_STEP for h in server.class_health if h is not health):
            return False
        peers = len(self._fleet.arms) - (server.position >= 0)  # it is not in the sums itself
        others = (s.class_health[class_index] for s in self._fleet.special.values() if s is not server)
        shut = [h for h in others if not h.accepts_calls(self._turn.now)]
        open_peers = peers - len(shut)
        norm = (self._class_fails[class_index] - sum(h.failure_rate for h in shut)) / peers if peers else 1.0
        usual = self._class_usual[class_index] - sum(h.long_term_failure_rate for h in shut)
        usual = max(0.0, usual / open_peers) if open_peers else 0.0
        if health.on_probation or (
            health.failure_rate >= max(FAIL_EJECT, _beyond_chance(usual))
            and health.failure_rate >= FAIL_VS_PEERS * norm
            and can_eject_another(len(shut), len(self._fleet.arms), BAR_MOST)
        ):
            kind = self._settings.classes[class_index]
            part = min(EJECT_LONGEST, EJECT_FIRST * 2.0 ** min(health.backoff_exponent, 10))
            if kind.effect is Effect.UNSAFE:
                part = EJECT_LONGEST  # a trial of what may not be repeated is a request lost if it fails
            pause = part * self._recovery * (0.75 + 0.5 * self._turn.rng.random())
            text = f"server {server.entry.server.hex()} gets no {kind.name} for {pause:.0f} ms"
            self._turn.log(f"{text}, fail {health.failure_rate:.2f} against {norm:.2f} of its peers")
            health.blocked_until, health.on_probation, health.failure_rate = (
                self._turn.now + pause,
                True,
                FAIL_STEP,
            )
            health.backoff_exponent += 1
            self._fleet.look_again(server, health.blocked_until)
        return True

    def succeeded(self, server: Server, health: ClassHealth) -> None:
        health.served, health.on_probation = True, False
        health.failure_rate -= FAIL_STEP * health.failure_rate
        health.long_term_failure_rate -= USUAL_STEP * health.long_term_failure_rate
        if health.failure_rate < 0.05:
            health.backoff_exponent = 0
        server.failure_rate -= FAIL_STEP * server.failure_rate
        if server.on_probation:
            server.on_probation = False
            self._turn.log(f"server {server.entry.server.hex()} returns after a good trial")
        elif not server.ejected and server.failure_rate < 0.05:
            server.backoff_exponent = 0

    def eject(self, server: Server, outcome: Outcome) -> None:
        """Outlier ejection: against peers, at most a part of the fleet, longer each time."""
        step = SPOILT_STEP if outcome is Outcome.SPOILT else FAIL_STEP
        server.failure_rate += step * (1.0 - server.failure_rate)
        if server.ejected:
            return
        peers = len(self._fleet.arms) - (server.position >= 0)  # it is not in the sums itself
        norm = max(0.0, self._fails) / peers if peers else 1.0
        if server.on_probation or (
            server.failure_rate >= FAIL_EJECT
            and server.failure_rate >= FAIL_VS_PEERS * norm
            and can_eject_another(self._ejected, len(self._fleet.arms))
        ):
            server.ejected, server.on_probation = True, False
            text = f"server {server.entry.server.hex()} ejected: {outcome.value}"
            self._turn.log(f"{text}, fail {server.failure_rate:.2f} against {norm:.2f} of its peers")
            # Idle connections may lead to a dead process; a fresh one proves by failing that nothing ran.
            self._turn.actions.append(CloseIdle(server.entry.server))
            self._schedule_return(server)

    def _schedule_return(self, server: Server) -> None:
        pause = self._recovery * min(EJECT_LONGEST, EJECT_FIRST * 2.0 ** min(server.backoff_exponent, 10))
        server.backoff_exponent += 1
        self._return_at(self._turn.now + pause * (0.75 + 0.5 * self._turn.rng.random()), server.entry.server)

    def try_return(self, server: Server) -> None:
        if not server.ejected:
            return
        if self._settings.may_probe and server.listed:
            self._turn.actions.append(Probe(server.entry.server))
        else:
            self._admit_trial(server)

    def _admit_trial(self, server: Server) -> None:
        self.count(server, -1)
        server.ejected, server.on_probation, server.failure_rate = False, True, FAIL_STEP
        self.count(server, 1)
        self._fleet.note(server)

    def on_probe(self, event: ProbeEnded) -> None:
        server = self._fleet.servers.get(event.server)
        self._fleet.reports.record(server, event.load)
        if server is None or not server.ejected:
            return  # news of a server that has changed meanwhile
        if event.outcome is Outcome.OK:
            self._admit_trial(server)
        else:
            server.backoff_exponent = min(
                server.backoff_exponent, 1
            )  # probes are cheap: keep asking at a steady pace
            self._schedule_return(server)

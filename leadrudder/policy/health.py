"""Outlier detection against peers: ejects servers, and bars servers from single request classes."""

from __future__ import annotations

import math
from collections.abc import Callable

from leadrudder.interface import CloseIdle, Effect, Outcome, Probe, ProbeEnded, ServerId, Settings
from leadrudder.policy.placement import Placement
from leadrudder.state.capacity import MAX_EJECTED_SHARE, can_eject_another
from leadrudder.state.records import ClassHealth, EventContext, Server

FAILURE_STEP = 0.3  # of the failure average: two failures in a row reach EJECT_FAILURE_RATE, one does not
INVALID_ANSWER_STEP = 0.14  # servers send invalid answers at times: four in a row reach it, three do not
EJECT_FAILURE_RATE = 0.45
EJECT_PEER_RATIO = 2.0  # minimum ratio to the failure rate of the peers: a shared cause ejects no server
CHANCE_PROBABILITY = 0.001  # a run of failures that is likelier than this at the peers' rate bars no server
LONG_TERM_STEP = 0.05  # the peers' rate spans about twenty answers of each server
MAX_BARRED_SHARE = 0.5  # of servers, for one class; they still serve the others, so no capacity is lost
# Ejection times are relative to the cold time, as most faults end with a restart; but where servers warm up
# within a second, a fault still lasts for many answers, and a failed class would be retried every second.
EJECTION_BASE_AIMS = 4.0  # lower bound of the base, in latency targets
FIRST_EJECTION_SHARE = 0.2  # first ejection, as a fraction of the base; doubles up to MAX_EJECTION_SHARE
MAX_EJECTION_SHARE = 1.0


def _significant_failure_rate(rate: float) -> float:
    """The failure average after a run of failures that is improbable (CHANCE_PROBABILITY) at this rate."""
    run = math.log(CHANCE_PROBABILITY) / math.log(rate) if rate > 0.0 else 0.0
    return 1.0 - math.pow(1.0 - FAILURE_STEP, run)


class Health:
    """Failure averages of all listed servers, with their sums."""

    def __init__(
        self,
        settings: Settings,
        turn: EventContext,
        placement: Placement,
        reinstate_at: Callable[[float, ServerId], None],
    ) -> None:
        self._settings = settings
        self._turn = turn
        self._placement = placement
        self._reinstate_at = reinstate_at
        aim = min(c.aim_ms for c in settings.classes)
        self._ejection_base_ms = max(settings.cold_ms or 10_000.0, EJECTION_BASE_AIMS * aim)
        self._full_servers = 0  # arms that refused a call as full and have not answered since
        self._ejected = 0
        self._failure_sum = 0.0  # sum of the failure averages of all arms that are not ejected
        self._class_failure_sums = [0.0] * len(settings.classes)  # per class, over all arms
        self._class_long_term_sums = [0.0] * len(settings.classes)
        placement.update_totals = self.update_totals

    def many_servers_full(self, server: Server) -> bool:
        """Whether more servers are full than may be ejected, counting this one, which is not in the sum."""
        return self._full_servers + (server.position >= 0) > MAX_EJECTED_SHARE * len(self._placement.arms)

    def update_totals(self, server: Server, times: int) -> None:
        """Subtracts a server from the sums over all arms before a change (-1), and adds it afterwards (1)."""
        if server.position < 0:
            return
        self._full_servers += times * (server.consecutive_refusals > 0)
        self._ejected += times * server.ejected
        self._failure_sum += 0.0 if server.ejected else times * server.failure_rate
        for c, health in enumerate(server.class_health):
            self._class_failure_sums[c] += times * health.failure_rate
            self._class_long_term_sums[c] += times * health.long_term_failure_rate

    def on_failure(self, server: Server, class_index: int, outcome: Outcome, current: bool) -> None:
        """Records a failed attempt; current: the server has not restarted since it was sent."""
        health = server.class_health[class_index]
        health.long_term_failure_rate += LONG_TERM_STEP * (1.0 - health.long_term_failure_rate)
        if current and not (outcome is Outcome.ERROR and self._charged_to_class(server, class_index)):
            self.add_failure(server, outcome)

    def _charged_to_class(self, server: Server, class_index: int) -> bool:
        """Whether an error counts against its class only, because the server serves other classes.

        Otherwise a server that fails one class would return after each successful trial with another class.
        An error may originate in a tier behind: the higher the error rate of the peers, the longer the run of
        errors that bars a server (two in a row barred two healthy servers of five), and errors that are alike
        at all servers bar none.
        """
        health = server.class_health[class_index]
        if self._turn.now < health.blocked_until:
            return True  # sent before the class was barred
        health.failure_rate += FAILURE_STEP * (1.0 - health.failure_rate)
        if not any(
            h.served and h.failure_rate < FAILURE_STEP for h in server.class_health if h is not health
        ):
            return False
        peers = len(self._placement.arms) - (server.position >= 0)  # it is not included in the sums
        others = (s.class_health[class_index] for s in self._placement.special.values() if s is not server)
        barred = [h for h in others if not h.accepts_calls(self._turn.now)]
        open_peers = peers - len(barred)
        peer_rate = (
            (self._class_failure_sums[class_index] - sum(h.failure_rate for h in barred)) / peers
            if peers
            else 1.0
        )
        class_rate = self._class_long_term_sums[class_index] - sum(h.long_term_failure_rate for h in barred)
        class_rate = max(0.0, class_rate / open_peers) if open_peers else 0.0
        if health.on_probation or (
            health.failure_rate >= max(EJECT_FAILURE_RATE, _significant_failure_rate(class_rate))
            and health.failure_rate >= EJECT_PEER_RATIO * peer_rate
            and can_eject_another(len(barred), len(self._placement.arms), MAX_BARRED_SHARE)
        ):
            kind = self._settings.classes[class_index]
            share = min(MAX_EJECTION_SHARE, FIRST_EJECTION_SHARE * 2.0 ** min(health.backoff_exponent, 10))
            if kind.effect is Effect.UNSAFE:
                share = MAX_EJECTION_SHARE  # a failed trial loses a request that must not be repeated
            pause = share * self._ejection_base_ms * (0.75 + 0.5 * self._turn.rng.random())
            text = f"server {server.entry.server.hex()} barred from class {kind.name} for {pause:.0f} ms"
            self._turn.log(f"{text}, failure rate {health.failure_rate:.2f}, peers {peer_rate:.2f}")
            health.blocked_until, health.on_probation, health.failure_rate = (
                self._turn.now + pause,
                True,
                FAILURE_STEP,
            )
            health.backoff_exponent += 1
            self._placement.recheck_at(server, health.blocked_until)
        return True

    def on_success(self, server: Server, health: ClassHealth) -> None:
        health.served, health.on_probation = True, False
        health.failure_rate -= FAILURE_STEP * health.failure_rate
        health.long_term_failure_rate -= LONG_TERM_STEP * health.long_term_failure_rate
        if health.failure_rate < 0.05:
            health.backoff_exponent = 0
        server.failure_rate -= FAILURE_STEP * server.failure_rate
        if server.on_probation:
            server.on_probation = False
            self._turn.log(f"server {server.entry.server.hex()} reinstated after a successful trial")
        elif not server.ejected and server.failure_rate < 0.05:
            server.backoff_exponent = 0

    def add_failure(self, server: Server, outcome: Outcome) -> None:
        """Records a failure of the server and ejects it if it is an outlier, for longer each time."""
        step = INVALID_ANSWER_STEP if outcome is Outcome.SPOILT else FAILURE_STEP
        server.failure_rate += step * (1.0 - server.failure_rate)
        if server.ejected:
            return
        peers = len(self._placement.arms) - (server.position >= 0)  # it is not included in the sums
        peer_rate = max(0.0, self._failure_sum) / peers if peers else 1.0
        if server.on_probation or (
            server.failure_rate >= EJECT_FAILURE_RATE
            and server.failure_rate >= EJECT_PEER_RATIO * peer_rate
            and can_eject_another(self._ejected, len(self._placement.arms))
        ):
            server.ejected, server.on_probation = True, False
            text = f"server {server.entry.server.hex()} ejected: {outcome.value}"
            self._turn.log(f"{text}, failure rate {server.failure_rate:.2f}, peers {peer_rate:.2f}")
            # Idle connections may belong to a dead process; a failed connect proves that nothing ran.
            self._turn.actions.append(CloseIdle(server.entry.server))
            self._schedule_reinstatement(server)

    def _schedule_reinstatement(self, server: Server) -> None:
        pause = self._ejection_base_ms * min(
            MAX_EJECTION_SHARE, FIRST_EJECTION_SHARE * 2.0 ** min(server.backoff_exponent, 10)
        )
        server.backoff_exponent += 1
        self._reinstate_at(
            self._turn.now + pause * (0.75 + 0.5 * self._turn.rng.random()), server.entry.server
        )

    def try_reinstate(self, server: Server) -> None:
        if not server.ejected:
            return
        if self._settings.may_probe and server.listed:
            self._turn.actions.append(Probe(server.entry.server))
        else:
            self._start_trial(server)

    def _start_trial(self, server: Server) -> None:
        self.update_totals(server, -1)
        server.ejected, server.on_probation, server.failure_rate = False, True, FAILURE_STEP
        self.update_totals(server, 1)
        self._placement.refresh(server)

    def on_probe(self, event: ProbeEnded) -> None:
        server = self._placement.servers.get(event.server)
        self._placement.reports.record(server, event.load)
        if server is None or not server.ejected:
            return  # the server was removed or reinstated meanwhile
        if event.outcome is Outcome.OK:
            self._start_trial(server)
        else:
            server.backoff_exponent = min(
                server.backoff_exponent, 1
            )  # probes are cheap: keep the interval short
            self._schedule_reinstatement(server)

"""Maintenance windows: hours, contracts, plans, and the controller that carries them out."""

from __future__ import annotations

import json
import unittest
from dataclasses import replace
from datetime import UTC, date, datetime, timedelta
from random import Random
from typing import Any
from zoneinfo import ZoneInfo

from returns.result import Failure, Success

from leadrudder.configuration.item_store import ItemStore
from leadrudder.configuration.items import Route
from leadrudder.data_plane.machine_drains import MachineDrains
from leadrudder.maintenance import contract, planner, window
from leadrudder.maintenance.contract import Contract
from leadrudder.maintenance.controller import (
    CLOCK_OBSERVATION_S,
    MaintenanceController,
    finish_early,
    stop_window,
)
from leadrudder.maintenance.hours import ApprovedHours, HoursRule, Interval
from leadrudder.maintenance.planner import FleetState, Machine, WindowRequest, hour_of_week
from leadrudder.maintenance.window import AWAY_STAGES, MAX_CLOCK_SKEW_S, DrainSchedule, Stage, Window
from leadrudder.protocol.mesh_pb2 import Item

EVERY_DAY = frozenset(range(7))
NIGHT = ApprovedHours(ZoneInfo("Europe/Helsinki"), (HoursRule(22 * 60, 5 * 60, EVERY_DAY),))


def at(text: str) -> float:
    return datetime.fromisoformat(text).timestamp()


def is_approved(hours: ApprovedHours, moment: float) -> bool:
    """Whether a moment is approved, evaluated directly from its local time."""
    local = datetime.fromtimestamp(moment, hours.zone)
    minute = 60 * local.hour + local.minute

    def inside(rules: tuple[HoursRule, ...]) -> bool:
        for rule in rules:
            for day, shift in ((local.date(), 0), (local.date() - timedelta(days=1), 1440)):
                of_day = day == rule.on if rule.on is not None else day.weekday() in rule.days
                end = rule.end if rule.end > rule.begin else rule.end + 1440
                if of_day and rule.begin <= minute + shift < end:
                    return True
        return False

    return inside(hours.approved) and not inside(hours.busy) and local.date() not in hours.never


def random_hours(rng: Random, zone: str) -> ApprovedHours:
    def rule() -> HoursRule:
        begin = 15 * rng.randrange(96)
        end = (begin + 15 * rng.randrange(1, 96)) % 1440
        days = frozenset(rng.sample(range(7), rng.randrange(1, 8)))
        return HoursRule(begin, end if end != begin else 1440, days)

    day = date(2026, 1, 1)
    return ApprovedHours(
        ZoneInfo(zone),
        tuple(rule() for _ in range(rng.randrange(1, 4))),
        tuple(rule() for _ in range(rng.randrange(3))),
        frozenset(day + timedelta(days=rng.randrange(365)) for _ in range(12)),
    )


class ApprovedHoursOfContracts(unittest.TestCase):
    def test_the_hours_of_a_year_agree_with_local_time(self) -> None:
        rng = Random(7)
        for zone in ("Europe/Helsinki", "Australia/Lord_Howe"):
            hours = random_hours(rng, zone)
            begin = at("2026-01-01T00:00:00+00:00")
            spans = hours.intervals_between(begin, begin + 365 * 86400.0)
            i = 0
            for minute in range(0, 365 * 1440, 3):
                moment = begin + 60.0 * minute
                while i < len(spans) and spans[i].end <= moment:
                    i += 1
                found = i < len(spans) and spans[i].begin <= moment
                if found != is_approved(hours, moment):
                    self.fail(f"{zone}: {datetime.fromtimestamp(moment, UTC)}: {found}")

    def test_hours_around_daylight_saving_changes_over_years(self) -> None:
        rng = Random(11)
        for year in range(2024, 2031):
            for zone, day in (("Europe/Helsinki", 25), ("America/New_York", 7), ("Australia/Lord_Howe", 4)):
                for month in (3, 4, 10, 11):
                    hours = random_hours(rng, zone)
                    begin = datetime(year, month, day, tzinfo=UTC).timestamp()
                    spans = hours.intervals_between(begin, begin + 7 * 86400.0)
                    for minute in range(0, 7 * 1440, 7):
                        moment = begin + 60.0 * minute
                        found = any(s.begin <= moment < s.end for s in spans)
                        self.assertEqual(found, is_approved(hours, moment), (zone, moment))

    def test_repeated_and_skipped_hours(self) -> None:
        one_to_four = ApprovedHours(ZoneInfo("Europe/Helsinki"), (HoursRule(60, 240, EVERY_DAY),))
        long = one_to_four.intervals_between(at("2026-10-24T20:00:00+00:00"), at("2026-10-25T12:00:00+00:00"))
        short = one_to_four.intervals_between(
            at("2026-03-28T20:00:00+00:00"), at("2026-03-29T12:00:00+00:00")
        )
        self.assertEqual([s.end - s.begin for s in long], [4 * 3600.0])
        self.assertEqual([s.end - s.begin for s in short], [2 * 3600.0])


VALID_CONTRACT: dict[str, Any] = {
    "hosts": ["kampaamo.example"],
    "timeZone": "Europe/Helsinki",
    "approved": [{"days": ["mon", "tue", "wed", "thu", "fri"], "from": "22:00", "to": "05:00"}],
    "never": ["2026-12-24"],
    "special": [{"date": "2026-12-27", "from": "01:00", "to": "04:00"}],
    "busy": [{"days": ["fri"], "from": "22:00", "to": "23:00"}],
    "notice": "24h",
    "mostOut": 1,
    "capacityLeft": 0.6,
    "version": "00000001",
}


class Contracts(unittest.TestCase):
    def test_a_valid_contract_is_parsed(self) -> None:
        read = contract.read_contract("kampaamo", VALID_CONTRACT)
        self.assertEqual((read.notice_s, read.max_machines_out, read.min_capacity_left), (86400.0, 1, 0.6))
        self.assertEqual(len(read.hours.approved), 2)
        self.assertEqual(contract.warnings(read, at("2026-12-01T00:00:00+00:00")), [])

    def test_invalid_and_ambiguous_contracts_are_rejected_with_the_location(self) -> None:
        for change, word in (
            ({"timeZone": "Europe/Hämeenlinna"}, "time zone"),
            ({"approved": [{"from": "22:00", "to": "05:00"}]}, "either days or a date"),
            ({"approved": [{"days": ["mon"], "from": "25:00", "to": "05:00"}]}, "hour"),
            ({"approved": [{"days": ["mon"], "from": "05:00", "to": "05:00"}]}, "begins when it ends"),
            ({"approved": [{"days": ["maanantai"], "from": "01:00", "to": "05:00"}]}, "one of"),
            ({"never": ["24.12.2026"]}, "date"),
            ({"never": ["2026-12-27"]}, "never approved, too"),
            ({"special": [{"days": ["mon"], "from": "01:00", "to": "02:00"}]}, "of a date"),
            ({"hosts": []}, "nobody's"),
            ({"capacityLeft": 1.2}, "less than or equal"),
            ({"mostOut": 0}, "greater than or equal"),
            ({"notice": "soon"}, "24h"),
        ):
            with self.subTest(change):
                body = {"addOrReplace": {"contracts": {"kampaamo": {**VALID_CONTRACT, **change}}}}
                found = contract.parse(json.dumps(body).encode())
                assert isinstance(found, Failure)
                self.assertIn(word, str(found.failure()[0]))
                self.assertTrue(found.failure()[0].where.startswith("contracts.kampaamo."))

    def test_a_request_is_accepted_as_a_whole_or_not_at_all(self) -> None:
        invalid = {**VALID_CONTRACT, "timeZone": ""}
        body = {"addOrReplace": {"contracts": {"a": VALID_CONTRACT, "b": invalid}}}
        self.assertIsInstance(contract.parse(json.dumps(body).encode()), Failure)
        accepted = contract.parse(json.dumps({"addOrReplace": {"contracts": {"a": VALID_CONTRACT}}}).encode())
        assert isinstance(accepted, Success)
        for data in (b"", b"[]", b"{}", b'{"addOrReplace": {"contracts": []}}', b"\xff", b"[" * 5000):
            self.assertIsInstance(contract.parse(data), Failure)

    def test_a_contract_without_approved_hours_gives_a_warning(self) -> None:
        read = contract.read_contract("kampaamo", {**VALID_CONTRACT, "approved": [], "special": []})
        self.assertEqual([f.code for f in contract.warnings(read, 0.0)], ["never"])
        self.assertEqual(read.hours.intervals_between(0.0, 1e7), [])


def route(name: str, service: str) -> Route:
    return Route(name, f"{name}.example", "/", False, 2000.0, 300.0, 1, ((service, 1.0),), 1, 1)


def tenant(name: str, hours: ApprovedHours = NIGHT, **terms: Any) -> Contract:
    defaults = {"notice_s": 0.0, "max_machines_out": 1, "min_capacity_left": 0.5, **terms}
    return Contract(name, frozenset({f"{name}.example"}), frozenset(), hours, **defaults, version=1)


def fleet_state(**changes: Any) -> FleetState:
    machines = {f"m{i}": Machine(f"m{i}", f"z{i % 3}", "kal" if i < 4 else "var", 9) for i in range(8)}
    defaults: dict[str, Any] = {
        "contracts": {name: tenant(name) for name in ("kampaamo", "hieroja", "korjaamo")},
        "routes": {
            "kampaamo": route("kampaamo", "kal"),
            "hieroja": route("hieroja", "kal"),
            "korjaamo": route("korjaamo", "var"),
        },
        "machines": machines,
    }
    return FleetState(**{**defaults, **changes})


NOON, EVENING, MORNING = (
    at("2026-12-02T10:00:00+00:00"),
    at("2026-12-02T20:00:00+00:00"),  # 22:00 in Helsinki
    at("2026-12-03T03:00:00+00:00"),  # 05:00
)


class Planner(unittest.TestCase):
    def plan(self, request: WindowRequest, now: float = NOON, **changes: Any) -> Window | list[str]:
        made = planner.plan(request, now, fleet_state(**changes))
        return made if isinstance(made, Window) else [f.code for f in made]

    def request(self, *machines: str, **changes: Any) -> WindowRequest:
        return replace(WindowRequest("w", NOON, MORNING + 7200.0, machines, works_s=600.0), **changes)

    def test_a_machine_is_out_within_the_hours_less_the_clock_skew(self) -> None:
        made = self.plan(self.request("m0"))
        assert isinstance(made, Window)
        (step,) = made.steps
        self.assertEqual(step.leave, EVENING + MAX_CLOCK_SKEW_S)
        self.assertEqual(step.tenants, ("hieroja", "kampaamo"))
        self.assertEqual(step.back, step.leave + made.drain_s + 600.0)
        self.assertLessEqual(step.back + made.return_s, MORNING - MAX_CLOCK_SKEW_S)

    def test_machines_are_out_one_after_the_other_unless_contracts_allow_more(self) -> None:
        made = self.plan(self.request("m0", "m1", at_once=2))
        assert isinstance(made, Window)
        first, second = made.steps
        self.assertGreaterEqual(second.leave, first.back + made.return_s)
        more = {name: tenant(name, max_machines_out=2) for name in ("kampaamo", "hieroja", "korjaamo")}
        made = self.plan(self.request("m0", "m1", at_once=2), contracts=more)
        assert isinstance(made, Window)
        self.assertEqual(made.steps[0].leave, made.steps[1].leave)

    def test_outside_the_hours_the_next_possible_time_is_named(self) -> None:
        refused = planner.plan(self.request("m0", end=EVENING - 3600.0), NOON, fleet_state())
        assert isinstance(refused, list)
        self.assertEqual(refused[0].code, "outside_hours")
        self.assertIn("2026-12-02 22:00", refused[0].text)

    def test_tenants_without_common_hours_are_reported(self) -> None:
        day = ApprovedHours(ZoneInfo("Europe/Helsinki"), (HoursRule(8 * 60, 16 * 60, EVERY_DAY),))
        contracts = {"kampaamo": tenant("kampaamo"), "hieroja": tenant("hieroja", day)}
        contracts["korjaamo"] = tenant("korjaamo")
        refused = planner.plan(self.request("m0"), NOON, fleet_state(contracts=contracts))
        assert isinstance(refused, list)
        self.assertIn("hieroja and kampaamo do not meet", refused[0].text)
        one = self.plan(self.request("m0", tenants=frozenset({"kampaamo"})), contracts=contracts)
        self.assertIsInstance(one, Window)  # only one tenant's traffic leaves the machine

    def test_each_reason_has_its_finding_code(self) -> None:
        alone = {"m0": Machine("m0", "z", "kal", 9)}
        two_machines = {k: m for k, m in fleet_state().machines.items() if k in ("m0", "m1")}
        running = self.plan(self.request("m0"))
        assert isinstance(running, Window)
        for request, changes, code in (
            (self.request("m0", begin=MORNING), {}, "outside_hours"),
            (self.request("m0", end=NOON - 1.0), {}, "backwards"),
            (self.request("m0", begin=NOON - 90.0, end=NOON - 1.0), {}, "past"),
            (self.request(), {}, "machines"),
            (self.request("m0", "m0"), {}, "machines"),
            (self.request("m9"), {}, "unknown_machine"),
            (self.request("m0", tenants=frozenset({"x"})), {}, "unknown_tenant"),
            (self.request("m0", tenants=frozenset({"korjaamo"})), {}, "no_tenant"),
            (self.request("m0"), {"contracts": {"kampaamo": tenant("kampaamo")}}, "no_contract"),
            (self.request("m0"), {"machines": alone}, "not_possible"),
            (
                self.request("m0"),
                {"machines": two_machines, "contracts": self.contracts_with_capacity_left(0.6)},
                "not_possible",
            ),
            (self.request("m0", name="v"), {"windows": {"w": running}}, "taken"),
            (self.request("m1"), {"windows": {"w": running}}, "running"),
            (self.request("m0", works_s=8 * 3600.0), {}, "never"),
            (self.request("m0"), {"used": {"kal": dict.fromkeys(range(168), 25.0)}}, "not_possible"),
            (self.request("m0"), {"contracts": self.contracts_with_notice(30 * 86400.0)}, "not_possible"),
        ):
            with self.subTest(code, request=request):
                made = self.plan(request, **changes)
                assert isinstance(made, list)
                self.assertIn(code, made)

    def contracts_with_capacity_left(self, share: float) -> dict[str, Contract]:
        return {name: tenant(name, min_capacity_left=share) for name in ("kampaamo", "hieroja", "korjaamo")}

    def contracts_with_notice(self, notice_s: float) -> dict[str, Contract]:
        return {name: tenant(name, notice_s=notice_s) for name in ("kampaamo", "hieroja", "korjaamo")}

    def test_hours_of_the_week(self) -> None:
        self.assertEqual(hour_of_week(at("2026-11-30T00:00:00+00:00")), 0)  # a Monday
        self.assertEqual(hour_of_week(at("2026-12-06T23:59:00+00:00")), 167)


def planned_window(**changes: Any) -> Window:
    made = planner.plan(
        WindowRequest("w", NOON, MORNING, ("m0",), works_s=600.0), NOON, fleet_state(**changes)
    )
    assert isinstance(made, Window)
    return made


def tick_once(
    controller: MaintenanceController, wall: float, monotonic: float, holds_lease: bool, state: FleetState
) -> list[Window]:
    """One tick, while the clock of another control-plane node shows the same time."""
    return controller.tick(wall, monotonic, holds_lease, state, [wall])


class Controller(unittest.TestCase):
    def play(
        self, given: Window, begin: float, duration_s: float, **changes: Any
    ) -> list[tuple[float, Window]]:
        """Run a controller that holds the lease, once a second; each step is stored at once."""
        controller, now, seen = MaintenanceController(), begin - CLOCK_OBSERVATION_S - 1.0, []
        while now < begin + duration_s:
            state = fleet_state(**{"windows": {"w": given}, **changes})
            for given in tick_once(controller, now, now, True, state):
                controller.step_answered("w")
                seen.append((now, given))
            now += 1.0
        return seen

    def test_a_window_passes_its_stages_within_its_hours(self) -> None:
        seen = self.play(planned_window(), EVENING - 60.0, 3600.0)
        self.assertEqual(
            [w.steps[0].stage for _, w in seen], [Stage.DRAINING, Stage.OUT, Stage.RETURNING, Stage.BACK]
        )
        self.assertGreaterEqual(seen[0][0], EVENING + MAX_CLOCK_SKEW_S)
        self.assertEqual(seen[-1][1].state(), "done")

    def test_a_window_whose_hours_have_passed_expires(self) -> None:
        seen = self.play(planned_window(), MORNING - 1.0, 600.0)
        self.assertEqual([w.steps[0].stage for _, w in seen], [Stage.SKIPPED])
        self.assertIn("time had passed", seen[0][1].steps[0].why)
        self.assertEqual(seen[0][1].state(), "expired")

    def test_no_step_is_taken_without_the_lease_or_after_a_clock_jump(self) -> None:
        state, controller = fleet_state(windows={"w": planned_window()}), MaintenanceController()
        for i in range(30):
            self.assertEqual(tick_once(controller, EVENING + 60.0 + i, float(i), False, state), [])
        self.assertEqual(len(tick_once(controller, EVENING + 90.0, 30.0, True, state)), 1)
        controller.step_answered("w")
        self.assertEqual(
            tick_once(controller, EVENING + 100.0, 31.0, True, state),
            [],
            "the clock jumped by nine seconds",
        )
        self.assertEqual(tick_once(controller, EVENING + 101.0, 32.0, True, state), [])
        for i in range(10):
            tick_once(controller, EVENING + 102.0 + i, 33.0 + i, False, state)
        self.assertEqual(len(tick_once(controller, EVENING + 112.0, 43.0, True, state)), 1)
        controller.step_answered("w")
        self.assertEqual(
            tick_once(controller, EVENING + 132.0, 63.0, True, state),
            [],
            "the process was suspended for 20 s",
        )

    def test_a_machine_returns_when_it_may_no_longer_be_out(self) -> None:
        waiting = planned_window()
        away_window = waiting.with_stage("m0", Stage.DRAINING, EVENING + 10.0).with_stage(
            "m0", Stage.OUT, EVENING + 20.0
        )
        contracts = {**fleet_state().contracts, "kampaamo": tenant("kampaamo", replace(NIGHT, approved=()))}
        zone = {k: m for k, m in fleet_state().machines.items() if m.zone != "z1"}
        thinner = {k: m for k, m in zone.items() if k in ("m0", "m3")}
        for changes, word in (
            ({"contracts": contracts}, "approved no more"),
            ({"contracts": {}}, "contract is gone"),
            ({"machines": thinner}, "would stay"),
        ):
            with self.subTest(word):
                seen = self.play(away_window, EVENING + 30.0, 20.0, **changes)
                self.assertEqual(seen[0][1].steps[0].stage, Stage.RETURNING)
                self.assertIn(word, seen[0][1].steps[0].why)
                self.assertLess(seen[0][0], EVENING + 32.0)

    def test_a_stop_by_an_operator_and_works_that_end_early(self) -> None:
        away_window = planned_window().with_stage("m0", Stage.DRAINING, EVENING + 10.0)
        halted = stop_window(away_window, "an operator stopped it")
        self.assertFalse(
            DrainSchedule.from_windows({"w": halted}).is_drained(
                "m0", "kampaamo", "kampaamo.example", EVENING + 11.0
            )
        )
        self.assertEqual(self.play(halted, EVENING + 12.0, 30.0)[-1][1].state(), "stopped")
        early = finish_early(away_window, "m0", EVENING + 12.0)
        assert early is not None
        self.assertEqual(early.steps[0].stage, Stage.RETURNING)
        self.assertIsNone(finish_early(planned_window(), "m0", EVENING))

    def test_a_drain_expires_by_the_clock_of_the_proxy(self) -> None:
        away_window = planned_window().with_stage("m0", Stage.OUT, EVENING)
        drains = DrainSchedule.from_windows({"w": away_window})
        back = away_window.steps[0].back
        self.assertTrue(drains.is_drained("m0", "kampaamo", "kampaamo.example", back - 0.1))
        self.assertFalse(drains.is_drained("m0", "kampaamo", "kampaamo.example", back))
        self.assertFalse(drains.is_drained("m0", "korjaamo", "korjaamo.example", back - 0.1))
        self.assertEqual(drains.next_end(EVENING), back)
        self.assertEqual(window.decode_window("w", away_window.encode()), away_window)

    def test_a_route_added_while_a_machine_is_out_avoids_it(self) -> None:
        away_window = planned_window().with_stage("m0", Stage.OUT, EVENING)
        moment = away_window.steps[0].back - 1.0
        terms = json.dumps({"hosts": ["Kampaamo.example"], "routes": ["more"]}).encode()
        traffic = window.read_tenant_traffic([("kampaamo", Item(value=terms)), ("spoilt", Item(value=b"["))])
        drains = DrainSchedule.from_windows({"w": away_window}, traffic)
        self.assertTrue(drains.is_drained("m0", "new", "kampaamo.example", moment))
        self.assertTrue(drains.is_drained("m0", "more", "elsewhere.example", moment))
        self.assertFalse(drains.is_drained("m0", "new", "elsewhere.example", moment))
        self.assertFalse(drains.is_drained("m1", "new", "kampaamo.example", moment))

    def test_a_drain_expires_in_time_though_the_wall_clock_is_set_back(self) -> None:
        away_window = planned_window().with_stage("m0", Stage.OUT, EVENING)
        back = away_window.steps[0].back
        item_store, clock = ItemStore(), {"wall": back - 10.0, "steady": 100.0}
        item_store.merge([Item(key="windows/w", version=1, value=away_window.encode())])
        held = MachineDrains(
            lambda: clock["wall"], lambda: clock["steady"], lambda after, do: None, lambda: None
        )
        held.update(item_store)
        self.assertTrue(held.is_drained("m0", route("kampaamo", "kal")))
        clock.update(wall=back - 3600.0, steady=109.0)
        held.update(item_store)  # another update arrives, and the window is read again
        self.assertTrue(held.is_drained("m0", route("kampaamo", "kal")))
        clock.update(wall=back - 3599.0, steady=110.5)
        self.assertFalse(held.is_drained("m0", route("kampaamo", "kal")))

    def test_two_windows_that_together_exceed_a_contract(self) -> None:
        """Both were possible when they were planned; then a contract became stricter."""
        contracts = {name: tenant(name, max_machines_out=2) for name in ("kampaamo", "hieroja", "korjaamo")}
        requests = [
            WindowRequest(name, NOON, MORNING, (m,), works_s=600.0) for name, m in (("v", "m0"), ("w", "m1"))
        ]
        first = planner.plan(requests[0], NOON, fleet_state(contracts=contracts))
        assert isinstance(first, Window)
        second = planner.plan(requests[1], NOON, fleet_state(contracts=contracts, windows={"v": first}))
        assert isinstance(second, Window)
        out = first.with_stage("m0", Stage.OUT, EVENING + 10.0)
        both = {"v": out, "w": second}
        for terms, stages in ((contracts, [("w", Stage.DRAINING)]), (fleet_state().contracts, [])):
            controller = MaintenanceController()
            steps: list[Window] = []
            for i in range(8):
                state = fleet_state(contracts=terms, windows=both)
                steps = tick_once(controller, EVENING + 20.0 + i, float(i), True, state) or steps
            self.assertEqual([(w.name, step.stage) for w in steps for step in w.steps], stages)

    def test_a_window_that_is_too_short_is_rejected_with_the_needed_length(self) -> None:
        made = planner.plan(
            WindowRequest("w", EVENING, EVENING + 5.0, ("m0",), works_s=1.0), NOON, fleet_state()
        )
        assert isinstance(made, list)
        self.assertEqual(made[0].code, "outside_hours")
        self.assertIn("needs 14 s", made[0].text)

    def test_a_machine_that_dies_while_it_is_out_ends_its_window(self) -> None:
        away_window = planned_window().with_stage("m0", Stage.OUT, EVENING + 10.0)
        without = {k: m for k, m in fleet_state().machines.items() if k != "m0"}
        seen = self.play(away_window, EVENING + 20.0, 900.0, machines=without)
        self.assertEqual([w.steps[0].stage for _, w in seen], [Stage.RETURNING, Stage.BACK])
        waiting = self.play(planned_window(), EVENING + 20.0, 30.0, machines=without)
        self.assertEqual(waiting, [], "a machine that is gone must not be taken out")

    def test_steps_are_taken_once_and_within_the_hours_despite_lost_holders_and_clock_skew(self) -> None:
        for seed in range(120):
            self.run_small_fleet(Random(seed))

    def run_small_fleet(self, rng: Random) -> None:
        """Three processes within the allowed clock skew; one at a time holds the lease, with some overlap."""
        request = WindowRequest("w", NOON, MORNING, ("m0", "m1"), works_s=rng.choice((5.0, 60.0, 900.0)))
        given = planner.plan(request, NOON, fleet_state())
        assert isinstance(given, Window)
        clock_offsets = [rng.uniform(-0.5, 0.5) * MAX_CLOCK_SKEW_S for _ in range(3)]
        controllers = [MaintenanceController() for _ in range(3)]
        holder, begin = 0, rng.choice((EVENING - 20.0, MORNING - 120.0, EVENING + 3600.0))
        begin += rng.uniform(0.0, 60.0)
        in_flight: list[tuple[float, int, Window]] = []
        count, stages = 1, []
        for tick in range(900):
            now = begin + tick
            if rng.random() < 0.02:
                holder = rng.randrange(3)
                controllers[holder] = MaintenanceController()
            shown = [now + off for off in clock_offsets]
            for i, controller in enumerate(controllers):
                # The previous holder may still believe that it has the lease while its step is in flight.
                held = i == holder or rng.random() < 0.01
                state = fleet_state(windows={"w": given})
                for step in controller.tick(shown[i], float(tick), held, state, shown):
                    in_flight.append((tick + rng.uniform(0.0, 1.5), count + 1, step))
            for due, number, step in [f for f in in_flight if f[0] <= tick]:
                in_flight.remove((due, number, step))
                if number == count + 1:  # else another process has written this version
                    given, count = step, number
                    stages.append([s.stage for s in step.steps])
            for controller in controllers:
                controller.step_answered("w")
            for each in given.steps:
                if each.stage in AWAY_STAGES and now < each.back:
                    wall = Interval(now - MAX_CLOCK_SKEW_S / 2, now + MAX_CLOCK_SKEW_S / 2)
                    self.assertTrue(wall.begin >= EVENING and wall.end <= MORNING, (now, given))
            self.assertLessEqual(sum(s.stage in AWAY_STAGES for s in given.steps), 1)
        self.assertEqual(len(stages), len({tuple(s) for s in stages}), "a step was taken twice")


if __name__ == "__main__":
    unittest.main()

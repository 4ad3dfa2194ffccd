"""Maintenance at a signalbox: what operators call, and the duty that carries windows out.

All that is decided is decided in `leadrudder.maintenance`; this brings it what is known, and has its steps
stand as items of the control state.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from typing import Any, cast

from marshmallow import EXCLUDE, Schema, ValidationError, fields, validate
from returns.result import Failure

from leadrudder.bootstrap.log_buffer import LogBuffer
from leadrudder.configuration.item_store import ItemStore
from leadrudder.configuration.items import CONTRACT_PREFIX, USAGE_PREFIX
from leadrudder.configuration.routing_table import RoutingTable
from leadrudder.configuration.validation import Finding
from leadrudder.consensus.outputs import Answer, Code
from leadrudder.maintenance import contract, controller, ledger, planner, window
from leadrudder.maintenance.contract import DurationSecondsField
from leadrudder.maintenance.controller import MaintenanceController
from leadrudder.maintenance.planner import FleetState, Machine, WindowRequest, hour_of_week
from leadrudder.maintenance.window import AWAY_STAGES, WINDOW_PREFIX, Window
from leadrudder.protocol.mesh_pb2 import Item, Node
from leadrudder.transport.http import Call, Told

KEPT = 50  # windows that are over
OUT_MOST = 64  # steps that are being taken
TRIES = 5  # of an order whose count has moved on
_JSON = b"Content-Type: application/json\r\n"
_COME_BACK = b"Retry-After: 0.2\r\n"

Change = Callable[[list[Item]], Awaitable[Answer]]


class _Instant(fields.Field[float]):
    """ISO 8601 with its distance from universal time, or seconds since 1970."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **kwargs: Any) -> float:
        from datetime import datetime

        if isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value < 1e11:
            return float(value)
        try:
            read = datetime.fromisoformat(value)
        except (TypeError, ValueError):
            raise ValidationError("not a time such as 2026-12-02T01:00:00+02:00") from None
        if read.tzinfo is None:
            raise ValidationError("does not say how far it is from universal time, as +02:00")
        return read.timestamp()


class _Order(Schema):
    class Meta:
        unknown = EXCLUDE

    begin = _Instant(data_key="from", required=True)
    end = _Instant(data_key="to", required=True)
    machines = fields.List(fields.String(), required=True)
    at_once = fields.Integer(data_key="atOnce", load_default=1, validate=validate.Range(min=1))
    works_s = DurationSecondsField(data_key="works", load_default=0.0)
    return_s = DurationSecondsField(data_key="return", load_default=10.0)
    tenants = fields.List(fields.String(), load_default=list)


_ORDER = _Order()


class Possessions:
    """book: what stands; nodes: the members; change: has items stand; wall, steady: clocks, seconds."""

    def __init__(
        self,
        book: Callable[[], ItemStore],
        nodes: Callable[[], Iterable[Node]],
        change: Change,
        ring: LogBuffer,
        wall: Callable[[], float],
        steady: Callable[[], float],
    ) -> None:
        self._book, self._nodes, self._change, self._ring = book, nodes, change, ring
        self._wall, self._steady = wall, steady
        self._keeper = MaintenanceController()
        self._tasks: set[asyncio.Task[None]] = set()
        self._busiest: dict[str, dict[int, float]] = {}  # slots in use by service and hour, since our start
        self._hour = -1
        self._totals = ledger.FleetTotals()
        self.clocks: dict[str, float] = {}  # of other signalboxes that are connected, against our steady one

    # ------------------------------------------------------------ what is known

    def situation(self) -> FleetState:
        book = self._book()
        routing = RoutingTable(book)
        machines = {}
        for node in self._nodes():
            for server in node.servers:
                machines[node.name] = Machine(
                    node.name, server.zone, server.service, server.capacity, not server.draining
                )
        used: dict[str, dict[int, float]] = {}
        for service, item in book.live_items(USAGE_PREFIX).items():
            used[service] = {int(hour): float(n) for hour, n in json.loads(item.value).items()}
        return FleetState(
            contract.read_contracts(book.live_items(CONTRACT_PREFIX).items()),
            routing.routes,
            machines,
            window.read_windows(book.live_items(WINDOW_PREFIX).items()),
            used,
        )

    # ------------------------------------------------------------ the duty

    def tick(self, held: bool) -> None:
        """Some times a second.  held: the duty is ours."""
        wall = self._wall()
        self._note_use(wall, held)
        at = self.situation() if held and self._book().live_items(WINDOW_PREFIX) else FleetState()
        steady = self._steady()
        others = [off + steady for off in self.clocks.values()]
        for moved in self._keeper.tick(wall, steady, held, at, others):
            if moved.counts_at_start is None and any(step.stage in AWAY_STAGES for step in moved.steps):
                moved = dataclasses.replace(moved, counts_at_start=self._totals.latest_counts()[1])
            self._later(self._take(moved, self._next(moved.name)))
        if held:
            for closed in self._closed(at.windows.values()):
                self._later(self._take(closed, self._next(closed.name)))

    def _closed(self, windows: Iterable[Window]) -> list[Window]:
        """Windows that are over, and of whose time all stations have told by now."""
        through, counts = self._totals.latest_counts()
        return [
            dataclasses.replace(each, counts_at_end=counts)
            for each in windows
            if each.is_over()
            and each.counts_at_start is not None
            and each.counts_at_end is None
            and through >= ledger.epoch_of(max(step.since for step in each.steps))
        ]

    def _later(self, work: Coroutine[Any, Any, None]) -> None:
        if len(self._tasks) >= OUT_MOST:
            work.close()
            return
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _take(self, moved: Window, count: int) -> None:
        try:
            async with asyncio.timeout(1.0):
                code = (await self._set(moved, count)).code
        except TimeoutError:
            code = Code.BUSY
        self._keeper.step_answered(moved.name)
        if code is Code.DONE:
            stages = ", ".join(f"{s.machine} {s.stage}{': ' + s.why if s.why else ''}" for s in moved.steps)
            self._ring.record(f"window {moved.name}: {stages}")

    def _next(self, name: str) -> int:
        """The count that follows the window as we know it just now: a step is made from what it was then."""
        known = self._book().items.get(WINDOW_PREFIX + name)
        return 1 if known is None else known.version + 1

    async def _set(self, moved: Window, count: int) -> Answer:
        """A count of a window; CONFLICT where somebody was before us."""
        return await self._change([Item(key=WINDOW_PREFIX + moved.name, version=count, value=moved.encode())])

    def _note_use(self, wall: float, held: bool) -> None:
        """The busiest of the hour, by service; who holds the duty keeps it when the hour is over."""
        hour = hour_of_week(wall)
        sums: dict[str, float] = {}
        nodes = list(self._nodes())
        self._totals.retain_nodes({node.name for node in nodes})
        for node in nodes:
            self._totals.add_report(node.name, node.through, node.tallies)
            if node.used:
                sums[node.service] = sums.get(node.service, 0.0) + node.used
        for service, slots in sums.items():
            hours = self._busiest.setdefault(service, {})
            hours[hour] = max(hours.get(hour, 0.0), slots)
        if self._hour not in (-1, hour) and held:
            for service, hours in self._busiest.items():
                if self._hour in hours:
                    self._keep_use(service, self._hour, hours[self._hour])
        self._hour = hour

    def _keep_use(self, service: str, hour: int, slots: float) -> None:
        known = self._book().items.get(USAGE_PREFIX + service)
        told = json.loads(known.value) if known is not None and not known.dropped else {}
        told[str(hour)] = slots
        version = 1 if known is None else known.version + 1
        item = Item(
            key=USAGE_PREFIX + service, version=version, value=json.dumps(told, sort_keys=True).encode()
        )
        self._later(self._put(item))

    async def _put(self, item: Item) -> None:
        await self._change([item])

    # ------------------------------------------------------------ operators

    async def dispatch(self, call: Call) -> Told | None:
        """None: the call is another's."""
        match call.method, call.segments:
            case "GET", ("contracts",):
                found = self._book().live_items(CONTRACT_PREFIX)
                return _json({"contracts": {name: json.loads(i.value) for name, i in found.items()}})
            case "PATCH", ("contracts",):
                return await self._contracts(call.body)
            case "GET", ("maintenance",):
                windows = self.situation().windows
                return _json({name: told(each) for name, each in sorted(windows.items())})
            case "GET", ("maintenance", name):
                found_window = self.situation().windows.get(name)
                if found_window is None:
                    return Told(404)
                return _json({**told(found_window), "report": self._report(found_window)})
            case "POST", ("maintenance", name):
                return await self._start(name, call.body, keep=True)
            case "POST", ("maintenance", name, "plan"):
                return await self._start(name, call.body, keep=False)
            case "DELETE", ("maintenance", name):
                return await self._alter(name, lambda w: controller.stop_window(w, "an operator stopped it"))
            case "POST", ("maintenance", name, "done", machine):
                return await self._alter(name, lambda w: controller.finish_early(w, machine, self._wall()))
            case _, ("contracts" | "maintenance", *_):
                return Told(405)
        return None

    def _report(self, each: Window) -> dict[str, Any]:
        """What became of bookings while it ran, so far or in all; ordinary: between plan and beginning."""
        if each.counts_at_start is None:
            return {}
        usual = ledger.difference(each.counts_at_plan, each.counts_at_start)
        end = each.counts_at_end if each.counts_at_end is not None else self._totals.latest_counts()[1]
        return ledger.report(each.counts_at_start, end, usual)

    async def _contracts(self, body: bytes) -> Told:
        parsed = contract.parse(body)
        if isinstance(parsed, Failure):
            return _refused(400, parsed.failure())
        changes = parsed.unwrap()
        made = [
            Item(key=c.key, version=c.version, dropped=c.value is None, value=c.value or b"") for c in changes
        ]
        answer = await self._change(made)
        if answer.code is not Code.DONE:
            return _answered(answer.code)
        now = self._wall()
        read = contract.read_contracts((i.key[len(CONTRACT_PREFIX) :], i) for i in made if not i.dropped)
        return _json({"warnings": [str(f) for each in read.values() for f in contract.warnings(each, now)]})

    async def _start(self, name: str, body: bytes, *, keep: bool) -> Told:
        try:
            read = cast(dict[str, Any], _ORDER.load(json.loads(body)))
        except ValidationError as error:
            return _refused(400, [Finding("order", f"windows.{name}", str(error.messages))])
        except (ValueError, RecursionError) as error:
            return _refused(400, [Finding("cut_short", "the body", f"cannot be read whole: {error}")])
        read["machines"], read["tenants"] = tuple(read["machines"]), frozenset(read["tenants"])
        made = planner.plan(WindowRequest(name, **read), self._wall(), self.situation())
        if isinstance(made, list):
            return _refused(409, made)
        if not keep:
            return _json(told(made))
        made = dataclasses.replace(made, counts_at_plan=self._totals.latest_counts()[1])
        answer = await self._set(made, self._next(name))
        if answer.code is not Code.DONE:
            return _answered(answer.code)
        await self._forget()
        return _json(told(made))

    async def _forget(self) -> None:
        for name in controller.surplus_finished(dict(self.situation().windows), KEPT):
            known = self._book().items[WINDOW_PREFIX + name]
            await self._change([Item(key=known.key, version=known.version + 1, dropped=True)])

    async def _alter(self, name: str, alter: Callable[[Window], Window | None]) -> Told:
        """A step of an operator's: taken again where the holder was before us."""
        for _ in range(TRIES):
            known = self.situation().windows.get(name)
            if known is None:
                return Told(404)
            altered = None if known.is_over() else alter(known)
            if altered is None:
                return Told(409, f"it is {known.state()}\n".encode())
            answer = await self._set(altered, self._next(name))
            if answer.code is Code.DONE:
                return _json(told(altered))
            if answer.code is not Code.CONFLICT:
                return _answered(answer.code)
        return _answered(Code.BUSY)


def told(each: Window) -> dict[str, Any]:
    """A window as operators are told it."""
    steps = [dataclasses.asdict(step) for step in each.steps]
    return {
        "name": each.name,
        "state": each.state(),
        "from": each.begin,
        "to": each.end,
        "drain_s": each.drain_s,
        "return_s": each.return_s,
        "stopped": each.stop_reason,
        "machines": steps,
    }


def _json(what: Any) -> Told:
    return Told(200, json.dumps(what).encode(), _JSON)


def _refused(status: int, findings: list[Finding]) -> Told:
    return Told(status, "".join(f"{finding}\n" for finding in findings[:20]).encode())


def _answered(code: Code) -> Told:
    if code is Code.CONFLICT:
        return Told(409, b"somebody was before you: look again\n")
    return Told(503, b"no majority answered in time\n", _COME_BACK)

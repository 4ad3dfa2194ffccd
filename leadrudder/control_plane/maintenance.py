"""Maintenance windows on a control-plane node: the operators' API, and carrying windows out under a lease.

All decisions are made in `leadrudder.maintenance`; this module supplies the current state and commits the
resulting steps as items of the control state.
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
from leadrudder.consensus.outputs import Answer, ResultCode
from leadrudder.control_plane.orders import LATE_RESPONSE
from leadrudder.maintenance import contract, controller, ledger, planner, window
from leadrudder.maintenance.contract import DurationSecondsField
from leadrudder.maintenance.controller import MaintenanceController
from leadrudder.maintenance.planner import FleetState, Machine, WindowRequest, hour_of_week
from leadrudder.maintenance.window import AWAY_STAGES, WINDOW_PREFIX, Window
from leadrudder.protocol.mesh_pb2 import Item, Node
from leadrudder.transport.api_server import ApiRequest, ApiResponse
from leadrudder.transport.http import RETRY_AFTER_HEADER

MAX_FINISHED_WINDOWS = 50  # kept after their end
MAX_PENDING_STEPS = 64  # commits in progress
MAX_ALTER_ATTEMPTS = 5  # of a request whose window was changed concurrently
_JSON_FIELDS = b"Content-Type: application/json\r\n"

Commit = Callable[[list[Item]], Awaitable[Answer]]


class _TimestampField(fields.Field[float]):
    """An ISO 8601 timestamp with its UTC offset, or seconds since 1970."""

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


class _WindowRequestSchema(Schema):
    class Meta:
        unknown = EXCLUDE

    begin = _TimestampField(data_key="from", required=True)
    end = _TimestampField(data_key="to", required=True)
    machines = fields.List(fields.String(), required=True)
    at_once = fields.Integer(data_key="atOnce", load_default=1, validate=validate.Range(min=1))
    works_s = DurationSecondsField(data_key="works", load_default=0.0)
    return_s = DurationSecondsField(data_key="return", load_default=10.0)
    tenants = fields.List(fields.String(), load_default=list)


_WINDOW_REQUEST = _WindowRequestSchema()


class MaintenanceCoordinator:
    """committed_items: the control state.  commit: writes items to a majority.  wall, monotonic: seconds."""

    def __init__(
        self,
        committed_items: Callable[[], ItemStore],
        list_members: Callable[[], Iterable[Node]],
        commit: Commit,
        log_buffer: LogBuffer,
        wall: Callable[[], float],
        monotonic: Callable[[], float],
    ) -> None:
        self._committed_items, self._list_members, self._commit, self._log_buffer = (
            committed_items,
            list_members,
            commit,
            log_buffer,
        )
        self._wall, self._monotonic = wall, monotonic
        self._keeper = MaintenanceController()
        self._tasks: set[asyncio.Task[None]] = set()
        self._peak_slots: dict[str, dict[int, float]] = {}  # slots in use by service and hour, since start
        self._hour = -1
        self._totals = ledger.FleetTotals()
        # Wall clocks of the connected peers, less the monotonic clock of this process.
        self.peer_clock_offsets_s: dict[str, float] = {}

    # ------------------------------------------------------------ current state

    def situation(self) -> FleetState:
        item_store = self._committed_items()
        routing = RoutingTable(item_store)
        machines = {}
        for node in self._list_members():
            for server in node.servers:
                machines[node.name] = Machine(
                    node.name, server.zone, server.service, server.capacity, not server.draining
                )
        used: dict[str, dict[int, float]] = {}
        for service, item in item_store.live_items(USAGE_PREFIX).items():
            used[service] = {int(hour): float(n) for hour, n in json.loads(item.value).items()}
        return FleetState(
            contract.read_contracts(item_store.live_items(CONTRACT_PREFIX).items()),
            routing.routes,
            machines,
            window.read_windows(item_store.live_items(WINDOW_PREFIX).items()),
            used,
        )

    # ------------------------------------------------------------ carrying windows out

    def tick(self, has_lease: bool) -> None:
        """Called several times a second.  has_lease: this node holds the maintenance lease."""
        wall = self._wall()
        self._record_usage(wall, has_lease)
        situation = (
            self.situation()
            if has_lease and self._committed_items().live_items(WINDOW_PREFIX)
            else FleetState()
        )
        now = self._monotonic()
        peer_walls = [offset_s + now for offset_s in self.peer_clock_offsets_s.values()]
        for changed in self._keeper.tick(wall, now, has_lease, situation, peer_walls):
            if changed.counts_at_start is None and any(step.stage in AWAY_STAGES for step in changed.steps):
                changed = dataclasses.replace(changed, counts_at_start=self._totals.latest_counts()[1])
            self._spawn(self._commit_step(changed, self._next_version(changed.name)))
        if has_lease:
            for closed in self._newly_closed(situation.windows.values()):
                self._spawn(self._commit_step(closed, self._next_version(closed.name)))

    def _newly_closed(self, windows: Iterable[Window]) -> list[Window]:
        """Finished windows for whose whole time every data-plane node has reported its counts."""
        through, counts = self._totals.latest_counts()
        return [
            dataclasses.replace(each, counts_at_end=counts)
            for each in windows
            if each.is_over()
            and each.counts_at_start is not None
            and each.counts_at_end is None
            and through >= ledger.epoch_of(max(step.since for step in each.steps))
        ]

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        if len(self._tasks) >= MAX_PENDING_STEPS:
            work.close()
            return
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _commit_step(self, changed: Window, version: int) -> None:
        try:
            async with asyncio.timeout(1.0):
                code = (await self._commit_window(changed, version)).code
        except TimeoutError:
            code = ResultCode.BUSY
        self._keeper.step_answered(changed.name)
        if code is ResultCode.DONE:
            stages = ", ".join(f"{s.machine} {s.stage}{': ' + s.why if s.why else ''}" for s in changed.steps)
            self._log_buffer.record(f"window {changed.name}: {stages}")

    def _next_version(self, name: str) -> int:
        """The version after the one known now: a step derived from an older version gets a conflict."""
        known = self._committed_items().items.get(WINDOW_PREFIX + name)
        return 1 if known is None else known.version + 1

    async def _commit_window(self, changed: Window, version: int) -> Answer:
        """Commits a version of a window; CONFLICT if another node has written that version."""
        return await self._commit(
            [Item(key=WINDOW_PREFIX + changed.name, version=version, value=changed.encode())]
        )

    def _record_usage(self, wall: float, has_lease: bool) -> None:
        """Tracks the peak usage of each service by hour; the lease holder saves it when the hour ends."""
        hour = hour_of_week(wall)
        slots_by_service: dict[str, float] = {}
        nodes = list(self._list_members())
        self._totals.retain_nodes({node.name for node in nodes})
        for node in nodes:
            self._totals.add_report(node.name, node.through, node.tallies)
            if node.used:
                slots_by_service[node.service] = slots_by_service.get(node.service, 0.0) + node.used
        for service, slots in slots_by_service.items():
            hours = self._peak_slots.setdefault(service, {})
            hours[hour] = max(hours.get(hour, 0.0), slots)
        if self._hour not in (-1, hour) and has_lease:
            for service, hours in self._peak_slots.items():
                if self._hour in hours:
                    self._save_usage(service, self._hour, hours[self._hour])
        self._hour = hour

    def _save_usage(self, service: str, hour: int, slots: float) -> None:
        known = self._committed_items().items.get(USAGE_PREFIX + service)
        usage = json.loads(known.value) if known is not None and not known.dropped else {}
        usage[str(hour)] = slots
        version = 1 if known is None else known.version + 1
        item = Item(
            key=USAGE_PREFIX + service, version=version, value=json.dumps(usage, sort_keys=True).encode()
        )
        self._spawn(self._commit_item(item))

    async def _commit_item(self, item: Item) -> None:
        await self._commit([item])

    # ------------------------------------------------------------ operators

    async def dispatch(self, call: ApiRequest) -> ApiResponse | None:
        """Returns None for requests that are not about maintenance."""
        match call.method, call.segments:
            case "GET", ("contracts",):
                found = self._committed_items().live_items(CONTRACT_PREFIX)
                return _json({"contracts": {name: json.loads(i.value) for name, i in found.items()}})
            case "PATCH", ("contracts",):
                return await self._patch_contracts(call.body)
            case "GET", ("maintenance",):
                windows = self.situation().windows
                return _json({name: describe_window(each) for name, each in sorted(windows.items())})
            case "GET", ("maintenance", name):
                found_window = self.situation().windows.get(name)
                if found_window is None:
                    return ApiResponse(404)
                return _json({**describe_window(found_window), "report": self._report(found_window)})
            case "POST", ("maintenance", name):
                return await self._request_window(name, call, keep=True)
            case "POST", ("maintenance", name, "plan"):
                return await self._request_window(name, call, keep=False)
            case "DELETE", ("maintenance", name):
                return await self._alter_window(
                    name, call, lambda w: controller.stop_window(w, "an operator stopped it")
                )
            case "POST", ("maintenance", name, "done", machine):
                return await self._alter_window(
                    name, call, lambda w: controller.finish_early(w, machine, self._wall())
                )
            case _, ("contracts" | "maintenance", *_):
                return ApiResponse(405)
        return None

    def _report(self, each: Window) -> dict[str, Any]:
        """Results of bookings in the window, so far or final.  ordinary: those between planning and start."""
        if each.counts_at_start is None:
            return {}
        usual = ledger.difference(each.counts_at_plan, each.counts_at_start)
        end = each.counts_at_end if each.counts_at_end is not None else self._totals.latest_counts()[1]
        return ledger.report(each.counts_at_start, end, usual)

    async def _patch_contracts(self, body: bytes) -> ApiResponse:
        parsed = contract.parse(body)
        if isinstance(parsed, Failure):
            return _rejected(400, parsed.failure())
        changes = parsed.unwrap()
        items = [
            Item(key=c.key, version=c.version, dropped=c.value is None, value=c.value or b"") for c in changes
        ]
        answer = await self._commit(items)
        if answer.code is not ResultCode.DONE:
            return _commit_failed(answer.code)
        now = self._wall()
        contracts = contract.read_contracts(
            (i.key[len(CONTRACT_PREFIX) :], i) for i in items if not i.dropped
        )
        return _json(
            {"warnings": [str(f) for each in contracts.values() for f in contract.warnings(each, now)]}
        )

    async def _request_window(self, name: str, call: ApiRequest, *, keep: bool) -> ApiResponse:
        try:
            order = cast(dict[str, Any], _WINDOW_REQUEST.load(json.loads(call.body)))
        except ValidationError as error:
            return _rejected(400, [Finding("order", f"windows.{name}", str(error.messages))])
        except (ValueError, RecursionError) as error:
            return _rejected(400, [Finding("cut_short", "the body", f"cannot be read whole: {error}")])
        order["machines"], order["tenants"] = tuple(order["machines"]), frozenset(order["tenants"])
        planned = planner.plan(WindowRequest(name, **order), self._wall(), self.situation())
        if isinstance(planned, list):
            return _rejected(409, planned)
        if not keep:
            return _json(describe_window(planned))
        planned = dataclasses.replace(planned, counts_at_plan=self._totals.latest_counts()[1])
        version = self._next_version(name)
        if not call.caller.still_waits():
            return LATE_RESPONSE
        answer = await self._commit_window(planned, version)
        if answer.code is not ResultCode.DONE:
            return _commit_failed(answer.code)
        await self._drop_old_windows()
        return _json(describe_window(planned))

    async def _drop_old_windows(self) -> None:
        for name in controller.surplus_finished(dict(self.situation().windows), MAX_FINISHED_WINDOWS):
            known = self._committed_items().items[WINDOW_PREFIX + name]
            await self._commit([Item(key=known.key, version=known.version + 1, dropped=True)])

    async def _alter_window(
        self, name: str, call: ApiRequest, alter: Callable[[Window], Window | None]
    ) -> ApiResponse:
        """Applies an operator's change, with retries when the lease holder changed the window first."""
        for _ in range(MAX_ALTER_ATTEMPTS):
            known = self.situation().windows.get(name)
            if known is None:
                return ApiResponse(404)
            altered = None if known.is_over() else alter(known)
            if altered is None:
                return ApiResponse(409, f"it is {known.state()}\n".encode())
            version = self._next_version(name)
            if not call.caller.still_waits():
                return LATE_RESPONSE
            answer = await self._commit_window(altered, version)
            if answer.code is ResultCode.DONE:
                return _json(describe_window(altered))
            if answer.code is not ResultCode.CONFLICT:
                return _commit_failed(answer.code)
        return _commit_failed(ResultCode.BUSY)


def describe_window(each: Window) -> dict[str, Any]:
    """A window as it is shown to operators."""
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


def _json(what: Any) -> ApiResponse:
    return ApiResponse(200, json.dumps(what).encode(), _JSON_FIELDS)


def _rejected(status: int, findings: list[Finding]) -> ApiResponse:
    return ApiResponse(status, "".join(f"{finding}\n" for finding in findings[:20]).encode())


def _commit_failed(code: ResultCode) -> ApiResponse:
    if code is ResultCode.CONFLICT:
        return ApiResponse(409, b"somebody was before you: look again\n")
    return ApiResponse(503, b"no majority answered in time\n", RETRY_AFTER_HEADER)

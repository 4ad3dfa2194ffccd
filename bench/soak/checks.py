"""The invariants checked at the end of a soak: from the servers' runs, the responses and the metrics."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from bench.soak.bulk import BulkClients, check_bulk
from bench.soak.bursts import BurstClients, check_bursts
from bench.soak.clients import NOT_RUN_STATUSES, ObservedRequest
from bench.soak.evacuations import EvacuationOperator, FaultSpan, late_arrivals
from bench.soak.machine import InvariantError, Machine
from bench.soak.operators import AcknowledgedRoute, Operators
from bench.soak.world import REQUEST_KINDS, World
from leadrudder.control_plane.feeds import MAX_UNSENT_BYTES
from leadrudder.emulation.standins import SentRequest, encoded_request, http_call

MAX_READ_ATTEMPTS = 100
# Room for a whole snapshot besides the queued bytes.
MAX_UNSENT_BYTES_OF_SESSION = MAX_UNSENT_BYTES + 1024 * 1024
# These must be 0 once the clients have stopped.
OPEN_REQUEST_METRICS = ("requests_open", "calls_running", "operator_calls_open", "held_body_bytes")
MIN_SERVED_FRACTION = 0.3  # of all requests of the soak
MAX_EXIT_DELAY_S = 1.5  # exit of a process after it closed its connections; a blocking dial may delay it
EVACUATION_PROBES = 10  # requests sent at each machine at the end
CLOSE_NOTICE_DELAY_S = 0.5  # a client notices the close of a connection this long after the process exited


@dataclass(frozen=True, slots=True)
class MetricTotals:
    shed: int
    checks: int  # machines whose metrics were read
    lag_max_s: float


async def check_invariants(
    world: World,
    operators: Operators,
    evacuations: EvacuationOperator,
    bursts: BurstClients,
    bulk: BulkClients,
    faults: Sequence[FaultSpan],
) -> MetricTotals:
    """InvariantError if an invariant is violated.  faults: as injected."""
    check_exits(world)
    await _check_reads(world, operators)
    await _check_nodes_apply_changes(world, operators)
    await _check_last_evacuations(world, evacuations)
    _check_evacuated_zones(world, evacuations, faults)
    check_requests(world.runs_by_attempt(), world.sent_requests())
    check_keep_alive_requests(world.runs_by_attempt(), world.keep_alive_requests())
    arrived = {arrival.attempt_id for _, arrival in world.arrivals()}
    check_bursts(bursts.bursts, arrived, faults, {machine.host for machine in world.node_machines})
    for burst in bursts.bursts:
        for sent in burst.requests:
            check_promises(world.runs_by_attempt(), sent)
    check_bulk(world.runs_by_attempt(), world.damaged_ids(), bulk.sent)
    _check_served_fraction(world.sent_requests())
    return await _check_metrics(world)


def check_exits(world: World) -> None:
    """No process has ended that the soak has not ended."""
    if world.unexpected_exits:
        raise InvariantError("; ".join(world.unexpected_exits))


async def _check_reads(world: World, operators: Operators) -> None:
    """Every control machine answers reads once the faults are over, with all acknowledged changes."""
    for machine in world.control_machines:
        for _ in range(MAX_READ_ATTEMPTS):
            if await operators.read_and_check(machine):
                break
            await asyncio.sleep(0.1)
        else:
            raise InvariantError(f"{machine.host} answers no read after the faults ended")


async def _check_nodes_apply_changes(world: World, operators: Operators) -> None:
    """Every data-plane node applies the newest acknowledged configuration to requests."""
    for machine in world.node_machines:
        for name, expected in operators.acknowledged.items():
            if name.startswith("idle-"):
                await _check_route_applied((machine.host, world.base_port + 2), name, expected)


async def _check_route_applied(address: tuple[str, int], name: str, expected: AcknowledgedRoute) -> None:
    fields = f"Attempt-Id: probe-{name}\r\nTime-Left: 2000\r\n"
    answer = await http_call(address, encoded_request("GET", "/probe", f"{name}.example", fields), 2.5)
    if answer is None:
        raise InvariantError(f"{address[0]} does not answer a request of route {name}")
    if (answer.status == 404) != (expected.content is None):
        raise InvariantError(
            f"{address[0]} answers {answer.status} on {name}, acknowledged version {expected.version:08x}"
        )


async def _check_last_evacuations(world: World, evacuations: EvacuationOperator) -> None:
    """At the end no request of any machine reaches a zone whose last acknowledged order evacuated it."""
    started_at = asyncio.get_running_loop().time()
    evacuated = evacuations.evacuated_zones()
    for machine in world.node_machines:
        for i in range(EVACUATION_PROBES):
            kind = REQUEST_KINDS[i % len(REQUEST_KINDS)]
            fields = f"Attempt-Id: e-{machine.host}-{i}\r\nTime-Left: 1500\r\n"
            request = encoded_request("GET", "/probe", kind.host, fields)
            await http_call((machine.host, world.base_port + 2), request, 2.0)
    reached = [
        f"{arrival.attempt_id} reached {machine.host} in {machine.zone_name}, which is evacuated at the end"
        for machine, arrival in world.arrivals()
        if arrival.at >= started_at and machine.zone_name in evacuated
    ]
    if reached:
        raise InvariantError(f"EVAC: {len(reached)} requests, the first: {reached[0]}")


def _check_evacuated_zones(
    world: World, evacuations: EvacuationOperator, faults: Sequence[FaultSpan]
) -> None:
    control_hosts = [machine.host for machine in world.control_machines]
    late = late_arrivals(evacuations.orders, world.arrivals(), faults, control_hosts)
    if late:
        raise InvariantError(f"EVAC: {len(late)} requests, the first: {late[0]}")


def check_requests(runs: Mapping[str, int], sent: Collection[SentRequest]) -> None:
    """A booking runs at most once; a refused request never ran; a request that got a success did run.

    runs: how often each attempt ran, by its id.
    """
    for sent_request in sent:
        if sent_request.served_attempt and not runs.get(sent_request.served_attempt):
            raise InvariantError(f"{sent_request.served_attempt} got a success, but no server ran it")
        if not sent_request.once:
            continue
        for name in sent_request.attempt_ids:
            if runs.get(name, 0) > 1:
                raise InvariantError(f"booking {name} ran {runs[name]} times")
        # A booking is retried only after a response that says it did not run.
        for name in sent_request.attempt_ids[:-1]:
            if runs.get(name):
                raise InvariantError(f"booking {name} ran although a response said that it did not")


def check_promises(runs: Mapping[str, int], sent: ObservedRequest) -> None:
    """The same for one request, by its response."""
    run_count = runs.get(sent.id, 0)
    if sent.once and run_count > 1:
        raise InvariantError(f"booking {sent.id} ran {run_count} times")
    if 200 <= sent.status < 300 and not run_count:
        raise InvariantError(f"{sent.id} got a success, but no server ran it")
    if sent.once and sent.status in NOT_RUN_STATUSES and run_count:
        raise InvariantError(f"booking {sent.id} ran although a response said that it did not")


def check_keep_alive_requests(
    runs: Mapping[str, int], kept: Collection[tuple[Machine, ObservedRequest]]
) -> None:
    """The same on keep-alive connections; and one closes without a response only when its process exits."""
    for machine, sent in kept:
        run_count = runs.get(sent.id, 0)
        check_promises(runs, sent)
        process_exited = any(
            -CLOSE_NOTICE_DELAY_S <= exit_at - sent.lost_at <= MAX_EXIT_DELAY_S
            for exit_at in machine.exit_times
        )
        if sent.lost_at and not process_exited:
            after_s = [round(exit_at - sent.lost_at, 2) for exit_at in machine.exit_times]
            raise InvariantError(
                f"{sent.id}, which ran {run_count} times, got no response within "
                f"{sent.lost_at - sent.sent_at:.4f} s, when its connection closed; "
                f"exits of the machine's processes, in seconds after that: {after_s}"
            )


def _check_served_fraction(sent: Collection[SentRequest]) -> None:
    served = sum(bool(sent_request.served_attempt) for sent_request in sent)
    if served < MIN_SERVED_FRACTION * len(sent):
        raise InvariantError(f"{served} of {len(sent)} requests were served")


async def _check_metrics(world: World) -> MetricTotals:
    """No process counts a violation, has open requests, or holds more unsent bytes than its bound."""
    shed, checks, lag = 0, 0, 0.0
    for machine in world.machines:
        metrics = await world.fetch_metrics(machine)
        violations = {name for name in metrics if name.startswith("invariant_violations_total")}
        if violations:
            raise InvariantError(f"{machine.role} {machine.host}: {', '.join(sorted(violations))}")
        for name in OPEN_REQUEST_METRICS:
            if metrics.get(name):
                raise InvariantError(
                    f"{machine.role} {machine.host}: {name} is {metrics[name]:.0f} after the clients stopped"
                )
        if metrics.get("session_unsent_bytes", 0.0) > MAX_UNSENT_BYTES_OF_SESSION:
            raise InvariantError(
                f"{machine.host} holds {metrics['session_unsent_bytes']:.0f} unsent bytes for a node"
            )
        shed += int(metrics.get("requests_shed_total", 0) + metrics.get("calls_shed_total", 0))
        lag = max(lag, metrics["loop_lag_highest_seconds"])
        checks += 1
    return MetricTotals(shed, checks, lag)

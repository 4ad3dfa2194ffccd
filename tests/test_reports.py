"""Load reports: their effect, their lifetime, and invalid ones."""

from __future__ import annotations

import asyncio
import math
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from leadrudder import Balancer
from leadrudder.interface import (
    Action,
    Arrival,
    AttemptEnded,
    ListKind,
    Log,
    Outcome,
    RequestClass,
    Send,
    ServerEntry,
    ServerList,
    Settings,
)
from leadrudder.node.lists import DiscoveryDecoder
from leadrudder.node.reports import MAX_CACHED_REPORTS, LoadReportParser
from leadrudder.node.servers import HttpUpstream
from leadrudder.state.records import ClassHealth, EventContext, Server
from leadrudder.state.reports import LOG_INTERVAL_MS, REPORT_LIFETIME_MS, LoadReports
from tests.stubs import StubServer, listing, reply, row, run

COLUMNS = ("utilization", "outstanding")
SETTINGS = Settings((RequestClass("look", 1000.0, 3000.0),), load_columns=COLUMNS)
INVALID = [(math.nan, 1.0), (0.5, math.inf), (-0.1, 3.0), (0.5, -1.0), (0.5, 1e9), (7.0, 1.0), (0.5,)]


def reports() -> tuple[LoadReports, EventContext, list[Server]]:
    context = EventContext(random.Random(1))
    servers = [Server(ServerEntry(bytes([i])), [ClassHealth()], position=i) for i in range(4)]
    load_reports = LoadReports(SETTINGS, context)
    load_reports.listed_servers = len(servers)
    return load_reports, context, servers


def test_a_server_with_full_cores_and_more_requests_than_its_share_is_crowded() -> None:
    load_reports, _, servers = reports()
    for server, load in zip(servers, [(1.0, 30.0), (1.0, 6.0), (0.4, 30.0), (1.0, 30.0)], strict=True):
        load_reports.record(server, load)
    # The mean is 24: the second is below it, the third has free cores; a larger share allows more requests.
    assert [load_reports.crowded(s, 1.0) for s in servers] == [True, False, False, True]
    assert not load_reports.crowded(servers[3], 1.2)


def test_a_report_expires_and_its_repetition_does_not_refresh_it() -> None:
    load_reports, context, servers = reports()
    for server in servers:
        load_reports.record(server, (1.0, 40.0 if server is servers[0] else 1.0))
    context.now = REPORT_LIFETIME_MS - 1.0
    load_reports.record(servers[0], (1.0, 40.0))
    assert load_reports.crowded(servers[0], 1.0) and load_reports.mean_utilization() == 1.0
    context.now = REPORT_LIFETIME_MS
    assert not load_reports.crowded(servers[0], 1.0) and load_reports.mean_utilization() is None
    load_reports.record(servers[0], (1.0, 40.0))
    assert servers[0].load_report == (1.0, 40.0), "a report that has expired counts when it is repeated"


def test_a_server_that_reports_no_requests_counts_with_the_calls_of_this_node() -> None:
    load_reports, _, servers = reports()
    for server in servers:
        load_reports.record(server, (1.0, 0.0 if server is servers[0] else 4.0))
    assert not load_reports.crowded(servers[0], 1.0)
    servers[0].outstanding = {(i, 0): 0.0 for i in range(9)}
    assert load_reports.crowded(servers[0], 1.0)


@pytest.mark.parametrize(
    ("utilization", "latency_ratio", "saturation", "adjusted"),
    [
        (0.5, 0.8, 1.7, 1.0),  # cores are free and latencies near their target: heavy work, no overload
        (0.5, 2.0, 1.7, 1.7),  # far above the target calls wait for something other than these cores
        (0.93, 0.8, 1.7, 1.7),
        (1.0, 0.8, 0.4, 1.03),  # no core is free: saturation before latencies show it
        (0.5, 0.8, 0.4, 0.4),
    ],
)
def test_saturation_is_corrected_by_cpu_utilization(
    utilization: float, latency_ratio: float, saturation: float, adjusted: float
) -> None:
    load_reports, _, servers = reports()
    for server in servers[:3]:
        load_reports.record(server, (utilization, 5.0))
    assert load_reports.adjust_saturation(saturation, latency_ratio) == pytest.approx(adjusted)
    load_reports.listed_servers = 6
    assert (
        load_reports.adjust_saturation(saturation, latency_ratio) == saturation
    ), "reports of half a fleet have no effect"


@given(st.lists(st.tuples(st.integers(0, 3), st.sampled_from("trgw"), st.floats(0.0, 1.2)), max_size=120))
@settings(max_examples=60, deadline=None)
def test_the_sums_equal_those_of_a_full_scan(steps: list[tuple[int, str, float]]) -> None:
    told, context, servers = reports()
    told.listed_servers = 1
    last: dict[int, tuple[float, tuple[float, float]]] = {}
    for i, what, figure in steps:
        if what == "t":
            context.now += 1500.0 * figure
        elif what == "g":
            told.discard(servers[i])
            last.pop(i, None)
        elif what == "w":
            told.record(servers[i], (-1.0, figure))
        else:
            load = (figure, round(10 * figure))
            if i not in last or last[i][1] != load or context.now - last[i][0] >= REPORT_LIFETIME_MS:
                last[i] = context.now, load
            told.record(servers[i], load)
        fresh = [load for at, load in last.values() if context.now - at < REPORT_LIFETIME_MS]
        mean = sum(u for u, _ in fresh) / len(fresh) if fresh else None
        got = told.mean_utilization()
        assert got == (pytest.approx(mean) if mean is not None else None)
        assert len(told._fresh) <= len(steps)


def test_invalid_reports_change_nothing_and_are_logged_at_intervals() -> None:
    def play(loads: list[tuple[float, ...]]) -> list[Action]:
        node = Balancer(SETTINGS, 7)
        log: list[Action] = []
        entries = tuple(ServerEntry(bytes([i])) for i in range(4))
        log += node.handle(ServerList(ListKind.FULL, entries), 0.0)
        for i in range(400):
            now = 10.0 * i
            sent = [a for a in node.handle(Arrival(i, 0, 2000.0), now) if isinstance(a, Send)]
            for action in sent:
                load = loads[i % len(loads)] if loads else ()
                log += node.handle(
                    AttemptEnded(i, 0, action.server, Outcome.OK, 20.0 + i % 7, True, load), now + 5.0
                )
            log += sent
        return log

    with_invalid = play(list(INVALID))
    lines = [a for a in with_invalid if isinstance(a, Log)]
    assert [a for a in with_invalid if a not in lines] == [a for a in play([]) if not isinstance(a, Log)]
    assert len(lines) == 1 and "invalid load reports, the last from server" in lines[0].text
    assert LOG_INTERVAL_MS > 400 * 10.0


def test_a_crowded_server_gets_fewer_calls_unless_all_are_crowded() -> None:
    def calls(crowded_servers: set[int]) -> list[int]:
        node = Balancer(SETTINGS, 3)
        node.handle(ServerList(ListKind.FULL, tuple(ServerEntry(bytes([i])) for i in range(4))), 0.0)
        got = [0] * 4
        for i in range(2000):
            now = 10.0 * i
            for action in node.handle(Arrival(i, 0, 2000.0), now):
                if isinstance(action, Send):
                    at = action.server[0]
                    got[at] += 1
                    # The figures vary a little, like those of a server that refreshes its measurement.
                    load = (
                        1.0 if at in crowded_servers else 0.5,
                        (30.0 if at in crowded_servers else 5.0) + i % 3,
                    )
                    node.handle(AttemptEnded(i, 0, action.server, Outcome.OK, 20.0, True, load), now + 5.0)
        return got

    plain, one, every = calls(set()), calls({0}), calls({0, 1, 2, 3})
    assert sum(plain) == sum(one) == sum(every) == 2000
    assert min(plain) > 300 and min(every) > 300
    # Its report is fresh for four seconds; then a call is sent to it and brings a new one.
    assert 1 <= one[0] <= 2000 * 10.0 / REPORT_LIFETIME_MS + 8


# ---------------------------------------------------------------- on sockets


@pytest.mark.parametrize(
    ("header", "parsed"),
    [
        (b'{"utilization":0.61,"outstanding":7}', (0.61, 7.0)),
        (b'{"inflight":7,"queue":2,"util":0.61}', (0.61, 7.0)),  # the names used over sockets
        (None, ()),
    ],
)
def test_a_report_is_read_in_the_order_of_the_settings(
    header: bytes | None, parsed: tuple[float, ...]
) -> None:
    assert LoadReportParser(COLUMNS).parse(header) == parsed
    assert LoadReportParser(()).parse(header) == ()


@pytest.mark.parametrize(
    "header",
    [
        b"",
        b"[0.6,7]",
        b"{\xff]",
        b'{"util":0.6}',
        b'{"util":"0.6","inflight":7}',
        b'{"util":true,"inflight":7}',
        b'{"util":null,"inflight":7}',
        b'{"util":0.6,"inflight":' + b"9" * 400 + b"}",
        b"[" * 500,
        b'{"util":0.6,"inflight":7,"x":"' + b"y" * 600 + b'"}',
    ],
)
def test_an_unreadable_report_is_passed_on_as_nan(header: bytes) -> None:
    parsed = LoadReportParser(COLUMNS).parse(header)
    assert len(parsed) == 2 and all(math.isnan(figure) for figure in parsed)


def test_the_cache_of_parsed_reports_is_bounded() -> None:
    reader = LoadReportParser(COLUMNS)
    for i in range(3 * MAX_CACHED_REPORTS):
        assert reader.parse(b'{"util":0.5,"inflight":%d}' % i) == (0.5, float(i))
    assert len(reader._cache) == MAX_CACHED_REPORTS


@pytest.mark.parametrize("status", ["200 OK", "503 Service Unavailable"])
def test_a_report_comes_with_any_answer(status: str) -> None:
    async def main() -> None:
        extra = 'X-Load: {"util":0.25,"inflight":3}\r\n'
        async with StubServer([reply(status, extra=extra)]) as server:
            servers = HttpUpstream(
                connect_timeout_s=1.0, idle_timeout_s=5.0, max_connections=4, load_columns=COLUMNS
            )
            servers.update(DiscoveryDecoder((), ()).decode(listing(1, row("a", server.address))))
            ended: asyncio.Future[tuple[float, ...]] = asyncio.get_running_loop().create_future()
            servers.probe(b"a", 5.0, lambda _, __, report=(), /: ended.set_result(report))
            assert await asyncio.wait_for(ended, 10.0) == (0.25, 3.0)
            servers.close()

    run(main())

"""Crowds of peers that do not behave, at real processes with low limits: each test plays one of them.

Guards against the fault of issue 82: such clients ended a process by its memory. Checked are that all
processes live, that memory and descriptors stay under the limits of the settings, and that an ordinary
request gets its answer while the crowd is still connected.
"""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

from bench.bulk import BulkRequest, BulkServer
from bench.misbehaving import (
    ODD_PATH,
    Crowd,
    EndlessAnswerServer,
    Payload,
    blank_values,
    chunked_body,
    declared_body,
    long_trailer,
    many_trailers,
    nested_json,
    nothing,
    repeated_name,
    short_names,
    unfinished_frame,
    whole_requests_with_many_lines,
)
from bench.peak_memory import BulkFleet

MEMORY_LIMIT_MB = 120  # of each process
MEMORY_BOUND_MIB = MEMORY_LIMIT_MB * 1_000_000 // 2**20
OPEN_FILES = 4096
FEW_OPEN_FILES = 600
RESERVED_FILES = 200  # by the users' pages, of a process's descriptors
CROWD = 400
ODD_ANSWERS, ODD_TIME_LEFT_MS = 60, 3_000  # fewer than the server has slots
REFUSALS_ALLOWED = 10  # of an ordinary request that is sent again after each
RETRY_PAUSE_S = 0.2
QUIET_CPU_TICKS, QUIET_INTERVAL_S, QUIET_CHECKS = 3, 0.25, 120


def open_descriptors(pid: int) -> int:
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


def cpu_ticks(pid: int) -> int:
    """Processor time in ticks of the clock (10 ms)."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])


class MisbehavingPeers(unittest.IsolatedAsyncioTestCase):
    """Three control-plane and three data-plane nodes; the server is beside the last of these."""

    async def start_fleet(self, open_files: int = OPEN_FILES, server: BulkServer | None = None) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.open_files = open_files
        self.fleet = BulkFleet(Path(folder.name), memory_limit_mb=MEMORY_LIMIT_MB, open_files=open_files)
        self.fleet.server = server or self.fleet.server
        self.addAsyncCleanup(self.fleet.end)
        await self.fleet.start_serving()

    async def play(
        self, host: str, port: int, payload: Payload, size: int = CROWD, *, comes_again: bool = False
    ) -> None:
        """Play a crowd at an address, and check what must hold."""
        crowd = Crowd((host, port), size, payload, comes_again)
        try:
            await crowd.arrive()
            await self.assert_an_ordinary_request_is_answered()
            await self.wait_until_quiet()
            self.assert_within_limits()
        finally:
            await crowd.leave()
        await self.assert_an_ordinary_request_is_answered()
        self.assert_within_limits()
        self.assertEqual(set(await self.fleet.end()), {0}, "codes at the end")

    async def play_at_clients_port(
        self, payload: Payload, size: int = CROWD, *, comes_again: bool = False
    ) -> None:
        await self.start_fleet()
        host = self.fleet.data_plane_ips[0]
        await self.play(host, self.fleet.outbound_port, payload, size, comes_again=comes_again)

    async def play_at_control_port(self, payload: Payload, size: int = CROWD) -> None:
        await self.start_fleet()
        await self.play(self.fleet.control_plane_ips[0], self.fleet.base_port, payload, size)

    async def assert_an_ordinary_request_is_answered(self) -> None:
        statuses = []
        for number in range(1 + REFUSALS_ALLOWED):
            request = BulkRequest(f"ordinary-{number}")
            statuses.append((await self.fleet.send(self.fleet.data_plane_ips[0], request)).status)
            if statuses[-1] == 200:
                return
            await asyncio.sleep(RETRY_PAUSE_S)
        self.fail(f"an ordinary request got {statuses}")

    async def wait_until_quiet(self) -> None:
        """Wait until the processes have worked off what the crowd has sent."""
        pids = [process.pid for process in self.fleet.processes.values()]
        before = sum(map(cpu_ticks, pids))
        for _ in range(QUIET_CHECKS):
            await asyncio.sleep(QUIET_INTERVAL_S)
            now = sum(map(cpu_ticks, pids))
            if now - before <= QUIET_CPU_TICKS * len(pids):
                return
            before = now

    def assert_within_limits(self) -> None:
        for ip, peak_mib in self.fleet.peaks_mb().items():
            self.assertTrue(
                0 < peak_mib < MEMORY_BOUND_MIB, f"{ip}: peak {peak_mib} MiB of {MEMORY_BOUND_MIB}"
            )
        for ip, process in self.fleet.processes.items():
            self.assertLess(open_descriptors(process.pid), self.open_files - RESERVED_FILES, ip)

    # ------------------------------------------------------------ heads

    async def test_heads_of_short_lines_that_do_not_end(self) -> None:
        await self.play_at_clients_port(short_names)

    async def test_heads_of_one_name_that_do_not_end(self) -> None:
        await self.play_at_clients_port(repeated_name)

    async def test_heads_of_blank_values_that_come_again(self) -> None:
        await self.play_at_clients_port(blank_values, comes_again=True)

    async def test_whole_requests_with_many_lines(self) -> None:
        await self.play_at_clients_port(whole_requests_with_many_lines)

    # ------------------------------------------------------------ bodies

    async def test_large_bodies_one_byte_short(self) -> None:
        await self.play_at_clients_port(declared_body(8_000_000), 30)

    async def test_large_bodies_one_byte_short_that_come_again(self) -> None:
        await self.play_at_clients_port(declared_body(8_000_000), 30, comes_again=True)

    async def test_large_bodies_in_small_writes(self) -> None:
        await self.play_at_clients_port(declared_body(800_000, 1_000), 100)

    async def test_small_bodies_one_byte_short(self) -> None:
        await self.play_at_clients_port(declared_body(16_000))

    # ------------------------------------------------------------ chunked bodies

    async def test_two_byte_chunks(self) -> None:
        await self.play_at_clients_port(chunked_body(16_000, 2))

    async def test_one_byte_chunks_beyond_a_small_body(self) -> None:
        await self.play_at_clients_port(chunked_body(100_000, 1), 60)

    async def test_large_chunks(self) -> None:
        await self.play_at_clients_port(chunked_body(9_000_000, 3_000_000), 30)

    async def test_trailers_that_do_not_end(self) -> None:
        await self.play_at_clients_port(many_trailers)

    async def test_one_trailer_line_that_does_not_end(self) -> None:
        await self.play_at_clients_port(long_trailer, 150)

    # ------------------------------------------------------------ connections

    async def test_connections_on_which_nothing_is_sent(self) -> None:
        await self.start_fleet(FEW_OPEN_FILES)
        await self.play(self.fleet.data_plane_ips[0], self.fleet.outbound_port, nothing)

    async def test_connections_to_a_control_port_on_which_nothing_is_sent(self) -> None:
        await self.start_fleet(FEW_OPEN_FILES)
        await self.play(self.fleet.control_plane_ips[0], self.fleet.base_port, nothing)

    # ------------------------------------------------------------ operators, servers, readiness

    async def test_heads_at_a_control_port(self) -> None:
        await self.play_at_control_port(short_names)

    async def test_two_byte_chunks_at_a_control_port(self) -> None:
        await self.play_at_control_port(chunked_body(16_000, 2))

    async def test_json_of_empty_arrays_at_a_control_port(self) -> None:
        await self.play_at_control_port(nested_json(b"PATCH", b"/config", 800_000), 20)

    async def test_heads_at_a_readiness_address(self) -> None:
        await self.start_fleet()
        await self.play(self.fleet.data_plane_ips[0], self.fleet.base_port + 3, short_names)

    async def test_answers_of_a_server_that_do_not_end(self) -> None:
        await self.start_fleet(server=EndlessAnswerServer("odd"))
        for kind in ("heads", "chunks"):
            odd = [
                BulkRequest(f"{kind}-{i}", path=f"{ODD_PATH}/{kind}", time_left_ms=ODD_TIME_LEFT_MS)
                for i in range(ODD_ANSWERS)
            ]
            sending = [asyncio.ensure_future(self.fleet.send(self.fleet.server_ip, each)) for each in odd]
            await asyncio.sleep(RETRY_PAUSE_S)
            await self.assert_an_ordinary_request_is_answered()
            await asyncio.gather(*sending)
        self.assert_within_limits()
        self.assertEqual(set(await self.fleet.end()), {0}, "codes at the end")

    # ------------------------------------------------------------ links

    async def test_frames_that_do_not_end_at_a_data_plane_node(self) -> None:
        await self.start_fleet()
        await self.play(self.fleet.data_plane_ips[0], self.fleet.base_port + 5, unfinished_frame, 60)

    async def test_frames_that_do_not_end_at_a_control_plane_node(self) -> None:
        await self.start_fleet()
        await self.play(self.fleet.control_plane_ips[0], self.fleet.base_port + 4, unfinished_frame, 60)


if __name__ == "__main__":
    unittest.main()

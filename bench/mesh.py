"""The cost of a request through two mesh nodes, and the delay of a change: python -m bench.mesh.

Cost: three control machines, two data-plane nodes and bench/relay.py run on loopback; the same client sends
to node and relay in turn. The server is beside the other node, so each request passes two nodes. Measured is
the processor time that the kernel charged to the processes. Delay until the last node has a change: the real
state machines in virtual time; each control machine sends the update to its share of the nodes one after
another, at the measured cost of encoding it, over links of 2 Mbit/s and 4 ms.
"""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import time
from pathlib import Path
from random import Random

from leadrudder.consensus.outputs import Answer
from leadrudder.control_simulation.world import Machine, World
from leadrudder.mesh.demo import LoopbackFleet, free_port
from leadrudder.protocol.mesh_pb2 import Frame, Item, StateUpdate
from leadrudder.transport.http import BufferedHttpMessage, HttpReader, render_response
from leadrudder.transport.link import encode_frame

ROUND_COUNT, REQUESTS_PER_ROUND, CLIENT_COUNT = 5, 600, 8
RELAY_REQUEST_FACTOR = 10  # factor of requests to the relay
LINK_DELAY_S, LINK_BITS_PER_S = 0.004, 2e6
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class _Server(asyncio.Protocol):
    """Answers each request with 1,500 bytes."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._reader = HttpReader(self._answer, requests=True)

    def data_received(self, data: bytes) -> None:
        self._reader.feed(data)

    def _answer(self, message: object) -> None:
        assert isinstance(message, BufferedHttpMessage)
        fields = b"Attempt-Id: %s\r\nServer-Seal: s\r\n" % message.headers.get(b"attempt-id", b"")
        self._transport.write(render_response(200, fields, b"x" * 1500))


async def _client(address: tuple[str, int], numbers: range) -> None:
    """Send the numbered requests one after another on one connection."""
    incoming, outgoing = await asyncio.open_connection(*address)
    statuses: list[int] = []
    reader = HttpReader(lambda message: statuses.append(message.status), requests=False)
    for number in numbers:
        head = b"GET /haku/%d HTTP/1.1\r\nHost: demo.example\r\nAttempt-Id: %d\r\nTime-Left: 2000\r\n\r\n"
        outgoing.write(head % (number, number))
        while not statuses:
            reader.feed(await incoming.read(65536))
        if statuses.pop() != 200:
            raise SystemExit("leadrudder: a request of the measurement was not served")
    outgoing.close()


def _cpu_s(pid: int) -> float:
    """Processor seconds of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _peak_mb(pid: int) -> float:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmHWM"))


async def _cpu_us_per_request(
    address: tuple[str, int], pids: list[int], first: int, requests: int = REQUESTS_PER_ROUND
) -> float:
    """Microseconds of processor time of these processes for each request."""
    before = sum(map(_cpu_s, pids))
    per_client = requests // CLIENT_COUNT
    number_ranges = [range(first + i * per_client, first + (i + 1) * per_client) for i in range(CLIENT_COUNT)]
    await asyncio.gather(*(_client(address, numbers) for numbers in number_ranges))
    return 1e6 * (sum(map(_cpu_s, pids)) - before) / requests


async def _measure_cost(folder: Path) -> tuple[float, float]:
    """Ratio of both nodes' processor time to the relay's, and the larger peak memory in MB."""
    fleet = LoopbackFleet(free_port(), folder)
    client_ip, upstream_ip = fleet.data_plane_ips
    loop = asyncio.get_running_loop()
    for ip in (upstream_ip, "127.0.0.1"):
        await loop.create_server(_Server, ip, fleet.app_port)
    relay = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "bench.relay", str(fleet.app_port), stderr=asyncio.subprocess.PIPE
    )
    try:
        assert relay.stderr is not None
        relay_port = int((await relay.stderr.readline()).rpartition(b":")[2])
        await fleet.start()
        await fleet.configure()
        await fleet.send_heartbeat(upstream_ip)
        await fleet.wait_ready()
        pids = [fleet.processes[ip].pid for ip in fleet.data_plane_ips]
        mesh_us, relay_us = 0.0, 0.0
        for round_number in range(ROUND_COUNT):
            await fleet.send_heartbeat(upstream_ip, 2 + round_number)
            mesh_request_us = await _cpu_us_per_request(
                (client_ip, fleet.outbound_port), pids, 10_000 * round_number
            )
            # Far more requests, as the kernel counts ticks of 10 ms and a relay spends about 20 us on each.
            relay_request_us = await _cpu_us_per_request(
                ("127.0.0.1", relay_port), [relay.pid], 0, RELAY_REQUEST_FACTOR * REQUESTS_PER_ROUND
            )
            print(
                f"round {round_number}: {mesh_request_us:.0f} us over both nodes, "
                f"{relay_request_us:.0f} us by a bare relay"
            )
            if round_number:  # round 0 is the warm-up
                mesh_us, relay_us = mesh_us + mesh_request_us, relay_us + relay_request_us
        return mesh_us / max(relay_us, 1.0), max(map(_peak_mb, pids))
    finally:
        relay.terminate()
        await relay.wait()
        await fleet.stop()


class _RecordingWorld(World):
    """Records when each control machine has learned that an item is committed."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.learned_at: dict[str, float] = {}

    def check_committed(self, machine: Machine, item: Item) -> None:
        super().check_committed(machine, item)
        if item.version == 2:
            self.learned_at.setdefault(machine.address, self.now)


def _apply_ms(nodes: int, item: Item) -> float:
    """Milliseconds from the acknowledgement of a change until the last node has it."""
    data = encode_frame(Frame(news=StateUpdate(items=[item])))
    started_at = time.perf_counter()
    for _ in range(200):
        encode_frame(Frame(news=StateUpdate(items=[item])))
    encode_s = (time.perf_counter() - started_at) / 200
    delays_ms = []
    for seed in range(10):
        world = _RecordingWorld(seed)
        world.run_until(4.0)
        first = next(iter(world.machines.values()))
        world.submit_change(first, [Item(key=item.key, version=1, value=b"old")], lambda answer: None)
        world.run_until(6.0)
        acknowledged: list[float] = []

        def answered(answer: Answer, at: list[float] = acknowledged, world: World = world) -> None:
            at.append(world.now)

        world.submit_change(first, [item], answered)
        world.run_until(8.0)
        rng = Random(seed)
        applied_at = 0.0
        for address in world.learned_at:
            sent_at = world.learned_at[address]
            for _ in range(-(-nodes // len(world.machines))):
                sent_at += encode_s
                applied_at = max(
                    applied_at,
                    sent_at + LINK_DELAY_S * (0.5 + 0.5 * rng.random()) + 8 * len(data) / LINK_BITS_PER_S,
                )
        delays_ms.append(1000.0 * (applied_at - acknowledged[0]))
    return max(0.0, max(delays_ms))


def main() -> int:
    with tempfile.TemporaryDirectory(prefix="leadrudder-bench-") as folder:
        ratio, megabytes = asyncio.run(_measure_cost(Path(folder)))
    item = Item(key="routes/r", version=2, epoch=300, value=b"x" * 300)
    applied = {nodes: _apply_ms(nodes, item) for nodes in (12, 76, 300)}
    applied_fields = " ".join(f"apply_ms_{nodes}={ms:.1f}" for nodes, ms in applied.items())
    print(f"cpu_ratio={ratio:.2f} mb={megabytes:.1f} {applied_fields}")
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""What a request costs over both nodes of the mesh, and how soon a change is everywhere: python -m
bench.mesh.

Processor time: three signalboxes, two stations and bench/relay.py run on loopback; the same client asks
station and relay in turn, and the server stands beside the other station, so that each request passes two
nodes. Counted is what the kernel charged to the processes. Time to the last node: the interlockings that
run, in virtual time; each signalbox tells its part of the stations one after the other, at what packing and
writing the news costs here, over links of 2 Mbit/s and 4 ms.
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

ROUNDS, REQUESTS, CLIENTS = 5, 600, 8
BARE_TIMES = 10  # as many requests to the relay
LINK_S, LINK_BITS_S = 0.004, 2e6
_TICKS = os.sysconf("SC_CLK_TCK")


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
    """So many requests, one after the other, on one connection."""
    incoming, outgoing = await asyncio.open_connection(*address)
    found: list[int] = []
    reader = HttpReader(lambda message: found.append(message.status), requests=False)
    for number in numbers:
        head = b"GET /haku/%d HTTP/1.1\r\nHost: demo.example\r\nAttempt-Id: %d\r\nTime-Left: 2000\r\n\r\n"
        outgoing.write(head % (number, number))
        while not found:
            reader.feed(await incoming.read(65536))
        if found.pop() != 200:
            raise SystemExit("leadrudder: a request of the measurement was not served")
    outgoing.close()


def _spent(pid: int) -> float:
    """Processor seconds of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def _peak_mb(pid: int) -> float:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmHWM"))


async def _load(address: tuple[str, int], pids: list[int], first: int, requests: int = REQUESTS) -> float:
    """Microseconds a request of these processes."""
    before = sum(map(_spent, pids))
    each = requests // CLIENTS
    parts = [range(first + i * each, first + (i + 1) * each) for i in range(CLIENTS)]
    await asyncio.gather(*(_client(address, part) for part in parts))
    return 1e6 * (sum(map(_spent, pids)) - before) / requests


async def _cost(folder: Path) -> tuple[float, float]:
    """Processor time of both stations against one relay, and the larger peak of memory, MB."""
    fleet = LoopbackFleet(free_port(), folder)
    origin, gate = fleet.data_plane_ips
    loop = asyncio.get_running_loop()
    for ip in (gate, "127.0.0.1"):
        await loop.create_server(_Server, ip, fleet.app_port)
    relay = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "bench.relay", str(fleet.app_port), stderr=asyncio.subprocess.PIPE
    )
    try:
        assert relay.stderr is not None
        relay_port = int((await relay.stderr.readline()).rpartition(b":")[2])
        await fleet.start()
        await fleet.configure()
        await fleet.send_heartbeat(gate)
        await fleet.wait_ready()
        pids = [fleet.processes[ip].pid for ip in fleet.data_plane_ips]
        meshes, bares = 0.0, 0.0
        for turn in range(ROUNDS):
            await fleet.send_heartbeat(gate, 2 + turn)
            mesh = await _load((origin, fleet.outbound_port), pids, 10_000 * turn)
            # Many more, as the kernel counts in ticks of 10 ms and a relay's request takes some 20 us.
            bare = await _load(("127.0.0.1", relay_port), [relay.pid], 0, BARE_TIMES * REQUESTS)
            print(f"round {turn}: {mesh:.0f} us over both nodes, {bare:.0f} us by a bare relay")
            if turn:  # the first warms up
                meshes, bares = meshes + mesh, bares + bare
        return meshes / max(bares, 1.0), max(map(_peak_mb, pids))
    finally:
        relay.terminate()
        await relay.wait()
        await fleet.stop()


class _Watched(World):
    """When each signalbox has heard that an item stands."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.heard: dict[str, float] = {}

    def _stood(self, machine: Machine, item: Item) -> None:
        super()._stood(machine, item)
        if item.version == 2:
            self.heard.setdefault(machine.address, self.now)


def _apply_ms(nodes: int, item: Item) -> float:
    """From the acknowledgement of a change until the last of so many stations has it."""
    data = encode_frame(Frame(news=StateUpdate(items=[item])))
    began = time.perf_counter()
    for _ in range(200):
        encode_frame(Frame(news=StateUpdate(items=[item])))
    each_s = (time.perf_counter() - began) / 200
    worst = []
    for seed in range(10):
        world = _Watched(seed)
        world.play(4.0)
        first = next(iter(world.machines.values()))
        world.call(first, [Item(key=item.key, version=1, value=b"old")], lambda answer: None)
        world.play(6.0)
        acknowledged: list[float] = []

        def answered(answer: Answer, at: list[float] = acknowledged, world: World = world) -> None:
            at.append(world.now)

        world.call(first, [item], answered)
        world.play(8.0)
        rng = Random(seed)
        last = 0.0
        for address in world.heard:
            told = world.heard[address]
            for _ in range(-(-nodes // len(world.machines))):
                told += each_s
                last = max(last, told + LINK_S * (0.5 + 0.5 * rng.random()) + 8 * len(data) / LINK_BITS_S)
        worst.append(1000.0 * (last - acknowledged[0]))
    return max(0.0, max(worst))


def main() -> int:
    with tempfile.TemporaryDirectory(prefix="leadrudder-bench-") as folder:
        ratio, megabytes = asyncio.run(_cost(Path(folder)))
    item = Item(key="routes/r", version=2, epoch=300, value=b"x" * 300)
    applied = {nodes: _apply_ms(nodes, item) for nodes in (12, 76, 300)}
    told = " ".join(f"apply_ms_{nodes}={ms:.1f}" for nodes, ms in applied.items())
    print(f"cpu_ratio={ratio:.2f} mb={megabytes:.1f} {told}")
    return 0


if __name__ == "__main__":
    sys.exit(main())

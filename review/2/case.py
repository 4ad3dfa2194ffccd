"""Case 2: requests that wait for a slot when their machine is stopped are cut off without an answer.

Clients of one machine send more requests for long work than the service has slots. All are taken, and some
wait in the queue beside the server. Then the machine's process gets SIGTERM. With TROUBLE=0 it gets none.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

from review.standins.callers import AppServer, Clients, Operator
from review.standins.fleet import BROKEN, HELD, TROUBLE, CannotRunError, Fleet, Machine, Record, run_case

GRACE_S, LOSS_SLACK_S = 6.0, 0.2
WORK_S, DEADLINE_MS = 4.0, 12000
REQUESTS = 22  # nine slots, and a queue
STOPPED = Machine("sidecar-a", "127.7.2.1", "zone-a", "varaamo")
SERVING = Machine("sidecar-b", "127.7.3.1", "zone-b", "arkisto")
SIDECARS = (STOPPED, SERVING, Machine("sidecar-c", "127.7.4.1", "zone-c", "varaamo"))
ROUTES: dict[str, dict[str, object]] = {
    "arkisto": {
        "host": "mesh.example",
        "pathStart": "/arkisto/",
        "kind": "unsafe",
        "giveUp": f"{DEADLINE_MS}ms",
        "target": "10000ms",
        "priority": 1,
        "service": "arkisto",
        "tries": 2,
    }
}


def _check(server: AppServer, clients: Clients, stopped_at: float, record: Record) -> int:
    """LOST: a process has read a request, and the connection ends without an answer around its SIGTERM."""
    reached = {arrival.attempt_id for arrival in server.arrivals}
    cut = {
        attempt_id: (sent, ended)
        for attempt_id, (sent, ended, status) in clients.answers.items()
        if not status and ended < sent + DEADLINE_MS / 1000.0 - 0.1
    }
    statuses = sorted(status for _, _, status in clients.answers.values())
    record.write(f"answers: {statuses}, 0 is none", tell=True)
    lost = [a for a, (sent, ended) in cut.items() if a not in reached and ended > sent + LOSS_SLACK_S]
    record.write(f"cut off while their server was at work, excused: {len(cut) - len(lost)}", tell=True)
    for attempt_id in lost:
        sent, ended = cut[attempt_id]
        text = f"sent {stopped_at - sent:.3f} s before SIGTERM, cut off {ended - stopped_at:.3f} s after it"
        record.write(f"{attempt_id}: {text}, reached no server", tell=True)
    record.write(f"never answered and never passed on: {len(lost)}", tell=True)
    if not server.arrivals:
        raise CannotRunError("no request reached the server")
    return BROKEN if lost else HELD


async def _play(folder: Path, record: Record) -> int:
    fleet = Fleet(folder, record, SIDECARS)
    try:
        await fleet.start()
        servers = [AppServer(fleet, machine, f"i-{machine.name}", work_s=WORK_S) for machine in SIDECARS]
        for server in servers:
            await server.start()
        await Operator(fleet).configure(ROUTES)
        await fleet.wait_ready()
        await asyncio.sleep(4.0)
        clients = Clients(fleet, STOPPED, "/arkisto/1", 1.0, "POST", b"b" * 300, DEADLINE_MS)
        requests = [asyncio.create_task(clients.send_one()) for _ in range(REQUESTS)]
        await asyncio.sleep(0.5)
        stopped_at = record.now()
        if TROUBLE:
            fleet.signal(STOPPED, signal.SIGTERM)
        await asyncio.wait(requests)
        return _check(servers[1], clients, stopped_at, record)
    finally:
        await fleet.stop()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, _play))

"""One of the mesh's programs as deployed, but its connections to other machines pass the relay of the soak.

The relay can partition, delay and reset these connections. Some dials block the whole process for a moment,
as on an overloaded machine. Started by bench.soak.world: python -m bench.soak.process station|signalbox
"""

from __future__ import annotations

import os

from leadrudder.bootstrap.early_signals import handle_early_signals

EARLY_SIGNALS_HANDLED_LINE = b"early signals are handled from now on\n"  # in the log of a process
if __name__ == "__main__":
    handle_early_signals()
    os.write(2, EARLY_SIGNALS_HANDLED_LINE)

import argparse  # noqa: E402
import asyncio  # noqa: E402
import random  # noqa: E402
import socket  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from contextlib import AbstractContextManager, nullcontext  # noqa: E402
from typing import Any  # noqa: E402

from absl import logging  # noqa: E402

from leadrudder.bootstrap.event_loop import ProcessLoop  # noqa: E402
from leadrudder.bootstrap.settings import load_settings  # noqa: E402
from leadrudder.control_plane.program import ControlPlaneNode  # noqa: E402
from leadrudder.data_plane.program import DataPlaneNode  # noqa: E402

RELAY_ENV_VARIABLE = "LEADRUDDER_SOAK_RELAY"  # IP:PORT of the relay
HOST_ENV_VARIABLE = "LEADRUDDER_SOAK_HOST"  # IP address of the machine that the process belongs to
ACCEPTED = b"+"
STALL_FRACTION = 0.1  # of dials, during which the process does nothing else
STALL_S = 0.75  # longer than the timeout of a dial


class RelayedLoop(ProcessLoop):
    """An event loop that opens connections to other machines through the relay."""

    async def create_connection(  # type: ignore[override]  # covers both overloads
        self, factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        if host is None or host == os.environ[HOST_ENV_VARIABLE]:
            return await super().create_connection(factory, host, port, **options)
        relay_host, _, relay_port = os.environ[RELAY_ENV_VARIABLE].rpartition(":")
        sock = socket.socket()
        sock.setblocking(False)
        try:
            await self.sock_connect(sock, (relay_host, int(relay_port)))
            preamble = f"{os.environ[HOST_ENV_VARIABLE]} {host} {port}\n"
            await self.sock_sendall(sock, preamble.encode())
            if await self.sock_recv(sock, 1) != ACCEPTED:
                raise ConnectionRefusedError
            if random.random() < STALL_FRACTION:
                self.call_soon(time.sleep, STALL_S)
            return await super().create_connection(factory, sock=sock)
        except BaseException:
            sock.close()
            raise


def planted_fault(name: str) -> AbstractContextManager[Any]:
    from bench.soak.planted_faults import PLANTED_FAULTS  # imports test code, only when a fault is asked for

    context: AbstractContextManager[Any] = PLANTED_FAULTS[name]()
    return context


async def serve(role: str, planted_fault_name: str) -> None:
    """planted_fault_name: a fault of bench.soak.planted_faults to run with, or empty."""
    settings = load_settings().unwrap()
    with planted_fault(planted_fault_name) if planted_fault_name else nullcontext():
        program = DataPlaneNode(settings) if role == "station" else ControlPlaneNode(settings)
        await program.run()


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m bench.soak.process")
    parser.add_argument("role", choices=["station", "signalbox"])
    parser.add_argument("--plant", default="")
    arguments = parser.parse_args()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    with asyncio.Runner(loop_factory=RelayedLoop) as runner:
        runner.run(serve(arguments.role, arguments.plant))
    return 0


if __name__ == "__main__":
    sys.exit(main())

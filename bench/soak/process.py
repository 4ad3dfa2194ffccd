"""One of the mesh's programs, as it runs in service, but for its connections to other machines.

Those go through the relay of the soak, which can cut, hold up and reset them. Now and then the process stands
still while it dials, as one does that is behind. Run by bench.soak.world:
python -m bench.soak.process station|signalbox
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import signal
import socket
import sys
import time
from contextlib import AbstractContextManager, nullcontext
from typing import Any

signal.signal(signal.SIGHUP, signal.SIG_IGN)  # as both programs do

import uvloop  # noqa: E402
from absl import logging  # noqa: E402

from leadrudder.bootstrap.settings import load_settings  # noqa: E402
from leadrudder.control_plane.program import ControlPlaneNode  # noqa: E402
from leadrudder.data_plane.program import DataPlaneNode  # noqa: E402

RELAY_VARIABLE = "LEADRUDDER_SOAK_RELAY"  # IP:PORT
HOST_VARIABLE = "LEADRUDDER_SOAK_HOST"  # the machine's own address
ACCEPTED = b"+"
STALL_PART = 0.1  # of dials, while which the process does nothing else
STALL_S = 0.75  # for so long: more than a dial may take


class RelayedLoop(uvloop.Loop):
    """An event loop whose connections to other machines are made by the relay."""

    async def create_connection(  # type: ignore[override]  # both forms of it in one
        self, factory: Any, host: Any = None, port: Any = None, **given: Any
    ) -> Any:
        if host is None or host == os.environ[HOST_VARIABLE]:
            return await super().create_connection(factory, host, port, **given)
        relay_host, _, relay_port = os.environ[RELAY_VARIABLE].rpartition(":")
        sock = socket.socket()
        sock.setblocking(False)
        try:
            await self.sock_connect(sock, (relay_host, int(relay_port)))
            preamble = f"{os.environ[HOST_VARIABLE]} {host} {port}\n"
            await self.sock_sendall(sock, preamble.encode())
            if await self.sock_recv(sock, 1) != ACCEPTED:
                raise ConnectionRefusedError
            if random.random() < STALL_PART:
                self.call_soon(time.sleep, STALL_S)
            return await super().create_connection(factory, sock=sock)
        except BaseException:
            sock.close()
            raise


def planted(name: str) -> AbstractContextManager[Any]:
    from bench.soak.planted_faults import PLANTS  # what they need is no part of a program in service

    context: AbstractContextManager[Any] = PLANTS[name]()
    return context


async def serve(role: str, plant: str) -> None:
    """plant: a fault of bench.soak.planted_faults that is put in, to see that the soak finds it."""
    settings = load_settings().unwrap()
    with planted(plant) if plant else nullcontext():
        program = DataPlaneNode(settings) if role == "station" else ControlPlaneNode(settings)
        await program.run()


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m bench.soak.process")
    parser.add_argument("role", choices=["station", "signalbox"])
    parser.add_argument("--plant", default="")
    given = parser.parse_args()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    with asyncio.Runner(loop_factory=RelayedLoop) as runner:
        runner.run(serve(given.role, given.plant))
    return 0


if __name__ == "__main__":
    sys.exit(main())

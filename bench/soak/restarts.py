"""Restarts of processes with what goes on around them: signals, the former process, and ports in use.

SIGHUPs come at any moment of a start and of an end. A new process may be started before the former one has
ended, and a port of a process may be the local port of another program's connection as it starts. A SIGTERM
may come during a start, and a disk may report errors for a while.
"""

from __future__ import annotations

import asyncio
import signal
import socket
from random import Random

from bench.soak.machine import Machine
from bench.soak.world import World

MAX_SIGHUP_INTERVAL_S = 0.05
SIGHUP_SERIES_S = 1.0  # from the start of a process on
OVERLAP_FRACTION = 0.3  # of the planned restarts, in which the new process starts beside the former one
MAX_OVERLAP_DELAY_S = 0.3  # from the SIGTERM of the former process
HELD_PORT_FRACTION = 0.2  # of the starts
HELD_PORT_S = 1.0
EARLY_SIGTERM_FRACTION = 0.3  # of the starts, which are ended by a SIGTERM and repeated
MAX_EARLY_SIGTERM_DELAY_S = 0.6
DISK_ERROR_FRACTION = 0.3  # of the starts of control machines
MAX_DISK_ERROR_S = 3.0
LINGER_RESET = b"\1\0\0\0\0\0\0\0"  # struct linger: a close resets the connection, which frees its port


class Restarts:
    """Starts and ends the processes of a world.  termination_timeout_s: the longest time to end."""

    def __init__(self, world: World, rng: Random, termination_timeout_s: float) -> None:
        self._world, self._rng, self._termination_timeout_s = world, rng, termination_timeout_s
        self.overlapping = 0  # starts beside the former process
        self.held_ports = 0  # starts at whose control port another program had a connection
        self.early_sigterms = 0
        self.disk_errors = 0

    async def restart(self, machine: Machine) -> None:
        """SIGTERM and a new process, after the former one or beside it."""
        self._world.reload_settings(machine)
        process = machine.process
        assert process is not None
        ending = asyncio.ensure_future(self._world.terminate(machine, self._termination_timeout_s))
        await asyncio.sleep(0)  # for the SIGTERM
        sighups = asyncio.ensure_future(self._send_sighups(process))
        if self._rng.random() < OVERLAP_FRACTION:
            self.overlapping += 1
            await asyncio.sleep(self._rng.uniform(0.0, MAX_OVERLAP_DELAY_S))
            await self._start_with_sighups(machine)
            await ending
        else:
            await ending
            await self.start(machine)
        await sighups

    async def start(self, machine: Machine) -> None:
        """Start a process whose former one has ended or is ending."""
        if self._rng.random() < HELD_PORT_FRACTION:
            await self._hold_control_port(machine)
        if self._rng.random() < EARLY_SIGTERM_FRACTION:
            await self._end_while_starting(machine)
        if not machine.service and self._rng.random() < DISK_ERROR_FRACTION:
            await self._start_with_disk_errors(machine)
        else:
            await self._start_with_sighups(machine)

    async def _end_while_starting(self, machine: Machine) -> None:
        """Start a process and end it by a SIGTERM before it may be ready."""
        self.early_sigterms += 1
        assert machine.process is not None
        await machine.process.wait()
        await self._world.start_process(machine)
        await asyncio.sleep(self._rng.uniform(0.0, MAX_EARLY_SIGTERM_DELAY_S))
        await self._world.terminate(machine, self._termination_timeout_s)

    async def _start_with_disk_errors(self, machine: Machine) -> None:
        """Start a process whose disk works only after a while."""
        self.disk_errors += 1
        assert machine.process is not None
        await machine.process.wait()
        self._world.break_disk(machine)
        starting = asyncio.ensure_future(self._start_with_sighups(machine))
        await asyncio.sleep(self._rng.uniform(0.0, MAX_DISK_ERROR_S))
        self._world.mend_disk(machine)
        await starting

    async def _start_with_sighups(self, machine: Machine) -> None:
        await self._world.start_process(machine)
        assert machine.process is not None
        await self._send_sighups(machine.process, SIGHUP_SERIES_S)

    async def _send_sighups(self, process: asyncio.subprocess.Process, duration_s: float = 60.0) -> None:
        """Send SIGHUPs until a time is over or the process has ended."""
        loop = asyncio.get_running_loop()
        end = loop.time() + duration_s
        while loop.time() < end and process.returncode is None:
            self._world.send(process, signal.SIGHUP)
            await asyncio.sleep(self._rng.uniform(0.0, MAX_SIGHUP_INTERVAL_S))

    async def _hold_control_port(self, machine: Machine) -> None:
        """Let the machine's control port be the local port of a connection for a while."""
        assert machine.process is not None
        await machine.process.wait()
        loop = asyncio.get_running_loop()
        listener = socket.create_server((machine.host, 0))
        holder = socket.socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            holder.bind((machine.host, self._world.base_port))
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            holder.connect(listener.getsockname())
        except OSError:  # a connection of the former process is not quite gone
            holder.close()
            listener.close()
            return
        self.held_ports += 1
        loop.call_later(HELD_PORT_S, listener.close)
        loop.call_later(HELD_PORT_S, holder.close)

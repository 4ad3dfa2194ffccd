"""Both programs of the mesh as real processes, for tests of their start and their end."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from leadrudder.mesh.demo import free_port

PROGRAMS = ("leadrudder.data_plane", "leadrudder.control_plane")
HOST = "127.0.11.1"  # outgoing connections have another local address, so that their ports do not matter
START_TIMEOUT_S = 20.0
SETTINGS = """nodeName = "n"
zone = "z"
ip = "{host}"
sparePorts = [{links}, {last}]
seedNodes = ["{host}:{control}"]
firstRun = true
dataFolder = "{folder}"
beatEvery = "500ms"
ruleBounds = ["grace=3s"]
[addresses]
controlPort = "{host}:{control}"
"""


@dataclass
class Program:
    """One program with settings of its own.  folder: for its settings, disk and log."""

    module: str
    folder: Path
    port: int = field(default_factory=free_port)
    processes: list[subprocess.Popen[bytes]] = field(default_factory=list)

    @property
    def control_address(self) -> tuple[str, int]:
        return HOST, self.port

    @property
    def disk(self) -> Path:
        return self.folder / "disk"

    def log(self) -> str:
        return (self.folder / "log").read_text()

    def start(self, launcher: Sequence[str] = ()) -> subprocess.Popen[bytes]:
        """launcher: a command that runs the one that follows it."""
        settings = self.folder / "settings.toml"
        has_disk = self.module == "leadrudder.control_plane"
        settings.write_text(
            SETTINGS.format(
                host=HOST,
                links=self.port + 1,
                last=self.port + 4,
                control=self.port,
                folder=self.disk if has_disk else "",
            )
        )
        environment = {**os.environ, "LEADRUDDER_NODE_FILE": str(settings)}
        with open(self.folder / "log", "ab") as log:
            process = subprocess.Popen(
                [*launcher, sys.executable, "-m", self.module], env=environment, stderr=log
            )
        self.processes.append(process)
        return process

    def wait_for_line(self, text: str, count: int = 1) -> None:
        """Wait until the log has a text so many times; TimeoutError with the log otherwise."""
        give_up_at = time.monotonic() + START_TIMEOUT_S
        while not (self.folder / "log").exists() or self.log().count(text) < count:
            if time.monotonic() > give_up_at:
                raise TimeoutError(f"no line {text!r} in: {self.log()}")
            time.sleep(0.01)

    def stop(self) -> None:
        """End what is left of the processes."""
        for process in self.processes:
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGKILL)
            process.wait()

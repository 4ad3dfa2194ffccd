"""python -m leadrudder.data_plane: the data plane's program, told by its settings file."""

from __future__ import annotations

import argparse
import signal
import sys

# Until it is handled, a SIGHUP would end the process: what is imported below takes most of its start.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from leadrudder.bootstrap.settings import Settings  # noqa: E402
from leadrudder.bootstrap.start import run_program  # noqa: E402
from leadrudder.data_plane.program import Station  # noqa: E402


async def _serve(settings: Settings, told: argparse.Namespace) -> None:
    await Station(settings, possession=told.possession).run()


if __name__ == "__main__":
    sys.exit(run_program("leadrudder.data_plane", "data plane", _serve))

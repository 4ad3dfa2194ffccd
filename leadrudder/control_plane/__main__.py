"""python -m leadrudder.control_plane: runs a control-plane node, configured by its settings file."""

from __future__ import annotations

from leadrudder.bootstrap.early_signals import handle_early_signals

handle_early_signals()  # before the imports below, which take most of the start

import argparse  # noqa: E402
import sys  # noqa: E402

from leadrudder.bootstrap.settings import Settings  # noqa: E402
from leadrudder.bootstrap.start import run_program  # noqa: E402
from leadrudder.control_plane.program import ControlPlaneNode  # noqa: E402
from leadrudder.storage.store import DiskError  # noqa: E402


async def _serve(settings: Settings, arguments: argparse.Namespace) -> None:
    await ControlPlaneNode(settings, maintenance_windows=arguments.possession).run()


if __name__ == "__main__":
    sys.exit(run_program("leadrudder.control_plane", "control plane", _serve, (OSError, DiskError)))

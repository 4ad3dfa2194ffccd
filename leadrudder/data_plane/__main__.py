"""python -m leadrudder.data_plane: runs a data-plane node with the settings from its settings file."""

from __future__ import annotations

from leadrudder.bootstrap.early_signals import handle_early_signals

handle_early_signals()  # before the imports below, which take most of the start

import argparse  # noqa: E402
import sys  # noqa: E402

from leadrudder.bootstrap.settings import Settings  # noqa: E402
from leadrudder.bootstrap.start import run_program  # noqa: E402
from leadrudder.data_plane.program import DataPlaneNode  # noqa: E402


async def _serve(settings: Settings, arguments: argparse.Namespace) -> None:
    await DataPlaneNode(settings, maintenance_windows=arguments.possession).run()


if __name__ == "__main__":
    sys.exit(run_program("leadrudder.data_plane", "data plane", _serve))

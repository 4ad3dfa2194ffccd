"""Startup shared by both programs: command line, logging, settings and event loop."""

from __future__ import annotations

import argparse
import sys
import traceback
from collections.abc import Callable, Coroutine
from typing import Any

from absl import flags, logging
from returns.result import Failure

from leadrudder.bootstrap import event_loop
from leadrudder.bootstrap.settings import FILE_VARIABLE, Settings, load_settings
from leadrudder.bootstrap.standard_streams import open_standard_streams


def run_program(
    program: str,
    about: str,
    serve: Callable[[Settings, argparse.Namespace], Coroutine[Any, Any, None]],
    unusable: tuple[type[Exception], ...] = (OSError,),
    arguments: list[str] | None = None,
) -> int:
    """Run a program; the exit code is 0 after SIGTERM, and 2 for unusable settings, addresses or disks.

    It is 1 after any other exception.  The last line on standard error names the reason of an exit code other
    than 0.  unusable: the exceptions by which serve reports unusable addresses or disks.
    """
    open_standard_streams()
    description = f"leadrudder's {about}. {FILE_VARIABLE} holds the path of its settings file."
    parser = argparse.ArgumentParser(prog=f"python -m {program}", description=description)
    parser.add_argument(
        "--possession", action="store_true", help="enable maintenance windows; the same in all processes"
    )
    options = parser.parse_args(arguments)
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    settings = load_settings()
    if isinstance(settings, Failure):
        print(f"leadrudder: {settings.failure()}", file=sys.stderr)
        return 2
    try:
        event_loop.run(serve(settings.unwrap(), options))
    except unusable as error:
        print(f"leadrudder: {error}", file=sys.stderr)
        return 2
    except Exception as error:
        traceback.print_exc()
        print(f"leadrudder: ended by an unexpected error: {error!r}", file=sys.stderr)
        return 1
    return 0

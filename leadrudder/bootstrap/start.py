"""What both programs do at their start: command line, logs, settings, loop, and one line for what cannot be
used.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop
from absl import flags, logging
from returns.result import Failure

from leadrudder.bootstrap.settings import FILE_VARIABLE, Settings, load_settings


def run_program(
    program: str,
    about: str,
    serve: Callable[[Settings, argparse.Namespace], Coroutine[Any, Any, None]],
    unusable: tuple[type[Exception], ...] = (OSError,),
    arguments: list[str] | None = None,
) -> int:
    """Exit code 0 after SIGTERM, 2 with one line on standard error for settings, addresses or a disk.

    unusable: errors of serve that mean the latter.
    """
    description = f"leadrudder's {about}. {FILE_VARIABLE} holds the path of its settings file."
    parser = argparse.ArgumentParser(prog=f"python -m {program}", description=description)
    parser.add_argument(
        "--possession", action="store_true", help="maintenance windows are on: in all processes"
    )
    told = parser.parse_args(arguments)
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    settings = load_settings()
    if isinstance(settings, Failure):
        print(f"leadrudder: {settings.failure()}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(settings.unwrap(), told))
    except unusable as error:
        print(f"leadrudder: {error}", file=sys.stderr)
        return 2
    return 0

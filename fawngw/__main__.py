"""python -m fawngw: one real node; its environment says where it listens and whom it serves."""

from __future__ import annotations

import gc
import logging
import os
import signal
import sys

import uvloop

from fawngw.node.config import Config, ConfigError, load
from fawngw.node.node import Node


async def _serve(config: Config) -> None:
    node = Node(config)
    # What exists now lives as long as the node: leave it out of every later collection.
    gc.freeze()
    await node.start()
    await node.wait()


def main() -> int:
    """Exit code 0 after SIGTERM, 2 with one plain line on standard error for a bad configuration."""
    # Until the node listens there is nothing to be done again; the default would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    try:
        config = load(os.environ)
        uvloop.run(_serve(config))
    except ConfigError as error:
        print(f"fawngw: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"fawngw: NODE_LISTEN cannot be used: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())

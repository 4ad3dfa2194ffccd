"""python -m leadrudder: one real node; its environment says where it listens and whom it serves."""

from __future__ import annotations

import gc
import logging
import os
import signal
import sys
import time

import uvloop

from leadrudder.node.config import Config, ConfigError, load_config
from leadrudder.node.node import Node


async def _serve(config: Config, rpc: str) -> None:
    """rpc: the path of the operator's file for MessagePack-RPC; empty: off, and nothing of it is imported."""
    if rpc:
        from leadrudder.rpc import attach
        from leadrudder.rpc.config import RpcConfigError, read

        try:
            node = await attach.start(config, read(rpc, config.settings))
        except RpcConfigError as error:
            raise ConfigError(f"NODE_RPC: {error}") from None
    else:
        node = Node(config)
        # What exists now lives as long as the node: leave it out of every later collection.
        gc.freeze()
        await node.start()
    await node.wait()


class _RateLimit(logging.Filter):
    """Lets through so many lines a second, and says once how many it left out.

    Guards against a node that is busy, or blocked, with writing what bad peers make it say.
    """

    def __init__(self, a_second: float = 20.0, at_once: float = 100.0) -> None:
        super().__init__()
        self._a_second, self._at_once = a_second, at_once
        self._tokens, self._at, self._left_out = at_once, time.monotonic(), 0

    def filter(self, record: logging.LogRecord) -> bool:
        now = time.monotonic()
        self._tokens = min(self._at_once, self._tokens + self._a_second * (now - self._at))
        self._at = now
        if self._tokens < 1.0:
            self._left_out += 1
            return False
        self._tokens -= 1.0
        if self._left_out:
            record.msg = f"({self._left_out} lines left out) {record.msg}"
            self._left_out = 0
        return True


def main() -> int:
    """Exit code 0 after SIGTERM, 2 with one plain line on standard error for a bad configuration."""
    # Until the node listens there is nothing to be done again; the default would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    logging.getLogger().handlers[0].addFilter(_RateLimit())
    try:
        config = load_config(os.environ)
        uvloop.run(_serve(config, os.environ.get("NODE_RPC", "")))
    except ConfigError as error:
        print(f"leadrudder: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"leadrudder: NODE_LISTEN cannot be used: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())

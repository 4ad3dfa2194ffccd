"""python -m leadrudder: runs one proxy node, configured through its environment."""

from __future__ import annotations

from leadrudder.bootstrap.early_signals import handle_early_signals

handle_early_signals()  # before the imports below, which take most of the start

import gc  # noqa: E402
import logging  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

from leadrudder.bootstrap import event_loop  # noqa: E402
from leadrudder.bootstrap.standard_streams import open_standard_streams  # noqa: E402
from leadrudder.node.config import Config, ConfigError, load_config  # noqa: E402
from leadrudder.node.node import Node  # noqa: E402


async def _serve(config: Config, rpc_path: str) -> None:
    """rpc_path: the MessagePack-RPC configuration file; if empty, RPC is off and its code is not imported."""
    if rpc_path:
        from leadrudder.rpc import attach
        from leadrudder.rpc.config import RpcConfigError, read_rpc_config

        try:
            node = await attach.start_node(config, read_rpc_config(rpc_path, config.settings))
        except RpcConfigError as error:
            raise ConfigError(f"NODE_RPC: {error}") from None
    else:
        node = Node(config)
        # Objects that exist now live as long as the node, so exclude them from garbage collection.
        gc.freeze()
        await node.start()
    await node.wait()


class _LogRateLimit(logging.Filter):
    """Limits the rate of log lines, and reports with the next line how many were left out.

    Keeps misbehaving peers from making a node busy or blocked with logging.
    """

    def __init__(self, lines_per_s: float = 20.0, burst: float = 100.0) -> None:
        super().__init__()
        self._lines_per_s, self._burst = lines_per_s, burst
        self._tokens, self._refilled_at_s, self._suppressed = burst, time.monotonic(), 0

    def filter(self, record: logging.LogRecord) -> bool:
        now = time.monotonic()
        self._tokens = min(self._burst, self._tokens + self._lines_per_s * (now - self._refilled_at_s))
        self._refilled_at_s = now
        if self._tokens < 1.0:
            self._suppressed += 1
            return False
        self._tokens -= 1.0
        if self._suppressed:
            record.msg = f"({self._suppressed} lines left out) {record.msg}"
            self._suppressed = 0
        return True


def main() -> int:
    """Exit code 0 after SIGTERM; 2, with one line on standard error, for a bad configuration."""
    open_standard_streams()
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    logging.getLogger().handlers[0].addFilter(_LogRateLimit())
    try:
        config = load_config(os.environ)
        event_loop.run(_serve(config, os.environ.get("NODE_RPC", "")))
    except ConfigError as error:
        print(f"leadrudder: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"leadrudder: NODE_LISTEN cannot be used: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Puts MessagePack-RPC on a node: its front, and its servers' side where they speak it.  The only way in."""

from __future__ import annotations

import itertools
import logging
import secrets
from collections.abc import Callable

from leadrudder.node.config import Config
from leadrudder.node.contract import AttemptCallback, ClientRequest, HttpRequest
from leadrudder.node.node import Node, create_http_upstream
from leadrudder.node.servers import HttpUpstream
from leadrudder.node.servers import UpstreamCall as HttpAttempt
from leadrudder.rpc.config import RpcConfig, RpcConfigError
from leadrudder.rpc.front import RpcFront
from leadrudder.rpc.mapping import Calls
from leadrudder.rpc.upstream import RpcServers

log = logging.getLogger(__name__)


def fresh_ids(config: Config) -> Callable[[], bytes]:
    """Ids for calls that bring none: no other node, and no other start of this one, gives the same."""
    start, numbers = secrets.token_hex(6).encode(), itertools.count(1)
    return lambda: b"%s-%x-%x" % (start, config.seed, next(numbers))


class HttpForCalls(HttpUpstream):
    """HTTP servers for a node whose callers may speak MessagePack-RPC."""

    calls: Calls

    def attempt(
        self, server: bytes, ask: ClientRequest, timeout_s: float, done: AttemptCallback
    ) -> HttpAttempt:
        call: HttpRequest = self.calls.as_http(ask)
        as_http = ClientRequest(
            ask.id,
            ask.class_index,
            ask.tenant,
            ask.key,
            ask.budget_ms,
            ask.cost_hint_ms,
            ask.is_repeat,
            call,
        )
        return super().attempt(server, as_http, timeout_s, done)


async def start(config: Config, rpc: RpcConfig) -> Node:
    """A node that has been started, with its callers' side; the caller waits for it as for any other."""
    calls = Calls(config.settings, rpc.methods, rpc.meta, rpc.defaults, fresh_ids(config), rpc.bounds.limits)
    if rpc.terms is not None:
        node = Node(config, upstream=RpcServers(rpc.terms, calls.as_rpc, calls.body))
    else:
        servers = create_http_upstream(config, upstream_type=HttpForCalls)
        assert isinstance(servers, HttpForCalls)
        servers.calls = calls
        node = Node(config, upstream=servers)
    front = RpcFront(calls, node.submit, rpc.bounds)
    node.add_frontend(front)
    await node.start()
    for address in rpc.listen:
        try:
            bound = await front.listen(address)
        except OSError as error:
            raise RpcConfigError(f"front.listen: {_shown(address)} cannot be used: {error}") from None
        log.info("rpc listens on %s", _shown(bound))
    return node


def _shown(address: tuple[str, int] | str) -> str:
    return address if isinstance(address, str) else f"{address[0]}:{address[1]}"

"""Starts a node with MessagePack-RPC: the entry point of this package for the node process."""

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
from leadrudder.rpc.mapping import CallMapper
from leadrudder.rpc.upstream import RpcUpstream

log = logging.getLogger(__name__)


def request_id_generator(config: Config) -> Callable[[], bytes]:
    """Request ids for calls without one, unique across nodes and across restarts of this node."""
    start_token, counter = secrets.token_hex(6).encode(), itertools.count(1)
    return lambda: b"%s-%x-%x" % (start_token, config.seed, next(counter))


class HttpUpstreamForRpc(HttpUpstream):
    """HTTP connections to servers, for a node with MessagePack-RPC callers."""

    call_mapper: CallMapper

    def attempt(
        self, server: bytes, client_request: ClientRequest, timeout_s: float, done: AttemptCallback
    ) -> HttpAttempt:
        call: HttpRequest = self.call_mapper.to_http(client_request)
        http_ask = ClientRequest(
            client_request.id,
            client_request.class_index,
            client_request.tenant,
            client_request.key,
            client_request.budget_ms,
            client_request.cost_hint_ms,
            client_request.is_repeat,
            call,
        )
        return super().attempt(server, http_ask, timeout_s, done)


async def start_node(config: Config, rpc: RpcConfig) -> Node:
    """Start a node with its MessagePack-RPC listeners; the caller waits for it as for any other node."""
    call_mapper = CallMapper(
        config.settings,
        rpc.methods,
        rpc.metadata,
        rpc.defaults,
        request_id_generator(config),
        rpc.front_limits.message,
    )
    if rpc.upstream is not None:
        node = Node(config, upstream=RpcUpstream(rpc.upstream, call_mapper.to_rpc, call_mapper.http_body))
    else:
        servers = create_http_upstream(config, upstream_type=HttpUpstreamForRpc)
        assert isinstance(servers, HttpUpstreamForRpc)
        servers.call_mapper = call_mapper
        node = Node(config, upstream=servers)
    front = RpcFront(call_mapper, node.submit, rpc.front_limits)
    node.add_frontend(front)
    await node.start()
    for address in rpc.listen:
        try:
            bound = await front.listen(address)
        except OSError as error:
            raise RpcConfigError(
                f"front.listen: {_format_address(address)} cannot be used: {error}"
            ) from None
        log.info("rpc listens on %s", _format_address(bound))
    return node


def _format_address(address: tuple[str, int] | str) -> str:
    return address if isinstance(address, str) else f"{address[0]}:{address[1]}"

"""The `rpc` command of the tool: checks the operator's file for MessagePack-RPC."""

from __future__ import annotations

import json

import click

from leadrudder.interface import Effect, ImpossibleSettings, Settings
from leadrudder.node.config import flatten
from leadrudder.rpc.config import ListenAddress, RpcConfig, RpcConfigError, read_rpc_config
from leadrudder.settings import SettingsError, read_settings


@click.command("rpc")
@click.argument("file")
@click.option("--config", "node", required=True, help="The node's configuration (NODE_CONFIG), as JSON.")
def rpc(file: str, node: str) -> int:
    """Check FILE, an operator's file for MessagePack-RPC, against a node's settings, and summarise it.

    Exit code 0: the file is valid. 2: it is invalid, or one of the files cannot be read.
    """
    settings = _read_node_settings(node)
    try:
        config = read_rpc_config(file, settings)
    except RpcConfigError as error:
        raise click.ClickException(str(error)) from None
    print("\n".join(_summary(config, settings)))
    return 0


def _read_node_settings(path: str) -> Settings:
    try:
        with open(path, encoding="utf-8") as opened:
            return read_settings(dict(flatten(json.load(opened)["settings"])))
    except (OSError, ValueError, KeyError, TypeError, SettingsError, ImpossibleSettings) as error:
        raise click.ClickException(f"{path}: not a valid node configuration: {error}") from None


def _summary(config: RpcConfig, settings: Settings) -> list[str]:
    """The lines of the summary, one per fact that an operator should check before using the file."""
    lines = [f"listens on {_format_address(address)}" for address in config.listen]
    for method in config.methods:
        request_class = settings.classes[method.class_index]
        repeat_rule = {
            Effect.SAFE: "may be repeated",
            Effect.KEYED: "repeated only with its key, which each call must carry",
            Effect.UNSAFE: "never repeated once it may have run",
        }[request_class.effect]
        lines.append(f"{method.name}: class {request_class.name}, {repeat_rule}")
    upstream = config.upstream
    if upstream is None:
        lines.append("servers speak HTTP")
    else:
        max_calls = upstream.connections * upstream.window
        lines.append(f"servers speak MessagePack-RPC, {max_calls} calls out to each at the most")
    if config.defaults.deadline_s is None:
        lines.append("a call without a deadline is rejected")
    if settings.tenants and config.defaults.tenant is None:
        lines.append("a call without a tenant is rejected")
    return lines


def _format_address(address: ListenAddress) -> str:
    return address if isinstance(address, str) else f"{address[0]}:{address[1]}"

"""The tool's command on the operator's file for MessagePack-RPC."""

from __future__ import annotations

import json

import click

from leadrudder.interface import Effect, ImpossibleSettings, Settings
from leadrudder.node.config import flatten
from leadrudder.rpc.config import Listen, RpcConfig, RpcConfigError, read
from leadrudder.settings import SettingsError, read_settings


@click.command("rpc")
@click.argument("file")
@click.option("--config", "node", required=True, help="The node's configuration (NODE_CONFIG), as JSON.")
def rpc(file: str, node: str) -> int:
    """Check FILE, an operator's file for MessagePack-RPC, against a node's settings, and tell what it means.

    Exit code 0: it can be used. 2: it cannot, or one of the files cannot be read.
    """
    settings = _settings(node)
    try:
        config = read(file, settings)
    except RpcConfigError as error:
        raise click.ClickException(str(error)) from None
    print("\n".join(_told(config, settings)))
    return 0


def _settings(path: str) -> Settings:
    try:
        with open(path, encoding="utf-8") as opened:
            return read_settings(dict(flatten(json.load(opened)["settings"])))
    except (OSError, ValueError, KeyError, TypeError, SettingsError, ImpossibleSettings) as error:
        raise click.ClickException(f"{path}: no settings of a node: {error}") from None


def _told(config: RpcConfig, settings: Settings) -> list[str]:
    """One line for each thing that an operator would want to see before it is live."""
    lines = [f"listens on {_address(address)}" for address in config.listen]
    for method in config.methods:
        kind = settings.classes[method.class_index]
        again = {
            Effect.SAFE: "may be repeated",
            Effect.KEYED: "repeated with its key only, which each call must tell",
            Effect.UNSAFE: "never repeated once it may have run",
        }[kind.effect]
        lines.append(f"{method.name}: class {kind.name}, {again}")
    terms = config.terms
    if terms is None:
        lines.append("servers speak HTTP")
    else:
        at_most = terms.connections * terms.window
        lines.append(f"servers speak MessagePack-RPC, {at_most} calls out to each at the most")
    if config.defaults.deadline_s is None:
        lines.append("a call that tells no deadline is turned down")
    if settings.tenants and config.defaults.tenant is None:
        lines.append("a call that tells no tenant is turned down")
    return lines


def _address(address: Listen) -> str:
    return address if isinstance(address, str) else f"{address[0]}:{address[1]}"

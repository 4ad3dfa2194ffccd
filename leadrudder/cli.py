"""The command line interface: `leadrudder`, also as `python -m leadrudder.cli`.

Each subsystem adds its commands here. A running node imports none of this.
"""

from __future__ import annotations

import sys

import click

from leadrudder.demo.command import demo
from leadrudder.rpc.command import rpc
from leadrudder.simulation.command import simulate
from leadrudder.tool.commands import check, completion, diff, explain, init, render, schema, sidecar

USAGE_ERROR_EXIT_CODE = 2  # for a usage error, an aborted prompt or an operation that cannot be done


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="leadrudder", message="%(version)s")
def cli() -> None:
    """leadrudder: a service mesh node that balances calls between services, and its tools."""


@cli.command(
    "experiment",
    add_help_option=False,
    context_settings={"ignore_unknown_options": True, "allow_interspersed_args": False},
)
@click.argument("arguments", nargs=-1, type=click.UNPROCESSED)
def experiment(arguments: tuple[str, ...]) -> int:
    """Try a fleet, a load or a policy in virtual time before it is rolled out."""
    try:
        from leadrudder.experiment.command import experiment as experiment_cli  # optional dependencies
    except ModuleNotFoundError as error:
        raise click.ClickException(
            f"{error.name} is not installed: pip install -r requirements-experiment.txt"
        ) from None
    code = experiment_cli.main(
        args=list(arguments) or ["--help"], prog_name="leadrudder experiment", standalone_mode=False
    )
    return int(code or 0)


for command in (demo, init, check, render, explain, diff, schema, sidecar, rpc, simulate, completion):
    cli.add_command(command)


def main(arguments: list[str] | None = None) -> int:
    """Exit code 0 on success, 1 for problems found, 2 with a one-line message for what cannot be done."""
    try:
        code = cli.main(args=arguments, prog_name="leadrudder", standalone_mode=False)
    except click.exceptions.NoArgsIsHelpError as error:
        print(error.format_message())
        return USAGE_ERROR_EXIT_CODE
    except click.ClickException as error:
        print(f"leadrudder: {error.format_message()}", file=sys.stderr)
        return USAGE_ERROR_EXIT_CODE
    except click.Abort:
        print("leadrudder: stopped", file=sys.stderr)
        return USAGE_ERROR_EXIT_CODE
    return int(code or 0)


if __name__ == "__main__":
    sys.exit(main())

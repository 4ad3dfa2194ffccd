"""The commands on operators' files: init, check, render, explain, diff, schema, sidecar, completion."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Mapping
from pathlib import Path

import click
from click.shell_completion import get_completion_class

from leadrudder.tool.check import CheckResult, check_files, check_sources
from leadrudder.tool.explain import InvalidRequestError, diff_files, explain_request
from leadrudder.tool.model import File
from leadrudder.tool.problems import format_problems
from leadrudder.tool.render import render_nodes
from leadrudder.tool.sidecar.capacity import capacity_shortfall
from leadrudder.tool.sidecar.supervisor import Supervisor, Timeouts
from leadrudder.tool.source import UnreadableFileError, parse_source, read_source
from leadrudder.tool.template import new_file_text, write_new_file


def _print_problems(result: CheckResult, form: str = "text") -> None:
    if result.problems:
        print(format_problems(result.problems, form), file=sys.stderr)


@click.command()
@click.argument("files", nargs=-1, required=True)
@click.option("--format", "form", type=click.Choice(["text", "json", "github"]), default="text")
def check(files: tuple[str, ...], form: str) -> int:
    """Check operators' FILES together, and report all problems at once.

    Exit code 0: no problems. 1: problems. 2: a file cannot be read. No file is ever modified.
    """
    result = check_files(files)
    if result.problems or form == "json":
        print(format_problems(result.problems, form))
    if form == "text" and not result.problems:
        print(f"{len(files)} {'file' if len(files) == 1 else 'files'}: no problems")
    return result.exit_code


@click.command()
@click.argument("file")
def render(file: str) -> int:
    """Print the environment and NODE_CONFIG of each node of FILE's sidecar as JSON."""
    result = check_files([file])
    if result.exit_code:
        _print_problems(result)
        return result.exit_code
    nodes = [
        {"name": node.name, "environment": node.environment, "config": node.config}
        for node in render_nodes(result.files[0])
    ]
    print(json.dumps(nodes, indent=2))
    return 0


@click.command()
def schema() -> int:
    """Print the JSON Schema of the operator's file."""
    print(json.dumps(File.model_json_schema(), indent=2))
    return 0


PROMPTS = {
    "application": "The application's name: lower-case letters, digits and dashes.",
    "tier": "The name of the tier of its servers.",
    "listen": "The address at which the application calls its node, host:port.",
    "discovery": "The address of the discovery service that lists its servers, host:port.",
}
PROMPT_DEFAULTS = {"tier": "palvelu", "listen": "127.0.0.1:8100", "discovery": "127.0.0.1:8500"}


def _prompt_values(flag_values: Mapping[str, str | None]) -> dict[str, str]:
    """The values of the flags; the rest is prompted for, or has its default if --application is given."""
    interactive = flag_values["application"] is None
    values: dict[str, str] = {}
    for name, prompt in PROMPTS.items():
        value = flag_values[name]
        if value is None:
            default = PROMPT_DEFAULTS.get(name)
            value = click.prompt(prompt, default=default, err=True) if interactive else default
        values[name] = str(value)
    return values


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--application", help=PROMPTS["application"])
@click.option("--tier", help=f"{PROMPTS['tier']}  [default: {PROMPT_DEFAULTS['tier']}]")
@click.option("--listen", help=f"{PROMPTS['listen']}  [default: {PROMPT_DEFAULTS['listen']}]")
@click.option("--discovery", help=f"{PROMPTS['discovery']}  [default: {PROMPT_DEFAULTS['discovery']}]")
@click.option("--force", is_flag=True, help="Replace an existing file.")
def init(file: Path, force: bool, **flag_values: str | None) -> int:
    """Write a commented FILE for an application; nothing is written unless it passes check.

    Without --application it prompts for every value that no flag gives.
    """
    text = new_file_text(str(file), **_prompt_values(flag_values))
    result = CheckResult()
    try:
        check_sources([parse_source(str(file), text)], result)
    except UnreadableFileError as error:
        raise click.ClickException(f"{file}: {error}") from None
    if result.problems:
        _print_problems(result)
        return 1
    try:
        write_new_file(file, text, force=force)
    except FileExistsError:
        raise click.ClickException(f"{file} exists; --force replaces it") from None
    except OSError as error:
        raise click.ClickException(f"{file} cannot be written: {error.strerror}") from None
    print(f"wrote {file}; check it with: leadrudder check {file}")
    return 0


@click.command(context_settings={"ignore_unknown_options": True})
@click.argument("file")
@click.argument("command", nargs=-1, required=True, type=click.UNPROCESSED)
@click.option(
    "--ready-s",
    type=click.FloatRange(0.1, 3600),
    default=30.0,
    show_default=True,
    help="Time for the nodes to become ready.",
)
@click.option(
    "--stop-s",
    type=click.FloatRange(0.1, 3600),
    default=5.0,
    show_default=True,
    help="Time between SIGTERM and SIGKILL.",
)
def sidecar(file: str, command: tuple[str, ...], ready_s: float, stop_s: float) -> int:
    """Check FILE, start its nodes, and start COMMAND once they are ready.

    Exits with COMMAND's exit code, or 128 plus the number of the signal that killed it. 1 and 2: as for
    check. 3: a node was not ready in time. 127: COMMAND cannot be started. SIGTERM and SIGINT stop the
    nodes and COMMAND; SIGHUP is forwarded to all of them. A node that dies is restarted. No process is
    left behind, even if the sidecar itself is killed.
    """
    result = check_files([file])
    if result.exit_code:
        _print_problems(result)
        return result.exit_code

    shortfall = capacity_shortfall(result.files[0])
    if shortfall:
        print(f"leadrudder: {shortfall}", file=sys.stderr)
        return 1

    async def main() -> int:
        return await Supervisor(result.files[0], command, Timeouts(ready_s, stop_s)).run()

    return asyncio.run(main())


@click.command()
@click.argument("file")
@click.option("--request", required=True, help="A method and a path, such as 'POST /varaus/17'.")
def explain(file: str, request: str) -> int:
    """Explain which route and class of FILE match a request and what may be repeated, with line numbers."""
    result = check_files([file])
    if result.exit_code:
        _print_problems(result)
        return result.exit_code
    try:
        for line in explain_request(result.files[0], read_source(file), request):
            print(line)
    except (InvalidRequestError, UnreadableFileError) as error:
        raise click.ClickException(str(error)) from None
    return 0


@click.command()
@click.argument("old")
@click.argument("new")
def diff(old: str, new: str) -> int:
    """Print the differences from OLD to NEW, what each means in service, and what puts it into effect.

    Exit code 0: the files were compared, whether or not they differ. 1 and 2: as for check.
    """
    files = []
    for name in (old, new):
        result = check_files([name])
        if result.exit_code:
            _print_problems(result)
            return result.exit_code
        files += result.files
    changes = diff_files(*files)
    for change in changes:
        print(change)
    print(f"{len(changes)} differences" if changes else "no difference")
    return 0


@click.command()
@click.argument("shell", type=click.Choice(["bash", "fish", "zsh"]))
@click.pass_context
def completion(context: click.Context, shell: str) -> int:
    """Print the script that makes SHELL complete leadrudder's commands, options and files.

    To install it for bash: leadrudder completion bash >> ~/.bashrc
    """
    root = context.find_root()
    name = root.info_name or "leadrudder"
    completion_class = get_completion_class(shell)
    assert completion_class is not None  # click supports each of the choices
    print(completion_class(root.command, {}, name, f"_{name.upper()}_COMPLETE").source())
    return 0

"""The tool's commands on operators' files: init, check, render, schema."""

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


def _complain(done: CheckResult, form: str = "text") -> None:
    if done.problems:
        print(format_problems(done.problems, form), file=sys.stderr)


@click.command()
@click.argument("files", nargs=-1, required=True)
@click.option("--format", "form", type=click.Choice(["text", "json", "github"]), default="text")
def check(files: tuple[str, ...], form: str) -> int:
    """Check operators' FILES together, and tell all problems in one go.

    Exit code 0: clean. 1: there are problems. 2: a file cannot be read. No file is ever written to.
    """
    done = check_files(files)
    if done.problems or form == "json":
        print(format_problems(done.problems, form))
    if form == "text" and not done.problems:
        print(f"{len(files)} {'file' if len(files) == 1 else 'files'}: no problems")
    return done.exit_code


@click.command()
@click.argument("file")
def render(file: str) -> int:
    """Tell what each node of FILE's sidecar is started with: its environment and its NODE_CONFIG, as JSON."""
    done = check_files([file])
    if done.exit_code:
        _complain(done)
        return done.exit_code
    nodes = [
        {"name": node.name, "environment": node.environment, "config": node.config}
        for node in render_nodes(done.files[0])
    ]
    print(json.dumps(nodes, indent=2))
    return 0


@click.command()
def schema() -> int:
    """Print the JSON Schema of the operator's file."""
    print(json.dumps(File.model_json_schema(), indent=2))
    return 0


QUESTIONS = {
    "application": "The application's name: small letters, digits and dashes.",
    "tier": "What its servers are called.",
    "listen": "Where the application calls its node, host:port.",
    "discovery": "Where its servers are listed, host:port.",
}
DEFAULTS = {"tier": "palvelu", "listen": "127.0.0.1:8100", "discovery": "127.0.0.1:8500"}


def _answers(told: Mapping[str, str | None]) -> dict[str, str]:
    """What flags say; the rest is asked for, or has its default where the application is named by a flag."""
    asked = told["application"] is None
    found: dict[str, str] = {}
    for name, question in QUESTIONS.items():
        value = told[name]
        if value is None:
            default = DEFAULTS.get(name)
            value = click.prompt(question, default=default, err=True) if asked else default
        found[name] = str(value)
    return found


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--application", help=QUESTIONS["application"])
@click.option("--tier", help=f"{QUESTIONS['tier']}  [default: {DEFAULTS['tier']}]")
@click.option("--listen", help=f"{QUESTIONS['listen']}  [default: {DEFAULTS['listen']}]")
@click.option("--discovery", help=f"{QUESTIONS['discovery']}  [default: {DEFAULTS['discovery']}]")
@click.option("--force", is_flag=True, help="Replace a file that is there.")
def init(file: Path, force: bool, **told: str | None) -> int:
    """Write a commented FILE for an application; nothing is written unless it would pass check.

    Without --application it asks for all that no flag says.
    """
    text = new_file_text(str(file), **_answers(told))
    done = CheckResult()
    try:
        check_sources([parse_source(str(file), text)], done)
    except UnreadableFileError as error:
        raise click.ClickException(f"{file}: {error}") from None
    if done.problems:
        _complain(done)
        return 1
    try:
        write_new_file(file, text, force=force)
    except FileExistsError:
        raise click.ClickException(f"{file} is there; --force replaces it") from None
    except OSError as error:
        raise click.ClickException(f"{file} cannot be written: {error.strerror}") from None
    print(f"wrote {file}; check it with: leadrudder check {file}")
    return 0


@click.command(context_settings={"ignore_unknown_options": True})
@click.argument("file")
@click.argument("command", nargs=-1, required=True, type=click.UNPROCESSED)
@click.option(
    "--ready-s", type=click.FloatRange(0.1, 3600), default=30.0, show_default=True, help="Nodes' start."
)
@click.option(
    "--stop-s", type=click.FloatRange(0.1, 3600), default=5.0, show_default=True, help="After SIGTERM."
)
def sidecar(file: str, command: tuple[str, ...], ready_s: float, stop_s: float) -> int:
    """Check FILE, start its nodes, and COMMAND beside them once they are ready.

    Ends with COMMAND's exit code (128 and the number of a signal that killed it). 1 and 2: as check. 3: a
    node was
    not ready in time. 127: COMMAND cannot be started. SIGTERM and SIGINT end both, SIGHUP goes on to all; a
    node that dies is started again; nothing is left behind, also when the sidecar itself is killed.
    """
    done = check_files([file])
    if done.exit_code:
        _complain(done)
        return done.exit_code

    lacking = capacity_shortfall(done.files[0])
    if lacking:
        print(f"leadrudder: {lacking}", file=sys.stderr)
        return 1

    async def main() -> int:
        return await Supervisor(done.files[0], command, Timeouts(ready_s, stop_s)).run()

    return asyncio.run(main())


@click.command()
@click.argument("file")
@click.option("--request", required=True, help="A method and a path: 'POST /varaus/17'.")
def explain(file: str, request: str) -> int:
    """Tell which route and class of FILE take a request, what may be repeated, and by which line."""
    done = check_files([file])
    if done.exit_code:
        _complain(done)
        return done.exit_code
    try:
        for line in explain_request(done.files[0], read_source(file), request):
            print(line)
    except (InvalidRequestError, UnreadableFileError) as error:
        raise click.ClickException(str(error)) from None
    return 0


@click.command()
@click.argument("old")
@click.argument("new")
def diff(old: str, new: str) -> int:
    """Tell what changes from OLD to NEW, what that means in service, and what it needs.

    Exit code 0: nothing differs or all that does was told; 1 and 2: as check, for either file.
    """
    files = []
    for name in (old, new):
        done = check_files([name])
        if done.exit_code:
            _complain(done)
            return done.exit_code
        files += done.files
    changes = diff_files(*files)
    for change in changes:
        print(change)
    print(f"{len(changes)} differences" if changes else "no difference")
    return 0


@click.command()
@click.argument("shell", type=click.Choice(["bash", "fish", "zsh"]))
@click.pass_context
def completion(context: click.Context, shell: str) -> int:
    """Print the lines that make SHELL complete leadrudder's commands, options and files.

    For bash, once: leadrudder completion bash >> ~/.bashrc
    """
    root = context.find_root()
    name = root.info_name or "leadrudder"
    of_shell = get_completion_class(shell)
    assert of_shell is not None  # each of the choices is one that the library knows
    print(of_shell(root.command, {}, name, f"_{name.upper()}_COMPLETE").source())
    return 0

"""python -m leadrudder.mesh: checks, simulations, snapshots, voters, maintenance windows and a demo."""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections.abc import Sequence

from returns.result import Failure

from leadrudder.configuration import validation
from leadrudder.configuration.items import CONTRACT_PREFIX
from leadrudder.control_simulation.scenario import FAULT_KINDS, RESIZE_KINDS, Scenario, shrink_scenario
from leadrudder.control_simulation.world import InvariantViolation
from leadrudder.maintenance import contract
from leadrudder.mesh import snapshots, windows
from leadrudder.model_checker.maintenance import WindowModel
from leadrudder.model_checker.scenarios import RANDOM_WALK_SCENARIOS, SCENARIOS
from leadrudder.model_checker.search import Search, SearchResult

WINDOWS_SCENE = "windows"  # a separate model: which node carries a maintenance window out


def _parse_seeds(text: str) -> range:
    first, _, last = text.partition(":")
    try:
        return range(int(first), int(last))
    except ValueError:
        raise argparse.ArgumentTypeError(f"not a range such as 0:100: {text!r}") from None


def _check_files(paths: Sequence[str]) -> int:
    """Returns 0 if all files would be accepted, 1 if there are findings, 2 if a file cannot be read.

    The files are checked as if sent in this order: a route may refer to a service of an earlier file.
    """
    services: set[str] = set()
    finding_count = 0
    for path in paths:
        try:
            with open(path, "rb") as file:
                body = file.read()
        except OSError as error:
            print(f"leadrudder: {path}: {error.strerror}", file=sys.stderr)
            return 2
        if _is_contract_patch(body):
            findings = _check_contracts(path, body)
            for finding in findings:
                print(f"{path}: {finding}")
            finding_count += len(findings)
            continue
        parsed = validation.parse(body)
        if isinstance(parsed, Failure):
            findings = parsed.failure()
        else:
            call = parsed.unwrap()
            findings = validation.unknown_services(call, services)
            services |= call.services
            for warning in validation.warnings(call):
                print(f"{path}: warning: {warning}")
        for finding in findings:
            print(f"{path}: {finding}")
        finding_count += len(findings)
    print("would be taken" if not finding_count else f"would be refused: {finding_count} findings")
    return 1 if finding_count else 0


def _is_contract_patch(body: bytes) -> bool:
    """Whether a file is the body of PATCH /contracts, not of PATCH /config."""
    try:
        raw = json.loads(body)
        return any("contracts" in raw.get(section, {}) for section in ("addOrReplace", "remove"))
    except (ValueError, RecursionError, AttributeError, TypeError):
        return False


def _check_contracts(path: str, body: bytes) -> list[validation.Finding]:
    parsed = contract.parse(body)
    if isinstance(parsed, Failure):
        findings: list[validation.Finding] = parsed.failure()
        return findings
    for change in parsed.unwrap():
        if change.value is not None:
            read = contract.read_contract(change.key[len(CONTRACT_PREFIX) :], json.loads(change.value))
            for warning in contract.warnings(read, time.time()):
                print(f"{path}: warning: {warning}")
    return []


def _run_scenarios(scenarios: Sequence[Scenario], shrink: bool) -> int:
    failures = 0
    for scenario in scenarios:
        try:
            scenario.run()
        except InvariantViolation as error:
            failures += 1
            print(f"seed {scenario.seed}: {error}")
            smallest = shrink_scenario(scenario, print) if shrink else None
            if smallest is not None:
                print(f"seed {scenario.seed}, cut down: {smallest[1]}")
                print("faults:", *(f"  {fault}" for fault in smallest[0].planned_faults()), sep="\n")
    print(f"seeds={len(scenarios)} broken={failures}")
    return 1 if failures else 0


def _run_searches(names: Sequence[str], states: int, seconds: float, walks: range) -> int:
    failures = 0
    for name in names:
        if name == WINDOWS_SCENE:
            outcome = WindowModel().run(states)
            failures += bool(outcome.violation)
            if outcome.violation:
                print(f"{name}: {outcome.violation}", *outcome.trace_lines, sep="\n")
            bound = "every state within its bounds" if outcome.complete else "broken off by --states"
            print(
                f"{name}: {outcome.states} states, {bound}; in calm {', '.join(sorted(outcome.end_states))}"
            )
            continue
        search = Search(SCENARIOS[name], max_states=states, max_seconds=seconds)
        results = (
            [search.random_walk(seed) for seed in walks] if name in RANDOM_WALK_SCENARIOS else [search.run()]
        )
        for result in results:
            failures += bool(result.violation)
            if result.violation:
                print(f"{name}: {result.violation}", *result.trace_lines, sep="\n")
        print(_summarize(name, results))
    print(f"scenes={len(names)} broken={failures}")
    return 1 if failures else 0


def _summarize(name: str, results: Sequence[SearchResult]) -> str:
    states, calms = sum(f.states for f in results), sum(f.recovery_checks for f in results)
    if name in RANDOM_WALK_SCENARIOS:
        return f"{name}: {len(results)} walks, {states} states, calm played out from {calms}"
    bound = "every state within its bounds" if results[0].complete else "broken off by --states or --seconds"
    return f"{name}: {states} states, {results[0].depth} moves deep, {bound}; calm played out from {calms}"


def _add_window_commands(parser: argparse.ArgumentParser) -> None:
    actions = parser.add_subparsers(dest="action", required=True)
    for name, about in (
        ("plan", "show when each machine would be out, or why it cannot be, without starting anything"),
        ("start", "start a maintenance window"),
        ("stop", "return all machines to service at once"),
        ("done", "the work on a machine is finished: return it to service early"),
        ("watch", "show a window until it ends"),
        ("page", "write a window's report as a page with charts"),
    ):
        action = actions.add_parser(name, help=about)
        action.add_argument(
            "node",
            help="control address of a control-plane node, IP:PORT; watch takes several, separated by commas",
        )
        action.add_argument("name", help="name of the window")
        if name in ("plan", "start"):
            action.add_argument("machines", nargs="+", help="nodeName of each")
            action.add_argument("--from", dest="begin", required=True, help="e.g. 2026-12-02T22:00:00+02:00")
            action.add_argument("--to", dest="end", required=True)
            action.add_argument(
                "--works",
                default="0s",
                help="how long each machine is out, e.g. 20m; default: as long as possible",
            )
            action.add_argument("--at-once", type=int, default=1)
            action.add_argument(
                "--tenants", default="", help="separated by commas; default: all that the machines serve"
            )
        elif name == "done":
            action.add_argument("machine")
        elif name == "page":
            action.add_argument("out", help="the file to write")
        elif name == "watch":
            action.add_argument("--once", action="store_true")
            action.add_argument("--json", action="store_true")


def _run_window_command(options: argparse.Namespace) -> int:
    if options.action in ("plan", "start"):
        order = {
            "from": options.begin,
            "to": options.end,
            "machines": options.machines,
            "works": options.works,
            "atOnce": options.at_once,
            "tenants": [name for name in options.tenants.split(",") if name],
        }
        return windows.request_window(options.node, options.name, order, keep=options.action == "start")
    if options.action == "page":
        return windows.write_report(options.node, options.name, options.out)
    if options.action == "stop":
        return windows.stop_window(options.node, options.name)
    if options.action == "done":
        return windows.finish_machine(options.node, options.name, options.machine)
    return windows.watch_window(
        options.node.split(","), options.name, once=options.once, as_json=options.json
    )


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="leadrudder mesh", description="Tools for operating and testing the mesh."
    )
    commands = parser.add_subparsers(dest="command", required=True)
    check = commands.add_parser(
        "check", help="check bodies of PATCH /config and PATCH /contracts before they are sent"
    )
    check.add_argument("file", nargs="+", help="the body of a request, JSON")
    simulate = commands.add_parser(
        "rehearse", help="simulate the control plane in virtual time with random faults"
    )
    simulate.add_argument("--seeds", type=_parse_seeds, default=range(100), metavar="A:B")
    simulate.add_argument("--machines", type=int, default=3, choices=range(1, 10))
    simulate.add_argument("--faults", type=int, default=6)
    simulate.add_argument(
        "--stations", type=int, default=0, help="data-plane nodes that subscribe to the state"
    )
    simulate.add_argument("--shrink", action="store_true", help="reduce a failing run to the fewest faults")
    simulate.add_argument("--resize", action="store_true", help="also add and remove voters")
    simulate.add_argument("--kinds", default=",".join(FAULT_KINDS), help="of faults, separated by commas")
    prove = commands.add_parser(
        "prove", help="explore small models of the control plane in every order of events"
    )
    prove.add_argument(
        "scene",
        nargs="*",
        choices=[*SCENARIOS, WINDOWS_SCENE, []],
        help="; ".join([*SCENARIOS, WINDOWS_SCENE]),
    )
    prove.add_argument("--states", type=int, default=20_000, help="maximum for each scene")
    prove.add_argument("--seconds", type=float, default=60.0, help="maximum for each scene")
    prove.add_argument(
        "--walks",
        type=_parse_seeds,
        default=range(20),
        metavar="A:B",
        help="seeds for the scenes that are walked at random",
    )
    take_snapshot = commands.add_parser(
        "snapshot", help="fetch the control state from a control-plane node and save it"
    )
    take_snapshot.add_argument("node", help="control address of a control-plane node, IP:PORT")
    take_snapshot.add_argument("folder")
    take_snapshot.add_argument("--keep", type=int, default=8, help="how many to keep; the oldest are deleted")
    verify = commands.add_parser("verify", help="verify snapshots or data folders")
    verify.add_argument("path", nargs="+")
    restore = commands.add_parser("restore", help="write new disks for a fleet that lost its majority")
    restore.add_argument("source", nargs="+", help="snapshots, and data folders of the remaining machines")
    restore.add_argument(
        "--holders", required=True, help="link addresses of the control-plane nodes, separated by commas"
    )
    restore.add_argument(
        "--into", required=True, metavar="FOLDER", help="where to write one folder for each machine"
    )
    repair = commands.add_parser(
        "repair", help="show what other control-plane nodes are missing, as seen by one"
    )
    repair.add_argument("node", help="control address of a control-plane node, IP:PORT")
    core = commands.add_parser("core", help="show the voters, or set their number")
    core.add_argument("node", help="control address of a control-plane node, IP:PORT")
    core.add_argument("seats", nargs="?", type=int, help="the number of voters to have, odd")
    _add_window_commands(
        commands.add_parser("window", help="take machines out of traffic within approved hours")
    )
    demo_parser = commands.add_parser(
        "demo", help="start both programs on loopback and have a request served"
    )
    demo_parser.add_argument(
        "--drill", action="store_true", help="also delete every disk and restore from a snapshot"
    )
    demo_parser.add_argument(
        "--window", action="store_true", help="also take a machine out for maintenance under load"
    )
    demo_parser.add_argument(
        "--port", type=int, default=0, help="the first of twenty free ports; 0: chosen automatically"
    )
    options = parser.parse_args(arguments)
    if options.command == "check":
        return _check_files(options.file)
    if options.command == "rehearse":
        kinds = tuple(options.kinds.split(",")) + (RESIZE_KINDS if options.resize else ())
        unknown = set(kinds) - {*FAULT_KINDS, *RESIZE_KINDS}
        if unknown:
            print(f"leadrudder: --kinds: no such fault: {', '.join(sorted(unknown))}", file=sys.stderr)
            return 2
        scenarios = [
            Scenario(seed, options.machines, options.faults, kinds, node_count=options.stations)
            for seed in options.seeds
        ]
        return _run_scenarios(scenarios, options.shrink)
    if options.command == "prove":
        return _run_searches(
            options.scene or [*SCENARIOS, WINDOWS_SCENE], options.states, options.seconds, options.walks
        )
    if options.command == "snapshot":
        return snapshots.save_snapshot(options.node, options.folder, options.keep)
    if options.command == "verify":
        return snapshots.verify_snapshots(options.path)
    if options.command == "repair":
        return snapshots.print_replica_lag(options.node)
    if options.command == "window":
        return _run_window_command(options)
    if options.command == "core":
        return snapshots.print_voters(options.node, options.seats)
    if options.command == "restore":
        return snapshots.restore_disks(options.source, options.holders.split(","), options.into)
    from leadrudder.mesh import demo  # imported late, as only this command starts processes

    return demo.run(options.port, options.drill, options.window)


if __name__ == "__main__":
    sys.exit(main())

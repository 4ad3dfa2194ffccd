"""python -m leadrudder.mesh: checks, plays, snapshots, seats, windows and a demo of the mesh."""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections.abc import Sequence

from returns.result import Failure

from leadrudder.configuration import validation
from leadrudder.configuration.items import CONTRACT
from leadrudder.control_simulation.scenario import FAULT_KINDS, RESIZE_KINDS, Scenario, shrink_scenario
from leadrudder.control_simulation.world import InvariantViolation
from leadrudder.maintenance import contract
from leadrudder.mesh import snapshots, windows
from leadrudder.model_checker.maintenance import Windows
from leadrudder.model_checker.scenarios import SCENES, WALKED
from leadrudder.model_checker.search import Found, Search

WINDOWS = "windows"  # a small world of its own: who carries a maintenance window out


def _seeds(text: str) -> range:
    first, _, last = text.partition(":")
    try:
        return range(int(first), int(last))
    except ValueError:
        raise argparse.ArgumentTypeError(f"not a range such as 0:100: {text!r}") from None


def _check(paths: Sequence[str]) -> int:
    """0: all would be taken; 1: findings; 2: a file cannot be read.

    The files count as sent one after the other: a route may name a service of a file before its own.
    """
    services: set[str] = set()
    wrong = 0
    for path in paths:
        try:
            with open(path, "rb") as file:
                body = file.read()
        except OSError as error:
            print(f"leadrudder: {path}: {error.strerror}", file=sys.stderr)
            return 2
        if _of_contracts(body):
            findings = _check_contracts(path, body)
            for finding in findings:
                print(f"{path}: {finding}")
            wrong += len(findings)
            continue
        parsed = validation.parse(body)
        if isinstance(parsed, Failure):
            findings = parsed.failure()
        else:
            call = parsed.unwrap()
            findings = validation.against(call, services)
            services |= call.services
            for warning in validation.warnings(call):
                print(f"{path}: warning: {warning}")
        for finding in findings:
            print(f"{path}: {finding}")
        wrong += len(findings)
    print("would be taken" if not wrong else f"would be refused: {wrong} findings")
    return 1 if wrong else 0


def _of_contracts(body: bytes) -> bool:
    """Whether a call is one of PATCH /contracts."""
    try:
        raw = json.loads(body)
        return any("contracts" in raw.get(part, {}) for part in ("addOrReplace", "remove"))
    except (ValueError, RecursionError, AttributeError, TypeError):
        return False


def _check_contracts(path: str, body: bytes) -> list[validation.Finding]:
    parsed = contract.parse(body)
    if isinstance(parsed, Failure):
        findings: list[validation.Finding] = parsed.failure()
        return findings
    for change in parsed.unwrap():
        if change.value is not None:
            read = contract.read(change.key[len(CONTRACT) :], json.loads(change.value))
            for warning in contract.warnings(read, time.time()):
                print(f"{path}: warning: {warning}")
    return []


def _rehearse(courses: Sequence[Scenario], shrink: bool) -> int:
    broken = 0
    for course in courses:
        try:
            course.run()
        except InvariantViolation as error:
            broken += 1
            print(f"seed {course.seed}: {error}")
            least = shrink_scenario(course, print) if shrink else None
            if least is not None:
                print(f"seed {course.seed}, cut down: {least[1]}")
                print("faults:", *(f"  {fault}" for fault in least[0].planned_faults()), sep="\n")
    print(f"seeds={len(courses)} broken={broken}")
    return 1 if broken else 0


def _prove(names: Sequence[str], states: int, seconds: float, walks: range) -> int:
    broken = 0
    for name in names:
        if name == WINDOWS:
            window = Windows().run(states)
            broken += bool(window.rule)
            if window.rule:
                print(f"{name}: {window.rule}", *window.story, sep="\n")
            bound = "every state within its bounds" if window.whole else "broken off by --states"
            print(f"{name}: {window.states} states, {bound}; in calm {', '.join(sorted(window.over))}")
            continue
        search = Search(SCENES[name], states=states, seconds=seconds)
        found = [search.walk(seed) for seed in walks] if name in WALKED else [search.run()]
        for each in found:
            broken += bool(each.rule)
            if each.rule:
                print(f"{name}: {each.rule}", *each.story, sep="\n")
        print(_proved(name, found))
    print(f"scenes={len(names)} broken={broken}")
    return 1 if broken else 0


def _proved(name: str, found: Sequence[Found]) -> str:
    states, calms = sum(f.states for f in found), sum(f.calms for f in found)
    if name in WALKED:
        return f"{name}: {len(found)} walks, {states} states, calm played out from {calms}"
    bound = "every state within its bounds" if found[0].whole else "broken off by --states or --seconds"
    return f"{name}: {states} states, {found[0].depth} moves deep, {bound}; calm played out from {calms}"


def _add_windows(parser: argparse.ArgumentParser) -> None:
    actions = parser.add_subparsers(dest="action", required=True)
    for name, about in (
        ("plan", "say when each machine would be out, or why it cannot be, and keep nothing"),
        ("start", "have a window carried out"),
        ("stop", "give everything back at once"),
        ("done", "the works at a machine are over: give it back before its time"),
        ("watch", "show a window until it is over"),
        ("page", "write a window's report as a page with charts"),
    ):
        action = actions.add_parser(name, help=about)
        action.add_argument(
            "node", help="the control address of a signalbox, IP:PORT; of watch also several, by commas"
        )
        action.add_argument("name", help="of the window")
        if name in ("plan", "start"):
            action.add_argument("machines", nargs="+", help="nodeName of each")
            action.add_argument("--from", dest="begin", required=True, help="as 2026-12-02T22:00:00+02:00")
            action.add_argument("--to", dest="end", required=True)
            action.add_argument(
                "--works", default="0s", help="how long each is out, as 20m; else as long as can be"
            )
            action.add_argument("--at-once", type=int, default=1)
            action.add_argument("--tenants", default="", help="by commas; else all that the machines serve")
        elif name == "done":
            action.add_argument("machine")
        elif name == "page":
            action.add_argument("out", help="the file to be written")
        elif name == "watch":
            action.add_argument("--once", action="store_true")
            action.add_argument("--json", action="store_true")


def _window(told: argparse.Namespace) -> int:
    if told.action in ("plan", "start"):
        order = {
            "from": told.begin,
            "to": told.end,
            "machines": told.machines,
            "works": told.works,
            "atOnce": told.at_once,
            "tenants": [name for name in told.tenants.split(",") if name],
        }
        return windows.order(told.node, told.name, order, keep=told.action == "start")
    if told.action == "page":
        return windows.page(told.node, told.name, told.out)
    if told.action == "stop":
        return windows.stop(told.node, told.name)
    if told.action == "done":
        return windows.done(told.node, told.name, told.machine)
    return windows.watch(told.node.split(","), told.name, once=told.once, as_json=told.json)


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="leadrudder mesh", description="Tools around the mesh's two programs."
    )
    commands = parser.add_subparsers(dest="command", required=True)
    checking = commands.add_parser(
        "check", help="say whether calls of PATCH /config would be taken, and why not"
    )
    checking.add_argument("file", nargs="+", help="the body of a call, JSON")
    rehearsing = commands.add_parser("rehearse", help="play the control state in virtual time against faults")
    rehearsing.add_argument("--seeds", type=_seeds, default=range(100), metavar="A:B")
    rehearsing.add_argument("--machines", type=int, default=3, choices=range(1, 10))
    rehearsing.add_argument("--faults", type=int, default=6)
    rehearsing.add_argument("--stations", type=int, default=0, help="that are told what stands")
    rehearsing.add_argument("--shrink", action="store_true", help="cut what breaks to the least faults")
    rehearsing.add_argument("--resize", action="store_true", help="have the core grow and shrink besides")
    rehearsing.add_argument("--kinds", default=",".join(FAULT_KINDS), help="of faults, by commas")
    proving = commands.add_parser("prove", help="go through small worlds of the control state in every order")
    proving.add_argument(
        "scene", nargs="*", choices=[*SCENES, WINDOWS, []], help="; ".join([*SCENES, WINDOWS])
    )
    proving.add_argument("--states", type=int, default=20_000, help="at most, of each scene")
    proving.add_argument("--seconds", type=float, default=60.0, help="at most, for each scene")
    proving.add_argument("--walks", type=_seeds, default=range(20), metavar="A:B", help="of five and three")
    taking = commands.add_parser("snapshot", help="fetch the control state from a signalbox and keep it")
    taking.add_argument("node", help="the control address of a signalbox, IP:PORT")
    taking.add_argument("folder")
    taking.add_argument("--keep", type=int, default=8, help="so many; the oldest go")
    verifying = commands.add_parser("verify", help="say whether snapshots or folders can be used")
    verifying.add_argument("path", nargs="+")
    restoring = commands.add_parser("restore", help="make the disks of a fleet that lost too much")
    restoring.add_argument("source", nargs="+", help="snapshots, and folders of the machines that are left")
    restoring.add_argument("--holders", required=True, help="link addresses of the signalboxes, by commas")
    restoring.add_argument("--into", required=True, metavar="FOLDER", help="for one folder a machine")
    repairing = commands.add_parser("repair", help="what other signalboxes miss, as one sees it")
    repairing.add_argument("node", help="the control address of a signalbox, IP:PORT")
    sizing = commands.add_parser("core", help="who holds which seat; have more or fewer of them")
    sizing.add_argument("node", help="the control address of a signalbox, IP:PORT")
    sizing.add_argument("seats", nargs="?", type=int, help="how many there are to be, an odd number")
    _add_windows(commands.add_parser("window", help="take machines out inside approved hours"))
    showing = commands.add_parser("demo", help="start both programs on loopback and have a request served")
    showing.add_argument("--drill", action="store_true", help="lose every disk, and restore from a snapshot")
    showing.add_argument("--window", action="store_true", help="take a machine out while clients ask")
    showing.add_argument("--port", type=int, default=0, help="the first of twenty free ports; 0: looked for")
    told = parser.parse_args(arguments)
    if told.command == "check":
        return _check(told.file)
    if told.command == "rehearse":
        kinds = tuple(told.kinds.split(",")) + (RESIZE_KINDS if told.resize else ())
        unknown = set(kinds) - {*FAULT_KINDS, *RESIZE_KINDS}
        if unknown:
            print(f"leadrudder: --kinds: no such fault: {', '.join(sorted(unknown))}", file=sys.stderr)
            return 2
        courses = [
            Scenario(seed, told.machines, told.faults, kinds, node_count=told.stations) for seed in told.seeds
        ]
        return _rehearse(courses, told.shrink)
    if told.command == "prove":
        return _prove(told.scene or [*SCENES, WINDOWS], told.states, told.seconds, told.walks)
    if told.command == "snapshot":
        return snapshots.take(told.node, told.folder, told.keep)
    if told.command == "verify":
        return snapshots.verify(told.path)
    if told.command == "repair":
        return snapshots.repair(told.node)
    if told.command == "window":
        return _window(told)
    if told.command == "core":
        return snapshots.core(told.node, told.seats)
    if told.command == "restore":
        return snapshots.restore(told.source, told.holders.split(","), told.into)
    from leadrudder.mesh import demo  # starts processes: not needed by the others

    return demo.run(told.port, told.drill, told.window)


if __name__ == "__main__":
    sys.exit(main())

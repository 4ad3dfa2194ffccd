"""Runs the model: an experiment file, a side and a seed in, figures out."""

from __future__ import annotations

import functools
import gc
import importlib
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from pathlib import Path
from types import ModuleType
from typing import cast

from leadrudder import interface as api
from leadrudder.experiment.baselines import BASELINES
from leadrudder.experiment.callers import Callers, read_trace
from leadrudder.experiment.clock import Clock, StepLimitError
from leadrudder.experiment.draw import FleetShape, fleet_shape_of, sample_ranges
from leadrudder.experiment.figures import FigureRecorder, Result
from leadrudder.experiment.fleet import DeciderFactory, Fleet
from leadrudder.experiment.limits import LIMITS, LimitedBalancer
from leadrudder.experiment.node import Decider
from leadrudder.experiment.spec import File
from leadrudder.experiment.troubles import Troubles

GC_THRESHOLD = 1_000_000  # objects between two garbage collections: hardly any garbage is cyclic
PROGRESS_INTERVAL_MS = 1000.0  # of virtual time, between two calls of progress


def decider_factory(policy: str, limit_each: float = 0.0) -> DeciderFactory:
    """A factory of a node's decisions: the policy module as imported in this process, or a baseline.

    limit_each: outstanding calls for each warm server, of the policy limit-fixed.
    """
    if policy in BASELINES:
        return BASELINES[policy]
    balancer = importlib.import_module("leadrudder.policy.decide").Balancer

    if policy in LIMITS:
        return functools.partial(LimitedBalancer, balancer, policy, limit_each)

    def make(settings: api.Settings, seed: int) -> Decider:
        made: Decider = balancer(settings, seed)
        return made

    return make


def play(
    file: File,
    seed: int,
    decider: DeciderFactory,
    *,
    model: str = "policy",
    folder: Path = Path("."),
    progress: Callable[[float], None] | None = None,
) -> Result:
    """Play a run to the end of its time, then until the last request is answered.

    model: policy, the decisions against modelled nodes; or whole, real nodes on the simulation's network.
    folder: base of a trace's relative path. progress: called with the share that is done. Raises TraceError
    for a trace that cannot be played.
    """
    name = f"{seed}"
    file = sample_ranges(file, name)
    shape = fleet_shape_of(file)
    with _log_context(model):
        clock, fleet = _build(file, shape, name, decider, model)
        thresholds = gc.get_threshold()
        gc.set_threshold(GC_THRESHOLD, *thresholds[1:])
        try:
            return _run(file, name, clock, fleet, folder, progress)
        finally:
            gc.set_threshold(*thresholds)
            gc.unfreeze()


def _log_context(model: str) -> AbstractContextManager[None]:
    return (
        nullcontext()
        if model == "policy"
        else cast(AbstractContextManager[None], _whole_module().silenced_log())
    )


def _whole_module() -> ModuleType:
    return importlib.import_module(
        "leadrudder.experiment.whole"
    )  # imports the node code, which not every run needs


def _build(
    file: File, shape: FleetShape, name: str, decider: DeciderFactory, model: str
) -> tuple[Clock, Fleet]:
    """The fleet at the start of the run.

    Objects made here live to the end and are frozen, as in fleets of many nodes by many servers garbage
    collections of them took half of the time.
    """
    gc_enabled = gc.isenabled()
    gc.disable()
    try:
        if model == "whole":
            clock, fleet = _whole_module().build_fleet(file, shape, name, decider)
        else:
            clock = Clock(file.runs.most_steps)
            fleet = Fleet(clock, file, shape, name, decider)
    finally:
        if gc_enabled:
            gc.enable()
    gc.freeze()
    return clock, fleet


def _run(
    file: File,
    name: str,
    clock: Clock,
    fleet: Fleet,
    folder: Path,
    progress: Callable[[float], None] | None,
) -> Result:
    figures = FigureRecorder(clock, file)
    trace = read_trace(folder / file.load.trace, file) if file.load.form == "trace" else []
    callers = Callers(clock, file, fleet, figures, name, trace)
    troubles = Troubles(file, fleet, callers, name)
    notes = []
    callers.start()
    length = 1000.0 * file.length_s
    try:
        while clock.now < length:
            clock.run(min(length, clock.now + PROGRESS_INTERVAL_MS))
            if progress is not None:
                progress(clock.now / length)
        longest = max(c.deadline_ms for c in file.request_class)
        last = length + 20.0 * (longest + file.fleet.node.most_retry_after_ms + 1000.0)
        while figures.open_operations and clock.now < last:
            clock.run(clock.now + PROGRESS_INTERVAL_MS)
    except StepLimitError as error:
        notes.append(str(error))
    fleet.close()
    return figures.result(fleet, troubles.struck, notes)

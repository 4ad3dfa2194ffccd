"""leadrudder: the decisions of a load balancer, without I/O.

The names of this package are imported when they are first used, so that the first line of a program runs soon
after the start of the interpreter.
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING

from leadrudder import compiled

if TYPE_CHECKING:
    from leadrudder.policy.automaton import Automaton
    from leadrudder.policy.decide import Balancer

compiled.use_compiled_modules()  # must precede the import of any module in compiled.MODULES

_MODULES = {"Automaton": "leadrudder.policy.automaton", "Balancer": "leadrudder.policy.decide"}

__all__ = ["Automaton", "Balancer"]


def __getattr__(name: str) -> object:
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    value: object = getattr(import_module(_MODULES[name]), name)
    globals()[name] = value
    return value

"""leadrudder: a load balancer's decisions, without I/O."""

from leadrudder import compiled

compiled.prefer()  # before any of the modules that it names is imported

from leadrudder.policy.automaton import Automaton  # noqa: E402
from leadrudder.policy.decide import Balancer  # noqa: E402

__all__ = ["Automaton", "Balancer"]

"""leadrudder: the decisions of a load balancer, without I/O."""

from leadrudder import compiled

compiled.use_compiled_modules()  # must precede the import of any module in compiled.MODULES

from leadrudder.policy.automaton import Automaton  # noqa: E402
from leadrudder.policy.decide import Balancer  # noqa: E402

__all__ = ["Automaton", "Balancer"]

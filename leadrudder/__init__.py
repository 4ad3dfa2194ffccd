"""leadrudder: a load balancer's decisions, without I/O."""

from leadrudder.policy.automaton import Automaton
from leadrudder.policy.decide import Balancer

__all__ = ["Automaton", "Balancer"]

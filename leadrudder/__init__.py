"""leadrudder: a load balancer's decisions, without I/O."""

from leadrudder.policy.decide import Automaton, Balancer

__all__ = ["Automaton", "Balancer"]

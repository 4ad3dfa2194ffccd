"""fawngw: a load balancer's decisions, without I/O."""

from fawngw.decide import Automaton, Balancer

__all__ = ["Automaton", "Balancer"]

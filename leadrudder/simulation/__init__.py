"""Deterministic simulation of whole nodes: virtual time, an in-memory network, faults drawn from a seed."""

"""Deterministic simulation of the control state: the production state machines in virtual time, under faults
drawn from a seed.
"""

"""Rehearsals of the control state: the machines that run, in virtual time, against faults drawn from a
seed.
"""

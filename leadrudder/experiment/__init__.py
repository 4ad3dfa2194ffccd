"""Simulates whole fleets in virtual time, to try a load, a fault or a policy before it is rolled out."""

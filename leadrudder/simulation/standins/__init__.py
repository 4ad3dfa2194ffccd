"""Simulated clients, servers and discovery, each a process on the simulated network."""

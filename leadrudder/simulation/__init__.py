"""A deterministic rehearsal of whole nodes: virtual time, a network in memory, faults drawn from a seed."""

"""Stand-ins for what surrounds a node: clients, servers and discovery, each a process of the simulated
network."""

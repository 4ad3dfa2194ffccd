"""The control plane: tracks servers and nodes, stores the configuration and distributes it."""

"""The control plane's program: knows servers and nodes, keeps the configuration, brings it to all."""

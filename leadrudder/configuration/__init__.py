"""The configuration: items, validation of change requests, and the routing table. No I/O."""

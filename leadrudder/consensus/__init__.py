"""Replication of the control state: section ownership, voter membership and committed items.  No I/O."""

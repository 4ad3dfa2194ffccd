"""Backup: snapshots of the control state, and restoring a fleet from what is left of it."""

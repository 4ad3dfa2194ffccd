"""Observability of a process: metrics as text, invariant checks and event-loop lag."""

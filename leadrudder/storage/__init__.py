"""Durable storage of a control node: acknowledged records survive a loss of power."""

"""Model checker: explores small configurations of the production state machine exhaustively.

A global state is a tuple of small numbers: each machine state is stored once and each of its transitions is
computed once, so that a step of the model is mostly a table lookup. The design note is
docs/design/control-state.md.
"""

"""The proving ground: small worlds of the very interlockings that run, gone through in every order.

A global state is a handful of small numbers: each machine's state is kept once, and what an input makes of
it is worked out once, so that a step of a world is mostly a look into a table. The design note is
docs/design/control-state.md.
"""

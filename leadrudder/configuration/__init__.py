"""The configuration: its items, how a call is checked, and which route a request takes.  No I/O."""

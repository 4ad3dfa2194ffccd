"""Maintenance windows: machines taken out of a tenant's traffic inside the hours its contract approves.

On railways a possession is track that is handed over for works until a stated time. No I/O: hours,
contracts, windows, the planner and the keeper take inputs and return what is to be.
"""

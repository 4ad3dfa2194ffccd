"""Maintenance windows: machines are taken out of tenants' traffic in the hours that their contracts approve.

No I/O: hours, contracts, windows, the planner and the controller are given their inputs and return results.
The flag `--possession` is named after the railway term for track handed over for works until a stated time.
"""

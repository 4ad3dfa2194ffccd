"""The breakdown train: snapshots of the control state, and a fleet begun anew from what is left of it."""

"""Who owns which part of the control state, who holds a seat in its quorum, and what stands.  No I/O."""

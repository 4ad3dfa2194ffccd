"""The mesh's own processes under overlapping faults, on real sockets, with all invariant checks enabled."""

"""The mesh's own processes under overlapping troubles, on real sockets, with every invariant on."""

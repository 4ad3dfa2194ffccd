"""The proxy node: the balancer on real sockets."""

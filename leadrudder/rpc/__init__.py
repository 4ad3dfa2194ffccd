"""MessagePack-RPC: listener for callers and connections to servers, on the node core; off by default."""

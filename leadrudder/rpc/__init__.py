"""MessagePack-RPC: a front for callers and an upstream to servers, on the node's one core; off by default."""

"""A real node between stand-ins on loopback, for ten seconds: what the product does, seen on any machine."""

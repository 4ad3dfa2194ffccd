"""A whole mesh in virtual time: the production processes between stand-in servers and clients."""

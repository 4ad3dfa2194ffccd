"""A real node between stand-in servers, discovery and callers on loopback: shows what the product does."""

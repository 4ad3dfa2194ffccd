"""Membership: proxies by their sessions, and their local servers.  No I/O."""

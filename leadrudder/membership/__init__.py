"""Who is there: stations by their sessions, and the servers beside them.  No I/O."""

"""State that the decisions in policy/ rest on, kept incrementally, and running statistics; free of I/O."""

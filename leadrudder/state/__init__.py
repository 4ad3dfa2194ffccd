"""What the decisions rest on: state kept by change, and statistics of it; below policy/, free of I/O."""

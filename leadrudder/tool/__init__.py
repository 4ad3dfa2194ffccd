"""Tools for the operator's configuration file: read it, check it, and render node configurations from it."""

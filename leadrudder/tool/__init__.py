"""The tool for the operator's file: read it, check it, and make of it what a node is told."""

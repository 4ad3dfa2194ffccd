"""The sidecar: runs an application's nodes beside it, and starts, supervises and stops them together."""

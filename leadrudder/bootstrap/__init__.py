"""Startup of the mesh processes: settings file, command line and log buffer."""

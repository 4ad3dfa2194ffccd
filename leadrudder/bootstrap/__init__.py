"""What a process of the mesh is told at its start: its settings file, read and checked."""

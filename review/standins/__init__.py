"""Stand-ins for the cases of the review: what surrounds the mesh, on loopback addresses."""

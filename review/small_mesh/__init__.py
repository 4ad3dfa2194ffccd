"""A small mesh on loopback for the scripts of cases 4 to 8: processes, an operator, servers and clients."""

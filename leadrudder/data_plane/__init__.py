"""The data plane: proxies requests of local clients to servers on any machine, and controls admission to the
local server.
"""

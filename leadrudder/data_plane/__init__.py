"""The data plane's program: carries requests from clients to the gates beside servers, and is such a gate
itself.
"""

"""Transport between leadrudder's processes: frames over TCP connections with liveness checks, and HTTP."""

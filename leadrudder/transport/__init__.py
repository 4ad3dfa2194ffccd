"""Links between leadrudder's own processes: one frame after another on a TCP connection, with signs of
life.
"""

"""Overload control: saturation of the fleet, and the concurrency limit that follows it.  No I/O, no clock."""

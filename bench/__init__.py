"""Measurements: run as `python -m bench.NAME`; each compares within one run and ends with one line of
figures."""

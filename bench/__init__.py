"""Benchmarks, run as `python -m bench.NAME`.

Each compares within one run and prints its figures as the last line.
"""

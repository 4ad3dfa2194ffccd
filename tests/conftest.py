"""The suite gives the same verdict at every run: hypothesis draws no fresh examples and keeps no files."""

from hypothesis import settings

settings.register_profile("fixed", derandomize=True, database=None, deadline=None)
settings.load_profile("fixed")

"""The suite gives the same verdict at every run: hypothesis draws no fresh examples and keeps no files.

It reads the sources, whatever was compiled: tests look into objects and replace their methods.  What is
compiled is held against the sources by tests/test_compiled.py.
"""

import os

from hypothesis import settings

os.environ["LEADRUDDER_PURE"] = "1"
settings.register_profile("fixed", derandomize=True, database=None, deadline=None)
settings.load_profile("fixed")

"""Settings of all tests: hypothesis draws the same examples each time, unless HYPOTHESIS_PROFILE=search.

The plugin `known_red` passes over the tests that KNOWN-RED.txt lists, if that file exists.
"""

from __future__ import annotations

import os

from hypothesis import settings

pytest_plugins = ["known_red"]

settings.register_profile("fixed", derandomize=True, database=None)
settings.register_profile("search")
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "fixed"))

"""The same verdict each time: hypothesis draws as before, unless HYPOTHESIS_PROFILE=search asks anew.

The tests that KNOWN-RED.txt names, if there is one, are passed over by `known_red`.
"""

from __future__ import annotations

import os

from hypothesis import settings

pytest_plugins = ["known_red"]

settings.register_profile("fixed", derandomize=True, database=None)
settings.register_profile("search")
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "fixed"))

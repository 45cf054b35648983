"""A few seeds of the soak test; the docstring of `soak.py` has the command for more."""

from __future__ import annotations

import pytest
from soak import soak


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_no_rule_is_violated_under_random_faults(seed: int) -> None:
    violations, sent, served = soak(seed)
    assert violations == []
    assert served > sent / 3

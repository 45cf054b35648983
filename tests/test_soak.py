"""A few seeds of the soak; `soak.py` says how more are run by hand."""

from __future__ import annotations

import pytest
from soak import soak


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_no_rule_is_broken_under_faults_by_a_seed(seed: int) -> None:
    broken, sent, served = soak(seed)
    assert broken == []
    assert served > sent / 3

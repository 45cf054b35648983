"""A few seeds of the soak test; the docstring of `soak.py` has the command for more."""

from __future__ import annotations

import pytest
from soak import soak


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_no_rule_is_violated_under_random_faults(seed: int) -> None:
    violations, sent, served = soak(seed, has_result_store=False)
    assert violations == []
    assert served > sent / 3


@pytest.mark.parametrize("seed", [5, 6, 8, 9])
def test_every_key_gets_its_result_after_random_faults_and_a_restart(seed: int) -> None:
    violations, sent, served = soak(seed, has_result_store=True)
    assert violations == []
    assert served > sent / 3

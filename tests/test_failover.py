"""Failover's decisions: the plan (near first, never past what a zone carries), out and back."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sablewheel.failover import judge
from sablewheel.failover.planner import STEPS, Rules, Zone, plan, usable

RULES = Rules(headroom=0.4, panic=0.3)
AMOUNTS = st.floats(0, 1000, allow_nan=False)
ZONES = st.lists(
    st.tuples(AMOUNTS, AMOUNTS, st.floats(0, 1), st.booleans(), st.floats(0, 1)), min_size=1, max_size=8
).map(lambda rows: tuple(Zone(f"z{place}", f"r{place % 3}", *row) for place, row in enumerate(rows)))


def four(load: float = 50.0, **west1: float | bool) -> tuple[Zone, ...]:
    """Two regions of two zones, each good for 100 requests a second with headroom."""
    first = {"capacity": 140.0, "load": load, **west1}
    return (
        Zone("west1", "west", **first),  # type: ignore[arg-type]
        Zone("west2", "west", 140.0, load),
        Zone("east1", "east", 140.0, load),
        Zone("east2", "east", 140.0, load),
    )


def test_all_traffic_stays_in_its_zone_while_each_carries_its_own() -> None:
    assert plan(four(), RULES).rows == {zone.name: {zone.name: STEPS} for zone in four()}


def test_a_zone_that_is_out_sends_to_the_nearest_with_room_and_the_rest_to_the_other_region() -> None:
    rows = plan(four(80.0, out=True), RULES).rows
    assert rows["west1"] == {"west2": 250, "east1": 250, "east2": 250, "west1": 250}
    assert rows["west2"] == {"west2": STEPS}


def test_a_nearer_zone_of_another_region_goes_first() -> None:
    near = Rules(distances={("west1", "east1"): 0.010, ("west1", "east2"): 0.080})
    zones = four(60.0, out=True)
    row = plan(zones, near).rows["west1"]
    assert row["west2"] == 666 and row["east1"] == 333 and "east2" not in row


def test_a_slow_zone_keeps_what_it_can_and_a_cold_one_gets_its_own_back_bit_by_bit() -> None:
    assert plan(four(50.0, capacity=70.0), RULES).rows["west1"] == {"west1": STEPS}
    kept = [plan(four(50.0, ramp=ramp), RULES).rows["west1"]["west1"] for ramp in (0.0, 0.1, 0.25, 0.5)]
    assert kept == [0, 200, 500, 1000]


def test_with_few_healthy_anywhere_loads_are_spread_as_if_all_were() -> None:
    zones = tuple(
        Zone(one.name, one.region, 100.0, 50.0, healthy=0.1, out=one.name != "east1") for one in four()
    )
    found = plan(zones, RULES)
    assert found.panic and all(set(row.values()) == {250} for row in found.rows.values())


@settings(max_examples=300, derandomize=True, database=None, deadline=None)
@given(ZONES, st.integers(0, 1000))
def test_rows_are_whole_no_receiver_is_overfull_and_order_does_not_matter(
    zones: tuple[Zone, ...], seed: int
) -> None:
    found = plan(zones, RULES)
    mixed = list(zones)
    random.Random(seed).shuffle(mixed)
    assert plan(tuple(mixed), RULES) == found and plan(tuple(mixed), RULES).version == found.version
    assert all(sum(row.values()) == STEPS and min(row.values()) >= 0 for row in found.rows.values())
    if found.panic:
        return
    for zone in zones:
        foreign = sum(
            other.load * found.rows[other.name].get(zone.name, 0) / STEPS
            for other in zones
            if other is not zone
        )
        room = usable(zone, RULES) - min(zone.load, usable(zone, RULES))
        assert foreign <= room + 1e-6 * (1 + room)
        if zone.load <= usable(zone, RULES):
            assert found.rows[zone.name] == {zone.name: STEPS}  # local first


DAMPED = judge.Rules(out_after=1.0, back_after=5.0, rest=10.0, ramp=20.0, ramp_from=0.1)


def declared_by(
    seen: Callable[[float], judge.Evidence], until: float, majority: bool = True
) -> list[tuple[float, bool]]:
    """What is declared of one zone over time, by a fleet that agrees at once."""
    held, found, now = judge.Judgements(), [], 0.0
    while now < until:
        held, due = judge.step(now, held, {"z": seen(now)}, DAMPED, majority)
        if "z" in due:
            held = judge.declared(now, held, "z", due["z"])
            found.append((round(now, 1), due["z"]))
        now += 0.1
    return found


def test_a_lost_zone_is_out_after_its_dwell_and_back_after_a_longer_one() -> None:
    found = declared_by(lambda now: judge.Evidence(4, 0 if 10 <= now < 30 else 4), 60.0)
    assert [out for _, out in found] == [True, False]
    assert 10.9 <= found[0][0] <= 11.2 and 34.9 <= found[1][0] <= 35.2


def test_a_zone_that_flips_every_two_seconds_changes_the_plan_at_most_twice() -> None:
    found = declared_by(lambda now: judge.Evidence(4, 0 if int(now / 2) % 2 else 4), 60.0)
    assert [out for _, out in found] == [True]  # out once, and never well for long enough to be back


def test_between_the_marks_nothing_changes_either_way() -> None:
    def seen(now: float) -> judge.Evidence:
        return judge.Evidence(10, 0 if 20 <= now < 25 else 6)  # 0.6: over out-below, under back-above

    assert [out for _, out in declared_by(seen, 60.0)] == [True]
    assert declared_by(lambda now: judge.Evidence(10, 10, failing=4), 30.0) == []


def test_without_a_majority_nothing_is_declared_and_no_clock_runs() -> None:
    assert declared_by(lambda now: judge.Evidence(4, 0), 60.0, majority=False) == []


def test_what_comes_back_is_ramped_from_a_little_to_all() -> None:
    held = judge.declared(100.0, judge.Judgements(), "z", False)
    shares = [judge.ramp(100.0 + span, held, "z", DAMPED) for span in (0.0, 10.0, 20.0, 99.0)]
    assert shares == [0.1, 0.55, 1.0, 1.0]
    assert judge.ramp(0.0, judge.Judgements(), "z", DAMPED) == 1.0
    assert judge.ramp(0.0, judge.declared(0.0, held, "z", True), "z", DAMPED) == 0.0
    for bad in ({"out_below": 0.8}, {"ramp_from": 0.0}, {"back_above": 1.5}):
        with pytest.raises(ValueError, match="must be"):
            judge.Rules(**bad)

"""Failover decisions: the plan (nearest zones first, within capacity), and zones declared out and back."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sablewheel.failover import zone_state
from sablewheel.failover.planner import TOTAL_SHARE, PlannerSettings, Zone, plan, usable_capacity

SETTINGS = PlannerSettings(headroom_ratio=0.4, panic_ratio=0.3)
AMOUNTS = st.floats(0, 1000, allow_nan=False)
ZONES = st.lists(
    st.tuples(AMOUNTS, AMOUNTS, st.floats(0, 1), st.booleans(), st.floats(0, 1)), min_size=1, max_size=8
).map(lambda rows: tuple(Zone(f"z{index}", f"r{index % 3}", *row) for index, row in enumerate(rows)))


def four_zones(load: float = 50.0, **west1: float | bool) -> tuple[Zone, ...]:
    """Two regions of two zones, each with 100 requests per second of capacity after headroom."""
    west1_fields = {"capacity": 140.0, "load": load, **west1}
    return (
        Zone("west1", "west", **west1_fields),  # type: ignore[arg-type]
        Zone("west2", "west", 140.0, load),
        Zone("east1", "east", 140.0, load),
        Zone("east2", "east", 140.0, load),
    )


def test_all_traffic_stays_in_its_zone_while_each_zone_has_capacity() -> None:
    assert plan(four_zones(), SETTINGS).rows == {zone.name: {zone.name: TOTAL_SHARE} for zone in four_zones()}


def test_traffic_of_a_zone_that_is_out_goes_to_near_zones_then_to_the_other_region() -> None:
    rows = plan(four_zones(80.0, out=True), SETTINGS).rows
    assert rows["west1"] == {"west2": 250, "east1": 250, "east2": 250, "west1": 250}
    assert rows["west2"] == {"west2": TOTAL_SHARE}


def test_the_nearer_of_two_zones_of_another_region_is_used_first() -> None:
    with_distances = PlannerSettings(distances={("west1", "east1"): 0.010, ("west1", "east2"): 0.080})
    zones = four_zones(60.0, out=True)
    row = plan(zones, with_distances).rows["west1"]
    assert row["west2"] == 666 and row["east1"] == 333 and "east2" not in row


def test_a_slow_zone_keeps_the_load_that_it_can_serve_and_a_cold_zone_regains_its_load_gradually() -> None:
    assert plan(four_zones(50.0, capacity=70.0), SETTINGS).rows["west1"] == {"west1": TOTAL_SHARE}
    local_shares = [
        plan(four_zones(50.0, ramp_ratio=ramp_ratio), SETTINGS).rows["west1"]["west1"]
        for ramp_ratio in (0.0, 0.1, 0.25, 0.5)
    ]
    assert local_shares == [0, 200, 500, 1000]


def test_with_few_healthy_servers_load_is_spread_as_if_all_were_healthy() -> None:
    zones = tuple(
        Zone(zone.name, zone.region, 100.0, 50.0, healthy_ratio=0.1, out=zone.name != "east1")
        for zone in four_zones()
    )
    result = plan(zones, SETTINGS)
    assert result.panic and all(set(row.values()) == {250} for row in result.rows.values())


@settings(max_examples=300, derandomize=True, database=None, deadline=None)
@given(ZONES, st.integers(0, 1000))
def test_rows_are_complete_no_receiver_is_overloaded_and_order_does_not_matter(
    zones: tuple[Zone, ...], seed: int
) -> None:
    result = plan(zones, SETTINGS)
    shuffled = list(zones)
    random.Random(seed).shuffle(shuffled)
    assert (
        plan(tuple(shuffled), SETTINGS) == result
        and plan(tuple(shuffled), SETTINGS).version == result.version
    )
    assert all(sum(row.values()) == TOTAL_SHARE and min(row.values()) >= 0 for row in result.rows.values())
    if result.panic:
        return
    for zone in zones:
        overflow = sum(
            other.load * result.rows[other.name].get(zone.name, 0) / TOTAL_SHARE
            for other in zones
            if other is not zone
        )
        free_capacity = usable_capacity(zone, SETTINGS) - min(zone.load, usable_capacity(zone, SETTINGS))
        assert overflow <= free_capacity + 1e-6 * (1 + free_capacity)
        if zone.load <= usable_capacity(zone, SETTINGS):
            assert result.rows[zone.name] == {zone.name: TOTAL_SHARE}  # local traffic first


DAMPED = zone_state.DampingSettings(
    out_dwell_s=1.0, back_dwell_s=5.0, min_change_interval_s=10.0, ramp_s=20.0, ramp_start_ratio=0.1
)


def declarations(
    evidence_at: Callable[[float], zone_state.Evidence], until_s: float, majority: bool = True
) -> list[tuple[float, bool]]:
    """The declarations of one zone over time, by a fleet that agrees at once: time and whether it is out."""
    states, declared, now = zone_state.ZoneStates(), [], 0.0
    while now < until_s:
        states, changes = zone_state.step(now, states, {"z": evidence_at(now)}, DAMPED, majority)
        if "z" in changes:
            states = zone_state.apply_declaration(now, states, "z", changes["z"])
            declared.append((round(now, 1), changes["z"]))
        now += 0.1
    return declared


def test_a_lost_zone_is_out_after_the_dwell_time_and_back_after_a_longer_one() -> None:
    declared = declarations(lambda now: zone_state.Evidence(4, 0 if 10 <= now < 30 else 4), 60.0)
    assert [out for _, out in declared] == [True, False]
    assert 10.9 <= declared[0][0] <= 11.2 and 34.9 <= declared[1][0] <= 35.2


def test_a_zone_that_alternates_every_two_seconds_changes_the_plan_at_most_twice() -> None:
    declared = declarations(lambda now: zone_state.Evidence(4, 0 if int(now / 2) % 2 else 4), 60.0)
    assert [out for _, out in declared] == [True]  # out once, and never healthy for long enough to be back


def test_between_the_thresholds_the_state_does_not_change() -> None:
    def evidence_at(now: float) -> zone_state.Evidence:
        return zone_state.Evidence(
            10, 0 if 20 <= now < 25 else 6
        )  # ratio 0.6: above out_below, below back_above

    assert [out for _, out in declarations(evidence_at, 60.0)] == [True]
    assert declarations(lambda now: zone_state.Evidence(10, 10, failing=4), 30.0) == []


def test_without_a_majority_nothing_is_declared_and_no_dwell_time_runs() -> None:
    assert declarations(lambda now: zone_state.Evidence(4, 0), 60.0, majority=False) == []


def test_the_capacity_of_a_returned_zone_is_ramped_up_to_all_of_it() -> None:
    states = zone_state.apply_declaration(100.0, zone_state.ZoneStates(), "z", False)
    shares = [
        zone_state.capacity_ratio(100.0 + span_s, states, "z", DAMPED) for span_s in (0.0, 10.0, 20.0, 99.0)
    ]
    assert shares == [0.1, 0.55, 1.0, 1.0]
    assert zone_state.capacity_ratio(0.0, zone_state.ZoneStates(), "z", DAMPED) == 1.0
    assert (
        zone_state.capacity_ratio(0.0, zone_state.apply_declaration(0.0, states, "z", True), "z", DAMPED)
        == 0.0
    )
    for invalid in ({"out_below": 0.8}, {"ramp_start_ratio": 0.0}, {"back_above": 1.5}):
        with pytest.raises(ValueError, match="must be"):
            zone_state.DampingSettings(**invalid)

"""Tests of the replica: merges, placement, claims in all orders of events, catching up and bounds."""

from __future__ import annotations

import random
from collections import Counter
from itertools import product

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sablewheel.experiments import replication_model
from sablewheel.experiments.replication_scenario import (
    REPLICA_TYPES,
    AsyncBackup,
    Scenario,
    run_random_faults,
)
from sablewheel.program.feature_settings.replication import ENTRY_OVERHEAD_KB
from sablewheel.replication.anti_entropy import MAX_VIEWS_SENT
from sablewheel.replication.codec import encode
from sablewheel.replication.entries import (
    EMPTY,
    AnswerStatus,
    Change,
    ChangeKind,
    Entry,
    Outcome,
    OutcomeStatus,
    State,
    apply_change,
    merge,
)
from sablewheel.replication.messages import (
    Accept,
    Answer,
    Claim,
    CompareRanges,
    MessageReceived,
    RangeStates,
    RefusalReason,
    Refuse,
    Send,
    ViewInstalled,
)
from sablewheel.replication.placement import Placement, Site, slot_of
from sablewheel.replication.plan import MAX_OUTCOMES, Settings
from sablewheel.replication.range_transfer import Ranges
from sablewheel.replication.replica import Replica

OWNERS = [("a", 1, 1), ("b", 1, 1), ("b", 2, 1)]
owners = st.sampled_from(OWNERS)
outcomes = st.builds(
    Outcome,
    st.integers(1, 2),
    owners,
    st.sampled_from([OutcomeStatus.SUCCEEDED, OutcomeStatus.FAILED]),
    st.sampled_from([b"x", b"y"]),
)
entries = st.builds(
    Entry,
    ballot=st.tuples(st.integers(0, 2), st.integers(0, 2), st.sampled_from("ab"), st.just(1)),
    version=st.integers(0, 2),
    owner=owners,
    released=st.booleans(),
    outcomes=st.lists(outcomes, max_size=2, unique=True).map(lambda chosen: tuple(sorted(chosen))),
)
MAY_HAVE_RUN = (State.CLAIMED, State.COMPLETED)


@given(entries, entries, entries)
def test_merge_is_commutative_associative_and_idempotent(a: Entry, b: Entry, c: Entry) -> None:
    assert merge(a, b) == merge(b, a)
    assert merge(a, merge(b, c)) == merge(merge(a, b), c)
    assert merge(a, a) == a and merge(a, EMPTY).outcomes == a.outcomes


@given(st.permutations(range(4)), st.lists(entries, min_size=4, max_size=4))
def test_repeats_are_answered_with_the_first_outcome_however_many_conflict(
    order: list[int], copies: list[Entry]
) -> None:
    """Only two outcomes are retained: none of them displaces the one of the lowest claim, which answers."""
    merged = EMPTY
    for index in order:
        merged = merge(merged, copies[index])
    all_outcomes = {outcome for copy in copies for outcome in copy.outcomes}
    assert merged.outcomes[:1] == tuple(sorted(all_outcomes)[:1])


@given(entries, entries)
def test_merge_makes_a_claim_unclaimed_only_by_its_owners_release(a: Entry, b: Entry) -> None:
    merged = merge(a, b)
    for first, second in ((a, b), (b, a)):
        if first.state is State.COMPLETED:
            assert merged.state is State.COMPLETED
        if first.state is State.CLAIMED and merged.state not in MAY_HAVE_RUN:
            assert second.state is State.RELEASED and second.ballot >= first.ballot
    assert len(merged.outcomes) <= 2 and set(merged.outcomes) <= {*a.outcomes, *b.outcomes}


def entry(state: State, ballot_round: int, owner: int = 0) -> Entry:
    """Return an entry in a state, with a ballot of the given round."""
    if state is State.UNCLAIMED:
        return EMPTY
    outcomes = (Outcome(1, OWNERS[owner], OutcomeStatus.SUCCEEDED, b"x"),) if state is State.COMPLETED else ()
    return Entry(
        (1, ballot_round, "a", 1), 1, OWNERS[owner], released=state is State.RELEASED, outcomes=outcomes
    )


# The table of docs/replication-format.md: merged states of pairs; the second entry has the higher ballot.
MERGED_STATES = {
    (State.UNCLAIMED, State.UNCLAIMED): State.UNCLAIMED,
    (State.UNCLAIMED, State.CLAIMED): State.CLAIMED,
    (State.UNCLAIMED, State.RELEASED): State.RELEASED,
    (State.UNCLAIMED, State.COMPLETED): State.COMPLETED,
    (State.CLAIMED, State.UNCLAIMED): State.CLAIMED,
    (State.CLAIMED, State.CLAIMED): State.CLAIMED,
    (State.CLAIMED, State.RELEASED): State.RELEASED,
    (State.CLAIMED, State.COMPLETED): State.COMPLETED,
    (State.RELEASED, State.UNCLAIMED): State.RELEASED,
    (State.RELEASED, State.CLAIMED): State.CLAIMED,
    (State.RELEASED, State.RELEASED): State.RELEASED,
    (State.RELEASED, State.COMPLETED): State.COMPLETED,
    (State.COMPLETED, State.UNCLAIMED): State.COMPLETED,
    (State.COMPLETED, State.CLAIMED): State.COMPLETED,
    (State.COMPLETED, State.RELEASED): State.COMPLETED,
    (State.COMPLETED, State.COMPLETED): State.COMPLETED,
}


@pytest.mark.parametrize(("lower", "higher"), list(product(State, State)))
def test_merge_of_each_pair_of_states(lower: State, higher: State) -> None:
    for lower_owner, higher_owner in product(range(2), range(2)):
        assert (
            merge(entry(lower, 1, lower_owner), entry(higher, 2, higher_owner)).state
            is MERGED_STATES[lower, higher]
        )


def test_a_claim_is_never_taken_over() -> None:
    claimed = entry(State.CLAIMED, 1, 0)
    assert apply_change(Change(ChangeKind.CLAIM, OWNERS[1]), claimed) == (claimed, AnswerStatus.RUNNING)
    assert apply_change(Change(ChangeKind.RELEASE, OWNERS[1]), claimed) == (claimed, AnswerStatus.RELEASED)
    assert apply_change(Change(ChangeKind.CLAIM, OWNERS[0]), claimed)[1] is AnswerStatus.WON
    released, _ = apply_change(Change(ChangeKind.RELEASE, OWNERS[0]), claimed)
    claimed_again, status = apply_change(Change(ChangeKind.CLAIM, OWNERS[1]), released)
    assert status is AnswerStatus.WON and claimed_again.owner == OWNERS[1] and claimed_again.version == 2
    completed = entry(State.COMPLETED, 1, 0)
    assert all(
        apply_change(Change(kind, owner), completed)[0] == completed
        for kind in (ChangeKind.CLAIM, ChangeKind.RELEASE)
        for owner in OWNERS
    )


# -- placement


def sites(count: int, zones: int = 1, weight: float = 1.0) -> tuple[Site, ...]:
    return tuple(Site(f"m{n:03}", 1, f"z{n % zones}", weight) for n in range(count))


def test_replicas_are_in_different_zones_as_far_as_possible() -> None:
    for zones in (1, 2, 3, 5):
        placement = Placement(sites(15, zones), 3)
        zone_of = {site.name: site.zone for site in placement.sites}
        for slot in range(0, 1024, 7):
            names = placement.replica_names(slot)
            assert len(set(names)) == 3 and len({zone_of[name] for name in names}) == min(zones, 3)
    assert len(Placement(sites(2), 3).replicas(1)) == 2


@pytest.mark.parametrize("zones", [1, 3])
def test_adding_a_member_moves_no_more_than_its_share(zones: int) -> None:
    before, after = Placement(sites(12, zones), 3), Placement(sites(13, zones), 3)
    moved = sum(len(set(after.replica_names(slot)) - set(before.replica_names(slot))) for slot in range(1024))
    share = 3 * 1024 / 13
    assert moved == sum("m012" in after.replica_names(slot) for slot in range(1024)) or zones > 1
    assert 0.5 * share < moved < 1.6 * share


def test_a_member_of_double_weight_has_about_double_the_ranges() -> None:
    members = (*sites(9), Site("big", 1, "z0", 2.0))
    ranges = Counter(name for slot in range(1024) for name in Placement(members, 3).replica_names(slot))
    mean_of_others = sum(ranges[site.name] for site in members[:-1]) / 9
    assert 1.6 < ranges["big"] / mean_of_others < 2.2


# -- claims and outcomes under faults


def test_a_claim_is_won_once_in_every_order_of_events() -> None:
    result = replication_model.run(1, True)
    assert result.holds, result.table()


@pytest.mark.parametrize("variant", replication_model.FAULTY_VARIANTS)
def test_the_model_finds_each_faulty_variant(variant: str) -> None:
    result = replication_model.run(1, True, variant)
    traces = [name for name in result.figures if name.startswith("trace")]
    assert not result.holds and traces


@pytest.mark.parametrize("seed", [*range(24), 1706])  # 1706: slow links, nearly all requests rejected
def test_random_faults_break_no_guarantee(seed: int) -> None:
    scenario = run_random_faults(seed)
    assert not scenario.violation(), scenario.violation()
    assert sum(scenario.run_counts.values()) > 1
    for link in scenario.fleet.links.values():
        link.drop, link.double, link.most = 0.0, 0.0, 0.003
    # Ranges that lost two replicas at the same time become ready only after the longest lifetime.
    scenario.fleet.run(scenario.settings.max_lifetime_s + 1.0)
    later_requests = [
        scenario.submit(name, f"after {name}") for name in scenario.members if name in scenario.fleet.cores
    ]
    scenario.fleet.run(1.0)
    assert {request.outcome for request in later_requests} == {"completed"} and not scenario.violation()


def test_a_removed_member_decides_under_no_view_before_that_of_an_answered_request() -> None:
    """The member is removed in view 2, and answers a range request of view 4 before it gets views 3 and 4."""
    replica = Replica("a", 1, Settings(slots=8, waits_after_cold_start=False), random.Random(1), 0.0)
    members = tuple(Site(name, 1) for name in "abc")
    replica.step(0.0, ViewInstalled(1, members))
    replica.step(0.1, ViewInstalled(2, members[1:]))
    answers = [
        effect.message
        for effect in replica.step(0.2, MessageReceived("b", CompareRanges(4, ())))
        if isinstance(effect, Send)
    ]
    assert answers == [RangeStates(4, 1, ())] and replica.epoch == 0
    replica.step(0.3, ViewInstalled(3, (Site("a", 2), *members[1:])))
    assert replica.epoch == 0, "it promised to decide under no view before epoch 4"
    replica.step(0.3, ViewInstalled(4, (Site("a", 2), *members[1:])))
    assert replica.epoch == 4 and replica.ranges.unready == set(range(8))


@pytest.mark.parametrize("replica_type", [AsyncBackup, REPLICA_TYPES["one-copy"]])
def test_the_same_faults_break_weaker_variants(replica_type: type[Replica]) -> None:
    assert any(run_random_faults(seed, replica_type).violation() for seed in range(20))


def test_a_view_that_no_member_has_is_not_waited_for() -> None:
    """No member has view 10, and there are more views before it than fit into one answer."""
    members = Ranges("a", 1, 3, 1), Ranges("b", 1, 3, 1)
    for epoch in [*range(1, 10), 11]:
        for ranges in members:
            ranges.install_view(ViewInstalled(epoch, (Site("a", 1), Site("b", 1))), 0.0)
    requester, responder = members
    for _ in range(3):
        before = requester.request_views_before("b")
        views = responder.views_before(before, MAX_VIEWS_SENT)
        requester.add_past_views("b", before, views, len(views) >= MAX_VIEWS_SENT)
    assert requester.history_received == {"b"}


# -- bounds, and messages from other views


def single_member(now: float = 0.0, **settings: int) -> Replica:
    replica = Replica(
        "a", 1, Settings(slots=8, waits_after_cold_start=False, **settings), random.Random(1), now
    )
    replica.step(now, ViewInstalled(1, (Site("a", 1),)))
    replica.step(now + 0.2, ViewInstalled(2, (Site("a", 1),)))
    return replica


def test_a_full_replica_refuses_new_keys() -> None:
    replica = single_member(max_entries=2)
    effects_of_each = [replica.step(0.3, Claim(ref, b"%d" % ref, b"g", 5.0, b"")) for ref in range(1, 5)]
    statuses = [
        effect.status for effects in effects_of_each for effect in effects if isinstance(effect, Answer)
    ]
    refuse = Refuse(2, 0, RefusalReason.NOT_READY, EMPTY.ballot, EMPTY.ballot)
    late_statuses = [
        effect.status
        for effect in replica.step(1.0, MessageReceived("a", refuse))
        if isinstance(effect, Answer)
    ]
    assert statuses + late_statuses == ["won", "won", "full", "full"]


def test_slots_out_of_bounds_and_messages_of_non_members_are_counted() -> None:
    replica = single_member()
    accept = Accept(2, 1, ("labels", b"x"), 99, entry(State.CLAIMED, 1), 5.0)
    replica.step(1.0, MessageReceived("a", accept))
    replica.step(1.0, MessageReceived("stranger", accept))
    assert replica.counts["slots_bad"] == 1 and replica.counts["outside"] == 1 and replica.store.entries == 0


def test_a_message_of_an_older_epoch_is_refused() -> None:
    replica = single_member()
    effects = replica.step(
        1.0, MessageReceived("a", Accept(1, 7, ("labels", b"x"), 0, entry(State.CLAIMED, 1), 5.0))
    )
    # The refusal is sent to the member itself, so it is handled in the same step and is no effect.
    assert not [effect for effect in effects if isinstance(effect, Send)]
    assert replica.counts["refused_epoch"] == 1 and replica.store.entries == 0


def test_an_idempotency_key_is_removed_after_its_window() -> None:
    replica = single_member()
    replica.step(0.3, Claim(1, b"x", b"g", 2.0, b""))
    assert replica.store.entries == 1
    replica.step(3.0, Claim(2, b"y", b"g", 2.0, b""))
    assert replica.store.get(slot_of(b"g", 8), ("labels", b"x")) is None


def test_a_second_change_of_the_same_proposer_takes_one_round_trip() -> None:
    scenario = Scenario({name: name for name in "abc"})
    scenario.form_fleet(*"abc")
    first_ref = scenario.write("a", "sessions", "s", 0, b"one")
    assert scenario.answer(first_ref).status == "won"
    prepares = scenario.replica("a").counts["out_prepare"]
    second_ref = scenario.write("a", "sessions", "s", 1, b"two")
    assert (
        scenario.answer(second_ref).status == "won"
        and scenario.replica("a").counts["out_prepare"] == prepares
    )


def test_the_scenario_has_each_faulty_variant() -> None:
    assert set(REPLICA_TYPES) == {"", "async-backup", *replication_model.FAULTY_VARIANTS}


def test_the_largest_entry_fits_into_the_frames_that_its_settings_allow() -> None:
    """A frame over `frame-most-kb` is refused, so an entry in it would never reach a replica."""
    result_kb = 500
    results = [
        Outcome(version, (name, 1 << 60, 1 << 60), OutcomeStatus.SUCCEEDED, bytes(result_kb << 10))
        for version, name in ((1, "a" * 200), (2, "b" * 200))
    ]
    key, ballot = ("x" * 200, bytes(1024)), (1 << 60, 1 << 60, "c" * 200, 1 << 60)
    largest = Entry(ballot, 1 << 60, results[0].owner, b"", bytes(1024), False, tuple(results))
    message = Accept(1 << 60, 1 << 60, key, 1, largest, 6.0, bytes(1024), 1 << 60)
    frame_kb = (len(encode(message)) >> 10) + 1
    assert frame_kb <= MAX_OUTCOMES * result_kb + ENTRY_OVERHEAD_KB

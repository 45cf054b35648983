"""Session affinity: keys, placement, the budget, ownership, and all handover orders up to a depth."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sablewheel.experiments.affinity_model import STARTS, explore
from sablewheel.experiments.affinity_replicas import ReplicatedSessionCluster
from sablewheel.experiments.affinity_storm import run_storm
from sablewheel.membership.view import Member, View
from sablewheel.overload.interface import Idempotency
from sablewheel.program.feature_file import FaultyFeaturesError, check
from sablewheel.session_affinity import codec
from sablewheel.session_affinity.binding import Binding, BindingState, MigrationCause, newer
from sablewheel.session_affinity.budget import MIN_BURST_TOKENS, MigrationBudget
from sablewheel.session_affinity.context import SessionContext
from sablewheel.session_affinity.effects import (
    DecisionReason,
    ForwardToOwner,
    ReadBinding,
    RejectRequest,
    SendMessage,
    ServeLocally,
    WriteBinding,
)
from sablewheel.session_affinity.events import (
    ClaimRefused,
    DrainStarted,
    LoadsReported,
    MessageReceived,
    OwnerUnreachable,
    PolicyActivated,
    RegisterAnswered,
    RegisterVerdict,
    RequestArrived,
    RequestFinished,
    RequestReturned,
    TimerFired,
    ViewChanged,
)
from sablewheel.session_affinity.keys import KEY_LENGTH, MAX_FIELD_BYTES, SessionKeyFields, session_key
from sablewheel.session_affinity.messages import BindingNotice, OfferReply, OwnershipOffer, TakeOwnership
from sablewheel.session_affinity.migration_queue import MigrationQueue
from sablewheel.session_affinity.ownership import OwnershipPhase
from sablewheel.session_affinity.placement import (
    ServerLoad,
    load_bounds,
    rank_for_migration,
    rank_for_new_session,
)
from sablewheel.session_affinity.plan import AffinitySettings
from sablewheel.session_affinity.sessions import Sessions

VIEW = View(1, tuple(Member(name, name, incarnation=1) for name in ("a", "b", "c")))
FENCING_NUMBER = 1 << 20 | 1  # the first fencing number of epoch 1
RULES = [("customer", "subject"), ("customer", "router"), ("customer", "subject", "router")]


def make_sessions(node_name: str = "a", **setting_values: Any) -> Sessions:
    sessions = Sessions(node_name, 1, AffinitySettings(**setting_values), 0.0)
    sessions.handle_event(0.0, ViewChanged(VIEW))
    sessions.handle_event(0.0, PolicyActivated(1))
    return sessions


def make_owner(
    key: str = "k",
    idempotency: Idempotency = Idempotency.IDEMPOTENT,
    now: float = 0.0,
    **setting_values: Any,
) -> Sessions:
    """Return the sessions of a server that owns `key` and has renewed its binding with FENCING_NUMBER."""
    sessions = make_sessions(**setting_values)
    acquire(sessions, key, idempotency, now)
    return sessions


def acquire(
    sessions: Sessions,
    key: str,
    idempotency: Idempotency = Idempotency.IDEMPOTENT,
    now: float = 0.0,
    ref: int = 1,
) -> None:
    (read,) = [
        effect
        for effect in sessions.handle_event(now, RequestArrived(ref, key, idempotency))
        if isinstance(effect, ReadBinding)
    ]
    effects = sessions.handle_event(
        now, RegisterAnswered(read.ref, RegisterVerdict.WON, Binding(key, 5, sessions.node_name, 1, 1))
    )
    (write,) = [effect for effect in effects if isinstance(effect, WriteBinding)]
    sessions.handle_event(now, RegisterAnswered(write.ref, RegisterVerdict.WON, write.binding))
    assert sessions.owned[key].binding == Binding(key, FENCING_NUMBER, sessions.node_name, 1, 1)


@pytest.mark.parametrize("rule", RULES)
def test_the_session_of_a_keyed_request_does_not_depend_on_its_router(rule: tuple[str, ...]) -> None:
    keys = {session_key(rule, SessionKeyFields("c1", "s1", router, "key1")) for router in ("r1", "r2")}
    assert len(keys) == 1 and None not in keys


def test_keys_of_different_fields_differ_and_have_the_same_length() -> None:
    rule = ("customer", "subject")
    pairs = [("a", "bc"), ("ab", "c"), ("a|subject:1:b", "c")]
    keys = {session_key(rule, SessionKeyFields(tenant, subject)) for tenant, subject in pairs}
    assert len(keys) == len(pairs) and all(len(key or "") == KEY_LENGTH for key in keys)
    assert (
        session_key(rule, SessionKeyFields("c1")) is None
        and session_key(rule, SessionKeyFields("c", "s" * (MAX_FIELD_BYTES + 1))) is None
    )


@given(st.lists(st.integers(0, 40), min_size=2, max_size=8), st.floats(1.05, 3.0))
@settings(derandomize=True, max_examples=60, deadline=None)
def test_some_server_is_always_below_its_load_bound(session_counts: list[int], factor: float) -> None:
    loads = {f"m{index}": ServerLoad(count, 0.1 + index / 10) for index, count in enumerate(session_counts)}
    bounds_by_server = load_bounds(loads, loads, factor, 1)
    assert rank_for_new_session("k", loads, bounds_by_server) and rank_for_migration(
        "k", loads, bounds_by_server
    )
    assert all(
        loads[name].sessions < bounds_by_server[name]
        for name in rank_for_new_session("k", loads, bounds_by_server)
    )


def test_load_bounds_follow_warmth_and_migrations_prefer_the_least_loaded_server() -> None:
    loads = {"cold": ServerLoad(0, 0.1), "warm": ServerLoad(100), "idle": ServerLoad(20)}
    bounds_by_server = load_bounds(loads, loads, 1.25, 4)
    assert bounds_by_server["cold"] < bounds_by_server["warm"] / 5
    first_ranked = Counter(
        rank_for_migration(f"k{index}", loads, bounds_by_server)[0] for index in range(400)
    )
    assert first_ranked["idle"] > 3 * first_ranked["cold"] and first_ranked["warm"] == 0


def test_a_removed_server_migrates_only_its_own_keys() -> None:
    loads = {f"m{index}": ServerLoad() for index in range(8)}
    bounds_by_server = dict.fromkeys(loads, 1000)
    before = {key: rank_for_new_session(key, loads, bounds_by_server)[0] for key in map(str, range(300))}
    del loads["m3"], bounds_by_server["m3"]
    after = {key: rank_for_new_session(key, loads, bounds_by_server)[0] for key in before}
    assert all(before[key] == "m3" for key in before if before[key] != after[key])


@given(st.floats(0.1, 100), st.lists(st.floats(0, 2), max_size=60))
@settings(derandomize=True, max_examples=60, deadline=None)
def test_no_span_has_more_migrations_than_the_budget_allows(rate: float, intervals_s: list[float]) -> None:
    budget, now, token_count = MigrationBudget(rate, 0.0), 0.0, 0
    for interval_s in intervals_s:
        now += interval_s
        while budget.try_take(now):
            token_count += 1
        assert token_count <= rate * now + max(MIN_BURST_TOKENS, rate) + 1e-6


def test_a_migration_not_started_in_a_drain_refunds_its_token_to_the_drain_budget() -> None:
    """Failed attempts refunded tokens to the fleet's budget: the drain slowed, later migrations sped up."""
    settings = AffinitySettings(migrations_per_s=2.0)
    queue = MigrationQueue(SessionContext("a", 1, settings), 0.0)
    queue.share_budget(0.0, 2)
    assert queue.try_take(0.0)  # the fleet's budget is exhausted
    queue.start_drain(0.0, 1, 1.0)
    for _ in range(5):
        assert queue.try_take(0.0)
        queue.refund()
    assert queue.try_take(0.0) and not queue.try_take(0.0)
    queue._drain_budget = None
    assert not queue.try_take(0.0)


@pytest.mark.parametrize("size", [1, 3, 10, 100])
def test_servers_together_take_over_no_more_sessions_than_the_fleets_budget(size: int) -> None:
    """Each server used the whole fleet's budget for sessions of removed owners with an unknown load."""
    rate, duration_s, step_count = 5.0, 10.0, 200
    queues = [
        MigrationQueue(SessionContext(f"s{index}", 1, AffinitySettings(migrations_per_s=rate)), 0.0)
        for index in range(size)
    ]
    takeover_count = 0
    for queue in queues:
        queue.share_budget(0.0, size)
    for step in range(step_count):
        now = duration_s * step / step_count
        for index, queue in enumerate(queues):
            stored = Binding(f"k{index}-{step}", 5, "removed", 1, 1)
            takeover_count += queue.takeover_wait_s(now, stored.key, stored) <= 0
    # A server's bucket holds at least one token, or its share of the rate over one second.
    burst = size * max(MIN_BURST_TOKENS, rate / size)
    assert 0.9 * rate * duration_s <= takeover_count <= rate * duration_s + burst


def test_a_rate_of_zero_allows_no_migration() -> None:
    assert not MigrationBudget(0.0, 0.0).try_take(1e9)


def test_the_binding_with_the_higher_fencing_number_wins() -> None:
    old, new = Binding("k", 5, "a", 1, 1), Binding("k", 6, "b", 1, 1)
    assert newer(old, new) is new and newer(new, old) is new and newer(None, old) is old
    assert (
        old.handing_over_to("b").fencing_number == 6
        and old.handing_over_to("b").owned_by("b", 1, 1).state is BindingState.OWNED
    )


def test_a_request_is_forwarded_to_its_owner_and_never_circulates() -> None:
    sessions, owners_binding = make_sessions("b"), Binding("k", 5, "a", 1, 1)
    sessions.handle_event(0.0, MessageReceived("a", OfferReply("k", 0, False)))  # no offer is pending
    (read,) = sessions.handle_event(0.0, RequestArrived(1, "k", Idempotency.KEYED))
    assert isinstance(read, ReadBinding)
    assert sessions.handle_event(0.1, RegisterAnswered(read.ref, RegisterVerdict.WON, owners_binding)) == [
        ForwardToOwner(1, "a")
    ]
    assert sessions.handle_event(0.2, RequestArrived(2, "k", Idempotency.IDEMPOTENT)) == [
        ForwardToOwner(2, "a")
    ]
    returned = RequestArrived(3, "k", Idempotency.KEYED, was_returned=True)
    (reject,) = sessions.handle_event(0.3, RequestReturned(returned, owners_binding))
    assert isinstance(reject, RejectRequest) and reject.reason is DecisionReason.STALE


@pytest.mark.parametrize("idempotency", Idempotency)
def test_without_its_owner_only_an_idempotent_request_is_served(idempotency: Idempotency) -> None:
    sessions = make_sessions("b")
    (effect,) = sessions.handle_event(0.0, OwnerUnreachable(RequestArrived(1, "k", idempotency), "a"))
    assert (
        isinstance(effect, ServeLocally if idempotency is Idempotency.IDEMPOTENT else RejectRequest)
        and effect.reason is DecisionReason.UNREACHED
    )
    assert "k" not in sessions.owned


def test_without_a_majority_keyed_requests_are_rejected_and_none_is_lost() -> None:
    sessions = make_sessions()
    (read,) = sessions.handle_event(0.0, RequestArrived(1, "k", Idempotency.KEYED))
    sessions.handle_event(0.0, RequestArrived(2, "k", Idempotency.IDEMPOTENT))
    assert isinstance(read, ReadBinding)
    effects = sessions.handle_event(0.1, RegisterAnswered(read.ref, RegisterVerdict.UNREACHABLE))
    assert [type(effect) for effect in effects] == [RejectRequest, ServeLocally] and not sessions.lookups


def test_a_new_version_migrates_nothing_and_new_sessions_begin_under_it() -> None:
    sessions = make_owner(keep_versions=2)
    assert sessions.handle_event(1.0, PolicyActivated(2)) == []
    (serve,) = sessions.handle_event(1.0, RequestArrived(2, "k", Idempotency.IDEMPOTENT))
    assert isinstance(serve, ServeLocally) and serve.policy_version == 1
    effects = sessions.handle_event(2.0, PolicyActivated(3))  # version 1 is no longer retained
    assert [effect.binding.policy_version for effect in effects if isinstance(effect, WriteBinding)] == [3]


def test_retired_and_mandatory_versions_change_without_a_migration() -> None:
    for event, cause in (
        (TimerFired(), MigrationCause.RETIRED),
        (PolicyActivated(3, mandatory=True), MigrationCause.MANDATORY),
    ):
        sessions = make_owner(retire_after_s=50.0)
        sessions.handle_event(1.0, PolicyActivated(2))
        (write,) = sessions.handle_event(60.0, event)
        assert isinstance(write, WriteBinding) and (write.expected_fencing_number, write.binding.owner) == (
            FENCING_NUMBER,
            "a",
        )
        sessions.handle_event(60.1, RegisterAnswered(write.ref, RegisterVerdict.WON, write.binding))
        assert (
            sessions.counts[f"brought_{cause.value}"] == 1
            and sessions.owned["k"].phase is OwnershipPhase.SERVING
        )


def test_an_owner_that_can_no_longer_run_a_flow_hands_over_after_its_keyed_runs() -> None:
    sessions = make_owner(idempotency=Idempotency.KEYED)
    sessions.handle_event(0.0, LoadsReported({"b": ServerLoad(5), "c": ServerLoad(5)}))
    (write,) = sessions.handle_event(1.0, PolicyActivated(1, {"": frozenset({"b"})}))
    assert isinstance(write, WriteBinding) and (write.binding.state, write.binding.successor) == (
        BindingState.HANDING_OVER,
        "b",
    )
    assert (
        sessions.handle_event(1.1, RegisterAnswered(write.ref, RegisterVerdict.WON, write.binding)) == []
    )  # one run is still open
    assert (
        sessions.handle_event(1.1, RequestArrived(2, "k", Idempotency.KEYED)) == []
    )  # the request waits for the successor
    (take,) = sessions.handle_event(1.2, RequestFinished(1, "k"))
    assert isinstance(take, SendMessage) and isinstance(take.message, TakeOwnership) and take.to == "b"
    assert not sessions.may_begin(1.2, "k", FENCING_NUMBER, 1.2)
    new_binding = Binding("k", FENCING_NUMBER + 2, "b", 1, 1)
    assert (
        sessions.handle_event(1.3, MessageReceived("b", BindingNotice(new_binding)))
        == [ForwardToOwner(2, "b")]
        and "k" not in sessions.owned
    )


def test_a_claim_that_was_won_before_a_pause_does_not_begin_after_it() -> None:
    sessions = make_owner(idempotency=Idempotency.KEYED, claim_timeout_s=0.5)
    assert sessions.may_begin(0.4, "k", FENCING_NUMBER, 0.0) and not sessions.may_begin(
        0.5, "k", FENCING_NUMBER, 0.0
    )
    assert not sessions.may_begin(0.4, "k", FENCING_NUMBER - 1, 0.0) and not sessions.may_begin(
        0.4, "other", FENCING_NUMBER, 0.0
    )


def test_an_expired_binding_is_read_again_before_a_keyed_request_runs() -> None:
    """An owner without a reachable majority cannot renew its binding. After the binding has expired, another
    server may own a new session with this key, and no stored number would refuse a claim of the old owner."""
    sessions = make_owner(idempotency=Idempotency.KEYED, idle_timeout_s=3.0)
    assert [
        type(effect) for effect in sessions.handle_event(5.9, RequestArrived(2, "k", Idempotency.KEYED))
    ] == [
        ServeLocally,
        WriteBinding,
    ]
    assert sessions.may_begin(5.9, "k", FENCING_NUMBER, 5.9) and not sessions.may_begin(
        6.0, "k", FENCING_NUMBER, 5.9
    )
    assert [
        type(effect) for effect in sessions.handle_event(6.1, RequestArrived(3, "k", Idempotency.KEYED))
    ] == [ReadBinding]
    assert "k" not in sessions.owned


def test_a_new_owners_fencing_number_is_above_all_of_earlier_epochs() -> None:
    """Two replicas failed with number 7 and an older copy was left: the next owner's number must exceed 7."""
    sessions = make_sessions("b")
    view_without_owner = View(9, tuple(member for member in VIEW.members if member.name != "a"))
    sessions.handle_event(0.0, ViewChanged(view_without_owner))
    (read,) = sessions.handle_event(0.0, RequestArrived(1, "k", Idempotency.KEYED, forwarded_by="c"))
    assert isinstance(read, ReadBinding)
    sessions.handle_event(0.1, RegisterAnswered(read.ref, RegisterVerdict.WON, Binding("k", 5, "a", 1, 1)))
    (write,) = [
        effect
        for at in (0.1, 1.0)
        for effect in sessions.handle_event(at, TimerFired())
        if isinstance(effect, WriteBinding)
    ]
    assert (write.expected_fencing_number, write.binding.fencing_number, write.binding.owner) == (
        5,
        9 << 20 | 1,
        "b",
    )


def test_a_refused_claim_makes_its_server_read_the_register_again() -> None:
    sessions = make_owner(idempotency=Idempotency.KEYED)
    (read,) = sessions.handle_event(
        1.0, ClaimRefused(RequestArrived(1, "k", Idempotency.KEYED), FENCING_NUMBER + 1)
    )
    assert isinstance(read, ReadBinding) and "k" not in sessions.owned
    owners_binding = Binding("k", FENCING_NUMBER + 1, "b", 1, 1)
    assert sessions.handle_event(1.1, RegisterAnswered(read.ref, RegisterVerdict.WON, owners_binding)) == [
        ForwardToOwner(1, "b")
    ]


def test_idle_idempotent_sessions_are_evicted_first_and_open_ones_never() -> None:
    sessions = make_owner("open", Idempotency.KEYED, max_sessions=3)
    acquire(sessions, "keyed", Idempotency.KEYED, 1.0, 2)
    sessions.handle_event(1.0, RequestFinished(2, "keyed"))
    acquire(sessions, "idempotent", now=2.0, ref=3)
    acquire(sessions, "next", now=3.0, ref=4)
    assert set(sessions.owned) == {"open", "keyed", "next"}
    acquire(sessions, "another", Idempotency.KEYED, now=4.0, ref=5)
    assert set(sessions.owned) == {"open", "keyed", "another"}
    acquire(sessions, "more", Idempotency.KEYED, now=4.0, ref=6)
    assert set(sessions.owned) == {"open", "another", "more"}
    (read,) = sessions.handle_event(5.0, MessageReceived("b", OwnershipOffer("late", 9)))
    assert isinstance(read, ReadBinding)
    (reply,) = sessions.handle_event(5.0, RegisterAnswered(read.ref, RegisterVerdict.WON))
    assert isinstance(reply, SendMessage) and reply.message == OfferReply("late", 9, True)


def test_an_idle_session_ends_and_one_in_use_does_not() -> None:
    sessions = make_owner("idle", idle_timeout_s=10.0)
    acquire(sessions, "open", Idempotency.KEYED, 0.0, 2)
    sessions.handle_event(2.0, TimerFired())  # the timer of the finished owner lookup
    assert sessions.wake_at == 10.0
    (write,) = sessions.handle_event(10.0, TimerFired())
    assert (
        isinstance(write, WriteBinding)
        and write.binding.state is BindingState.ENDED
        and set(sessions.owned) == {"open"}
    )


@pytest.mark.parametrize("start", STARTS)
def test_no_order_of_a_handover_violates_an_invariant(start: str) -> None:
    state_count, settled_count, trace, violation = explore(STARTS[start](""), 5, 60_000, 40)
    assert not violation, "\n".join([violation, *trace])
    assert state_count > 50 and settled_count


@pytest.mark.parametrize(
    ("variant", "start"),
    [
        ("no-handover", "its owner drains"),
        ("two-owners", "its owner can't be reached"),
        ("two-owners", "its owner wakes after its removal"),
    ],
)
def test_the_search_finds_a_faulty_handover(variant: str, start: str) -> None:
    *_, violation = explore(STARTS[start](variant), 5, 60_000, 40)
    assert violation


@pytest.mark.parametrize("seed", range(12))
def test_the_fleet_recovers_from_a_storm_of_failures(seed: int) -> None:
    assert run_storm(seed).violations == []


@pytest.mark.parametrize("seed", range(3))
def test_the_fleet_recovers_from_a_storm_on_real_replicas(seed: int) -> None:
    assert run_storm(seed, cluster_type=ReplicatedSessionCluster).violations == []


@pytest.mark.parametrize("variant", ["no-handover", "two-owners"])
def test_a_storm_finds_a_faulty_variant(variant: str) -> None:
    assert any(run_storm(seed, variant).violations for seed in range(4))


def test_open_runs_are_retained_when_their_session_is_released() -> None:
    """After a renewal overtook a claim, the owner read the register again and lost track of its open runs.

    A later handover then did not wait for these runs.
    """
    sessions = make_owner(idempotency=Idempotency.KEYED)
    (read,) = sessions.handle_event(
        1.0, ClaimRefused(RequestArrived(9, "k", Idempotency.KEYED), FENCING_NUMBER + 1)
    )
    assert isinstance(read, ReadBinding)
    (write,) = sessions.handle_event(
        1.1, RegisterAnswered(read.ref, RegisterVerdict.WON, Binding("k", FENCING_NUMBER + 1, "a", 1, 1))
    )
    assert isinstance(write, WriteBinding) and write.binding.fencing_number == FENCING_NUMBER + 2
    sessions.handle_event(1.1, RegisterAnswered(write.ref, RegisterVerdict.WON, write.binding))
    assert sessions.owned["k"].open_refs == {1, 9}
    sessions.handle_event(1.2, RequestFinished(9, "k"))
    (write,) = [
        effect for effect in sessions.handle_event(1.3, DrainStarted(5.0)) if isinstance(effect, WriteBinding)
    ]
    assert sessions.handle_event(1.4, RegisterAnswered(write.ref, RegisterVerdict.WON, write.binding)) == []
    assert [type(effect) for effect in sessions.handle_event(1.5, RequestFinished(1, "k"))] == [SendMessage]


FRAMES = [
    OwnershipOffer("k", 3, ("pay",), True),
    OfferReply("k", 3, False, Binding("k", 5, "a", 1, 2, BindingState.HANDING_OVER, "b")),
    OfferReply("k", 3, True),
    TakeOwnership(Binding("k", 5, "a", 1, 2), MigrationCause.DRAIN, ("pay",)),
    BindingNotice(Binding("k", 5, "a", 1, 2, BindingState.ENDED)),
    ServerLoad(7, 0.5, 4.0),
]


@pytest.mark.parametrize("message", FRAMES)
def test_a_frame_is_decoded_as_it_was_encoded(message: Any) -> None:
    assert codec.decode(codec.encode(message)) == message


@given(st.binary(max_size=60), st.integers(0, 30), st.sampled_from(FRAMES))
@settings(derandomize=True, max_examples=200, deadline=None)
def test_invalid_bytes_raise_only_bad_packet_error(noise: bytes, position: int, message: Any) -> None:
    frame = codec.encode(message)
    for data in (noise, frame[:position] + noise + frame[position:], frame[:position]):
        try:
            codec.decode(data)
            codec.decode_binding(data, 1)
        except codec.BadPacketError:
            continue


REQUIRED_SECTIONS = """version: 1
membership: {listen: "127.0.0.1:7700", seeds: ["127.0.0.1:7700"]}
forwarding: {listen: "127.0.0.1:7702"}
replication: {copies: 3}
affinity: """


def test_the_affinity_section_defines_the_plan() -> None:
    features = check("f", REQUIRED_SECTIONS + "{key: [customer, router], idle-s: 60, moves-per-s: 5}")
    plan = features.sections()["affinity"].plan()
    assert plan.fields == ("customer", "router")
    settings = plan.settings
    assert (settings.idle_timeout_s, settings.migrations_per_s, settings.keep_versions) == (60.0, 5.0, 3)


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("{key: [customer, colour]}", "affinity.key"),
        ("{key: []}", "one to three different fields"),
        ("{load-factor: 1}", "greater than 1"),
        ("{moves-per-second: 5}", "moves-per-s may be meant"),
        ("{offer-within-s: 5}", "more than bind-within-s"),
    ],
)
def test_errors_in_the_section_name_the_key(text: str, error: str) -> None:
    with pytest.raises(FaultyFeaturesError, match=error):
        check("f", REQUIRED_SECTIONS + text)
    with pytest.raises(FaultyFeaturesError, match="needs the section"):
        check("f", "version: 1\naffinity: {}\n")

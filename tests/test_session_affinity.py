"""Session affinity: keys, placement, the budget, owners, and every order of a handover to a depth."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sablewheel.experiments.affinity_model import STARTS, explore
from sablewheel.experiments.affinity_replicas import ReplicaWorld
from sablewheel.experiments.affinity_storm import storm
from sablewheel.membership.view import Member, View
from sablewheel.overload.interface import Idempotency
from sablewheel.program.feature_file import FaultyFeaturesError, check
from sablewheel.session_affinity import codec
from sablewheel.session_affinity.binding import Binding, BindingState, MigrationCause, newer
from sablewheel.session_affinity.budget import MIN_BURST, MigrationBudget
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
NUMBER = 1 << 20 | 1  # the first of epoch 1
RULES = [("customer", "subject"), ("customer", "router"), ("customer", "subject", "router")]


def server(me: str = "a", **keys: Any) -> Sessions:
    one = Sessions(me, 1, AffinitySettings(**keys), 0.0)
    one.handle_event(0.0, ViewChanged(VIEW))
    one.handle_event(0.0, PolicyActivated(1))
    return one


def owner(
    key: str = "k", idempotency: Idempotency = Idempotency.IDEMPOTENT, now: float = 0.0, **keys: Any
) -> Sessions:
    """A server that owns `key` at number NUMBER: the register holds that it does, and it renewed it."""
    one = server(**keys)
    own(one, key, idempotency, now)
    return one


def own(
    one: Sessions, key: str, idempotency: Idempotency = Idempotency.IDEMPOTENT, now: float = 0.0, ref: int = 1
) -> None:
    (read,) = [
        effect
        for effect in one.handle_event(now, RequestArrived(ref, key, idempotency))
        if isinstance(effect, ReadBinding)
    ]
    found = one.handle_event(
        now, RegisterAnswered(read.ref, RegisterVerdict.WON, Binding(key, 5, one.node_name, 1, 1))
    )
    (write,) = [effect for effect in found if isinstance(effect, WriteBinding)]
    one.handle_event(now, RegisterAnswered(write.ref, RegisterVerdict.WON, write.binding))
    assert one.owned[key].binding == Binding(key, NUMBER, one.node_name, 1, 1)


@pytest.mark.parametrize("rule", RULES)
def test_a_idempotency_key_stays_with_its_session_whatever_router_it_comes_by(rule: tuple[str, ...]) -> None:
    keys = {session_key(rule, SessionKeyFields("c1", "s1", router, "label")) for router in ("r1", "r2")}
    assert len(keys) == 1 and None not in keys


def test_keys_of_different_fields_differ_and_have_one_size() -> None:
    rule = ("customer", "subject")
    pairs = [("a", "bc"), ("ab", "c"), ("a|subject:1:b", "c")]
    keys = {session_key(rule, SessionKeyFields(tenant, subject)) for tenant, subject in pairs}
    assert len(keys) == len(pairs) and all(len(one or "") == KEY_LENGTH for one in keys)
    assert (
        session_key(rule, SessionKeyFields("c1")) is None
        and session_key(rule, SessionKeyFields("c", "s" * (MAX_FIELD_BYTES + 1))) is None
    )


@given(st.lists(st.integers(0, 40), min_size=2, max_size=8), st.floats(1.05, 3.0))
@settings(derandomize=True, max_examples=60, deadline=None)
def test_there_is_always_room_below_a_bound(sessions: list[int], factor: float) -> None:
    loads = {f"m{place}": ServerLoad(much, 0.1 + place / 10) for place, much in enumerate(sessions)}
    most = load_bounds(loads, loads, factor, 1)
    assert rank_for_new_session("k", loads, most) and rank_for_migration("k", loads, most)
    assert all(loads[name].sessions < most[name] for name in rank_for_new_session("k", loads, most))


def test_a_cold_server_is_bound_to_its_warmth_and_the_least_loaded_gets_the_most() -> None:
    loads = {"cold": ServerLoad(0, 0.1), "warm": ServerLoad(100), "idle": ServerLoad(20)}
    most = load_bounds(loads, loads, 1.25, 4)
    assert most["cold"] < most["warm"] / 5
    first = Counter(rank_for_migration(f"k{place}", loads, most)[0] for place in range(400))
    assert first["idle"] > 3 * first["cold"] and first["warm"] == 0


def test_a_server_that_goes_moves_only_its_own_keys() -> None:
    loads = {f"m{place}": ServerLoad() for place in range(8)}
    most = dict.fromkeys(loads, 1000)
    before = {key: rank_for_new_session(key, loads, most)[0] for key in map(str, range(300))}
    del loads["m3"], most["m3"]
    after = {key: rank_for_new_session(key, loads, most)[0] for key in before}
    assert all(before[key] == "m3" for key in before if before[key] != after[key])


@given(st.floats(0.1, 100), st.lists(st.floats(0, 2), max_size=60))
@settings(derandomize=True, max_examples=60, deadline=None)
def test_no_span_sees_more_moves_than_the_budget(rate: float, waits: list[float]) -> None:
    budget, now, taken = MigrationBudget(rate, 0.0), 0.0, 0
    for wait in waits:
        now += wait
        while budget.try_take(now):
            taken += 1
        assert taken <= rate * now + max(MIN_BURST, rate) + 1e-6


def test_a_budget_of_nothing_moves_nothing() -> None:
    assert not MigrationBudget(0.0, 0.0).try_take(1e9)


def test_the_higher_number_holds() -> None:
    old, new = Binding("k", 5, "a", 1, 1), Binding("k", 6, "b", 1, 1)
    assert newer(old, new) is new and newer(new, old) is new and newer(None, old) is old
    assert (
        old.handing_over_to("b").fencing_number == 6
        and old.handing_over_to("b").owned_by("b", 1, 1).state is BindingState.OWNED
    )


def test_a_request_goes_to_its_owner_and_is_not_passed_on_twice() -> None:
    one, there = server("b"), Binding("k", 5, "a", 1, 1)
    one.handle_event(0.0, MessageReceived("a", OfferReply("k", 0, False)))  # an answer to nothing
    (read,) = one.handle_event(0.0, RequestArrived(1, "k", Idempotency.KEYED))
    assert isinstance(read, ReadBinding)
    assert one.handle_event(0.1, RegisterAnswered(read.ref, RegisterVerdict.WON, there)) == [
        ForwardToOwner(1, "a")
    ]
    assert one.handle_event(0.2, RequestArrived(2, "k", Idempotency.IDEMPOTENT)) == [ForwardToOwner(2, "a")]
    back = RequestArrived(3, "k", Idempotency.KEYED, was_returned=True)
    (reject,) = one.handle_event(0.3, RequestReturned(back, there))
    assert isinstance(reject, RejectRequest) and reject.reason is DecisionReason.STALE


@pytest.mark.parametrize("idempotency", Idempotency)
def test_without_its_owner_only_what_may_run_twice_is_served(idempotency: Idempotency) -> None:
    one = server("b")
    (effect,) = one.handle_event(0.0, OwnerUnreachable(RequestArrived(1, "k", idempotency), "a"))
    assert (
        isinstance(effect, ServeLocally if idempotency is Idempotency.IDEMPOTENT else RejectRequest)
        and effect.reason is DecisionReason.UNREACHED
    )
    assert "k" not in one.owned


def test_no_majority_denies_keyed_requests_and_loses_none() -> None:
    one = server()
    (read,) = one.handle_event(0.0, RequestArrived(1, "k", Idempotency.KEYED))
    one.handle_event(0.0, RequestArrived(2, "k", Idempotency.IDEMPOTENT))
    assert isinstance(read, ReadBinding)
    effects = one.handle_event(0.1, RegisterAnswered(read.ref, RegisterVerdict.UNREACHABLE))
    assert [type(effect) for effect in effects] == [RejectRequest, ServeLocally] and not one.lookups


def test_a_new_version_moves_nobody_and_new_sessions_begin_under_it() -> None:
    one = owner(keep_versions=2)
    assert one.handle_event(1.0, PolicyActivated(2)) == []
    (here,) = one.handle_event(1.0, RequestArrived(2, "k", Idempotency.IDEMPOTENT))
    assert isinstance(here, ServeLocally) and here.policy_version == 1
    effects = one.handle_event(2.0, PolicyActivated(3))  # now version 1 is kept no longer
    assert [effect.binding.policy_version for effect in effects if isinstance(effect, WriteBinding)] == [3]


def test_a_retired_version_is_changed_where_the_session_is_and_a_mandatory_one_at_once() -> None:
    for event, cause in (
        (TimerFired(), MigrationCause.RETIRED),
        (PolicyActivated(3, mandatory=True), MigrationCause.MANDATORY),
    ):
        one = owner(retire_after_s=50.0)
        one.handle_event(1.0, PolicyActivated(2))
        (write,) = one.handle_event(60.0, event)
        assert isinstance(write, WriteBinding) and (write.expected_fencing_number, write.binding.owner) == (
            NUMBER,
            "a",
        )
        one.handle_event(60.1, RegisterAnswered(write.ref, RegisterVerdict.WON, write.binding))
        assert one.counts[f"brought_{cause.value}"] == 1 and one.owned["k"].phase is OwnershipPhase.SERVING


def test_an_owner_that_can_no_longer_run_a_flow_hands_over_after_its_keyed_runs() -> None:
    one = owner(idempotency=Idempotency.KEYED)
    one.handle_event(0.0, LoadsReported({"b": ServerLoad(5), "c": ServerLoad(5)}))
    (write,) = one.handle_event(1.0, PolicyActivated(1, {"": frozenset({"b"})}))
    assert isinstance(write, WriteBinding) and (write.binding.state, write.binding.successor) == (
        BindingState.HANDING_OVER,
        "b",
    )
    assert (
        one.handle_event(1.1, RegisterAnswered(write.ref, RegisterVerdict.WON, write.binding)) == []
    )  # one run is open
    assert (
        one.handle_event(1.1, RequestArrived(2, "k", Idempotency.KEYED)) == []
    )  # it waits for the successor
    (take,) = one.handle_event(1.2, RequestFinished(1, "k"))
    assert isinstance(take, SendMessage) and isinstance(take.message, TakeOwnership) and take.to == "b"
    assert not one.may_begin(1.2, "k", NUMBER, 1.2)
    done = Binding("k", NUMBER + 2, "b", 1, 1)
    assert (
        one.handle_event(1.3, MessageReceived("b", BindingNotice(done))) == [ForwardToOwner(2, "b")]
        and "k" not in one.owned
    )


def test_a_claim_that_was_won_before_a_pause_does_not_begin_after_it() -> None:
    one = owner(idempotency=Idempotency.KEYED, claim_timeout_s=0.5)
    assert one.may_begin(0.4, "k", NUMBER, 0.0) and not one.may_begin(0.5, "k", NUMBER, 0.0)
    assert not one.may_begin(0.4, "k", NUMBER - 1, 0.0) and not one.may_begin(0.4, "other", NUMBER, 0.0)


def test_what_the_register_may_have_forgotten_is_looked_for_anew_before_a_idempotency_key_runs() -> None:
    """An owner without a majority in reach can't renew: past the binding's life another may have begun anew,
    and a claim here would meet no number that refuses it."""
    one = owner(idempotency=Idempotency.KEYED, idle_timeout_s=3.0)
    assert [type(effect) for effect in one.handle_event(5.9, RequestArrived(2, "k", Idempotency.KEYED))] == [
        ServeLocally,
        WriteBinding,
    ]
    assert one.may_begin(5.9, "k", NUMBER, 5.9) and not one.may_begin(6.0, "k", NUMBER, 5.9)
    assert [type(effect) for effect in one.handle_event(6.1, RequestArrived(3, "k", Idempotency.KEYED))] == [
        ReadBinding
    ]
    assert "k" not in one.owned


def test_who_takes_a_session_does_so_above_all_numbers_of_earlier_epochs() -> None:
    """Two holders fell with number 7 and left an older copy: its next owner must not come below 7."""
    one = server("b")
    gone = View(9, tuple(one for one in VIEW.members if one.name != "a"))
    one.handle_event(0.0, ViewChanged(gone))
    (read,) = one.handle_event(0.0, RequestArrived(1, "k", Idempotency.KEYED, forwarded_by="c"))
    assert isinstance(read, ReadBinding)
    one.handle_event(0.1, RegisterAnswered(read.ref, RegisterVerdict.WON, Binding("k", 5, "a", 1, 1)))
    (write,) = [
        effect
        for at in (0.1, 1.0)
        for effect in one.handle_event(at, TimerFired())
        if isinstance(effect, WriteBinding)
    ]
    assert (write.expected_fencing_number, write.binding.fencing_number, write.binding.owner) == (
        5,
        9 << 20 | 1,
        "b",
    )


def test_a_refused_claim_makes_its_server_look_again() -> None:
    one = owner(idempotency=Idempotency.KEYED)
    (read,) = one.handle_event(1.0, ClaimRefused(RequestArrived(1, "k", Idempotency.KEYED), NUMBER + 1))
    assert isinstance(read, ReadBinding) and "k" not in one.owned
    there = Binding("k", NUMBER + 1, "b", 1, 1)
    assert one.handle_event(1.1, RegisterAnswered(read.ref, RegisterVerdict.WON, there)) == [
        ForwardToOwner(1, "b")
    ]


def test_room_is_made_by_idle_idempotent_sessions_never_by_one_with_open_idempotency_keys() -> None:
    one = owner("open", Idempotency.KEYED, max_sessions=3)
    own(one, "labelled", Idempotency.KEYED, 1.0, 2)
    one.handle_event(1.0, RequestFinished(2, "labelled"))
    own(one, "redoable", now=2.0, ref=3)
    own(one, "next", now=3.0, ref=4)
    assert set(one.owned) == {"open", "labelled", "next"}
    own(one, "another", Idempotency.KEYED, now=4.0, ref=5)
    assert set(one.owned) == {"open", "labelled", "another"}
    own(one, "more", Idempotency.KEYED, now=4.0, ref=6)
    assert set(one.owned) == {"open", "another", "more"}
    (read,) = one.handle_event(5.0, MessageReceived("b", OwnershipOffer("late", 9)))
    assert isinstance(read, ReadBinding)
    (reply,) = one.handle_event(5.0, RegisterAnswered(read.ref, RegisterVerdict.WON))
    assert isinstance(reply, SendMessage) and reply.message == OfferReply("late", 9, True)


def test_an_idle_session_ends_and_one_in_use_does_not() -> None:
    one = owner("idle", idle_timeout_s=10.0)
    own(one, "open", Idempotency.KEYED, 0.0, 2)
    one.handle_event(2.0, TimerFired())  # the time that a search for its owner would have had
    assert one.wake_at == 10.0
    (write,) = one.handle_event(10.0, TimerFired())
    assert (
        isinstance(write, WriteBinding)
        and write.binding.state is BindingState.ENDED
        and set(one.owned) == {"open"}
    )


@pytest.mark.parametrize("start", STARTS)
def test_no_order_of_a_handover_breaks_a_promise(start: str) -> None:
    states, settled, trace, wrong = explore(STARTS[start](""), 5, 60_000, 40)
    assert not wrong, "\n".join([wrong, *trace])
    assert states > 50 and settled


@pytest.mark.parametrize(
    ("broken", "start"),
    [
        ("no-handover", "its owner drains"),
        ("two-owners", "its owner can't be reached"),
        ("two-owners", "its owner wakes after its removal"),
    ],
)
def test_the_search_catches_a_broken_handover(broken: str, start: str) -> None:
    *_, wrong = explore(STARTS[start](broken), 5, 60_000, 40)
    assert wrong


@pytest.mark.parametrize("seed", range(12))
def test_after_a_storm_of_failures_all_is_well(seed: int) -> None:
    assert storm(seed).wrong == []


@pytest.mark.parametrize("seed", range(3))
def test_on_real_replicas_too_all_is_well_after_a_storm(seed: int) -> None:
    assert storm(seed, kind=ReplicaWorld).wrong == []


@pytest.mark.parametrize("broken", ["no-handover", "two-owners"])
def test_a_storm_finds_what_is_broken(broken: str) -> None:
    assert any(storm(seed, broken).wrong for seed in range(4))


def test_work_that_is_open_outlives_what_its_server_knows_of_the_session() -> None:
    """A renewal overtook a claim: the owner looked again, forgot what was open, and did not wait for it."""
    one = owner(idempotency=Idempotency.KEYED)
    (read,) = one.handle_event(1.0, ClaimRefused(RequestArrived(9, "k", Idempotency.KEYED), NUMBER + 1))
    assert isinstance(read, ReadBinding)
    (write,) = one.handle_event(
        1.1, RegisterAnswered(read.ref, RegisterVerdict.WON, Binding("k", NUMBER + 1, "a", 1, 1))
    )
    assert isinstance(write, WriteBinding) and write.binding.fencing_number == NUMBER + 2
    one.handle_event(1.1, RegisterAnswered(write.ref, RegisterVerdict.WON, write.binding))
    assert one.owned["k"].open_refs == {1, 9}
    one.handle_event(1.2, RequestFinished(9, "k"))
    (write,) = [
        effect for effect in one.handle_event(1.3, DrainStarted(5.0)) if isinstance(effect, WriteBinding)
    ]
    assert one.handle_event(1.4, RegisterAnswered(write.ref, RegisterVerdict.WON, write.binding)) == []
    assert [type(effect) for effect in one.handle_event(1.5, RequestFinished(1, "k"))] == [SendMessage]


SAID = [
    OwnershipOffer("k", 3, ("pay",), True),
    OfferReply("k", 3, False, Binding("k", 5, "a", 1, 2, BindingState.HANDING_OVER, "b")),
    OfferReply("k", 3, True),
    TakeOwnership(Binding("k", 5, "a", 1, 2), MigrationCause.DRAIN, ("pay",)),
    BindingNotice(Binding("k", 5, "a", 1, 2, BindingState.ENDED)),
    ServerLoad(7, 0.5, 4.0),
]


@pytest.mark.parametrize("message", SAID)
def test_what_servers_say_is_read_as_it_was_said(message: Any) -> None:
    assert codec.decode(codec.encode(message)) == message


@given(st.binary(max_size=60), st.integers(0, 30), st.sampled_from(SAID))
@settings(derandomize=True, max_examples=200, deadline=None)
def test_bytes_that_are_no_packet_are_refused_and_break_nothing(noise: bytes, at: int, message: Any) -> None:
    whole = codec.encode(message)
    for data in (noise, whole[:at] + noise + whole[at:], whole[:at]):
        try:
            codec.decode(data)
            codec.decode_binding(data, 1)
        except codec.BadPacketError:
            continue


NEEDED = """version: 1
membership: {listen: "127.0.0.1:7700", seeds: ["127.0.0.1:7700"]}
forwarding: {listen: "127.0.0.1:7702"}
replication: {copies: 3}
affinity: """


def test_the_section_makes_its_plan() -> None:
    top = check("f", NEEDED + "{key: [customer, router], idle-s: 60, moves-per-s: 5}")
    plan = top.sections()["affinity"].plan()
    assert plan.fields == ("customer", "router")
    settings = plan.settings
    assert (settings.idle_timeout_s, settings.migrations_per_s, settings.keep_versions) == (60.0, 5.0, 3)


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("{key: [customer, colour]}", "affinity.key"),
        ("{key: []}", "one to three different fields"),
        ("{load-factor: 1}", "greater than 1"),
        ("{moves-per-second: 5}", "moves-per-s may be meant"),
        ("{offer-within-s: 5}", "more than bind-within-s"),
    ],
)
def test_faults_of_the_section_are_told_by_key(text: str, says: str) -> None:
    with pytest.raises(FaultyFeaturesError, match=says):
        check("f", NEEDED + text)
    with pytest.raises(FaultyFeaturesError, match="needs the section"):
        check("f", "version: 1\naffinity: {}\n")

"""The routing policy: its document, its translation against brute force, the checker against mutations."""

from __future__ import annotations

import itertools
import json
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sablewheel.feature_policy import applying, codec, host_capabilities, policy_bundle, translation
from sablewheel.feature_policy.document import FaultyPolicyError, read
from sablewheel.feature_policy.host_capabilities import (
    TRAITS,
    Feature,
    HostCapabilities,
    HostCapabilitiesError,
    Parameter,
    StartupChecks,
)
from sablewheel.feature_policy.messages import MAX_CHUNK_BYTES, BundleChunk, BundleRejected, Fetch, Offer
from sablewheel.feature_policy.policy import FallbackLevel, Flow, Policy, load
from sablewheel.feature_policy.policy_bundle import PolicyBundle
from sablewheel.feature_policy.translate import InfeasibleError, plan_of, translate
from sablewheel.feature_policy.translation import NOT_PLACED, ClassPlan, Translation
from sablewheel.feature_policy.verify import verify
from sablewheel.overload.interface import Cancellation, Idempotency, RequestClass, ServerSettings, Tenant

EVERY = sum(1 << one.code for one in host_capabilities.CATALOGUE.values())
RICH = HostCapabilities(cores=8, memory=1 << 18, descriptors=1024, traits=(1 << len(TRAITS)) - 1, codes=EVERY)
NO_DISK = replace(RICH, traits=RICH.traits & ~(1 << TRAITS.index("disk")))
SMALL = replace(RICH, cores=1, memory=16 << 10, descriptors=64)

TEXT = """\
version: 1
policy: 3
flows:
  checkout:
    tracks: [pay]
    cores: 2
    worth: 10
    require:
      replicated-labels: {copies: 3}
    prefer:
      - worth: 5
        features: {durable-recall: , sessions: {most: 2000}}
      - worth: 2
        features: {durable-recall: }
    forbid: [stop-runs]
  rest:
    worth: 1
    prefer:
      - {worth: 1, features: {kept-results: {seconds: 10}}}
"""


def test_a_document_is_read_and_its_flows_take_their_requests() -> None:
    policy = read(TEXT)
    assert policy.number == 3 and policy.flow("pay", "any", "z1") is policy.flows[0]
    assert policy.flow("look", "any", "z1") is policy.flows[1]
    assert policy.flows[0].required_features(0) == {
        "replicated-labels": {"copies": 3},
        "durable-recall": {},
        "sessions": {"most": 2000},
    }
    assert load(policy.text) == policy and load(policy.text).digest == policy.digest
    assert policy.flows[0].priority_weight_at(1) == 12 and policy.flows[0].priority_weight_at(2) == 10


def test_all_faults_are_told_at_once_each_with_its_line_and_what_would_do() -> None:
    text = TEXT.replace("copies: 3", "copeis: 3").replace("kept-results: {seconds: 10}", "kept-result: ")
    text = text.replace("worth: 2\n", "worth: 5\n").replace("[stop-runs]", "[sessions]")
    with pytest.raises(FaultyPolicyError) as caught:
        read(text, "policy.yaml")
    told = str(caught.value).splitlines()
    assert [line.split(":")[1] for line in told] == ["9", "12", "13", "19"], told
    assert "did you mean copies?" in told[0] and "also under forbid" in told[1]
    assert (
        "less than the 5 of the fallback level above" in told[2] and "did you mean kept-results?" in told[3]
    )


@pytest.mark.parametrize(
    ("change", "line", "says"),
    [
        (("policy: 3", "policy: x"), 2, "valid integer"),
        (("worth: 10", "wroth: 10"), 7, r"did you mean worth\?"),
        (("copies: 3", "copies: 9"), 9, "must be 1 to 7, got 9"),
        (("forbid: [stop-runs]", "forbid: [replicated-labels]"), 9, "also under forbid"),
        (("[stop-runs]", "[stop-runs"), 16, "not YAML"),
        (
            ("      replicated-labels: {copies: 3}", "      stop-runs:\n      pause-runs:"),
            9,
            "conflicts with",
        ),
    ],
)
def test_a_fault_names_its_line(change: tuple[str, str], line: int, says: str) -> None:
    with pytest.raises(FaultyPolicyError, match=says) as caught:
        read(TEXT.replace(*change))
    assert caught.value.faults[0].line == line, str(caught.value)


def test_an_ability_is_what_the_settings_and_the_start_up_checks_say() -> None:
    server_settings = ServerSettings(
        (RequestClass(Idempotency.KEYED, 1, 4, 60),),
        2,
        1e6,
        1.0,
        (Tenant(3.0),),
        cancellation=Cancellation.DISCARDS_WORK,
    )
    one = host_capabilities.from_settings(
        server_settings, StartupChecks(200_000_000, 1012, disk=True, links=True)
    )
    assert (
        host_capabilities.read(one.text) == one
        and len(one.text) <= host_capabilities.MAX_METADATA_VALUE_BYTES
    )
    assert not one.unsupported_reason(host_capabilities.CATALOGUE["durable-recall"])
    assert "no pauses" in one.unsupported_reason(host_capabilities.CATALOGUE["pause-runs"])
    assert "does not support" in one.unsupported_reason(host_capabilities.CATALOGUE["rank-order"])
    near = host_capabilities.from_settings(
        server_settings, StartupChecks(199_000_000, 1010, disk=True, links=True)
    )
    assert near == one and near != host_capabilities.from_settings(
        server_settings, StartupChecks(200_000_000, 1012, links=True)
    )
    assert host_capabilities.read(one.text[:-1] + ',"turbo":9}') == one  # of a newer build
    for text in ("", "[]", "{}", '{"cores":-1}', '{"cores":true}', '{"cores":' + "9" * 300 + "}"):
        with pytest.raises(HostCapabilitiesError):
            host_capabilities.read(text)


def test_each_class_gets_the_best_that_it_can_run() -> None:
    made = translate(read(TEXT), [RICH, NO_DISK, SMALL])
    assert made.classes[RICH].fallback_levels == (0, 0)
    assert (
        made.classes[NO_DISK].fallback_levels == (2, 0)
        and "durable-recall" not in made.classes[NO_DISK].features
    )
    assert made.classes[SMALL].fallback_levels != made.classes[RICH].fallback_levels
    assert verify(made, read(TEXT)) == []
    assert (
        translation.read(made.text) == made
        and translate(read(TEXT), [SMALL, NO_DISK, RICH]).text == made.text
    )


def test_a_new_class_joins_and_the_others_stay_as_they_are() -> None:
    first = translate(read(TEXT), [RICH])
    then = translate(read(TEXT), [RICH, NO_DISK], base=first)
    assert then.order > first.order and then.classes[RICH] == first.classes[RICH]
    assert verify(then, read(TEXT)) == []


def test_what_no_class_can_run_is_refused_with_the_smallest_set_of_lines() -> None:
    text = TEXT.replace("{copies: 3}", "{copies: 3}\n      durable-recall:")
    with pytest.raises(InfeasibleError) as caught:
        translate(read(text, "p.yaml"), [NO_DISK])
    (one,) = caught.value.conflicts
    assert (one.line, one.flow, one.kind, one.key) == (10, "checkout", NO_DISK.key, "require.durable-recall")
    assert "p.yaml:10: flows.checkout.require.durable-recall" in str(caught.value)


def test_flows_that_can_each_be_served_and_not_all_of_them_are_refused_with_the_lines_that_clash() -> None:
    text = """\
version: 1
policy: 1
flows:
  a:
    tracks: [a]
    require: {stop-runs: , kept-results: }
  b:
    tracks: [b]
    require: {callers-gone: }
    forbid: [stop-runs]
"""
    with pytest.raises(InfeasibleError) as caught:
        translate(read(text), [RICH])
    keys = {(one.line, one.key) for one in caught.value.conflicts}
    assert keys == {(6, "require.stop-runs"), (10, "forbid.stop-runs")}
    assert verify(translate(read(text), [RICH, NO_DISK]), read(text)) == []  # a class for each


# -- small cases: a catalogue of four features, one class or two

FEW = {
    one.name: one
    for one in (
        Feature("p", 0, "", memory=2 << 20),
        Feature("q", 1, "", needs=("p",), parameters=(Parameter("n", 1, 4, memory=1 << 20),)),
        Feature("r", 2, "", traits=("disk",), conflicts=("s",), millicores=100),
        Feature("s", 3, "", conflicts=("r",), descriptors=4),
    )
}
WANTS = st.dictionaries(st.sampled_from("pqrs"), st.just({}), max_size=2).map(
    lambda wants: {one: dict[str, int]() for one in wants if not (one == "s" and "r" in wants)}
)
N = st.integers(1, 4)


@st.composite
def flows(draw: st.DrawFn, name: str) -> Flow:
    def draw_features() -> dict[str, dict[str, int]]:
        made = draw(WANTS)
        return {one: {"n": draw(N)} if one == "q" else values for one, values in made.items()}

    fallbacks = [
        FallbackLevel(draw_features(), worth)
        for worth in sorted(draw(st.sets(st.integers(1, 9), max_size=2)))[::-1]
    ]
    forbid = tuple(draw(st.sets(st.sampled_from("pqrs"), max_size=1)))
    return Flow(
        name,
        priority_weight=draw(st.integers(0, 9)),
        require=draw_features(),
        fallbacks=tuple(fallbacks),
        forbid=forbid,
        lines={f"{kind}.{one}": 1 for kind in ("require", "forbid") for one in "pqrs"},
    )


POLICIES = st.tuples(flows("f0"), flows("f1"), flows("f2")).map(lambda those: Policy(1, those, "f"))
ABILITIES = st.builds(
    HostCapabilities,
    cores=st.sampled_from([0, 1]),
    memory=st.sampled_from([0, 4 << 10, 8 << 10, 16 << 10]),
    descriptors=st.sampled_from([0, 16]),
    traits=st.sampled_from([0, 1 << TRAITS.index("disk")]),
    codes=st.integers(0, 15),
)


def every(policy: Policy, classes: list[HostCapabilities]) -> list[Translation]:
    """All translations that the checker's rules for single classes pass."""
    by_class = []
    for one in classes:
        options = []
        for fallback_levels in itertools.product(
            *(range(NOT_PLACED, flow.last_fallback_level + 1) for flow in policy.flows)
        ):
            plan = plan_of(policy, fallback_levels, FEW)
            alone = verify(Translation(1, 0, policy.digest, {one: plan}), policy, one, FEW)
            if not [says for says in alone if says.startswith("class")]:
                options.append(plan)
        by_class.append(options)
    return [
        Translation(1, 0, policy.digest, dict(zip(classes, plans, strict=True)))
        for plans in itertools.product(*by_class)
    ]


def worth(made: Translation, policy: Policy) -> int:
    return sum(
        flow.priority_weight_at(fallback_level) + 1
        for plan in made.classes.values()
        for flow, fallback_level in zip(policy.flows, plan.fallback_levels, strict=True)
        if fallback_level != NOT_PLACED
    )


@settings(max_examples=60, deadline=None, derandomize=True)
@given(POLICIES, st.lists(ABILITIES, min_size=1, max_size=2, unique=True))
def test_a_translation_is_worth_as_much_as_the_best_of_all(
    policy: Policy, classes: list[HostCapabilities]
) -> None:
    good = [one for one in every(policy, sorted(classes)) if not verify(one, policy, None, FEW)]
    try:
        made = translate(policy, classes, FEW)
    except InfeasibleError as trouble:
        assert not good and trouble.conflicts
        return
    assert verify(made, policy, None, FEW) == []
    assert worth(made, policy) == max(worth(one, policy) for one in good)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(POLICIES, ABILITIES, st.data())
def test_the_checker_catches_every_mutation(
    policy: Policy, one: HostCapabilities, data: st.DataObject
) -> None:
    try:
        made = translate(policy, [one], FEW)
    except InfeasibleError:
        return
    plan = made.classes[one]
    fallback_levels = list(plan.fallback_levels)
    bad: list[ClassPlan] = [
        *(
            replace(plan, features={k: v for k, v in plan.features.items() if k != gone})
            for gone in plan.features
        ),
        *(
            replace(plan, features={**plan.features, name: {}})
            for name, what in FEW.items()
            if one.unsupported_reason(what) or any(other in plan.features for other in what.conflicts)
        ),
        replace(plan, features={**plan.features, "unheard-of": {}}),
        replace(plan, fallback_levels=plan.fallback_levels[:-1]),
        *(
            replace(
                plan, fallback_levels=tuple([*fallback_levels[:n], NOT_PLACED, *fallback_levels[n + 1 :]])
            )
            for n in range(3)
        ),
        *(
            replace(
                plan,
                fallback_levels=tuple(
                    [*fallback_levels[:n], flow.last_fallback_level + 1, *fallback_levels[n + 1 :]]
                ),
            )
            for n, flow in enumerate(policy.flows)
        ),
        *(replace(plan, features={**plan.features, "q": {"n": n}}) for n in (0, 5) if "q" in plan.features),
        *(
            replace(plan, features={**plan.features, "q": {"n": n}})
            for n in range(1, plan.features.get("q", {}).get("n", 1))
        ),
    ]
    mutated = replace(made, classes={one: data.draw(st.sampled_from(bad))})
    assert verify(mutated, policy, one, FEW), mutated
    weaker = replace(one, memory=0)
    if any(FEW[name].memory for name in plan.features):  # what the solver thought of another class
        assert verify(replace(made, classes={weaker: plan}), policy, weaker, FEW)


def test_a_plan_takes_away_what_the_policy_has_a_say_in_and_nothing_else() -> None:
    request_classes = (RequestClass(Idempotency.IDEMPOTENT, 1, 4, objective_s_per_hint=0.5),)
    server_settings = ServerSettings(
        request_classes,
        2,
        1e6,
        1.0,
        (Tenant(10.0),),
        cancellation=Cancellation.DISCARDS_WORK,
        coalesce_reads_for_s=30.0,
        deadline_propagated=True,
        over_quota_weight=0.1,
    )
    wants: dict[str, dict[str, int]] = {"customer-quotas": {"percent": 50}, "kept-results": {"seconds": 5}}
    policy = Policy(1, (Flow("f", require=wants, forbid=("stop-runs",)),))
    made = applying.settings(server_settings, policy, ClassPlan(wants, (0,)))
    changed = {key for key, value in vars(server_settings).items() if vars(made)[key] is not value}
    assert changed == {"tenants", "coalesce_reads_for_s", "cancellation"}
    assert (made.tenants[0].quota_per_s, made.coalesce_reads_for_s, made.cancellation) == (
        5.0,
        5.0,
        Cancellation.UNSUPPORTED,
    )
    without = applying.settings(server_settings, policy, None)
    assert (without.over_quota_weight, without.coalesce_reads_for_s) == (1.0, 0.0)
    assert without.tenants is server_settings.tenants
    hints = Policy(1, (Flow("f", fallbacks=(FallbackLevel({"cost-hints": {}, "told-waits": {}}, 1),)),))
    low = applying.settings(server_settings, hints, ClassPlan({}, (1,)))
    assert (
        not low.deadline_propagated
        and low.request_classes[0].objective_s_per_hint == 0
        and low.cancellation is Cancellation.DISCARDS_WORK
    )


def test_messages_come_back_as_they_went_and_others_are_no_messages() -> None:
    name = translate(read(TEXT), [RICH]).name
    for message in (Offer(name), Fetch(name, 7), BundleChunk(name, 7, 9, b"ab"), BundleRejected(name, "why")):
        data = codec.encode(message)
        assert codec.decode(data) == message
        for bad in (data[:-1], data + b"\xff", data.replace(b"\x08\x01", b"\x08\x07", 1), b""):
            with pytest.raises(codec.BadMessageError):
                codec.decode(bad)
    for bad in (
        codec.encode(Offer("x")),
        codec.encode(BundleChunk(name, 0, 1 << 40, b"")),
        codec.encode(BundleChunk(name, 0, 1 << 20, bytes(MAX_CHUNK_BYTES + 1))),
    ):
        with pytest.raises(codec.BadMessageError):
            codec.decode(bad)


def test_a_bundle_is_whole_or_none() -> None:
    policy = read(TEXT)
    made = PolicyBundle(policy, translate(policy, [RICH, NO_DISK]))
    assert policy_bundle.load(made.text) == made
    assert made.fallback_levels(made.digits((1, 1))) == (1, 1) and made.digits((0, 0)) == ""
    assert policy_bundle.active(f"{made.name}:01") == (made.name, "01") and policy_bundle.active("x:y") == (
        "",
        "",
    )
    for bad in ("", "{}", made.text[:-9], made.text.replace("copies", "kopies", 1), "[1]"):
        with pytest.raises(policy_bundle.BundleError):
            other = policy_bundle.load(bad)
            if other.translation.policy != other.policy.digest:  # what verify would find
                raise policy_bundle.BundleError(verify(other.translation, other.policy)[0])


def test_a_job_is_translated_in_a_process_of_its_own() -> None:
    def asked(**job: object) -> dict[str, object]:
        done = subprocess.run(
            [sys.executable, "-m", "sablewheel.feature_policy.translating"],
            timeout=30,
            input=json.dumps(job),
            capture_output=True,
            text=True,
            check=True,
        )
        return dict(json.loads(done.stdout))

    first = asked(text=TEXT, file="p.yaml", classes=[RICH.text])
    then = policy_bundle.load(str(asked(base=first["bundle"], classes=[RICH.text, NO_DISK.text])["bundle"]))
    assert then.translation.revision == 1 and set(then.translation.classes) == {RICH, NO_DISK}
    faulty = asked(text="version: 1\npolicy: x", file="p.yaml", classes=[RICH.text])
    assert "p.yaml:2" in str(faulty["faults"])
    assert asked(text=TEXT, classes=["nonsense"])["faults"]


def test_the_example_is_a_policy_and_each_class_gets_its_part() -> None:
    text = (Path(__file__).parent.parent / "deploy" / "policy.yaml").read_text()
    made = translate(read(text), [RICH, NO_DISK])
    assert made.classes[RICH].fallback_levels == (0, 0, 0) and made.classes[NO_DISK].fallback_levels == (
        NOT_PLACED,
        0,
        0,
    )

"""Tests of the routing policy: documents, translation against brute force, verification against mutations."""

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

ALL_CODES = sum(1 << feature.code for feature in host_capabilities.CATALOGUE.values())
RICH = HostCapabilities(
    cores=8, memory=1 << 18, descriptors=1024, traits=(1 << len(TRAITS)) - 1, codes=ALL_CODES
)
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


def test_a_document_is_read_and_its_flows_match_their_requests() -> None:
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


def test_all_faults_are_reported_at_once_with_their_lines_and_suggestions() -> None:
    text = TEXT.replace("copies: 3", "copeis: 3").replace("kept-results: {seconds: 10}", "kept-result: ")
    text = text.replace("worth: 2\n", "worth: 5\n").replace("[stop-runs]", "[sessions]")
    with pytest.raises(FaultyPolicyError) as caught:
        read(text, "policy.yaml")
    lines = str(caught.value).splitlines()
    assert [line.split(":")[1] for line in lines] == ["9", "12", "13", "19"], lines
    assert "did you mean copies?" in lines[0] and "also under forbid" in lines[1]
    assert (
        "less than the 5 of the fallback level above" in lines[2] and "did you mean kept-results?" in lines[3]
    )


@pytest.mark.parametrize(
    ("change", "line", "message"),
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
def test_a_fault_has_the_line_of_its_key(change: tuple[str, str], line: int, message: str) -> None:
    with pytest.raises(FaultyPolicyError, match=message) as caught:
        read(TEXT.replace(*change))
    assert caught.value.faults[0].line == line, str(caught.value)


def test_host_capabilities_follow_from_settings_and_startup_checks() -> None:
    server_settings = ServerSettings(
        (RequestClass(Idempotency.KEYED, 1, 4, 60),),
        2,
        1e6,
        1.0,
        (Tenant(3.0),),
        cancellation=Cancellation.DISCARDS_WORK,
    )
    capabilities = host_capabilities.from_settings(
        server_settings, StartupChecks(200_000_000, 1012, disk=True, links=True)
    )
    assert (
        host_capabilities.read(capabilities.text) == capabilities
        and len(capabilities.text) <= host_capabilities.MAX_METADATA_VALUE_BYTES
    )
    assert not capabilities.unsupported_reason(host_capabilities.CATALOGUE["durable-recall"])
    assert "no pauses" in capabilities.unsupported_reason(host_capabilities.CATALOGUE["pause-runs"])
    assert "does not know" in capabilities.unsupported_reason(host_capabilities.CATALOGUE["rank-order"])
    similar = host_capabilities.from_settings(
        server_settings, StartupChecks(199_000_000, 1010, disk=True, links=True)
    )
    assert similar == capabilities and similar != host_capabilities.from_settings(
        server_settings, StartupChecks(200_000_000, 1012, links=True)
    )
    # A key of a newer build is ignored.
    assert host_capabilities.read(capabilities.text[:-1] + ',"turbo":9}') == capabilities
    for text in ("", "[]", "{}", '{"cores":-1}', '{"cores":true}', '{"cores":' + "9" * 300 + "}"):
        with pytest.raises(HostCapabilitiesError):
            host_capabilities.read(text)


def test_each_class_gets_the_best_levels_that_it_can_run() -> None:
    translated = translate(read(TEXT), [RICH, NO_DISK, SMALL])
    assert translated.classes[RICH].fallback_levels == (0, 0)
    assert (
        translated.classes[NO_DISK].fallback_levels == (2, 0)
        and "durable-recall" not in translated.classes[NO_DISK].features
    )
    assert translated.classes[SMALL].fallback_levels != translated.classes[RICH].fallback_levels
    assert verify(translated, read(TEXT)) == []
    assert (
        translation.read(translated.text) == translated
        and translate(read(TEXT), [SMALL, NO_DISK, RICH]).text == translated.text
    )


def test_a_new_class_is_added_and_the_other_plans_are_unchanged() -> None:
    first = translate(read(TEXT), [RICH])
    second = translate(read(TEXT), [RICH, NO_DISK], base=first)
    assert second.order > first.order and second.classes[RICH] == first.classes[RICH]
    assert verify(second, read(TEXT)) == []


def test_a_flow_that_no_class_can_run_is_rejected_with_the_smallest_set_of_lines() -> None:
    text = TEXT.replace("{copies: 3}", "{copies: 3}\n      durable-recall:")
    with pytest.raises(InfeasibleError) as caught:
        translate(read(text, "p.yaml"), [NO_DISK])
    (conflict,) = caught.value.conflicts
    assert (conflict.line, conflict.flow, conflict.kind, conflict.key) == (
        10,
        "checkout",
        NO_DISK.key,
        "require.durable-recall",
    )
    assert "p.yaml:10: flows.checkout.require.durable-recall" in str(caught.value)


def test_flows_that_can_only_be_served_separately_are_rejected_with_the_conflicting_lines() -> None:
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
    keys = {(conflict.line, conflict.key) for conflict in caught.value.conflicts}
    assert keys == {(6, "require.stop-runs"), (10, "forbid.stop-runs")}
    assert verify(translate(read(text), [RICH, NO_DISK]), read(text)) == []  # one class for each flow


# -- small cases: a catalogue of four features, one or two classes

SMALL_CATALOGUE = {
    feature.name: feature
    for feature in (
        Feature("p", 0, "", memory=2 << 20),
        Feature("q", 1, "", needs=("p",), parameters=(Parameter("n", 1, 4, memory=1 << 20),)),
        Feature("r", 2, "", traits=("disk",), conflicts=("s",), millicores=100),
        Feature("s", 3, "", conflicts=("r",), descriptors=4),
    )
}
REQUIRED_FEATURES = st.dictionaries(st.sampled_from("pqrs"), st.just({}), max_size=2).map(
    lambda names: {name: dict[str, int]() for name in names if not (name == "s" and "r" in names)}
)
PARAMETER_VALUES = st.integers(1, 4)


@st.composite
def flows(draw: st.DrawFn, name: str) -> Flow:
    def draw_features() -> dict[str, dict[str, int]]:
        features = draw(REQUIRED_FEATURES)
        return {
            feature: {"n": draw(PARAMETER_VALUES)} if feature == "q" else values
            for feature, values in features.items()
        }

    fallbacks = [
        FallbackLevel(draw_features(), weight)
        for weight in sorted(draw(st.sets(st.integers(1, 9), max_size=2)))[::-1]
    ]
    forbid = tuple(draw(st.sets(st.sampled_from("pqrs"), max_size=1)))
    return Flow(
        name,
        priority_weight=draw(st.integers(0, 9)),
        require=draw_features(),
        fallbacks=tuple(fallbacks),
        forbid=forbid,
        lines={f"{kind}.{feature}": 1 for kind in ("require", "forbid") for feature in "pqrs"},
    )


POLICIES = st.tuples(flows("f0"), flows("f1"), flows("f2")).map(lambda drawn: Policy(1, drawn, "f"))
HOST_CLASSES = st.builds(
    HostCapabilities,
    cores=st.sampled_from([0, 1]),
    memory=st.sampled_from([0, 4 << 10, 8 << 10, 16 << 10]),
    descriptors=st.sampled_from([0, 16]),
    traits=st.sampled_from([0, 1 << TRAITS.index("disk")]),
    codes=st.integers(0, 15),
)


def all_valid_translations(policy: Policy, classes: list[HostCapabilities]) -> list[Translation]:
    """Return all translations whose plans pass the verification for their class."""
    by_class = []
    for host_class in classes:
        options = []
        for fallback_levels in itertools.product(
            *(range(NOT_PLACED, flow.last_fallback_level + 1) for flow in policy.flows)
        ):
            plan = plan_of(policy, fallback_levels, SMALL_CATALOGUE)
            faults = verify(
                Translation(1, 0, policy.digest, {host_class: plan}), policy, host_class, SMALL_CATALOGUE
            )
            if not [fault for fault in faults if fault.startswith("class")]:
                options.append(plan)
        by_class.append(options)
    return [
        Translation(1, 0, policy.digest, dict(zip(classes, plans, strict=True)))
        for plans in itertools.product(*by_class)
    ]


def total_weight(translated: Translation, policy: Policy) -> int:
    return sum(
        flow.priority_weight_at(fallback_level) + 1
        for plan in translated.classes.values()
        for flow, fallback_level in zip(policy.flows, plan.fallback_levels, strict=True)
        if fallback_level != NOT_PLACED
    )


@settings(max_examples=60, deadline=None, derandomize=True)
@given(POLICIES, st.lists(HOST_CLASSES, min_size=1, max_size=2, unique=True))
def test_a_translation_has_the_greatest_possible_weight(
    policy: Policy, classes: list[HostCapabilities]
) -> None:
    valid = [
        candidate
        for candidate in all_valid_translations(policy, sorted(classes))
        if not verify(candidate, policy, None, SMALL_CATALOGUE)
    ]
    try:
        translated = translate(policy, classes, SMALL_CATALOGUE)
    except InfeasibleError as error:
        assert not valid and error.conflicts
        return
    assert verify(translated, policy, None, SMALL_CATALOGUE) == []
    assert total_weight(translated, policy) == max(total_weight(candidate, policy) for candidate in valid)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(POLICIES, HOST_CLASSES, st.data())
def test_verify_detects_every_mutation(
    policy: Policy, host_class: HostCapabilities, data: st.DataObject
) -> None:
    try:
        translated = translate(policy, [host_class], SMALL_CATALOGUE)
    except InfeasibleError:
        return
    plan = translated.classes[host_class]
    fallback_levels = list(plan.fallback_levels)
    mutations: list[ClassPlan] = [
        *(
            replace(plan, features={k: v for k, v in plan.features.items() if k != removed})
            for removed in plan.features
        ),
        *(
            replace(plan, features={**plan.features, name: {}})
            for name, feature in SMALL_CATALOGUE.items()
            if host_class.unsupported_reason(feature)
            or any(other in plan.features for other in feature.conflicts)
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
    mutated = replace(translated, classes={host_class: data.draw(st.sampled_from(mutations))})
    assert verify(mutated, policy, host_class, SMALL_CATALOGUE), mutated
    weaker_class = replace(host_class, memory=0)
    if any(SMALL_CATALOGUE[name].memory for name in plan.features):  # the plan of another class
        assert verify(
            replace(translated, classes={weaker_class: plan}), policy, weaker_class, SMALL_CATALOGUE
        )


def test_a_plan_restricts_only_features_that_the_policy_governs() -> None:
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
    features: dict[str, dict[str, int]] = {"customer-quotas": {"percent": 50}, "kept-results": {"seconds": 5}}
    policy = Policy(1, (Flow("f", require=features, forbid=("stop-runs",)),))
    applied = applying.settings(server_settings, policy, ClassPlan(features, (0,)))
    changed = {key for key, value in vars(server_settings).items() if vars(applied)[key] is not value}
    assert changed == {"tenants", "coalesce_reads_for_s", "cancellation"}
    assert (applied.tenants[0].quota_per_s, applied.coalesce_reads_for_s, applied.cancellation) == (
        5.0,
        5.0,
        Cancellation.UNSUPPORTED,
    )
    without_plan = applying.settings(server_settings, policy, None)
    assert (without_plan.over_quota_weight, without_plan.coalesce_reads_for_s) == (1.0, 0.0)
    assert without_plan.tenants is server_settings.tenants
    hints = Policy(1, (Flow("f", fallbacks=(FallbackLevel({"cost-hints": {}, "told-waits": {}}, 1),)),))
    last_level = applying.settings(server_settings, hints, ClassPlan({}, (1,)))
    assert (
        not last_level.deadline_propagated
        and last_level.request_classes[0].objective_s_per_hint == 0
        and last_level.cancellation is Cancellation.DISCARDS_WORK
    )


def test_messages_round_trip_and_invalid_data_is_rejected() -> None:
    name = translate(read(TEXT), [RICH]).name
    for message in (Offer(name), Fetch(name, 7), BundleChunk(name, 7, 9, b"ab"), BundleRejected(name, "why")):
        data = codec.encode(message)
        assert codec.decode(data) == message
        for invalid in (data[:-1], data + b"\xff", data.replace(b"\x08\x01", b"\x08\x07", 1), b""):
            with pytest.raises(codec.BadMessageError):
                codec.decode(invalid)
    for invalid in (
        codec.encode(Offer("x")),
        codec.encode(BundleChunk(name, 0, 1 << 40, b"")),
        codec.encode(BundleChunk(name, 0, 1 << 20, bytes(MAX_CHUNK_BYTES + 1))),
    ):
        with pytest.raises(codec.BadMessageError):
            codec.decode(invalid)


def test_a_bundle_round_trips_and_a_damaged_one_is_rejected() -> None:
    policy = read(TEXT)
    bundle = PolicyBundle(policy, translate(policy, [RICH, NO_DISK]))
    assert policy_bundle.load(bundle.text) == bundle
    assert bundle.fallback_levels(bundle.digits((1, 1))) == (1, 1) and bundle.digits((0, 0)) == ""
    assert policy_bundle.active(f"{bundle.name}:01") == (bundle.name, "01") and policy_bundle.active(
        "x:y"
    ) == (
        "",
        "",
    )
    for damaged in ("", "{}", bundle.text[:-9], bundle.text.replace("copies", "kopies", 1), "[1]"):
        with pytest.raises(policy_bundle.BundleError):
            other = policy_bundle.load(damaged)
            if other.translation.policy != other.policy.digest:  # a fault that verify reports
                raise policy_bundle.BundleError(verify(other.translation, other.policy)[0])


def test_a_job_is_translated_in_a_separate_process() -> None:
    def run_job(**job: object) -> dict[str, object]:
        process = subprocess.run(
            [sys.executable, "-m", "sablewheel.feature_policy.translating"],
            timeout=30,
            input=json.dumps(job),
            capture_output=True,
            text=True,
            check=True,
        )
        return dict(json.loads(process.stdout))

    first = run_job(text=TEXT, file="p.yaml", classes=[RICH.text])
    second = policy_bundle.load(
        str(run_job(base=first["bundle"], classes=[RICH.text, NO_DISK.text])["bundle"])
    )
    assert second.translation.revision == 1 and set(second.translation.classes) == {RICH, NO_DISK}
    faulty = run_job(text="version: 1\npolicy: x", file="p.yaml", classes=[RICH.text])
    assert "p.yaml:2" in str(faulty["faults"])
    assert run_job(text=TEXT, classes=["nonsense"])["faults"]


def test_the_example_policy_is_translated_for_each_class() -> None:
    text = (Path(__file__).parent.parent / "deploy" / "policy.yaml").read_text()
    translated = translate(read(text), [RICH, NO_DISK])
    assert translated.classes[RICH].fallback_levels == (0, 0, 0) and translated.classes[
        NO_DISK
    ].fallback_levels == (
        NOT_PLACED,
        0,
        0,
    )

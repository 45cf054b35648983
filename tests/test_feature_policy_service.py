"""The policy's shell: a document to a translation in a process of its own, views to what is served here."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from sablewheel.experiments.policy_fleet import CLASSES
from sablewheel.feature_policy import codec
from sablewheel.feature_policy.fleet_state import ACTIVE, STAGED
from sablewheel.feature_policy.messages import Fetch, Offer
from sablewheel.feature_policy.plan import PolicyPlan, Rules
from sablewheel.feature_policy.policy_bundle import PolicyBundle
from sablewheel.feature_policy.service import PolicyService
from sablewheel.feature_policy.translating import print_translation
from sablewheel.membership.view import Fact, Member, View
from sablewheel.overload.interface import (
    Cancellation,
    Client,
    Idempotency,
    Request,
    RequestClass,
    ServerSettings,
    Tenant,
)
from sablewheel.program.feature_file import FaultyFeaturesError, check
from sablewheel.serving.exchange import Exchange

POLICY = """\
version: 1
policy: 4
flows:
  pay:
    tracks: [pay]
    require: {durable-recall: }
    forbid: [stop-runs]
"""
REQUEST_CLASS = RequestClass(Idempotency.IDEMPOTENT, 1.0, 4.0)


class World:
    """Timers that ring when asked, a fleet and links that note what they are told, and a clock."""

    def __init__(self) -> None:
        self.now = 100.0
        self.timers: list[tuple[float, Callable[[], None]]] = []
        self.node_name, self.reported_facts, self.sent = "m0", dict[str, str](), list[tuple[str, Any]]()
        self.viewed: Callable[[View], None] = lambda view: None
        self.handler: Callable[[str, bytes], None] = lambda sender, payload: None
        self.broken: Callable[[str], None] = lambda peer: None
        self.view = View(1, ())

    # what the shell calls
    def after(self, span: float, do: Callable[[], None]) -> World:
        self.timers.append((self.now + span, do))
        return self

    def cancel(self) -> None: ...
    def spawn(self, do: Callable[..., None], *values: Any) -> None:
        do(*values)

    def on_view(self, callback: Callable[[View], None]) -> None:
        self.viewed = callback

    def report_fact(self, fact: Fact) -> None:
        self.reported_facts[fact.key] = fact.value

    def send(self, peer_name: str, message_type: str, payload: bytes, *, expires_in_s: float) -> None:
        self.sent.append((peer_name, codec.decode(payload)))

    def register_handler(self, message_type: str, handler: Callable[[str, bytes], None]) -> None:
        self.handler = handler

    def on_connection_lost(self, callback: Callable[[str], None]) -> None:
        self.broken = callback

    # what tests call
    def install(self, epoch: int, classes: dict[str, str], **facts: str) -> None:
        members = [
            Member(name, name, "z1", "r1", 1, (("class", CLASSES[kind].text),))
            for name, kind in classes.items()
        ]
        told = [Fact(f"policy/{key}", value) for key, value in facts.items()]
        self.view = View(epoch, tuple(sorted(members)), tuple(sorted(told)))
        self.viewed(self.view)

    def run(self, span: float) -> None:
        self.now += span
        due = [one for one in self.timers if one[0] <= self.now]
        self.timers = [one for one in self.timers if one[0] > self.now]
        for _, do in due:
            do()

    def until(self, reached: Callable[[], bool]) -> None:
        end = time.monotonic() + 20.0
        while not reached():
            assert time.monotonic() < end
            self.run(0.1)
            time.sleep(0.01)


class Caller:
    """Who waits for the answer."""

    def __init__(self) -> None:
        self.told: list[Any] = []

    def completed(self, exchange: Exchange, result: bytes) -> None:
        self.told.append(result)

    def rejected(self, exchange: Exchange, retry_after_s: float, no_retry_elsewhere: bool) -> None:
        self.told.append((retry_after_s, no_retry_elsewhere))

    def failed(self, exchange: Exchange) -> None:
        self.told.append(None)


class RequestHandler:
    """The dispatch."""

    def __init__(self) -> None:
        self.served: list[bytes] = []

    def arrived(self, exchange: Exchange) -> None:
        self.served.append(exchange.request_class)

    def cancelled(self, exchange: Exchange) -> None: ...


def policies(world: World, kind: str, file: Path | None) -> tuple[PolicyService, list[int]]:
    changed: list[int] = []
    rules = Rules(settle=0.5, stagger=1.0, retry_after_s=3.0)
    plan = PolicyPlan(str(file) if file is not None else None, rules=rules)
    made: Any = PolicyService  # its scheduler is a small part of the real one
    return made(
        world, plan, world, world, CLASSES[kind], {}, lambda: changed.append(1), lambda: world.now
    ), changed


def ask(made: PolicyService, request_class: bytes) -> tuple[list[bytes], list[Any]]:
    handler, caller = RequestHandler(), Caller()
    tenant: Tenant | None = None
    request = Request(REQUEST_CLASS, Client(), tenant, 0.0, 1.0)
    made.gate(handler).arrived(Exchange(b"n", request_class, b"", 1, None, request, caller))
    return handler.served, caller.told


def test_a_document_is_translated_beside_the_server_and_what_holds_is_applied(tmp_path: Path) -> None:
    file, world = tmp_path / "policy.yaml", World()
    file.write_text(POLICY)
    made, changed = policies(world, "rich", file)
    heard: list[tuple[int, dict[str, frozenset[str]]]] = []
    made.on_active(lambda number, able: heard.append((number, able)))
    assert ask(made, b"pay") == ([], [(0.0, False)])  # before there is a view nobody knows
    world.install(1, {"m0": "rich", "m1": "diskless", "m2": "rich"})
    assert ask(made, b"pay") == ([b"pay"], [])
    world.until(lambda: STAGED in world.reported_facts)
    name = world.reported_facts[STAGED]
    assert {to for to, message in world.sent if message == Offer(name)} == {"m1", "m2"}
    world.install(2, {"m0": "rich", "m1": "diskless", "m2": "rich"}, staged=name)
    world.install(
        3, {"m0": "rich", "m1": "diskless", "m2": "rich"}, active=world.reported_facts[ACTIVE], staged=name
    )
    assert changed and heard == [(0, {}), (4, {"pay": frozenset({"m0", "m2"})})]
    server_settings = ServerSettings((REQUEST_CLASS,), 2, 1e6, 1.0, cancellation=Cancellation.DISCARDS_WORK)
    assert made.server_settings(server_settings).cancellation is Cancellation.UNSUPPORTED
    assert ask(made, b"pay") == ([b"pay"], []) and ask(made, b"other") == ([b"other"], [])
    assert made.gauges()["policy"] == name
    file.write_text(POLICY.replace("policy: 4", "polciy: 5"))
    made.reload()
    world.until(lambda: made.gauges().get("policy_untranslated") == 1)
    assert made.gauges()["policy"] == name
    file.unlink()
    made.reload()
    assert made.gauges()["policy_unread"] == 1
    made.close()


def test_a_request_goes_to_who_may_serve_it_and_is_rejected_where_nobody_can(tmp_path: Path) -> None:
    giver, file = World(), tmp_path / "policy.yaml"
    file.write_text(POLICY)
    given, _ = policies(giver, "rich", file)
    fleet = {"m0": "diskless", "m1": "rich", "m2": "rich"}
    giver.node_name = "m1"
    given.rollout.fleet.node_name = "m1"
    giver.install(1, fleet)
    giver.until(lambda: STAGED in giver.reported_facts)
    policy_bundle = next(iter(given.rollout.bundles.values()))
    assert isinstance(policy_bundle, PolicyBundle)

    world = World()
    made, _ = policies(world, "diskless", None)
    held = f"{policy_bundle.name}:"
    world.install(1, fleet, active=held, staged=policy_bundle.name)
    assert ask(made, b"pay") == ([], [(0.0, False)])  # the document is not here yet: nobody guesses
    asked = [(to, message) for to, message in world.sent if isinstance(message, Fetch)]
    assert asked
    for sender, payload in (("m1", b"\xff\xff"), ("stranger", codec.encode(Offer(policy_bundle.name)))):
        world.handler(sender, payload)
    assert made.gauges()["policy_messages_bad"] == 1
    giver.sent.clear()
    giver.handler("m0", codec.encode(asked[-1][1]))
    world.handler(asked[-1][0], codec.encode(giver.sent[-1][1]))
    assert made.gauges()["policy"] == policy_bundle.name
    exchange = Exchange(
        b"n", b"pay", b"", 1, None, Request(REQUEST_CLASS, Client(), None, 0.0, 1.0), Caller()
    )
    assert {made.place(exchange) for _ in range(4)} == {"m1", "m2"}
    world.broken("m2")
    assert {made.place(exchange) for _ in range(4)} == {"m1"}
    assert ask(made, b"pay") == ([], [(0.0, False)])  # it could not be passed on: others may be tried
    world.install(2, {"m0": "diskless"}, active=held, staged=policy_bundle.name)
    assert made.place(exchange) is None and ask(made, b"pay") == ([], [(3.0, True)])
    assert made.gauges()["policy_denied_nobody"] == 1 and made.gauges()["policy_denied_elsewhere"] == 1


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("policy:\n  speed: 1.0\n", "needs the section membership"),
        ("policy:\n  dwell-up-s: 1\n  dwell-down-s: 2\n", "dwell-up-s 1 must be at least dwell-down-s 2"),
        ("policy:\n  dwel-up-s: 1\n", "dwell-up-s may be meant"),
    ],
)
def test_faults_of_the_section_are_told(text: str, says: str) -> None:
    with pytest.raises(FaultyFeaturesError, match=says):
        check("f", f"version: 1\n{text}")


def test_the_tool_says_when_the_member_cannot_be_asked(tmp_path: Path) -> None:
    file = tmp_path / "policy.yaml"
    file.write_text(POLICY)
    assert print_translation(str(file), "127.0.0.1:9") == 1 and print_translation(str(file), "nowhere") == 2
    assert print_translation(str(tmp_path / "none"), "127.0.0.1:9") == 1

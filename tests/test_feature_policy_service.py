"""Tests of PolicyService: translations in a separate process, and the requests that it serves or rejects."""

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


class Environment:
    """A simulated clock and scheduler, and a fleet and links that record the calls of the service."""

    def __init__(self) -> None:
        self.now = 100.0
        self.timers: list[tuple[float, Callable[[], None]]] = []
        self.node_name, self.reported_facts, self.sent = "m0", dict[str, str](), list[tuple[str, Any]]()
        self.view_callback: Callable[[View], None] = lambda view: None
        self.handler: Callable[[str, bytes], None] = lambda sender, payload: None
        self.connection_lost_callback: Callable[[str], None] = lambda peer: None
        self.view = View(1, ())

    # -- called by the service
    def after(self, delay_s: float, callback: Callable[[], None]) -> Environment:
        self.timers.append((self.now + delay_s, callback))
        return self

    def cancel(self) -> None: ...
    def spawn(self, callback: Callable[..., None], *values: Any) -> None:
        callback(*values)

    def on_view(self, callback: Callable[[View], None]) -> None:
        self.view_callback = callback

    def report_fact(self, fact: Fact) -> None:
        self.reported_facts[fact.key] = fact.value

    def send(self, peer_name: str, message_type: str, payload: bytes, *, expires_in_s: float) -> None:
        self.sent.append((peer_name, codec.decode(payload)))

    def register_handler(self, message_type: str, handler: Callable[[str, bytes], None]) -> None:
        self.handler = handler

    def on_connection_lost(self, callback: Callable[[str], None]) -> None:
        self.connection_lost_callback = callback

    # -- called by tests
    def install_view(self, epoch: int, classes: dict[str, str], **facts: str) -> None:
        members = [
            Member(name, name, "z1", "r1", 1, (("class", CLASSES[kind].text),))
            for name, kind in classes.items()
        ]
        agreed_facts = [Fact(f"policy/{key}", value) for key, value in facts.items()]
        self.view = View(epoch, tuple(sorted(members)), tuple(sorted(agreed_facts)))
        self.view_callback(self.view)

    def run(self, duration_s: float) -> None:
        self.now += duration_s
        due = [timer for timer in self.timers if timer[0] <= self.now]
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        for _, callback in due:
            callback()

    def run_until(self, condition: Callable[[], bool]) -> None:
        deadline = time.monotonic() + 20.0
        while not condition():
            assert time.monotonic() < deadline
            self.run(0.1)
            time.sleep(0.01)


class Caller:
    """A caller that records the responses to its requests."""

    def __init__(self) -> None:
        self.responses: list[Any] = []

    def completed(self, exchange: Exchange, result: bytes) -> None:
        self.responses.append(result)

    def rejected(self, exchange: Exchange, retry_after_s: float, no_retry_elsewhere: bool) -> None:
        self.responses.append((retry_after_s, no_retry_elsewhere))

    def failed(self, exchange: Exchange) -> None:
        self.responses.append(None)


class RequestHandler:
    """A dispatcher that records the requests that it receives."""

    def __init__(self) -> None:
        self.served: list[bytes] = []

    def arrived(self, exchange: Exchange) -> None:
        self.served.append(exchange.request_class)

    def cancelled(self, exchange: Exchange) -> None: ...


def make_service(environment: Environment, kind: str, file: Path | None) -> tuple[PolicyService, list[int]]:
    changed: list[int] = []
    rules = Rules(settle_s=0.5, stagger_s=1.0, retry_after_s=3.0)
    plan = PolicyPlan(str(file) if file is not None else None, rules=rules)
    service_type: Any = PolicyService  # untyped, as Environment has only the needed part of the scheduler
    return service_type(
        environment,
        plan,
        environment,
        environment,
        CLASSES[kind],
        {},
        lambda: changed.append(1),
        lambda: environment.now,
    ), changed


def ask(service: PolicyService, request_class: bytes) -> tuple[list[bytes], list[Any]]:
    handler, caller = RequestHandler(), Caller()
    tenant: Tenant | None = None
    request = Request(REQUEST_CLASS, Client(), tenant, 0.0, 1.0)
    service.gate(handler).arrived(Exchange(b"n", request_class, b"", 1, None, request, caller))
    return handler.served, caller.responses


def test_a_document_is_translated_in_a_separate_process_and_the_active_policy_applied(tmp_path: Path) -> None:
    file, environment = tmp_path / "policy.yaml", Environment()
    file.write_text(POLICY)
    service, changed = make_service(environment, "rich", file)
    announcements: list[tuple[int, dict[str, frozenset[str]]]] = []
    service.on_active(lambda number, able: announcements.append((number, able)))
    assert ask(service, b"pay") == ([], [(0.0, False)])  # there is no view yet
    environment.install_view(1, {"m0": "rich", "m1": "diskless", "m2": "rich"})
    assert ask(service, b"pay") == ([b"pay"], [])
    environment.run_until(lambda: STAGED in environment.reported_facts)
    name = environment.reported_facts[STAGED]
    assert {member for member, message in environment.sent if message == Offer(name)} == {"m1", "m2"}
    environment.install_view(2, {"m0": "rich", "m1": "diskless", "m2": "rich"}, staged=name)
    environment.install_view(
        3,
        {"m0": "rich", "m1": "diskless", "m2": "rich"},
        active=environment.reported_facts[ACTIVE],
        staged=name,
    )
    assert changed and announcements == [(0, {}), (4, {"pay": frozenset({"m0", "m2"})})]
    server_settings = ServerSettings((REQUEST_CLASS,), 2, 1e6, 1.0, cancellation=Cancellation.DISCARDS_WORK)
    assert service.server_settings(server_settings).cancellation is Cancellation.UNSUPPORTED
    assert ask(service, b"pay") == ([b"pay"], []) and ask(service, b"other") == ([b"other"], [])
    assert service.gauges()["policy"] == name
    file.write_text(POLICY.replace("policy: 4", "polciy: 5"))
    service.reload()
    environment.run_until(lambda: service.gauges().get("policy_untranslated") == 1)
    assert service.gauges()["policy"] == name
    file.unlink()
    service.reload()
    assert service.gauges()["policy_unread"] == 1
    service.close()


def test_a_request_is_forwarded_to_members_that_may_serve_it_and_rejected_if_there_are_none(
    tmp_path: Path,
) -> None:
    proposer, file = Environment(), tmp_path / "policy.yaml"
    file.write_text(POLICY)
    proposer_service, _ = make_service(proposer, "rich", file)
    fleet = {"m0": "diskless", "m1": "rich", "m2": "rich"}
    proposer.node_name = "m1"
    proposer_service.rollout.fleet.node_name = "m1"
    proposer.install_view(1, fleet)
    proposer.run_until(lambda: STAGED in proposer.reported_facts)
    bundle = next(iter(proposer_service.rollout.bundles.values()))
    assert isinstance(bundle, PolicyBundle)

    environment = Environment()
    service, _ = make_service(environment, "diskless", None)
    active_fact = f"{bundle.name}:"
    environment.install_view(1, fleet, active=active_fact, staged=bundle.name)
    assert ask(service, b"pay") == ([], [(0.0, False)])  # the active policy has not been fetched yet
    fetches = [(member, message) for member, message in environment.sent if isinstance(message, Fetch)]
    assert fetches
    for sender, payload in (("m1", b"\xff\xff"), ("stranger", codec.encode(Offer(bundle.name)))):
        environment.handler(sender, payload)
    assert service.gauges()["policy_messages_bad"] == 1
    proposer.sent.clear()
    proposer.handler("m0", codec.encode(fetches[-1][1]))
    environment.handler(fetches[-1][0], codec.encode(proposer.sent[-1][1]))
    assert service.gauges()["policy"] == bundle.name
    exchange = Exchange(
        b"n", b"pay", b"", 1, None, Request(REQUEST_CLASS, Client(), None, 0.0, 1.0), Caller()
    )
    assert {service.place(exchange) for _ in range(4)} == {"m1", "m2"}
    environment.connection_lost_callback("m2")
    assert {service.place(exchange) for _ in range(4)} == {"m1"}
    assert ask(service, b"pay") == ([], [(0.0, False)])  # not forwarded: the caller may try other members
    environment.install_view(2, {"m0": "diskless"}, active=active_fact, staged=bundle.name)
    assert service.place(exchange) is None and ask(service, b"pay") == ([], [(3.0, True)])
    assert service.gauges()["policy_denied_nobody"] == 1 and service.gauges()["policy_denied_elsewhere"] == 1


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("policy:\n  speed: 1.0\n", "needs the section membership"),
        ("policy:\n  dwell-up-s: 1\n  dwell-down-s: 2\n", "dwell-up-s 1 must be at least dwell-down-s 2"),
        ("policy:\n  dwel-up-s: 1\n", "dwell-up-s may be meant"),
    ],
)
def test_faults_of_the_section_are_reported(text: str, message: str) -> None:
    with pytest.raises(FaultyFeaturesError, match=message):
        check("f", f"version: 1\n{text}")


def test_the_program_fails_if_the_member_cannot_be_queried(tmp_path: Path) -> None:
    file = tmp_path / "policy.yaml"
    file.write_text(POLICY)
    assert print_translation(str(file), "127.0.0.1:9") == 1 and print_translation(str(file), "nowhere") == 2
    assert print_translation(str(tmp_path / "none"), "127.0.0.1:9") == 1

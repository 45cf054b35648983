"""The session router with the real forwarding service and replicas, on fake links and a fake clock."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import pytest
from test_replication_service import FakeScheduler, RecordingCaller

from sablewheel.forwarding.errors import PeerUnavailableError
from sablewheel.forwarding.forwarding_state import ForwardingState
from sablewheel.forwarding.service import ForwardingService
from sablewheel.membership.view import Fact, Member, View
from sablewheel.overload.interface import Client, Idempotency, Outcome, Request, RequestClass, Tenant
from sablewheel.replication.plan import ReplicationPlan
from sablewheel.replication.plan import Settings as ReplicaSettings
from sablewheel.replication.service import ReplicationService
from sablewheel.serving.exchange import NO_OBSERVER, Exchange, ExchangeState
from sablewheel.serving.hooks import NO_RESULT_STORE
from sablewheel.session_affinity.codec import FRAME_TYPE
from sablewheel.session_affinity.events import PolicyActivated
from sablewheel.session_affinity.plan import AffinityPlan, AffinitySettings
from sablewheel.session_affinity.session_router import SessionRouter

NAMES = "abc"
REQUEST_CLASSES = {
    b"lookup": RequestClass(Idempotency.IDEMPOTENT, 1.0, 4.0),
    b"record": RequestClass(Idempotency.KEYED, 1.0, 4.0, 6.0),
}
TENANTS = {b"regina": Tenant(10.0)}


class Clock(FakeScheduler):
    def read(self) -> float:
        return self.now


class FakeLinks:
    """Links that lose no message, except that sending to an unreachable server fails."""

    last_transit_s = 0.001

    def __init__(self, time: FakeScheduler, name: str, links_by_name: dict[str, FakeLinks]) -> None:
        self.time, self.name, self.others, self.unreachable = time, name, links_by_name, set[str]()
        self.handlers: dict[str, Callable[[str, bytes], None]] = {}
        links_by_name[name] = self

    def register_handler(
        self, message_type: str, handler: Callable[[str, bytes], None], accept_departed: bool = False
    ) -> None:
        self.handlers[message_type] = handler

    def on_connection_lost(self, callback: Callable[[str], None]) -> None: ...

    def send(
        self,
        peer_name: str,
        message_type: str,
        payload: bytes,
        *,
        expires_in_s: float,
        on_not_sent: Callable[[], None] | None = None,
    ) -> None:
        if peer_name in self.unreachable:
            raise PeerUnavailableError(peer_name)
        self.time.after(0.001, lambda: self.others[peer_name].handlers[message_type](self.name, payload))


class Server:
    """One server; this class is also the dispatcher, which starts all requests at once. `end` ends a run."""

    def __init__(
        self, time: FakeScheduler, name: str, links_by_name: dict[str, FakeLinks], view: View, **settings: Any
    ) -> None:
        self.time, self.name, self.links = time, name, FakeLinks(time, name, links_by_name)
        self.counts, self.running, self.leave_count = Counter[str](), list[Exchange](), 0
        scheduler, clock = cast(Any, time), lambda: time.now
        links = cast(Any, self.links)
        self.forward = ForwardingService(
            scheduler, links, ForwardingState(), 1000, REQUEST_CLASSES, TENANTS, lambda: self.observer, clock
        )
        replica_settings = ReplicaSettings(max_lifetime_s=9.0, waits_after_cold_start=False, slots=8)
        self.replication = ReplicationService(
            scheduler,
            links,
            ReplicationPlan(replica_settings),
            name,
            1,
            NO_RESULT_STORE,
            NO_OBSERVER,
            self.on_never_started,
            self.count,
            clock=clock,
        )
        self.fleet = SimpleNamespace(
            node_name=name,
            node=SimpleNamespace(local_member=SimpleNamespace(incarnation=1)),
            view=view,
            on_view=self.on_view,
            leave=self.leave,
        )
        self.observer: Any = NO_OBSERVER
        self.router = SessionRouter(
            scheduler,
            AffinityPlan(settings=AffinitySettings(**settings)),
            cast(Any, self.fleet),
            links,
            self.forward,
            self.replication,
            self.replication,
            self.replication,
            TENANTS,
            lambda: 1.0,
            4.0,
            5.0,
            clock,
        )
        self.observer = self.router.observer
        self.handler = self.router.handler(self.forward.handler(self))
        self.replication.view(view)
        self.change_view(view)

    def on_view(self, callback: Callable[[View], None]) -> None:
        self.change_view = callback

    def leave(self) -> None:
        self.leave_count += 1

    def count(self, counter: str) -> None:
        self.counts[counter] += 1

    def arrived(self, exchange: Exchange) -> None:
        exchange.state = ExchangeState.RUNNING
        self.router.result_store.before_run(exchange, self.running.append)

    def cancelled(self, exchange: Exchange) -> None: ...

    def on_never_started(self, exchange: Exchange) -> None:
        self.router.result_store.run_ended(exchange, Outcome.NEVER_STARTED, b"")

    def end(self, exchange: Exchange) -> None:
        self.running.remove(exchange)
        self.router.result_store.run_ended(exchange, Outcome.SUCCEEDED, b"done")
        exchange.state = ExchangeState.FINISHED
        exchange.complete(b"done")


class ThreeServers:
    def __init__(self, **settings: Any) -> None:
        self.time, links_by_name = Clock(), dict[str, FakeLinks]()
        self.view = View(1, tuple(Member(name, "", f"z{name}", "", 1) for name in NAMES))
        self.servers = {name: Server(self.time, name, links_by_name, self.view, **settings) for name in NAMES}
        self.time.run(1.0)
        self.request_count = 0

    def send_request(
        self, at: str, request_class: bytes = b"record", subject: str = "kiosk-1"
    ) -> tuple[Exchange, RecordingCaller]:
        caller, server, self.request_count = RecordingCaller(), self.servers[at], self.request_count + 1
        idempotency_key = b"%032x" % self.request_count if request_class == b"record" else None
        request = Request(
            REQUEST_CLASSES[request_class],
            Client(),
            TENANTS[b"regina"],
            self.time.now,
            1.0,
            subject=subject or None,
        )
        request.deadline = self.time.now + 3.0
        name = b"%016x" % self.request_count
        exchange = Exchange(
            name,
            request_class,
            b"body",
            self.request_count,
            idempotency_key,
            request,
            cast(Any, caller),
            server.observer,
        )
        server.handler.arrived(exchange)
        return exchange, caller

    def running(self) -> dict[str, int]:
        return {name: len(server.running) for name, server in self.servers.items() if server.running}

    def end_all(self) -> None:
        for server in self.servers.values():
            for exchange in list(server.running):
                server.end(exchange)
        self.time.run(0.5)


@pytest.mark.parametrize("request_class", REQUEST_CLASSES)
def test_a_session_has_one_server_wherever_its_requests_arrive(request_class: bytes) -> None:
    fleet = ThreeServers()
    callers = []
    for at in "abcab":
        callers.append(fleet.send_request(at, request_class)[1])
        fleet.time.run(0.5)
    assert list(fleet.running().values()) == [5]
    fleet.end_all()
    assert [caller.answers for caller in callers] == [[("completed", b"done", 0.0)]] * 5


def test_a_request_without_a_session_is_served_where_it_arrives() -> None:
    fleet = ThreeServers()
    fleet.send_request("b", subject="")
    fleet.time.run(0.5)
    assert fleet.running() == {"b": 1} and fleet.servers["b"].router.counts["without_session"] == 1


def test_a_drain_hands_over_after_the_run_and_leaves_the_fleet_afterwards() -> None:
    fleet = ThreeServers()
    fleet.send_request("a")
    fleet.time.run(0.5)
    (owner,) = fleet.running()
    fleet.servers[owner].router.on_shutdown_notice()
    fleet.time.run(1.0)
    other = next(name for name in NAMES if name != owner)
    _, waiting_caller = fleet.send_request(other)  # the request waits for the successor
    fleet.time.run(0.3)
    assert fleet.running() == {owner: 1} and not fleet.servers[owner].leave_count
    fleet.end_all()
    fleet.time.run(1.0)
    (successor,) = fleet.running()
    assert successor != owner and not waiting_caller.answers
    fleet.send_request(owner)  # a late request is forwarded to the successor
    fleet.time.run(0.3)
    assert fleet.running() == {successor: 2} and not fleet.servers[owner].leave_count
    fleet.end_all()
    assert waiting_caller.answers == [("completed", b"done", 0.0)]
    fleet.time.run(5.0)
    assert fleet.servers[owner].leave_count == 1


def test_an_unreachable_owner_is_not_succeeded() -> None:
    fleet = ThreeServers()
    fleet.send_request("a")
    fleet.time.run(0.5)
    (owner,) = fleet.running()
    other = next(name for name in NAMES if name != owner)
    fleet.send_request(other, b"lookup")
    fleet.time.run(0.3)
    fleet.servers[other].links.unreachable.add(owner)
    _, rejected_caller = fleet.send_request(other)
    fleet.send_request(other, b"lookup")
    fleet.time.run(0.5)
    assert rejected_caller.answers == [("rejected", b"", 0.2)]
    assert fleet.running() == {owner: 2, other: 1}


def test_a_request_abandoned_during_its_owner_lookup_is_not_run() -> None:
    fleet = ThreeServers()
    exchange, caller = fleet.send_request("a", b"lookup")
    assert exchange.cancel()
    fleet.servers["a"].handler.cancelled(exchange)
    fleet.time.run(1.0)
    assert fleet.running() == {} and caller.answers == [] and fleet.servers["a"].router.is_settled()


def test_the_policy_fact_of_the_view_activates_a_version_and_migrates_nothing() -> None:
    fleet = ThreeServers()
    fleet.send_request("a")
    fleet.time.run(0.5)
    (owner,) = fleet.running()
    view = View(2, fleet.view.members, (Fact("policy/active", "7:abc:"),))
    for server in fleet.servers.values():
        server.replication.view(view)
        server.change_view(view)
    fleet.time.run(1.0)
    fleet.send_request(next(name for name in NAMES if name != owner))
    fleet.time.run(0.5)
    sessions = fleet.servers[owner].router.sessions
    assert fleet.running() == {owner: 2} and sessions.version == 7
    assert next(iter(sessions.owned.values())).binding.policy_version == 1
    fleet.servers[owner].router.activate(PolicyActivated(8, mandatory=True))
    fleet.time.run(0.5)
    assert next(iter(sessions.owned.values())).binding.policy_version == 8


def test_a_bad_packet_is_counted_and_dropped() -> None:
    fleet = ThreeServers()
    for data in (b"", b"\xff" * 9, b"\x08\x09"):
        fleet.servers["a"].links.handlers[FRAME_TYPE]("b", data)
    assert fleet.servers["a"].router.gauges()["affinity_packets_bad"] == 3

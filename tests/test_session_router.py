"""The session router on the real forward path and replicas, over fake links with a fake clock."""

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


class Wires:
    """Links that lose nothing but where they are cut."""

    last_transit_s = 0.001

    def __init__(self, time: FakeScheduler, name: str, all_of_them: dict[str, Wires]) -> None:
        self.time, self.name, self.others, self.cut = time, name, all_of_them, set[str]()
        self.handlers: dict[str, Callable[[str, bytes], None]] = {}
        all_of_them[name] = self

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
        if peer_name in self.cut:
            raise PeerUnavailableError(peer_name)
        self.time.after(0.001, lambda: self.others[peer_name].handlers[message_type](self.name, payload))


class Server:
    """One server: the dispatch is `arrived` here, which runs all at once and ends when told."""

    def __init__(
        self, time: FakeScheduler, name: str, wires: dict[str, Wires], view: View, **keys: Any
    ) -> None:
        self.time, self.name, self.links = time, name, Wires(time, name, wires)
        self.counts, self.running, self.left = Counter[str](), list[Exchange](), 0
        scheduler, clock = cast(Any, time), lambda: time.now
        links = cast(Any, self.links)
        self.forward = ForwardingService(
            scheduler, links, ForwardingState(), 1000, REQUEST_CLASSES, TENANTS, lambda: self.observer, clock
        )
        settings = ReplicaSettings(max_lifetime_s=9.0, waits_after_cold_start=False, slots=8)
        self.keeper = ReplicationService(
            scheduler,
            links,
            ReplicationPlan(settings),
            name,
            1,
            NO_RESULT_STORE,
            NO_OBSERVER,
            self.never_begun,
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
            AffinityPlan(settings=AffinitySettings(**keys)),
            cast(Any, self.fleet),
            links,
            self.forward,
            self.keeper,
            self.keeper,
            self.keeper,
            TENANTS,
            lambda: 1.0,
            4.0,
            5.0,
            clock,
        )
        self.observer = self.router.observer
        self.handler = self.router.handler(self.forward.handler(self))
        self.keeper.view(view)
        self.see(view)

    def on_view(self, callback: Callable[[View], None]) -> None:
        self.see = callback

    def leave(self) -> None:
        self.left += 1

    def count(self, what: str) -> None:
        self.counts[what] += 1

    def arrived(self, exchange: Exchange) -> None:
        exchange.state = ExchangeState.RUNNING
        self.router.result_store.before_run(exchange, self.running.append)

    def cancelled(self, exchange: Exchange) -> None: ...

    def never_begun(self, exchange: Exchange) -> None:
        self.router.result_store.run_ended(exchange, Outcome.NEVER_STARTED, b"")

    def end(self, exchange: Exchange) -> None:
        self.running.remove(exchange)
        self.router.result_store.run_ended(exchange, Outcome.SUCCEEDED, b"done")
        exchange.state = ExchangeState.FINISHED
        exchange.complete(b"done")


class ThreeServers:
    def __init__(self, **keys: Any) -> None:
        self.time, wires = Clock(), dict[str, Wires]()
        self.view = View(1, tuple(Member(name, "", f"z{name}", "", 1) for name in NAMES))
        self.servers = {name: Server(self.time, name, wires, self.view, **keys) for name in NAMES}
        self.time.run(1.0)
        self.names = 0

    def bring(
        self, at: str, request_class: bytes = b"record", subject: str = "kiosk-1"
    ) -> tuple[Exchange, RecordingCaller]:
        told, server, self.names = RecordingCaller(), self.servers[at], self.names + 1
        idempotency_key = b"%032x" % self.names if request_class == b"record" else None
        request = Request(
            REQUEST_CLASSES[request_class],
            Client(),
            TENANTS[b"regina"],
            self.time.now,
            1.0,
            subject=subject or None,
        )
        request.deadline = self.time.now + 3.0
        name = b"%016x" % self.names
        exchange = Exchange(
            name,
            request_class,
            b"body",
            self.names,
            idempotency_key,
            request,
            cast(Any, told),
            server.observer,
        )
        server.handler.arrived(exchange)
        return exchange, told

    def running(self) -> dict[str, int]:
        return {name: len(one.running) for name, one in self.servers.items() if one.running}

    def end_all(self) -> None:
        for server in self.servers.values():
            for exchange in list(server.running):
                server.end(exchange)
        self.time.run(0.5)


@pytest.mark.parametrize("request_class", REQUEST_CLASSES)
def test_a_session_has_one_server_wherever_its_requests_arrive(request_class: bytes) -> None:
    fleet = ThreeServers()
    told = []
    for at in "abcab":
        told.append(fleet.bring(at, request_class)[1])
        fleet.time.run(0.5)
    assert list(fleet.running().values()) == [5]
    fleet.end_all()
    assert [one.answers for one in told] == [[("completed", b"done", 0.0)]] * 5


def test_a_request_without_a_session_is_served_where_it_arrives() -> None:
    fleet = ThreeServers()
    fleet.bring("b", subject="")
    fleet.time.run(0.5)
    assert fleet.running() == {"b": 1} and fleet.servers["b"].router.counts["without_session"] == 1


def test_a_drain_hands_over_after_the_run_and_leaves_the_fleet_afterwards() -> None:
    fleet = ThreeServers()
    fleet.bring("a")
    fleet.time.run(0.5)
    (owner,) = fleet.running()
    fleet.servers[owner].router.leaving()
    fleet.time.run(1.0)
    other = next(name for name in NAMES if name != owner)
    _, waits = fleet.bring(other)  # it waits for the successor
    fleet.time.run(0.3)
    assert fleet.running() == {owner: 1} and not fleet.servers[owner].left
    fleet.end_all()
    fleet.time.run(1.0)
    (successor,) = fleet.running()
    assert successor != owner and not waits.answers
    fleet.bring(owner)  # one that comes late goes on to the successor
    fleet.time.run(0.3)
    assert fleet.running() == {successor: 2} and not fleet.servers[owner].left
    fleet.end_all()
    assert waits.answers == [("completed", b"done", 0.0)]
    fleet.time.run(5.0)
    assert fleet.servers[owner].left == 1


def test_an_unreachable_owner_is_not_succeeded() -> None:
    fleet = ThreeServers()
    fleet.bring("a")
    fleet.time.run(0.5)
    (owner,) = fleet.running()
    other = next(name for name in NAMES if name != owner)
    fleet.bring(other, b"lookup")
    fleet.time.run(0.3)
    fleet.servers[other].links.cut.add(owner)
    _, rejected = fleet.bring(other)
    fleet.bring(other, b"lookup")
    fleet.time.run(0.5)
    assert rejected.answers == [("rejected", b"", 0.2)]
    assert fleet.running() == {owner: 2, other: 1}


def test_a_request_abandoned_during_its_owner_lookup_is_not_run() -> None:
    fleet = ThreeServers()
    exchange, told = fleet.bring("a", b"lookup")
    assert exchange.cancel()
    fleet.servers["a"].handler.cancelled(exchange)
    fleet.time.run(1.0)
    assert fleet.running() == {} and told.answers == [] and fleet.servers["a"].router.settled()


def test_the_policy_fact_of_the_view_activates_a_version_and_migrates_nothing() -> None:
    fleet = ThreeServers()
    fleet.bring("a")
    fleet.time.run(0.5)
    (owner,) = fleet.running()
    view = View(2, fleet.view.members, (Fact("policy/active", "7:abc:"),))
    for server in fleet.servers.values():
        server.keeper.view(view)
        server.see(view)
    fleet.time.run(1.0)
    fleet.bring(next(name for name in NAMES if name != owner))
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

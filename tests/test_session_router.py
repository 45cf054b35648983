"""Affinity's shell on the real forward path and replicas, over made links with a made clock."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import pytest
from test_replication_service import Time, Told

from sablewheel.forwarding.errors import PeerUnavailableError
from sablewheel.forwarding.forwarding_state import ForwardingState
from sablewheel.forwarding.service import ForwardingService
from sablewheel.membership.view import Fact, Member, View
from sablewheel.overload.interface import Client, Idempotency, Outcome, Request, RequestClass, Tenant
from sablewheel.replication.plan import ReplicationPlan
from sablewheel.replication.plan import Settings as ReplicaSettings
from sablewheel.replication.service import Keeper
from sablewheel.serving.exchange import NO_OBSERVER, Exchange, Place
from sablewheel.serving.hooks import NO_RESULT_STORE
from sablewheel.session_affinity.events import Active
from sablewheel.session_affinity.plan import AffinityPlan, Settings
from sablewheel.session_affinity.session_router import KIND, Affinity, Watching

NAMES = "abc"
REQUEST_CLASSES = {
    b"lookup": RequestClass(Idempotency.IDEMPOTENT, 1.0, 4.0),
    b"record": RequestClass(Idempotency.KEYED, 1.0, 4.0, 6.0),
}
TENANTS = {b"regina": Tenant(10.0)}


class Clock(Time):
    def read(self) -> float:
        return self.now


class Wires:
    """Links that lose nothing but where they are cut."""

    last_transit_s = 0.001

    def __init__(self, time: Time, name: str, all_of_them: dict[str, Wires]) -> None:
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

    def __init__(self, time: Time, name: str, wires: dict[str, Wires], view: View, **keys: Any) -> None:
        self.time, self.name, self.links = time, name, Wires(time, name, wires)
        self.counts, self.running, self.left = Counter[str](), list[Exchange](), 0
        scheduler, clock = cast(Any, time), lambda: time.now
        links = cast(Any, self.links)
        self.forward = ForwardingService(
            scheduler, links, ForwardingState(), 1000, REQUEST_CLASSES, TENANTS, lambda: self.observer, clock
        )
        settings = ReplicaSettings(longest=9.0, cold_waits=False, slots=8)
        self.keeper = Keeper(
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
        self.affinity = Affinity(
            scheduler,
            AffinityPlan(settings=Settings(**keys)),
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
            self.count,
            clock,
        )
        self.observer = Watching(self.affinity)
        self.handler = self.affinity.handler(self.forward.handler(self))
        self.keeper.view(view)
        self.see(view)

    def on_view(self, callback: Callable[[View], None]) -> None:
        self.see = callback

    def leave(self) -> None:
        self.left += 1

    def count(self, what: str) -> None:
        self.counts[what] += 1

    def arrived(self, exchange: Exchange) -> None:
        exchange.place = Place.RUNNING
        self.affinity.before_run(exchange, self.running.append)

    def gone(self, exchange: Exchange) -> None: ...

    def never_begun(self, exchange: Exchange) -> None:
        self.affinity.ended(exchange, Outcome.NEVER_STARTED, b"")

    def end(self, exchange: Exchange) -> None:
        self.running.remove(exchange)
        self.affinity.ended(exchange, Outcome.SUCCEEDED, b"done")
        exchange.place = Place.OVER
        exchange.complete(b"done")


class Three:
    def __init__(self, **keys: Any) -> None:
        self.time, wires = Clock(), dict[str, Wires]()
        self.view = View(1, tuple(Member(name, "", f"z{name}", "", 1) for name in NAMES))
        self.servers = {name: Server(self.time, name, wires, self.view, **keys) for name in NAMES}
        self.time.run(1.0)
        self.names = 0

    def bring(
        self, at: str, request_class: bytes = b"record", subject: str = "kiosk-1"
    ) -> tuple[Exchange, Told]:
        told, server, self.names = Told(), self.servers[at], self.names + 1
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
def test_a_session_has_one_server_wherever_its_requests_come(request_class: bytes) -> None:
    three = Three()
    told = []
    for at in "abcab":
        told.append(three.bring(at, request_class)[1])
        three.time.run(0.5)
    assert list(three.running().values()) == [5]
    three.end_all()
    assert [one.answers for one in told] == [[("completed", b"done", 0.0)]] * 5


def test_a_request_without_a_session_is_served_where_it_comes() -> None:
    three = Three()
    three.bring("b", subject="")
    three.time.run(0.5)
    assert three.running() == {"b": 1} and three.servers["b"].affinity.counts["without_session"] == 1


def test_a_drain_hands_over_after_the_run_and_tells_the_fleet_then() -> None:
    three = Three()
    three.bring("a")
    three.time.run(0.5)
    (owner,) = three.running()
    three.servers[owner].affinity.leaving()
    three.time.run(1.0)
    other = next(name for name in NAMES if name != owner)
    _, waits = three.bring(other)  # it waits for the successor
    three.time.run(0.3)
    assert three.running() == {owner: 1} and not three.servers[owner].left
    three.end_all()
    three.time.run(1.0)
    (successor,) = three.running()
    assert successor != owner and not waits.answers
    three.bring(owner)  # one that comes late goes on to the successor
    three.time.run(0.3)
    assert three.running() == {successor: 2} and not three.servers[owner].left
    three.end_all()
    assert waits.answers == [("completed", b"done", 0.0)]
    three.time.run(5.0)
    assert three.servers[owner].left == 1


def test_an_owner_out_of_reach_is_not_succeeded() -> None:
    three = Three()
    three.bring("a")
    three.time.run(0.5)
    (owner,) = three.running()
    other = next(name for name in NAMES if name != owner)
    three.bring(other, b"lookup")
    three.time.run(0.3)
    three.servers[other].links.cut.add(owner)
    _, rejected = three.bring(other)
    three.bring(other, b"lookup")
    three.time.run(0.5)
    assert rejected.answers == [("denied", b"", 0.2)]
    assert three.running() == {owner: 2, other: 1}


def test_who_gave_up_while_its_owner_was_looked_for_is_not_run() -> None:
    three = Three()
    exchange, told = three.bring("a", b"lookup")
    assert exchange.discard()
    three.servers["a"].handler.gone(exchange)
    three.time.run(1.0)
    assert three.running() == {} and told.answers == [] and three.servers["a"].affinity.settled()


def test_the_fleets_fact_makes_a_version_active_and_moves_nobody() -> None:
    three = Three()
    three.bring("a")
    three.time.run(0.5)
    (owner,) = three.running()
    view = View(2, three.view.members, (Fact("policy/active", "7:abc:"),))
    for server in three.servers.values():
        server.keeper.view(view)
        server.see(view)
    three.time.run(1.0)
    three.bring(next(name for name in NAMES if name != owner))
    three.time.run(0.5)
    sessions = three.servers[owner].affinity.sessions
    assert three.running() == {owner: 2} and sessions.version == 7
    assert next(iter(sessions.owned.values())).binding.version == 1
    three.servers[owner].affinity.activate(Active(8, mandatory=True))
    three.time.run(0.5)
    assert next(iter(sessions.owned.values())).binding.version == 8


def test_a_bad_packet_is_counted_and_dropped() -> None:
    three = Three()
    for data in (b"", b"\xff" * 9, b"\x08\x09"):
        three.servers["a"].links.handlers[KIND]("b", data)
    assert three.servers["a"].affinity.gauges()["affinity_packets_bad"] == 3

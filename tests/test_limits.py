"""No bound below 1,024 on any list of servers or clients, each tried at its border."""

from __future__ import annotations

import json
import socket
import tracemalloc
from pathlib import Path
from types import SimpleNamespace

import pytest
from simulated_server import SimulatedServer
from test_serving import SERVER_SETTINGS

from sablewheel.experiments.fleet import Block
from sablewheel.experiments.simulated_network import Net
from sablewheel.experiments.testbed import free_port
from sablewheel.feature_policy.host_capabilities import CATALOGUE
from sablewheel.forwarding.peer_connections import PeerConnections
from sablewheel.forwarding.plan import ConnectionSettings
from sablewheel.membership import codec
from sablewheel.membership.cut_detector import CutDetector, fit_changes
from sablewheel.membership.events import MessageReceived, Send, TimerFired
from sablewheel.membership.gossip import MIN_PENDING_UPDATES_CAPACITY
from sablewheel.membership.messages import Alive, Envelope, Message, Nack, PingRequest, Vote, Votes
from sablewheel.membership.plan import Settings
from sablewheel.membership.probe_relay import MAX_RELAYED_PROBES
from sablewheel.membership.view import Change, ChangeKind, Member, View, canonical_proposal
from sablewheel.membership.voting import fit_tallies
from sablewheel.overload.interface import Client
from sablewheel.program import application, configuration
from sablewheel.program import feature_file as features
from sablewheel.program.feature_set import FeatureSet
from sablewheel.program.feature_settings.collector import CollectorSection
from sablewheel.protocol import resp
from sablewheel.serving.client_table import CLIENTS_PER_EXPECTED
from sablewheel.transport.scheduler import Clock, Scheduler
from sablewheel.usage_metering.collector import Collector
from sablewheel.usage_metering.plan import CollectorPlan

LEAST = 1024  # the operators' own bound
ENTRY_BYTES = 256  # a router remembered: its object, its number and its place in the table


def heard(server: SimulatedServer, number: int) -> Client:
    asked = resp.RequestMessage(
        tag=1,
        name=b"a",
        request_class=b"lookup",
        client=b"%d" % number,
        tenant=b"acme",
        arrived_at_unix=server.now,
        memory_kb=10.0,
        idempotency_key=None,
        subject=None,
        body=b"",
        deadline_unix=None,
        is_retry=False,
        cost_hint_s=None,
    )
    return server.listener.make_request(asked).client


def test_1024_routers_are_remembered_whatever_the_settings_tell_and_an_entry_is_small() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    empty = len(server.listener._clients)
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        first = [heard(server, 10**18 + place) for place in range(LEAST - empty)]
        took = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    assert took < LEAST * ENTRY_BYTES, took
    assert heard(server, 10**18) is first[0]  # the table is full to the border and nobody had to go
    assert heard(server, 7) is not first[0] and heard(server, 10**18) is first[0]
    assert heard(server, 10**18 + 1) is not first[1]  # one past the border: who was heard longest ago went
    assert len(server.listener._clients) == LEAST


def test_more_routers_are_remembered_where_the_settings_or_the_descriptors_allow_more() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    server.listener.expect_clients(3000)
    first = heard(server, 1)
    for number in range(2, CLIENTS_PER_EXPECTED * 3000 + 1):
        heard(server, number)
    assert heard(server, 1) is first and len(server.listener._clients) == CLIENTS_PER_EXPECTED * 3000
    server.listener.expect_clients(1)  # a new configuration tells of one
    heard(server, 1)
    assert len(server.listener._clients) == LEAST
    server.listener._max_connections = 1500
    server.listener.expect_clients(1)
    for number in range(2, 2000):
        heard(server, number)
    assert len(server.listener._clients) == 1500


# -- membership: who starts at once, who joins at once, who is heard of at once


def settled(net: Net, within: float) -> float:
    """Seconds until all hold one view of all; fails past `within`."""
    begun = net.now
    while net.now < begun + within:
        net.run(net.now + 0.5)
        views = {node.view for node in net.nodes.values()}
        if len(views) == 1 and None not in views and len(views.pop().members) == len(net.nodes):  # type: ignore[union-attr]
            return net.now - begun
    raise AssertionError(sorted(len(view) for view in net.views().values()))


@pytest.mark.parametrize("many", [230, 256, 1024])
def test_a_fleet_that_starts_all_at_once_founds_one_view_of_all(many: int) -> None:
    net = Net(Settings(), 3)
    for place in range(many):
        net.add(f"m{place:04}")
    assert settled(net, 10.0) <= 4.0 and len(net.nodes["m0001"].members) == many


@pytest.mark.parametrize("standing, many", [(3, 256), (40, 120)])
def test_who_joins_at_once_comes_in_by_a_view_and_reports_are_not_judged_one_by_one(
    standing: int, many: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    judged: list[str] = []
    stable = CutDetector._stable_changes

    def counted(reports: CutDetector, gone: set[str]) -> list[Change]:
        judged.append(reports._member_table.local_member.name)
        return stable(reports, gone)

    monkeypatch.setattr(CutDetector, "_stable_changes", counted)
    net = Net(Settings(), 3)
    for place in range(standing):
        net.add(f"m{place:04}")
    net.run(8.0)
    judged.clear()
    there = set(net.nodes)
    for place in range(standing, many):
        net.add(f"m{place:04}")
    assert settled(net, 10.0) <= 3.0
    # Not once for each of the reports, which are some hundreds on each member that stood.
    assert 0 < sum(name in there for name in judged) <= 10 * standing


def test_votes_fit_a_datagram_whoever_joins_or_goes_at_once() -> None:
    def members(what: str, many: int, size: int) -> list[Member]:
        return [
            Member(f"{what}{n:05}".ljust(size, "x"), "203.0.113.100:65535", "zone", "region", 10**12)
            for n in range(many)
        ]

    for size in (12, 128):
        joins = [Change(ChangeKind.JOIN, one) for one in members("j", LEAST, size)]
        goes = [Change(ChangeKind.REMOVE, one) for one in members("r", LEAST // 2 - 1, size)]
        some, cut = fit_changes(joins), fit_changes(joins + goes)
        assert 0 < len(some) < LEAST and {one.kind for one in some} == {ChangeKind.JOIN}
        assert sum(one.kind is ChangeKind.REMOVE for one in cut) == min(len(goes), len(fit_changes(goes)))
        assert len(goes) == len(fit_changes(goes)) or size == 128
        codec.encode(Message(Envelope("m", 1), Vote(canonical_proposal(cut))))
        bits = (1 << LEAST) - 1
        tallies = fit_tallies(
            [(canonical_proposal(part), bits) for part in (cut, goes[1:] + joins, some, joins[:9])]
        )
        assert tallies and tallies[0][0] == canonical_proposal(cut)
        codec.encode(Message(Envelope("m", 1), Votes(tuple(tallies))))
    few = [(canonical_proposal(joins[place : place + 2]), 1) for place in range(6)]
    assert fit_tallies(few) == few[:4]


def test_1024_rumours_and_1024_probes_for_others_are_kept_at_once_and_more_in_a_larger_fleet() -> None:
    assert min(MIN_PENDING_UPDATES_CAPACITY, MAX_RELAYED_PROBES) >= LEAST
    net = Net(Settings(), 1)
    net.stand(2 * LEAST)
    node = net.nodes["m00000"]
    for place in range(1, 2 * LEAST):
        node.gossip.disseminate(Alive(f"m{place:05}", 2))
    assert len(node.gossip.pending) == 2 * LEAST - 1  # one of each other, none pushed out
    node.gossip.disseminate(Alive("m00001", 3))
    assert len(node.gossip.pending) == 2 * LEAST - 1  # the newer took the older's place
    for seq in range(MAX_RELAYED_PROBES + 1):
        body = PingRequest(seq, "m00007", "")
        node.step(net.now, MessageReceived(Message(Envelope(f"m{seq % LEAST + 1:05}", 1), body), "x"))
    assert (
        len(node.failure_detector.relay.probes) == MAX_RELAYED_PROBES and node.counters["relays_refused"] == 1
    )
    sent = node.step(net.now + 1.0, TimerFired())
    bodies = [one.message.body for one in sent if isinstance(one, Send)]
    nacks = [body.sequence for body in bodies if isinstance(body, Nack)]
    assert nacks == list(range(MAX_RELAYED_PROBES)) and not node.failure_detector.relay.probes


# -- links, the descriptors that they take, and the ledger's collector


def test_links_have_room_for_1024_members_both_ways_and_keep_no_more_than_the_view_needs() -> None:
    scheduler, port = Scheduler(Clock()), free_port()
    links = PeerConnections(scheduler, ("127.0.0.1", port), ConnectionSettings(), "m0000", 1)

    def fleet(many: int) -> View:
        says = (("link", "127.0.0.1:9"),)
        return View(
            1, tuple(Member(f"m{place:04}", "", incarnation=1, metadata=says) for place in range(many))
        )

    for many, room in ((0, 64), (3, 64), (32, 64), (60, 120), (230, 460), (LEAST, 2 * LEAST)):
        links.handle_view(fleet(many))
        assert links.max_connections == room
    links._unidentified_count = 2 * LEAST - 1
    assert links._has_capacity()
    links._unidentified_count = 2 * LEAST
    assert not links._has_capacity()
    links._unidentified_count = 0
    links.handle_view(fleet(60))
    peers = [socket.create_connection(("127.0.0.1", port)) for _ in range(121)]
    scheduler.after(0.2, scheduler.stop)
    scheduler.run()
    assert links._unidentified_count == 120  # one past them waits in the kernel's line
    for peer in peers:
        peer.close()
    links.close()


def test_routers_have_the_connections_that_links_do_not_need_and_half_of_them_in_any_case(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    block = Block()
    host, told = f"127.{block.second}.0.1", tmp_path / "configuration.json"
    request_class = {"name": "lookup", "on-time-s": 1.0, "deadline-s": 4.0, "repeat": "safe"}
    settings = {
        "classes": [request_class],
        "extra": {"cores": 2, "memory-kb": 20000},
        "safety": {"fall-multiple": 5},
    }
    places = {key: f"{host}:{port}" for key, port in (("listen", 7001), ("vm", 6100), ("naming", 2379))}
    told.write_text(json.dumps({"name": "n1", "seed": "2a", **places, "settings": settings}))
    on = tmp_path / "features.yaml"
    on.write_text(
        f"version: 1\nmembership:\n  listen: {host}:7700\n  zone: a\n  region: b\n  seeds: [{host}:7700]\n"
        f"forwarding:\n  listen: {host}:7702\n"
    )
    monkeypatch.setattr(application, "CONNECTION_LIMIT_INTERVAL_S", 0.01)
    one = application.Application(
        configuration.placement_settings({"RELAY_CONFIG": str(told)}), features.read(on)
    )
    assert one._request_listener._max_connections == 1004 - 64
    parts = one._features
    assert isinstance(parts, FeatureSet)
    for needs, left in ((460, 544), (2048, 502), (64, 940)):
        parts._descriptors[:] = [lambda needs=needs: needs]  # type: ignore[misc]
        one._scheduler.after(0.05, one._scheduler.stop)
        one._scheduler.run()
        one._scheduler._stopped = False
        assert one._request_listener._max_connections == left
    one._listener.close()
    parts.close(0.0)
    block.close()


def test_the_collector_takes_1024_servers_and_as_many_more_that_are_new_in_their_place() -> None:
    plan = CollectorPlan(Path("book"), ("127.0.0.1", 1))
    assert CollectorSection(book="book", listen="127.0.0.1:1").plan().max_connections == (
        plan.max_connections
    )
    crowd = SimpleNamespace(connections=dict.fromkeys(range(2 * LEAST - 1)), _plan=plan)
    assert Collector._has_capacity(crowd)  # type: ignore[arg-type]
    crowd.connections[-1] = None
    assert not Collector._has_capacity(crowd)  # type: ignore[arg-type]


def test_a_policy_may_ask_for_links_to_1024_peers() -> None:
    [peers] = CATALOGUE["forward-near"].parameters
    assert peers.least == 1 and peers.most >= LEAST

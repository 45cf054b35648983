"""No list of servers or clients has a limit below 1,024; each limit is tested at its boundary."""

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

MIN_LIMIT = 1024  # the lowest limit that the operators allow
ENTRY_BYTES = 256  # a stored client: its object, its number and its table entry


def receive_request(server: SimulatedServer, number: int) -> Client:
    message = resp.RequestMessage(
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
    return server.listener.make_request(message).client


def test_1024_clients_are_stored_regardless_of_the_settings_and_an_entry_is_small() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    initial_count = len(server.listener._clients)
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        clients = [receive_request(server, 10**18 + index) for index in range(MIN_LIMIT - initial_count)]
        bytes_used = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    assert bytes_used < MIN_LIMIT * ENTRY_BYTES, bytes_used
    assert receive_request(server, 10**18) is clients[0]  # the table is full, and no client was evicted
    assert receive_request(server, 7) is not clients[0] and receive_request(server, 10**18) is clients[0]
    assert (
        receive_request(server, 10**18 + 1) is not clients[1]
    )  # beyond the limit, the least recent client is evicted
    assert len(server.listener._clients) == MIN_LIMIT


def test_more_clients_are_stored_if_the_settings_or_the_descriptors_allow_more() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    server.listener.expect_clients(3000)
    first = receive_request(server, 1)
    for number in range(2, CLIENTS_PER_EXPECTED * 3000 + 1):
        receive_request(server, number)
    assert (
        receive_request(server, 1) is first and len(server.listener._clients) == CLIENTS_PER_EXPECTED * 3000
    )
    server.listener.expect_clients(1)  # a new configuration expects one client
    receive_request(server, 1)
    assert len(server.listener._clients) == MIN_LIMIT
    server.listener._max_connections = 1500
    server.listener.expect_clients(1)
    for number in range(2, 2000):
        receive_request(server, number)
    assert len(server.listener._clients) == 1500


# -- membership: simultaneous starts, joins and updates


def time_to_settle(net: Net, timeout_s: float) -> float:
    """Return the seconds until all nodes have the same view of all nodes; fail after `timeout_s`."""
    started_at = net.now
    while net.now < started_at + timeout_s:
        net.run(net.now + 0.5)
        views = {node.view for node in net.nodes.values()}
        if len(views) == 1 and None not in views and len(views.pop().members) == len(net.nodes):  # type: ignore[union-attr]
            return net.now - started_at
    raise AssertionError(sorted(len(view) for view in net.views().values()))


@pytest.mark.parametrize("count", [230, 256, 1024])
def test_a_fleet_that_starts_simultaneously_creates_one_view_of_all_members(count: int) -> None:
    net = Net(Settings(), 3)
    for index in range(count):
        net.add(f"m{index:04}")
    assert time_to_settle(net, 10.0) <= 4.0 and len(net.nodes["m0001"].members) == count


@pytest.mark.parametrize("initial_count, count", [(3, 256), (40, 120)])
def test_members_that_join_simultaneously_are_added_by_a_view_and_reports_are_evaluated_together(
    initial_count: int, count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    evaluated_by: list[str] = []
    original = CutDetector._stable_changes

    def counting(reports: CutDetector, removed_names: set[str]) -> list[Change]:
        evaluated_by.append(reports._member_table.local_member.name)
        return original(reports, removed_names)

    monkeypatch.setattr(CutDetector, "_stable_changes", counting)
    net = Net(Settings(), 3)
    for index in range(initial_count):
        net.add(f"m{index:04}")
    net.run(8.0)
    evaluated_by.clear()
    initial_names = set(net.nodes)
    for index in range(initial_count, count):
        net.add(f"m{index:04}")
    assert time_to_settle(net, 10.0) <= 3.0
    # Not once per report: each initial member gets some hundreds of reports.
    assert 0 < sum(name in initial_names for name in evaluated_by) <= 10 * initial_count


def test_votes_fit_a_datagram_regardless_of_the_number_of_simultaneous_changes() -> None:
    def members(prefix: str, count: int, size: int) -> list[Member]:
        return [
            Member(f"{prefix}{n:05}".ljust(size, "x"), "203.0.113.100:65535", "zone", "region", 10**12)
            for n in range(count)
        ]

    for size in (12, 128):
        joins = [Change(ChangeKind.JOIN, member) for member in members("j", MIN_LIMIT, size)]
        removals = [Change(ChangeKind.REMOVE, member) for member in members("r", MIN_LIMIT // 2 - 1, size)]
        fitting_joins, cut = fit_changes(joins), fit_changes(joins + removals)
        assert 0 < len(fitting_joins) < MIN_LIMIT and {change.kind for change in fitting_joins} == {
            ChangeKind.JOIN
        }
        assert sum(change.kind is ChangeKind.REMOVE for change in cut) == min(
            len(removals), len(fit_changes(removals))
        )
        assert len(removals) == len(fit_changes(removals)) or size == 128
        codec.encode(Message(Envelope("m", 1), Vote(canonical_proposal(cut))))
        bits = (1 << MIN_LIMIT) - 1
        tallies = fit_tallies(
            [
                (canonical_proposal(part), bits)
                for part in (cut, removals[1:] + joins, fitting_joins, joins[:9])
            ]
        )
        assert tallies and tallies[0][0] == canonical_proposal(cut)
        codec.encode(Message(Envelope("m", 1), Votes(tuple(tallies))))
    proposals = [(canonical_proposal(joins[index : index + 2]), 1) for index in range(6)]
    assert fit_tallies(proposals) == proposals[:4]


def test_1024_updates_and_1024_relayed_probes_are_pending_at_once_and_more_in_a_larger_fleet() -> None:
    assert min(MIN_PENDING_UPDATES_CAPACITY, MAX_RELAYED_PROBES) >= MIN_LIMIT
    net = Net(Settings(), 1)
    net.add_fleet(2 * MIN_LIMIT)
    node = net.nodes["m00000"]
    for index in range(1, 2 * MIN_LIMIT):
        node.gossip.disseminate(Alive(f"m{index:05}", 2))
    assert len(node.gossip.pending) == 2 * MIN_LIMIT - 1  # one update per other member, none evicted
    node.gossip.disseminate(Alive("m00001", 3))
    assert len(node.gossip.pending) == 2 * MIN_LIMIT - 1  # the newer update replaced the older one
    for seq in range(MAX_RELAYED_PROBES + 1):
        body = PingRequest(seq, "m00007", "")
        node.step(net.now, MessageReceived(Message(Envelope(f"m{seq % MIN_LIMIT + 1:05}", 1), body), "x"))
    assert (
        len(node.failure_detector.relay.probes) == MAX_RELAYED_PROBES and node.counters["relays_refused"] == 1
    )
    effects = node.step(net.now + 1.0, TimerFired())
    bodies = [effect.message.body for effect in effects if isinstance(effect, Send)]
    nacks = [body.sequence for body in bodies if isinstance(body, Nack)]
    assert nacks == list(range(MAX_RELAYED_PROBES)) and not node.failure_detector.relay.probes


# -- peer connections, their descriptors, and the collector of usage metering


def test_peer_connections_allow_1024_members_both_ways_and_no_more_than_the_view_needs() -> None:
    scheduler, port = Scheduler(Clock()), free_port()
    connections = PeerConnections(scheduler, ("127.0.0.1", port), ConnectionSettings(), "m0000", 1)

    def fleet(count: int) -> View:
        metadata = (("link", "127.0.0.1:9"),)
        return View(
            1, tuple(Member(f"m{index:04}", "", incarnation=1, metadata=metadata) for index in range(count))
        )

    for count, max_connections in (
        (0, 64),
        (3, 64),
        (32, 64),
        (60, 120),
        (230, 460),
        (MIN_LIMIT, 2 * MIN_LIMIT),
    ):
        connections.handle_view(fleet(count))
        assert connections.max_connections == max_connections
    connections._unidentified_count = 2 * MIN_LIMIT - 1
    assert connections._has_capacity()
    connections._unidentified_count = 2 * MIN_LIMIT
    assert not connections._has_capacity()
    connections._unidentified_count = 0
    connections.handle_view(fleet(60))
    peers = [socket.create_connection(("127.0.0.1", port)) for _ in range(121)]
    scheduler.after(0.2, scheduler.stop)
    scheduler.run()
    assert connections._unidentified_count == 120  # one more waits in the kernel's backlog
    for peer in peers:
        peer.close()
    connections.close()


def test_clients_get_the_connections_that_peers_do_not_need_and_at_least_half(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    block = Block()
    host, configuration_file = f"127.{block.second}.0.1", tmp_path / "configuration.json"
    request_class = {"name": "lookup", "on-time-s": 1.0, "deadline-s": 4.0, "repeat": "safe"}
    settings = {
        "classes": [request_class],
        "extra": {"cores": 2, "memory-kb": 20000},
        "safety": {"fall-multiple": 5},
    }
    addresses = {key: f"{host}:{port}" for key, port in (("listen", 7001), ("vm", 6100), ("naming", 2379))}
    configuration_file.write_text(json.dumps({"name": "n1", "seed": "2a", **addresses, "settings": settings}))
    features_file = tmp_path / "features.yaml"
    features_file.write_text(
        f"version: 1\nmembership:\n  listen: {host}:7700\n  zone: a\n  region: b\n  seeds: [{host}:7700]\n"
        f"forwarding:\n  listen: {host}:7702\n"
    )
    monkeypatch.setattr(application, "CONNECTION_LIMIT_INTERVAL_S", 0.01)
    app = application.Application(
        configuration.placement_settings({"RELAY_CONFIG": str(configuration_file)}),
        features.read(features_file),
    )
    assert app._request_listener._max_connections == 1004 - 64
    feature_set = app._features
    assert isinstance(feature_set, FeatureSet)
    for needed, remaining in ((460, 544), (2048, 502), (64, 940)):
        feature_set._descriptors[:] = [lambda needed=needed: needed]  # type: ignore[misc]
        app._scheduler.after(0.05, app._scheduler.stop)
        app._scheduler.run()
        app._scheduler._stopped = False
        assert app._request_listener._max_connections == remaining
    app._listener.close()
    feature_set.close(0.0)
    block.close()


def test_the_collector_accepts_1024_servers_and_as_many_replacements() -> None:
    plan = CollectorPlan(Path("book"), ("127.0.0.1", 1))
    assert CollectorSection(book="book", listen="127.0.0.1:1").plan().max_connections == (
        plan.max_connections
    )
    collector = SimpleNamespace(connections=dict.fromkeys(range(2 * MIN_LIMIT - 1)), _plan=plan)
    assert Collector._has_capacity(collector)  # type: ignore[arg-type]
    collector.connections[-1] = None
    assert not Collector._has_capacity(collector)  # type: ignore[arg-type]


def test_a_policy_may_require_connections_to_1024_peers() -> None:
    [peers] = CATALOGUE["forward-near"].parameters
    assert peers.minimum == 1 and peers.maximum >= MIN_LIMIT

"""No bound below 1,024 on any list of servers or clients, each tried at its border."""

from __future__ import annotations

import random
import tracemalloc

import pytest
from test_routing import MACHINE
from world import Town

from sablewheel.membership import codec
from sablewheel.membership.detector import RELAYED_MOST
from sablewheel.membership.events import Got, Send, Tick
from sablewheel.membership.gossip import NEWS_KEPT
from sablewheel.membership.messages import Alive, Envelope, Join, Message, Nack, PingReq, Vote, Votes
from sablewheel.membership.node import Node
from sablewheel.membership.plan import Settings
from sablewheel.membership.reports import Reports
from sablewheel.membership.reports import _fitting as fitting
from sablewheel.membership.roster import JOINERS_MOST
from sablewheel.membership.view import Change, Kind, Member, proposal
from sablewheel.membership.voting import _fitting as votes_fitting
from sablewheel.protocol import resp
from sablewheel.routing.server import ROUTERS_TIMES
from sablewheel.terms import Router
from sablewheel.trials.made_net import Net

LEAST = 1024  # the operators' own bound
ENTRY_BYTES = 256  # a router remembered: its object, its number and its place in the table


def heard(town: Town, number: int) -> Router:
    asked = resp.Asked(
        tag=1, name=b"a", track=b"lookup", router=b"%d" % number, customer=b"acme", since=town.now, kb=10.0,
        label=None, subject=None, body=b"", until=None, again=False, estimate=None,
    )  # fmt: skip
    return town.server.ticket(asked).router


def test_1024_routers_are_remembered_whatever_the_settings_tell_and_an_entry_is_small() -> None:
    town = Town(MACHINE)
    empty = len(town.server._routers)
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        first = [heard(town, 10**18 + place) for place in range(LEAST - empty)]
        took = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    assert took < LEAST * ENTRY_BYTES, took
    assert heard(town, 10**18) is first[0]  # the table is full to the border and nobody had to go
    assert heard(town, 7) is not first[0] and heard(town, 10**18) is first[0]
    assert heard(town, 10**18 + 1) is not first[1]  # one past the border: who was heard longest ago went
    assert len(town.server._routers) == LEAST


def test_more_routers_are_remembered_where_the_settings_or_the_descriptors_allow_more() -> None:
    town = Town(MACHINE)
    town.server.expect(3000)
    first = heard(town, 1)
    for number in range(2, ROUTERS_TIMES * 3000 + 1):
        heard(town, number)
    assert heard(town, 1) is first and len(town.server._routers) == ROUTERS_TIMES * 3000
    town.server.expect(1)  # a new configuration tells of one
    heard(town, 1)
    assert len(town.server._routers) == LEAST
    town.server._connections_most = 1500
    town.server.expect(1)
    for number in range(2, 2000):
        heard(town, number)
    assert len(town.server._routers) == 1500


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
    stable = Reports._stable

    def counted(reports: Reports, gone: set[str]) -> list[Change]:
        judged.append(reports._roster.me.name)
        return stable(reports, gone)

    monkeypatch.setattr(Reports, "_stable", counted)
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


def asks(node: Node, now: float, name: str, address: str) -> None:
    member = Member(name, address, incarnation=1)
    node.step(now, Got(Message(Envelope(name, 0), Join(member)), "x"))


def test_a_seed_is_heard_behind_more_askers_than_there_is_room_for_and_the_silent_make_room() -> None:
    seeds = ("127.0.0.1:7000", "127.0.0.1:7001", "127.0.0.1:7002")
    node = Node(Member("s0", seeds[0], incarnation=1), seeds, Settings(), random.Random(1), 0.0)
    for place in range(JOINERS_MOST + 10):
        asks(node, 0.5, f"x{place}", "127.0.0.1:9")
    held = node.joining._viewless
    assert JOINERS_MOST >= LEAST and len(held) == JOINERS_MOST and node.counts["joins_refused"] == 10
    asks(node, 1.0, "s1", seeds[1])
    assert "s1" in held and len(held) == JOINERS_MOST and "x0" not in held
    asks(node, 1.0, "late", "127.0.0.1:9")
    assert "late" not in held  # all others asked just now
    asks(node, 4.0, "late", "127.0.0.1:9")  # but the seed, all were silent for long
    assert node.view is not None and node.members == ("late", "s0", "s1")


def test_votes_fit_a_datagram_whoever_joins_or_goes_at_once() -> None:
    def members(what: str, many: int, size: int) -> list[Member]:
        return [Member(f"{what}{n:05}".ljust(size, "x"), "203.0.113.100:65535", "zone", "region", 10**12)
                for n in range(many)]  # fmt: skip

    for size in (12, 128):
        joins = [Change(Kind.JOIN, one) for one in members("j", LEAST, size)]
        goes = [Change(Kind.REMOVE, one) for one in members("r", LEAST // 2 - 1, size)]
        some, cut = fitting(joins), fitting(joins + goes)
        assert 0 < len(some) < LEAST and {one.kind for one in some} == {Kind.JOIN}
        assert sum(one.kind is Kind.REMOVE for one in cut) == min(len(goes), len(fitting(goes)))
        assert len(goes) == len(fitting(goes)) or size == 128
        codec.encode(Message(Envelope("m", 1), Vote(proposal(cut))))
        bits = (1 << LEAST) - 1
        tallies = votes_fitting([(proposal(part), bits) for part in (cut, goes[1:] + joins, some, joins[:9])])
        assert tallies and tallies[0][0] == proposal(cut)
        codec.encode(Message(Envelope("m", 1), Votes(tuple(tallies))))
    few = [(proposal(joins[place : place + 2]), 1) for place in range(6)]
    assert votes_fitting(few) == few[:4]


def test_1024_rumours_and_1024_probes_for_others_are_kept_at_once_and_more_in_a_larger_fleet() -> None:
    assert min(NEWS_KEPT, RELAYED_MOST) >= LEAST
    net = Net(Settings(), 1)
    net.stand(2 * LEAST)
    node = net.nodes["m00000"]
    for place in range(1, 2 * LEAST):
        node.gossip.spread(Alive(f"m{place:05}", 2))
    assert len(node.gossip.news) == 2 * LEAST - 1  # one of each other, none pushed out
    node.gossip.spread(Alive("m00001", 3))
    assert len(node.gossip.news) == 2 * LEAST - 1  # the newer took the older's place
    for seq in range(RELAYED_MOST + 1):
        body = PingReq(seq, "m00007", "")
        node.step(net.now, Got(Message(Envelope(f"m{seq % LEAST + 1:05}", 1), body), "x"))
    assert len(node.detector.relayed) == RELAYED_MOST and node.counts["relays_refused"] == 1
    sent = node.step(net.now + 1.0, Tick())
    bodies = [one.message.body for one in sent if isinstance(one, Send)]
    nacks = [body.seq for body in bodies if isinstance(body, Nack)]
    assert nacks == list(range(RELAYED_MOST)) and not node.detector.relayed

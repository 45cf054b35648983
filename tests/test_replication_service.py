"""Replication's shell on made links: what a try is told, and when; packets that are none."""

from __future__ import annotations

import heapq
import socket
import time as clock
from collections import Counter
from collections.abc import Callable
from contextlib import closing
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sablewheel.experiments import wire
from sablewheel.experiments.fleet import LISTEN, Block
from sablewheel.experiments.forwarding import KEYS
from sablewheel.experiments.replication import Replicas
from sablewheel.experiments.rig import Rig
from sablewheel.forwarding.errors import PeerUnavailableError
from sablewheel.membership.view import Fact, Member, View
from sablewheel.overload.interface import Client, Idempotency, Request, RequestClass
from sablewheel.overload.interface import Outcome as Ended
from sablewheel.program.feature_file import FaultyFeaturesError, read
from sablewheel.protocol.resp import Parser
from sablewheel.replication import codec, messages
from sablewheel.replication.entries import EMPTY, Entry, Outcome
from sablewheel.replication.placement import Site
from sablewheel.replication.plan import ReplicationPlan, Settings
from sablewheel.replication.service import Keeper
from sablewheel.serving.exchange import Caller, Exchange, Place
from sablewheel.serving.hooks import NO_RESULT_STORE
from sablewheel.transport.scheduler import Scheduler

NAMES = "abc"
RECORD = RequestClass(Idempotency.KEYED, 1.0, 2.0, 6.0)


@dataclass
class Time:
    """The scheduler's part that the keeper uses, with a made clock."""

    now: float = 100.0
    queue: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    turn: int = 0

    @property
    def clock(self) -> Time:
        return self

    def after(self, span: float, do: Callable[[], None]) -> Any:
        self.turn += 1
        heapq.heappush(self.queue, (self.now + span, self.turn, do))
        return self

    def cancel(self) -> None: ...

    def run(self, span: float) -> None:
        end = self.now + span
        while self.queue and self.queue[0][0] <= end:
            self.now, _, do = heapq.heappop(self.queue)
            do()
        self.now = end


class Wires:
    """Links that lose nothing but where they are cut."""

    def __init__(self, time: Time, name: str, all_of_them: dict[str, Wires]) -> None:
        self.time, self.name, self.others, self.cut = time, name, all_of_them, False
        self.handler: Callable[[str, bytes], None] = lambda sender, payload: None
        all_of_them[name] = self

    def register_handler(
        self, message_type: str, handler: Callable[[str, bytes], None], accept_departed: bool = False
    ) -> None:
        self.handler = handler

    def send(self, peer_name: str, message_type: str, payload: bytes, *, expires_in_s: float) -> None:
        if self.cut:
            raise PeerUnavailableError(peer_name)
        peer = self.others[peer_name]
        if not peer.cut:
            self.time.after(0.001, lambda: None if peer.cut else peer.handler(self.name, payload))


class Told:
    """Whoever waits for an answer."""

    def __init__(self) -> None:
        self.answers: list[tuple[str, bytes, float]] = []

    def completed(self, exchange: Exchange, result: bytes) -> None:
        self.answers.append(("completed", result, 0.0))

    def rejected(self, exchange: Exchange, retry_after_s: float, no_retry_elsewhere: bool) -> None:
        self.answers.append(("denied", b"", retry_after_s))

    def failed(self, exchange: Exchange) -> None:
        self.answers.append(("terminated", b"", 0.0))


class Servers:
    """Three keepers; the dispatch is what is written here."""

    def __init__(self, **keys: Any) -> None:
        self.time, self.wires, self.counts = Time(), {}, Counter[str]()  # type: ignore[var-annotated]
        self.keepers: dict[str, Keeper] = {}
        self.runs: list[tuple[str, Exchange]] = []
        self.billed: list[bool] = []
        replica = Settings(longest=9.0, cold_waits=False, slots=8)
        for name in NAMES:
            self.keepers[name] = Keeper(
                cast(Scheduler, self.time),
                Wires(self.time, name, self.wires),
                ReplicationPlan(replica, **keys),
                name,
                1,
                NO_RESULT_STORE,
                self,
                self.never_begun(name),
                self.count,
                clock=lambda: self.time.now,
            )
        self.view = View(1, tuple(Member(name, "", f"z{name}", "", 1) for name in NAMES))
        for keeper in self.keepers.values():
            keeper.view(self.view)
        self.time.run(1.0)

    def count(self, name: str) -> None:
        self.counts[name] += 1

    def completed(self, exchange: Exchange, result: bytes, caller: Caller) -> None:
        self.billed.append(exchange.place is not Place.JOINED or not getattr(exchange.first, "billed", False))
        caller.completed(exchange, result)

    def rejected(self, exchange: Exchange) -> None: ...
    def failed(self, exchange: Exchange) -> None: ...
    def gone(self, exchange: Exchange) -> None: ...

    def never_begun(self, name: str) -> Callable[[Exchange], None]:
        def moot(exchange: Exchange) -> None:
            exchange.place = Place.OVER
            self.keepers[name].ended(exchange, Ended.NEVER_STARTED, b"")

        return moot

    def come(
        self, name: str, idempotency_key: bytes = b"label", body: bytes = b"body"
    ) -> tuple[Exchange, Told]:
        told, now = Told(), self.time.now
        request = Request(RECORD, Client(), None, now, 0.0)
        request.deadline = now + 2.0
        exchange = Exchange(
            b"%d" % id(told), b"record", body, 0, idempotency_key, request, told, self.keepers[name]
        )
        self.keepers[name].prepare(exchange)
        if request.key_capacity_in_s:
            exchange.reject(request.key_capacity_in_s, False)
            return exchange, told
        exchange.place = Place.RUNNING
        self.keepers[name].before_run(exchange, lambda one: self.runs.append((name, one)))
        return exchange, told

    def end(self, result: bytes = b"result", outcome: Ended = Ended.SUCCEEDED) -> None:
        """The last run that began is over, as the dispatch has it."""
        name, exchange = self.runs[-1]
        self.keepers[name].ended(exchange, outcome, result)
        if outcome is Ended.SUCCEEDED:
            exchange.complete(result)
        else:
            exchange.fail()
        exchange.place = Place.OVER

    def cut(self, name: str, cut: bool = True) -> None:
        self.wires[name].cut = cut


def test_the_answer_waits_for_a_majority_and_repeats_elsewhere_get_its_bytes() -> None:
    fleet = Servers()
    _, first = fleet.come("a")
    assert not fleet.runs
    fleet.time.run(0.1)
    assert len(fleet.runs) == 1
    _, again = fleet.come("b")
    fleet.end()
    assert first.answers == []
    fleet.time.run(0.5)
    assert first.answers == again.answers == [("completed", b"result", 0.0)]
    assert len(fleet.runs) == 1 and fleet.billed == [True, False]
    _, late = fleet.come("c")
    fleet.time.run(0.1)
    assert late.answers == first.answers and len(fleet.runs) == 1


def test_an_answer_leaves_once_when_its_bound_has_passed_and_the_majority_comes_later() -> None:
    fleet = Servers(hold_most=0.2)
    _, first = fleet.come("a")
    fleet.time.run(0.1)
    fleet.cut("a")
    fleet.end()
    fleet.time.run(0.19)
    assert first.answers == []
    fleet.time.run(0.02)
    assert len(first.answers) == 1 and fleet.counts["replication_answers_ahead"] == 1
    fleet.cut("a", False)
    fleet.time.run(1.5)
    assert len(first.answers) == 1 and not fleet.keepers["a"]._unstored


def test_without_a_majority_it_is_rejected_before_it_runs_and_the_next_at_the_door() -> None:
    fleet = Servers()
    fleet.cut("a")
    _, first = fleet.come("a")
    fleet.time.run(0.5)
    assert [kind for kind, _, _ in first.answers] == ["denied"] and first.answers[0][2] > 0
    _, second = fleet.come("a", b"other")
    assert [kind for kind, _, _ in second.answers] == ["denied"] and not fleet.runs
    fleet.cut("a", False)
    fleet.time.run(1.0)
    _, third = fleet.come("a", b"third")
    fleet.time.run(0.1)
    assert len(fleet.runs) == 1 and third.answers == []


def test_what_may_run_elsewhere_ends_in_an_error_and_is_not_rejected() -> None:
    fleet = Servers()
    fleet.come("a")
    fleet.time.run(0.1)
    fleet.cut("a")
    _, again = fleet.come("b")
    fleet.time.run(1.9)
    assert again.answers == []
    fleet.time.run(0.2)
    assert [kind for kind, _, _ in again.answers] == ["terminated"]
    fleet.cut("c")  # b alone: a copy says that it may have run
    fleet.time.run(0.2)
    _, third = fleet.come("b")
    fleet.time.run(2.1)
    assert [kind for kind, _, _ in third.answers] == ["terminated"] and len(fleet.runs) == 1


def test_a_failed_run_is_an_error_everywhere() -> None:
    fleet = Servers()
    fleet.come("a")
    fleet.time.run(0.1)
    fleet.end(b"", Ended.ERROR)
    fleet.time.run(0.2)
    _, again = fleet.come("b")
    fleet.time.run(0.1)
    assert [kind for kind, _, _ in again.answers] == ["terminated"] and len(fleet.runs) == 1


def test_a_idempotency_key_with_another_body_ends_in_an_error_at_once() -> None:
    fleet = Servers()
    fleet.come("a")
    fleet.time.run(0.1)
    _, other = fleet.come("b", body=b"another body")
    fleet.time.run(0.1)
    assert [kind for kind, _, _ in other.answers] == ["terminated"]
    assert fleet.counts["replication_differs"] == 1


def test_who_left_before_its_claim_was_won_leaves_the_idempotency_key_free() -> None:
    fleet = Servers()
    exchange, _ = fleet.come("a")
    exchange.discard()
    fleet.time.run(0.3)
    assert not fleet.runs
    fleet.come("b")
    fleet.time.run(0.3)
    assert [name for name, _ in fleet.runs] == ["b"]


def test_a_view_may_say_that_a_member_never_comes_back() -> None:
    fleet = Servers()
    view = View(2, fleet.view.members[:2], (Fact("gone/c", "1"),))
    fleet.keepers["a"].view(view)
    assert fleet.keepers["a"].replica.ranges.gone == {("c", 1)}


# -- real servers


def ask(stage: Replicas, name: str, request: bytes, idempotency_key: bytes) -> list[bytes]:
    """The words of the answer to one try of a record, at one server."""
    with socket.create_connection((stage.host(name), LISTEN), 5.0) as peer:
        peer.settimeout(5.0)
        peer.sendall(wire.call(7, request, b"record", clock.time(), b"body", b"regina", idempotency_key))
        parser = Parser()
        while data := peer.recv(4096):
            for words in parser.feed(data):
                if words[0] == b"7":
                    return list(words)
    return []


def test_three_servers_answer_one_idempotency_key_alike_also_when_the_first_is_killed() -> None:
    with Rig(1) as rig, closing(Block()) as block:
        stage = Replicas(rig, block.second, "ours", 0, 3, 1, zones=3, keys=KEYS)
        stage.cold = "run"
        for name in stage.names:
            stage.start(name)
        for name in stage.names:
            stage.wait_up(name)
        assert stage.wait_agreed(stage.names, 20.0) is not None, stage.processes["m0"].tail()
        idempotency_key, until, answers = b"%032x" % 7, clock.monotonic() + 20.0, list[list[bytes]]()
        while clock.monotonic() < until and [one[1] for one in answers] != [b"OK"]:
            answers = [ask(stage, "m0", b"%016x" % (clock.monotonic_ns() % (1 << 60)), idempotency_key)]
        answers.append(ask(stage, "m1", b"%016x" % 2, idempotency_key))
        stage.processes["m0"].kill()
        answers.append(ask(stage, "m2", b"%016x" % 3, idempotency_key))
        assert [one[1] for one in answers] == [b"OK"] * 3 and len({one[3] for one in answers}) == 1, answers
        begun = sum(word == "begin" for name in stage.names for word, _, _ in rig.runs(name))
        assert begun == 1
        assert [stage.processes[name].leave() for name in ("m1", "m2")] == [0, 0]
        stage.relay.close()


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("copies: 4", "odd is wanted"),
        ("claim-within-s: 0.1", "at least twice repeat-after-s"),
        ("copy: 3", "copies may be meant"),
        ("cold: maybe", "cold"),
    ],
)
def test_faults_of_the_section_are_told_by_key(tmp_path: Path, text: str, says: str) -> None:
    file = tmp_path / "features.yaml"
    file.write_text(f"version: 1\n\nreplication:\n  {text}\n")
    with pytest.raises(FaultyFeaturesError, match=says):
        read(file)


# -- packets

done = Outcome(1, ("a", 1, 1), "worked", b"r")
entry = Entry((1, 2, "a", 3), 4, ("b", 5, 6), b"value", b"d" * 16, True, (done,))
key = ("labels", b"k")
SOME: list[messages.Message] = [
    messages.Prepare(1, 2, key, 3, (1, 2, "a", 3), 4.5, b"group", 6),
    messages.Promise(1, 2, (1, 2, "a", 3), entry),
    messages.Accept(1, 2, key, 3, entry, 4.5, b"group", 6),
    messages.Accepted(1, 2, (1, 2, "a", 3)),
    messages.Refuse(1, 2, "full", (1, 2, "a", 3), (1, 1, "b", 3), entry),
    messages.Push(1, 2, key, 3, entry, 4.5),
    messages.Pushed(1, 2),
    messages.Fetch(1, 2, key, 3),
    messages.Fetched(1, 2, EMPTY),
    messages.AskPast(1, 0),
    messages.Past(1, 2, 3, ((1, (Site("a", 1, "z", 1.5),)),)),
    messages.Ask(1, ((2, (1 << 64) - 1),)),
    messages.Told(1, 2, ((3, 4, True),)),
    messages.Pull(1, 2, ("", b"")),
    messages.Piece(1, 2, 3, 4, ((key, entry, 5.5),), True),
]


@pytest.mark.parametrize("message", SOME, ids=lambda one: type(one).__name__)
def test_each_packet_comes_back_as_it_was(message: messages.Message) -> None:
    data = codec.encode(message)
    assert codec.decode(data) == message
    for place in range(len(data)):
        try:
            codec.decode(data[:place] + bytes([data[place] ^ 0x55]) + data[place + 1 :])
        except codec.BadPacketError:
            continue


@settings(max_examples=100)
@given(st.binary(max_size=60))
def test_what_is_no_packet_is_counted_and_dropped(data: bytes) -> None:
    fleet = Servers()
    fleet.wires["a"].handler("b", data)
    assert fleet.counts["replication_bad"] == 1


def test_packets_past_their_bounds_are_none() -> None:
    with pytest.raises(codec.BadPacketError, match="1024 ranges and 3 copies"):
        codec.decode(codec.encode(SOME[0], 1024, 3), 2048, 3)
    long = messages.Fetch(1, 2, ("labels", b"k" * (codec.KEY_MOST + 1)), 3)
    many = messages.Ask(1, ((2, 3),) * (codec.RANGES_MOST + 1))
    never = messages.Push(1, 2, key, 3, entry, float("nan"))
    past: list[messages.Message] = [long, many, never]
    for one in past:
        with pytest.raises(codec.BadPacketError):
            codec.decode(codec.encode(one))

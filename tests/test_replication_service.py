"""Tests of the replication service on fake connections: answers, their times, and invalid packets."""

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

from sablewheel.experiments import client_protocol as wire
from sablewheel.experiments.fleet import LISTEN, Block
from sablewheel.experiments.forwarding import MEMBERSHIP_SETTINGS
from sablewheel.experiments.replication import ReplicatedFleet
from sablewheel.experiments.testbed import Testbed
from sablewheel.forwarding.errors import PeerUnavailableError
from sablewheel.membership.view import Fact, Member, View
from sablewheel.overload.interface import Client, Idempotency, Request, RequestClass
from sablewheel.overload.interface import Outcome as Ended
from sablewheel.program.feature_file import FaultyFeaturesError, read
from sablewheel.protocol.resp import Parser
from sablewheel.replication import codec, messages, packet_fields
from sablewheel.replication.entries import EMPTY, Entry, Outcome, OutcomeStatus
from sablewheel.replication.placement import Site
from sablewheel.replication.plan import ReplicationPlan, Settings
from sablewheel.replication.service import ReplicationService
from sablewheel.serving.exchange import Caller, Exchange, ExchangeState
from sablewheel.serving.hooks import NO_RESULT_STORE
from sablewheel.transport.scheduler import Scheduler

NAMES = "abc"
RECORD = RequestClass(Idempotency.KEYED, 1.0, 2.0, 6.0)


@dataclass
class FakeScheduler:
    """The part of the scheduler that the service uses, with a fake clock."""

    now: float = 100.0
    queue: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    last_number: int = 0  # numbers the calls, so that those at the same time are run in order

    @property
    def clock(self) -> FakeScheduler:
        return self

    def after(self, delay_s: float, callback: Callable[[], None]) -> Any:
        self.last_number += 1
        heapq.heappush(self.queue, (self.now + delay_s, self.last_number, callback))
        return self

    def cancel(self) -> None: ...

    def run(self, duration_s: float) -> None:
        end = self.now + duration_s
        while self.queue and self.queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(self.queue)
            callback()
        self.now = end


class FakeConnections:
    """Connections that lose no messages unless they are disconnected."""

    def __init__(
        self, scheduler: FakeScheduler, name: str, all_connections: dict[str, FakeConnections]
    ) -> None:
        self.scheduler, self.name, self.others, self.is_disconnected = scheduler, name, all_connections, False
        self.handler: Callable[[str, bytes], None] = lambda sender, payload: None
        all_connections[name] = self

    def register_handler(
        self, message_type: str, handler: Callable[[str, bytes], None], accept_departed: bool = False
    ) -> None:
        self.handler = handler

    def send(self, peer_name: str, message_type: str, payload: bytes, *, expires_in_s: float) -> None:
        if self.is_disconnected:
            raise PeerUnavailableError(peer_name)
        peer = self.others[peer_name]
        if not peer.is_disconnected:
            self.scheduler.after(
                0.001, lambda: None if peer.is_disconnected else peer.handler(self.name, payload)
            )


class RecordingCaller:
    """A caller that records its answers."""

    def __init__(self) -> None:
        self.answers: list[tuple[str, bytes, float]] = []

    def completed(self, exchange: Exchange, result: bytes) -> None:
        self.answers.append(("completed", result, 0.0))

    def rejected(self, exchange: Exchange, retry_after_s: float, no_retry_elsewhere: bool) -> None:
        self.answers.append(("rejected", b"", retry_after_s))

    def failed(self, exchange: Exchange) -> None:
        self.answers.append(("failed", b"", 0.0))


class Servers:
    """Three replication services; this class takes the place of their dispatchers."""

    def __init__(self, **plan: Any) -> None:
        self.scheduler, self.connections, self.counts = FakeScheduler(), {}, Counter[str]()  # type: ignore[var-annotated]
        self.services: dict[str, ReplicationService] = {}
        self.runs: list[tuple[str, Exchange]] = []
        self.billed: list[bool] = []
        replica = Settings(max_lifetime_s=9.0, waits_after_cold_start=False, slots=8)
        for name in NAMES:
            self.services[name] = ReplicationService(
                cast(Scheduler, self.scheduler),
                FakeConnections(self.scheduler, name, self.connections),
                ReplicationPlan(replica, **plan),
                name,
                1,
                NO_RESULT_STORE,
                self,
                self.never_started(name),
                self.count,
                clock=lambda: self.scheduler.now,
            )
        self.view = View(1, tuple(Member(name, "", f"z{name}", "", 1) for name in NAMES))
        for service in self.services.values():
            service.view(self.view)
        self.scheduler.run(1.0)

    def count(self, name: str) -> None:
        self.counts[name] += 1

    def completed(self, exchange: Exchange, result: bytes, caller: Caller) -> None:
        self.billed.append(
            exchange.state is not ExchangeState.ATTACHED or not getattr(exchange.original, "billed", False)
        )
        caller.completed(exchange, result)

    def rejected(self, exchange: Exchange) -> None: ...
    def failed(self, exchange: Exchange) -> None: ...
    def cancelled(self, exchange: Exchange) -> None: ...

    def never_started(self, name: str) -> Callable[[Exchange], None]:
        def end_unstarted(exchange: Exchange) -> None:
            exchange.state = ExchangeState.FINISHED
            self.services[name].run_ended(exchange, Ended.NEVER_STARTED, b"")

        return end_unstarted

    def send_request(
        self, name: str, idempotency_key: bytes = b"label", body: bytes = b"body"
    ) -> tuple[Exchange, RecordingCaller]:
        caller, now = RecordingCaller(), self.scheduler.now
        request = Request(RECORD, Client(), None, now, 0.0)
        request.deadline = now + 2.0
        exchange = Exchange(
            b"%d" % id(caller), b"record", body, 0, idempotency_key, request, caller, self.services[name]
        )
        self.services[name].prepare(exchange)
        if request.key_capacity_in_s:
            exchange.reject(request.key_capacity_in_s, False)
            return exchange, caller
        exchange.state = ExchangeState.RUNNING
        self.services[name].before_run(exchange, lambda running: self.runs.append((name, running)))
        return exchange, caller

    def end_run(self, result: bytes = b"result", outcome: Ended = Ended.SUCCEEDED) -> None:
        """End the last started run, as the dispatcher does."""
        name, exchange = self.runs[-1]
        self.services[name].run_ended(exchange, outcome, result)
        if outcome is Ended.SUCCEEDED:
            exchange.complete(result)
        else:
            exchange.fail()
        exchange.state = ExchangeState.FINISHED

    def disconnect(self, name: str, is_disconnected: bool = True) -> None:
        self.connections[name].is_disconnected = is_disconnected


def test_an_answer_waits_for_a_majority_and_retries_elsewhere_get_the_same_result() -> None:
    fleet = Servers()
    _, first = fleet.send_request("a")
    assert not fleet.runs
    fleet.scheduler.run(0.1)
    assert len(fleet.runs) == 1
    _, again = fleet.send_request("b")
    fleet.end_run()
    assert first.answers == []
    fleet.scheduler.run(0.5)
    assert first.answers == again.answers == [("completed", b"result", 0.0)]
    assert len(fleet.runs) == 1 and fleet.billed == [True, False]
    _, late = fleet.send_request("c")
    fleet.scheduler.run(0.1)
    assert late.answers == first.answers and len(fleet.runs) == 1


def test_a_delayed_answer_is_sent_once_when_its_outcome_is_stored_after_the_timeout() -> None:
    fleet = Servers(max_answer_wait_s=0.2)
    _, first = fleet.send_request("a")
    fleet.scheduler.run(0.1)
    fleet.disconnect("a")
    fleet.end_run()
    fleet.scheduler.run(0.19)
    assert first.answers == []
    fleet.scheduler.run(0.02)
    assert len(first.answers) == 1 and fleet.counts["replication_answers_ahead"] == 1
    fleet.disconnect("a", False)
    fleet.scheduler.run(1.5)
    assert len(first.answers) == 1 and fleet.services["a"].pending_answers.is_empty


def test_without_a_majority_a_request_never_runs_and_the_next_is_rejected_on_arrival() -> None:
    fleet = Servers()
    fleet.disconnect("a")
    _, first = fleet.send_request("a")
    fleet.scheduler.run(0.5)
    assert [kind for kind, _, _ in first.answers] == ["rejected"] and first.answers[0][2] > 0
    _, second = fleet.send_request("a", b"other")
    assert [kind for kind, _, _ in second.answers] == ["rejected"] and not fleet.runs
    fleet.disconnect("a", False)
    fleet.scheduler.run(1.0)
    _, third = fleet.send_request("a", b"third")
    fleet.scheduler.run(0.1)
    assert len(fleet.runs) == 1 and third.answers == []


def test_a_request_that_may_run_elsewhere_fails_and_is_not_rejected() -> None:
    fleet = Servers()
    fleet.send_request("a")
    fleet.scheduler.run(0.1)
    fleet.disconnect("a")
    _, again = fleet.send_request("b")
    fleet.scheduler.run(1.9)
    assert again.answers == []
    fleet.scheduler.run(0.2)
    assert [kind for kind, _, _ in again.answers] == ["failed"]
    fleet.disconnect("c")  # b reaches no other server, but its own copy has the claim of a
    fleet.scheduler.run(0.2)
    _, third = fleet.send_request("b")
    fleet.scheduler.run(2.1)
    assert [kind for kind, _, _ in third.answers] == ["failed"] and len(fleet.runs) == 1


def test_a_failed_run_is_an_error_on_all_servers() -> None:
    fleet = Servers()
    fleet.send_request("a")
    fleet.scheduler.run(0.1)
    fleet.end_run(b"", Ended.ERROR)
    fleet.scheduler.run(0.2)
    _, again = fleet.send_request("b")
    fleet.scheduler.run(0.1)
    assert [kind for kind, _, _ in again.answers] == ["failed"] and len(fleet.runs) == 1


def test_an_idempotency_key_with_another_body_fails_at_once() -> None:
    fleet = Servers()
    fleet.send_request("a")
    fleet.scheduler.run(0.1)
    _, other = fleet.send_request("b", body=b"another body")
    fleet.scheduler.run(0.1)
    assert [kind for kind, _, _ in other.answers] == ["failed"]
    assert fleet.counts["replication_differs"] == 1


def test_a_request_discarded_before_its_claim_is_won_releases_the_key() -> None:
    fleet = Servers()
    exchange, _ = fleet.send_request("a")
    exchange.cancel()
    fleet.scheduler.run(0.3)
    assert not fleet.runs
    fleet.send_request("b")
    fleet.scheduler.run(0.3)
    assert [name for name, _ in fleet.runs] == ["b"]


def test_the_facts_of_a_view_name_permanently_removed_members() -> None:
    fleet = Servers()
    view = View(2, fleet.view.members[:2], (Fact("gone/c", "1"),))
    fleet.services["a"].view(view)
    assert fleet.services["a"].replica.ranges.removed == {("c", 1)}


# -- real servers


def send_record(fleet: ReplicatedFleet, name: str, request: bytes, idempotency_key: bytes) -> list[bytes]:
    """Send a request of the class `record` to one server; return the words of its answer."""
    with socket.create_connection((fleet.host(name), LISTEN), 5.0) as connection:
        connection.settimeout(5.0)
        connection.sendall(
            wire.call(7, request, b"record", clock.time(), b"body", b"regina", idempotency_key)
        )
        parser = Parser()
        while data := connection.recv(4096):
            for words in parser.feed(data):
                if words[0] == b"7":
                    return list(words)
    return []


def test_three_servers_give_the_same_answer_to_one_key_after_the_first_is_killed() -> None:
    with Testbed(1) as testbed, closing(Block()) as block:
        fleet = ReplicatedFleet(testbed, block.second, "ours", 0, 3, 1, zones=3, keys=MEMBERSHIP_SETTINGS)
        fleet.cold_start = "run"
        for name in fleet.names:
            fleet.start(name)
        for name in fleet.names:
            fleet.wait_until_up(name)
        assert fleet.wait_agreed(fleet.names, 20.0) is not None, fleet.processes["m0"].tail()
        idempotency_key, deadline, answers = b"%032x" % 7, clock.monotonic() + 20.0, list[list[bytes]]()
        while clock.monotonic() < deadline and [answer[1] for answer in answers] != [b"OK"]:
            answers = [
                send_record(fleet, "m0", b"%016x" % (clock.monotonic_ns() % (1 << 60)), idempotency_key)
            ]
        answers.append(send_record(fleet, "m1", b"%016x" % 2, idempotency_key))
        fleet.processes["m0"].kill()
        answers.append(send_record(fleet, "m2", b"%016x" % 3, idempotency_key))
        assert [answer[1] for answer in answers] == [b"OK"] * 3 and len(
            {answer[3] for answer in answers}
        ) == 1, answers
        started_runs = sum(event == "begin" for name in fleet.names for event, _, _ in testbed.runs(name))
        assert started_runs == 1
        assert [fleet.processes[name].leave() for name in ("m1", "m2")] == [0, 0]
        fleet.relay.close()


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("copies: 4", "expected an odd number"),
        ("claim-within-s: 0.1", "at least twice repeat-after-s"),
        ("copy: 3", "copies may be meant"),
        ("cold: maybe", "cold"),
    ],
)
def test_invalid_settings_are_reported_by_key(tmp_path: Path, text: str, message: str) -> None:
    path = tmp_path / "features.yaml"
    path.write_text(f"version: 1\n\nreplication:\n  {text}\n")
    with pytest.raises(FaultyFeaturesError, match=message):
        read(path)


# -- packets

OUTCOME = Outcome(1, ("a", 1, 1), OutcomeStatus.SUCCEEDED, b"r")
ENTRY = Entry((1, 2, "a", 3), 4, ("b", 5, 6), b"value", b"d" * 16, True, (OUTCOME,))
KEY = ("labels", b"k")
MESSAGES: list[messages.Message] = [
    messages.Prepare(1, 2, KEY, 3, (1, 2, "a", 3), 4.5, b"group", 6),
    messages.Promise(1, 2, (1, 2, "a", 3), ENTRY),
    messages.Accept(1, 2, KEY, 3, ENTRY, 4.5, b"group", 6),
    messages.Accepted(1, 2, (1, 2, "a", 3)),
    messages.Refuse(1, 2, messages.RefusalReason.FULL, (1, 2, "a", 3), (1, 1, "b", 3), ENTRY),
    messages.Push(1, 2, KEY, 3, ENTRY, 4.5),
    messages.Pushed(1, 2),
    messages.Fetch(1, 2, KEY, 3),
    messages.Fetched(1, 2, EMPTY),
    messages.RequestViews(1, 0),
    messages.PastViews(1, 2, 3, ((1, (Site("a", 1, "z", 1.5),)),)),
    messages.CompareRanges(1, ((2, (1 << 64) - 1),)),
    messages.RangeStates(1, 2, ((3, 4, True),)),
    messages.FetchRange(1, 2, ("", b"")),
    messages.RangeChunk(1, 2, 3, 4, ((KEY, ENTRY, 5.5),), True),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda value: type(value).__name__)
def test_each_message_is_unchanged_by_encoding_and_decoding(message: messages.Message) -> None:
    data = codec.encode(message)
    assert codec.decode(data) == message
    for index in range(len(data)):
        try:
            codec.decode(data[:index] + bytes([data[index] ^ 0x55]) + data[index + 1 :])
        except packet_fields.BadPacketError:
            continue


@settings(max_examples=100)
@given(st.binary(max_size=60))
def test_invalid_data_is_counted_and_dropped(data: bytes) -> None:
    fleet = Servers()
    fleet.connections["a"].handler("b", data)
    assert fleet.counts["replication_bad"] == 1


def test_packets_outside_their_bounds_are_refused() -> None:
    with pytest.raises(packet_fields.BadPacketError, match="1024 ranges and 3 copies"):
        codec.decode(codec.encode(MESSAGES[0], 1024, 3), 2048, 3)
    long_key = messages.Fetch(1, 2, ("labels", b"k" * (packet_fields.MAX_KEY_BYTES + 1)), 3)
    too_many_ranges = messages.CompareRanges(1, ((2, 3),) * (codec.MAX_RANGES + 1))
    invalid_lifetime = messages.Push(1, 2, KEY, 3, ENTRY, float("nan"))
    invalid: list[messages.Message] = [long_key, too_many_ranges, invalid_lifetime]
    for message in invalid:
        with pytest.raises(packet_fields.BadPacketError):
            codec.decode(codec.encode(message))

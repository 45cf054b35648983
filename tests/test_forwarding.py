"""Forwarding: its rules in a simulated fleet, connections over loopback with faulty peers, and whole servers.

Every wait is bounded.
"""

from __future__ import annotations

import random
import socket
from collections import Counter
from collections.abc import Callable
from contextlib import closing
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from sablewheel.experiments.fleet import LISTEN, Block
from sablewheel.experiments.forwarding import MEMBERSHIP_SETTINGS, Scenario
from sablewheel.experiments.forwarding import REQUEST_CLASSES as SHARES
from sablewheel.experiments.simulated_fleet import SimulatedFleet
from sablewheel.experiments.testbed import Testbed, free_port
from sablewheel.forwarding import forwarding_pb2 as pb
from sablewheel.forwarding.errors import (
    FrameTooLargeError,
    PeerUnavailableError,
    PeerUnknownError,
    SendError,
    SendQueueFullError,
)
from sablewheel.forwarding.events import (
    AbandonRequest,
    AdmitRequest,
    AskOwner,
    CallerGone,
    ConnectionLost,
    DeliverAnswer,
    Effect,
    ForwardRequested,
    MessageReceived,
    RequestFinished,
    RequestNotSent,
    RerunDecided,
    ReturnRequest,
    Send,
    ShutdownStarted,
    TimerFired,
)
from sablewheel.forwarding.forwarding_state import ForwardingState
from sablewheel.forwarding.frames import FrameReader, TransitTimeEstimator, encode_frame
from sablewheel.forwarding.messages import (
    Acknowledged,
    Answer,
    BadMessageError,
    Cancel,
    FinalStatus,
    ForwardRequest,
    Message,
    Refused,
    RequestData,
    decode,
    encode,
)
from sablewheel.forwarding.peer_connections import PeerConnections
from sablewheel.forwarding.plan import ConnectionSettings, ForwardingSettings
from sablewheel.forwarding.service import ForwardingService
from sablewheel.membership.view import Member, View
from sablewheel.overload.interface import Client, Idempotency, Request, RequestClass
from sablewheel.program.feature_file import FaultyFeaturesError, read
from sablewheel.serving.exchange import NO_OBSERVER, Exchange
from sablewheel.transport.scheduler import Clock, Scheduler

PATIENCE = 5.0


def request_data(
    name: bytes = b"n1", request_class: bytes = b"lookup", idempotency_key: bytes | None = None
) -> RequestData:
    return RequestData(name, request_class, b"body", b"", idempotency_key, 10.0, None)


def forward_requested(
    number: int, idempotency: Idempotency = Idempotency.IDEMPOTENT, left: float = 2.0, to: str = "b"
) -> ForwardRequested:
    return ForwardRequested(number, to, idempotency, request_data(b"%d" % number), 0.1, left)


def completed_answer(number: int) -> Answer:
    return Answer(number, FinalStatus.COMPLETED, b"result")


# -- the rules, one by one


def test_an_answer_is_delivered_once_and_only_from_the_peer_that_has_the_request() -> None:
    core = ForwardingState()
    core.step(0.0, forward_requested(1))
    assert core.step(0.1, MessageReceived("c", completed_answer(1))) == []
    assert core.step(0.1, MessageReceived("b", completed_answer(1))) == [
        DeliverAnswer(1, completed_answer(1), False)
    ]
    assert (
        core.step(0.2, MessageReceived("b", completed_answer(1)))
        == core.step(9.0, TimerFired())
        == core.step(9.0, ConnectionLost("b"))
        == []
    )
    assert core.counters["late"] == 2


@pytest.mark.parametrize(
    ("idempotency", "becomes"),
    [
        (Idempotency.IDEMPOTENT, [ReturnRequest(1, frozenset("b"))]),
        (Idempotency.KEYED, [AskOwner(1)]),
        (Idempotency.NON_IDEMPOTENT, [DeliverAnswer(1, Answer(1, FinalStatus.FAILED), True)]),
    ],
)
def test_idempotency_decides_on_a_request_whose_connection_is_lost(
    idempotency: Idempotency, becomes: list[Effect]
) -> None:
    core = ForwardingState()
    core.step(0.0, forward_requested(1, idempotency))
    core.step(0.1, MessageReceived("b", Acknowledged(1)))
    assert core.step(0.5, ConnectionLost("c")) == []
    assert core.step(0.5, ConnectionLost("b")) == becomes


def test_the_owner_decides_whether_a_keyed_request_runs_again() -> None:
    for again in (True, False):
        core = ForwardingState()
        core.step(0.0, forward_requested(1, Idempotency.KEYED))
        core.step(0.1, ConnectionLost("b"))
        told = core.step(0.2, RerunDecided(1, again))
        error = DeliverAnswer(1, Answer(1, FinalStatus.FAILED), True)
        assert told == [ReturnRequest(1, frozenset("b")) if again else error]
    core = ForwardingState()
    core.step(0.0, forward_requested(1, Idempotency.KEYED))
    core.step(0.1, ConnectionLost("b"))  # the owner says nothing: an error when its time is up
    assert DeliverAnswer(1, Answer(1, FinalStatus.FAILED), True) in core.step(2.0, TimerFired())


@pytest.mark.parametrize("idempotency", list(Idempotency))
@pytest.mark.parametrize("event", [RequestNotSent(1), MessageReceived("b", Refused(1))])
def test_a_request_that_never_ran_returns_whatever_its_idempotency(
    idempotency: Idempotency, event: Any
) -> None:
    core = ForwardingState()
    core.step(0.0, forward_requested(1, idempotency))
    assert core.step(0.1, event) == [ReturnRequest(1, frozenset("b"))]


def test_only_an_idempotent_request_returns_when_the_peer_does_not_acknowledge_it() -> None:
    core = ForwardingState()
    for number, idempotency in enumerate(Idempotency, 1):
        core.step(0.0, forward_requested(number, idempotency))
    assert core.wake_at <= ForwardingSettings().ack_timeout_s
    effects = core.step(core.wake_at, TimerFired())
    assert [one for one in effects if not isinstance(one, Send)] == [ReturnRequest(1, frozenset("b"))]
    assert isinstance(effects[0], Send) and effects[0].message == Cancel(1)
    assert core.step(0.3, forward_requested(9)) == [ReturnRequest(9, frozenset("b"))]  # backed off
    core.step(0.4, MessageReceived("b", Acknowledged(2)))
    assert isinstance(core.step(0.4, forward_requested(10))[0], Send)  # until it sends something


def test_every_request_is_answered_before_its_deadline() -> None:
    core = ForwardingState()
    for number, idempotency in enumerate(Idempotency, 1):
        core.step(0.0, forward_requested(number, idempotency, left=1.0))
        core.step(0.1, MessageReceived("b", Acknowledged(number)))
    assert core.wake_at < 1.0
    told = [one for one in core.step(0.99, TimerFired()) if isinstance(one, DeliverAnswer)]
    assert {one.number for one in told} == {1, 2, 3} and not core.forwarded


def test_the_remaining_time_shrinks_by_the_transit_and_a_late_request_is_refused() -> None:
    core = ForwardingState()
    effects = core.step(5.0, MessageReceived("a", ForwardRequest(7, request_data(), 0.2, 1.0), 0.3))
    assert AdmitRequest(("a", 7), request_data(), 0.5) in effects and core.admitted["a", 7] == pytest.approx(
        5.7
    )
    assert core.step(5.0, MessageReceived("a", ForwardRequest(8, request_data(), 0.2, 1.0), 1.0))[
        0
    ].message == Refused(8)  # type: ignore[union-attr]
    assert core.step(5.8, TimerFired()) == [AbandonRequest(("a", 7))]


def test_a_duplicate_is_admitted_once_and_a_cancel_may_overtake_its_request() -> None:
    core = ForwardingState(ForwardingSettings(max_admitted_per_peer=2))
    assert len(core.step(0.0, MessageReceived("a", ForwardRequest(1, request_data(), 0.0, 1.0)))) == 2
    assert core.step(0.0, MessageReceived("a", ForwardRequest(1, request_data(), 0.0, 1.0))) == []
    assert core.step(0.1, RequestFinished(("a", 1), completed_answer(1)))[0].message == completed_answer(1)  # type: ignore[union-attr]
    assert core.step(0.1, MessageReceived("a", ForwardRequest(1, request_data(), 0.0, 1.0))) == []
    assert (
        core.step(0.1, MessageReceived("a", Cancel(2)))
        == core.step(0.1, MessageReceived("a", ForwardRequest(2, request_data(), 0.0, 1.0)))
        == []
    )
    for number in (3, 4):
        core.step(0.2, MessageReceived("a", ForwardRequest(number, request_data(), 0.0, 1.0)))
    refusal = core.step(0.2, MessageReceived("a", ForwardRequest(5, request_data(), 0.0, 1.0)))[0]
    assert refusal.message == Refused(5)  # type: ignore[union-attr]
    # The bound is a peer's own.
    assert len(core.step(0.2, MessageReceived("c", ForwardRequest(5, request_data(), 0.0, 1.0)))) == 2
    assert set(core.step(0.3, ConnectionLost("a"))) == {AbandonRequest(("a", 3)), AbandonRequest(("a", 4))}
    assert core.step(0.3, MessageReceived("c", Cancel(5))) == [AbandonRequest(("c", 5))]


def test_a_member_that_shuts_down_refuses_new_requests_and_finishes_admitted_ones() -> None:
    core = ForwardingState()
    core.step(0.0, MessageReceived("a", ForwardRequest(1, request_data(), 0.0, 1.0)))
    core.step(0.1, ShutdownStarted())
    assert core.step(0.1, MessageReceived("a", ForwardRequest(2, request_data(), 0.0, 1.0))) == [
        Send("a", Refused(2), 1.0)
    ]
    assert core.step(0.2, RequestFinished(("a", 1), completed_answer(1)))[0].message == completed_answer(1)  # type: ignore[union-attr]


def test_a_request_is_cancelled_when_its_caller_is_gone() -> None:
    core = ForwardingState()
    core.step(0.0, forward_requested(1))
    assert [one.message for one in core.step(0.1, CallerGone(1)) if isinstance(one, Send)] == [Cancel(1)]
    assert core.step(0.2, MessageReceived("b", completed_answer(1))) == []


# -- a fleet in which everything goes wrong


class SendsTwice(ForwardingState):
    """A faulty variant that sends a non-idempotent request again when its connection is lost."""

    def _fail_uncertain(self, number: int) -> list[Effect]:
        return [self._return(0.0, number, self.forwarded.pop(number))]


@dataclass
class RandomFleet:
    """Four members that forward requests; links lose and duplicate messages, members pause and restart."""

    seed: int
    make: Callable[[], ForwardingState] = ForwardingState

    def run(self) -> None:
        self.runs, self.outcomes, self.idempotencies = (
            Counter[bytes](),
            Counter[int](),
            dict[int, Idempotency](),
        )
        self.due: dict[int, float] = {}
        self.late: list[int] = []
        self.lost_with: set[int] = set()
        chance = random.Random(self.seed)
        names = ["a", "b", "c", "d"]
        fleet = self.fleet = SimulatedFleet(MessageReceived, TimerFired(), self.seed, self.heard)
        for name in names:
            fleet.add(name, lambda _: self.make())
        for a in names:
            for b in names:
                link = fleet.link(a, b)
                link.drop, link.double, link.most = 0.05, 0.1, 0.05
        self.origin: dict[int, str] = {}
        for number in range(1, 400):
            fleet.run(0.02)
            name, to = chance.sample(names, 2)
            idempotency = chance.choice(list(Idempotency))
            self.idempotencies[number], self.origin[number], self.due[number] = (
                idempotency,
                name,
                fleet.now + 1.0,
            )
            paused = fleet.paused.get(name, 0.0) > fleet.now
            if paused:
                self.lost_with.add(number)
            else:
                fleet.tell(name, forward_requested(number, idempotency, 1.0, to))
            match chance.randrange(12):
                case 0:
                    fleet.cut([name], [to], both=chance.random() < 0.5)
                    fleet.tell(name, ConnectionLost(to))
                case 1:
                    fleet.heal()
                case 2:
                    fleet.pause(to, 0.4)
                case 3 if number % 10 == 0:
                    self.lost_with |= {one for one, who in self.origin.items() if who == to}
                    fleet.add(to, lambda _: self.make())
                    for one in names:
                        if one != to:
                            fleet.tell(one, ConnectionLost(to))
        fleet.heal()
        fleet.run(5.0)

    def heard(self, now: float, name: str, effect: Any) -> None:
        match effect:
            case AdmitRequest(key, request, _):
                self.runs[request.name] += 1
                answer = RequestFinished(key, completed_answer(key[1]))
                self.fleet.later(0.1, lambda: self.fleet.tell(name, answer))
            case ReturnRequest(number, _):
                self.runs[b"%d" % number] += 1
                self.out(now, number)
            case DeliverAnswer(number, _, _):
                self.out(now, number)
            case AskOwner(number):
                self.fleet.tell(name, RerunDecided(number, False))

    def out(self, now: float, number: int) -> None:
        self.outcomes[number] += 1
        awake = self.fleet.paused.get(self.origin[number], 0.0)  # who stands still answers nobody
        if now > max(self.due[number], awake) + 0.01:
            self.late.append(number)

    def second_runs(self) -> int:
        return sum(
            self.runs[b"%d" % number] > 1
            for number, idempotency in self.idempotencies.items()
            if idempotency is not Idempotency.IDEMPOTENT
        )


@pytest.mark.parametrize("seed", range(6))
def test_each_request_has_one_outcome_and_only_idempotent_ones_run_twice(seed: int) -> None:
    story = RandomFleet(seed)
    story.run()
    counted = set(story.idempotencies) - story.lost_with
    assert len(counted) > 50 and all(story.outcomes[number] == 1 for number in counted)
    assert max(story.outcomes.values()) == 1 and story.second_runs() == 0 and not story.late


def test_the_random_fleet_detects_a_second_run_of_a_non_idempotent_request() -> None:
    second = 0
    for seed in range(6):
        story = RandomFleet(seed, SendsTwice)
        story.run()
        second += story.second_runs()
    assert second > 0


# -- bytes


@pytest.mark.parametrize(
    "message",
    [
        ForwardRequest(1 << 60, request_data(idempotency_key=b"l" * 32), 0.25, 1.5),
        Acknowledged(1),
        Refused(2),
        Cancel(3),
        completed_answer(4),
        Answer(5, FinalStatus.REJECTED, b"", 1.5, True),
        Answer(6, FinalStatus.FAILED),
    ],
)
def test_the_codec_round_trips_every_message(message: Message) -> None:
    assert decode(encode(message)) == message


def test_noise_raises_bad_message_error_only() -> None:
    rng, whole = random.Random(3), encode(ForwardRequest(1, request_data(), 0.1, 1.0))
    for _ in range(2000):
        data = bytearray(whole)
        for _ in range(rng.randrange(1, 5)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        try:
            decode(bytes(data[: rng.randrange(len(data) + 1)]))
        except BadMessageError:
            continue
    for bad in (float("nan"), float("inf"), -1.0):
        told = pb.TicketMessage(number=1, passed=pb.Pass(name=b"n", track=b"t", age=bad))
        with pytest.raises(BadMessageError, match="age"):
            decode(told.SerializeToString())


def test_a_transit_time_is_never_underestimated() -> None:
    rng = random.Random(5)
    for _ in range(200):
        ahead, hops, now = rng.uniform(-1e6, 1e6), TransitTimeEstimator(), 0.0
        for _ in range(20):
            there, back = rng.uniform(0.0, 0.5), rng.uniform(0.0, 0.5)
            hops.record_echo(now + there + back, now, now + there + ahead)
            now += 1.0
            true = rng.uniform(0.0, 2.0)
            assert true - 1e-6 <= hops.transit_s(now + true, now + ahead) <= true + 0.5 + 1e-6


# -- links over loopback


Body = Callable[[Scheduler], None]


def run_greenlet(body: Body) -> None:
    """Run `body` as a greenlet of a scheduler of its own."""
    scheduler, faults = Scheduler(Clock()), list[BaseException]()

    def run() -> None:
        try:
            body(scheduler)
        except BaseException as trouble:
            faults.append(trouble)
        scheduler.stop()

    scheduler.spawn(run)
    scheduler.run()
    if faults:
        raise faults[0]


def wait(scheduler: Scheduler, reached: Callable[[], object]) -> None:
    until = scheduler.clock.read() + PATIENCE
    while not reached():
        assert scheduler.clock.read() < until, "not within its time"
        scheduler.sleep(0.005)


class Net:
    """Members of one view, each with its links."""

    def __init__(self, scheduler: Scheduler, names: str, **settings: float | int) -> None:
        self.scheduler = scheduler
        self.ports = {name: free_port() for name in names}
        self.heard: list[tuple[str, str, bytes]] = []
        self.broken: list[tuple[str, str]] = []
        self.links: dict[str, PeerConnections] = {}
        self.settings = ConnectionSettings(**settings)  # type: ignore[arg-type]
        self.view = View(1, tuple(self.member(name) for name in sorted(names)))

    def member(self, name: str, incarnation: int = 1) -> Member:
        return Member(
            name, "", incarnation=incarnation, metadata=(("link", f"127.0.0.1:{self.ports[name]}"),)
        )

    def start(self, name: str) -> PeerConnections:
        links = PeerConnections(self.scheduler, ("127.0.0.1", self.ports[name]), self.settings, name, 1)
        links.register_handler("word", lambda sender, payload: self.heard.append((name, sender, payload)))
        links.on_connection_lost(lambda peer: self.broken.append((name, peer)))
        links.handle_view(self.view)
        self.scheduler.after_round.append(links.flush)
        self.links[name] = links
        return links

    def close(self) -> None:
        for one in self.links.values():
            one.close()


def refusal(
    links: PeerConnections,
    peer_name: str,
    message_type: str,
    payload: bytes,
    expires_in_s: float,
    on_not_sent: Callable[[], None] | None = None,
) -> type[SendError] | None:
    """Send a frame; the type of the error if it is refused."""
    try:
        links.send(peer_name, message_type, payload, expires_in_s=expires_in_s, on_not_sent=on_not_sent)
    except SendError as error:
        return type(error)
    return None


def hello(name: str, to: str, incarnation: int = 1, version: int = 1) -> bytes:
    told = pb.Frame(sent=0.0, hello=pb.Hello(name=name, incarnation=incarnation, epoch=1, to=to))
    data = bytearray(encode_frame(told))
    if version != 1:
        told.version = version
        data[4:] = told.SerializeToString()
    return bytes(data)


def test_frames_arrive_in_order_over_connections_made_on_demand() -> None:
    def body(scheduler: Scheduler) -> None:
        net = Net(scheduler, "ab")
        a, b = net.start("a"), net.start("b")
        assert not a.is_connected("b")
        for number in range(500):
            assert refusal(a, "b", "word", b"%d" % number, 2.0) is None
            assert refusal(b, "a", "word", b"%d" % number, 2.0) is None
        wait(scheduler, lambda: len(net.heard) == 1000)
        for name in "ab":
            assert [int(one[2]) for one in net.heard if one[0] == name] == list(range(500))
        assert a.all_sent and 0.0 <= a.last_transit_s < 1.0 and not net.broken
        assert refusal(a, "nobody", "word", b"", 1.0) is PeerUnknownError
        assert refusal(a, "a", "word", b"", 1.0) is PeerUnknownError
        assert refusal(a, "b", "word", b"x" * (1 << 20), 1.0) is FrameTooLargeError
        a.send("b", "other", b"", expires_in_s=1.0)
        wait(scheduler, lambda: b.counters.get("frames_unknown") == 1)
        net.close()
        wait(scheduler, lambda: not b.is_connected("a"))

    run_greenlet(body)


@pytest.mark.parametrize(
    ("what", "counted"),
    [
        (hello("x", "b"), "hellos_refused"),
        (hello("a", "b", incarnation=7), "hellos_refused"),
        (hello("a", "c"), "hellos_refused"),
        (encode_frame(pb.Frame(ping=pb.Ping())), "hellos_refused"),
        (hello("a", "b", version=9), "frames_bad"),
        (b"\xff" * 64, "frames_bad"),
        (b"\0\0\0\5hello", "frames_bad"),
        (hello("a", "b") + hello("a", "b"), "hellos_unanswered"),
        (hello("b", "b"), "hellos_refused"),
        (hello("a", "b")[:-3], "hellos_missing"),
        (b"", "hellos_missing"),
    ],
)
def test_a_foreign_stale_malformed_or_silent_peer_is_counted_and_harms_no_connection(
    what: bytes, counted: str
) -> None:
    def body(scheduler: Scheduler) -> None:
        net = Net(scheduler, "abc", connect_timeout_s=0.2)
        b, c = net.start("b"), net.start("c")
        assert refusal(c, "b", "word", b"1", 2.0) is None
        wait(scheduler, lambda: len(net.heard) == 1)
        with socket.create_connection(("127.0.0.1", net.ports["b"])) as peer:
            peer.sendall(what)
            wait(scheduler, lambda: b.counters.get(counted))
            assert refusal(c, "b", "word", b"2", 2.0) is None
            wait(scheduler, lambda: len(net.heard) == 2)
            assert ("b", "c") not in net.broken and ("c", "b") not in net.broken
        net.close()

    run_greenlet(body)


class SilentPeer:
    """A peer that says hello as it should, and then neither reads nor says anything."""

    def __init__(self, net: Net, name: str) -> None:
        self.door = socket.create_server(("127.0.0.1", net.ports[name]))
        self.door.setblocking(False)
        self.name, self.accepted = name, list[socket.socket]()

    def greet(self, scheduler: Scheduler, to: str) -> None:
        def came() -> bool:
            try:
                self.accepted.append(self.door.accept()[0])
            except BlockingIOError:
                return False
            return True

        wait(scheduler, came)
        peer, frames, told = self.accepted[-1], FrameReader(), list[pb.Frame]()
        peer.setblocking(False)

        def heard() -> bool:
            try:
                told.extend(frames.feed(peer.recv(65536)))
            except BlockingIOError:
                return False
            return bool(told)

        wait(scheduler, heard)
        echo = pb.Echo(of=told[0].sent, got=0.0)
        peer.sendall(encode_frame(pb.Frame(hello=pb.Hello(name=self.name, incarnation=1, to=to, echo=echo))))


def test_a_peer_that_does_not_read_fills_only_its_own_queue_and_counts_as_lost() -> None:
    def body(scheduler: Scheduler) -> None:
        net = Net(scheduler, "abz", max_queued_bytes=1 << 20, max_silence_s=0.6)
        a, _ = net.start("a"), net.start("b")
        deaf, unsent = SilentPeer(net, "z"), list[int]()
        assert refusal(a, "z", "word", b"x", 5.0) is None
        deaf.greet(scheduler, "a")
        wait(scheduler, lambda: a.is_connected("z"))
        taken = 0
        for _ in range(400):  # more than kernel, window and queue hold together
            refused = refusal(a, "z", "word", b"x" * 60_000, 5.0, lambda: unsent.append(1))
            assert refused in (None, SendQueueFullError)
            taken += refused is None
            scheduler.sleep(0.0)
        assert a.counters["refused_full"] > 0 and a._peers["z"].queued_bytes <= 1 << 20
        assert refusal(a, "b", "word", b"fine", 1.0) is None
        wait(scheduler, lambda: ("b", "a", b"fine") in net.heard)
        wait(scheduler, lambda: ("a", "z") in net.broken)
        assert a.counters["lost_silent"] == 1 and ("a", "b") not in net.broken
        wait(scheduler, lambda: len(unsent) == a.counters["dropped_broken"] > 0)
        assert len(unsent) < taken  # what was handed over may have arrived, and nobody is told otherwise
        net.close()

    run_greenlet(body)


def test_frames_to_an_unreachable_peer_are_dropped_and_then_refused_until_the_next_attempt() -> None:
    def body(scheduler: Scheduler) -> None:
        net, unsent = Net(scheduler, "ab"), list[int]()
        a = net.start("a")
        assert refusal(a, "b", "word", b"1", 5.0, lambda: unsent.append(1)) is None
        wait(scheduler, lambda: unsent == [1])
        assert refusal(a, "b", "word", b"2", 5.0) is PeerUnavailableError
        assert a.counters["refused_resting"] == 1
        net.start("b")
        wait(scheduler, lambda: refusal(a, "b", "word", b"3", 5.0) is None)
        wait(scheduler, lambda: net.heard == [("b", "a", b"3")])
        net.close()

    run_greenlet(body)


def test_a_restarted_peer_replaces_its_connection_and_a_departed_one_may_still_answer() -> None:
    def body(scheduler: Scheduler) -> None:
        net = Net(scheduler, "abc", departed_linger_s=0.4)
        a, b, c = (net.start(name) for name in "abc")
        owed: list[bytes] = []
        a.register_handler("owed", lambda _, payload: owed.append(payload), accept_departed=True)
        for one in (b, c):
            assert refusal(one, "a", "word", b"1", 2.0) is None
        wait(scheduler, lambda: len(net.heard) == 2)
        a.handle_view(View(2, (net.member("a"), net.member("b", 2))))  # b is a new self, c has left
        assert ("a", "b") in net.broken and ("a", "c") not in net.broken
        assert refusal(c, "a", "owed", b"answer", 2.0) is None
        assert refusal(c, "a", "word", b"2", 2.0) is None
        wait(scheduler, lambda: owed == [b"answer"] and a.counters.get("frames_parted") == 1)
        wait(scheduler, lambda: ("a", "c") in net.broken)
        assert len(net.heard) == 2 and a.counters["lost_parted"] == 1 and a.counters["lost_stale"] == 1
        net.close()

    run_greenlet(body)


def test_a_member_uses_the_agreed_incarnation_and_not_that_of_an_earlier_process() -> None:
    def body(scheduler: Scheduler) -> None:
        net = Net(scheduler, "ab")
        a, b = net.start("a"), net.start("b")
        early, later = (View(number, (net.member("a", number), net.member("b"))) for number in (0, 3))
        for one in (a, b):
            one.handle_view(early)  # the view has a as it was before its start
        assert refusal(a, "b", "word", b"1", 1.0) is PeerUnknownError
        assert refusal(b, "a", "word", b"2", 1.0) is None
        wait(scheduler, lambda: a.counters.get("hellos_refused") and b.counters.get("connects_refused"))
        for one in (a, b):
            one.handle_view(later)
        assert refusal(a, "b", "word", b"3", 1.0) is None
        wait(scheduler, lambda: net.heard == [("b", "a", b"3")])
        net.close()

    run_greenlet(body)


# -- requests between two servers


class RecordingHandler:
    """A handler that keeps what arrives."""

    def __init__(self) -> None:
        self.open: list[Exchange] = []
        self.left: list[Exchange] = []

    def arrived(self, exchange: Exchange) -> None:
        self.open.append(exchange)

    def cancelled(self, exchange: Exchange) -> None:
        self.left.append(exchange)


class RecordingCaller:
    """Whom answers reach."""

    def __init__(self) -> None:
        self.told: list[Any] = []

    def completed(self, exchange: Exchange, result: bytes) -> None:
        self.told.append(("completed", result))

    def rejected(self, exchange: Exchange, retry_after_s: float, no_retry_elsewhere: bool) -> None:
        self.told.append(("denied", retry_after_s, no_retry_elsewhere))

    def failed(self, exchange: Exchange) -> None:
        self.told.append(("terminated",))


REQUEST_CLASSES = {
    b"lookup": RequestClass(Idempotency.IDEMPOTENT, 0.5, 2.0),
    b"record": RequestClass(Idempotency.KEYED, 0.5, 2.0, 6.0),
    b"stamp": RequestClass(Idempotency.NON_IDEMPOTENT, 0.5, 2.0),
}


class FixedPlacer:
    def __init__(self, name: str | None) -> None:
        self.name = name

    def place(self, exchange: Exchange) -> str | None:
        return self.name


class Pair:
    def __init__(self, scheduler: Scheduler) -> None:
        self.net = Net(scheduler, "ab", max_silence_s=0.6)
        self.handlers, self.forwards = dict[str, RecordingHandler](), dict[str, ForwardingService]()
        for place, name in enumerate("ab"):
            links = self.net.start(name)
            forward = ForwardingService(
                scheduler, links, ForwardingState(), place + 1, {**REQUEST_CLASSES}, {}, lambda: NO_OBSERVER
            )
            self.handlers[name] = RecordingHandler()
            forward.handler(self.handlers[name])
            forward.placer = FixedPlacer(
                "b"
            )  # on b as well: what was forwarded there must not be forwarded again
            self.forwards[name] = forward
        self.scheduler, self.router, self.count = scheduler, RecordingCaller(), 0

    def ask(self, request_class: bytes, waited: float = 0.0) -> Exchange:
        self.count += 1
        kind = REQUEST_CLASSES[request_class]
        idempotency_key = b"l%d" % self.count if kind.idempotency is Idempotency.KEYED else None
        request = Request(kind, Client(), None, self.scheduler.clock.now - waited, 10.0)
        exchange = Exchange(
            b"n%d" % self.count, request_class, b"body", 1, idempotency_key, request, self.router
        )
        self.forwards["a"].arrived(exchange)
        return exchange

    def admitted_request(self) -> Exchange:
        wait(self.scheduler, lambda: self.handlers["b"].open)
        return self.handlers["b"].open.pop()


def with_pair(body: Callable[[Scheduler, Pair], None]) -> None:
    def run(scheduler: Scheduler) -> None:
        pair = Pair(scheduler)
        body(scheduler, pair)
        pair.net.close()

    run_greenlet(run)


def test_a_forwarded_request_is_admitted_at_the_peer_and_answered_once_here() -> None:
    def body(scheduler: Scheduler, pair: Pair) -> None:
        answers: list[tuple[Callable[[Exchange], None], Any]] = [
            (lambda one: one.complete(b"made"), ("completed", b"made")),
            (lambda one: one.reject(0.75, True), ("denied", 0.75, True)),
            (lambda one: one.fail(), ("terminated",)),
        ]
        for request_class in REQUEST_CLASSES:
            for answer, told in answers:
                exchange = pair.ask(request_class, waited=0.4)
                admitted_request = pair.admitted_request()
                assert (admitted_request.name, admitted_request.request_class, admitted_request.body) == (
                    exchange.name,
                    request_class,
                    b"body",
                )
                assert (
                    admitted_request.idempotency_key == exchange.idempotency_key
                    and admitted_request.request.request_class is REQUEST_CLASSES[request_class]
                )
                assert admitted_request.request.arrived_at <= exchange.request.arrived_at + 0.05
                answer(admitted_request)
                wait(scheduler, lambda: pair.router.told)
                assert pair.router.told == [told]
                pair.router.told.clear()
        assert not pair.handlers["a"].open and all(one.is_idle for one in pair.forwards.values())

    with_pair(body)


def test_a_cancel_is_forwarded_and_the_name_of_an_open_request_is_refused() -> None:
    def body(scheduler: Scheduler, pair: Pair) -> None:
        exchange = pair.ask(b"stamp")
        admitted_request = pair.admitted_request()
        pair.count -= 1
        pair.ask(b"stamp")  # a copy of its name
        assert pair.router.told == [("terminated",)]
        assert exchange.cancel()
        pair.forwards["a"].cancelled(exchange)
        wait(scheduler, lambda: pair.handlers["b"].left == [admitted_request])
        assert pair.router.told == [("terminated",)] and pair.forwards["a"].is_idle

    with_pair(body)


def test_a_request_too_large_to_send_is_served_here_and_a_result_too_large_fails() -> None:
    def body(scheduler: Scheduler, pair: Pair) -> None:
        pair.ask(b"stamp")
        pair.admitted_request().complete(b"x" * (2 << 20))
        wait(scheduler, lambda: pair.router.told)
        assert pair.router.told == [("terminated",)]
        request = Request(REQUEST_CLASSES[b"stamp"], Client(), None, scheduler.clock.now, 10.0)
        long = Exchange(b"n" * 65, b"stamp", b"body", 1, None, request, pair.router)
        pair.forwards["a"].arrived(long)
        assert pair.handlers["a"].open == [long]

    with_pair(body)


def test_a_lost_connection_ends_each_request_by_its_idempotency() -> None:
    def body(scheduler: Scheduler, pair: Pair) -> None:
        asked = {request_class: pair.ask(request_class) for request_class in REQUEST_CLASSES}
        wait(scheduler, lambda: len(pair.handlers["b"].open) == 3)
        pair.net.links["b"].close()
        wait(scheduler, lambda: len(pair.router.told) == 2)
        assert pair.router.told == [("terminated",)] * 2
        assert pair.handlers["a"].open == [asked[b"lookup"]]
        late = pair.handlers["b"].open[0]
        late.complete(b"too late")
        scheduler.sleep(0.05)
        assert len(pair.router.told) == 2
        pair.ask(b"stamp")  # nobody is reached: it never left, so it is served here
        wait(scheduler, lambda: len(pair.handlers["a"].open) == 2)

    with_pair(body)


def test_a_request_that_the_peer_does_not_know_is_served_here() -> None:
    def body(scheduler: Scheduler, pair: Pair) -> None:
        del pair.forwards["b"]._request_classes[b"record"]
        exchange = pair.ask(b"record")
        wait(scheduler, lambda: pair.handlers["a"].open == [exchange])
        pair.forwards["a"].placer = FixedPlacer(None)
        pair.ask(b"lookup")
        pair.forwards["a"].placer = None  # type: ignore[assignment]  # a fault in who places costs no request
        pair.ask(b"lookup")
        assert len(pair.handlers["a"].open) == 3 and pair.forwards["a"].counters["faults"] == 1

    with_pair(body)


def test_two_servers_serve_each_others_requests_and_shut_down_cleanly() -> None:
    with Testbed(1) as testbed, closing(Block()) as block:
        stage = Scenario(testbed, block.second, "spread", 0, 2, 1, keys=MEMBERSHIP_SETTINGS)
        for name in stage.names:
            stage.start(name)
        for name in stage.names:
            stage.wait_until_up(name)
        assert stage.wait_agreed(stage.names, 20.0) is not None, stage.processes["m0"].tail()
        stage.start("m1")  # a second one finds its doors taken, and says which
        assert stage.processes["m1"].popen.wait(20.0) == 1
        assert f"sablewheel: membership.listen: {stage.host('m1')}:" in stage.processes["m1"].tail(50)
        stage.processes["m1"] = testbed.processes[-2]
        asks = testbed.router(
            "r-m0", [f"{stage.host('m0')}:{LISTEN}"], rate=40, seconds=2.0, request_classes=SHARES
        )
        assert asks.popen.wait(20.0) == 0
        tries = list(testbed.held("r-m0"))
        assert len(tries) > 40 and {one["how"] for one in tries} <= {"completed", "denied"}
        guests = (testbed.folder / "m1.guests").read_text().splitlines()
        assert len(guests) > 0.4 * len(tries)
        assert [stage.processes[name].leave() for name in stage.names] == [0, 0]
        assert int(testbed.counters(stage.processes["m0"])["forward_answer_completed"]) > 0
        stage.relay.close()


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("forwarding:\n  listen: 127.0.0.1:7702", "3: forwarding: needs the section membership"),
        ("forwarding:\n  listen: 0.0.0.0:7702", "advertise is needed"),
        ("forwarding:\n  listen: 127.0.0.1:7702\n  silent-most-s: 0.3", "at least twice ping-every-s"),
        ("forwarding:\n  listen: 127.0.0.1:7702\n  queue-kb: 64", "does not hold one frame"),
        ("forwarding:\n  listen: 127.0.0.1:7702\n  link-most: 64", "links-most may be meant"),
    ],
)
def test_faults_of_the_section_are_reported_by_key(tmp_path: Path, text: str, says: str) -> None:
    file = tmp_path / "features.yaml"
    file.write_text(f"version: 1\n\n{text}\n")
    with pytest.raises(FaultyFeaturesError, match=says):
        read(file)

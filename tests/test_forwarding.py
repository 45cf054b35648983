"""Tests of forwarding: rules, a simulated fleet, loopback connections with faulty peers, and whole servers.

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
from sablewheel.experiments.forwarding import REQUEST_CLASSES as REQUEST_CLASS_SHARES
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
    AdmitRequest,
    AskOwner,
    CancelRequest,
    ConnectionLost,
    DeliverAnswer,
    Effect,
    ForwardRequested,
    MessageReceived,
    RequestCancelled,
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

WAIT_TIMEOUT_S = 5.0


def request_data(
    name: bytes = b"n1", request_class: bytes = b"lookup", idempotency_key: bytes | None = None
) -> RequestData:
    return RequestData(name, request_class, b"body", b"", idempotency_key, 10.0, None)


def forward_requested(
    number: int, idempotency: Idempotency = Idempotency.IDEMPOTENT, remaining_s: float = 2.0, peer: str = "b"
) -> ForwardRequested:
    return ForwardRequested(number, peer, idempotency, request_data(b"%d" % number), 0.1, remaining_s)


def completed_answer(number: int) -> Answer:
    return Answer(number, FinalStatus.COMPLETED, b"result")


# -- forwarding rules


def test_an_answer_is_delivered_once_and_only_from_the_peer_that_has_the_request() -> None:
    state = ForwardingState()
    state.step(0.0, forward_requested(1))
    assert state.step(0.1, MessageReceived("c", completed_answer(1))) == []
    assert state.step(0.1, MessageReceived("b", completed_answer(1))) == [
        DeliverAnswer(1, completed_answer(1), False)
    ]
    assert (
        state.step(0.2, MessageReceived("b", completed_answer(1)))
        == state.step(9.0, TimerFired())
        == state.step(9.0, ConnectionLost("b"))
        == []
    )
    assert state.counters["late"] == 2


@pytest.mark.parametrize(
    ("idempotency", "expected"),
    [
        (Idempotency.IDEMPOTENT, [ReturnRequest(1, frozenset("b"))]),
        (Idempotency.KEYED, [AskOwner(1)]),
        (Idempotency.NON_IDEMPOTENT, [DeliverAnswer(1, Answer(1, FinalStatus.FAILED), True)]),
    ],
)
def test_idempotency_decides_on_a_request_whose_connection_is_lost(
    idempotency: Idempotency, expected: list[Effect]
) -> None:
    state = ForwardingState()
    state.step(0.0, forward_requested(1, idempotency))
    state.step(0.1, MessageReceived("b", Acknowledged(1)))
    assert state.step(0.5, ConnectionLost("c")) == []
    assert state.step(0.5, ConnectionLost("b")) == expected


def test_the_owner_decides_whether_a_keyed_request_runs_again() -> None:
    for may_run_again in (True, False):
        state = ForwardingState()
        state.step(0.0, forward_requested(1, Idempotency.KEYED))
        state.step(0.1, ConnectionLost("b"))
        effects = state.step(0.2, RerunDecided(1, may_run_again))
        failure = DeliverAnswer(1, Answer(1, FinalStatus.FAILED), True)
        assert effects == [ReturnRequest(1, frozenset("b")) if may_run_again else failure]
    state = ForwardingState()
    state.step(0.0, forward_requested(1, Idempotency.KEYED))
    state.step(0.1, ConnectionLost("b"))  # without a decision of the owner the request fails at its deadline
    assert DeliverAnswer(1, Answer(1, FinalStatus.FAILED), True) in state.step(2.0, TimerFired())


@pytest.mark.parametrize("idempotency", list(Idempotency))
@pytest.mark.parametrize("event", [RequestNotSent(1), MessageReceived("b", Refused(1))])
def test_a_request_that_never_ran_returns_whatever_its_idempotency(
    idempotency: Idempotency, event: Any
) -> None:
    state = ForwardingState()
    state.step(0.0, forward_requested(1, idempotency))
    assert state.step(0.1, event) == [ReturnRequest(1, frozenset("b"))]


def test_only_an_idempotent_request_returns_when_the_peer_does_not_acknowledge_it() -> None:
    state = ForwardingState()
    for number, idempotency in enumerate(Idempotency, 1):
        state.step(0.0, forward_requested(number, idempotency))
    assert state.wake_at <= ForwardingSettings().ack_timeout_s
    effects = state.step(state.wake_at, TimerFired())
    assert [effect for effect in effects if not isinstance(effect, Send)] == [
        ReturnRequest(1, frozenset("b"))
    ]
    assert isinstance(effects[0], Send) and effects[0].message == Cancel(1)
    assert state.step(0.3, forward_requested(9)) == [
        ReturnRequest(9, frozenset("b"))
    ]  # the peer is backed off
    state.step(0.4, MessageReceived("b", Acknowledged(2)))
    assert isinstance(
        state.step(0.4, forward_requested(10))[0], Send
    )  # a message from the peer ends the backoff


def test_every_request_is_answered_before_its_deadline() -> None:
    state = ForwardingState()
    for number, idempotency in enumerate(Idempotency, 1):
        state.step(0.0, forward_requested(number, idempotency, remaining_s=1.0))
        state.step(0.1, MessageReceived("b", Acknowledged(number)))
    assert state.wake_at < 1.0
    answers = [effect for effect in state.step(0.99, TimerFired()) if isinstance(effect, DeliverAnswer)]
    assert {answer.number for answer in answers} == {1, 2, 3} and not state.forwarded


def test_the_remaining_time_shrinks_by_the_transit_and_a_late_request_is_refused() -> None:
    state = ForwardingState()
    effects = state.step(5.0, MessageReceived("a", ForwardRequest(7, request_data(), 0.2, 1.0), 0.3))
    assert AdmitRequest(("a", 7), request_data(), 0.5) in effects and state.admitted["a", 7] == pytest.approx(
        5.7
    )
    assert state.step(5.0, MessageReceived("a", ForwardRequest(8, request_data(), 0.2, 1.0), 1.0))[
        0
    ].message == Refused(8)  # type: ignore[union-attr]
    assert state.step(5.8, TimerFired()) == [CancelRequest(("a", 7))]


def test_a_duplicate_is_admitted_once_and_a_cancel_may_overtake_its_request() -> None:
    state = ForwardingState(ForwardingSettings(max_admitted_per_peer=2))
    assert len(state.step(0.0, MessageReceived("a", ForwardRequest(1, request_data(), 0.0, 1.0)))) == 2
    assert state.step(0.0, MessageReceived("a", ForwardRequest(1, request_data(), 0.0, 1.0))) == []
    assert state.step(0.1, RequestFinished(("a", 1), completed_answer(1)))[0].message == completed_answer(1)  # type: ignore[union-attr]
    assert state.step(0.1, MessageReceived("a", ForwardRequest(1, request_data(), 0.0, 1.0))) == []
    assert (
        state.step(0.1, MessageReceived("a", Cancel(2)))
        == state.step(0.1, MessageReceived("a", ForwardRequest(2, request_data(), 0.0, 1.0)))
        == []
    )
    for number in (3, 4):
        state.step(0.2, MessageReceived("a", ForwardRequest(number, request_data(), 0.0, 1.0)))
    effect = state.step(0.2, MessageReceived("a", ForwardRequest(5, request_data(), 0.0, 1.0)))[0]
    assert effect.message == Refused(5)  # type: ignore[union-attr]
    # The limit applies to each peer separately.
    assert len(state.step(0.2, MessageReceived("c", ForwardRequest(5, request_data(), 0.0, 1.0)))) == 2
    assert set(state.step(0.3, ConnectionLost("a"))) == {CancelRequest(("a", 3)), CancelRequest(("a", 4))}
    assert state.step(0.3, MessageReceived("c", Cancel(5))) == [CancelRequest(("c", 5))]


def test_a_member_that_shuts_down_refuses_new_requests_and_finishes_admitted_ones() -> None:
    state = ForwardingState()
    state.step(0.0, MessageReceived("a", ForwardRequest(1, request_data(), 0.0, 1.0)))
    state.step(0.1, ShutdownStarted())
    assert state.step(0.1, MessageReceived("a", ForwardRequest(2, request_data(), 0.0, 1.0))) == [
        Send("a", Refused(2), 1.0)
    ]
    assert state.step(0.2, RequestFinished(("a", 1), completed_answer(1)))[0].message == completed_answer(1)  # type: ignore[union-attr]


def test_a_request_is_cancelled_at_the_peer_when_its_caller_cancels_it() -> None:
    state = ForwardingState()
    state.step(0.0, forward_requested(1))
    assert [
        effect.message for effect in state.step(0.1, RequestCancelled(1)) if isinstance(effect, Send)
    ] == [Cancel(1)]
    assert state.step(0.2, MessageReceived("b", completed_answer(1))) == []


# -- random faults in a simulated fleet


class DuplicateSendState(ForwardingState):
    """A faulty variant that sends a non-idempotent request again when its connection is lost."""

    def _fail_uncertain(self, number: int) -> list[Effect]:
        return [self._return(0.0, number, self.forwarded.pop(number))]


@dataclass
class RandomFleet:
    """Four members that forward requests; links lose and duplicate messages, members pause and restart."""

    seed: int
    make_state: Callable[[], ForwardingState] = ForwardingState

    def run(self) -> None:
        self.runs, self.outcomes, self.idempotencies = (
            Counter[bytes](),
            Counter[int](),
            dict[int, Idempotency](),
        )
        self.deadlines: dict[int, float] = {}
        self.late_answers: list[int] = []
        self.lost_with_origin: set[int] = set()
        rng = random.Random(self.seed)
        names = ["a", "b", "c", "d"]
        fleet = self.fleet = SimulatedFleet(MessageReceived, TimerFired(), self.seed, self.handle_effect)
        for name in names:
            fleet.add(name, lambda _: self.make_state())
        for sender in names:
            for receiver in names:
                link = fleet.link(sender, receiver)
                link.drop, link.double, link.most = 0.05, 0.1, 0.05
        self.origins: dict[int, str] = {}
        for number in range(1, 400):
            fleet.run(0.02)
            origin, peer = rng.sample(names, 2)
            idempotency = rng.choice(list(Idempotency))
            self.idempotencies[number], self.origins[number], self.deadlines[number] = (
                idempotency,
                origin,
                fleet.now + 1.0,
            )
            is_paused = fleet.paused.get(origin, 0.0) > fleet.now
            if is_paused:
                self.lost_with_origin.add(number)
            else:
                fleet.tell(origin, forward_requested(number, idempotency, 1.0, peer))
            match rng.randrange(12):
                case 0:
                    fleet.cut([origin], [peer], both=rng.random() < 0.5)
                    fleet.tell(origin, ConnectionLost(peer))
                case 1:
                    fleet.heal()
                case 2:
                    fleet.pause(peer, 0.4)
                case 3 if number % 10 == 0:
                    self.lost_with_origin |= {
                        earlier for earlier, member in self.origins.items() if member == peer
                    }
                    fleet.add(peer, lambda _: self.make_state())
                    for other in names:
                        if other != peer:
                            fleet.tell(other, ConnectionLost(peer))
        fleet.heal()
        fleet.run(5.0)

    def handle_effect(self, now: float, name: str, effect: Any) -> None:
        match effect:
            case AdmitRequest(key, request, _):
                self.runs[request.name] += 1
                answer = RequestFinished(key, completed_answer(key[1]))
                self.fleet.later(0.1, lambda: self.fleet.tell(name, answer))
            case ReturnRequest(number, _):
                self.runs[b"%d" % number] += 1
                self.record_outcome(now, number)
            case DeliverAnswer(number, _, _):
                self.record_outcome(now, number)
            case AskOwner(number):
                self.fleet.tell(name, RerunDecided(number, False))

    def record_outcome(self, now: float, number: int) -> None:
        self.outcomes[number] += 1
        # A paused member cannot answer before it resumes.
        resumed_at = self.fleet.paused.get(self.origins[number], 0.0)
        if now > max(self.deadlines[number], resumed_at) + 0.01:
            self.late_answers.append(number)

    def second_runs(self) -> int:
        return sum(
            self.runs[b"%d" % number] > 1
            for number, idempotency in self.idempotencies.items()
            if idempotency is not Idempotency.IDEMPOTENT
        )


@pytest.mark.parametrize("seed", range(6))
def test_each_request_has_one_outcome_and_only_idempotent_ones_run_twice(seed: int) -> None:
    fleet = RandomFleet(seed)
    fleet.run()
    expected = set(fleet.idempotencies) - fleet.lost_with_origin
    assert len(expected) > 50 and all(fleet.outcomes[number] == 1 for number in expected)
    assert max(fleet.outcomes.values()) == 1 and fleet.second_runs() == 0 and not fleet.late_answers


def test_the_random_fleet_detects_a_second_run_of_a_non_idempotent_request() -> None:
    second_runs = 0
    for seed in range(6):
        fleet = RandomFleet(seed, DuplicateSendState)
        fleet.run()
        second_runs += fleet.second_runs()
    assert second_runs > 0


# -- encoding and transit times


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
    rng, encoded = random.Random(3), encode(ForwardRequest(1, request_data(), 0.1, 1.0))
    for _ in range(2000):
        data = bytearray(encoded)
        for _ in range(rng.randrange(1, 5)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        try:
            decode(bytes(data[: rng.randrange(len(data) + 1)]))
        except BadMessageError:
            continue
    for age_s in (float("nan"), float("inf"), -1.0):
        message = pb.TicketMessage(number=1, passed=pb.Pass(name=b"n", track=b"t", age=age_s))
        with pytest.raises(BadMessageError, match="age"):
            decode(message.SerializeToString())


def test_a_transit_time_is_never_underestimated() -> None:
    rng = random.Random(5)
    for _ in range(200):
        offset, estimator, now = rng.uniform(-1e6, 1e6), TransitTimeEstimator(), 0.0
        for _ in range(20):
            outbound_s, return_s = rng.uniform(0.0, 0.5), rng.uniform(0.0, 0.5)
            estimator.record_echo(now + outbound_s + return_s, now, now + outbound_s + offset)
            now += 1.0
            actual_s = rng.uniform(0.0, 2.0)
            assert (
                actual_s - 1e-6 <= estimator.transit_s(now + actual_s, now + offset) <= actual_s + 0.5 + 1e-6
            )


# -- connections over loopback


Body = Callable[[Scheduler], None]


def run_greenlet(body: Body) -> None:
    """Run `body` as a greenlet of a new scheduler and raise its error."""
    scheduler, errors = Scheduler(Clock()), list[BaseException]()

    def run() -> None:
        try:
            body(scheduler)
        except BaseException as error:
            errors.append(error)
        scheduler.stop()

    scheduler.spawn(run)
    scheduler.run()
    if errors:
        raise errors[0]


def wait(scheduler: Scheduler, condition: Callable[[], object]) -> None:
    deadline = scheduler.clock.read() + WAIT_TIMEOUT_S
    while not condition():
        assert scheduler.clock.read() < deadline, "condition not met within the timeout"
        scheduler.sleep(0.005)


class LoopbackFleet:
    """Members of one view, each with its connections, on loopback."""

    def __init__(self, scheduler: Scheduler, names: str, **settings: float | int) -> None:
        self.scheduler = scheduler
        self.ports = {name: free_port() for name in names}
        self.received: list[tuple[str, str, bytes]] = []  # recipient, sender and payload
        self.lost_connections: list[tuple[str, str]] = []  # notified member and its peer
        self.connections: dict[str, PeerConnections] = {}
        self.settings = ConnectionSettings(**settings)  # type: ignore[arg-type]
        self.view = View(1, tuple(self.member(name) for name in sorted(names)))

    def member(self, name: str, incarnation: int = 1) -> Member:
        return Member(
            name, "", incarnation=incarnation, metadata=(("link", f"127.0.0.1:{self.ports[name]}"),)
        )

    def start(self, name: str) -> PeerConnections:
        connections = PeerConnections(self.scheduler, ("127.0.0.1", self.ports[name]), self.settings, name, 1)
        connections.register_handler(
            "word", lambda sender, payload: self.received.append((name, sender, payload))
        )
        connections.on_connection_lost(lambda peer: self.lost_connections.append((name, peer)))
        connections.handle_view(self.view)
        self.scheduler.after_round.append(connections.flush)
        self.connections[name] = connections
        return connections

    def close(self) -> None:
        for connections in self.connections.values():
            connections.close()


def send_error(
    connections: PeerConnections,
    peer_name: str,
    message_type: str,
    payload: bytes,
    expires_in_s: float,
    on_not_sent: Callable[[], None] | None = None,
) -> type[SendError] | None:
    """Send a frame; return the type of the error if it is refused."""
    try:
        connections.send(peer_name, message_type, payload, expires_in_s=expires_in_s, on_not_sent=on_not_sent)
    except SendError as error:
        return type(error)
    return None


def hello(name: str, to: str, incarnation: int = 1, version: int = 1) -> bytes:
    frame = pb.Frame(sent=0.0, hello=pb.Hello(name=name, incarnation=incarnation, epoch=1, to=to))
    data = bytearray(encode_frame(frame))
    if version != 1:
        frame.version = version
        data[4:] = frame.SerializeToString()
    return bytes(data)


def test_frames_arrive_in_order_over_connections_made_on_demand() -> None:
    def body(scheduler: Scheduler) -> None:
        fleet = LoopbackFleet(scheduler, "ab")
        a, b = fleet.start("a"), fleet.start("b")
        assert not a.is_connected("b")
        for number in range(500):
            assert send_error(a, "b", "word", b"%d" % number, 2.0) is None
            assert send_error(b, "a", "word", b"%d" % number, 2.0) is None
        wait(scheduler, lambda: len(fleet.received) == 1000)
        for name in "ab":
            assert [int(frame[2]) for frame in fleet.received if frame[0] == name] == list(range(500))
        assert a.all_sent and 0.0 <= a.last_transit_s < 1.0 and not fleet.lost_connections
        assert send_error(a, "nobody", "word", b"", 1.0) is PeerUnknownError
        assert send_error(a, "a", "word", b"", 1.0) is PeerUnknownError
        assert send_error(a, "b", "word", b"x" * (1 << 20), 1.0) is FrameTooLargeError
        a.send("b", "other", b"", expires_in_s=1.0)
        wait(scheduler, lambda: b.counters.get("frames_unknown") == 1)
        fleet.close()
        wait(scheduler, lambda: not b.is_connected("a"))

    run_greenlet(body)


@pytest.mark.parametrize(
    ("data", "counter"),
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
    data: bytes, counter: str
) -> None:
    def body(scheduler: Scheduler) -> None:
        fleet = LoopbackFleet(scheduler, "abc", connect_timeout_s=0.2)
        b, c = fleet.start("b"), fleet.start("c")
        assert send_error(c, "b", "word", b"1", 2.0) is None
        wait(scheduler, lambda: len(fleet.received) == 1)
        with socket.create_connection(("127.0.0.1", fleet.ports["b"])) as peer:
            peer.sendall(data)
            wait(scheduler, lambda: b.counters.get(counter))
            assert send_error(c, "b", "word", b"2", 2.0) is None
            wait(scheduler, lambda: len(fleet.received) == 2)
            assert ("b", "c") not in fleet.lost_connections and ("c", "b") not in fleet.lost_connections
        fleet.close()

    run_greenlet(body)


class SilentPeer:
    """A peer that completes the handshake and then neither reads nor sends anything."""

    def __init__(self, fleet: LoopbackFleet, name: str) -> None:
        self.listener = socket.create_server(("127.0.0.1", fleet.ports[name]))
        self.listener.setblocking(False)
        self.name, self.accepted = name, list[socket.socket]()

    def complete_handshake(self, scheduler: Scheduler, to: str) -> None:
        def accept_connection() -> bool:
            try:
                self.accepted.append(self.listener.accept()[0])
            except BlockingIOError:
                return False
            return True

        wait(scheduler, accept_connection)
        peer, reader, frames = self.accepted[-1], FrameReader(), list[pb.Frame]()
        peer.setblocking(False)

        def receive_frame() -> bool:
            try:
                frames.extend(reader.feed(peer.recv(65536)))
            except BlockingIOError:
                return False
            return bool(frames)

        wait(scheduler, receive_frame)
        echo = pb.Echo(of=frames[0].sent, got=0.0)
        peer.sendall(encode_frame(pb.Frame(hello=pb.Hello(name=self.name, incarnation=1, to=to, echo=echo))))


def test_a_peer_that_does_not_read_fills_only_its_own_queue_and_counts_as_lost() -> None:
    def body(scheduler: Scheduler) -> None:
        fleet = LoopbackFleet(scheduler, "abz", max_queued_bytes=1 << 20, max_silence_s=0.6)
        a, _ = fleet.start("a"), fleet.start("b")
        silent_peer, unsent = SilentPeer(fleet, "z"), list[int]()
        assert send_error(a, "z", "word", b"x", 5.0) is None
        silent_peer.complete_handshake(scheduler, "a")
        wait(scheduler, lambda: a.is_connected("z"))
        accepted = 0
        for _ in range(400):  # more than the socket buffers, the stream and the queue hold together
            error = send_error(a, "z", "word", b"x" * 60_000, 5.0, lambda: unsent.append(1))
            assert error in (None, SendQueueFullError)
            accepted += error is None
            scheduler.sleep(0.0)
        assert a.counters["refused_full"] > 0 and a._peers["z"].queued_bytes <= 1 << 20
        assert send_error(a, "b", "word", b"fine", 1.0) is None
        wait(scheduler, lambda: ("b", "a", b"fine") in fleet.received)
        wait(scheduler, lambda: ("a", "z") in fleet.lost_connections)
        assert a.counters["lost_silent"] == 1 and ("a", "b") not in fleet.lost_connections
        wait(scheduler, lambda: len(unsent) == a.counters["dropped_broken"] > 0)
        # Frames written to the stream may have arrived, so `on_not_sent` is not called for them.
        assert len(unsent) < accepted
        fleet.close()

    run_greenlet(body)


def test_frames_to_an_unreachable_peer_are_dropped_and_then_refused_until_the_next_attempt() -> None:
    def body(scheduler: Scheduler) -> None:
        fleet, unsent = LoopbackFleet(scheduler, "ab"), list[int]()
        a = fleet.start("a")
        assert send_error(a, "b", "word", b"1", 5.0, lambda: unsent.append(1)) is None
        wait(scheduler, lambda: unsent == [1])
        assert send_error(a, "b", "word", b"2", 5.0) is PeerUnavailableError
        assert a.counters["refused_resting"] == 1
        fleet.start("b")
        wait(scheduler, lambda: send_error(a, "b", "word", b"3", 5.0) is None)
        wait(scheduler, lambda: fleet.received == [("b", "a", b"3")])
        fleet.close()

    run_greenlet(body)


def test_a_restarted_peer_replaces_its_connection_and_a_departed_one_may_still_answer() -> None:
    def body(scheduler: Scheduler) -> None:
        fleet = LoopbackFleet(scheduler, "abc", departed_linger_s=0.4)
        a, b, c = (fleet.start(name) for name in "abc")
        answers: list[bytes] = []
        a.register_handler("departed", lambda _, payload: answers.append(payload), accept_departed=True)
        for member in (b, c):
            assert send_error(member, "a", "word", b"1", 2.0) is None
        wait(scheduler, lambda: len(fleet.received) == 2)
        a.handle_view(View(2, (fleet.member("a"), fleet.member("b", 2))))  # b restarted, c left
        assert ("a", "b") in fleet.lost_connections and ("a", "c") not in fleet.lost_connections
        assert send_error(c, "a", "departed", b"answer", 2.0) is None
        assert send_error(c, "a", "word", b"2", 2.0) is None
        wait(scheduler, lambda: answers == [b"answer"] and a.counters.get("frames_parted") == 1)
        wait(scheduler, lambda: ("a", "c") in fleet.lost_connections)
        assert len(fleet.received) == 2 and a.counters["lost_parted"] == 1 and a.counters["lost_stale"] == 1
        fleet.close()

    run_greenlet(body)


def test_a_member_uses_the_agreed_incarnation_and_not_that_of_an_earlier_process() -> None:
    def body(scheduler: Scheduler) -> None:
        fleet = LoopbackFleet(scheduler, "ab")
        a, b = fleet.start("a"), fleet.start("b")
        old_view, new_view = (View(epoch, (fleet.member("a", epoch), fleet.member("b"))) for epoch in (0, 3))
        for member in (a, b):
            member.handle_view(old_view)  # this view has an earlier process of a
        assert send_error(a, "b", "word", b"1", 1.0) is PeerUnknownError
        assert send_error(b, "a", "word", b"2", 1.0) is None
        wait(scheduler, lambda: a.counters.get("hellos_refused") and b.counters.get("connects_refused"))
        for member in (a, b):
            member.handle_view(new_view)
        assert send_error(a, "b", "word", b"3", 1.0) is None
        wait(scheduler, lambda: fleet.received == [("b", "a", b"3")])
        fleet.close()

    run_greenlet(body)


# -- requests forwarded between two servers


class RecordingHandler:
    """A request handler that records arrived and cancelled requests."""

    def __init__(self) -> None:
        self.open_requests: list[Exchange] = []
        self.cancelled_requests: list[Exchange] = []

    def arrived(self, exchange: Exchange) -> None:
        self.open_requests.append(exchange)

    def cancelled(self, exchange: Exchange) -> None:
        self.cancelled_requests.append(exchange)


class RecordingCaller:
    """A caller that records the answers to its requests."""

    def __init__(self) -> None:
        self.answers: list[Any] = []

    def completed(self, exchange: Exchange, result: bytes) -> None:
        self.answers.append(("completed", result))

    def rejected(self, exchange: Exchange, retry_after_s: float, no_retry_elsewhere: bool) -> None:
        self.answers.append(("denied", retry_after_s, no_retry_elsewhere))

    def failed(self, exchange: Exchange) -> None:
        self.answers.append(("terminated",))


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
        self.fleet = LoopbackFleet(scheduler, "ab", max_silence_s=0.6)
        self.handlers, self.services = dict[str, RecordingHandler](), dict[str, ForwardingService]()
        for index, name in enumerate("ab"):
            connections = self.fleet.start(name)
            service = ForwardingService(
                scheduler,
                connections,
                ForwardingState(),
                index + 1,
                {**REQUEST_CLASSES},
                {},
                lambda: NO_OBSERVER,
            )
            self.handlers[name] = RecordingHandler()
            service.handler(self.handlers[name])
            # Also on b, which must not forward a request that it admitted from a.
            service.placer = FixedPlacer("b")
            self.services[name] = service
        self.scheduler, self.caller, self.request_count = scheduler, RecordingCaller(), 0

    def send_request(self, request_class: bytes, age_s: float = 0.0) -> Exchange:
        self.request_count += 1
        settings = REQUEST_CLASSES[request_class]
        idempotency_key = b"l%d" % self.request_count if settings.idempotency is Idempotency.KEYED else None
        request = Request(settings, Client(), None, self.scheduler.clock.now - age_s, 10.0)
        exchange = Exchange(
            b"n%d" % self.request_count, request_class, b"body", 1, idempotency_key, request, self.caller
        )
        self.services["a"].arrived(exchange)
        return exchange

    def admitted_request(self) -> Exchange:
        wait(self.scheduler, lambda: self.handlers["b"].open_requests)
        return self.handlers["b"].open_requests.pop()


def run_with_pair(body: Callable[[Scheduler, Pair], None]) -> None:
    def run(scheduler: Scheduler) -> None:
        pair = Pair(scheduler)
        body(scheduler, pair)
        pair.fleet.close()

    run_greenlet(run)


def test_a_forwarded_request_is_admitted_at_the_peer_and_answered_once_here() -> None:
    def body(scheduler: Scheduler, pair: Pair) -> None:
        answers: list[tuple[Callable[[Exchange], None], Any]] = [
            (lambda admitted: admitted.complete(b"made"), ("completed", b"made")),
            (lambda admitted: admitted.reject(0.75, True), ("denied", 0.75, True)),
            (lambda admitted: admitted.fail(), ("terminated",)),
        ]
        for request_class in REQUEST_CLASSES:
            for answer, expected in answers:
                exchange = pair.send_request(request_class, age_s=0.4)
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
                wait(scheduler, lambda: pair.caller.answers)
                assert pair.caller.answers == [expected]
                pair.caller.answers.clear()
        assert not pair.handlers["a"].open_requests and all(
            service.is_idle for service in pair.services.values()
        )

    run_with_pair(body)


def test_a_cancel_is_forwarded_and_the_name_of_an_open_request_is_refused() -> None:
    def body(scheduler: Scheduler, pair: Pair) -> None:
        exchange = pair.send_request(b"stamp")
        admitted_request = pair.admitted_request()
        pair.request_count -= 1
        pair.send_request(b"stamp")  # reuses the name of the open request
        assert pair.caller.answers == [("terminated",)]
        assert exchange.cancel()
        pair.services["a"].cancelled(exchange)
        wait(scheduler, lambda: pair.handlers["b"].cancelled_requests == [admitted_request])
        assert pair.caller.answers == [("terminated",)] and pair.services["a"].is_idle

    run_with_pair(body)


def test_a_request_too_large_to_send_is_served_here_and_a_result_too_large_fails() -> None:
    def body(scheduler: Scheduler, pair: Pair) -> None:
        pair.send_request(b"stamp")
        pair.admitted_request().complete(b"x" * (2 << 20))
        wait(scheduler, lambda: pair.caller.answers)
        assert pair.caller.answers == [("terminated",)]
        request = Request(REQUEST_CLASSES[b"stamp"], Client(), None, scheduler.clock.now, 10.0)
        oversized = Exchange(b"n" * 65, b"stamp", b"body", 1, None, request, pair.caller)
        pair.services["a"].arrived(oversized)
        assert pair.handlers["a"].open_requests == [oversized]

    run_with_pair(body)


@pytest.mark.parametrize(
    "changes",
    [
        {"memory_kb": 86_401.0},
        {"memory_kb": float("inf")},
        {"subject": "s" * 65},
        {"session": "s" * 65},
    ],
)
def test_a_request_that_no_peer_would_accept_is_served_here(changes: dict[str, Any]) -> None:
    """The receiver dropped it without an answer, and it failed once its acknowledgment was overdue."""

    def body(scheduler: Scheduler, pair: Pair) -> None:
        values = {"memory_kb": 10.0, "subject": None, "session": "", **changes}
        settings, now = REQUEST_CLASSES[b"stamp"], scheduler.clock.now
        request = Request(settings, Client(), None, now, values["memory_kb"], subject=values["subject"])
        exchange = Exchange(b"name", b"stamp", b"body", 1, None, request, pair.caller)
        exchange.session = values["session"]
        pair.services["a"].arrived(exchange)
        assert pair.handlers["a"].open_requests == [exchange]

    run_with_pair(body)


def test_a_lost_connection_ends_each_request_by_its_idempotency() -> None:
    def body(scheduler: Scheduler, pair: Pair) -> None:
        exchanges = {request_class: pair.send_request(request_class) for request_class in REQUEST_CLASSES}
        wait(scheduler, lambda: len(pair.handlers["b"].open_requests) == 3)
        pair.fleet.connections["b"].close()
        wait(scheduler, lambda: len(pair.caller.answers) == 2)
        assert pair.caller.answers == [("terminated",)] * 2
        assert pair.handlers["a"].open_requests == [exchanges[b"lookup"]]
        late_exchange = pair.handlers["b"].open_requests[0]
        late_exchange.complete(b"too late")
        scheduler.sleep(0.05)
        assert len(pair.caller.answers) == 2
        pair.send_request(b"stamp")  # the peer is unreachable, so the request is not sent and is served here
        wait(scheduler, lambda: len(pair.handlers["a"].open_requests) == 2)

    run_with_pair(body)


def test_a_request_that_the_peer_does_not_know_is_served_here() -> None:
    def body(scheduler: Scheduler, pair: Pair) -> None:
        del pair.services["b"]._request_classes[b"record"]
        exchange = pair.send_request(b"record")
        wait(scheduler, lambda: pair.handlers["a"].open_requests == [exchange])
        pair.services["a"].placer = FixedPlacer(None)
        pair.send_request(b"lookup")
        pair.services["a"].placer = None  # type: ignore[assignment]  # an error in the placer fails no request
        pair.send_request(b"lookup")
        assert len(pair.handlers["a"].open_requests) == 3 and pair.services["a"].counters["faults"] == 1

    run_with_pair(body)


def test_two_servers_serve_each_others_requests_and_shut_down_cleanly() -> None:
    with Testbed(1) as testbed, closing(Block()) as block:
        scenario = Scenario(testbed, block.second, "spread", 0, 2, 1, keys=MEMBERSHIP_SETTINGS)
        for name in scenario.names:
            scenario.start(name)
        for name in scenario.names:
            scenario.wait_until_up(name)
        assert scenario.wait_agreed(scenario.names, 20.0) is not None, scenario.processes["m0"].tail()
        scenario.start("m1")  # a second process finds its addresses in use and reports which
        assert scenario.processes["m1"].popen.wait(20.0) == 1
        assert f"sablewheel: membership.listen: {scenario.host('m1')}:" in scenario.processes["m1"].tail(50)
        scenario.processes["m1"] = testbed.processes[-2]
        router = testbed.router(
            "r-m0",
            [f"{scenario.host('m0')}:{LISTEN}"],
            rate=40,
            seconds=2.0,
            request_classes=REQUEST_CLASS_SHARES,
        )
        assert router.popen.wait(20.0) == 0
        attempts = list(testbed.held("r-m0"))
        assert len(attempts) > 40 and {attempt["how"] for attempt in attempts} <= {"completed", "denied"}
        forwarded = (testbed.folder / "m1.guests").read_text().splitlines()
        assert len(forwarded) > 0.4 * len(attempts)
        assert [scenario.processes[name].leave() for name in scenario.names] == [0, 0]
        assert int(testbed.counters(scenario.processes["m0"])["forward_answer_completed"]) > 0
        scenario.relay.close()


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("forwarding:\n  listen: 127.0.0.1:7702", "3: forwarding: needs the section membership"),
        ("forwarding:\n  listen: 0.0.0.0:7702", "advertise is needed"),
        ("forwarding:\n  listen: 127.0.0.1:7702\n  silent-most-s: 0.3", "at least twice ping-every-s"),
        ("forwarding:\n  listen: 127.0.0.1:7702\n  queue-kb: 64", "does not hold one frame"),
        ("forwarding:\n  listen: 127.0.0.1:7702\n  link-most: 64", "links-most may be meant"),
        (
            "membership:\n  listen: 127.0.0.1:7700\n  seeds: [127.0.0.1:7700]\n"
            "forwarding:\n  listen: 127.0.0.1:7702\n  frame-most-kb: 16\n  queue-kb: 16\n"
            "replication:\n  result-most-kb: 512",
            "11: replication.result-most-kb: 2 results of 512 kB .* into forwarding.frame-most-kb 16",
        ),
    ],
)
def test_faults_of_the_section_are_reported_by_key(tmp_path: Path, text: str, message: str) -> None:
    file = tmp_path / "features.yaml"
    file.write_text(f"version: 1\n\n{text}\n")
    with pytest.raises(FaultyFeaturesError, match=message):
        read(file)

"""The scheduler on real descriptors: who is woken, when timers ring, and that nothing spins."""

from __future__ import annotations

import errno
import os
import signal
import socket
import time
import tracemalloc
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from sablewheel.transport.datagram import RECEIVE_BUFFER_BYTES, DatagramSocket
from sablewheel.transport.listening_socket import Listener
from sablewheel.transport.scheduler import READABLE, WRITABLE, Clock, Scheduler
from sablewheel.transport.stream import Stream, connect


@pytest.fixture
def pair() -> Iterator[tuple[socket.socket, socket.socket]]:
    ends = socket.socketpair()
    for end in ends:
        end.setblocking(False)
    yield ends
    for end in ends:
        end.close()


def play(scheduler: Scheduler, *actors: Callable[[], None], most: float = 0.3) -> int:
    """Run the actors for a while; how many rounds that took."""
    rounds: list[int] = []
    scheduler.after_round.append(lambda: rounds.append(1))
    for actor in actors:
        scheduler.spawn(actor)
    scheduler.after(most, scheduler.stop)
    scheduler.run()
    return len(rounds)


class MadeTime:
    """The system's two clocks, as a test sets them."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.unix, self.monotonic = 1000.0, 50.0
        monkeypatch.setattr(time, "time", lambda: self.unix)
        monkeypatch.setattr(time, "monotonic", lambda: self.monotonic)

    def wait(self, span: float, step: float = 0.0) -> None:
        self.unix += span + step
        self.monotonic += span


STEPS = [0.5, 5.0, 3600.0, -0.5, -5.0, -3600.0]


@pytest.mark.parametrize("step", STEPS)
def test_the_clock_runs_with_real_time_however_the_wall_clock_is_set(
    monkeypatch: pytest.MonkeyPatch, step: float
) -> None:
    made = MadeTime(monkeypatch)
    clock = Clock()
    readings = [clock.now]
    for span, by in [(1.0, 0.0), (0.25, step), (1.0, 0.0), (0.25, -step), (2.0, step)]:
        made.wait(span, by)
        readings.append(clock.read())
    assert readings == [1000.0, 1001.0, 1001.25, 1002.25, 1002.5, 1004.5]
    assert clock.to_unix(clock.now) == made.unix


@pytest.mark.parametrize("read_between", [False, True])
@pytest.mark.parametrize("step", [5.0, 3600.0, -5.0, -3600.0])
def test_a_timestamp_is_read_by_the_setting_under_which_it_was_made(
    monkeypatch: pytest.MonkeyPatch, step: float, read_between: bool
) -> None:
    made = MadeTime(monkeypatch)
    clock = Clock()
    made.wait(10.0)
    clock.read()
    before, true_before = made.unix, made.monotonic
    made.wait(0.1, step)
    if read_between:
        clock.read()
    made.wait(0.1)
    after, true_after = made.unix, made.monotonic
    made.wait(0.2)
    apart = 950.0  # between the clock and the monotonic one, as it was made
    assert clock.from_unix(before) == pytest.approx(true_before + apart)
    assert clock.from_unix(after) == pytest.approx(true_after + apart)
    made.wait(100.0)
    clock.read()
    assert clock.from_unix(made.unix) == pytest.approx(made.monotonic + apart)


@pytest.mark.parametrize("step", [3600.0, -3600.0])
def test_a_timestamp_by_a_clock_that_was_not_stepped_along_is_still_understood(
    monkeypatch: pytest.MonkeyPatch, step: float
) -> None:
    made = MadeTime(monkeypatch)
    clock = Clock()
    made.wait(10.0, step)
    clock.read()
    made.wait(300.0)
    unstepped = made.unix - step - 0.5
    assert clock.from_unix(unstepped) == pytest.approx(clock.now - 0.5)
    assert clock.from_unix(made.unix - 0.5) == pytest.approx(clock.now - 0.5)
    assert clock.from_unix(12.0) == 12.0 - step  # made up: nothing fits


def test_a_clock_that_is_slewed_is_followed_and_counts_as_one_setting(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    made = MadeTime(monkeypatch)
    clock = Clock()
    for _ in range(100):
        made.wait(1.0, 0.0005)
        clock.read()
    assert clock.from_unix(made.unix) == pytest.approx(clock.now) and not clock._earlier_settings
    assert clock.to_unix(clock.now) == pytest.approx(made.unix)


def test_timers_fire_in_order_never_early_and_not_once_cancelled() -> None:
    scheduler, fired = Scheduler(Clock()), []
    started = scheduler.clock.now
    for span in (0.05, 0.01, 0.03):
        scheduler.after(span, lambda span=span: fired.append((span, scheduler.clock.now)))  # type: ignore[misc]
    scheduler.after(0.02, lambda: fired.append((0.02, 0.0))).cancel()
    play(scheduler, most=0.1)
    assert [span for span, _ in fired] == [0.01, 0.03, 0.05]
    assert all(now >= started + span for span, now in fired)


def test_both_directions_of_a_descriptor_have_a_waiter_each(
    pair: tuple[socket.socket, socket.socket],
) -> None:
    scheduler, (one, two), seen = Scheduler(Clock()), pair, []

    def reader() -> None:
        seen.append(("read", scheduler.wait(one.fileno(), READABLE)))

    def writer() -> None:
        seen.append(("write", scheduler.wait(one.fileno(), WRITABLE)))
        two.send(b"x")

    play(scheduler, reader, writer)
    assert seen == [("write", True), ("read", True)]


def test_a_wait_ends_by_its_time_or_when_the_descriptor_goes(
    pair: tuple[socket.socket, socket.socket],
) -> None:
    scheduler, (one, two), seen = Scheduler(Clock()), pair, []

    def patient() -> None:
        seen.append(scheduler.wait(one.fileno(), READABLE, 0.02))

    def left() -> None:
        seen.append(scheduler.wait(two.fileno(), READABLE))

    scheduler.after(0.05, lambda: scheduler.unregister(two.fileno()))
    play(scheduler, patient, left)
    assert seen == [False, True]


def test_what_nobody_waits_for_does_not_spin(pair: tuple[socket.socket, socket.socket]) -> None:
    scheduler, (one, two) = Scheduler(Clock()), pair

    def once() -> None:
        scheduler.wait(one.fileno(), READABLE)

    two.send(b"never read")
    two.shutdown(socket.SHUT_WR)
    assert play(scheduler, once) < 20


def test_a_fault_ends_its_own_greenlet_only() -> None:
    scheduler, seen = Scheduler(Clock()), []

    def faulty() -> None:
        raise RuntimeError("a fault of ours")

    play(scheduler, faulty, lambda: seen.append(1), most=0.02)
    assert seen == [1]


def test_signals_are_taken_in_the_loop() -> None:
    scheduler, seen = Scheduler(Clock()), []
    before = signal.getsignal(signal.SIGUSR1)
    try:

        def faulty() -> None:
            seen.append(1)
            raise RuntimeError("a fault of ours")

        scheduler.on_signal(signal.SIGUSR1, faulty)
        play(
            scheduler,
            lambda: os.kill(os.getpid(), signal.SIGUSR1),
            lambda: scheduler.after(0.1, lambda: os.kill(os.getpid(), signal.SIGUSR1)),  # type: ignore[arg-type]
        )
        assert seen == [1, 1]
    finally:
        signal.set_wakeup_fd(-1)
        signal.signal(signal.SIGUSR1, before)


def test_a_stream_keeps_all_bytes_while_its_peer_does_not_read() -> None:
    scheduler, ends, got = Scheduler(Clock()), [], bytearray()
    data = bytes(range(256)) * 40_000
    with socket.create_server(("127.0.0.1", 0)) as free:
        address = free.getsockname()

    def accepted(stream: Stream) -> None:
        ends.append(stream)
        stream.write(data)
        stream.flush()

    listener = Listener(scheduler, address, lambda: len(ends) < 4, accepted, lambda: None)

    def peer() -> None:
        stream = connect(scheduler, address, 1.0)
        assert stream is not None
        scheduler.sleep(0.1)
        while len(got) < len(data) and (more := stream.read()):
            got.extend(more)
        stream.close()
        listener.close()
        scheduler.stop()

    play(scheduler, peer, most=20.0)
    assert bytes(got) == data and ends[0].all_sent


def test_a_read_takes_no_more_memory_than_what_came() -> None:
    scheduler, peaks = Scheduler(Clock()), []
    with socket.create_server(("127.0.0.1", 0)) as listening_socket:
        two = socket.create_connection(listening_socket.getsockname())
        stream = Stream(scheduler, listening_socket.accept()[0])

    def reader() -> None:
        for _ in range(3):
            two.send(b"x" * 100)
            tracemalloc.start()
            assert stream.read() == b"x" * 100
            peaks.append(tracemalloc.get_traced_memory()[1])
            tracemalloc.stop()
        stream.close()

    play(scheduler, reader)
    two.close()
    assert len(peaks) == 3 and min(peaks) < 16_000, peaks


def test_nobody_there_is_no_connection() -> None:
    scheduler, seen = Scheduler(Clock()), []
    with socket.create_server(("127.0.0.1", 0)) as free:
        address = free.getsockname()
    play(scheduler, lambda: seen.append(connect(scheduler, address, 0.2)))
    assert seen == [None]


def test_a_datagram_socket_holds_what_1024_send_at_once_as_far_as_the_kernel_allows() -> None:
    allowed = int(Path("/proc/sys/net/core/rmem_max").read_text())
    scheduler, got = Scheduler(Clock()), list[bytes]()
    box = DatagramSocket(scheduler, ("127.0.0.1", 0), 1000, lambda data, _: got.append(data))
    room = box._socket.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
    assert room == 2 * min(RECEIVE_BUFFER_BYTES, allowed)  # the kernel counts its own part
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for number in range(1024):  # all before the first round, as while the process is busy
            sender.sendto(b"%d" % number + bytes(100), box._socket.getsockname())
    play(scheduler)
    assert len(got) >= min(1024, room // 1280)
    box.close()


class Ailing:
    """A socket whose reads and writes fail for a while."""

    def __init__(self, sock: socket.socket, until: float) -> None:
        self._sock, self._until = sock, until

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    def _fail(self) -> None:
        if time.monotonic() < self._until:
            raise OSError(errno.ENOBUFS, "no buffer space available")

    def recv_into(self, *values: Any) -> int:
        self._fail()
        return self._sock.recv_into(*values)

    def send(self, *values: Any) -> int:
        self._fail()
        return self._sock.send(*values)


def test_a_connection_outlives_calls_that_fail_for_longer_than_a_second(
    pair: tuple[socket.socket, socket.socket],
) -> None:
    scheduler, (one, two), got = Scheduler(Clock()), pair, list[bytes]()
    stream = Stream(scheduler, one)
    stream._socket = Ailing(one, time.monotonic() + 2.0)  # type: ignore[assignment]

    def actor() -> None:
        got.append(stream.read())

    two.sendall(b"asked")
    stream.write(b"told")
    stream.flush()
    play(scheduler, actor, most=3.0)
    assert got == [b"asked"] and two.recv(9) == b"told" and stream.open
    stream.close()

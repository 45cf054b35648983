"""The clock, the event loop and the sockets on real descriptors."""

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


def run_rounds(scheduler: Scheduler, *functions: Callable[[], None], max_time_s: float = 0.3) -> int:
    """Run the functions as greenlets for a limited time; return the number of rounds."""
    rounds: list[int] = []
    scheduler.after_round.append(lambda: rounds.append(1))
    for function in functions:
        scheduler.spawn(function)
    scheduler.after(max_time_s, scheduler.stop)
    scheduler.run()
    return len(rounds)


class FakeSystemClocks:
    """The system's two clocks, set by a test."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.unix, self.monotonic = 1000.0, 50.0
        monkeypatch.setattr(time, "time", lambda: self.unix)
        monkeypatch.setattr(time, "monotonic", lambda: self.monotonic)

    def wait(self, span: float, step: float = 0.0) -> None:
        self.unix += span + step
        self.monotonic += span


STEPS = [0.5, 5.0, 3600.0, -0.5, -5.0, -3600.0]


@pytest.mark.parametrize("step", STEPS)
def test_the_clock_follows_real_time_while_the_wall_clock_is_stepped(
    monkeypatch: pytest.MonkeyPatch, step: float
) -> None:
    clocks = FakeSystemClocks(monkeypatch)
    clock = Clock()
    readings = [clock.now]
    for span, wall_clock_step in [(1.0, 0.0), (0.25, step), (1.0, 0.0), (0.25, -step), (2.0, step)]:
        clocks.wait(span, wall_clock_step)
        readings.append(clock.read())
    assert readings == [1000.0, 1001.0, 1001.25, 1002.25, 1002.5, 1004.5]
    assert clock.to_unix(clock.now) == clocks.unix


@pytest.mark.parametrize("read_between", [False, True])
@pytest.mark.parametrize("step", [5.0, 3600.0, -5.0, -3600.0])
def test_a_timestamp_is_converted_by_the_setting_under_which_it_was_made(
    monkeypatch: pytest.MonkeyPatch, step: float, read_between: bool
) -> None:
    clocks = FakeSystemClocks(monkeypatch)
    clock = Clock()
    clocks.wait(10.0)
    clock.read()
    before, true_before = clocks.unix, clocks.monotonic
    clocks.wait(0.1, step)
    if read_between:
        clock.read()
    clocks.wait(0.1)
    after, true_after = clocks.unix, clocks.monotonic
    clocks.wait(0.2)
    offset = 950.0  # between the clock and the monotonic clock, from its creation on
    assert clock.from_unix(before) == pytest.approx(true_before + offset)
    assert clock.from_unix(after) == pytest.approx(true_after + offset)
    clocks.wait(100.0)
    clock.read()
    assert clock.from_unix(clocks.unix) == pytest.approx(clocks.monotonic + offset)


@pytest.mark.parametrize("step", [3600.0, -3600.0])
def test_a_timestamp_of_a_clock_that_was_not_stepped_is_still_converted(
    monkeypatch: pytest.MonkeyPatch, step: float
) -> None:
    clocks = FakeSystemClocks(monkeypatch)
    clock = Clock()
    clocks.wait(10.0, step)
    clock.read()
    clocks.wait(300.0)
    unstepped = clocks.unix - step - 0.5
    assert clock.from_unix(unstepped) == pytest.approx(clock.now - 0.5)
    assert clock.from_unix(clocks.unix - 0.5) == pytest.approx(clock.now - 0.5)
    assert clock.from_unix(12.0) == 12.0 - step  # an arbitrary time, which no setting fits


def test_a_slewed_wall_clock_is_followed_and_counts_as_one_setting(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clocks = FakeSystemClocks(monkeypatch)
    clock = Clock()
    for _ in range(100):
        clocks.wait(1.0, 0.0005)
        clock.read()
    assert clock.from_unix(clocks.unix) == pytest.approx(clock.now) and not clock._earlier_settings
    assert clock.to_unix(clock.now) == pytest.approx(clocks.unix)


def test_timers_fire_in_order_never_early_and_not_after_cancellation() -> None:
    scheduler, fired = Scheduler(Clock()), []
    started = scheduler.clock.now
    for span in (0.05, 0.01, 0.03):
        scheduler.after(span, lambda span=span: fired.append((span, scheduler.clock.now)))  # type: ignore[misc]
    scheduler.after(0.02, lambda: fired.append((0.02, 0.0))).cancel()
    run_rounds(scheduler, max_time_s=0.1)
    assert [span for span, _ in fired] == [0.01, 0.03, 0.05]
    assert all(now >= started + span for span, now in fired)


def test_both_directions_of_a_descriptor_have_a_waiter_each(
    pair: tuple[socket.socket, socket.socket],
) -> None:
    scheduler, (local, remote), events = Scheduler(Clock()), pair, []

    def reader() -> None:
        events.append(("read", scheduler.wait(local.fileno(), READABLE)))

    def writer() -> None:
        events.append(("write", scheduler.wait(local.fileno(), WRITABLE)))
        remote.send(b"x")

    run_rounds(scheduler, reader, writer)
    assert events == [("write", True), ("read", True)]


def test_a_wait_ends_at_its_timeout_or_when_the_descriptor_is_unregistered(
    pair: tuple[socket.socket, socket.socket],
) -> None:
    scheduler, (first, second), results = Scheduler(Clock()), pair, []

    def wait_with_timeout() -> None:
        results.append(scheduler.wait(first.fileno(), READABLE, 0.02))

    def wait_without_timeout() -> None:
        results.append(scheduler.wait(second.fileno(), READABLE))

    scheduler.after(0.05, lambda: scheduler.unregister(second.fileno()))
    run_rounds(scheduler, wait_with_timeout, wait_without_timeout)
    assert results == [False, True]


def test_events_without_a_waiter_do_not_spin(pair: tuple[socket.socket, socket.socket]) -> None:
    scheduler, (local, remote) = Scheduler(Clock()), pair

    def wait_once() -> None:
        scheduler.wait(local.fileno(), READABLE)

    remote.send(b"never read")
    remote.shutdown(socket.SHUT_WR)
    assert run_rounds(scheduler, wait_once) < 20


def test_an_error_ends_only_its_own_greenlet() -> None:
    scheduler, calls = Scheduler(Clock()), []

    def raise_error() -> None:
        raise RuntimeError("injected error")

    run_rounds(scheduler, raise_error, lambda: calls.append(1), max_time_s=0.02)
    assert calls == [1]


def test_signals_are_handled_in_the_loop() -> None:
    scheduler, calls = Scheduler(Clock()), []
    before = signal.getsignal(signal.SIGUSR1)
    try:

        def handle_and_raise() -> None:
            calls.append(1)
            raise RuntimeError("injected error")

        scheduler.on_signal(signal.SIGUSR1, handle_and_raise)
        run_rounds(
            scheduler,
            lambda: os.kill(os.getpid(), signal.SIGUSR1),
            lambda: scheduler.after(0.1, lambda: os.kill(os.getpid(), signal.SIGUSR1)),  # type: ignore[arg-type]
        )
        assert calls == [1, 1]
    finally:
        signal.set_wakeup_fd(-1)
        signal.signal(signal.SIGUSR1, before)


def test_a_stream_keeps_all_bytes_while_its_peer_does_not_read() -> None:
    scheduler, streams, received = Scheduler(Clock()), [], bytearray()
    data = bytes(range(256)) * 40_000
    with socket.create_server(("127.0.0.1", 0)) as unused_socket:
        address = unused_socket.getsockname()

    def accepted(stream: Stream) -> None:
        streams.append(stream)
        stream.write(data)
        stream.flush()

    listener = Listener(scheduler, address, lambda: len(streams) < 4, accepted, lambda: None)

    def peer() -> None:
        stream = connect(scheduler, address, 1.0)
        assert stream is not None
        scheduler.sleep(0.1)
        while len(received) < len(data) and (chunk := stream.read()):
            received.extend(chunk)
        stream.close()
        listener.close()
        scheduler.stop()

    run_rounds(scheduler, peer, max_time_s=20.0)
    assert bytes(received) == data and streams[0].all_sent


def test_a_read_allocates_no_more_than_the_received_data() -> None:
    scheduler, peaks = Scheduler(Clock()), []
    with socket.create_server(("127.0.0.1", 0)) as listening_socket:
        peer = socket.create_connection(listening_socket.getsockname())
        stream = Stream(scheduler, listening_socket.accept()[0])

    def reader() -> None:
        for _ in range(3):
            peer.send(b"x" * 100)
            tracemalloc.start()
            assert stream.read() == b"x" * 100
            peaks.append(tracemalloc.get_traced_memory()[1])
            tracemalloc.stop()
        stream.close()

    run_rounds(scheduler, reader)
    peer.close()
    assert len(peaks) == 3 and min(peaks) < 16_000, peaks


def test_connecting_to_a_closed_port_gives_no_stream() -> None:
    scheduler, results = Scheduler(Clock()), []
    with socket.create_server(("127.0.0.1", 0)) as unused_socket:
        address = unused_socket.getsockname()
    run_rounds(scheduler, lambda: results.append(connect(scheduler, address, 0.2)))
    assert results == [None]


def test_a_datagram_socket_buffers_1024_datagrams_as_far_as_the_kernel_allows() -> None:
    max_buffer_bytes = int(Path("/proc/sys/net/core/rmem_max").read_text())
    scheduler, received = Scheduler(Clock()), list[bytes]()
    datagram_socket = DatagramSocket(scheduler, ("127.0.0.1", 0), 1000, lambda data, _: received.append(data))
    buffer_bytes = datagram_socket._socket.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
    # The kernel adds as much for its own data.
    assert buffer_bytes == 2 * min(RECEIVE_BUFFER_BYTES, max_buffer_bytes)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for number in range(1024):  # all before the first round, as if the process were busy
            sender.sendto(b"%d" % number + bytes(100), datagram_socket._socket.getsockname())
    run_rounds(scheduler)
    assert len(received) >= min(1024, buffer_bytes // 1280)
    datagram_socket.close()


class FailingSocket:
    """A socket whose reads and writes fail until a given time."""

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


def test_a_connection_survives_calls_that_fail_for_longer_than_a_second(
    pair: tuple[socket.socket, socket.socket],
) -> None:
    scheduler, (local, remote), received = Scheduler(Clock()), pair, list[bytes]()
    stream = Stream(scheduler, local)
    stream._socket = FailingSocket(local, time.monotonic() + 2.0)  # type: ignore[assignment]

    def reader() -> None:
        received.append(stream.read())

    remote.sendall(b"asked")
    stream.write(b"told")
    stream.flush()
    run_rounds(scheduler, reader, max_time_s=3.0)
    assert received == [b"asked"] and remote.recv(9) == b"told" and stream.open
    stream.close()

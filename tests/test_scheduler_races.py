"""What crosses in one round of the scheduler: faults of ours, signals, closes and numbers used again.

Each test holds the moment itself: both things are made to be due in the same round, none is hoped for.
"""

from __future__ import annotations

import errno
import os
import signal
import socket
from collections.abc import Callable, Iterator
from itertools import pairwise

import pytest
from greenlet import getcurrent
from test_transport import play as play_for

from sablewheel.transport.scheduler import READABLE, Clock, Scheduler
from sablewheel.transport.wakeup import Wakeup

MOST = 2.0  # no test waits longer


def fault() -> None:
    raise RuntimeError("a fault of ours")


def play(scheduler: Scheduler, *actors: Callable[[], None], most: float = MOST) -> int:
    """Run until stopped, `most` seconds; how many rounds that took."""
    return play_for(scheduler, *actors, most=most)


@pytest.fixture
def scheduler() -> Scheduler:
    return Scheduler(Clock())


@pytest.fixture
def signals() -> Iterator[int]:
    """A signal that a test may take and send."""
    before = signal.getsignal(signal.SIGUSR1)
    yield signal.SIGUSR1
    signal.set_wakeup_fd(-1)
    signal.signal(signal.SIGUSR1, before)


def sockets(count: int) -> list[tuple[socket.socket, socket.socket]]:
    pairs = [socket.socketpair() for _ in range(count)]
    for pair in pairs:
        for end in pair:
            end.setblocking(False)
    return pairs


# -- faults of ours


def test_a_fault_in_a_timers_action_leaves_the_other_timers_and_the_loop(
    scheduler: Scheduler, caplog: pytest.LogCaptureFixture
) -> None:
    seen: list[str] = []
    scheduler.on_fault = lambda: seen.append("fault")
    scheduler.after(0.0, fault)
    scheduler.after(0.0, lambda: seen.append("due in the same round"))
    scheduler.after(0.01, lambda: seen.append("due later"))
    scheduler.after(0.02, scheduler.stop)
    play(scheduler)
    assert seen == ["fault", "due in the same round", "due later"]
    assert "a fault of ours" in caplog.text


def test_a_fault_at_the_end_of_every_round_leaves_the_others_and_keeps_no_signal_out(
    scheduler: Scheduler, signals: int
) -> None:
    """As when the batch of a round can't be decided: what came next could still end the process in order."""
    seen: list[str] = []
    scheduler.on_fault = lambda: seen.append("fault")
    scheduler.on_signal(signals, scheduler.stop)
    scheduler.after_round += [fault, lambda: seen.append("after it")]
    scheduler.after(0.05, lambda: os.kill(os.getpid(), signals))
    rounds = play(scheduler)
    assert seen == ["fault", "after it"] * rounds
    assert rounds < 10  # no spin


def test_a_fault_in_a_greenlet_is_counted_too(scheduler: Scheduler) -> None:
    seen: list[str] = []
    scheduler.on_fault = lambda: seen.append("fault")
    scheduler.after(0.01, scheduler.stop)
    play(scheduler, fault)
    assert seen == ["fault"]


def test_what_recurs_goes_on_after_a_fault_until_it_is_cancelled(scheduler: Scheduler) -> None:
    turns: list[float] = []

    def turn() -> None:
        turns.append(scheduler.clock.now)
        if len(turns) == 3:
            recurring.cancel()
            scheduler.after(0.03, scheduler.stop)
        fault()

    recurring = scheduler.every(0.01, turn)
    play(scheduler)
    assert len(turns) == 3
    assert all(later >= sooner + 0.01 for sooner, later in pairwise(turns))


def test_a_wakeup_that_faults_is_called_again(scheduler: Scheduler) -> None:
    """A fault before it told its next wake: nobody would ring it any more."""
    fired_at: list[float] = []

    def ring() -> None:
        fired_at.append(scheduler.clock.now)
        if len(fired_at) == 2:
            scheduler.stop()
        fault()

    Wakeup(scheduler, lambda: scheduler.clock.now, ring).set(scheduler.clock.now)
    play(scheduler)
    assert len(fired_at) == 2 and fired_at[1] - fired_at[0] >= 0.1  # and a lasting fault does not spin


def test_a_wakeup_set_before_a_fault_is_called_then(scheduler: Scheduler) -> None:
    fired_at: list[float] = []

    def ring() -> None:
        fired_at.append(scheduler.clock.now)
        if len(fired_at) == 2:
            return scheduler.stop()
        wake.set(scheduler.clock.now + 0.01)
        fault()

    wake = Wakeup(scheduler, lambda: scheduler.clock.now, ring)
    wake.set(scheduler.clock.now)
    play(scheduler)
    assert len(fired_at) == 2 and fired_at[1] - fired_at[0] < 0.1


# -- signals


def test_a_signal_that_finds_the_pipe_full_is_not_lost(scheduler: Scheduler, signals: int) -> None:
    scheduler.on_signal(signals, scheduler.stop)
    assert scheduler._signal_pipe is not None
    with pytest.raises(BlockingIOError):
        while True:
            os.write(scheduler._signal_pipe[1], b"\0" * 65536)
    os.kill(os.getpid(), signals)
    scheduler.after(0.5, lambda: pytest.fail("the signal was lost"))
    scheduler.on_fault = scheduler.stop
    heard: list[bool] = []
    scheduler.after_round.append(lambda: heard.append(scheduler._stopped))
    play(scheduler, most=0.3)
    assert len(heard) < 5 and heard[-1]  # long before the time was over


@pytest.mark.parametrize("number", [errno.EIO, errno.ENOMEM, errno.EINTR])
def test_signals_are_taken_though_a_read_of_their_pipe_failed(
    scheduler: Scheduler, signals: int, number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A failed read ended the greenlet that takes signals, and the process was deaf from then on."""
    taken, failures, read = [0], [number], os.read

    def failing(descriptor: int, most: int) -> bytes:
        if failures and scheduler._signal_pipe is not None and descriptor == scheduler._signal_pipe[0]:
            raise OSError(failures.pop(), "a failed call")
        return read(descriptor, most)

    def take() -> None:
        taken[0] += 1
        if taken[0] == 2:
            scheduler.stop()

    monkeypatch.setattr(os, "read", failing)
    scheduler.on_signal(signals, take)
    scheduler.after(0.01, lambda: os.kill(os.getpid(), signals))
    scheduler.after(0.3, lambda: os.kill(os.getpid(), signals))
    play(scheduler)
    assert taken == [2] and not failures


def test_signals_between_any_two_steps_of_a_round_are_taken_in_the_loop(
    scheduler: Scheduler, signals: int
) -> None:
    """From a greenlet, a timer and the end of a round: taken at once, never in the middle of anything."""
    seen: list[str] = []
    inside: list[str] = []

    def taken() -> None:
        assert not inside
        seen.append("taken")
        if len(seen) == 3:
            scheduler.stop()

    def send() -> None:
        inside.append("busy")
        os.kill(os.getpid(), signals)
        inside.pop()

    once = [send]
    scheduler.on_signal(signals, taken)
    scheduler.after(0.02, send)
    scheduler.after_round.append(lambda: once.pop()() if once else None)
    scheduler.spawn(lambda: scheduler.sleep(0.04) or send())  # type: ignore[func-returns-value]
    assert play(scheduler) < 20
    assert seen == ["taken"] * 3


def test_one_signal_twice_in_a_round_is_taken_and_the_next_one_as_well(
    scheduler: Scheduler, signals: int
) -> None:
    seen: list[float] = []
    scheduler.on_signal(signals, lambda: seen.append(scheduler.clock.now))

    def twice() -> None:
        os.kill(os.getpid(), signals)
        os.kill(os.getpid(), signals)

    scheduler.after(0.01, twice)
    scheduler.after(0.03, lambda: os.kill(os.getpid(), signals))
    scheduler.after(0.05, scheduler.stop)
    play(scheduler)
    assert len(set(seen)) == 2


# -- descriptors


@pytest.mark.parametrize("forgotten_first", [True, False])
def test_a_wait_that_ends_twice_in_a_round_is_reported_once(
    scheduler: Scheduler, forgotten_first: bool
) -> None:
    """Its time is over and the descriptor goes, both due in one round, in either order."""
    [(one, other)] = sockets(1)
    told: list[object] = []

    def forget() -> None:
        scheduler.unregister(one.fileno())

    def waiter() -> None:
        if forgotten_first:
            scheduler.after(0.01, forget)
        told.append(scheduler.wait(one.fileno(), READABLE, 0.01))
        scheduler.park()
        told.append("woken again")

    def late() -> None:
        if not forgotten_first:
            scheduler.after(0.01, forget)

    scheduler.after(0.05, scheduler.stop)
    play(scheduler, waiter, late)
    assert told == [forgotten_first]
    assert not scheduler._masks and not any(scheduler._waiting.values())
    one.close()
    other.close()


def test_events_of_a_number_that_was_closed_do_not_reach_its_next_owner(scheduler: Scheduler) -> None:
    """Two descriptors are ready in one round; who runs first closes the other's and takes its number anew."""
    pairs = sockets(2)
    descriptors = [pair[0].fileno() for pair in pairs]
    told: list[str] = []
    made: list[socket.socket] = []

    def owner(which: int) -> None:
        scheduler.wait(descriptors[which], READABLE)
        if made:  # the other ran first, and this one's descriptor is gone
            told.append("closed")
            return
        other = pairs[1 - which][0]
        scheduler.unregister(other.fileno())
        other.close()
        made.extend(socket.socketpair())
        assert made[0].fileno() == descriptors[1 - which]
        scheduler.spawn(next_owner)

    def next_owner() -> None:
        happened = scheduler.wait(made[0].fileno(), READABLE, 0.05)
        told.append("a stale event" if happened else "nothing came")
        scheduler.stop()

    for _, end in pairs:
        end.send(b"x")
    play(scheduler, lambda: owner(0), lambda: owner(1))
    assert sorted(told) == ["closed", "nothing came"]
    for end in [*made, *(end for pair in pairs for end in pair)]:
        end.close()


def test_a_number_that_is_no_descriptor_faults_each_time_and_leaves_no_trace(scheduler: Scheduler) -> None:
    """A socket that is closed has -1: a second wait on it stood still for ever."""
    seen: list[str] = []

    def waits() -> None:
        with pytest.raises(ValueError, match="negative"):
            scheduler.wait(-1, READABLE)
        seen.append(f"{getcurrent() is not None}")

    scheduler.after(0.02, scheduler.stop)
    play(scheduler, waits, waits)
    assert seen == ["True", "True"] and not scheduler._masks and not scheduler._waiting.get(-1)

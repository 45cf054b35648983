"""Races in one round of the scheduler: internal errors, signals, closes and reused descriptor numbers.

Each test forces its race, by making both events due in the same round.
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
from test_transport import run_rounds as run_rounds_for

from sablewheel.transport.scheduler import READABLE, Clock, Scheduler
from sablewheel.transport.wakeup import Wakeup

MAX_TIME_S = 2.0  # limit for each test


def raise_error() -> None:
    raise RuntimeError("injected error")


def run_rounds(scheduler: Scheduler, *functions: Callable[[], None], max_time_s: float = MAX_TIME_S) -> int:
    """Run until stopped, for at most `max_time_s`; return the number of rounds."""
    return run_rounds_for(scheduler, *functions, max_time_s=max_time_s)


@pytest.fixture
def scheduler() -> Scheduler:
    return Scheduler(Clock())


@pytest.fixture
def signals() -> Iterator[int]:
    """Yield a signal that a test may handle and send."""
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


# -- internal errors


def test_an_error_in_a_timers_action_does_not_affect_other_timers_or_the_loop(
    scheduler: Scheduler, caplog: pytest.LogCaptureFixture
) -> None:
    events: list[str] = []
    scheduler.on_internal_error = lambda: events.append("fault")
    scheduler.after(0.0, raise_error)
    scheduler.after(0.0, lambda: events.append("due in the same round"))
    scheduler.after(0.01, lambda: events.append("due later"))
    scheduler.after(0.02, scheduler.stop)
    run_rounds(scheduler)
    assert events == ["fault", "due in the same round", "due later"]
    assert "injected error" in caplog.text


def test_an_error_at_the_end_of_every_round_affects_neither_other_actions_nor_signals(
    scheduler: Scheduler, signals: int
) -> None:
    """As when no batch can be decided: a signal must still stop the process in order."""
    events: list[str] = []
    scheduler.on_internal_error = lambda: events.append("fault")
    scheduler.on_signal(signals, scheduler.stop)
    scheduler.after_round += [raise_error, lambda: events.append("after it")]
    scheduler.after(0.05, lambda: os.kill(os.getpid(), signals))
    rounds = run_rounds(scheduler)
    assert events == ["fault", "after it"] * rounds
    assert rounds < 10  # no spin


def test_an_error_in_a_greenlet_is_counted(scheduler: Scheduler) -> None:
    events: list[str] = []
    scheduler.on_internal_error = lambda: events.append("fault")
    scheduler.after(0.01, scheduler.stop)
    run_rounds(scheduler, raise_error)
    assert events == ["fault"]


def test_a_recurring_timer_continues_after_an_error_until_it_is_cancelled(scheduler: Scheduler) -> None:
    calls: list[float] = []

    def call_and_raise() -> None:
        calls.append(scheduler.clock.now)
        if len(calls) == 3:
            timer.cancel()
            scheduler.after(0.03, scheduler.stop)
        raise_error()

    timer = scheduler.every(0.01, call_and_raise)
    run_rounds(scheduler)
    assert len(calls) == 3
    assert all(later >= sooner + 0.01 for sooner, later in pairwise(calls))


def test_a_wakeup_that_raises_is_called_again(scheduler: Scheduler) -> None:
    """Guards against an error before the next call was set, after which there was no further call."""
    fired_at: list[float] = []

    def wake_and_raise() -> None:
        fired_at.append(scheduler.clock.now)
        if len(fired_at) == 2:
            scheduler.stop()
        raise_error()

    Wakeup(scheduler, lambda: scheduler.clock.now, wake_and_raise).set(scheduler.clock.now)
    run_rounds(scheduler)
    assert len(fired_at) == 2 and fired_at[1] - fired_at[0] >= 0.1  # and a persistent error does not spin


def test_a_wakeup_set_before_an_error_is_called_at_that_time(scheduler: Scheduler) -> None:
    fired_at: list[float] = []

    def wake_and_raise() -> None:
        fired_at.append(scheduler.clock.now)
        if len(fired_at) == 2:
            return scheduler.stop()
        wakeup.set(scheduler.clock.now + 0.01)
        raise_error()

    wakeup = Wakeup(scheduler, lambda: scheduler.clock.now, wake_and_raise)
    wakeup.set(scheduler.clock.now)
    run_rounds(scheduler)
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
    scheduler.on_internal_error = scheduler.stop
    stopped_by_round: list[bool] = []
    scheduler.after_round.append(lambda: stopped_by_round.append(scheduler._stopped))
    run_rounds(scheduler, max_time_s=0.3)
    assert len(stopped_by_round) < 5 and stopped_by_round[-1]  # long before the time limit


@pytest.mark.parametrize("error_number", [errno.EIO, errno.ENOMEM, errno.EINTR])
def test_signals_are_handled_although_a_read_of_their_pipe_failed(
    scheduler: Scheduler, signals: int, error_number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a failed read that ended the signal greenlet, so that no signal was handled any more."""
    handled, failures, read = [0], [error_number], os.read

    def failing(descriptor: int, size: int) -> bytes:
        if failures and scheduler._signal_pipe is not None and descriptor == scheduler._signal_pipe[0]:
            raise OSError(failures.pop(), "a failed call")
        return read(descriptor, size)

    def handle() -> None:
        handled[0] += 1
        if handled[0] == 2:
            scheduler.stop()

    monkeypatch.setattr(os, "read", failing)
    scheduler.on_signal(signals, handle)
    scheduler.after(0.01, lambda: os.kill(os.getpid(), signals))
    scheduler.after(0.3, lambda: os.kill(os.getpid(), signals))
    run_rounds(scheduler)
    assert handled == [2] and not failures


def test_signals_between_any_two_steps_of_a_round_are_handled_in_the_loop(
    scheduler: Scheduler, signals: int
) -> None:
    """Signals sent in a greenlet, a timer and at the end of a round are handled soon, never inside these."""
    calls: list[str] = []
    inside: list[str] = []

    def handle() -> None:
        assert not inside
        calls.append("taken")
        if len(calls) == 3:
            scheduler.stop()

    def send() -> None:
        inside.append("busy")
        os.kill(os.getpid(), signals)
        inside.pop()

    pending = [send]
    scheduler.on_signal(signals, handle)
    scheduler.after(0.02, send)
    scheduler.after_round.append(lambda: pending.pop()() if pending else None)
    scheduler.spawn(lambda: scheduler.sleep(0.04) or send())  # type: ignore[func-returns-value]
    assert run_rounds(scheduler) < 20
    assert calls == ["taken"] * 3


def test_a_signal_sent_twice_in_a_round_is_handled_and_so_is_the_next_one(
    scheduler: Scheduler, signals: int
) -> None:
    handled_at: list[float] = []
    scheduler.on_signal(signals, lambda: handled_at.append(scheduler.clock.now))

    def twice() -> None:
        os.kill(os.getpid(), signals)
        os.kill(os.getpid(), signals)

    scheduler.after(0.01, twice)
    scheduler.after(0.03, lambda: os.kill(os.getpid(), signals))
    scheduler.after(0.05, scheduler.stop)
    run_rounds(scheduler)
    assert len(set(handled_at)) == 2


# -- descriptors


@pytest.mark.parametrize("unregistered_first", [True, False])
def test_a_wait_that_ends_twice_in_a_round_is_reported_once(
    scheduler: Scheduler, unregistered_first: bool
) -> None:
    """The timeout and the unregistering of the descriptor are due in one round, in either order."""
    [(waiting, peer)] = sockets(1)
    results: list[object] = []

    def unregister() -> None:
        scheduler.unregister(waiting.fileno())

    def waiter() -> None:
        if unregistered_first:
            scheduler.after(0.01, unregister)
        results.append(scheduler.wait(waiting.fileno(), READABLE, 0.01))
        scheduler.park()
        results.append("woken again")

    def later() -> None:
        if not unregistered_first:
            scheduler.after(0.01, unregister)

    scheduler.after(0.05, scheduler.stop)
    run_rounds(scheduler, waiter, later)
    assert results == [unregistered_first]
    assert not scheduler._masks and not any(scheduler._waiting.values())
    waiting.close()
    peer.close()


def test_events_of_a_closed_descriptor_do_not_reach_the_next_owner_of_its_number(
    scheduler: Scheduler,
) -> None:
    """Two descriptors are ready in one round; the first greenlet closes the other's and reuses its number."""
    pairs = sockets(2)
    descriptors = [pair[0].fileno() for pair in pairs]
    outcomes: list[str] = []
    reopened: list[socket.socket] = []

    def owner(index: int) -> None:
        scheduler.wait(descriptors[index], READABLE)
        if reopened:  # the other ran first and closed this one's descriptor
            outcomes.append("closed")
            return
        other = pairs[1 - index][0]
        scheduler.unregister(other.fileno())
        other.close()
        reopened.extend(socket.socketpair())
        assert reopened[0].fileno() == descriptors[1 - index]
        scheduler.spawn(next_owner)

    def next_owner() -> None:
        ready = scheduler.wait(reopened[0].fileno(), READABLE, 0.05)
        outcomes.append("a stale event" if ready else "no event")
        scheduler.stop()

    for _, end in pairs:
        end.send(b"x")
    run_rounds(scheduler, lambda: owner(0), lambda: owner(1))
    assert sorted(outcomes) == ["closed", "no event"]
    for end in [*reopened, *(end for pair in pairs for end in pair)]:
        end.close()


def test_an_invalid_descriptor_raises_each_time_and_leaves_no_state(scheduler: Scheduler) -> None:
    """A closed socket has the descriptor -1; guards against a second wait on it that never returned."""
    results: list[str] = []

    def wait_on_closed() -> None:
        with pytest.raises(ValueError, match="negative"):
            scheduler.wait(-1, READABLE)
        results.append(f"{getcurrent() is not None}")

    scheduler.after(0.02, scheduler.stop)
    run_rounds(scheduler, wait_on_closed, wait_on_closed)
    assert results == ["True", "True"] and not scheduler._masks and not scheduler._waiting.get(-1)

"""The event loop: greenlets over `select.poll`, timers and signals.

Each round polls once. The greenlets that the poll wakes run first, then the timers that are due, then the
actions of `after_round`. So data that was received at the same time is handled in the same round.
"""

from __future__ import annotations

import heapq
import logging
import os
import select
import signal
import time
from collections import deque
from collections.abc import Callable
from math import ceil, inf

from greenlet import getcurrent, greenlet

from .clock import Clock as Clock

READABLE, WRITABLE = select.POLLIN, select.POLLOUT
ERROR_EVENTS = select.POLLHUP | select.POLLERR | select.POLLNVAL
POLL_BACKOFF_S = 0.005  # after a failed poll
SIGNAL_PIPE_BACKOFF_S = 0.05  # after a failed read of the signal pipe
MIN_TIMERS_TO_PRUNE = 256

log = logging.getLogger(__name__)


class Timer:
    """An action that is called at a given time."""

    __slots__ = ("action",)

    def __init__(self, action: Callable[[], None]) -> None:
        self.action: Callable[[], None] | None = action

    def cancel(self) -> None:
        """Cancel all further calls of the action."""
        self.action = None


class Scheduler:
    """The event loop.

    `wait`, `wait_for_next_round`, `sleep` and `park` may only be called in greenlets that `spawn` started.
    The others may be called anywhere.

    Attributes:
        after_round: Called at the end of each round.
        on_internal_error: Called for each internal error that was caught.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.after_round: list[Callable[[], None]] = []
        self.on_internal_error: Callable[[], None] = lambda: None
        self._poll = select.poll()
        self._waiting: dict[int, dict[int, greenlet]] = {}  # waiting greenlets by descriptor and event
        self._masks: dict[int, int] = {}  # registered events by descriptor
        self._timers: list[tuple[float, int, Timer]] = []  # a heap of (due time, sequence number, timer)
        self._timer_count = 0
        self._prune_timers_above = MIN_TIMERS_TO_PRUNE
        self._ready: deque[tuple[greenlet, int]] = deque()
        self._next_round: list[greenlet] = []
        self._hub = getcurrent()
        self._stopped = False
        self._on_signal: dict[int, Callable[[], None]] = {}
        self._pending_signals: deque[int] = deque()
        self._signal_pipe: tuple[int, int] | None = None

    # -- greenlets

    def spawn(self, function: Callable[..., None], *values: object) -> None:
        """Run `function` in a greenlet of its own, from this round on."""

        def body(_: int) -> None:
            try:
                function(*values)
            except Exception:
                # An internal error in one greenlet must not end the others. A greenlet that has to continue
                # after one catches it itself.
                self._report_fault("greenlet ended by a fault")

        self._ready.append((greenlet(body, parent=self._hub), 0))

    def wait(self, descriptor: int, event: int, timeout_s: float = inf) -> bool:
        """Wait until the descriptor is ready for the event or has an error. Returns False on a timeout."""
        mask = self._masks.get(descriptor, 0)
        if not mask & event:
            self._poll.register(descriptor, mask | event)  # first, as it raises if the descriptor is invalid
            self._masks[descriptor] = mask | event
        current = getcurrent()
        self._waiting.setdefault(descriptor, {})[event] = current
        timer = None
        if timeout_s < inf:
            timer = self.after(timeout_s, lambda: self._time_out(descriptor, event, current))
        ready = bool(self._hub.switch())
        if timer is not None:
            timer.cancel()
        return ready

    def sleep(self, delay_s: float) -> None:
        """Suspend the calling greenlet."""
        current = getcurrent()
        self.after(delay_s, lambda: self.resume(current))
        self.park()

    def park(self) -> None:
        """Suspend the calling greenlet until `resume` is called with it."""
        self._hub.switch()

    def wait_for_next_round(self) -> None:
        """Suspend the calling greenlet until the next round, which polls first, without waiting."""
        self._next_round.append(getcurrent())
        self.park()

    def resume(self, waiter: greenlet) -> None:
        """Run a suspended greenlet in this round."""
        self._ready.append((waiter, 1))

    def unregister(self, descriptor: int) -> None:
        """Unregister a descriptor that is about to be closed; greenlets that wait for it are resumed."""
        if self._masks.pop(descriptor, 0):
            self._poll.unregister(descriptor)
        for waiter in self._waiting.pop(descriptor, {}).values():
            self.resume(waiter)

    # -- timers and signals

    def after(self, delay_s: float, action: Callable[[], None]) -> Timer:
        """Call `action` in the first round at or after `delay_s` from the clock's last reading."""
        timer = Timer(action)
        self._set_timer(delay_s, timer)
        return timer

    def every(self, interval_s: float, action: Callable[[], None]) -> Timer:
        """Call `action` repeatedly, `interval_s` after its last call, until the timer is cancelled."""

        def call() -> None:
            self._set_timer(interval_s, timer)  # first, so that an internal error does not stop the calls
            action()

        timer = self.after(interval_s, call)
        return timer

    def _set_timer(self, delay_s: float, timer: Timer) -> None:
        self._timer_count += 1
        heapq.heappush(self._timers, (self.clock.now + delay_s, self._timer_count, timer))
        if len(self._timers) > self._prune_timers_above:
            self._prune_timers()

    def _prune_timers(self) -> None:
        """Drop the cancelled timers, of which there are never more than others or `MIN_TIMERS_TO_PRUNE`."""
        self._timers[:] = [entry for entry in self._timers if entry[2].action is not None]
        heapq.heapify(self._timers)
        self._prune_timers_above = max(2 * len(self._timers), MIN_TIMERS_TO_PRUNE)

    def on_signal(self, number: int, action: Callable[[], None]) -> None:
        """Call `action` in a greenlet of its own after the signal was received."""
        if self._signal_pipe is None:
            self._signal_pipe = os.pipe()
            for descriptor in self._signal_pipe:
                os.set_blocking(descriptor, False)
            signal.set_wakeup_fd(self._signal_pipe[1], warn_on_full_buffer=False)
            self.spawn(self._watch_signals, self._signal_pipe[0])
        self._on_signal[number] = action
        signal.signal(number, self._note_signal)

    def _note_signal(self, number: int, _: object) -> None:
        """Record a signal. This is the signal handler, which may be called between any two instructions."""
        if number not in self._pending_signals:
            self._pending_signals.append(number)

    def _watch_signals(self, descriptor: int) -> None:
        """Handle pending signals when the pipe wakes the loop.

        The bytes in the pipe are ignored, since they are lost when it is full.
        """
        while True:
            self.wait(descriptor, READABLE)
            try:
                os.read(descriptor, 65536)
            except BlockingIOError:
                pass
            except OSError:  # must not end the greenlet: no signal would be handled after that
                self.sleep(SIGNAL_PIPE_BACKOFF_S)
            while self._pending_signals:
                # in a greenlet of its own, since an internal error must not end this one
                self.spawn(self._on_signal[self._pending_signals.popleft()])

    # -- the loop

    def run(self) -> None:
        """Run rounds until `stop`; the round in which it is called is the last.

        An internal error in an action ends only that action, not the process with its open requests.
        """
        while not self._stopped:
            events = self._poll_once()
            self.clock.read()
            self._resume_for_this_round()
            for descriptor, event in events:
                self._wake(descriptor, event)
            self._run_ready()
            self._run_timers()
            self._run_ready()
            for action in self.after_round:
                try:
                    action()
                except Exception:
                    self._report_fault("end of a round cut short by a fault")

    def _resume_for_this_round(self) -> None:
        waiters, self._next_round = self._next_round, []
        for waiter in waiters:
            self.resume(waiter)

    def _run_timers(self) -> None:
        now = self.clock.read()
        while self._timers and self._timers[0][0] <= now:
            action = heapq.heappop(self._timers)[2].action
            if action is not None:
                try:
                    action()
                except Exception:
                    self._report_fault("timer's action ended by a fault")

    def _poll_once(self) -> list[tuple[int, int]]:
        """Poll once; returns no event if poll(2) fails, as it may for lack of memory."""
        try:
            return self._poll.poll(self._timeout())
        except OSError:
            self._report_fault("poll failed")
            time.sleep(POLL_BACKOFF_S)
            return []

    def stop(self) -> None:
        """End `run` after this round."""
        self._stopped = True

    def _report_fault(self, event: str) -> None:
        """Log and count the internal error that is being handled."""
        log.exception(event)
        self.on_internal_error()

    def _run_ready(self) -> None:
        while self._ready:
            waiter, ready = self._ready.popleft()
            waiter.switch(ready)

    def _timeout(self) -> int | None:
        """Return the time until the next timer in milliseconds, rounded up so that none fires early."""
        if self._ready or self._next_round:
            return 0
        while self._timers and self._timers[0][2].action is None:
            heapq.heappop(self._timers)
        if not self._timers:
            return None
        return max(ceil((self._timers[0][0] - self.clock.read()) * 1000), 0)

    def _wake(self, descriptor: int, events: int) -> None:
        waiting = self._waiting.get(descriptor, {})
        for event in (READABLE, WRITABLE):
            if events & (event | ERROR_EVENTS) and event in waiting:
                self.resume(waiting.pop(event))
                events &= ~event
        # Polling is level-triggered, so an event that no greenlet waits for would be reported again at once.
        mask = self._masks.get(descriptor, 0) & ~(events & (READABLE | WRITABLE))
        if events & ERROR_EVENTS and not waiting:
            mask = 0
        if mask != self._masks.get(descriptor, 0):
            if mask:
                self._masks[descriptor] = mask
                self._poll.modify(descriptor, mask)
            else:
                self._masks.pop(descriptor, None)
                self._poll.unregister(descriptor)

    def _time_out(self, descriptor: int, event: int, waiter: greenlet) -> None:
        waiting = self._waiting.get(descriptor, {})
        if waiting.get(event) is waiter:
            del waiting[event]
            self._ready.append((waiter, 0))

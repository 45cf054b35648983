"""Greenlets over `select.poll`: who waits for which descriptor, timers, signals, and the rounds of it all.

One round is one poll. All greenlets that it wakes run first, then the timers that are due, then what was
asked for at the end of each round. So whatever came in at once is seen at once.
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
TROUBLE = select.POLLHUP | select.POLLERR | select.POLLNVAL
POLL_AGAIN = 0.005  # seconds to rest after a poll that failed
WAKE_UP_AGAIN = 0.05  # and after a read of the signals' pipe that failed

log = logging.getLogger(__name__)


class Timer:
    """Something to do at a time; `cancel` takes it back."""

    __slots__ = ("action",)

    def __init__(self, action: Callable[[], None]) -> None:
        self.action: Callable[[], None] | None = action

    def cancel(self) -> None:
        self.action = None


class Scheduler:
    """The loop. Greenlets started by `spawn` may call `wait` and `sleep`; the rest may be called anywhere."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.after_round: list[Callable[[], None]] = []
        self._poll = select.poll()
        self._waiting: dict[int, dict[int, greenlet]] = {}
        self._masks: dict[int, int] = {}
        self._timers: list[tuple[float, int, Timer]] = []
        self._order = 0
        self._ready: deque[tuple[greenlet, int]] = deque()
        self._hub = getcurrent()
        self._stopped = False
        self.on_fault: Callable[[], None] = lambda: None  # told of each fault of ours that was survived
        self._on_signal: dict[int, Callable[[], None]] = {}
        self._came: deque[int] = deque()  # signals not taken yet
        self._wake_up: tuple[int, int] | None = None

    # -- greenlets

    def spawn(self, function: Callable[..., None], *values: object) -> None:
        """Run `function` in a greenlet of its own, from this round on."""

        def body(_: int) -> None:
            try:
                function(*values)
            except Exception:
                # A fault in one greenlet must not take the others along; who must go on catches its own.
                self._survived("greenlet ended by a fault")

        self._ready.append((greenlet(body, parent=self._hub), 0))

    def wait(self, descriptor: int, event: int, most: float = inf) -> bool:
        """Wait until the descriptor is readable or writable (or broken), `most` seconds; whether it is."""
        mask = self._masks.get(descriptor, 0)
        if not mask & event:
            self._poll.register(descriptor, mask | event)  # first: what is no descriptor leaves no trace
            self._masks[descriptor] = mask | event
        me = getcurrent()
        self._waiting.setdefault(descriptor, {})[event] = me
        timer = self.after(most, lambda: self._time_out(descriptor, event, me)) if most < inf else None
        happened = bool(self._hub.switch())
        if timer is not None:
            timer.cancel()
        return happened

    def sleep(self, span: float) -> None:
        me = getcurrent()
        self.after(span, lambda: self.resume(me))
        self.park()

    def park(self) -> None:
        """Stand still until somebody calls `resume` with this greenlet."""
        self._hub.switch()

    def resume(self, waiter: greenlet) -> None:
        self._ready.append((waiter, 1))

    def forget(self, descriptor: int) -> None:
        """The descriptor is about to be closed; who waits for it is told that it is ready, and will see."""
        if self._masks.pop(descriptor, 0):
            self._poll.unregister(descriptor)
        for waiter in self._waiting.pop(descriptor, {}).values():
            self.resume(waiter)

    # -- timers and signals

    def after(self, span: float, action: Callable[[], None]) -> Timer:
        """Call `action` in the first round at or after `span` seconds from the clock's last reading."""
        timer = Timer(action)
        self._set(span, timer)
        return timer

    def every(self, span: float, action: Callable[[], None]) -> Timer:
        """Call `action` again and again, `span` seconds after its last turn; `cancel` ends that.

        The next turn is set before the action: guards against a fault that would cost all turns to come.
        """

        def turn() -> None:
            self._set(span, timer)
            action()

        timer = self.after(span, turn)
        return timer

    def _set(self, span: float, timer: Timer) -> None:
        self._order += 1
        heapq.heappush(self._timers, (self.clock.now + span, self._order, timer))

    def on_signal(self, number: int, action: Callable[[], None]) -> None:
        """Call `action` in the loop, never in the middle of anything, after the signal came."""
        if self._wake_up is None:
            self._wake_up = os.pipe()
            for end in self._wake_up:
                os.set_blocking(end, False)
            signal.set_wakeup_fd(self._wake_up[1], warn_on_full_buffer=False)
            self.spawn(self._watch_signals, self._wake_up[0])
        self._on_signal[number] = action
        signal.signal(number, self._note_signal)

    def _note_signal(self, number: int, _: object) -> None:
        """Between any two steps of anything; the pipe's byte has made the poll return, or will."""
        if number not in self._came:
            self._came.append(number)

    def _watch_signals(self, descriptor: int) -> None:
        """The pipe only wakes: a byte that finds it full is lost, and its signal must not be."""
        while True:
            self.wait(descriptor, READABLE)
            try:
                os.read(descriptor, 65536)
            except BlockingIOError:
                pass
            except OSError:  # a watch that ended would leave this process deaf to signals
                self.sleep(WAKE_UP_AGAIN)
            while self._came:
                self.spawn(self._on_signal[self._came.popleft()])  # a fault there must not end the watch

    # -- the loop

    def run(self) -> None:
        """Rounds until `stop`; the round in which it is called is the last.

        A fault of ours in an action costs that action: it must not end the process with everything open.
        """
        while not self._stopped:
            events = self._poll_once()
            self.clock.read()
            for descriptor, event in events:
                self._wake(descriptor, event)
            self._run_ready()
            now = self.clock.read()
            while self._timers and self._timers[0][0] <= now:
                action = heapq.heappop(self._timers)[2].action
                if action is not None:
                    try:
                        action()
                    except Exception:
                        self._survived("timer's action ended by a fault")
            self._run_ready()
            for action in self.after_round:
                try:
                    action()
                except Exception:
                    self._survived("end of a round cut short by a fault")

    def _poll_once(self) -> list[tuple[int, int]]:
        """What has happened; nothing where poll(2) fails, as it may for want of memory. Timers ring on."""
        try:
            return self._poll.poll(self._timeout())
        except OSError:
            self._survived("poll failed")
            time.sleep(POLL_AGAIN)
            return []

    def stop(self) -> None:
        self._stopped = True

    def _survived(self, what: str) -> None:
        """Within `except`: loudly, and counted."""
        log.exception(what)
        self.on_fault()

    def _run_ready(self) -> None:
        while self._ready:
            waiter, happened = self._ready.popleft()
            waiter.switch(happened)

    def _timeout(self) -> int | None:
        """Whole milliseconds, rounded up: poll can't do better, and a timer must not ring early."""
        if self._ready:
            return 0
        while self._timers and self._timers[0][2].action is None:
            heapq.heappop(self._timers)
        if not self._timers:
            return None
        return max(ceil((self._timers[0][0] - self.clock.read()) * 1000), 0)

    def _wake(self, descriptor: int, events: int) -> None:
        waiting = self._waiting.get(descriptor, {})
        for event in (READABLE, WRITABLE):
            if events & (event | TROUBLE) and event in waiting:
                self.resume(waiting.pop(event))
                events &= ~event
        # What nobody waits for is asked for no longer: level-triggered, it would come again at once.
        mask = self._masks.get(descriptor, 0) & ~(events & (READABLE | WRITABLE))
        if events & TROUBLE and not waiting:
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

"""A simulated fleet: decision cores on a simulated network and clock, for scenarios and large fleets.

A core is any object with `step(now, event) -> effects` and `wake_at`. Effects with `to` and `message` are
delivered to the member of that name; all others are passed to `on_effect`. Links drop, delay, duplicate and
cut messages in one direction; members pause, crash and restart. A run is determined by its seed.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Protocol

MAX_STEPS = 5_000_000  # per fleet: ends a scenario in which cores trigger each other forever


class Core(Protocol):
    """The decision core of one member."""

    @property
    def wake_at(self) -> float: ...
    def step(self, now: float, event: Any) -> list[Any]: ...


MakeCore = Callable[[float], Core]


@dataclass
class Link:
    """Faults of one direction between two members; delays in seconds."""

    cut: bool = False
    drop: float = 0.0
    double: float = 0.0
    least: float = 0.001
    most: float = 0.003


@dataclass
class SimulatedFleet:
    """Members by name, the links between them and the simulated clock.

    `message_event` makes the event of a received message from the sender's name and the message;
    `timer_event` is the event of a timer.
    """

    message_event: Callable[[str, Any], Any]
    timer_event: Any
    seed: int = 1
    on_effect: Callable[[float, str, Any], None] | None = None
    now: float = 0.0
    cores: dict[str, Core] = field(default_factory=dict)
    links: dict[tuple[str, str], Link] = field(default_factory=dict)
    paused: dict[str, float] = field(default_factory=dict)  # name -> time at which it resumes
    sent: int = 0  # messages scheduled for delivery
    lost: int = 0  # messages dropped, cut off or without a receiver

    def __post_init__(self) -> None:
        self.chance = random.Random(self.seed)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._wakes: dict[str, float] = {}
        # By name; messages and timers of an earlier incarnation are discarded.
        self._incarnations: dict[str, int] = {}
        self._sequence = self._steps = 0

    # -- members

    def add(self, name: str, make: MakeCore) -> Core:
        """Start a member, or restart it with a new core."""
        self._incarnations[name] = self._incarnations.get(name, 0) + 1
        self._wakes.pop(name, None)
        self.paused.pop(name, None)
        core = self.cores[name] = make(self.now)
        self._arm(name)
        return core

    def crash(self, name: str) -> None:
        """Remove a member with its state; messages that it has sent are still delivered."""
        self._incarnations[name] = self._incarnations.get(name, 0) + 1
        self.cores.pop(name, None)
        self._wakes.pop(name, None)

    def pause(self, name: str, span: float) -> None:
        """Stop a member for `span` seconds; its messages and timers are delivered when it resumes."""
        self.paused[name] = self.now + span

    # -- links

    def link(self, sender: str, to: str) -> Link:
        return self.links.setdefault((sender, to), Link())

    def cut(self, some: Iterable[str], others: Iterable[str], both: bool = True) -> None:
        """Cut the links from `some` to `others`, and back if `both`."""
        self._set_cut(some, others, True, both)

    def heal(self, some: Iterable[str] = (), others: Iterable[str] = ()) -> None:
        """Restore the links between `some` and `others`; all links if `some` is empty."""
        if not some:
            for link in self.links.values():
                link.cut = False
        self._set_cut(some, others, False, True)

    def _set_cut(self, some: Iterable[str], others: Iterable[str], cut: bool, both: bool) -> None:
        others = list(others)
        for a in some:
            for b in others:
                self.link(a, b).cut = cut
                if both:
                    self.link(b, a).cut = cut

    # -- time

    def tell(self, name: str, event: Any) -> None:
        """Deliver a local event to a member now; discarded if it has crashed, delayed while it is paused."""
        self._deliver(name, self._incarnations.get(name, 0), lambda: event)

    def later(self, after: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (self.now + after, self._sequence, action))

    def run(self, span: float) -> None:
        """Advance the clock by `span` seconds."""
        end = self.now + span
        while self._queue and self._queue[0][0] <= end:
            self._next()
        self.now = end

    def run_until(self, reached: Callable[[], bool], timeout_s: float) -> bool:
        """Run until `reached()`, for at most `timeout_s` seconds, and return whether it was reached."""
        end = self.now + timeout_s
        while not reached():
            if not self._queue or self._queue[0][0] > end:
                self.now = end
                return reached()
            self._next()
        return True

    def _next(self) -> None:
        self._steps += 1
        if self._steps > MAX_STEPS:
            raise RuntimeError("the fleet did not settle within the limit of steps")
        when, _, action = heapq.heappop(self._queue)
        self.now = max(self.now, when)
        action()

    # -- delivery

    def _deliver(self, name: str, incarnation: int, event: Callable[[], Any]) -> None:
        if self._incarnations.get(name) != incarnation or name not in self.cores:
            return
        if self.paused.get(name, 0.0) > self.now:
            return self.later(self.paused[name] - self.now, lambda: self._deliver(name, incarnation, event))
        for effect in self.cores[name].step(self.now, event()):
            to = getattr(effect, "to", None)
            if to is not None and hasattr(effect, "message"):
                self._carry(name, to, effect.message)
            elif self.on_effect is not None:
                self.on_effect(self.now, name, effect)
        self._arm(name)

    def _carry(self, sender: str, to: str, message: Any) -> None:
        link = self.link(sender, to)
        for _ in range(1 + (self.chance.random() < link.double)):
            if link.cut or self.chance.random() < link.drop or to not in self.cores:
                self.lost += 1
                continue
            incarnation = self._incarnations[to]
            self.sent += 1

            def arrive(incarnation: int = incarnation) -> None:
                if not self.link(sender, to).cut:  # a cut also drops messages in transit
                    self._deliver(to, incarnation, lambda: self.message_event(sender, message))

            self.later(self.chance.uniform(link.least, link.most), arrive)

    def _arm(self, name: str) -> None:
        core = self.cores.get(name)
        if core is None:
            return
        wake, incarnation = core.wake_at, self._incarnations[name]
        if wake == float("inf") or self._wakes.get(name, float("inf")) <= wake:
            return
        self._wakes[name] = wake

        def fire() -> None:
            if self._incarnations.get(name) == incarnation and self._wakes.get(name) == wake:
                del self._wakes[name]
                self._deliver(name, incarnation, lambda: self.timer_event)

        self.later(max(wake - self.now, 0.0), fire)

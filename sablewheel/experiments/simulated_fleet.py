"""A fleet in memory: pure cores on a made network with a made clock, for stories and sizes past one machine.

A core is anything with `step(now, event) -> effects` and `wake_at`. Effects with `to` and `message` are
carried to the member of that name; all others go to `heard`. Links drop, delay, double and cut one way;
members pause, crash and start anew. All of it follows from the seed: one story, one fleet.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Protocol

STEPS_MOST = 5_000_000  # of one fleet: guards a story against cores that wake each other for ever


class Core(Protocol):
    """One member's decisions."""

    @property
    def wake_at(self) -> float: ...
    def step(self, now: float, event: Any) -> list[Any]: ...


Made = Callable[[float], Core]


@dataclass
class Link:
    """What happens one way between two members; spans in seconds."""

    cut: bool = False
    drop: float = 0.0
    double: float = 0.0
    least: float = 0.001
    most: float = 0.003


@dataclass
class SimulatedFleet:
    """`got` makes the event of a message from its sender's name; `tick` is the event of a timer."""

    got: Callable[[str, Any], Any]
    tick: Any
    seed: int = 1
    heard: Callable[[float, str, Any], None] | None = None
    now: float = 0.0
    cores: dict[str, Core] = field(default_factory=dict)
    links: dict[tuple[str, str], Link] = field(default_factory=dict)
    paused: dict[str, float] = field(default_factory=dict)  # name -> until
    carried: int = 0
    lost: int = 0

    def __post_init__(self) -> None:
        self.chance = random.Random(self.seed)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._wakes: dict[str, float] = {}
        self._lives: dict[str, int] = {}  # a message or timer of an earlier life reaches nobody
        self._turn = self._steps = 0

    # -- members

    def add(self, name: str, make: Made) -> Core:
        """A member starts, or starts anew with nothing of its earlier life."""
        self._lives[name] = self._lives.get(name, 0) + 1
        self._wakes.pop(name, None)
        self.paused.pop(name, None)
        core = self.cores[name] = make(self.now)
        self._arm(name)
        return core

    def crash(self, name: str) -> None:
        """It is gone, with all that it knew; what it sent is on its way."""
        self._lives[name] = self._lives.get(name, 0) + 1
        self.cores.pop(name, None)
        self._wakes.pop(name, None)

    def pause(self, name: str, span: float) -> None:
        """It stands still; what comes meanwhile reaches it when it wakes, its timers ring late."""
        self.paused[name] = self.now + span

    # -- links

    def link(self, sender: str, to: str) -> Link:
        return self.links.setdefault((sender, to), Link())

    def cut(self, some: Iterable[str], others: Iterable[str], both: bool = True) -> None:
        """No message passes from `some` to `others`, nor back if `both`."""
        self._set_cut(some, others, True, both)

    def heal(self, some: Iterable[str] = (), others: Iterable[str] = ()) -> None:
        """Links between these are whole again; all of them if none is named."""
        if not some:
            for one in self.links.values():
                one.cut = False
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
        """An event of the member's own world, now; lost on one that is gone, late on one that is paused."""
        self._deliver(name, self._lives.get(name, 0), lambda: event)

    def later(self, after: float, do: Callable[[], None]) -> None:
        self._turn += 1
        heapq.heappush(self._queue, (self.now + after, self._turn, do))

    def run(self, span: float) -> None:
        """Let so many seconds pass."""
        end = self.now + span
        while self._queue and self._queue[0][0] <= end:
            self._next()
        self.now = end

    def run_until(self, reached: Callable[[], bool], most: float) -> bool:
        """Until it is so, for `most` seconds at most; whether it came to that."""
        end = self.now + most
        while not reached():
            if not self._queue or self._queue[0][0] > end:
                self.now = end
                return reached()
            self._next()
        return True

    def _next(self) -> None:
        self._steps += 1
        if self._steps > STEPS_MOST:
            raise RuntimeError("the fleet does not come to rest")
        when, _, do = heapq.heappop(self._queue)
        self.now = max(self.now, when)
        do()

    # -- how events reach cores

    def _deliver(self, name: str, life: int, event: Callable[[], Any]) -> None:
        if self._lives.get(name) != life or name not in self.cores:
            return
        if self.paused.get(name, 0.0) > self.now:
            return self.later(self.paused[name] - self.now, lambda: self._deliver(name, life, event))
        for effect in self.cores[name].step(self.now, event()):
            to = getattr(effect, "to", None)
            if to is not None and hasattr(effect, "message"):
                self._carry(name, to, effect.message)
            elif self.heard is not None:
                self.heard(self.now, name, effect)
        self._arm(name)

    def _carry(self, sender: str, to: str, message: Any) -> None:
        link = self.link(sender, to)
        for _ in range(1 + (self.chance.random() < link.double)):
            if link.cut or self.chance.random() < link.drop or to not in self.cores:
                self.lost += 1
                continue
            life = self._lives[to]
            self.carried += 1

            def arrive(life: int = life) -> None:
                if not self.link(sender, to).cut:  # a cut takes what is under way too
                    self._deliver(to, life, lambda: self.got(sender, message))

            self.later(self.chance.uniform(link.least, link.most), arrive)

    def _arm(self, name: str) -> None:
        core = self.cores.get(name)
        if core is None:
            return
        wake, life = core.wake_at, self._lives[name]
        if wake == float("inf") or self._wakes.get(name, float("inf")) <= wake:
            return
        self._wakes[name] = wake

        def ring() -> None:
            if self._lives.get(name) == life and self._wakes.get(name) == wake:
                del self._wakes[name]
                self._deliver(name, life, lambda: self.tick)

        self.later(max(wake - self.now, 0.0), ring)

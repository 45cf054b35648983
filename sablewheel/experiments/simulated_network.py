"""A simulated network of membership nodes, for tests and for fleets too large for one machine.

Members crash and pause, messages are lost, links are cut in one direction; a run is determined by its seed.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field, replace

from ..membership.events import LogLine, MessageReceived, Send, TimerFired
from ..membership.node import Node
from ..membership.plan import Settings
from ..membership.view import Member, Metadata, Proposal, View


@dataclass
class Net:
    """Nodes with a simulated clock and the faults of the links between them; deterministic for a seed."""

    settings: Settings
    seed: int = 1
    now: float = 0.0
    nodes: dict[str, Node] = field(default_factory=dict)
    names: dict[str, str] = field(default_factory=dict)  # address -> name
    loss: float = 0.0
    cut: set[tuple[str, str]] = field(default_factory=set)  # (from, to) names whose packets are lost
    stopped: dict[str, float] = field(default_factory=dict)  # name -> time at which it resumes
    dead: set[str] = field(default_factory=set)
    queue: list[tuple[float, int, str, object]] = field(default_factory=list)
    notes: list[tuple[float, str, LogLine]] = field(default_factory=list)
    seeds: dict[str, tuple[str, ...]] = field(default_factory=dict)
    sequence: int = 0
    steps: int = 0
    pending: dict[str, float] = field(default_factory=dict)  # name -> time of its scheduled timer

    def __post_init__(self) -> None:
        self.chance = random.Random(self.seed)

    def add(self, name: str, zone: str = "z1", metadata: Metadata = ()) -> Node:
        address = f"127.0.0.1:{7000 + len(self.names)}"
        self.names[address] = name
        seeds = ("127.0.0.1:7000", "127.0.0.1:7001")  # the first two members; the first founds the view
        me = Member(name, address, zone, "r1", int(self.now * 1000) + 7200_000, metadata)
        node = Node(me, seeds, self.settings, random.Random(f"{self.seed}-{name}"), self.now)
        self.seeds[name] = seeds
        self.nodes[name] = node
        self.dead.discard(name)
        self._wake(name)
        return node

    def restart(self, name: str, clock: float = 0.0) -> None:
        """Replace a node by a new process of the same name and address, whose clock is `clock` s ahead."""
        old = self.nodes[name]
        incarnation = int((self.now + clock) * 1000) + 7200_000
        me = replace(old.local_member, incarnation=incarnation)
        chance = random.Random(f"{self.seed}-{name}-{self.now}")
        self.nodes[name] = Node(me, self.seeds[name], self.settings, chance, self.now)
        self.dead.discard(name)
        self.pending.pop(name, None)
        self._wake(name)

    def _wake(self, name: str) -> None:
        at = self.nodes[name].next_wakeup
        if at < self.pending.get(name, float("inf")):
            self.pending[name] = at
            self._push(at, name, TimerFired())

    def _push(self, at: float, name: str, event: object) -> None:
        self.sequence += 1
        heapq.heappush(self.queue, (max(at, self.now), self.sequence, name, event))

    def count_steps(self, span: float) -> int:
        """Run for `span` seconds and return the number of events that members handled."""
        before = self.steps
        self.run(self.now + span)
        return self.steps - before

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            at, _, name, event = heapq.heappop(self.queue)
            self.now = at
            if name in self.dead:
                continue
            if name in self.stopped and at < self.stopped[name]:
                if isinstance(event, TimerFired):
                    self.pending[name] = self.stopped[name]
                    at = self.stopped[name]
                self._push(at if isinstance(event, TimerFired) else self.stopped[name], name, event)
                continue  # a stopped process handles the event once it resumes
            if isinstance(event, TimerFired):
                if self.pending.get(name) != at:
                    continue  # replaced by another timer
                del self.pending[name]
            node = self.nodes[name]
            self.steps += 1
            for effect in node.step(at, event):  # type: ignore[arg-type]
                if isinstance(effect, Send):
                    self._carry(name, effect)
                elif isinstance(effect, LogLine):
                    self.notes.append((at, name, effect))
            self._wake(name)
        self.now = until

    def _carry(self, sender: str, send: Send) -> None:
        to = self.names.get(send.address)
        if to is None or (sender, to) in self.cut or self.chance.random() < self.loss:
            return
        self._push(self.now + self.chance.uniform(0.001, 0.01), to, MessageReceived(send.message, "x"))

    def kill(self, name: str) -> None:
        self.dead.add(name)

    def views(self, among: list[str] | None = None) -> dict[str, tuple[str, ...]]:
        among = among or [name for name in self.nodes if name not in self.dead]
        return {name: self.nodes[name].members for name in among}

    def removals(self, of: str) -> int:
        return sum(
            1 for _, _, note in self.notes if note.message == "view" and f"remove:{of}@" in str(note.fields)
        )

    # -- large fleets

    def add_fleet(self, n: int) -> None:
        """Add `n` members that start with the same view; equal views are stored once for all nodes."""
        members = [Member(f"m{index:05}", f"a{index:05}", f"z{index % 6}", "r1", 1) for index in range(n)]
        view, views_by_change = View(1, tuple(sorted(members))), dict[tuple[int, Proposal], View]()

        def apply_changes(view: View, cut: Proposal) -> View:
            if (view.epoch, cut) not in views_by_change:
                views_by_change[(view.epoch, cut)] = view.apply(cut)
            return views_by_change[(view.epoch, cut)]

        for member in members:
            self.names[member.address] = member.name
            chance = random.Random(f"{self.seed}-{member.name}")
            node = Node(member, ("a00000",), self.settings, chance, self.now)
            node.apply_changes = apply_changes
            probe_at = self.now + chance.uniform(0, self.settings.period_s)
            node.start_with_view(view, probe_at, self.now + chance.uniform(0, self.settings.sync_interval_s))
            self.nodes[member.name] = node
            self._wake(member.name)

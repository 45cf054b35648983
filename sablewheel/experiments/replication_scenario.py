"""A fleet of replicas in memory with what stands round each: requests that claim, run, finish, wait and join.

The keeper's part in small, for stories and sizes: each run is counted at the scenario, whoever made it, and
each answer is compared with what the run gave.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from ..replication.entries import AnswerStatus, Entry, Outcome, OutcomeStatus, State, merge
from ..replication.messages import (
    Accept,
    AcceptorRequest,
    Answer,
    Claim,
    CompleteClaim,
    Log,
    MessageReceived,
    OutcomeStored,
    Push,
    Read,
    ReleaseClaim,
    Tick,
    ViewInstalled,
    Write,
)
from ..replication.placement import Site
from ..replication.plan import Settings
from ..replication.replica import Replica
from ..replication.store import EntryStore
from .simulated_fleet import SimulatedFleet

POLL = 0.1
FAULTY_VARIANTS = ("one-copy", "no-fence", "clock-wins", "early-vote", "drop-on-view")


class OneCopy(Replica):
    """Broken on purpose: one holder's word is enough."""

    def quorum_size(self, replica_count: int) -> int:
        return min(replica_count, 1)


class NoFence(Replica):
    """Broken on purpose: answers, and counts answers, whatever the epoch."""

    def is_foreign_epoch(self, epoch: int) -> bool:
        return False

    def is_member(self, name: str) -> bool:
        return True


class EarlyVote(Replica):
    """Broken on purpose: counts for a majority before it is caught up."""

    def is_ready(self, slot: int) -> bool:
        return slot in self.ranges.assigned


class ClockWins(Replica):
    """Broken on purpose: of two copies the one that came last stays, as with the later time stamp."""

    def make_store(self) -> EntryStore:
        return LastStays(self.settings.max_entries, self.settings.max_bytes)


class LastStays(EntryStore):
    def merged(self, stored: Entry, received: Entry) -> Entry:
        return received


class DropOnView(Replica):
    """Broken on purpose: lets go of a range as soon as it is another's, and takes it for known."""

    def _on_view(self, view: ViewInstalled) -> None:
        super()._on_view(view)
        for slot in list(self.ranges.retained):
            del self.ranges.retained[slot]
            self.store.drop(slot)
        for slot in list(self.ranges.unready):
            self.ranges.assigned[slot].ready_epoch = self.epoch
        self.ranges.unready.clear()


class AsyncBackup(EarlyVote):
    """The baseline: the first holder decides alone and copies what it decided to the others, later."""

    def replicas_of(self, slot: int) -> tuple[str, ...]:
        return super().replicas_of(slot)[:1]

    def _on_acceptor_request(self, sender: str, request: AcceptorRequest) -> None:
        super()._on_acceptor_request(sender, request)
        if isinstance(request, Accept | Push) and request.epoch == self.epoch:
            names = super().replicas_of(request.slot)
            if names[0] == self.name:
                copy = Push(self.epoch, 0, request.key, request.slot, request.entry, request.remaining_s)
                for name in names[1:]:
                    self.send(name, copy)


KINDS: dict[str, type[Replica]] = {
    "": Replica,
    "one-copy": OneCopy,
    "no-fence": NoFence,
    "clock-wins": ClockWins,
    "early-vote": EarlyVote,
    "drop-on-view": DropOnView,
    "async-backup": AsyncBackup,
}


@dataclass
class Try:
    """One request with an idempotency key, at one server, and what became of it."""

    server: str
    idempotency_key: str
    came: float
    due: float
    takes: float
    stays: bool = True  # its run gets to its end there
    outcome: str = ""  # completed, rejected, failed
    result: bytes = b""


@dataclass
class Scenario:
    """`zones`: of each member. A view is told to all of it, or to those named."""

    zones: dict[str, str]
    seed: int = 1
    settings: Settings = field(
        default_factory=lambda: Settings(
            max_lifetime_s=8.0, slots=8, waits_after_cold_start=False, repair_interval_s=0.5
        )
    )
    kind: type[Replica] = Replica
    group: Callable[[str], bytes] = lambda idempotency_key: idempotency_key.encode()

    def __post_init__(self) -> None:
        self.fleet = SimulatedFleet(MessageReceived, Tick(), self.seed, self._heard)
        self.births: Counter[str] = Counter()
        self.epoch = 0
        self.members: tuple[str, ...] = ()
        self.tries: dict[int, Try] = {}
        self.runs: Counter[str] = Counter()
        self.ran_by: dict[str, list[str]] = {}
        self.results: dict[str, bytes] = {}
        self.stored: set[tuple[str, str]] = set()
        self.notes: list[tuple[float, str, Log]] = []
        self.answers: dict[int, Answer] = {}
        self._refs = 0
        self._born_at: dict[str, int] = {}

    # -- members and views

    def start(self, *names: str) -> None:
        """A member's process starts, with nothing of an earlier one."""
        for name in names:
            self.births[name] += 10
            birth, chance = self.births[name], random.Random(f"{self.seed} {name} {self.births[name]}")
            self.fleet.add(name, partial(self._made, name, birth, chance))

    def _made(self, name: str, birth: int, chance: random.Random, now: float) -> Replica:
        return self.kind(name, birth, self.settings, chance, now)

    def view(self, names: Iterable[str], to: Iterable[str] | None = None) -> ViewInstalled:
        """The next view, with these members; told to those of them that are `to`, if named."""
        self.epoch += 1
        self.members = tuple(sorted(names))
        sites = tuple(Site(name, self.births[name], self.zones[name]) for name in self.members)
        self.viewed = ViewInstalled(self.epoch, sites)
        self.tell_view(self.members if to is None else to)
        return self.viewed

    def tell_view(self, names: Iterable[str]) -> None:
        for name in names:
            if name in self.fleet.cores:
                self.fleet.tell(name, self.viewed)

    def returns(self, *names: str) -> None:
        """Of one that was out: it comes back in as itself, with a higher incarnation, not a new process."""
        for name in names:
            self.births[name] += 1

    def found(self, *names: str, settle: float = 2.0) -> None:
        """All of these start and form the fleet."""
        self.start(*names)
        self.view(names)
        self.fleet.run(settle)

    def core(self, name: str) -> Replica:
        core = self.fleet.cores[name]
        assert isinstance(core, Replica)
        return core

    def holders(self, idempotency_key: str) -> tuple[str, ...]:
        """Under the last view."""
        some = next(one for one in self.members if one in self.fleet.cores)
        core = self.core(some)
        view = core.ranges.views.get(self.epoch) or core.ranges.views[core.ranges.epoch]
        return view.replica_names(core.slot_of(self.group(idempotency_key)))

    def unready(self) -> int:
        """Ranges that do not count yet, over all members that are there."""
        cores = [self.core(name) for name in self.members if name in self.fleet.cores]
        return sum(len(core.ranges.unready) for core in cores if core.epoch)

    def settle(self, most: float = 10.0) -> bool:
        return self.fleet.run_until(lambda: self.unready() == 0, most)

    def held(self, name: str, idempotency_key: str) -> Entry | None:
        core = self.core(name)
        held = core.store.get(core.slot_of(self.group(idempotency_key)), ("labels", idempotency_key.encode()))
        return held.entry if held is not None else None

    # -- requests

    def come(
        self,
        server: str,
        idempotency_key: str,
        due: float = 3.0,
        takes: float = 0.05,
        stays: bool = True,
        under: int = 0,
    ) -> Try:
        """A request of this idempotency key comes to that server."""
        now = self.fleet.now
        one = Try(server, idempotency_key, now, now + due, takes, stays)
        self._ask(one, under)
        return one

    def _ask(self, one: Try, under: int = 0) -> None:
        self._refs += 1
        self.tries[self._refs] = one
        life = max(self.settings.max_lifetime_s - (self.fleet.now - one.came), 0.1)
        idempotency_key = one.idempotency_key.encode()
        self.fleet.tell(
            one.server,
            Claim(self._refs, idempotency_key, self.group(one.idempotency_key), life, idempotency_key, under),
        )
        self._watch(one)

    def _watch(self, one: Try) -> None:
        def give_up() -> None:
            if not one.outcome:
                one.outcome = "terminated"

        self.fleet.later(max(one.due - self.fleet.now, 0.0), give_up)

    def write(self, server: str, collection: str, key: str, expect: int, value: bytes) -> int:
        self._refs += 1
        life = self.settings.max_lifetime_s
        self.fleet.tell(server, Write(self._refs, collection, key.encode(), expect, value, life))
        return self._refs

    def read(self, server: str, collection: str, key: str) -> int:
        self._refs += 1
        self.fleet.tell(server, Read(self._refs, collection, key.encode(), b""))
        return self._refs

    def answer(self, ref: int, most: float = 2.0) -> Answer:
        self.fleet.run_until(lambda: ref in self.answers, most)
        return self.answers[ref]

    def _heard(self, now: float, name: str, effect: Any) -> None:
        match effect:
            case Answer(ref, status, entry):
                one = self.tries.pop(ref, None)
                if one is None:
                    self.answers[ref] = effect
                else:
                    self._answered(one, status, entry)
            case OutcomeStored(key):
                self.stored.add((name, key.decode()))
            case Log():
                self.notes.append((now, name, effect))

    def _answered(self, one: Try, status: AnswerStatus, entry: Entry) -> None:
        fleet = self.fleet
        if status is AnswerStatus.WON:
            if one.outcome:  # nobody waits for it any more: it is not begun
                fleet.later(0.0, lambda: fleet.tell(one.server, ReleaseClaim(one.idempotency_key.encode())))
                return
            self._run(one)
        elif one.outcome:
            return
        elif status is AnswerStatus.KNOWN:
            outcome = entry.outcomes[0]
            one.outcome = "completed" if outcome.status is OutcomeStatus.SUCCEEDED else "terminated"
            one.result = outcome.result
        elif status in (AnswerStatus.RUNNING, AnswerStatus.READ, AnswerStatus.BUSY):
            free = status is AnswerStatus.READ and entry.state in (State.UNCLAIMED, State.RELEASED)
            fleet.later(POLL, lambda: self._again(one, free))
        elif status is AnswerStatus.UNREACHABLE and one in self._read_only:
            fleet.later(POLL, lambda: self._again(one, False))  # it may have run: it is not rejected
        else:
            one.outcome = "denied"

    def _again(self, one: Try, free: bool) -> None:
        if one.outcome or one.server not in self.fleet.cores:
            return
        if free:
            return self._ask(one)
        self._read_only.append(one)
        self._refs += 1
        self.tries[self._refs] = one
        idempotency_key = one.idempotency_key
        self.fleet.tell(
            one.server, Read(self._refs, "labels", idempotency_key.encode(), self.group(idempotency_key))
        )

    @property
    def _read_only(self) -> list[Try]:
        """Those that learned that another may run their idempotency key."""
        self.__dict__.setdefault("_waiting", [])
        waiting: list[Try] = self.__dict__["_waiting"]
        return waiting

    def _run(self, one: Try) -> None:
        self.runs[one.idempotency_key] += 1
        self.ran_by.setdefault(one.idempotency_key, []).append(one.server)
        result = f"{one.idempotency_key} by {one.server}, run {self.runs[one.idempotency_key]}".encode()
        self.results.setdefault(one.idempotency_key, result)
        life = self.births[one.server] // 10

        def end() -> None:
            if one.server not in self.fleet.cores or self.births[one.server] // 10 != life or not one.stays:
                return
            if not one.outcome:
                one.outcome, one.result = "completed", result
            self.fleet.tell(
                one.server, CompleteClaim(one.idempotency_key.encode(), OutcomeStatus.SUCCEEDED, result)
            )

        self.fleet.later(one.takes, end)

    # -- what must hold

    def wrong(self) -> str:
        """What broke, if anything: an idempotency key that ran twice, or an answer with other bytes."""
        for idempotency_key, many in sorted(self.runs.items()):
            if many > 1:
                return f"{idempotency_key} ran {many} times: at {', '.join(self.ran_by[idempotency_key])}"
        for core in self.fleet.cores.values():
            if isinstance(core, Replica) and core.counts["two_outcomes"]:
                return f"two outcomes of one label, seen by {core.name}"
        return ""


def drawn(seed: int, kind: type[Replica] = Replica, turns: int = 30) -> Scenario:
    """A fleet of five under faults that all follow from the seed: links that lose, double and delay, members
    that pause past their removal or crash and come back empty, and tries of one idempotency key at many of
    them.
    """
    names, chance = "abcde", random.Random(seed)
    scenario = Scenario({name: name for name in names}, seed, kind=kind)
    scenario.found(*names)
    for one in names:
        for other in names:
            link = scenario.fleet.link(one, other)
            link.drop, link.double, link.most = chance.choice([0, 0.2]), 0.1, chance.choice([0.003, 0.3])
    out: dict[str, bool] = {}
    for turn in range(turns):
        for _ in range(2):
            name = chance.choice(names)
            if name in scenario.fleet.cores:
                scenario.come(name, f"x{turn - chance.randrange(3)}", due=chance.choice([0.5, 3.0]))
        what = chance.random()
        if what < 0.15 and not out:
            name = chance.choice(names)
            out[name] = chance.random() < 0.5
            if out[name]:
                scenario.fleet.crash(name)
            else:
                scenario.fleet.pause(name, 1.5)
            scenario.view(set(names) - {name})
        elif what < 0.4 and out:
            name, cold = out.popitem()
            if cold:
                scenario.start(name)
            else:
                scenario.returns(name)
            scenario.view(names)
        scenario.fleet.run(0.15)
    scenario.fleet.run(4.0)
    return scenario


def drifted(one: Entry, by: str) -> Entry:
    """A copy that differs by an outcome nobody knows of, as after a fault of memory."""
    return merge(
        one, replace(one, outcomes=(Outcome(one.version, (by, 0, 0), OutcomeStatus.SUCCEEDED, b"other"),))
    )

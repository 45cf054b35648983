"""A simulated fleet of replicas whose requests claim idempotency keys, run, finish and wait for results.

A small model of the replication service for scenario tests and for experiments with large fleets. The
scenario counts the runs of each key over all servers, and compares each answer with the result of the run.
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

POLL_INTERVAL_S = 0.1
FAULTY_VARIANTS = ("one-copy", "no-fence", "clock-wins", "early-vote", "drop-on-view")


class OneCopy(Replica):
    """Faulty variant: the answer of a single replica is a quorum."""

    def quorum_size(self, replica_count: int) -> int:
        return min(replica_count, 1)


class NoFence(Replica):
    """Faulty variant: answers requests and counts answers of any epoch."""

    def is_foreign_epoch(self, epoch: int) -> bool:
        return False

    def is_member(self, name: str) -> bool:
        return True


class EarlyVote(Replica):
    """Faulty variant: counts towards a majority before it has caught up."""

    def is_ready(self, slot: int) -> bool:
        return slot in self.ranges.assigned


class ClockWins(Replica):
    """Faulty variant: of two copies the last received one is kept, as with last-write-wins timestamps."""

    def make_store(self) -> EntryStore:
        return LastWriteWinsStore(self.settings.max_entries, self.settings.max_bytes)


class LastWriteWinsStore(EntryStore):
    def merged(self, stored: Entry, received: Entry) -> Entry:
        return received


class DropOnView(Replica):
    """Faulty variant: drops a range as soon as it is reassigned, and treats new ranges as ready at once."""

    def _on_view(self, view: ViewInstalled) -> None:
        super()._on_view(view)
        for slot in list(self.ranges.retained):
            del self.ranges.retained[slot]
            self.store.drop(slot)
        for slot in list(self.ranges.unready):
            self.ranges.assigned[slot].ready_epoch = self.epoch
        self.ranges.unready.clear()


class AsyncBackup(EarlyVote):
    """Baseline: the first replica decides alone and later copies its decisions to the others."""

    def replicas_of(self, slot: int) -> tuple[str, ...]:
        return super().replicas_of(slot)[:1]

    def _on_acceptor_request(self, sender: str, request: AcceptorRequest) -> None:
        super()._on_acceptor_request(sender, request)
        if isinstance(request, Accept | Push) and request.epoch == self.epoch:
            replica_names = super().replicas_of(request.slot)
            if replica_names[0] == self.name:
                push = Push(self.epoch, 0, request.key, request.slot, request.entry, request.remaining_s)
                for name in replica_names[1:]:
                    self.send(name, push)


REPLICA_TYPES: dict[str, type[Replica]] = {
    "": Replica,
    "one-copy": OneCopy,
    "no-fence": NoFence,
    "clock-wins": ClockWins,
    "early-vote": EarlyVote,
    "drop-on-view": DropOnView,
    "async-backup": AsyncBackup,
}


@dataclass
class KeyedRequest:
    """A request with an idempotency key at one server, and its outcome; times in simulated seconds."""

    server: str
    idempotency_key: str
    arrived_at: float
    deadline: float
    run_s: float
    completes: bool = True  # False if its run never ends
    outcome: str = ""  # "completed", "denied" or "terminated"; empty while open
    result: bytes = b""


@dataclass
class Scenario:
    """A simulated fleet of replicas; `zones` maps each member to its zone."""

    zones: dict[str, str]
    seed: int = 1
    settings: Settings = field(
        default_factory=lambda: Settings(
            max_lifetime_s=8.0, slots=8, waits_after_cold_start=False, repair_interval_s=0.5
        )
    )
    replica_type: type[Replica] = Replica
    group: Callable[[str], bytes] = lambda idempotency_key: idempotency_key.encode()

    def __post_init__(self) -> None:
        self.fleet = SimulatedFleet(MessageReceived, Tick(), self.seed, self._handle_effect)
        self.incarnations: Counter[str] = Counter()
        self.epoch = 0
        self.members: tuple[str, ...] = ()
        self.pending_requests: dict[int, KeyedRequest] = {}
        self.run_counts: Counter[str] = Counter()
        self.ran_by: dict[str, list[str]] = {}
        self.results: dict[str, bytes] = {}
        self.stored: set[tuple[str, str]] = set()
        self.log_entries: list[tuple[float, str, Log]] = []
        self.answers: dict[int, Answer] = {}
        self._last_ref = 0
        self._born_at: dict[str, int] = {}

    # -- members and views

    def start(self, *names: str) -> None:
        """Start the processes of members, with empty stores and new incarnations."""
        for name in names:
            self.incarnations[name] += 10
            incarnation, rng = (
                self.incarnations[name],
                random.Random(f"{self.seed} {name} {self.incarnations[name]}"),
            )
            self.fleet.add(name, partial(self._make_replica, name, incarnation, rng))

    def _make_replica(self, name: str, incarnation: int, rng: random.Random, now: float) -> Replica:
        return self.replica_type(name, incarnation, self.settings, rng, now)

    def install_view(self, names: Iterable[str], recipients: Iterable[str] | None = None) -> ViewInstalled:
        """Create the next view with these members, and send it to `recipients`, by default all members."""
        self.epoch += 1
        self.members = tuple(sorted(names))
        sites = tuple(Site(name, self.incarnations[name], self.zones[name]) for name in self.members)
        self.last_view = ViewInstalled(self.epoch, sites)
        self.send_view(self.members if recipients is None else recipients)
        return self.last_view

    def send_view(self, names: Iterable[str]) -> None:
        for name in names:
            if name in self.fleet.cores:
                self.fleet.tell(name, self.last_view)

    def rejoin(self, *names: str) -> None:
        """Give removed members higher incarnations, with which they rejoin in the same processes."""
        for name in names:
            self.incarnations[name] += 1

    def form_fleet(self, *names: str, settle_s: float = 2.0) -> None:
        """Start the members and install a first view of all of them."""
        self.start(*names)
        self.install_view(names)
        self.fleet.run(settle_s)

    def replica(self, name: str) -> Replica:
        replica = self.fleet.cores[name]
        assert isinstance(replica, Replica)
        return replica

    def replica_names(self, idempotency_key: str) -> tuple[str, ...]:
        """Return the replicas of an idempotency key under the last view."""
        member = next(name for name in self.members if name in self.fleet.cores)
        replica = self.replica(member)
        view = replica.ranges.views.get(self.epoch) or replica.ranges.views[replica.ranges.epoch]
        return view.replica_names(replica.slot_of(self.group(idempotency_key)))

    def unready_range_count(self) -> int:
        """Return the number of ranges that are not ready, over all running members of the view."""
        cores = [self.replica(name) for name in self.members if name in self.fleet.cores]
        return sum(len(replica.ranges.unready) for replica in cores if replica.epoch)

    def settle(self, timeout_s: float = 10.0) -> bool:
        return self.fleet.run_until(lambda: self.unready_range_count() == 0, timeout_s)

    def stored_entry(self, name: str, idempotency_key: str) -> Entry | None:
        replica = self.replica(name)
        stored = replica.store.get(
            replica.slot_of(self.group(idempotency_key)), ("labels", idempotency_key.encode())
        )
        return stored.entry if stored is not None else None

    # -- requests

    def submit(
        self,
        server: str,
        idempotency_key: str,
        deadline_s: float = 3.0,
        run_s: float = 0.05,
        completes: bool = True,
        fencing_number: int = 0,
    ) -> KeyedRequest:
        """Send a request with the idempotency key to the server; returns at once."""
        now = self.fleet.now
        request = KeyedRequest(server, idempotency_key, now, now + deadline_s, run_s, completes)
        self._claim(request, fencing_number)
        return request

    def _claim(self, request: KeyedRequest, fencing_number: int = 0) -> None:
        self._last_ref += 1
        self.pending_requests[self._last_ref] = request
        lifetime_s = max(self.settings.max_lifetime_s - (self.fleet.now - request.arrived_at), 0.1)
        idempotency_key = request.idempotency_key.encode()
        self.fleet.tell(
            request.server,
            Claim(
                self._last_ref,
                idempotency_key,
                self.group(request.idempotency_key),
                lifetime_s,
                idempotency_key,
                fencing_number,
            ),
        )
        self._set_deadline(request)

    def _set_deadline(self, request: KeyedRequest) -> None:
        def expire() -> None:
            if not request.outcome:
                request.outcome = "terminated"

        self.fleet.later(max(request.deadline - self.fleet.now, 0.0), expire)

    def write(self, server: str, collection: str, key: str, expected_version: int, value: bytes) -> int:
        self._last_ref += 1
        lifetime_s = self.settings.max_lifetime_s
        self.fleet.tell(
            server, Write(self._last_ref, collection, key.encode(), expected_version, value, lifetime_s)
        )
        return self._last_ref

    def read(self, server: str, collection: str, key: str) -> int:
        self._last_ref += 1
        self.fleet.tell(server, Read(self._last_ref, collection, key.encode(), b""))
        return self._last_ref

    def answer(self, ref: int, timeout_s: float = 2.0) -> Answer:
        self.fleet.run_until(lambda: ref in self.answers, timeout_s)
        return self.answers[ref]

    def _handle_effect(self, now: float, name: str, effect: Any) -> None:
        match effect:
            case Answer(ref, status, entry):
                request = self.pending_requests.pop(ref, None)
                if request is None:
                    self.answers[ref] = effect
                else:
                    self._handle_answer(request, status, entry)
            case OutcomeStored(key):
                self.stored.add((name, key.decode()))
            case Log():
                self.log_entries.append((now, name, effect))

    def _handle_answer(self, request: KeyedRequest, status: AnswerStatus, entry: Entry) -> None:
        fleet = self.fleet
        if status is AnswerStatus.WON:
            if request.outcome:  # the request has timed out: it is not run
                fleet.later(
                    0.0, lambda: fleet.tell(request.server, ReleaseClaim(request.idempotency_key.encode()))
                )
                return
            self._start_run(request)
        elif request.outcome:
            return
        elif status is AnswerStatus.KNOWN:
            outcome = entry.outcomes[0]
            request.outcome = "completed" if outcome.status is OutcomeStatus.SUCCEEDED else "terminated"
            request.result = outcome.result
        elif status in (AnswerStatus.RUNNING, AnswerStatus.READ, AnswerStatus.BUSY):
            is_unclaimed = status is AnswerStatus.READ and entry.state in (State.UNCLAIMED, State.RELEASED)
            fleet.later(POLL_INTERVAL_S, lambda: self._retry(request, is_unclaimed))
        elif status is AnswerStatus.UNREACHABLE and request in self._polling_requests:
            # The request may have run, so it is not rejected.
            fleet.later(POLL_INTERVAL_S, lambda: self._retry(request, False))
        else:
            request.outcome = "denied"

    def _retry(self, request: KeyedRequest, is_unclaimed: bool) -> None:
        if request.outcome or request.server not in self.fleet.cores:
            return
        if is_unclaimed:
            return self._claim(request)
        self._polling_requests.append(request)
        self._last_ref += 1
        self.pending_requests[self._last_ref] = request
        idempotency_key = request.idempotency_key
        self.fleet.tell(
            request.server,
            Read(self._last_ref, "labels", idempotency_key.encode(), self.group(idempotency_key)),
        )

    @property
    def _polling_requests(self) -> list[KeyedRequest]:
        """Requests whose idempotency key another server may be running."""
        self.__dict__.setdefault("_waiting", [])
        polling: list[KeyedRequest] = self.__dict__["_waiting"]
        return polling

    def _start_run(self, request: KeyedRequest) -> None:
        self.run_counts[request.idempotency_key] += 1
        self.ran_by.setdefault(request.idempotency_key, []).append(request.server)
        result = (
            f"{request.idempotency_key} by {request.server}, run {self.run_counts[request.idempotency_key]}"
        ).encode()
        self.results.setdefault(request.idempotency_key, result)
        process_number = self.incarnations[request.server] // 10

        def finish() -> None:
            if (
                request.server not in self.fleet.cores
                or self.incarnations[request.server] // 10 != process_number
                or not request.completes
            ):
                return
            if not request.outcome:
                request.outcome, request.result = "completed", result
            self.fleet.tell(
                request.server,
                CompleteClaim(request.idempotency_key.encode(), OutcomeStatus.SUCCEEDED, result),
            )

        self.fleet.later(request.run_s, finish)

    # -- invariants

    def violation(self) -> str:
        """Return a description of a key that ran twice or has two outcomes; empty if there is none."""
        for idempotency_key, count in sorted(self.run_counts.items()):
            if count > 1:
                return f"{idempotency_key} ran {count} times: at {', '.join(self.ran_by[idempotency_key])}"
        for replica in self.fleet.cores.values():
            if isinstance(replica, Replica) and replica.counts["two_outcomes"]:
                return f"two outcomes of one idempotency key, found by {replica.name}"
        return ""


def run_random_faults(seed: int, replica_type: type[Replica] = Replica, step_count: int = 30) -> Scenario:
    """Run a fleet of five members under faults that all follow from the seed.

    Links lose, duplicate and delay messages; members pause past their removal, or crash and restart empty;
    requests with one idempotency key are sent to many of them.
    """
    names, rng = "abcde", random.Random(seed)
    scenario = Scenario({name: name for name in names}, seed, replica_type=replica_type)
    scenario.form_fleet(*names)
    for sender in names:
        for receiver in names:
            link = scenario.fleet.link(sender, receiver)
            link.drop, link.double, link.most = rng.choice([0, 0.2]), 0.1, rng.choice([0.003, 0.3])
    removed: dict[str, bool] = {}
    for step in range(step_count):
        for _ in range(2):
            name = rng.choice(names)
            if name in scenario.fleet.cores:
                scenario.submit(name, f"x{step - rng.randrange(3)}", deadline_s=rng.choice([0.5, 3.0]))
        draw = rng.random()
        if draw < 0.15 and not removed:
            name = rng.choice(names)
            removed[name] = rng.random() < 0.5
            if removed[name]:
                scenario.fleet.crash(name)
            else:
                scenario.fleet.pause(name, 1.5)
            scenario.install_view(set(names) - {name})
        elif draw < 0.4 and removed:
            name, crashed = removed.popitem()
            if crashed:
                scenario.start(name)
            else:
                scenario.rejoin(name)
            scenario.install_view(names)
        scenario.fleet.run(0.15)
    scenario.fleet.run(4.0)
    return scenario


def diverged_copy(entry: Entry, server: str) -> Entry:
    """Return a copy of the entry with an outcome that no server produced, as after memory corruption."""
    return merge(
        entry,
        replace(entry, outcomes=(Outcome(entry.version, (server, 0, 0), OutcomeStatus.SUCCEEDED, b"other"),)),
    )

"""Replication in the server: a claim on a majority before each keyed run, and its outcome there afterwards.

The decisions about copies are made by the replica. A run waits until its claim is won. If another server has
the idempotency key, the request is detached from this server's controller and holds no core. It is answered
from here with the outcome's result, or with an error at its deadline; it is not rejected, as it may have run.
If no majority is reachable, the run never starts and the request is rejected; later requests are rejected on
arrival.
"""

from __future__ import annotations

import random
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from ..membership.view import View
from ..overload.interface import Idempotency, Outcome, Request, RequestClass
from ..serving.delayed_answers import DEADLINE_MARGIN_S
from ..serving.exchange import Caller, Exchange, ExchangeState, RequestObserver, digest
from ..serving.hooks import ResultStore
from ..serving.idempotency_keys import IdempotencyTable
from ..transport.scheduler import Scheduler
from .context import IDEMPOTENCY_KEYS
from .entries import AnswerStatus, Entry, OutcomeStatus
from .messages import Answer, CompleteClaim, ReleaseClaim
from .pending_answers import PendingAnswers
from .plan import ReplicationPlan
from .remote_outcomes import RemoteOutcomes
from .replica import Replica
from .replica_runner import OnAnswer, PeerConnections, ReplicaRunner

RETRY_AFTER_S = 0.5  # advised to a request that is rejected because no majority is reachable
SHUTDOWN_LINGER_S = 0.5  # time that a leaving member stays, so that others can fetch its entries
MAX_CLAIM_TIMES = 50  # recent claims whose durations are recorded
MAX_UNCERTAIN_REQUESTS = 4096  # retried keyed requests that may have run on a peer
CLAIM_TIME_QUANTILE = 0.9  # of the recent claim times, as the expected time of a claim
Run = Callable[[Exchange], None]


@dataclass(eq=False, slots=True)
class PendingClaim:
    """A keyed run that waits for its claim."""

    exchange: Exchange
    run: Run
    started_at: float


class ReplicationService:
    """The result store and observer of one server's keyed runs; wraps another result store and observer.

    Attributes:
        replica: The replica, which decides about copies.
        group_of: Returns the group of a request and the version of its session's binding; set by session
            affinity.
        may_begin: Returns whether a run whose claim was started at the given time may begin; set by session
            affinity.
        fenced: Called when a claim is refused because the session's binding has a later version; set by
            session affinity.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        connections: PeerConnections,
        plan: ReplicationPlan,
        name: str,
        incarnation: int,
        result_store: ResultStore,
        observer: RequestObserver,
        on_never_started: Run,
        count: Callable[[str], None],
        seed: int = 0,
        slack: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
        replica_type: type[Replica] = Replica,
    ) -> None:
        self._scheduler, self._plan, self._clock = scheduler, plan, clock
        self._result_store, self._observer, self._on_never_started = result_store, observer, on_never_started
        self._count, self._slack_s = count, slack
        rng = random.Random(f"{seed}-{name}-{incarnation}")
        self.replica = replica_type(name, incarnation, plan.settings, rng, clock())
        self.group_of: Callable[[Exchange], tuple[bytes, int]] = _group_by_key
        self.may_begin: Callable[[Exchange, float], bool] = _always_may_begin
        self.fenced: Callable[[Exchange], None] = _ignore_fenced
        self.pending_answers = PendingAnswers(scheduler, observer, count, plan.max_answer_wait_s)
        self._remote_outcomes = RemoteOutcomes(scheduler, count, self._read_outcome)
        partitioning = plan.settings.slots, plan.settings.copies
        self._runner = ReplicaRunner(
            scheduler, connections, self.replica, partitioning, clock, count, self.pending_answers
        )
        self._pending_claims: set[PendingClaim] = set()
        self._claimed_runs: dict[bytes, Exchange] = {}  # runs with a won claim, by idempotency key
        self._uncertain: dict[bytes, None] = {}  # names of requests that may have run on a peer, oldest first
        self._claim_times: deque[float] = deque(maxlen=MAX_CLAIM_TIMES)
        self._leaving_since = -inf

    # -- result store

    @property
    def ready(self) -> bool:
        """Whether the wrapped result store is ready."""
        return self._result_store.ready

    def recover_keys(
        self, interpreter_started_at: float, idempotency_keys: IdempotencyTable
    ) -> list[tuple[Request, float]]:
        """Pass on to the result store."""
        return self._result_store.recover_keys(interpreter_started_at, idempotency_keys)

    def runs_to_adopt(self) -> tuple[list[Exchange], int]:
        """Pass on to the result store."""
        return self._result_store.runs_to_adopt()

    def may_have_run(self, exchange: Exchange) -> bool:
        """Pass on to the result store."""
        return self._result_store.may_have_run(exchange)

    def prepare(self, exchange: Exchange) -> None:
        """Set the expected claim time for the controller, or a retry time if no majority is reachable."""
        self._result_store.prepare(exchange)
        key, request = exchange.idempotency_key, exchange.request
        if key is None or exchange.original is not None:
            return
        group, _ = self.group_of(exchange)
        if not self.reachable(group):
            if exchange.name not in self._uncertain and not self.replica.may_have_run(key, group):
                request.key_capacity_in_s = max(request.key_capacity_in_s, RETRY_AFTER_S)
                self._count("replication_denied")
        elif self._claim_times:
            ranked = sorted(self._claim_times)
            request.extra_wait_s += ranked[int(CLAIM_TIME_QUANTILE * len(ranked))]

    def reachable(self, group: bytes) -> bool:
        """Return whether a majority of a group's replicas may answer."""
        return self.replica.is_reachable(group, self._clock(), self._plan.reject_after_s)

    def reserve(self, exchange: Exchange) -> None:
        """Pass on to the result store."""
        self._result_store.reserve(exchange)

    def release(self, exchange: Exchange) -> None:
        """Pass on to the result store."""
        self._result_store.release(exchange)

    def before_run(self, exchange: Exchange, run: Run) -> None:
        """Claim the idempotency key of a run, which starts when the claim is won."""
        key, request = exchange.idempotency_key, exchange.request
        lifetime_s = _window_ends_at(request) + self._slack_s - self._scheduler.clock.now
        is_keyed = request.request_class.idempotency is Idempotency.KEYED
        if key is None or not is_keyed or lifetime_s <= 0:
            return self._result_store.before_run(exchange, run)
        pending = PendingClaim(exchange, run, self._clock())
        self._pending_claims.add(pending)
        request_digest = digest(exchange.request_class, exchange.body)
        group, binding_version = self.group_of(exchange)
        self._runner.claim(
            key,
            group,
            lifetime_s,
            request_digest,
            binding_version,
            lambda answer: self._on_claim_answer(pending, answer),
        )

    def run_ended(self, exchange: Exchange, outcome: Outcome, result: bytes) -> None:
        """Store the outcome of a run, or release its claim if it never started."""
        key = exchange.idempotency_key
        if key is not None and self._claimed_runs.get(key) is exchange:
            del self._claimed_runs[key]
            if outcome is Outcome.NEVER_STARTED:
                self._runner.step(ReleaseClaim(key))
            else:
                if self.replica.has_open_claim(key):  # else it has expired, and its outcome is not stored
                    self.pending_answers.outcome_sent(key)
                if outcome is Outcome.SUCCEEDED:
                    self._runner.step(CompleteClaim(key, OutcomeStatus.SUCCEEDED, result))
                else:
                    self._runner.step(CompleteClaim(key, OutcomeStatus.FAILED, b""))
        self._result_store.run_ended(exchange, outcome, result)

    # -- observer

    def completed(self, exchange: Exchange, result: bytes, caller: Caller) -> None:
        """Pass an answer on once its outcome is stored."""
        self.pending_answers.completed(exchange, result, caller)

    def rejected(self, exchange: Exchange) -> None:
        """Pass on to the observer."""
        self._observer.rejected(exchange)

    def failed(self, exchange: Exchange) -> None:
        """Pass on to the observer."""
        self._observer.failed(exchange)

    def cancelled(self, exchange: Exchange) -> None:
        """Pass on to the observer."""
        self._observer.cancelled(exchange)

    # -- answers to claims

    def _on_claim_answer(self, pending: PendingClaim, answer: Answer) -> None:
        self._pending_claims.discard(pending)
        self._count(f"replication_{answer.status}")
        key = pending.exchange.idempotency_key
        assert key is not None
        if answer.status is AnswerStatus.WON:
            self._on_claim_won(key, pending)
        elif answer.status in (AnswerStatus.KNOWN, AnswerStatus.RUNNING):
            self._on_claimed_elsewhere(key, pending.exchange, answer.entry)
        else:
            self._on_claim_failed(pending.exchange, answer.status)

    def _on_claim_won(self, key: bytes, pending: PendingClaim) -> None:
        exchange = pending.exchange
        self._claim_times.append(self._clock() - pending.started_at)
        if exchange.state is not ExchangeState.RUNNING or (
            exchange.closed and not exchange.attached_duplicates
        ):
            self._runner.step(ReleaseClaim(key))  # the run would have no caller any more
            return self._end_unstarted(exchange)
        if not self.may_begin(exchange, pending.started_at):
            self._count("replication_late")
            self._runner.step(ReleaseClaim(key))
            return self._reject(exchange)
        self._claimed_runs[key] = exchange
        self._result_store.before_run(exchange, pending.run)

    def _on_claimed_elsewhere(self, key: bytes, exchange: Exchange, entry: Entry) -> None:
        if entry.digest and entry.digest != digest(exchange.request_class, exchange.body):
            self._count("replication_differs")
            return self._fail(exchange)
        deadline = exchange.request.deadline - DEADLINE_MARGIN_S
        waiting = self._remote_outcomes.detach(exchange, key, self.group_of(exchange)[0])
        self._end_unstarted(exchange)
        self._remote_outcomes.wait_for(waiting, entry, deadline)

    def _on_claim_failed(self, exchange: Exchange, status: AnswerStatus) -> None:
        if status is AnswerStatus.FENCED:
            self.fenced(exchange)
        if exchange.name in self._uncertain:
            return self._fail(exchange)
        self._count("replication_denied_late")
        self._reject(exchange)

    def _reject(self, exchange: Exchange) -> None:
        """Reject a request that will not run here, and those coalesced with it."""
        for waiting in [exchange, *exchange.attached_duplicates]:
            waiting.reject(RETRY_AFTER_S, False)
        self._end_unstarted(exchange)

    def _fail(self, exchange: Exchange) -> None:
        """Answer a request that will not run here, and those coalesced with it, with an error."""
        for waiting in [exchange, *exchange.attached_duplicates]:
            waiting.fail()
        self._end_unstarted(exchange)

    def _end_unstarted(self, exchange: Exchange) -> None:
        if exchange.state is ExchangeState.RUNNING:
            self._on_never_started(exchange)

    # -- forwarding

    def may_run_again(self, exchange: Exchange, peer: str, on_decision: Callable[[bool], None]) -> None:
        """Decide whether a keyed request that may have run on a peer may be tried again.

        With a reachable majority it may, here or on any other server: its claim ensures that it runs once or
        is answered from the outcome. Without a majority the request ends in an error.
        """
        key, request = exchange.idempotency_key, exchange.request
        is_keyed = request.request_class.idempotency is Idempotency.KEYED
        remaining_s = _window_ends_at(request) - self._scheduler.clock.now
        if key is None or not is_keyed or remaining_s <= 0 or not self.reachable(self.group_of(exchange)[0]):
            return on_decision(False)
        if len(self._uncertain) >= MAX_UNCERTAIN_REQUESTS:
            del self._uncertain[next(iter(self._uncertain))]
        self._uncertain[exchange.name] = None
        on_decision(True)

    # -- reads and writes of other collections

    def write(
        self,
        collection: str,
        key: bytes,
        expected_version: int,
        value: bytes,
        lifetime_s: float,
        on_answer: OnAnswer,
        min_version: int = 0,
    ) -> None:
        """Set a binding or a document if its version is as expected.

        The new version is above the expected one and at least `min_version`. The answer is WON, STALE, or the
        reason of the failure.
        """
        self._runner.write(collection, key, expected_version, value, lifetime_s, min_version, on_answer)

    def read(self, collection: str, key: bytes, on_answer: OnAnswer) -> None:
        """Read an entry from a majority of its replicas."""
        self._runner.read(collection, key, b"", on_answer)

    def _read_outcome(self, key: bytes, group: bytes, on_answer: OnAnswer) -> None:
        self._runner.read(IDEMPOTENCY_KEYS, key, group, on_answer)

    def view(self, view: View) -> None:
        """Install a view of the membership."""
        self._runner.install_view(view)

    # -- shutdown

    def on_shutdown_notice(self) -> None:
        """Record that this member has started to leave; it stays while others fetch its entries."""
        self._leaving_since = self._clock()

    def is_settled(self) -> bool:
        """Return whether no request waits any more and other members had time to fetch the entries."""
        if self._clock() < self._leaving_since + SHUTDOWN_LINGER_S:
            return False
        is_waiting = self._remote_outcomes.waiting_count or self._pending_claims
        return self.pending_answers.is_empty and not is_waiting

    def close(self) -> None:
        """Pass on all pending answers, and stop."""
        self.pending_answers.close()
        self._runner.close()

    def gauges(self) -> dict[str, object]:
        """Return the gauges and counters of replication by name."""
        gauges = self.replica.gauges()
        if self._claim_times:
            ranked = sorted(self._claim_times)
            gauges["replication_claim_ms"] = round(1000 * ranked[len(ranked) // 2], 2)
        gauges["replication_waiting"] = self._remote_outcomes.waiting_count
        gauges["replication_held"] = self.pending_answers.count
        return gauges


def _window_ends_at(request: Request) -> float:
    return request.arrived_at + request.request_class.idempotency_window_s


def _group_by_key(exchange: Exchange) -> tuple[bytes, int]:
    """Return the group and binding version without sessions: the idempotency key itself and 0."""
    return exchange.idempotency_key or b"", 0


def _always_may_begin(exchange: Exchange, claimed_at: float) -> bool:
    return True


def _ignore_fenced(exchange: Exchange) -> None: ...


def max_key_lifetime_s(request_classes: dict[bytes, RequestClass], slack_s: float) -> float:
    """Return the longest lifetime of an idempotency key, including 1 s for late timers."""
    windows_s = [
        request_class.idempotency_window_s
        for request_class in request_classes.values()
        if request_class.idempotency is Idempotency.KEYED
    ]
    return max(windows_s, default=1.0) + slack_s + 1.0

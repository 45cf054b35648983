"""Answers that wait until their outcomes are on a majority, for a bounded time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..serving.delayed_answers import DEADLINE_MARGIN_S
from ..serving.exchange import Caller, Exchange, RequestObserver
from ..transport.scheduler import Scheduler


@dataclass(eq=False, slots=True)
class PendingAnswer:
    """An answer that waits."""

    exchange: Exchange
    result: bytes
    caller: Caller


class PendingAnswers:
    """Answers by the idempotency keys of outcomes that are not stored on a majority yet.

    Invariant: an answer is passed on once: when its outcome is stored, when it has waited for the longest
    time allowed, or when the server closes.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        observer: RequestObserver,
        count: Callable[[str], None],
        max_answer_wait_s: float,
    ) -> None:
        self._scheduler, self._observer, self._count = scheduler, observer, count
        self._max_answer_wait_s = max_answer_wait_s
        self._by_key: dict[bytes, list[PendingAnswer]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no outcome is on its way."""
        return not self._by_key

    @property
    def count(self) -> int:
        """Answers that wait."""
        return sum(len(answers) for answers in self._by_key.values())

    def outcome_sent(self, key: bytes) -> None:
        """An outcome is on its way: answers of its key wait from now on."""
        self._by_key[key] = []

    def completed(self, exchange: Exchange, result: bytes, caller: Caller) -> None:
        """Pass an answer on, or delay it while its outcome is on its way."""
        key = exchange.idempotency_key
        answers = self._by_key.get(key) if key is not None else None
        if answers is None:
            return self._observer.completed(exchange, result, caller)
        answer, now = PendingAnswer(exchange, result, caller), self._scheduler.clock.now
        answers.append(answer)
        remaining_s = max(exchange.request.deadline - DEADLINE_MARGIN_S - now, 0.0)
        wait_s = min(self._max_answer_wait_s, remaining_s)
        self._scheduler.after(wait_s, lambda: self._on_timeout(answers, answer))

    def _on_timeout(self, answers: list[PendingAnswer], answer: PendingAnswer) -> None:
        """Answering in time comes before replication."""
        if answer in answers:
            answers.remove(answer)
            self._count("replication_answers_ahead")
            self._observer.completed(answer.exchange, answer.result, answer.caller)

    def outcome_stored(self, key: bytes) -> None:
        """A majority has the outcome: its answers are passed on."""
        self._pass_on(self._by_key.pop(key, []))

    def outcome_expired(self, key: bytes) -> None:
        """No majority will have the outcome: answers that wait leave at their bounds, later ones at once."""
        self._by_key.pop(key, None)

    def close(self) -> None:
        """Pass all answers on."""
        for answers in self._by_key.values():
            self._pass_on(answers)
        self._by_key.clear()

    def _pass_on(self, answers: list[PendingAnswer]) -> None:
        waiting, answers[:] = answers[:], []  # so that their timeouts find nothing
        for answer in waiting:
            self._observer.completed(answer.exchange, answer.result, answer.caller)

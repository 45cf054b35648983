"""Delays answers until a majority has stored their outcomes, for a bounded time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..serving.delayed_answers import DEADLINE_MARGIN_S
from ..serving.exchange import Caller, Exchange, RequestObserver
from ..transport.scheduler import Scheduler


@dataclass(eq=False, slots=True)
class PendingAnswer:
    """An answer that waits for its outcome to be stored."""

    exchange: Exchange
    result: bytes
    caller: Caller


class PendingAnswers:
    """Answers by the idempotency keys of outcomes that are not stored on a majority yet.

    Invariant: an answer is passed on exactly once: when its outcome is stored, when its wait times out, or
    when the server closes.
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
        """Whether no outcome is being pushed to its replicas."""
        return not self._by_key

    @property
    def count(self) -> int:
        """The number of waiting answers."""
        return sum(len(answers) for answers in self._by_key.values())

    def outcome_sent(self, key: bytes) -> None:
        """Delay answers of this key from now on, as its outcome is being pushed to its replicas."""
        self._by_key[key] = []

    def completed(self, exchange: Exchange, result: bytes, caller: Caller) -> None:
        """Pass an answer on, or delay it while its outcome is being pushed."""
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
        """Pass an answer on before its outcome is stored, so that the caller is answered in time."""
        if answer in answers:
            answers.remove(answer)
            self._count("replication_answers_ahead")
            self._observer.completed(answer.exchange, answer.result, answer.caller)

    def outcome_stored(self, key: bytes) -> None:
        """Pass on the answers of an outcome that a majority has stored."""
        self._pass_on(self._by_key.pop(key, []))

    def outcome_expired(self, key: bytes) -> None:
        """Stop delaying answers of this key, whose outcome was not stored; waiting ones still time out."""
        self._by_key.pop(key, None)

    def close(self) -> None:
        """Pass on all waiting answers."""
        for answers in self._by_key.values():
            self._pass_on(answers)
        self._by_key.clear()

    def _pass_on(self, answers: list[PendingAnswer]) -> None:
        waiting, answers[:] = answers[:], []  # emptied first, so that their timeouts do nothing
        for answer in waiting:
            self._observer.completed(answer.exchange, answer.result, answer.caller)

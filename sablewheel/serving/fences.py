"""Tracks which commands the interpreter has provably read.

A fence is a numbered gauge query that is written after the commands of a round. Its answer proves that the
commands before it were read.
"""

from __future__ import annotations

from collections import deque
from math import inf

# Commands written this shortly before a break may be lost, even if later queries were answered.
LOSS_WINDOW_S = 0.05
MAX_TRACKED_QUERIES = 4096  # older queries count as never answered


class Fences:
    """The fences of all links, one link at a time; the numbers continue from link to link.

    Attributes:
        last: The number of the last fence that was written.
        proven: The number of the last fence that was answered.
        safe: The number of the last fence whose commands can no longer be lost by a break of the link.
    """

    def __init__(self) -> None:
        self.last = self.proven = self.safe = 0
        # Of the present link: unanswered fences, each with the time when it was written, and answered fences
        # that are not safe yet, each with the time of the answer.
        self._unanswered: deque[tuple[int, float]] = deque(maxlen=MAX_TRACKED_QUERIES)
        self._answered: deque[tuple[int, float]] = deque(maxlen=MAX_TRACKED_QUERIES)

    @property
    def next(self) -> int:
        """The number of the fence that will follow the commands that are not written yet."""
        return self.last + 1

    def write(self, now: float) -> int:
        """Record a fence that is written now, and return its number."""
        self.last += 1
        self._unanswered.append((self.last, now))
        return self.last

    def lose_link(self) -> None:
        """Drop the fences of a link that ended: they will not be answered."""
        self._unanswered.clear()
        self._answered.clear()

    def answer(self, tag: bytes, now: float) -> int | None:
        """Record the answer to a fence. Returns the fence's number, or None if the answer proves nothing.

        An answer proves that the commands before its query were read, but the last of them may still be lost
        in a break. They can no longer be lost once a query is answered that was written LOSS_WINDOW_S after
        the first answer was read, since the link was intact until then. The time is measured from reading to
        writing, so this also holds during a stall.
        """
        fence = int(tag) if tag.isdigit() else 0
        written_at = -inf
        while self._unanswered and self._unanswered[0][0] <= fence:
            written_at = self._unanswered.popleft()[1]
        while self._answered and self._answered[0][1] + LOSS_WINDOW_S <= written_at:
            self.safe = self._answered.popleft()[0]
        if written_at == -inf:
            return None
        self.proven = fence
        self._answered.append((fence, now))
        return fence

"""Proves which commands the interpreter has read.

A fence is a numbered query for gauges behind the commands of a round. Its answer proves that the commands
before it were read.
"""

from __future__ import annotations

from collections import deque
from math import inf

LOSS_WINDOW_S = 0.05  # commands written so shortly before a break may be lost, whatever was answered since
MAX_TRACKED_QUERIES = 4096  # older ones count as never answered


class Fences:
    """The fences of one link after another; their numbers go on.

    Attributes:
        last: The last fence that was written.
        proven: The last fence that was answered.
        safe: The last fence whose commands no break of the link can take back.
    """

    def __init__(self) -> None:
        self.last = self.proven = self.safe = 0
        # Of the present link: not answered, when written; answered but not safe yet, when answered.
        self._unanswered: deque[tuple[int, float]] = deque(maxlen=MAX_TRACKED_QUERIES)
        self._answered: deque[tuple[int, float]] = deque(maxlen=MAX_TRACKED_QUERIES)

    @property
    def next(self) -> int:
        """The fence behind commands that are not written yet."""
        return self.last + 1

    def write(self, now: float) -> int:
        """Return the number of a fence that is written now."""
        self.last += 1
        self._unanswered.append((self.last, now))
        return self.last

    def lose_link(self) -> None:
        """Drop the fences of a link that ended: they will not be answered."""
        self._unanswered.clear()
        self._answered.clear()

    def answer(self, tag: bytes, now: float) -> int | None:
        """Note the answer of a fence. Returns its number, or None if it proves nothing.

        An answer proves that what was written before its query was read, but a break may still take back the
        last of that. It can't any more once a query is answered that was written LOSS_WINDOW_S after the
        first answer was read, since the link was whole till then. Measured from reading to writing, this
        holds in any stall.
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

"""Which entries are carried forward so that the front of the log may go: the log stays near what is alive.
Pure.
"""

from __future__ import annotations

from collections import OrderedDict

CARRY_MOST = 256  # entries in one step
SPARE = 2.0  # how many times what is alive the log may hold, beside a few segments
RISE = 1.5  # a pass that gained little is not repeated before the log has grown by this much


class Carrier:
    """Knows in which record each live idempotency key lies, in the log's order, and how much of the log that
    is.

    Invariant: all live entries lie in records from `oldest` on. A pass carries what was in the log when it
    began, each entry once, so it ends whatever comes meanwhile.
    """

    def __init__(self, segment_bytes: int) -> None:
        self._segment_bytes = segment_bytes
        self._lies: OrderedDict[bytes, tuple[int, int]] = OrderedDict()
        self._live_bytes = 0
        self._through = 0  # the pass carries what lies in records up to this one; 0: there is none
        self._after = 0  # the log's size some time after the last pass

    def wrote(self, idempotency_key: bytes, number: int, size: int) -> None:
        """All that is known of an idempotency key is in this record now, the newest of all; it takes so many
        bytes there.
        """
        self.gone(idempotency_key)
        self._lies[idempotency_key] = (number, size)
        self._live_bytes += size

    def grew(self, idempotency_key: bytes, size: int) -> None:
        """More was written of it, in a later record."""
        if idempotency_key in self._lies:
            number, before = self._lies[idempotency_key]
            self._lies[idempotency_key] = (number, before + size)
            self._live_bytes += size

    def gone(self, idempotency_key: bytes) -> None:
        if idempotency_key in self._lies:
            self._live_bytes -= self._lies.pop(idempotency_key)[1]

    def oldest(self, newest: int) -> int:
        """The first record that must stay; `newest` is the last there is."""
        return next(iter(self._lies.values()), (newest + 1, 0))[0]

    def look(self, log_bytes: int, newest: int) -> bool:
        """Now and then: whether a pass is under way, or begins now because the log is far beyond what is
        alive.
        """
        if not self._through:
            self._after = min(self._after, log_bytes) if self._after else 0
            beyond = log_bytes > SPARE * self._live_bytes + 4 * self._segment_bytes
            if beyond and log_bytes > RISE * self._after and self._lies:
                self._through = newest
        return self._through > 0

    def step(self, log_bytes: int) -> list[bytes]:
        """The idempotency keys to carry next; none: the pass is over."""
        found: list[bytes] = []
        for idempotency_key, (number, _) in self._lies.items():
            if number > self._through or len(found) >= CARRY_MOST:
                break
            found.append(idempotency_key)
        if not found:
            self._through, self._after = 0, log_bytes
        return found

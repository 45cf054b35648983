"""A disk made for tests: knows what was synced, fails on request, and loses what was not synced in any way
allowed.
"""

from __future__ import annotations

import errno
import random


class MadeFiles:
    """Files in memory. `fail` maps a method's name to the errors that its next calls raise."""

    def __init__(self) -> None:
        self.data: dict[str, bytearray] = {}
        self.durable: dict[str, bytes] = {}
        self.pieces: dict[str, list[tuple[int, bytes]]] = {}  # written since the last sync: place and bytes
        self.fail: dict[str, list[OSError | None]] = {}
        self.room = 1 << 60
        self.syncs = 0

    def _maybe_fail(self, method: str) -> None:
        errors = self.fail.get(method, [])
        if errors and (error := errors.pop(0)) is not None:
            raise error

    def names(self) -> list[str]:
        return sorted(self.data)

    def size(self, name: str) -> int:
        return len(self.data[name])

    def read(self, name: str, offset: int, most: int) -> bytes:
        return bytes(self.data[name][offset : offset + most])

    def create(self, name: str) -> None:
        self._maybe_fail("create")
        assert name not in self.data
        self.data[name], self.durable[name], self.pieces[name] = bytearray(), b"", []

    def append(self, name: str, data: bytes) -> None:
        used = sum(map(len, self.data.values()))
        some = data[: max(self.room - used, 0)]
        if self.fail.get("append") and self.fail["append"][0] is not None:
            some = data[: len(data) // 2]  # a short write, then the error
        self.pieces[name].append((len(self.data[name]), some))
        self.data[name] += some
        self._maybe_fail("append")
        if len(some) < len(data):
            raise OSError(errno.ENOSPC, "no space left on device")

    def sync(self, name: str) -> None:
        self._maybe_fail("sync")
        self.syncs += 1
        self.durable[name] = bytes(self.data[name])
        self.pieces[name] = []

    def truncate(self, name: str, size: int) -> None:
        self._maybe_fail("truncate")
        del self.data[name][size:]

    def remove(self, name: str) -> None:
        self._maybe_fail("remove")
        for kept in (self.data, self.durable, self.pieces):
            kept.pop(name, None)

    def close(self) -> None:
        pass

    def crash(self, chance: random.Random) -> MadeFiles:
        """The disk after a power failure: of what was not synced, pieces may be there, torn or not, in any
        order.
        """
        after = MadeFiles()
        for name, durable in self.durable.items():
            data = bytearray(durable)
            for place, piece in self.pieces[name]:
                kept = piece[: chance.randint(0, len(piece))] if chance.random() < 0.5 else piece
                if chance.random() < 0.4:
                    continue
                data.extend(b"\0" * (place - len(data)))
                data[place : place + len(kept)] = kept
            after.data[name] = data
            after.durable[name], after.pieces[name] = bytes(data), []
        return after

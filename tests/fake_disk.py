"""A disk in memory: tracks synced data, fails on request, and loses unsynced writes in any possible way."""

from __future__ import annotations

import errno
import random


class FakeFiles:
    """Segment files in memory.

    `fail` maps the name of a method to the errors of its next calls; None for a call that succeeds.
    """

    def __init__(self) -> None:
        self.data: dict[str, bytearray] = {}
        self.durable: dict[str, bytes] = {}
        self.unsynced: dict[str, list[tuple[int, bytes]]] = {}  # writes since the last sync: offset and bytes
        self.fail: dict[str, list[OSError | None]] = {}
        self.capacity_bytes = 1 << 60
        self.syncs = 0

    def _maybe_fail(self, method: str) -> None:
        errors = self.fail.get(method, [])
        if errors and (error := errors.pop(0)) is not None:
            raise error

    def names(self) -> list[str]:
        return sorted(self.data)

    def size(self, name: str) -> int:
        return len(self.data[name])

    def read(self, name: str, offset: int, max_bytes: int) -> bytes:
        return bytes(self.data[name][offset : offset + max_bytes])

    def create(self, name: str) -> None:
        self._maybe_fail("create")
        assert name not in self.data
        self.data[name], self.durable[name], self.unsynced[name] = bytearray(), b"", []

    def append(self, name: str, data: bytes) -> None:
        used = sum(map(len, self.data.values()))
        written = data[: max(self.capacity_bytes - used, 0)]
        if self.fail.get("append") and self.fail["append"][0] is not None:
            written = data[: len(data) // 2]  # a short write, then the error
        self.unsynced[name].append((len(self.data[name]), written))
        self.data[name] += written
        self._maybe_fail("append")
        if len(written) < len(data):
            raise OSError(errno.ENOSPC, "no space left on device")

    def sync(self, name: str) -> None:
        self._maybe_fail("sync")
        self.syncs += 1
        self.durable[name] = bytes(self.data[name])
        self.unsynced[name] = []

    def truncate(self, name: str, size: int) -> None:
        self._maybe_fail("truncate")
        del self.data[name][size:]

    def remove(self, name: str) -> None:
        self._maybe_fail("remove")
        for contents in (self.data, self.durable, self.unsynced):
            contents.pop(name, None)

    def close(self) -> None:
        pass

    def crash(self, rng: random.Random) -> FakeFiles:
        """Return the disk after a power failure, with any of the unsynced writes, complete or torn."""
        files = FakeFiles()
        for name, durable in self.durable.items():
            data = bytearray(durable)
            for offset, write in self.unsynced[name]:
                written = write[: rng.randint(0, len(write))] if rng.random() < 0.5 else write
                if rng.random() < 0.4:
                    continue
                data.extend(b"\0" * (offset - len(data)))
                data[offset : offset + len(written)] = written
            files.data[name] = data
            files.durable[name], files.unsynced[name] = bytes(data), []
        return files

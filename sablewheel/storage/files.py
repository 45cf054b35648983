"""The few file operations that a log needs, behind a protocol: the disk itself, or a made one in tests."""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path
from typing import Protocol


class Files(Protocol):
    """One folder. Every method may raise OSError; `append` may have written a part of its data then."""

    def names(self) -> list[str]: ...
    def size(self, name: str) -> int: ...
    def read(self, name: str, offset: int, most: int) -> bytes: ...
    def create(self, name: str) -> None:
        """An empty file that outlives a power failure once this returns."""

    def append(self, name: str, data: bytes) -> None: ...
    def sync(self, name: str) -> None:
        """What was appended outlives a power failure once this returns."""

    def truncate(self, name: str, size: int) -> None: ...
    def remove(self, name: str) -> None: ...
    def close(self) -> None: ...


class InUseError(OSError):
    """Another process has the folder."""


class DiskFiles:
    """The disk. Holds a lock on the folder, so that two servers of one name can't share it."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            raise InUseError(f"{folder} is in use by another process") from None
        self._open: tuple[str, int] | None = None  # the file appended to last

    def names(self) -> list[str]:
        return sorted(one.name for one in self._folder.iterdir() if one.suffix == ".seg")

    def size(self, name: str) -> int:
        return (self._folder / name).stat().st_size

    def read(self, name: str, offset: int, most: int) -> bytes:
        with open(self._folder / name, "rb") as file:
            file.seek(offset)
            return file.read(most)

    def create(self, name: str) -> None:
        self._close_open()
        self._open = (name, os.open(self._folder / name, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC))
        folder = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def append(self, name: str, data: bytes) -> None:
        descriptor, left = self._descriptor(name), memoryview(data)
        while left:
            left = left[os.write(descriptor, left) :]  # a short write goes on, or fails with its reason

    def sync(self, name: str) -> None:
        os.fdatasync(self._descriptor(name))

    def truncate(self, name: str, size: int) -> None:
        os.truncate(self._folder / name, size)

    def remove(self, name: str) -> None:
        (self._folder / name).unlink(missing_ok=True)

    def close(self) -> None:
        self._close_open()
        os.close(self._lock)

    def _descriptor(self, name: str) -> int:
        if self._open is None or self._open[0] != name:
            self._close_open()
            path = self._folder / name
            self._open = (name, os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC))
        return self._open[1]

    def _close_open(self) -> None:
        held, self._open = self._open, None
        if held is not None:
            # The descriptor is free whatever close(2) says, and what counts as durable was synced.
            with contextlib.suppress(OSError):
                os.close(held[1])

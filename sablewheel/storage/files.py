"""The file operations that the log uses, as a protocol so that tests can replace the disk."""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path
from typing import Protocol


class SegmentFiles(Protocol):
    """The segment files of one folder.

    Every method may raise `OSError`. An `append` that raises may have written a part of its data.
    """

    def names(self) -> list[str]:
        """Return the names of all segment files, sorted."""

    def size(self, name: str) -> int:
        """Return the size of a file in bytes."""

    def read(self, name: str, offset: int, max_bytes: int) -> bytes:
        """Return at most `max_bytes` bytes of a file, starting at an offset."""

    def create(self, name: str) -> None:
        """Create an empty file. It survives a power failure once this method returns."""

    def append(self, name: str, data: bytes) -> None:
        """Write data at the end of a file. It is durable only after `sync`."""

    def sync(self, name: str) -> None:
        """Make all appended data durable: it survives a power failure once this method returns."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""

    def remove(self, name: str) -> None:
        """Delete a file."""

    def close(self) -> None:
        """Close the folder so that another process can open it."""


class InUseError(OSError):
    """The folder is locked by another process."""


class DiskFiles:
    """Segment files on disk, with a lock on the folder so that two servers cannot share it."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self._lock_descriptor = os.open(folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock_descriptor)
            raise InUseError(f"{folder} is in use by another process") from None
        self._open_file: tuple[str, int] | None = None  # name and descriptor of the last file written

    def names(self) -> list[str]:
        """Return the names of all segment files, sorted."""
        return sorted(path.name for path in self._folder.iterdir() if path.suffix == ".seg")

    def size(self, name: str) -> int:
        """Return the size of a file in bytes."""
        return (self._folder / name).stat().st_size

    def read(self, name: str, offset: int, max_bytes: int) -> bytes:
        """Return at most `max_bytes` bytes of a file, starting at an offset."""
        with (self._folder / name).open("rb") as file:
            file.seek(offset)
            return file.read(max_bytes)

    def create(self, name: str) -> None:
        """Create an empty file and sync its directory entry."""
        self._close_open_file()
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC
        self._open_file = (name, os.open(self._folder / name, flags))
        folder = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def append(self, name: str, data: bytes) -> None:
        """Write all of `data` at the end of a file, continuing after short writes."""
        descriptor, remaining = self._descriptor(name), memoryview(data)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]

    def sync(self, name: str) -> None:
        """Make all appended data durable."""
        os.fdatasync(self._descriptor(name))

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        os.truncate(self._folder / name, size)

    def remove(self, name: str) -> None:
        """Delete a file. A missing file is not an error."""
        (self._folder / name).unlink(missing_ok=True)

    def close(self) -> None:
        """Close the open file and release the lock."""
        self._close_open_file()
        os.close(self._lock_descriptor)

    def _descriptor(self, name: str) -> int:
        if self._open_file is None or self._open_file[0] != name:
            self._close_open_file()
            path = self._folder / name
            self._open_file = (name, os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC))
        return self._open_file[1]

    def _close_open_file(self) -> None:
        open_file, self._open_file = self._open_file, None
        if open_file is not None:
            # Linux frees the descriptor even if close(2) fails, and all data reported as durable is synced.
            with contextlib.suppress(OSError):
                os.close(open_file[1])

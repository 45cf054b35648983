"""Reads the records of a folder as recovery does, but without a lock: the folder may be in use."""

from __future__ import annotations

import os
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import BinaryIO

from . import records
from .log import decode_header_of, describe_damage, is_unfinished_write, number_limits


def read_folder(folder: Path, kind: bytes, notes: list[str]) -> Iterator[tuple[int, bytes]]:
    """Read the records of a folder as recovery does, but without a lock: the folder may be in use.

    Args:
        folder: The log's folder.
        kind: The name of the log.
        notes: Receives a line for each unreadable segment and each damaged range.

    Yields:
        The number and payload of each record, in order.
    """
    segments: list[tuple[Path, records.Header]] = []
    for path in sorted(folder.glob("*.seg")):
        try:
            with path.open("rb") as file:
                segments.append((path, decode_header_of(kind, file.read(records.HEADER_SIZE))))
        except (records.SegmentError, FileNotFoundError) as error:
            notes.append(f"{path}: {error}")
    last_number = 0
    limits = number_limits([header for _, header in segments])
    for (path, header), limit in zip(segments, limits, strict=True):
        try:
            file = path.open("rb")
        except FileNotFoundError:
            continue  # the server released the segment meanwhile
        with file:
            reader = records.SegmentReader(partial(_read_file, file), os.fstat(file.fileno()).st_size)
            for item in reader.scan(records.HEADER_SIZE, header.first_number - 1):
                if isinstance(item, records.Damage):
                    if not is_unfinished_write(item, limit, last_number):
                        notes.append(describe_damage(str(path), item))
                elif last_number < item.number < limit:
                    last_number = item.number
                    yield item.number, item.payload


def _read_file(file: BinaryIO, offset: int, max_bytes: int) -> bytes:
    file.seek(offset)
    return file.read(max_bytes)

"""Reads batches on standard input and writes replies on standard output until the input ends."""

from __future__ import annotations

import sys
from typing import TextIO

from . import wire
from .host import Host


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer every batch of `source`; raises `wire.MalformedError` on what is not of the wire."""
    host = Host()
    while True:
        head = source.readline().rstrip("\n")
        if not head:
            return
        now, batch = wire.parse_mark(head)
        texts = []
        while (text := source.readline()) != "your_turn\n":
            if not text.endswith("\n"):
                raise wire.MalformedError("the input ends inside a batch")
            texts.append(text[:-1])
        sink.write(wire.reply(host.batch(now, texts), batch))
        sink.flush()


def main() -> int:
    """The adapter as a process."""
    try:
        serve(sys.stdin, sys.stdout)
    except (wire.MalformedError, UnicodeDecodeError) as trouble:
        print(f"sablewheel.bench_adapter: {trouble}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

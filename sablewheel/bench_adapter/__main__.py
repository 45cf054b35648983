"""Reads batches on standard input and writes replies on standard output until the input ends."""

from __future__ import annotations

import sys
from typing import TextIO

from . import wire
from .host import Host


def serve(input_stream: TextIO, output_stream: TextIO) -> None:
    """Answer every batch of `input_stream`.

    Raises:
        MalformedError: The input does not follow the protocol.
    """
    host = Host()
    while True:
        mark_line = input_stream.readline().rstrip("\n")
        if not mark_line:
            return
        now, batch_number = wire.parse_mark(mark_line)
        event_lines = []
        while (event_line := input_stream.readline()) != "your_turn\n":
            if not event_line.endswith("\n"):
                raise wire.MalformedError("input ended inside a batch")
            event_lines.append(event_line[:-1])
        output_stream.write(wire.format_reply(host.handle_batch(now, event_lines), batch_number))
        output_stream.flush()


def main() -> int:
    """Run the adapter; return the exit status."""
    try:
        serve(sys.stdin, sys.stdout)
    except (wire.MalformedError, UnicodeDecodeError) as error:
        print(f"sablewheel.bench_adapter: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

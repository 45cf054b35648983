"""Starts the server: reads what it is told, then serves until it is told to leave."""

from __future__ import annotations

import sys

from .program import configuration, logs


def main() -> int:
    try:
        posting = configuration.posting()
    except configuration.FaultyKeyError as trouble:
        print(f"sablewheel: {trouble}", file=sys.stderr)
        return 2
    logs.start(posting.level)
    from .program.application import Application

    try:
        application = Application(posting)
    except OSError as trouble:
        host, port = posting.listen
        print(f"sablewheel: listen: {host}:{port}: {trouble.strerror}", file=sys.stderr)
        return 1
    application.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())

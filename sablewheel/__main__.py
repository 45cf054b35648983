"""Starts the server: reads what it is told, then serves until it is told to leave."""

from __future__ import annotations

import os
import signal
import sys

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)


def main() -> int:
    """The program as a process; signals that come while it is put together wait until it can take them."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    from .program import configuration, logs
    from .program.application import Application

    features, file = None, os.environ.get("SABLEWHEEL_FEATURES")
    try:
        posting = configuration.posting()
    except configuration.FaultyKeyError as trouble:
        print(f"sablewheel: {trouble}", file=sys.stderr)
        return 2
    if file:
        from .program.features import FaultyFeaturesError, read

        try:
            features = read(file)
        except FaultyFeaturesError as trouble:
            print(trouble, file=sys.stderr)
            return 2
    logs.start(posting.level)
    try:
        application = Application(posting, features)
    except OSError as trouble:
        if trouble.errno is None or trouble.filename:  # a feature's folder, not the door
            print(f"sablewheel: {trouble}", file=sys.stderr)
            return 1
        host, port = posting.listen
        print(f"sablewheel: listen: {host}:{port}: {trouble.strerror}", file=sys.stderr)
        return 1
    application.prepare()
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
    code = application.run()
    # The interpreter gives signals back their default before it takes its modules down: one that comes late,
    # as a second notice or a hang-up to all, would end a process that left in order by a signal.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    return code


if __name__ == "__main__":
    sys.exit(main())

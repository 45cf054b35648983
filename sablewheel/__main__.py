"""Starts the server: reads what it is told, then serves until it is told to leave."""

from __future__ import annotations

import os
import signal
import sys
import time
from collections.abc import Callable
from errno import EADDRINUSE
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from .program.application import Application
    from .program.configuration import PlacementSettings
    from .program.feature_file import Features

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
DOOR_SPARE = 1.0  # how long past a predecessor's own notice its door is waited for
DOOR_AGAIN = 0.05
START_AGAIN_MOST = 1.0  # seconds for which a start waits out failures of the system that may pass
T = TypeVar("T")


def main() -> int:
    """The program as a process; signals that come while it is put together wait until it can take them."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    from .program import configuration, logs

    features, file = None, os.environ.get("SABLEWHEEL_FEATURES")
    try:
        placement_settings = patiently(configuration.placement_settings)
    except configuration.FaultyKeyError as trouble:
        print(f"sablewheel: {trouble}", file=sys.stderr)
        return 2
    if file:
        from .program.feature_file import FaultyFeaturesError, read

        try:
            features = read(file)
        except FaultyFeaturesError as trouble:
            print(trouble, file=sys.stderr)
            return 2
    logs.start(placement_settings.log_level)
    try:
        application = put_together(placement_settings, features)
    except OSError as trouble:
        if trouble.errno is None or trouble.filename:  # a feature's folder, not the door
            print(f"sablewheel: {trouble}", file=sys.stderr)
            return 1
        host, port = placement_settings.listen
        print(f"sablewheel: listen: {host}:{port}: {trouble.strerror}", file=sys.stderr)
        return 1
    if application is None:
        return 0
    patiently(application.prepare)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
    code = application.run()
    # The interpreter gives signals back their default before it takes its modules down: one that comes late,
    # as a second notice or a hang-up to all, would end a process that left in order by a signal.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    return code


def put_together(placement_settings: PlacementSettings, features: Features | None) -> Application | None:
    """The program's parts, its address taken; None: told to leave while another process held the address.

    Raises OSError where the address can't be had, or a feature's folder can't be used.
    """
    from .program.application import Application

    if features is not None:  # not again: they hold folders by now
        return Application(placement_settings, features)
    try:
        return patiently(lambda: Application(placement_settings))
    except OSError as trouble:
        if trouble.errno != EADDRINUSE:
            raise
    if not await_door(placement_settings.listen, placement_settings.stop_after_s + DOOR_SPARE):
        return None
    return patiently(lambda: Application(placement_settings))


def patiently(step: Callable[[], T]) -> T:
    """Take a step of the start, and again after a rest while the system fails in a way that may pass.

    Raises what the step raised last, once START_AGAIN_MOST seconds are over; at once for any other failure,
    and for an address in use, whose holder is waited for longer.
    """
    from .transport.system_call_errors import RETRYABLE_STARTUP_ERRORS

    until = time.monotonic() + START_AGAIN_MOST
    while True:
        try:
            return step()
        except (OSError, ValueError) as error:
            cause = error if isinstance(error, OSError) else error.__cause__
            passing = (
                isinstance(cause, OSError)
                and cause.errno in RETRYABLE_STARTUP_ERRORS
                and cause.errno != EADDRINUSE
            )
            if not passing or time.monotonic() > until:
                raise
        time.sleep(DOOR_AGAIN)


def await_door(address: tuple[str, int], most: float) -> bool:
    """Wait while another holds the address; False: told to leave meanwhile.

    Guards against a predecessor that still leaves, its door open up to its grace's end or later: an end by
    that would be a crash. Whoever holds the address for longer is told of at the next attempt.
    """
    import socket

    until = time.monotonic() + most
    while time.monotonic() < until:
        if signal.sigpending() & {signal.SIGTERM, signal.SIGINT}:
            return False
        time.sleep(DOOR_AGAIN)
        try:
            with socket.socket() as door:
                door.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                door.bind(address)
        except OSError:
            continue
        return True
    return True


if __name__ == "__main__":
    sys.exit(main())

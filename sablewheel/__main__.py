"""Starts the server: reads the configuration, then serves until a termination signal is received."""

from __future__ import annotations

import os
import signal
import sys
import time
from errno import EADDRINUSE
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .program.application import Application
    from .program.configuration import PlacementSettings
    from .program.feature_file import Features

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
ADDRESS_WAIT_MARGIN_S = 1.0  # added to the shutdown time of a predecessor that still holds the address


def main() -> int:
    """Run the server process and return its exit code.

    Signals that arrive during the start stay pending until their handlers are installed.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    from .program import configuration, logs
    from .transport.start_retries import retry_transient_errors

    features, file = None, os.environ.get("SABLEWHEEL_FEATURES")
    try:
        placement_settings = retry_transient_errors(configuration.placement_settings)
    except configuration.FaultyKeyError as error:
        print(f"sablewheel: {error}", file=sys.stderr)
        return 2
    if file:
        from .program.feature_file import FaultyFeaturesError, read

        try:
            features = read(file)
        except FaultyFeaturesError as error:
            print(error, file=sys.stderr)
            return 2
    logs.start(placement_settings.log_level)
    try:
        application = build_application(placement_settings, features)
    except OSError as error:
        # Such an error concerns a feature's folder, not the address of the server.
        if error.errno is None or error.filename:
            print(f"sablewheel: {error}", file=sys.stderr)
            return 1
        host, port = placement_settings.listen
        print(f"sablewheel: listen: {host}:{port}: {error.strerror}", file=sys.stderr)
        return 1
    if application is None:
        return 0
    retry_transient_errors(application.prepare)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
    code = application.run()
    # Python restores the default signal handlers before it unloads its modules. A late signal, such as a
    # second shutdown notice or a SIGHUP, would then kill a process that has already shut down in order.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    return code


def build_application(placement_settings: PlacementSettings, features: Features | None) -> Application | None:
    """Return the application, listening on its address; None if a termination signal came before it was free.

    Raises:
        OSError: The address can't be listened on, or a feature's folder can't be used.
    """
    from .program.application import Application
    from .transport.start_retries import retry_transient_errors

    if features is not None:  # its parts retry: a second application would find what the first one holds
        return Application(placement_settings, features)
    try:
        return retry_transient_errors(lambda: Application(placement_settings))
    except OSError as error:
        if error.errno != EADDRINUSE:
            raise
    if not wait_for_address(
        placement_settings.listen, placement_settings.stop_after_s + ADDRESS_WAIT_MARGIN_S
    ):
        return None
    return retry_transient_errors(lambda: Application(placement_settings))


def wait_for_address(address: tuple[str, int], timeout_s: float) -> bool:
    """Wait until the address is free or `timeout_s` is over; return False if a termination signal came first.

    A predecessor that is shutting down keeps its socket listening until the end of its grace, or later. An
    exit because of that would count as a crash. If the address is still in use after the time-out, the
    caller's next attempt to listen reports it.
    """
    import socket

    from .transport.start_retries import START_RETRY_INTERVAL_S

    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if signal.sigpending() & {signal.SIGTERM, signal.SIGINT}:
            return False
        time.sleep(START_RETRY_INTERVAL_S)
        try:
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind(address)
        except OSError:
            continue
        return True
    return True


if __name__ == "__main__":
    sys.exit(main())

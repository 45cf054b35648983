"""What a failed system call on a socket means: the connection is gone, or it may go on.

From the manual pages accept(2), recv(2), send(2), tcp(7) and ip(7). A call may fail for want of memory or
descriptors, or report a network error that was pending and is gone with it. The connection may still stand,
with requests on it that are owed an answer. So the call is repeated after a backoff that grows. A connection
that stays broken shows it by an end of the stream or by failing more than MAX_FAILURES_IN_A_ROW times.
"""

from __future__ import annotations

import errno

MAX_FAILURES_IN_A_ROW = 30  # six seconds with the backoffs, longer than any deadline
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.002, 0.25  # doubling

CONNECTION_GONE = frozenset(
    {
        errno.EBADF,
        errno.ENOTSOCK,
        errno.ENOTCONN,
        errno.EPIPE,
        errno.ESHUTDOWN,
        errno.ECONNRESET,
        errno.ECONNABORTED,
    }
)
# accept(2): this connection had failed already, which means nothing for the next one.
ACCEPTED_ONE_FAILED = frozenset(
    {
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EINTR,
        errno.EPERM,
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENONET,
        errno.ETIMEDOUT,
    }
)
NO_DESCRIPTOR = frozenset({errno.EMFILE, errno.ENFILE})
# At start-up: another attempt a little later may succeed.
START_AGAIN = NO_DESCRIPTOR | frozenset(
    {
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EINTR,
        errno.EIO,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EHOSTUNREACH,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ETIMEDOUT,
    }
)


def backoff_after(failures: int) -> float:
    """Return the backoff in seconds after so many failures in a row (1 or more)."""
    return min(INITIAL_BACKOFF_S * 2.0 ** (failures - 1), MAX_BACKOFF_S)


class FailureCount:
    """Counts the failures in a row of one direction of a connection."""

    def __init__(self) -> None:
        self.in_a_row = 0

    def clear(self) -> None:
        """Note a success."""
        self.in_a_row = 0

    def is_final(self, error: OSError) -> bool:
        """Note a failure. Returns whether the connection has to be given up for it."""
        self.in_a_row += 1
        return error.errno in CONNECTION_GONE or self.in_a_row > MAX_FAILURES_IN_A_ROW

    @property
    def backoff_s(self) -> float:
        """How long to wait before the next attempt; 0 after a success."""
        return backoff_after(self.in_a_row) if self.in_a_row else 0.0

"""Classifies errors of system calls on sockets: either the connection is lost, or the call can be repeated.

Source: the manual pages accept(2), recv(2), send(2), tcp(7) and ip(7). A call may fail for lack of memory or
descriptors, or report a pending network error, which is cleared thereby. The connection may still work, with
open requests on it, so the call is repeated with exponential backoff. A connection counts as lost at the end
of the stream, or after more than MAX_FAILURES_IN_A_ROW failures.
"""

from __future__ import annotations

import errno

MAX_FAILURES_IN_A_ROW = 30  # six seconds with the backoffs, longer than any deadline
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.002, 0.25  # doubles with each failure in a row

CONNECTION_LOST_ERRORS = frozenset(
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
# accept(2): this connection failed before it was accepted; the next one may be accepted.
FAILED_BEFORE_ACCEPT_ERRORS = frozenset(
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
NO_DESCRIPTOR_ERRORS = frozenset({errno.EMFILE, errno.ENFILE})
# Errors at start-up after which a later attempt may succeed.
RETRYABLE_STARTUP_ERRORS = NO_DESCRIPTOR_ERRORS | frozenset(
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
    """Return the backoff in seconds after a number of failures in a row (1 or more)."""
    return min(INITIAL_BACKOFF_S * 2.0 ** (failures - 1), MAX_BACKOFF_S)


class FailureCount:
    """Counts the failures in a row of one direction of a connection."""

    def __init__(self) -> None:
        self.in_a_row = 0

    def clear(self) -> None:
        """Reset the count after a success."""
        self.in_a_row = 0

    def is_final(self, error: OSError) -> bool:
        """Count a failure. Returns whether the connection has to be closed."""
        self.in_a_row += 1
        return error.errno in CONNECTION_LOST_ERRORS or self.in_a_row > MAX_FAILURES_IN_A_ROW

    @property
    def backoff_s(self) -> float:
        """The time in seconds to wait before the next attempt; 0 after a success."""
        return backoff_after(self.in_a_row) if self.in_a_row else 0.0

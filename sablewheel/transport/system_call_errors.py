"""What a failed system call on a socket means: the connection is gone, or it may go on.

From the manual pages accept(2), recv(2), send(2), tcp(7) and ip(7). A call may fail for want of memory or
descriptors, or pass on a network error that was pending and is gone with it. The connection may stand all the
same, with requests on it that are owed an answer: so the call is tried again after a rest that grows, and one
that stays broken shows it by an end of the stream or by failing FAILURES_MOST times in a row.
"""

from __future__ import annotations

import errno

FAILURES_MOST = 30  # in a row; with the rests between them six seconds, longer than any deadline
FIRST_REST, LONGEST_REST = 0.002, 0.25  # seconds, doubling

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
# accept(2): the connection that was taken had failed already; it says nothing of the next one.
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
# At start-up: what another try a little later may not meet.
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


def rest_after(failures: int) -> float:
    """How long to rest, in seconds, after so many failures in a row (1 or more)."""
    return min(FIRST_REST * 2.0 ** (failures - 1), LONGEST_REST)


class Failures:
    """The failures in a row of one direction of a connection."""

    def __init__(self) -> None:
        self.in_a_row = 0

    def clear(self) -> None:
        self.in_a_row = 0

    def is_final(self, error: OSError) -> bool:
        """Note a failure; whether the connection is given up for it."""
        self.in_a_row += 1
        return error.errno in CONNECTION_GONE or self.in_a_row > FAILURES_MOST

    @property
    def rest(self) -> float:
        """Seconds to rest before the next try, 0 after a success."""
        return rest_after(self.in_a_row) if self.in_a_row else 0.0

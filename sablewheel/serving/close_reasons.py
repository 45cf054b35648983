"""Reasons for failed requests and closed connections, for the log and the counters.

`interface.RejectionReason` has the reasons for rejections, since the controller chooses those.
"""

from __future__ import annotations

import logging
from enum import Enum


class FailureReason(Enum):
    """Why a request's final answer is an error."""

    REPEATED_ID = "repeated_id"  # another request with this id is open, or ran recently
    OTHER_CONTENT = "other_content"  # its idempotency key was received with another body or class
    TOO_OLD = "too_old"  # an earlier run with its idempotency key may have been removed
    NOT_STARTED = "not_started"  # the interpreter was not running before the deadline
    RUN_FAILED = "run_failed"  # the interpreter reported an error
    NO_RESULT = "no_result"  # neither its run nor its original returned a result
    GIVEN_UP = "given_up"  # its deadline passed, or its run was cancelled
    STOPPING = "stopping"  # the process stops while its run continues
    FAULT = "fault"  # an internal error
    NO_MEMORY = "no_memory"  # a repeat of a request that may have run, while connections have no memory left


class CloseReason(Enum):
    """Why this server closes a client's connection, or asks the client to close it."""

    FAULT = "fault"
    PEER_ENDED = "peer_ended"  # the peer closed its side, and no request is open
    GARBLED = "garbled"  # the data does not follow the protocol
    BROKEN = "broken"  # a write failed
    ANSWERED = "answered"  # all answers are sent on a connection that accepts no more requests
    CROWDED_OUT = "crowded_out"  # evicted, as the connection table is full
    TOO_MANY_UNUSED = "too_many_unused"
    UNUSED = "unused"
    DRAINING = "draining"
    STOPPING = "stopping"
    LINGERED = "lingered"  # shut down for writing, but the peer kept its side open
    STUCK = "stuck"  # the peer does not read its answers
    MEMORY = "memory"  # it holds most of the answers that peers do not read, and they need too much memory
    UNFINISHED = "unfinished"  # a frame was not completed in time
    LEFT_OPEN = "left_open"  # the close was announced, but the client kept the connection open


def log_reason(log: logging.Logger, event: str, reason: Enum, **pairs: object) -> None:
    """Log an event with its reason at level debug."""
    if log.isEnabledFor(logging.DEBUG):
        log.debug(event, extra={"pairs": {"reason": reason.value, **pairs}})

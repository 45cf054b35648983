"""Why a request failed and why a connection ended, for the log and the counters.

`interface.RejectionReason` has the reasons of rejections, since the controller chooses those.
"""

from __future__ import annotations

import logging
from enum import Enum


class FailureReason(Enum):
    """Why a request's final answer is an error."""

    REPEATED_ID = "repeated_id"  # another request of this id is open, or ran recently
    OTHER_CONTENT = "other_content"  # its idempotency key was received with another body or class
    TOO_OLD = "too_old"  # a run of its idempotency key may be forgotten by now
    NOT_STARTED = "not_started"  # the interpreter was not up before its deadline
    RUN_FAILED = "run_failed"  # reported by the interpreter
    NO_RESULT = "no_result"  # neither its run nor its original gave one
    GIVEN_UP = "given_up"  # its deadline passed, or its run was cancelled
    STOPPING = "stopping"  # the process ends while its run goes on
    FAULT = "fault"  # an internal error


class CloseReason(Enum):
    """Why this server closes a client's connection, or asks the client to close it."""

    FAULT = "fault"
    PEER_ENDED = "peer_ended"  # the peer closed its side, and nothing is owed
    GARBLED = "garbled"  # the data is not of the protocol
    BROKEN = "broken"  # a write failed
    ANSWERED = "answered"  # all that was owed on a finished connection is sent
    CROWDED_OUT = "crowded_out"  # the table is full
    TOO_MANY_UNUSED = "too_many_unused"
    UNUSED = "unused"
    DRAINING = "draining"
    STOPPING = "stopping"
    LINGERED = "lingered"  # shut down, and the peer kept its side open
    STUCK = "stuck"  # the peer takes nothing of what it is owed
    UNFINISHED = "unfinished"  # a frame did not end in its time
    LEFT_OPEN = "left_open"  # the close was announced, and the client kept it open


def log_reason(log: logging.Logger, event: str, reason: Enum, **pairs: object) -> None:
    """Log an event with its reason at level debug."""
    if log.isEnabledFor(logging.DEBUG):
        log.debug(event, extra={"pairs": {"reason": reason.value, **pairs}})

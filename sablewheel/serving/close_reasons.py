"""Why a request failed and why a connection ended, for the log and the counters.

Refusals have their reasons in `interface.Rejection`, since the decision module chooses those.
"""

from __future__ import annotations

import logging
from enum import Enum


class FailureReason(Enum):
    """Why a request's final answer is an error."""

    REPEATED_ID = "repeated_id"  # another request of this id is open, or was run lately
    OTHER_CONTENT = "other_content"  # its key came with another body or class
    TOO_OLD = "too_old"  # a run of the same key may be forgotten by now
    NOT_STARTED = "not_started"  # the interpreter was not up in its time
    RUN_FAILED = "run_failed"  # the interpreter said so
    NO_RESULT = "no_result"  # its run, or that which it repeats, gave none
    GIVEN_UP = "given_up"  # its time was up, or its run was stopped
    STOPPING = "stopping"  # the process ends while its run goes on
    FAULT = "fault"  # a fault of ours


class CloseReason(Enum):
    """Why this server ends a connection of a router, or asks it to end it."""

    FAULT = "fault"
    PEER_ENDED = "peer_ended"  # the peer closed its side, and nothing is owed on it
    GARBLED = "garbled"  # what came can't be read
    BROKEN = "broken"  # a write failed
    ANSWERED = "answered"  # all that was owed on a finished connection is sent
    CROWDED_OUT = "crowded_out"  # the table is full
    TOO_MANY_UNUSED = "too_many_unused"
    UNUSED = "unused"
    DRAINING = "draining"
    STOPPING = "stopping"
    LINGERED = "lingered"  # shut, and the peer kept its side open
    STUCK = "stuck"  # the peer takes nothing of what it is owed
    UNFINISHED = "unfinished"  # a frame did not end in its time
    LEFT_OPEN = "left_open"  # asked to go, and still there


def log_reason(log: logging.Logger, event: str, reason: Enum, **pairs: object) -> None:
    """A line at level debug, at no cost worth naming while that level is off."""
    if log.isEnabledFor(logging.DEBUG):
        log.debug(event, extra={"pairs": {"reason": reason.value, **pairs}})

"""Errors raised when a frame cannot be sent to a peer."""

from __future__ import annotations


class SendError(Exception):
    """A frame could not be queued for a peer; none of its bytes were sent."""


class PeerUnknownError(SendError):
    """The peer or this member is not in the agreed view."""


class PeerUnavailableError(SendError):
    """The last connection attempt failed, and the next one is not due yet."""


class FrameTooLargeError(SendError):
    """The frame is larger than `max_frame_bytes`."""


class SendQueueFullError(SendError):
    """The peer's queue has reached its limit of frames or bytes."""

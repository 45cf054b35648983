"""Errors of sending a frame to a peer."""

from __future__ import annotations


class SendError(Exception):
    """A frame cannot be queued for a peer; none of its bytes were sent."""


class PeerUnknownError(SendError):
    """The peer is not in the agreed view, or this member is not."""


class PeerUnavailableError(SendError):
    """The peer could not be reached, and the next attempt to connect is not due yet."""


class FrameTooLargeError(SendError):
    """The frame is larger than `max_frame_bytes`."""


class SendQueueFullError(SendError):
    """The peer's queue holds as many frames or bytes as it may."""

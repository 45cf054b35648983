"""A tool's question to a running server, over TCP; blocking, for commands and trials, not for the server."""

from __future__ import annotations

import socket

from . import codec
from .messages import Envelope, Message, StatusReply, StatusRequest


def query_status(address: tuple[str, int], within: float) -> tuple[str, StatusReply]:
    """Who answered, and what; raises OSError or BadPacketError."""
    with socket.create_connection(address, within) as peer:
        peer.settimeout(within)
        peer.sendall(codec.frame(Message(Envelope("members", 0), StatusRequest())))
        with peer.makefile("rb") as answer:
            head = answer.read(4)
            if len(head) < 4:
                raise codec.BadPacketError("the connection closed before the answer")
            message = codec.decode(answer.read(codec.frame_length(head)), codec.MAX_FRAME_BYTES)
    if not isinstance(message.body, StatusReply):
        raise codec.BadPacketError(f"{type(message.body).__name__} instead of an answer")
    return message.envelope.sender, message.body

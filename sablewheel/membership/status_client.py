"""A blocking client that asks a running server for its membership status, for commands and experiments."""

from __future__ import annotations

import socket

from . import codec
from .messages import Envelope, Message, StatusReply, StatusRequest
from .plan import Address

CLIENT_NAME = "members"


def query_status(address: Address, timeout_s: float) -> tuple[str, StatusReply]:
    """Return the name of the member at an address and its status.

    Raises:
        OSError: The server cannot be reached or does not answer in time.
        BadPacketError: The answer is not a status reply.
    """
    with socket.create_connection(address, timeout_s) as connection:
        connection.settimeout(timeout_s)
        request = Message(Envelope(CLIENT_NAME, 0), StatusRequest())
        connection.sendall(codec.encode_frame(request))
        with connection.makefile("rb") as answer:
            header = answer.read(codec.FRAME_LENGTH.size)
            if len(header) < codec.FRAME_LENGTH.size:
                raise codec.BadPacketError("connection closed before the status reply")
            message = codec.decode(answer.read(codec.frame_length(header)), codec.MAX_FRAME_BYTES)
    if not isinstance(message.body, StatusReply):
        raise codec.BadPacketError(f"received {type(message.body).__name__} instead of a status reply")
    return message.envelope.sender, message.body

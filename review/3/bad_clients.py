"""Bad clients: each connects, sends a message with no end at full speed, and reads whatever is sent to it.

bad_clients.py PORT COUNT SECONDS
"""

from __future__ import annotations

import contextlib
import selectors
import socket
import sys
import time

HEAD = b"*16\r\n$8\r\nRPC.CALL\r\n"
WORD = b"$65000\r\n" + b"x" * 65000 + b"\r\n"  # one word of a message that goes on and on
MOST_BYTES = 60_000_000


class BadClient:
    """One connection; its message ends only with the connection or at 60 MB."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=5.0)
        self.sock.setblocking(False)
        self._unsent, self._sent = HEAD, 0

    def send(self) -> bool:
        """Send what the system takes now; return False at the end of the message."""
        with contextlib.suppress(BlockingIOError):
            sent = self.sock.send(self._unsent)
            self._sent += sent
            self._unsent = self._unsent[sent:] or WORD
        return self._sent < MOST_BYTES

    def read(self) -> bool:
        """Read what came; return False at the end of the connection."""
        with contextlib.suppress(BlockingIOError):
            return bool(self.sock.recv(1 << 16))
        return True


def main(port: int, count: int, seconds: float) -> None:
    """Connect all clients, and have them send until the server has closed all connections."""
    selector, until = selectors.DefaultSelector(), time.monotonic() + seconds
    for _ in range(count):
        with contextlib.suppress(OSError):
            client = BadClient(port)
            selector.register(client.sock, selectors.EVENT_READ | selectors.EVENT_WRITE, client)
    while selector.get_map() and time.monotonic() < until:
        for key, events in selector.select(0.1):
            client = key.data
            try:
                open_still = client.read() if events & selectors.EVENT_READ else True
                if open_still and events & selectors.EVENT_WRITE and not client.send():
                    selector.modify(client.sock, selectors.EVENT_READ, client)
            except OSError:
                open_still = False
            if not open_still:
                selector.unregister(client.sock)
                client.sock.close()


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]))

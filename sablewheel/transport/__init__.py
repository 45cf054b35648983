"""An event loop of greenlets over select.poll, with streams and datagram sockets on it."""

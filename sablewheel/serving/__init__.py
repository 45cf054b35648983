"""The path of a request: connection, exchange, controller, interpreter, answer."""

"""The path of a request: a router's connection, the exchange, the decision, the interpreter, the answer."""

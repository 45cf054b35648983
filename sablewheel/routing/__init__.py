"""The path of a ticket: a router's connection, the exchange, the decision, the interpreter, the answer."""

"""The forward path: a request, or anything else, to a peer of the fleet; imported only if it is on."""

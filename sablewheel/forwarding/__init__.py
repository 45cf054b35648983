"""The forward path: a ticket, or anything else, to a peer of the fleet; imported only if it is on."""

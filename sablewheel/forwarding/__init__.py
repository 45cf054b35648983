"""Connections between the servers of a fleet and request forwarding; imported only if the feature is on."""

"""Session affinity: session keys, bindings, placement, and migration for defined causes only."""

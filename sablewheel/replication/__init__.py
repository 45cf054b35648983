"""Replicated claims, outcomes and session bindings; each key is a CASPaxos register on a few members."""

"""Replicated claims, outcomes and session bindings, each key a CASPaxos register on a few members."""

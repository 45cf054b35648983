"""Placement of sessions on servers by rendezvous hashing with bounded loads. Performs no I/O.

Each key ranks the servers by weighted rendezvous hashing, and the session goes to the first server below its
load bound (Mirrokni, Thorup, Zadimoghaddam 2018: no bin exceeds c times its fair share, and few balls move as
bins are added and removed). A server's share follows its capacity and warmth, so a server that was just
restarted has a low bound.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass


@dataclass(frozen=True)
class ServerLoad:
    """A load report of one server."""

    sessions: int = 0
    warmth: float = 1.0  # from 0 (just started) to 1 (warm)
    capacity: float = 1.0  # in a unit that all servers use; 0 while the server is leaving

    @property
    def weight(self) -> float:
        """The server's weight in the placement."""
        return self.capacity * self.warmth


def load_bounds(
    loads: Mapping[str, ServerLoad], servers: Collection[str], load_factor: float, min_bound: int
) -> dict[str, int]:
    """Return the maximum number of sessions of each server: `load_factor` times its fair share.

    The sum of the bounds exceeds the number of all sessions, including the one being placed, so there is
    always a server below its bound.

    Args:
        loads: The load reports; a server without a report counts as warm and without sessions.
        servers: The servers that can take the session.
        load_factor: The bound as a multiple of the fair share; above 1.
        min_bound: The lowest bound of a server with the mean weight, since a fair share of few sessions means
            little.
    """
    load_by_server = {name: loads.get(name, ServerLoad()) for name in sorted(servers)}
    total_weight = sum(load.weight for load in load_by_server.values())
    if total_weight <= 0:
        return dict.fromkeys(load_by_server, 0)
    total_sessions = sum(load.sessions for load in load_by_server.values()) + 1
    mean_weight = total_weight / len(load_by_server)
    return {
        name: max(
            math.ceil(load_factor * total_sessions * load.weight / total_weight),
            int(min_bound * load.weight / mean_weight),
        )
        for name, load in load_by_server.items()
    }


def rank_for_new_session(key: str, loads: Mapping[str, ServerLoad], bounds: Mapping[str, int]) -> list[str]:
    """Return the servers below their bounds for a new session, the best one first."""
    weights = {name: loads.get(name, ServerLoad()).weight for name in bounds}
    ranked = _rank(key, weights)
    return [name for name in ranked if loads.get(name, ServerLoad()).sessions < bounds[name]]


def rank_for_migration(key: str, loads: Mapping[str, ServerLoad], bounds: Mapping[str, int]) -> list[str]:
    """Return the servers below their bounds for a migrating session, the best one first.

    Each server is weighted by the number of sessions left below its bound, so that servers which migrate many
    sessions by the same load reports spread them and do not overload the least loaded server.
    """
    free_slots = {
        name: float(bound - loads.get(name, ServerLoad()).sessions) for name, bound in bounds.items()
    }
    return _rank(key, free_slots)


def turn_fraction(key: str) -> float:
    """Return a number in (0, 1) that depends on the key alone: its position among the turns."""
    return _uniform(key, "turn")


def _rank(key: str, weights: Mapping[str, float]) -> list[str]:
    """Rank servers by weighted rendezvous hashing: each is first in proportion to its weight."""
    scores = {name: -math.log(_uniform(key, name)) / weight for name, weight in weights.items() if weight > 0}
    return sorted(scores, key=lambda name: (scores[name], name))


def _uniform(key: str, name: str) -> float:
    """Return a number in (0, 1) for a key and a name."""
    digest = hashlib.blake2b(f"{key}|{name}".encode(), digest_size=8).digest()
    return (int.from_bytes(digest, "big") + 1) / (2**64 + 2)

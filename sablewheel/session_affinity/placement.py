"""Which server a session begins on or moves to: bounded loads on rendezvous hashing. Pure.

Each key orders the servers by weighted rendezvous hashing; it goes to the first that is below its bound
(Mirrokni, Thorup, Zadimoghaddam 2018: no bin above c times its fair share, and few balls move as bins come
and go). A server's share is by capacity and warmth: one that came back cold is bound to little.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass


@dataclass(frozen=True)
class ServerLoad:
    """What is known of one server. `warmth`: 0 just started to 1 warm; `capacity` in any one unit."""

    sessions: int = 0
    warmth: float = 1.0
    capacity: float = 1.0

    @property
    def weight(self) -> float:
        return self.capacity * self.warmth


def bounds(
    loads: Mapping[str, ServerLoad], able: Collection[str], factor: float, least: int
) -> dict[str, int]:
    """The most sessions for each of `able`: `factor` times its fair share, one more on the way counted.

    `least` is the floor for a warm server with the mean weight: with few sessions a fair share is too small
    to mean something. The bounds add up to more than all sessions, so there is always room below one.
    """
    known = {name: loads.get(name, ServerLoad()) for name in sorted(able)}
    weights = sum(one.weight for one in known.values())
    if weights <= 0:
        return dict.fromkeys(known, 0)
    all_sessions = sum(one.sessions for one in known.values()) + 1
    mean = weights / len(known)
    return {
        name: max(math.ceil(factor * all_sessions * one.weight / weights), int(least * one.weight / mean))
        for name, one in known.items()
    }


def _draw(key: str, name: str) -> float:
    """A number in (0, 1) that is this key's for this server."""
    mark = hashlib.blake2b(f"{key}|{name}".encode(), digest_size=8).digest()
    return (int.from_bytes(mark, "big") + 1) / (2**64 + 2)


def _order(key: str, weights: Mapping[str, float]) -> list[str]:
    """Weighted rendezvous: the chance to be first is in proportion to the weight, and stays as others go."""
    marks = {name: -math.log(_draw(key, name)) / weight for name, weight in weights.items() if weight > 0}
    return sorted(marks, key=lambda name: (marks[name], name))


def begin_on(key: str, loads: Mapping[str, ServerLoad], most: Mapping[str, int]) -> list[str]:
    """Where a new session goes, best first: in the key's order, who is below its bound."""
    weights = {name: loads.get(name, ServerLoad()).weight for name in most}
    return [one for one in _order(key, weights) if loads.get(one, ServerLoad()).sessions < most[one]]


def move_to(key: str, loads: Mapping[str, ServerLoad], most: Mapping[str, int]) -> list[str]:
    """Where a moved session goes, best first: the weights are the room below the bounds.

    The least loaded get the most, in proportion: many movers that know the same loads do not bury one.
    """
    room = {name: float(bound - loads.get(name, ServerLoad()).sessions) for name, bound in most.items()}
    return _order(key, room)


def spread(key: str) -> float:
    """A number in (0, 1) that is this key's alone: its turn among many."""
    return _draw(key, "turn")

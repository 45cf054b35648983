"""A session's binding: who owns it, under which policy version, at which number. Pure values.

The number only grows; of two bindings of one session the one with the higher number holds. Each change is a
compare-and-set on the number, so there are never two bindings with one number that differ.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum


class BindingState(Enum):
    """HELD: its owner serves it. PASSING: its owner takes no more keyed work and hands it to the successor.
    ENDED: nobody's; the next request begins a new session above this number."""

    OWNED = "held"
    HANDING_OVER = "passing"
    ENDED = "ended"


class MigrationCause(Enum):
    """Why a session was moved or brought to another version; each is counted apart. There is no other."""

    IDLE = "idle"  # it ended, idle longer than set; the next request begins a new one
    RETIRED = "retired"  # its version is kept no longer
    MANDATORY = "mandatory"  # a change that is marked so
    DRAIN = "drain"  # its owner leaves
    REMOVED = "removed"  # its owner was taken out of the view, or came back as another self
    INCAPABLE = "incapable"  # its owner can no longer run what the flow requires


@dataclass(frozen=True)
class Binding:
    """One entry of the collection `sessions`. `incarnation`: the owner's, so that a restart is another."""

    key: str
    fencing_number: int
    owner: str
    incarnation: int
    policy_version: int
    state: BindingState = BindingState.OWNED
    successor: str = ""  # while it is passing

    def handing_over_to(self, successor: str) -> Binding:
        return replace(
            self, fencing_number=self.fencing_number + 1, state=BindingState.HANDING_OVER, successor=successor
        )

    def owned_by(self, owner: str, incarnation: int, version: int) -> Binding:
        """As the next owner holds it, or the same owner under another version."""
        return Binding(self.key, self.fencing_number + 1, owner, incarnation, version)

    def ended(self) -> Binding:
        return replace(self, fencing_number=self.fencing_number + 1, state=BindingState.ENDED, successor="")


def newer(one: Binding | None, other: Binding | None) -> Binding | None:
    """The one that holds; the first where the numbers are equal."""
    if one is None or other is None:
        return one or other
    return other if other.fencing_number > one.fencing_number else one

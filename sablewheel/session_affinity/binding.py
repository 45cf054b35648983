"""A session's binding: its owner, its policy version and its fencing number. Immutable values.

The fencing number only grows; of two bindings of one session the one with the higher number is valid. Each
change is a compare-and-set on the number, so two bindings with the same number never differ.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum


class BindingState(Enum):
    """The ownership state of a session; the values are stored in the register."""

    OWNED = "held"  # the owner serves the session
    HANDING_OVER = "passing"  # the owner accepts no more keyed requests and hands over to the successor
    ENDED = "ended"  # no owner; the next request begins a new session with a higher number


class MigrationCause(Enum):
    """Why a session migrated or changed its policy version; each cause is counted separately."""

    IDLE = "idle"  # the session exceeded the idle timeout and ended; the next request begins a new one
    RETIRED = "retired"  # the session's policy version is no longer retained
    MANDATORY = "mandatory"  # a policy change is marked as mandatory
    DRAIN = "drain"  # the owner is leaving
    REMOVED = "removed"  # the owner was removed from the view, or rejoined in another incarnation
    INCAPABLE = "incapable"  # the owner can no longer run a flow of the session


@dataclass(frozen=True)
class Binding:
    """An entry of the register's collection `sessions`."""

    key: str
    fencing_number: int
    owner: str
    incarnation: int  # the owner's incarnation: a restarted owner counts as another one
    policy_version: int
    state: BindingState = BindingState.OWNED
    successor: str = ""  # the server that takes the session over; empty without a handover

    def handing_over_to(self, successor: str) -> Binding:
        """Return the owner's next binding, which names its successor."""
        return replace(
            self,
            fencing_number=self.fencing_number + 1,
            state=BindingState.HANDING_OVER,
            successor=successor,
        )

    def owned_by(self, owner: str, incarnation: int, policy_version: int) -> Binding:
        """Return the next binding, of another owner or of the same one renewed or under another version."""
        return Binding(self.key, self.fencing_number + 1, owner, incarnation, policy_version)

    def ended(self) -> Binding:
        """Return the binding that ends the session."""
        return replace(self, fencing_number=self.fencing_number + 1, state=BindingState.ENDED, successor="")


def newer(first: Binding | None, second: Binding | None) -> Binding | None:
    """Return the binding with the higher fencing number, the first one if they are equal."""
    if first is None or second is None:
        return first or second
    return second if second.fencing_number > first.fencing_number else first

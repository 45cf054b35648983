"""A session's binding: its owner, its policy version and its fencing number. Pure values.

The fencing number only grows; of two bindings of one session the one with the higher number holds. Each
change is a compare-and-set on the number, so two bindings with one number never differ.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum


class BindingState(Enum):
    """What the owner does with the session; the values are stored in the register."""

    OWNED = "held"  # the owner serves it
    HANDING_OVER = "passing"  # the owner takes no more keyed work and hands it to the successor
    ENDED = "ended"  # it has no owner; the next request begins a new session above this number


class MigrationCause(Enum):
    """Why a session migrated or changed its policy version; each is counted on its own. There is no other."""

    IDLE = "idle"  # it ended, idle for longer than set; the next request begins a new one
    RETIRED = "retired"  # its policy version is not retained any more
    MANDATORY = "mandatory"  # a policy change that is marked as mandatory
    DRAIN = "drain"  # its owner leaves
    REMOVED = "removed"  # its owner was removed from the view, or came back in another incarnation
    INCAPABLE = "incapable"  # its owner can no longer run what the flow requires


@dataclass(frozen=True)
class Binding:
    """One entry of the register's collection `sessions`."""

    key: str
    fencing_number: int
    owner: str
    incarnation: int  # of the owner, so that a restarted owner is another one
    policy_version: int
    state: BindingState = BindingState.OWNED
    successor: str = ""  # while it is being handed over

    def handing_over_to(self, successor: str) -> Binding:
        """Return the owner's next binding, which names its successor."""
        return replace(
            self,
            fencing_number=self.fencing_number + 1,
            state=BindingState.HANDING_OVER,
            successor=successor,
        )

    def owned_by(self, owner: str, incarnation: int, policy_version: int) -> Binding:
        """Return the next binding: of another owner, or of the same one renewed or under another version."""
        return Binding(self.key, self.fencing_number + 1, owner, incarnation, policy_version)

    def ended(self) -> Binding:
        """Return the binding that ends the session."""
        return replace(self, fencing_number=self.fencing_number + 1, state=BindingState.ENDED, successor="")


def newer(first: Binding | None, second: Binding | None) -> Binding | None:
    """Return the binding with the higher fencing number, the first one if they are equal."""
    if first is None or second is None:
        return first or second
    return second if second.fencing_number > first.fencing_number else first

"""The owner lookups in progress and their table. Performs no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from math import inf

from .binding import Binding, MigrationCause
from .context import SessionContext
from .events import RequestArrived
from .messages import MAX_FLOWS, OfferReply, TakeOwnership


class LookupStage(Enum):
    """The event that a lookup waits for."""

    READING = auto()  # the register's answer to a read
    AWAITING_CLAIM_EXPIRY = auto()  # the expiry of the removed owner's claims, whose runs may still begin
    AWAITING_OFFER_REPLY = auto()
    WRITING = auto()  # the register's answer to the write of this server's binding


@dataclass(slots=True)
class Lookup:
    """A session whose owner is being looked up, or that this server is about to take."""

    key: str
    deadline: float  # when the waiting requests are decided without an owner
    waiting_requests: list[RequestArrived] = field(default_factory=list)
    flows: set[str] = field(default_factory=set)
    stage: LookupStage = LookupStage.READING
    pending_ref: int = 0  # the reference of the pending query or offer; 0 if none
    timer_at: float = inf
    offered_by: tuple[str, int] | None = None  # the server that offered the session here, and its offer ID
    register_answered_at: float = -inf
    handover: TakeOwnership | None = None  # the owner's permission to take the session
    stored_binding: Binding | None = None
    cause: MigrationCause | None = None
    pending_binding: Binding | None = None  # the binding that is being written
    write_started_at: float = -inf
    offered_to: str = ""
    declined_by: set[str] = field(default_factory=set)
    forced: bool = False  # whether the load bound is ignored, since no server is below its bound
    has_budget_token: bool = False

    def add_flow(self, flow: str) -> None:
        """Retain the flow of a request, up to `MAX_FLOWS`."""
        if len(self.flows) < MAX_FLOWS:
            self.flows.add(flow)


class LookupTable:
    """All lookups by session key.

    Invariant: `writing_count` is the number of lookups in the stage WRITING, each of which is about to become
    an owned session; so the stage must be changed only through `set_stage`.
    """

    def __init__(self, context: SessionContext) -> None:
        """Start without lookups."""
        self._context = context
        self._lookups: dict[str, Lookup] = {}
        self.writing_count = 0

    @property
    def lookups(self) -> dict[str, Lookup]:
        """All lookups by session key, the oldest first."""
        return self._lookups

    @property
    def is_full(self) -> bool:
        """Whether no further lookup may start."""
        return len(self._lookups) >= self._context.settings.max_lookups

    def get(self, key: str) -> Lookup | None:
        """Return the lookup of a session, None if there is none."""
        return self._lookups.get(key)

    def start(self, now: float, key: str) -> Lookup:
        """Start a lookup with its deadline; the caller takes its first step."""
        lookup = self._lookups[key] = Lookup(key, now + self._context.settings.binding_timeout_s)
        self.set_timer(lookup, lookup.deadline)
        return lookup

    def set_timer(self, lookup: Lookup, at: float) -> None:
        """Set the lookup's timer, which replaces an earlier setting."""
        lookup.timer_at = at
        self._context.timers.set(lookup.key, at)

    def set_stage(self, lookup: Lookup, stage: LookupStage) -> None:
        """Move a lookup to another stage."""
        self.writing_count += (stage is LookupStage.WRITING) - (lookup.stage is LookupStage.WRITING)
        lookup.stage = stage

    def finish(self, lookup: Lookup) -> None:
        """Remove a lookup; an answer to its pending query is ignored."""
        if self._lookups.get(lookup.key) is lookup:
            del self._lookups[lookup.key]
        self.set_stage(lookup, LookupStage.READING)
        self._context.outbox.close_query(lookup.pending_ref)

    def reply(self, lookup: Lookup, binding: Binding | None, *, has_no_capacity: bool = False) -> None:
        """Reply to the server that offered the session to this one, if any did."""
        if lookup.offered_by is not None:
            name, offer_id = lookup.offered_by
            self._context.outbox.send(name, OfferReply(lookup.key, offer_id, has_no_capacity, binding))

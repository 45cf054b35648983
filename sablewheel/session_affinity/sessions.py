"""The sessions of one server: who serves a request, and how a session passes from owner to owner. Pure.

What holds, and how:
- Only who takes a session writes itself into its binding, by a compare-and-set on the number; so one number
  has one owner. An owner claims idempotency keys under its number, and a holder refuses a claim below the
  binding's.
- A live owner gives a session away in three steps: it takes no more keyed work and writes `passing`, waits
  until its keyed runs end or pass on as claims (their idempotency keys stay claimed, nobody runs them again),
  and only then tells the successor to take it. Until that, nobody else may take from an owner that is in the
  view.
- An owner that is out of the view, or back as another self, is succeeded, `claim_within` after the register
  was read at the new epoch. If it was only paused or cut off, its later claims are refused, by epoch and by
  number; one that was won before begins within `claim_within` of its asking or is freed (`may_begin`). So all
  that it began it began before its successor, and that goes on as the claim that it is. This rests on clocks
  that run at one rate, not on clocks that agree; that an idempotency key runs once rests on no clock.
- A new policy version moves nothing. Each change of a binding has a `Cause`, and moves have a budget.

Bounds: `Settings` names them all. A session that is forgotten for lack of room is not lost: its binding stays
in the register and is read again with its next request. Idle idempotent sessions are forgotten first, one
with keyed work open never.
"""

from __future__ import annotations

import heapq
from collections import Counter, OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum, auto
from math import inf

from ..membership.view import View
from .binding import Binding, BindingState, MigrationCause, newer
from .budget import MigrationBudget
from .events import (
    BindingNotice,
    ClaimRefused,
    DecisionReason,
    DrainStarted,
    Effect,
    Event,
    ForwardToOwner,
    LoadsReported,
    LogEvent,
    Message,
    MessageReceived,
    OfferReply,
    OwnerFenced,
    OwnershipOffer,
    OwnerUnreachable,
    PolicyActivated,
    ReadBinding,
    RegisterAnswered,
    RegisterVerdict,
    RejectRequest,
    RequestArrived,
    RequestFinished,
    RequestReturned,
    ReturnToForwarder,
    SendMessage,
    ServeLocally,
    TakeDeclined,
    TakeOwnership,
    TimerFired,
    ViewChanged,
    WriteBinding,
)
from .placement import ServerLoad, begin_on, bounds, move_to, spread
from .plan import AffinitySettings

FLOWS_MOST = 16  # flows remembered of one session: what its next owner must be able to run
EVICT_SCAN = 64  # the longest unused sessions that are looked through for one to forget
EPOCH_SHIFT = 20  # who takes a session does so above all numbers of earlier epochs, known or lost


class OwnershipPhase(Enum):
    """Where a session stands with its owner."""

    SERVING = auto()
    RENEWING = auto()  # still served; the same owner's next binding is being written
    MARKING_HANDOVER = auto()  # no more keyed work; `passing` is being written
    FINISHING_RUNS = auto()  # written; its keyed runs are under way
    AWAITING_SUCCESSOR = auto()  # none is, or they passed on as claims; the successor is told


@dataclass(slots=True)
class OwnedSession:
    """A session that this server owns. `first`: the number at which it took it; all since are its own."""

    binding: Binding
    first_fencing_number: int
    last_used_at: float
    renewed_at: float  # when that was asked for: its life in the register ends no sooner than one after it
    flows: set[str] = field(default_factory=set)
    open_refs: set[int] = field(
        default_factory=set
    )  # keyed and non-idempotent requests that run here, or may
    has_keyed_work: bool = False  # whether it ever brought one
    phase: OwnershipPhase = OwnershipPhase.SERVING
    waiting_requests: list[RequestArrived] = field(default_factory=list)
    waiting_deadline: float = inf
    cause: MigrationCause | None = None
    phase_since: float = 0.0  # of this phase
    timer_at: float = inf
    pending_ref: int = 0
    pending_binding: Binding | None = None  # what is being written
    write_started_at: float = 0.0  # since when it is
    declined_by: set[str] = field(default_factory=set)  # heirs that declined
    queued_cause: MigrationCause | None = None  # it is queued for this


class LookupStage(Enum):
    READING = auto()
    AWAITING_CLAIM_EXPIRY = auto()  # a claim that its owner, who is gone, won before may still begin
    AWAITING_OFFER_REPLY = auto()
    WRITING = auto()


@dataclass(slots=True)
class OwnerLookup:
    """A session whose owner is looked for, or that this server is about to take."""

    key: str
    deadline: float  # what waits is decided without an owner then
    waiting_requests: list[RequestArrived] = field(default_factory=list)
    flows: set[str] = field(default_factory=set)
    stage: LookupStage = LookupStage.READING
    pending_ref: int = 0  # the question or offer that is open
    timer_at: float = inf
    offered_by: tuple[str, int] | None = None  # who offered it to this server, and its turn
    register_answered_at: float = -inf  # the register's last answer came
    handover: TakeOwnership | None = None  # the owner's word that this server may take it
    stored_binding: Binding | None = None
    cause: MigrationCause | None = None
    pending_binding: Binding | None = None  # what is being written
    write_started_at: float = -inf  # since when it is
    offered_to: str = ""
    declined_by: set[str] = field(default_factory=set)
    forced: bool = False
    has_budget_token: bool = False  # a move's token was taken for it


class Sessions:
    """One member's sessions. `step` takes an event and tells what to do; `wake_at` is when to `Tick`."""

    def __init__(self, me: str, incarnation: int, settings: AffinitySettings, now: float) -> None:
        self.node_name, self.incarnation, self.settings = me, incarnation, settings
        self.view: View | None = None
        self.version = 0
        self.owned: OrderedDict[str, OwnedSession] = OrderedDict()  # longest unused first
        self.routes: OrderedDict[str, Binding] = OrderedDict()  # others', longest unused first
        self.lookups: dict[str, OwnerLookup] = {}
        self._open: dict[str, set[int]] = {}  # work open here of sessions that it let go of
        self.loads: dict[str, ServerLoad] = {}
        self.counts: Counter[str] = Counter()
        self._able: dict[int, dict[str, frozenset[str]]] = {}  # of the versions that are kept
        self._past: dict[int, float] = {}  # version -> when it was succeeded
        self._due: deque[str] = deque()  # sessions that must move or change, as the budget allows
        self._budget = MigrationBudget(settings.migrations_per_s, now)
        self._takeovers = MigrationBudget(settings.migrations_per_s, now)
        self._gone: dict[tuple[str, int], tuple[float, float]] = {}  # selves: when, over what span turns go
        self._drain: MigrationBudget | None = None
        self._taking = 0  # seeks that are about to become sessions of this server
        self._timers: list[tuple[float, str]] = []
        self._last_ref = 0
        self._asked: dict[int, str] = {}  # open questions to the register, by their session
        self._due_at = inf
        self._out: list[Effect] = []

    # -- what comes in

    def handle_event(self, now: float, event: Event) -> list[Effect]:
        self._out = []
        match event:
            case RequestArrived():
                self._came(now, event)
            case RequestFinished(ref, key):
                self._over(now, ref, key)
            case OwnerUnreachable(came, to):
                self._unreached(now, came, to)
            case RequestReturned(came, binding):
                self._returned(now, came, binding)
            case ClaimRefused(came, number):
                self._refused(now, came, number)
            case OwnerFenced(key, number):
                held = self.owned.get(key)
                if held is not None and held.binding.fencing_number <= number:
                    self._let_go(now, held, None)
            case RegisterAnswered(ref, verdict, entry):
                self._answered(now, ref, verdict, entry)
            case MessageReceived(sender, message):
                self._got(now, sender, message)
            case ViewChanged(view):
                self._viewed(now, view)
            case PolicyActivated():
                self._activate(now, event)
            case LoadsReported(by_member):
                names = self.view.names if self.view is not None else ()
                kept = {name: load for name, load in self.loads.items() if name in names}
                self.loads = kept | dict(by_member)  # of one that is silent, what it said last
            case DrainStarted(grace):
                self._leave(now, grace)
            case TimerFired():
                self._tick(now)
        self._work_off(now)
        return self._out

    @property
    def wake_at(self) -> float:
        """When the next `Tick` is wanted, in the clock of `step`; inf if nothing waits for time."""
        at = self._timers[0][0] if self._timers else inf
        if self.owned:
            at = min(at, next(iter(self.owned.values())).last_used_at + self.settings.idle_timeout_s)
        if self._past:
            at = min(at, min(self._past.values()) + self.settings.retire_after_s)
        if self._due:
            at = min(at, self._due_at)
        return at

    def may_begin(self, now: float, key: str, number: int, asked: float) -> bool:
        """Whether a claim that was asked for at `asked` and won under `number` may still begin its run.

        If not, its owner frees it. Guards against a pause between the win and the run: the session may have
        another owner by now, whose keyed work would run beside this one's.
        """
        held = self.owned.get(key)
        if self.settings.faulty_variant == "two-owners" and held is not None:
            return True
        return (
            held is not None
            and held.phase is not OwnershipPhase.AWAITING_SUCCESSOR
            and held.first_fencing_number <= number <= held.binding.fencing_number
            and not self._lapsed(now, held)
            and now - asked < self.settings.claim_timeout_s
        )

    def gauges(self) -> dict[str, object]:
        told: dict[str, object] = {f"affinity_{what}": much for what, much in sorted(self.counts.items())}
        told |= {
            "affinity_owned": len(self.owned),
            "affinity_open": sum(bool(one.open_refs) for one in self.owned.values()),
            "affinity_due": len(self._due),
            "affinity_seeks": len(self.lookups),
            "affinity_version": self.version,
        }
        return told

    # -- requests

    def _came(self, now: float, came: RequestArrived) -> None:
        held = self.owned.get(came.key)
        if held is not None:
            return self._serve(now, held, came)
        if not self._in_view:
            return self._without(came, DecisionReason.NO_VIEW)
        route = self.routes.get(came.key)
        if route is not None and self._lives(route) and route.owner != self.node_name:
            self.routes.move_to_end(came.key)
            return self._forward(came, route)
        seek = self.lookups.get(came.key)
        if seek is None:
            if len(self.lookups) >= self.settings.max_lookups:
                return self._without(came, DecisionReason.FULL)
            seek = self._seek(now, came.key)
            self._read(seek)
        if len(seek.waiting_requests) >= self.settings.max_waiting_requests:
            return self._without(came, DecisionReason.FULL)
        seek.waiting_requests.append(came)
        if len(seek.flows) < FLOWS_MOST:
            seek.flows.add(came.flow)

    def _serve(self, now: float, held: OwnedSession, came: RequestArrived) -> None:
        """A request of a session that is this server's."""
        if came.requires_owner and self._lapsed(now, held):
            self._let_go(now, held, None)
            return self._came(now, came)
        held.last_used_at = now
        self.owned.move_to_end(came.key)
        if len(held.flows) < FLOWS_MOST:
            held.flows.add(came.flow)
        held.has_keyed_work = held.has_keyed_work or came.requires_owner
        if held.phase not in (OwnershipPhase.SERVING, OwnershipPhase.RENEWING):
            if not came.requires_owner:
                return self._here(came, held.binding, DecisionReason.HANDOVER)
            return self._hold(now, held, came, DecisionReason.HANDOVER)
        if not self._can(self.node_name, held.binding.policy_version, (came.flow,)):
            self._queue(held, MigrationCause.INCAPABLE)
            return self._hold(now, held, came, DecisionReason.INCAPABLE)
        if came.requires_owner:
            held.open_refs.add(came.ref)
        self._here(came, held.binding, DecisionReason.OWNER)
        if (
            now - held.renewed_at > self.settings.binding_lifetime_s / 4
            and held.phase is OwnershipPhase.SERVING
        ):
            self._change(
                now,
                held,
                held.binding.owned_by(self.node_name, self.incarnation, held.binding.policy_version),
            )
        return None

    def _lapsed(self, now: float, held: OwnedSession) -> bool:
        """Whether the register may have forgotten that it is this server's, as with no majority in reach for
        long: then no number there refuses a claim, and anyone may begin it anew.
        """
        return now >= held.renewed_at + self.settings.binding_lifetime_s

    def _hold(self, now: float, held: OwnedSession, came: RequestArrived, why: DecisionReason) -> None:
        """It waits for the next owner."""
        if len(held.waiting_requests) >= self.settings.max_waiting_requests:
            return self._without(came, why)
        if not held.waiting_requests:
            held.waiting_deadline = now + self.settings.binding_timeout_s
            self._arm(held.binding.key, held.waiting_deadline)
        held.waiting_requests.append(came)
        return None

    def _here(self, came: RequestArrived, binding: Binding, why: DecisionReason) -> None:
        self.counts[f"here_{why.value}"] += 1
        self._out.append(ServeLocally(came.ref, binding.fencing_number, binding.policy_version, why))

    def _without(self, came: RequestArrived, why: DecisionReason, retry_after_s: float = 0.0) -> None:
        """Its owner can't have it: served here if it may be run twice, otherwise rejected; it never ran."""
        if came.requires_owner or why is DecisionReason.INCAPABLE:
            self.counts[f"denied_{why.value}"] += 1
            self._out.append(RejectRequest(came.ref, max(retry_after_s, self.settings.retry_after_s), why))
        else:
            self.counts[f"here_{why.value}"] += 1
            self._out.append(ServeLocally(came.ref, 0, self.version, why))

    def _forward(self, came: RequestArrived, route: Binding) -> None:
        if came.forwarded_by:  # it has had its hop: who passed it on does so anew
            self.counts["given_back"] += 1
            self._out.append(ReturnToForwarder(came.ref, came.forwarded_by, route))
            return None
        self.counts["passed"] += 1
        self._out.append(ForwardToOwner(came.ref, route.owner))
        return None

    def _over(self, now: float, ref: int, key: str) -> None:
        held = self.owned.get(key)
        if held is None:
            left = self._open.get(key, set())
            left.discard(ref)
            if not left:
                self._open.pop(key, None)
            return
        held.open_refs.discard(ref)
        if held.phase is OwnershipPhase.FINISHING_RUNS and not held.open_refs:
            self._give(now, held)

    def _unreached(self, now: float, came: RequestArrived, to: str) -> None:
        """The owner is in the view as far as is known: nobody may take its session, or its keyed work."""
        route = self.routes.get(came.key)
        if route is not None and (route.owner != to or not self._lives(route)):
            return self._returned(now, came, None)  # its session has gone on meanwhile
        if self.settings.faulty_variant == "two-owners" and route is not None:
            held = self.owned[came.key] = OwnedSession(route, route.fencing_number, now, now)
            return self._serve(now, held, came)
        return self._without(came, DecisionReason.UNREACHED)

    def _returned(self, now: float, came: RequestArrived, binding: Binding | None) -> None:
        """It goes to the owner once more; after that it is decided here, and never goes round."""
        if binding is not None:
            self._told(now, binding)
            route = self.routes.get(came.key)
            if route is not None and route.fencing_number > binding.fencing_number:
                del self.routes[came.key]  # it lapsed, and began anew below: the register tells
        if came.was_returned:
            return self._without(came, DecisionReason.STALE)
        return self._came(now, replace(came, was_returned=True))

    def _refused(self, now: float, came: RequestArrived, number: int) -> None:
        """A higher number stands there than this server knew: its own next, or another owner's."""
        held = self.owned.get(came.key)
        self.counts["refused"] += 1
        if held is not None:
            held.open_refs.discard(came.ref)
            if held.binding.fencing_number <= number:
                self._let_go(now, held, None)
        self._came(now, came)

    # -- finding and taking

    def _seek(self, now: float, key: str) -> OwnerLookup:
        seek = self.lookups[key] = OwnerLookup(key, now + self.settings.binding_timeout_s)
        self._arm_seek(seek, seek.deadline)
        return seek

    def _read(self, seek: OwnerLookup) -> None:
        self._stage(seek, LookupStage.READING)
        seek.pending_ref = self._ref(seek.key)
        self._out.append(ReadBinding(seek.pending_ref, seek.key))

    def _answered(self, now: float, ref: int, verdict: RegisterVerdict, entry: Binding | None) -> None:
        key = self._asked.pop(ref, None)
        if key is None:
            return
        if (held := self.owned.get(key)) is not None and held.pending_ref == ref:
            held.pending_ref = 0
            self._written(now, held, verdict, entry)
        elif (seek := self.lookups.get(key)) is not None and seek.pending_ref == ref:
            seek.pending_ref, seek.register_answered_at = 0, now
            if verdict is RegisterVerdict.UNREACHABLE:
                self._fail(seek, DecisionReason.NO_MAJORITY)
            elif seek.stage is LookupStage.WRITING and verdict is RegisterVerdict.WON:
                self._took(now, seek)
            else:
                self._found(now, seek, entry)

    def _found(self, now: float, seek: OwnerLookup, entry: Binding | None) -> None:
        """What the register holds of it."""
        self._stage(seek, LookupStage.READING)
        seek.stored_binding = entry
        if entry is None or entry.state is BindingState.ENDED:
            seek.cause = None
            return self._place(now, seek)
        if not self._lives(entry):
            seek.cause = MigrationCause.REMOVED
            return self._place(now, seek)
        if entry.owner == self.node_name and entry.state is BindingState.OWNED:
            seek.cause = None
            return self._write(now, seek)  # how much of its life is left nobody tells: it is renewed first
        if entry.owner == self.node_name:
            self._drop(seek)
            return self._adopt(now, seek, entry)
        return self._settle(now, seek, entry)

    def _place(self, now: float, seek: OwnerLookup) -> None:
        """It has no owner. One that was offered it takes it or declines; others look for the best."""
        if seek.offered_by is not None:
            if self._has_room(seek.flows, self._next_version(seek), seek.forced):
                return self._write(now, seek)
            self._drop(seek)
            self._send(seek.offered_by[0], OfferReply(seek.key, seek.offered_by[1], True))
            for came in seek.waiting_requests:
                self._without(came, DecisionReason.FULL)
            return None
        if seek.cause is not None and not seek.has_budget_token:
            if (wait := self._turn(now, seek)) > 0:
                return self._fail(seek, DecisionReason.BUDGET, wait)
            seek.has_budget_token = True
        able = self._able_for(seek.flows, self._next_version(seek))
        if not able:
            return self._fail(seek, DecisionReason.INCAPABLE)
        version = self._next_version(seek)
        if any(one.forwarded_by for one in seek.waiting_requests) and self._has_room(
            seek.flows, version, False
        ):
            return self._write(now, seek)  # passed here as to its owner: it stays, and needs no hop more
        target = "" if seek.forced else self._choose(seek.key, able, seek.cause is not None, seek.declined_by)
        if not target and not seek.forced:  # nobody is below its bound: the least loaded, past it
            seek.forced = True
            seek.declined_by.clear()
        target = target or self._least(able - seek.declined_by)
        if not target:
            return self._fail(seek, DecisionReason.FULL)
        if target == self.node_name:
            if self._has_room(seek.flows, self._next_version(seek), seek.forced):
                return self._write(now, seek)
            seek.declined_by.add(target)
            return self._place(now, seek)
        self._last_ref += 1
        self._stage(seek, LookupStage.AWAITING_OFFER_REPLY)
        seek.offered_to, seek.pending_ref = target, self._last_ref
        within = self.settings.offer_timeout_s + (self.settings.claim_timeout_s if seek.cause else 0.0)
        self._arm_seek(seek, min(now + within, seek.deadline))
        self._send(target, OwnershipOffer(seek.key, seek.pending_ref, tuple(sorted(seek.flows)), seek.forced))
        return None

    def _turn(self, now: float, seek: OwnerLookup) -> float:
        """Seconds until the session of an owner that is gone may move; 0: now, and it is paid for.

        Each such session has its turn by its key, spread so that the fleet moves no more a second than its
        budget, whoever has the requests; a bucket guards against loads that were not known.
        """
        if self.settings.faulty_variant == "no-budget" or seek.stored_binding is None:
            return 0.0
        since, span = self._gone.get((seek.stored_binding.owner, seek.stored_binding.incarnation), (now, 0.0))
        wait = since + span * spread(seek.key) - now
        if wait <= 0 and not self._takeovers.try_take(now):
            wait = self._takeovers.wait_s(now)
        return max(wait, 0.0)

    def _write(self, now: float, seek: OwnerLookup) -> None:
        """This server writes itself in; after one that is gone, once all its claims have begun or lapsed.

        The register answered at this epoch: it takes no claim of an older one since. So none was asked for
        later than that answer.
        """
        if seek.cause is MigrationCause.REMOVED and now < (
            rest := seek.register_answered_at + self.settings.claim_timeout_s
        ):
            self._stage(seek, LookupStage.AWAITING_CLAIM_EXPIRY)
            seek.deadline = max(seek.deadline, rest + self.settings.binding_timeout_s)
            for came in [one for one in seek.waiting_requests if not one.requires_owner]:
                seek.waiting_requests.remove(came)
                self._without(came, DecisionReason.HANDOVER)
            return self._arm_seek(seek, rest)
        entry, version = seek.stored_binding, self._next_version(seek)
        # Holders that fell together may have taken the last entry with them, and left an older one elsewhere.
        # One that lapsed in this epoch may have been higher too, by a route that is still known here.
        first = (self.view.epoch if self.view else 0) << EPOCH_SHIFT | 1
        before = newer(entry, self.routes.get(seek.key))
        number = max(first, before.fencing_number + 1 if before is not None else 0)
        seek.pending_binding, seek.write_started_at = (
            Binding(seek.key, number, self.node_name, self.incarnation, version),
            now,
        )
        self._stage(seek, LookupStage.WRITING)
        seek.pending_ref = self._ref(seek.key)
        self._arm_seek(seek, seek.deadline)
        expect = entry.fencing_number if entry is not None else 0
        self._out.append(
            WriteBinding(
                seek.pending_ref, seek.key, expect, seek.pending_binding, self.settings.binding_lifetime_s
            )
        )

    def _took(self, now: float, seek: OwnerLookup) -> None:
        self._drop(seek)
        if seek.pending_binding is None:
            return
        if seek.cause is None:
            begun = seek.stored_binding is None or seek.stored_binding.state is BindingState.ENDED
            self.counts["begun" if begun else "kept"] += 1
        else:
            self.counts[f"moved_{seek.cause.value}"] += 1
            self._note(
                "moved",
                key=seek.key,
                cause=seek.cause.value,
                number=seek.pending_binding.fencing_number,
                owner=seek.stored_binding.owner if seek.stored_binding else "",
            )
        self._adopt(now, seek, seek.pending_binding)

    def _adopt(self, now: float, seek: OwnerLookup, binding: Binding) -> None:
        """It is this server's: newly, or by a write whose answer was lost, or it had been forgotten here."""
        if seek.key not in self.owned:
            if not self._make_room():
                return self._no_room(seek, binding)
            written = seek.write_started_at if binding is seek.pending_binding else now
            runs = self._open.pop(seek.key, set())
            held = OwnedSession(binding, binding.fencing_number, now, written, set(seek.flows), runs)
            self.owned[seek.key] = held
            if binding.state is BindingState.HANDING_OVER:
                held.cause = MigrationCause.DRAIN
                self._passing(now, held)
        else:
            held = self.owned[seek.key]
        self.routes.pop(seek.key, None)
        if seek.offered_by is not None:
            self._send(seek.offered_by[0], OfferReply(seek.key, seek.offered_by[1], False, binding))
        if seek.handover is not None:
            self._send(seek.handover.binding.owner, BindingNotice(binding))
        for came in seek.waiting_requests:
            self._serve(now, held, came)
        self._after_adopt(now, held)

    def _no_room(self, seek: OwnerLookup, binding: Binding) -> None:
        """It is this server's, by the register, and all that it holds has keyed work open."""
        if seek.offered_by is not None:
            self._send(seek.offered_by[0], OfferReply(seek.key, seek.offered_by[1], False, binding))
        if seek.handover is not None:
            self._send(seek.handover.binding.owner, BindingNotice(binding))
        for came in seek.waiting_requests:
            self._without(came, DecisionReason.FULL)

    def _after_adopt(self, now: float, held: OwnedSession) -> None:
        if self._drain is not None:
            self._queue(held, MigrationCause.DRAIN)
        elif held.binding.policy_version not in self._able and self.version:
            self._queue(held, MigrationCause.RETIRED)

    def _settle(self, now: float, seek: OwnerLookup, binding: Binding) -> None:
        """It is another's."""
        self._drop(seek)
        self._learn(binding)
        if seek.offered_by is not None:
            self._send(seek.offered_by[0], OfferReply(seek.key, seek.offered_by[1], False, binding))
        for came in seek.waiting_requests:
            if binding.owner == self.node_name:
                self._came(now, came)
            else:
                self._forward(came, binding)

    def _fail(self, seek: OwnerLookup, why: DecisionReason, retry_after_s: float = 0.0) -> None:
        """No owner could be found or made for now; what waits for one goes without."""
        self._drop(seek)
        if seek.offered_by is not None:
            self._send(seek.offered_by[0], OfferReply(seek.key, seek.offered_by[1], False))
        for came in seek.waiting_requests:
            self._without(came, why, min(retry_after_s, self.settings.binding_timeout_s))

    def _stage(self, seek: OwnerLookup, stage: LookupStage) -> None:
        self._taking += (stage is LookupStage.WRITING) - (seek.stage is LookupStage.WRITING)
        seek.stage = stage

    def _drop(self, seek: OwnerLookup) -> None:
        if self.lookups.get(seek.key) is seek:
            del self.lookups[seek.key]
        self._stage(seek, LookupStage.READING)
        self._asked.pop(seek.pending_ref, None)

    # -- who it goes to

    @property
    def _in_view(self) -> bool:
        mine = self.view.get(self.node_name) if self.view is not None else None
        return mine is not None and mine.incarnation == self.incarnation

    def _lives(self, binding: Binding) -> bool:
        """Whether its owner is in the view, as the self that took it."""
        owner = self.view.get(binding.owner) if self.view is not None else None
        return owner is not None and owner.incarnation == binding.incarnation

    def _next_version(self, seek: OwnerLookup) -> int:
        """A new session begins under the active one; a moved one goes on under its own while that is kept."""
        if seek.stored_binding is None or seek.stored_binding.state is BindingState.ENDED:
            return self.version
        return (
            seek.stored_binding.policy_version
            if seek.stored_binding.policy_version in self._able
            else self.version
        )

    def _can(self, name: str, version: int, flows: Iterable[str]) -> bool:
        able = self._able.get(version, {})
        return all(flow not in able or name in able[flow] for flow in flows)

    def _able_for(self, flows: Iterable[str], version: int) -> set[str]:
        """The members of the view that can run all of these."""
        flows = list(flows)
        names = self.view.names if self.view is not None else ()
        return {name for name in names if self._can(name, version, flows) and not self._leaving(name)}

    def _leaving(self, name: str) -> bool:
        if name == self.node_name:
            return self._drain is not None
        load = self.loads.get(name)
        return load is not None and load.weight <= 0

    def _known_loads(self) -> dict[str, ServerLoad]:
        mine = self.loads.get(self.node_name, ServerLoad())
        return {**self.loads, self.node_name: replace(mine, sessions=len(self.owned) + self._taking)}

    def _choose(self, key: str, names: set[str], moved: bool, without: set[str]) -> str:
        loads = self._known_loads()
        most = bounds(loads, names, self.settings.load_factor, self.settings.min_load_bound)
        order = (move_to if moved else begin_on)(key, loads, most)
        return next((name for name in order if name not in without), "")

    def _least(self, names: set[str]) -> str:
        loads = self._known_loads()
        known = [(loads.get(name, ServerLoad()), name) for name in names]
        ratios = [(one.sessions / one.weight, name) for one, name in known if one.weight > 0]
        return min(ratios, default=(0.0, ""))[1]

    def _has_room(self, flows: Iterable[str], version: int, forced: bool) -> bool:
        """Whether this server may take one more that needs these flows: it alone knows what it has."""
        flows = list(flows)
        if self._drain is not None or not self._in_view or not self._can(self.node_name, version, flows):
            return False
        mine = len(self.owned) + self._taking
        if mine >= self.settings.max_sessions and self._forgettable() is None:
            return False
        if forced:
            self.counts["forced"] += 1
            return True
        able, settings = self._able_for(flows, version), self.settings
        most = bounds(self._known_loads(), able, settings.load_factor, settings.min_load_bound)
        return mine < most.get(self.node_name, 0)

    # -- what is said between servers

    def _got(self, now: float, sender: str, message: Message) -> None:
        match message:
            case OwnershipOffer():
                self._offered(now, sender, message)
            case OfferReply(key, turn, full, binding):
                seek = self.lookups.get(key)
                if (
                    seek is None
                    or seek.stage is not LookupStage.AWAITING_OFFER_REPLY
                    or seek.pending_ref != turn
                ):
                    return
                if full:
                    seek.declined_by.add(sender)
                    self._place(now, seek)
                elif binding is None:
                    self._fail(seek, DecisionReason.NO_MAJORITY)
                else:
                    load = self.loads.get(sender, ServerLoad())
                    if binding.owner == sender:  # until it tells its load itself
                        self.loads[sender] = replace(load, sessions=load.sessions + 1)
                    self._settle(now, seek, binding)
            case TakeOwnership():
                self._told_to_take(now, sender, message)
            case TakeDeclined(key, number):
                held = self.owned.get(key)
                if (
                    held is not None
                    and held.phase is OwnershipPhase.AWAITING_SUCCESSOR
                    and held.binding.fencing_number == number
                ):
                    held.declined_by.add(sender)
                    self._next_successor(now, held)
            case BindingNotice(binding):
                self._told(now, binding)

    def _offered(self, now: float, sender: str, offer: OwnershipOffer) -> None:
        if (held := self.owned.get(offer.key)) is not None:
            return self._send(sender, OfferReply(offer.key, offer.offer_id, False, held.binding))
        seek = self.lookups.get(offer.key)
        if seek is None:
            if len(self.lookups) >= self.settings.max_lookups:
                return self._send(sender, OfferReply(offer.key, offer.offer_id, True))
            seek = self._seek(now, offer.key)
            seek.offered_by = (sender, offer.offer_id)
            seek.forced = offer.forced
            seek.flows.update(offer.flows[:FLOWS_MOST])
            return self._read(seek)
        if seek.stage is LookupStage.AWAITING_OFFER_REPLY and sender < self.node_name:
            # Two look for an owner and each found the other best: one of them gives way.
            seek.offered_by, seek.forced = (sender, offer.offer_id), offer.forced
            return self._read(seek)
        if seek.stage is LookupStage.AWAITING_OFFER_REPLY:
            return self._send(sender, OfferReply(offer.key, offer.offer_id, True))
        seek.offered_by = (sender, offer.offer_id)
        return None

    def _told_to_take(self, now: float, sender: str, take: TakeOwnership) -> None:
        binding = take.binding
        known = self.owned.get(binding.key)
        if known is not None:
            if known.binding.fencing_number > binding.fencing_number:
                self._send(sender, BindingNotice(known.binding))
            return
        seek = self.lookups.get(binding.key)
        if seek is not None and seek.stage is LookupStage.WRITING:
            seek.handover = take
            return  # its answer tells
        version = binding.policy_version if binding.policy_version in self._able else self.version
        if not self._has_room(take.flows, version, take.forced) or (
            seek is None and len(self.lookups) >= self.settings.max_lookups
        ):
            return self._send(sender, TakeDeclined(binding.key, binding.fencing_number))
        if seek is None:
            seek = self._seek(now, binding.key)
        self._asked.pop(seek.pending_ref, None)
        seek.handover, seek.stored_binding, seek.cause = take, binding, take.cause
        seek.flows.update(take.flows[:FLOWS_MOST])
        self._write(now, seek)

    def _told(self, now: float, binding: Binding) -> None:
        held = self.owned.get(binding.key)
        if held is not None:
            if binding.fencing_number > held.binding.fencing_number and (
                binding.owner,
                binding.incarnation,
            ) != (
                self.node_name,
                self.incarnation,
            ):
                self._let_go(now, held, binding)
            return
        self._learn(binding)

    def _learn(self, binding: Binding) -> None:
        known = self.routes.get(binding.key)
        if known is None or known.fencing_number < binding.fencing_number:
            self.routes[binding.key] = binding
        self.routes.move_to_end(binding.key)
        while len(self.routes) > self.settings.max_cached_routes:
            self.routes.popitem(last=False)

    # -- how an owner changes or gives a session away

    def _queue(self, held: OwnedSession, cause: MigrationCause) -> None:
        """It must move or change, when the budget allows."""
        if held.queued_cause is None and held.phase in (OwnershipPhase.SERVING, OwnershipPhase.RENEWING):
            held.queued_cause = cause
            self._due.append(held.binding.key)

    def _work_off(self, now: float) -> None:
        """What is due, as far as the budget goes."""
        stuck = False
        for _ in range(len(self._due)):
            if not self._pay(now):
                break
            key = self._due.popleft()
            held = self.owned.get(key)
            cause = held.queued_cause if held is not None else None
            if held is None or cause is None:
                self._budget.refund()
                continue
            if held.phase is not OwnershipPhase.SERVING:  # a change of its own is under way
                self._budget.refund()
                self._due.append(key)
                stuck = True
                continue
            held.queued_cause = None
            stuck = not self._settle_due(now, held, cause) or stuck
        if self._due:
            wait = min((self._drain or self._budget).wait_s(now), self.settings.retry_interval_s)
            self._due_at = now + (self.settings.retry_interval_s if stuck else max(wait, 1e-3))

    def _settle_due(self, now: float, held: OwnedSession, cause: MigrationCause) -> bool:
        """Move or change it; False if there is nobody to give it to, yet."""
        stays = (
            cause in (MigrationCause.RETIRED, MigrationCause.MANDATORY)
            and self.settings.faulty_variant != "rehash-on-bump"
        )
        if stays and self._can(self.node_name, self.version, held.flows):
            held.cause = cause
            self._change(now, held, held.binding.owned_by(self.node_name, self.incarnation, self.version))
            return True
        if self._hand_over(now, held, cause):
            return True
        self._budget.refund()
        self.counts["no_heir"] += 1
        self._queue(held, cause)
        return False

    def _pay(self, now: float) -> bool:
        if self.settings.faulty_variant == "no-budget":
            return True
        return (self._drain or self._budget).try_take(now)

    def _change(self, now: float, held: OwnedSession, value: Binding) -> None:
        """The same owner's next binding: renewed, or under another version. It goes on serving."""
        held.phase, held.phase_since = OwnershipPhase.RENEWING, now
        self._write_held(now, held, value)

    def _write_held(self, now: float, held: OwnedSession, value: Binding) -> None:
        held.pending_binding, held.pending_ref, held.timer_at = value, self._ref(held.binding.key), inf
        held.write_started_at = now
        self._out.append(
            WriteBinding(
                held.pending_ref,
                value.key,
                held.binding.fencing_number,
                value,
                self.settings.binding_lifetime_s,
            )
        )

    def _hand_over(self, now: float, held: OwnedSession, cause: MigrationCause) -> bool:
        """Begin to give it away; False if there is nobody to give it to."""
        successor = self._successor(held)
        if not successor:
            return False
        held.cause = cause
        if self.settings.faulty_variant == "no-handover":  # it goes on taking while the successor begins
            self._send(successor, TakeOwnership(held.binding, cause, tuple(sorted(held.flows))))
            return True
        self._stop(now, held, successor)
        return True

    def _successor(self, held: OwnedSession) -> str:
        version = held.binding.policy_version if held.binding.policy_version in self._able else self.version
        able = self._able_for(held.flows, version) - {self.node_name}
        found = self._choose(held.binding.key, able, True, held.declined_by)
        return found or self._least(able - held.declined_by) or self._least(able)

    def _stop(self, now: float, held: OwnedSession, successor: str) -> None:
        held.phase, held.phase_since = OwnershipPhase.MARKING_HANDOVER, now
        self._write_held(now, held, held.binding.handing_over_to(successor))

    def _written(
        self, now: float, held: OwnedSession, verdict: RegisterVerdict, entry: Binding | None
    ) -> None:
        """The register's answer to what this owner wrote of its session."""
        value, held.pending_binding = held.pending_binding, None
        mine = (
            entry is not None
            and (entry.owner, entry.incarnation) == (self.node_name, self.incarnation)
            and entry.fencing_number > held.binding.fencing_number
        )
        if verdict is RegisterVerdict.UNREACHABLE:
            if held.phase is OwnershipPhase.RENEWING:
                held.phase = OwnershipPhase.SERVING
                if held.cause is not None:
                    self._queue(held, held.cause)
                    held.cause = None
                return None
            held.timer_at = (
                now + self.settings.retry_interval_s
            )  # it may stand there: only another try can tell
            return self._arm(held.binding.key, held.timer_at)
        if verdict is RegisterVerdict.LOST and not mine:
            return self._let_go(
                now, held, entry if entry and entry.fencing_number > held.binding.fencing_number else None
            )
        stands = value if verdict is RegisterVerdict.WON else entry
        if stands is None:
            return self._let_go(now, held, None)
        held.binding = stands
        if verdict is RegisterVerdict.WON:  # else it is an older write of its own, whose answer was lost
            held.renewed_at = held.write_started_at
        if stands.state is BindingState.HANDING_OVER:
            return self._passing(now, held)
        if (
            held.phase is OwnershipPhase.RENEWING
            and held.cause is not None
            and stands.policy_version == self.version
        ):
            self.counts[f"brought_{held.cause.value}"] += 1
        if (
            held.phase is OwnershipPhase.MARKING_HANDOVER
        ):  # what stands is a change of its own, older than the handover
            return self._stop(now, held, self._successor(held))
        held.phase, held.cause = OwnershipPhase.SERVING, None
        return None

    def _passing(self, now: float, held: OwnedSession) -> None:
        held.phase, held.phase_since = OwnershipPhase.FINISHING_RUNS, now
        if not held.open_refs:
            return self._give(now, held)
        held.timer_at = now + self.settings.handover_timeout_s
        return self._arm(held.binding.key, held.timer_at)

    def _give(self, now: float, held: OwnedSession) -> None:
        """Nothing of it runs here that may yet begin: the successor may take it."""
        if held.phase is not OwnershipPhase.AWAITING_SUCCESSOR:
            held.phase, held.phase_since = OwnershipPhase.AWAITING_SUCCESSOR, now
            if held.open_refs:
                self.counts["passed_as_claims"] += len(held.open_refs)
                self._note("passed as claims", key=held.binding.key, runs=len(held.open_refs))
        successor = held.binding.successor
        if (
            self.view is None
            or successor not in self.view
            or now - held.phase_since > self.settings.binding_timeout_s
        ):
            held.declined_by.add(successor)
            return self._next_successor(now, held)
        flows = tuple(sorted(held.flows))
        self._send(
            successor,
            TakeOwnership(held.binding, held.cause or MigrationCause.DRAIN, flows, bool(held.declined_by)),
        )
        held.timer_at = now + self.settings.retry_interval_s
        return self._arm(held.binding.key, held.timer_at)

    def _next_successor(self, now: float, held: OwnedSession) -> None:
        successor = self._successor(held)
        if successor and successor != self.node_name:
            return self._stop(now, held, successor)
        held.timer_at = now + self.settings.retry_interval_s
        return self._arm(held.binding.key, held.timer_at)

    def _let_go(self, now: float, held: OwnedSession, binding: Binding | None) -> None:
        """It is not this server's any more, by what it knows. Keyed runs that are open stay claims; if it
        turns out to be its own after all, or is again, they count as open still."""
        self.owned.pop(held.binding.key, None)
        if held.open_refs:
            self._open[held.binding.key] = held.open_refs
        self._asked.pop(held.pending_ref, None)
        if binding is not None:
            self._learn(binding)
        else:
            self.routes.pop(held.binding.key, None)
        for came in held.waiting_requests:
            self._came(now, came)

    # -- room

    def _forgettable(self) -> str | None:
        """The longest unused session without open work of the `EVICT_SCAN` oldest; idempotent ones first."""
        second: str | None = None
        for place, (key, held) in enumerate(self.owned.items()):
            if place >= EVICT_SCAN:
                break
            if held.open_refs or held.waiting_requests or held.phase is not OwnershipPhase.SERVING:
                continue
            if not held.has_keyed_work:
                return key
            second = second or key
        return second

    def _make_room(self) -> bool:
        """Whether there is room for one more."""
        while len(self.owned) >= self.settings.max_sessions:
            if (key := self._forgettable()) is None:
                return False
            del self.owned[key]
            self.counts["forgotten"] += 1
        return True

    # -- the fleet, the policy, time

    def _viewed(self, now: float, view: View) -> None:
        if self.view is not None and view.epoch <= self.view.epoch:
            return
        here = {(one.name, one.incarnation) for one in view.members}
        for one in self.view.members if self.view is not None else ():
            if (one.name, one.incarnation) not in here:
                much = self.loads.get(one.name, ServerLoad()).sessions
                self._gone[one.name, one.incarnation] = (
                    now,
                    much / max(self.settings.migrations_per_s, 1e-6),
                )
        self._gone = {one: (at, span) for one, (at, span) in self._gone.items() if now < at + span}
        self.view = view
        self._budget.set_rate(now, self.settings.migrations_per_s / max(len(view.members), 1))
        mine = view.get(self.node_name)
        if mine is None or mine.incarnation != self.incarnation:
            for held in list(self.owned.values()):
                self._let_go(now, held, None)
            for seek in list(self.lookups.values()):
                self._fail(seek, DecisionReason.NO_VIEW)
            if mine is not None and mine.incarnation > self.incarnation:
                self.incarnation = mine.incarnation  # taken in again, and owns nothing
            return
        for seek in [one for one in self.lookups.values() if one.stage is LookupStage.AWAITING_OFFER_REPLY]:
            if seek.offered_to not in view:
                self._place(now, seek)
        for held in [one for one in self.owned.values() if one.phase is OwnershipPhase.AWAITING_SUCCESSOR]:
            if held.binding.successor not in view:
                self._next_successor(now, held)

    def _activate(self, now: float, active: PolicyActivated) -> None:
        if active.version < self.version:
            return
        if active.version > self.version:
            if self.version:
                self._past[self.version] = now
            self.version = active.version
        self._able[active.version] = dict(active.capable_members)
        kept = sorted(self._able, reverse=True)
        for version in kept[self.settings.keep_versions :]:
            self._retire(version)
        for held in list(self.owned.values()):
            if (
                self.settings.faulty_variant == "rehash-on-bump"
                and held.binding.policy_version < self.version
            ):
                self._queue(held, MigrationCause.RETIRED)
            elif active.mandatory and held.binding.policy_version < self.version:
                self._queue(held, MigrationCause.MANDATORY)
            elif not self._can(self.node_name, held.binding.policy_version, held.flows):
                self._queue(held, MigrationCause.INCAPABLE)

    def _retire(self, version: int) -> None:
        self._able.pop(version, None)
        self._past.pop(version, None)
        for held in list(self.owned.values()):
            if held.binding.policy_version == version:
                self._queue(held, MigrationCause.RETIRED)

    def _leave(self, now: float, grace: float) -> None:
        """Hand over all, spread over the grace; what is left at its end moves once the view is without us."""
        span = max(grace * self.settings.drain_grace_fraction, 1e-3)
        self._drain = MigrationBudget(max(self.settings.migrations_per_s, (len(self.owned) + 1) / span), now)
        for held in list(self.owned.values()):
            held.queued_cause = None
            self._queue(held, MigrationCause.DRAIN)
        for seek in [
            one for one in self.lookups.values() if one.stage is not LookupStage.WRITING and one.offered_by
        ]:
            self._fail(seek, DecisionReason.FULL)

    def _tick(self, now: float) -> None:
        while self._timers and self._timers[0][0] <= now:
            _, key = heapq.heappop(self._timers)
            if (seek := self.lookups.get(key)) is not None and seek.timer_at <= now:
                self._late_seek(now, seek)
            if (held := self.owned.get(key)) is not None:
                self._late_held(now, held)
        for version, since in list(self._past.items()):
            if now >= since + self.settings.retire_after_s:
                self._retire(version)
        while self.owned:
            held = next(iter(self.owned.values()))
            if now < held.last_used_at + self.settings.idle_timeout_s:
                break
            if held.open_refs or held.waiting_requests or held.phase is not OwnershipPhase.SERVING:
                held.last_used_at = now  # it is in use
                self.owned.move_to_end(held.binding.key)
                continue
            self._end(held)

    def _end(self, held: OwnedSession) -> None:
        """Idle for longer than set. If the write is lost the binding lapses by itself."""
        del self.owned[held.binding.key]
        self.counts["ended_idle"] += 1
        value = held.binding.ended()
        self._out.append(
            WriteBinding(
                self._ref(""), value.key, held.binding.fencing_number, value, self.settings.binding_lifetime_s
            )
        )

    def _late_seek(self, now: float, seek: OwnerLookup) -> None:
        if seek.stage is LookupStage.AWAITING_CLAIM_EXPIRY:
            if self._has_room(seek.flows, self._next_version(seek), seek.forced):
                self._write(now, seek)
            else:
                self._place(now, seek)
        elif now >= seek.deadline:
            self._fail(
                seek,
                DecisionReason.NO_MAJORITY
                if seek.stage is not LookupStage.AWAITING_OFFER_REPLY
                else DecisionReason.FULL,
            )
        elif seek.stage is LookupStage.AWAITING_OFFER_REPLY:
            seek.declined_by.add(seek.offered_to)
            self._place(now, seek)
        else:
            self._arm_seek(seek, seek.deadline)

    def _late_held(self, now: float, held: OwnedSession) -> None:
        if held.waiting_requests and now >= held.waiting_deadline:
            waiting, held.waiting_requests = held.waiting_requests, []
            for came in waiting:
                self._without(
                    came,
                    DecisionReason.HANDOVER
                    if held.phase is not OwnershipPhase.SERVING
                    else DecisionReason.INCAPABLE,
                )
        if held.timer_at > now:
            return
        held.timer_at = inf
        match held.phase:
            case OwnershipPhase.MARKING_HANDOVER if not held.pending_ref:
                self._stop(now, held, self._successor(held) or held.binding.successor)
            case OwnershipPhase.FINISHING_RUNS | OwnershipPhase.AWAITING_SUCCESSOR:
                self._give(now, held)

    # -- small things

    def _ref(self, key: str) -> int:
        self._last_ref += 1
        self._asked[self._last_ref] = key
        return self._last_ref

    def _arm(self, key: str, at: float) -> None:
        heapq.heappush(self._timers, (at, key))

    def _arm_seek(self, seek: OwnerLookup, at: float) -> None:
        seek.timer_at = at
        self._arm(seek.key, at)

    def _send(self, to: str, message: Message) -> None:
        self._out.append(SendMessage(to, message))

    def _note(self, what: str, **fields: object) -> None:
        self._out.append(LogEvent(what, fields))

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
from .binding import Binding, Cause, State, newer
from .budget import Budget
from .events import (
    Active,
    Answered,
    Back,
    Came,
    Declined,
    Drain,
    Effect,
    Event,
    Fenced,
    Got,
    Here,
    Loads,
    Message,
    Note,
    Offer,
    Over,
    Pass,
    Read,
    Refused,
    Reject,
    Reply,
    Returned,
    Send,
    Take,
    Tick,
    Told,
    Unreached,
    Verdict,
    Viewed,
    Why,
    Write,
)
from .placement import Load, begin_on, bounds, move_to, spread
from .plan import Settings

FLOWS_MOST = 16  # flows remembered of one session: what its next owner must be able to run
EVICT_SCAN = 64  # the longest unused sessions that are looked through for one to forget
EPOCH_SHIFT = 20  # who takes a session does so above all numbers of earlier epochs, known or lost


class Phase(Enum):
    """Where a session stands with its owner."""

    SERVING = auto()
    CHANGING = auto()  # still served; the same owner's next binding is being written
    STOPPING = auto()  # no more keyed work; `passing` is being written
    PASSING = auto()  # written; its keyed runs are under way
    GIVING = auto()  # none is, or they passed on as claims; the successor is told


@dataclass(slots=True)
class Held:
    """A session that this server owns. `first`: the number at which it took it; all since are its own."""

    binding: Binding
    first: int
    used: float
    written: float  # when that was asked for: its life in the register ends no sooner than one after it
    flows: set[str] = field(default_factory=set)
    open: set[int] = field(default_factory=set)  # keyed and non-idempotent requests that run here, or may
    strict: bool = False  # whether it ever brought one
    phase: Phase = Phase.SERVING
    waiting: list[Came] = field(default_factory=list)
    wait_until: float = inf
    cause: Cause | None = None
    since: float = 0.0  # of this phase
    at: float = inf
    asked: int = 0
    next: Binding | None = None  # what is being written
    asked_at: float = 0.0  # since when it is
    tried: set[str] = field(default_factory=set)  # heirs that declined
    due: Cause | None = None  # it is queued for this


class Stage(Enum):
    READING = auto()
    RESTING = auto()  # a claim that its owner, who is gone, won before may still begin
    OFFERED = auto()
    WRITING = auto()


@dataclass(slots=True)
class Seek:
    """A session whose owner is looked for, or that this server is about to take."""

    key: str
    until: float  # what waits is decided without an owner then
    waiting: list[Came] = field(default_factory=list)
    flows: set[str] = field(default_factory=set)
    stage: Stage = Stage.READING
    asked: int = 0  # the question or offer that is open
    at: float = inf
    asker: tuple[str, int] | None = None  # who offered it to this server, and its turn
    read_at: float = -inf  # the register's last answer came
    take: Take | None = None  # the owner's word that this server may take it
    entry: Binding | None = None
    cause: Cause | None = None
    value: Binding | None = None  # what is being written
    asked_at: float = -inf  # since when it is
    target: str = ""
    tried: set[str] = field(default_factory=set)
    forced: bool = False
    paid: bool = False  # a move's token was taken for it


class Sessions:
    """One member's sessions. `step` takes an event and tells what to do; `wake_at` is when to `Tick`."""

    def __init__(self, me: str, incarnation: int, settings: Settings, now: float) -> None:
        self.me, self.incarnation, self.settings = me, incarnation, settings
        self.view: View | None = None
        self.version = 0
        self.owned: OrderedDict[str, Held] = OrderedDict()  # longest unused first
        self.routes: OrderedDict[str, Binding] = OrderedDict()  # others', longest unused first
        self.seeks: dict[str, Seek] = {}
        self._open: dict[str, set[int]] = {}  # work open here of sessions that it let go of
        self.loads: dict[str, Load] = {}
        self.counts: Counter[str] = Counter()
        self._able: dict[int, dict[str, frozenset[str]]] = {}  # of the versions that are kept
        self._past: dict[int, float] = {}  # version -> when it was succeeded
        self._due: deque[str] = deque()  # sessions that must move or change, as the budget allows
        self._budget = Budget(settings.moves_per_s, now)
        self._takeovers = Budget(settings.moves_per_s, now)
        self._gone: dict[tuple[str, int], tuple[float, float]] = {}  # selves: when, over what span turns go
        self._drain: Budget | None = None
        self._taking = 0  # seeks that are about to become sessions of this server
        self._timers: list[tuple[float, str]] = []
        self._last_ref = 0
        self._asked: dict[int, str] = {}  # open questions to the register, by their session
        self._due_at = inf
        self._out: list[Effect] = []

    # -- what comes in

    def step(self, now: float, event: Event) -> list[Effect]:
        self._out = []
        match event:
            case Came():
                self._came(now, event)
            case Over(ref, key):
                self._over(now, ref, key)
            case Unreached(came, to):
                self._unreached(now, came, to)
            case Returned(came, binding):
                self._returned(now, came, binding)
            case Refused(came, number):
                self._refused(now, came, number)
            case Fenced(key, number):
                held = self.owned.get(key)
                if held is not None and held.binding.number <= number:
                    self._let_go(now, held, None)
            case Answered(ref, verdict, entry):
                self._answered(now, ref, verdict, entry)
            case Got(sender, message):
                self._got(now, sender, message)
            case Viewed(view):
                self._viewed(now, view)
            case Active():
                self._activate(now, event)
            case Loads(by_member):
                names = self.view.names if self.view is not None else ()
                kept = {name: load for name, load in self.loads.items() if name in names}
                self.loads = kept | dict(by_member)  # of one that is silent, what it said last
            case Drain(grace):
                self._leave(now, grace)
            case Tick():
                self._tick(now)
        self._work_off(now)
        return self._out

    @property
    def wake_at(self) -> float:
        """When the next `Tick` is wanted, in the clock of `step`; inf if nothing waits for time."""
        at = self._timers[0][0] if self._timers else inf
        if self.owned:
            at = min(at, next(iter(self.owned.values())).used + self.settings.idle)
        if self._past:
            at = min(at, min(self._past.values()) + self.settings.retire_after)
        if self._due:
            at = min(at, self._due_at)
        return at

    def may_begin(self, now: float, key: str, number: int, asked: float) -> bool:
        """Whether a claim that was asked for at `asked` and won under `number` may still begin its run.

        If not, its owner frees it. Guards against a pause between the win and the run: the session may have
        another owner by now, whose keyed work would run beside this one's.
        """
        held = self.owned.get(key)
        if self.settings.broken == "two-owners" and held is not None:
            return True
        return (
            held is not None
            and held.phase is not Phase.GIVING
            and held.first <= number <= held.binding.number
            and not self._lapsed(now, held)
            and now - asked < self.settings.claim_within
        )

    def gauges(self) -> dict[str, object]:
        told: dict[str, object] = {f"affinity_{what}": much for what, much in sorted(self.counts.items())}
        told |= {
            "affinity_owned": len(self.owned),
            "affinity_open": sum(bool(one.open) for one in self.owned.values()),
            "affinity_due": len(self._due),
            "affinity_seeks": len(self.seeks),
            "affinity_version": self.version,
        }
        return told

    # -- requests

    def _came(self, now: float, came: Came) -> None:
        held = self.owned.get(came.key)
        if held is not None:
            return self._serve(now, held, came)
        if not self._in_view:
            return self._without(came, Why.NO_VIEW)
        route = self.routes.get(came.key)
        if route is not None and self._lives(route) and route.owner != self.me:
            self.routes.move_to_end(came.key)
            return self._forward(came, route)
        seek = self.seeks.get(came.key)
        if seek is None:
            if len(self.seeks) >= self.settings.seeks_most:
                return self._without(came, Why.FULL)
            seek = self._seek(now, came.key)
            self._read(seek)
        if len(seek.waiting) >= self.settings.waiting_most:
            return self._without(came, Why.FULL)
        seek.waiting.append(came)
        if len(seek.flows) < FLOWS_MOST:
            seek.flows.add(came.flow)

    def _serve(self, now: float, held: Held, came: Came) -> None:
        """A request of a session that is this server's."""
        if came.strict and self._lapsed(now, held):
            self._let_go(now, held, None)
            return self._came(now, came)
        held.used = now
        self.owned.move_to_end(came.key)
        if len(held.flows) < FLOWS_MOST:
            held.flows.add(came.flow)
        held.strict = held.strict or came.strict
        if held.phase not in (Phase.SERVING, Phase.CHANGING):
            if not came.strict:
                return self._here(came, held.binding, Why.HANDOVER)
            return self._hold(now, held, came, Why.HANDOVER)
        if not self._can(self.me, held.binding.version, (came.flow,)):
            self._queue(held, Cause.INCAPABLE)
            return self._hold(now, held, came, Why.INCAPABLE)
        if came.strict:
            held.open.add(came.ref)
        self._here(came, held.binding, Why.OWNER)
        if now - held.written > self.settings.life / 4 and held.phase is Phase.SERVING:
            self._change(now, held, held.binding.taken(self.me, self.incarnation, held.binding.version))
        return None

    def _lapsed(self, now: float, held: Held) -> bool:
        """Whether the register may have forgotten that it is this server's, as with no majority in reach for
        long: then no number there refuses a claim, and anyone may begin it anew.
        """
        return now >= held.written + self.settings.life

    def _hold(self, now: float, held: Held, came: Came, why: Why) -> None:
        """It waits for the next owner."""
        if len(held.waiting) >= self.settings.waiting_most:
            return self._without(came, why)
        if not held.waiting:
            held.wait_until = now + self.settings.bind_within
            self._arm(held.binding.key, held.wait_until)
        held.waiting.append(came)
        return None

    def _here(self, came: Came, binding: Binding, why: Why) -> None:
        self.counts[f"here_{why.value}"] += 1
        self._out.append(Here(came.ref, binding.number, binding.version, why))

    def _without(self, came: Came, why: Why, retry_after_s: float = 0.0) -> None:
        """Its owner can't have it: served here if it may be run twice, otherwise rejected; it never ran."""
        if came.strict or why is Why.INCAPABLE:
            self.counts[f"denied_{why.value}"] += 1
            self._out.append(Reject(came.ref, max(retry_after_s, self.settings.retry_after_s), why))
        else:
            self.counts[f"here_{why.value}"] += 1
            self._out.append(Here(came.ref, 0, self.version, why))

    def _forward(self, came: Came, route: Binding) -> None:
        if came.sender:  # it has had its hop: who passed it on does so anew
            self.counts["given_back"] += 1
            self._out.append(Back(came.ref, came.sender, route))
            return None
        self.counts["passed"] += 1
        self._out.append(Pass(came.ref, route.owner))
        return None

    def _over(self, now: float, ref: int, key: str) -> None:
        held = self.owned.get(key)
        if held is None:
            left = self._open.get(key, set())
            left.discard(ref)
            if not left:
                self._open.pop(key, None)
            return
        held.open.discard(ref)
        if held.phase is Phase.PASSING and not held.open:
            self._give(now, held)

    def _unreached(self, now: float, came: Came, to: str) -> None:
        """The owner is in the view as far as is known: nobody may take its session, or its keyed work."""
        route = self.routes.get(came.key)
        if route is not None and (route.owner != to or not self._lives(route)):
            return self._returned(now, came, None)  # its session has gone on meanwhile
        if self.settings.broken == "two-owners" and route is not None:
            held = self.owned[came.key] = Held(route, route.number, now, now)
            return self._serve(now, held, came)
        return self._without(came, Why.UNREACHED)

    def _returned(self, now: float, came: Came, binding: Binding | None) -> None:
        """It goes to the owner once more; after that it is decided here, and never goes round."""
        if binding is not None:
            self._told(now, binding)
            route = self.routes.get(came.key)
            if route is not None and route.number > binding.number:
                del self.routes[came.key]  # it lapsed, and began anew below: the register tells
        if came.back:
            return self._without(came, Why.STALE)
        return self._came(now, replace(came, back=True))

    def _refused(self, now: float, came: Came, number: int) -> None:
        """A higher number stands there than this server knew: its own next, or another owner's."""
        held = self.owned.get(came.key)
        self.counts["refused"] += 1
        if held is not None:
            held.open.discard(came.ref)
            if held.binding.number <= number:
                self._let_go(now, held, None)
        self._came(now, came)

    # -- finding and taking

    def _seek(self, now: float, key: str) -> Seek:
        seek = self.seeks[key] = Seek(key, now + self.settings.bind_within)
        self._arm_seek(seek, seek.until)
        return seek

    def _read(self, seek: Seek) -> None:
        self._stage(seek, Stage.READING)
        seek.asked = self._ref(seek.key)
        self._out.append(Read(seek.asked, seek.key))

    def _answered(self, now: float, ref: int, verdict: Verdict, entry: Binding | None) -> None:
        key = self._asked.pop(ref, None)
        if key is None:
            return
        if (held := self.owned.get(key)) is not None and held.asked == ref:
            held.asked = 0
            self._written(now, held, verdict, entry)
        elif (seek := self.seeks.get(key)) is not None and seek.asked == ref:
            seek.asked, seek.read_at = 0, now
            if verdict is Verdict.UNREACHABLE:
                self._fail(seek, Why.NO_MAJORITY)
            elif seek.stage is Stage.WRITING and verdict is Verdict.WON:
                self._took(now, seek)
            else:
                self._found(now, seek, entry)

    def _found(self, now: float, seek: Seek, entry: Binding | None) -> None:
        """What the register holds of it."""
        self._stage(seek, Stage.READING)
        seek.entry = entry
        if entry is None or entry.state is State.ENDED:
            seek.cause = None
            return self._place(now, seek)
        if not self._lives(entry):
            seek.cause = Cause.REMOVED
            return self._place(now, seek)
        if entry.owner == self.me and entry.state is State.HELD:
            seek.cause = None
            return self._write(now, seek)  # how much of its life is left nobody tells: it is renewed first
        if entry.owner == self.me:
            self._drop(seek)
            return self._adopt(now, seek, entry)
        return self._settle(now, seek, entry)

    def _place(self, now: float, seek: Seek) -> None:
        """It has no owner. One that was offered it takes it or declines; others look for the best."""
        if seek.asker is not None:
            if self._has_room(seek.flows, self._next_version(seek), seek.forced):
                return self._write(now, seek)
            self._drop(seek)
            self._send(seek.asker[0], Reply(seek.key, seek.asker[1], True))
            for came in seek.waiting:
                self._without(came, Why.FULL)
            return None
        if seek.cause is not None and not seek.paid:
            if (wait := self._turn(now, seek)) > 0:
                return self._fail(seek, Why.BUDGET, wait)
            seek.paid = True
        able = self._able_for(seek.flows, self._next_version(seek))
        if not able:
            return self._fail(seek, Why.INCAPABLE)
        version = self._next_version(seek)
        if any(one.sender for one in seek.waiting) and self._has_room(seek.flows, version, False):
            return self._write(now, seek)  # passed here as to its owner: it stays, and needs no hop more
        target = "" if seek.forced else self._choose(seek.key, able, seek.cause is not None, seek.tried)
        if not target and not seek.forced:  # nobody is below its bound: the least loaded, past it
            seek.forced = True
            seek.tried.clear()
        target = target or self._least(able - seek.tried)
        if not target:
            return self._fail(seek, Why.FULL)
        if target == self.me:
            if self._has_room(seek.flows, self._next_version(seek), seek.forced):
                return self._write(now, seek)
            seek.tried.add(target)
            return self._place(now, seek)
        self._last_ref += 1
        self._stage(seek, Stage.OFFERED)
        seek.target, seek.asked = target, self._last_ref
        within = self.settings.offer_within + (self.settings.claim_within if seek.cause else 0.0)
        self._arm_seek(seek, min(now + within, seek.until))
        self._send(target, Offer(seek.key, seek.asked, tuple(sorted(seek.flows)), seek.forced))
        return None

    def _turn(self, now: float, seek: Seek) -> float:
        """Seconds until the session of an owner that is gone may move; 0: now, and it is paid for.

        Each such session has its turn by its key, spread so that the fleet moves no more a second than its
        budget, whoever has the requests; a bucket guards against loads that were not known.
        """
        if self.settings.broken == "no-budget" or seek.entry is None:
            return 0.0
        since, span = self._gone.get((seek.entry.owner, seek.entry.incarnation), (now, 0.0))
        wait = since + span * spread(seek.key) - now
        if wait <= 0 and not self._takeovers.take(now):
            wait = self._takeovers.wait(now)
        return max(wait, 0.0)

    def _write(self, now: float, seek: Seek) -> None:
        """This server writes itself in; after one that is gone, once all its claims have begun or lapsed.

        The register answered at this epoch: it takes no claim of an older one since. So none was asked for
        later than that answer.
        """
        if seek.cause is Cause.REMOVED and now < (rest := seek.read_at + self.settings.claim_within):
            self._stage(seek, Stage.RESTING)
            seek.until = max(seek.until, rest + self.settings.bind_within)
            for came in [one for one in seek.waiting if not one.strict]:
                seek.waiting.remove(came)
                self._without(came, Why.HANDOVER)
            return self._arm_seek(seek, rest)
        entry, version = seek.entry, self._next_version(seek)
        # Holders that fell together may have taken the last entry with them, and left an older one elsewhere.
        # One that lapsed in this epoch may have been higher too, by a route that is still known here.
        first = (self.view.epoch if self.view else 0) << EPOCH_SHIFT | 1
        before = newer(entry, self.routes.get(seek.key))
        number = max(first, before.number + 1 if before is not None else 0)
        seek.value, seek.asked_at = Binding(seek.key, number, self.me, self.incarnation, version), now
        self._stage(seek, Stage.WRITING)
        seek.asked = self._ref(seek.key)
        self._arm_seek(seek, seek.until)
        expect = entry.number if entry is not None else 0
        self._out.append(Write(seek.asked, seek.key, expect, seek.value, self.settings.life))

    def _took(self, now: float, seek: Seek) -> None:
        self._drop(seek)
        if seek.value is None:
            return
        if seek.cause is None:
            begun = seek.entry is None or seek.entry.state is State.ENDED
            self.counts["begun" if begun else "kept"] += 1
        else:
            self.counts[f"moved_{seek.cause.value}"] += 1
            self._note(
                "moved",
                key=seek.key,
                cause=seek.cause.value,
                number=seek.value.number,
                owner=seek.entry.owner if seek.entry else "",
            )
        self._adopt(now, seek, seek.value)

    def _adopt(self, now: float, seek: Seek, binding: Binding) -> None:
        """It is this server's: newly, or by a write whose answer was lost, or it had been forgotten here."""
        if seek.key not in self.owned:
            if not self._make_room():
                return self._no_room(seek, binding)
            written = seek.asked_at if binding is seek.value else now
            runs = self._open.pop(seek.key, set())
            held = Held(binding, binding.number, now, written, set(seek.flows), runs)
            self.owned[seek.key] = held
            if binding.state is State.PASSING:
                held.cause = Cause.DRAIN
                self._passing(now, held)
        else:
            held = self.owned[seek.key]
        self.routes.pop(seek.key, None)
        if seek.asker is not None:
            self._send(seek.asker[0], Reply(seek.key, seek.asker[1], False, binding))
        if seek.take is not None:
            self._send(seek.take.binding.owner, Told(binding))
        for came in seek.waiting:
            self._serve(now, held, came)
        self._after_adopt(now, held)

    def _no_room(self, seek: Seek, binding: Binding) -> None:
        """It is this server's, by the register, and all that it holds has keyed work open."""
        if seek.asker is not None:
            self._send(seek.asker[0], Reply(seek.key, seek.asker[1], False, binding))
        if seek.take is not None:
            self._send(seek.take.binding.owner, Told(binding))
        for came in seek.waiting:
            self._without(came, Why.FULL)

    def _after_adopt(self, now: float, held: Held) -> None:
        if self._drain is not None:
            self._queue(held, Cause.DRAIN)
        elif held.binding.version not in self._able and self.version:
            self._queue(held, Cause.RETIRED)

    def _settle(self, now: float, seek: Seek, binding: Binding) -> None:
        """It is another's."""
        self._drop(seek)
        self._learn(binding)
        if seek.asker is not None:
            self._send(seek.asker[0], Reply(seek.key, seek.asker[1], False, binding))
        for came in seek.waiting:
            if binding.owner == self.me:
                self._came(now, came)
            else:
                self._forward(came, binding)

    def _fail(self, seek: Seek, why: Why, retry_after_s: float = 0.0) -> None:
        """No owner could be found or made for now; what waits for one goes without."""
        self._drop(seek)
        if seek.asker is not None:
            self._send(seek.asker[0], Reply(seek.key, seek.asker[1], False))
        for came in seek.waiting:
            self._without(came, why, min(retry_after_s, self.settings.bind_within))

    def _stage(self, seek: Seek, stage: Stage) -> None:
        self._taking += (stage is Stage.WRITING) - (seek.stage is Stage.WRITING)
        seek.stage = stage

    def _drop(self, seek: Seek) -> None:
        if self.seeks.get(seek.key) is seek:
            del self.seeks[seek.key]
        self._stage(seek, Stage.READING)
        self._asked.pop(seek.asked, None)

    # -- who it goes to

    @property
    def _in_view(self) -> bool:
        mine = self.view.get(self.me) if self.view is not None else None
        return mine is not None and mine.incarnation == self.incarnation

    def _lives(self, binding: Binding) -> bool:
        """Whether its owner is in the view, as the self that took it."""
        owner = self.view.get(binding.owner) if self.view is not None else None
        return owner is not None and owner.incarnation == binding.incarnation

    def _next_version(self, seek: Seek) -> int:
        """A new session begins under the active one; a moved one goes on under its own while that is kept."""
        if seek.entry is None or seek.entry.state is State.ENDED:
            return self.version
        return seek.entry.version if seek.entry.version in self._able else self.version

    def _can(self, name: str, version: int, flows: Iterable[str]) -> bool:
        able = self._able.get(version, {})
        return all(flow not in able or name in able[flow] for flow in flows)

    def _able_for(self, flows: Iterable[str], version: int) -> set[str]:
        """The members of the view that can run all of these."""
        flows = list(flows)
        names = self.view.names if self.view is not None else ()
        return {name for name in names if self._can(name, version, flows) and not self._leaving(name)}

    def _leaving(self, name: str) -> bool:
        if name == self.me:
            return self._drain is not None
        load = self.loads.get(name)
        return load is not None and load.weight <= 0

    def _known_loads(self) -> dict[str, Load]:
        mine = self.loads.get(self.me, Load())
        return {**self.loads, self.me: replace(mine, sessions=len(self.owned) + self._taking)}

    def _choose(self, key: str, names: set[str], moved: bool, without: set[str]) -> str:
        loads = self._known_loads()
        most = bounds(loads, names, self.settings.factor, self.settings.bound_least)
        order = (move_to if moved else begin_on)(key, loads, most)
        return next((name for name in order if name not in without), "")

    def _least(self, names: set[str]) -> str:
        loads = self._known_loads()
        known = [(loads.get(name, Load()), name) for name in names]
        ratios = [(one.sessions / one.weight, name) for one, name in known if one.weight > 0]
        return min(ratios, default=(0.0, ""))[1]

    def _has_room(self, flows: Iterable[str], version: int, forced: bool) -> bool:
        """Whether this server may take one more that needs these flows: it alone knows what it has."""
        flows = list(flows)
        if self._drain is not None or not self._in_view or not self._can(self.me, version, flows):
            return False
        mine = len(self.owned) + self._taking
        if mine >= self.settings.sessions_most and self._forgettable() is None:
            return False
        if forced:
            self.counts["forced"] += 1
            return True
        able, settings = self._able_for(flows, version), self.settings
        most = bounds(self._known_loads(), able, settings.factor, settings.bound_least)
        return mine < most.get(self.me, 0)

    # -- what is said between servers

    def _got(self, now: float, sender: str, message: Message) -> None:
        match message:
            case Offer():
                self._offered(now, sender, message)
            case Reply(key, turn, full, binding):
                seek = self.seeks.get(key)
                if seek is None or seek.stage is not Stage.OFFERED or seek.asked != turn:
                    return
                if full:
                    seek.tried.add(sender)
                    self._place(now, seek)
                elif binding is None:
                    self._fail(seek, Why.NO_MAJORITY)
                else:
                    load = self.loads.get(sender, Load())
                    if binding.owner == sender:  # until it tells its load itself
                        self.loads[sender] = replace(load, sessions=load.sessions + 1)
                    self._settle(now, seek, binding)
            case Take():
                self._told_to_take(now, sender, message)
            case Declined(key, number):
                held = self.owned.get(key)
                if held is not None and held.phase is Phase.GIVING and held.binding.number == number:
                    held.tried.add(sender)
                    self._next_successor(now, held)
            case Told(binding):
                self._told(now, binding)

    def _offered(self, now: float, sender: str, offer: Offer) -> None:
        if (held := self.owned.get(offer.key)) is not None:
            return self._send(sender, Reply(offer.key, offer.turn, False, held.binding))
        seek = self.seeks.get(offer.key)
        if seek is None:
            if len(self.seeks) >= self.settings.seeks_most:
                return self._send(sender, Reply(offer.key, offer.turn, True))
            seek = self._seek(now, offer.key)
            seek.asker = (sender, offer.turn)
            seek.forced = offer.forced
            seek.flows.update(offer.flows[:FLOWS_MOST])
            return self._read(seek)
        if seek.stage is Stage.OFFERED and sender < self.me:
            # Two look for an owner and each found the other best: one of them gives way.
            seek.asker, seek.forced = (sender, offer.turn), offer.forced
            return self._read(seek)
        if seek.stage is Stage.OFFERED:
            return self._send(sender, Reply(offer.key, offer.turn, True))
        seek.asker = (sender, offer.turn)
        return None

    def _told_to_take(self, now: float, sender: str, take: Take) -> None:
        binding = take.binding
        known = self.owned.get(binding.key)
        if known is not None:
            if known.binding.number > binding.number:
                self._send(sender, Told(known.binding))
            return
        seek = self.seeks.get(binding.key)
        if seek is not None and seek.stage is Stage.WRITING:
            seek.take = take
            return  # its answer tells
        version = binding.version if binding.version in self._able else self.version
        if not self._has_room(take.flows, version, take.forced) or (
            seek is None and len(self.seeks) >= self.settings.seeks_most
        ):
            return self._send(sender, Declined(binding.key, binding.number))
        if seek is None:
            seek = self._seek(now, binding.key)
        self._asked.pop(seek.asked, None)
        seek.take, seek.entry, seek.cause = take, binding, take.cause
        seek.flows.update(take.flows[:FLOWS_MOST])
        self._write(now, seek)

    def _told(self, now: float, binding: Binding) -> None:
        held = self.owned.get(binding.key)
        if held is not None:
            if binding.number > held.binding.number and (binding.owner, binding.incarnation) != (
                self.me,
                self.incarnation,
            ):
                self._let_go(now, held, binding)
            return
        self._learn(binding)

    def _learn(self, binding: Binding) -> None:
        known = self.routes.get(binding.key)
        if known is None or known.number < binding.number:
            self.routes[binding.key] = binding
        self.routes.move_to_end(binding.key)
        while len(self.routes) > self.settings.routes_most:
            self.routes.popitem(last=False)

    # -- how an owner changes or gives a session away

    def _queue(self, held: Held, cause: Cause) -> None:
        """It must move or change, when the budget allows."""
        if held.due is None and held.phase in (Phase.SERVING, Phase.CHANGING):
            held.due = cause
            self._due.append(held.binding.key)

    def _work_off(self, now: float) -> None:
        """What is due, as far as the budget goes."""
        stuck = False
        for _ in range(len(self._due)):
            if not self._pay(now):
                break
            key = self._due.popleft()
            held = self.owned.get(key)
            cause = held.due if held is not None else None
            if held is None or cause is None:
                self._budget.give_back()
                continue
            if held.phase is not Phase.SERVING:  # a change of its own is under way
                self._budget.give_back()
                self._due.append(key)
                stuck = True
                continue
            held.due = None
            stuck = not self._settle_due(now, held, cause) or stuck
        if self._due:
            wait = min((self._drain or self._budget).wait(now), self.settings.repeat)
            self._due_at = now + (self.settings.repeat if stuck else max(wait, 1e-3))

    def _settle_due(self, now: float, held: Held, cause: Cause) -> bool:
        """Move or change it; False if there is nobody to give it to, yet."""
        stays = cause in (Cause.RETIRED, Cause.MANDATORY) and self.settings.broken != "rehash-on-bump"
        if stays and self._can(self.me, self.version, held.flows):
            held.cause = cause
            self._change(now, held, held.binding.taken(self.me, self.incarnation, self.version))
            return True
        if self._hand_over(now, held, cause):
            return True
        self._budget.give_back()
        self.counts["no_heir"] += 1
        self._queue(held, cause)
        return False

    def _pay(self, now: float) -> bool:
        if self.settings.broken == "no-budget":
            return True
        return (self._drain or self._budget).take(now)

    def _change(self, now: float, held: Held, value: Binding) -> None:
        """The same owner's next binding: renewed, or under another version. It goes on serving."""
        held.phase, held.since = Phase.CHANGING, now
        self._write_held(now, held, value)

    def _write_held(self, now: float, held: Held, value: Binding) -> None:
        held.next, held.asked, held.at = value, self._ref(held.binding.key), inf
        held.asked_at = now
        self._out.append(Write(held.asked, value.key, held.binding.number, value, self.settings.life))

    def _hand_over(self, now: float, held: Held, cause: Cause) -> bool:
        """Begin to give it away; False if there is nobody to give it to."""
        successor = self._successor(held)
        if not successor:
            return False
        held.cause = cause
        if self.settings.broken == "no-handover":  # it goes on taking while the successor begins
            self._send(successor, Take(held.binding, cause, tuple(sorted(held.flows))))
            return True
        self._stop(now, held, successor)
        return True

    def _successor(self, held: Held) -> str:
        version = held.binding.version if held.binding.version in self._able else self.version
        able = self._able_for(held.flows, version) - {self.me}
        found = self._choose(held.binding.key, able, True, held.tried)
        return found or self._least(able - held.tried) or self._least(able)

    def _stop(self, now: float, held: Held, successor: str) -> None:
        held.phase, held.since = Phase.STOPPING, now
        self._write_held(now, held, held.binding.passing(successor))

    def _written(self, now: float, held: Held, verdict: Verdict, entry: Binding | None) -> None:
        """The register's answer to what this owner wrote of its session."""
        value, held.next = held.next, None
        mine = (
            entry is not None
            and (entry.owner, entry.incarnation) == (self.me, self.incarnation)
            and entry.number > held.binding.number
        )
        if verdict is Verdict.UNREACHABLE:
            if held.phase is Phase.CHANGING:
                held.phase = Phase.SERVING
                if held.cause is not None:
                    self._queue(held, held.cause)
                    held.cause = None
                return None
            held.at = now + self.settings.repeat  # it may stand there: only another try can tell
            return self._arm(held.binding.key, held.at)
        if verdict is Verdict.LOST and not mine:
            return self._let_go(now, held, entry if entry and entry.number > held.binding.number else None)
        stands = value if verdict is Verdict.WON else entry
        if stands is None:
            return self._let_go(now, held, None)
        held.binding = stands
        if verdict is Verdict.WON:  # else it is an older write of its own, whose answer was lost
            held.written = held.asked_at
        if stands.state is State.PASSING:
            return self._passing(now, held)
        if held.phase is Phase.CHANGING and held.cause is not None and stands.version == self.version:
            self.counts[f"brought_{held.cause.value}"] += 1
        if held.phase is Phase.STOPPING:  # what stands is a change of its own, older than the handover
            return self._stop(now, held, self._successor(held))
        held.phase, held.cause = Phase.SERVING, None
        return None

    def _passing(self, now: float, held: Held) -> None:
        held.phase, held.since = Phase.PASSING, now
        if not held.open:
            return self._give(now, held)
        held.at = now + self.settings.handover_within
        return self._arm(held.binding.key, held.at)

    def _give(self, now: float, held: Held) -> None:
        """Nothing of it runs here that may yet begin: the successor may take it."""
        if held.phase is not Phase.GIVING:
            held.phase, held.since = Phase.GIVING, now
            if held.open:
                self.counts["passed_as_claims"] += len(held.open)
                self._note("passed as claims", key=held.binding.key, runs=len(held.open))
        successor = held.binding.successor
        if self.view is None or successor not in self.view or now - held.since > self.settings.bind_within:
            held.tried.add(successor)
            return self._next_successor(now, held)
        flows = tuple(sorted(held.flows))
        self._send(successor, Take(held.binding, held.cause or Cause.DRAIN, flows, bool(held.tried)))
        held.at = now + self.settings.repeat
        return self._arm(held.binding.key, held.at)

    def _next_successor(self, now: float, held: Held) -> None:
        successor = self._successor(held)
        if successor and successor != self.me:
            return self._stop(now, held, successor)
        held.at = now + self.settings.repeat
        return self._arm(held.binding.key, held.at)

    def _let_go(self, now: float, held: Held, binding: Binding | None) -> None:
        """It is not this server's any more, by what it knows. Keyed runs that are open stay claims; if it
        turns out to be its own after all, or is again, they count as open still."""
        self.owned.pop(held.binding.key, None)
        if held.open:
            self._open[held.binding.key] = held.open
        self._asked.pop(held.asked, None)
        if binding is not None:
            self._learn(binding)
        else:
            self.routes.pop(held.binding.key, None)
        for came in held.waiting:
            self._came(now, came)

    # -- room

    def _forgettable(self) -> str | None:
        """The longest unused session without open work of the `EVICT_SCAN` oldest; idempotent ones first."""
        second: str | None = None
        for place, (key, held) in enumerate(self.owned.items()):
            if place >= EVICT_SCAN:
                break
            if held.open or held.waiting or held.phase is not Phase.SERVING:
                continue
            if not held.strict:
                return key
            second = second or key
        return second

    def _make_room(self) -> bool:
        """Whether there is room for one more."""
        while len(self.owned) >= self.settings.sessions_most:
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
                much = self.loads.get(one.name, Load()).sessions
                self._gone[one.name, one.incarnation] = (now, much / max(self.settings.moves_per_s, 1e-6))
        self._gone = {one: (at, span) for one, (at, span) in self._gone.items() if now < at + span}
        self.view = view
        self._budget.set(now, self.settings.moves_per_s / max(len(view.members), 1))
        mine = view.get(self.me)
        if mine is None or mine.incarnation != self.incarnation:
            for held in list(self.owned.values()):
                self._let_go(now, held, None)
            for seek in list(self.seeks.values()):
                self._fail(seek, Why.NO_VIEW)
            if mine is not None and mine.incarnation > self.incarnation:
                self.incarnation = mine.incarnation  # taken in again, and owns nothing
            return
        for seek in [one for one in self.seeks.values() if one.stage is Stage.OFFERED]:
            if seek.target not in view:
                self._place(now, seek)
        for held in [one for one in self.owned.values() if one.phase is Phase.GIVING]:
            if held.binding.successor not in view:
                self._next_successor(now, held)

    def _activate(self, now: float, active: Active) -> None:
        if active.version < self.version:
            return
        if active.version > self.version:
            if self.version:
                self._past[self.version] = now
            self.version = active.version
        self._able[active.version] = dict(active.able)
        kept = sorted(self._able, reverse=True)
        for version in kept[self.settings.keep_versions :]:
            self._retire(version)
        for held in list(self.owned.values()):
            if self.settings.broken == "rehash-on-bump" and held.binding.version < self.version:
                self._queue(held, Cause.RETIRED)
            elif active.mandatory and held.binding.version < self.version:
                self._queue(held, Cause.MANDATORY)
            elif not self._can(self.me, held.binding.version, held.flows):
                self._queue(held, Cause.INCAPABLE)

    def _retire(self, version: int) -> None:
        self._able.pop(version, None)
        self._past.pop(version, None)
        for held in list(self.owned.values()):
            if held.binding.version == version:
                self._queue(held, Cause.RETIRED)

    def _leave(self, now: float, grace: float) -> None:
        """Hand over all, spread over the grace; what is left at its end moves once the view is without us."""
        span = max(grace * self.settings.drain_share, 1e-3)
        self._drain = Budget(max(self.settings.moves_per_s, (len(self.owned) + 1) / span), now)
        for held in list(self.owned.values()):
            held.due = None
            self._queue(held, Cause.DRAIN)
        for seek in [one for one in self.seeks.values() if one.stage is not Stage.WRITING and one.asker]:
            self._fail(seek, Why.FULL)

    def _tick(self, now: float) -> None:
        while self._timers and self._timers[0][0] <= now:
            _, key = heapq.heappop(self._timers)
            if (seek := self.seeks.get(key)) is not None and seek.at <= now:
                self._late_seek(now, seek)
            if (held := self.owned.get(key)) is not None:
                self._late_held(now, held)
        for version, since in list(self._past.items()):
            if now >= since + self.settings.retire_after:
                self._retire(version)
        while self.owned:
            held = next(iter(self.owned.values()))
            if now < held.used + self.settings.idle:
                break
            if held.open or held.waiting or held.phase is not Phase.SERVING:
                held.used = now  # it is in use
                self.owned.move_to_end(held.binding.key)
                continue
            self._end(held)

    def _end(self, held: Held) -> None:
        """Idle for longer than set. If the write is lost the binding lapses by itself."""
        del self.owned[held.binding.key]
        self.counts["ended_idle"] += 1
        value = held.binding.ended()
        self._out.append(Write(self._ref(""), value.key, held.binding.number, value, self.settings.life))

    def _late_seek(self, now: float, seek: Seek) -> None:
        if seek.stage is Stage.RESTING:
            if self._has_room(seek.flows, self._next_version(seek), seek.forced):
                self._write(now, seek)
            else:
                self._place(now, seek)
        elif now >= seek.until:
            self._fail(seek, Why.NO_MAJORITY if seek.stage is not Stage.OFFERED else Why.FULL)
        elif seek.stage is Stage.OFFERED:
            seek.tried.add(seek.target)
            self._place(now, seek)
        else:
            self._arm_seek(seek, seek.until)

    def _late_held(self, now: float, held: Held) -> None:
        if held.waiting and now >= held.wait_until:
            waiting, held.waiting = held.waiting, []
            for came in waiting:
                self._without(came, Why.HANDOVER if held.phase is not Phase.SERVING else Why.INCAPABLE)
        if held.at > now:
            return
        held.at = inf
        match held.phase:
            case Phase.STOPPING if not held.asked:
                self._stop(now, held, self._successor(held) or held.binding.successor)
            case Phase.PASSING | Phase.GIVING:
                self._give(now, held)

    # -- small things

    def _ref(self, key: str) -> int:
        self._last_ref += 1
        self._asked[self._last_ref] = key
        return self._last_ref

    def _arm(self, key: str, at: float) -> None:
        heapq.heappush(self._timers, (at, key))

    def _arm_seek(self, seek: Seek, at: float) -> None:
        seek.at = at
        self._arm(seek.key, at)

    def _send(self, to: str, message: Message) -> None:
        self._out.append(Send(to, message))

    def _note(self, what: str, **fields: object) -> None:
        self._out.append(Note(what, fields))

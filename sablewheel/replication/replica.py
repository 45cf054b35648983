"""One member's whole part: proposer for its own server's requests, holder for others'. Pure.

`step(now, event) -> effects`; no I/O, no clock, chance handed in. A claim is never taken over: who won it is
the only one that may ever run its idempotency key. What is late, from an older view or an earlier self, is
refused where it would decide, and counts no_retry_elsewhere.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field, replace
from math import inf

from .entries import EMPTY, NO_BALLOT, Ballot, Change, Entry, Outcome, Owner, State, merge
from .messages import (
    Accept,
    Accepted,
    Answer,
    Ask,
    AskPast,
    Claim,
    Effect,
    Event,
    Fetch,
    Fetched,
    Finish,
    Free,
    Got,
    Key,
    Message,
    Note,
    Past,
    Piece,
    Prepare,
    Promise,
    Pull,
    Push,
    Pushed,
    Read,
    Refuse,
    Send,
    Stored,
    Told,
    Viewed,
    Write,
)
from .paxos_register import Round, next_ballot
from .placement import majority, slot_of
from .plan import Settings
from .range_transfer import Ranges, Standing
from .store import Store

LABELS = "labels"
SESSIONS = "sessions"  # bindings, whose numbers fence the claims of their groups
FIRST: Key = ("", b"")
PAST_MOST = 8  # views a message
KNOWN_MOST = 4096  # keys whose next ballot is promised to us
EXPIRE_EVERY = 0.5
PROBE_EVERY = 0.25
FAILED_FIRST, FAILED_MOST = 0.3, 2.0  # seconds that a range counts as out of reach after a failure, doubling
READ_ONLY = ("known", "running", "stale")  # what a round may mean without proposing anything
UNPLACED = "outcome not on a majority in its life"
TALK_WITHIN = 0.5  # a peer that is asked for a range and silent for so long is asked anew


@dataclass(slots=True)
class Spread:
    """An outcome on its way to a majority, or a value that is read from one."""

    ref: int
    key: Key
    slot: int
    until: float
    entry: Entry | None  # what is pushed; None: it is read
    holders: tuple[str, ...] = ()
    heard: set[str] = field(default_factory=set)
    found: Entry = EMPTY
    tries: int = 0
    at: float = 0.0  # of its next repeat

    def asks(self, epoch: int, now: float) -> list[tuple[str, Message]]:
        left = self.until - now
        ask: Message
        if self.entry is None:
            ask = Fetch(epoch, self.ref, self.key, self.slot)
        else:
            ask = Push(epoch, self.ref, self.key, self.slot, self.entry, left)
        return [(name, ask) for name in self.holders if name not in self.heard]


@dataclass(slots=True)
class Own:
    """A claim of this process, until it is over: asking, won, finishing or freeing."""

    owner: Owner
    slot: int
    group: bytes
    until: float
    state: str = "asking"
    entry: Entry = EMPTY


@dataclass(slots=True)
class Talk:
    """With one peer about ranges: what it was asked, what is pulled from it."""

    at: float = -inf
    asked: int = 0  # ranges
    queue: list[tuple[int, int]] = field(default_factory=list)  # slot, what it told of its readiness


class Replica:
    """`name` and `birth` (later in each life of the name than in the one before) are its identity."""

    def __init__(self, name: str, birth: int, settings: Settings, chance: random.Random, now: float) -> None:
        self.name, self.birth, self._set, self._chance = name, birth, settings, chance
        self.ranges = Ranges(name, birth, settings.copies, settings.slots)
        self.store = self.make_store()
        self.binding_life = settings.binding_life  # may be raised by who binds sessions
        self.epoch = 0  # of the view that it is in; 0: in none
        self._frozen = 0  # it is out, and told others so: it decides for no view before that one
        self.counts: Counter[str] = Counter()
        self._now = now
        self._out: list[Effect] = []
        self._own_post: list[Message] = []
        self._round, self._ref = 0, 0
        self._turn = 0
        self._rounds: dict[int, Round] = {}  # by ref
        self._at_key: dict[Key, int] = {}  # the round under way on it
        self._spreads: dict[int, Spread] = {}
        self._timers: list[tuple[float, int]] = []
        self._asked: dict[int, int] = {}  # round or spread -> the ref of who asked us
        self.owns: dict[bytes, Own] = {}
        self._known: dict[Key, tuple[Ballot, Entry]] = {}
        self._talks: dict[str, Talk] = {}
        self._sync_at = self._repair_at = self._expire_at = inf
        self._turned = 0  # where the repair goes on
        self.silent: dict[str, float] = {}  # holders that owe an answer, and since when
        self._failed: dict[int, tuple[float, float]] = {}  # ranges out of reach: until, how long
        self._probe_at, self._syncs = inf, 0

    def make_store(self) -> Store:
        return Store(self._set.entries_most, self._set.bytes_most)

    @property
    def wake_at(self) -> float:
        first = self._timers[0][0] if self._timers else inf
        return min(first, self._sync_at, self._repair_at, self._expire_at, self._probe_at)

    def slot(self, group: bytes) -> int:
        return slot_of(group, self._set.slots)

    def step(self, now: float, event: Event) -> list[Effect]:
        self._now, self._out = now, []
        match event:
            case Got(sender, message):
                self._got(sender, message)
            case Viewed():
                self._viewed(event)
            case Claim():
                self._claim(event)
            case Finish():
                self._finish(event)
            case Free(key):
                self._free(key)
            case Write():
                change = Change(
                    "write", self._mine(), value=event.value, number=event.expect, floor=event.floor
                )
                place = (event.collection, event.key)
                self._open(event.ref, place, event.key, change, now + event.life)
            case Read():
                self._read(event)
        self._ring()
        while self._own_post:
            self._got(self.name, self._own_post.pop(0))
            self._ring()
        return self._out

    # -- what others ask of it in its process

    def reachable(self, group: bytes, now: float, within: float) -> bool:
        """Whether nothing speaks against a majority of a group's holders: it was not missed lately, and not
        so many of them are silent for so long (seconds).
        """
        slot = self.slot(group)
        if not self.epoch or now < self._failed.get(slot, (-inf, 0.0))[0]:
            return False
        names, good = self._holders(slot), 0
        for name in names:
            if name == self.name:
                good += self.is_ready(slot)
            else:
                good += now < self.silent.get(name, inf) + within
        return good >= self.needed(len(names))

    def may_have_run(self, key: bytes, group: bytes) -> bool:
        """Whether the copy here, ready or not, has a claim or an outcome of this idempotency key."""
        held = self.store.get(self.slot(group), (LABELS, key))
        return held is not None and held.entry.state in (State.CLAIMED, State.DONE)

    # -- points that a version broken on purpose changes (trials)

    def needed(self, holders: int) -> int:
        return majority(holders)

    def is_ready(self, slot: int) -> bool:
        return self.ranges.is_ready(slot)

    def foreign(self, epoch: int) -> bool:
        """Whether a message is of another view than the one held here."""
        return epoch != self.epoch

    def listens(self, sender: str) -> bool:
        """Whether it is in the view held here."""
        return sender in self.ranges.places

    # -- views

    def _viewed(self, viewed: Viewed) -> None:
        if viewed.epoch <= self.ranges.epoch or viewed.epoch < self._frozen:
            return  # who was answered as one of `_frozen` was told that it decides nothing before that one
        me = next((one for one in viewed.sites if one.name == self.name), None)
        if me is None or me.incarnation < self.birth:
            self.epoch = 0  # removed, or not yet in: it decides nothing, and keeps what it has
            self._frozen = viewed.epoch if me is None else 0
            return
        self.ranges.view(viewed, self._now)
        self.epoch, self._frozen = viewed.epoch, 0
        self._known.clear()
        self._talks.clear()
        self.silent = {name: at for name, at in self.silent.items() if name in self.ranges.names}
        for slot in list(self.ranges.unready):
            self._settle(slot)
        for ref in list(self._rounds):
            self._begin(self._rounds[ref])
        for spread in list(self._spreads.values()):
            spread.holders, spread.heard = self._holders(spread.slot), set()
            self._arm(spread, self._now)
        self._failed.clear()
        self._syncs = 0
        if self.ranges.unready:
            self._sync_at = self._now
        self._repair_at = min(self._repair_at, self._now + self._set.repair_every)
        ready = len(self.ranges.mine) - len(self.ranges.unready)
        self._note("view", epoch=self.epoch, holds=len(self.ranges.mine), ready=ready)

    def _holders(self, slot: int) -> tuple[str, ...]:
        return self.ranges.views[self.epoch].names(slot) if self.epoch else ()

    # -- proposing

    def _mine(self) -> Owner:
        self._turn += 1
        return (self.name, self.birth, self._turn)

    def _claim(self, claim: Claim) -> None:
        own, slot = self.owns.get(claim.key), self.slot(claim.group)
        if own is not None and own.state != "freeing":
            return self._answer(claim.ref, "running", own.entry)  # by ourselves
        here = self.store.get(slot, (LABELS, claim.key))
        if own is None and here is not None and here.entry.state is State.DONE:
            return self._answer(claim.ref, "known", here.entry)  # an outcome is a fact, whoever has it
        if own is None:
            if len(self.owns) >= self._set.rounds_most:
                return self._answer(claim.ref, "full", EMPTY)
            own = Own(self._mine(), slot, claim.group, 0.0)
            self.owns[claim.key] = own
        # One that is being freed never ran: its owner may go on with it.
        own.state, own.until = "asking", self._now + min(claim.life, self._set.longest)
        self._ends(own.until)
        change = Change("claim", own.owner, digest=claim.digest)
        self._open(claim.ref, (LABELS, claim.key), claim.group, change, own.until, claim.under)

    def _open(self, ref: int, key: Key, group: bytes, change: Change, until: float, under: int = 0) -> None:
        before = self._at_key.get(key)
        if before is not None:
            if change.what == "write" or before in self._asked:
                self._answer(ref, "busy", EMPTY)
                return
            self._close(self._rounds[before])  # our own freeing, which this one takes up
        if len(self._rounds) >= 2 * self._set.rounds_most:
            if change.what == "claim":
                del self.owns[key[1]]
            self._answer(ref, "full", EMPTY)
            return
        self._ref += 1
        one = Round(self._ref, key, self.slot(group), group, change, until, under)
        self._rounds[one.ref] = one
        self._at_key[key] = one.ref
        if ref:
            self._asked[one.ref] = ref
            heapq.heappush(self._timers, (self._now + self._set.patience, -one.ref))
        self._begin(one)

    def _begin(self, one: Round) -> None:
        """Under the present view, with a ballot above all that were heard of."""
        known, holders = self._known.pop(one.key, None), self._holders(one.slot)
        if known is not None and known[0][0] == self.epoch:
            one.begin(self.epoch, holders, self.needed(len(holders)), *known)
            if one.means in READ_ONLY:
                known = None  # that was the value then; whether it still is, a whole round tells
        if known is None or known[0][0] != self.epoch:
            self._round += 2
            ballot = (self.epoch, self._round, self.name, self.birth)
            one.begin(self.epoch, holders, self.needed(len(holders)), ballot)
        self._arm(one, self._now)

    def _arm(self, one: Round | Spread, at: float) -> None:
        """Its next repeat; an earlier set one finds that it is not the one."""
        one.at = at
        heapq.heappush(self._timers, (at, one.ref))

    def _again(self, tries: int) -> float:
        wait: float = min(self._set.retry * 2.0 ** min(tries, 8), self._set.retry_most)
        return self._now + wait * self._chance.uniform(0.8, 1.2)

    def _ring(self) -> None:
        now = self._now
        while self._timers and self._timers[0][0] <= now:
            at, ref = heapq.heappop(self._timers)
            if ref < 0:
                self._out_of_patience(-ref)
            elif (one := self._rounds.get(ref)) is not None and one.at == at:
                self._ask_round(one)
            elif (spread := self._spreads.get(ref)) is not None and spread.at == at:
                self._ask_spread(spread)
        if now >= self._sync_at:
            self._sync()
        if now >= self._repair_at:
            self._repair()
        if now >= self._expire_at:
            self._expire()
        if now >= self._probe_at:
            self._probe()

    def _ask_round(self, one: Round) -> None:
        if one.until <= self._now:
            return self._over(one, "unreachable")
        if not self.epoch:
            return self._arm(one, self._now + self._set.retry_most)
        if one.epoch != self.epoch or one.tries < 0:
            one.tries = -one.tries
            return self._begin(one)
        one.offered = one.offered or one.proposed is not None
        for name, ask in one.asks(self._now):
            self._owes(name, one.tries)
            self._send(name, ask)
        one.tries += 1
        self._arm(one, self._again(one.tries - 1))

    def _owes(self, name: str, tries: int) -> None:
        if name != self.name and tries:
            self.silent.setdefault(name, self._now)
            self._probe_at = min(self._probe_at, self._now + PROBE_EVERY)

    def _probe(self) -> None:
        """Who is silent is asked whether it is back: nothing else may be, where requests are rejected."""
        for name in self.silent if self.epoch else ():
            self._send(name, Ask(self.epoch, ()))
        self._probe_at = self._now + PROBE_EVERY if self.silent else inf

    def _out_of_patience(self, ref: int) -> None:
        one = self._rounds.get(ref)
        if one is not None and ref in self._asked:
            full = "full" in one.refused.values()
            self._over(one, "full" if full else "unreachable")

    def _settled_by_reading(self, one: Round) -> bool:
        """Another's claim or an outcome stands: there is nothing to propose."""
        if one.means not in READ_ONLY:
            return False
        self._over(one, one.means)
        return True

    def _close(self, one: Round) -> int | None:
        del self._rounds[one.ref]
        self._at_key.pop(one.key, None)
        return self._asked.pop(one.ref, None)

    def _over(self, one: Round, verdict: str) -> None:
        """What the round came to, for good."""
        asked, entry = self._close(one), one.proposed or EMPTY
        if verdict in ("won", "freed") and one.proposed is not None:
            if len(self._known) >= KNOWN_MOST:
                self._known.pop(next(iter(self._known)))
            self._known[one.key] = (next_ballot(one.ballot), one.proposed)
        if one.change.what == "write":
            if asked is not None:
                self._answer(asked, verdict, entry)
            return
        idempotency_key = one.key[1]
        own = self.owns.get(idempotency_key)
        if one.change.what == "free":
            if own is not None and own.state == "freeing":
                del self.owns[idempotency_key]
            return
        assert own is not None
        if verdict == "unreachable":
            # Where it fails again and again, as while lives pass, few are let through to find that out.
            rest = min(2 * self._failed.get(one.slot, (0.0, FAILED_FIRST / 2))[1], FAILED_MOST)
            self._failed[one.slot] = (self._now + rest, rest)
            verdict, entry = self._heard_of(one, entry)
        else:
            self._failed.pop(one.slot, None)
        if verdict == "won":
            own.state, own.entry = "won", entry
            if self._now >= own.until:  # a wake after the idempotency key's life: too late to begin
                verdict = "unreachable"
                self._begin_free(idempotency_key, own)
        elif one.offered and verdict != "known" and own.state == "asking":
            self._begin_free(idempotency_key, own)  # it may stand, and will not be run
        else:
            del self.owns[idempotency_key]
        if asked is not None:
            self._answer(asked, verdict, entry)

    def _heard_of(self, one: Round, entry: Entry) -> tuple[str, Entry]:
        """Too few answered a claim; but what one holder has may have run, so it is not rejected."""
        found = EMPTY
        for told in one.promises.values():
            found = merge(found, told)
        here = self.store.get(one.slot, one.key)
        if here is not None:
            found = merge(found, here.entry)
        if found.state is State.DONE:
            return "known", found
        if found.state is State.CLAIMED and found.owner != one.change.owner:
            return "running", found
        return "unreachable", entry

    def _answer(self, ref: int, verdict: str, entry: Entry) -> None:
        self.counts[f"answered_{verdict}"] += 1
        self._out.append(Answer(ref, verdict, entry))

    def _free(self, key: bytes) -> None:
        own = self.owns.get(key)
        if own is not None and own.state == "won":
            self._begin_free(key, own)

    def _begin_free(self, key: bytes, own: Own) -> None:
        own.state = "freeing"
        if own.until <= self._now:
            del self.owns[key]
            return
        self._open(0, (LABELS, key), own.group, Change("free", own.owner), own.until)

    def _finish(self, finish: Finish) -> None:
        own = self.owns.get(finish.key)
        if own is None or own.state != "won":
            self.counts["finished_unknown"] += 1
            return
        how, result = finish.how, finish.result
        if len(result) > self._set.result_most:
            how, result = "unkept", b""
            self.counts["results_unkept"] += 1
        own.state = "finishing"
        outcome = Outcome(own.entry.number, own.owner, how, result)
        own.entry = replace(own.entry, outcomes=tuple(sorted({*own.entry.outcomes, outcome})[:2]))
        self._spread((LABELS, finish.key), own.slot, own.until, own.entry)

    def _read(self, read: Read) -> None:
        slot = self.slot(read.group or read.key)
        ref = self._spread((read.collection, read.key), slot, self._now + self._set.patience, None)
        self._asked[ref] = read.ref

    def _spread(self, key: Key, slot: int, until: float, entry: Entry | None) -> int:
        self._ref += 1
        self._spreads[self._ref] = Spread(self._ref, key, slot, until, entry, self._holders(slot))
        self._arm(self._spreads[self._ref], self._now)
        return self._ref

    def _ask_spread(self, one: Spread) -> None:
        if one.until <= self._now:
            del self._spreads[one.ref]
            asked = self._asked.pop(one.ref, None)
            if asked is not None:
                self._answer(asked, "unreachable", one.found)
            elif self.owns.pop(one.key[1], None) is not None:
                self._note(UNPLACED, key=one.key[1].hex())
            return
        if self.epoch or one.entry is not None:  # one that is out says its outcomes to those it knew
            for name, ask in one.asks(self.ranges.epoch, self._now):
                self._owes(name, one.tries)
                self._send(name, ask)
        one.tries += 1
        self._arm(one, min(self._again(one.tries - 1), one.until))

    def _spread_heard(self, one: Spread, name: str) -> None:
        if name not in one.holders:
            return
        one.heard.add(name)
        known = one.entry is None and one.found.state is State.DONE
        if len(one.heard) < self.needed(len(one.holders)) and not known:
            return
        del self._spreads[one.ref]
        asked = self._asked.pop(one.ref, None)
        if asked is not None:
            return self._answer(asked, "known" if known else "read", one.found)
        self.owns.pop(one.key[1], None)
        self._out.append(Stored(one.key[1]))

    # -- messages

    def _send(self, to: str, message: Message) -> None:
        if to == self.name:
            self._own_post.append(message)
        else:
            self.counts[f"out_{type(message).__name__.lower()}"] += 1
            self._out.append(Send(to, message))

    def _got(self, sender: str, message: Message) -> None:
        self.silent.pop(sender, None)
        if not self.epoch or not self.listens(sender):
            self.counts["outside"] += 1
            if isinstance(message, Push) and message.slot in self.ranges.mine:
                self._take(message.slot, message.key, message.entry, message.left)  # of one that left
            elif isinstance(message, Ask | Pull) and self._frozen:
                # It left: whoever comes after it takes what it has, and it decides for no view before theirs.
                # In theirs it may be in again, of which it has not heard yet: as one that is not caught up.
                self._frozen = max(self._frozen, message.epoch)
                self._of_range(sender, message, self._frozen)
            elif not isinstance(message, Told | Piece) or sender not in self.ranges.parted:
                return
            else:
                self._of_range(sender, message, self.epoch)
            return
        match message:
            case Prepare() | Accept() | Push() | Fetch():
                self._asked_as_holder(sender, message)
            case Promise(epoch, ref, ballot, entry):
                one = self._of(epoch, ref)
                if one is None or not one.promised(sender, ballot, entry) or self._settled_by_reading(one):
                    return
                one.tries = 0
                self._ask_round(one)
            case Accepted(epoch, ref, ballot):
                one = self._of(epoch, ref)
                if one is not None and one.took(sender, ballot):
                    self._over(one, one.means)
            case Refuse():
                self._refused(sender, message)
            case Pushed(epoch, ref) | Fetched(epoch, ref):
                spread = self._spreads.get(ref)
                if spread is not None and not self.foreign(epoch):
                    if isinstance(message, Fetched):
                        spread.found = merge(spread.found, message.entry)
                    self._spread_heard(spread, sender)
            case AskPast(epoch, before):
                if epoch <= self.epoch:
                    views = self.ranges.older(before, PAST_MOST)
                    self._send(sender, Past(self.epoch, self.birth, before, views))
            case Past(_, birth, before, views):
                self.ranges.born(sender, birth)
                self.ranges.past(sender, before, views, len(views) >= PAST_MOST)
            case Ask() | Told() | Pull() | Piece():
                self._of_range(sender, message, self.epoch)

    def _of_range(self, sender: str, message: Ask | Told | Pull | Piece, epoch: int) -> None:
        match message:
            case Ask():
                self._told_of(sender, message, epoch)
            case Told():
                self._told(sender, message)
            case Pull():
                self._pulled(sender, message, epoch)
            case Piece():
                self._piece(sender, message)

    def _of(self, epoch: int, ref: int) -> Round | None:
        one = self._rounds.get(ref)
        return None if one is None or epoch != one.epoch or self.foreign(epoch) else one

    def _refused(self, sender: str, refuse: Refuse) -> None:
        self.counts[f"refused_{refuse.why}"] += 1
        if refuse.why == "epoch":
            return  # our view comes from membership, or our removal does
        one = self._of(refuse.epoch, refuse.ref)
        if one is None:
            return
        self._round = max(self._round, refuse.ballot[1])
        if one.change.what == "claim" and refuse.asked == one.ballot and one.proposed is None:
            state = refuse.entry.state
            if state is State.DONE or (state is State.CLAIMED and refuse.entry.owner != one.change.owner):
                one.proposed = refuse.entry  # to answer with: nothing is proposed against it
                return self._over(one, "known" if state is State.DONE else "running")
        match one.refusal(sender, refuse.why, refuse.asked):
            case "again":
                # Whoever else is at this key gets a while to end: else two could refuse each other for ever.
                one.ballot, one.tries = NO_BALLOT, -max(one.tries, 1)
                wait = self._set.retry * min(2**-one.tries, 8)
                self._arm(one, self._now + self._chance.uniform(0.0, wait))
            case "fenced" | "full" as verdict:
                self._over(one, verdict)

    # -- holding

    def _asked_as_holder(self, sender: str, ask: Prepare | Accept | Push | Fetch) -> None:
        epoch, slot, now = self.epoch, ask.slot, self._now
        if not 0 <= slot < self._set.slots:
            self.counts["slots_bad"] += 1
            return
        ballot = NO_BALLOT
        if isinstance(ask, Prepare):
            ballot = ask.ballot
        elif isinstance(ask, Accept):
            ballot = ask.entry.ballot
        if self.foreign(ask.epoch):
            if isinstance(ask, Push):
                self._take(ask.slot, ask.key, ask.entry, ask.left)  # a fact, whoever says it; it counts later
            if ask.epoch < epoch:
                self._send(sender, Refuse(epoch, ask.ref, "epoch", NO_BALLOT, ballot))
            return
        held = self.store.get(slot, ask.key)
        if isinstance(ask, Push):
            taken = self._take(slot, ask.key, ask.entry, ask.left)
            if not taken:
                return self._send(sender, Refuse(epoch, ask.ref, "full", NO_BALLOT, ballot))
            if self.is_ready(slot):
                self._send(sender, Pushed(ask.epoch, ask.ref))
            return
        if not self.is_ready(slot):
            return self._send(sender, Refuse(epoch, ask.ref, "unready", NO_BALLOT, ballot))
        if isinstance(ask, Fetch):
            return self._send(sender, Fetched(ask.epoch, ask.ref, held.entry if held is not None else EMPTY))
        if ask.under:
            binding = self.store.get(slot, (SESSIONS, ask.group))
            if binding is not None and binding.entry.number > ask.under:
                return self._send(sender, Refuse(epoch, ask.ref, "fenced", NO_BALLOT, ballot))
        if held is not None and ballot < held.floor:
            return self._send(sender, Refuse(epoch, ask.ref, "ballot", held.floor, ballot, held.entry))
        if ask.left <= 0:
            return
        until = now + min(ask.left, self._most(ask.key))
        more = ask.entry.size if isinstance(ask, Accept) else 0
        if not self.store.room(slot, ask.key, more):
            self.counts["full"] += 1
            return self._send(sender, Refuse(epoch, ask.ref, "full", NO_BALLOT, ballot))
        if isinstance(ask, Prepare):
            held = self.store.promise(slot, ask.key, ballot, until)
            self._send(sender, Promise(ask.epoch, ask.ref, ballot, held.entry))
        else:
            self._look(ask.key, held.entry if held is not None else EMPTY, ask.entry)
            self.store.accept(slot, ask.key, ask.entry, until)
            self.store.promise(slot, ask.key, next_ballot(ballot), until)
            self._send(sender, Accepted(ask.epoch, ask.ref, ballot))
        self._ends(until)

    def _most(self, key: Key) -> float:
        """The longest life of such an entry. Bindings may outlast idempotency keys: where one is lost its
        session begins anew above its number, so nobody waits for their lives to pass."""
        return max(self._set.longest, self.binding_life if key[0] == SESSIONS else 0.0)

    def _take(self, slot: int, key: Key, entry: Entry, left: float) -> bool:
        """Merge a copy; whether there was room."""
        if left <= 0:
            return True
        held = self.store.get(slot, key)
        before = held.entry if held is not None else EMPTY
        if merge(before, entry) != before and not self.store.room(slot, key, entry.size):
            self.counts["full"] += 1
            return False
        self._look(key, before, entry)
        until = self._now + min(left, self._most(key))
        self.store.accept(slot, key, entry, until)
        self._ends(until)
        return True

    def _ends(self, until: float) -> None:
        """Something does; what ends together is forgotten together."""
        self._expire_at = min(self._expire_at, until + EXPIRE_EVERY)

    def _look(self, key: Key, held: Entry, came: Entry) -> None:
        """Two outcomes of one idempotency key: both are kept, and said once here."""
        both = {*held.outcomes, *came.outcomes}
        if len(both) > 1 and len(held.outcomes) < 2:
            self.counts["two_outcomes"] += 1
            evidence = [f"{one.owner}#{one.number} {one.how} {len(one.result)} bytes" for one in sorted(both)]
            self._note("two outcomes", key=key[1].hex(), outcomes="; ".join(evidence))

    def _expire(self) -> None:
        self.counts["expired"] += self.store.expire(self._now)
        for key in [key for key, own in self.owns.items() if own.until <= self._now and own.state == "won"]:
            del self.owns[key]
            self.counts["never_finished"] += 1
        first = min([self.store.next_end, *(own.until for own in self.owns.values())])
        self._expire_at = max(first, self._now) + EXPIRE_EVERY

    # -- catching up, and repair

    def _settle(self, slot: int) -> Standing:
        longest = self._set.longest
        return self.ranges.settle(slot, self._now, longest, self._set.cold_waits)

    def _sync(self) -> None:
        """Ask for what is lacked, so much at a time of each peer; look at what is lost for good."""
        self._sync_at = inf
        if not self.epoch:
            return
        others: dict[str, list[int]] = {}
        for slot in sorted(self.ranges.unready):
            if self._settle(slot) is Standing.READY:
                continue
            for name in self._asked_for(slot):
                others.setdefault(name, []).append(slot)
        if not self.ranges.unready:
            return self._caught_up()
        self._sync_at = self._now + self._set.sync_every
        self._syncs += 1
        for name in self.ranges.names if self._syncs > 1 else ():  # most need the last view only
            if name != self.name and name not in self.ranges.past_told:
                self._send(name, AskPast(self.epoch, self.ranges.past_before(name)))
        for name, slots in sorted(others.items()):
            self._ask_ranges(name, slots)

    def _caught_up(self) -> None:
        self._note("caught up", epoch=self.epoch, holds=len(self.ranges.mine), entries=self.store.entries)

    def _ask_ranges(self, name: str, slots: list[int]) -> None:
        talk = self._talks.setdefault(name, Talk())
        if (talk.asked or talk.queue) and self._now < talk.at + TALK_WITHIN:
            return
        some = slots[: self._set.batch]
        talk.at, talk.asked, talk.queue = self._now, len(some), []
        self._send(name, Ask(self.epoch, tuple((slot, self.store.digest(slot)) for slot in some)))

    def _asked_for(self, slot: int) -> set[str]:
        return self.ranges.wanted(slot) | self.ranges.hoped(slot, self._now)

    def _told_of(self, sender: str, ask: Ask, epoch: int) -> None:
        if ask.epoch > epoch:
            return  # it asks again, and then we hold that view
        told = tuple(
            (slot, self.ranges.ready_at(slot), self.store.digest(slot) == digest)
            for slot, digest in ask.ranges[: self._set.batch]
        )
        self._send(sender, Told(epoch, self.birth, told))

    def _told(self, sender: str, told: Told) -> None:
        if told.epoch < self.epoch:
            return
        talk = self._talks.get(sender)
        if talk is None or not talk.asked:
            return
        talk.asked, talk.at = 0, self._now
        for slot, ready, same in told.ranges:
            if same:
                self.ranges.told(slot, sender, told.epoch, told.birth, ready)
                if slot in self.ranges.unready:
                    self._settle(slot)
            else:
                talk.queue.append((slot, ready))
        self._pull(sender, talk, FIRST)

    def _pull(self, name: str, talk: Talk, after: Key) -> None:
        """The next piece; with none left, the next ranges."""
        if talk.queue:
            return self._send(name, Pull(self.epoch, talk.queue[0][0], after))
        if self.ranges.unready:
            more = [slot for slot in sorted(self.ranges.unready) if name in self._asked_for(slot)]
            if more:
                return self._ask_ranges(name, more)
        elif self._sync_at < inf:
            self._sync_at = self._now  # all here: it is said there

    def _pulled(self, sender: str, pull: Pull, epoch: int) -> None:
        if pull.epoch > epoch:
            return
        some: list[tuple[Key, Entry, float]] = []
        size, last = 0, True
        for key, held in self.store.after(pull.slot, pull.after):
            left = held.until - self._now
            if left <= 0:
                continue  # its life ended: it is not sent
            if some and (len(some) >= self._set.batch or size + held.entry.size > self._set.piece_bytes):
                last = False
                break
            some.append((key, held.entry, left))
            size += held.entry.size
        ready = self.ranges.ready_at(pull.slot)
        self._send(sender, Piece(epoch, self.birth, pull.slot, ready, tuple(some), last))

    def _piece(self, sender: str, piece: Piece) -> None:
        talk = self._talks.get(sender)
        if talk is None or not talk.queue or talk.queue[0][0] != piece.slot or piece.epoch < self.epoch:
            return
        talk.at = self._now
        slot, ready = talk.queue[0]
        for key, entry, left in piece.entries:
            self.counts["entries_in"] += 1
            if not self._take(slot, key, entry, left):
                talk.queue.clear()  # no room: the range does not count here until there is
                return
        if not piece.last and piece.entries:
            return self._pull(sender, talk, piece.entries[-1][0])
        talk.queue.pop(0)
        self.ranges.told(slot, sender, piece.epoch, piece.birth, ready)
        if slot in self.ranges.unready:
            self._settle(slot)
        self._pull(sender, talk, FIRST)

    def _repair(self) -> None:
        """Compare some ranges with one other holder each; let go of what the new holders have."""
        self._repair_at = self._now + self._set.repair_every
        if not self.epoch:
            return
        for slot in [slot for slot in self.ranges.kept if self.ranges.let_go(slot)]:
            del self.ranges.kept[slot]
            self.counts["let_go"] += self.store.drop(slot)
        held = sorted(slot for slot in self.ranges.mine if slot not in self.ranges.unready)
        ranges = held[self._turned : self._turned + 4 * self._set.batch]
        self._turned = self._turned + len(ranges) if ranges and self._turned < len(held) else 0
        asked: dict[str, list[int]] = {}
        for slot in ranges:
            others = [name for name in self._holders(slot) if name != self.name]
            if others:
                asked.setdefault(self._chance.choice(others), []).append(slot)
        for slot, one in sorted(self.ranges.kept.items()):
            for name in self._holders(slot):
                if name not in one.told:
                    asked.setdefault(name, []).append(slot)
        for name, slots in sorted(asked.items()):
            self._ask_ranges(name, slots)

    # -- telling

    def _note(self, what: str, **fields: object) -> None:
        self._out.append(Note(what, fields))

    def gauges(self) -> dict[str, object]:
        told: dict[str, object] = {
            "replication_epoch": self.epoch,
            "replication_ranges": len(self.ranges.mine),
            "replication_unready": len(self.ranges.unready),
            "replication_kept": len(self.ranges.kept),
            "replication_entries": self.store.entries,
            "replication_bytes": self.store.bytes,
            "replication_open": len(self._rounds) + len(self._spreads),
        }
        return told | {f"replication_{name}": many for name, many in sorted(self.counts.items())}

"""Requests passed on, pure: one hop, one outcome each, whatever happens to the peer or the link.

Each member is both sides. Of what it passed on it knows the peer and the time that is left; of what it took
in, whose it is. The rule when the link breaks or the peer does not say that it has the request goes by
idempotency:

- idempotent: back to its own server, which may run it or pass it to another, while its time lasts
- keyed: its owner is asked whether it may run again, who knows what became of it; unless one says yes it
  ends in an error, as it may have run
- non-idempotent: an error, once the first may have arrived; never a second sending

What was surely never sent, or was refused, may go anywhere. A request that was taken in is the receiver's own
and goes no further: only `Wanted` passes on, and nobody calls it for one taken in.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from math import inf
from typing import TypeAlias

from ..overload.interface import Idempotency
from .messages import Answer, Cancel, Final, Message, Pass, Passed, Refused, Taken
from .plan import PassSettings

Key = tuple[str, int]  # whose it is, and its number there


# The counters keep the names that alerts and dashboards know.
ANSWER_COUNTERS = {
    Final.COMPLETED: "answer_completed",
    Final.REJECTED: "answer_denied",
    Final.FAILED: "answer_terminated",
}


@dataclass(frozen=True, slots=True)
class Wanted:
    """A request of ours is to go to a peer; `tried` are those it cannot go to any more. The number is new."""

    number: int
    to: str
    idempotency: Idempotency
    request: Passed
    age: float
    left: float
    tried: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Gone:
    """Nobody waits for one of ours any more."""

    number: int


@dataclass(frozen=True, slots=True)
class Unsent:
    """One that was to go never left this machine."""

    number: int


@dataclass(frozen=True, slots=True)
class Judged:
    """The owner's word on one that was `Unsure`: whether it may run again."""

    number: int
    again: bool


@dataclass(frozen=True, slots=True)
class Broken:
    """A link to this peer is lost, with what was under way on it."""

    peer: str


@dataclass(frozen=True, slots=True)
class Got:
    """`hop`: how long it was on its way, at least."""

    sender: str
    message: Message
    hop: float = 0.0


@dataclass(frozen=True, slots=True)
class Over:
    """One that was taken in has its answer; None: it can't be served here and never ran."""

    key: Key
    answer: Answer | None


@dataclass(frozen=True, slots=True)
class Leaving:
    """This member leaves: it takes in no more, so that requests are served where they came."""


@dataclass(frozen=True, slots=True)
class Tick:
    pass


@dataclass(frozen=True, slots=True)
class Send:
    """Worth nothing after `within` seconds."""

    to: str
    message: Message
    within: float


@dataclass(frozen=True, slots=True)
class Back:
    """One of ours is at home again and never ran, or may run again: `tried` need not be asked."""

    number: int
    tried: frozenset[str]


@dataclass(frozen=True, slots=True)
class Answered:
    """The one answer of one of ours; `here`: it is this member's own word, not the peer's."""

    number: int
    answer: Answer
    here: bool


@dataclass(frozen=True, slots=True)
class Unsure:
    """One with an idempotency key may have run; ask who owns it and tell `Judged`."""

    number: int


@dataclass(frozen=True, slots=True)
class Admit:
    """Let a peer's request in as our own; it is as old as that."""

    key: Key
    request: Passed
    age: float


@dataclass(frozen=True, slots=True)
class Abandon:
    """Nobody waits any more for one that was taken in."""

    key: Key


Event: TypeAlias = Wanted | Gone | Unsent | Judged | Broken | Got | Over | Leaving | Tick
Effect: TypeAlias = Send | Back | Answered | Unsure | Admit | Abandon


@dataclass(slots=True)
class Out:
    """One of ours at a peer."""

    to: str
    idempotency: Idempotency
    due: float
    taken_by: float  # inf once the peer said that it has it
    tried: frozenset[str]
    asked: bool = False  # the owner is being asked


@dataclass
class Passing:
    """Invariant: a number in `out` has had no outcome yet, and one that is not gets none any more."""

    settings: PassSettings = field(default_factory=PassSettings)
    out: dict[int, Out] = field(default_factory=dict)
    taken_in: dict[Key, float] = field(default_factory=dict)  # and when its time is up
    doubted: dict[str, float] = field(default_factory=dict)  # peers, and until when
    counts: dict[str, int] = field(default_factory=dict)
    leaving: bool = False

    def __post_init__(self) -> None:
        self._recent: OrderedDict[Key, None] = OrderedDict()
        self._in_of: dict[str, int] = {}
        self.wake_at = inf  # never later than something is due; may be sooner

    def step(self, now: float, event: Event) -> list[Effect]:
        match event:
            case Wanted():
                return self._wanted(now, event)
            case Got(sender, message, hop):
                self.doubted.pop(sender, None)
                return self._got(now, sender, message, max(hop, 0.0))
            case Over(key, answer):
                return self._over(now, key, answer)
            case Gone(number):
                if (one := self.out.pop(number, None)) is None:
                    return []
                self._count("gone")
                return [Send(one.to, Cancel(number), max(one.due - now, 0.0))]
            case Unsent(number):
                if (one := self.out.pop(number, None)) is None:
                    return []
                self._count("unsent")
                self._doubt(now, one.to)
                return [self._back(now, number, one)]
            case Judged(number, again):
                one = self.out.get(number)
                if one is None or not one.asked:
                    return []
                del self.out[number]
                return [self._back(now, number, one) if again else self._error(number)]
            case Broken(peer):
                return self._broken(now, peer)
            case Leaving():
                self.leaving = True
                return []
            case Tick():
                return self._tick(now)

    # -- ours at peers

    def _wanted(self, now: float, event: Wanted) -> list[Effect]:
        to, settings = event.to, self.settings
        doubted = self.doubted.get(to, -inf) > now or to in event.tried
        if doubted or len(self.out) >= settings.out_most or event.left <= 2 * settings.spare:
            self._count("not_passed")
            return [Back(event.number, event.tried | {to})]
        due = now + event.left - settings.spare
        taken_by = min(now + settings.taken_within, due)
        self.out[event.number] = Out(to, event.idempotency, due, taken_by, event.tried)
        self._wake(taken_by)
        self._count("passed")
        return [Send(to, Pass(event.number, event.request, event.age, event.left), event.left)]

    def _back(self, now: float, number: int, one: Out) -> Effect:
        """It may go anywhere, if there is time."""
        if now >= one.due:
            return self._error(number)
        self._count("back")
        return Back(number, one.tried | {one.to})

    def _error(self, number: int) -> Effect:
        self._count("ended_in_error")
        return Answered(number, Answer(number, Final.FAILED), True)

    def _in_doubt(self, now: float, number: int, one: Out) -> list[Effect]:
        """It may have arrived, and no answer will come."""
        if one.idempotency is Idempotency.IDEMPOTENT:
            del self.out[number]
            return [self._back(now, number, one)]
        if one.idempotency is Idempotency.KEYED:
            one.asked = True
            one.taken_by = inf
            return [Unsure(number)]
        return self._may_have_run(number)

    def _may_have_run(self, number: int) -> list[Effect]:
        """An non-idempotent request that was sent: an error, whatever became of it."""
        del self.out[number]
        return [self._error(number)]

    def _broken(self, now: float, peer: str) -> list[Effect]:
        self._doubt(now, peer)
        effects: list[Effect] = []
        for number, one in list(self.out.items()):
            if one.to == peer and not one.asked:
                effects += self._in_doubt(now, number, one)
        for key in [key for key in self.taken_in if key[0] == peer]:
            self._close(key)
            self._count("abandoned")
            effects.append(Abandon(key))
        return effects

    def _tick(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        wake = inf
        for number, one in list(self.out.items()):
            if one.due <= now:
                del self.out[number]
                effects += [Send(one.to, Cancel(number), self.settings.doubt), self._error(number)]
                continue
            if one.taken_by <= now:
                # Not even taken: the peer or the link stands still. Only what harms nothing goes elsewhere
                # now, all else waits for its answer, or for the link to break.
                one.taken_by = inf
                self._count("not_taken")
                self._doubt(now, one.to)
                if one.idempotency is Idempotency.IDEMPOTENT:
                    effects.append(Send(one.to, Cancel(number), max(one.due - now, 0.0)))
                    effects += self._in_doubt(now, number, one)
                    continue
            wake = min(wake, one.due, one.taken_by)
        for key in [key for key, due in self.taken_in.items() if due <= now]:
            self._close(key)  # its own server has given it up by now
            self._count("overdue")
            effects.append(Abandon(key))
        self.doubted = {peer: until for peer, until in self.doubted.items() if until > now}
        self.wake_at = min([wake, *self.taken_in.values()])
        return effects

    # -- what peers say

    def _got(self, now: float, sender: str, message: Message, hop: float) -> list[Effect]:
        if isinstance(message, Pass):
            return self._pass(now, (sender, message.number), message, hop)
        if isinstance(message, Cancel):
            return self._cancelled((sender, message.number))
        one = self.out.get(message.number)
        if one is None or one.to != sender:
            self._count("late" if not isinstance(message, Taken) else "late_taken")
            return []
        match message:
            case Taken():
                one.taken_by = inf
                return []
            case Refused(number):
                del self.out[number]
                self._count("refused")
                return [self._back(now, number, one)]
            case Answer(number):
                del self.out[number]
                self._count(ANSWER_COUNTERS[message.final])
                return [Answered(number, message, False)]

    # -- theirs here

    def _pass(self, now: float, key: Key, message: Pass, hop: float) -> list[Effect]:
        sender, number = key
        if key in self.taken_in or key in self._recent:
            self._count("doubles")
            return []
        left = message.left - hop
        full = self._in_of.get(sender, 0) >= self.settings.in_most
        if self.leaving or full or left <= self.settings.spare:
            self._count("declined")
            self._note(key)
            return [Send(sender, Refused(number), max(left, self.settings.spare))]
        self.taken_in[key] = now + left
        self._in_of[sender] = self._in_of.get(sender, 0) + 1
        self._wake(now + left)
        self._count("taken_in")
        return [Send(sender, Taken(number), left), Admit(key, message.request, message.age + hop)]

    def _cancelled(self, key: Key) -> list[Effect]:
        if key not in self.taken_in:
            self._note(key)  # it may come yet, and is over already
            return []
        self._close(key)
        self._count("cancelled")
        return [Abandon(key)]

    def _over(self, now: float, key: Key, answer: Answer | None) -> list[Effect]:
        due = self.taken_in.get(key)
        if due is None:
            return []
        self._close(key)
        self._count("answered" if answer is not None else "unservable")
        return [Send(key[0], answer or Refused(key[1]), max(due - now, 0.0))]

    def _close(self, key: Key) -> None:
        del self.taken_in[key]
        self._in_of[key[0]] -= 1
        if not self._in_of[key[0]]:
            del self._in_of[key[0]]
        self._note(key)

    def _note(self, key: Key) -> None:
        self._recent[key] = None
        while len(self._recent) > self.settings.recent_most:
            self._recent.popitem(last=False)

    def _doubt(self, now: float, peer: str) -> None:
        self.doubted[peer] = now + self.settings.doubt

    def _wake(self, when: float) -> None:
        self.wake_at = min(self.wake_at, when)

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

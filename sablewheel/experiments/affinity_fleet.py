"""Servers with sessions in a made fleet: a register, runs that take time, and what an onlooker must find.

The register is one object that takes compare-and-sets, as a majority of holders would: a member reaches it
while it can speak both ways with a majority of the last agreed view, itself included, and only at the newest
epoch that it holds. Its answers may be lost after the write was made. A server runs what its sessions tell it
to run, claims idempotency keys first, passes requests on, and keeps every request's outcome.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from math import inf
from typing import Any

from ..membership.view import Fact, Member, View
from ..overload.interface import Idempotency
from ..session_affinity.binding import Binding, BindingState
from ..session_affinity.effects import (
    DecisionReason,
    ForwardToOwner,
    LogEvent,
    ReadBinding,
    RejectRequest,
    ReturnToForwarder,
    ServeLocally,
    WriteBinding,
)
from ..session_affinity.events import (
    ClaimRefused,
    DrainStarted,
    Event,
    LoadsReported,
    MessageReceived,
    OwnerUnreachable,
    PolicyActivated,
    RegisterAnswered,
    RegisterVerdict,
    RequestArrived,
    RequestFinished,
    RequestReturned,
    TimerFired,
    ViewChanged,
)
from ..session_affinity.ownership import OwnershipPhase
from ..session_affinity.placement import ServerLoad
from ..session_affinity.plan import AffinitySettings
from ..session_affinity.sessions import Sessions
from .simulated_fleet import SimulatedFleet

Key = str


@dataclass(frozen=True)
class Claim:
    """Who may run an idempotency key, the only one ever; `number` of its session's binding."""

    idempotency_key: str
    owner: str
    incarnation: int
    number: int


@dataclass
class Register:
    """What a majority of holders holds."""

    bindings: dict[Key, Binding] = field(default_factory=dict)
    claims: dict[str, Claim] = field(default_factory=dict)
    outcomes: dict[str, str] = field(default_factory=dict)
    history: list[tuple[float, Binding]] = field(default_factory=list)
    fenced: bool = True  # claims below the binding's number are refused

    def write(
        self, now: float, key: Key, expect: int, value: Binding
    ) -> tuple[RegisterVerdict, Binding | None]:
        held = self.bindings.get(key)
        if (held.fencing_number if held is not None else 0) != expect:
            return RegisterVerdict.LOST, held
        self.bindings[key] = value
        self.history.append((now, value))
        return RegisterVerdict.WON, value

    def claim(self, key: Key, claim: Claim) -> tuple[str, int]:
        """`won`, `refused` with the number that stands there, or `running` if another has it."""
        held = self.bindings.get(key)
        if self.fenced and held is not None and claim.number < held.fencing_number:
            return "refused", held.fencing_number
        if claim.idempotency_key in self.claims:
            return "known", 0
        self.claims[claim.idempotency_key] = claim
        return "won", 0

    def free(self, claim: Claim) -> None:
        """By its owner, who knows that it did not run."""
        if self.claims.get(claim.idempotency_key) == claim:
            del self.claims[claim.idempotency_key]


@dataclass
class Run:
    """A keyed run under way, as an onlooker sees it."""

    at: str
    key: Key
    idempotency_key: str
    number: int
    since: float
    passed: bool = False  # it goes on as a claim: its owner is gone, or has waited for it long enough


@dataclass
class Watch:
    """What must never be. `wrong` names each breach once."""

    runs: list[Run] = field(default_factory=list)
    begun: Counter[str] = field(default_factory=Counter)  # idempotency key -> runs
    highest: dict[Key, tuple[int, str]] = field(default_factory=dict)
    wrong: list[str] = field(default_factory=list)

    def begin(self, now: float, run: Run) -> None:
        self.begun[run.idempotency_key] += 1
        if self.begun[run.idempotency_key] > 1:
            self.wrong.append(f"{now:.2f} label {run.idempotency_key} runs a second time, at {run.at}")
        number, owner = self.highest.get(run.key, (0, run.at))
        if run.number < number and owner != run.at:
            self.wrong.append(
                f"{now:.2f} {run.at} begins {run.idempotency_key} of {run.key} under {run.number}, after "
                f"{owner} under "
                f"{number}"
            )
        for one in self.runs:
            if one.key == run.key and one.at != run.at and not one.passed:
                self.wrong.append(
                    f"{now:.2f} {run.at} begins {run.idempotency_key} of {run.key} "
                    f"while {one.at} runs {one.idempotency_key}"
                )
        if run.number >= number:
            self.highest[run.key] = (run.number, run.at)
        self.runs.append(run)

    def end(self, at: str, idempotency_key: str) -> None:
        self.runs = [one for one in self.runs if (one.at, one.idempotency_key) != (at, idempotency_key)]

    def pass_on(self, at: str, key: Key | None = None) -> None:
        for one in self.runs:
            if one.at == at and key in (None, one.key):
                one.passed = True


# -- one server


@dataclass(frozen=True)
class Claimed:
    """The register's answer to a claim that was asked for at `asked`."""

    came: RequestArrived
    claim: Claim
    result: str
    number: int
    asked: float


@dataclass(frozen=True)
class Begin:
    """Run it now; `claim` None: an idempotent one."""

    came: RequestArrived
    claim: Claim | None


@dataclass(frozen=True)
class Ask:
    """Claim its idempotency key."""

    came: RequestArrived
    claim: Claim


@dataclass(frozen=True)
class Free:
    """It was won, and will not run."""

    came: RequestArrived
    claim: Claim


def idempotency_key_of(came: RequestArrived) -> str:
    return f"{came.key}-{came.ref}"


class Server:
    """Sessions and, beside them, the little that a server does with what they say."""

    def __init__(self, name: str, incarnation: int, settings: AffinitySettings, now: float) -> None:
        self.sessions = Sessions(name, incarnation, settings, now)
        self.requests: dict[int, RequestArrived] = {}

    @property
    def wake_at(self) -> float:
        return self.sessions.wake_at

    def step(self, now: float, event: Event | Claimed) -> list[Any]:
        if isinstance(event, Claimed):
            return self._claimed(now, event)
        if isinstance(event, RequestArrived):
            self.requests[event.ref] = event
        if isinstance(event, OwnerUnreachable | RequestReturned):
            self.requests[event.request.ref] = event.request
        if isinstance(event, RequestFinished):
            self.requests.pop(event.ref, None)
        return self._carry(now, self.sessions.handle_event(now, event))

    def _carry(self, now: float, effects: list[Any]) -> list[Any]:
        out: list[Any] = []
        for effect in effects:
            came = self.requests.get(effect.ref) if isinstance(effect, ServeLocally) else None
            if came is None:
                if isinstance(effect, RejectRequest | ReturnToForwarder):
                    self.requests.pop(effect.ref, None)
                out.append(effect)
            elif came.requires_owner:
                me = self.sessions
                out += [
                    effect,
                    Ask(
                        came,
                        Claim(idempotency_key_of(came), me.node_name, me.incarnation, effect.fencing_number),
                    ),
                ]
            else:
                out += [effect, Begin(came, None)]
        return out

    def _claimed(self, now: float, said: Claimed) -> list[Any]:
        came = said.came
        if came.ref not in self.requests:
            return [Free(came, said.claim)] if said.result == "won" else []
        if said.result == "refused":
            return self._carry(now, self.sessions.handle_event(now, ClaimRefused(came, said.number)))
        if said.result == "won":
            if self.sessions.may_begin(now, came.key, said.claim.number, said.asked):
                return [Begin(came, said.claim)]
            out: list[Any] = [Free(came, said.claim)]
        else:
            out = []
        why = DecisionReason.NO_MAJORITY if said.result == "unreachable" else DecisionReason.STALE
        del self.requests[came.ref]
        rest = self.sessions.handle_event(now, RequestFinished(came.ref, came.key))
        return [*out, RejectRequest(came.ref, 0.2, why), *self._carry(now, rest)]


# -- the fleet

REMOVED_AFTER = 3.0  # seconds without a sign after which the others agree that a member is gone
ANSWER_WITHIN = 0.3  # a question to the register without an answer is given up then
LOADS_EVERY = 0.2
AGREE_EVERY = 0.5  # how often members try to agree, without a majority that could


@dataclass
class Request:
    """One as its tenant sees it."""

    came: RequestArrived
    at: str  # the server that its router brought it to
    outcome: str = ""  # completed, rejected or failed
    why: str = ""
    ran_at: str = ""
    version: int = 0
    number: int = 0
    hops: int = 0  # how often it was passed on
    where: str = ""  # the server that has it now


class World:
    """A fleet of servers under one agreed view, with requests, a register, and faults by name."""

    def __init__(
        self, names: list[str], settings: AffinitySettings, seed: int = 1, warm_up: float = 10.0
    ) -> None:
        self.settings, self.warm_up = settings, warm_up
        self.fleet = SimulatedFleet(MessageReceived, TimerFired(), seed, self._heard)
        self.register = Register(fenced=settings.faulty_variant != "two-owners")
        self.watch = Watch()
        self.chance = random.Random(f"{seed}-world")
        self.requests: list[Request] = []
        self.notes: list[tuple[float, str, LogEvent]] = []
        self.policy = PolicyActivated(1)
        self.warm_since: dict[str, float] = {}
        self.run_takes: Callable[[], float] = lambda: 0.05
        self.lose_answers = 0.0  # share of the register's answers that are lost after the action
        self.no_majority = False
        self.draining: set[str] = set()
        self.down: set[str] = set()
        self.dead: dict[str, int] = {}  # the last self of each that died, as the fleet agrees
        self._lives: Counter[str] = Counter()
        self.view = View(1, tuple(Member(name, f"at-{name}", incarnation=1) for name in sorted(names)))
        self.views = [self.view]
        for name in names:
            self._lives[name] = 1
            self.warm_since[name] = -inf
            self._start(name)
        self.fleet.later(LOADS_EVERY, self._loads)
        self.run(0.5)

    # -- members

    def server(self, name: str) -> Server:
        core = self.fleet.cores[name]
        assert isinstance(core, Server)
        return core

    def sessions(self, name: str) -> Sessions:
        return self.server(name).sessions

    @property
    def alive(self) -> list[str]:
        return sorted(self.fleet.cores)

    def _start(self, name: str) -> None:
        incarnation = self._lives[name]
        self.fleet.add(name, lambda now: Server(name, incarnation, self.settings, now))
        self.down.discard(name)
        self.draining.discard(name)
        self._tell_all()

    def start(self, name: str) -> None:
        """A server comes (back), cold, and is taken into the view."""
        self._lives[name] += 1
        self.warm_since[name] = self.fleet.now
        self._start(name)
        self._let_in(name, self._lives[name])

    def _let_in(self, name: str, life: int) -> None:
        """Once a majority of the view is there to agree; that life of it, if it lasts until then."""
        if name not in self.fleet.cores or self._lives[name] != life:
            return
        if not self._can_agree():
            return self.fleet.later(AGREE_EVERY, lambda: self._let_in(name, life))
        others = [one for one in self.view.members if one.name != name]
        self._agree([*others, Member(name, f"at-{name}", incarnation=life)])
        return None

    def _can_agree(self) -> bool:
        """Whether someone in the view is awake and speaks with a majority of it: else no view follows."""
        now, paused = self.fleet.now, self.fleet.paused
        awake = [one for one in self.view.names if one in self.fleet.cores and paused.get(one, 0.0) <= now]
        return any(self._speaks(one) for one in awake)

    def kill(self, name: str) -> None:
        """SIGKILL. The others agree that it is gone a little later."""
        for request in self.requests:
            if request.where == name and not request.outcome:
                self._lost_with(request, name)
        self.fleet.crash(name)
        self.watch.pass_on(name)
        self.down.add(name)
        self.dead[name] = self._lives[name]
        self.fleet.later(REMOVED_AFTER, lambda: self._remove_if(lambda one: one in self.down, name))

    def pause(self, name: str, span: float) -> None:
        """SIGSTOP for so long. Past the suspicion the others take it out; when it wakes it asks in again."""
        self.fleet.pause(name, span)
        if span > REMOVED_AFTER:
            self.fleet.later(
                REMOVED_AFTER,
                lambda: self._remove_if(lambda one: self.fleet.paused.get(one, 0.0) > self.fleet.now, name),
            )
            self.fleet.later(span + 1.0, lambda: self._again(name))

    def _again(self, name: str) -> None:
        if name in self.fleet.cores and name not in self.view:
            self._lives[name] += 1
            self._let_in(name, self._lives[name])

    def leave(self, name: str, grace: float) -> None:
        """SIGTERM: it drains for its grace, says that it leaves, and is gone."""
        self.draining.add(name)
        self._loads(again=False)
        self.fleet.tell(name, DrainStarted(grace))

        def gone() -> None:
            if name in self.fleet.cores:
                for request in self.requests:
                    if request.where == name and not request.outcome:
                        self._lost_with(request, name)
                self.fleet.crash(name)
                self.watch.pass_on(name)
                self.down.add(name)
                self.dead[name] = self._lives[name]
                self._remove_if(lambda one: one in self.down, name)

        self.fleet.later(grace, gone)

    def cut_off(self, names: list[str], for_good: bool = True) -> None:
        """Nobody else hears these or is heard; those without a majority are taken out if it stays so."""
        others = [one for one in self.view.names if one not in names]
        self.fleet.cut(names, others)
        few = names if len(names) * 2 < len(self.view.names) else others
        if for_good and len(few) * 2 < len(self.view.names):
            for name in few:
                self.fleet.later(
                    REMOVED_AFTER,
                    lambda name=name: self._remove_if(  # type: ignore[misc]
                        lambda one: not self.reaches(one), name
                    ),
                )

    def heal(self) -> None:
        """All links are whole; who was taken out asks in again."""
        self.fleet.heal()
        self._tell_all()
        for name in self.alive:
            if name not in self.view:
                self.fleet.later(0.5, lambda name=name: self._again(name))  # type: ignore[misc]

    def _remove_if(self, gone: Callable[[str], bool], name: str) -> None:
        if name not in self.view or not gone(name):
            return
        if not self._can_agree():
            return self.fleet.later(AGREE_EVERY, lambda: self._remove_if(gone, name))
        self._agree([one for one in self.view.members if one.name != name])
        return None

    def _agree(self, members: list[Member]) -> None:
        facts = tuple(Fact(f"gone/{name}", str(life)) for name, life in sorted(self.dead.items()))
        self.view = View(self.view.epoch + 1, tuple(sorted(members)), facts)
        self.views.append(self.view)
        for name in self._lives:
            mine = self.view.get(name)
            if mine is None or mine.incarnation != self._lives[name] or name not in self.fleet.cores:
                self.watch.pass_on(name)
        self._tell_all()

    def _tell_all(self) -> None:
        """Each that is not cut off hears of the views, in order, and the policy, each at its own time."""
        for name in self.alive:
            if self._speaks(name):
                self.fleet.later(self.chance.uniform(0.005, 0.05), lambda name=name: self._tell(name))  # type: ignore[misc]

    def _tell(self, name: str) -> None:
        if name not in self.fleet.cores:
            return
        held = self.sessions(name).view
        for view in self.views:
            if held is None or view.epoch > held.epoch:
                self.fleet.tell(name, ViewChanged(view))
        self.fleet.tell(name, self.policy)

    def _loads(self, again: bool = True) -> None:
        now, loads = self.fleet.now, dict[str, ServerLoad]()
        for name in self.alive:
            warmth = min(1.0, 0.1 + 0.9 * (now - self.warm_since[name]) / self.warm_up)
            weight = 0.0 if name in self.draining else 1.0
            loads[name] = ServerLoad(len(self.sessions(name).owned), warmth, weight)
        for name in self.alive:
            if self._speaks(name):
                self.fleet.tell(name, LoadsReported(loads))
                held = self.sessions(name).view
                if again and (held is None or held.epoch < self.view.epoch):  # as membership's sync would
                    self._tell(name)
        if again:
            self.fleet.later(LOADS_EVERY, self._loads)

    # -- policy

    def bump(
        self, version: int, able: dict[str, frozenset[str]] | None = None, mandatory: bool = False
    ) -> None:
        self.policy = PolicyActivated(version, able or {}, mandatory)
        self._tell_all()

    # -- the register

    def _speaks(self, name: str) -> bool:
        """Whether it can speak both ways with a majority of the view, itself among them if it is in."""
        heard = 0
        for one in self.view.names:
            if one == name:
                heard += 1
            elif one in self.fleet.cores and self.fleet.paused.get(one, 0.0) <= self.fleet.now:
                heard += not (self.fleet.link(name, one).cut or self.fleet.link(one, name).cut)
        return heard * 2 > len(self.view.names)

    def reaches(self, name: str) -> bool:
        if self.no_majority or name not in self.fleet.cores or not self._speaks(name):
            return False
        held = self.sessions(name).view
        return held is not None and held.epoch == self.view.epoch and name in held

    def _ask(self, name: str, action: Callable[[], Any], answer: Callable[[Any], Any], lost: Any) -> None:
        """One question, there and back; `action` is done at the register, its answer told as an event."""

        until = self.fleet.now + ANSWER_WITHIN

        def arrive() -> None:
            if not self.reaches(name):
                if self.fleet.now < until:  # it asks again, as a view may be on its way
                    return self.fleet.later(0.05, arrive)
                return self.fleet.tell(name, lost)
            said = action()
            if self.chance.random() < self.lose_answers:
                return self.fleet.later(ANSWER_WITHIN, lambda: self.fleet.tell(name, lost))
            return self.fleet.later(
                self.chance.uniform(0.002, 0.01), lambda: self.fleet.tell(name, answer(said))
            )

        self.fleet.later(self.chance.uniform(0.002, 0.01), arrive)

    # -- what servers do

    def _heard(self, now: float, name: str, effect: Any) -> None:
        register = self.register
        match effect:
            case WriteBinding(ref, key, expect, value, _):
                self._ask(
                    name,
                    lambda: register.write(self.fleet.now, key, expect, value),
                    lambda said: RegisterAnswered(ref, *said),
                    RegisterAnswered(ref, RegisterVerdict.UNREACHABLE),
                )
            case ReadBinding(ref, key):
                self._ask(
                    name,
                    lambda: register.bindings.get(key),
                    lambda held: RegisterAnswered(ref, RegisterVerdict.WON, held),
                    RegisterAnswered(ref, RegisterVerdict.UNREACHABLE),
                )
            case Ask(came, asked):
                self._ask(
                    name,
                    lambda: register.claim(came.key, asked),
                    lambda said: Claimed(came, asked, said[0], said[1], now),
                    Claimed(came, asked, "unreachable", 0, now),
                )
            case Free(_, won):
                self.fleet.later(0.005, lambda: register.free(won))
            case ServeLocally(ref, number, version, why):
                request = self.requests[ref]
                request.where, request.why, request.version, request.number = name, why.value, version, number
            case ForwardToOwner(ref, to):
                self._pass(name, ref, to)
            case ReturnToForwarder(ref, sender, binding):
                self._back(ref, sender, binding)
            case RejectRequest(ref, _, why):
                self._decide(ref, "denied", why.value)
            case Begin(came, claim):
                self._begin(now, name, came, claim)
            case LogEvent():
                self.notes.append((now, name, effect))
        if name in self.fleet.cores:
            for passed, held in self.sessions(name).owned.items():
                if held.phase is OwnershipPhase.AWAITING_SUCCESSOR and held.open_refs:
                    self.watch.pass_on(name, passed)

    def _begin(self, now: float, name: str, came: RequestArrived, claim: Claim | None) -> None:
        request = self.requests[came.ref]
        request.ran_at = name
        if claim is not None:
            self.watch.begin(now, Run(name, came.key, claim.idempotency_key, claim.number, now))
        life = self._lives[name]

        def end() -> None:
            if claim is not None:
                self.watch.end(name, claim.idempotency_key)
            if self._lives[name] == life or name in self.fleet.cores:
                self._decide(came.ref, "completed")
                self.fleet.tell(name, RequestFinished(came.ref, came.key))

        self.fleet.later(self.run_takes(), end)

    def _back(self, ref: int, sender: str, binding: Binding) -> None:
        """Over the same way that it came; if that is cut, its sender finds its time up."""
        request = self.requests[ref]
        said = RequestReturned(replace(request.came, was_returned=request.hops > 1), binding)
        if sender not in self.fleet.cores:
            return self._decide(ref, "terminated", "lost")
        request.where = sender
        self.fleet.later(self.chance.uniform(0.001, 0.003), lambda: self.fleet.tell(sender, said))
        return None

    def _pass(self, name: str, ref: int, to: str) -> None:
        request = self.requests[ref]
        request.hops += 1
        came = RequestArrived(ref, request.came.key, request.came.idempotency, request.came.flow, name)
        broken = to not in self.fleet.cores or self.fleet.link(name, to).cut or self.fleet.link(to, name).cut
        if broken:
            request.where = name
            self.fleet.later(0.05, lambda: self.fleet.tell(name, OwnerUnreachable(request.came, to)))
            return
        request.where = to
        self.fleet.later(self.chance.uniform(0.001, 0.003), lambda: self.fleet.tell(to, came))

    def _lost_with(self, request: Request, name: str) -> None:
        """Its server is gone. What only passed through it is known again where it came from."""
        ran = idempotency_key_of(request.came) in self.register.claims
        if request.at == name or request.at not in self.fleet.cores or ran:
            return self._decide(request.came.ref, "terminated", "lost")  # it may have run: no second run
        request.where, back = request.at, request.at
        self.fleet.later(0.05, lambda: self.fleet.tell(back, OwnerUnreachable(request.came, name)))
        return None

    def _decide(self, ref: int, outcome: str, why: str = "") -> None:
        request = self.requests[ref]
        if not request.outcome:
            request.outcome, request.why = outcome, why or request.why

    # -- requests

    def bring(
        self, at: str, key: Key, idempotency: Idempotency = Idempotency.IDEMPOTENT, flow: str = ""
    ) -> Request:
        """A router brings a request to one server; each keyed one has an idempotency key of its own."""
        request = Request(RequestArrived(len(self.requests), key, idempotency, flow), at, where=at)
        self.requests.append(request)
        if at not in self.fleet.cores:
            request.outcome, request.why = "terminated", "nobody there"
        else:
            self.fleet.tell(at, request.came)
        return request

    def run(self, span: float) -> None:
        self.fleet.run(span)

    # -- what an onlooker sees

    def owner(self, key: Key) -> str:
        """As the register holds it; empty if nobody's."""
        held = self.register.bindings.get(key)
        return held.owner if held is not None and held.state is not BindingState.ENDED else ""

    def moves(self, since: float = 0.0) -> list[tuple[float, Key, str, str]]:
        """Changes of owner in the register's history: when, which, from, to."""
        owners: dict[Key, str] = {}
        found = []
        for when, binding in self.register.history:
            before = owners.get(binding.key, "")
            if binding.state is BindingState.ENDED:
                owners[binding.key] = ""
                continue
            if before and binding.owner != before and when >= since:
                found.append((when, binding.key, before, binding.owner))
            owners[binding.key] = binding.owner
        return found

    def count(self, what: str) -> int:
        """Over all servers that live."""
        return sum(self.sessions(name).counts[what] for name in self.alive)

"""A session's handover between three servers, every order of what may happen, to a depth.

The real sessions, no process: from states where a session is about to change hands, each next thing is tried
in each order: any message on its way arrives (what does not is late: that is a pause, or lost for good), an
answer of the register is lost after the action, a timer rings, a keyed run ends, a server crashes, the fleet
agrees that one is gone. Checked at each step: no two owners run the session's keyed work, no idempotency key
runs twice, none begins below another's number, no two servers hold one number. From the states at the bottom,
with the faults over, each request has its outcome and the session one owner. A violation is printed as the
steps to it.
"""

from __future__ import annotations

import hashlib
import pickle
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ..membership.view import Member, View
from ..overload.interface import Idempotency
from ..session_affinity.binding import Binding, BindingState
from ..session_affinity.effects import ForwardToOwner, ReadBinding, RejectRequest, ReturnToForwarder
from ..session_affinity.effects import SendMessage as Say
from ..session_affinity.effects import WriteBinding as Put
from ..session_affinity.events import (
    DrainStarted,
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
from ..session_affinity.plan import AffinitySettings
from .affinity_fleet import Ask, Begin, Claimed, Free, Register, Run, Server, Watch
from .result import ExperimentResult as Found

FAULTY_VARIANTS = ("no-handover", "two-owners")
NAMES = ("a", "b", "c")
KEY = "k"
SETTLE = 12.0  # seconds without faults after which all must be well
STEPS_MOST = 2_000  # of one settling
FIRST = 5  # the number at which `a` holds the session at the start
Trace = tuple[str, ...]


@dataclass(frozen=True)
class Way:
    """Something on its way: between servers, to the register, or back from it."""

    kind: str  # say, pass, view, ask, answer
    sender: str
    to: str
    what: Any
    asked: float = 0.0
    epoch: int = 0

    def __str__(self) -> str:
        what = getattr(self.what, "message", self.what)
        return f"{self.sender} -> {self.to}: {_short(what)}"


def _ref(one: Way) -> int:
    return int(one.what.ref if one.kind == "pass" else one.what.request.ref)


def _short(what: Any) -> str:
    match what:
        case Put(_, _, expect, value, _):
            return f"write {_bound(value)} if {expect}"
        case RegisterAnswered(_, result, entry):
            return f"{result.value}, {_bound(entry) if entry else 'nothing stands there'}"
        case Ask(came, claim):
            return f"claim of request {came.ref} under {claim.number}"
        case Claimed(came, claim, result, _, _):
            return f"claim of request {came.ref} under {claim.number}: {result}"
        case RequestArrived(ref):
            return f"request {ref}"
        case RequestReturned(came, one):
            return f"request {came.ref} back, {_bound(one) if one else ''}"
        case View(epoch, members):
            return f"view {epoch} of {' '.join(one.name for one in members)}"
    binding = getattr(what, "binding", None)
    return type(what).__name__.lower() + (f" {_bound(binding)}" if binding else "")


def _bound(one: Binding) -> str:
    return f"{one.owner}#{one.fencing_number} {one.state.value}" + (
        f" to {one.successor}" if one.successor else ""
    )


@dataclass
class Scene:
    """Three servers, the register, what is on its way, the clock. `left`: how often each fault may yet be."""

    settings: AffinitySettings
    servers: dict[str, Server] = field(default_factory=dict)
    register: Register = field(default_factory=Register)
    watch: Watch = field(default_factory=Watch)
    way: list[Way] = field(default_factory=list)
    view: View = View(1, tuple(Member(one, one, incarnation=1) for one in NAMES))  # noqa: RUF009
    now: float = 10.0
    outcomes: dict[int, str] = field(default_factory=dict)
    left: dict[str, int] = field(default_factory=dict)
    passed: int = 0  # requests so far
    hops: dict[int, int] = field(default_factory=dict)

    def tell(self, name: str, event: Any) -> None:
        server = self.servers.get(name)
        if server is None:
            return
        for effect in server.step(self.now, event):
            match effect:
                case Say(to, message):
                    self.way.append(Way("say", name, to, message))
                case ForwardToOwner(ref, to):
                    came = server.requests.get(ref)
                    if came is None:
                        self.watch.wrong.append(f"{name} passes request {ref} on, which it has decided")
                        continue
                    self.way.append(
                        Way("pass", name, to, RequestArrived(ref, KEY, came.idempotency, "", name))
                    )
                    self.hops[ref] = self.hops.get(ref, 0) + 1
                case ReturnToForwarder(ref, to, binding):
                    came = RequestArrived(ref, KEY, Idempotency.KEYED, was_returned=self.hops[ref] > 1)
                    self.way.append(Way("back", name, to, RequestReturned(came, binding)))
                case Put() | ReadBinding() | Ask():
                    epoch = server.sessions.view.epoch if server.sessions.view else 0
                    self.way.append(Way("ask", name, "register", effect, self.now, epoch))
                case Free(_, claim):
                    self.register.free(claim)
                case RejectRequest(ref, _, why):
                    self.outcomes.setdefault(ref, f"denied {why.value}")
                case Begin(came, claim):
                    assert claim is not None
                    run = Run(name, KEY, claim.idempotency_key, claim.number, self.now)
                    self.watch.begin(self.now, run)
        held = server.sessions.owned.get(KEY)
        if held is not None and held.phase is OwnershipPhase.AWAITING_SUCCESSOR:
            self.watch.pass_on(name, KEY)  # it waited for them as long as it may

    def check(self) -> str:
        """What is wrong here, if anything."""
        holding: dict[int, str] = {}
        for name, server in self.servers.items():
            held = server.sessions.owned.get(KEY)
            if held is not None and holding.setdefault(held.binding.fencing_number, name) != name:
                number = held.binding.fencing_number
                return f"{name} and {holding[number]} both hold it at {number}"
        return self.watch.wrong[0] if self.watch.wrong else ""

    # -- what may happen next

    def actions(self) -> list[str]:
        found = [f"deliver {place}" for place in range(len(self.way))]
        if self.left.get("lose"):
            found += [f"lose {place}" for place in range(len(self.way)) if self.way[place].kind != "view"]
        found += [f"ring {name}" for name, one in self.servers.items() if one.wake_at < self.now + 5.0]
        found += [f"end {one.idempotency_key}" for one in self.watch.runs]
        for what in ("crash", "remove", "request", "drain", "bump"):
            if self.left.get(what):
                found += [f"{what} {name}" for name in self._whom(what)]
        return found

    def _whom(self, what: str) -> list[str]:
        if what == "bump":
            return ["all"]
        if what == "remove":  # the fleet agrees that the owner at the start is gone: rightly or not
            return ["a"] if "a" in self.view else []
        if what == "request":
            return [name for name in NAMES if name in self.servers]
        if what in ("crash", "drain"):
            return [name for name in ("a", "b") if name in self.servers and name in self.view]
        return []

    def act(self, action: str) -> str:
        """Do it; how it reads in a trace."""
        what, _, which = action.partition(" ")
        says = getattr(self, f"_{what}")(which)
        return f"{self.now:6.2f} {says}"

    def _deliver(self, which: str) -> str:
        one = self.way.pop(int(which))
        if one.kind == "ask":
            self._ask(one)
        elif one.kind == "view":
            self.tell(one.to, ViewChanged(one.what))
        elif one.kind == "say":
            self.tell(one.to, MessageReceived(one.sender, one.what))
        elif one.to in self.servers:
            self.tell(one.to, one.what)
        elif one.kind in ("pass", "back"):
            self.outcomes.setdefault(_ref(one), "terminated: its server is gone")
        return str(one)

    def _ask(self, one: Way) -> None:
        """The register does it, if who asks is of the newest view; the answer is on its way."""
        if one.epoch != self.view.epoch or one.sender not in self.view:
            said: Any = self._lost(one)
        elif isinstance(one.what, Put):
            written = self.register.write(self.now, KEY, one.what.expected_fencing_number, one.what.binding)
            said = RegisterAnswered(one.what.ref, *written)
        elif isinstance(one.what, ReadBinding):
            said = RegisterAnswered(one.what.ref, RegisterVerdict.WON, self.register.bindings.get(KEY))
        else:
            result, number = self.register.claim(KEY, one.what.claim)
            said = Claimed(one.what.came, one.what.claim, result, number, one.asked)
        self.way.append(Way("answer", "register", one.sender, said))

    def _lost(self, one: Way) -> Any:
        if isinstance(one.what, Ask):
            return Claimed(one.what.came, one.what.claim, "unreachable", 0, one.asked)
        return RegisterAnswered(one.what.ref, RegisterVerdict.UNREACHABLE)

    def _lose(self, which: str) -> str:
        """What is told of a lost question or answer is that no majority was reached."""
        self.left["lose"] -= 1
        one = self.way.pop(int(which))
        if one.kind == "ask":
            self.way.append(Way("answer", "register", one.sender, self._lost(one)))
        elif one.kind == "answer" and isinstance(one.what, RegisterAnswered):
            self.tell(one.to, RegisterAnswered(one.what.ref, RegisterVerdict.UNREACHABLE))
        elif one.kind == "answer":
            self.tell(one.to, Claimed(one.what.came, one.what.claim, "unreachable", 0, one.what.asked))
        elif one.kind in ("pass", "back"):
            self.outcomes.setdefault(_ref(one), "terminated: it may have arrived")
        return f"lost: {one}"

    def _ring(self, which: str) -> str:
        self.now = max(self.now, self.servers[which].wake_at)
        self.tell(which, TimerFired())
        return f"timer of {which}"

    def _end(self, idempotency_key: str) -> str:
        run = next(one for one in self.watch.runs if one.idempotency_key == idempotency_key)
        self.watch.end(run.at, idempotency_key)
        ref = int(idempotency_key.rpartition("-")[2])
        self.outcomes.setdefault(ref, f"completed at {run.at}")
        self.tell(run.at, RequestFinished(ref, KEY))
        return f"the run of request {ref} at {run.at} ends"

    def _crash(self, name: str) -> str:
        self.left["crash"] -= 1
        self.gone(name)
        return f"{name} crashes"

    def gone(self, name: str) -> None:
        server = self.servers.pop(name)
        for ref in server.requests:
            self.outcomes.setdefault(ref, "terminated: its server is gone")
        self.watch.runs = [one for one in self.watch.runs if one.at != name]
        self.way = [one for one in self.way if one.sender != name or one.kind in ("ask", "say")]

    def _remove(self, name: str) -> str:
        self.left["remove"] -= 1
        self.view = View(self.view.epoch + 1, tuple(one for one in self.view.members if one.name != name))
        self.watch.pass_on(name)
        for to in self.servers:
            self.way.append(Way("view", "fleet", to, self.view))
        return f"the fleet agrees that {name} is gone, at epoch {self.view.epoch}"

    def _request(self, name: str) -> str:
        self.left["request"] -= 1
        self.bring(name)
        return f"request {max(self.outcomes_asked())} comes to {name}"

    def bring(self, name: str) -> int:
        ref = self.passed = self.passed + 1
        self.tell(name, RequestArrived(ref, KEY, Idempotency.KEYED))
        return ref

    def outcomes_asked(self) -> range:
        return range(self.passed + 1)

    def _drain(self, name: str) -> str:
        self.left["drain"] -= 1
        self.tell(name, DrainStarted(10.0))
        return f"{name} is told to leave"

    def _bump(self, _: str) -> str:
        self.left["bump"] -= 1
        for name in list(self.servers):
            self.tell(name, PolicyActivated(9))
        return "a new policy version is active, and the old one kept no longer"

    # -- to compare and to settle

    def key(self) -> bytes:
        seen: list[object] = [round(self.now, 2), self.view.epoch, sorted(self.left.items())]
        for name, server in self.servers.items():
            own = server.sessions
            held, seek = own.owned.get(KEY), own.lookups.get(KEY)
            seen.append(
                (
                    name,
                    own.view.epoch if own.view else 0,
                    own.version,
                    own.routes.get(KEY),
                    list(own.queued_keys),
                    sorted(own.pending_queries.items()),
                    not own.is_draining,
                    sorted(server.requests),
                    held
                    and (
                        held.binding,
                        held.phase,
                        sorted(held.open_refs),
                        [one.ref for one in held.waiting_requests],
                        held.pending_ref,
                        held.first_fencing_number,
                        held.queued_cause,
                        sorted(held.declined_by),
                        held.timer_at,
                        held.phase_since,
                        held.pending_binding,
                    ),
                    seek
                    and (
                        seek.stage,
                        [one.ref for one in seek.waiting_requests],
                        seek.pending_ref,
                        seek.timer_at,
                        seek.offered_by,
                        seek.handover,
                        seek.stored_binding,
                        seek.offered_to,
                        sorted(seek.declined_by),
                        seek.forced,
                        seek.has_budget_token,
                    ),
                )
            )
        runs = sorted((one.at, one.idempotency_key, one.number, one.passed) for one in self.watch.runs)
        stands = (self.register.bindings.get(KEY), sorted(self.register.claims))
        way = sorted(str((one.kind, one.sender, one.to, one.what, one.asked)) for one in self.way)
        return hashlib.blake2b(repr((seen, runs, stands, way)).encode(), digest_size=12).digest()

    def settle(self) -> str:
        """All faults over: who crashed is taken out, each message arrives. What is wrong then."""
        self.left = {"remove": 1}
        if "a" in self.view and "a" not in self.servers:
            self._remove("a")
        lost = [one for one in self.view.names if one not in self.servers]
        if lost:
            members = tuple(one for one in self.view.members if one.name not in lost)
            self.view = View(self.view.epoch + 1, members)
            self.way += [Way("view", "fleet", to, self.view) for to in self.servers]
        until, steps = self.now + SETTLE, 0
        fresh: list[int] = []
        while steps < STEPS_MOST:
            steps += 1
            if self.way:
                self.act("deliver 0")
            elif self.watch.runs:
                self.act(f"end {self.watch.runs[0].idempotency_key}")
            elif wakes := [(one.wake_at, name) for name, one in self.servers.items() if one.wake_at <= until]:
                self.act(f"ring {min(wakes)[1]}")
            elif not fresh:
                self.now = max(self.now, until)
                until = self.now + SETTLE
                fresh = [self.bring(name) for name in sorted(self.servers) if name in self.view]
            else:
                break
            if wrong := self.check():
                return wrong
        waits = [ref for ref in range(1, self.passed + 1) if ref not in self.outcomes]
        if waits:
            return f"requests without an outcome: {waits}"
        bad = [f"{one} {self.outcomes[one]}" for one in fresh if "completed" not in self.outcomes[one]]
        if bad:
            return f"in calm, requests were not served: {bad}"
        holders = [name for name, one in self.servers.items() if KEY in one.sessions.owned]
        stands = self.register.bindings.get(KEY)
        good = stands is not None and stands.state is BindingState.OWNED and [stands.owner] == holders
        if not good:
            return f"held by {holders}, and the register says {stands and _bound(stands)}"
        return ""


def _begin(broken: str) -> Scene:
    """`a` owns the session, all know it, and one keyed run of it is under way at `a`."""
    settings = AffinitySettings(faulty_variant=broken, keep_versions=1, idle_timeout_s=600.0)
    scene = Scene(settings)
    scene.register.fenced = broken != "two-owners"
    for name in NAMES:
        scene.servers[name] = Server(name, 1, settings, scene.now)
        scene.tell(name, ViewChanged(scene.view))
        scene.tell(name, PolicyActivated(1))
    scene.now += 5.0
    stands = Binding(KEY, FIRST, "a", 1, 1)
    scene.register.bindings[KEY] = stands
    scene.bring("a")
    _flow(scene)
    return scene


def _flow(scene: Scene) -> None:
    while scene.way:
        scene.act("deliver 0")


def _drain(broken: str) -> Scene:
    scene = _begin(broken)
    scene.left = {"request": 1, "lose": 1}
    scene.tell("a", DrainStarted(10.0))
    return scene


def _paused(broken: str) -> Scene:
    """One keyed request more is at `a`, its claim on the way, when the fleet agrees that `a` is gone."""
    scene = _begin(broken)
    scene.bring("b")
    _flow(scene)
    scene.bring("a")
    scene.left = {"remove": 1, "request": 1}
    scene.act("remove a")
    return scene


def _woken(broken: str) -> Scene:
    """`a` was paused when its claim had just been won. The others took it out, and its successor runs
    keyed work; now `a` wakes, with the answer to its claim, old timers and a new view before it."""
    scene = _begin(broken)
    scene.bring("a")
    scene.act("deliver 0")  # its claim is won; the answer waits for it
    scene.left = {"remove": 1}
    scene.act("remove a")
    scene.left = {"request": 2}
    for name in "bc":  # they hear of it
        scene.act(f"deliver {next(place for place, one in enumerate(scene.way) if one.to == name)}")
    scene.bring("b")
    for _ in range(STEPS_MOST):
        if any(one.at != "a" for one in scene.watch.runs):
            break
        others = [place for place, one in enumerate(scene.way) if one.to != "a"]
        if others:
            scene.act(f"deliver {others[0]}")
        else:
            scene.act("ring " + min("bc", key=lambda name: scene.servers[name].wake_at))
    return scene


def _halfway(broken: str) -> Scene:
    """`a` is handing over to another when one of them crashes, or `a` is taken out."""
    scene = _begin(broken)
    scene.act(f"end {scene.watch.runs[0].idempotency_key}")
    scene.tell("a", DrainStarted(10.0))
    scene.act("deliver 0")
    scene.left = {"crash": 1, "remove": 1, "request": 1, "lose": 1}
    return scene


def _nobody(broken: str) -> Scene:
    """Nobody owns it, and its requests come to two servers at once."""
    scene = _begin(broken)
    scene.act(f"end {scene.watch.runs[0].idempotency_key}")
    held = scene.servers["a"].sessions.owned.pop(KEY)
    scene.register.bindings[KEY] = held.binding.ended()
    scene.bring("b")
    scene.bring("c")
    scene.left = {"request": 1, "lose": 1}
    return scene


def _cut(broken: str) -> Scene:
    """The owner can't be reached from `b`, who has a request of the session; nobody is taken out."""
    scene = _begin(broken)
    scene.bring("b")
    scene.left = {"lose": 1, "request": 1}
    while scene.way and scene.way[0].kind != "pass":
        scene.act("deliver 0")
    lost = scene.way.pop(0)
    scene.tell("b", OwnerUnreachable(RequestArrived(lost.what.ref, KEY, Idempotency.KEYED), "a"))
    return scene


def _retired(broken: str) -> Scene:
    """The session's version is kept no longer, with a claim on its way and a run open."""
    scene = _begin(broken)
    scene.bring("a")
    scene.left = {"bump": 1, "request": 1, "lose": 1}
    scene.act("bump all")
    return scene


STARTS: dict[str, Callable[[str], Scene]] = {
    "its owner drains": _drain,
    "its owner was paused past its removal": _paused,
    "its owner wakes after its removal": _woken,
    "a handover is cut in its middle": _halfway,
    "nobody owns it, two servers ask": _nobody,
    "its owner can't be reached": _cut,
    "its version is retired": _retired,
}


def explore(scene: Scene, depth: int, most: int, leaves: int) -> tuple[int, int, Trace, str]:
    """States seen, leaves settled, and the first violation with its steps."""
    queue: deque[tuple[bytes, int, Trace]] = deque([(pickle.dumps(scene), 0, ())])
    seen, settled, bottom = {scene.key()}, 0, 0
    if wrong := scene.check():
        return 1, 0, (), wrong
    while queue:
        held, done, trace = queue.popleft()
        for action in pickle.loads(held).actions():
            now: Scene = pickle.loads(held)
            path = (*trace, now.act(action))
            if wrong := now.check():
                return len(seen), settled, path, wrong
            mark = now.key()
            if mark in seen or len(seen) >= most:
                continue
            seen.add(mark)
            if done + 1 < depth:
                queue.append((pickle.dumps(now), done + 1, path))
                continue
            bottom += 1
            if settled < leaves and bottom % 7 == 0:  # a share of them, the same each time
                settled += 1
                if wrong := now.settle():
                    return len(seen), settled, (*path, "       all faults are over, and all arrives"), wrong
    return len(seen), settled, (), ""


def run(seed: int, quick: bool, broken: str = "") -> Found:
    """Nothing here is drawn by `seed`: every order is tried."""
    del seed
    result = Found("affinity-model")
    depth, most, leaves = (6, 60_000, 100) if quick else (8, 600_000, 1000)
    for title, start in STARTS.items():
        states, settled, trace, wrong = explore(start(broken), depth, most, leaves)
        says = f"{states} states, {settled} settled" + (f": {wrong}" if wrong else "")
        whole = depth < states < most  # cut short, it would not be every order
        result.check(f"{title}: nothing wrong in any order to depth {depth}", not wrong and whole, says)
        if trace:
            result.figures[f"trace ({title})"] = "\n    ".join(["", *trace])
        result.figures[f"states ({title})"] = states
    return result

"""Bounded model check of a session's handover between three servers, for every order of events.

The model runs the real sessions without processes. From states in which a session is about to change its
owner it tries the possible events in every order up to a depth: a message in flight arrives (one that doesn't
is late, as with a pause, or lost), an answer of the register is lost after the write took effect, a timer
fires, a keyed run ends, a server crashes, or the fleet removes a member. Checked at each step: no two owners
run the session's keyed requests at once, no idempotency key runs twice, no run starts under a fencing number
lower than another owner's, and no two servers hold the same number. A sample of the states at the full depth
is then settled without further faults, after which each request must have an outcome and the session one
owner. A violation is printed with the steps that lead to it.
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
from ..session_affinity.effects import (
    ForwardToOwner,
    ReadBinding,
    RejectRequest,
    ReturnToForwarder,
    SendMessage,
    WriteBinding,
)
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
from .affinity_fleet import (
    ClaimAnswered,
    InvariantChecker,
    Register,
    ReleaseClaim,
    RequestClaim,
    Run,
    Server,
    StartRun,
)
from .result import ExperimentResult

FAULTY_VARIANTS = ("no-handover", "two-owners")
NAMES = ("a", "b", "c")
KEY = "k"
SETTLE_S = 12.0  # without faults, after which all requests must have outcomes
MAX_SETTLE_STEPS = 2_000  # limit for settling one state
INITIAL_FENCING_NUMBER = 5  # under which `a` holds the session at the start
Trace = tuple[str, ...]


@dataclass(frozen=True)
class InFlightMessage:
    """A message in flight between servers, or to or from the register."""

    kind: str  # say, pass, back, view, ask or answer
    sender: str
    receiver: str
    payload: Any
    sent_at: float = 0.0
    epoch: int = 0

    def __str__(self) -> str:
        payload = getattr(self.payload, "message", self.payload)
        return f"{self.sender} -> {self.receiver}: {_describe(payload)}"


def _ref(message: InFlightMessage) -> int:
    return int(message.payload.ref if message.kind == "pass" else message.payload.request.ref)


def _describe(payload: Any) -> str:
    match payload:
        case WriteBinding(_, _, expected_number, new_binding, _):
            return f"write {_describe_binding(new_binding)} if {expected_number}"
        case RegisterAnswered(_, result, stored):
            return f"{result.value}, {_describe_binding(stored) if stored else 'nothing is stored'}"
        case RequestClaim(request, claim):
            return f"claim of request {request.ref} under {claim.fencing_number}"
        case ClaimAnswered(request, claim, result, _, _):
            return f"claim of request {request.ref} under {claim.fencing_number}: {result}"
        case RequestArrived(ref):
            return f"request {ref}"
        case RequestReturned(request, item):
            return f"request {request.ref} returned, {_describe_binding(item) if item else ''}"
        case View(epoch, members):
            return f"view {epoch} of {' '.join(item.name for item in members)}"
    binding = getattr(payload, "binding", None)
    return type(payload).__name__.lower() + (f" {_describe_binding(binding)}" if binding else "")


def _describe_binding(binding: Binding) -> str:
    return f"{binding.owner}#{binding.fencing_number} {binding.state.value}" + (
        f" to {binding.successor}" if binding.successor else ""
    )


@dataclass
class ModelState:
    """Three servers, the register, the messages in flight, and the clock.

    `remaining_events` counts how often each kind of event may still happen.
    """

    settings: AffinitySettings
    servers: dict[str, Server] = field(default_factory=dict)
    register: Register = field(default_factory=Register)
    checker: InvariantChecker = field(default_factory=InvariantChecker)
    in_flight: list[InFlightMessage] = field(default_factory=list)
    view: View = View(1, tuple(Member(name, name, incarnation=1) for name in NAMES))  # noqa: RUF009
    now: float = 10.0
    outcomes: dict[int, str] = field(default_factory=dict)
    remaining_events: dict[str, int] = field(default_factory=dict)
    request_count: int = 0  # number of requests so far
    hops: dict[int, int] = field(default_factory=dict)

    def dispatch(self, name: str, event: Any) -> None:
        server = self.servers.get(name)
        if server is None:
            return
        for effect in server.step(self.now, event):
            match effect:
                case SendMessage(receiver, message):
                    self.in_flight.append(InFlightMessage("say", name, receiver, message))
                case ForwardToOwner(ref, receiver):
                    request = server.requests.get(ref)
                    if request is None:
                        self.checker.violations.append(
                            f"{name} forwards request {ref}, which already has an outcome"
                        )
                        continue
                    self.in_flight.append(
                        InFlightMessage(
                            "pass", name, receiver, RequestArrived(ref, KEY, request.idempotency, "", name)
                        )
                    )
                    self.hops[ref] = self.hops.get(ref, 0) + 1
                case ReturnToForwarder(ref, receiver, binding):
                    request = RequestArrived(ref, KEY, Idempotency.KEYED, was_returned=self.hops[ref] > 1)
                    self.in_flight.append(
                        InFlightMessage("back", name, receiver, RequestReturned(request, binding))
                    )
                case WriteBinding() | ReadBinding() | RequestClaim():
                    epoch = server.sessions.view.epoch if server.sessions.view else 0
                    self.in_flight.append(InFlightMessage("ask", name, "register", effect, self.now, epoch))
                case ReleaseClaim(_, claim):
                    self.register.release(claim)
                case RejectRequest(ref, _, reason):
                    self.outcomes.setdefault(ref, f"denied {reason.value}")
                case StartRun(request, claim):
                    assert claim is not None
                    run = Run(name, KEY, claim.idempotency_key, claim.fencing_number, self.now)
                    self.checker.record_start(self.now, run)
        owned = server.sessions.owned.get(KEY)
        if owned is not None and owned.phase is OwnershipPhase.AWAITING_SUCCESSOR:
            self.checker.mark_orphaned(name, KEY)  # its wait for the open runs has timed out

    def check(self) -> str:
        """Return the first violation in this state; empty if there is none."""
        holders: dict[int, str] = {}
        for name, server in self.servers.items():
            owned = server.sessions.owned.get(KEY)
            if owned is not None and holders.setdefault(owned.binding.fencing_number, name) != name:
                number = owned.binding.fencing_number
                return f"{name} and {holders[number]} both hold it at {number}"
        return self.checker.violations[0] if self.checker.violations else ""

    # -- events

    def actions(self) -> list[str]:
        actions = [f"deliver {index}" for index in range(len(self.in_flight))]
        if self.remaining_events.get("lose"):
            actions += [
                f"lose {index}"
                for index in range(len(self.in_flight))
                if self.in_flight[index].kind != "view"
            ]
        actions += [f"ring {name}" for name, item in self.servers.items() if item.wake_at < self.now + 5.0]
        actions += [f"end {item.idempotency_key}" for item in self.checker.runs]
        for kind in ("crash", "remove", "request", "drain", "bump"):
            if self.remaining_events.get(kind):
                actions += [f"{kind} {name}" for name in self._targets(kind)]
        return actions

    def _targets(self, kind: str) -> list[str]:
        if kind == "bump":
            return ["all"]
        if kind == "remove":  # the fleet removes the initial owner, whether or not it crashed
            return ["a"] if "a" in self.view else []
        if kind == "request":
            return [name for name in NAMES if name in self.servers]
        if kind in ("crash", "drain"):
            return [name for name in ("a", "b") if name in self.servers and name in self.view]
        return []

    def act(self, action: str) -> str:
        """Carry out an action and return its line for a trace."""
        kind, _, target = action.partition(" ")
        description = getattr(self, f"_{kind}")(target)
        return f"{self.now:6.2f} {description}"

    def _deliver(self, index: str) -> str:
        message = self.in_flight.pop(int(index))
        if message.kind == "ask":
            self._ask(message)
        elif message.kind == "view":
            self.dispatch(message.receiver, ViewChanged(message.payload))
        elif message.kind == "say":
            self.dispatch(message.receiver, MessageReceived(message.sender, message.payload))
        elif message.receiver in self.servers:
            self.dispatch(message.receiver, message.payload)
        elif message.kind in ("pass", "back"):
            self.outcomes.setdefault(_ref(message), "terminated: its server crashed")
        return str(message)

    def _ask(self, message: InFlightMessage) -> None:
        """Carry out a register query if its sender has the newest view, and send the answer."""
        if message.epoch != self.view.epoch or message.sender not in self.view:
            answer: Any = self._lost(message)
        elif isinstance(message.payload, WriteBinding):
            write_result = self.register.write(
                self.now, KEY, message.payload.expected_fencing_number, message.payload.binding
            )
            answer = RegisterAnswered(message.payload.ref, *write_result)
        elif isinstance(message.payload, ReadBinding):
            answer = RegisterAnswered(
                message.payload.ref, RegisterVerdict.WON, self.register.bindings.get(KEY)
            )
        else:
            result, number = self.register.claim(KEY, message.payload.claim)
            answer = ClaimAnswered(
                message.payload.arrival, message.payload.claim, result, number, message.sent_at
            )
        self.in_flight.append(InFlightMessage("answer", "register", message.sender, answer))

    def _lost(self, message: InFlightMessage) -> Any:
        if isinstance(message.payload, RequestClaim):
            return ClaimAnswered(
                message.payload.arrival, message.payload.claim, "unreachable", 0, message.sent_at
            )
        return RegisterAnswered(message.payload.ref, RegisterVerdict.UNREACHABLE)

    def _lose(self, index: str) -> str:
        """Lose a message; the sender of a lost query or answer is told that no majority was reached."""
        self.remaining_events["lose"] -= 1
        message = self.in_flight.pop(int(index))
        if message.kind == "ask":
            self.in_flight.append(InFlightMessage("answer", "register", message.sender, self._lost(message)))
        elif message.kind == "answer" and isinstance(message.payload, RegisterAnswered):
            self.dispatch(
                message.receiver, RegisterAnswered(message.payload.ref, RegisterVerdict.UNREACHABLE)
            )
        elif message.kind == "answer":
            self.dispatch(
                message.receiver,
                ClaimAnswered(
                    message.payload.arrival, message.payload.claim, "unreachable", 0, message.payload.asked_at
                ),
            )
        elif message.kind in ("pass", "back"):
            self.outcomes.setdefault(_ref(message), "terminated: it may have arrived")
        return f"lost: {message}"

    def _ring(self, name: str) -> str:
        self.now = max(self.now, self.servers[name].wake_at)
        self.dispatch(name, TimerFired())
        return f"timer of {name}"

    def _end(self, idempotency_key: str) -> str:
        run = next(run for run in self.checker.runs if run.idempotency_key == idempotency_key)
        self.checker.record_end(run.server, idempotency_key)
        ref = int(idempotency_key.rpartition("-")[2])
        self.outcomes.setdefault(ref, f"completed at {run.server}")
        self.dispatch(run.server, RequestFinished(ref, KEY))
        return f"the run of request {ref} at {run.server} ends"

    def _crash(self, name: str) -> str:
        self.remaining_events["crash"] -= 1
        self.terminate(name)
        return f"{name} crashes"

    def terminate(self, name: str) -> None:
        server = self.servers.pop(name)
        for ref in server.requests:
            self.outcomes.setdefault(ref, "terminated: its server crashed")
        self.checker.runs = [item for item in self.checker.runs if item.server != name]
        self.in_flight = [
            item for item in self.in_flight if item.sender != name or item.kind in ("ask", "say")
        ]

    def _remove(self, name: str) -> str:
        self.remaining_events["remove"] -= 1
        self.view = View(
            self.view.epoch + 1, tuple(member for member in self.view.members if member.name != name)
        )
        self.checker.mark_orphaned(name)
        for receiver in self.servers:
            self.in_flight.append(InFlightMessage("view", "fleet", receiver, self.view))
        return f"the fleet removes {name}, at epoch {self.view.epoch}"

    def _request(self, name: str) -> str:
        self.remaining_events["request"] -= 1
        self.submit(name)
        return f"request {max(self.request_refs())} arrives at {name}"

    def submit(self, name: str) -> int:
        ref = self.request_count = self.request_count + 1
        self.dispatch(name, RequestArrived(ref, KEY, Idempotency.KEYED))
        return ref

    def request_refs(self) -> range:
        return range(self.request_count + 1)

    def _drain(self, name: str) -> str:
        self.remaining_events["drain"] -= 1
        self.dispatch(name, DrainStarted(10.0))
        return f"{name} starts to drain"

    def _bump(self, _: str) -> str:
        self.remaining_events["bump"] -= 1
        for name in list(self.servers):
            self.dispatch(name, PolicyActivated(9))
        return "a new policy version is active, and the old one is no longer kept"

    # -- comparing and settling states

    def state_key(self) -> bytes:
        parts: list[object] = [round(self.now, 2), self.view.epoch, sorted(self.remaining_events.items())]
        for name, server in self.servers.items():
            sessions = server.sessions
            owned, lookup = sessions.owned.get(KEY), sessions.lookups.get(KEY)
            parts.append(
                (
                    name,
                    sessions.view.epoch if sessions.view else 0,
                    sessions.version,
                    sessions.routes.get(KEY),
                    list(sessions.queued_keys),
                    sorted(sessions.pending_queries.items()),
                    not sessions.is_draining,
                    sorted(server.requests),
                    owned
                    and (
                        owned.binding,
                        owned.phase,
                        sorted(owned.open_refs),
                        [item.ref for item in owned.waiting_requests],
                        owned.pending_ref,
                        owned.first_fencing_number,
                        owned.queued_cause,
                        sorted(owned.declined_by),
                        owned.timer_at,
                        owned.phase_since,
                        owned.pending_binding,
                    ),
                    lookup
                    and (
                        lookup.stage,
                        [item.ref for item in lookup.waiting_requests],
                        lookup.pending_ref,
                        lookup.timer_at,
                        lookup.offered_by,
                        lookup.handover,
                        lookup.stored_binding,
                        lookup.offered_to,
                        sorted(lookup.declined_by),
                        lookup.forced,
                        lookup.has_budget_token,
                    ),
                )
            )
        runs = sorted(
            (item.server, item.idempotency_key, item.fencing_number, item.orphaned)
            for item in self.checker.runs
        )
        register_state = (self.register.bindings.get(KEY), sorted(self.register.claims))
        in_flight = sorted(
            str((item.kind, item.sender, item.receiver, item.payload, item.sent_at))
            for item in self.in_flight
        )
        return hashlib.blake2b(
            repr((parts, runs, register_state, in_flight)).encode(), digest_size=12
        ).digest()

    def settle(self) -> str:
        """Run without faults, with crashed servers removed; return the first violation, empty if none."""
        self.remaining_events = {"remove": 1}
        if "a" in self.view and "a" not in self.servers:
            self._remove("a")
        terminated = [item for item in self.view.names if item not in self.servers]
        if terminated:
            members = tuple(item for item in self.view.members if item.name not in terminated)
            self.view = View(self.view.epoch + 1, members)
            self.in_flight += [
                InFlightMessage("view", "fleet", receiver, self.view) for receiver in self.servers
            ]
        until, steps = self.now + SETTLE_S, 0
        new_requests: list[int] = []
        while steps < MAX_SETTLE_STEPS:
            steps += 1
            if self.in_flight:
                self.act("deliver 0")
            elif self.checker.runs:
                self.act(f"end {self.checker.runs[0].idempotency_key}")
            elif timers := [
                (item.wake_at, name) for name, item in self.servers.items() if item.wake_at <= until
            ]:
                self.act(f"ring {min(timers)[1]}")
            elif not new_requests:
                self.now = max(self.now, until)
                until = self.now + SETTLE_S
                new_requests = [self.submit(name) for name in sorted(self.servers) if name in self.view]
            else:
                break
            if violation := self.check():
                return violation
        open_requests = [ref for ref in range(1, self.request_count + 1) if ref not in self.outcomes]
        if open_requests:
            return f"requests without an outcome: {open_requests}"
        unserved = [
            f"{item} {self.outcomes[item]}" for item in new_requests if "completed" not in self.outcomes[item]
        ]
        if unserved:
            return f"without faults, requests were not served: {unserved}"
        holders = [name for name, item in self.servers.items() if KEY in item.sessions.owned]
        binding = self.register.bindings.get(KEY)
        is_consistent = (
            binding is not None and binding.state is BindingState.OWNED and [binding.owner] == holders
        )
        if not is_consistent:
            return f"held by {holders}, and the register has {binding and _describe_binding(binding)}"
        return ""


def _owned_session(broken: str) -> ModelState:
    """`a` owns the session, all servers have this route, and a keyed run is in progress at `a`."""
    settings = AffinitySettings(faulty_variant=broken, keep_versions=1, idle_timeout_s=600.0)
    state = ModelState(settings)
    state.register.fenced = broken != "two-owners"
    for name in NAMES:
        state.servers[name] = Server(name, 1, settings, state.now)
        state.dispatch(name, ViewChanged(state.view))
        state.dispatch(name, PolicyActivated(1))
    state.now += 5.0
    binding = Binding(KEY, INITIAL_FENCING_NUMBER, "a", 1, 1)
    state.register.bindings[KEY] = binding
    state.submit("a")
    _deliver_all(state)
    return state


def _deliver_all(state: ModelState) -> None:
    while state.in_flight:
        state.act("deliver 0")


def _draining_owner(broken: str) -> ModelState:
    state = _owned_session(broken)
    state.remaining_events = {"request": 1, "lose": 1}
    state.dispatch("a", DrainStarted(10.0))
    return state


def _removed_while_paused(broken: str) -> ModelState:
    """A second keyed request is at `a`, with its claim in flight, when the fleet removes `a`."""
    state = _owned_session(broken)
    state.submit("b")
    _deliver_all(state)
    state.submit("a")
    state.remaining_events = {"remove": 1, "request": 1}
    state.act("remove a")
    return state


def _resumed_owner(broken: str) -> ModelState:
    """`a` was paused just after its claim was won, and removed; its successor runs a keyed request.

    When `a` resumes, the answer to its claim, expired timers and a new view are pending.
    """
    state = _owned_session(broken)
    state.submit("a")
    state.act("deliver 0")  # its claim is won; the answer remains in flight
    state.remaining_events = {"remove": 1}
    state.act("remove a")
    state.remaining_events = {"request": 2}
    for name in "bc":  # both receive the view
        state.act(
            f"deliver {next(index for index, item in enumerate(state.in_flight) if item.receiver == name)}"
        )
    state.submit("b")
    for _ in range(MAX_SETTLE_STEPS):
        if any(item.server != "a" for item in state.checker.runs):
            break
        others = [index for index, item in enumerate(state.in_flight) if item.receiver != "a"]
        if others:
            state.act(f"deliver {others[0]}")
        else:
            state.act("ring " + min("bc", key=lambda name: state.servers[name].wake_at))
    return state


def _interrupted_handover(broken: str) -> ModelState:
    """`a` is handing the session over when one of the two servers crashes, or `a` is removed."""
    state = _owned_session(broken)
    state.act(f"end {state.checker.runs[0].idempotency_key}")
    state.dispatch("a", DrainStarted(10.0))
    state.act("deliver 0")
    state.remaining_events = {"crash": 1, "remove": 1, "request": 1, "lose": 1}
    return state


def _no_owner(broken: str) -> ModelState:
    """No server owns the session, and its requests arrive at two servers at once."""
    state = _owned_session(broken)
    state.act(f"end {state.checker.runs[0].idempotency_key}")
    owned = state.servers["a"].sessions.owned.pop(KEY)
    state.register.bindings[KEY] = owned.binding.ended()
    state.submit("b")
    state.submit("c")
    state.remaining_events = {"request": 1, "lose": 1}
    return state


def _unreachable_owner(broken: str) -> ModelState:
    """`b` has a request of the session and can't reach the owner; no server is removed."""
    state = _owned_session(broken)
    state.submit("b")
    state.remaining_events = {"lose": 1, "request": 1}
    while state.in_flight and state.in_flight[0].kind != "pass":
        state.act("deliver 0")
    message = state.in_flight.pop(0)
    state.dispatch("b", OwnerUnreachable(RequestArrived(message.payload.ref, KEY, Idempotency.KEYED), "a"))
    return state


def _retired_version(broken: str) -> ModelState:
    """The session's policy version is retired, with a claim in flight and a run in progress."""
    state = _owned_session(broken)
    state.submit("a")
    state.remaining_events = {"bump": 1, "request": 1, "lose": 1}
    state.act("bump all")
    return state


STARTS: dict[str, Callable[[str], ModelState]] = {
    "its owner drains": _draining_owner,
    "its owner was paused past its removal": _removed_while_paused,
    "its owner wakes after its removal": _resumed_owner,
    "a handover is cut in its middle": _interrupted_handover,
    "nobody owns it, two servers ask": _no_owner,
    "its owner can't be reached": _unreachable_owner,
    "its version is retired": _retired_version,
}


def explore(state: ModelState, depth: int, max_states: int, max_settled: int) -> tuple[int, int, Trace, str]:
    """Return the number of states, the number of settled states, and the first violation with its steps."""
    queue: deque[tuple[bytes, int, Trace]] = deque([(pickle.dumps(state), 0, ())])
    seen, settled, final_count = {state.state_key()}, 0, 0
    if violation := state.check():
        return 1, 0, (), violation
    while queue:
        pickled, depth_reached, trace = queue.popleft()
        for action in pickle.loads(pickled).actions():
            next_state: ModelState = pickle.loads(pickled)
            path = (*trace, next_state.act(action))
            if violation := next_state.check():
                return len(seen), settled, path, violation
            state_key = next_state.state_key()
            if state_key in seen or len(seen) >= max_states:
                continue
            seen.add(state_key)
            if depth_reached + 1 < depth:
                queue.append((pickle.dumps(next_state), depth_reached + 1, path))
                continue
            final_count += 1
            if settled < max_settled and final_count % 7 == 0:  # a fixed sample
                settled += 1
                if violation := next_state.settle():
                    return (
                        len(seen),
                        settled,
                        (*path, "       no further faults, and all messages arrive"),
                        violation,
                    )
    return len(seen), settled, (), ""


def run(seed: int, quick: bool, broken: str = "") -> ExperimentResult:
    """Run the experiment; `seed` has no effect, as every order is tried."""
    del seed
    result = ExperimentResult("affinity-model")
    depth, max_states, max_settled = (6, 60_000, 100) if quick else (8, 600_000, 1000)
    for title, start in STARTS.items():
        states, settled, trace, violation = explore(start(broken), depth, max_states, max_settled)
        details = f"{states} states, {settled} settled" + (f": {violation}" if violation else "")
        is_complete = depth < states < max_states  # a search that hit the limit has not tried every order
        result.check(
            f"{title}: no violation in any order to depth {depth}", not violation and is_complete, details
        )
        if trace:
            result.figures[f"trace ({title})"] = "\n    ".join(["", *trace])
        result.figures[f"states ({title})"] = states
    return result

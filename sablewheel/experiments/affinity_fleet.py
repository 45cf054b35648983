"""A simulated fleet of servers with session affinity, a register of bindings, and invariant checks.

The register is one object with compare-and-set writes that stands for a majority of replicas: a member
reaches it while it can exchange messages with a majority of the last agreed view, itself included, and has
the newest epoch. Answers of the register may be lost after the write took effect. A server runs the requests
that its sessions admit, after it has claimed their idempotency keys, and forwards others; every request's
outcome is recorded.
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
    """The exclusive right of a server to run an idempotency key, under its session's fencing number."""

    idempotency_key: str
    owner: str
    incarnation: int
    fencing_number: int


@dataclass
class Register:
    """The bindings and claims that a majority of replicas stores."""

    bindings: dict[Key, Binding] = field(default_factory=dict)
    claims: dict[str, Claim] = field(default_factory=dict)
    outcomes: dict[str, str] = field(default_factory=dict)
    history: list[tuple[float, Binding]] = field(default_factory=list)
    fenced: bool = True  # claims below the binding's fencing number are refused

    def write(
        self, now: float, key: Key, expected_fencing_number: int, binding: Binding
    ) -> tuple[RegisterVerdict, Binding | None]:
        current = self.bindings.get(key)
        if (current.fencing_number if current is not None else 0) != expected_fencing_number:
            return RegisterVerdict.LOST, current
        self.bindings[key] = binding
        self.history.append((now, binding))
        return RegisterVerdict.WON, binding

    def claim(self, key: Key, claim: Claim) -> tuple[str, int]:
        """Return `won`, `refused` with the stored fencing number, or `known` if the key has a claim."""
        binding = self.bindings.get(key)
        if self.fenced and binding is not None and claim.fencing_number < binding.fencing_number:
            return "refused", binding.fencing_number
        if claim.idempotency_key in self.claims:
            return "known", 0
        self.claims[claim.idempotency_key] = claim
        return "won", 0

    def release(self, claim: Claim) -> None:
        """Release a claim whose owner has not run the request."""
        if self.claims.get(claim.idempotency_key) == claim:
            del self.claims[claim.idempotency_key]


@dataclass
class Run:
    """A keyed run in progress."""

    server: str
    key: Key
    idempotency_key: str
    fencing_number: int
    started_at: float
    orphaned: bool = (
        False  # runs on as a claim: its server was terminated or removed, or timed out waiting for it
    )


@dataclass
class InvariantChecker:
    """Checks the invariants of keyed runs; `violations` has a text for each violation."""

    runs: list[Run] = field(default_factory=list)
    run_counts: Counter[str] = field(default_factory=Counter)  # idempotency key -> number of runs
    highest_fencing: dict[Key, tuple[int, str]] = field(default_factory=dict)  # highest number, its server
    violations: list[str] = field(default_factory=list)

    def record_start(self, now: float, run: Run) -> None:
        self.run_counts[run.idempotency_key] += 1
        if self.run_counts[run.idempotency_key] > 1:
            self.violations.append(
                f"{now:.2f} idempotency key {run.idempotency_key} runs a second time, at {run.server}"
            )
        highest_number, owner = self.highest_fencing.get(run.key, (0, run.server))
        if run.fencing_number < highest_number and owner != run.server:
            self.violations.append(
                f"{now:.2f} {run.server} begins {run.idempotency_key} of {run.key} "
                f"under {run.fencing_number}, after {owner} under {highest_number}"
            )
        for active in self.runs:
            if active.key == run.key and active.server != run.server and not active.orphaned:
                self.violations.append(
                    f"{now:.2f} {run.server} begins {run.idempotency_key} of {run.key} "
                    f"while {active.server} runs {active.idempotency_key}"
                )
        if run.fencing_number >= highest_number:
            self.highest_fencing[run.key] = (run.fencing_number, run.server)
        self.runs.append(run)

    def record_end(self, server: str, idempotency_key: str) -> None:
        self.runs = [
            run for run in self.runs if (run.server, run.idempotency_key) != (server, idempotency_key)
        ]

    def mark_orphaned(self, server: str, key: Key | None = None) -> None:
        for run in self.runs:
            if run.server == server and key in (None, run.key):
                run.orphaned = True


# -- one server


@dataclass(frozen=True)
class ClaimAnswered:
    """The register's answer to a claim that was requested at `asked_at`."""

    arrival: RequestArrived
    claim: Claim
    result: str
    fencing_number: int
    asked_at: float


@dataclass(frozen=True)
class StartRun:
    """Effect: start the run; `claim` is None for an idempotent request."""

    arrival: RequestArrived
    claim: Claim | None


@dataclass(frozen=True)
class RequestClaim:
    """Effect: claim the request's idempotency key."""

    arrival: RequestArrived
    claim: Claim


@dataclass(frozen=True)
class ReleaseClaim:
    """Effect: release a won claim whose request will not run."""

    arrival: RequestArrived
    claim: Claim


def idempotency_key_of(arrival: RequestArrived) -> str:
    return f"{arrival.key}-{arrival.ref}"


class Server:
    """A server: its sessions, and the claims and runs that follow from their effects."""

    def __init__(self, name: str, incarnation: int, settings: AffinitySettings, now: float) -> None:
        self.sessions = Sessions(name, incarnation, settings, now)
        self.requests: dict[int, RequestArrived] = {}

    @property
    def wake_at(self) -> float:
        return self.sessions.wake_at

    def step(self, now: float, event: Event | ClaimAnswered) -> list[Any]:
        if isinstance(event, ClaimAnswered):
            return self._handle_claim_answer(now, event)
        if isinstance(event, RequestArrived):
            self.requests[event.ref] = event
        if isinstance(event, OwnerUnreachable | RequestReturned):
            self.requests[event.request.ref] = event.request
        if isinstance(event, RequestFinished):
            self.requests.pop(event.ref, None)
        return self._handle_effects(now, self.sessions.handle_event(now, event))

    def _handle_effects(self, now: float, effects: list[Any]) -> list[Any]:
        result: list[Any] = []
        for effect in effects:
            arrival = self.requests.get(effect.ref) if isinstance(effect, ServeLocally) else None
            if arrival is None:
                if isinstance(effect, RejectRequest | ReturnToForwarder):
                    self.requests.pop(effect.ref, None)
                result.append(effect)
            elif arrival.requires_owner:
                sessions = self.sessions
                result += [
                    effect,
                    RequestClaim(
                        arrival,
                        Claim(
                            idempotency_key_of(arrival),
                            sessions.node_name,
                            sessions.incarnation,
                            effect.fencing_number,
                        ),
                    ),
                ]
            else:
                result += [effect, StartRun(arrival, None)]
        return result

    def _handle_claim_answer(self, now: float, answer: ClaimAnswered) -> list[Any]:
        arrival = answer.arrival
        if arrival.ref not in self.requests:
            return [ReleaseClaim(arrival, answer.claim)] if answer.result == "won" else []
        if answer.result == "refused":
            return self._handle_effects(
                now, self.sessions.handle_event(now, ClaimRefused(arrival, answer.fencing_number))
            )
        if answer.result == "won":
            if self.sessions.may_begin(now, arrival.key, answer.claim.fencing_number, answer.asked_at):
                return [StartRun(arrival, answer.claim)]
            effects: list[Any] = [ReleaseClaim(arrival, answer.claim)]
        else:
            effects = []
        reason = DecisionReason.NO_MAJORITY if answer.result == "unreachable" else DecisionReason.STALE
        del self.requests[arrival.ref]
        following_effects = self.sessions.handle_event(now, RequestFinished(arrival.ref, arrival.key))
        return [
            *effects,
            RejectRequest(arrival.ref, 0.2, reason),
            *self._handle_effects(now, following_effects),
        ]


# -- the fleet

REMOVAL_DELAY_S = 3.0  # without contact, after which the others agree to remove a member
REGISTER_TIMEOUT_S = 0.3
LOAD_REPORT_INTERVAL_S = 0.2
AGREEMENT_RETRY_S = 0.5  # interval of attempts to agree on a view while no majority can


@dataclass
class Request:
    """A request and its outcome."""

    arrival: RequestArrived
    first_server: str  # the server that its router sent it to
    outcome: str = ""  # "completed", "denied" or "terminated"; empty while open
    reason: str = ""
    run_server: str = ""  # the server that ran it; empty if none
    version: int = 0
    fencing_number: int = 0
    hops: int = 0  # number of times that it was forwarded
    current_server: str = ""  # the server that has it now


class SessionCluster:
    """A simulated fleet of servers under one agreed view, with requests, a register and faults."""

    def __init__(
        self, names: list[str], settings: AffinitySettings, seed: int = 1, warm_up_s: float = 10.0
    ) -> None:
        self.settings, self.warm_up_s = settings, warm_up_s
        self.fleet = SimulatedFleet(MessageReceived, TimerFired(), seed, self._handle_effect)
        self.register = Register(fenced=settings.faulty_variant != "two-owners")
        self.checker = InvariantChecker()
        self.rng = random.Random(f"{seed}-world")
        self.requests: list[Request] = []
        self.log_events: list[tuple[float, str, LogEvent]] = []
        self.policy = PolicyActivated(1)
        self.warm_since: dict[str, float] = {}
        self.next_run_duration_s: Callable[[], float] = lambda: 0.05
        self.answer_loss_share = 0.0  # share of the register's answers that are lost after the action
        self.register_unavailable = False
        self.draining: set[str] = set()
        self.down: set[str] = set()
        # The last incarnation of each terminated server, by name; views list them as facts.
        self.terminated_incarnations: dict[str, int] = {}
        self._incarnations: Counter[str] = Counter()
        self.view = View(1, tuple(Member(name, f"at-{name}", incarnation=1) for name in sorted(names)))
        self.views = [self.view]
        for name in names:
            self._incarnations[name] = 1
            self.warm_since[name] = -inf
            self._start(name)
        self.fleet.later(LOAD_REPORT_INTERVAL_S, self._report_loads)
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
        incarnation = self._incarnations[name]
        self.fleet.add(name, lambda now: Server(name, incarnation, self.settings, now))
        self.down.discard(name)
        self.draining.discard(name)
        self._send_state_to_all()

    def start(self, name: str) -> None:
        """Start or restart a server, cold, and admit it to the view."""
        self._incarnations[name] += 1
        self.warm_since[name] = self.fleet.now
        self._start(name)
        self._admit(name, self._incarnations[name])

    def _admit(self, name: str, incarnation: int) -> None:
        """Admit a server to the view once a majority can agree, if this incarnation is still running."""
        if name not in self.fleet.cores or self._incarnations[name] != incarnation:
            return
        if not self._can_agree():
            return self.fleet.later(AGREEMENT_RETRY_S, lambda: self._admit(name, incarnation))
        others = [member for member in self.view.members if member.name != name]
        self._install_view([*others, Member(name, f"at-{name}", incarnation=incarnation)])
        return None

    def _can_agree(self) -> bool:
        """Whether a running member of the view reaches a majority of it; a new view requires this."""
        now, paused = self.fleet.now, self.fleet.paused
        awake = [
            member
            for member in self.view.names
            if member in self.fleet.cores and paused.get(member, 0.0) <= now
        ]
        return any(self._reaches_majority(member) for member in awake)

    def kill(self, name: str) -> None:
        """Kill a server as with SIGKILL; the others remove it after `REMOVAL_DELAY_S`."""
        for request in self.requests:
            if request.current_server == name and not request.outcome:
                self._handle_server_loss(request, name)
        self.fleet.crash(name)
        self.checker.mark_orphaned(name)
        self.down.add(name)
        self.terminated_incarnations[name] = self._incarnations[name]
        self.fleet.later(REMOVAL_DELAY_S, lambda: self._remove_if(lambda member: member in self.down, name))

    def pause(self, name: str, duration_s: float) -> None:
        """Pause a server as with SIGSTOP; after `REMOVAL_DELAY_S` it is removed, and rejoins when resumed."""
        self.fleet.pause(name, duration_s)
        if duration_s > REMOVAL_DELAY_S:
            self.fleet.later(
                REMOVAL_DELAY_S,
                lambda: self._remove_if(
                    lambda member: self.fleet.paused.get(member, 0.0) > self.fleet.now, name
                ),
            )
            self.fleet.later(duration_s + 1.0, lambda: self._rejoin(name))

    def _rejoin(self, name: str) -> None:
        if name in self.fleet.cores and name not in self.view:
            self._incarnations[name] += 1
            self._admit(name, self._incarnations[name])

    def leave(self, name: str, grace_s: float) -> None:
        """Stop a server as with SIGTERM: it drains for its grace period, then terminates and is removed."""
        self.draining.add(name)
        self._report_loads(repeat=False)
        self.fleet.tell(name, DrainStarted(grace_s))

        def terminate() -> None:
            if name in self.fleet.cores:
                for request in self.requests:
                    if request.current_server == name and not request.outcome:
                        self._handle_server_loss(request, name)
                self.fleet.crash(name)
                self.checker.mark_orphaned(name)
                self.down.add(name)
                self.terminated_incarnations[name] = self._incarnations[name]
                self._remove_if(lambda member: member in self.down, name)

        self.fleet.later(grace_s, terminate)

    def isolate(self, names: list[str], permanent: bool = True) -> None:
        """Cut the links between these servers and the others.

        If `permanent`, the side without a majority is removed after `REMOVAL_DELAY_S`.
        """
        others = [member for member in self.view.names if member not in names]
        self.fleet.cut(names, others)
        minority = names if len(names) * 2 < len(self.view.names) else others
        if permanent and len(minority) * 2 < len(self.view.names):
            for name in minority:
                self.fleet.later(
                    REMOVAL_DELAY_S,
                    lambda name=name: self._remove_if(  # type: ignore[misc]
                        lambda member: not self.reaches_register(member), name
                    ),
                )

    def heal(self) -> None:
        """Restore all links; removed servers rejoin."""
        self.fleet.heal()
        self._send_state_to_all()
        for name in self.alive:
            if name not in self.view:
                self.fleet.later(0.5, lambda name=name: self._rejoin(name))  # type: ignore[misc]

    def _remove_if(self, is_gone: Callable[[str], bool], name: str) -> None:
        if name not in self.view or not is_gone(name):
            return
        if not self._can_agree():
            return self.fleet.later(AGREEMENT_RETRY_S, lambda: self._remove_if(is_gone, name))
        self._install_view([member for member in self.view.members if member.name != name])
        return None

    def _install_view(self, members: list[Member]) -> None:
        facts = tuple(
            Fact(f"gone/{name}", str(incarnation))
            for name, incarnation in sorted(self.terminated_incarnations.items())
        )
        self.view = View(self.view.epoch + 1, tuple(sorted(members)), facts)
        self.views.append(self.view)
        for name in self._incarnations:
            member = self.view.get(name)
            if (
                member is None
                or member.incarnation != self._incarnations[name]
                or name not in self.fleet.cores
            ):
                self.checker.mark_orphaned(name)
        self._send_state_to_all()

    def _send_state_to_all(self) -> None:
        """Send the views and the policy to each server that reaches a majority, after random delays."""
        for name in self.alive:
            if self._reaches_majority(name):
                self.fleet.later(self.rng.uniform(0.005, 0.05), lambda name=name: self._send_state(name))  # type: ignore[misc]

    def _send_state(self, name: str) -> None:
        if name not in self.fleet.cores:
            return
        current_view = self.sessions(name).view
        for view in self.views:
            if current_view is None or view.epoch > current_view.epoch:
                self.fleet.tell(name, ViewChanged(view))
        self.fleet.tell(name, self.policy)

    def _report_loads(self, repeat: bool = True) -> None:
        now, loads = self.fleet.now, dict[str, ServerLoad]()
        for name in self.alive:
            warmth = min(1.0, 0.1 + 0.9 * (now - self.warm_since[name]) / self.warm_up_s)
            weight = 0.0 if name in self.draining else 1.0
            loads[name] = ServerLoad(len(self.sessions(name).owned), warmth, weight)
        for name in self.alive:
            if self._reaches_majority(name):
                self.fleet.tell(name, LoadsReported(loads))
                current_view = self.sessions(name).view
                # Servers with an older view receive the views, as from membership's periodic sync.
                if repeat and (current_view is None or current_view.epoch < self.view.epoch):
                    self._send_state(name)
        if repeat:
            self.fleet.later(LOAD_REPORT_INTERVAL_S, self._report_loads)

    # -- policy

    def activate_policy(
        self, version: int, capable_servers: dict[str, frozenset[str]] | None = None, mandatory: bool = False
    ) -> None:
        self.policy = PolicyActivated(version, capable_servers or {}, mandatory)
        self._send_state_to_all()

    # -- the register

    def _reaches_majority(self, name: str) -> bool:
        """Whether a server can exchange messages with a majority of the view, itself included if a member."""
        reachable_count = 0
        for member in self.view.names:
            if member == name:
                reachable_count += 1
            elif member in self.fleet.cores and self.fleet.paused.get(member, 0.0) <= self.fleet.now:
                reachable_count += not (
                    self.fleet.link(name, member).cut or self.fleet.link(member, name).cut
                )
        return reachable_count * 2 > len(self.view.names)

    def reaches_register(self, name: str) -> bool:
        if self.register_unavailable or name not in self.fleet.cores or not self._reaches_majority(name):
            return False
        current_view = self.sessions(name).view
        return current_view is not None and current_view.epoch == self.view.epoch and name in current_view

    def _query_register(
        self, name: str, operation: Callable[[], Any], make_event: Callable[[Any], Any], lost_event: Any
    ) -> None:
        """Send a query to the register.

        `operation` is carried out at the register; `make_event` makes its result the event of the answer, and
        `lost_event` is sent if there is none.
        """

        deadline = self.fleet.now + REGISTER_TIMEOUT_S

        def arrive() -> None:
            if not self.reaches_register(name):
                if self.fleet.now < deadline:  # retries, as a view may be in flight
                    return self.fleet.later(0.05, arrive)
                return self.fleet.tell(name, lost_event)
            result = operation()
            if self.rng.random() < self.answer_loss_share:
                return self.fleet.later(REGISTER_TIMEOUT_S, lambda: self.fleet.tell(name, lost_event))
            return self.fleet.later(
                self.rng.uniform(0.002, 0.01), lambda: self.fleet.tell(name, make_event(result))
            )

        self.fleet.later(self.rng.uniform(0.002, 0.01), arrive)

    # -- effects of servers

    def _handle_effect(self, now: float, name: str, effect: Any) -> None:
        register = self.register
        match effect:
            case WriteBinding(ref, key, expected_number, new_binding, _):
                self._query_register(
                    name,
                    lambda: register.write(self.fleet.now, key, expected_number, new_binding),
                    lambda result: RegisterAnswered(ref, *result),
                    RegisterAnswered(ref, RegisterVerdict.UNREACHABLE),
                )
            case ReadBinding(ref, key):
                self._query_register(
                    name,
                    lambda: register.bindings.get(key),
                    lambda binding: RegisterAnswered(ref, RegisterVerdict.WON, binding),
                    RegisterAnswered(ref, RegisterVerdict.UNREACHABLE),
                )
            case RequestClaim(arrival, requested_claim):
                self._query_register(
                    name,
                    lambda: register.claim(arrival.key, requested_claim),
                    lambda result: ClaimAnswered(arrival, requested_claim, result[0], result[1], now),
                    ClaimAnswered(arrival, requested_claim, "unreachable", 0, now),
                )
            case ReleaseClaim(_, released_claim):
                self.fleet.later(0.005, lambda: register.release(released_claim))
            case ServeLocally(ref, number, version, reason):
                request = self.requests[ref]
                request.current_server, request.reason, request.version, request.fencing_number = (
                    name,
                    reason.value,
                    version,
                    number,
                )
            case ForwardToOwner(ref, receiver):
                self._forward(name, ref, receiver)
            case ReturnToForwarder(ref, sender, binding):
                self._return_request(ref, sender, binding)
            case RejectRequest(ref, _, reason):
                self._set_outcome(ref, "denied", reason.value)
            case StartRun(arrival, claim):
                self._start_run(now, name, arrival, claim)
            case LogEvent():
                self.log_events.append((now, name, effect))
        if name in self.fleet.cores:
            for session_key, owned in self.sessions(name).owned.items():
                if owned.phase is OwnershipPhase.AWAITING_SUCCESSOR and owned.open_refs:
                    self.checker.mark_orphaned(name, session_key)

    def _start_run(self, now: float, name: str, arrival: RequestArrived, claim: Claim | None) -> None:
        request = self.requests[arrival.ref]
        request.run_server = name
        if claim is not None:
            self.checker.record_start(
                now, Run(name, arrival.key, claim.idempotency_key, claim.fencing_number, now)
            )
        incarnation = self._incarnations[name]

        def finish() -> None:
            if claim is not None:
                self.checker.record_end(name, claim.idempotency_key)
            if self._incarnations[name] == incarnation or name in self.fleet.cores:
                self._set_outcome(arrival.ref, "completed")
                self.fleet.tell(name, RequestFinished(arrival.ref, arrival.key))

        self.fleet.later(self.next_run_duration_s(), finish)

    def _return_request(self, ref: int, sender: str, binding: Binding) -> None:
        """Return a forwarded request to its sender; fails it if the sender was terminated."""
        request = self.requests[ref]
        event = RequestReturned(replace(request.arrival, was_returned=request.hops > 1), binding)
        if sender not in self.fleet.cores:
            return self._set_outcome(ref, "terminated", "lost")
        request.current_server = sender
        self.fleet.later(self.rng.uniform(0.001, 0.003), lambda: self.fleet.tell(sender, event))
        return None

    def _forward(self, name: str, ref: int, receiver: str) -> None:
        request = self.requests[ref]
        request.hops += 1
        arrival = RequestArrived(
            ref, request.arrival.key, request.arrival.idempotency, request.arrival.flow, name
        )
        is_disconnected = (
            receiver not in self.fleet.cores
            or self.fleet.link(name, receiver).cut
            or self.fleet.link(receiver, name).cut
        )
        if is_disconnected:
            request.current_server = name
            self.fleet.later(0.05, lambda: self.fleet.tell(name, OwnerUnreachable(request.arrival, receiver)))
            return
        request.current_server = receiver
        self.fleet.later(self.rng.uniform(0.001, 0.003), lambda: self.fleet.tell(receiver, arrival))

    def _handle_server_loss(self, request: Request, name: str) -> None:
        """Fail a lost server's request, or return it to its first server if it can't have run."""
        was_claimed = idempotency_key_of(request.arrival) in self.register.claims
        if request.first_server == name or request.first_server not in self.fleet.cores or was_claimed:
            # The request may have run, so it is not run a second time.
            return self._set_outcome(request.arrival.ref, "terminated", "lost")
        request.current_server, first_server = request.first_server, request.first_server
        self.fleet.later(0.05, lambda: self.fleet.tell(first_server, OwnerUnreachable(request.arrival, name)))
        return None

    def _set_outcome(self, ref: int, outcome: str, reason: str = "") -> None:
        request = self.requests[ref]
        if not request.outcome:
            request.outcome, request.reason = outcome, reason or request.reason

    # -- requests

    def submit(
        self, server: str, key: Key, idempotency: Idempotency = Idempotency.IDEMPOTENT, flow: str = ""
    ) -> Request:
        """Send a request to a server; each keyed request has its own idempotency key."""
        request = Request(
            RequestArrived(len(self.requests), key, idempotency, flow), server, current_server=server
        )
        self.requests.append(request)
        if server not in self.fleet.cores:
            request.outcome, request.reason = "terminated", "nobody there"
        else:
            self.fleet.tell(server, request.arrival)
        return request

    def run(self, duration_s: float) -> None:
        self.fleet.run(duration_s)

    # -- observation

    def owner(self, key: Key) -> str:
        """Return the session's owner according to the register; empty if it has none."""
        binding = self.register.bindings.get(key)
        return binding.owner if binding is not None and binding.state is not BindingState.ENDED else ""

    def migrations(self, since: float = 0.0) -> list[tuple[float, Key, str, str]]:
        """Return the changes of owner in the register's history as (time, session, from, to)."""
        owners: dict[Key, str] = {}
        result = []
        for when, binding in self.register.history:
            previous_owner = owners.get(binding.key, "")
            if binding.state is BindingState.ENDED:
                owners[binding.key] = ""
                continue
            if previous_owner and binding.owner != previous_owner and when >= since:
                result.append((when, binding.key, previous_owner, binding.owner))
            owners[binding.key] = binding.owner
        return result

    def count(self, counter: str) -> int:
        """Return the sum of a counter over all running servers."""
        return sum(self.sessions(name).counts[counter] for name in self.alive)

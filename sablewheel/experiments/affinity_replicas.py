"""The fleet of `affinity_fleet` with real replicas: each server has one, and together they are the register.

Bindings and claims are decided by the members' replicas over the same simulated links, with the same losses,
pauses and views as all other messages.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from ..membership.view import View
from ..replication import messages as wire
from ..replication.context import SESSIONS
from ..replication.entries import Entry, OutcomeStatus
from ..replication.placement import Site
from ..replication.plan import Settings as ReplicaSettings
from ..replication.replica import Replica
from ..replication.replica_runner import REMOVED_FACT_PREFIX
from ..session_affinity.binding import Binding
from ..session_affinity.codec import decode_binding, encode_binding
from ..session_affinity.effects import ReadBinding, WriteBinding
from ..session_affinity.events import (
    Event,
    MessageReceived,
    RegisterAnswered,
    RegisterVerdict,
    RequestFinished,
    TimerFired,
    ViewChanged,
)
from ..session_affinity.plan import AffinitySettings
from .affinity_fleet import Claim, ClaimAnswered, ReleaseClaim, RequestClaim, Server, SessionCluster, StartRun

KEY_LIFETIME_S = 6.0  # lifetime of claims
REPLICA_SETTINGS = ReplicaSettings(
    max_lifetime_s=8.0, slots=64, waits_after_cold_start=False, repair_interval_s=0.5
)


@dataclass(frozen=True)
class ReplicaMessage:
    """A message between replicas, as distinct from messages between sessions."""

    message: wire.Message


@dataclass(frozen=True)
class SendReplicaMessage:
    to: str
    message: ReplicaMessage


@dataclass(frozen=True)
class BindingObserved:
    """Effect: a replica reported this stored binding; recorded for the invariant checks."""

    binding: Binding


class ReplicaServer(Server):
    """A server whose register is the replicas of all servers, its own included."""

    def __init__(
        self, name: str, incarnation: int, settings: AffinitySettings, seed: int, now: float
    ) -> None:
        super().__init__(name, incarnation, settings, now)
        replica_settings = ReplicaSettings(
            **{**REPLICA_SETTINGS.__dict__, "max_binding_lifetime_s": settings.binding_lifetime_s}
        )
        rng = random.Random(f"{seed}-{name}-{incarnation}")
        self.replica = Replica(name, incarnation, replica_settings, rng, now)
        self._last_ref = 0
        self._register_queries: dict[int, WriteBinding | ReadBinding] = {}
        self._pending_claims: dict[int, tuple[RequestClaim, float]] = {}
        self._open_runs: dict[bytes, int] = {}  # idempotency keys of runs in progress -> request refs

    @property
    def wake_at(self) -> float:
        return min(self.sessions.wake_at, self.replica.wake_at)

    def step(self, now: float, event: Event | ClaimAnswered) -> list[Any]:
        effects: list[Any] = []
        match event:
            case MessageReceived(sender, ReplicaMessage(message)):
                return self._handle_replica_effects(
                    now, self.replica.step(now, wire.MessageReceived(sender, message))
                )
            case ViewChanged(view):
                removed = tuple(
                    (fact.key.removeprefix(REMOVED_FACT_PREFIX), int(fact.value)) for fact in view.facts
                )
                view_installed = wire.ViewInstalled(view.epoch, _sites(view), removed)
                effects += self._handle_replica_effects(now, self.replica.step(now, view_installed))
            case TimerFired():
                effects += self._handle_replica_effects(now, self.replica.step(now, wire.Tick()))
            case RequestFinished(ref, key):
                idempotency_key = f"{key}-{ref}".encode()
                if self._open_runs.pop(idempotency_key, None) is not None:
                    effects += self._handle_replica_effects(
                        now,
                        self.replica.step(
                            now, wire.CompleteClaim(idempotency_key, OutcomeStatus.SUCCEEDED, b"")
                        ),
                    )
        return effects + self._handle_session_effects(now, super().step(now, event))

    def _handle_session_effects(self, now: float, effects: list[Any]) -> list[Any]:
        """Pass the queries for the register to this server's replica."""
        result: list[Any] = []
        for effect in effects:
            self._last_ref += 1
            match effect:
                case WriteBinding(_, key, expected_number, binding, lifetime_s):
                    self._register_queries[self._last_ref] = effect
                    write = wire.Write(
                        self._last_ref,
                        SESSIONS,
                        key.encode(),
                        expected_number,
                        encode_binding(binding),
                        lifetime_s,
                        binding.fencing_number,
                    )
                    result += self._handle_replica_effects(now, self.replica.step(now, write))
                case ReadBinding(_, key):
                    self._register_queries[self._last_ref] = effect
                    read = wire.Read(self._last_ref, SESSIONS, key.encode())
                    result += self._handle_replica_effects(now, self.replica.step(now, read))
                case RequestClaim(arrival, claim):
                    self._pending_claims[self._last_ref] = (effect, now)
                    idempotency_key, group = claim.idempotency_key.encode(), arrival.key.encode()
                    replica_claim = wire.Claim(
                        self._last_ref, idempotency_key, group, KEY_LIFETIME_S, b"", claim.fencing_number
                    )
                    result += self._handle_replica_effects(now, self.replica.step(now, replica_claim))
                case ReleaseClaim(_, claim):
                    self._open_runs.pop(claim.idempotency_key.encode(), None)
                    result += self._handle_replica_effects(
                        now, self.replica.step(now, wire.ReleaseClaim(claim.idempotency_key.encode()))
                    )
                case StartRun(arrival, Claim(idempotency_key)):
                    self._open_runs[idempotency_key.encode()] = arrival.ref
                    result.append(effect)
                case _:
                    result.append(effect)
        return result

    def _handle_replica_effects(self, now: float, effects: list[wire.Effect]) -> list[Any]:
        result: list[Any] = []
        for effect in effects:
            match effect:
                case wire.Send(receiver, message):
                    result.append(SendReplicaMessage(receiver, ReplicaMessage(message)))
                case wire.Answer(ref, verdict, entry):
                    result += self._handle_answer(now, ref, verdict, entry)
        return result

    def _handle_answer(self, now: float, ref: int, verdict: str, entry: Entry) -> list[Any]:
        if ref in self._pending_claims:
            request, asked_at = self._pending_claims.pop(ref)
            claim_results = {"won": "won", "fenced": "refused", "running": "known", "known": "known"}
            claim_result = claim_results.get(verdict, "unreachable")
            claimed = ClaimAnswered(
                request.arrival, request.claim, claim_result, request.claim.fencing_number + 1, asked_at
            )
            return self._handle_session_effects(now, super().step(now, claimed))
        query = self._register_queries.pop(ref)
        binding = decode_binding(entry.value, entry.version) if entry.value else None
        effects: list[Any] = (
            [BindingObserved(binding)] if binding is not None and verdict in ("won", "stale", "read") else []
        )
        verdicts = {"won": RegisterVerdict.WON, "read": RegisterVerdict.WON, "stale": RegisterVerdict.LOST}
        answer = RegisterAnswered(query.ref, verdicts.get(verdict, RegisterVerdict.UNREACHABLE), binding)
        return effects + self._handle_session_effects(now, super().step(now, answer))


class ReplicatedSessionCluster(SessionCluster):
    """The simulated fleet with the same faults and checks, on real replicas."""

    def _start(self, name: str) -> None:
        incarnation = self._incarnations[name]
        self.fleet.add(
            name, lambda now: ReplicaServer(name, incarnation, self.settings, self.fleet.seed, now)
        )
        self.down.discard(name)
        self.draining.discard(name)
        self._send_state_to_all()

    def _handle_effect(self, now: float, name: str, effect: Any) -> None:
        if not isinstance(effect, BindingObserved):
            return super()._handle_effect(now, name, effect)
        current = self.register.bindings.get(effect.binding.key)
        if current is None or current.fencing_number < effect.binding.fencing_number:
            self.register.bindings[effect.binding.key] = effect.binding
            self.register.history.append((now, effect.binding))
        return None

    def _handle_server_loss(self, request: Any, name: str) -> None:
        """Fail a request that ran on the lost server; the replicas hold its claim."""
        if request.run_server == name:
            return self._set_outcome(request.arrival.ref, "terminated", "lost")
        return super()._handle_server_loss(request, name)


def _sites(view: View) -> tuple[Site, ...]:
    return tuple(Site(member.name, member.incarnation) for member in view.members)

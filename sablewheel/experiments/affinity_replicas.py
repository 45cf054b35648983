"""The fleet of `affinity_fleet` on real replicas: each server is a holder too, and the register is the fleet.

Nothing stands in for the register here: bindings and claims are rounds between the members' replicas, over
the same links, with the same losses, pauses and views as all else.
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
from .affinity_fleet import Ask, Begin, Claim, Claimed, Free, Server, World

LIFE = 6.0  # seconds that idempotency keys count
REPLICAS = ReplicaSettings(max_lifetime_s=8.0, slots=64, waits_after_cold_start=False, repair_interval_s=0.5)


@dataclass(frozen=True)
class Said:
    """A replica's message, beside those of sessions."""

    message: wire.Message


@dataclass(frozen=True)
class SendSaid:
    to: str
    message: Said


@dataclass(frozen=True)
class Seen:
    """For the onlooker: this binding stands."""

    binding: Binding


class ReplicaServer(Server):
    """A server whose register is the fleet's replicas, its own among them."""

    def __init__(
        self, name: str, incarnation: int, settings: AffinitySettings, seed: int, now: float
    ) -> None:
        super().__init__(name, incarnation, settings, now)
        replicas = ReplicaSettings(
            **{**REPLICAS.__dict__, "max_binding_lifetime_s": settings.binding_lifetime_s}
        )
        chance = random.Random(f"{seed}-{name}-{incarnation}")
        self.replica = Replica(name, incarnation, replicas, chance, now)
        self._refs = 0
        self._questions: dict[int, WriteBinding | ReadBinding] = {}
        self._claims: dict[int, tuple[Ask, float]] = {}
        self._won: dict[bytes, int] = {}  # idempotency keys whose runs are open, by their requests

    @property
    def wake_at(self) -> float:
        return min(self.sessions.wake_at, self.replica.wake_at)

    def step(self, now: float, event: Event | Claimed) -> list[Any]:
        out: list[Any] = []
        match event:
            case MessageReceived(sender, Said(message)):
                return self._replied(now, self.replica.step(now, wire.MessageReceived(sender, message)))
            case ViewChanged(view):
                gone = tuple(
                    (one.key.removeprefix(REMOVED_FACT_PREFIX), int(one.value)) for one in view.facts
                )
                viewed = wire.ViewInstalled(view.epoch, _sites(view), gone)
                out += self._replied(now, self.replica.step(now, viewed))
            case TimerFired():
                out += self._replied(now, self.replica.step(now, wire.Tick()))
            case RequestFinished(ref, key):
                idempotency_key = f"{key}-{ref}".encode()
                if self._won.pop(idempotency_key, None) is not None:
                    out += self._replied(
                        now,
                        self.replica.step(
                            now, wire.CompleteClaim(idempotency_key, OutcomeStatus.SUCCEEDED, b"")
                        ),
                    )
        return out + self._asked(now, super().step(now, event))

    def _asked(self, now: float, effects: list[Any]) -> list[Any]:
        """What goes to the register goes to the replica here."""
        out: list[Any] = []
        for effect in effects:
            self._refs += 1
            match effect:
                case WriteBinding(_, key, expect, value, life):
                    self._questions[self._refs] = effect
                    asked = wire.Write(
                        self._refs,
                        SESSIONS,
                        key.encode(),
                        expect,
                        encode_binding(value),
                        life,
                        value.fencing_number,
                    )
                    out += self._replied(now, self.replica.step(now, asked))
                case ReadBinding(_, key):
                    self._questions[self._refs] = effect
                    read = wire.Read(self._refs, SESSIONS, key.encode())
                    out += self._replied(now, self.replica.step(now, read))
                case Ask(came, claim):
                    self._claims[self._refs] = (effect, now)
                    idempotency_key, group = claim.idempotency_key.encode(), came.key.encode()
                    claims = wire.Claim(self._refs, idempotency_key, group, LIFE, b"", claim.number)
                    out += self._replied(now, self.replica.step(now, claims))
                case Free(_, claim):
                    self._won.pop(claim.idempotency_key.encode(), None)
                    out += self._replied(
                        now, self.replica.step(now, wire.ReleaseClaim(claim.idempotency_key.encode()))
                    )
                case Begin(came, Claim(idempotency_key)):
                    self._won[idempotency_key.encode()] = came.ref
                    out.append(effect)
                case _:
                    out.append(effect)
        return out

    def _replied(self, now: float, effects: list[wire.Effect]) -> list[Any]:
        out: list[Any] = []
        for effect in effects:
            match effect:
                case wire.Send(to, message):
                    out.append(SendSaid(to, Said(message)))
                case wire.Answer(ref, result, entry):
                    out += self._answer(now, ref, result, entry)
        return out

    def _answer(self, now: float, ref: int, result: str, entry: Entry) -> list[Any]:
        if ref in self._claims:
            ask, asked = self._claims.pop(ref)
            known = {"won": "won", "fenced": "refused", "running": "known", "known": "known"}
            means = known.get(result, "unreachable")
            claimed = Claimed(ask.came, ask.claim, means, ask.claim.number + 1, asked)
            return self._asked(now, super().step(now, claimed))
        question = self._questions.pop(ref)
        stands = decode_binding(entry.value, entry.version) if entry.value else None
        out: list[Any] = [Seen(stands)] if stands is not None and result in ("won", "stale", "read") else []
        verdicts = {"won": RegisterVerdict.WON, "read": RegisterVerdict.WON, "stale": RegisterVerdict.LOST}
        said = RegisterAnswered(question.ref, verdicts.get(result, RegisterVerdict.UNREACHABLE), stands)
        return out + self._asked(now, super().step(now, said))


class ReplicaWorld(World):
    """The same fleet, faults and onlooker, on replicas."""

    def _start(self, name: str) -> None:
        incarnation = self._lives[name]
        self.fleet.add(
            name, lambda now: ReplicaServer(name, incarnation, self.settings, self.fleet.seed, now)
        )
        self.down.discard(name)
        self.draining.discard(name)
        self._tell_all()

    def _heard(self, now: float, name: str, effect: Any) -> None:
        if not isinstance(effect, Seen):
            return super()._heard(now, name, effect)
        held = self.register.bindings.get(effect.binding.key)
        if held is None or held.fencing_number < effect.binding.fencing_number:
            self.register.bindings[effect.binding.key] = effect.binding
            self.register.history.append((now, effect.binding))
        return None

    def _lost_with(self, request: Any, name: str) -> None:
        """What a dead server had claimed is known to its holders; here to the onlooker."""
        if request.ran_at == name:
            return self._decide(request.came.ref, "terminated", "lost")
        return super()._lost_with(request, name)


def _sites(view: View) -> tuple[Site, ...]:
    return tuple(Site(one.name, one.incarnation) for one in view.members)

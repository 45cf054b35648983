"""Members with membership and policies, on the made network: the decisions alone, for stories.

Each member is the real node of membership and the real rollout, joined as the shell joins them; a translation
takes a second of the made clock. What the fleet must keep is noted while it runs: which policy holds at which
epoch, and every change of what holds.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

from ..feature_policy.document import FaultyPolicyError, read
from ..feature_policy.host_capabilities import TRAITS, HostCapabilities
from ..feature_policy.plan import Rules
from ..feature_policy.policy_bundle import PolicyBundle
from ..feature_policy.rollout import Rollout
from ..feature_policy.rollout_events import (
    ApplyPlan,
    LogEntry,
    ProposeFact,
    Route,
    Send,
    StartTranslation,
    TranslationFinished,
    ViewChanged,
)
from ..feature_policy.rollout_events import MessageReceived as Heard
from ..feature_policy.rollout_events import TimerFired as Ring
from ..feature_policy.translate import InfeasibleError, translate
from ..membership import events
from ..membership.node import Node
from ..membership.plan import Settings
from ..membership.view import Member
from .simulated_fleet import SimulatedFleet

TRANSLATES_FOR = 1.0
FOUND_LEAST = 4  # more than half of these fleets: what starts anew behind a cut founds nothing of its own
SETTINGS = Settings(
    period_s=0.25,
    probe_timeout_s=0.1,
    vote_timeout_s=0.5,
    sync_interval_s=1.0,
    found_delay_s=1.0,
    min_founders=FOUND_LEAST,
    join_interval_s=0.3,
    max_settle_s=1.0,
)
RULES = Rules(dwell_down_s=2.0, dwell_up_s=10.0, step_up_cooldown_s=5.0, settle_s=1.0, stagger_s=2.0)
EVERY = (1 << 12) - 1  # the codes of all features but rank-order
CLASSES = {
    "rich": HostCapabilities(8, 1000, 1 << 18, 1024, (1 << len(TRAITS)) - 1, EVERY),
    "diskless": HostCapabilities(8, 1000, 1 << 18, 1024, ((1 << len(TRAITS)) - 1) & ~2, EVERY),
    "small": HostCapabilities(2, 1000, 1 << 14, 64, (1 << len(TRAITS)) - 1, EVERY),
    "old": HostCapabilities(8, 1000, 1 << 18, 1024, (1 << len(TRAITS)) - 1, 0),
}


@dataclass(frozen=True)
class Carried:
    """A message between two members, of membership or of policies."""

    to: str
    message: Any


class PolicyMember:
    """One member: what the node installs the rollout sees, what the rollout judges the node says."""

    def __init__(
        self,
        name: str,
        zone: str,
        host_capabilities: HostCapabilities,
        seeds: tuple[str, ...],
        now: float,
        seed: int,
        broken: str,
    ) -> None:
        incarnation = int(now * 1000) + 1
        me = Member(name, name, zone, "r1", incarnation, (("class", host_capabilities.text),))
        self.node = Node(me, seeds, SETTINGS, random.Random(f"{seed}-{name}-{incarnation}"), now)
        self.rollout = Rollout(name, host_capabilities, RULES, broken)

    @property
    def wake_at(self) -> float:
        return min(self.node.next_wakeup, self.rollout.wake_at)

    def step(self, now: float, event: Any) -> list[Any]:
        match event:
            case ("node", sender, message):
                return self._node(now, events.MessageReceived(message, sender))
            case ("policy", sender, message):
                return self._rollout(now, Heard(sender, message))
            case "tick":
                found = self._node(now, events.TimerFired()) if now >= self.node.next_wakeup else []
                return [*found, *self._rollout(now, Ring())] if now >= self.rollout.wake_at else found
        return self._rollout(now, event)

    def _node(self, now: float, event: events.Event) -> list[Any]:
        found: list[Any] = []
        for effect in self.node.step(now, event):
            match effect:
                case events.Send(address, message):
                    found.append(Carried(address, ("node", message)))
                case events.ViewInstalled(view):
                    found += self._rollout(now, ViewChanged(view))
        return found

    def _rollout(self, now: float, event: Any) -> list[Any]:
        found: list[Any] = []
        for effect in self.rollout.step(now, event):
            match effect:
                case Send(to, message):
                    found.append(Carried(to, ("policy", message)))
                case ProposeFact(fact):
                    found += self._node(now, events.FactReported(fact))
                case _:
                    found.append(effect)
        return found


@dataclass
class PolicyFleet:
    """The fleet and what was noted of it."""

    broken: str = ""
    seed: int = 1
    notes: list[tuple[float, str, LogEntry]] = field(default_factory=list)
    applied: list[tuple[float, str, ApplyPlan]] = field(default_factory=list)
    asked: list[tuple[float, str]] = field(default_factory=list)  # who translated
    seeds: tuple[str, ...] = ()
    tamper: bool = False  # translations say more than classes can run

    def __post_init__(self) -> None:
        self.made = SimulatedFleet(self._event, "tick", self.seed, self._heard)
        self.kinds: dict[str, str] = {}
        self.zones: dict[str, str] = {}

    @staticmethod
    def _event(sender: str, message: Any) -> Any:
        return (message[0], sender, message[1])

    def start(self, name: str, kind: str, zone: str) -> None:
        """Starts, or starts anew on hardware of that class."""
        self.kinds[name], self.zones[name] = kind, zone
        member = CLASSES[kind]
        self.made.add(
            name, lambda now: PolicyMember(name, zone, member, self.seeds, now, self.seed, self.broken)
        )

    def member(self, name: str) -> PolicyMember:
        core = self.made.cores[name]
        assert isinstance(core, PolicyMember)
        return core

    @property
    def names(self) -> list[str]:
        return sorted(self.made.cores)

    def agreed(self, names: Iterable[str]) -> bool:
        wanted = tuple(sorted(names))
        views = [self.member(name).node.view for name in wanted]
        return all(view is not None and view.names == wanted and view == views[0] for view in views)

    def holds(self, name: str) -> str:
        """NUMBER.REVISION of what holds at a member; empty if nothing, or not known there."""
        held = self.member(name).rollout.active
        return held.name.split(":")[0] if held is not None else ""

    def route(self, name: str, request_class: str) -> Route:
        return self.member(name).rollout.route(request_class, "any", self.zones[name])

    def fallback_level(self, name: str, flow: str) -> int:
        rollout = self.member(name).rollout
        assert rollout.active is not None
        flows = [one.name for one in rollout.active.policy.flows]
        return rollout.fallback_levels[flows.index(flow)]

    def changes(self, since: float = 0.0) -> int:
        """How often what holds became another, fallback_levels and all, in the fleet as a whole."""
        told = sorted(
            (int(str(note.fields["epoch"])), when, (note.fields["policy"], note.fields["fallback_levels"]))
            for when, _, note in self.notes
            if note.event == "policy active"
        )
        return sum(was[2] != now[2] for was, now in pairwise(told) if now[1] >= since)

    def actives(self, fallback_levels: bool = False) -> dict[str, set[str]]:
        """By epoch, all policies that some member held to be active at it, with their fallback_levels
        if wanted.
        """
        found: dict[str, set[str]] = {}
        for _, _, note in self.notes:
            if note.event == "policy active":
                told = f"{note.fields['policy']}" + (
                    f" {note.fields['fallback_levels']}" if fallback_levels else ""
                )
                found.setdefault(str(note.fields["epoch"]), set()).add(told)
        return found

    def said(self, what: str) -> list[LogEntry]:
        return [note for _, _, note in self.notes if note.event == what]

    # -- what the cores ask of the world

    def _heard(self, now: float, name: str, effect: Any) -> None:
        match effect:
            case LogEntry():
                self.notes.append((now, name, effect))
            case ApplyPlan():
                self.applied.append((now, name, effect))
            case StartTranslation():
                self.asked.append((now, name))
                done = self._translate(effect)
                self.made.later(TRANSLATES_FOR, lambda: self.made.tell(name, done))

    def _translate(self, told: StartTranslation) -> TranslationFinished:
        try:
            policy = told.base.policy if told.base is not None else read(told.text, told.file)
            base = told.base.translation if told.base is not None else None
            made = translate(policy, told.classes, base=base)
        except (FaultyPolicyError, InfeasibleError) as trouble:
            return TranslationFinished(None, tuple(str(trouble).splitlines()))
        if self.tamper:
            best = next(plan for one, plan in made.classes.items() if one == CLASSES["rich"])
            made = type(made)(made.number, made.revision, made.policy, dict.fromkeys(made.classes, best))
        return TranslationFinished(PolicyBundle(policy, made))

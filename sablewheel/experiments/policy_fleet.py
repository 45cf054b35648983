"""A simulated fleet of members with membership and policies, without processes, for scenario tests.

Each member has the real membership node and the real policy rollout, connected as in the service; a
translation takes one second of simulated time. While the fleet runs it records which policy is active at
which epoch, and every change of the active policy.
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
from ..feature_policy.rollout_events import MessageReceived as PolicyMessageReceived
from ..feature_policy.rollout_events import TimerFired as PolicyTimerFired
from ..feature_policy.translate import InfeasibleError, translate
from ..membership import events
from ..membership.node import Node
from ..membership.plan import Settings
from ..membership.view import Member
from .simulated_fleet import SimulatedFleet

TRANSLATION_S = 1.0
MIN_FOUNDERS = (
    4  # more than half of these fleets, so that members that restart behind a cut don't found another fleet
)
SETTINGS = Settings(
    period_s=0.25,
    probe_timeout_s=0.1,
    vote_timeout_s=0.5,
    sync_interval_s=1.0,
    found_delay_s=1.0,
    min_founders=MIN_FOUNDERS,
    join_interval_s=0.3,
    max_settle_s=1.0,
)
RULES = Rules(dwell_down_s=2.0, dwell_up_s=10.0, step_up_cooldown_s=5.0, settle_s=1.0, stagger_s=2.0)
ALL_FEATURE_CODES = (1 << 12) - 1  # bit mask of the codes of all features except rank-order
CLASSES = {
    "rich": HostCapabilities(8, 1000, 1 << 18, 1024, (1 << len(TRAITS)) - 1, ALL_FEATURE_CODES),
    "diskless": HostCapabilities(8, 1000, 1 << 18, 1024, ((1 << len(TRAITS)) - 1) & ~2, ALL_FEATURE_CODES),
    "small": HostCapabilities(2, 1000, 1 << 14, 64, (1 << len(TRAITS)) - 1, ALL_FEATURE_CODES),
    "old": HostCapabilities(8, 1000, 1 << 18, 1024, (1 << len(TRAITS)) - 1, 0),
}


@dataclass(frozen=True)
class CarriedMessage:
    """A message between two members, of membership or of the policy rollout."""

    to: str
    message: Any


class PolicyMember:
    """A member: views of its node go to its rollout, and facts from the rollout are reported by its node."""

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
        member = Member(name, name, zone, "r1", incarnation, (("class", host_capabilities.text),))
        self.node = Node(member, seeds, SETTINGS, random.Random(f"{seed}-{name}-{incarnation}"), now)
        self.rollout = Rollout(name, host_capabilities, RULES, broken)

    @property
    def wake_at(self) -> float:
        return min(self.node.next_wakeup, self.rollout.wake_at)

    def step(self, now: float, event: Any) -> list[Any]:
        match event:
            case ("node", sender, message):
                return self._step_node(now, events.MessageReceived(message, sender))
            case ("policy", sender, message):
                return self._step_rollout(now, PolicyMessageReceived(sender, message))
            case "tick":
                effects = self._step_node(now, events.TimerFired()) if now >= self.node.next_wakeup else []
                return (
                    [*effects, *self._step_rollout(now, PolicyTimerFired())]
                    if now >= self.rollout.wake_at
                    else effects
                )
        return self._step_rollout(now, event)

    def _step_node(self, now: float, event: events.Event) -> list[Any]:
        result: list[Any] = []
        for effect in self.node.step(now, event):
            match effect:
                case events.Send(address, message):
                    result.append(CarriedMessage(address, ("node", message)))
                case events.ViewInstalled(view):
                    result += self._step_rollout(now, ViewChanged(view))
        return result

    def _step_rollout(self, now: float, event: Any) -> list[Any]:
        result: list[Any] = []
        for effect in self.rollout.step(now, event):
            match effect:
                case Send(receiver, message):
                    result.append(CarriedMessage(receiver, ("policy", message)))
                case ProposeFact(fact):
                    result += self._step_node(now, events.FactReported(fact))
                case _:
                    result.append(effect)
        return result


@dataclass
class PolicyFleet:
    """The simulated fleet, and a record of its log entries, applied plans and translations."""

    broken: str = ""
    seed: int = 1
    notes: list[tuple[float, str, LogEntry]] = field(default_factory=list)
    applied: list[tuple[float, str, ApplyPlan]] = field(default_factory=list)
    asked: list[tuple[float, str]] = field(default_factory=list)  # (time, member) of each translation
    seeds: tuple[str, ...] = ()
    tamper: bool = False  # translations assign features that some classes can't run

    def __post_init__(self) -> None:
        self.made = SimulatedFleet(self._event, "tick", self.seed, self._handle_effect)
        self.kinds: dict[str, str] = {}
        self.zones: dict[str, str] = {}

    @staticmethod
    def _event(sender: str, message: Any) -> Any:
        return (message[0], sender, message[1])

    def start(self, name: str, host_kind: str, zone: str) -> None:
        """Start or restart a member on hardware of a class."""
        self.kinds[name], self.zones[name] = host_kind, zone
        host_capabilities = CLASSES[host_kind]
        self.made.add(
            name,
            lambda now: PolicyMember(name, zone, host_capabilities, self.seeds, now, self.seed, self.broken),
        )

    def member(self, name: str) -> PolicyMember:
        core = self.made.cores[name]
        assert isinstance(core, PolicyMember)
        return core

    @property
    def names(self) -> list[str]:
        return sorted(self.made.cores)

    def agreed(self, names: Iterable[str]) -> bool:
        expected = tuple(sorted(names))
        views = [self.member(name).node.view for name in expected]
        return all(view is not None and view.names == expected and view == views[0] for view in views)

    def holds(self, name: str) -> str:
        """Return NUMBER.REVISION of the policy that is active at a member; empty if it has none."""
        active = self.member(name).rollout.active
        return active.name.split(":")[0] if active is not None else ""

    def route(self, name: str, request_class: str) -> Route:
        return self.member(name).rollout.route(request_class, "any", self.zones[name])

    def fallback_level(self, name: str, flow: str) -> int:
        rollout = self.member(name).rollout
        assert rollout.active is not None
        flow_names = [policy_flow.name for policy_flow in rollout.active.policy.flows]
        return rollout.fallback_levels[flow_names.index(flow)]

    def changes(self, since: float = 0.0) -> int:
        """Return the number of fleet-wide changes of the active policy or its fallback levels."""
        activations = sorted(
            (int(str(note.fields["epoch"])), when, (note.fields["policy"], note.fields["fallback_levels"]))
            for when, _, note in self.notes
            if note.event == "policy active"
        )
        return sum(
            previous[2] != current[2] for previous, current in pairwise(activations) if current[1] >= since
        )

    def actives(self, fallback_levels: bool = False) -> dict[str, set[str]]:
        """Return by epoch the policies that members had as active, optionally with their fallback levels."""
        result: dict[str, set[str]] = {}
        for _, _, note in self.notes:
            if note.event == "policy active":
                activation = f"{note.fields['policy']}" + (
                    f" {note.fields['fallback_levels']}" if fallback_levels else ""
                )
                result.setdefault(str(note.fields["epoch"]), set()).add(activation)
        return result

    def said(self, what: str) -> list[LogEntry]:
        return [note for _, _, note in self.notes if note.event == what]

    # -- effects of members

    def _handle_effect(self, now: float, name: str, effect: Any) -> None:
        match effect:
            case LogEntry():
                self.notes.append((now, name, effect))
            case ApplyPlan():
                self.applied.append((now, name, effect))
            case StartTranslation():
                self.asked.append((now, name))
                finished = self._translate(effect)
                self.made.later(TRANSLATION_S, lambda: self.made.tell(name, finished))

    def _translate(self, request: StartTranslation) -> TranslationFinished:
        try:
            policy = request.base.policy if request.base is not None else read(request.text, request.file)
            base = request.base.translation if request.base is not None else None
            translation = translate(policy, request.classes, base=base)
        except (FaultyPolicyError, InfeasibleError) as error:
            return TranslationFinished(None, tuple(str(error).splitlines()))
        if self.tamper:
            richest_plan = next(
                plan for capabilities, plan in translation.classes.items() if capabilities == CLASSES["rich"]
            )
            translation = type(translation)(
                translation.number,
                translation.revision,
                translation.policy,
                dict.fromkeys(translation.classes, richest_plan),
            )
        return TranslationFinished(PolicyBundle(policy, translation))

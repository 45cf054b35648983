"""What one member of the fleet knows for the rollout: the view, its members' capabilities and the facts."""

from __future__ import annotations

from math import inf

from ..membership.view import Fact, Member, View
from . import host_capabilities
from .host_capabilities import HostCapabilities, HostCapabilitiesError
from .plan import Rules
from .policy_bundle import active, order
from .rollout_events import Effect, LogEntry, ProposeFact

STAGED = "policy/staged"  # the fact that names the bundle which more than half of the members hold
ACTIVE = "policy/active"  # the fact that names the bundle in force, with each flow's fallback level


class Output:
    """The effects of one step, when the next one is due, and the counters."""

    def __init__(self) -> None:
        self.effects: list[Effect] = []
        self.timers: list[float] = []
        self.counts: dict[str, int] = {}

    def begin_step(self) -> None:
        """Forget the effects and timers of the step before."""
        self.effects, self.timers = [], []

    @property
    def wake_at(self) -> float:
        """When the next step is due; infinite if none is."""
        return min(self.timers, default=inf)

    def log(self, what: str, **fields: object) -> None:
        """Add a line for the log."""
        self.effects.append(LogEntry(what, fields))

    def count(self, name: str) -> None:
        """Add one to a counter."""
        self.counts[name] = self.counts.get(name, 0) + 1


class FleetState:
    """The view as this member has it. `own_capabilities` are the same that it has in the view's metadata.

    With `believes_itself` its own proposals count as facts: a fault that the experiments must catch.
    """

    def __init__(
        self,
        node_name: str,
        own_capabilities: HostCapabilities,
        rules: Rules,
        output: Output,
        believes_itself: bool = False,
    ) -> None:
        self.node_name, self.own_capabilities, self.rules = node_name, own_capabilities, rules
        self.view: View | None = None
        self.capabilities: dict[str, HostCapabilities] = {}
        self.joined_at = self.changed_at = 0.0  # seconds of the caller's clock
        self._output, self._believes_itself = output, believes_itself
        self._proposed: dict[str, str] = {}
        self._next_peer_index = 0

    def update(self, now: float, view: View) -> None:
        """Take a new view."""
        if self.view is None:
            self.joined_at = now
        if self.view is None or _incarnations(view) != _incarnations(self.view):
            self.changed_at = now
        self.view = view
        self.capabilities = {}
        for member in view.members:
            try:
                self.capabilities[member.name] = host_capabilities.read(member.metadata_value("class"))
            except HostCapabilitiesError:
                self._output.count("classes_bad")  # it can run nothing that is known here

    @property
    def is_member(self) -> bool:
        """Whether this member is in the view."""
        return self.view is not None and self.node_name in self.view

    @property
    def members(self) -> tuple[Member, ...]:
        """The members of the view; none before there is one."""
        return self.view.members if self.view is not None else ()

    @property
    def names(self) -> tuple[str, ...]:
        """The names of the members."""
        return self.view.names if self.view is not None else ()

    @property
    def others(self) -> list[str]:
        """The names of the other members."""
        return [name for name in self.names if name != self.node_name]

    @property
    def place(self) -> int:
        """This member's place in the view's order."""
        return self.view.positions.get(self.node_name, 0) if self.view is not None else 0

    @property
    def classes(self) -> tuple[HostCapabilities, ...]:
        """The classes of hosts in the view."""
        return tuple(sorted(set(self.capabilities.values())))

    def next_peer(self) -> str:
        """Return another member, each in its turn; empty if there is none."""
        others = self.others
        if not others:
            return ""
        self._next_peer_index += 1
        return others[self._next_peer_index % len(others)]

    # -- facts

    def fact(self, key: str) -> str:
        """Return what the fleet has agreed on under a key; empty for nothing."""
        agreed = self._agreed(key)
        return self._proposed.get(key, agreed) if self._believes_itself else agreed

    @property
    def active_name(self) -> str:
        """The name of the bundle in force."""
        return active(self.fact(ACTIVE))[0]

    @property
    def newest_known(self) -> str:
        """The greater name of those that are staged and in force."""
        return max(self.fact(STAGED), self.active_name, key=order)

    def propose(self, key: str, value: str) -> None:
        """Propose a fact, if this member has not done so already."""
        if value != self._proposed.get(key, self._agreed(key)):
            self._proposed[key] = value
            self._output.effects.append(ProposeFact(Fact(key, value)))

    def _agreed(self, key: str) -> str:
        return self.view.fact(key) if self.view is not None else ""


def _incarnations(view: View) -> list[tuple[str, int]]:
    return [(member.name, member.incarnation) for member in view.members]

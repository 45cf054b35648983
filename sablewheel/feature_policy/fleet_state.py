"""The rollout's view of the fleet: the members, their host capabilities and the agreed facts."""

from __future__ import annotations

from math import inf

from ..membership.view import Fact, Member, View
from . import host_capabilities
from .host_capabilities import HostCapabilities, HostCapabilitiesError
from .plan import Rules
from .policy_bundle import active, order
from .rollout_events import Effect, LogEntry, ProposeFact

STAGED = "policy/staged"  # the fact that names the bundle that more than half of the members hold
ACTIVE = "policy/active"  # the fact that names the active bundle, with each flow's fallback level


class Output:
    """The effects of one step, the times of the next steps, and the counters."""

    def __init__(self) -> None:
        self.effects: list[Effect] = []
        self.timers: list[float] = []
        self.counts: dict[str, int] = {}

    def begin_step(self) -> None:
        """Discard the effects and timers of the previous step."""
        self.effects, self.timers = [], []

    @property
    def wake_at(self) -> float:
        """When the next step is due, in seconds of the caller's clock; infinite if none is."""
        return min(self.timers, default=inf)

    def log(self, event: str, **fields: object) -> None:
        """Add a log line."""
        self.effects.append(LogEntry(event, fields))

    def count(self, name: str) -> None:
        """Increment a counter."""
        self.counts[name] = self.counts.get(name, 0) + 1


class FleetState:
    """The fleet as this member sees it.

    `own_capabilities` are those in this member's metadata. With `trust_own_proposals` the member's own
    proposals count as facts, which is a fault that experiments must detect.
    """

    def __init__(
        self,
        node_name: str,
        own_capabilities: HostCapabilities,
        rules: Rules,
        output: Output,
        trust_own_proposals: bool = False,
    ) -> None:
        self.node_name, self.own_capabilities, self.rules = node_name, own_capabilities, rules
        self.view: View | None = None
        self.capabilities: dict[str, HostCapabilities] = {}
        self.joined_at = self.changed_at = 0.0  # seconds of the caller's clock
        self._output, self._trust_own_proposals = output, trust_own_proposals
        self._proposed: dict[str, str] = {}
        self._next_peer_index = 0

    def update(self, now: float, view: View) -> None:
        """Replace the view."""
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
                self._output.count("classes_bad")  # this member is taken to run no feature

    @property
    def is_member(self) -> bool:
        """Whether this member is in the view."""
        return self.view is not None and self.node_name in self.view

    @property
    def members(self) -> tuple[Member, ...]:
        """The members of the view; empty before the first view."""
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
    def position(self) -> int:
        """This member's index in the view's order."""
        return self.view.positions.get(self.node_name, 0) if self.view is not None else 0

    @property
    def classes(self) -> tuple[HostCapabilities, ...]:
        """The classes of hosts in the view."""
        return tuple(sorted(set(self.capabilities.values())))

    def next_peer(self) -> str:
        """Return another member, in round-robin order; empty if there is none."""
        others = self.others
        if not others:
            return ""
        self._next_peer_index += 1
        return others[self._next_peer_index % len(others)]

    # -- facts

    def fact(self, key: str) -> str:
        """Return the value that the fleet has agreed on for a key; empty if there is none."""
        agreed = self._agreed(key)
        return self._proposed.get(key, agreed) if self._trust_own_proposals else agreed

    @property
    def active_name(self) -> str:
        """The name of the active bundle; empty if there is none."""
        return active(self.fact(ACTIVE))[0]

    @property
    def newest_known(self) -> str:
        """The greater of the names of the staged and the active bundle."""
        return max(self.fact(STAGED), self.active_name, key=order)

    def propose(self, key: str, value: str) -> None:
        """Propose a fact, unless this member already proposed it or it is agreed on."""
        if value != self._proposed.get(key, self._agreed(key)):
            self._proposed[key] = value
            self._output.effects.append(ProposeFact(Fact(key, value)))

    def _agreed(self, key: str) -> str:
        return self.view.fact(key) if self.view is not None else ""


def _incarnations(view: View) -> list[tuple[str, int]]:
    return [(member.name, member.incarnation) for member in view.members]

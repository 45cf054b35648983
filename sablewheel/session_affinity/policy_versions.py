"""The policy versions that sessions may run under, and which servers can run which flow. Performs no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from .binding import Binding, BindingState
from .events import PolicyActivated
from .plan import AffinitySettings


class PolicyVersions:
    """The active policy version, and the earlier versions retained for the sessions that began under them.

    Invariant: `active` only grows; a retired version is not retained again unless it is activated.
    """

    def __init__(self, settings: AffinitySettings) -> None:
        """Start without an active version (0)."""
        self.active = 0
        self._settings = settings
        self._capable_members: dict[int, dict[str, frozenset[str]]] = {}
        self._superseded_at: dict[int, float] = {}

    def activate(self, now: float, event: PolicyActivated) -> bool:
        """Activate a version, or update which members can run it; return False if it is outdated."""
        if event.version < self.active:
            return False
        if event.version > self.active:
            if self.active:
                self._superseded_at[self.active] = now
            self.active = event.version
        self._capable_members[event.version] = dict(event.capable_members)
        return True

    def retire_excess(self) -> list[int]:
        """Retire the oldest versions beyond `keep_versions`; return them, newest first."""
        excess = sorted(self._capable_members, reverse=True)[self._settings.keep_versions :]
        for version in excess:
            self._retire(version)
        return excess

    def retire_expired(self, now: float) -> list[int]:
        """Retire the versions that were superseded at least `retire_after_s` ago; return them."""
        after_s = self._settings.retire_after_s
        expired = [version for version, at in self._superseded_at.items() if now >= at + after_s]
        for version in expired:
            self._retire(version)
        return expired

    def _retire(self, version: int) -> None:
        self._capable_members.pop(version, None)
        self._superseded_at.pop(version, None)

    @property
    def next_retirement_at(self) -> float:
        """When the next version expires; inf if none is superseded."""
        if not self._superseded_at:
            return inf
        return min(self._superseded_at.values()) + self._settings.retire_after_s

    def is_retained(self, version: int) -> bool:
        """Whether sessions may continue under this version."""
        return version in self._capable_members

    def retained_or_active(self, version: int) -> int:
        """Return the given version if it is retained, otherwise the active one."""
        return version if self.is_retained(version) else self.active

    def next_version(self, stored: Binding | None) -> int:
        """Return the version for a session's next owner: a new session begins under the active one."""
        if stored is None or stored.state is BindingState.ENDED:
            return self.active
        return self.retained_or_active(stored.policy_version)

    def can_run(self, server: str, version: int, flows: Iterable[str]) -> bool:
        """Whether a server can run all of these flows; a flow without an entry can run anywhere."""
        capable = self._capable_members.get(version, {})
        return all(flow not in capable or server in capable[flow] for flow in flows)

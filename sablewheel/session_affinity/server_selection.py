"""The choice of the server on which a session begins or to which it migrates. Performs no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Set
from dataclasses import replace

from .context import SessionContext
from .lookup_table import LookupTable
from .ownership import OwnedSession, Ownership
from .placement import ServerLoad, load_bounds, rank_for_migration, rank_for_new_session
from .policy_versions import PolicyVersions


class ServerSelection:
    """Selects servers by their latest load reports, capabilities and load bounds.

    Invariant: only the server that takes a session checks its load bound with exact values; the loads of
    other servers are estimates, and a wrong estimate costs a declined offer.
    """

    def __init__(
        self,
        context: SessionContext,
        versions: PolicyVersions,
        ownership: Ownership,
        lookups: LookupTable,
    ) -> None:
        """Start without load reports."""
        self._context, self._versions = context, versions
        self._ownership, self._lookups = ownership, lookups
        self._loads: dict[str, ServerLoad] = {}

    # -- load reports

    def update_loads(self, loads: Mapping[str, ServerLoad]) -> None:
        """Merge load reports; the latest report of a member without a new one is retained."""
        names = self._context.member_names
        retained = {name: load for name, load in self._loads.items() if name in names}
        self._loads = retained | dict(loads)

    def load_of(self, name: str) -> ServerLoad:
        """Return a server's latest load report, or a default report if it has sent none."""
        return self._loads.get(name, ServerLoad())

    def add_session(self, name: str) -> None:
        """Count a session that a server just took, until its next load report arrives."""
        load = self.load_of(name)
        self._loads[name] = replace(load, sessions=load.sessions + 1)

    def _current_loads(self) -> dict[str, ServerLoad]:
        name = self._context.node_name
        own_load = replace(self.load_of(name), sessions=self._own_session_count)
        return {**self._loads, name: own_load}

    @property
    def _own_session_count(self) -> int:
        return len(self._ownership.sessions) + self._lookups.writing_count

    # -- candidates

    def capable_members(self, flows: Iterable[str], version: int) -> set[str]:
        """Return the members of the view that can run all of these flows and are not leaving."""
        flows = list(flows)
        return {
            name
            for name in self._context.member_names
            if self._versions.can_run(name, version, flows) and not self._is_draining(name)
        }

    def _is_draining(self, name: str) -> bool:
        if name == self._context.node_name:
            return self._context.is_draining
        load = self._loads.get(name)
        return load is not None and load.weight <= 0

    def choose(self, key: str, names: Set[str], *, is_migration: bool, excluded: Set[str]) -> str:
        """Return the best server below its load bound; empty if there is none."""
        loads, settings = self._current_loads(), self._context.settings
        bounds = load_bounds(loads, names, settings.load_factor, settings.min_load_bound)
        rank = rank_for_migration if is_migration else rank_for_new_session
        ranked = rank(key, loads, bounds)
        return next((name for name in ranked if name not in excluded), "")

    def least_loaded(self, names: Set[str]) -> str:
        """Return the server with the fewest sessions per weight; empty if no server has a positive weight."""
        loads = self._current_loads()
        loads_and_names = [(loads.get(name, ServerLoad()), name) for name in names]
        ratios = [(load.sessions / load.weight, name) for load, name in loads_and_names if load.weight > 0]
        return min(ratios, default=(0.0, ""))[1]

    def choose_successor(self, session: OwnedSession) -> str:
        """Return the server to which an owned session should be handed over; empty if there is none."""
        version = self._versions.retained_or_active(session.binding.policy_version)
        capable = self.capable_members(session.flows, version) - {self._context.node_name}
        declined = session.declined_by
        chosen = self.choose(session.binding.key, capable, is_migration=True, excluded=declined)
        return chosen or self.least_loaded(capable - declined) or self.least_loaded(capable)

    # -- this server

    def has_capacity(self, flows: Iterable[str], version: int, *, forced: bool) -> bool:
        """Whether this server may take one more session that uses these flows.

        Args:
            flows: The flows of the session's requests.
            version: The policy version under which the session would run.
            forced: Whether the load bound is ignored, since no server is below its bound.
        """
        flows, context = list(flows), self._context
        if context.is_draining or not context.is_member:
            return False
        if not self._versions.can_run(context.node_name, version, flows):
            return False
        count, settings = self._own_session_count, context.settings
        if count >= settings.max_sessions and not self._ownership.has_evictable_session():
            return False
        if forced:
            context.counts["forced"] += 1
            return True
        capable = self.capable_members(flows, version)
        bounds = load_bounds(self._current_loads(), capable, settings.load_factor, settings.min_load_bound)
        return count < bounds.get(context.node_name, 0)

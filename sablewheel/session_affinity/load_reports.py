"""The load reports that servers send to each other."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Mapping

from ..forwarding.errors import SendError
from ..forwarding.peer_connections import PeerConnections
from ..membership.service import MembershipService
from ..membership.view import View
from ..transport.scheduler import Scheduler
from .codec import FRAME_LIFETIME_S, FRAME_TYPE, encode
from .placement import ServerLoad

REPORT_INTERVAL_S = 0.5
MIN_WARMTH = 0.01  # above 0, which would mean that the server is leaving


class LoadReports:
    """Sends this server's load to all members periodically, and collects their loads.

    A lost report is not sent again; the next one replaces it.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        fleet: MembershipService,
        links: PeerConnections,
        *,
        warmth: Callable[[], float],
        capacity: float,
        session_count: Callable[[], int],
        on_report: Callable[[Mapping[str, ServerLoad]], None],
    ) -> None:
        """Start without reports; `start` sends the first one.

        Args:
            scheduler: Calls this object periodically.
            fleet: The members.
            links: The connections to the other members.
            warmth: Returns this server's warmth, from 0 (just started) to 1 (warm).
            capacity: This server's capacity, in the unit that all members use.
            session_count: Returns the number of sessions that this server owns.
            on_report: Called with all loads by member, after each of this server's own reports.
        """
        self._scheduler, self._fleet, self._links = scheduler, fleet, links
        self._warmth, self._capacity, self._session_count = warmth, capacity, session_count
        self._on_report = on_report
        self._loads: dict[str, ServerLoad] = {}
        self._is_leaving = self._is_closed = False

    def start(self) -> None:
        """Start to send reports, the first one after one interval."""
        self._scheduler.after(REPORT_INTERVAL_S, self._report)

    def close(self) -> None:
        """Send no further reports."""
        self._is_closed = True

    def receive(self, sender: str, load: ServerLoad) -> None:
        """Record another server's report."""
        self._loads[sender] = load

    def remove_departed(self, view: View) -> None:
        """Remove the reports of servers that are not in the view."""
        self._loads = {name: load for name, load in self._loads.items() if name in view}

    def announce_leaving(self) -> None:
        """Notify the other members immediately that this server accepts no more sessions."""
        self._is_leaving = True
        self._send(ServerLoad(self._session_count(), 1.0, 0.0), FRAME_LIFETIME_S)

    def _report(self) -> None:
        if self._is_closed:
            return
        capacity = 0.0 if self._is_leaving else self._capacity
        warmth = min(max(self._warmth(), MIN_WARMTH), 1.0)
        load = ServerLoad(self._session_count(), warmth, capacity)
        self._loads[self._fleet.node_name] = load
        self._send(load, REPORT_INTERVAL_S)
        self._on_report(self._loads)
        self._scheduler.after(REPORT_INTERVAL_S, self._report)

    def _send(self, load: ServerLoad, lifetime_s: float) -> None:
        data = encode(load)
        for name in self._fleet.view.names if self._fleet.view is not None else ():
            if name != self._fleet.node_name:
                with contextlib.suppress(SendError):
                    self._links.send(name, FRAME_TYPE, data, expires_in_s=lifetime_s)

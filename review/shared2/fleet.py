"""A fleet of three lot servers with membership, forwarding, replication and sticky sessions."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from standins import Interpreter, NotRunError, Process, Site, free_port, settings

PORTS = ("listen", "membership", "forwarding")


class Member:
    """One lot server of the fleet, with its interpreter."""

    def __init__(self, site: Site, name: str, work_s: Callable[[str, bytes], float]) -> None:
        self.site, self.name = site, name
        self.interpreter = Interpreter(site.record, f"vm-{name}", work_s)
        self.ports = {use: free_port() for use in PORTS}
        self.process: Process

    @property
    def port(self) -> int:
        """The port for routers."""
        return self.ports["listen"]


class Fleet:
    """The members, which all start together and found the first view."""

    def __init__(
        self,
        site: Site,
        work_s: Callable[[str, bytes], float],
        stop_ms: int,
        size: int = 3,
        session_key: str = "[subject]",
    ) -> None:
        self.site, self.stop_ms, self.session_key = site, stop_ms, session_key
        self.members = [Member(site, f"n{number + 1}", work_s) for number in range(size)]

    def _features(self, member: Member) -> str:
        seeds = ", ".join(f"127.0.0.1:{each.ports['membership']}" for each in self.members[:3])
        zone = self.members.index(member) % 3
        lines = [
            "version: 1",
            "membership:",
            f"  listen: 127.0.0.1:{member.ports['membership']}",
            f"  zone: z{zone}",
            "  region: west",
            f"  seeds: [{seeds}]",
            f"  found-least: {len(self.members) // 2 + 1}",
            "forwarding:",
            f"  listen: 127.0.0.1:{member.ports['forwarding']}",
            "replication:",
            "  copies: 3",
            "affinity:",
            f"  key: {self.session_key}",
        ]
        return "\n".join([*lines, ""])

    async def start(self, **changes: Any) -> None:
        """Start all members and wait until they are up."""
        for member in self.members:
            await member.interpreter.start()
            values = settings(**changes)
            listen = f"127.0.0.1:{member.port}"
            configuration = self.site.configure(
                member.name, listen, member.interpreter.port, values, self.stop_ms
            )
            member.process = self.site.serve(member.name, configuration, self._features(member))
        for member in self.members:
            await self.site.wait_until_up(member.port, member.process)
        await self._agreed()

    async def _agreed(self, within_s: float = 30.0) -> None:
        """Wait until the log of each member has a view of all members."""
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            logs = [member.process.log.read_text(errors="replace") for member in self.members]
            if all(f"members={len(self.members)}" in log for log in logs):
                return
            await asyncio.sleep(0.2)
        raise NotRunError("the fleet did not agree on a view")

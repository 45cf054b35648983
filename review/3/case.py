"""Clients send messages with no end; the app server may not go over its memory limit."""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from pathlib import Path

from harness import (
    BROKEN,
    HELD,
    HOST,
    PYTHON,
    Case,
    CaseError,
    Interpreter,
    NameService,
    Router,
    Server,
    trouble,
)
from harness import main as play_case

MEMORY_MB = 48  # our pages: 32 to 192 MB
MEGABYTE = 1 << 20
SOCKETS = 512
BAD_CLIENTS = 50  # at once; a tenth of the descriptors
RATE = 40.0  # requests of the usual routers, a second
RUN_S = 0.05
CALM_S = 5.0
BAD_FOR_S = 12.0
LOOK_EVERY_S = 0.01
TENANT = "saskatoon-intl"
SETTINGS = {
    "classes": [
        {"name": "lookup", "on-time-s": 1.1, "deadline-s": 4.5, "repeat": "safe"},
        {"name": "record", "on-time-s": 1.8, "deadline-s": 4.5, "repeat": "keyed", "window-s": 13.5},
    ],
    "orgs": [{"name": TENANT, "quota-rps": 200}],
    "servers": 1,
    "tick-s": 0.002,
    "extra": {
        "cores": 6,
        "memory-kb": 20000,
        "run-factor": 8,
        "key-kb": 1.0,
        "halt": "drop",
        "say": "tokens",
        "said-for-s": 1.0,
        "idle-s": 30.0,
        "callers": 4,
        "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
    },
    "safety": {"fall-multiple": 5, "fall-s": 1.5, "answer-slack-s": 0.08, "drain-grace-s": 2.5},
}


class Platform:
    """The platform: kills an app server that goes over its memory limit.

    Attributes:
        most_mb: The most memory that the process had.
        killed: Whether it was killed for its memory.
    """

    def __init__(self, case: Case, server: Server) -> None:
        self._case, self._server = case, server
        self.most_mb, self.killed = 0.0, False

    async def watch(self) -> None:
        """Look at the memory of the process again and again."""
        while self._server.alive:
            memory_mb = self._memory_mb()
            if memory_mb > self.most_mb + 5.0:
                self._case.record.write("memory", mb=round(memory_mb, 1), limit=MEMORY_MB)
            self.most_mb = max(self.most_mb, memory_mb)
            if memory_mb > MEMORY_MB:
                self.killed = True
                await self._server.kill()
            await asyncio.sleep(LOOK_EVERY_S)

    def _memory_mb(self) -> float:
        process = self._server.process
        if process is None:
            raise CaseError("the server was not started")
        try:
            resident = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return resident * os.sysconf("SC_PAGE_SIZE") / MEGABYTE


async def bad_clients(case: Case, server: Server) -> None:
    """Have the bad clients connect and send; they are a process of their own."""
    case.record.write("bad-clients", count=BAD_CLIENTS)
    script = Path(__file__).resolve().parent / "bad_clients.py"
    process = await asyncio.create_subprocess_exec(
        *PYTHON, str(script), str(server.port), str(BAD_CLIENTS), str(BAD_FOR_S)
    )
    case.processes.append(process)
    await asyncio.sleep(BAD_FOR_S)


async def usual_load(router: Router, server: Server) -> None:
    """Send lookups and records as the usual routers do, until cancelled."""
    chance = random.Random(1)
    while server.alive:
        if chance.random() < 0.62:
            await router.send(server, "lookup", "", b"spaces", project=TENANT)
        else:
            await router.send(server, "record", router.new_label(), b"entry", project=TENANT)
        await asyncio.sleep(1 / RATE)


async def play(case: Case) -> int:
    """Play the case."""
    interpreter = Interpreter("vm", case.record, cores=6, work_s=RUN_S)
    name_service = NameService()
    await interpreter.start()
    await name_service.start()
    server = case.server(
        "n1",
        {
            "vm": f"{HOST}:{interpreter.port}",
            "naming": f"{HOST}:{name_service.port}",
            "stop_ms": 3200,
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "settings": SETTINGS,
        },
    )
    await server.start()
    await server.wait_until_up()
    platform, router = Platform(case, server), Router(1, case.record)
    watch = asyncio.create_task(platform.watch())
    load = asyncio.create_task(usual_load(router, server))
    await asyncio.sleep(CALM_S)
    before_mb = platform.most_mb
    if trouble():
        await bad_clients(case, server)
    else:
        await asyncio.sleep(BAD_FOR_S)
    load.cancel()
    until = time.time() + 6.0
    while any(not attempt.outcome for attempt in router.tries) and time.time() < until:
        await asyncio.sleep(0.05)
    crashed = not server.alive
    watch.cancel()
    lost = sum(attempt.outcome in ("", "lost") for attempt in router.tries)
    served = sum(attempt.outcome == "OK" for attempt in router.tries)
    case.record.write("END", most_mb=round(platform.most_mb, 1), killed=platform.killed, lost=lost)
    print(
        f"memory {before_mb:.1f} MB before, at most {platform.most_mb:.1f} MB, limit {MEMORY_MB} MB; "
        f"killed for it: {platform.killed}; {served} served, {lost} lost"
    )
    if served < 100:
        raise CaseError(f"only {served} requests were served: {server.log_tail()}")
    return BROKEN if crashed or platform.killed else HELD


if __name__ == "__main__":
    sys.exit(play_case(__file__, play))

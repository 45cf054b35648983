"""New settings by SIGHUP, and the statements of the tenants afterwards.

A lot server with the usage ledger serves lookups of eight airports. After a third of them its settings
change: the fleet has one server more, so the quotas differ. Everything goes on, and in the end each airport's
statement is compared with what its routers were answered. `TROUBLE=0` leaves the settings as they are.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "shared2"))

from billing import Collector, ledger_section
from standins import (
    AIRPORTS,
    Connection,
    Interpreter,
    Names,
    Site,
    Try,
    answered,
    free_port,
    main,
    needs_packages,
    send_signal,
    settings,
    summary,
    trouble,
)

REQUESTS, RATE = 450, 15.0  # 220 requests a second at 15 lot servers


def later_settings() -> dict[str, object]:
    """Return the settings with one server more in the fleet, and a tenth more quota."""
    values = settings(servers=4)
    for tenant in values["orgs"]:
        tenant["quota-rps"] = round(tenant["quota-rps"] * 1.1, 1)
    return values


async def play(site: Site) -> bool:
    """Play the case; return whether the rule held."""
    needs_packages("pydantic", "google.protobuf", "ruamel.yaml", "click", "structlog")
    collector = Collector(site)
    await collector.start()
    interpreter = Interpreter(site.record, "vm", lambda _, __: 0.26)
    await interpreter.start()
    port = free_port()
    configuration = site.configure("n1", f"127.0.0.1:{port}", interpreter.port, settings())
    features = "version: 1\n" + ledger_section(site.folder / "n1-ledger", collector.port)
    server = site.serve("n1", configuration, features)
    await site.wait_until_up(port, server)
    names = Names(8)
    routers = [await Connection(site.record, f"r{i}", [interpreter]).open(port) for i in range(4)]
    tenants = list(AIRPORTS)
    tries: list[Try] = []
    started = time.monotonic()
    for number in range(REQUESTS):
        if number == REQUESTS // 3 and trouble():
            site.configure("n1", f"127.0.0.1:{port}", interpreter.port, later_settings())
            send_signal(site, server, signal.SIGHUP)
        await asyncio.sleep(max(started + number / RATE - time.monotonic(), 0.0))
        tenant = names.random.choices(tenants, list(AIRPORTS.values()))[0]
        tries.append(routers[number % 4].send(names.make("lookup", tenant)))
    await answered(tries, 10.0)
    await collector.settled(len(tries))
    served = Counter(each.tenant for each in tries if each.word == "OK")
    billed = collector.billed()
    site.record.say(f"answers: {summary(tries)}; server alive: {server.alive}")
    held = True
    for tenant in sorted({*served, *billed}):
        line = f"{tenant or '(no airport)':18} served {served[tenant]:4} billed {billed[tenant]:4}"
        site.record.say(line)
        held = held and served[tenant] == billed[tenant]
    return held


main(__file__, play)

"""Simulated kiosks behind routers: each kiosk has a session, and its requests go to any server.

    python -m sablewheel.experiments.affinity_client '{"servers": [...], "kiosks": 60, ...}'

As `router`, but each attempt belongs to the next kiosk in turn, which the log names.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time

from . import client_protocol as wire
from .router import Routers
from .testbed import TENANTS


class KioskRouters(Routers):
    """Routers whose requests each carry a kiosk as their subject."""

    kiosk_index = 0

    async def try_at(
        self, server: str, request_class: str, name: bytes, tenant: str, idempotency_key: bytes, body: bytes
    ) -> None:
        link = await self.link(server)
        if link is None:
            return
        link.tag += 1
        self.kiosk_index = (self.kiosk_index + 1) % int(self.spec["kiosks"])
        tenants = sorted(TENANTS)
        kiosk, tenant = f"kiosk-{self.kiosk_index}", tenants[self.kiosk_index % len(tenants)]
        link.open[link.tag] = {
            "name": name.decode(),
            "customer": tenant,
            "track": request_class,
            "server": server,
            "kiosk": kiosk,
            "label": idempotency_key.decode(),
            "sent": time.time(),
            "from": time.monotonic(),
        }
        link.writer.write(
            wire.call(
                link.tag,
                name,
                request_class.encode(),
                time.time(),
                body,
                tenant.encode(),
                idempotency_key,
                subject=kiosk.encode(),
            )
        )


if __name__ == "__main__":
    asyncio.run(KioskRouters(json.loads(sys.argv[1])).run())

"""A stand-in for kiosks behind their routers: each has its session, and its requests come to any server.

    python -m sablewheel.experiments.affinity_client '{"servers": [...], "kiosks": 60, ...}'

As `router`; every try is one kiosk's, in turn, and names the kiosk in the log.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time

from . import client_protocol as wire
from .router import Routers
from .testbed import TENANTS


class Kiosks(Routers):
    """What `router` sends, with a subject each."""

    turn = 0

    async def try_at(
        self, server: str, request_class: str, name: bytes, tenant: str, idempotency_key: bytes, body: bytes
    ) -> None:
        link = await self.link(server)
        if link is None:
            return
        link.tag += 1
        self.turn = (self.turn + 1) % int(self.spec["kiosks"])
        owners = sorted(TENANTS)
        kiosk, tenant = f"kiosk-{self.turn}", owners[self.turn % len(owners)]
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
    asyncio.run(Kiosks(json.loads(sys.argv[1])).run())

"""A stand-in for routers whose clients come again at any server, at one moment, soon and later.

    python -m sablewheel.experiments.replication_client '{"servers": [...], "again": 0.6, ...}'

As `router`; besides, each keyed try comes again: `at_once` share of them at another server in the same
instant, and `again` of them once or twice more, after a wait of up to `again_within` seconds.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from typing import Any

from .router import Routers


class Repeaters(Routers):
    """What `router` sends, and each keyed try again at other servers."""

    async def try_at(
        self, server: str, request_class: str, name: bytes, tenant: str, idempotency_key: bytes, body: bytes
    ) -> None:
        await super().try_at(server, request_class, name, tenant, idempotency_key, body)
        if not idempotency_key:
            return
        others = [one for one in self.spec["servers"] if one != server]
        if self.chance.random() < float(self.spec["at_once"]):
            at = self.chance.choice(others)
            await super().try_at(at, request_class, self.name(), tenant, idempotency_key, body)
        for _ in range(self.chance.choice((1, 2))):
            if self.chance.random() < float(self.spec["again"]):
                wait = self.chance.uniform(0.0, float(self.spec["again_within"]))
                self.later(
                    self.again(wait, self.chance.choice(others), request_class, tenant, idempotency_key, body)
                )

    def name(self) -> bytes:
        return b"%016x" % self.chance.getrandbits(64)

    def later(self, what: Any) -> None:
        task = asyncio.get_running_loop().create_task(what)
        self.late.add(task)
        task.add_done_callback(self.late.discard)

    async def again(
        self, wait: float, server: str, request_class: str, tenant: str, idempotency_key: bytes, body: bytes
    ) -> None:
        await asyncio.sleep(wait)
        await Routers.try_at(self, server, request_class, self.name(), tenant, idempotency_key, body)

    async def run(self) -> None:
        self.spec["ends"] = time.monotonic() + float(self.spec["seconds"])
        await super().run()


if __name__ == "__main__":
    asyncio.run(Repeaters(json.loads(sys.argv[1])).run())

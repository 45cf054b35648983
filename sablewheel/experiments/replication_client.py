"""A simulated set of routers whose clients repeat keyed requests at other servers.

    python -m sablewheel.experiments.replication_client '{"servers": [...], "again": 0.6, ...}'

As `router`, except that keyed attempts are repeated: a share of `at_once` of them immediately at another
server, and then once or twice, each with probability `again`, after a delay of up to `again_within` seconds.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from typing import Any

from .router import Routers


class RepeatingRouters(Routers):
    """Routers that repeat keyed attempts at other servers."""

    async def try_at(
        self, server: str, request_class: str, name: bytes, tenant: str, idempotency_key: bytes, body: bytes
    ) -> None:
        await super().try_at(server, request_class, name, tenant, idempotency_key, body)
        if not idempotency_key:
            return
        others = [other for other in self.spec["servers"] if other != server]
        if self.chance.random() < float(self.spec["at_once"]):
            other_server = self.chance.choice(others)
            await super().try_at(other_server, request_class, self.new_name(), tenant, idempotency_key, body)
        for _ in range(self.chance.choice((1, 2))):
            if self.chance.random() < float(self.spec["again"]):
                delay_s = self.chance.uniform(0.0, float(self.spec["again_within"]))
                self.start_task(
                    self.retry(
                        delay_s, self.chance.choice(others), request_class, tenant, idempotency_key, body
                    )
                )

    def new_name(self) -> bytes:
        return b"%016x" % self.chance.getrandbits(64)

    def start_task(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.late.add(task)
        task.add_done_callback(self.late.discard)

    async def retry(
        self,
        delay_s: float,
        server: str,
        request_class: str,
        tenant: str,
        idempotency_key: bytes,
        body: bytes,
    ) -> None:
        await asyncio.sleep(delay_s)
        await Routers.try_at(self, server, request_class, self.new_name(), tenant, idempotency_key, body)

    async def run(self) -> None:
        self.spec["ends"] = time.monotonic() + float(self.spec["seconds"])
        await super().run()


if __name__ == "__main__":
    asyncio.run(RepeatingRouters(json.loads(sys.argv[1])).run())

"""A connection between servers and collector that connection_faults on a seeded script: cuts mid-frame,
silence, delays.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import threading


class ConnectionFaults:
    """A relay on loopback in a thread of its own. `calm` lets everything pass from then on."""

    def __init__(self, target: int, seed: int) -> None:
        self.target, self.calm = target, False
        self.cuts = self.silences = 0
        self._chance = random.Random(seed)
        self._loop = asyncio.new_event_loop()
        self._up = threading.Event()
        self.port = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._up.wait(10)

    def close(self) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        server = self._loop.run_until_complete(asyncio.start_server(self._serve, "127.0.0.1", 0))
        self.port = server.sockets[0].getsockname()[1]
        self._up.set()
        self._loop.run_forever()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            near, far = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.close()
            return
        fate = self._chance.random()
        limit = self._chance.randint(50, 60_000) if fate < 0.5 and not self.calm else 1 << 60
        mute = fate > 0.85 and not self.calm
        if mute:
            self.silences += 1
        await asyncio.gather(self._pass(reader, far, limit, False), self._pass(near, writer, 1 << 60, mute))

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, limit: int, mute: bool
    ) -> None:
        """Pass bytes on; `limit`: cut there; `mute`: what comes is swallowed, as if acknowledgements were
        lost.
        """
        passed = 0
        with contextlib.suppress(OSError):
            while data := await reader.read(4096):
                if passed + len(data) > limit:
                    writer.write(data[: limit - passed])
                    self.cuts += 1
                    break
                passed += len(data)
                if not mute or passed < 200:
                    writer.write(data)
                    await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()

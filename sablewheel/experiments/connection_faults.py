"""A relay between servers and collector that injects seeded faults: cuts within a frame and lost answers."""

from __future__ import annotations

import asyncio
import contextlib
import random
import threading


class ConnectionFaults:
    """A loopback relay in its own thread; setting `calm` exempts later connections from faults."""

    def __init__(self, target: int, seed: int) -> None:
        self.target, self.calm = target, False
        self.cuts = self.silences = 0
        self._chance = random.Random(seed)
        self._loop = asyncio.new_event_loop()
        self._started = threading.Event()
        self.port = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._started.wait(10)

    def close(self) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        server = self._loop.run_until_complete(asyncio.start_server(self._serve, "127.0.0.1", 0))
        self.port = server.sockets[0].getsockname()[1]
        self._started.set()
        self._loop.run_forever()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.close()
            return
        draw = self._chance.random()
        limit = self._chance.randint(50, 60_000) if draw < 0.5 and not self.calm else 1 << 60
        mute = draw > 0.85 and not self.calm
        if mute:
            self.silences += 1
        await asyncio.gather(
            self._pass(reader, target_writer, limit, False), self._pass(target_reader, writer, 1 << 60, mute)
        )

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, limit: int, mute: bool
    ) -> None:
        """Forward bytes and close the connection after `limit` bytes.

        With `mute`, chunks that reach byte 200 or beyond are discarded, as if acknowledgements were lost.
        """
        byte_count = 0
        with contextlib.suppress(OSError):
            while data := await reader.read(4096):
                if byte_count + len(data) > limit:
                    writer.write(data[: limit - byte_count])
                    self.cuts += 1
                    break
                byte_count += len(data)
                if not mute or byte_count < 200:
                    writer.write(data)
                    await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()

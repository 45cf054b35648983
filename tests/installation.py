"""A server and its interpreter as processes on loopback, with a proxy between them, and a client."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from sablewheel.experiments import client_protocol as wire
from sablewheel.experiments.testbed import Testbed, TestbedError, free_port

TIMEOUT_S = 15.0
MAX_READ_BYTES = 65536  # that a proxy reads and passes on at once
KEYED, SAFE = b"record", b"lookup"


class LinkProxy:
    """A proxy between a server and its interpreter; `pass_on(link, upward, data)` forwards the bytes.

    `upward` is True for bytes from the server to the interpreter. `pass_on` returns whether the link stays
    open. Links are numbered from 1.
    """

    def __init__(self, interpreter_port: int, pass_on: Callable[[Pair, bool, bytes], bool]) -> None:
        self._interpreter_port, self._pass_on = interpreter_port, pass_on
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = int(self._listener.getsockname()[1])
        self.pairs: list[Pair] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                server, _ = self._listener.accept()
                interpreter = socket.create_connection(("127.0.0.1", self._interpreter_port))
                pair = Pair(len(self.pairs) + 1, server, interpreter)
                self.pairs.append(pair)
                for upward in (True, False):
                    threading.Thread(target=self._pump, args=(pair, upward), daemon=True).start()

    def _pump(self, pair: Pair, upward: bool) -> None:
        source = pair.server if upward else pair.interpreter
        with contextlib.suppress(OSError):
            while data := source.recv(MAX_READ_BYTES):
                if not self._pass_on(pair, upward, data):
                    break
        pair.cut()

    def close(self) -> None:
        self._listener.close()
        for pair in self.pairs:
            pair.cut()


class Pair:
    """One link through the proxy: the server's end and the interpreter's end."""

    def __init__(self, number: int, server: socket.socket, interpreter: socket.socket) -> None:
        self.number, self.server, self.interpreter = number, server, interpreter

    def send(self, upward: bool, data: bytes) -> None:
        (self.interpreter if upward else self.server).sendall(data)

    def cut(self) -> None:
        for end in (self.server, self.interpreter):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)


def pass_unchanged(pair: Pair, upward: bool, data: bytes) -> bool:
    pair.send(upward, data)
    return True


class Client:
    """A client's connection to the server. Its dictionaries are indexed by tag."""

    def __init__(self, port: int) -> None:
        self._socket = socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_S)
        self.wall_clock: Callable[[], float] = time.time
        self._parser = wire.AnswerParser()
        self.sent: dict[int, bytes] = {}
        self.keys: dict[int, bytes] = {}  # idempotency keys of the keyed requests
        self.sent_at: dict[int, float] = {}  # monotonic time
        self.answers: dict[int, list[bytes]] = {}
        self.answered_at: dict[int, float] = {}
        self.close_announced = False  # no new request may come on this connection
        self.ended_at: float | None = None  # monotonic time at which the end of the connection was read

    def ask(self, tag: int, request_class: bytes, key: int | None = None, tenant: bytes = b"regina") -> bytes:
        """Send a request and return its id. A keyed request gets a key of its own unless `key` is given."""
        request = b"%016x" % (0xA0000 + tag)
        idempotency_key = b"%032x" % (tag if key is None else key) if request_class == KEYED else b""
        frame = wire.call(
            tag,
            request,
            request_class,
            self.wall_clock(),
            b"body",
            tenant,
            idempotency_key=idempotency_key,
        )
        self.sent_at[tag] = time.monotonic()
        with contextlib.suppress(ConnectionError):
            self._socket.sendall(frame)
        self.sent[tag] = request
        if idempotency_key:
            self.keys[tag] = idempotency_key
        return request

    def read(self, seconds: float) -> None:
        """Read answers until all have arrived or `seconds` are over."""
        deadline = time.monotonic() + seconds
        while len(self.answers) < len(self.sent) and (remaining_s := deadline - time.monotonic()) > 0:
            if not self._read_once(remaining_s):
                return

    def read_available(self) -> None:
        """Read the answers that have arrived."""
        while self._read_once(0.0):
            pass

    def _read_once(self, timeout_s: float) -> bool:
        """Return whether anything was read within `timeout_s`."""
        if self.ended_at is not None:
            return False
        self._socket.settimeout(timeout_s)
        try:
            data = self._socket.recv(65536)
        except (TimeoutError, BlockingIOError):
            return False
        except ConnectionError:
            data = b""
        if not data:
            self.ended_at = time.monotonic()
            return False
        for words in self._parser.feed(data):
            tag = int(words[0])
            assert tag not in self.answers, "answered twice"
            if tag:
                self.answers[tag], self.answered_at[tag] = words, time.monotonic()
            else:
                self.close_announced = True
        return True

    def close(self) -> None:
        self._socket.close()


class Installation:
    """A server and its interpreter, each a process, with a proxy between them."""

    def __init__(
        self,
        testbed: Testbed,
        keyed_work: float,
        pass_on: Callable[[Pair, bool, bytes], bool] | None = None,
        shifted: bool = False,
        module: tuple[str, ...] = ("sablewheel",),
        environment: dict[str, str] | None = None,
        cores: int = 64,
        features: str | None = None,
        result_bytes: list[int] | None = None,
        interpreter_survives: bool = False,
        **changes: Any,
    ) -> None:
        """Start the processes and send a first request.

        Args:
            testbed: Starts the processes.
            keyed_work: The duration of a keyed run in seconds.
            pass_on: Forwards the bytes on the link; see `LinkProxy`.
            shifted: Whether the server's wall clock is shifted by `testbed.shift`.
            module: The server's module and its arguments.
            environment: Further environment variables of the server.
            cores: The number of cores of the interpreter.
            features: The text of the server's features file; None if it has none.
            result_bytes: The least and the largest size of a result; None for results of some ten bytes.
            interpreter_survives: Whether the interpreter's runs and notices outlive a server process.
            changes: Changed keys of the server's configuration.
        """
        interpreter_port, port = free_port(), free_port()
        work = {SAFE.decode(): 0.02, KEYED.decode(): keyed_work}
        testbed.interpreter(
            "vm",
            interpreter_port,
            work=work,
            cores=cores,
            result_bytes=result_bytes,
            outlives=interpreter_survives,
        )
        self.interpreter_port = interpreter_port
        self.proxy = LinkProxy(interpreter_port, pass_on or pass_unchanged)
        configuration = testbed.configuration("n1", port, self.proxy.port, **changes)
        variables = {"RELAY_CONFIG": str(configuration), **(environment or {})}
        if features is not None:
            features_file = testbed.folder / "n1.yaml"
            features_file.write_text(features)
            variables["SABLEWHEEL_FEATURES"] = str(features_file)
        self.port = port
        self._testbed, self._module, self._shifted, self._variables = testbed, module, shifted, variables
        self.wall_clock: Callable[[], float] = time.time  # of the clients
        self._first_requests = 0
        self._start()

    def _start(self) -> None:
        self.server = self._testbed.start("n1", *self._module, shifted=self._shifted, **self._variables)
        self._testbed.wait_until_up(self.port, self.server)
        self.client = Client(self.port)
        self.client.wall_clock = self.wall_clock
        # The server reads a notice before the test starts: a link on which no notice was read looks like the
        # link of a new server.
        self._first_requests += 1
        self.client.ask(self._first_requests, SAFE)
        self.client.read(TIMEOUT_S)
        words = self.client.answers.get(self._first_requests)
        if words is None or words[1] != b"OK":
            raise TestbedError(f"the first request was not served: {words}")

    def kill_and_restart(self) -> None:
        """Kill the server, if it still runs, and start it again with a new client."""
        self.client.close()
        self.server.kill()
        self._start()

    def starts(self) -> Counter[str]:
        """Return how often the interpreter started each request."""
        return Counter(request for word, request, _ in self._testbed.runs("vm") if word == "begin")

    def close(self) -> None:
        self.client.close()
        self.proxy.close()

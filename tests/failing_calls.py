"""Runs a module with random failures of system calls, as allowed by their manual pages.

    python -m failing_calls '{"seed": 1, "share": 0.03}' sablewheel

`seed` determines the failures, and `share` is the fraction of calls that fail. `at_start` names calls whose
first few attempts always fail. A failed call has no effect, except for close, which closes the descriptor.
Reads and writes may also be short.
"""

from __future__ import annotations

import errno
import json
import os
import random
import runpy
import select
import socket
import sys
from typing import Any

MAX_SHORT_BYTES = 7  # of a short read or write
FAILURES_AT_START = 3  # of each call that `at_start` names
ACCEPT = [
    errno.ECONNABORTED,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EPROTO,
    errno.EPERM,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
    errno.ETIMEDOUT,
    errno.EINTR,
]
READ = [errno.ENOMEM, errno.ENOBUFS, errno.EINTR, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ETIMEDOUT]
WRITE = [*READ, errno.EPERM, errno.ENETDOWN]
CONNECT = [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.ECONNREFUSED]
CREATE = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]


class FailureInjector:
    """Decides which calls fail, and with which error."""

    def __init__(self, options: dict[str, Any]) -> None:
        self._random = random.Random(options["seed"])
        self._share = float(options["share"])
        self._at_start = dict.fromkeys(options.get("at_start", []), FAILURES_AT_START)

    def fails(self, call: str) -> bool:
        if self._at_start.get(call, 0):
            self._at_start[call] -= 1
            return True
        return self._random.random() < self._share

    def maybe_raise(self, call: str, codes: list[int]) -> None:
        if self.fails(call):
            code = self._random.choice(codes)
            raise OSError(code, os.strerror(code))

    def code(self, call: str, codes: list[int]) -> int:
        return self._random.choice(codes) if self.fails(call) else 0

    def size(self, requested: int) -> int:
        return min(requested, self._random.randint(1, MAX_SHORT_BYTES)) if self.fails("short") else requested


injector = FailureInjector({"seed": 0, "share": 0.0})


class FailingSocket(socket.socket):
    """A socket whose calls fail at random."""

    def __init__(self, *values: Any, **more: Any) -> None:
        if more.get("fileno") is None and len(values) < 4:
            injector.maybe_raise("socket", CREATE)
        super().__init__(*values, **more)

    def accept(self) -> tuple[socket.socket, Any]:
        injector.maybe_raise("accept", ACCEPT)
        descriptor, address = self._accept()  # type: ignore[attr-defined]
        return FailingSocket(self.family, self.type, self.proto, fileno=descriptor), address

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        injector.maybe_raise("recv", READ)
        return super().recv_into(buffer, injector.size(nbytes or len(buffer)), flags)

    def recv(self, size: int, flags: int = 0) -> bytes:
        injector.maybe_raise("recv", READ)
        return super().recv(size, flags)

    def send(self, data: Any, flags: int = 0) -> int:
        injector.maybe_raise("send", WRITE)
        return super().send(memoryview(data)[: injector.size(len(data))], flags)

    def sendto(self, *values: Any) -> int:
        injector.maybe_raise("sendto", WRITE)
        return super().sendto(*values)

    def connect_ex(self, address: Any) -> int:
        if code := injector.code("connect", CONNECT):
            return code
        code = super().connect_ex(address)
        return injector.code("connect", [errno.EINTR]) or code if code == errno.EINPROGRESS else code

    def setsockopt(self, *values: Any) -> None:
        injector.maybe_raise("setsockopt", [errno.ENOBUFS, errno.ENOMEM])
        super().setsockopt(*values)

    def close(self) -> None:
        was_open = self.fileno() >= 0
        super().close()
        if was_open:
            injector.maybe_raise("close", [errno.EIO, errno.EINTR])


class FailingPoll:
    """A poll object whose `poll` fails at random for lack of memory."""

    def __init__(self, real: Any) -> None:
        self._real = real
        self.register, self.modify, self.unregister = real.register, real.modify, real.unregister

    def poll(self, timeout: Any = None) -> Any:
        injector.maybe_raise("poll", [errno.ENOMEM])
        return self._real.poll(timeout)


def install(options: dict[str, Any]) -> None:
    global injector
    injector = FailureInjector(options)
    socket.socket = FailingSocket  # type: ignore[misc]
    real_poll, real_pipe, real_read = select.poll, os.pipe, os.read

    def pipe() -> tuple[int, int]:
        injector.maybe_raise("pipe", [errno.EMFILE, errno.ENFILE])
        return real_pipe()

    def read(descriptor: int, size: int) -> bytes:
        injector.maybe_raise("read", [errno.EIO, errno.EINTR])
        return real_read(descriptor, size)

    os.read = read
    select.poll = lambda: FailingPoll(real_poll())  # type: ignore[misc,assignment,return-value]
    os.pipe = pipe


if __name__ == "__main__":
    sys.modules["failing_calls"] = sys.modules["__main__"]
    install(json.loads(sys.argv[1]))
    module, sys.argv = sys.argv[2], sys.argv[2:]
    runpy.run_module(module, run_name="__main__", alter_sys=True)

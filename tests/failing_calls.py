"""Runs a module with system calls that fail now and then, as their manual pages allow, by a seed.

    python -m failing_calls '{"seed": 1, "share": 0.03}' sablewheel

`share` is the part of the calls that fail; `at_start` names calls that fail the first few times in any case.
A failed call has done nothing, but for close, which has. Reads and writes may also be short.
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

MAX_SHORT_BYTES = 7  # bytes of a short read or write
FAILURES_AT_START = 3
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


class Chance:
    """Which calls fail, and how."""

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

    def size(self, whole: int) -> int:
        return min(whole, self._random.randint(1, MAX_SHORT_BYTES)) if self.fails("short") else whole


chance = Chance({"seed": 0, "share": 0.0})


class FailingSocket(socket.socket):
    """A socket whose calls fail by chance."""

    def __init__(self, *values: Any, **more: Any) -> None:
        if more.get("fileno") is None and len(values) < 4:
            chance.maybe_raise("socket", CREATE)
        super().__init__(*values, **more)

    def accept(self) -> tuple[socket.socket, Any]:
        chance.maybe_raise("accept", ACCEPT)
        descriptor, address = self._accept()  # type: ignore[attr-defined]
        return FailingSocket(self.family, self.type, self.proto, fileno=descriptor), address

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        chance.maybe_raise("recv", READ)
        return super().recv_into(buffer, chance.size(nbytes or len(buffer)), flags)

    def recv(self, size: int, flags: int = 0) -> bytes:
        chance.maybe_raise("recv", READ)
        return super().recv(size, flags)

    def send(self, data: Any, flags: int = 0) -> int:
        chance.maybe_raise("send", WRITE)
        return super().send(memoryview(data)[: chance.size(len(data))], flags)

    def sendto(self, *values: Any) -> int:
        chance.maybe_raise("sendto", WRITE)
        return super().sendto(*values)

    def connect_ex(self, address: Any) -> int:
        if code := chance.code("connect", CONNECT):
            return code
        code = super().connect_ex(address)
        return chance.code("connect", [errno.EINTR]) or code if code == errno.EINPROGRESS else code

    def setsockopt(self, *values: Any) -> None:
        chance.maybe_raise("setsockopt", [errno.ENOBUFS, errno.ENOMEM])
        super().setsockopt(*values)

    def close(self) -> None:
        was_open = self.fileno() >= 0
        super().close()
        if was_open:
            chance.maybe_raise("close", [errno.EIO, errno.EINTR])


class FailingPoll:
    """A poll object that now and then has no memory."""

    def __init__(self, real: Any) -> None:
        self._real = real
        self.register, self.modify, self.unregister = real.register, real.modify, real.unregister

    def poll(self, timeout: Any = None) -> Any:
        chance.maybe_raise("poll", [errno.ENOMEM])
        return self._real.poll(timeout)


def install(options: dict[str, Any]) -> None:
    global chance
    chance = Chance(options)
    socket.socket = FailingSocket  # type: ignore[misc]
    real_poll, real_pipe, real_read = select.poll, os.pipe, os.read

    def pipe() -> tuple[int, int]:
        chance.maybe_raise("pipe", [errno.EMFILE, errno.ENFILE])
        return real_pipe()

    def read(descriptor: int, size: int) -> bytes:
        chance.maybe_raise("read", [errno.EIO, errno.EINTR])
        return real_read(descriptor, size)

    os.read = read
    select.poll = lambda: FailingPoll(real_poll())  # type: ignore[misc,assignment,return-value]
    os.pipe = pipe


if __name__ == "__main__":
    sys.modules["failing_calls"] = sys.modules["__main__"]
    install(json.loads(sys.argv[1]))
    module, sys.argv = sys.argv[2], sys.argv[2:]
    runpy.run_module(module, run_name="__main__", alter_sys=True)

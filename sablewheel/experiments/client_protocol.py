"""Frames of the router protocol as its published specification defines them, for simulated clients."""

from __future__ import annotations


def frame(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def call(
    tag: int,
    name: bytes,
    request_class: bytes,
    since: float,
    body: bytes,
    tenant: bytes,
    idempotency_key: bytes = b"",
    router: int = 1,
    kb: float = 10.0,
    subject: bytes = b"",
) -> bytes:
    """Encode one attempt of a request.

    `since` is in Unix seconds; `idempotency_key` has 32 hexadecimal digits, or is empty if there is none.
    """
    fields = b"ref=%b,since=%d,sender=%d,project=%b,room=%.1f,class_rank=0.5" % (
        name,
        int(since * 1000),
        router,
        tenant,
        kb,
    )
    if idempotency_key:
        fields += b",replay=%b" % idempotency_key
    if subject:
        fields += b",lookup=%b" % subject
    return frame(b"RPC.CALL", b"%d" % tag, request_class, fields, body)


def cancel(tag: int) -> bytes:
    return frame(b"RPC.CANCEL", b"%d" % tag)


def check(tag: int) -> bytes:
    return frame(b"RPC.HEALTH", b"%d" % tag, b"")


class AnswerParser:
    """Incremental parser of a server's answers, whose words may be of any size."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._words: list[bytes] = []
        self._missing_words = 0  # of the answer that was received in part

    def feed(self, data: bytes) -> list[list[bytes]]:
        """Return the answers that `data` completes.

        Raises:
            ValueError: The bytes are no answer.
        """
        self._buffer += data
        answers: list[list[bytes]] = []
        position = 0
        while (end := self._buffer.find(b"\r\n", position)) >= 0:
            mark, size = bytes(self._buffer[position : position + 1]), int(self._buffer[position + 1 : end])
            if mark != (b"$" if self._missing_words else b"*"):
                raise ValueError(f"no answer: {bytes(self._buffer[position:end])!r}")
            if mark == b"*":
                self._words, self._missing_words, position = [], size, end + 2
                continue
            word_end = end + 2 + size
            if len(self._buffer) < word_end + 2:
                break
            self._words.append(bytes(self._buffer[end + 2 : word_end]))
            self._missing_words -= 1
            position = word_end + 2
            if not self._missing_words:
                answers.append(self._words)
        del self._buffer[:position]
        return answers

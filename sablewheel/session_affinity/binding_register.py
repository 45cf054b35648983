"""The register of bindings, a collection of the replicated documents."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable

from ..replication.context import SESSIONS
from ..replication.messages import Answer
from ..replication.service import ReplicationService
from .codec import BadPacketError, decode_binding, encode_binding
from .effects import ReadBinding, WriteBinding
from .events import RegisterAnswered, RegisterVerdict

RESULTS_BY_STATUS = {"won": RegisterVerdict.WON, "read": RegisterVerdict.WON, "stale": RegisterVerdict.LOST}

log = logging.getLogger(__name__)


class BindingRegister:
    """Reads and writes bindings through replication; each answer is passed on as one event."""

    def __init__(
        self,
        replication: ReplicationService,
        counts: Counter[str],
        on_answer: Callable[[RegisterAnswered], None],
    ) -> None:
        """Use the documents of `replication`; `on_answer` is called with each answer."""
        self._replication, self._counts, self._on_answer = replication, counts, on_answer

    def write(self, effect: WriteBinding) -> None:
        """Write a binding if the expected fencing number is stored."""
        self._replication.write(
            SESSIONS,
            effect.key.encode(),
            effect.expected_fencing_number,
            encode_binding(effect.binding),
            effect.lifetime_s,
            lambda answer: self._handle_answer(effect.ref, answer),
            effect.binding.fencing_number,
        )

    def read(self, effect: ReadBinding) -> None:
        """Read a binding."""
        self._replication.read(
            SESSIONS, effect.key.encode(), lambda answer: self._handle_answer(effect.ref, answer)
        )

    def _handle_answer(self, ref: int, answer: Answer) -> None:
        entry, stored = answer.entry, None
        if entry.value:
            try:
                stored = decode_binding(entry.value, entry.version)
            except BadPacketError as error:
                self._counts["bindings_bad"] += 1
                log.warning("invalid session binding in the register", extra={"pairs": {"reason": error}})
                self._on_answer(RegisterAnswered(ref, RegisterVerdict.UNREACHABLE))
                return
        verdict = RESULTS_BY_STATUS.get(answer.status, RegisterVerdict.UNREACHABLE)
        self._on_answer(RegisterAnswered(ref, verdict, stored))

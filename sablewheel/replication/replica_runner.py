"""Runs the replica of a server, and applies its effects; its connections may lose any message."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from ..forwarding.errors import SendError
from ..membership.view import View
from ..transport.scheduler import Scheduler
from ..transport.wakeup import Wakeup
from . import codec
from .messages import (
    Answer,
    Claim,
    Effect,
    Event,
    Log,
    LogEvent,
    Message,
    MessageReceived,
    OutcomeStored,
    RangeChunk,
    Read,
    Send,
    Tick,
    ViewInstalled,
    Write,
)
from .packet_fields import BadPacketError
from .placement import MAX_WEIGHT, Site
from .replica import Replica

FRAME_KIND = "replica"
MESSAGE_LIFETIME_S = 1.0  # of a frame; unanswered messages are sent again
CHUNK_LIFETIME_S = 3.0
REMOVED_FACT_PREFIX = "gone/"  # of view facts by which the fleet agrees that a member has left permanently
LOG_LEVELS = {
    LogEvent.VIEW_INSTALLED: logging.INFO,
    LogEvent.CAUGHT_UP: logging.INFO,
    LogEvent.CONFLICTING_OUTCOMES: logging.ERROR,
    LogEvent.OUTCOME_NOT_STORED: logging.WARNING,
}

log = logging.getLogger(__name__)
OnAnswer = Callable[[Answer], None]


class PeerConnections(Protocol):
    """Sends and receives frames."""

    def send(self, peer_name: str, message_type: str, payload: bytes, *, expires_in_s: float) -> None:
        """Queue a frame to be dropped if unsent after `expires_in_s` seconds; raises `SendError`."""

    def register_handler(
        self, message_type: str, handler: Callable[[str, bytes], None], accept_departed: bool = False
    ) -> None:
        """Set the handler of frames of a type; `accept_departed`: also of members that left the view."""


class OutcomeObserver(Protocol):
    """Is notified when outcomes are stored or expire."""

    def outcome_stored(self, key: bytes) -> None:
        """Handle that a majority has stored an outcome."""

    def outcome_expired(self, key: bytes) -> None:
        """Handle that an entry expired before a majority had stored its outcome."""


class ReplicaRunner:
    """Connects a replica to the other members, its timer and the callbacks that receive its answers.

    Args:
        scheduler: The event loop.
        connections: The connections to the other members.
        replica: The replica; its times are those of `clock`.
        partitioning: The numbers of ranges and of copies, which each packet has.
        clock: A monotonic clock, in seconds.
        count: Increments a counter.
        outcome_observer: Is notified of stored and expired outcomes.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        connections: PeerConnections,
        replica: Replica,
        partitioning: tuple[int, int],
        clock: Callable[[], float],
        count: Callable[[str], None],
        outcome_observer: OutcomeObserver,
    ) -> None:
        self._connections, self._replica, self._partitioning = connections, replica, partitioning
        self._clock, self._count, self._outcome_observer = clock, count, outcome_observer
        self._last_ref = 0
        self._on_answer: dict[int, OnAnswer] = {}
        self._wake = Wakeup(scheduler, clock, self._on_timer)
        self._is_open = True
        # A member that has left may still push the outcomes of its runs.
        connections.register_handler(FRAME_KIND, self._on_frame, accept_departed=True)

    def claim(
        self,
        key: bytes,
        group: bytes,
        lifetime_s: float,
        digest: bytes,
        binding_version: int,
        on_answer: OnAnswer,
    ) -> None:
        """Claim an idempotency key."""
        ref = self._expect_answer(on_answer)
        self.step(Claim(ref, key, group, lifetime_s, digest, binding_version))

    def write(
        self,
        collection: str,
        key: bytes,
        expected_version: int,
        value: bytes,
        lifetime_s: float,
        min_version: int,
        on_answer: OnAnswer,
    ) -> None:
        """Set a value if its version is as expected."""
        ref = self._expect_answer(on_answer)
        self.step(Write(ref, collection, key, expected_version, value, lifetime_s, min_version))

    def read(self, collection: str, key: bytes, group: bytes, on_answer: OnAnswer) -> None:
        """Read an entry from a majority of its replicas."""
        ref = self._expect_answer(on_answer)
        self.step(Read(ref, collection, key, group))

    def _expect_answer(self, on_answer: OnAnswer) -> int:
        self._last_ref += 1
        self._on_answer[self._last_ref] = on_answer
        return self._last_ref

    def install_view(self, view: View) -> None:
        """Install a view of the membership."""
        sites = tuple(
            Site(member.name, member.incarnation, member.zone, _parse_weight(member.metadata_value("weight")))
            for member in view.members
        )
        removed = tuple(
            (fact.key.removeprefix(REMOVED_FACT_PREFIX), int(fact.value))
            for fact in view.facts
            if fact.key.startswith(REMOVED_FACT_PREFIX) and fact.value.isdigit()
        )
        self.step(ViewInstalled(view.epoch, sites, removed))

    def step(self, event: Event) -> None:
        """Pass an event to the replica, and apply its effects; do nothing once closed."""
        if not self._is_open:
            return
        for effect in self._replica.step(self._clock(), event):
            self._carry_out(effect)
        self._wake.set(self._replica.wake_at)

    def close(self) -> None:
        """Accept no more events."""
        self._is_open = False

    def _on_timer(self) -> None:
        self.step(Tick())

    def _on_frame(self, sender: str, payload: bytes) -> None:
        try:
            message = codec.decode(payload, *self._partitioning)
        except BadPacketError as error:
            self._count("replication_bad")
            log.warning("replication packet dropped", extra={"pairs": {"from": sender, "reason": error}})
            return
        self.step(MessageReceived(sender, message))

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case Send(to, message):
                self._send(to, message)
            case Answer(ref):
                on_answer = self._on_answer.pop(ref, None)
                if on_answer is not None:
                    on_answer(effect)
            case OutcomeStored(key):
                self._outcome_observer.outcome_stored(key)
            case Log(event, fields):
                if event is LogEvent.OUTCOME_NOT_STORED:
                    self._outcome_observer.outcome_expired(bytes.fromhex(str(fields["key"])))
                log.log(LOG_LEVELS[event], event.value, extra={"pairs": fields})

    def _send(self, to: str, message: Message) -> None:
        lifetime_s = CHUNK_LIFETIME_S if isinstance(message, RangeChunk) else MESSAGE_LIFETIME_S
        data = codec.encode(message, *self._partitioning)
        self._count("replication_bytes_out_k" if len(data) > 1024 else "replication_frames_out")
        try:
            self._connections.send(to, FRAME_KIND, data, expires_in_s=lifetime_s)
        except SendError:
            self._count("replication_unsent")


def _parse_weight(text: str) -> float:
    """Return the weight of a member in placement; 1 if the text is empty or invalid."""
    try:
        weight = float(text)
    except ValueError:
        return 1.0
    return min(weight, MAX_WEIGHT) if weight >= 0 else 1.0

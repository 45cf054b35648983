"""What the parts of one replica share: identity, view, stored entries, timers and effects. Pure."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from math import inf

from .entries import EMPTY, AnswerStatus, Entry
from .messages import COUNTER_NAMES, Answer, Effect, Log, LogEvent, Message, Send
from .placement import majority, slot_of
from .plan import Settings
from .range_transfer import Ranges
from .store import EntryStore

IDEMPOTENCY_KEYS = "labels"  # the collection of their entries, as it stands in packets
SESSIONS = "sessions"  # that of session bindings, whose versions fence the claims of their groups
EXPIRY_INTERVAL_S = 0.5  # what expires together is forgotten together


class ReplicaContext:
    """The state and the means that all parts of one replica use.

    Invariant: `epoch` is that of the view in which this member decides, or 0 while it is in none.
    """

    def __init__(
        self, name: str, incarnation: int, settings: Settings, rng: random.Random, now: float
    ) -> None:
        self.name, self.incarnation, self.settings, self.rng = name, incarnation, settings, rng
        self.now = now
        self.epoch = 0
        self.ranges = Ranges(name, incarnation, settings.copies, settings.slots)
        self.store = self.make_store()
        self.max_binding_lifetime_s = settings.max_binding_lifetime_s  # may be raised by session affinity
        self.counts: Counter[str] = Counter()
        self.timers: list[tuple[float, int]] = []  # time and ref; a negative ref is a claim's timeout
        self.expire_at = inf
        self._last_ref = 0
        self._effects: list[Effect] = []
        self._local_messages: list[Message] = []  # to this member itself

    # -- overridden by faulty variants in experiments

    def make_store(self) -> EntryStore:
        """The store of this member's entries."""
        return EntryStore(self.settings.max_entries, self.settings.max_bytes)

    def quorum_size(self, replica_count: int) -> int:
        """How many of a range's replicas decide."""
        return majority(replica_count)

    def is_ready(self, slot: int) -> bool:
        """Whether the copy here of a range counts."""
        return self.ranges.is_ready(slot)

    def is_foreign_epoch(self, epoch: int) -> bool:
        """Whether a message is of another view than the one here."""
        return epoch != self.epoch

    def is_member(self, name: str) -> bool:
        """Whether it is in the view here."""
        return name in self.ranges.members

    def replicas_of(self, slot: int) -> tuple[str, ...]:
        """The names of a range's replicas under the present view."""
        return self.ranges.views[self.epoch].replica_names(slot) if self.epoch else ()

    # -- common means

    def slot_of(self, group: bytes) -> int:
        """The range of a group."""
        return slot_of(group, self.settings.slots)

    def next_ref(self) -> int:
        """A number for a proposal or a quorum request, unused so far."""
        self._last_ref += 1
        return self._last_ref

    def set_timer(self, at: float, ref: int) -> None:
        """Wake up at a time for a proposal or a quorum request."""
        heapq.heappush(self.timers, (at, ref))

    def next_retry(self, attempts: int) -> float:
        """When a message is sent again after so many attempts before this one."""
        settings = self.settings
        wait_s: float = min(settings.initial_retry_s * 2.0 ** min(attempts, 8), settings.max_retry_s)
        return self.now + wait_s * self.rng.uniform(0.8, 1.2)

    def schedule_expiry(self, expires_at: float) -> None:
        """Something expires then."""
        self.expire_at = min(self.expire_at, expires_at + EXPIRY_INTERVAL_S)

    def send(self, to: str, message: Message) -> None:
        """Send a message to a member, or handle it in this step if that is this member."""
        if to == self.name:
            self._local_messages.append(message)
        else:
            self.counts[f"out_{COUNTER_NAMES[type(message)]}"] += 1
            self._effects.append(Send(to, message))

    def answer(self, ref: int, status: AnswerStatus, entry: Entry = EMPTY) -> None:
        """Answer a claim, write or read."""
        self.counts[f"answered_{status}"] += 1
        self._effects.append(Answer(ref, status, entry))

    def emit(self, effect: Effect) -> None:
        """Add an effect of this step."""
        self._effects.append(effect)

    def log(self, event: LogEvent, **fields: object) -> None:
        """Write a log line."""
        self._effects.append(Log(event, fields))

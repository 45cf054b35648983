"""The state that the parts of one replica share: identity, view, stored entries, timers, effects. Pure."""

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

IDEMPOTENCY_KEYS = "labels"  # the collection of their entries; the value is part of the packet format
SESSIONS = "sessions"  # the collection of session bindings; their versions fence claims of the session
EXPIRY_INTERVAL_S = 0.5  # entries that expire within this time are removed in one pass


class ReplicaContext:
    """The state and the helper methods that all parts of one replica share.

    Invariant: `epoch` is the epoch of the view under which this member decides, or 0 if it is in no view.
    """

    def __init__(
        self, name: str, incarnation: int, settings: Settings, rng: random.Random, now: float
    ) -> None:
        self.name, self.incarnation, self.settings, self.rng = name, incarnation, settings, rng
        self.now = now
        self.epoch = 0
        self.ranges = Ranges(name, incarnation, settings.copies, settings.slots)
        self.store = self.make_store()
        self.max_binding_lifetime_s = settings.max_binding_lifetime_s  # session affinity may raise it
        self.counts: Counter[str] = Counter()
        self.timers: list[tuple[float, int]] = []  # time and ref; a negative ref is a proposal's timeout
        self.expire_at = inf
        self._last_ref = 0
        self._effects: list[Effect] = []
        self._local_messages: list[Message] = []  # messages of this member to itself

    # -- overridden by faulty variants in experiments

    def make_store(self) -> EntryStore:
        """Create the store of this member's entries."""
        return EntryStore(self.settings.max_entries, self.settings.max_bytes)

    def quorum_size(self, replica_count: int) -> int:
        """Return how many of a range's replicas must agree."""
        return majority(replica_count)

    def is_ready(self, slot: int) -> bool:
        """Return whether this member's copy of a range is caught up, so that it may vote."""
        return self.ranges.is_ready(slot)

    def is_foreign_epoch(self, epoch: int) -> bool:
        """Return whether a message was sent under another view than this member's."""
        return epoch != self.epoch

    def is_member(self, name: str) -> bool:
        """Return whether a member is in this member's view."""
        return name in self.ranges.members

    def replicas_of(self, slot: int) -> tuple[str, ...]:
        """Return the names of a range's replicas under the current view; empty if in no view."""
        return self.ranges.views[self.epoch].replica_names(slot) if self.epoch else ()

    # -- helpers of the parts

    def slot_of(self, group: bytes) -> int:
        """Return the range of a group."""
        return slot_of(group, self.settings.slots)

    def next_ref(self) -> int:
        """Return an unused number for a proposal or a quorum request."""
        self._last_ref += 1
        return self._last_ref

    def set_timer(self, at: float, ref: int) -> None:
        """Set a timer for a proposal or a quorum request."""
        heapq.heappush(self.timers, (at, ref))

    def next_retry(self, attempts: int) -> float:
        """Return when to repeat a message that had been sent `attempts` times before the present attempt."""
        settings = self.settings
        wait_s: float = min(settings.initial_retry_s * 2.0 ** min(attempts, 8), settings.max_retry_s)
        return self.now + wait_s * self.rng.uniform(0.8, 1.2)

    def schedule_expiry(self, expires_at: float) -> None:
        """Schedule an expiry pass for an entry or a claim that expires at this time."""
        self.expire_at = min(self.expire_at, expires_at + EXPIRY_INTERVAL_S)

    def send(self, to: str, message: Message) -> None:
        """Send a message to a member; a message to this member itself is handled within the step."""
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

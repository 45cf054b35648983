"""Anti-entropy: catches up ranges that are not ready, and repairs those that are ready. Pure.

Both compare the digests of ranges with another member, and fetch the entries of the ranges that differ.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from .acceptor import Acceptor
from .context import ReplicaContext
from .entries import Entry, Key
from .messages import (
    CompareRanges,
    FetchRange,
    LogEvent,
    PastViews,
    RangeChunk,
    RangeMessage,
    RangeStates,
    RequestViews,
)
from .range_transfer import Readiness

FIRST_KEY: Key = ("", b"")
MAX_VIEWS_SENT = 8  # views in one `PastViews` message
TRANSFER_TIMEOUT_S = 0.5  # silence of a member after which a new request may be sent to it


@dataclass(slots=True)
class Transfer:
    """The state of a transfer from one member.

    Attributes:
        last_active: When a message of the transfer was last sent or received.
        pending_comparisons: Number of ranges in the `CompareRanges` request that it has not answered; 0 if
            none is open.
        queue: Ranges to fetch from it, as pairs of slot and the member's ready epoch.
    """

    last_active: float = -inf
    pending_comparisons: int = 0
    queue: list[tuple[int, int]] = field(default_factory=list)


class AntiEntropy:
    """Transfers with other members.

    Invariant: at most one request to each member is open, and a range counts as merged from a member only
    when its digest agreed or its last chunk was stored.
    """

    def __init__(self, context: ReplicaContext, acceptor: Acceptor) -> None:
        self._context, self._acceptor = context, acceptor
        self.transfers: dict[str, Transfer] = {}
        self.sync_at = self.repair_at = inf
        self._sync_count = 0  # calls of `sync` under this view
        self._repair_offset = 0  # index of the next range to repair in the sorted list of ready ranges

    def view_installed(self) -> None:
        """Start catching up under the new view."""
        context = self._context
        self.transfers.clear()
        for slot in list(context.ranges.unready):
            self._update_readiness(slot)
        self._sync_count = 0
        if context.ranges.unready:
            self.sync_at = context.now
        self.repair_at = min(self.repair_at, context.now + context.settings.repair_interval_s)

    def _update_readiness(self, slot: int) -> Readiness:
        settings = self._context.settings
        return self._context.ranges.update_readiness(
            slot, self._context.now, settings.max_lifetime_s, settings.waits_after_cold_start
        )

    # -- catching up

    def sync(self) -> None:
        """Ask other members for the state of unready ranges, and check whether ranges became ready."""
        context = self._context
        self.sync_at = inf
        if not context.epoch:
            return
        slots_by_member: dict[str, list[int]] = {}
        for slot in sorted(context.ranges.unready):
            if self._update_readiness(slot) is Readiness.READY:
                continue
            for name in self._sources(slot):
                slots_by_member.setdefault(name, []).append(slot)
        if not context.ranges.unready:
            return self._report_caught_up()
        self.sync_at = context.now + context.settings.sync_interval_s
        self._sync_count += 1
        if self._sync_count > 1:  # the first pass skips this: usually only the previous view is needed
            self._request_views()
        for name, slots in sorted(slots_by_member.items()):
            self._compare(name, slots)

    def _request_views(self) -> None:
        context, ranges = self._context, self._context.ranges
        for name in ranges.names:
            if name != context.name and name not in ranges.history_received:
                context.send(name, RequestViews(context.epoch, ranges.request_views_before(name)))

    def _report_caught_up(self) -> None:
        context = self._context
        context.log(
            LogEvent.CAUGHT_UP,
            epoch=context.epoch,
            holds=len(context.ranges.assigned),
            entries=context.store.entries,
        )

    def _sources(self, slot: int) -> set[str]:
        ranges = self._context.ranges
        return ranges.required_sources(slot) | ranges.optional_sources(slot, self._context.now)

    def _compare(self, name: str, slots: list[int]) -> None:
        """Ask a member for the state of ranges, unless a recent request to it is unanswered."""
        context = self._context
        transfer = self.transfers.setdefault(name, Transfer())
        is_open = bool(transfer.pending_comparisons or transfer.queue)
        if is_open and context.now < transfer.last_active + TRANSFER_TIMEOUT_S:
            return
        batch = slots[: context.settings.batch_size]
        transfer.last_active, transfer.pending_comparisons, transfer.queue = context.now, len(batch), []
        digests = tuple((slot, context.store.digest(slot)) for slot in batch)
        context.send(name, CompareRanges(context.epoch, digests))

    # -- messages

    def on_request_views(self, sender: str, request: RequestViews) -> None:
        """Send the latest views before the requested epoch, unless the sender has a later view."""
        context = self._context
        if request.epoch <= context.epoch:
            views = context.ranges.views_before(request.before, MAX_VIEWS_SENT)
            context.send(sender, PastViews(context.epoch, context.incarnation, request.before, views))

    def on_past_views(self, sender: str, message: PastViews) -> None:
        """Add the past views that a member sent."""
        ranges = self._context.ranges
        ranges.record_incarnation(sender, message.incarnation)
        has_more = len(message.views) >= MAX_VIEWS_SENT
        ranges.add_past_views(sender, message.before, message.views, has_more)

    def on_range_message(self, sender: str, message: RangeMessage, epoch: int) -> None:
        """Handle a message of a transfer; `epoch`: this member decides nothing under earlier epochs."""
        match message:
            case CompareRanges():
                self._on_compare_ranges(sender, message, epoch)
            case RangeStates():
                self._on_range_states(sender, message)
            case FetchRange():
                self._on_fetch_range(sender, message, epoch)
            case RangeChunk():
                self._on_range_chunk(sender, message)

    def _on_compare_ranges(self, sender: str, request: CompareRanges, epoch: int) -> None:
        if request.epoch > epoch:
            return  # the sender repeats the request; by then this member has the view
        context = self._context
        states = tuple(
            (slot, context.ranges.ready_epoch(slot), context.store.digest(slot) == digest)
            for slot, digest in request.ranges[: context.settings.batch_size]
        )
        context.send(sender, RangeStates(epoch, context.incarnation, states))

    def _on_range_states(self, sender: str, states: RangeStates) -> None:
        context = self._context
        if states.epoch < context.epoch:
            return
        transfer = self.transfers.get(sender)
        if transfer is None or not transfer.pending_comparisons:
            return
        transfer.pending_comparisons, transfer.last_active = 0, context.now
        for slot, ready_epoch, is_same in states.ranges:
            if is_same:
                self._record_merged_copy(slot, sender, states.epoch, states.incarnation, ready_epoch)
            else:
                transfer.queue.append((slot, ready_epoch))
        self._fetch_next(sender, transfer, FIRST_KEY)

    def _record_merged_copy(
        self, slot: int, name: str, epoch: int, incarnation: int, ready_epoch: int
    ) -> None:
        ranges = self._context.ranges
        ranges.record_merged_copy(slot, name, epoch, incarnation, ready_epoch)
        if slot in ranges.unready:
            self._update_readiness(slot)

    def _fetch_next(self, name: str, transfer: Transfer, after: Key) -> None:
        """Request the next chunk, or if nothing is left to fetch, compare the next ranges."""
        context = self._context
        if transfer.queue:
            return context.send(name, FetchRange(context.epoch, transfer.queue[0][0], after))
        if context.ranges.unready:
            slots = [slot for slot in sorted(context.ranges.unready) if name in self._sources(slot)]
            if slots:
                return self._compare(name, slots)
        elif self.sync_at < inf:
            self.sync_at = context.now  # all ranges are ready; `sync` logs it

    def _on_fetch_range(self, sender: str, request: FetchRange, epoch: int) -> None:
        if request.epoch > epoch:
            return
        context = self._context
        chunk: list[tuple[Key, Entry, float]] = []
        size, is_last = 0, True
        for key, stored in context.store.entries_after(request.slot, request.after):
            remaining_s = stored.expires_at - context.now
            if remaining_s <= 0:
                continue
            is_full = len(chunk) >= context.settings.batch_size
            if chunk and (is_full or size + stored.entry.size > context.settings.chunk_bytes):
                is_last = False
                break
            chunk.append((key, stored.entry, remaining_s))
            size += stored.entry.size
        ready_epoch = context.ranges.ready_epoch(request.slot)
        context.send(
            sender,
            RangeChunk(epoch, context.incarnation, request.slot, ready_epoch, tuple(chunk), is_last),
        )

    def _on_range_chunk(self, sender: str, chunk: RangeChunk) -> None:
        context, transfer = self._context, self.transfers.get(sender)
        if transfer is None or not transfer.queue or transfer.queue[0][0] != chunk.slot:
            return
        if chunk.epoch < context.epoch:
            return
        transfer.last_active = context.now
        slot, ready_epoch = transfer.queue[0]
        for key, entry, remaining_s in chunk.entries:
            context.counts["entries_in"] += 1
            if not self._acceptor.merge_copy(slot, key, entry, remaining_s):
                transfer.queue.clear()  # no capacity: the range stays unready until its entries fit
                return
        if not chunk.is_last and chunk.entries:
            return self._fetch_next(sender, transfer, chunk.entries[-1][0])
        transfer.queue.pop(0)
        self._record_merged_copy(slot, sender, chunk.epoch, chunk.incarnation, ready_epoch)
        self._fetch_next(sender, transfer, FIRST_KEY)

    # -- repair

    def repair(self) -> None:
        """Compare a batch of ready ranges with a random other replica of each.

        Ranges that are retained for new replicas are compared with those, and dropped when all of them are
        ready.
        """
        context = self._context
        self.repair_at = context.now + context.settings.repair_interval_s
        if not context.epoch:
            return
        self._drop_transferred()
        slots_by_member: dict[str, list[int]] = {}
        for slot in self._next_to_repair():
            others = [name for name in context.replicas_of(slot) if name != context.name]
            if others:
                slots_by_member.setdefault(context.rng.choice(others), []).append(slot)
        for slot, retained in sorted(context.ranges.retained.items()):
            for name in context.replicas_of(slot):
                if name not in retained.merged_from:
                    slots_by_member.setdefault(name, []).append(slot)
        for name, slots in sorted(slots_by_member.items()):
            self._compare(name, slots)

    def _drop_transferred(self) -> None:
        ranges = self._context.ranges
        for slot in [slot for slot in ranges.retained if ranges.may_drop(slot)]:
            del ranges.retained[slot]
            self._context.counts["let_go"] += self._context.store.drop(slot)

    def _next_to_repair(self) -> list[int]:
        ranges = self._context.ranges
        ready = sorted(slot for slot in ranges.assigned if slot not in ranges.unready)
        slots = ready[self._repair_offset : self._repair_offset + 4 * self._context.settings.batch_size]
        has_more = bool(slots) and self._repair_offset < len(ready)
        self._repair_offset = self._repair_offset + len(slots) if has_more else 0
        return slots

"""The server's side of the export as a state machine: a step takes an event and returns effects. Pure.

Blocks are sent in the order of the log. Blocks that were sent and are not acknowledged yet are sent again as
the same bytes after a reconnect. At the start of each connection the collector sends the blocks that it has,
which alone decides the next block to send. A collector that claims blocks that were never sent to it is
disconnected.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from .blocks import SealedBlock
from .plan import ExportPlan

VERSION = 1
REJECTED_BACKOFF_S = 60.0  # least backoff after a rejection, which an early retry rarely resolves


class LinkState(Enum):
    """State of the connection to the collector."""

    BACKING_OFF = "resting"
    CONNECTING = "connecting"
    GREETING = "greeting"
    STREAMING = "streaming"


@dataclass(frozen=True)
class Connected:
    """The connection is established."""


@dataclass(frozen=True)
class ConnectionLost:
    """The connection failed or was closed."""

    reason: str


@dataclass(frozen=True)
class WelcomeReceived:
    """The last block that the collector has, as number and digest, by incarnation of this server."""

    version: int
    have: Mapping[bytes, tuple[int, bytes]]


@dataclass(frozen=True)
class BlocksAcknowledged:
    """A block of an incarnation and all blocks before it are in the journal."""

    incarnation: bytes
    number: int


@dataclass(frozen=True)
class RejectedByCollector:
    """The collector refused the connection or a frame, with the name of the fault."""

    fault: str
    detail: str


@dataclass(frozen=True)
class BlocksOffered:
    """The next blocks of the log, in order."""

    blocks: tuple[SealedBlock, ...]


@dataclass(frozen=True)
class TimerFired:
    """The timer fired."""


Event: TypeAlias = (
    Connected
    | ConnectionLost
    | WelcomeReceived
    | BlocksAcknowledged
    | RejectedByCollector
    | BlocksOffered
    | TimerFired
)


@dataclass(frozen=True)
class Connect:
    """Open a connection."""


@dataclass(frozen=True)
class Greet:
    """Send the greeting."""


@dataclass(frozen=True)
class Send:
    """Send a block."""

    block: SealedBlock


@dataclass(frozen=True)
class ReportLost:
    """Report to the collector that an incarnation's blocks up to `through` are lost."""

    incarnation: bytes
    through: int
    reason: str


@dataclass(frozen=True)
class RewindTo:
    """Reposition the source at the first block that the collector does not have."""

    have: Mapping[bytes, tuple[int, bytes]]


@dataclass(frozen=True)
class BlockSettled:
    """A block is in the journal; only a collector that was restored from a backup requests it again."""

    block: SealedBlock


@dataclass(frozen=True)
class Disconnect:
    """Close the connection."""


@dataclass(frozen=True)
class Counted:
    """An occurrence to count and log: its name, and the details if there are any."""

    name: str
    detail: str = ""


Effect: TypeAlias = Connect | Greet | Send | ReportLost | RewindTo | BlockSettled | Disconnect | Counted


class ExportState:
    """One server's export; `chance()` returns a number from 0 to 1 for the jitter of the backoff.

    Invariant: `unsettled` are the blocks that were sent at least once and are not known to be in the journal,
    in the log's order. Their size exceeds `window_bytes` by at most one block. No block is offered twice
    between two rewinds.
    """

    def __init__(self, plan: ExportPlan, chance: Callable[[], float]) -> None:
        self._plan, self._chance = plan, chance
        self.link = LinkState.BACKING_OFF
        self.unsettled: deque[SealedBlock] = deque()
        self._unsettled_bytes = 0
        self._backoff_s = plan.initial_backoff_s
        self._wake_at_s = 0.0  # end of the backoff, or of the wait for the collector; 0 if none
        self._last_numbers: dict[bytes, int] = {}  # the last block number sent or stored, by incarnation

    @property
    def window_bytes_left(self) -> int:
        """Bytes of further blocks that may be sent now; 0 if not streaming."""
        return (
            max(self._plan.window_bytes - self._unsettled_bytes, 0) if self.link is LinkState.STREAMING else 0
        )

    @property
    def wake_at(self) -> float:
        """Time at which `TimerFired` is due; 0 if none is."""
        return self._wake_at_s

    def step(self, now: float, event: Event) -> list[Effect]:
        """Handle one event; return the effects to apply, in order."""
        match event:
            case TimerFired():
                return self._handle_timer(now)
            case Connected() if self.link is LinkState.CONNECTING:
                self.link, self._wake_at_s = LinkState.GREETING, now + self._plan.answer_timeout_s
                return [Greet()]
            case ConnectionLost(reason) if self.link is not LinkState.BACKING_OFF:
                return [Counted("broken", reason), *self._back_off(now)]
            case RejectedByCollector(fault, detail) if self.link is not LinkState.BACKING_OFF:
                effects = [Counted(f"refused_{fault}", detail), Disconnect(), *self._back_off(now)]
                self._wake_at_s = max(
                    self._wake_at_s, now + min(REJECTED_BACKOFF_S, self._plan.max_backoff_s)
                )
                return effects
            case WelcomeReceived(version, have) if self.link is LinkState.GREETING:
                return self._handle_welcome(now, version, have)
            case BlocksAcknowledged(incarnation, number) if self.link is LinkState.STREAMING:
                return self._handle_acknowledgement(now, incarnation, number)
            case BlocksOffered(blocks) if self.link is LinkState.STREAMING:
                return self._send_blocks(now, blocks)
        return []

    def _handle_timer(self, now: float) -> list[Effect]:
        if now < self._wake_at_s or (self.link is LinkState.STREAMING and not self.unsettled):
            return []
        if self.link is LinkState.BACKING_OFF:
            self.link, self._wake_at_s = LinkState.CONNECTING, now + self._plan.answer_timeout_s
            return [Connect()]
        return [Counted("silent", self.link.value), Disconnect(), *self._back_off(now)]

    def _back_off(self, now: float) -> list[Effect]:
        """Back off, doubling the time at each failure and adding jitter.

        The jitter keeps all servers from connecting at the same moment after an outage of the collector.
        """
        self.link = LinkState.BACKING_OFF
        self._wake_at_s = now + self._backoff_s * (0.5 + self._chance())
        self._backoff_s = min(2 * self._backoff_s, self._plan.max_backoff_s)
        return []

    def _reject_claim(self, now: float, detail: str) -> list[Effect]:
        """Disconnect from a collector that claims blocks it can't have, and retry much later.

        No block is discarded because of the claim.
        """
        effects = [Counted("claims_unsent", detail), Disconnect(), *self._back_off(now)]
        self._wake_at_s = max(self._wake_at_s, now + min(REJECTED_BACKOFF_S, self._plan.max_backoff_s))
        return effects

    def _handle_welcome(
        self, now: float, version: int, have: Mapping[bytes, tuple[int, bytes]]
    ) -> list[Effect]:
        if version != VERSION:
            return [Counted("version", f"{version}"), Disconnect(), *self._back_off(now)]
        for block in self.unsettled:
            number, journal_digest = have.get(block.incarnation, (0, b""))
            if number == block.number and journal_digest != block.digest:
                return self._reject_claim(now, f"block {number} with another digest")
        for incarnation, (number, _) in have.items():
            if incarnation in self._last_numbers and number > self._last_numbers[incarnation]:
                return self._reject_claim(
                    now, f"block {number}, but {self._last_numbers[incarnation]} was the last one sent"
                )
        effects: list[Effect] = []
        while (
            self.unsettled
            and self.unsettled[0].number <= have.get(self.unsettled[0].incarnation, (0, b""))[0]
        ):
            effects.append(self._settle())
        # The remaining blocks are sent again, as the same bytes, from the first one that the collector lacks.
        # That may be one that it acknowledged earlier, if it was restored from a backup.
        self.unsettled.clear()
        self._unsettled_bytes = 0
        self.link, self._wake_at_s, self._backoff_s = LinkState.STREAMING, 0.0, self._plan.initial_backoff_s
        return [*effects, RewindTo(have)]

    def _handle_acknowledgement(self, now: float, incarnation: bytes, number: int) -> list[Effect]:
        if number > self._last_numbers.get(incarnation, 0):
            return self._reject_claim(
                now, f"block {number}, but {self._last_numbers.get(incarnation, 0)} was the last one sent"
            )
        effects: list[Effect] = []
        index = next(
            (
                index
                for index, block in enumerate(self.unsettled)
                if block.incarnation == incarnation and block.number == number
            ),
            -1,
        )
        for _ in range(index + 1):  # blocks are applied in the order in which they were sent
            effects.append(self._settle())
        self._wake_at_s = now + self._plan.answer_timeout_s if self.unsettled else 0.0
        return effects

    def _settle(self) -> BlockSettled:
        block = self.unsettled.popleft()
        self._unsettled_bytes -= len(block.data)
        return BlockSettled(block)

    def _send_blocks(self, now: float, blocks: tuple[SealedBlock, ...]) -> list[Effect]:
        effects: list[Effect] = []
        for block in blocks:
            self._last_numbers[block.incarnation] = max(
                self._last_numbers.get(block.incarnation, 0), block.number
            )
            self.unsettled.append(block)
            self._unsettled_bytes += len(block.data)
            effects.append(Send(block))
        if blocks and not self._wake_at_s:
            self._wake_at_s = now + self._plan.answer_timeout_s
        return effects

    def note_existing_blocks(self, incarnation: bytes, number: int) -> None:
        """Record that an incarnation has blocks up to `number`; the collector can't have later ones."""
        self._last_numbers[incarnation] = max(self._last_numbers.get(incarnation, 0), number)

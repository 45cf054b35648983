"""The exporter's side of the export as a state machine: one step takes an event, gives effects. Pure.

Blocks go out in the order of the log. Those sent and not yet acknowledged are kept as the bytes they are and
go out again, the same, after any break. The collector says at each start what it has; that alone decides
what is sent next. Whatever it claims to have that was never sent to it, it is not believed.
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
REJECTED_BACKOFF_S = 60.0  # after a rejection, which no hurry will mend


class Link(Enum):
    """Where the exporter stands."""

    RESTING = "resting"
    CONNECTING = "connecting"
    GREETING = "greeting"
    STREAMING = "streaming"


@dataclass(frozen=True)
class Connected:
    """The connection stands."""


@dataclass(frozen=True)
class ConnectionLost:
    """There is none, or none any more."""

    reason: str


@dataclass(frozen=True)
class WelcomeReceived:
    """What the collector has of this server: by incarnation, its last block's number and digest."""

    version: int
    have: Mapping[bytes, tuple[int, bytes]]


@dataclass(frozen=True)
class BlocksAcknowledged:
    """This block of an incarnation and all before it are in the journal."""

    incarnation: bytes
    number: int


@dataclass(frozen=True)
class RejectedByCollector:
    """The collector rejects, by name."""

    fault: str
    detail: str


@dataclass(frozen=True)
class BlocksOffered:
    """Blocks that are next in the log, in order."""

    blocks: tuple[SealedBlock, ...]


@dataclass(frozen=True)
class TimerFired:
    """Time has passed."""


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
    """Try to connect."""


@dataclass(frozen=True)
class Greet:
    """Send the greeting."""


@dataclass(frozen=True)
class Send:
    """Send this block."""

    block: SealedBlock


@dataclass(frozen=True)
class TellLost:
    """Tell the collector that blocks through this one of an incarnation can't come any more."""

    incarnation: bytes
    through: int
    reason: str


@dataclass(frozen=True)
class RewindTo:
    """Go back in the log: the first block that the collector lacks is the next to be offered."""

    have: Mapping[bytes, tuple[int, bytes]]


@dataclass(frozen=True)
class BlockSettled:
    """This block will never be asked for again, but by a collector that was restored."""

    block: SealedBlock


@dataclass(frozen=True)
class Disconnect:
    """Close the connection."""


@dataclass(frozen=True)
class Counted:
    """For log and counters: a name, and what there is to say."""

    name: str
    detail: str = ""


Effect: TypeAlias = Connect | Greet | Send | TellLost | RewindTo | BlockSettled | Disconnect | Counted


class ExportState:
    """One server's export. `chance()` gives 0 to 1, for the jitter of its rests.

    Invariant: `unsettled` are blocks sent at least once and not known to be in the journal, in the log's
    order and at most `window_bytes` of them but for one; no block is offered to it twice between two rewinds.
    """

    def __init__(self, plan: ExportPlan, chance: Callable[[], float]) -> None:
        self._plan, self._chance = plan, chance
        self.link = Link.RESTING
        self.unsettled: deque[SealedBlock] = deque()
        self._bytes = 0
        self._backoff_s = plan.initial_backoff_s
        self._wake_at_s = 0.0  # when a rest, or the patience for an answer, is over
        self._sent: dict[
            bytes, int
        ] = {}  # by incarnation: the last number ever sent, or said to be had at a start

    @property
    def wants(self) -> int:
        """How many bytes of further blocks it would send now."""
        return max(self._plan.window_bytes - self._bytes, 0) if self.link is Link.STREAMING else 0

    @property
    def wake_at(self) -> float:
        """When a tick is due; 0: none is."""
        return self._wake_at_s

    def step(self, now: float, event: Event) -> list[Effect]:
        """Take one event; return what is to be done, in order."""
        match event:
            case TimerFired():
                return self._tick(now)
            case Connected() if self.link is Link.CONNECTING:
                self.link, self._wake_at_s = Link.GREETING, now + self._plan.answer_timeout_s
                return [Greet()]
            case ConnectionLost(reason) if self.link is not Link.RESTING:
                return [Counted("broken", reason), *self._give_up(now)]
            case RejectedByCollector(fault, detail) if self.link is not Link.RESTING:
                effects = [Counted(f"refused_{fault}", detail), Disconnect(), *self._give_up(now)]
                self._wake_at_s = max(
                    self._wake_at_s, now + min(REJECTED_BACKOFF_S, self._plan.max_backoff_s)
                )
                return effects
            case WelcomeReceived(version, have) if self.link is Link.GREETING:
                return self._welcomed(now, version, have)
            case BlocksAcknowledged(incarnation, number) if self.link is Link.STREAMING:
                return self._confirmed(now, incarnation, number)
            case BlocksOffered(blocks) if self.link is Link.STREAMING:
                return self._offered(now, blocks)
        return []

    def _tick(self, now: float) -> list[Effect]:
        if now < self._wake_at_s or (self.link is Link.STREAMING and not self.unsettled):
            return []
        if self.link is Link.RESTING:
            self.link, self._wake_at_s = Link.CONNECTING, now + self._plan.answer_timeout_s
            return [Connect()]
        return [Counted("silent", self.link.value), Disconnect(), *self._give_up(now)]

    def _give_up(self, now: float) -> list[Effect]:
        """Back off, each time twice as long and with jitter.

        A collector that comes back after an outage must not meet all servers at one moment.
        """
        self.link = Link.RESTING
        self._wake_at_s = now + self._backoff_s * (0.5 + self._chance())
        self._backoff_s = min(2 * self._backoff_s, self._plan.max_backoff_s)
        return []

    def _distrust(self, now: float, detail: str) -> list[Effect]:
        """Disconnect from a collector that claims what it can't have, and retry much later.

        Nothing is discarded on its claim.
        """
        effects = [Counted("claims_unsent", detail), Disconnect(), *self._give_up(now)]
        self._wake_at_s = max(self._wake_at_s, now + min(REJECTED_BACKOFF_S, self._plan.max_backoff_s))
        return effects

    def _welcomed(self, now: float, version: int, have: Mapping[bytes, tuple[int, bytes]]) -> list[Effect]:
        if version != VERSION:
            return [Counted("version", f"{version}"), Disconnect(), *self._give_up(now)]
        for block in self.unsettled:
            number, known = have.get(block.incarnation, (0, b""))
            if number == block.number and known != block.digest:
                return self._distrust(now, f"block {number} with another digest")
        for incarnation, (number, _) in have.items():
            if incarnation in self._sent and number > self._sent[incarnation]:
                return self._distrust(now, f"block {number}, {self._sent[incarnation]} was the last sent")
        effects: list[Effect] = []
        while (
            self.unsettled
            and self.unsettled[0].number <= have.get(self.unsettled[0].incarnation, (0, b""))[0]
        ):
            effects.append(self._settle())
        # The rest is offered anew, the same bytes, from where the collector says it is: also further back
        # than what it confirmed once, if it was restored from a copy.
        self.unsettled.clear()
        self._bytes = 0
        self.link, self._wake_at_s, self._backoff_s = Link.STREAMING, 0.0, self._plan.initial_backoff_s
        return [*effects, RewindTo(have)]

    def _confirmed(self, now: float, incarnation: bytes, number: int) -> list[Effect]:
        if number > self._sent.get(incarnation, 0):
            return self._distrust(now, f"block {number}, {self._sent.get(incarnation, 0)} was the last sent")
        effects: list[Effect] = []
        place = next(
            (
                place
                for place, one in enumerate(self.unsettled)
                if one.incarnation == incarnation and one.number == number
            ),
            -1,
        )
        for _ in range(place + 1):  # they are applied in the order in which they were sent
            effects.append(self._settle())
        self._wake_at_s = now + self._plan.answer_timeout_s if self.unsettled else 0.0
        return effects

    def _settle(self) -> BlockSettled:
        block = self.unsettled.popleft()
        self._bytes -= len(block.data)
        return BlockSettled(block)

    def _offered(self, now: float, blocks: tuple[SealedBlock, ...]) -> list[Effect]:
        effects: list[Effect] = []
        for block in blocks:
            self._sent[block.incarnation] = max(self._sent.get(block.incarnation, 0), block.number)
            self.unsettled.append(block)
            self._bytes += len(block.data)
            effects.append(Send(block))
        if blocks and not self._wake_at_s:
            self._wake_at_s = now + self._plan.answer_timeout_s
        return effects

    def known(self, incarnation: bytes, number: int) -> None:
        """This many blocks of an incarnation exist here: the collector may have that many, and no more."""
        self._sent[incarnation] = max(self._sent.get(incarnation, 0), number)

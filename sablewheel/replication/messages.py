"""What replicas say to each other, and what goes into and comes out of one, as plain values.

Spans in messages are what is left, in seconds: no member's clock is another's.
"""

from __future__ import annotations

from dataclasses import dataclass

from .entries import EMPTY, Ballot, Entry
from .placement import Sites

Key = tuple[str, bytes]  # collection, key


@dataclass(frozen=True, slots=True)
class Prepare:
    epoch: int
    ref: int
    key: Key
    slot: int
    ballot: Ballot
    left: float
    group: bytes = b""
    under: int = 0  # the number of the session's binding that the claim goes by


@dataclass(frozen=True, slots=True)
class Promise:
    epoch: int
    ref: int
    ballot: Ballot
    entry: Entry


@dataclass(frozen=True, slots=True)
class Accept:
    """The holder that takes it promises the next round to the same proposer, who then needs one trip."""

    epoch: int
    ref: int
    key: Key
    slot: int
    entry: Entry
    left: float
    group: bytes = b""
    under: int = 0


@dataclass(frozen=True, slots=True)
class Accepted:
    epoch: int
    ref: int
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Refuse:
    """`why`: ballot (`ballot` is the promised, `entry` what is held), unready, full, fenced, epoch (`epoch`
    is the holder's).
    """

    epoch: int
    ref: int
    why: str
    ballot: Ballot
    asked: Ballot  # what was refused
    entry: Entry = EMPTY


@dataclass(frozen=True, slots=True)
class Push:
    """An entry that stands already, to be merged: an outcome."""

    epoch: int
    ref: int
    key: Key
    slot: int
    entry: Entry
    left: float


@dataclass(frozen=True, slots=True)
class Pushed:
    epoch: int
    ref: int


@dataclass(frozen=True, slots=True)
class Fetch:
    epoch: int
    ref: int
    key: Key
    slot: int


@dataclass(frozen=True, slots=True)
class Fetched:
    epoch: int
    ref: int
    entry: Entry


@dataclass(frozen=True, slots=True)
class AskPast:
    """For views older than `before`."""

    epoch: int
    before: int


@dataclass(frozen=True, slots=True)
class Past:
    epoch: int
    birth: int
    before: int
    views: tuple[tuple[int, Sites], ...]


@dataclass(frozen=True, slots=True)
class Ask:
    """What do you hold of these ranges? Each with the asker's digest."""

    epoch: int
    ranges: tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class Told:
    """Of each range: the last epoch at which the teller was ready (0: never), whether digests agree."""

    epoch: int
    birth: int
    ranges: tuple[tuple[int, int, bool], ...]


@dataclass(frozen=True, slots=True)
class Pull:
    epoch: int
    slot: int
    after: Key


@dataclass(frozen=True, slots=True)
class Piece:
    """Entries of a range in the keys' order, with what is left of their lives; `last` ends it."""

    epoch: int
    birth: int
    slot: int
    ready: int
    entries: tuple[tuple[Key, Entry, float], ...]
    last: bool


Message = (
    Prepare
    | Promise
    | Accept
    | Accepted
    | Refuse
    | Push
    | Pushed
    | Fetch
    | Fetched
    | AskPast
    | Past
    | Ask
    | Told
    | Pull
    | Piece
)


# -- events


@dataclass(frozen=True, slots=True)
class Got:
    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class Viewed:
    """The view that this member holds now; `gone`: incarnations that the fleet agreed never come back."""

    epoch: int
    sites: Sites
    gone: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, slots=True)
class Claim:
    """Before a keyed run: `life` seconds from now no other may run it."""

    ref: int
    key: bytes
    group: bytes
    life: float
    digest: bytes
    under: int = 0


@dataclass(frozen=True, slots=True)
class Finish:
    """A won claim's run is over: `how` is worked or failed."""

    key: bytes
    how: str
    result: bytes


@dataclass(frozen=True, slots=True)
class Free:
    """A won claim will not be run."""

    key: bytes


@dataclass(frozen=True, slots=True)
class Write:
    ref: int
    collection: str
    key: bytes
    expect: int
    value: bytes
    life: float
    floor: int = 0  # its number then is that at least


@dataclass(frozen=True, slots=True)
class Read:
    ref: int
    collection: str
    key: bytes
    group: bytes = b""  # an idempotency key's; of a binding its key is the group


@dataclass(frozen=True, slots=True)
class Tick:
    pass


Event = Got | Viewed | Claim | Finish | Free | Write | Read | Tick


# -- effects


@dataclass(frozen=True, slots=True)
class Send:
    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class Answer:
    """won, known, running, unreachable, full, fenced; of a write also stale and busy; of a read also read."""

    ref: int
    verdict: str
    entry: Entry


@dataclass(frozen=True, slots=True)
class Stored:
    """The outcome of this idempotency key is on a majority of its holders."""

    key: bytes


@dataclass(frozen=True, slots=True)
class Note:
    what: str
    fields: dict[str, object]


Effect = Send | Answer | Stored | Note

"""What servers have or have not: the features that a policy may name, and what one server can run of them.

Pure. A feature's needs, conflicts and costs stand here once; the translation, its check and the document's
reader all go by them. `Ability` is one server's part: from its settings and its start-up checks, told to the
others with membership as canonical JSON. Figures are rounded down to steps, so that servers of one kind are
one class and none claims more than it has.
"""

from __future__ import annotations

import hashlib
import json
import os
from collections.abc import Mapping
from dataclasses import asdict, dataclass
from functools import cached_property
from pathlib import Path
from types import MappingProxyType

from ..overload.interface import Cancellation, ServerSettings

SAID_MOST = 200  # bytes: the bound of a value in `Member.metadata`
MEMORY_PART = 2  # features may take one part in so many of the program's memory
CORES_PART = 4  # and of its cores
DESCRIPTORS_PART = 4
LINKS, DISK, DROPS, PAUSES, GONE, WAITS, CUSTOMERS, LABELS = (
    "links",
    "disk",
    "drops",
    "pauses",
    "gone",
    "waits",
    "customers",
    "labels",
)
TRAITS = (LINKS, DISK, DROPS, PAUSES, GONE, WAITS, CUSTOMERS, LABELS)  # bits, in this order: append only


class AbilityError(ValueError):
    """No ability; the text names the field."""


@dataclass(frozen=True)
class Parameter:
    """A whole number of a feature; each unit above `least` costs. A larger value serves a smaller demand."""

    name: str
    least: int
    most: int
    memory: int = 0  # bytes a unit
    millicores: int = 0
    descriptors: int = 0


@dataclass(frozen=True)
class Feature:
    """`code` is its bit in what members say and never another's; `traits` are what a server must have."""

    name: str
    code: int
    says: str
    traits: tuple[str, ...] = ()
    needs: tuple[str, ...] = ()
    conflicts: tuple[str, ...] = ()
    memory: int = 0  # bytes, at the least of its parameters
    millicores: int = 0
    descriptors: int = 0
    parameters: tuple[Parameter, ...] = ()

    def parameter(self, name: str) -> Parameter | None:
        return next((one for one in self.parameters if one.name == name), None)

    def cost(self, values: Mapping[str, int]) -> tuple[int, int, int]:
        """Bytes, millicores and descriptors with these values; one that is absent stands at its least."""
        total = [self.memory, self.millicores, self.descriptors]
        for one in self.parameters:
            units = max(values.get(one.name, one.least) - one.least, 0)
            for place, each in enumerate((one.memory, one.millicores, one.descriptors)):
                total[place] += units * each
        return total[0], total[1], total[2]


Catalogue = Mapping[str, Feature]
MB = 1 << 20

# What servers of this build have, from interface.Machine and the features file. Costs are upper bounds by the
# features' own bounds, not measurements: a label is 320 bytes with its entry, a session 256.
CATALOGUE: Catalogue = MappingProxyType(
    {
        one.name: one
        for one in (
            Feature(
                "forward-near",
                0,
                "tickets passed on within the zone",
                (LINKS,),
                memory=2 * MB,
                millicores=20,
                descriptors=8,
                parameters=(Parameter("peers", 1, 1024, memory=64 << 10, descriptors=1),),
            ),
            Feature(
                "forward-far",
                1,
                "tickets passed on to other zones",
                (LINKS,),
                ("forward-near",),
                memory=2 * MB,
                millicores=20,
                descriptors=8,
            ),
            Feature(
                "replicated-labels",
                2,
                "one run a label over the whole fleet",
                (LINKS, LABELS),
                memory=4 * MB,
                millicores=50,
                descriptors=4,
                parameters=(
                    Parameter("copies", 1, 7, millicores=20, descriptors=1),
                    Parameter("entries", 1000, 2_000_000, memory=320),
                ),
            ),
            Feature(
                "durable-recall",
                3,
                "labelled runs remembered over restarts",
                (DISK, LABELS),
                memory=4 * MB,
                millicores=50,
                descriptors=8,
                parameters=(Parameter("entries", 1000, 2_000_000, memory=320),),
            ),
            Feature(
                "sessions",
                4,
                "who serves a session stays the same",
                (LINKS,),
                ("forward-near",),
                memory=2 * MB,
                millicores=20,
                parameters=(Parameter("most", 100, 1_000_000, memory=256),),
            ),
            Feature(
                "stop-runs",
                5,
                "running work is stopped and its work is lost",
                (DROPS,),
                conflicts=("pause-runs",),
                millicores=5,
            ),
            Feature(
                "pause-runs",
                6,
                "running work is paused and taken up again",
                (PAUSES,),
                conflicts=("stop-runs",),
                millicores=5,
            ),
            Feature("callers-gone", 7, "work that nobody waits for any more is ended", (GONE,), millicores=5),
            Feature("told-waits", 8, "order by how long callers still wait", (WAITS,), millicores=5),
            Feature(
                "customer-quotas",
                9,
                "customers are held to their quotas",
                (CUSTOMERS,),
                millicores=10,
                parameters=(Parameter("percent", 1, 100),),
            ),
            Feature(
                "kept-results",
                10,
                "a read's result is shared for a while",
                memory=1 * MB,
                millicores=5,
                parameters=(Parameter("seconds", 1, 3600, memory=64 << 10),),
            ),
            Feature("cost-hints", 11, "goals stretch with what callers say of the work", millicores=5),
            Feature("rank-order", 12, "order by the callers' rank", millicores=5),
        )
    }
)
# Features of a server's program that need a section of the features file.
SECTIONS = {"replicated-labels": "replication", "sessions": "affinity", "durable-recall": "recall"}
# The controller knows no rank (`class_rank` is read and not used), so no server of this build has it.
UNKNOWN_HERE = frozenset({"rank-order"})


def down(value: float) -> int:
    """The largest step not above `value`: four steps an octave."""
    whole = int(value)
    if whole < 8:
        return max(whole, 0)
    step = 1 << (whole.bit_length() - 3)
    return whole - whole % step


@dataclass(frozen=True, order=True)
class Ability:
    """What one server can do. `speed`: thousandths of the reference core; memory in kB; `codes`, `traits`:
    bits by `Feature.code` and place in TRAITS; warm-up in seconds. All rounded: equal ones are one class.
    """

    cores: int
    speed: int = 1000
    memory: int = 0
    descriptors: int = 0
    traits: int = 0
    codes: int = 0
    warm: int = 0

    def __post_init__(self) -> None:
        for name, value in asdict(self).items():
            if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < 1 << 50:
                raise AbilityError(f"{name}: a whole number from 0 is wanted, got {value!r:.40}")

    @cached_property
    def said(self) -> str:
        """Canonical JSON, at most SAID_MOST bytes; what the view carries, and the class's name."""
        text = json.dumps(
            {key: value for key, value in asdict(self).items() if value},
            sort_keys=True,
            separators=(",", ":"),
        )
        if len(text) > SAID_MOST:
            raise AbilityError(f"an ability of {len(text)} bytes, over {SAID_MOST}")
        return text

    @cached_property
    def key(self) -> str:
        """A short name of the class, for logs and people."""
        return hashlib.blake2b(self.said.encode(), digest_size=4).hexdigest()

    @property
    def capacity(self) -> float:
        """Reference cores' worth of work."""
        return self.cores * self.speed / 1000

    @property
    def room(self) -> tuple[int, int, int]:
        """Bytes, millicores and descriptors that features may take."""
        return (
            self.memory * 1024 // MEMORY_PART,
            int(self.capacity * 1000) // CORES_PART,
            self.descriptors // DESCRIPTORS_PART,
        )

    def has(self, trait: str) -> bool:
        return bool(self.traits >> TRAITS.index(trait) & 1)

    def lacks(self, feature: Feature) -> str:
        """Why this server can't have a feature at all; empty if it can."""
        if not self.codes >> feature.code & 1:
            return "its build does not know it"
        missing = [one for one in feature.traits if not self.has(one)]
        return f"it has no {', '.join(missing)}" if missing else ""


def read(text: str) -> Ability:
    """What a member says; raises `AbilityError`. Keys of newer builds are no part of what we compare."""
    if len(text) > SAID_MOST:
        raise AbilityError(f"an ability of {len(text)} bytes, over {SAID_MOST}")
    try:
        told = json.loads(text)
    except ValueError:
        raise AbilityError(f"not JSON: {text!r:.40}") from None
    if not isinstance(told, dict):
        raise AbilityError(f"an object is wanted, got {text!r:.40}")
    known = {key: value for key, value in told.items() if key in Ability.__dataclass_fields__}
    if "cores" not in known:
        raise AbilityError("cores: missing")
    return Ability(**known)


@dataclass(frozen=True)
class StartUp:
    """What the start-up checks and the rest of the program say: bytes of the program's memory, descriptors
    for routers' connections, whether there is a lasting disk and links to peers, speed against the reference
    core, and features that this server does not run."""

    memory_bytes: int
    descriptors: int
    disk: bool = False
    links: bool = False
    speed: float = 1.0
    without: frozenset[str] = UNKNOWN_HERE
    hears_gone: bool = True


def lasting(folder: Path) -> bool:
    """Whether a folder, or the nearest one above it that is there, can be written to."""
    while not folder.exists() and folder != folder.parent:
        folder = folder.parent
    return os.access(folder, os.W_OK)


def of(machine: ServerSettings, start: StartUp, catalogue: Catalogue = CATALOGUE) -> Ability:
    """The ability of a server with these settings."""
    without = set(start.without)
    if not machine.coalesce_reads_for_s:
        without.add("kept-results")
    if not any(one.objective_s_per_hint for one in machine.request_classes):
        without.add("cost-hints")
    has = {
        LINKS: start.links,
        DISK: start.disk,
        DROPS: machine.cancellation is Cancellation.DISCARDS_WORK,
        PAUSES: machine.cancellation is Cancellation.SUSPENDS,
        GONE: start.hears_gone,
        WAITS: machine.deadline_propagated,
        CUSTOMERS: any(one.quota_per_s > 0 for one in machine.tenants),
        LABELS: any(one.idempotency_window_s > 0 for one in machine.request_classes),
    }
    return Ability(
        cores=machine.cores,
        speed=down(start.speed * 1000),
        memory=down(start.memory_bytes / 1024),
        descriptors=down(start.descriptors),
        traits=sum(1 << place for place, one in enumerate(TRAITS) if has[one]),
        codes=sum(1 << one.code for one in catalogue.values() if one.name not in without),
        warm=down(machine.warm_up_s),
    )

"""The features that a policy may name, and the capabilities of a server that decide which of them it can run.

Pure. A feature's needs, conflicts and costs are defined here only; the translation, its verification and the
document's reader all use them. `HostCapabilities` describes one server, by its settings and its start-up
checks, and is sent to the other members with membership as canonical JSON. Figures are rounded down to steps,
so that similar servers are of one class and none claims more than it has.
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

MAX_METADATA_VALUE_BYTES = 200  # membership's limit on a value of a member's metadata
MEMORY_DIVISOR = 2  # features may take 1/2 of the program's memory
CORES_DIVISOR = 4  # and 1/4 of its cores
DESCRIPTORS_DIVISOR = 4  # and 1/4 of its file descriptors
LINKS, DISK, DISCARDS_WORK, SUSPENDS_WORK, DISCONNECTS, DEADLINES, TENANT_QUOTAS, IDEMPOTENCY_KEYS = (
    "links",
    "disk",
    "drops",
    "pauses",
    "gone",
    "waits",
    "customers",
    "labels",
)
TRAITS = (
    LINKS,
    DISK,
    DISCARDS_WORK,
    SUSPENDS_WORK,
    DISCONNECTS,
    DEADLINES,
    TENANT_QUOTAS,
    IDEMPOTENCY_KEYS,
)  # the index is the bit in `HostCapabilities.traits`: append only


class HostCapabilitiesError(ValueError):
    """A text or value that is not valid host capabilities; the text names the invalid field."""


@dataclass(frozen=True)
class Parameter:
    """An integer parameter of a feature.

    Each unit above `minimum` costs `memory` bytes, `millicores` and `descriptors`. A plan with a larger value
    also satisfies a flow that requires a smaller one.
    """

    name: str
    minimum: int
    maximum: int
    memory: int = 0  # bytes per unit
    millicores: int = 0
    descriptors: int = 0


@dataclass(frozen=True)
class Feature:
    """A feature that policies may name.

    `code` is its bit in `HostCapabilities.codes` and must never be reused for another feature. `traits` are
    those that a server must have, `needs` the features that must be enabled with it, and `conflicts` those
    that must not.
    """

    name: str
    code: int
    description: str
    traits: tuple[str, ...] = ()
    needs: tuple[str, ...] = ()
    conflicts: tuple[str, ...] = ()
    memory: int = 0  # bytes, with all parameters at their minimum values
    millicores: int = 0
    descriptors: int = 0
    parameters: tuple[Parameter, ...] = ()

    def parameter(self, name: str) -> Parameter | None:
        """Return the parameter with a name; None if there is none."""
        return next((parameter for parameter in self.parameters if parameter.name == name), None)

    def cost(self, values: Mapping[str, int]) -> tuple[int, int, int]:
        """Return the bytes, millicores and descriptors at these values; absent ones are at their minimum."""
        total = [self.memory, self.millicores, self.descriptors]
        for parameter in self.parameters:
            units = max(values.get(parameter.name, parameter.minimum) - parameter.minimum, 0)
            for index, unit_cost in enumerate(
                (parameter.memory, parameter.millicores, parameter.descriptors)
            ):
                total[index] += units * unit_cost
        return total[0], total[1], total[2]


Catalogue = Mapping[str, Feature]
MB = 1 << 20

# The features of this build, from ServerSettings and the features file. Costs are upper bounds derived from
# the features' own limits: an idempotency key takes 320 bytes with its entry, a session 256.
CATALOGUE: Catalogue = MappingProxyType(
    {
        feature.name: feature
        for feature in (
            Feature(
                "forward-near",
                0,
                "requests forwarded within the zone",
                (LINKS,),
                memory=2 * MB,
                millicores=20,
                descriptors=8,
                parameters=(Parameter("peers", 1, 1024, memory=64 << 10, descriptors=1),),
            ),
            Feature(
                "forward-far",
                1,
                "requests forwarded to other zones",
                (LINKS,),
                ("forward-near",),
                memory=2 * MB,
                millicores=20,
                descriptors=8,
            ),
            Feature(
                "replicated-labels",
                2,
                "one run per idempotency key in the whole fleet",
                (LINKS, IDEMPOTENCY_KEYS),
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
                "results of keyed requests kept across restarts",
                (DISK, IDEMPOTENCY_KEYS),
                memory=4 * MB,
                millicores=50,
                descriptors=8,
                parameters=(Parameter("entries", 1000, 2_000_000, memory=320),),
            ),
            Feature(
                "sessions",
                4,
                "all requests of a session served by one member",
                (LINKS,),
                ("forward-near",),
                memory=2 * MB,
                millicores=20,
                parameters=(Parameter("most", 100, 1_000_000, memory=256),),
            ),
            Feature(
                "stop-runs",
                5,
                "running requests cancelled, with their progress lost",
                (DISCARDS_WORK,),
                conflicts=("pause-runs",),
                millicores=5,
            ),
            Feature(
                "pause-runs",
                6,
                "running requests suspended and resumed",
                (SUSPENDS_WORK,),
                conflicts=("stop-runs",),
                millicores=5,
            ),
            Feature(
                "callers-gone", 7, "requests of disconnected clients cancelled", (DISCONNECTS,), millicores=5
            ),
            Feature(
                "told-waits",
                8,
                "queue ordered by the deadlines that callers send",
                (DEADLINES,),
                millicores=5,
            ),
            Feature(
                "customer-quotas",
                9,
                "tenants limited to their quotas",
                (TENANT_QUOTAS,),
                millicores=10,
                parameters=(Parameter("percent", 1, 100),),
            ),
            Feature(
                "kept-results",
                10,
                "results of reads shared with later requests for a limited time",
                memory=1 * MB,
                millicores=5,
                parameters=(Parameter("seconds", 1, 3600, memory=64 << 10),),
            ),
            Feature("cost-hints", 11, "latency objectives scaled by the callers' cost hints", millicores=5),
            Feature("rank-order", 12, "queue ordered by the callers' rank", millicores=5),
        )
    }
)
# The section of the features file without which a feature is disabled.
SECTIONS = {"replicated-labels": "replication", "sessions": "affinity", "durable-recall": "recall"}
# The controller does not support ranks (`class_rank` is read, but not used), so no server of this build can
# run rank-order.
UNSUPPORTED_FEATURES = frozenset({"rank-order"})


def round_down_to_step(value: float) -> int:
    """Return the largest step not above `value`; steps are 4 per power of two."""
    integer = int(value)
    if integer < 8:
        return max(integer, 0)
    step = 1 << (integer.bit_length() - 3)
    return integer - integer % step


@dataclass(frozen=True, order=True)
class HostCapabilities:
    """The capabilities of one server; servers with equal capabilities are one class of hosts.

    `speed` is in thousandths of the reference core, `memory` in kB, `warm` (the warm-up) in seconds;
    `codes` is a bit set by `Feature.code`, `traits` one by the index in TRAITS. All figures are rounded down
    to steps.
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
                raise HostCapabilitiesError(f"{name}: must be an integer of at least 0, got {value!r:.40}")

    @cached_property
    def text(self) -> str:
        """Canonical JSON, which members publish in their metadata and which identifies the class.

        Raises `HostCapabilitiesError` if it is over MAX_METADATA_VALUE_BYTES bytes.
        """
        text = json.dumps(
            {key: value for key, value in asdict(self).items() if value},
            sort_keys=True,
            separators=(",", ":"),
        )
        if len(text) > MAX_METADATA_VALUE_BYTES:
            raise HostCapabilitiesError(
                f"host capabilities of {len(text)} bytes, over {MAX_METADATA_VALUE_BYTES}"
            )
        return text

    @cached_property
    def key(self) -> str:
        """A short name of the class, for logs and error messages."""
        return hashlib.blake2b(self.text.encode(), digest_size=4).hexdigest()

    @property
    def capacity(self) -> float:
        """The processing capacity in reference cores."""
        return self.cores * self.speed / 1000

    @property
    def feature_budget(self) -> tuple[int, int, int]:
        """The bytes, millicores and descriptors that features may take."""
        return (
            self.memory * 1024 // MEMORY_DIVISOR,
            int(self.capacity * 1000) // CORES_DIVISOR,
            self.descriptors // DESCRIPTORS_DIVISOR,
        )

    def has(self, trait: str) -> bool:
        """Return whether the host has a trait."""
        return bool(self.traits >> TRAITS.index(trait) & 1)

    def unsupported_reason(self, feature: Feature) -> str:
        """Return why this server can't run a feature at all; empty if it can."""
        if not self.codes >> feature.code & 1:
            return "its build does not know it"
        missing = [trait for trait in feature.traits if not self.has(trait)]
        return f"it has no {', '.join(missing)}" if missing else ""


def read(text: str) -> HostCapabilities:
    """Return the capabilities in a member's metadata; raises `HostCapabilitiesError`.

    Unknown keys, which newer builds may send, are ignored.
    """
    if len(text) > MAX_METADATA_VALUE_BYTES:
        raise HostCapabilitiesError(
            f"host capabilities of {len(text)} bytes, over {MAX_METADATA_VALUE_BYTES}"
        )
    try:
        decoded = json.loads(text)
    except ValueError:
        raise HostCapabilitiesError(f"not JSON: {text!r:.40}") from None
    if not isinstance(decoded, dict):
        raise HostCapabilitiesError(f"must be a JSON object, got {text!r:.40}")
    known = {key: value for key, value in decoded.items() if key in HostCapabilities.__dataclass_fields__}
    if "cores" not in known:
        raise HostCapabilitiesError("cores: missing")
    return HostCapabilities(**known)


@dataclass(frozen=True)
class StartupChecks:
    """Results of the start-up checks and of the rest of the program's configuration.

    `memory_bytes` is the program's memory, `descriptors` the number of file descriptors for clients'
    connections, `disk` and `links` whether there are persistent storage and links to peers, `speed` the speed
    of one core relative to the reference core, `disabled_features` the features that this server does not
    run, and `detects_disconnects` whether disconnected clients are detected.
    """

    memory_bytes: int
    descriptors: int
    disk: bool = False
    links: bool = False
    speed: float = 1.0
    disabled_features: frozenset[str] = UNSUPPORTED_FEATURES
    detects_disconnects: bool = True


def is_writable(folder: Path) -> bool:
    """Return whether a folder, or its nearest existing parent, is writable."""
    while not folder.exists() and folder != folder.parent:
        folder = folder.parent
    return os.access(folder, os.W_OK)


def from_settings(
    server_settings: ServerSettings, startup: StartupChecks, catalogue: Catalogue = CATALOGUE
) -> HostCapabilities:
    """Return the host capabilities of a server with these settings."""
    disabled_features = set(startup.disabled_features)
    if not server_settings.coalesce_reads_for_s:
        disabled_features.add("kept-results")
    if not any(request_class.objective_s_per_hint for request_class in server_settings.request_classes):
        disabled_features.add("cost-hints")
    trait_present = {
        LINKS: startup.links,
        DISK: startup.disk,
        DISCARDS_WORK: server_settings.cancellation is Cancellation.DISCARDS_WORK,
        SUSPENDS_WORK: server_settings.cancellation is Cancellation.SUSPENDS,
        DISCONNECTS: startup.detects_disconnects,
        DEADLINES: server_settings.deadline_propagated,
        TENANT_QUOTAS: any(tenant.quota_per_s > 0 for tenant in server_settings.tenants),
        IDEMPOTENCY_KEYS: any(
            request_class.idempotency_window_s > 0 for request_class in server_settings.request_classes
        ),
    }
    return HostCapabilities(
        cores=server_settings.cores,
        speed=round_down_to_step(startup.speed * 1000),
        memory=round_down_to_step(startup.memory_bytes / 1024),
        descriptors=round_down_to_step(startup.descriptors),
        traits=sum(1 << index for index, trait in enumerate(TRAITS) if trait_present[trait]),
        codes=sum(
            1 << feature.code for feature in catalogue.values() if feature.name not in disabled_features
        ),
        warm=round_down_to_step(server_settings.warm_up_s),
    )

"""The features file: YAML, one schema, all faults told at once with line, key, what was found and what would
do.

Named by `--features FILE` or `SABLEWHEEL_FEATURES`. A section absent is a feature off. The same reader
serves the server, the collector and `sablewheel check`.
"""

from __future__ import annotations

import difflib
import ipaddress
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Annotated, Any, ClassVar, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    field_validator,
    model_validator,
)
from ruamel.yaml import YAML
from ruamel.yaml.comments import CommentedMap, CommentedSeq
from ruamel.yaml.error import MarkedYAMLError, YAMLError

from ..feature_policy.plan import PolicyPlan, Rules
from ..forwarding.plan import ConnectionSettings, ForwardingPlan, ForwardingSettings
from ..membership.plan import MembershipPlan, Settings
from ..replication.plan import ReplicationPlan
from ..replication.plan import Settings as ReplicaSettings
from ..result_store.plan import RecallPlan, Start, Unreadable
from ..session_affinity.plan import AffinityPlan
from ..session_affinity.plan import Settings as AffinitySettings
from ..usage_metering.periods import PeriodError, zone_of
from ..usage_metering.plan import Answers, Calendar, CollectorPlan, Depth, ExportPlan, LedgerPlan, Length

VERSION = 1
VARIABLE = "SABLEWHEEL_FEATURES"
APART = ("collector",)  # sections of programs of their own


@dataclass(frozen=True)
class Fault:
    """One fault: the line from 1 (0 if there is none), the key's path, and what to say."""

    line: int
    key: str
    says: str


class FaultyFeaturesError(ValueError):
    """The file can't be used; the text has a line for each fault."""

    def __init__(self, file: str, faults: list[Fault]) -> None:
        self.faults = faults
        super().__init__("\n".join(f"{file}:{one.line}: {one.key}: {one.says}" for one in faults))


@dataclass(frozen=True)
class Features:
    """What is switched on: the plan of each section that is there, under the section's name."""

    ledger: LedgerPlan | None = None
    recall: RecallPlan | None = None
    collector: CollectorPlan | None = None
    membership: MembershipPlan | None = None
    forwarding: ForwardingPlan | None = None
    policy: PolicyPlan | None = None
    replication: ReplicationPlan | None = None
    affinity: AffinityPlan | None = None

    @property
    def any(self) -> bool:
        """Whether anything is on that the server itself must do."""
        return any(self.plan(one.name) is not None for one in fields(self) if one.name not in APART)

    def plan(self, section: str) -> Any:
        """The section's plan; None if it is off."""
        return getattr(self, section)


def _address(text: str) -> str:
    host, colon, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        good = bool(colon) and port.isascii() and port.isdigit() and 0 < int(port) < 65536
    except ValueError:
        good = False
    if not good:
        raise ValueError("an IPv4 address and a port are wanted, as 127.0.0.1:7600")
    return text


def _zone(text: str) -> str:
    try:
        zone_of(text)
    except PeriodError:
        raise ValueError(
            "no such time zone; names are those of the IANA database, as America/Regina"
        ) from None
    return text


Address = Annotated[str, AfterValidator(_address)]
Seconds = Annotated[float, Field(ge=0, le=86400 * 31, allow_inf_nan=False)]
Some = Annotated[float, Field(gt=0, le=86400, allow_inf_nan=False)]


class Section(BaseModel):
    """Keys are written with hyphens; unknown ones are faults. `needs`: other sections that it can't be on
    without."""

    needs: ClassVar[tuple[str, ...]] = ()

    model_config = ConfigDict(
        extra="forbid", strict=True, frozen=True, alias_generator=lambda name: name.replace("_", "-")
    )


class PeriodSection(Section):
    """How use is divided into periods."""

    zone: Annotated[str, AfterValidator(_zone)] = "UTC"
    length: Literal["hour", "day", "month"] = "day"
    lag_s: Seconds = 3600.0

    def plan(self) -> Calendar:
        return Calendar(self.zone, Length(self.length), self.lag_s)


class ExportSection(Section):
    """Where entries go."""

    address: Address
    answer_within_s: Some = 5.0
    first_rest_s: Some = 0.2
    last_rest_s: Some = 30.0
    window_kb: Annotated[int, Field(ge=16, le=65536)] = 256

    @model_validator(mode="after")
    def _rests(self) -> ExportSection:
        if self.last_rest_s < self.first_rest_s:
            raise ValueError(
                f"last-rest-s {self.last_rest_s:g} is less than first-rest-s {self.first_rest_s:g}"
            )
        return self

    def plan(self) -> ExportPlan:
        host, _, port = self.address.rpartition(":")
        return ExportPlan(
            (host, int(port)),
            self.answer_within_s,
            self.first_rest_s,
            self.last_rest_s,
            self.window_kb * 1024,
        )


class LedgerSection(Section):
    """The usage ledger in the server."""

    depth: Literal["memory", "durable"]
    folder: str | None = None
    answers: Literal["after-entry", "before-entry"] = "after-entry"
    hold_most_s: Annotated[float, Field(gt=0, le=5)] = 0.25
    entries_most: Annotated[int, Field(ge=100, le=5_000_000)] = 20_000
    totals_most: Annotated[int, Field(ge=100, le=1_000_000)] = 5_000
    disk_mb: Annotated[int, Field(ge=1, le=1 << 20)] = 1024
    keep_mb: Annotated[int, Field(ge=0, le=1 << 20)] = 64
    commit_every_s: Annotated[float, Field(ge=0, le=1)] = 0.04
    block_every_s: Annotated[float, Field(ge=0.01, le=60)] = 0.25
    period: PeriodSection = PeriodSection()
    export: ExportSection | None = None

    @model_validator(mode="after")
    def _fits(self) -> LedgerSection:
        if self.depth == "durable" and not self.folder:
            raise ValueError("folder is needed with depth: durable, a place that outlives the process")
        if self.depth == "memory" and self.export is None:
            raise ValueError("export is needed with depth: memory, or nothing would ever leave the process")
        if self.depth == "durable" and self.commit_every_s >= self.hold_most_s:
            raise ValueError(
                f"commit-every-s {self.commit_every_s:g} must be less than hold-most-s {self.hold_most_s:g}"
            )
        if self.keep_mb >= self.disk_mb and self.depth == "durable":
            raise ValueError(f"keep-mb {self.keep_mb} leaves no room within disk-mb {self.disk_mb}")
        return self

    def plan(self) -> LedgerPlan:
        return LedgerPlan(
            depth=Depth(self.depth),
            folder=Path(self.folder) if self.folder else None,
            answers=Answers(self.answers),
            hold_most=self.hold_most_s,
            entries_most=self.entries_most,
            totals_most=self.totals_most,
            disk_bytes_most=self.disk_mb << 20,
            keep_bytes=self.keep_mb << 20,
            commit_every=self.commit_every_s,
            block_every=self.block_every_s,
            calendar=self.period.plan(),
            export=self.export.plan() if self.export is not None else None,
        )


class RecallSection(Section):
    """Labelled runs remembered over restarts."""

    folder: str | None = None
    cold: Literal["run", "early", "strict", "wait"] = "run"
    unreadable: Literal["refuse", "cold"] = "refuse"
    entries_most: Annotated[int, Field(ge=100, le=10_000_000)] = 200_000
    memory_mb: Annotated[int, Field(ge=1, le=1 << 16)] = 64
    disk_mb: Annotated[int, Field(ge=8, le=1 << 20)] = 512
    segment_kb: Annotated[int, Field(ge=64, le=1 << 20)] = 4096
    commit_every_s: Annotated[float, Field(ge=0, le=1)] = 0.04
    hold_most_s: Annotated[float, Field(gt=0, le=5)] = 0.25
    interpreter_outlives: bool = False

    @model_validator(mode="after")
    def _fits(self) -> RecallSection:
        if self.folder is None and self.cold == "run":
            raise ValueError(
                "without a folder and with cold: run there is nothing to remember and nothing to do"
            )
        if self.folder is not None and self.disk_mb * 1024 < 8 * self.segment_kb:
            raise ValueError(f"disk-mb {self.disk_mb} holds less than eight segments of {self.segment_kb} kB")
        return self

    def plan(self) -> RecallPlan:
        return RecallPlan(
            folder=Path(self.folder) if self.folder else None,
            cold=Start(self.cold),
            unreadable=Unreadable(self.unreadable),
            entries_most=self.entries_most,
            bytes_most=self.memory_mb << 20,
            disk_bytes_most=self.disk_mb << 20,
            segment_bytes=self.segment_kb << 10,
            commit_every=self.commit_every_s,
            hold_most=self.hold_most_s,
            interpreter_outlives=self.interpreter_outlives,
        )


def _place(text: str) -> str:
    if not text.isprintable() or len(text) > 64:
        raise ValueError("a name of at most 64 printable characters is wanted")
    return text


Place = Annotated[str, AfterValidator(_place)]


class MembershipSection(Section):
    """Who is alive in the fleet, agreed with the others."""

    listen: Address
    advertise: Address | None = None
    zone: Place = ""
    region: Place = ""
    seeds: Annotated[list[Address], Field(min_length=1, max_length=64)]
    period_s: Annotated[float, Field(ge=0.05, le=60)] = 0.5
    probe_timeout_s: Annotated[float, Field(ge=0.01, le=30)] = 0.2
    indirect: Annotated[int, Field(ge=0, le=16)] = 3
    observers: Annotated[int, Field(ge=1, le=32)] = 5
    high: Annotated[int, Field(ge=1, le=32)] = 3
    low: Annotated[int, Field(ge=1, le=32)] = 1
    suspicion_periods: Annotated[float, Field(ge=1, le=1000)] = 5.0
    suspicion_stretch: Annotated[float, Field(ge=1, le=100)] = 6.0
    confirmations: Annotated[int, Field(ge=0, le=32)] = 3
    health_most: Annotated[int, Field(ge=0, le=64)] = 8
    retransmit: Annotated[int, Field(ge=1, le=16)] = 3
    news_most: Annotated[int, Field(ge=1, le=256)] = 16
    sync_every_s: Annotated[float, Field(ge=0.1, le=3600)] = 5.0
    vote_timeout_s: Annotated[float, Field(ge=0.05, le=600)] = 2.0
    settle_s: Annotated[float, Field(ge=0, le=600)] = 3.0
    join_every_s: Annotated[float, Field(ge=0.05, le=600)] = 1.0
    found_after_s: Annotated[float, Field(ge=0, le=600)] = 3.0
    found_least: Annotated[int, Field(ge=1, le=100_000)] = 1

    @model_validator(mode="after")
    def _fits(self) -> MembershipSection:
        if self.probe_timeout_s > 0.5 * self.period_s:
            raise ValueError(
                f"probe-timeout-s {self.probe_timeout_s:g} must be at most half of "
                f"period-s {self.period_s:g}, so that indirect probes have the other half"
            )
        if self.high > self.observers:
            raise ValueError(f"high {self.high} is more than observers {self.observers}")
        if self.low > self.high:
            raise ValueError(f"low {self.low} is more than high {self.high}")
        if self.listen.startswith("0.0.0.0:") and self.advertise is None:
            raise ValueError("advertise is needed with listen on 0.0.0.0: others must know where to reach it")
        if len(set(self.seeds)) < len(self.seeds):
            raise ValueError("seeds: an address is there twice")
        return self

    def plan(self) -> MembershipPlan:
        host, _, port = self.listen.rpartition(":")
        settings = Settings(
            period_s=self.period_s,
            probe_timeout_s=self.probe_timeout_s,
            indirect_probes=self.indirect,
            observers=self.observers,
            high_watermark=self.high,
            low_watermark=self.low,
            min_suspicion_periods=self.suspicion_periods,
            max_suspicion_ratio=self.suspicion_stretch,
            confirmations=self.confirmations,
            max_health_score=self.health_most,
            retransmit_factor=self.retransmit,
            max_updates_per_message=self.news_most,
            sync_interval_s=self.sync_every_s,
            vote_timeout_s=self.vote_timeout_s,
            max_settle_s=self.settle_s,
            join_interval_s=self.join_every_s,
            found_delay_s=self.found_after_s,
            min_founders=self.found_least,
        )
        return MembershipPlan(
            listen=(host, int(port)),
            advertise=self.advertise or self.listen,
            zone=self.zone,
            region=self.region,
            seeds=tuple(self.seeds),
            settings=settings,
        )


class ForwardingSection(Section):
    """Tickets, and what other features send, to peers of the fleet."""

    needs = ("membership",)

    listen: Address
    advertise: Address | None = None
    links_most: Annotated[int, Field(ge=2, le=4096)] = 2048
    frame_most_kb: Annotated[int, Field(ge=16, le=65536)] = 1024
    queue_frames: Annotated[int, Field(ge=16, le=1 << 20)] = 1024
    queue_kb: Annotated[int, Field(ge=16, le=1 << 20)] = 4096
    connect_within_s: Annotated[float, Field(ge=0.01, le=30)] = 0.5
    ping_every_s: Annotated[float, Field(ge=0.01, le=30)] = 0.2
    silent_most_s: Annotated[float, Field(ge=0.05, le=300)] = 0.8
    rest_first_s: Annotated[float, Field(ge=0.01, le=60)] = 0.05
    rest_last_s: Annotated[float, Field(ge=0.01, le=60)] = 0.5
    linger_s: Annotated[float, Field(ge=0, le=60)] = 3.0
    out_most: Annotated[int, Field(ge=1, le=1 << 20)] = 4096
    in_most: Annotated[int, Field(ge=1, le=1 << 20)] = 1024
    taken_within_s: Annotated[float, Field(ge=0.01, le=30)] = 0.25
    doubt_s: Annotated[float, Field(ge=0, le=60)] = 0.5

    @model_validator(mode="after")
    def _fits(self) -> ForwardingSection:
        if self.silent_most_s < 2 * self.ping_every_s:
            raise ValueError(
                f"silent-most-s {self.silent_most_s:g} must be at least twice ping-every-s "
                f"{self.ping_every_s:g}, or one late answer breaks a link"
            )
        if self.rest_last_s < self.rest_first_s:
            raise ValueError(
                f"rest-last-s {self.rest_last_s:g} is less than rest-first-s {self.rest_first_s:g}"
            )
        if self.queue_kb < self.frame_most_kb:
            raise ValueError(
                f"queue-kb {self.queue_kb} does not hold one frame of frame-most-kb {self.frame_most_kb}"
            )
        if self.listen.startswith("0.0.0.0:") and self.advertise is None:
            raise ValueError("advertise is needed with listen on 0.0.0.0: peers must know where to reach it")
        return self

    def plan(self) -> ForwardingPlan:
        host, _, port = self.listen.rpartition(":")
        links = ConnectionSettings(
            max_frame_bytes=self.frame_most_kb * 1024,
            max_queued_frames=self.queue_frames,
            max_queued_bytes=self.queue_kb * 1024,
            max_connections=self.links_most,
            connect_timeout_s=self.connect_within_s,
            ping_interval_s=self.ping_every_s,
            max_silence_s=self.silent_most_s,
            initial_retry_delay_s=self.rest_first_s,
            max_retry_delay_s=self.rest_last_s,
            departed_linger_s=self.linger_s,
        )
        passing = ForwardingSettings(
            max_forwarded=self.out_most,
            max_admitted_per_peer=self.in_most,
            ack_timeout_s=self.taken_within_s,
            peer_backoff_s=self.doubt_s,
        )
        return ForwardingPlan((host, int(port)), self.advertise or self.listen, links, passing)


class PolicySection(Section):
    """The operators' routing policy, as each hardware class can carry it out."""

    needs = ("membership", "forwarding")

    file: str | None = None
    speed: Annotated[float, Field(ge=0.01, le=100)] = 1.0
    dwell_down_s: Annotated[float, Field(ge=0, le=600)] = 2.0
    dwell_up_s: Annotated[float, Field(ge=0, le=3600)] = 20.0
    up_margin: Annotated[float, Field(ge=1, le=10)] = 1.25
    rest_s: Annotated[float, Field(ge=0, le=3600)] = 10.0
    settle_s: Annotated[float, Field(ge=0, le=600)] = 2.0
    stagger_s: Annotated[float, Field(ge=0.1, le=600)] = 5.0
    translate_within_s: Annotated[float, Field(ge=1, le=3600)] = 120.0
    fetch_within_s: Annotated[float, Field(ge=0.05, le=60)] = 1.0
    offer_every_s: Annotated[float, Field(ge=0.1, le=600)] = 2.0
    come_back_s: Annotated[float, Field(ge=0, le=600)] = 2.0

    @model_validator(mode="after")
    def _fits(self) -> PolicySection:
        self.plan()  # Rules says what does not go together
        return self

    def plan(self) -> PolicyPlan:
        rules = Rules(
            dwell_down=self.dwell_down_s,
            dwell_up=self.dwell_up_s,
            up_margin=self.up_margin,
            rest=self.rest_s,
            settle=self.settle_s,
            stagger=self.stagger_s,
            translate_within=self.translate_within_s,
            fetch_within=self.fetch_within_s,
            offer_every=self.offer_every_s,
            retry_after_s=self.come_back_s,
        )
        return PolicyPlan(self.file, self.speed, rules)


class ReplicationSection(Section):
    """Labelled runs, bindings and documents on several members each."""

    needs = ("membership", "forwarding")

    copies: Annotated[int, Field(ge=1, le=9)] = 3
    ranges: Annotated[int, Field(ge=64, le=65536)] = 1024
    entries_most: Annotated[int, Field(ge=100, le=10_000_000)] = 200_000
    memory_mb: Annotated[int, Field(ge=1, le=65536)] = 64
    result_most_kb: Annotated[int, Field(ge=0, le=512)] = 64
    claim_within_s: Annotated[float, Field(ge=0.02, le=30)] = 0.4
    repeat_after_s: Annotated[float, Field(ge=0.005, le=5)] = 0.08
    hold_most_s: Annotated[float, Field(ge=0, le=10)] = 0.25
    deny_after_s: Annotated[float, Field(ge=0.05, le=60)] = 0.3
    repair_every_s: Annotated[float, Field(ge=0.1, le=3600)] = 2.0
    cold: Literal["wait", "run"] = "wait"

    @model_validator(mode="after")
    def _fits(self) -> ReplicationSection:
        if self.copies % 2 == 0:
            raise ValueError(f"copies {self.copies}: odd is wanted: one more outlives no more losses")
        if self.claim_within_s < 2 * self.repeat_after_s:
            raise ValueError(
                f"claim-within-s {self.claim_within_s:g} must be at least twice repeat-after-s "
                f"{self.repeat_after_s:g}, or one lost frame denies a ticket"
            )
        return self

    def plan(self) -> ReplicationPlan:
        settings = ReplicaSettings(
            copies=self.copies,
            slots=self.ranges,
            entries_most=self.entries_most,
            bytes_most=self.memory_mb << 20,
            result_most=self.result_most_kb << 10,
            patience=self.claim_within_s,
            retry=self.repeat_after_s,
            repair_every=self.repair_every_s,
            cold_waits=self.cold == "wait",
        )
        return ReplicationPlan(settings, self.hold_most_s, self.deny_after_s)


class AffinitySection(Section):
    """Sessions that stay with their server."""

    needs = ("membership", "forwarding", "replication")

    key: tuple[Literal["customer", "subject", "router"], ...] = ("customer", "subject")
    idle_s: Annotated[float, Field(ge=1, le=86400 * 7)] = 1800.0
    keep_versions: Annotated[int, Field(ge=1, le=64)] = 3
    retire_after_s: Annotated[float, Field(ge=1, le=86400 * 31)] = 86400.0
    moves_per_s: Annotated[float, Field(gt=0, le=100_000)] = 50.0
    load_factor: Annotated[float, Field(gt=1, le=10)] = 1.25
    bound_least: Annotated[int, Field(ge=1, le=1_000_000)] = 16
    sessions_most: Annotated[int, Field(ge=1, le=10_000_000)] = 100_000
    routes_most: Annotated[int, Field(ge=1, le=10_000_000)] = 200_000
    seeks_most: Annotated[int, Field(ge=1, le=1_000_000)] = 4096
    waiting_most: Annotated[int, Field(ge=1, le=10_000)] = 64
    bind_within_s: Annotated[float, Field(ge=0.1, le=60)] = 2.0
    offer_within_s: Annotated[float, Field(ge=0.02, le=30)] = 0.5
    handover_within_s: Annotated[float, Field(ge=0, le=600)] = 3.0
    repeat_after_s: Annotated[float, Field(ge=0.02, le=30)] = 0.25
    claim_within_s: Annotated[float, Field(ge=0.02, le=30)] = 0.5
    come_back_s: Annotated[float, Field(ge=0, le=60)] = 0.2

    @field_validator("key", mode="before")
    @classmethod
    def _listed(cls, value: Any) -> Any:
        return tuple(value) if isinstance(value, list) else value

    @model_validator(mode="after")
    def _fits(self) -> AffinitySection:
        if not self.key or len(set(self.key)) != len(self.key):
            raise ValueError("key: one to three different fields are wanted, as [customer, subject]")
        if self.offer_within_s > self.bind_within_s:
            raise ValueError(
                f"offer-within-s {self.offer_within_s:g} is more than bind-within-s {self.bind_within_s:g}"
            )
        return self

    def plan(self) -> AffinityPlan:
        settings = AffinitySettings(
            idle=self.idle_s,
            keep_versions=self.keep_versions,
            retire_after=self.retire_after_s,
            moves_per_s=self.moves_per_s,
            factor=self.load_factor,
            bound_least=self.bound_least,
            sessions_most=self.sessions_most,
            routes_most=self.routes_most,
            seeks_most=self.seeks_most,
            waiting_most=self.waiting_most,
            retry_after_s=self.come_back_s,
            offer_within=self.offer_within_s,
            bind_within=self.bind_within_s,
            handover_within=self.handover_within_s,
            repeat=self.repeat_after_s,
            claim_within=self.claim_within_s,
        )
        return AffinityPlan(self.key, settings)


class CollectorSection(Section):
    """`sablewheel ledger collect`: a program of its own, not a part of the server."""

    book: str
    listen: Address
    period: PeriodSection = PeriodSection()
    customers: list[str] = []
    frame_most_kb: Annotated[int, Field(ge=64, le=65536)] = 4096
    connections_most: Annotated[int, Field(ge=1, le=10_000)] = 2048
    silent_most_s: Some = 600.0
    skew_most_s: Seconds = 300.0
    close_every_s: Some = 5.0

    def plan(self) -> CollectorPlan:
        host, _, port = self.listen.rpartition(":")
        return CollectorPlan(
            book=Path(self.book),
            listen=(host, int(port)),
            calendar=self.period.plan(),
            customers=frozenset(self.customers),
            frame_most=self.frame_most_kb * 1024,
            connections_most=self.connections_most,
            silent_most=self.silent_most_s,
            skew_most=self.skew_most_s,
            close_every=self.close_every_s,
        )


class Top(Section):
    """The whole file."""

    version: Literal[1]
    ledger: LedgerSection | None = None
    recall: RecallSection | None = None
    collector: CollectorSection | None = None
    membership: MembershipSection | None = None
    forwarding: ForwardingSection | None = None
    policy: PolicySection | None = None
    replication: ReplicationSection | None = None
    affinity: AffinitySection | None = None

    def sections(self) -> dict[str, Any]:
        """Those that are there, under the names that `Features` has for their plans."""
        told = {name: getattr(self, name) for name in type(self).model_fields if name != "version"}
        return {name: section for name, section in told.items() if section is not None}


def read(file: str | Path) -> Features:
    """The features of a file; raises `FaultyFeaturesError` with all of its faults."""
    top = check(str(file), _text(str(file)))
    return Features(**{name: section.plan() for name, section in top.sections().items()})


def _text(file: str) -> str:
    try:
        return Path(file).read_text(encoding="utf-8")
    except OSError as trouble:
        raise FaultyFeaturesError(file, [Fault(0, "file", trouble.strerror or str(trouble))]) from None
    except UnicodeDecodeError as trouble:
        raise FaultyFeaturesError(file, [Fault(0, "file", f"not UTF-8 at byte {trouble.start}")]) from None


def check(file: str, text: str) -> Top:
    """The same for a text; `file` is its name in messages."""
    try:
        told = YAML(typ="rt").load(text)
    except MarkedYAMLError as trouble:
        mark = trouble.problem_mark
        line = mark.line + 1 if mark is not None else 0
        raise FaultyFeaturesError(file, [Fault(line, "file", f"not YAML: {trouble.problem}")]) from None
    except (YAMLError, ValueError) as trouble:
        raise FaultyFeaturesError(file, [Fault(0, "file", f"not YAML: {trouble}".split("\n")[0])]) from None
    if not isinstance(told, CommentedMap):
        raise FaultyFeaturesError(file, [Fault(1, "file", "keys are wanted, `version: 1` first")])
    try:
        top = Top.model_validate(_plain(told))
    except ValidationError as trouble:
        faults = [_fault(told, one) for one in trouble.errors(include_url=False)]
        raise FaultyFeaturesError(file, sorted(faults, key=lambda one: one.line)) from None
    there = top.sections()
    if faults := [
        Fault(_line(told, (name,)), name, f"needs the section {needed}, which is absent")
        for name, section in there.items()
        for needed in section.needs
        if needed not in there
    ]:
        raise FaultyFeaturesError(file, faults)
    return top


def _plain(value: Any) -> Any:
    """Python's own types of what the YAML reader gives, which keeps comments and notations."""
    if isinstance(value, CommentedMap):
        return {str(key): _plain(item) for key, item in value.items()}
    if isinstance(value, CommentedSeq):
        return [_plain(item) for item in value]
    if isinstance(value, bool):
        return value
    for kind in (int, float, str):
        if isinstance(value, kind):
            return kind(value)
    return value


def _fault(told: CommentedMap, error: Any) -> Fault:
    path, kind = error["loc"], error["type"]
    key = ".".join(str(one) for one in path) or "file"
    line = _line(told, path)
    found = error["input"]
    if kind == "extra_forbidden":
        near = difflib.get_close_matches(str(path[-1]), _known(path[:-1]), 1)
        hint = f"; {near[0]} may be meant" if near else f"; known here: {', '.join(_known(path[:-1]))}"
        return Fault(line, key, f"no such key{hint}")
    if kind == "missing":
        return Fault(line, key, "missing")
    says = error["msg"].removeprefix("Value error, ")
    if isinstance(found, (str, int, float, bool)) or found is None:
        says = f"{says}, got {found!r:.60}"
    return Fault(line, key, says[0].lower() + says[1:])


def _line(told: Any, path: tuple[Any, ...]) -> int:
    """The line of a key, or of the nearest one above it that is there."""
    line = 1
    for one in path:
        try:
            if isinstance(told, CommentedMap):
                line = told.lc.key(one)[0] + 1
            elif isinstance(told, CommentedSeq):
                line = told.lc.item(one)[0] + 1
            told = told[one]
        except (KeyError, IndexError, TypeError):
            break
    return line


def _known(path: tuple[Any, ...]) -> list[str]:
    """The keys of the section at a path."""
    model: type[BaseModel] = Top
    for one in path:
        field = next((each for each in model.model_fields.values() if each.alias == one), None)
        kinds = [field.annotation, *getattr(field.annotation, "__args__", ())] if field is not None else []
        inner = [kind for kind in kinds if isinstance(kind, type) and issubclass(kind, BaseModel)]
        if not inner:
            return []
        model = inner[0]
    return [each.alias or name for name, each in model.model_fields.items()]

"""Usage metering's logic without I/O: periods, folding, the export's state machines, and corrections."""

from __future__ import annotations

import random
from datetime import UTC, datetime
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from sablewheel.storage.log import LOG_START, LogPosition
from sablewheel.usage_metering import blocks, collecting, corrections, export
from sablewheel.usage_metering import usage_metering_pb2 as pb
from sablewheel.usage_metering.aggregation import EntryBuffer
from sablewheel.usage_metering.blocks import BlockError, SealedBlock
from sablewheel.usage_metering.collecting import AlreadyApplied, Apply, LastBlock, Refusal
from sablewheel.usage_metering.corrections import Correction, CorrectionError
from sablewheel.usage_metering.export import ExportState, LinkState
from sablewheel.usage_metering.frames import FrameDecoder, FrameError, encode_frame
from sablewheel.usage_metering.period_closing import PeriodCloser
from sablewheel.usage_metering.periods import PeriodError, Periods
from sablewheel.usage_metering.plan import Calendar, ExportPlan, Length
from sablewheel.usage_metering.positions import BlockIndex

MICROSECONDS_PER_SECOND = 1_000_000
ZONES = ("UTC", "America/Regina", "Europe/Berlin", "Australia/Lord_Howe", "America/Havana", "Pacific/Apia")
INCARNATION = b"incarn01"


def moment(text: str) -> int:
    return int(datetime.fromisoformat(text).timestamp()) * MICROSECONDS_PER_SECOND


# -- periods


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    zone=st.sampled_from(ZONES),
    length=st.sampled_from(list(Length)),
    second=st.integers(1_200_000_000, 2_000_000_000),
)
def test_periods_divide_all_time_without_gaps_and_are_found_by_their_names(
    zone: str, length: Length, second: int
) -> None:
    periods = Periods(Calendar(zone, length))
    period = periods.of(second * MICROSECONDS_PER_SECOND + 7)
    assert period.start <= second * MICROSECONDS_PER_SECOND + 7 < period.end
    assert periods.of(period.start) == periods.of(period.end - 1) == period
    assert periods.next(period).start == period.end and periods.of(period.start - 1).end == period.start
    assert periods.named(period.name) == period


@pytest.mark.parametrize(
    ("zone", "length", "at", "hours", "name"),
    [
        ("Europe/Berlin", Length.DAY, "2026-03-29T12:00+02:00", 23, "2026-03-29"),
        ("Europe/Berlin", Length.DAY, "2026-10-25T12:00+01:00", 25, "2026-10-25"),
        ("Europe/Berlin", Length.HOUR, "2026-10-25T02:30+02:00", 1, "2026-10-25T02+02:00"),
        ("Europe/Berlin", Length.HOUR, "2026-10-25T02:30+01:00", 1, "2026-10-25T02+01:00"),
        ("Australia/Lord_Howe", Length.HOUR, "2026-04-05T01:45+11:00", 1, "2026-04-05T01+11:00"),
        ("Australia/Lord_Howe", Length.HOUR, "2026-04-05T01:45+10:30", 0.5, "2026-04-05T01:30+10:30"),
        ("America/Havana", Length.DAY, "2026-03-08T12:00-04:00", 23, "2026-03-08"),
        ("America/Regina", Length.MONTH, "2028-02-29T23:59-06:00", 29 * 24, "2028-02"),
        ("UTC", Length.MONTH, "2026-12-31T23:59+00:00", 31 * 24, "2026-12"),
    ],
)
def test_days_and_hours_around_a_change_of_clocks(
    zone: str, length: Length, at: str, hours: float, name: str
) -> None:
    period = Periods(Calendar(zone, length)).of(moment(at))
    assert (period.end - period.start) / 3600 / MICROSECONDS_PER_SECOND == hours and period.name == name


@pytest.mark.parametrize("name", ["2026-02-30", "2026-2-3", "yesterday", "2026-13-01", "2011-12-30"])
def test_an_invalid_period_name_is_named_in_the_error(name: str) -> None:
    with pytest.raises(PeriodError, match=name):
        Periods(Calendar("Pacific/Apia", Length.DAY)).named(name)  # this time zone skipped 30 December 2011


# -- the entry buffer, compared with a model that stores all entries


class EntryBufferAgainstModel(RuleBasedStateMachine):
    """After any adds, cuts and folds, sequences have no gaps and all sums equal those of the entries."""

    def __init__(self) -> None:
        super().__init__()
        self.periods = Periods(Calendar("Europe/Berlin", Length.HOUR))
        self.entry_buffer = EntryBuffer("n1", INCARNATION, self.periods, max_entries=5, max_total_rows=4)
        self.model: list[pb.Entry] = []
        self.cut: list[SealedBlock] = []

    @rule(
        customer=st.sampled_from("abc"),
        outcome=st.sampled_from((pb.COMPLETED, pb.DENIED, pb.GONE)),
        hour=st.integers(0, 30),
        run=st.integers(0, 10**9),
    )
    def add(self, customer: str, outcome: Any, hour: int, run: int) -> None:
        billed = outcome == pb.COMPLETED and run % 3 > 0
        entry = pb.Entry(
            customer=customer,
            track="t",
            outcome=outcome,
            ended_us=(1_792_800_000 + hour * 3600) * MICROSECONDS_PER_SECOND,
            run_us=run * billed,
            billed=billed,
            asked_bytes=run % 100,
            answer_bytes=run % 50,
        )
        assert self.entry_buffer.add(entry) == len(self.model) + 1
        self.model.append(entry)

    @precondition(lambda self: not self.entry_buffer.empty)
    @rule(most=st.integers(0, 4))
    def cut_one(self, most: int) -> None:
        self.cut.append(self.entry_buffer.cut(1.0, 0, most))

    @invariant()
    def bounded_and_exact(self) -> None:
        assert self.entry_buffer.individual_count <= 5
        last_block, totals, billed, sums = LastBlock(), 0, [0, 0], [0, 0]
        for sealed in self.cut:
            block = blocks.read(sealed.data)
            assert (
                blocks.chain_violation(block, last_block.number, last_block.digest, last_block.last_sequence)
                is None
            )
            last_block = LastBlock(block.number, sealed.digest, block.last_sequence)
            assert len(block.totals) <= 4 + 12  # the rows of one span are bounded by tenants and outcomes
            for entry in block.entries:
                assert entry == self.model[entry.sequence - 1]
                billed[0] += entry.billed
                sums[0] += entry.run_us
                sums[1] += entry.asked_bytes
            for total in block.totals:
                totals += total.entries
                billed[0] += total.entries * total.billed
                sums[0] += total.run_us
                sums[1] += total.asked_bytes
        done = self.model[: last_block.last_sequence]
        assert billed[0] == sum(entry.billed for entry in done)
        assert sums == [sum(entry.run_us for entry in done), sum(entry.asked_bytes for entry in done)]
        assert self.entry_buffer.unsealed_count == len(self.model) - last_block.last_sequence


TestEntryBuffer = EntryBufferAgainstModel.TestCase
TestEntryBuffer.settings = settings(derandomize=True, max_examples=60, stateful_step_count=40, deadline=None)


# -- the export: both state machines, lost messages, and a collector that loses uncommitted blocks


class ExportAgainstModel(RuleBasedStateMachine):
    """The journal always has the first blocks of the log in order, each once, and finally all of them.

    This holds through lost connections, lost messages, crashes and the restore of an old backup.
    """

    @initialize(seed=st.integers(0, 10**6))
    def start(self, seed: int) -> None:
        self.rng, self.now = random.Random(seed), 1000.0
        self.entry_buffer = EntryBuffer("n1", INCARNATION, Periods(Calendar()), 1000, 1000)
        self.log: list[SealedBlock] = []
        self.next_index = 0
        plan = ExportPlan(("127.0.0.1", 1), 2.0, 0.1, 1.0, window_bytes=600)
        self.export_state = ExportState(plan, self.rng.random)
        self.journal: list[SealedBlock] = []  # committed
        self.backup: list[SealedBlock] = []
        self.to_collector: list[SealedBlock] | None = None  # None if there is no connection
        self.to_server: list[export.Event] = []
        self.settled: set[int] = set()
        self.counted: list[str] = []

    def apply_event(self, event: export.Event) -> None:
        for effect in self.export_state.step(self.now, event):
            match effect:
                case export.Connect():
                    self.to_collector, self.to_server = [], [export.Connected()]
                case export.Greet():
                    have = (
                        {INCARNATION: (self.journal[-1].number, self.journal[-1].digest)}
                        if self.journal
                        else {}
                    )
                    self.to_server.append(export.WelcomeReceived(export.VERSION, have))
                case export.Send(block):
                    if self.to_collector is not None:
                        self.to_collector.append(block)
                case export.RewindTo(have):
                    self.next_index = have.get(INCARNATION, (0, b""))[0]
                case export.BlockSettled(block):
                    self.settled.add(block.number)
                case export.Disconnect():
                    self.to_collector = None
                case export.Counted(name, _):
                    self.counted.append(name)

    @rule(entries=st.integers(1, 3))
    def add_block(self, entries: int) -> None:
        for _ in range(entries):
            self.entry_buffer.add(
                pb.Entry(customer="a", track="t", outcome=pb.DENIED, ended_us=MICROSECONDS_PER_SECOND)
            )
        self.log.append(self.entry_buffer.cut(self.now, 0, 100))

    @rule()
    def send_next(self) -> None:
        while self.export_state.window_bytes_left and self.next_index < len(self.log):
            self.next_index += 1
            self.apply_event(export.BlocksOffered((self.log[self.next_index - 1],)))

    @rule(commits=st.booleans())
    def collect(self, commits: bool) -> None:
        """Post all received blocks in one transaction; without `commits`, the collector is killed first."""
        if self.to_collector is None:
            return
        received, self.to_collector = self.to_collector, []
        journal = list(self.journal)
        acknowledgements: list[export.Event] = []
        for sealed in received:
            last_blocks = (
                {INCARNATION: LastBlock(journal[-1].number, journal[-1].digest, journal[-1].last_sequence)}
                if journal
                else {}
            )
            batch = pb.Batch(block=sealed.data, digest=sealed.digest)
            match collecting.decide_batch("n1", batch, last_blocks, {}):
                case Apply():
                    journal.append(sealed)
                case AlreadyApplied(_, number):
                    assert number == sealed.number
                case Refusal(fault, detail):
                    raise AssertionError(f"{fault}: {detail}")
            acknowledgements.append(export.BlocksAcknowledged(INCARNATION, sealed.number))
        if commits:
            self.journal = journal
            self.to_server += acknowledgements
        else:
            self.disconnect()

    @rule()
    def deliver_to_server(self) -> None:
        events, self.to_server = self.to_server, []
        for event in events:
            self.apply_event(event)

    @rule()
    def disconnect(self) -> None:
        """The connection is lost, with all messages in flight in both directions."""
        self.to_collector, self.to_server = None, []
        self.apply_event(export.ConnectionLost("cut"))

    @rule()
    def lose_acknowledgements(self) -> None:
        self.to_server = []  # the connection stays up

    @rule(span=st.floats(0.05, 3.0))
    def wait(self, span: float) -> None:
        self.now += span
        self.apply_event(export.TimerFired())

    @rule()
    def back_up(self) -> None:
        self.backup = list(self.journal)

    @rule()
    def restore(self) -> None:
        self.journal = list(self.backup)
        self.disconnect()

    @invariant()
    def each_block_once_and_in_order(self) -> None:
        if hasattr(self, "journal"):
            assert self.journal == self.log[: len(self.journal)]
            assert sum(len(block.data) for block in self.export_state.unsettled) <= 600 + 200
            assert "claims_unsent" not in self.counted

    def teardown(self) -> None:
        if not hasattr(self, "journal"):
            return
        for _ in range(60):
            self.wait(1.0)
            for _ in range(8):
                self.deliver_to_server()
                self.send_next()
                self.collect(True)
            if self.journal == self.log:
                return
        raise AssertionError(
            f"{len(self.journal)} of {len(self.log)} blocks arrived: {self.export_state.link}"
        )


TestExport = ExportAgainstModel.TestCase
TestExport.settings = settings(derandomize=True, max_examples=80, stateful_step_count=40, deadline=None)


def streaming_export(*sealed_blocks: SealedBlock) -> ExportState:
    exporter = ExportState(ExportPlan(("127.0.0.1", 1)), lambda: 0.5)
    exporter.step(0.0, export.TimerFired())
    exporter.step(0.0, export.Connected())
    exporter.step(0.0, export.WelcomeReceived(export.VERSION, {}))
    exporter.step(0.0, export.BlocksOffered(sealed_blocks))
    return exporter


def make_blocks(count: int) -> list[SealedBlock]:
    entry_buffer = EntryBuffer("n1", INCARNATION, Periods(Calendar()), 1000, 1000)
    sealed = []
    for _ in range(count):
        entry_buffer.add(
            pb.Entry(
                customer="a", track="t", outcome=pb.COMPLETED, ended_us=MICROSECONDS_PER_SECOND, billed=True
            )
        )
        sealed.append(entry_buffer.cut(1.0, 0, 10))
    return sealed


def test_an_acknowledgement_of_an_unsent_block_is_rejected() -> None:
    first, second, *_ = make_blocks(3)
    exporter = streaming_export(first, second)
    effects = exporter.step(1.0, export.BlocksAcknowledged(INCARNATION, 3))
    assert any(isinstance(effect, export.Counted) and effect.name == "claims_unsent" for effect in effects)
    assert list(exporter.unsettled) == [first, second] and exporter.link is LinkState.BACKING_OFF
    assert exporter.wake_at > 20


def test_a_welcome_with_nonexistent_or_different_blocks_is_rejected() -> None:
    first, second = make_blocks(2)
    for have in ({INCARNATION: (9, b"x" * 32)}, {INCARNATION: (2, b"x" * 32)}):
        exporter = streaming_export(first, second)
        exporter.step(1.0, export.ConnectionLost("cut"))
        exporter.step(exporter.wake_at, export.TimerFired())
        exporter.step(2.0, export.Connected())
        effects = exporter.step(2.0, export.WelcomeReceived(export.VERSION, have))
        assert any(
            isinstance(effect, export.Counted) and effect.name == "claims_unsent" for effect in effects
        )
        assert len(exporter.unsettled) == 2


def test_backoff_grows_to_its_limit_and_has_jitter() -> None:
    rng = random.Random(3)
    exporter = ExportState(ExportPlan(("127.0.0.1", 1), 1.0, 0.2, 5.0), rng.random)
    now, delays = 0.0, []
    for _ in range(10):
        exporter.step(now, export.TimerFired())
        exporter.step(now, export.ConnectionLost("none"))
        delays.append(exporter.wake_at - now)
        now = exporter.wake_at
    assert (
        0.1 <= delays[0] <= 0.3 and max(delays) <= 7.5 and min(delays[5:]) >= 2.5 and len(set(delays)) == 10
    )


def test_both_sides_refuse_another_version() -> None:
    exporter = ExportState(ExportPlan(("127.0.0.1", 1)), lambda: 0.5)
    exporter.step(0.0, export.TimerFired())
    exporter.step(0.0, export.Connected())
    assert export.Counted("version", "7") in exporter.step(0.0, export.WelcomeReceived(7, {}))
    refusal = collecting.check_greeting(
        pb.Hello(version=7, server="n1", incarnation=INCARNATION), export.VERSION
    )
    assert refusal is not None and refusal.fault == "version"


@pytest.mark.parametrize(
    ("change", "fault", "message"),
    [
        ({"digest": b"x" * 32}, "digest", "not those"),
        ({"block": b"\xff\xff"}, "block", "can't be read"),
        ({"server": "n2"}, "server", "n2"),
        ({"number": 4}, "gap", "4 where 2 was due"),
        ({"previous": b"y" * 32}, "chain", "does not follow"),
        ({"first_sequence": 5, "last_sequence": 5}, "block", "entries"),
        ({"incarnation": b"short"}, "block", "incarnation"),
        ({"number": 0}, "block", "counts from 1"),
    ],
)
def test_batches_that_contradict_the_chain_are_refused_with_their_fault(
    change: dict[str, Any], fault: str, message: str
) -> None:
    first, second = make_blocks(2)
    known = {INCARNATION: LastBlock(1, first.digest, 1)}
    block = pb.Block.FromString(second.data)
    for key, value in change.items():
        if key not in ("digest", "block"):
            setattr(block, key, value)
    data = change.get("block", block.SerializeToString())
    batch = pb.Batch(block=data, digest=change.get("digest", blocks.digest(data)))
    decision = collecting.decide_batch("n1", batch, known, {})
    assert isinstance(decision, Refusal) and decision.fault == fault and message in decision.detail


def test_a_posted_number_with_another_digest_is_refused() -> None:
    first, second = make_blocks(2)
    known = {INCARNATION: LastBlock(2, second.digest, 2)}
    batch = pb.Batch(block=first.data, digest=first.digest)
    assert collecting.decide_batch("n1", batch, known, {}) == AlreadyApplied(INCARNATION, 1)
    refusal = collecting.decide_batch("n1", batch, known, {(INCARNATION, 1): b"z" * 32})
    assert isinstance(refusal, Refusal) and refusal.fault == "changed"


def test_two_connected_incarnations_of_one_name_are_detected() -> None:
    presence = collecting.ConnectedIncarnations()
    assert not presence.add("n1", b"a") and not presence.add("n2", b"b")
    assert presence.add("n1", b"c")
    presence.remove("n1", b"a")
    assert not presence.add("n1", b"c")
    presence.remove("n1", b"c")
    presence.remove("n1", b"c")
    assert not presence.add("n1", b"d")


@pytest.mark.parametrize(
    ("block", "message"),
    [
        (pb.Block(server="", incarnation=INCARNATION, number=1, first_sequence=1), "server"),
        (pb.Block(server="n", incarnation=INCARNATION, number=2, first_sequence=1), "previous"),
        (
            pb.Block(server="n", incarnation=INCARNATION, number=1, first_sequence=1, last_sequence=1),
            "sequence",
        ),
        (
            pb.Block(
                server="n",
                incarnation=INCARNATION,
                number=1,
                first_sequence=1,
                last_sequence=1,
                entries=[pb.Entry(sequence=1, outcome=pb.DENIED, billed=True)],
            ),
            "billed",
        ),
        (
            pb.Block(
                server="n",
                incarnation=INCARNATION,
                number=1,
                first_sequence=1,
                last_sequence=1,
                entries=[pb.Entry(sequence=1)],
            ),
            "outcome",
        ),
        (
            pb.Block(
                server="n",
                incarnation=INCARNATION,
                number=1,
                first_sequence=1,
                last_sequence=3,
                totals=[pb.Total(customer="c", outcome=pb.DENIED, entries=3)],
            ),
            "totals",
        ),
    ],
)
def test_the_error_of_an_inconsistent_block_names_its_field(block: pb.Block, message: str) -> None:
    with pytest.raises(BlockError, match=message):
        blocks.read(block.SerializeToString())


@settings(derandomize=True, max_examples=60, deadline=None)
@given(data=st.binary(max_size=300))
def test_any_bytes_are_a_block_or_raise_a_block_error(data: bytes) -> None:
    try:
        blocks.read(data)
    except BlockError as error:
        assert str(error)


def test_frames_are_the_same_however_the_bytes_are_split() -> None:
    messages = [
        pb.Frame(hello=pb.Hello(version=1, server="n1", incarnation=INCARNATION)),
        pb.Frame(acknowledged=pb.Acknowledged(incarnation=INCARNATION, number=7)),
        pb.Frame(batch=pb.Batch(block=b"b" * 50, digest=b"d" * 32)),
    ]
    data = b"".join(map(encode_frame, messages))
    for split_at in range(len(data) + 1):
        decoder = FrameDecoder(1 << 10)
        assert [*decoder.feed(data[:split_at]), *decoder.feed(data[split_at:])] == messages
        assert not decoder.has_partial_frame
    decoder = FrameDecoder(1 << 10)
    assert [message for byte in data for message in decoder.feed(bytes([byte]))] == messages


@pytest.mark.parametrize(
    "data", [b"\xff\xff\xff\xff", b"\0\0\0\0", b"\0\0\x04\x01" + b"x" * 10, b"\0\0\0\x02\xff\xff"]
)
def test_invalid_frames_are_refused(data: bytes) -> None:
    with pytest.raises(FrameError):
        list(FrameDecoder(1 << 10).feed(data))


# -- closing periods


def closer_at_noon() -> tuple[PeriodCloser, float]:
    period_closer = PeriodCloser(Periods(Calendar("UTC", Length.HOUR, lag_s=600.0)))
    noon = moment("2026-12-01T12:00+00:00") / MICROSECONDS_PER_SECOND
    period_closer.observe_clocks(noon, 1000.0)
    return period_closer, noon


def test_a_period_closes_after_its_lag_and_late_entries_are_marked() -> None:
    period_closer, noon = closer_at_noon()
    eleven = period_closer.periods.of(round((noon - 60) * MICROSECONDS_PER_SECOND))
    assert not period_closer.due(eleven)
    assert period_closer.posting_period(eleven.start, eleven.start) == (eleven, None)
    period_closer.observe_clocks(noon + 601, 1601.0)
    assert period_closer.due(eleven)
    period_closer.mark_closed(eleven)
    where, belongs = period_closer.posting_period(eleven.start + 5, eleven.start + 5)
    assert where.name == "2026-12-01T12+00:00" and belongs == eleven.name
    span, name = period_closer.posting_period(eleven.start - 3600 * MICROSECONDS_PER_SECOND, eleven.end)
    assert span == where and name == "2026-12-01T10+00:00..2026-12-01T11+00:00"


def test_a_clock_that_jumps_ahead_closes_nothing_until_confirmed() -> None:
    period_closer, noon = closer_at_noon()
    current = period_closer.periods.of(round(noon * MICROSECONDS_PER_SECOND))
    period_closer.observe_clocks(noon + 86400 * 365, 1005.0)
    assert period_closer.jump_s and not period_closer.due(current)
    assert period_closer.current_period() == current
    period_closer.observe_clocks(noon + 10, 1010.0)  # the clock was set right again
    assert not period_closer.due(current)
    period_closer.observe_clocks(noon + 400, 1400.0)
    assert period_closer.now == round((noon + 400) * MICROSECONDS_PER_SECOND)
    period_closer.observe_clocks(noon + 400 + 7200, 1405.0)  # this time the new time is right
    assert not period_closer.due(current)
    period_closer.observe_clocks(noon + 400 + 7200 + 301, 1706.0)
    assert not period_closer.jump_s and period_closer.due(current)


def test_a_clock_that_is_set_back_reopens_no_closed_period() -> None:
    period_closer, noon = closer_at_noon()
    period_closer.observe_clocks(noon + 7300, 8300.0)
    twelve = period_closer.periods.of(round(noon * MICROSECONDS_PER_SECOND))
    assert period_closer.due(twelve)
    period_closer.mark_closed(twelve)
    before = period_closer.now
    period_closer.observe_clocks(noon + 10, 8310.0)
    period_closer.observe_clocks(noon + 320, 8620.0)
    assert period_closer.now >= before and period_closer.is_closed(twelve)
    assert period_closer.posting_period(twelve.start, twelve.start)[1] == twelve.name
    restarted = PeriodCloser(period_closer.periods, closed_through=period_closer.closed_through)
    restarted.observe_clocks(noon - 86400, 1.0)  # a collector that starts with its clock a day behind
    assert restarted.current_period().start == twelve.end


# -- corrections, and positions in the log


@pytest.mark.parametrize(
    "text", ["n1/0123/5", "n1", "period ", "", "n1/0123456789abcdef/0", "a b/0123456789abcdef/1"]
)
def test_the_error_of_an_invalid_target_describes_valid_ones(text: str) -> None:
    with pytest.raises(CorrectionError, match="period NAME"):
        corrections.target(text)


def make_correction(target: str = "n1/0123456789abcdef/7", **overrides: Any) -> Correction:
    fields: dict[str, Any] = {
        "customer": "a",
        "track": "t",
        "tickets": -1,
        "run_us": 0,
        "reason": "why",
        "author": "who",
        **overrides,
    }
    return Correction(corrections.target(target), **fields)


ENTRY = ("a", "t", 1, 5000)


@pytest.mark.parametrize(
    ("correction", "closed", "billed", "already_deducted", "message"),
    [
        (make_correction(reason=" "), None, ENTRY, 0, "reason"),
        (make_correction(author=""), None, ENTRY, 0, "author"),
        (make_correction(tickets=0), None, ENTRY, 0, "corrects nothing"),
        (make_correction(), None, None, 0, "there is no entry"),
        (make_correction(customer="b"), None, ENTRY, 0, "the entry is of 'a'"),
        (make_correction(), None, ENTRY, 1, "deducted before"),
        (make_correction(tickets=0, run_us=-6000), None, ENTRY, 0, "run time"),
        (make_correction("period 2026-12-01"), None, None, 0, "not in the journal"),
        (make_correction("period 2026-12-01"), False, None, 0, "is open"),
        (make_correction(tickets=1 << 50), None, ENTRY, 0, "out of range"),
    ],
)
def test_the_error_of_a_rejected_correction_has_the_reason(
    correction: Correction, closed: bool | None, billed: Any, already_deducted: int, message: str
) -> None:
    with pytest.raises(CorrectionError, match=message):
        corrections.check(correction, closed, billed, already_deducted)


def test_valid_corrections_are_accepted() -> None:
    corrections.check(make_correction(), None, ENTRY, 0)
    corrections.check(make_correction("period 2026-12-01", tickets=5), True, None, 0)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    lengths=st.lists(st.integers(1, 30), min_size=1, max_size=4),
    have=st.lists(st.integers(0, 30), min_size=4, max_size=4),
    size=st.integers(1, 20),
)
def test_the_index_never_starts_after_a_missing_block(lengths: list[int], have: list[int], size: int) -> None:
    positions = BlockIndex()
    order: list[tuple[LogPosition, bytes, int]] = []
    for index, length in enumerate(lengths):
        for number in range(1, length + 1):
            position = LogPosition(len(order) // size, (len(order) % size) * 100_000)
            order.append((position, b"%d" % index, number))
            positions.note(*order[-1])
    last_numbers = {b"%d" % index: number for index, number in enumerate(have)}
    missing = [block for block in order if block[2] > last_numbers[block[1]]]
    start = positions.start(last_numbers)
    if missing:
        assert (start.segment, start.offset) <= (missing[0][0].segment, missing[0][0].offset)
    positions.remove_before(1)
    assert all(position.segment >= 1 for position, _, _ in positions.notes)
    assert BlockIndex().start({}) == LOG_START


def test_moments_out_of_range_are_clamped_to_the_calendar() -> None:
    periods = Periods(Calendar())
    assert periods.of(-5).name == "1970-01-01"
    assert periods.of(1 << 62).start < 1 << 62
    assert datetime.fromtimestamp(periods.of(0).start / MICROSECONDS_PER_SECOND, UTC).year == 1970

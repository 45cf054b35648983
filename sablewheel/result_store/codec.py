"""Encoding of runs and clock readings as protobuf messages."""

from __future__ import annotations

from . import result_store_pb2 as pb
from .clock_readings import ClockReading
from .keyed_runs import KeyedRun, RunState

LOG_KIND = b"recall"
OUTCOMES = {
    RunState.SUCCEEDED: pb.WORKED,
    RunState.RESULT_DROPPED: pb.WORKED,
    RunState.FAILED: pb.FAILED,
}


def encode_intent(run: KeyedRun) -> pb.Intent:
    """Encode the intent of a run, which is written before it starts."""
    return pb.Intent(
        label=run.idempotency_key,
        sameness=run.request_digest,
        name=run.request_name,
        track=run.request_class,
        arrived_us=round(run.arrived_at * 1e6),
        until_us=round(run.expires_at * 1e6),
    )


def encode_outcome(run: KeyedRun) -> pb.Outcome:
    """Encode the outcome of a finished run."""
    return pb.Outcome(
        label=run.idempotency_key,
        name=run.request_name,
        how=OUTCOMES[run.state],
        result=run.result,
        dropped=run.state is RunState.RESULT_DROPPED,
    )


def encode_clock_reading(reading: ClockReading) -> pb.Moment:
    """Encode a reading of both clocks."""
    return pb.Moment(
        unix_us=round(reading.unix_s * 1e6),
        boot_us=round(reading.since_boot_s * 1e6),
        boot=reading.boot_id,
    )

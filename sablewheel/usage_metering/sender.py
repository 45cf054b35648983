"""The exporter's shell: connection, timer and frames; `export.ExportState` decides."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..transport.scheduler import Scheduler, Timer
from ..transport.stream import Stream, connect
from . import export
from . import usage_metering_pb2 as pb
from .blocks import SealedBlock
from .export import Event, ExportState, Link, TellLost
from .frames import FrameError, Frames, frame
from .plan import ExportPlan
from .sources import BlockSource

MAX_FRAME_BYTES = 1 << 16  # a collector's words are short but for its welcome

log = logging.getLogger(__name__)


class ExportSender:
    """One server's export."""

    def __init__(
        self,
        scheduler: Scheduler,
        plan: ExportPlan,
        server: str,
        incarnation: bytes,
        source: BlockSource,
        chance: Callable[[], float],
        count: Callable[[str], None],
    ) -> None:
        self._scheduler, self._plan, self._count = scheduler, plan, count
        self._server, self._incarnation, self._source = server, incarnation, source
        self.exporter = ExportState(plan, chance)
        self._stream: Stream | None = None
        self._timer: Timer | None = None
        self._turn = 0
        self._step(export.TimerFired())

    @property
    def is_streaming(self) -> bool:
        """Whether blocks can be sent now."""
        return self.exporter.link is Link.STREAMING

    def send_next(self) -> bool:
        """Send one piece more, if the window has room; whether there may be another one now."""
        wants = self.exporter.wants
        return wants > 0 and self._source.pull(wants, self._offer)

    def flush_soon(self) -> None:
        """The server leaves: rest no longer."""
        if self.exporter.link is Link.RESTING:
            self.exporter._wake_at_s = self._scheduler.clock.now
            self._step(export.TimerFired())

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._stream is not None:
            self._stream.close()

    def _offer(self, lost: list[TellLost], blocks: list[SealedBlock]) -> None:
        for one in lost:
            self._act(one)
        self._step(export.BlocksOffered(tuple(blocks)))
        if not blocks or self.exporter.wants:
            self.schedule_send()

    def schedule_send(self) -> None:
        """Replaced by whoever gives it its turns."""

    def _step(self, event: Event) -> None:
        for effect in self.exporter.step(self._scheduler.clock.now, event):
            self._act(effect)
        if self._timer is not None:
            self._timer.cancel()
        due = self.exporter.wake_at
        if due or self.exporter.link is Link.RESTING:
            wait = max(due - self._scheduler.clock.now, 0.0)
            self._timer = self._scheduler.after(wait, lambda: self._step(export.TimerFired()))

    def _act(self, effect: export.Effect) -> None:
        match effect:
            case export.Connect():
                self._turn += 1
                self._scheduler.spawn(self._run_connection, self._turn)
            case export.Greet():
                hello = pb.Hello(version=export.VERSION, server=self._server, incarnation=self._incarnation)
                self._send_frame(pb.Frame(hello=hello))
            case export.Send(block):
                self._count("ledger_blocks_sent")
                self._send_frame(pb.Frame(batch=pb.Batch(block=block.data, digest=block.digest)))
            case export.TellLost(incarnation, through, reason):
                self._count("ledger_blocks_lost")
                log.error("blocks lost", extra={"pairs": {"through": through, "reason": reason}})
                self._send_frame(
                    pb.Frame(lost=pb.Lost(incarnation=incarnation, through=through, reason=reason))
                )
            case export.RewindTo(have):
                self._source.rewind(have)
                self._count("ledger_links")
                log.info("export linked", extra={"pairs": {"incarnations": len(have)}})
                self.schedule_send()
            case export.BlockSettled(block):
                self._count("ledger_blocks_settled")
                self._source.settled(block)
                self.schedule_send()
            case export.Disconnect():
                self._turn += 1
                if self._stream is not None:
                    self._stream.close()
            case export.Counted(name, detail):
                self._count(f"ledger_export_{name}")
                log.warning("export", extra={"pairs": {"what": name, "detail": detail}})

    def _send_frame(self, kind: pb.Frame) -> None:
        if self._stream is not None:
            self._stream.write(frame(kind))
            self._stream.flush()

    def _run_connection(self, turn: int) -> None:
        """One connection from its making to its end."""
        stream = connect(self._scheduler, self._plan.address, self._plan.answer_timeout_s)
        if turn != self._turn:
            if stream is not None:
                stream.close()
            return
        reason = "no connection"
        if stream is not None:
            self._stream, frames = stream, Frames(MAX_FRAME_BYTES)
            self._step(export.Connected())
            reason = "closed by the collector"
            try:
                while turn == self._turn and (data := stream.read()):
                    for one in frames.feed(data):
                        self._received(one)
            except FrameError as trouble:
                reason = str(trouble)
            stream.close()
        if turn == self._turn:
            self._turn += 1
            self._step(export.ConnectionLost(reason))

    def _received(self, one: pb.Frame) -> None:
        match one.WhichOneof("kind"):
            case "welcome":
                told = one.welcome
                have = {each.incarnation: (each.number, each.digest) for each in told.have}
                self._step(export.WelcomeReceived(told.version, have))
            case "acknowledged":
                self._step(export.BlocksAcknowledged(one.acknowledged.incarnation, one.acknowledged.number))
            case "refused":
                self._step(export.RejectedByCollector(one.refused.fault[:40], one.refused.detail[:200]))
            case other:
                raise FrameError(f"{other} is not a collector's to send")

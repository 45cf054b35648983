"""The export's I/O: connection, timer and frames; `export.ExportState` has the logic."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..transport.scheduler import Scheduler, Timer
from ..transport.stream import Stream, connect
from . import export
from . import usage_metering_pb2 as pb
from .blocks import SealedBlock
from .export import Event, ExportState, LinkState, ReportLost
from .frames import FrameDecoder, FrameError, encode_frame
from .plan import ExportPlan
from .sources import BlockSource

MAX_FRAME_BYTES = 1 << 16  # all frames of a collector are short, except for its welcome

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
        self.export_state = ExportState(plan, chance)
        self._stream: Stream | None = None
        self._timer: Timer | None = None
        self._connection_number = 0
        self._step(export.TimerFired())

    @property
    def is_streaming(self) -> bool:
        """Whether blocks can be sent now."""
        return self.export_state.link is LinkState.STREAMING

    def send_next(self) -> bool:
        """Send the next blocks if the window has room; return whether there may be more now."""
        free_bytes = self.export_state.window_bytes_left
        return free_bytes > 0 and self._source.pull(free_bytes, self._handle_offer)

    def skip_backoff(self) -> None:
        """End a backoff at once, because the server shuts down."""
        if self.export_state.link is LinkState.BACKING_OFF:
            self.export_state._wake_at_s = self._scheduler.clock.now
            self._step(export.TimerFired())

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._stream is not None:
            self._stream.close()

    def _handle_offer(self, lost_reports: list[ReportLost], blocks: list[SealedBlock]) -> None:
        for lost_report in lost_reports:
            self._apply_effect(lost_report)
        self._step(export.BlocksOffered(tuple(blocks)))
        if not blocks or self.export_state.window_bytes_left:
            self.schedule_send()

    def schedule_send(self) -> None:
        """Schedule a call of `send_next`; replaced by the owner, who has the background scheduler."""

    def _step(self, event: Event) -> None:
        for effect in self.export_state.step(self._scheduler.clock.now, event):
            self._apply_effect(effect)
        if self._timer is not None:
            self._timer.cancel()
        wake_at = self.export_state.wake_at
        if wake_at or self.export_state.link is LinkState.BACKING_OFF:
            delay_s = max(wake_at - self._scheduler.clock.now, 0.0)
            self._timer = self._scheduler.after(delay_s, lambda: self._step(export.TimerFired()))

    def _apply_effect(self, effect: export.Effect) -> None:
        match effect:
            case export.Connect():
                self._connection_number += 1
                self._scheduler.spawn(self._run_connection, self._connection_number)
            case export.Greet():
                hello = pb.Hello(version=export.VERSION, server=self._server, incarnation=self._incarnation)
                self._send_frame(pb.Frame(hello=hello))
            case export.Send(block):
                self._count("ledger_blocks_sent")
                self._send_frame(pb.Frame(batch=pb.Batch(block=block.data, digest=block.digest)))
            case export.ReportLost(incarnation, through, reason):
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
                self._connection_number += 1
                if self._stream is not None:
                    self._stream.close()
            case export.Counted(name, detail):
                self._count(f"ledger_export_{name}")
                log.warning("export", extra={"pairs": {"what": name, "detail": detail}})

    def _send_frame(self, message: pb.Frame) -> None:
        if self._stream is not None:
            self._stream.write(encode_frame(message))
            self._stream.flush()

    def _run_connection(self, connection_number: int) -> None:
        """Run one connection, from connecting to its end."""
        stream = connect(self._scheduler, self._plan.address, self._plan.answer_timeout_s)
        if connection_number != self._connection_number:
            if stream is not None:
                stream.close()
            return
        reason = "no connection"
        if stream is not None:
            self._stream, decoder = stream, FrameDecoder(MAX_FRAME_BYTES)
            self._step(export.Connected())
            reason = "closed by the collector"
            try:
                while connection_number == self._connection_number and (data := stream.read()):
                    for message in decoder.feed(data):
                        self._handle_frame(message)
            except FrameError as error:
                reason = str(error)
            stream.close()
        if connection_number == self._connection_number:
            self._connection_number += 1
            self._step(export.ConnectionLost(reason))

    def _handle_frame(self, message: pb.Frame) -> None:
        match message.WhichOneof("kind"):
            case "welcome":
                welcome = message.welcome
                have = {
                    last_block.incarnation: (last_block.number, last_block.digest)
                    for last_block in welcome.have
                }
                self._step(export.WelcomeReceived(welcome.version, have))
            case "acknowledged":
                self._step(
                    export.BlocksAcknowledged(message.acknowledged.incarnation, message.acknowledged.number)
                )
            case "refused":
                self._step(
                    export.RejectedByCollector(message.refused.fault[:40], message.refused.detail[:200])
                )
            case other:
                raise FrameError(f"a collector must not send {other}")

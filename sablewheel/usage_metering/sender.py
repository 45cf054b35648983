"""The exporter's shell: connection, timer and frames; `export.Exporter` decides."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..transport.scheduler import Scheduler, Timer
from ..transport.stream import Stream, connect
from . import export
from . import usage_metering_pb2 as pb
from .blocks import Sealed
from .export import Event, Exporter, Link, TellLost
from .frames import FrameError, Frames, frame
from .plan import ExportPlan
from .sources import Source

FRAME_MOST = 1 << 16  # a collector's words are short but for its welcome

log = logging.getLogger(__name__)


class Sender:
    """One server's export."""

    def __init__(
        self,
        scheduler: Scheduler,
        plan: ExportPlan,
        server: str,
        incarnation: bytes,
        source: Source,
        chance: Callable[[], float],
        count: Callable[[str], None],
    ) -> None:
        self._scheduler, self._plan, self._count = scheduler, plan, count
        self._server, self._incarnation, self._source = server, incarnation, source
        self.exporter = Exporter(plan, chance)
        self._stream: Stream | None = None
        self._timer: Timer | None = None
        self._turn = 0
        self._step(export.Tick())

    @property
    def linked(self) -> bool:
        return self.exporter.link is Link.STREAMING

    def pump(self) -> bool:
        """Send one piece more, if the window has room; whether there may be another one now."""
        wants = self.exporter.wants
        return wants > 0 and self._source.pull(wants, self._deliver)

    def hurry(self) -> None:
        """The server leaves: rest no longer."""
        if self.exporter.link is Link.RESTING:
            self.exporter._wake = self._scheduler.clock.now
            self._step(export.Tick())

    def close(self) -> None:
        if self._stream is not None:
            self._stream.close()

    def _deliver(self, lost: list[TellLost], blocks: list[Sealed]) -> None:
        for one in lost:
            self._act(one)
        self._step(export.Offered(tuple(blocks)))
        if not blocks or self.exporter.wants:
            self.wanted()

    def wanted(self) -> None:
        """Replaced by whoever gives it its turns."""

    def _step(self, event: Event) -> None:
        for effect in self.exporter.step(self._scheduler.clock.now, event):
            self._act(effect)
        if self._timer is not None:
            self._timer.cancel()
        due = self.exporter.wake_at
        if due or self.exporter.link is Link.RESTING:
            wait = max(due - self._scheduler.clock.now, 0.0)
            self._timer = self._scheduler.after(wait, lambda: self._step(export.Tick()))

    def _act(self, effect: export.Effect) -> None:
        match effect:
            case export.Connect():
                self._turn += 1
                self._scheduler.spawn(self._link, self._turn)
            case export.Greet():
                hello = pb.Hello(version=export.VERSION, server=self._server, incarnation=self._incarnation)
                self._tell(pb.Frame(hello=hello))
            case export.Send(block):
                self._count("ledger_blocks_sent")
                self._tell(pb.Frame(batch=pb.Batch(block=block.data, digest=block.digest)))
            case export.TellLost(incarnation, through, reason):
                self._count("ledger_blocks_lost")
                log.error("blocks lost", extra={"pairs": {"through": through, "reason": reason}})
                self._tell(pb.Frame(lost=pb.Lost(incarnation=incarnation, through=through, reason=reason)))
            case export.Rewind(have):
                self._source.rewind(have)
                self._count("ledger_links")
                log.info("export linked", extra={"pairs": {"incarnations": len(have)}})
                self.wanted()
            case export.Settled(block):
                self._count("ledger_blocks_settled")
                self._source.settled(block)
                self.wanted()
            case export.Disconnect():
                self._turn += 1
                if self._stream is not None:
                    self._stream.close()
            case export.Note(name, detail):
                self._count(f"ledger_export_{name}")
                log.warning("export", extra={"pairs": {"what": name, "detail": detail}})

    def _tell(self, kind: pb.Frame) -> None:
        if self._stream is not None:
            self._stream.write(frame(kind))
            self._stream.flush()

    def _link(self, turn: int) -> None:
        """One connection from its making to its end."""
        stream = connect(self._scheduler, self._plan.address, self._plan.answer_within)
        if turn != self._turn:
            if stream is not None:
                stream.close()
            return
        reason = "no connection"
        if stream is not None:
            self._stream, frames = stream, Frames(FRAME_MOST)
            self._step(export.Connected())
            reason = "closed by the collector"
            try:
                while turn == self._turn and (data := stream.read()):
                    for one in frames.feed(data):
                        self._hear(one)
            except FrameError as trouble:
                reason = str(trouble)
            stream.close()
        if turn == self._turn:
            self._turn += 1
            self._step(export.Broken(reason))

    def _hear(self, one: pb.Frame) -> None:
        match one.WhichOneof("kind"):
            case "welcome":
                told = one.welcome
                have = {each.incarnation: (each.number, each.digest) for each in told.have}
                self._step(export.Welcomed(told.version, have))
            case "acknowledged":
                self._step(export.Confirmed(one.acknowledged.incarnation, one.acknowledged.number))
            case "refused":
                self._step(export.TurnedAway(one.refused.fault[:40], one.refused.detail[:200]))
            case other:
                raise FrameError(f"{other} is not a collector's to send")

"""Membership in the server: datagrams, frames and timers become the node's events, and its effects go out.

Decides nothing. Datagrams carry all but the full state, which goes over TCP, a frame a connection: it may be
larger than a datagram, and it heals what datagrams lost. A tool asks on the same port, over TCP as well.
"""

from __future__ import annotations

import logging
import random
import time
from collections import deque
from collections.abc import Callable
from dataclasses import replace

from ..transport.datagram import Mailbox
from ..transport.scheduler import Scheduler
from ..transport.stream import Listener, Stream, connect
from ..transport.wakeup import Wake
from . import codec
from .events import (
    Event,
    FactReported,
    LeaveRequested,
    LogLine,
    MessageReceived,
    Send,
    TimerFired,
    ViewInstalled,
)
from .messages import COUNTER_NAMES, Envelope, Message, StatusRequest, Sync
from .node import Node
from .plan import Address, MembershipPlan, address_of
from .view import Fact, Member, Metadata, View, fingerprint

MAX_CONCURRENT_FRAMES_OUT = (
    8  # full states on their way at once, each with a descriptor; more wait their turn
)
MAX_QUEUED_FRAMES = 2048  # one to each member, and each who joins; past it the next exchange heals the loss
MAX_CONCURRENT_FRAMES_IN = 32  # at once; more wait in the kernel's line
FRAME_TIMEOUT_S = 2.0  # from connecting to the last byte, each way
VIEW_LOG_MESSAGES = ("view", "left out", "removed", "added", "leaving", "paused", "classic round")

log = logging.getLogger(__name__)
views = logging.getLogger(f"{__name__}.view")  # bounded apart: a storm of suspicions must not hide a view


class MembershipService:
    """This server's part in its fleet."""

    def __init__(
        self,
        scheduler: Scheduler,
        plan: MembershipPlan,
        name: str,
        seed: int,
        clock: Callable[[], float] = time.monotonic,
        says: Metadata = (),
    ) -> None:
        """`says` goes with the plan's: pairs of key and value; ValueError past the bounds of `Member`."""
        self._scheduler, self._plan, self._clock = scheduler, plan, clock
        self._counters: dict[str, int] = {}
        incarnation = round(scheduler.clock.now * 1000)
        told = tuple(sorted(plan.metadata + tuple(says)))
        me = Member(name, plan.advertise, plan.zone, plan.region, incarnation, told)
        chance = random.Random(f"{seed}-{name}-{incarnation}")
        # The node's clock is the machine's steady one: a clock that is set moves no timeout.
        self.node = Node(me, plan.seeds, plan.settings, chance, clock())
        self._wakeup = Wake(scheduler, clock, self._handle_timer)
        self._frames_out = self._frames_in = 0
        self._queued_frames: dict[tuple[Address, bool], tuple[Message, float]] = {}  # frames, and until when
        self._last_encoded_frame: tuple[Message, bytes] | None = (
            None  # the last frame's bytes, while others wait
        )
        self._open = True
        self._view_callbacks: list[Callable[[View], None]] = []
        self._views_to_announce: deque[View] = (
            deque()
        )  # installed, and not told yet; what is told may install more
        self._last_announced_view: View | None = None
        self._announcing = False
        self._socket = Mailbox(scheduler, plan.listen, codec.MAX_PACKET_BYTES, self._handle_datagram)
        try:
            self._listener = Listener(
                scheduler,
                plan.listen,
                lambda: self._frames_in < MAX_CONCURRENT_FRAMES_IN,
                self._handle_connection,
                self._handle_connection_limit,
            )
        except OSError:
            self._socket.close()
            raise
        scheduler.spawn(self._step, TimerFired())

    # -- what the program and other features ask

    @property
    def node_name(self) -> str:
        """This member's name."""
        return self.node.local_member.name

    @property
    def view(self) -> View | None:
        """The agreed view; None until this member is let in."""
        return self.node.view

    def on_view(self, callback: Callable[[View], None]) -> None:
        """Each view this member installs, once and in order, and at once the last one if there is one.

        One that it is not in itself is told too: it was left out, and holds no view until it is let in again.
        A fault in a callback is logged and counted (`members_faults`), and the others still hear.
        """
        self._view_callbacks.append(callback)
        if self._last_announced_view is not None:
            self._call_view_callback(callback, self._last_announced_view)

    def report_fact(self, fact: Fact) -> None:
        """What this member holds to be due; the fleet's value is `View.fact`. ValueError past the bounds."""
        if not 0 < len(fact.key) <= codec.MAX_NAME_CHARACTERS or len(fact.value) > codec.MAX_NAME_CHARACTERS:
            raise ValueError(
                f"fact {fact.key!r}: over {codec.MAX_NAME_CHARACTERS} characters, or without a key"
            )
        self._step(FactReported(fact))

    def leave(self) -> None:
        """The notice to leave: said at once, while what is open is still answered."""
        self._step(LeaveRequested())

    def close(self) -> None:
        self._open = False
        self._wakeup.cancel()
        self._socket.close()
        self._listener.close()

    def gauges(self) -> dict[str, object]:
        node, view = self.node, self.node.view
        told: dict[str, object] = {
            "members": len(node.members),
            "members_epoch": view.epoch if view is not None else 0,
            "members_view": fingerprint(view) if view is not None else "-",
            "members_suspected": len(node.suspicions.by_name),
            "members_health": node.failure_detector.health_score,
        }
        counts = {**node.counters, **self._counters}
        return told | {f"members_{name}": count for name, count in sorted(counts.items())}

    # -- events in

    def _step(self, event: Event) -> None:
        if not self._open:
            return
        try:
            effects = self.node.step(self._clock(), event)
            for effect in effects:
                match effect:
                    case Send():
                        self._send(effect)
                    case ViewInstalled(view):
                        self._views_to_announce.append(view)
                    case LogLine():
                        self._write_log_line(effect)
        except Exception:
            # A fault of ours in here must not take the server's requests along.
            self._count("faults")
            log.exception("membership step ended by a fault")
        self._wakeup.set(self.node.next_wakeup)
        self._announce_views()

    def _announce_views(self) -> None:
        if self._announcing:
            return  # by whoever began: a callback that judges, or waits, must not turn the order round
        self._announcing = True
        try:
            while self._views_to_announce:
                self._last_announced_view = view = self._views_to_announce.popleft()
                for callback in list(self._view_callbacks):
                    self._call_view_callback(callback, view)
        finally:
            self._announcing = False

    def _call_view_callback(self, callback: Callable[[View], None], view: View) -> None:
        try:
            callback(view)
        except Exception:
            self._count("faults")
            log.exception("callback of a view ended by a fault", extra={"pairs": {"epoch": view.epoch}})

    def _handle_timer(self) -> None:
        self._step(TimerFired())

    def _handle_datagram(self, data: bytes, source: tuple[str, int]) -> None:
        self._count("bytes_in", len(data))
        try:
            message = codec.decode(data)
        except codec.BadPacketError as trouble:
            return self._drop_packet(str(trouble), source)
        if isinstance(message.body, StatusRequest | Sync):
            return self._drop_packet(
                "belongs to TCP", source
            )  # a forged source must not fetch a large answer
        self._handle_message(message, source)

    def _handle_message(self, message: Message, source: tuple[str, int]) -> None:
        self._count(f"in_{COUNTER_NAMES[type(message.body)]}")
        self._step(MessageReceived(message, f"{source[0]}:{source[1]}"))

    def _drop_packet(self, reason: str, source: tuple[str, int]) -> None:
        self._count("packets_bad")
        pairs = {"from": f"{source[0]}:{source[1]}", "reason": reason}
        log.warning("packet dropped", extra={"pairs": pairs})

    # -- effects out

    def _send(self, effect: Send) -> None:
        address = address_of(effect.address)
        kind = COUNTER_NAMES[type(effect.message.body)]
        if address is None:
            return self._count("unsent")
        if isinstance(effect.message.body, Sync):
            return self._queue_frame(effect.message, effect.message.body.is_reply, address)
        try:
            data = codec.encode(effect.message)
        except codec.BadPacketError:
            return self._count("unsent")  # an address or a view of absurd size: not worth a fall
        if self._socket.send(data, address):
            self._count(f"out_{kind}")
            self._count("bytes_out", len(data))
        else:
            self._count("unsent")

    def _queue_frame(self, message: Message, reply: bool, address: Address) -> None:
        """Whoever founds a fleet, or lets many in, has a frame for each of them at once."""
        place = address, reply  # a later one takes the place of one that waits
        if place not in self._queued_frames and len(self._queued_frames) >= MAX_QUEUED_FRAMES:
            return self._count("frames_dropped")
        self._queued_frames[place] = message, self._clock() + FRAME_TIMEOUT_S
        if self._frames_out < MAX_CONCURRENT_FRAMES_OUT:
            self._frames_out += 1
            self._scheduler.spawn(self._send_frames)

    def _send_frames(self) -> None:
        """One after the other, while any wait; who was not reached in time asks again anyway."""
        try:
            while self._open and self._queued_frames:
                place = next(iter(self._queued_frames))
                message, due = self._queued_frames.pop(place)
                if self._clock() > due:
                    self._count("frames_aged")
                else:
                    self._send_frame(message, place[0])
        finally:
            self._frames_out -= 1
            if not self._frames_out:
                self._last_encoded_frame = None

    def _send_frame(self, message: Message, address: Address) -> None:
        stream = None
        try:
            stream = connect(self._scheduler, address, FRAME_TIMEOUT_S, self._plan.listen[0])
            if stream is None:
                return self._count("frames_failed")
            limit = self._scheduler.after(FRAME_TIMEOUT_S, stream.close)
            if self._last_encoded_frame is None or self._last_encoded_frame[0] != message:
                self._last_encoded_frame = (
                    message,
                    codec.frame(message),
                )  # a large view is dear, and many get the same
            data = self._last_encoded_frame[1]
            self._count("out_sync")
            self._count("bytes_out", len(data))
            stream.write(data)
            stream.flush()
            stream.read()  # the other side closes once it has it all
            limit.cancel()
        except codec.BadPacketError:
            self._count("unsent")  # a view of absurd size: not worth a fall
        finally:
            if stream is not None:
                stream.close()

    def _handle_connection_limit(self) -> None:
        self._count("frames_crowded")

    def _handle_connection(self, stream: Stream) -> None:
        self._frames_in += 1
        self._scheduler.spawn(self._serve_connection, stream)

    def _serve_connection(self, stream: Stream) -> None:
        """One frame of one connection, within a bounded time; a tool has its answer on it."""
        limit = self._scheduler.after(FRAME_TIMEOUT_S, stream.close)
        try:
            data = bytearray()
            while len(data) < 4 or len(data) < 4 + codec.frame_length(bytes(data[:4])):
                got = stream.read()
                if not got:
                    return self._count("frames_cut")
                data += got
            self._count("bytes_in", len(data))
            message = codec.decode(bytes(data[4:]), codec.MAX_FRAME_BYTES)
            match message.body:
                case StatusRequest():
                    told = self.node.status(self._clock())
                    told = replace(
                        told, counters=tuple(sorted({**self.node.counters, **self._counters}.items()))
                    )
                    epoch = told.view.epoch if told.view is not None else 0
                    answer = Message(Envelope(self.node.local_member.name, epoch), told)
                    stream.write(codec.frame(answer))
                    stream.flush()
                    while stream.open and not stream.all_sent:
                        self._scheduler.sleep(0.005)
                case Sync():
                    self._handle_message(message, ("", 0))
                case _:
                    self._drop_packet("belongs to a datagram", ("tcp", 0))
        except codec.BadPacketError as trouble:
            self._drop_packet(str(trouble), ("tcp", 0))
        finally:
            limit.cancel()
            self._frames_in -= 1
            stream.close()

    def _write_log_line(self, note: LogLine) -> None:
        to = views if note.message in VIEW_LOG_MESSAGES else log
        to.info(note.message, extra={"pairs": note.fields})

    def _count(self, name: str, many: int = 1) -> None:
        self._counters[name] = self._counters.get(name, 0) + many

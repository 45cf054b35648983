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

from ..transport.datagram import DatagramSocket
from ..transport.listening_socket import Listener
from ..transport.scheduler import Scheduler
from ..transport.stream import Stream, connect
from ..transport.wakeup import Wakeup
from . import codec
from .events import Event, Got, Judge, Note, Part, Send, Tick, Viewed
from .messages import Ask, Envelope, Message, Sync
from .node import Node
from .plan import Address, MembershipPlan, address_of
from .view import Fact, Member, Says, View, fingerprint

FRAMES_OUT_MOST = 8  # full states on their way at once, each with a descriptor; more wait their turn
FRAMES_WAITING_MOST = 2048  # one to each member, and each who joins; past it the next exchange heals the loss
FRAMES_IN_MOST = 32  # at once; more wait in the kernel's line
FRAME_WITHIN = 2.0  # from connecting to the last byte, each way
LOUD = ("view", "left out", "removed", "added", "leaving", "paused", "classic round")

log = logging.getLogger(__name__)
views = logging.getLogger(f"{__name__}.view")  # bounded apart: a storm of suspicions must not hide a view


class Fleet:
    """This server's part in its fleet."""

    def __init__(
        self,
        scheduler: Scheduler,
        plan: MembershipPlan,
        name: str,
        seed: int,
        clock: Callable[[], float] = time.monotonic,
        says: Says = (),
    ) -> None:
        """`says` goes with the plan's: pairs of key and value; ValueError past the bounds of `Member`."""
        self._scheduler, self._plan, self._clock = scheduler, plan, clock
        self._counts: dict[str, int] = {}
        incarnation = round(scheduler.clock.now * 1000)
        told = tuple(sorted(plan.says + tuple(says)))
        me = Member(name, plan.advertise, plan.zone, plan.region, incarnation, told)
        chance = random.Random(f"{seed}-{name}-{incarnation}")
        # The node's clock is the machine's steady one: a clock that is set moves no timeout.
        self.node = Node(me, plan.seeds, plan.settings, chance, clock())
        self._wake = Wakeup(scheduler, clock, self._ring)
        self._frames_out = self._frames_in = 0
        self._waiting: dict[tuple[Address, bool], tuple[Message, float]] = {}  # frames, and until when
        self._framed: tuple[Message, bytes] | None = None  # the last frame's bytes, while others wait
        self._open = True
        self._listeners: list[Callable[[View], None]] = []
        self._views: deque[View] = deque()  # installed, and not told yet; what is told may install more
        self._told: View | None = None
        self._telling = False
        self._mail = DatagramSocket(scheduler, plan.listen, codec.PACKET_MOST, self._datagram)
        try:
            self._listener = Listener(
                scheduler,
                plan.listen,
                lambda: self._frames_in < FRAMES_IN_MOST,
                self._accepted,
                self._crowded,
            )
        except OSError:
            self._mail.close()
            raise
        scheduler.spawn(self._step, Tick())

    # -- what the program and other features ask

    @property
    def me(self) -> str:
        """This member's name."""
        return self.node.me.name

    @property
    def view(self) -> View | None:
        """The agreed view; None until this member is let in."""
        return self.node.view

    def on_view(self, callback: Callable[[View], None]) -> None:
        """Each view this member installs, once and in order, and at once the last one if there is one.

        One that it is not in itself is told too: it was left out, and holds no view until it is let in again.
        A fault in a callback is logged and counted (`members_faults`), and the others still hear.
        """
        self._listeners.append(callback)
        if self._told is not None:
            self._tell(callback, self._told)

    def judge(self, fact: Fact) -> None:
        """What this member holds to be due; the fleet's value is `View.fact`. ValueError past the bounds."""
        if not 0 < len(fact.key) <= codec.NAME_MOST or len(fact.value) > codec.NAME_MOST:
            raise ValueError(f"fact {fact.key!r}: over {codec.NAME_MOST} characters, or without a key")
        self._step(Judge(fact))

    def leave(self) -> None:
        """The notice to leave: said at once, while what is open is still answered."""
        self._step(Part())

    def close(self) -> None:
        self._open = False
        self._wake.cancel()
        self._mail.close()
        self._listener.close()

    def gauges(self) -> dict[str, object]:
        node, view = self.node, self.node.view
        told: dict[str, object] = {
            "members": len(node.members),
            "members_epoch": view.epoch if view is not None else 0,
            "members_view": fingerprint(view) if view is not None else "-",
            "members_suspected": len(node.suspicions.held),
            "members_health": node.detector.health,
        }
        counts = {**node.counts, **self._counts}
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
                    case Viewed(view):
                        self._views.append(view)
                    case Note():
                        self._note(effect)
        except Exception:
            # A fault of ours in here must not take the server's requests along.
            self._count("faults")
            log.exception("membership step ended by a fault")
        self._wake.set(self.node.wake_at)
        self._tell_views()

    def _tell_views(self) -> None:
        if self._telling:
            return  # by whoever began: a callback that judges, or waits, must not turn the order round
        self._telling = True
        try:
            while self._views:
                self._told = view = self._views.popleft()
                for callback in list(self._listeners):
                    self._tell(callback, view)
        finally:
            self._telling = False

    def _tell(self, callback: Callable[[View], None], view: View) -> None:
        try:
            callback(view)
        except Exception:
            self._count("faults")
            log.exception("callback of a view ended by a fault", extra={"pairs": {"epoch": view.epoch}})

    def _ring(self) -> None:
        self._step(Tick())

    def _datagram(self, data: bytes, source: tuple[str, int]) -> None:
        self._count("bytes_in", len(data))
        try:
            message = codec.decode(data)
        except codec.BadPacketError as trouble:
            return self._bad(str(trouble), source)
        if isinstance(message.body, Ask | Sync):
            return self._bad("belongs to TCP", source)  # a forged source must not fetch a large answer
        self._got(message, source)

    def _got(self, message: Message, source: tuple[str, int]) -> None:
        self._count(f"in_{type(message.body).__name__.lower()}")
        self._step(Got(message, f"{source[0]}:{source[1]}"))

    def _bad(self, reason: str, source: tuple[str, int]) -> None:
        self._count("packets_bad")
        pairs = {"from": f"{source[0]}:{source[1]}", "reason": reason}
        log.warning("packet dropped", extra={"pairs": pairs})

    # -- effects out

    def _send(self, effect: Send) -> None:
        address = address_of(effect.address)
        kind = type(effect.message.body).__name__.lower()
        if address is None:
            return self._count("unsent")
        if isinstance(effect.message.body, Sync):
            return self._queue_frame(effect.message, effect.message.body.reply, address)
        try:
            data = codec.encode(effect.message)
        except codec.BadPacketError:
            return self._count("unsent")  # an address or a view of absurd size: not worth a fall
        if self._mail.send(data, address):
            self._count(f"out_{kind}")
            self._count("bytes_out", len(data))
        else:
            self._count("unsent")

    def _queue_frame(self, message: Message, reply: bool, address: Address) -> None:
        """Whoever founds a fleet, or lets many in, has a frame for each of them at once."""
        place = address, reply  # a later one takes the place of one that waits
        if place not in self._waiting and len(self._waiting) >= FRAMES_WAITING_MOST:
            return self._count("frames_dropped")
        self._waiting[place] = message, self._clock() + FRAME_WITHIN
        if self._frames_out < FRAMES_OUT_MOST:
            self._frames_out += 1
            self._scheduler.spawn(self._send_frames)

    def _send_frames(self) -> None:
        """One after the other, while any wait; who was not reached in time asks again anyway."""
        try:
            while self._open and self._waiting:
                place = next(iter(self._waiting))
                message, due = self._waiting.pop(place)
                if self._clock() > due:
                    self._count("frames_aged")
                else:
                    self._send_frame(message, place[0])
        finally:
            self._frames_out -= 1
            if not self._frames_out:
                self._framed = None

    def _send_frame(self, message: Message, address: Address) -> None:
        stream = None
        try:
            stream = connect(self._scheduler, address, FRAME_WITHIN, self._plan.listen[0])
            if stream is None:
                return self._count("frames_failed")
            limit = self._scheduler.after(FRAME_WITHIN, stream.close)
            if self._framed is None or self._framed[0] != message:
                self._framed = message, codec.frame(message)  # a large view is dear, and many get the same
            data = self._framed[1]
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

    def _crowded(self) -> None:
        self._count("frames_crowded")

    def _accepted(self, stream: Stream) -> None:
        self._frames_in += 1
        self._scheduler.spawn(self._take_frame, stream)

    def _take_frame(self, stream: Stream) -> None:
        """One frame of one connection, within a bounded time; a tool has its answer on it."""
        limit = self._scheduler.after(FRAME_WITHIN, stream.close)
        try:
            data = bytearray()
            while len(data) < 4 or len(data) < 4 + codec.frame_length(bytes(data[:4])):
                got = stream.read()
                if not got:
                    return self._count("frames_cut")
                data += got
            self._count("bytes_in", len(data))
            message = codec.decode(bytes(data[4:]), codec.FRAME_MOST)
            match message.body:
                case Ask():
                    told = self.node.told(self._clock())
                    told = replace(told, counts=tuple(sorted({**self.node.counts, **self._counts}.items())))
                    epoch = told.view.epoch if told.view is not None else 0
                    answer = Message(Envelope(self.node.me.name, epoch), told)
                    stream.write(codec.frame(answer))
                    stream.flush()
                    while stream.open and not stream.all_sent:
                        self._scheduler.sleep(0.005)
                case Sync():
                    self._got(message, ("", 0))
                case _:
                    self._bad("belongs to a datagram", ("tcp", 0))
        except codec.BadPacketError as trouble:
            self._bad(str(trouble), ("tcp", 0))
        finally:
            limit.cancel()
            self._frames_in -= 1
            stream.close()

    def _note(self, note: Note) -> None:
        to = views if note.what in LOUD else log
        to.info(note.what, extra={"pairs": note.fields})

    def _count(self, name: str, many: int = 1) -> None:
        self._counts[name] = self._counts.get(name, 0) + many

"""One TCP connection to each peer that is needed, made on demand; frames of any kind for who asked for them.

Frames are unreliable: what a broken link had under way is lost, what is too old is dropped, and a full queue
takes nothing. `send` blocks nobody. Who is not in the agreed view under the incarnation that it says is not
listened to; one that has left the view is heard for a short while longer, on the link it had, by those who
only want back what they gave it. Decides nothing about what it carries.
"""

from __future__ import annotations

import logging
import time
from collections import deque
from collections.abc import Callable

from ..membership.plan import address_of
from ..membership.view import View
from ..transport.scheduler import Scheduler
from ..transport.stream import Listener, Stream, connect
from . import forwarding_pb2 as pb
from .frames import BadFrameError, Frames, Hops, frame
from .plan import Address, LinkSettings

WINDOW = 65_536  # bytes handed to a connection beyond what it has sent; past it one accepted reads no more
LINKS_LEAST = 64  # connections there is room for in any view, small or not there yet
LINKS_EACH = 2  # a member: two that reach for each other at once have both for a moment
LOOK = 0.005  # while a connection takes no more
SAYS = "link"  # under which a member says where its links are reached

log = logging.getLogger(__name__)
Handler = Callable[[str, bytes], None]


class Queued:
    """A frame that waits for its connection."""

    __slots__ = ("data", "due", "unsent")

    def __init__(self, data: bytes, due: float, unsent: Callable[[], None] | None) -> None:
        self.data, self.due, self.unsent = data, due, unsent


class Wire:
    """One connection whose hellos are through."""

    def __init__(
        self, stream: Stream, frames: Frames, peer: str, incarnation: int, made_here: bool, now: float
    ) -> None:
        self.stream, self.peer, self.incarnation, self.made_here = stream, peer, incarnation, made_here
        self.hops, self.frames = Hops(), frames
        self.heard = now
        self.handed = 0  # bytes since all was sent
        self.parted: float | None = None  # the peer left the view, and until when it is still heard


class Peer:
    """What is queued for one peer, and how it is reached."""

    def __init__(self, name: str, rest: float) -> None:
        self.name, self.rest = name, rest
        self.queue: deque[Queued] = deque()
        self.bytes = 0
        self.wire: Wire | None = None  # what goes out goes out here
        self.connecting = False
        self.not_before = 0.0


class Links:
    """This member's links. It speaks as the view has it, under the incarnation that was agreed; a view that
    still has an earlier self of it, from before `born`, gives it no links.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        listen: Address,
        settings: LinkSettings,
        name: str,
        born: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._scheduler, self._settings, self._clock = scheduler, settings, clock
        self.name, self._born = name, born
        self._incarnation: int | None = None  # None: not in the view
        self._host = listen[0] if listen[0] != "0.0.0.0" else ""
        self._peers: dict[str, Peer] = {}
        self._wires: dict[Wire, None] = {}
        self._guests = 0  # connections that have not said hello yet
        self._handlers: dict[str, tuple[Handler, bool]] = {}
        self._on_broken: list[Callable[[str], None]] = []
        self._addresses: dict[str, tuple[int, Address]] = {}  # who may be spoken with: incarnation, where
        self._epoch = 0
        self._dirty: dict[Peer, None] = {}
        self._beating = self._looking = False
        self._beat_at = 0.0
        self._open = True
        self.counts: dict[str, int] = {}
        self.hop = 0.0  # of the frame that a handler is called with, seconds, never less than it was
        self._listener = Listener(
            scheduler, listen, self._room, self._accepted, lambda: self._count("crowded")
        )

    # -- what features ask

    def on(self, kind: str, handler: Handler, parted: bool = False) -> None:
        """Frames of a kind go to `handler(member's name, payload)`; `parted`: also those of a member that has
        just left the view."""
        if kind in self._handlers:
            raise ValueError(f"kind {kind!r} has its handler")
        self._handlers[kind] = (handler, parted)

    def on_broken(self, callback: Callable[[str], None]) -> None:
        """A connection to a member is lost, with what was under way on it."""
        self._on_broken.append(callback)

    def send(
        self, to: str, kind: str, payload: bytes, within: float, unsent: Callable[[], None] | None = None
    ) -> bool:
        """Queue a frame that is worth nothing after `within` seconds; False: refused here and now.

        `unsent` is called in a later round if it is sure that no byte of it left.
        """
        now, peer = self._clock(), self._peers.get(to)
        known = to in self._addresses and self._incarnation is not None
        known = known or (peer is not None and peer.wire is not None)
        if not self._open or not known or to == self.name:
            return self._refuse("refused_unknown")
        if peer is None:
            peer = self._peers[to] = Peer(to, self._settings.rest_first)
        if peer.wire is None and not peer.connecting and now < peer.not_before:
            return self._refuse("refused_resting")
        told = pb.Frame(sent=now, data=pb.Data(kind=kind, payload=payload, within=max(within, 0.0)))
        data = frame(told)
        settings = self._settings
        if len(data) > settings.frame_most:
            return self._refuse("refused_large")
        if len(peer.queue) >= settings.queue_frames or peer.bytes + len(data) > settings.queue_bytes:
            return self._refuse("refused_full")
        peer.queue.append(Queued(data, now + within, unsent))
        peer.bytes += len(data)
        self._dirty[peer] = None
        if peer.wire is None and not peer.connecting:
            if not self._room():
                self._drop_queue(peer, "refused_links")
                return True  # told by `unsent`, as it is with any connection that is not made
            peer.connecting = True
            self._scheduler.spawn(self._reach, peer)
        return True

    def view(self, view: View) -> None:
        """Who may be spoken with from now on: the members of the agreed view, where they say that they are
        reached."""
        now = self._clock()
        self._epoch = view.epoch
        me = view.get(self.name)
        self._incarnation = me.incarnation if me is not None and me.incarnation >= self._born else None
        reached = [(one, address_of(one.metadata_value(SAYS))) for one in view.members]
        self._addresses = {one.name: (one.incarnation, at) for one, at in reached if at is not None}
        for wire in list(self._wires):
            known = self._addresses.get(wire.peer)
            if known is not None and known[0] == wire.incarnation:
                wire.parted = None
            elif known is not None:
                self._lose(wire, "stale")  # a new self stands in its place
            elif wire.parted is None:
                wire.parted = now + self._settings.linger
        for peer in list(self._peers.values()):
            if peer.name not in self._addresses and peer.wire is None and not peer.connecting:
                self._drop_queue(peer, "dropped_parted")
                del self._peers[peer.name]

    def linked(self, name: str) -> bool:
        """Whether there is a link to it right now."""
        peer = self._peers.get(name)
        return peer is not None and peer.wire is not None

    @property
    def room_for(self) -> int:
        """Connections there may be by now: as many as the members of the view need, within the bound."""
        return min(self._settings.links_most, max(LINKS_LEAST, LINKS_EACH * len(self._addresses)))

    @property
    def quiet(self) -> bool:
        """Whether all that was sent has left this machine."""
        return not any(peer.queue for peer in self._peers.values()) and all(
            wire.stream.all_sent for wire in self._wires
        )

    def end_round(self) -> None:
        """All that was queued goes out, connection by connection."""
        if not self._dirty:
            return
        dirty, self._dirty = self._dirty, {}
        for peer in dirty:
            if peer.wire is not None:
                self._write(peer, peer.wire)

    def close(self) -> None:
        self._open = False
        self._listener.close()
        for wire in list(self._wires):
            wire.stream.write(frame(pb.Frame(sent=self._clock(), bye=pb.Bye())))
            wire.stream.flush()
            wire.stream.close()
        self._wires.clear()
        self._peers.clear()

    def gauges(self) -> dict[str, object]:
        told: dict[str, object] = {
            "links": len(self._wires),
            "links_queued": sum(len(peer.queue) for peer in self._peers.values()),
        }
        return told | {f"links_{name}": count for name, count in sorted(self.counts.items())}

    # -- out

    def _write(self, peer: Peer, wire: Wire) -> None:
        now, stream = self._clock(), wire.stream
        if stream.all_sent:
            wire.handed = 0
        while peer.queue and wire.handed < WINDOW:
            one = peer.queue.popleft()
            peer.bytes -= len(one.data)
            if now > one.due:
                self._not_sent(one, "dropped_aged")
                continue
            self._count("frames_out")
            wire.handed += len(one.data)
            stream.write(one.data)
        stream.flush()
        if not stream.open:
            self._scheduler.spawn(self._lose, wire, "closed")  # the round is over for what would follow
        elif peer.queue:
            self._dirty[peer] = None
            if not self._looking:  # the connection takes no more for now
                self._looking = True
                self._scheduler.after(LOOK, self._look)

    def _look(self) -> None:
        self._looking = False  # the end of this round writes on

    def _not_sent(self, one: Queued, why: str) -> None:
        self._count(why)
        if one.unsent is not None:
            self._scheduler.spawn(one.unsent)

    def _drop_queue(self, peer: Peer, why: str) -> None:
        queue, peer.queue = peer.queue, deque()
        peer.bytes = 0
        for one in queue:
            self._not_sent(one, why)

    def _reach(self, peer: Peer) -> None:
        """Make the connection that is needed, once; what waited for it is told if there is none."""
        wire = None
        try:
            known = self._addresses.get(peer.name)
            if known is not None and peer.wire is None:
                wire = self._greet(peer.name, *known)
        finally:
            peer.connecting = False
            if wire is None and peer.wire is None:
                peer.not_before = self._clock() + peer.rest
                peer.rest = min(2 * peer.rest, self._settings.rest_last)
                self._drop_queue(peer, "dropped_unreached")
        if wire is not None:
            self._serve(wire)

    def _greet(self, name: str, incarnation: int, address: Address) -> Wire | None:
        """A connection on which both have said who they are; None: not within its time."""
        begun, within = self._clock(), self._settings.connect_within
        stream = connect(self._scheduler, address, within, self._host)
        if stream is None:
            self._count("connects_failed")
            return None
        limit = self._scheduler.after(max(begun + within - self._clock(), 0.0), stream.close)
        frames = Frames()
        stream.write(frame(self._hello(name, None)))
        stream.flush()
        try:
            told = self._next(stream, frames)
            now = self._clock()
            if told is None or told.WhichOneof("body") != "hello" or not told.hello.HasField("echo"):
                self._count("connects_refused")
            elif not self._valid(told.hello) or (told.hello.name, told.hello.incarnation) != (
                name,
                incarnation,
            ):
                self._count("connects_foreign")
            else:
                wire = Wire(stream, frames, name, incarnation, True, now)
                wire.hops.echoed(now, told.hello.echo.of, told.hello.echo.got)
                echo = pb.Echo(of=told.sent, got=now)
                stream.write(frame(pb.Frame(sent=now, echo=echo)))
                stream.flush()
                return wire
        except BadFrameError as trouble:
            self._bad(name, trouble)
        finally:
            limit.cancel()
        stream.close()
        return None

    # -- in

    def _room(self) -> bool:
        return len(self._wires) + self._guests < self.room_for

    def _accepted(self, stream: Stream) -> None:
        self._guests += 1
        self._scheduler.spawn(self._welcome, stream)

    def _welcome(self, stream: Stream) -> None:
        """Who connects says who it is, within its time, or goes."""
        limit = self._scheduler.after(self._settings.connect_within, stream.close)
        wire, frames = None, Frames()
        try:
            told = self._next(stream, frames)
            if told is None:
                self._count("hellos_missing")
            elif told.WhichOneof("body") != "hello" or not self._valid(told.hello):
                self._count("hellos_refused")
            else:
                hello, got = told.hello, self._clock()
                stream.write(frame(self._hello(hello.name, pb.Echo(of=told.sent, got=got))))
                stream.flush()
                told = self._next(stream, frames)
                if told is None or told.WhichOneof("body") != "echo":
                    self._count("hellos_unanswered")  # it does not take us for whom it wants
                elif self._valid(hello):
                    now = self._clock()
                    wire = Wire(stream, frames, hello.name, hello.incarnation, False, now)
                    wire.hops.echoed(now, told.echo.of, told.echo.got)
        except BadFrameError as trouble:
            self._bad("", trouble)
        finally:
            self._guests -= 1
            limit.cancel()
            if wire is None:
                stream.close()
        if wire is not None:
            self._serve(wire)

    def _next(self, stream: Stream, frames: Frames) -> pb.Frame | None:
        data: bytes = b""
        while True:
            for told in frames.feed(data):
                return told
            data = stream.read()
            if not data:
                return None

    def _valid(self, hello: pb.Hello) -> bool:
        """Whether it is a member under that incarnation, who means this one."""
        known = self._addresses.get(hello.name)
        known_here = known is not None and known[0] == hello.incarnation and hello.name != self.name
        return known_here and hello.to == self.name and self._incarnation is not None

    def _hello(self, to: str, echo: pb.Echo | None) -> pb.Frame:
        told = pb.Hello(
            name=self.name, incarnation=self._incarnation or 0, epoch=self._epoch, to=to, echo=echo
        )
        return pb.Frame(sent=self._clock(), hello=told)

    # -- a wire's life

    def _serve(self, wire: Wire) -> None:
        """Read until the end; then what was under way is lost."""
        frames = wire.frames
        frames.most = self._settings.frame_most
        if not self._open or not wire.stream.open:
            return wire.stream.close()
        peer = self._peers.setdefault(wire.peer, Peer(wire.peer, self._settings.rest_first))
        for old in [one for one in self._wires if one.peer == wire.peer and not one.made_here]:
            if not wire.made_here:
                self._lose(old, "replaced")  # the peer would not connect anew if it still had that one
        self._wires[wire] = None
        peer.wire, peer.rest = wire, self._settings.rest_first
        self._dirty[peer] = None
        self._count("made")
        log.info("link", extra={"pairs": {"peer": wire.peer, "by": "us" if wire.made_here else "them"}})
        if not self._beating:
            self._beating, self._beat_at = True, self._clock()
            self._scheduler.after(self._settings.ping_every, self._beat)
        reason = "closed"
        try:
            data: bytes = b""
            while True:
                for told in frames.feed(data):
                    if wire not in self._wires or not self._take(wire, told):
                        return
                data = wire.stream.read()
                if not data:
                    return
                wire.heard = self._clock()
        except BadFrameError as trouble:
            reason = "bad"
            self._bad(wire.peer, trouble)
        finally:
            self._lose(wire, reason)

    def _take(self, wire: Wire, told: pb.Frame) -> bool:
        """One frame; False: the other side takes its leave."""
        now = self._clock()
        match told.WhichOneof("body"):
            case "ping":
                wire.stream.write(frame(pb.Frame(sent=now, echo=pb.Echo(of=told.sent, got=now))))
                wire.stream.flush()
            case "echo":
                wire.hops.echoed(now, told.echo.of, told.echo.got)
            case "data":
                self._hand_over(wire, told, now)
            case "bye":
                return False
            case _:
                raise BadFrameError("a hello on a link that stands")
        return True

    def _hand_over(self, wire: Wire, told: pb.Frame, now: float) -> None:
        data = told.data
        handler, parted = self._handlers.get(data.kind, (None, False))
        hop = wire.hops.hop(now, told.sent)
        if handler is None:
            return self._count("frames_unknown")
        if wire.parted is not None and not parted:
            return self._count("frames_parted")
        if not hop <= data.within:
            return self._count("frames_aged")
        self._count("frames_in")
        self.hop = hop
        try:
            handler(wire.peer, data.payload)
        except Exception:
            # A fault of ours with one frame must not take the link along, and with it all that is under way.
            self._count("faults")
            log.exception("frame's handler ended by a fault")

    def _lose(self, wire: Wire, why: str) -> None:
        wire.stream.close()
        if wire not in self._wires:
            return
        del self._wires[wire]
        self._count(f"lost_{why}")
        log.info("link lost", extra={"pairs": {"peer": wire.peer, "reason": why}})
        peer = self._peers.get(wire.peer)
        if peer is not None and peer.wire is wire:
            others = [one for one in self._wires if one.peer == wire.peer]
            peer.wire = others[-1] if others else None
            if peer.wire is None:
                self._drop_queue(peer, "dropped_broken")
                if wire.peer not in self._addresses and not peer.connecting:
                    del self._peers[wire.peer]
        for callback in self._on_broken:
            callback(wire.peer)

    def _beat(self) -> None:
        """Pings out; a link without a word for too long is broken, unless it was us who stood still."""
        now, settings = self._clock(), self._settings
        late = now - self._beat_at > settings.ping_every + 0.5 * settings.silent_most
        self._beat_at = now
        for wire in list(self._wires):
            if late:
                wire.heard = now
            if now > wire.heard + settings.silent_most:
                self._lose(wire, "silent")
            elif wire.parted is not None and now > wire.parted:
                self._lose(wire, "parted")
            else:
                wire.stream.write(frame(pb.Frame(sent=now, ping=pb.Ping())))
                wire.stream.flush()
        for peer in self._peers.values():
            while peer.queue and peer.queue[0].due < now:
                one = peer.queue.popleft()
                peer.bytes -= len(one.data)
                self._not_sent(one, "dropped_aged")
        self._beating = bool(self._wires)
        if self._beating:
            self._scheduler.after(settings.ping_every, self._beat)

    # -- small things

    def _refuse(self, why: str) -> bool:
        self._count(why)
        return False

    def _bad(self, peer: str, trouble: BadFrameError) -> None:
        self._count("frames_bad")
        log.warning("bad frame", extra={"pairs": {"peer": peer, "reason": trouble}})

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

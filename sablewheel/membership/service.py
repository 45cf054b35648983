"""Membership in the server: passes events to the node and carries out its effects.

Datagrams carry all messages except the full state, which is sent over TCP since it may be larger than a
datagram. Status requests of tools arrive over TCP on the same port.
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
from ..transport.start_retries import retry_transient_errors
from ..transport.stream import Stream
from ..transport.wakeup import Wakeup
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
from .frame_sender import FRAME_TIMEOUT_S, FrameSender
from .messages import COUNTER_NAMES, Envelope, Message, StatusRequest, Sync
from .node import Node
from .plan import Address, MembershipPlan, address_of
from .view import Fact, Member, Metadata, View, fingerprint

MAX_CONCURRENT_FRAMES_IN = 32  # further ones wait in the kernel's accept queue
SEND_POLL_INTERVAL_S = 0.005  # between checks whether a status reply has been sent
VIEW_LOG_MESSAGES = ("view", "removed from view", "removed", "added", "leaving", "paused", "classic round")

log = logging.getLogger(__name__)
view_log = logging.getLogger(f"{__name__}.view")  # its own rate limit: suspicions must not displace views


class MembershipService:
    """Runs this server's membership of the fleet."""

    def __init__(
        self,
        scheduler: Scheduler,
        plan: MembershipPlan,
        name: str,
        seed: int,
        clock: Callable[[], float] = time.monotonic,
        metadata: Metadata = (),
    ) -> None:
        """Start the member; `metadata` is added to the plan's.

        Raises:
            ValueError: The metadata exceeds the bounds of `Member`.
            OSError: The address cannot be listened on.
        """
        self._scheduler, self._clock = scheduler, clock
        self._counters: dict[str, int] = {}
        local_member = _local_member(name, plan, metadata, scheduler.clock.now)
        rng = random.Random(f"{seed}-{name}-{local_member.incarnation}")
        # The node uses the monotonic clock, so that setting the wall clock does not affect timeouts.
        self.node = Node(local_member, plan.seeds, plan.settings, rng, clock())
        self._wakeup = Wakeup(scheduler, clock, self._handle_timer)
        self._frame_sender = FrameSender(scheduler, plan.listen[0], clock, self._count)
        self._frames_in = 0
        self._open = True
        self._view_callbacks: list[Callable[[View], None]] = []
        self._views_to_announce: deque[View] = deque()  # a callback may cause a further view
        self._last_announced_view: View | None = None
        self._announcing = False
        self._socket = retry_transient_errors(
            lambda: DatagramSocket(scheduler, plan.listen, codec.MAX_PACKET_BYTES, self._handle_datagram)
        )
        try:
            self._listener = retry_transient_errors(
                lambda: Listener(
                    scheduler,
                    plan.listen,
                    lambda: self._frames_in < MAX_CONCURRENT_FRAMES_IN,
                    self._handle_connection,
                    self._handle_connection_limit,
                )
            )
        except OSError:
            self._socket.close()
            raise
        scheduler.spawn(self._step, TimerFired())

    # -- the interface to the program and other features

    @property
    def node_name(self) -> str:
        """This member's name."""
        return self.node.local_member.name

    @property
    def view(self) -> View | None:
        """The agreed view; None until this member is admitted."""
        return self.node.view

    def on_view(self, callback: Callable[[View], None]) -> None:
        """Call back for the latest view, if there is one, and for each installed later, once and in order.

        This includes a view from which this member was removed; it then has no view until it is admitted
        again. An exception of a callback is logged and counted (`members_faults`); the other callbacks still
        run.
        """
        self._view_callbacks.append(callback)
        if self._last_announced_view is not None:
            self._call_view_callback(callback, self._last_announced_view)

    def report_fact(self, fact: Fact) -> None:
        """Report this member's own value of a fact; `View.fact` is the value that the fleet agreed on.

        Raises:
            ValueError: The key is empty, or the key or the value too long.
        """
        max_characters = codec.MAX_NAME_CHARACTERS
        if not 0 < len(fact.key) <= max_characters or len(fact.value) > max_characters:
            raise ValueError(
                f"fact {fact.key!r}: empty key, or key or value over {max_characters} characters"
            )
        self._step(FactReported(fact))

    def leave(self) -> None:
        """Announce that this member leaves; requests in progress are still answered."""
        self._step(LeaveRequested())

    def close(self) -> None:
        """Close the sockets and cancel the timers."""
        self._open = False
        self._frame_sender.close()
        self._wakeup.cancel()
        self._socket.close()
        self._listener.close()

    def gauges(self) -> dict[str, object]:
        """Return the values and counters of membership for the metrics."""
        node, view = self.node, self.node.view
        values: dict[str, object] = {
            "members": len(node.members),
            "members_epoch": view.epoch if view is not None else 0,
            "members_view": fingerprint(view) if view is not None else "-",
            "members_suspected": len(node.suspicions.by_name),
            "members_health": node.failure_detector.health_score,
        }
        return values | {f"members_{name}": count for name, count in self._all_counters()}

    def _all_counters(self) -> tuple[tuple[str, int], ...]:
        return tuple(sorted({**self.node.counters, **self._counters}.items()))

    # -- events

    def _step(self, event: Event) -> None:
        if not self._open:
            return
        try:
            for effect in self.node.step(self._clock(), event):
                match effect:
                    case Send():
                        self._send(effect)
                    case ViewInstalled(view):
                        self._views_to_announce.append(view)
                    case LogLine():
                        self._write_log_line(effect)
        except Exception:
            # A programming error here must not stop the server from serving requests.
            self._count("faults")
            log.exception("membership step failed")
        self._wakeup.set(self.node.next_wakeup)
        self._announce_views()

    def _announce_views(self) -> None:
        if self._announcing:
            return  # a callback that reports a fact, or waits, must not change the order of the views
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
            log.exception("view callback failed", extra={"pairs": {"epoch": view.epoch}})

    def _handle_timer(self) -> None:
        self._step(TimerFired())

    def _handle_datagram(self, data: bytes, source: Address) -> None:
        self._count("bytes_in", len(data))
        try:
            message = codec.decode(data)
        except codec.BadPacketError as error:
            self._drop_packet(str(error), source)
            return
        if isinstance(message.body, StatusRequest | Sync):
            # A forged source address must not cause a large reply.
            self._drop_packet("message type is accepted over TCP only", source)
            return
        self._handle_message(message, source)

    def _handle_message(self, message: Message, source: Address) -> None:
        self._count(f"in_{COUNTER_NAMES[type(message.body)]}")
        self._step(MessageReceived(message, f"{source[0]}:{source[1]}"))

    def _drop_packet(self, reason: str, source: Address) -> None:
        self._count("packets_bad")
        log.warning("packet dropped", extra={"pairs": {"from": f"{source[0]}:{source[1]}", "reason": reason}})

    # -- effects

    def _send(self, effect: Send) -> None:
        address = address_of(effect.address)
        body = effect.message.body
        if address is None:
            self._count("unsent")
        elif isinstance(body, Sync):
            self._frame_sender.send(effect.message, address, body.is_reply)
        else:
            self._send_datagram(effect.message, address)

    def _send_datagram(self, message: Message, address: Address) -> None:
        try:
            data = codec.encode(message)
        except codec.BadPacketError:
            self._count("unsent")  # the message is larger than a datagram
            return
        if self._socket.send(data, address):
            self._count(f"out_{COUNTER_NAMES[type(message.body)]}")
            self._count("bytes_out", len(data))
        else:
            self._count("unsent")

    def _write_log_line(self, line: LogLine) -> None:
        logger = view_log if line.message in VIEW_LOG_MESSAGES else log
        logger.info(line.message, extra={"pairs": line.fields})

    def _count(self, name: str, amount: int = 1) -> None:
        self._counters[name] = self._counters.get(name, 0) + amount

    # -- connections

    def _handle_connection_limit(self) -> None:
        self._count("frames_crowded")

    def _handle_connection(self, stream: Stream) -> None:
        self._frames_in += 1
        self._scheduler.spawn(self._serve_connection, stream)

    def _serve_connection(self, stream: Stream) -> None:
        """Read one frame within `FRAME_TIMEOUT_S`, and answer it if it is a status request."""
        timeout = self._scheduler.after(FRAME_TIMEOUT_S, stream.close)
        try:
            data = self._read_frame(stream)
            if data is None:
                self._count("frames_cut")
                return
            self._count("bytes_in", len(data))
            message = codec.decode(data[codec.FRAME_LENGTH.size :], codec.MAX_FRAME_BYTES)
            match message.body:
                case StatusRequest():
                    self._send_status(stream)
                case Sync():
                    self._handle_message(message, ("", 0))
                case _:
                    self._drop_packet("message type is accepted as a datagram only", ("tcp", 0))
        except codec.BadPacketError as error:
            self._drop_packet(str(error), ("tcp", 0))
        finally:
            timeout.cancel()
            self._frames_in -= 1
            stream.close()

    def _read_frame(self, stream: Stream) -> bytes | None:
        """Return a frame with its header; None if the connection closes before its end."""
        header_size = codec.FRAME_LENGTH.size
        data = bytearray()
        while len(data) < header_size or len(data) < header_size + codec.frame_length(
            bytes(data[:header_size])
        ):
            received = stream.read()
            if not received:
                return None
            data += received
        return bytes(data)

    def _send_status(self, stream: Stream) -> None:
        status = replace(self.node.status(self._clock()), counters=self._all_counters())
        epoch = status.view.epoch if status.view is not None else 0
        stream.write(codec.encode_frame(Message(Envelope(self.node_name, epoch), status)))
        stream.flush()
        while stream.open and not stream.all_sent:
            self._scheduler.sleep(SEND_POLL_INTERVAL_S)


def _local_member(name: str, plan: MembershipPlan, metadata: Metadata, unix_time_s: float) -> Member:
    """Return this process as a member; its incarnation is the Unix time in milliseconds."""
    incarnation = round(unix_time_s * 1000)
    all_metadata = tuple(sorted(plan.metadata + tuple(metadata)))
    return Member(name, plan.advertise, plan.zone, plan.region, incarnation, all_metadata)

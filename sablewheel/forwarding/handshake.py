"""The handshake of a connection: both sides identify themselves as members of the agreed view.

The connecting side sends a hello, the accepting side replies with its own hello that echoes the first, and
the connecting side confirms with an echo. The echoes also start the estimate of transit times.
"""

from __future__ import annotations

from collections.abc import Callable

from ..membership.plan import address_of
from ..membership.view import View
from ..transport.scheduler import Scheduler
from ..transport.stream import Stream, connect
from . import forwarding_pb2 as pb
from .connection import Connection
from .frames import BadFrameError, FrameReader, encode_frame
from .plan import Address, ConnectionSettings

ADDRESS_METADATA_KEY = "link"  # member metadata that holds the address to connect to


class Handshake:
    """Identifies this member and its peers by the agreed view.

    `count(name)` increments a counter; `on_bad_frame(peer, error)` is called for invalid frames. A view whose
    incarnation of this member is older than `started_incarnation` describes an earlier process; with such a
    view this process does not count as a member and gets no new connections.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        settings: ConnectionSettings,
        node_name: str,
        started_incarnation: int,
        source_host: str,
        clock: Callable[[], float],
        count: Callable[[str], None],
        on_bad_frame: Callable[[str, BadFrameError], None],
    ) -> None:
        self._scheduler, self._settings, self._clock = scheduler, settings, clock
        self._node_name, self._started_incarnation = node_name, started_incarnation
        self._source_host, self._count, self._on_bad_frame = source_host, count, on_bad_frame
        self._incarnation: int | None = None  # None: this process is not in the view
        self._epoch = 0
        self.peers: dict[str, tuple[int, Address]] = {}  # incarnation and address by name

    @property
    def in_view(self) -> bool:
        """Whether this process is a member of the view."""
        return self._incarnation is not None

    def install_view(self, view: View) -> None:
        """Adopt the members of a view that publish an address in their metadata."""
        self._epoch = view.epoch
        local = view.get(self._node_name)
        is_this_process = local is not None and local.incarnation >= self._started_incarnation
        self._incarnation = local.incarnation if local is not None and is_this_process else None
        addressed = [
            (member, address_of(member.metadata_value(ADDRESS_METADATA_KEY))) for member in view.members
        ]
        self.peers = {
            member.name: (member.incarnation, address) for member, address in addressed if address is not None
        }

    def connect(self, peer: str) -> Connection | None:
        """Connect to a peer and identify both sides; return None on failure or timeout."""
        incarnation, address = self.peers[peer]
        started, timeout_s = self._clock(), self._settings.connect_timeout_s
        stream = connect(self._scheduler, address, timeout_s, self._source_host)
        if stream is None:
            self._count("connects_failed")
            return None
        timeout = self._scheduler.after(max(started + timeout_s - self._clock(), 0.0), stream.close)
        connection = None
        try:
            connection = self._identify_outgoing(stream, peer, incarnation)
        except BadFrameError as error:
            self._on_bad_frame(peer, error)
        finally:
            timeout.cancel()
        if connection is None:
            stream.close()
        return connection

    def _identify_outgoing(self, stream: Stream, peer: str, incarnation: int) -> Connection | None:
        reader = FrameReader()
        _send(stream, self._hello_frame(peer, None))
        answer = _read_frame(stream, reader)
        now = self._clock()
        if answer is None or answer.WhichOneof("body") != "hello" or not answer.hello.HasField("echo"):
            self._count("connects_refused")
            return None
        hello = answer.hello
        if not self._is_valid(hello) or (hello.name, hello.incarnation) != (peer, incarnation):
            self._count("connects_foreign")
            return None
        connection = Connection(stream, reader, peer, incarnation, is_outgoing=True, last_received_at=now)
        connection.transit_times.record_echo(now, hello.echo.of, hello.echo.got)
        _send(stream, pb.Frame(sent=now, echo=pb.Echo(of=answer.sent, got=now)))
        return connection

    def accept(self, stream: Stream) -> Connection | None:
        """Identify a peer that connected; on failure or timeout close the stream and return None."""
        timeout = self._scheduler.after(self._settings.connect_timeout_s, stream.close)
        connection = None
        try:
            connection = self._identify_incoming(stream)
        except BadFrameError as error:
            self._on_bad_frame("", error)
        finally:
            timeout.cancel()
            if connection is None:
                stream.close()
        return connection

    def _identify_incoming(self, stream: Stream) -> Connection | None:
        reader = FrameReader()
        hello_frame = _read_frame(stream, reader)
        if hello_frame is None:
            self._count("hellos_missing")
            return None
        if hello_frame.WhichOneof("body") != "hello" or not self._is_valid(hello_frame.hello):
            self._count("hellos_refused")
            return None
        hello, received_at = hello_frame.hello, self._clock()
        _send(stream, self._hello_frame(hello.name, pb.Echo(of=hello_frame.sent, got=received_at)))
        answer = _read_frame(stream, reader)
        if answer is None or answer.WhichOneof("body") != "echo":
            self._count("hellos_unanswered")  # the peer did not accept the identity of this member
            return None
        if not self._is_valid(hello):
            return None  # the view changed during the handshake
        now = self._clock()
        connection = Connection(stream, reader, hello.name, hello.incarnation, False, last_received_at=now)
        connection.transit_times.record_echo(now, answer.echo.of, answer.echo.got)
        return connection

    def _is_valid(self, hello: pb.Hello) -> bool:
        """Return whether a hello is from a member in its agreed incarnation and addressed to this member."""
        known = self.peers.get(hello.name)
        is_member = known is not None and known[0] == hello.incarnation and hello.name != self._node_name
        return is_member and hello.to == self._node_name and self.in_view

    def _hello_frame(self, recipient: str, echo: pb.Echo | None) -> pb.Frame:
        hello = pb.Hello(
            name=self._node_name,
            incarnation=self._incarnation or 0,
            epoch=self._epoch,
            to=recipient,
            echo=echo,
        )
        return pb.Frame(sent=self._clock(), hello=hello)


def _send(stream: Stream, message: pb.Frame) -> None:
    stream.write(encode_frame(message))
    stream.flush()


def _read_frame(stream: Stream, reader: FrameReader) -> pb.Frame | None:
    """Return the next frame; None at the end of the stream."""
    data: bytes = b""
    while True:
        for message in reader.feed(data):
            return message
        data = stream.read()
        if not data:
            return None

"""Storage of bundles on a member, and their transfer between members. Pure.

A member offers its newest bundle to others until that bundle is active. Each member fetches the active
bundle, else the staged one, else the newest that it was offered, chunk by chunk from one member at a time.
It stores a bundle once the translation in it is verified for its own class of hosts.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from . import policy_bundle
from .fleet_state import STAGED, FleetState, Output
from .host_capabilities import Catalogue
from .messages import MAX_CHUNK_BYTES, BundleChunk, BundleRejected, Fetch, Offer
from .plan import Rules
from .policy_bundle import BundleError, PolicyBundle, order
from .rollout_events import Send
from .verify import verify

MAX_BUNDLES = 4  # the active one, the staged one, a newer one and the previous one
MAX_REJECTED_BUNDLES = 16
OFFER_FANOUT = 4  # members that a bundle is offered to at a time
FIRST_OFFER_DELAY_S = 0.1  # after a view change
BAD_CHUNK_ELAPSED_RATIO = 0.8  # share of the fetch timeout that a bad chunk counts as elapsed


class BundleStore:
    """At most `MAX_BUNDLES` bundles by name; those that facts name are never evicted."""

    def __init__(
        self, fleet: FleetState, output: Output, catalogue: Catalogue, verify_translations: bool
    ) -> None:
        self._fleet, self._output, self._catalogue, self._verify_translations = (
            fleet,
            output,
            catalogue,
            verify_translations,
        )
        self.bundles: dict[str, PolicyBundle] = {}
        self.rejected: dict[str, str] = {}  # the reasons by name

    @property
    def newest(self) -> str:
        """The name of the newest stored bundle; empty if there is none."""
        return max(self.bundles, key=order, default="")

    def add(self, bundle: PolicyBundle, source: str) -> bool:
        """Store a bundle if this member can run its translation; returns False if it was rejected."""
        faults = verify(bundle.translation, bundle.policy, self._fleet.own_capabilities, self._catalogue)
        if faults and self._verify_translations:
            self._reject(bundle.name, faults[0])
            return False
        self.bundles[bundle.name] = bundle
        self._output.log("policy held", policy=bundle.name, source=source)
        self.evict_old()
        return True

    def evict_old(self) -> None:
        """Evict all but `MAX_BUNDLES` bundles: those that facts name are kept, then the newest."""
        named = {self._fleet.active_name, self._fleet.fact(STAGED)}
        for name in sorted(self.bundles, key=order):
            if len(self.bundles) <= MAX_BUNDLES:
                return
            if name not in named:
                del self.bundles[name]

    def _reject(self, name: str, reason: str) -> None:
        self._output.count("refused")
        self.rejected[name] = reason
        if len(self.rejected) > MAX_REJECTED_BUNDLES:
            del self.rejected[next(iter(self.rejected))]
        self._output.log("policy refused", policy=name, reason=reason)


@dataclass
class _Fetching:
    """A bundle that is being fetched from one member."""

    name: str
    peer: str
    requested_at: float
    attempts: int = 1
    data: bytearray = field(default_factory=bytearray)


class BundleTransfer:
    """The offers and fetches of one member; it fetches at most one bundle at a time."""

    def __init__(self, fleet: FleetState, store: BundleStore, rules: Rules, output: Output) -> None:
        self._fleet, self._store, self._rules, self._output = fleet, store, rules, output
        self._offered_name = ""  # the greatest name that was offered; empty if there is none
        self._offered_by = ""  # the member that offered it
        self._fetching: _Fetching | None = None
        self._next_offer_at = 0.0

    def view_changed(self, now: float) -> None:
        """Schedule an offer soon, as there may be new members."""
        self._next_offer_at = min(self._next_offer_at, now + FIRST_OFFER_DELAY_S)

    def offered(self, sender: str, offer: Offer) -> None:
        """Record an offer if its name is the greatest so far."""
        if order(offer.name) > order(self._offered_name) and offer.name not in self._store.rejected:
            self._offered_name, self._offered_by = offer.name, sender

    def fetch_requested(self, sender: str, request: Fetch) -> None:
        """Send one chunk; it is empty if no bundle of that name is stored."""
        bundle = self._store.bundles.get(request.name)
        data = bundle.text.encode() if bundle is not None else b""
        chunk = data[request.offset : request.offset + MAX_CHUNK_BYTES]
        self._output.effects.append(Send(sender, BundleChunk(request.name, request.offset, len(data), chunk)))

    def chunk_received(self, now: float, sender: str, chunk: BundleChunk) -> None:
        """Add a chunk to the bundle being fetched; request the next chunk, or store the complete bundle."""
        fetching = self._fetching
        if fetching is None or (fetching.name, fetching.peer) != (chunk.name, sender):
            return
        if chunk.offset != len(fetching.data):
            return  # a duplicate
        fetching.data += chunk.data
        if not chunk.data or not 0 < len(fetching.data) <= chunk.total <= policy_bundle.MAX_BUNDLE_BYTES:
            # Another member is asked soon, but not at once, or two members without the bundle would be asked
            # in a loop.
            fetching.requested_at = now - BAD_CHUNK_ELAPSED_RATIO * self._rules.fetch_timeout_s
        elif len(fetching.data) < chunk.total:
            fetching.requested_at = now
            self._output.effects.append(Send(sender, Fetch(chunk.name, len(fetching.data))))
        else:
            self._fetching = None
            self._complete(sender, chunk.name, bytes(fetching.data))

    def _complete(self, sender: str, name: str, data: bytes) -> None:
        try:
            bundle = policy_bundle.load(data.decode("utf-8", "replace"))
        except BundleError as error:
            self._drop(sender, error)
            return
        if bundle.name != name:
            self._drop(sender, "its name differs from the requested one")
        elif not self._store.add(bundle, sender):
            reason = self._store.rejected[bundle.name][:200]
            self._output.effects.append(Send(sender, BundleRejected(bundle.name, reason)))

    def _drop(self, sender: str, reason: object) -> None:
        self._output.count("bundles_bad")
        self._output.log("bundle dropped", sender=sender, reason=reason)

    def continue_fetch(self, now: float) -> None:
        """Request the missing bundle, from another member after each fetch timeout."""
        name, fetching = self._missing(), self._fetching
        if not name:
            self._fetching = None
            return
        if (
            fetching is None
            or fetching.name != name
            or now >= fetching.requested_at + self._rules.fetch_timeout_s
        ):
            attempts = fetching.attempts if fetching is not None and fetching.name == name else 0
            fetching = self._start_fetch(now, name, attempts)
            if fetching is None:
                return
        self._output.timers.append(fetching.requested_at + self._rules.fetch_timeout_s)

    def _start_fetch(self, now: float, name: str, attempts: int) -> _Fetching | None:
        members = self._fleet.names
        if attempts > len(members) and name == self._offered_name:
            # All holders may have left: bundles of other members must not wait for this one indefinitely.
            self._offered_name, self._fetching = "", None
            return None
        peer = self._offered_by if name == self._offered_name and not attempts else self._fleet.next_peer()
        if peer not in members:
            peer = self._fleet.next_peer()
        if not peer:
            return None
        self._fetching = _Fetching(name, peer, now, attempts + 1)
        self._output.effects.append(Send(peer, Fetch(name, 0)))
        return self._fetching

    def _missing(self) -> str:
        """Return the name of the bundle to fetch: active, else staged, else the newest offered; or empty."""
        active_name = self._fleet.active_name
        for name in (active_name, self._fleet.fact(STAGED), self._offered_name):
            if name in self._store.bundles or name in self._store.rejected:
                continue
            if order(name) >= max(order(active_name), (1, 0, "")):
                return name
        return ""

    def continue_offer(self, now: float) -> None:
        """Offer the newest stored bundle to some members, if it is newer than the active one."""
        newest = self._store.newest
        if order(newest) <= order(self._fleet.active_name):
            return
        if now >= self._next_offer_at:
            self._next_offer_at = now + self._rules.offer_interval_s
            for peer in sorted({self._fleet.next_peer() for _ in range(OFFER_FANOUT)} - {""}):
                self._output.effects.append(Send(peer, Offer(newest)))
        self._output.timers.append(self._next_offer_at)

"""The bundles that a member holds, and how they get from one member to the next. Pure.

A bundle above the one in force is offered on until it is in force itself. Each member fetches what is in
force, else what is staged, else the newest that it was offered, chunk by chunk from one member at a time,
and holds it once the translation in it is verified for its own class of hosts.
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

MAX_BUNDLES = 4  # the one in force, the staged, a newer one, the one before
MAX_REJECTED_BUNDLES = 16
OFFER_FANOUT = 4  # members that a bundle is offered to, each time
FIRST_OFFER_DELAY_S = 0.1  # after a new view
BAD_CHUNK_ELAPSED_RATIO = 0.8  # of the fetch timeout that counts as passed: another member is asked soon


class BundleStore:
    """At most `MAX_BUNDLES` bundles by name; those that facts name are never forgotten."""

    def __init__(self, fleet: FleetState, output: Output, catalogue: Catalogue, verifies: bool) -> None:
        self._fleet, self._output, self._catalogue, self._verifies = fleet, output, catalogue, verifies
        self.bundles: dict[str, PolicyBundle] = {}
        self.rejected: dict[str, str] = {}  # why, by name

    @property
    def newest(self) -> str:
        """The name of the newest bundle here; empty if there is none."""
        return max(self.bundles, key=order, default="")

    def hold(self, bundle: PolicyBundle, source: str) -> bool:
        """Hold a bundle that is right for this member; False if it was rejected."""
        faults = verify(bundle.translation, bundle.policy, self._fleet.own_capabilities, self._catalogue)
        if faults and self._verifies:
            self._reject(bundle.name, faults[0])
            return False
        self.bundles[bundle.name] = bundle
        self._output.log("policy held", policy=bundle.name, source=source)
        self.forget_old()
        return True

    def forget_old(self) -> None:
        """Keep `MAX_BUNDLES`: what facts name, then the newest."""
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
    """A bundle on its way from one member."""

    name: str
    peer: str
    asked_at: float
    attempts: int = 1
    data: bytearray = field(default_factory=bytearray)


class BundleTransfer:
    """Offers and fetches of one member; at most one bundle is fetched at a time."""

    def __init__(self, fleet: FleetState, store: BundleStore, rules: Rules, output: Output) -> None:
        self._fleet, self._store, self._rules, self._output = fleet, store, rules, output
        self._offered_name = ""  # the greatest name that was offered, and by whom
        self._offered_by = ""
        self._fetching: _Fetching | None = None
        self._next_offer_at = 0.0

    def view_changed(self, now: float) -> None:
        """Offer soon: there may be new members."""
        self._next_offer_at = min(self._next_offer_at, now + FIRST_OFFER_DELAY_S)

    def offered(self, sender: str, offer: Offer) -> None:
        """Note the greatest name that was offered."""
        if order(offer.name) > order(self._offered_name) and offer.name not in self._store.rejected:
            self._offered_name, self._offered_by = offer.name, sender

    def fetch_requested(self, sender: str, request: Fetch) -> None:
        """Send one chunk; an empty one if there is no bundle of that name."""
        bundle = self._store.bundles.get(request.name)
        data = bundle.text.encode() if bundle is not None else b""
        chunk = data[request.at : request.at + MAX_CHUNK_BYTES]
        self._output.effects.append(Send(sender, BundleChunk(request.name, request.at, len(data), chunk)))

    def chunk_received(self, now: float, sender: str, chunk: BundleChunk) -> None:
        """Add a chunk to the bundle that is fetched; ask for the next one, or hold the bundle."""
        fetching = self._fetching
        if fetching is None or (fetching.name, fetching.peer) != (chunk.name, sender):
            return
        if chunk.at != len(fetching.data):
            return  # a duplicate
        fetching.data += chunk.data
        if not chunk.data or not 0 < len(fetching.data) <= chunk.total <= policy_bundle.MAX_BUNDLE_BYTES:
            # Another member is asked soon, but not at once, or two that have nothing would be asked in a
            # loop.
            fetching.asked_at = now - BAD_CHUNK_ELAPSED_RATIO * self._rules.fetch_within
        elif len(fetching.data) < chunk.total:
            fetching.asked_at = now
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
            self._drop(sender, "another name")
        elif not self._store.hold(bundle, sender):
            reason = self._store.rejected[bundle.name][:200]
            self._output.effects.append(Send(sender, BundleRejected(bundle.name, reason)))

    def _drop(self, sender: str, reason: object) -> None:
        self._output.count("bundles_bad")
        self._output.log("bundle dropped", sender=sender, reason=reason)

    def continue_fetch(self, now: float) -> None:
        """Ask for the bundle that is missing, from another member once the one asked was silent too long."""
        name, fetching = self._missing(), self._fetching
        if not name:
            self._fetching = None
            return
        if fetching is None or fetching.name != name or now >= fetching.asked_at + self._rules.fetch_within:
            attempts = fetching.attempts if fetching is not None and fetching.name == name else 0
            fetching = self._start_fetch(now, name, attempts)
            if fetching is None:
                return
        self._output.timers.append(fetching.asked_at + self._rules.fetch_within)

    def _start_fetch(self, now: float, name: str, attempts: int) -> _Fetching | None:
        members = self._fleet.names
        if attempts > len(members) and name == self._offered_name:
            # Who offered it may be gone with it: what others hold must not wait for it for ever.
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
        """Return the bundle to fetch: what is in force, else what is staged, else the newest offered."""
        known = self._fleet.active_name
        for name in (known, self._fleet.fact(STAGED), self._offered_name):
            if name in self._store.bundles or name in self._store.rejected:
                continue
            if order(name) >= max(order(known), (1, 0, "")):
                return name
        return ""

    def continue_offer(self, now: float) -> None:
        """Offer the newest bundle here, if it is above the one in force, to some members at a time."""
        newest = self._store.newest
        if order(newest) <= order(self._fleet.active_name):
            return
        if now >= self._next_offer_at:
            self._next_offer_at = now + self._rules.offer_every
            for peer in sorted({self._fleet.next_peer() for _ in range(OFFER_FANOUT)} - {""}):
                self._output.effects.append(Send(peer, Offer(newest)))
        self._output.timers.append(self._next_offer_at)

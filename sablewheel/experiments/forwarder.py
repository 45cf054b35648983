"""A server that forwards most of its requests to random peers, optionally with a fault in its forward path.

python -m sablewheel.experiments.forwarder spread | twice | no-shrink | no-return FILE

FILE gets a line for each forwarded request that this server admits: the request's name, and its arrival
time at the first server as this server estimates it.
"""

from __future__ import annotations

import random
import runpy
import sys
from typing import Any

from ..forwarding import frames
from ..forwarding import service as forward
from ..forwarding.events import ConnectionLost, Effect, Event, TimerFired
from ..forwarding.forwarding_state import ForwardingState
from ..membership.view import View
from ..serving.exchange import Exchange
from .replaced_parts import announce, replace_part

FORWARD_SHARE = 0.7  # of requests that are forwarded to a peer


class RandomPeerForwardingService(forward.ForwardingService):
    """Forwards requests to random members of the current view; acts as its own placer."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.placer = self
        self._peers: list[str] = []
        self._random = random.Random(self._last_number)
        announce(sys.argv[1])
        self._admitted_file = open(sys.argv[2], "a", buffering=1)  # noqa: SIM115  open until the process ends

    def handle_view(self, view: View) -> None:
        super().handle_view(view)
        self._peers = [name for name in view.names if name != self._connections.node_name]

    def _serve_here(self, exchange: Exchange) -> None:
        """Log a forwarded request's arrival time; the experiment compares it with the router's record."""
        if isinstance(exchange.caller, forward.ForwardedCaller):
            self._admitted_file.write(f"{exchange.name.decode()} {exchange.request.arrived_at:.6f}\n")
        super()._serve_here(exchange)

    def place(self, exchange: Exchange) -> str | None:
        if not self._peers or self._random.random() > FORWARD_SHARE:
            return None
        return self._random.choice(self._peers)


def rerun_uncertain() -> None:
    """Run a non-idempotent request a second time after a connection loss."""

    def return_for_rerun(self: ForwardingState, number: int) -> list[Effect]:
        return [self._return(0.0, number, self.forwarded.pop(number))]

    ForwardingState._fail_uncertain = return_for_rerun  # type: ignore[method-assign]


def no_shrink() -> None:
    """Ignore transit time: a forwarded request's age on arrival is its age when it was sent."""

    def transit_s(self: frames.TransitTimeEstimator, now: float, sent_at: float) -> float:
        return 0.0

    frames.TransitTimeEstimator.transit_s = transit_s  # type: ignore[method-assign]


def no_return() -> None:
    """Keep waiting for requests at a disconnected or unresponsive peer until their deadlines."""
    step = ForwardingState.step

    def step_without_failover(self: ForwardingState, now: float, event: Event) -> list[Effect]:
        if isinstance(event, ConnectionLost):
            return []
        if isinstance(event, TimerFired):
            for forwarded_request in self.forwarded.values():
                forwarded_request.ack_deadline = float("inf")
        return step(self, now, event)

    ForwardingState.step = step_without_failover  # type: ignore[method-assign]


VARIANTS = {"spread": lambda: None, "twice": rerun_uncertain, "no-shrink": no_shrink, "no-return": no_return}

if __name__ == "__main__":
    VARIANTS[sys.argv[1]]()
    # The server imports the class from this module.
    replace_part(forward, "ForwardingService", RandomPeerForwardingService)
    runpy.run_module("sablewheel", run_name="__main__")
